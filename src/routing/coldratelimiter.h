// Limits the rate of requests to cold upstreams (slow start). A cold upstream
// fails under its full load, and the rate that it can handle counts for all
// hosts together. Each host keeps to a share of it without messages: rendezvous
// hashing selects a few of the reachable hosts as senders of an upstream, and
// each sender keeps an interval between its requests, so that together they
// come to the upstream's rate.

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

  // aHosts are the reachable hosts, this one included.
  void SetHosts(std::vector<state::HostId> aHosts);

  // Whether this host may send the upstream a request now. aPerSecond is the
  // rate that the upstream can handle from all hosts together; 0 means that
  // there is no limit.
  bool MaySend(const state::UpstreamId& aId, double aPerSecond,
               TimePoint aNow) const;
  // Records that this host has sent the upstream a request.
  void OnSent(const state::UpstreamId& aId, TimePoint aNow);

private:
  bool IsSender(const state::UpstreamId& aId, std::size_t aFeeders) const;

  const state::HostId self;
  std::vector<state::HostId> hosts;
  std::map<state::UpstreamId, TimePoint> lastSent;
};

// Number of hosts that may send requests to one cold upstream: as many as can
// each send one request within a second without exceeding aPerSecond, at least
// one and at most aHosts.
std::size_t ColdSenderCount(double aPerSecond, std::size_t aHosts);

} // namespace kumquat::routing
