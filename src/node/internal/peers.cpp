// Records of peers' digests, and conversion of key maps to and from messages.

#include "node/internal/peers.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::node {

namespace {

// A cell member is silent after this time without a digest, which is four
// digests. Links lose packets, and each loss delays a digest by about one
// retransmission.
constexpr std::chrono::milliseconds kSilenceTimeout{ 1000 };
// The same for hosts that exchange only brief digests, about every half second.
constexpr std::chrono::milliseconds kBriefSilenceTimeout{ 2500 };

} // namespace

Peers::Peers(state::HostRef aSelf, Clock aClock,
             std::function<bool(const state::HostId&)> aIsCellMember)
  : self(std::move(aSelf))
  , clock(std::move(aClock))
  , isCellMember(std::move(aIsCellMember))
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
  // The digest is of an incarnation that has ended since.
  if (aDigest.sender.incarnation < peer.host.incarnation) {
    return;
  }
  peer.host = { id, aDigest.sender.incarnation };
  peer.lastHeardAt = this->clock();
  peer.leaving = aDigest.leaving;
  peer.reachesStore = aDigest.reachesStore;
  peer.lendsQuotas = aDigest.lendsQuotas;
  peer.offersRelays = aDigest.offersRelays;
  peer.takesProxied = aDigest.takesProxied;
  peer.operatorVersion = aDigest.operatorVersion;
  peer.upstreamVersion = aDigest.upstreamVersion;
  peer.hostsVersion = aDigest.hostsVersion;
  peer.lastDigestNumber = aDigest.number;
  if (!aDigest.keyMapsPartial) {
    peer.mapVersions.clear();
  }
  for (const protocol::KeyMapMark& mark : aDigest.keyMaps) {
    const std::string& part = mark.serviceName;
    peer.mapVersions[part] = FromWire(mark);
    if (peer.mapVersions[part].assigner == this->self) {
      peer.mapConfirmedAt[part] = this->digestSendTimes.SentAt(mark.heard);
    }
  }
  this->silentPeers.erase(id);
}

TimePoint Peers::LastHeardAt(const state::HostId& aHost) const
{
  const auto found = this->peers.find(aHost);
  return found == this->peers.end() ? TimePoint{} : found->second.lastHeardAt;
}

bool Peers::IsSilent(const state::HostId& aHost, const KnownPeer& aPeer) const
{
  return this->clock() - aPeer.lastHeardAt >=
         (this->isCellMember(aHost) ? kSilenceTimeout : kBriefSilenceTimeout);
}

std::set<state::HostId> Peers::Assigners() const
{
  std::map<std::string, ownership::MapVersion> newest;
  for (const auto& [id, peer] : this->peers) {
    for (const auto& [part, version] : peer.mapVersions) {
      ownership::MapVersion& known = newest[part];
      if (version.IsNewerThan(known)) {
        known = version;
      }
    }
  }
  std::set<state::HostId> assigners;
  for (const auto& [part, version] : newest) {
    assigners.insert(version.assigner.host);
  }
  return assigners;
}

std::vector<state::HostId> Peers::LiveCellMembers() const
{
  std::vector<state::HostId> live;
  for (const auto& [id, peer] : this->peers) {
    if (this->isCellMember(id) && !this->IsSilent(id, peer) && !peer.leaving) {
      live.push_back(id);
    }
  }
  return live;
}

std::vector<ownership::PeerStatus> Peers::PeerStatusesFor(
  const std::string& aPart) const
{
  std::vector<ownership::PeerStatus> statuses;
  for (const auto& [id, peer] : this->peers) {
    ownership::PeerStatus status{
      peer.host, peer.lastHeardAt, peer.leaving, {}, {}
    };
    const auto confirmedAt = peer.mapConfirmedAt.find(aPart);
    if (confirmedAt != peer.mapConfirmedAt.end()) {
      status.mapConfirmedAt = confirmedAt->second;
    }
    const auto version = peer.mapVersions.find(aPart);
    if (version != peer.mapVersions.end()) {
      status.mapVersion = version->second;
    }
    statuses.push_back(std::move(status));
  }
  return statuses;
}

std::vector<state::HostId> Peers::TakeNewlySilent()
{
  std::vector<state::HostId> newlySilent;
  for (const auto& [id, peer] : this->peers) {
    if (this->IsSilent(id, peer) && this->silentPeers.insert(id).second) {
      newlySilent.push_back(id);
    }
  }
  return newlySilent;
}

ownership::MapVersion FromWire(const protocol::KeyMapMark& aMark)
{
  return { aMark.version,
           aMark.step,
           { { aMark.assigner.host }, aMark.assigner.incarnation } };
}

protocol::KeyMapMark ToWire(const std::string& aPart,
                            const ownership::MapVersion& aVersion)
{
  protocol::KeyMapMark mark;
  mark.__set_serviceName(aPart);
  mark.__set_version(aVersion.assignmentVersion);
  mark.__set_step(aVersion.revision);
  mark.assigner.__set_host(aVersion.assigner.host.value);
  mark.assigner.__set_incarnation(aVersion.assigner.incarnation);
  return mark;
}

protocol::KeyMapUpdate ToWire(const std::string& aPart,
                              const ownership::MapVersion& aVersion,
                              const std::vector<ownership::MapRange>& aRanges)
{
  protocol::KeyMapUpdate update;
  update.__set_mark(ToWire(aPart, aVersion));
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
