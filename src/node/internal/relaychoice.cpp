// Draws a relay among the candidates.

#include "node/internal/relaychoice.h"

#include <algorithm>
#include <utility>

namespace kumquat::node {

using transport::RelayPeer;

namespace {

constexpr std::chrono::milliseconds kAvoidedFor{ 1000 };

} // namespace

RelayChoice::RelayChoice(Clock aClock, RandomBelow aRandom)
  : clock(std::move(aClock))
  , random(std::move(aRandom))
{
}

std::optional<RelayPeer> RelayChoice::Choose(
  const RelayCandidates& aCandidates, const std::set<std::string>& aTried)
{
  const TimePoint now = this->clock();
  std::erase_if(this->avoidedUntil,
                [now](const auto& aItem) { return aItem.second <= now; });
  const bool isFirst = aTried.empty();
  const auto& first = isFirst ? aCandidates.near : aCandidates.far;
  const auto& second = isFirst ? aCandidates.far : aCandidates.near;
  const auto peer = this->Draw(first, aTried);
  return peer ? peer : this->Draw(second, aTried);
}

std::optional<RelayPeer> RelayChoice::Draw(std::vector<RelayPeer> aPeers,
                                           const std::set<std::string>& aTried)
{
  std::erase_if(aPeers, [&](const RelayPeer& aPeer) {
    return aTried.contains(aPeer.host) ||
           this->avoidedUntil.contains({ aPeer.host });
  });
  if (aPeers.empty()) {
    return std::nullopt;
  }
  return std::move(aPeers[this->random(aPeers.size())]);
}

void RelayChoice::OnLost(const state::HostId& aHost)
{
  this->avoidedUntil[aHost] = this->clock() + kAvoidedFor;
}

} // namespace kumquat::node
