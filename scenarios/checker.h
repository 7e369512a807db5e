// Judges a scenario by its records: each promise that was broken, by which
// request and where.

#pragma once

#include "scenarios/records.h"

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat::scenarios {

struct Evidence
{
  std::vector<CallerRecord> callers;
  std::vector<RunRecord> runs;
  std::vector<TenureRecord> tenures;
  // Instances that fell over while cold, once for each time.
  std::vector<std::string> collapsed;
  // Services whose keys have owners.
  std::vector<std::string> keyedServices;
};

struct CheckRules
{
  // Where no process failed, as in a planned stop: no request may be cut or
  // lost, or its outcome be unknown.
  bool nothingCut = false;
  // New work at a draining instance is a fault after so long.
  std::int64_t drainMicros = 3'000'000;
};

// One line for each fault; empty where every promise was kept.
std::vector<std::string> Check(const Evidence& aEvidence,
                               const CheckRules& aRules);

struct ServiceFigures
{
  std::string service;
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t refused = 0;
  std::size_t cut = 0;
  std::size_t lost = 0;
  // Sum of the windows in which requests came and none was answered.
  double unavailableSeconds = 0;
  // Longest time from a request that was not answered to the next one of the
  // same part of the keys that was.
  double worstGapSeconds = 0;
  double p50Millis = 0;
  double p99Millis = 0;
};

// By service, over all of its requests.
std::vector<ServiceFigures> Figures(const std::vector<CallerRecord>& aCallers);

} // namespace kumquat::scenarios
