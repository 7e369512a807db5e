// The size of a majority, and the choice of quorum hosts.

#include "ownership/quorum.h"

#include "framework/rendezvous.h"
#include "ownership/assigner.h"

#include <algorithm>
#include <array>

namespace kumquat::ownership {

namespace {

// Bounds the size of the stored row and the work of counting. A sample of this
// size has its majority where all hosts have theirs.
constexpr std::size_t kMaxQuorumHosts = 60;
// A host without a digest for this time is not counted any more. It must exceed
// the time for which parts of the network lose each other, or each part would
// count only itself, and could not show that the other has stopped.
constexpr std::chrono::minutes kHostExpiry{ 5 };
// Hosts whose last digest is older are not added. In large deployments, digests
// arrive every half second.
constexpr std::chrono::milliseconds kLatelyHeard{ 2000 };
// The longer an assigner is out of touch with the store, the fewer of its hosts
// it may lose, and the fewer of them a successor needs after a loss of most.
struct OutageStep
{
  std::chrono::minutes from;
  // The part of the hosts that may be lost.
  std::size_t divisor;
};
constexpr std::array<OutageStep, 2> kOutageSteps{
  { { std::chrono::minutes(5), 3 }, { std::chrono::minutes(10), 6 } }
};
// An assigner that is out of touch with the store for so long stops, whoever
// uses its map. Otherwise keys could stay without an owner for ever, if all of
// its hosts were lost for good.
constexpr std::chrono::minutes kMaxOutage{ 30 };

bool IsLive(const PeerStatus& aPeer, TimePoint aNow, Duration aMaxSilence)
{
  return !aPeer.leaving && aNow - aPeer.lastHeardAt < aMaxSilence;
}

} // namespace

std::size_t RequiredFollowers(std::size_t aHosts, Duration aUnconfirmed)
{
  if (aUnconfirmed >= kMaxOutage) {
    return kNoQuorum;
  }
  std::size_t required = aHosts / 2 + 1;
  for (const OutageStep& step : kOutageSteps) {
    if (aUnconfirmed >= step.from) {
      required = std::max(required, aHosts - aHosts / step.divisor);
    }
  }
  return required;
}

QuorumHosts ChooseQuorumHosts(const QuorumChoice& aChoice)
{
  QuorumHosts chosen{ aChoice.self };
  const auto isChosen = [&chosen](const state::HostId& aHost) {
    return std::ranges::find(chosen, aHost, &state::HostRef::host) !=
           chosen.end();
  };
  for (const state::HostRef& host : aChoice.current) {
    const auto peer =
      std::ranges::find_if(aChoice.peers, [&host](const PeerStatus& aPeer) {
        return aPeer.host.host == host.host;
      });
    const bool stays = peer == aChoice.peers.end()
                         ? aChoice.now - aChoice.startedAt < kHostExpiry
                         : IsLive(*peer, aChoice.now, kHostExpiry);
    if (stays && !isChosen(host.host) && chosen.size() < kMaxQuorumHosts) {
      chosen.push_back(peer == aChoice.peers.end() ? host : peer->host);
    }
  }
  std::vector<state::HostRef> others;
  for (const PeerStatus& peer : aChoice.peers) {
    if (IsLive(peer, aChoice.now, kLatelyHeard) && !isChosen(peer.host.host)) {
      others.push_back(peer.host);
    }
  }
  // A sample that is spread over all data centres.
  std::ranges::sort(others, {}, [&aChoice](const state::HostRef& aHost) {
    return RendezvousScore(aHost.host.value, aChoice.part);
  });
  const std::size_t room = kMaxQuorumHosts - chosen.size();
  others.resize(std::min(others.size(), room));
  chosen.insert(chosen.end(), others.begin(), others.end());
  std::ranges::sort(chosen);
  return chosen;
}

} // namespace kumquat::ownership
