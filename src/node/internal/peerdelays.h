// How much longer than usual a peer's message was on its way, as the peer or
// its link may have stood still meanwhile. A message carries the sender's own
// clock. Clocks of different hosts are not compared: only how the difference
// between the two changes is looked at. Does no I/O.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace kumquat::node {

class PeerDelays
{
public:
  explicit PeerDelays(Clock aClock)
    : clock(std::move(aClock))
  {
  }

  // Records a message that was sent at that time of the sender's clock. Returns
  // its time on the way beyond the shortest that was seen of this incarnation.
  Duration OnMessage(const state::HostId& aPeer, std::int64_t aIncarnation,
                     Duration aSentAt)
  {
    const TimePoint now = this->clock();
    const Duration difference = now.time_since_epoch() - aSentAt;
    Peer& peer = this->peers[aPeer];
    if (peer.incarnation != aIncarnation) {
      peer = { aIncarnation, difference, now };
    }
    // Clocks drift, so the shortest time is slowly forgotten.
    peer.shortest += (now - peer.updatedAt) / kDriftPart;
    peer.shortest = std::min(peer.shortest, difference);
    peer.updatedAt = now;
    return difference - peer.shortest;
  }

private:
  struct Peer
  {
    std::int64_t incarnation = 0;
    Duration shortest{ 0 };
    TimePoint updatedAt;
  };

  // Clocks drift apart by less than one part in so many.
  static constexpr int kDriftPart = 1000;

  const Clock clock;
  // Kept when a peer is lost: the first message after a link that stood still
  // must not pass for the shortest.
  std::map<state::HostId, Peer> peers;
};

} // namespace kumquat::node
