// Each host's share of a cold upstream's rate.

#include "routing/coldratelimiter.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquat::routing {

ColdRateLimiter::ColdRateLimiter(state::HostId aSelf)
  : self(std::move(aSelf))
  , hosts{ this->self }
{
}

void ColdRateLimiter::SetHosts(std::vector<state::HostId> aHosts)
{
  this->hosts = std::move(aHosts);
}

std::size_t ColdSenderCount(double aPerSecond, std::size_t aHosts)
{
  const auto whole = static_cast<std::size_t>(std::max(1.0, aPerSecond));
  return std::max<std::size_t>(1, std::min(whole, aHosts));
}

bool ColdRateLimiter::MaySend(const state::UpstreamId& aId, double aPerSecond,
                              TimePoint aNow) const
{
  if (aPerSecond <= 0) {
    return true;
  }
  const std::size_t feeders = ColdSenderCount(aPerSecond, this->hosts.size());
  if (!this->IsSender(aId, feeders)) {
    return false;
  }
  const auto sent = this->lastSent.find(aId);
  const std::chrono::duration<double> gap(static_cast<double>(feeders) /
                                          aPerSecond);
  return sent == this->lastSent.end() || aNow - sent->second >= gap;
}

void ColdRateLimiter::OnSent(const state::UpstreamId& aId, TimePoint aNow)
{
  this->lastSent[aId] = aNow;
}

bool ColdRateLimiter::IsSender(const state::UpstreamId& aId,
                               std::size_t aFeeders) const
{
  const std::uint64_t own = RendezvousScore(this->self.value, aId.value);
  const auto higher =
    std::ranges::count_if(this->hosts, [&](const state::HostId& aHost) {
      return aHost != this->self &&
             RendezvousScore(aHost.value, aId.value) > own;
    });
  return static_cast<std::size_t>(higher) < aFeeders;
}

} // namespace kumquat::routing
