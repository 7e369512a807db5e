// Timeouts and intervals of the requests for missing changes.

#include "node/internal/catchup.h"

#include <algorithm>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

// Forwarded updates arrive at about the same time as a digest that announces
// them.
constexpr milliseconds kForwardedUpdateWait{ 100 };
// A follower pauses after each update to collect further changes before it asks
// the store again.
constexpr milliseconds kFollowerWait{ 300 };
// After this time the usual path to this host has failed, whatever the reason.
constexpr milliseconds kUsualPathTimeout{ 600 };
// Longer wait for the first replicas of hosts that start together, as few peers
// can provide them.
constexpr milliseconds kFirstReplicaWait{ 1500 };
// Timeout for the first bytes of a response, and between its pieces on a slow
// link.
constexpr milliseconds kByteTimeout{ 400 };
// Timeouts after which the next peer is queried, without and with a large row
// in the table, and the minimum interval of queries after a response.
constexpr milliseconds kPeerTimeout{ 500 };
constexpr milliseconds kLargeRowPeerTimeout{ 1500 };
constexpr milliseconds kPeerQueryInterval{ 200 };
// Between two full reads the link is left to requests for half the duration of
// the last read, at most this long.
constexpr milliseconds kMaxReadPause{ 300 };

} // namespace

CatchUp::CatchUp(Clock aClock)
  : clock(std::move(aClock))
{
}

void CatchUp::OnAnnounced(state::Version aVersion)
{
  if (this->missing.empty() || this->missing.back().version < aVersion) {
    this->missing.push_back({ aVersion, this->clock() });
  }
}

std::optional<Duration> CatchUp::OnVersionReached(state::Version aVersion)
{
  std::optional<Duration> longest;
  while (!this->missing.empty() && this->missing.front().version <= aVersion) {
    if (!longest) {
      longest = this->clock() - this->missing.front().announcedAt;
    }
    this->missing.pop_front();
  }
  return longest;
}

void CatchUp::OnStoreRead(Duration aTook)
{
  this->isStoreReadPending = false;
  this->nextStoreReadAt =
    this->clock() + std::min<Duration>(kMaxReadPause, aTook / 2);
}

CatchUp::Requests CatchUp::TakeRequests(const Situation& aSituation)
{
  if (this->missing.empty()) {
    return {};
  }
  const Duration behind = this->clock() - this->missing.front().announcedAt;
  return { this->TakeStoreRead(aSituation, behind),
           this->TakePeerQuery(aSituation, behind) };
}

// Whether a large row is arriving from the store, or its first bytes are not
// overdue yet. Requesting it from a peer as well would take the link twice as
// long.
bool CatchUp::IsLargeRowArriving(const Situation& aSituation) const
{
  const TimePoint lastActivityAt =
    this->isStoreReadPending
      ? std::max(this->storeReadStartedAt, aSituation.storeReceivedAt)
      : aSituation.storeReceivedAt;
  return aSituation.isStoreAvailable && aSituation.hasLargeRow &&
         this->clock() - lastActivityAt < kByteTimeout;
}

bool CatchUp::TakeStoreRead(const Situation& aSituation, Duration aBehind)
{
  // Large rows are not forwarded, so no update is on its way to a host that
  // doesn't follow the table. Small rows cost fewer bytes from a peer.
  const bool isNotForwarded = aSituation.hasLargeRow && !aSituation.isFollowing;
  const Duration smallRowWait =
    aSituation.hasNoReplica && !aSituation.isFollowing ? kFirstReplicaWait
                                                       : kUsualPathTimeout;
  const Duration wait = isNotForwarded ? milliseconds(0) : smallRowWait;
  const bool isArriving =
    aSituation.isFollowing && this->IsLargeRowArriving(aSituation);
  if (!aSituation.isStoreAvailable || this->isStoreReadPending || isArriving ||
      aBehind < wait || this->clock() < this->nextStoreReadAt) {
    return false;
  }
  this->isStoreReadPending = true;
  this->storeReadStartedAt = this->clock();
  return true;
}

std::optional<state::HostId> CatchUp::TakePeerQuery(const Situation& aSituation,
                                                    Duration aBehind)
{
  const bool isUpdatedByStore =
    aSituation.isStoreAvailable && aSituation.isFollowing;
  const Duration storeWait =
    aSituation.hasLargeRow ? kUsualPathTimeout : kFollowerWait;
  const Duration forwardWait =
    aSituation.hasNoReplica ? milliseconds(0) : kForwardedUpdateWait;
  const Duration wait = isUpdatedByStore ? storeWait : forwardWait;
  const Duration sinceLastQuery = this->clock() - this->peerQueriedAt;
  const Duration interval = !this->isPeerQueryPending ? kPeerQueryInterval
                            : aSituation.hasLargeRow  ? kLargeRowPeerTimeout
                                                      : kPeerTimeout;
  if (aSituation.peersAhead.empty() || this->IsLargeRowArriving(aSituation) ||
      aBehind < wait || sinceLastQuery < interval) {
    return std::nullopt;
  }
  this->isPeerQueryPending = true;
  this->peerQueriedAt = this->clock();
  return aSituation.peersAhead[this->nextPeer++ % aSituation.peersAhead.size()];
}

} // namespace kumquat::node
