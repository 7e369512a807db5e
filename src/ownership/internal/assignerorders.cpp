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

void Assigner::Write(const Assignment& aNext)
{
  this->writing = true;
  AssignmentWrite write;
  write.expected = this->stored;
  write.assignmentText = SerializeAssignment(aNext);
  const TimePoint asked = this->hooks.now();
  this->hooks.write(write, [this, aNext, asked](WriteOutcome aOutcome,
                                                state::Version aVersion) {
    if (this->phase != Phase::kHolding) {
      return;
    }
    if (aOutcome != WriteOutcome::kWritten) {
      this->Reload();
      return;
    }
    this->writing = false;
    this->confirmedAt = std::max(this->confirmedAt, asked);
    this->Apply(aNext, aVersion);
  });
}

// A write failed or nobody knows: what the store has now is what holds.
void Assigner::Reload()
{
  const TimePoint asked = this->hooks.now();
  this->hooks.read([this, asked](Result<AssignmentRows> aStored) {
    this->writing = false;
    if (this->phase != Phase::kHolding) {
      return;
    }
    if (!aStored) {
      // Renewals go on; the plan tries again.
      this->planDue = this->hooks.now() + kPlanEvery;
      std::ranges::for_each(this->ranges,
                            [](Range& aRange) { aRange.stopped = false; });
      return;
    }
    if (aStored->claimVersion != this->stored.claimVersion) {
      this->StepDown("another host has claimed");
      return;
    }
    this->confirmedAt = std::max(this->confirmedAt, asked);
    const auto parsed = ParseAssignment(aStored->assignmentText);
    if (parsed &&
        aStored->assignmentVersion != this->stored.assignmentVersion) {
      this->Apply(*parsed, aStored->assignmentVersion);
    } else {
      std::ranges::for_each(this->ranges,
                            [](Range& aRange) { aRange.stopped = false; });
    }
  });
}

TimePoint Assigner::LapseFromNow() const
{
  const std::chrono::duration<double, std::milli> slow =
    this->hold * kSlowClock;
  return this->hooks.now() + std::chrono::duration_cast<Duration>(slow) +
         kOnItsWay;
}

TimePoint Assigner::LapseOf(TimePoint aOwn, bool aForeign) const
{
  return aForeign ? std::max(aOwn, this->foreignLapse) : aOwn;
}

void Assigner::Apply(const Assignment& aAssignment, state::Version aVersion)
{
  std::vector<Range> old = std::move(this->ranges);
  this->ranges.clear();
  this->assignment = aAssignment;
  this->stored.assignmentVersion = aVersion;
  for (const AssignedRange& one : aAssignment.ranges) {
    this->ranges.push_back(this->MakeRange(one, old));
  }
  this->step = 0;
  this->Publish();
  this->Drive();
}

Assigner::Range Assigner::MakeRange(const AssignedRange& aStored,
                                    const std::vector<Range>& aOld)
{
  const TimePoint now = this->hooks.now();
  Range range;
  range.stored = aStored;
  range.lastAnswer = now;
  // Keys that stay where they are go on being served while they get the
  // higher token.
  bool stays = true;
  for (const Range& old : aOld) {
    if (old.stored.last < aStored.first || old.stored.first > aStored.last) {
      continue;
    }
    if (old.stored.fencingToken == aStored.fencingToken) {
      Range kept = old;
      kept.stored = aStored;
      // An order under way named other keys; its end finds nothing.
      kept.asked = false;
      kept.stopped = false;
      return kept;
    }
    const bool same = old.stored.holder == aStored.holder;
    stays = stays && same && old.granted && old.formers.empty();
    for (const Former& former : old.formers) {
      if (former.holder != aStored.holder) {
        range.formers.push_back(
          { former.holder, former.lapsesAt, former.foreign, false, {} });
      }
    }
    if (same) {
      range.lapsesAt = std::max(range.lapsesAt, old.lapsesAt);
      range.foreign = range.foreign || old.foreign;
    } else if (old.lapsesAt != TimePoint{} || old.foreign) {
      range.formers.push_back(
        { old.stored.holder, old.lapsesAt, old.foreign, false, {} });
    }
  }
  range.granted = stays;
  return range;
}

// --- orders

void Assigner::Drive()
{
  const TimePoint now = this->hooks.now();
  for (std::size_t i = 0;
       this->phase == Phase::kHolding && i < this->ranges.size(); ++i) {
    Range& range = this->ranges[i];
    if (!range.formers.empty()) {
      this->DriveFormers(i);
    }
    // A holder whose renewals fail refuses the keys from now on; callers are
    // told so at once rather than by it.
    if (range.granted && this->LapseOf(range.lapsesAt, range.foreign) <= now) {
      range.granted = false;
      this->hooks.log("keys-lapsed", Describe(range.stored));
      this->Publish();
    }
    if (range.formers.empty() && !range.asked && !range.stopped &&
        now >= range.nextGrant) {
      this->Grant(i);
    }
  }
}

void Assigner::DriveFormers(std::size_t aIndex)
{
  const TimePoint now = this->hooks.now();
  Range& range = this->ranges[aIndex];
  std::erase_if(range.formers, [&](const Former& aFormer) {
    const auto owner =
      std::ranges::find_if(this->owners, [&aFormer](const OwnerCandidate& aOwner) {
        return aOwner.holder.upstream == aFormer.holder.upstream;
      });
    // A new life holds nothing of the one before.
    const bool reborn =
      owner != this->owners.end() && owner->holder.startedMs > aFormer.holder.startedMs;
    return reborn || this->LapseOf(aFormer.lapsesAt, aFormer.foreign) <= now;
  });
  for (std::size_t i = 0; i < range.formers.size(); ++i) {
    if (!range.formers[i].asked && range.formers[i].askAgain <= now) {
      this->Release(aIndex, i);
    }
  }
}

void Assigner::Release(std::size_t aIndex, std::size_t aFormer)
{
  Range& range = this->ranges[aIndex];
  Former& former = range.formers[aFormer];
  const auto owner =
    std::ranges::find_if(this->owners, [&former](const OwnerCandidate& aOwner) {
      return aOwner.holder == former.holder;
    });
  if (owner == this->owners.end()) {
    return;
  }
  former.asked = true;
  LeaseCommand order;
  order.kind = LeaseCommandKind::kRelease;
  order.upstream = former.holder.upstream;
  order.address = owner->address;
  order.first = range.stored.first;
  order.last = range.stored.last;
  order.fencingToken = range.stored.fencingToken;
  this->hooks.sendCommand(order, [this, first = range.stored.first,
                            fence = range.stored.fencingToken,
                            holder = former.holder](const LeaseCommandReply& aReply) {
    Range* found = this->FindRange(first, fence);
    if (found == nullptr) {
      return;
    }
    const auto asked =
      std::ranges::find(found->formers, holder, &Former::holder);
    if (asked == found->formers.end()) {
      return;
    }
    asked->asked = false;
    asked->askAgain = this->hooks.now() + kRetryOrder;
    if (aReply.result == LeaseCommandResult::kDone ||
        aReply.result == LeaseCommandResult::kOtherUpstream) {
      found->formers.erase(asked);
      found->handover = aReply.handover;
      this->Drive();
    }
  });
}

void Assigner::Grant(std::size_t aIndex)
{
  Range& range = this->ranges[aIndex];
  const TimePoint now = this->hooks.now();
  const auto owner =
    std::ranges::find_if(this->owners, [&range](const OwnerCandidate& aOwner) {
      return aOwner.holder == range.stored.holder;
    });
  if (owner == this->owners.end() || !this->MayRenew()) {
    return;
  }
  range.asked = true;
  range.lapsesAt = std::max(range.lapsesAt, this->LapseFromNow());
  range.nextGrant = now + this->hold / kRenewalsInHold;
  LeaseCommand order;
  order.upstream = range.stored.holder.upstream;
  order.address = owner->address;
  order.first = range.stored.first;
  order.last = range.stored.last;
  order.fencingToken = range.stored.fencingToken;
  order.leaseDuration = this->hold;
  order.handover = range.handover;
  this->hooks.sendCommand(order,
                    [this, first = range.stored.first,
                     fence = range.stored.fencingToken](const LeaseCommandReply& aReply) {
                      this->OnGranted(first, fence, aReply);
                    });
}

Assigner::Range* Assigner::FindRange(Key aFirst, FencingToken aFence)
{
  if (this->phase != Phase::kHolding) {
    return nullptr;
  }
  const auto found =
    std::ranges::find_if(this->ranges, [aFirst, aFence](const Range& aRange) {
      return aRange.stored.first == aFirst && aRange.stored.fencingToken == aFence;
    });
  return found == this->ranges.end() ? nullptr : &*found;
}

void Assigner::OnGranted(Key aFirst, FencingToken aFence, const LeaseCommandReply& aReply)
{
  Range* range = this->FindRange(aFirst, aFence);
  if (range == nullptr) {
    return;
  }
  const TimePoint now = this->hooks.now();
  range->asked = false;
  if (aReply.result == LeaseCommandResult::kDone) {
    range->lastAnswer = now;
    range->failures = 0;
    this->troubled.erase(range->stored.holder.upstream);
    range->handover.clear();
    if (!range->granted) {
      range->granted = true;
      range->grantedAt = now;
      this->hooks.log("keys-granted", Describe(range->stored));
      this->Publish();
    }
    return;
  }
  ++range->failures;
  range->nextGrant = now + kRetryOrder;
  this->hooks.log("grant-failed",
                  Describe(range->stored) + ": " +
                    std::string(LeaseCommandResultName(aReply.result)));
  const bool surely = aReply.result == LeaseCommandResult::kFenced ||
                      aReply.result == LeaseCommandResult::kOtherUpstream;
  const bool silent = range->failures >= kFailuresToLose &&
                      (now - range->lastAnswer >= kSilentHolder ||
                       aReply.result == LeaseCommandResult::kUnreachable);
  if (surely || silent) {
    this->SetTroubled(range->stored.holder.upstream);
    this->planDue = now;
    this->Plan();
  }
}

} // namespace kumquat::ownership
