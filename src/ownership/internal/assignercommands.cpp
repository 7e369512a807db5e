// Assigner: writing the assignment, and the lease commands that bring upstreams
// in line with it.

#include "ownership/assigner.h"

#include "ownership/internal/assignertiming.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace kumquat::ownership {

using state::WriteOutcome;
using std::chrono::milliseconds;

namespace {

// Grants that are sent within the duration of one lease.
constexpr int kRenewalsPerLease = 3;
// An upstream's clock may run up to 2% slow.
constexpr double kMaxClockSlowdown = 1.02;
// Pause before a command that failed is sent again.
constexpr milliseconds kCommandRetryPause{ 250 };
// An upstream's keys are reassigned after this number of consecutive grants
// that failed and this time since the last one that succeeded. If the upstream
// is unreachable, the number alone is enough.
constexpr int kFailuresBeforeReassign = 2;
constexpr milliseconds kHolderTimeout{ 1300 };

std::string Describe(const AssignedRange& aRange)
{
  return std::to_string(aRange.first) + "-" + std::to_string(aRange.last) +
         " fence " + std::to_string(aRange.fencingToken) + " to " +
         aRange.holder.upstream.value;
}

// How a lease ended whose keys have been reassigned.
std::string DescribeEnd(const AssignedRange& aRange, const Holder& aPrevious,
                        std::string_view aHow)
{
  return Describe(aRange) + ": " + aPrevious.upstream.value + " of " +
         std::to_string(aPrevious.startedMs) + ", " + std::string(aHow);
}

} // namespace

// --- stored assignment

void Assigner::WriteAssignment(const Assignment& aNext)
{
  this->writePending = true;
  AssignmentWrite write;
  write.expected = this->rows;
  write.assignmentText = SerializeAssignment(aNext);
  const bool isQuorumKnown =
    aNext.quorumHosts == this->assignment.quorumHosts ||
    std::ranges::find(this->unconfirmedQuorums, aNext.quorumHosts) !=
      this->unconfirmedQuorums.end();
  if (!isQuorumKnown) {
    this->unconfirmedQuorums.push_back(aNext.quorumHosts);
  }
  const TimePoint requestedAt = this->hooks.now();
  const state::Version claim = this->rows.claimVersion;
  this->hooks.write(write, [this, aNext, requestedAt, claim](
                             WriteOutcome aOutcome, state::Version aVersion) {
    if (this->phase != Phase::kActive || claim != this->rows.claimVersion) {
      return;
    }
    if (aOutcome == WriteOutcome::kRefused) {
      this->writePending = false;
      this->planDue = this->hooks.now() + kRefusedWritePause;
      this->ResumeRenewals();
      return;
    }
    if (aOutcome != WriteOutcome::kWritten) {
      this->ReloadAssignment();
      return;
    }
    this->writePending = false;
    this->claimConfirmedAt = std::max(this->claimConfirmedAt, requestedAt);
    // Earlier writes expected an older version and fail from now on.
    this->unconfirmedQuorums.clear();
    this->ApplyAssignment(aNext, aVersion);
  });
}

// Leases are renewed again after a change that was not stored.
void Assigner::ResumeRenewals()
{
  std::ranges::for_each(
    this->ranges, [](RangeState& aRange) { aRange.renewalsStopped = false; });
}

// Called when a write failed or its outcome is unknown: what the store contains
// now is in force.
void Assigner::ReloadAssignment()
{
  const TimePoint requestedAt = this->hooks.now();
  const state::Version claim = this->rows.claimVersion;
  this->hooks.read([this, requestedAt, claim](Result<AssignmentRows> aRows) {
    if (this->phase != Phase::kActive || claim != this->rows.claimVersion) {
      return;
    }
    this->writePending = false;
    if (!aRows) {
      // Leases are renewed again, and the next plan repeats the change.
      this->planDue = this->hooks.now() + kPlanInterval;
      this->ResumeRenewals();
      return;
    }
    if (aRows->claimVersion != this->rows.claimVersion) {
      this->StepDown("another host has claimed the keys");
      return;
    }
    this->claimConfirmedAt = std::max(this->claimConfirmedAt, requestedAt);
    const auto parsed =
      ParseAssignment(aRows->assignmentText, this->options.part);
    if (parsed && aRows->assignmentVersion != this->rows.assignmentVersion) {
      this->ApplyAssignment(*parsed, aRows->assignmentVersion);
    } else {
      this->ResumeRenewals();
    }
  });
}

TimePoint Assigner::LeaseExpiryFromNow() const
{
  const std::chrono::duration<double, std::milli> longest =
    this->leaseDuration * kMaxClockSlowdown;
  return this->hooks.now() + std::chrono::duration_cast<Duration>(longest) +
         kMaxSendDelay + kMaxGrantDelay;
}

TimePoint Assigner::LeaseExpiry(const Lease& aLease) const
{
  return aLease.maybeRenewedByPredecessor
           ? std::max(aLease.expiresAt, this->predecessorLeasesExpireAt)
           : aLease.expiresAt;
}

void Assigner::Lease::Join(const Lease& aOther)
{
  this->expiresAt = std::max(this->expiresAt, aOther.expiresAt);
  this->maybeRenewedByPredecessor |= aOther.maybeRenewedByPredecessor;
  this->releaseNotBefore =
    std::max(this->releaseNotBefore, aOther.releaseNotBefore);
}

void Assigner::ApplyAssignment(const Assignment& aAssignment,
                               state::Version aVersion)
{
  std::vector<RangeState> old = std::move(this->ranges);
  this->ranges.clear();
  this->assignment = aAssignment;
  this->rows.assignmentVersion = aVersion;
  for (const AssignedRange& assigned : aAssignment.ranges) {
    this->ranges.push_back(this->MakeRangeState(assigned, old));
  }
  this->CollectHolders();
  this->revision = 0;
  this->PublishMap();
  this->AdvanceRanges();
}

void Assigner::CollectHolders()
{
  this->holders.clear();
  for (const RangeState& range : this->ranges) {
    this->holders.insert(range.assigned.holder.upstream);
    for (const PreviousHolder& previous : range.previousHolders) {
      this->holders.insert(previous.holder.upstream);
    }
  }
}

Assigner::RangeState Assigner::MakeRangeState(
  const AssignedRange& aAssigned, const std::vector<RangeState>& aOld)
{
  const TimePoint now = this->hooks.now();
  RangeState range;
  range.assigned = aAssigned;
  range.lastResponseAt = now;
  // Set if the token stays. Ranges from different parts of an earlier layout
  // may have the same token and become one.
  std::optional<RangeState> kept;
  // A range that stays with its holder is served without interruption while it
  // gets the higher token.
  bool staysWithHolder = true;
  for (const RangeState& old : aOld) {
    if (old.assigned.last < aAssigned.first ||
        old.assigned.first > aAssigned.last) {
      continue;
    }
    if (old.assigned.fencingToken == aAssigned.fencingToken) {
      kept = kept ? JoinStates(*kept, old) : old;
      // The reply of a pending command that named other keys is ignored.
      kept->commandPending = false;
      if (old.assigned.first != aAssigned.first ||
          old.assigned.last != aAssigned.last) {
        std::ranges::for_each(
          kept->previousHolders,
          [](PreviousHolder& aHolder) { aHolder.commandPending = false; });
      }
      continue;
    }
    const bool isSameHolder = old.assigned.holder == aAssigned.holder;
    staysWithHolder = staysWithHolder && isSameHolder && old.granted &&
                      old.previousHolders.empty();
    for (const PreviousHolder& previous : old.previousHolders) {
      if (previous.holder == aAssigned.holder) {
        range.lease.Join(previous.lease);
      } else {
        range.previousHolders.push_back({ previous.holder, previous.lease });
      }
    }
    if (isSameHolder) {
      range.lease.Join(old.lease);
    } else if (old.lease.expiresAt != TimePoint{} ||
               old.lease.maybeRenewedByPredecessor) {
      range.previousHolders.push_back({ old.assigned.holder, old.lease });
    }
  }
  if (kept) {
    kept->assigned = aAssigned;
    kept->renewalsStopped = false;
    return *kept;
  }
  range.granted = staysWithHolder;
  return range;
}

Assigner::RangeState Assigner::JoinStates(const RangeState& aLeft,
                                          const RangeState& aRight)
{
  RangeState joined = aLeft;
  for (const PreviousHolder& previous : aRight.previousHolders) {
    const auto known = std::ranges::find(
      joined.previousHolders, previous.holder, &PreviousHolder::holder);
    if (known == joined.previousHolders.end()) {
      joined.previousHolders.push_back(previous);
      continue;
    }
    known->lease.Join(previous.lease);
    known->releasedEarly = known->releasedEarly && previous.releasedEarly;
  }
  joined.granted = aLeft.granted && aRight.granted;
  joined.grantedAt = std::max(aLeft.grantedAt, aRight.grantedAt);
  joined.lease.Join(aRight.lease);
  joined.lastResponseAt = std::min(aLeft.lastResponseAt, aRight.lastResponseAt);
  joined.nextGrantAt = std::min(aLeft.nextGrantAt, aRight.nextGrantAt);
  joined.consecutiveFailures =
    std::max(aLeft.consecutiveFailures, aRight.consecutiveFailures);
  return joined;
}

// --- lease commands

void Assigner::AdvanceRanges()
{
  const TimePoint now = this->hooks.now();
  for (std::size_t i = 0;
       this->phase == Phase::kActive && i < this->ranges.size(); ++i) {
    RangeState& range = this->ranges[i];
    if (!range.previousHolders.empty()) {
      this->ReleasePreviousHolders(i);
    }
    // A holder whose lease has expired refuses the keys from now on. The map
    // without an owner lets hosts tell callers so at once, before the holder
    // would refuse their requests.
    if (range.granted && this->LeaseExpiry(range.lease) <= now) {
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

void Assigner::ReleasePreviousHolders(std::size_t aRangeIndex)
{
  const TimePoint now = this->hooks.now();
  RangeState& range = this->ranges[aRangeIndex];
  std::erase_if(range.previousHolders, [&](const PreviousHolder& aPrevious) {
    const bool hasExpired = this->LeaseExpiry(aPrevious.lease) <= now;
    if (hasExpired) {
      this->hooks.log("lease-ended",
                      DescribeEnd(range.assigned, aPrevious.holder, "expired"));
    }
    return hasExpired;
  });
  for (std::size_t i = 0; i < range.previousHolders.size(); ++i) {
    const PreviousHolder& previous = range.previousHolders[i];
    const bool waitsForPredecessors =
      previous.releasedEarly && this->MayBeRenewedByOthers(previous.lease);
    if (!waitsForPredecessors && !previous.commandPending &&
        previous.lease.releaseNotBefore <= now) {
      this->SendRelease(aRangeIndex, i);
    }
  }
}

bool Assigner::MayBeRenewedByOthers(const Lease& aLease) const
{
  return aLease.maybeRenewedByPredecessor && this->predecessorsMayRenew;
}

std::optional<std::string> Assigner::FindReleaseAddress(
  const Holder& aPrevious) const
{
  const auto candidate = std::ranges::find_if(
    this->candidates, [&aPrevious](const OwnerCandidate& aCandidate) {
      return aCandidate.holder.upstream == aPrevious.upstream &&
             aCandidate.holder.startedMs >= aPrevious.startedMs;
    });
  if (candidate != this->candidates.end()) {
    return candidate->address;
  }
  return this->hooks.formerAddress ? this->hooks.formerAddress(aPrevious)
                                   : std::nullopt;
}

// A later incarnation of the holder gets the release too: it accepts renewals
// that were meant for the one before. A release that is sent while predecessors
// may renew the lease shows only whether the holder has ended.
void Assigner::SendRelease(std::size_t aRangeIndex, std::size_t aHolderIndex)
{
  RangeState& range = this->ranges[aRangeIndex];
  PreviousHolder& previous = range.previousHolders[aHolderIndex];
  const auto address = this->FindReleaseAddress(previous.holder);
  if (!address) {
    return;
  }
  const bool isEarly = this->MayBeRenewedByOthers(previous.lease);
  previous.commandPending = true;
  LeaseCommand command;
  command.kind = LeaseCommandKind::kRelease;
  command.upstream = previous.holder.upstream;
  command.address = *address;
  command.first = range.assigned.first;
  command.last = range.assigned.last;
  command.fencingToken = range.assigned.fencingToken;
  command.isStillValid = [this, first = command.first, last = command.last,
                          fencingToken = command.fencingToken](TimePoint) {
    return this->FindRange(first, last, fencingToken) != nullptr;
  };
  this->hooks.sendCommand(
    command, [this, isEarly, first = command.first, last = command.last,
              fencingToken = command.fencingToken,
              holder = previous.holder](const LeaseCommandReply& aReply) {
      RangeState* found = this->FindRange(first, last, fencingToken);
      if (found == nullptr) {
        return;
      }
      const auto pendingHolder = std::ranges::find(
        found->previousHolders, holder, &PreviousHolder::holder);
      if (pendingHolder == found->previousHolders.end()) {
        return;
      }
      pendingHolder->commandPending = false;
      pendingHolder->lease.releaseNotBefore =
        this->hooks.now() + kCommandRetryPause;
      const bool isDone = aReply.result == LeaseCommandResult::kDone;
      if (!aReply.handover.empty()) {
        found->handover = aReply.handover;
      }
      pendingHolder->releasedEarly = isDone && isEarly;
      if (aReply.result == LeaseCommandResult::kOtherUpstream ||
          (isDone && !isEarly)) {
        this->hooks.log("lease-ended",
                        DescribeEnd(found->assigned, holder,
                                    LeaseCommandResultName(aReply.result)));
        found->previousHolders.erase(pendingHolder);
        this->AdvanceRanges();
      }
    });
}

void Assigner::SendGrant(std::size_t aRangeIndex)
{
  RangeState& range = this->ranges[aRangeIndex];
  const TimePoint now = this->hooks.now();
  const auto candidate = std::ranges::find_if(
    this->candidates, [&range](const OwnerCandidate& aCandidate) {
      return aCandidate.holder == range.assigned.holder;
    });
  if (candidate == this->candidates.end() || !this->MayRenewLeases({})) {
    return;
  }
  range.commandPending = true;
  range.lease.expiresAt =
    std::max(range.lease.expiresAt, this->LeaseExpiryFromNow());
  range.lease.releaseNotBefore = now + kMaxGrantDelay;
  range.nextGrantAt = now + this->leaseDuration / kRenewalsPerLease;
  LeaseCommand command;
  command.upstream = range.assigned.holder.upstream;
  command.address = candidate->address;
  command.first = range.assigned.first;
  command.last = range.assigned.last;
  command.fencingToken = range.assigned.fencingToken;
  command.leaseDuration = this->leaseDuration;
  command.handover = range.handover;
  command.isStillValid = [this, first = command.first, last = command.last,
                          fencingToken = command.fencingToken,
                          latest =
                            now + kMaxSendDelay](TimePoint aConnectedAt) {
    return this->FindRange(first, last, fencingToken) != nullptr &&
           this->hooks.now() <= latest && this->MayRenewLeases(aConnectedAt);
  };
  this->hooks.sendCommand(
    command,
    [this, first = command.first, last = command.last,
     fencingToken = command.fencingToken](const LeaseCommandReply& aReply) {
      this->OnGrantReply(first, last, fencingToken, aReply);
    });
}

Assigner::RangeState* Assigner::FindRange(Key aFirst, Key aLast,
                                          FencingToken aFencingToken)
{
  if (this->phase != Phase::kActive) {
    return nullptr;
  }
  const auto found =
    std::ranges::find_if(this->ranges, [&](const RangeState& aRange) {
      return aRange.assigned.first == aFirst && aRange.assigned.last == aLast &&
             aRange.assigned.fencingToken == aFencingToken;
    });
  return found == this->ranges.end() ? nullptr : &*found;
}

void Assigner::OnGrantReply(Key aFirst, Key aLast, FencingToken aFencingToken,
                            const LeaseCommandReply& aReply)
{
  RangeState* range = this->FindRange(aFirst, aLast, aFencingToken);
  if (range == nullptr) {
    return;
  }
  const TimePoint now = this->hooks.now();
  range->commandPending = false;
  if (aReply.result != LeaseCommandResult::kNoAnswer) {
    range->lease.releaseNotBefore = {};
  }
  if (aReply.result == LeaseCommandResult::kDone) {
    range->lastResponseAt = now;
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
  if (aReply.result == LeaseCommandResult::kWithdrawn) {
    range->nextGrantAt = now;
    this->CheckClaimSoon();
    return;
  }
  ++range->consecutiveFailures;
  range->nextGrantAt = now + kCommandRetryPause;
  this->hooks.log("grant-failed",
                  Describe(range->assigned) + ": " +
                    std::string(LeaseCommandResultName(aReply.result)));
  const bool isDefinite = aReply.result == LeaseCommandResult::kFenced ||
                          aReply.result == LeaseCommandResult::kOtherUpstream;
  const bool isUnresponsive =
    range->consecutiveFailures >= kFailuresBeforeReassign &&
    (now - range->lastResponseAt >= kHolderTimeout ||
     aReply.result == LeaseCommandResult::kUnreachable);
  if (isDefinite || isUnresponsive) {
    this->StartBackoff(range->assigned.holder.upstream);
    this->planDue = now;
    this->PlanChanges();
  }
}

} // namespace kumquat::ownership
