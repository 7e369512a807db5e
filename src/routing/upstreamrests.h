// Times of rest that upstreams ask for when they refuse a request: the upstream
// wants nothing from the host that it says so to. Each host keeps its own.
//
// Nothing but the passing of its time ends a rest, not a later response that
// names a shorter one or none, except that a new incarnation of the upstream
// has asked for nothing. After it, the host sends one request at a time until
// one is served.
//
// A rest also says something about the keys that the upstream owns, so the
// hosts that assign keys count how many hosts it has asked. Does no I/O. Runs
// on one thread.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <cstddef>
#include <map>
#include <optional>

namespace kumquat::routing {

// A rest that an upstream has asked a host for.
struct UpstreamRest
{
  state::UpstreamId upstream;
  state::HostId host;
  // As the upstream said.
  Duration length{ 0 };
  // What is left of it.
  Duration left{ 0 };
};

class UpstreamRests
{
public:
  explicit UpstreamRests(Clock aClock);

  // Whether this host knows of no rest, past or present.
  bool IsEmpty() const { return this->own.empty(); }
  // Upstreams that this host sends nothing to.
  std::size_t Count() const;
  // When this host may send to the upstream again; empty if it may now.
  std::optional<TimePoint> EndOf(const state::UpstreamId& aId) const;
  // Whether this host may send the upstream a request while so many of its own
  // run there.
  bool Allows(const state::UpstreamId& aId, std::size_t aRunning) const;

  // The upstream has asked this host for rest. aDelay: how much longer this
  // host waits, so that hosts do not return together. Returns whether the rest
  // ends later than was known.
  bool Start(const state::UpstreamId& aId, Duration aLength, Duration aDelay);
  // The upstream has served a request that this host sent at aSentAt.
  void OnServed(const state::UpstreamId& aId, TimePoint aSentAt);
  // A peer was asked for rest.
  void OnPeerRest(const UpstreamRest& aRest);
  // Hosts that the upstream has asked for rest lately, if it was for so long
  // that keys are better served elsewhere.
  std::size_t HostsAsked(const state::UpstreamId& aId) const;

  // The upstream has started anew, or is gone.
  void Forget(const state::UpstreamId& aId);
  // Forgets rests that have long ended.
  void RemoveOld();

private:
  struct Own
  {
    TimePoint until;
    // See HostsAsked.
    TimePoint keysUntil;
  };

  static TimePoint KeysUntil(Duration aLength, TimePoint aEnd);

  const Clock clock;
  std::map<state::UpstreamId, Own> own;
  // Until when each peer counts; see HostsAsked.
  std::map<state::UpstreamId, std::map<state::HostId, TimePoint>> peers;
};

// Longer rests are cut to it.
inline constexpr std::chrono::hours kLongestRest{ 1 };

} // namespace kumquat::routing
