// The rates that upstreams name in their responses, as long as they do: what an
// upstream takes from all hosts together. Hosts tell each other of changes. It
// decides nothing about requests. Does no I/O. Runs on one thread.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <map>
#include <optional>
#include <vector>

namespace kumquat::routing {

// What an upstream said last, as far as a host knows.
struct UpstreamLimit
{
  state::UpstreamId upstream;
  // Requests per second; empty if it names none any more.
  std::optional<double> perSecond;
  // When the response came that said so.
  TimePoint saidAt;
};

class UpstreamLimits
{
public:
  explicit UpstreamLimits(Clock aClock);

  // Whether no upstream is known to name a limit.
  bool IsEmpty() const { return this->limits.empty(); }
  std::size_t Count() const { return this->limits.size(); }
  // Requests per second that the upstream takes from all hosts together; empty
  // if it names no limit.
  std::optional<double> RateOf(const state::UpstreamId& aId) const;

  // An upstream has responded to this host. Returns what peers are to be told.
  std::optional<UpstreamLimit> OnResponse(const state::UpstreamId& aId,
                                          std::optional<double> aPerSecond);
  // A peer has said what it heard. The newest word counts.
  void OnReport(const UpstreamLimit& aLimit);
  // The upstream has started anew, or is gone.
  void Forget(const state::UpstreamId& aId);
  // All that a host needs to know that has just been connected to.
  std::vector<UpstreamLimit> All() const;
  // Forgets limits that nobody has heard of for a while.
  void RemoveOld();

private:
  struct Known
  {
    // Of an upstream that names a limit no more, empty for a moment, so that
    // late reports of it do not count.
    std::optional<double> perSecond;
    TimePoint saidAt;
    // When it last named one.
    TimePoint namedAt;
    // When peers were last told, or told this host.
    TimePoint sharedAt;
  };

  const Clock clock;
  std::map<state::UpstreamId, Known> limits;
};

// What the limit is taken for where it is so low that hardly any request could
// show that it has ended, per second.
inline constexpr double kMinUpstreamLimit = 0.25;
// Higher ones are cut to it. No host sends as much.
inline constexpr double kMaxUpstreamLimit = 1e6;

} // namespace kumquat::routing
