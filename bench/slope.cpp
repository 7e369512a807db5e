// Fitting and printing slopes.

#include "slope.h"

#include "framework/clock.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <malloc.h>
#include <time.h>

#include <numeric>

namespace kumquat::bench {

namespace {

constexpr double kNanosecond = 1e-9;

} // namespace

Line FitLine(const std::vector<SlopePoint>& aPoints)
{
  if (aPoints.size() < 2) {
    return {};
  }
  const auto count = static_cast<double>(aPoints.size());
  double sizes = 0;
  double values = 0;
  double squares = 0;
  double products = 0;
  for (const SlopePoint& point : aPoints) {
    sizes += point.size;
    values += point.value;
    squares += point.size * point.size;
    products += point.size * point.value;
  }
  const double spread = count * squares - sizes * sizes;
  const double slope = (count * products - sizes * values) / spread;
  return { slope, (values - slope * sizes) / count };
}

std::size_t AllocatedBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

double TimeEach(std::size_t aTimes,
                const std::function<void(std::size_t)>& aWork)
{
  const TimePoint start = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < aTimes; ++i) {
    aWork(i);
  }
  const std::chrono::duration<double, std::nano> spent =
    std::chrono::steady_clock::now() - start;
  return spent.count() / static_cast<double>(aTimes);
}

double ProcessSeconds()
{
  timespec spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &spent);
  return static_cast<double>(spent.tv_sec) +
         static_cast<double>(spent.tv_nsec) * kNanosecond;
}

void PrintSlopes(const std::vector<Slope>& aSlopes)
{
  fmt::print("{:<14} {:<34} {:<10} {:>12} {:>12}   {}\n", "part", "quantity",
             "unit", "slope", "at size 0", "size: value");
  for (const Slope& slope : aSlopes) {
    const Line line = FitLine(slope.points);
    std::string points;
    for (const SlopePoint& point : slope.points) {
      points += fmt::format("{:g}: {:.4g}  ", point.size, point.value);
    }
    fmt::print("{:<14} {:<34} {:<10} {:>12} {:>12}   {}\n", slope.part,
               slope.quantity, slope.unit,
               fmt::format("{:.4g}/{}", line.slope, slope.per),
               fmt::format("{:.4g}", line.intercept), points);
  }
}

nlohmann::json ToJson(const std::vector<Slope>& aSlopes)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const Slope& slope : aSlopes) {
    const Line line = FitLine(slope.points);
    nlohmann::json points = nlohmann::json::array();
    for (const SlopePoint& point : slope.points) {
      points.push_back({ { "size", point.size }, { "value", point.value } });
    }
    rows.push_back({ { "part", slope.part },
                     { "quantity", slope.quantity },
                     { "unit", slope.unit },
                     { "per", slope.per },
                     { "slope", line.slope },
                     { "intercept", line.intercept },
                     { "points", std::move(points) } });
  }
  return rows;
}

} // namespace kumquat::bench
