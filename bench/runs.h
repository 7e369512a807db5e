// What ran where, from the upstream stand-in's own log, and figures from it
// that callers cannot see: slot use, imbalance, work beyond the slots.

#pragma once

#include "framework/clock.h"
#include "load.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace kumquat::bench {

struct UpstreamRun
{
  std::string service;
  std::string instance;
  std::string target;
  std::string idempotencyKey;
  // On the machine's monotonic clock, as the load's own times.
  TimePoint start;
  TimePoint end;
  // Requests at the instance with this one, and what it could bear.
  int running = 0;
  int bears = 0;
  bool ran = false;
};

struct UpstreamUse
{
  // Busy slot time over all slot time.
  double slotUse = 0;
  // Most busy instance's time over the mean; 1 is even.
  double imbalance = 0;
};

// Service name -> how many instances it has.
using InstanceCounts = std::map<std::string, int>;

// Reads the log page by page from run aNext on, and moves aNext behind its
// end; empty where it fails.
std::vector<UpstreamRun> ReadRuns(const std::string& aControl,
                                  std::uint64_t& aNext);

// By service, over the time of a load.
std::map<std::string, UpstreamUse> UseOfUpstreams(
  const std::vector<UpstreamRun>& aRuns, const InstanceCounts& aInstances,
  TimePoint aStart, Duration aDuration);

// Keys of non-idempotent requests that ran more than once.
std::size_t CountDoubleRuns(const std::vector<UpstreamRun>& aRuns);
// Runs that began at an instance beyond what it bore.
std::size_t CountBeyondBearing(const std::vector<UpstreamRun>& aRuns);

// Of a service's requests, the share that still waited aPatience after their
// intended time, or never ran, although another instance had a free slot then.
double OverflowWhileIdle(const LoadResult& aLoad, const std::string& aService,
                         const std::vector<UpstreamRun>& aRuns, int aInstances,
                         Duration aPatience);

// Latency of answered requests less the time of their run, in milliseconds.
std::vector<double> Overheads(const LoadResult& aLoad,
                              const std::string& aService,
                              const std::vector<UpstreamRun>& aRuns);

} // namespace kumquat::bench
