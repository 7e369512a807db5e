// Which keys an assigner gives to whom next.

#include "ownership/assigner.h"

#include "ownership/internal/assignertiming.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::ownership {

using std::chrono::milliseconds;

namespace {

// Keys that have just moved stay for a while: what they did to the loads shows
// only then, and each move keeps their callers waiting.
constexpr milliseconds kRest{ 1200 };
// Ranges that one holder has side by side are renewed one by one until they are
// joined: a write and a grant, which many renewals pay for.
constexpr milliseconds kJoinEvery{ 2000 };
constexpr milliseconds kJoinRest{ 4000 };
constexpr std::size_t kMostJoins = 30;
constexpr milliseconds kTroubled{ 3000 };
constexpr milliseconds kLongestTrouble{ 24'000 };
// Of those the last ones are looked at first, for keys that turn hot at once:
// in the whole window they take seconds to weigh. So few requests tell only an
// upstream that gets many times its share.
constexpr milliseconds kSuddenWindow{ 600 };
constexpr double kSuddenOverload = 3.0;
// Of fewer the window tells chance: a busy key of a small service was moved to
// and fro, and its requests refused meanwhile went from 0.7 to 2.3 of 100.
constexpr std::size_t kLeastSudden = 300;

} // namespace

bool Assigner::IsBackedOff(const state::UpstreamId& aId) const
{
  const auto found = this->backoffs.find(aId);
  return found != this->backoffs.end() &&
         found->second.until > this->hooks.now();
}

void Assigner::StartBackoff(const state::UpstreamId& aId)
{
  const TimePoint now = this->hooks.now();
  Backoff& trouble = this->backoffs[aId];
  // All its ranges fail together; that is one trouble.
  if (trouble.until > now) {
    return;
  }
  trouble.duration = trouble.duration.count() == 0
                       ? kTroubled
                       : std::min(kLongestTrouble, trouble.duration * 2);
  trouble.until = now + trouble.duration;
}

bool Assigner::HasUngrantedRange(const Holder& aHolder) const
{
  return std::ranges::any_of(
    this->ranges, [&aHolder](const RangeState& aRange) {
      return aRange.assigned.holder == aHolder && !aRange.granted;
    });
}

const OwnerCandidate* Assigner::FindCandidate(
  const std::vector<OwnerCandidate>& aOwners, const Holder& aHolder) const
{
  const auto found =
    std::ranges::find_if(aOwners, [&aHolder](const OwnerCandidate& aOwner) {
      return aOwner.holder == aHolder;
    });
  return found == aOwners.end() || !found->mayOwn ||
             this->IsBackedOff(aHolder.upstream)
           ? nullptr
           : &*found;
}

std::vector<Key> Assigner::SortedRequests(Duration aWindow) const
{
  const TimePoint from = this->hooks.now() - aWindow;
  const auto first =
    std::ranges::find_if(this->recentRequests, [from](const auto& aOne) {
      return aOne.first >= from;
    });
  std::vector<Key> keys;
  std::transform(first, this->recentRequests.end(), std::back_inserter(keys),
                 [](const auto& aOne) { return aOne.second; });
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
  // What is over need not be waited for by a successor.
  for (std::size_t i = 0; i < this->ranges.size(); ++i) {
    if (this->ranges[i].granted) {
      next.ranges[i].previousHolders.clear();
    }
  }
  if (this->PlanReplacements(next, this->candidates) ||
      this->PlanBalance(next, this->candidates) || this->PlanMerges(next)) {
    this->WriteAssignment(next);
  }
}

// Keys whose holder may not or does not serve them.
bool Assigner::PlanReplacements(Assignment& aNext,
                                const std::vector<OwnerCandidate>& aOwners)
{
  std::vector<std::pair<OwnerCandidate, double>> loads;
  const auto collect = [&](bool aCold) {
    for (const OwnerCandidate& owner : aOwners) {
      if (owner.mayOwn && owner.cold == aCold &&
          !this->IsBackedOff(owner.holder.upstream)) {
        loads.emplace_back(owner, 0.0);
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
  const std::vector<Key> keys = this->SortedRequests(kRequestWindow);
  for (auto& [owner, load] : loads) {
    for (const RangeState& range : this->ranges) {
      if (range.assigned.holder == owner.holder) {
        const auto begin = std::ranges::lower_bound(keys, range.assigned.first);
        const auto end = std::ranges::upper_bound(keys, range.assigned.last);
        // Keys count a little too, for services without requests yet.
        load +=
          static_cast<double>(end - begin) +
          static_cast<double>(range.assigned.last - range.assigned.first) /
            kLastKey;
      }
    }
    load /= owner.capacity;
  }
  bool changed = false;
  for (RangeState& range : this->ranges) {
    if (this->FindCandidate(aOwners, range.assigned.holder) == nullptr) {
      this->ReassignRange(aNext, range, keys, loads);
      // No renewal may lengthen a hold that has to be waited out; one that can
      // be released is renewed until the change is stored.
      range.renewalsStopped = this->IsBackedOff(range.assigned.holder.upstream);
      changed = true;
    }
  }
  return changed;
}

// In pieces, so that one lost upstream's requests do not drown another.
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
    auto least = std::ranges::min_element(
      aLoads, {}, [](const auto& aOne) { return aOne.second; });
    Reassign(aNext, first, last, least->first.holder);
    least->second +=
      (static_cast<double>(count) / pieces + 0.01) / least->first.capacity;
    if (last == aRange.assigned.last) {
      return;
    }
    first = static_cast<Key>(last + 1);
  }
}

// The joined range gets a token above both, its holder goes on serving it.
bool Assigner::PlanMerges(Assignment& aNext)
{
  const TimePoint now = this->hooks.now();
  if (now < this->mergeDue) {
    return false;
  }
  this->mergeDue = now + kJoinEvery;
  const auto isSettled = [now](const RangeState& aRange) {
    return aRange.granted && aRange.previousHolders.empty() &&
           !aRange.renewalsStopped && now - aRange.grantedAt >= kJoinRest;
  };
  std::size_t joins = 0;
  for (std::size_t i = 1; i < this->ranges.size() && joins < kMostJoins; ++i) {
    const RangeState& left = this->ranges[i - 1];
    const RangeState& right = this->ranges[i];
    if (left.assigned.holder == right.assigned.holder && isSettled(left) &&
        isSettled(right)) {
      Reassign(aNext, left.assigned.first, right.assigned.last,
               left.assigned.holder);
      ++joins;
      // It is another range now.
      ++i;
    }
  }
  return joins > 0;
}

bool Assigner::PlanBalance(Assignment& aNext,
                           const std::vector<OwnerCandidate>& aOwners)
{
  const TimePoint now = this->hooks.now();
  if (now < this->balanceDue) {
    return false;
  }
  this->balanceDue = now + kPlanInterval;
  BalanceInput question;
  for (const RangeState& range : this->ranges) {
    // One change at a time for any key.
    if (range.granted && range.previousHolders.empty() &&
        !range.renewalsStopped && now - range.grantedAt >= kRest) {
      question.ranges.push_back(range.assigned);
    }
  }
  for (const OwnerCandidate& owner : aOwners) {
    if (owner.mayOwn && !this->IsBackedOff(owner.holder.upstream)) {
      question.holders.push_back({ owner.holder, owner.capacity, !owner.cold });
    }
  }
  question.requests = this->SortedRequests(kSuddenWindow);
  question.overloadFactor = kSuddenOverload;
  std::vector<BalanceMove> moves;
  if (question.requests.size() >= kLeastSudden) {
    moves = PlanMoves(question);
  }
  if (moves.empty()) {
    question.requests = this->SortedRequests(kRequestWindow);
    question.overloadFactor = kDefaultOverloadFactor;
    moves = PlanMoves(question);
  }
  for (const BalanceMove& move : moves) {
    this->hooks.log("keys-move", std::to_string(move.first) + "-" +
                                   std::to_string(move.last) + " to " +
                                   move.to.upstream.value + " of " +
                                   std::to_string(question.requests.size()) +
                                   " requests");
    Reassign(aNext, move.first, move.last, move.to);
  }
  return !moves.empty();
}

} // namespace kumquat::ownership
