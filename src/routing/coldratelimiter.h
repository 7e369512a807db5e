// Paces requests to cold upstreams. A cold upstream falls over under its full
// load, and what it bears counts for all hosts together, so every host keeps
// to a share that needs no messages: of the hosts that are up, a few are
// feeders of the upstream, drawn by rendezvous hashing, and each leaves a gap
// after a request that makes the sum come to the upstream's rate.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <map>
#include <vector>

namespace kumquat::routing {

class ColdRateLimiter
{
public:
  explicit ColdRateLimiter(state::HostId aSelf);

  // aHosts are those heard lately, this one included.
  void SetHosts(std::vector<state::HostId> aHosts);

  // Whether this host may send the upstream a request now; aPerSecond is what
  // the upstream bears from all hosts together.
  bool MaySend(const state::UpstreamId& aId, double aPerSecond,
               TimePoint aNow) const;
  void OnSent(const state::UpstreamId& aId, TimePoint aNow);

private:
  bool IsSender(const state::UpstreamId& aId, std::size_t aFeeders) const;

  const state::HostId self;
  std::vector<state::HostId> hosts;
  std::map<state::UpstreamId, TimePoint> lastSent;
};

// Feeders of an upstream: as many as may each send one request within a second
// and keep the sum under the rate, one at least.
std::size_t ColdSenderCount(double aPerSecond, std::size_t aHosts);

} // namespace kumquat::routing
