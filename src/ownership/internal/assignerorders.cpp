// What an assigner has stored, and the orders by which upstreams hear of it.

#include "ownership/assigner.h"

#include "ownership/internal/assignertiming.h"

#include <algorithm>
#include <utility>

namespace kumquat::ownership {

using state::WriteOutcome;
using std::chrono::milliseconds;

namespace {

constexpr int kRenewalsInHold = 3;
// An upstream's clock may run 2% slow.
constexpr double kSlowClock = 1.02;
// A grant's way to its upstream, with one retransmission.
constexpr milliseconds kOnItsWay{ 300 };
constexpr milliseconds kRetryOrder{ 250 };
// Renewals that failed in a row, and time without an answer, after which an
// upstream's keys go elsewhere.
constexpr int kFailuresToLose = 2;
constexpr milliseconds kSilentHolder{ 1300 };

std::string Describe(const AssignedRange& aRange)
{
  return std::to_string(aRange.first) + "-" + std::to_string(aRange.last) +
         " fence " + std::to_string(aRange.fencingToken) + " to " +
         aRange.holder.upstream.value;
}

} // namespace

// --- what is stored

void Assigner::WriteAssignment(const Assignment& aNext)
{
  this->writePending = true;
  AssignmentWrite write;
  write.expected = this->rows;
  write.assignmentText = SerializeAssignment(aNext);
  const TimePoint asked = this->hooks.now();
  this->hooks.write(write, [this, aNext, asked](WriteOutcome aOutcome,
                                                state::Version aVersion) {
    if (this->phase != Phase::kActive) {
      return;
    }
    if (aOutcome != WriteOutcome::kWritten) {
      this->ReloadAssignment();
      return;
    }
    this->writePending = false;
    this->claimConfirmedAt = std::max(this->claimConfirmedAt, asked);
    this->ApplyAssignment(aNext, aVersion);
  });
}

// A write failed or nobody knows: what the store has now is what holds.
void Assigner::ReloadAssignment()
{
  const TimePoint asked = this->hooks.now();
  this->hooks.read([this, asked](Result<AssignmentRows> aStored) {
    this->writePending = false;
    if (this->phase != Phase::kActive) {
      return;
    }
    if (!aStored) {
      // Renewals go on; the plan tries again.
      this->planDue = this->hooks.now() + kPlanInterval;
      std::ranges::for_each(this->ranges, [](RangeState& aRange) {
        aRange.renewalsStopped = false;
      });
      return;
    }
    if (aStored->claimVersion != this->rows.claimVersion) {
      this->StepDown("another host has claimed");
      return;
    }
    this->claimConfirmedAt = std::max(this->claimConfirmedAt, asked);
    const auto parsed = ParseAssignment(aStored->assignmentText);
    if (parsed && aStored->assignmentVersion != this->rows.assignmentVersion) {
      this->ApplyAssignment(*parsed, aStored->assignmentVersion);
    } else {
      std::ranges::for_each(this->ranges, [](RangeState& aRange) {
        aRange.renewalsStopped = false;
      });
    }
  });
}

TimePoint Assigner::LeaseExpiryFromNow() const
{
  const std::chrono::duration<double, std::milli> slow =
    this->leaseDuration * kSlowClock;
  return this->hooks.now() + std::chrono::duration_cast<Duration>(slow) +
         kOnItsWay;
}

TimePoint Assigner::LeaseExpiry(TimePoint aOwn, bool aForeign) const
{
  return aForeign ? std::max(aOwn, this->predecessorLeasesExpireAt) : aOwn;
}

void Assigner::ApplyAssignment(const Assignment& aAssignment,
                               state::Version aVersion)
{
  std::vector<RangeState> old = std::move(this->ranges);
  this->ranges.clear();
  this->assignment = aAssignment;
  this->rows.assignmentVersion = aVersion;
  for (const AssignedRange& one : aAssignment.ranges) {
    this->ranges.push_back(this->MakeRangeState(one, old));
  }
  this->revision = 0;
  this->PublishMap();
  this->AdvanceRanges();
}

Assigner::RangeState Assigner::MakeRangeState(
  const AssignedRange& aStored, const std::vector<RangeState>& aOld)
{
  const TimePoint now = this->hooks.now();
  RangeState range;
  range.assigned = aStored;
  range.lastAnswerAt = now;
  // Keys that stay where they are go on being served while they get the
  // higher token.
  bool stays = true;
  for (const RangeState& old : aOld) {
    if (old.assigned.last < aStored.first ||
        old.assigned.first > aStored.last) {
      continue;
    }
    if (old.assigned.fencingToken == aStored.fencingToken) {
      RangeState kept = old;
      kept.assigned = aStored;
      // An order under way named other keys; its end finds nothing.
      kept.commandPending = false;
      kept.renewalsStopped = false;
      return kept;
    }
    const bool same = old.assigned.holder == aStored.holder;
    stays = stays && same && old.granted && old.previousHolders.empty();
    for (const PreviousHolder& former : old.previousHolders) {
      if (former.holder != aStored.holder) {
        range.previousHolders.push_back({ former.holder,
                                          former.leaseExpiresAt,
                                          former.maybeRenewedByPredecessor,
                                          false,
                                          {} });
      }
    }
    if (same) {
      range.leaseExpiresAt = std::max(range.leaseExpiresAt, old.leaseExpiresAt);
      range.maybeRenewedByPredecessor =
        range.maybeRenewedByPredecessor || old.maybeRenewedByPredecessor;
    } else if (old.leaseExpiresAt != TimePoint{} ||
               old.maybeRenewedByPredecessor) {
      range.previousHolders.push_back({ old.assigned.holder,
                                        old.leaseExpiresAt,
                                        old.maybeRenewedByPredecessor,
                                        false,
                                        {} });
    }
  }
  range.granted = stays;
  return range;
}

// --- orders

void Assigner::AdvanceRanges()
{
  const TimePoint now = this->hooks.now();
  for (std::size_t i = 0;
       this->phase == Phase::kActive && i < this->ranges.size(); ++i) {
    RangeState& range = this->ranges[i];
    if (!range.previousHolders.empty()) {
      this->ReleasePreviousHolders(i);
    }
    // A holder whose renewals fail refuses the keys from now on; callers are
    // told so at once rather than by it.
    if (range.granted &&
        this->LeaseExpiry(range.leaseExpiresAt,
                          range.maybeRenewedByPredecessor) <= now) {
      range.granted = false;
      this->hooks.log("keys-lapsed", Describe(range.assigned));
      this->PublishMap();
    }
    if (range.previousHolders.empty() && !range.commandPending &&
        !range.renewalsStopped && now >= range.nextGrantAt) {
      this->SendGrant(i);
    }
  }
}

void Assigner::ReleasePreviousHolders(std::size_t aIndex)
{
  const TimePoint now = this->hooks.now();
  RangeState& range = this->ranges[aIndex];
  std::erase_if(range.previousHolders, [&](const PreviousHolder& aFormer) {
    const auto owner = std::ranges::find_if(
      this->candidates, [&aFormer](const OwnerCandidate& aOwner) {
        return aOwner.holder.upstream == aFormer.holder.upstream;
      });
    // A new life holds nothing of the one before.
    const bool reborn = owner != this->candidates.end() &&
                        owner->holder.startedMs > aFormer.holder.startedMs;
    return reborn ||
           this->LeaseExpiry(aFormer.leaseExpiresAt,
                             aFormer.maybeRenewedByPredecessor) <= now;
  });
  for (std::size_t i = 0; i < range.previousHolders.size(); ++i) {
    if (!range.previousHolders[i].commandPending &&
        range.previousHolders[i].retryAt <= now) {
      this->SendRelease(aIndex, i);
    }
  }
}

void Assigner::SendRelease(std::size_t aIndex, std::size_t aFormer)
{
  RangeState& range = this->ranges[aIndex];
  PreviousHolder& former = range.previousHolders[aFormer];
  const auto owner = std::ranges::find_if(
    this->candidates, [&former](const OwnerCandidate& aOwner) {
      return aOwner.holder == former.holder;
    });
  if (owner == this->candidates.end()) {
    return;
  }
  former.commandPending = true;
  LeaseCommand order;
  order.kind = LeaseCommandKind::kRelease;
  order.upstream = former.holder.upstream;
  order.address = owner->address;
  order.first = range.assigned.first;
  order.last = range.assigned.last;
  order.fencingToken = range.assigned.fencingToken;
  this->hooks.sendCommand(
    order,
    [this, first = range.assigned.first, fence = range.assigned.fencingToken,
     holder = former.holder](const LeaseCommandReply& aReply) {
      RangeState* found = this->FindRange(first, fence);
      if (found == nullptr) {
        return;
      }
      const auto asked = std::ranges::find(found->previousHolders, holder,
                                           &PreviousHolder::holder);
      if (asked == found->previousHolders.end()) {
        return;
      }
      asked->commandPending = false;
      asked->retryAt = this->hooks.now() + kRetryOrder;
      if (aReply.result == LeaseCommandResult::kDone ||
          aReply.result == LeaseCommandResult::kOtherUpstream) {
        found->previousHolders.erase(asked);
        found->handover = aReply.handover;
        this->AdvanceRanges();
      }
    });
}

void Assigner::SendGrant(std::size_t aIndex)
{
  RangeState& range = this->ranges[aIndex];
  const TimePoint now = this->hooks.now();
  const auto owner = std::ranges::find_if(
    this->candidates, [&range](const OwnerCandidate& aOwner) {
      return aOwner.holder == range.assigned.holder;
    });
  if (owner == this->candidates.end() || !this->MayRenewLeases()) {
    return;
  }
  range.commandPending = true;
  range.leaseExpiresAt =
    std::max(range.leaseExpiresAt, this->LeaseExpiryFromNow());
  range.nextGrantAt = now + this->leaseDuration / kRenewalsInHold;
  LeaseCommand order;
  order.upstream = range.assigned.holder.upstream;
  order.address = owner->address;
  order.first = range.assigned.first;
  order.last = range.assigned.last;
  order.fencingToken = range.assigned.fencingToken;
  order.leaseDuration = this->leaseDuration;
  order.handover = range.handover;
  this->hooks.sendCommand(order, [this, first = range.assigned.first,
                                  fence = range.assigned.fencingToken](
                                   const LeaseCommandReply& aReply) {
    this->OnGrantReply(first, fence, aReply);
  });
}

Assigner::RangeState* Assigner::FindRange(Key aFirst, FencingToken aFence)
{
  if (this->phase != Phase::kActive) {
    return nullptr;
  }
  const auto found = std::ranges::find_if(
    this->ranges, [aFirst, aFence](const RangeState& aRange) {
      return aRange.assigned.first == aFirst &&
             aRange.assigned.fencingToken == aFence;
    });
  return found == this->ranges.end() ? nullptr : &*found;
}

void Assigner::OnGrantReply(Key aFirst, FencingToken aFence,
                            const LeaseCommandReply& aReply)
{
  RangeState* range = this->FindRange(aFirst, aFence);
  if (range == nullptr) {
    return;
  }
  const TimePoint now = this->hooks.now();
  range->commandPending = false;
  if (aReply.result == LeaseCommandResult::kDone) {
    range->lastAnswerAt = now;
    range->consecutiveFailures = 0;
    this->backoffs.erase(range->assigned.holder.upstream);
    range->handover.clear();
    if (!range->granted) {
      range->granted = true;
      range->grantedAt = now;
      this->hooks.log("keys-granted", Describe(range->assigned));
      this->PublishMap();
    }
    return;
  }
  ++range->consecutiveFailures;
  range->nextGrantAt = now + kRetryOrder;
  this->hooks.log("grant-failed",
                  Describe(range->assigned) + ": " +
                    std::string(LeaseCommandResultName(aReply.result)));
  const bool surely = aReply.result == LeaseCommandResult::kFenced ||
                      aReply.result == LeaseCommandResult::kOtherUpstream;
  const bool silent = range->consecutiveFailures >= kFailuresToLose &&
                      (now - range->lastAnswerAt >= kSilentHolder ||
                       aReply.result == LeaseCommandResult::kUnreachable);
  if (surely || silent) {
    this->StartBackoff(range->assigned.holder.upstream);
    this->planDue = now;
    this->PlanChanges();
  }
}

} // namespace kumquat::ownership
