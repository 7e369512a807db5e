// A figure measured at several sizes, and what it grows by for each unit.

#pragma once

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::bench {

struct SlopePoint
{
  // What is varied: slices, hosts, keys.
  double size = 0;
  double value = 0;
};

struct Slope
{
  std::string part;
  // What is measured, as "memory" or "look-up".
  std::string quantity;
  // Of the value, as "bytes" or "ns".
  std::string unit;
  // Of the size, as "slice".
  std::string per;
  std::vector<SlopePoint> points;
};

struct Line
{
  double slope = 0;
  double intercept = 0;
};

// Least squares; a slope of 0 where there are fewer than two sizes.
Line FitLine(const std::vector<SlopePoint>& aPoints);

// One part's measurements, by name.
struct SlopePart
{
  std::string_view name;
  std::vector<Slope> (*measure)();
};

// Bytes that this process has allocated and not freed.
std::size_t AllocatedBytes();

// Nanoseconds of one aWork, over at least aTimes calls.
double TimeEach(std::size_t aTimes,
                const std::function<void(std::size_t)>& aWork);

// This process's processor time, in seconds.
double ProcessSeconds();

void PrintSlopes(const std::vector<Slope>& aSlopes);
nlohmann::json ToJson(const std::vector<Slope>& aSlopes);

std::vector<Slope> MeasureMap();
std::vector<Slope> MeasureCodec();
std::vector<Slope> MeasureSteward();
std::vector<Slope> MeasureLeases();
std::vector<Slope> MeasureDuplicates();
std::vector<Slope> MeasureConfiguration();
std::vector<Slope> MeasureUpstreams();
std::vector<Slope> MeasureDaemons();

} // namespace kumquat::bench
