// What this host tells its peers a few times a second, and what it has heard
// from them. On the serving thread.

#pragma once

#include "framework/clock.h"
#include "ownership/assigner.h"
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
  TimePoint heardAt;
  bool leaving = false;
  state::Version operatorVersion = 0;
  state::Version upstreamVersion = 0;
  std::map<state::ServiceName, ownership::MapMark> maps;
};

class Peers
{
public:
  explicit Peers(Clock aClock);

  // A record of the hosts' table; the address is where the peer connects.
  void OnDigest(const protocol::HostDigest& aDigest);

  const std::map<state::HostId, KnownPeer>& All() const { return this->peers; }
  // Heard within the silence that takes a host as gone.
  std::vector<state::HostId> Live() const;
  std::vector<ownership::PeerView> ViewsOf(
    const state::ServiceName& aService) const;
  // Peers that fell silent since the last call.
  std::vector<state::HostId> TakeSilent();

private:
  Clock clock;
  std::map<state::HostId, KnownPeer> peers;
  std::set<state::HostId> silent;
};

ownership::MapMark FromWire(const protocol::KeyMapMark& aMark);
protocol::KeyMapMark ToWire(const state::ServiceName& aService,
                            const ownership::MapMark& aMark);
protocol::KeyMapUpdate ToWire(const state::ServiceName& aService,
                              const ownership::MapMark& aMark,
                              const std::vector<ownership::MapRange>& aRanges);
std::vector<ownership::MapRange> RangesOf(
  const protocol::KeyMapUpdate& aUpdate);

} // namespace kumquat::node
