// Which upstreams this host reaches directly, and which only through a peer.
//
// An upstream that does not answer may be down, or the link to it may be. This
// host cannot tell one from the other, but a peer can: if a peer connects to
// the upstream, the link is down, and connections go through peers until a
// direct attempt succeeds. Does no I/O. Runs on one thread.

#pragma once

#include "framework/clock.h"
#include "transport/dial.h"

#include <cstddef>
#include <string>
#include <unordered_map>

namespace kumquat::routing {

class UpstreamPaths
{
public:
  explicit UpstreamPaths(Clock aClock);

  // Which ways to try for the next connection to the address.
  transport::DialPlan PlanFor(const std::string& aAddress);
  // aSince: see DialHooks::onOutcome.
  void OnOutcome(const std::string& aAddress, transport::DialOutcome aOutcome,
                 TimePoint aSince);
  // Whether an idle connection, on which bytes last came at aHeardAt, may carry
  // another request.
  bool MayReuse(const std::string& aAddress, bool aIsRelayed,
                TimePoint aHeardAt);
  // Whether a direct attempt is due at an address that is reached through
  // peers. Counts it as made.
  bool TakeProbe(const std::string& aAddress);
  // Whether the address is reached through peers only.
  bool IsRelayed(const std::string& aAddress) const;
  // Whether this host has no direct connection to at least half of the
  // upstreams that it uses. Such a host cannot help others.
  bool IsCutOff() const;
  std::size_t RelayedCount() const { return this->relayedCount; }
  // Forgets addresses that were not used for a while.
  void RemoveOld();

private:
  struct Path
  {
    // The last direct attempt has failed. The upstream itself may be down.
    bool isDirectDown = false;
    // A peer has connected since the last direct connection.
    bool isRelayed = false;
    TimePoint usedAt;
    TimePoint triedDirectlyAt;
    // Direct connections on which nothing has come since then are not used
    // again.
    TimePoint silentSince;
  };

  void OnSilence(Path& aPath, const std::string& aAddress, TimePoint aSince);
  void SetRelayed(Path& aPath, bool aIsRelayed);
  bool AreLinksInDoubt() const;

  const Clock clock;
  std::unordered_map<std::string, Path> paths;
  // Number of paths with isRelayed.
  std::size_t relayedCount = 0;
  // The last address that went silent, and when that was noticed.
  std::string lastSilent;
  TimePoint lastSilentAt;
  // Like Path::silentSince, for all addresses.
  TimePoint allSilentSince;
  // When a second address was last noticed to be silent.
  TimePoint inDoubtAt;
};

} // namespace kumquat::routing
