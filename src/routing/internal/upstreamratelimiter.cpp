// Each host's share of an upstream's rate.

#include "routing/upstreamratelimiter.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <cmath>
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
  this->ranks.clear();
}

SharedRate ColdRate(double aPerSecond)
{
  return { aPerSecond, static_cast<std::size_t>(std::max(1.0, aPerSecond)) };
}

SharedRate PaceRate(double aPerSecond)
{
  return { aPerSecond,
           static_cast<std::size_t>(std::max(1.0, std::ceil(aPerSecond))) };
}

SharedRate LimitRate(double aPerSecond)
{
  constexpr std::size_t kExtraSenders = 3;
  return { aPerSecond, static_cast<std::size_t>(aPerSecond) + kExtraSenders };
}

std::size_t UpstreamRateLimiter::SenderCount(const SharedRate& aRate) const
{
  return std::max<std::size_t>(1, std::min(aRate.senders, this->hosts.size()));
}

Duration UpstreamRateLimiter::Gap(const SharedRate& aRate) const
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    static_cast<double>(this->SenderCount(aRate)) / aRate.perSecond));
}

bool UpstreamRateLimiter::MaySend(const state::UpstreamId& aId,
                                  const SharedRate& aRate, TimePoint aNow) const
{
  return aRate.perSecond <= 0 ||
         (this->OwnShare(aId, aRate) > 0 &&
          this->WaitTime(aId, aRate, aNow) <= Duration(0));
}

double UpstreamRateLimiter::OwnShare(const state::UpstreamId& aId,
                                     const SharedRate& aRate) const
{
  const std::size_t senders = this->SenderCount(aRate);
  return this->IsSender(aId, senders)
           ? aRate.perSecond / static_cast<double>(senders)
           : 0;
}

Duration UpstreamRateLimiter::WaitTime(const state::UpstreamId& aId,
                                       const SharedRate& aRate,
                                       TimePoint aNow) const
{
  const auto sent = this->lastSent.find(aId);
  return sent == this->lastSent.end()
           ? Duration(0)
           : std::max(Duration(0), sent->second + this->Gap(aRate) - aNow);
}

void UpstreamRateLimiter::OnSent(const state::UpstreamId& aId, TimePoint aNow)
{
  this->lastSent[aId] = aNow;
}

std::size_t UpstreamRateLimiter::Rank(const state::UpstreamId& aId) const
{
  const auto known = this->ranks.find(aId);
  if (known != this->ranks.end()) {
    return known->second;
  }
  const std::size_t rank =
    RendezvousRank(this->self.value, this->hosts, aId.value);
  return this->ranks.emplace(aId, rank).first->second;
}

bool UpstreamRateLimiter::IsSender(const state::UpstreamId& aId,
                                   std::size_t aSenders) const
{
  return this->Rank(aId) < aSenders;
}

} // namespace kumquat::routing
