// Assigner: claiming the keys of a service, confirming the claim, and deciding
// how long leases may be renewed.

#include "ownership/assigner.h"

#include "ownership/internal/assignertiming.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <utility>

namespace kumquat::ownership {

using state::WriteOutcome;
using std::chrono::milliseconds;

namespace {

// A lease that is not renewed expires after this time. The keys of an upstream
// that crashed have no owner for at most this long. It must be longer than the
// take-over from an assigner that crashed, which takes some 1.5 s.
constexpr milliseconds kLeaseDuration{ 3000 };
// A read that shows this host's claim is valid for this time from when it was
// requested. With a read every two seconds, one of them may fail.
constexpr milliseconds kClaimValidity{ 3500 };
// A host's report of the map that it uses is valid for this time, counted from
// when the digest that it acknowledges was sent. In cells (groups of some ten
// hosts that exchange full digests), an assigner's digests and the digests that
// acknowledge them arrive every 300 and 500 ms, busy hosts lag by some hundred
// milliseconds, and links lose packets.
constexpr milliseconds kMapReportValidity{ 2000 };
// A host that has announced a planned stop and is silent for this time has
// ended.
constexpr milliseconds kStopTimeout{ 10'000 };
// A predecessor's clock may count this part of the time that passes here, as
// either may be off by 2%.
constexpr double kMinClockRate = 0.96;
// Pause after reading an assignment that cannot be parsed.
constexpr milliseconds kUnreadablePause{ 60'000 };
// Time between two reads that confirm the claim.
constexpr milliseconds kClaimCheckInterval{ 2000 };
// At least so much time passes between two reads.
constexpr milliseconds kClaimCheckPause{ 50 };
// An assigner without a digest for this time counts as unreachable. Digests
// arrive five times a second, and some are lost.
constexpr milliseconds kAssignerTimeout{ 1000 };
// Each host waits this much longer to claim than the next higher in rank.
constexpr milliseconds kRankDelay{ 300 };
// Hosts start at nearly the same time and need one round of digests to learn
// which other hosts are running.
constexpr milliseconds kStartDelay{ 900 };
// Pause before the next check whether to claim, after a claim that failed or
// was put off.
constexpr milliseconds kClaimRetryPause{ 700 };
// The first assignment is made when no upstream has appeared since the last
// check, or when this time has passed since the start, plus kRankDelay for each
// host of higher rank. Requests wait for longer than that.
constexpr milliseconds kFirstAssignmentTimeout{ 3500 };
// Limit on the requests that are kept for the balance planner.
constexpr std::size_t kMaxRecentRequests = 20'000;

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
    case LeaseCommandResult::kWithdrawn:
      return "withdrawn";
  }
  return "unknown";
}

Assigner::Assigner(Options aOptions, Hooks aHooks)
  : options(std::move(aOptions))
  , hooks(std::move(aHooks))
  , leaseDuration(std::min(kLeaseDuration, this->options.maxLease))
  , startedAt(this->hooks.now())
{
}

void Assigner::SetStoreAvailable(bool aIsAvailable)
{
  this->storeAvailable = aIsAvailable;
}

// Failure: the assigner's host had a planned stop while the store was
// unavailable. No other host could claim then. As the assigner sent no more
// lease commands, all leases expired and requests were refused for seconds.
// Therefore it renews leases until its process ends or it learns of a
// successor, like an assigner that cannot confirm its claim; see the head of
// assigner.h.
void Assigner::Leave()
{
  this->leaving = true;
  if (this->phase == Phase::kActive) {
    this->hooks.log("assigner-leaves", "planned stop has begun");
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
    const bool isServed = range.granted && range.previousHolders.empty();
    const state::UpstreamId owner =
      isServed ? range.assigned.holder.upstream : state::UpstreamId{};
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
          this->recentRequests.size() > kMaxRecentRequests)) {
    this->recentRequests.pop_front();
  }
}

// --- claims

// A host announces itself as the assigner in its digests if it uses a map of
// its own, whichever version that has. One that is leaving does not count.
bool Assigner::HasAssignerDigestWithin(Duration aTime) const
{
  const TimePoint now = this->hooks.now();
  return std::ranges::any_of(this->hooks.peers(), [&](const PeerStatus& aPeer) {
    return aPeer.mapVersion.assigner == aPeer.host && !aPeer.leaving &&
           aPeer.mapVersion.assignmentVersion > 0 &&
           now - aPeer.lastHeardAt < aTime;
  });
}

bool Assigner::IsAssignerAlive() const
{
  // The rank is only computed if needed, as that takes a pass over all hosts.
  return this->HasAssignerDigestWithin(kAssignerTimeout) ||
         this->HasAssignerDigestWithin(kAssignerTimeout + this->ClaimDelay());
}

Duration Assigner::ClaimDelay() const
{
  const Duration delay =
    this->hooks.claimDelay ? this->hooks.claimDelay() : Duration(0);
  return kRankDelay * this->RankAmongHosts() + delay;
}

int Assigner::RankAmongHosts() const
{
  const TimePoint now = this->hooks.now();
  const auto rankKey = [this](const state::HostId& aHost) {
    const double preference =
      this->hooks.preference ? this->hooks.preference(aHost) : 0;
    return std::make_pair(preference,
                          RendezvousScore(aHost.value, this->options.name));
  };
  const auto ownKey = rankKey(this->options.self.host);
  return static_cast<int>(
    std::ranges::count_if(this->hooks.peers(), [&](const PeerStatus& aPeer) {
      return !aPeer.leaving && now - aPeer.lastHeardAt < kAssignerTimeout &&
             rankKey(aPeer.host.host) > ownKey;
    }));
}

// Failure: hosts and upstreams started together, and the first claimant knew
// only 31 of 137 upstreams, and in another case one of 14. The other upstreams
// then received keys by halving the ranges of the first ones, and these moves
// took the first seconds of traffic.
bool Assigner::IsTooEarlyToAssign(const AssignmentRows& aRows)
{
  const std::size_t previousCount =
    std::exchange(this->candidatesSeen, this->candidates.size());
  return aRows.assignmentVersion == 0 && aRows.assignmentText.empty() &&
         previousCount != this->candidates.size() &&
         this->hooks.now() < this->FirstAssignmentDeadline();
}

TimePoint Assigner::FirstAssignmentDeadline() const
{
  return this->startedAt + kFirstAssignmentTimeout +
         kRankDelay * this->RankAmongHosts();
}

// Failure: a host had just claimed, and hosts that checked before its first
// digest arrived claimed after it, four within 200 ms. There is no need to wait
// for a claimant that had announced itself as the assigner and sends no digests
// now, or that has restarted since its claim.
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
  if (now < this->claimNotBefore ||
      this->HasAssignerDigestWithin(kAssignerTimeout) ||
      now - this->startedAt < kStartDelay + this->ClaimDelay() ||
      this->IsAssignerAlive()) {
    return;
  }
  this->candidates = this->hooks.candidates();
  if (this->candidates.empty()) {
    return;
  }
  this->phase = Phase::kClaiming;
  this->hooks.read([this](Result<AssignmentRows> aRows) {
    if (this->phase != Phase::kClaiming) {
      return;
    }
    if (!aRows || aRows->isClosed || this->IsAssignerAlive()) {
      this->phase = Phase::kIdle;
      this->claimNotBefore = this->hooks.now() + kClaimRetryPause;
      return;
    }
    if (this->IsTooEarlyToAssign(*aRows)) {
      this->phase = Phase::kIdle;
      // The last check must come exactly at the deadline, which depends on the
      // rank. Otherwise several hosts would claim at the same time.
      this->claimNotBefore = std::min(this->hooks.now() + kClaimRetryPause,
                                      this->FirstAssignmentDeadline());
      return;
    }
    if (this->ShouldWaitForClaimant(aRows->assigner)) {
      this->phase = Phase::kIdle;
      this->claimNotBefore = this->hooks.now() + kAssignerTimeout;
      return;
    }
    this->WriteClaim(*aRows);
  });
}

void Assigner::WriteClaim(const AssignmentRows& aRows)
{
  AssignmentWrite write;
  write.expected = aRows;
  write.claim = this->options.self;
  write.assignmentText = aRows.assignmentText;
  if (auto known = ParseAssignment(aRows.assignmentText, this->options.part)) {
    AddEarlierAssigner(*known, aRows.assigner);
    // Two groups of hosts that do not hear each other take over in turns, and
    // each has to show that the other has stopped.
    QuorumHosts earlierHosts;
    for (const EarlierAssigner& earlier : known->earlierAssigners) {
      earlierHosts.insert(earlierHosts.end(), earlier.quorumHosts.begin(),
                          earlier.quorumHosts.end());
    }
    known->quorumHosts = this->ChooseHosts(earlierHosts);
    write.assignmentText = SerializeAssignment(*known);
  } else if (aRows.assignmentVersion == 0 && aRows.assignmentText.empty()) {
    std::vector<Holder> owners;
    for (const OwnerCandidate& candidate : this->candidates) {
      if (candidate.mayOwn) {
        owners.push_back(candidate.holder);
      }
    }
    if (owners.empty() || (this->hooks.needsOtherLayout &&
                           this->hooks.needsOtherLayout(owners.size()))) {
      this->phase = Phase::kIdle;
      this->claimNotBefore = this->hooks.now() + kClaimRetryPause;
      return;
    }
    Assignment first = AssignEvenly(std::move(owners), this->options.part);
    first.quorumHosts = this->ChooseHosts({});
    write.assignmentText = SerializeAssignment(first);
  }
  const TimePoint requestedAt = this->hooks.now();
  this->hooks.write(write, [this, write, requestedAt](WriteOutcome aOutcome,
                                                      state::Version aVersion) {
    if (this->phase != Phase::kClaiming) {
      return;
    }
    if (aOutcome != WriteOutcome::kWritten) {
      this->phase = Phase::kIdle;
      this->claimNotBefore =
        this->hooks.now() + (aOutcome == WriteOutcome::kRefused
                               ? kRefusedWritePause
                               : kClaimRetryPause);
      return;
    }
    AssignmentRows claimedRows = write.expected;
    claimedRows.claimVersion = aVersion;
    claimedRows.assignmentVersion = aVersion;
    claimedRows.assignmentText = write.assignmentText;
    this->BecomeAssigner(claimedRows, requestedAt);
  });
}

void Assigner::BecomeAssigner(const AssignmentRows& aRows,
                              TimePoint aClaimRequestedAt)
{
  const TimePoint now = this->hooks.now();
  const auto parsed = ParseAssignment(aRows.assignmentText, this->options.part);
  if (!parsed) {
    this->hooks.log("assignment-unreadable", aRows.assignmentText);
    this->phase = Phase::kIdle;
    this->claimNotBefore = now + kUnreadablePause;
    return;
  }
  this->phase = Phase::kActive;
  this->rows = aRows;
  this->rows.assigner = this->options.self;
  this->claimConfirmedAt = aClaimRequestedAt;
  this->claimCheckDue = aClaimRequestedAt + kClaimCheckInterval;
  this->planDue = now + kPlanInterval;
  this->ranges.clear();
  this->recentRequests.clear();
  this->backoffs.clear();
  this->writePending = false;
  this->claimCheckPending = false;
  this->revision = 0;
  const bool isFirstAssigner = aRows.assigner.host.value.empty();
  this->claimedAt = now;
  // Not only the last assigner counts: an earlier one may have been paused ever
  // since and may resume.
  this->predecessorsMayRenew = !isFirstAssigner;
  this->predecessorLeasesExpireAt =
    isFirstAssigner ? TimePoint{} : TimePoint::max();
  this->assignment = *parsed;
  this->unconfirmedQuorums.clear();
  for (const AssignedRange& assigned : parsed->ranges) {
    RangeState range;
    range.assigned = assigned;
    range.granted = !isFirstAssigner && assigned.previousHolders.empty();
    range.lease.maybeRenewedByPredecessor = !isFirstAssigner;
    range.lastResponseAt = now;
    for (const Holder& holder : assigned.previousHolders) {
      range.previousHolders.push_back({ holder, { {}, true, {} } });
    }
    this->ranges.push_back(std::move(range));
  }
  this->CollectHolders();
  this->hooks.log("assigner-won",
                  "previous assigner: " + aRows.assigner.host.value);
  this->PublishMap();
  this->AdvanceRanges();
}

void Assigner::StepDown(std::string_view aWhy)
{
  this->hooks.log("assigner-lost", aWhy);
  this->phase = this->leaving ? Phase::kStopped : Phase::kIdle;
  this->ranges.clear();
  this->holders.clear();
  this->claimNotBefore = this->hooks.now() + kClaimRetryPause;
}

void Assigner::CheckClaim()
{
  this->claimCheckPending = true;
  const TimePoint requestedAt = this->hooks.now();
  this->claimCheckDue = requestedAt + kClaimCheckInterval;
  const state::Version claim = this->rows.claimVersion;
  this->hooks.read([this, requestedAt, claim](Result<AssignmentRows> aRows) {
    this->claimCheckPending = false;
    if (this->phase != Phase::kActive || claim != this->rows.claimVersion ||
        !aRows) {
      return;
    }
    if (aRows->claimVersion != claim) {
      this->StepDown("another host has claimed the keys");
      return;
    }
    this->claimConfirmedAt = std::max(this->claimConfirmedAt, requestedAt);
    this->AdvanceRanges();
  });
}

void Assigner::CheckClaimSoon()
{
  const TimePoint earliest =
    this->claimCheckDue - kClaimCheckInterval + kClaimCheckPause;
  if (this->storeAvailable && !this->claimCheckPending && !this->writePending &&
      this->hooks.now() >= earliest) {
    this->CheckClaim();
  }
}

QuorumHosts Assigner::ChooseHosts(const QuorumHosts& aCurrent) const
{
  return ChooseQuorumHosts({ aCurrent, this->hooks.peers(), this->options.self,
                             this->options.name, this->hooks.now(),
                             this->startedAt });
}

// Failure: a host that resumes after a pause finds old digests in its
// connections. If reports counted from their arrival, they would let it renew
// leases that its successor has already treated as expired. See
// DigestSendTimes.
bool Assigner::IsFollower(const PeerStatus& aPeer, TimePoint aSince) const
{
  // A host that uses the map of an earlier claim may yet take a map of the
  // assigner in between.
  return aPeer.mapVersion.assigner == this->options.self &&
         aPeer.mapVersion.assignmentVersion >= this->rows.claimVersion &&
         this->hooks.now() - aPeer.mapConfirmedAt < kMapReportValidity &&
         aPeer.mapConfirmedAt >= aSince;
}

bool Assigner::HasQuorum(const QuorumHosts& aHosts,
                         const std::vector<PeerStatus>& aPeers,
                         TimePoint aSince) const
{
  const auto followers =
    std::ranges::count_if(aPeers, [&](const PeerStatus& aPeer) {
      return std::ranges::binary_search(aHosts, aPeer.host) &&
             this->IsFollower(aPeer, aSince);
    });
  const bool countsSelf =
    std::ranges::binary_search(aHosts, this->options.self);
  return static_cast<std::size_t>(followers) + (countsSelf ? 1 : 0) >=
         RequiredFollowers(aHosts.size(),
                           this->hooks.now() - this->claimConfirmedAt);
}

bool Assigner::HasSuccessor() const
{
  if (!this->hooks.usedMap) {
    return false;
  }
  const MapVersion used = this->hooks.usedMap();
  return this->IsLaterMap(used) && !used.assigner.host.value.empty();
}

bool Assigner::IsLaterMap(const MapVersion& aVersion) const
{
  return aVersion.assignmentVersion > this->rows.assignmentVersion &&
         aVersion.assigner != this->options.self;
}

bool Assigner::MayRenewLeases(TimePoint aSince) const
{
  if (this->HasSuccessor()) {
    return false;
  }
  if (this->claimConfirmedAt >= aSince &&
      this->hooks.now() - this->claimConfirmedAt <= kClaimValidity) {
    return true;
  }
  const std::vector<PeerStatus> peers = this->hooks.peers();
  return this->HasQuorum(this->assignment.quorumHosts, peers, aSince) &&
         std::ranges::all_of(this->unconfirmedQuorums,
                             [&](const QuorumHosts& aHosts) {
                               return this->HasQuorum(aHosts, peers, aSince);
                             });
}

// A host that uses this assigner's map is no follower of a predecessor any
// more: it never returns to an older map, and of a host that has restarted
// since, the incarnation that was counted has ended. A predecessor whose own
// host uses the map renews no leases any more, unless it is of another part: it
// goes by the maps of that part.
bool Assigner::HasStopped(const EarlierAssigner& aEarlier,
                          const std::vector<PeerStatus>& aPeers) const
{
  const auto findPeer = [&aPeers](const state::HostId& aHost) {
    return std::ranges::find_if(aPeers, [&aHost](const PeerStatus& aPeer) {
      return aPeer.host.host == aHost;
    });
  };
  const auto usesOwnMap = [&](const state::HostId& aHost) {
    const auto peer = findPeer(aHost);
    return aHost == this->options.self.host ||
           (peer != aPeers.end() && this->IsFollower(*peer, {}));
  };
  const auto assigner = findPeer(aEarlier.host.host);
  const bool isRunning =
    aEarlier.host == this->options.self ||
    (assigner != aPeers.end() && assigner->host == aEarlier.host);
  const bool hasSteppedDown =
    usesOwnMap(aEarlier.host.host) && (!isRunning || !aEarlier.isOfEarlierPart);
  const auto hasLeft = [&](const state::HostRef& aHost) {
    const auto peer = findPeer(aHost.host);
    return peer != aPeers.end() && peer->host == aHost && peer->leaving &&
           this->hooks.now() - peer->lastHeardAt >= kStopTimeout;
  };
  // Rows of versions that stored no hosts name none.
  const QuorumHosts& hosts = aEarlier.quorumHosts.empty()
                               ? this->assignment.quorumHosts
                               : aEarlier.quorumHosts;
  const Duration unconfirmed = std::chrono::duration_cast<Duration>(
    (this->hooks.now() - this->claimedAt) * kMinClockRate);
  const auto mayFollow = static_cast<std::size_t>(
    std::ranges::count_if(hosts, [&](const state::HostRef& aHost) {
      return aHost == aEarlier.host ||
             (!usesOwnMap(aHost.host) && !hasLeft(aHost));
    }));
  return hasSteppedDown || hasLeft(aEarlier.host) ||
         mayFollow < RequiredFollowers(hosts.size(), unconfirmed);
}

// From the time on at which all predecessors have stopped, only the grants that
// they sent earlier matter. A host made any report of an older map before it
// took this one.
void Assigner::CheckOtherAssigners()
{
  const std::vector<PeerStatus> peers = this->hooks.peers();
  for (const PeerStatus& peer : peers) {
    // A map of a later version comes from a host that has claimed since, or
    // shows a write of this one that is not confirmed yet.
    if (this->IsLaterMap(peer.mapVersion) &&
        (!this->writePending || !peer.mapVersion.assigner.host.value.empty())) {
      this->StepDown("a peer uses a map of a later version");
      return;
    }
  }
  if (this->HasSuccessor()) {
    this->StepDown("this host uses a map of a later version");
    return;
  }
  if (!this->predecessorsMayRenew) {
    return;
  }
  const auto& earlier = this->assignment.earlierAssigners;
  const bool haveStopped =
    std::ranges::all_of(earlier, [&](const EarlierAssigner& aEarlier) {
      return this->HasStopped(aEarlier, peers);
    });
  if (haveStopped) {
    const TimePoint now = this->hooks.now();
    const TimePoint predecessorsStop =
      std::max(this->claimedAt + kClaimValidity, now + kMapReportValidity);
    this->predecessorLeasesExpireAt =
      this->LeaseExpiryFromNow() + (predecessorsStop - now);
    this->predecessorsMayRenew = false;
    this->hooks.log(
      "predecessors-stopped",
      std::to_string(earlier.size()) + " assigners, the last " +
        (earlier.empty() ? "unknown" : earlier.back().host.host.value));
  }
}

} // namespace kumquat::ownership
