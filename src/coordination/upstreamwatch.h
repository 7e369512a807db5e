// What the health endpoints of this host's upstreams say. It lags and misleads,
// so it only ever takes an upstream out of use; answers to real work, which the
// steward sees itself, bring it back to its full room.

#pragma once

#include "framework/channel.h"
#include "framework/clock.h"
#include "framework/result.h"
#include "state/types.h"

#include <functional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

namespace kumquat::coordination {

struct HealthReport
{
  // "cold", "warm" or "draining".
  std::string state;
  state::Incarnation incarnation = 0;
};

// kMalformedRequest where the text is no report.
Result<HealthReport> ParseHealthReport(std::string_view aText);

class UpstreamWatch
{
public:
  using AskDone = std::function<void(Result<HealthReport>)>;

  struct Hooks
  {
    Clock now;
    // Must always call back.
    std::function<void(const state::UpstreamRef&, AskDone)> ask;
  };

  explicit UpstreamWatch(Hooks aHooks);

  void Add(const state::UpstreamRef& aRef);
  void Remove(const state::UpstreamRef& aRef);
  // Seen on an answer to work: sooner than any health report.
  void OnState(const state::UpstreamRef& aRef, std::string_view aState);
  // Work that went there got no answer: the upstream may have restarted.
  void AskSoon(const state::UpstreamRef& aRef);
  void OnTimer();

  // It drains, or several questions in a row got no answer.
  bool IsUnusable(const state::UpstreamRef& aRef) const;

  Channel<state::UpstreamRef>& UsableChanged() { return this->usableChanged; }
  Channel<state::UpstreamRef, state::Incarnation>& IncarnationSeen()
  {
    return this->incarnationSeen;
  }

private:
  struct Watched
  {
    bool asking = false;
    bool draining = false;
    int failures = 0;
    TimePoint due;
  };

  static bool IsUnusable(const Watched& aWatched);
  void Ask(const state::UpstreamRef& aRef);
  void OnReport(const state::UpstreamRef& aRef,
                const Result<HealthReport>& aReport);

  const Hooks hooks;
  std::unordered_map<state::UpstreamRef, Watched> watched;
  Channel<state::UpstreamRef> usableChanged;
  Channel<state::UpstreamRef, state::Incarnation> incarnationSeen;
};

} // namespace kumquat::coordination
