// Times of asking for changes.

#include "node/internal/catchup.h"

#include <algorithm>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

// News that are passed on arrive about as soon as a digest that names them.
constexpr milliseconds kNewsUnderWay{ 100 };
// A host that follows a table gathers changes before it asks for more.
constexpr milliseconds kFollowerHasNews{ 300 };
// By then the host's own way has failed, whatever the reason.
constexpr milliseconds kOwnWayIsSilent{ 600 };
// Of hosts that start together; their first copies of all tables come from few.
constexpr milliseconds kFirstCopies{ 1500 };
// Until the first bytes of an answer, and between them on a small link.
constexpr milliseconds kBetweenBytes{ 400 };
// Until another peer is asked.
constexpr milliseconds kPeerTakes{ 500 };
constexpr milliseconds kPeerTakesLarge{ 1500 };
constexpr milliseconds kPeerAgain{ 200 };
// Between two reads of a large table the link is left to requests for half as
// long as the read took, but no longer than this.
constexpr milliseconds kMostRest{ 300 };

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
      longest = this->clock() - this->missing.front().namedAt;
    }
    this->missing.pop_front();
  }
  return longest;
}

void CatchUp::OnStoreRead(Duration aTook)
{
  this->storeOwes = false;
  this->storeDue = this->clock() + std::min<Duration>(kMostRest, aTook / 2);
}

CatchUp::Requests CatchUp::TakeRequests(const Situation& aSituation)
{
  if (this->missing.empty()) {
    return {};
  }
  const Duration behind = this->clock() - this->missing.front().namedAt;
  return { this->TakeStore(aSituation, behind),
           this->TakePeer(aSituation, behind) };
}

// A large row is on its way from the store, or its first bytes are not due yet.
// Had from elsewhere as well it would take twice as long.
bool CatchUp::IsArriving(const Situation& aSituation) const
{
  const TimePoint alive =
    this->storeOwes ? std::max(this->storeAskedAt, aSituation.storeReceivedAt)
                    : aSituation.storeReceivedAt;
  return aSituation.isStoreAvailable && aSituation.isLarge &&
         this->clock() - alive < kBetweenBytes;
}

bool CatchUp::TakeStore(const Situation& aSituation, Duration aBehind)
{
  // Large rows are not passed on, so that nothing is under way to a host that
  // does not follow. Small ones are had from a peer with fewer bytes.
  const bool isNotPassedOn = aSituation.isLarge && !aSituation.isFollowing;
  const Duration ofSmall = aSituation.hasNoReplica && !aSituation.isFollowing
                             ? kFirstCopies
                             : kOwnWayIsSilent;
  const Duration patience = isNotPassedOn ? milliseconds(0) : ofSmall;
  const bool isArriving =
    aSituation.isFollowing && this->IsArriving(aSituation);
  if (!aSituation.isStoreAvailable || this->storeOwes || isArriving ||
      aBehind < patience || this->clock() < this->storeDue) {
    return false;
  }
  this->storeOwes = true;
  this->storeAskedAt = this->clock();
  return true;
}

std::optional<state::HostId> CatchUp::TakePeer(const Situation& aSituation,
                                               Duration aBehind)
{
  const bool hasOwnWay = aSituation.isStoreAvailable && aSituation.isFollowing;
  const Duration ofOwnWay =
    aSituation.isLarge ? kOwnWayIsSilent : kFollowerHasNews;
  const Duration ofNews =
    aSituation.hasNoReplica ? milliseconds(0) : kNewsUnderWay;
  const Duration patience = hasOwnWay ? ofOwnWay : ofNews;
  const Duration sinceAsked = this->clock() - this->peerAskedAt;
  const Duration pause = !this->peerOwes      ? kPeerAgain
                         : aSituation.isLarge ? kPeerTakesLarge
                                              : kPeerTakes;
  if (aSituation.peersAhead.empty() || this->IsArriving(aSituation) ||
      aBehind < patience || sinceAsked < pause) {
    return std::nullopt;
  }
  this->peerOwes = true;
  this->peerAskedAt = this->clock();
  return aSituation.peersAhead[this->turn++ % aSituation.peersAhead.size()];
}

} // namespace kumquat::node
