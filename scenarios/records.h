// What a scenario knows of each request: its caller's side, and every run of
// it at the upstreams. Times are microseconds of the machine's monotonic clock.

#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace kumquat::scenarios {

enum class AttemptVerdict
{
  kAnswered,
  // An error answer of the system.
  kRefused,
  // The body ended before its length.
  kCut,
  // The answer is another request's.
  kForeign,
  // No connection, broken without an answer, or no answer in time.
  kLost,
};

// One sending of a request; a request that is sent again has several.
struct Attempt
{
  std::int64_t start = 0;
  std::int64_t end = 0;
  AttemptVerdict verdict = AttemptVerdict::kLost;
  // Kumquat-Error and Kumquat-Outcome of the answer.
  std::string error;
  std::string outcome;
};

struct CallerRecord
{
  std::string service;
  std::string key;
  std::string idempotencyKey;
  // Unique in a scenario; the runs name it too.
  std::string target;
  bool idempotent = true;
  // In the order of time; never empty.
  std::vector<Attempt> attempts;
};

struct RunRecord
{
  std::string service;
  std::string instance;
  std::string key;
  std::string idempotencyKey;
  std::string target;
  std::string state;
  std::string outcome;
  std::int64_t start = 0;
  std::int64_t end = 0;
  // How long the instance had been in its state at the start.
  std::int64_t stateFor = 0;
  int running = 0;
  int bears = 0;
};

// One instance's tenure of a slice.
struct TenureRecord
{
  std::string service;
  std::string instance;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  std::int64_t from = 0;
  std::int64_t until = 0;
};

} // namespace kumquat::scenarios
