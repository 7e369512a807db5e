// What this host tells its peers a few times a second, and what it has heard
// from them. On the serving thread.

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

// A peer as it was last heard.
struct KnownPeer
{
  state::HostRef host;
  TimePoint lastHeardAt;
  bool leaving = false;
  bool reachesStore = true;
  state::Version operatorVersion = 0;
  state::Version upstreamVersion = 0;
  state::Version hostsVersion = 0;
  // Of its run; the last that was heard.
  std::int64_t lastDigestNumber = 0;
  std::map<state::ServiceName, ownership::MapVersion> maps;
  // Where a map is this host's own: a time at which the peer surely went by it.
  std::map<state::ServiceName, TimePoint> mapConfirmedAt;
};

class Peers
{
public:
  // aIsMate: the host tells everything, several times a second; others tell
  // less often, and may be silent for longer.
  Peers(state::HostRef aSelf, Clock aClock,
        std::function<bool(const state::HostId&)> aIsMate);

  // The number of the digest that is sent now.
  std::int64_t NextDigest() { return this->times.RecordSend(this->clock()); }
  // The last digest that was heard from a host's run; 0 where there is none.
  std::int64_t LastDigestNumber(const state::HostRef& aHost) const;

  void OnDigest(const protocol::HostDigest& aDigest);

  const std::map<state::HostId, KnownPeer>& All() const { return this->peers; }
  // The epoch where it never was.
  TimePoint LastHeardAt(const state::HostId& aHost) const;
  // Mates heard within the silence that takes a host as gone.
  std::vector<state::HostId> LiveCellMembers() const;
  // Hosts that assign keys by the newest map that any peer goes by.
  std::set<state::HostId> Assigners() const;
  std::vector<ownership::PeerStatus> ViewsOf(
    const state::ServiceName& aService) const;
  // Peers that fell silent since the last call.
  std::vector<state::HostId> TakeNewlySilent();

private:
  bool IsSilent(const state::HostId& aHost, const KnownPeer& aPeer) const;

  const state::HostRef self;
  Clock clock;
  const std::function<bool(const state::HostId&)> isMate;
  ownership::DigestSendTimes times;
  std::map<state::HostId, KnownPeer> peers;
  std::set<state::HostId> silent;
};

ownership::MapVersion FromWire(const protocol::KeyMapMark& aMark);
protocol::KeyMapMark ToWire(const state::ServiceName& aService,
                            const ownership::MapVersion& aMark);
protocol::KeyMapUpdate ToWire(const state::ServiceName& aService,
                              const ownership::MapVersion& aMark,
                              const std::vector<ownership::MapRange>& aRanges);
std::vector<ownership::MapRange> RangesOf(
  const protocol::KeyMapUpdate& aUpdate);

} // namespace kumquat::node
