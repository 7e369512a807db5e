// Decides when a host that is behind in a table requests the missing changes,
// and from whom. It does no I/O: the clock and what peers announce are passed
// in.
//
// A change reaches a host over several paths, and any of them may fail
// silently. So the host doesn't wait for one path to fail for certain before it
// tries the next: the timeouts together would exceed the time that a change may
// take. It queries a peer that has the change, cell members first, as soon as
// the usual path has had its time.

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
    // The host follows the table at the store, so updates are usually on their
    // way.
    bool isFollowing = true;
    // The table holds a large row, which occupies the link of a small host for
    // long.
    bool hasLargeRow = false;
    // The host has no replica of the table yet, so no changes can be forwarded
    // to it.
    bool hasNoReplica = false;
    // Time at which the last bytes of a store response about the table arrived.
    TimePoint storeReceivedAt;
    // Connected peers that announced a newer version, in the order to query
    // them in.
    std::vector<state::HostId> peersAhead;
  };

  struct Requests
  {
    bool readStore = false;
    std::optional<state::HostId> queryPeer;
  };

  explicit CatchUp(Clock aClock);

  // A peer announced a version that this host doesn't have.
  void OnAnnounced(state::Version aVersion);
  // The replica has all changes up to the version. Returns how long the host
  // lacked the oldest change that has now arrived; nothing if none did.
  std::optional<Duration> OnVersionReached(state::Version aVersion);
  void OnPeerResponse() { this->isPeerQueryPending = false; }
  // A full read from the store ended, whoever requested it.
  void OnStoreRead(Duration aTook);

  // Returns what to request now, and counts it as requested; the caller sends
  // these requests.
  Requests TakeRequests(const Situation& aSituation);

  bool IsBehind() const { return !this->missing.empty(); }

private:
  struct Missing
  {
    state::Version version = 0;
    TimePoint announcedAt;
  };

  bool IsLargeRowArriving(const Situation& aSituation) const;
  bool TakeStoreRead(const Situation& aSituation, Duration aBehind);
  std::optional<state::HostId> TakePeerQuery(const Situation& aSituation,
                                             Duration aBehind);

  Clock clock;
  // In ascending order; the first is the oldest missing version.
  std::deque<Missing> missing;
  // A full read from the store was requested and has not ended.
  bool isStoreReadPending = false;
  TimePoint storeReadStartedAt;
  TimePoint nextStoreReadAt;
  // A peer was queried and has not responded.
  bool isPeerQueryPending = false;
  TimePoint peerQueriedAt;
  // Peers are queried in turn, as one that did not respond may not respond to
  // the next query either.
  std::size_t nextPeer = 0;
};

} // namespace kumquat::node
