// Limits the rate of requests to an upstream, over all hosts together: a cold
// one (slow start) fails under its full load. Each host keeps to a share of the
// rate without messages: rendezvous hashing selects a few of the reachable
// hosts as senders of an upstream, and each sender keeps an interval between
// its requests, so that together they come to the upstream's rate.
//
// In any span of time, the senders together send at most the rate times the
// span and one request each.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <cstddef>
#include <map>
#include <vector>

namespace kumquat::routing {

// A rate that all hosts share.
struct SharedRate
{
  // From all hosts together; 0 means that there is no limit.
  double perSecond = 0;
  // Number of hosts that may send, at most.
  std::size_t senders = 1;
};

// What an upstream takes that names a limit, over spans of some seconds. A few
// senders more than a cold upstream has leave fewer hosts without a share.
SharedRate LimitRate(double aPerSecond);

// What a cold upstream can handle: as many senders as can each send one request
// within a second without exceeding the rate, at least one.
SharedRate ColdRate(double aPerSecond);

// As ColdRate, with so many senders that each has one request within any
// second, where there are as many hosts.
SharedRate PaceRate(double aPerSecond);

class UpstreamRateLimiter
{
public:
  explicit UpstreamRateLimiter(state::HostId aSelf);

  // aHosts are the reachable hosts, this one included.
  void SetHosts(std::vector<state::HostId> aHosts);

  // Whether this host may send the upstream a request now.
  bool MaySend(const state::UpstreamId& aId, const SharedRate& aRate,
               TimePoint aNow) const;
  // This host's share of the rate per second; 0 if it may not send.
  double OwnShare(const state::UpstreamId& aId, const SharedRate& aRate) const;
  // How long this host's next request has to wait, if it may send any.
  Duration WaitTime(const state::UpstreamId& aId, const SharedRate& aRate,
                    TimePoint aNow) const;
  // Records that this host has sent the upstream a request.
  void OnSent(const state::UpstreamId& aId, TimePoint aNow);

private:
  std::size_t SenderCount(const SharedRate& aRate) const;
  Duration Gap(const SharedRate& aRate) const;
  // Number of hosts that precede this one as senders of the upstream.
  std::size_t Rank(const state::UpstreamId& aId) const;
  bool IsSender(const state::UpstreamId& aId, std::size_t aSenders) const;

  const state::HostId self;
  std::vector<state::HostId> hosts;
  // See Rank; kept until the hosts change, as hashing all hosts for each
  // request would cost more than the request where there are hundreds.
  mutable std::map<state::UpstreamId, std::size_t> ranks;
  std::map<state::UpstreamId, TimePoint> lastSent;
};

} // namespace kumquat::routing
