// Each host's share of an upstream's rate.

#include "routing/upstreamratelimiter.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquat::routing {

UpstreamRateLimiter::UpstreamRateLimiter(state::HostId aSelf)
  : self(std::move(aSelf))
  , hosts{ this->self }
{
}

void UpstreamRateLimiter::SetHosts(std::vector<state::HostId> aHosts)
{
  this->hosts = std::move(aHosts);
}

SharedRate ColdRate(double aPerSecond)
{
  return { aPerSecond, static_cast<std::size_t>(std::max(1.0, aPerSecond)) };
}

bool UpstreamRateLimiter::MaySend(const state::UpstreamId& aId,
                                  const SharedRate& aRate, TimePoint aNow) const
{
  if (aRate.perSecond <= 0) {
    return true;
  }
  const std::size_t senders =
    std::max<std::size_t>(1, std::min(aRate.senders, this->hosts.size()));
  if (!this->IsSender(aId, senders)) {
    return false;
  }
  const auto sent = this->lastSent.find(aId);
  const std::chrono::duration<double> gap(static_cast<double>(senders) /
                                          aRate.perSecond);
  return sent == this->lastSent.end() || aNow - sent->second >= gap;
}

void UpstreamRateLimiter::OnSent(const state::UpstreamId& aId, TimePoint aNow)
{
  this->lastSent[aId] = aNow;
}

bool UpstreamRateLimiter::IsSender(const state::UpstreamId& aId,
                                   std::size_t aSenders) const
{
  const std::uint64_t own = RendezvousScore(this->self.value, aId.value);
  const auto higher =
    std::ranges::count_if(this->hosts, [&](const state::HostId& aHost) {
      return aHost != this->self &&
             RendezvousScore(aHost.value, aId.value) > own;
    });
  return static_cast<std::size_t>(higher) < aSenders;
}

} // namespace kumquat::routing
