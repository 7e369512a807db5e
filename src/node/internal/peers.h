// State of the peers as their last digests reported it, and conversion of key
// maps to and from messages. Used on the serving thread.

#pragma once

#include "framework/clock.h"
#include "ownership/assigner.h"
#include "ownership/digestsendtimes.h"
#include "ownership/keymap.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat::node {

// State of a peer as its last digest reported it.
struct KnownPeer
{
  state::HostRef host;
  // When the last digest of its current incarnation arrived.
  TimePoint lastHeardAt;
  bool leaving = false;
  bool reachesStore = true;
  bool lendsQuotas = false;
  bool offersRelays = false;
  // See HostDigest::takesProxied.
  bool takesProxied = false;
  state::Version operatorVersion = 0;
  state::Version upstreamVersion = 0;
  state::Version hostsVersion = 0;
  // Number of the last digest of its current incarnation.
  std::int64_t lastDigestNumber = 0;
  std::map<std::string, ownership::MapVersion> mapVersions;
  // For parts whose map this host assigns: a time at which the peer
  // certainly used that map.
  std::map<std::string, TimePoint> mapConfirmedAt;

  // Whether the peer uses a map of the part.
  bool HasMap(const std::string& aPart) const
  {
    const auto found = this->mapVersions.find(aPart);
    return found != this->mapVersions.end() &&
           found->second.assignmentVersion > 0;
  }
};

class Peers
{
public:
  // aIsCellMember: whether a host is a cell member, which sends full digests
  // several times a second. Other hosts send less often and may be silent for
  // longer.
  Peers(state::HostRef aSelf, Clock aClock,
        std::function<bool(const state::HostId&)> aIsCellMember);

  // Records that a digest is sent now and returns its number.
  std::int64_t NextDigest()
  {
    return this->digestSendTimes.RecordSend(this->clock());
  }
  // The number of the last digest received from this incarnation of a host; 0
  // if there is none.
  std::int64_t LastDigestNumber(const state::HostRef& aHost) const;

  void OnDigest(const protocol::HostDigest& aDigest);

  const std::map<state::HostId, KnownPeer>& All() const { return this->peers; }
  // Time of the last digest of the host; the epoch if none was received.
  TimePoint LastHeardAt(const state::HostId& aHost) const;
  // Cell members that are neither silent for too long nor leaving.
  std::vector<state::HostId> LiveCellMembers() const;
  // The assigner of each part according to the newest map that any peer
  // uses.
  std::set<state::HostId> Assigners() const;
  std::vector<ownership::PeerStatus> PeerStatusesFor(
    const std::string& aPart) const;
  // Peers that became silent since the last call.
  std::vector<state::HostId> TakeNewlySilent();

private:
  bool IsSilent(const state::HostId& aHost, const KnownPeer& aPeer) const;

  const state::HostRef self;
  Clock clock;
  const std::function<bool(const state::HostId&)> isCellMember;
  ownership::DigestSendTimes digestSendTimes;
  std::map<state::HostId, KnownPeer> peers;
  std::set<state::HostId> silentPeers;
};

ownership::MapVersion FromWire(const protocol::KeyMapMark& aMark);
protocol::KeyMapMark ToWire(const std::string& aPart,
                            const ownership::MapVersion& aVersion);
protocol::KeyMapUpdate ToWire(const std::string& aPart,
                              const ownership::MapVersion& aVersion,
                              const std::vector<ownership::MapRange>& aRanges);
std::vector<ownership::MapRange> RangesOf(
  const protocol::KeyMapUpdate& aUpdate);

} // namespace kumquat::node
