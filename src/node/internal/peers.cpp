// Peers as they were heard, and key maps on the wire.

#include "node/internal/peers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::node {

namespace {

// Four digests; links lose packets, and a loss costs about a retransmission.
constexpr std::chrono::milliseconds kSilence{ 1000 };
// Of hosts that tell each other only each half second.
constexpr std::chrono::milliseconds kFarSilence{ 2500 };

} // namespace

Peers::Peers(state::HostRef aSelf, Clock aClock,
             std::function<bool(const state::HostId&)> aIsMate)
  : self(std::move(aSelf))
  , clock(std::move(aClock))
  , isMate(std::move(aIsMate))
{
}

std::int64_t Peers::LastDigestNumber(const state::HostRef& aHost) const
{
  const auto found = this->peers.find(aHost.host);
  return found != this->peers.end() && found->second.host == aHost
           ? found->second.lastDigestNumber
           : 0;
}

void Peers::OnDigest(const protocol::HostDigest& aDigest)
{
  const state::HostId id{ aDigest.sender.host };
  KnownPeer& peer = this->peers[id];
  // A message of a run that has ended since.
  if (aDigest.sender.incarnation < peer.host.incarnation) {
    return;
  }
  peer.host = { id, aDigest.sender.incarnation };
  peer.lastHeardAt = this->clock();
  peer.leaving = aDigest.leaving;
  peer.reachesStore = aDigest.reachesStore;
  peer.operatorVersion = aDigest.operatorVersion;
  peer.upstreamVersion = aDigest.upstreamVersion;
  peer.hostsVersion = aDigest.hostsVersion;
  peer.lastDigestNumber = aDigest.number;
  peer.maps.clear();
  for (const protocol::KeyMapMark& mark : aDigest.keyMaps) {
    const state::ServiceName service{ mark.serviceName };
    peer.maps[service] = FromWire(mark);
    if (peer.maps[service].assigner == this->self) {
      peer.mapConfirmedAt[service] = this->times.SentAt(mark.heard);
    }
  }
  this->silent.erase(id);
}

TimePoint Peers::LastHeardAt(const state::HostId& aHost) const
{
  const auto found = this->peers.find(aHost);
  return found == this->peers.end() ? TimePoint{} : found->second.lastHeardAt;
}

bool Peers::IsSilent(const state::HostId& aHost, const KnownPeer& aPeer) const
{
  return this->clock() - aPeer.lastHeardAt >=
         (this->isMate(aHost) ? kSilence : kFarSilence);
}

std::set<state::HostId> Peers::Assigners() const
{
  std::map<state::ServiceName, ownership::MapVersion> newest;
  for (const auto& [id, peer] : this->peers) {
    for (const auto& [service, mark] : peer.maps) {
      ownership::MapVersion& known = newest[service];
      if (mark.IsNewerThan(known)) {
        known = mark;
      }
    }
  }
  std::set<state::HostId> assigners;
  for (const auto& [service, mark] : newest) {
    assigners.insert(mark.assigner.host);
  }
  return assigners;
}

std::vector<state::HostId> Peers::LiveCellMembers() const
{
  std::vector<state::HostId> live;
  for (const auto& [id, peer] : this->peers) {
    if (this->isMate(id) && !this->IsSilent(id, peer) && !peer.leaving) {
      live.push_back(id);
    }
  }
  return live;
}

std::vector<ownership::PeerStatus> Peers::ViewsOf(
  const state::ServiceName& aService) const
{
  std::vector<ownership::PeerStatus> views;
  for (const auto& [id, peer] : this->peers) {
    ownership::PeerStatus view{
      peer.host, peer.lastHeardAt, peer.leaving, {}, {}
    };
    const auto said = peer.mapConfirmedAt.find(aService);
    if (said != peer.mapConfirmedAt.end()) {
      view.mapConfirmedAt = said->second;
    }
    const auto map = peer.maps.find(aService);
    if (map != peer.maps.end()) {
      view.mapVersion = map->second;
    }
    views.push_back(std::move(view));
  }
  return views;
}

std::vector<state::HostId> Peers::TakeNewlySilent()
{
  std::vector<state::HostId> fresh;
  for (const auto& [id, peer] : this->peers) {
    if (this->IsSilent(id, peer) && this->silent.insert(id).second) {
      fresh.push_back(id);
    }
  }
  return fresh;
}

ownership::MapVersion FromWire(const protocol::KeyMapMark& aMark)
{
  return { aMark.version,
           aMark.step,
           { { aMark.assigner.host }, aMark.assigner.incarnation } };
}

protocol::KeyMapMark ToWire(const state::ServiceName& aService,
                            const ownership::MapVersion& aMark)
{
  protocol::KeyMapMark mark;
  mark.__set_serviceName(aService.value);
  mark.__set_version(aMark.assignmentVersion);
  mark.__set_step(aMark.revision);
  mark.assigner.__set_host(aMark.assigner.host.value);
  mark.assigner.__set_incarnation(aMark.assigner.incarnation);
  return mark;
}

protocol::KeyMapUpdate ToWire(const state::ServiceName& aService,
                              const ownership::MapVersion& aMark,
                              const std::vector<ownership::MapRange>& aRanges)
{
  protocol::KeyMapUpdate update;
  update.__set_mark(ToWire(aService, aMark));
  std::ranges::transform(aRanges, std::back_inserter(update.ranges),
                         [](const ownership::MapRange& aRange) {
                           protocol::KeyRange range;
                           range.__set_first(aRange.first);
                           range.__set_last(aRange.last);
                           range.__set_upstream(aRange.upstream.value);
                           return range;
                         });
  return update;
}

std::vector<ownership::MapRange> RangesOf(const protocol::KeyMapUpdate& aUpdate)
{
  std::vector<ownership::MapRange> ranges;
  std::ranges::transform(
    aUpdate.ranges, std::back_inserter(ranges),
    [](const protocol::KeyRange& aRange) {
      return ownership::MapRange{ static_cast<ownership::Key>(aRange.first),
                                  static_cast<ownership::Key>(aRange.last),
                                  { aRange.upstream } };
    });
  return ranges;
}

} // namespace kumquat::node
