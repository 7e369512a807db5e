// Who assigns: an assigner's claims, and how long it may go on.

#include "ownership/assigner.h"

#include "ownership/internal/assignertiming.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <utility>

namespace kumquat::ownership {

using state::WriteOutcome;
using std::chrono::milliseconds;

namespace {

// A hold that is not renewed ends after this time: the longest that the keys
// of an upstream that crashed are nobody's. It must outlast the take-over from
// an assigner that crashed, some 1.5 s.
constexpr milliseconds kHold{ 3000 };
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
// look, or when so much has passed since the start, and a step for each host
// that goes before; traffic waits for longer.
constexpr milliseconds kFirstDeal{ 3500 };
constexpr std::size_t kMostRequests = 20'000;

} // namespace

std::string_view LeaseCommandResultName(LeaseCommandResult aResult)
{
  switch (aResult) {
    case LeaseCommandResult::kDone:
      return "done";
    case LeaseCommandResult::kFenced:
      return "fenced";
    case LeaseCommandResult::kOtherUpstream:
      return "other-upstream";
    case LeaseCommandResult::kRejected:
      return "rejected";
    case LeaseCommandResult::kNoAnswer:
      return "no-answer";
    case LeaseCommandResult::kUnreachable:
      return "unreachable";
  }
  return "unknown";
}

Assigner::Assigner(Options aOptions, Hooks aHooks)
  : options(std::move(aOptions))
  , hooks(std::move(aHooks))
  , leaseDuration(std::min(kHold, this->options.maxLease))
  , startedAt(this->hooks.now())
{
}

void Assigner::SetStoreAvailable(bool aWell)
{
  this->storeAvailable = aWell;
}

// Failure: the assigner's host is stopped by plan while the store is out.
// Nobody can claim then, and when it gave no more orders all keys lapsed and
// were refused for seconds. It goes on renewing until it ends or learns of a
// successor, as one does that cannot confirm its claim; see the head of
// assigner.h.
void Assigner::Leave()
{
  this->leaving = true;
  if (this->phase == Phase::kActive) {
    this->hooks.log("assigner-leaves", "planned stop");
  } else {
    this->phase = Phase::kStopped;
  }
}

MapVersion Assigner::CurrentMapVersion() const
{
  return { this->rows.assignmentVersion, this->revision, this->options.self };
}

std::vector<MapRange> Assigner::CurrentMap() const
{
  std::vector<MapRange> map;
  for (const RangeState& range : this->ranges) {
    const bool open = range.granted && range.previousHolders.empty();
    const state::UpstreamId owner =
      open ? range.assigned.holder.upstream : state::UpstreamId{};
    if (!map.empty() && map.back().upstream == owner) {
      map.back().last = range.assigned.last;
    } else {
      map.push_back({ range.assigned.first, range.assigned.last, owner });
    }
  }
  return map;
}

void Assigner::PublishMap()
{
  ++this->revision;
  this->hooks.publish();
}

void Assigner::OnTimer()
{
  if (this->phase == Phase::kIdle) {
    this->ConsiderClaim();
    return;
  }
  if (this->phase != Phase::kActive) {
    return;
  }
  this->candidates = this->hooks.candidates();
  const TimePoint now = this->hooks.now();
  if (now >= this->claimCheckDue && !this->claimCheckPending &&
      !this->writePending) {
    this->CheckClaim();
  }
  this->CheckOtherAssigners();
  this->AdvanceRanges();
  if (this->phase == Phase::kActive && now >= this->planDue) {
    this->PlanChanges();
  }
}

void Assigner::OnMembershipChange()
{
  if (this->phase == Phase::kActive) {
    this->planDue = this->hooks.now();
    this->OnTimer();
  }
}

void Assigner::RecordRequests(const std::vector<Key>& aKeys)
{
  if (this->phase != Phase::kActive) {
    return;
  }
  const TimePoint now = this->hooks.now();
  for (const Key key : aKeys) {
    this->recentRequests.emplace_back(now, key);
  }
  while (!this->recentRequests.empty() &&
         (now - this->recentRequests.front().first > kRequestWindow ||
          this->recentRequests.size() > kMostRequests)) {
    this->recentRequests.pop_front();
  }
}

// --- who assigns

// An assigner is heard through its digests, whatever map they name; one that
// says that it leaves is gone.
bool Assigner::IsAssignerHeardWithin(Duration aSilence) const
{
  const TimePoint now = this->hooks.now();
  return std::ranges::any_of(this->hooks.peers(), [&](const PeerStatus& aPeer) {
    return aPeer.mapVersion.assigner == aPeer.host && !aPeer.leaving &&
           aPeer.mapVersion.assignmentVersion > 0 &&
           now - aPeer.lastHeardAt < aSilence;
  });
}

bool Assigner::IsAssignerHeard() const
{
  // The rank costs a look at all hosts, and mostly need not be known.
  return this->IsAssignerHeardWithin(kSilence) ||
         this->IsAssignerHeardWithin(kSilence + this->ClaimDelay());
}

Duration Assigner::ClaimDelay() const
{
  const Duration delay =
    this->hooks.claimDelay ? this->hooks.claimDelay() : Duration(0);
  return kRankStep * this->RankAmongHosts() + delay;
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
    std::ranges::count_if(this->hooks.peers(), [&](const PeerStatus& aPeer) {
      return !aPeer.leaving && now - aPeer.lastHeardAt < kSilence &&
             standing(aPeer.host.host) > own;
    }));
}

// Failure: hosts and upstreams start together, and the first claimant knew 31
// of 137 upstreams, once one of 14. The others were filled by halves of what
// those had, and the first seconds of traffic were spent on moves.
bool Assigner::IsTooEarlyToAssign(const AssignmentRows& aStored)
{
  const std::size_t before =
    std::exchange(this->candidatesSeen, this->candidates.size());
  return aStored.assignmentVersion == 0 && before != this->candidates.size() &&
         this->hooks.now() < this->FirstAssignmentDeadline();
}

TimePoint Assigner::FirstAssignmentDeadline() const
{
  return this->startedAt + kFirstDeal + kRankStep * this->RankAmongHosts();
}

// Failure: a host has just claimed, and those that looked before its first
// digest came claimed after it, four within 200 ms. One that was heard as the
// assigner and is silent now, or that runs anew, need not be waited for.
bool Assigner::ShouldWaitForClaimant(const state::HostRef& aClaimant)
{
  const bool isKnown =
    aClaimant.host.value.empty() || aClaimant.host == this->options.self.host ||
    aClaimant == this->lastConnectionRequest ||
    std::ranges::any_of(this->hooks.peers(), [&](const PeerStatus& aPeer) {
      return aPeer.host.host == aClaimant.host &&
             (aPeer.host.incarnation > aClaimant.incarnation ||
              aPeer.mapVersion.assigner == aClaimant);
    });
  if (isKnown) {
    return false;
  }
  this->lastConnectionRequest = aClaimant;
  if (this->hooks.requestConnection) {
    this->hooks.requestConnection(aClaimant);
  }
  return true;
}

void Assigner::ConsiderClaim()
{
  const TimePoint now = this->hooks.now();
  if (now < this->claimNotBefore || this->IsAssignerHeardWithin(kSilence) ||
      now - this->startedAt < kStartPause + this->ClaimDelay() ||
      this->IsAssignerHeard()) {
    return;
  }
  this->candidates = this->hooks.candidates();
  if (this->candidates.empty()) {
    return;
  }
  this->phase = Phase::kClaiming;
  this->hooks.read([this](Result<AssignmentRows> aStored) {
    if (this->phase != Phase::kClaiming) {
      return;
    }
    if (!aStored || this->IsAssignerHeard()) {
      this->phase = Phase::kIdle;
      this->claimNotBefore = this->hooks.now() + kClaimPause;
      return;
    }
    if (this->IsTooEarlyToAssign(*aStored)) {
      this->phase = Phase::kIdle;
      // The last look is right at its time, or the rank would not tell.
      this->claimNotBefore = std::min(this->hooks.now() + kClaimPause,
                                      this->FirstAssignmentDeadline());
      return;
    }
    if (this->ShouldWaitForClaimant(aStored->assigner)) {
      this->phase = Phase::kIdle;
      this->claimNotBefore = this->hooks.now() + kSilence;
      return;
    }
    this->WriteClaim(*aStored);
  });
}

void Assigner::WriteClaim(const AssignmentRows& aStored)
{
  AssignmentWrite write;
  write.expected = aStored;
  write.claim = this->options.self;
  write.assignmentText = aStored.assignmentText;
  if (aStored.assignmentVersion == 0) {
    std::vector<Holder> holders;
    for (const OwnerCandidate& owner : this->candidates) {
      if (owner.mayOwn) {
        holders.push_back(owner.holder);
      }
    }
    if (holders.empty()) {
      this->phase = Phase::kIdle;
      return;
    }
    write.assignmentText = SerializeAssignment(AssignEvenly(holders));
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
      AssignmentRows now = write.expected;
      now.claimVersion = aVersion;
      now.assignmentVersion = aVersion;
      now.assignmentText = write.assignmentText;
      this->BecomeAssigner(now);
    });
}

// aStored names the assigner before.
void Assigner::BecomeAssigner(const AssignmentRows& aStored)
{
  const TimePoint now = this->hooks.now();
  const auto parsed = ParseAssignment(aStored.assignmentText);
  if (!parsed) {
    this->hooks.log("assignment-unreadable", aStored.assignmentText);
    this->phase = Phase::kIdle;
    this->claimNotBefore = now + kForgotten;
    return;
  }
  this->phase = Phase::kActive;
  this->rows = aStored;
  this->rows.assigner = this->options.self;
  this->claimConfirmedAt = now;
  this->claimCheckDue = now + kConfirmEvery;
  this->planDue = now + kPlanInterval;
  this->ranges.clear();
  this->recentRequests.clear();
  this->backoffs.clear();
  this->writePending = false;
  this->claimCheckPending = false;
  this->revision = 0;
  const bool isFirst = aStored.assigner.host.value.empty();
  this->claimedAt = now;
  // Not only the last one: those before it may have stood still ever since.
  this->predecessorsMayRenew = !isFirst;
  this->predecessorLeasesExpireAt = isFirst ? TimePoint{} : TimePoint::max();
  this->assignment = *parsed;
  for (const AssignedRange& one : parsed->ranges) {
    RangeState range;
    range.assigned = one;
    range.granted = !isFirst && one.previousHolders.empty();
    range.maybeRenewedByPredecessor = !isFirst;
    range.lastAnswerAt = now;
    for (const Holder& holder : one.previousHolders) {
      range.previousHolders.push_back({ holder, {}, true, false, {} });
    }
    this->ranges.push_back(std::move(range));
  }
  this->hooks.log("assigner-won", "after " + aStored.assigner.host.value);
  this->PublishMap();
  this->AdvanceRanges();
}

void Assigner::StepDown(std::string_view aWhy)
{
  this->hooks.log("assigner-lost", aWhy);
  this->phase = this->leaving ? Phase::kStopped : Phase::kIdle;
  this->ranges.clear();
  this->claimNotBefore = this->hooks.now() + kClaimPause;
}

void Assigner::CheckClaim()
{
  this->claimCheckPending = true;
  const TimePoint asked = this->hooks.now();
  this->claimCheckDue = asked + kConfirmEvery;
  const state::Version claim = this->rows.claimVersion;
  this->hooks.read([this, asked, claim](Result<AssignmentRows> aStored) {
    this->claimCheckPending = false;
    if (this->phase != Phase::kActive || claim != this->rows.claimVersion ||
        !aStored) {
      return;
    }
    if (aStored->claimVersion != claim) {
      this->StepDown("another host has claimed");
      return;
    }
    this->claimConfirmedAt = asked;
  });
}

std::pair<std::size_t, std::size_t> Assigner::CountFollowers() const
{
  const TimePoint now = this->hooks.now();
  std::size_t followers = 1;
  std::size_t known = 1;
  for (const PeerStatus& peer : this->hooks.peers()) {
    known += now - peer.lastHeardAt < kForgotten ? 1 : 0;
    // Failure: a host that stood still finds old digests in its connections.
    // Counted from their arrival they would let it renew holds that its
    // successor has waited out; see DigestTimes.
    const bool follows = peer.mapVersion.assigner == this->options.self;
    followers += follows && now - peer.mapConfirmedAt < kSaid ? 1 : 0;
  }
  return { followers, known };
}

bool Assigner::MayRenewLeases() const
{
  if (this->hooks.now() - this->claimConfirmedAt <= kConfirmed) {
    return true;
  }
  const auto [followers, known] = this->CountFollowers();
  return followers * 3 >= known * 2;
}

// Assigners before this one have stopped where they can have neither a
// confirmation nor enough hosts behind them; from then on only what they sent
// before counts. A host never goes back to an older map, so what it said of one
// was said before it took this one.
void Assigner::CheckOtherAssigners()
{
  for (const PeerStatus& peer : this->hooks.peers()) {
    // A map of a later version comes from an assigner that has claimed since.
    if (peer.mapVersion.assignmentVersion > this->rows.assignmentVersion &&
        peer.mapVersion.assigner != this->options.self && !this->writePending) {
      this->StepDown("a peer knows a later map");
      return;
    }
  }
  const auto [followers, known] = this->CountFollowers();
  if (this->predecessorsMayRenew && followers * 2 > known) {
    const TimePoint now = this->hooks.now();
    const TimePoint stops = std::max(this->claimedAt + kConfirmed, now + kSaid);
    this->predecessorLeasesExpireAt =
      this->LeaseExpiryFromNow() + (stops - now);
    this->predecessorsMayRenew = false;
  }
}

} // namespace kumquat::ownership
