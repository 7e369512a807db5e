// What ran where and who held which slice when: the upstream stand-in's record
// that the scenarios' checker judges by. Times are microseconds of the
// machine's monotonic clock, so that they compare across processes.

#pragma once

#include "framework/clock.h"
#include "standins/upstream.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace kumquat::standins {

enum class RunOutcome
{
  kRunning,
  kRan,
  // Ended before it took effect, and answered as not run.
  kAborted,
  // The instance fell over or was stopped while it ran.
  kLost,
};

struct Run
{
  WorkOrder order;
  std::string service;
  std::string instance;
  std::int64_t incarnation = 0;
  TimePoint start;
  TimePoint end;
  UpstreamState stateAtStart = UpstreamState::kWarm;
  // How long the state had lasted then.
  Duration stateFor{ 0 };
  // With this one.
  int runningAtStart = 0;
  // That it could bear then.
  int bearsAtStart = 0;
  RunOutcome outcome = RunOutcome::kRunning;
};

class RunLog
{
public:
  using Number = std::uint64_t;

  explicit RunLog(std::size_t aMost);

  Number Begin(Run aRun);
  // Nothing where the run is so old that it was dropped.
  void End(Number aRun, RunOutcome aOutcome, TimePoint aNow);

  // As JSON: {"first","next","dropped","runs":[...]}, from number aFrom on.
  std::string Text(Number aFrom, std::size_t aMost) const;

private:
  const std::size_t most;
  // Number of runs.front().
  Number first = 0;
  std::deque<Run> runs;
};

// Each tenure of a slice by an instance, from its first grant to its lapse.
class GrantLog
{
public:
  void Given(const std::string& aService, const std::string& aInstance,
             const std::string& aPart, const Grant& aGrant, TimePoint aNow);
  // By revocation or a restart.
  void Ended(const std::string& aService, const std::string& aInstance,
             const std::string& aPart, TimePoint aNow);
  void AllEnded(const std::string& aService, const std::string& aInstance,
                TimePoint aNow);

  std::string Text() const;

private:
  using Key = std::tuple<std::string, std::string, std::string>;

  struct Tenure
  {
    Key key;
    Grant grant;
    TimePoint from;
  };

  std::vector<Tenure> tenures;
  // The latest of each part at each instance, as an index.
  std::map<Key, std::size_t> latest;
};

} // namespace kumquat::standins
