// Claims, orders and plans of a service's assigner.

#include "ownership/assigner.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat::ownership {

using state::WriteOutcome;
using std::chrono::milliseconds;

namespace {

// A hold that is not renewed ends after this time: the longest that the keys
// of an upstream that crashed are nobody's. It must outlast the take-over from
// an assigner that crashed, some 1.5 s.
constexpr milliseconds kHold{ 3000 };
constexpr int kRenewalsInHold = 3;
// An upstream's clock may run 2% slow.
constexpr double kSlowClock = 1.02;
// A grant's way to its upstream, with one retransmission.
constexpr milliseconds kOnItsWay{ 300 };
// A read of the row that shows the claim counts for so long, from when it was
// asked: a read each two seconds, one of which may fail.
constexpr milliseconds kConfirmed{ 3500 };
// What a host says of its map counts for so long, from the sending of the
// digest that it answers. In cells an assigner's digests and their answers come
// each 300 and 500 ms, busy hosts lag by some hundred, and links lose packets.
constexpr milliseconds kSaid{ 2000 };
// A host that was not heard for so long is no host any more.
constexpr milliseconds kForgotten{ 60'000 };
constexpr milliseconds kConfirmEvery{ 2000 };
// An assigner that was not heard for so long is taken as gone. Digests come
// five times a second and some are lost.
constexpr milliseconds kSilence{ 1000 };
// The second in rank waits so much longer than the first.
constexpr milliseconds kRankStep{ 300 };
// Hosts start within moments of each other and need one digest round to know
// who else is there.
constexpr milliseconds kStartPause{ 900 };
constexpr milliseconds kClaimPause{ 700 };
// Keys are dealt for the first time when no upstream has shown since the last
// look, or when so much has passed since the start; traffic waits for longer.
constexpr milliseconds kFirstDeal{ 3500 };
constexpr milliseconds kPlanEvery{ 400 };
// Keys that have just moved stay for a while: what they did to the loads shows
// only then, and each move keeps their callers waiting.
constexpr milliseconds kRest{ 1200 };
// Ranges that one holder has side by side are renewed one by one until they are
// joined: a write and a grant, which many renewals pay for.
constexpr milliseconds kJoinEvery{ 2000 };
constexpr milliseconds kJoinRest{ 4000 };
constexpr std::size_t kMostJoins = 30;
constexpr milliseconds kRetryOrder{ 250 };
// Renewals that failed in a row, and time without an answer, after which an
// upstream's keys go elsewhere.
constexpr int kFailuresToLose = 2;
constexpr milliseconds kSilentHolder{ 1300 };
constexpr milliseconds kTroubled{ 3000 };
constexpr milliseconds kLongestTrouble{ 24'000 };
// Requests of so long are weighed; some 300 at 130 a second.
constexpr milliseconds kRequestWindow{ 2500 };
constexpr std::size_t kMostRequests = 20'000;
// Of those the last ones are looked at first, for keys that turn hot at once:
// in the whole window they take seconds to weigh. So few requests tell only an
// upstream that gets many times its share.
constexpr milliseconds kSuddenWindow{ 600 };
constexpr double kSuddenOverload = 3.0;
// Of fewer the window tells chance: a busy key of a small service was moved to
// and fro, and its requests refused meanwhile went from 0.7 to 2.3 of 100.
constexpr std::size_t kLeastSudden = 300;

std::string Describe(const AssignedRange& aRange)
{
  return std::to_string(aRange.first) + "-" + std::to_string(aRange.last) +
         " fence " + std::to_string(aRange.fence) + " to " +
         aRange.holder.upstream.value;
}

} // namespace

std::string_view OrderResultName(OrderResult aResult)
{
  switch (aResult) {
    case OrderResult::kDone:
      return "done";
    case OrderResult::kFenced:
      return "fenced";
    case OrderResult::kOtherUpstream:
      return "other-upstream";
    case OrderResult::kRejected:
      return "rejected";
    case OrderResult::kNoAnswer:
      return "no-answer";
    case OrderResult::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

Assigner::Assigner(Options aOptions, Hooks aHooks)
  : options(std::move(aOptions))
  , hooks(std::move(aHooks))
  , hold(std::min(kHold, this->options.mostHold))
  , startedAt(this->hooks.now())
{
}

void Assigner::SetStoreWell(bool aWell)
{
  this->storeWell = aWell;
}

void Assigner::Leave()
{
  if (this->phase == Phase::kHolding) {
    this->hooks.log("assigner-leaves", "planned stop");
  }
  this->phase = Phase::kLeft;
  this->ranges.clear();
}

MapMark Assigner::Mark() const
{
  return { this->stored.assignmentVersion, this->step, this->options.self };
}

std::vector<MapRange> Assigner::Map() const
{
  std::vector<MapRange> map;
  for (const Range& range : this->ranges) {
    const bool open = range.granted && range.formers.empty();
    const state::UpstreamId owner =
      open ? range.stored.holder.upstream : state::UpstreamId{};
    if (!map.empty() && map.back().upstream == owner) {
      map.back().last = range.stored.last;
    } else {
      map.push_back({ range.stored.first, range.stored.last, owner });
    }
  }
  return map;
}

void Assigner::Publish()
{
  ++this->step;
  this->hooks.publish();
}

void Assigner::OnTimer()
{
  if (this->phase == Phase::kIdle) {
    this->ConsiderClaim();
    return;
  }
  if (this->phase != Phase::kHolding) {
    return;
  }
  this->owners = this->hooks.owners();
  const TimePoint now = this->hooks.now();
  if (now >= this->confirmDue && !this->confirming && !this->writing) {
    this->Confirm();
  }
  this->CheckForeign();
  this->Drive();
  if (this->phase == Phase::kHolding && now >= this->planDue) {
    this->Plan();
  }
}

void Assigner::OnChange()
{
  if (this->phase == Phase::kHolding) {
    this->planDue = this->hooks.now();
    this->OnTimer();
  }
}

void Assigner::OnRequests(const std::vector<Key>& aKeys)
{
  if (this->phase != Phase::kHolding) {
    return;
  }
  const TimePoint now = this->hooks.now();
  for (const Key key : aKeys) {
    this->requests.emplace_back(now, key);
  }
  while (!this->requests.empty() &&
         (now - this->requests.front().first > kRequestWindow ||
          this->requests.size() > kMostRequests)) {
    this->requests.pop_front();
  }
}

// --- who assigns

// An assigner is heard through its digests, whatever map they name; one that
// says that it leaves is gone.
bool Assigner::IsAssignerHeardWithin(milliseconds aSilence) const
{
  const TimePoint now = this->hooks.now();
  return std::ranges::any_of(this->hooks.peers(), [&](const PeerView& aPeer) {
    return aPeer.map.assigner == aPeer.host && !aPeer.leaving &&
           aPeer.map.version > 0 && now - aPeer.heardAt < aSilence;
  });
}

bool Assigner::IsAssignerHeard() const
{
  // The rank costs a look at all hosts, and mostly need not be known.
  return this->IsAssignerHeardWithin(kSilence) ||
         this->IsAssignerHeardWithin(kSilence +
                                     kRankStep * this->RankAmongHosts());
}

int Assigner::RankAmongHosts() const
{
  const TimePoint now = this->hooks.now();
  const auto standing = [this](const state::HostId& aHost) {
    const double preference =
      this->hooks.preference ? this->hooks.preference(aHost) : 0;
    return std::make_pair(
      preference, RendezvousScore(aHost.value, this->options.service.value));
  };
  const auto own = standing(this->options.self.host);
  return static_cast<int>(
    std::ranges::count_if(this->hooks.peers(), [&](const PeerView& aPeer) {
      return !aPeer.leaving && now - aPeer.heardAt < kSilence &&
             standing(aPeer.host.host) > own;
    }));
}

// Failure: hosts and upstreams start together, and the first claimant knew 31
// of 137 upstreams, once one of 14. The others were filled by halves of what
// those had, and the first seconds of traffic were spent on moves.
bool Assigner::IsTooEarlyToDeal(const StoredKeys& aStored)
{
  const std::size_t before =
    std::exchange(this->ownersSeen, this->owners.size());
  return aStored.assignmentVersion == 0 && before != this->owners.size() &&
         this->hooks.now() - this->startedAt < kFirstDeal;
}

bool Assigner::IsToBeMet(const state::HostRef& aClaimant)
{
  const bool isKnown =
    aClaimant.host.value.empty() || aClaimant.host == this->options.self.host ||
    aClaimant == this->met ||
    std::ranges::any_of(this->hooks.peers(), [&](const PeerView& aPeer) {
      return aPeer.host == aClaimant;
    });
  if (isKnown || !this->hooks.meet || !this->hooks.meet(aClaimant)) {
    return false;
  }
  this->met = aClaimant;
  return true;
}

void Assigner::ConsiderClaim()
{
  const TimePoint now = this->hooks.now();
  if (now < this->claimNotBefore || this->IsAssignerHeardWithin(kSilence) ||
      now - this->startedAt <
        kStartPause + kRankStep * this->RankAmongHosts() ||
      this->IsAssignerHeard()) {
    return;
  }
  this->owners = this->hooks.owners();
  if (this->owners.empty()) {
    return;
  }
  this->phase = Phase::kClaiming;
  this->hooks.read([this](Result<StoredKeys> aStored) {
    if (this->phase != Phase::kClaiming) {
      return;
    }
    if (!aStored || this->IsAssignerHeard() ||
        this->IsTooEarlyToDeal(*aStored)) {
      this->phase = Phase::kIdle;
      this->claimNotBefore = this->hooks.now() + kClaimPause;
      return;
    }
    if (this->IsToBeMet(aStored->assigner)) {
      this->phase = Phase::kIdle;
      this->claimNotBefore = this->hooks.now() + kSilence;
      return;
    }
    this->Claim(*aStored);
  });
}

void Assigner::Claim(const StoredKeys& aStored)
{
  KeysWrite write;
  write.expected = aStored;
  write.claim = this->options.self;
  write.assignment = aStored.assignment;
  if (aStored.assignmentVersion == 0) {
    std::vector<Holder> holders;
    for (const OwnerView& owner : this->owners) {
      if (owner.mayOwn) {
        holders.push_back(owner.holder);
      }
    }
    if (holders.empty()) {
      this->phase = Phase::kIdle;
      return;
    }
    write.assignment = PrintAssignment(ShareEvenly(holders));
  }
  this->hooks.write(
    write, [this, write](WriteOutcome aOutcome, state::Version aVersion) {
      if (this->phase != Phase::kClaiming) {
        return;
      }
      if (aOutcome != WriteOutcome::kWritten) {
        this->phase = Phase::kIdle;
        this->claimNotBefore = this->hooks.now() + kClaimPause;
        return;
      }
      StoredKeys now = write.expected;
      now.claimVersion = aVersion;
      now.assignmentVersion = aVersion;
      now.assignment = write.assignment;
      this->StartHolding(now);
    });
}

// aStored names the assigner before.
void Assigner::StartHolding(const StoredKeys& aStored)
{
  const TimePoint now = this->hooks.now();
  const auto parsed = ParseAssignment(aStored.assignment);
  if (!parsed) {
    this->hooks.log("assignment-unreadable", aStored.assignment);
    this->phase = Phase::kIdle;
    this->claimNotBefore = now + kForgotten;
    return;
  }
  this->phase = Phase::kHolding;
  this->stored = aStored;
  this->stored.assigner = this->options.self;
  this->confirmedAt = now;
  this->confirmDue = now + kConfirmEvery;
  this->planDue = now + kPlanEvery;
  this->ranges.clear();
  this->requests.clear();
  this->troubled.clear();
  this->writing = false;
  this->confirming = false;
  this->step = 0;
  const bool isFirst = aStored.assigner.host.value.empty();
  this->claimedAt = now;
  // Not only the last one: those before it may have stood still ever since.
  this->foreignMayRenew = !isFirst;
  this->foreignLapse = isFirst ? TimePoint{} : TimePoint::max();
  this->assignment = *parsed;
  for (const AssignedRange& one : parsed->ranges) {
    Range range;
    range.stored = one;
    range.granted = !isFirst && one.previous.empty();
    range.foreign = !isFirst;
    range.lastAnswer = now;
    for (const Holder& holder : one.previous) {
      range.formers.push_back({ holder, {}, true, false, {} });
    }
    this->ranges.push_back(std::move(range));
  }
  this->hooks.log("assigner-won", "after " + aStored.assigner.host.value);
  this->Publish();
  this->Drive();
}

void Assigner::StepDown(std::string_view aWhy)
{
  this->hooks.log("assigner-lost", aWhy);
  this->phase = Phase::kIdle;
  this->ranges.clear();
  this->claimNotBefore = this->hooks.now() + kClaimPause;
}

void Assigner::Confirm()
{
  this->confirming = true;
  const TimePoint asked = this->hooks.now();
  this->confirmDue = asked + kConfirmEvery;
  const state::Version claim = this->stored.claimVersion;
  this->hooks.read([this, asked, claim](Result<StoredKeys> aStored) {
    this->confirming = false;
    if (this->phase != Phase::kHolding || claim != this->stored.claimVersion ||
        !aStored) {
      return;
    }
    if (aStored->claimVersion != claim) {
      this->StepDown("another host has claimed");
      return;
    }
    this->confirmedAt = asked;
  });
}

std::pair<std::size_t, std::size_t> Assigner::Followers() const
{
  const TimePoint now = this->hooks.now();
  std::size_t followers = 1;
  std::size_t known = 1;
  for (const PeerView& peer : this->hooks.peers()) {
    known += now - peer.heardAt < kForgotten ? 1 : 0;
    // Failure: a host that stood still finds old digests in its connections.
    // Counted from their arrival they would let it renew holds that its
    // successor has waited out; see DigestTimes.
    const bool follows = peer.map.assigner == this->options.self;
    followers += follows && now - peer.saidAt < kSaid ? 1 : 0;
  }
  return { followers, known };
}

bool Assigner::MayRenew() const
{
  if (this->hooks.now() - this->confirmedAt <= kConfirmed) {
    return true;
  }
  const auto [followers, known] = this->Followers();
  return followers * 3 >= known * 2;
}

// Assigners before this one have stopped where they can have neither a
// confirmation nor enough hosts behind them; from then on only what they sent
// before counts. A host never goes back to an older map, so what it said of one
// was said before it took this one.
void Assigner::CheckForeign()
{
  for (const PeerView& peer : this->hooks.peers()) {
    // A map of a later version comes from an assigner that has claimed since.
    if (peer.map.version > this->stored.assignmentVersion &&
        peer.map.assigner != this->options.self && !this->writing) {
      this->StepDown("a peer knows a later map");
      return;
    }
  }
  const auto [followers, known] = this->Followers();
  if (this->foreignMayRenew && followers * 2 > known) {
    const TimePoint now = this->hooks.now();
    const TimePoint stops = std::max(this->claimedAt + kConfirmed, now + kSaid);
    this->foreignLapse = this->LapseFromNow() + (stops - now);
    this->foreignMayRenew = false;
  }
}

// --- what is stored

void Assigner::Write(const Assignment& aNext)
{
  this->writing = true;
  KeysWrite write;
  write.expected = this->stored;
  write.assignment = PrintAssignment(aNext);
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
  this->hooks.read([this, asked](Result<StoredKeys> aStored) {
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
    const auto parsed = ParseAssignment(aStored->assignment);
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
    if (old.stored.fence == aStored.fence) {
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
      std::ranges::find_if(this->owners, [&aFormer](const OwnerView& aOwner) {
        return aOwner.holder.upstream == aFormer.holder.upstream;
      });
    // A new life holds nothing of the one before.
    const bool reborn =
      owner != this->owners.end() && owner->holder.born > aFormer.holder.born;
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
    std::ranges::find_if(this->owners, [&former](const OwnerView& aOwner) {
      return aOwner.holder == former.holder;
    });
  if (owner == this->owners.end()) {
    return;
  }
  former.asked = true;
  Order order;
  order.kind = OrderKind::kRelease;
  order.upstream = former.holder.upstream;
  order.address = owner->address;
  order.first = range.stored.first;
  order.last = range.stored.last;
  order.fence = range.stored.fence;
  this->hooks.order(order, [this, first = range.stored.first,
                            fence = range.stored.fence,
                            holder = former.holder](const OrderReply& aReply) {
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
    if (aReply.result == OrderResult::kDone ||
        aReply.result == OrderResult::kOtherUpstream) {
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
    std::ranges::find_if(this->owners, [&range](const OwnerView& aOwner) {
      return aOwner.holder == range.stored.holder;
    });
  if (owner == this->owners.end() || !this->MayRenew()) {
    return;
  }
  range.asked = true;
  range.lapsesAt = std::max(range.lapsesAt, this->LapseFromNow());
  range.nextGrant = now + this->hold / kRenewalsInHold;
  Order order;
  order.upstream = range.stored.holder.upstream;
  order.address = owner->address;
  order.first = range.stored.first;
  order.last = range.stored.last;
  order.fence = range.stored.fence;
  order.hold = this->hold;
  order.handover = range.handover;
  this->hooks.order(order,
                    [this, first = range.stored.first,
                     fence = range.stored.fence](const OrderReply& aReply) {
                      this->OnGranted(first, fence, aReply);
                    });
}

Assigner::Range* Assigner::FindRange(Key aFirst, Fence aFence)
{
  if (this->phase != Phase::kHolding) {
    return nullptr;
  }
  const auto found =
    std::ranges::find_if(this->ranges, [aFirst, aFence](const Range& aRange) {
      return aRange.stored.first == aFirst && aRange.stored.fence == aFence;
    });
  return found == this->ranges.end() ? nullptr : &*found;
}

void Assigner::OnGranted(Key aFirst, Fence aFence, const OrderReply& aReply)
{
  Range* range = this->FindRange(aFirst, aFence);
  if (range == nullptr) {
    return;
  }
  const TimePoint now = this->hooks.now();
  range->asked = false;
  if (aReply.result == OrderResult::kDone) {
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
                    std::string(OrderResultName(aReply.result)));
  const bool surely = aReply.result == OrderResult::kFenced ||
                      aReply.result == OrderResult::kOtherUpstream;
  const bool silent = range->failures >= kFailuresToLose &&
                      (now - range->lastAnswer >= kSilentHolder ||
                       aReply.result == OrderResult::kUnreachable);
  if (surely || silent) {
    this->SetTroubled(range->stored.holder.upstream);
    this->planDue = now;
    this->Plan();
  }
}

// --- plans

bool Assigner::IsTroubled(const state::UpstreamId& aId) const
{
  const auto found = this->troubled.find(aId);
  return found != this->troubled.end() &&
         found->second.until > this->hooks.now();
}

void Assigner::SetTroubled(const state::UpstreamId& aId)
{
  const TimePoint now = this->hooks.now();
  Trouble& trouble = this->troubled[aId];
  // All its ranges fail together; that is one trouble.
  if (trouble.until > now) {
    return;
  }
  trouble.lasts = trouble.lasts.count() == 0
                    ? kTroubled
                    : std::min(kLongestTrouble, trouble.lasts * 2);
  trouble.until = now + trouble.lasts;
}

bool Assigner::IsAwaited(const Holder& aHolder) const
{
  return std::ranges::any_of(this->ranges, [&aHolder](const Range& aRange) {
    return aRange.stored.holder == aHolder && !aRange.granted;
  });
}

const OwnerView* Assigner::FindOwner(const std::vector<OwnerView>& aOwners,
                                     const Holder& aHolder) const
{
  const auto found =
    std::ranges::find_if(aOwners, [&aHolder](const OwnerView& aOwner) {
      return aOwner.holder == aHolder;
    });
  return found == aOwners.end() || !found->mayOwn ||
             this->IsTroubled(aHolder.upstream)
           ? nullptr
           : &*found;
}

std::vector<Key> Assigner::SortedRequests(Duration aWindow) const
{
  const TimePoint from = this->hooks.now() - aWindow;
  const auto first = std::ranges::find_if(
    this->requests, [from](const auto& aOne) { return aOne.first >= from; });
  std::vector<Key> keys;
  std::transform(first, this->requests.end(), std::back_inserter(keys),
                 [](const auto& aOne) { return aOne.second; });
  std::ranges::sort(keys);
  return keys;
}

void Assigner::Plan()
{
  const TimePoint now = this->hooks.now();
  if (this->writing || this->phase != Phase::kHolding || !this->storeWell) {
    return;
  }
  this->planDue = now + kPlanEvery;
  Assignment next = this->assignment;
  // What is over need not be waited for by a successor.
  for (std::size_t i = 0; i < this->ranges.size(); ++i) {
    if (this->ranges[i].granted) {
      next.ranges[i].previous.clear();
    }
  }
  if (this->PlanLosses(next, this->owners) ||
      this->PlanBalance(next, this->owners) || this->PlanJoins(next)) {
    this->Write(next);
  }
}

// Keys whose holder may not or does not serve them.
bool Assigner::PlanLosses(Assignment& aNext,
                          const std::vector<OwnerView>& aOwners)
{
  std::vector<std::pair<OwnerView, double>> loads;
  const auto collect = [&](bool aCold) {
    for (const OwnerView& owner : aOwners) {
      if (owner.mayOwn && owner.cold == aCold &&
          !this->IsTroubled(owner.holder.upstream)) {
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
    for (const Range& range : this->ranges) {
      if (range.stored.holder == owner.holder) {
        const auto begin = std::ranges::lower_bound(keys, range.stored.first);
        const auto end = std::ranges::upper_bound(keys, range.stored.last);
        // Keys count a little too, for services without requests yet.
        load += static_cast<double>(end - begin) +
                static_cast<double>(range.stored.last - range.stored.first) /
                  kLastKey;
      }
    }
    load /= owner.capacity;
  }
  bool changed = false;
  for (Range& range : this->ranges) {
    if (this->FindOwner(aOwners, range.stored.holder) == nullptr) {
      this->GiveAway(aNext, range, keys, loads);
      // No renewal may lengthen a hold that has to be waited out; one that can
      // be released is renewed until the change is stored.
      range.stopped = this->IsTroubled(range.stored.holder.upstream);
      changed = true;
    }
  }
  return changed;
}

// In pieces, so that one lost upstream's requests do not drown another.
void Assigner::GiveAway(Assignment& aNext, const Range& aRange,
                        const std::vector<Key>& aRequests,
                        std::vector<std::pair<OwnerView, double>>& aLoads)
{
  constexpr int kPieces = 3;
  const auto begin = std::ranges::lower_bound(aRequests, aRange.stored.first);
  const auto end = std::ranges::upper_bound(aRequests, aRange.stored.last);
  const auto count = end - begin;
  const double share =
    static_cast<double>(aRequests.size()) / static_cast<double>(aLoads.size());
  const int pieces = static_cast<double>(count) > share / 2 ? kPieces : 1;
  Key first = aRange.stored.first;
  for (int i = 1; i <= pieces; ++i) {
    const Key last = i == pieces
                       ? aRange.stored.last
                       : std::max(first, *(begin + count * i / pieces));
    auto least = std::ranges::min_element(
      aLoads, {}, [](const auto& aOne) { return aOne.second; });
    Give(aNext, first, last, least->first.holder);
    least->second +=
      (static_cast<double>(count) / pieces + 0.01) / least->first.capacity;
    if (last == aRange.stored.last) {
      return;
    }
    first = static_cast<Key>(last + 1);
  }
}

// The joined range gets a token above both, its holder goes on serving it.
bool Assigner::PlanJoins(Assignment& aNext)
{
  const TimePoint now = this->hooks.now();
  if (now < this->joinDue) {
    return false;
  }
  this->joinDue = now + kJoinEvery;
  const auto isSettled = [now](const Range& aRange) {
    return aRange.granted && aRange.formers.empty() && !aRange.stopped &&
           now - aRange.grantedAt >= kJoinRest;
  };
  std::size_t joins = 0;
  for (std::size_t i = 1; i < this->ranges.size() && joins < kMostJoins; ++i) {
    const Range& left = this->ranges[i - 1];
    const Range& right = this->ranges[i];
    if (left.stored.holder == right.stored.holder && isSettled(left) &&
        isSettled(right)) {
      Give(aNext, left.stored.first, right.stored.last, left.stored.holder);
      ++joins;
      // It is another range now.
      ++i;
    }
  }
  return joins > 0;
}

// Failure: at the start the first host to claim knew 31 of 137 upstreams, and
// shared all keys among them. The others, filled by halves of what those had,
// got shares that differed eightfold, and the first seconds of traffic were
// spent on moves. While nobody asks for keys they can be dealt anew.
bool Assigner::PlanEvenShares(Assignment& aNext,
                              const BalanceQuestion& aQuestion)
{
  constexpr std::size_t kFewNewcomers = 8;
  std::vector<Holder> holders;
  std::size_t newcomers = 0;
  for (const BalanceHolder& one : aQuestion.holders) {
    holders.push_back(one.holder);
    newcomers +=
      std::ranges::none_of(this->ranges,
                           [&one](const Range& aRange) {
                             return aRange.stored.holder == one.holder;
                           })
        ? 1
        : 0;
  }
  // All are settled, and enough are new to be worth it.
  if (newcomers * kFewNewcomers < holders.size() ||
      aQuestion.ranges.size() < this->ranges.size()) {
    return false;
  }
  for (const AssignedRange& share : ShareEvenly(holders).ranges) {
    Give(aNext, share.first, share.last, share.holder);
  }
  this->hooks.log("keys-shared-anew",
                  std::to_string(holders.size()) + " upstreams, " +
                    std::to_string(newcomers) + " of them new");
  return true;
}

bool Assigner::PlanBalance(Assignment& aNext,
                           const std::vector<OwnerView>& aOwners)
{
  const TimePoint now = this->hooks.now();
  if (now < this->balanceDue) {
    return false;
  }
  this->balanceDue = now + kPlanEvery;
  BalanceQuestion question;
  for (const Range& range : this->ranges) {
    // One change at a time for any key.
    if (range.granted && range.formers.empty() && !range.stopped &&
        now - range.grantedAt >= kRest) {
      question.ranges.push_back(range.stored);
    }
  }
  for (const OwnerView& owner : aOwners) {
    if (owner.mayOwn && !this->IsTroubled(owner.holder.upstream)) {
      question.holders.push_back({ owner.holder, owner.capacity, !owner.cold });
    }
  }
  if (this->requests.empty() && this->PlanEvenShares(aNext, question)) {
    return true;
  }
  question.requests = this->SortedRequests(kSuddenWindow);
  question.overload = kSuddenOverload;
  std::vector<BalanceMove> moves;
  if (question.requests.size() >= kLeastSudden) {
    moves = PlanMoves(question);
  }
  if (moves.empty()) {
    question.requests = this->SortedRequests(kRequestWindow);
    question.overload = kUsualOverload;
    moves = PlanMoves(question);
  }
  for (const BalanceMove& move : moves) {
    this->hooks.log("keys-move", std::to_string(move.first) + "-" +
                                   std::to_string(move.last) + " to " +
                                   move.to.upstream.value + " of " +
                                   std::to_string(question.requests.size()) +
                                   " requests");
    Give(aNext, move.first, move.last, move.to);
  }
  return !moves.empty();
}

} // namespace kumquat::ownership
