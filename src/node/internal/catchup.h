// How a host gets the changes of a table that its peers have and it has not:
// whom it asks, and when. Pure: the clock and what peers say come in.
//
// A change reaches a host on several ways, and any of them may be silent
// without showing it. So the ways are not tried one after the other, each until
// it has surely failed: together their waits would be longer than a change may
// take. The nearest peer that has the change is asked as soon as the usual way
// has had its time.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace kumquat::node {

class CatchUp
{
public:
  struct Situation
  {
    bool isStoreAvailable = true;
    // The host follows the table at the store, so that news are mostly on their
    // way.
    bool isFollowing = true;
    // The table holds a large row, which takes a small host's link for long.
    bool isLarge = false;
    // Nothing of the table is here yet: no news can be passed on to this host.
    bool hasNoReplica = false;
    // When bytes of an answer about the table last came from the store.
    TimePoint storeReceivedAt;
    // Peers that have more and can be reached, in the order to ask them in.
    std::vector<state::HostId> peersAhead;
  };

  struct Requests
  {
    bool readStore = false;
    std::optional<state::HostId> queryPeer;
  };

  explicit CatchUp(Clock aClock);

  // A peer has named a change that this host does not have.
  void OnAnnounced(state::Version aVersion);
  // All changes up to the version are here. How long the host lacked the oldest
  // one that it has now and had not before.
  std::optional<Duration> OnVersionReached(state::Version aVersion);
  void OnPeerAnswer() { this->peerOwes = false; }
  // A whole read at the store ended, whoever asked for it.
  void OnStoreRead(Duration aTook);

  // What to do now; what it names counts as asked.
  Requests TakeRequests(const Situation& aSituation);

  bool IsBehind() const { return !this->missing.empty(); }

private:
  struct Missing
  {
    state::Version version = 0;
    TimePoint namedAt;
  };

  bool IsArriving(const Situation& aSituation) const;
  bool TakeStore(const Situation& aSituation, Duration aBehind);
  std::optional<state::HostId> TakePeer(const Situation& aSituation,
                                        Duration aBehind);

  Clock clock;
  // Rising; the first is the oldest that is not here.
  std::deque<Missing> missing;
  // A read at the store was asked for and has not ended.
  bool storeOwes = false;
  TimePoint storeAskedAt;
  TimePoint storeDue;
  // A peer was asked and has not answered.
  bool peerOwes = false;
  TimePoint peerAskedAt;
  // Peers are asked in turn, as one that does not answer may not answer again.
  std::size_t turn = 0;
};

} // namespace kumquat::node
