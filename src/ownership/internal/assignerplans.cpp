// Assigner: planning which keys are reassigned to which upstream.

#include "ownership/assigner.h"

#include "ownership/internal/assignertiming.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <string>
#include <utility>

namespace kumquat::ownership {

using std::chrono::milliseconds;

namespace {

// Keys that have just moved are not moved again for this time: the effect on
// the loads shows only then, and each move makes their callers wait.
constexpr milliseconds kPauseAfterMove{ 1200 };
// Adjacent ranges of one holder are renewed separately until they are merged.
// A merge takes one write and one grant, and saves many renewals.
constexpr milliseconds kMergeInterval{ 2000 };
constexpr milliseconds kPauseBeforeMerge{ 4000 };
constexpr std::size_t kMaxMerges = 30;
// Hosts start and stop one after the other.
constexpr milliseconds kQuorumInterval{ 2000 };
// An upstream that fails receives no keys for the first of these times, which
// doubles with each further failure up to the second.
constexpr milliseconds kFirstBackoff{ 3000 };
constexpr milliseconds kMaxBackoff{ 24'000 };
// The last requests of kRequestWindow are balanced first, to find keys that
// have suddenly become hot: in the whole window that takes seconds. So few
// requests can only show an upstream that receives many times its share.
constexpr milliseconds kHotKeyWindow{ 600 };
constexpr double kHotKeyOverloadFactor = 3.0;
// With fewer requests, the short window shows random variation: a busy key of a
// small service was moved back and forth, and the requests that were refused
// during the moves rose from 0.7 to 2.3 of 100.
constexpr std::size_t kHotKeyMinRequests = 300;
// A move of keys that have moved within this time is a second one.
constexpr milliseconds kSecondMoveWithin{ 10'000 };
// The loss of a data centre moves hundreds of ranges at once, and again with
// each plan that could not be stored.
constexpr std::size_t kMaxRecentMoves = 1000;

constexpr std::array<std::pair<MoveReason, std::string_view>, 4> kMoveReasons{ {
  { MoveReason::kHotKeys, "hot-keys" },
  { MoveReason::kOverload, "overload" },
  { MoveReason::kNewOwner, "new-owner" },
  { MoveReason::kReplacement, "replacement" },
} };

} // namespace

std::string_view MoveReasonName(MoveReason aReason)
{
  return std::ranges::find(kMoveReasons, aReason,
                           &decltype(kMoveReasons)::value_type::first)
    ->second;
}

bool Assigner::IsBackedOff(const state::UpstreamId& aId) const
{
  const auto found = this->backoffs.find(aId);
  return found != this->backoffs.end() &&
         found->second.until > this->hooks.now();
}

void Assigner::StartBackoff(const state::UpstreamId& aId)
{
  const TimePoint now = this->hooks.now();
  Backoff& backoff = this->backoffs[aId];
  // All ranges of an upstream fail together, which counts as one failure.
  if (backoff.until > now) {
    return;
  }
  backoff.duration = backoff.duration.count() == 0
                       ? kFirstBackoff
                       : std::min(kMaxBackoff, backoff.duration * 2);
  backoff.until = now + backoff.duration;
}

bool Assigner::HasUngrantedRange(const Holder& aHolder) const
{
  return std::ranges::any_of(
    this->ranges, [&aHolder](const RangeState& aRange) {
      return aRange.assigned.holder == aHolder && !aRange.granted;
    });
}

const OwnerCandidate* Assigner::FindCandidate(
  const std::vector<OwnerCandidate>& aCandidates, const Holder& aHolder) const
{
  const auto found = std::ranges::find_if(
    aCandidates, [&aHolder](const OwnerCandidate& aCandidate) {
      return aCandidate.holder == aHolder;
    });
  return found == aCandidates.end() || !found->mayOwn ||
             this->IsBackedOff(aHolder.upstream)
           ? nullptr
           : &*found;
}

std::vector<Key> Assigner::SortedRequestKeys(Duration aWindow) const
{
  const TimePoint from = this->hooks.now() - aWindow;
  const auto first =
    std::ranges::find_if(this->recentRequests, [from](const auto& aEntry) {
      return aEntry.first >= from;
    });
  std::vector<Key> keys;
  std::transform(first, this->recentRequests.end(), std::back_inserter(keys),
                 [](const auto& aEntry) { return aEntry.second; });
  std::ranges::sort(keys);
  return keys;
}

void Assigner::PlanChanges()
{
  const TimePoint now = this->hooks.now();
  if (this->writePending || this->phase != Phase::kActive ||
      !this->storeAvailable || this->leaving) {
    return;
  }
  this->planDue = now + kPlanInterval;
  Assignment next = this->assignment;
  // Previous holders of a granted range have no lease any more, so a successor
  // need not wait for them.
  for (std::size_t i = 0; i < this->ranges.size(); ++i) {
    if (this->ranges[i].granted) {
      next.ranges[i].previousHolders.clear();
    }
  }
  const bool isQuorumDue = this->PlanQuorum(next);
  if (this->PlanReplacements(next, this->candidates) ||
      this->PlanBalance(next, this->candidates) || this->PlanMerges(next) ||
      isQuorumDue) {
    this->WriteAssignment(next);
  }
}

bool Assigner::PlanQuorum(Assignment& aNext)
{
  aNext.quorumHosts = this->ChooseHosts(aNext.quorumHosts);
  if (!this->predecessorsMayRenew) {
    aNext.earlierAssigners.clear();
  }
  const TimePoint now = this->hooks.now();
  const bool hasChanged =
    aNext.quorumHosts != this->assignment.quorumHosts ||
    aNext.earlierAssigners != this->assignment.earlierAssigners;
  if (!hasChanged || now < this->quorumDue) {
    return false;
  }
  this->quorumDue = now + kQuorumInterval;
  this->hooks.log("quorum", std::to_string(aNext.quorumHosts.size()) +
                              " hosts, " +
                              std::to_string(aNext.earlierAssigners.size()) +
                              " earlier assigners");
  return true;
}

// A holder that can be released keeps its keys until then. One that cannot has
// to be waited for, and the sooner that begins the better.
bool Assigner::MustWaitToRelease(const RangeState& aRange) const
{
  const Holder& holder = aRange.assigned.holder;
  return aRange.granted && this->MayBeRenewedByOthers(aRange.lease) &&
         !this->IsBackedOff(holder.upstream) &&
         std::ranges::any_of(this->candidates,
                             [&holder](const OwnerCandidate& aCandidate) {
                               return aCandidate.holder == holder;
                             });
}

// Reassigns the keys of holders that may not own keys or do not respond.
bool Assigner::PlanReplacements(Assignment& aNext,
                                const std::vector<OwnerCandidate>& aCandidates)
{
  std::vector<std::pair<OwnerCandidate, double>> loads;
  const auto collect = [&](bool aCold) {
    for (const OwnerCandidate& candidate : aCandidates) {
      if (candidate.mayOwn && candidate.cold == aCold &&
          !this->IsBackedOff(candidate.holder.upstream)) {
        loads.emplace_back(candidate, 0.0);
      }
    }
  };
  collect(false);
  if (loads.empty()) {
    collect(true);
  }
  if (loads.empty()) {
    return false;
  }
  const std::vector<Key> keys = this->SortedRequestKeys(kRequestWindow);
  for (auto& [candidate, load] : loads) {
    for (const RangeState& range : this->ranges) {
      if (range.assigned.holder == candidate.holder) {
        const auto begin = std::ranges::lower_bound(keys, range.assigned.first);
        const auto end = std::ranges::upper_bound(keys, range.assigned.last);
        // The number of keys counts a little as well, for services without
        // requests yet.
        load +=
          static_cast<double>(end - begin) +
          static_cast<double>(range.assigned.last - range.assigned.first) /
            kLastKey;
      }
    }
    load /= candidate.capacity;
  }
  bool changed = false;
  for (RangeState& range : this->ranges) {
    if (this->FindCandidate(aCandidates, range.assigned.holder) == nullptr &&
        !this->MustWaitToRelease(range)) {
      this->ReassignRange(aNext, range, keys, loads);
      this->RecordMove(range.assigned.first, range.assigned.last,
                       MoveReason::kReplacement);
      // If the new holder has to wait until this lease expires, no renewal may
      // extend it. A lease that can be released is renewed until the change is
      // stored.
      range.renewalsStopped = this->IsBackedOff(range.assigned.holder.upstream);
      changed = true;
    }
  }
  return changed;
}

// Splits a busy range into pieces, so that the requests of one lost upstream do
// not overload another one.
void Assigner::ReassignRange(
  Assignment& aNext, const RangeState& aRange,
  const std::vector<Key>& aRequests,
  std::vector<std::pair<OwnerCandidate, double>>& aLoads)
{
  constexpr int kPieces = 3;
  const auto begin = std::ranges::lower_bound(aRequests, aRange.assigned.first);
  const auto end = std::ranges::upper_bound(aRequests, aRange.assigned.last);
  const auto count = end - begin;
  const double share =
    static_cast<double>(aRequests.size()) / static_cast<double>(aLoads.size());
  const int pieces = static_cast<double>(count) > share / 2 ? kPieces : 1;
  Key first = aRange.assigned.first;
  for (int i = 1; i <= pieces; ++i) {
    const Key last = i == pieces
                       ? aRange.assigned.last
                       : std::max(first, *(begin + count * i / pieces));
    auto leastLoaded = std::ranges::min_element(
      aLoads, {}, [](const auto& aEntry) { return aEntry.second; });
    Reassign(aNext, first, last, leastLoaded->first.holder);
    leastLoaded->second += (static_cast<double>(count) / pieces + 0.01) /
                           leastLoaded->first.capacity;
    if (last == aRange.assigned.last) {
      return;
    }
    first = static_cast<Key>(last + 1);
  }
}

void Assigner::RecordMove(Key aFirst, Key aLast, MoveReason aReason)
{
  const TimePoint now = this->hooks.now();
  std::erase_if(this->recentMoves, [now](const RecentMove& aMove) {
    return now - aMove.plannedAt > kSecondMoveWithin;
  });
  // What follows sooner is the same move, planned again as it was not stored.
  const auto earlier =
    std::ranges::find_if(this->recentMoves, [&](const RecentMove& aMove) {
      return aMove.first <= aLast && aFirst <= aMove.last &&
             now - aMove.plannedAt >= kPauseAfterMove;
    });
  const bool isSecond = earlier != this->recentMoves.end();
  if (isSecond) {
    const auto agoMs =
      std::chrono::duration_cast<milliseconds>(now - earlier->plannedAt);
    this->hooks.log("keys-move-again",
                    std::to_string(aFirst) + "-" + std::to_string(aLast) +
                      " for " + std::string(MoveReasonName(aReason)) + ", " +
                      std::to_string(agoMs.count()) + " ms after " +
                      std::to_string(earlier->first) + "-" +
                      std::to_string(earlier->last));
  }
  if (this->hooks.countMove) {
    this->hooks.countMove(aReason, isSecond);
  }
  this->recentMoves.push_back({ now, aFirst, aLast });
  if (this->recentMoves.size() > kMaxRecentMoves) {
    this->recentMoves.pop_front();
  }
}

void Assigner::LogPaces(const std::vector<OwnerCandidate>& aCandidates) const
{
  std::vector<double> paces;
  for (const OwnerCandidate& candidate : aCandidates) {
    if (candidate.pace) {
      paces.push_back(*candidate.pace);
    }
  }
  if (paces.empty()) {
    return;
  }
  constexpr double kPercent = 100;
  const auto percent = [](double aPace) {
    return std::to_string(std::lround(kPercent * aPace)) + "%";
  };
  const auto [slowest, fastest] = std::ranges::minmax(paces);
  this->hooks.log("owner-paces", percent(slowest) + " to " + percent(fastest) +
                                   " of " + std::to_string(paces.size()) +
                                   " owners");
}

// A merged range gets a token higher than those of both parts, and its holder
// serves it without interruption.
bool Assigner::PlanMerges(Assignment& aNext)
{
  const TimePoint now = this->hooks.now();
  if (now < this->mergeDue) {
    return false;
  }
  this->mergeDue = now + kMergeInterval;
  const auto isSettled = [now](const RangeState& aRange) {
    return aRange.granted && aRange.previousHolders.empty() &&
           !aRange.renewalsStopped &&
           now - aRange.grantedAt >= kPauseBeforeMerge;
  };
  std::size_t merges = 0;
  for (std::size_t i = 1; i < this->ranges.size() && merges < kMaxMerges; ++i) {
    const RangeState& left = this->ranges[i - 1];
    const RangeState& right = this->ranges[i];
    if (left.assigned.holder == right.assigned.holder && isSettled(left) &&
        isSettled(right)) {
      Reassign(aNext, left.assigned.first, right.assigned.last,
               left.assigned.holder);
      ++merges;
      // The right range is part of the merged one and cannot be merged again.
      ++i;
    }
  }
  return merges > 0;
}

bool Assigner::PlanBalance(Assignment& aNext,
                           const std::vector<OwnerCandidate>& aCandidates)
{
  const TimePoint now = this->hooks.now();
  if (now < this->balanceDue || this->predecessorsMayRenew) {
    return false;
  }
  this->balanceDue = now + kPlanInterval;
  BalanceInput input;
  for (const RangeState& range : this->ranges) {
    // A key may take part in only one change at a time.
    if (range.granted && range.previousHolders.empty() &&
        !range.renewalsStopped && now - range.grantedAt >= kPauseAfterMove) {
      input.ranges.push_back(range.assigned);
    }
  }
  for (const OwnerCandidate& candidate : aCandidates) {
    if (candidate.mayOwn && !this->IsBackedOff(candidate.holder.upstream)) {
      input.holders.push_back(
        { candidate.holder, candidate.capacity, !candidate.cold });
    }
  }
  input.requests = this->SortedRequestKeys(kHotKeyWindow);
  input.overloadFactor = kHotKeyOverloadFactor;
  MoveReason reason = MoveReason::kHotKeys;
  std::vector<BalanceMove> moves;
  if (input.requests.size() >= kHotKeyMinRequests) {
    moves = PlanMoves(input);
  }
  if (moves.empty()) {
    input.requests = this->SortedRequestKeys(kRequestWindow);
    input.overloadFactor = kDefaultOverloadFactor;
    input.weighsCosts =
      std::ranges::any_of(aCandidates, [](const OwnerCandidate& aCandidate) {
        return aCandidate.pace.has_value();
      });
    reason = MoveReason::kOverload;
    moves = PlanMoves(input);
  }
  for (const BalanceMove& move : moves) {
    this->hooks.log("keys-move", std::to_string(move.first) + "-" +
                                   std::to_string(move.last) + " to " +
                                   move.to.upstream.value + ", planned from " +
                                   std::to_string(input.requests.size()) +
                                   " requests");
    this->RecordMove(move.first, move.last,
                     move.isToNewHolder ? MoveReason::kNewOwner : reason);
    Reassign(aNext, move.first, move.last, move.to);
  }
  if (!moves.empty()) {
    this->LogPaces(aCandidates);
  }
  return !moves.empty();
}

} // namespace kumquat::ownership
