// Assigns the key ranges of a keyed service to its upstreams. Every host runs
// one Assigner for each keyed service. At most one of them at a time changes
// the assignment, and the store decides which: each change is a conditional
// write on the row that names the assigner. The class does no I/O: time, store,
// lease commands and peers come in through hooks. It uses one thread.
//
// An upstream may serve a key range only while it holds a lease on it. Two
// upstreams never hold a lease on the same key, for these reasons:
// - A change is stored before any lease command for it is sent. It carries a
//   fencing token higher than all tokens that the keys had before.
// - The new holder is granted a lease only after each previous holder has
//   confirmed the release, or is shown to have ended, as another upstream uses
//   its address, or after its lease has certainly expired. The
//   release carries the new token, so that the previous holder rejects an
//   older grant that arrives late. If the previous holder has restarted under
//   its id, the new incarnation gets the release: it accepts grants that were
//   meant for the one before.
// - An upstream that restarts after a release has forgotten the token. No
//   predecessor reaches it then: a connection ends with the incarnation that it
//   was made to, and a grant is sent over a connection only if the sender's
//   claim was confirmed, or its map used by two thirds of the hosts, after the
//   connection was there. A successor takes a release for final only if half of
//   the hosts used its map when it was sent, so that it was sent after that.
// - A lease has certainly expired when its duration, on a clock that may run
//   slow, has passed since the last grant was sent, by this assigner or by a
//   predecessor. A grant that cannot be sent at once is not sent at all.
//
// When the store is unavailable, an assigner cannot confirm its claim. It goes
// on renewing the existing leases as long as more than half of its quorum hosts
// report that they use its map; see quorum.h. This is safe beside a successor
// that renews the same leases, or that had them released under a higher token.
// A successor that has to wait for a lease to expire counts from the time at
// which each predecessor has certainly stopped renewing: the last confirmation
// of its claim is no longer valid, and half of its quorum hosts have used the
// successor's map for so long that their earlier reports are no longer valid
// either. The stored assignment names the predecessors of which that was not
// shown yet, with their quorum hosts.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"
#include "ownership/assignment.h"
#include "ownership/balance.h"
#include "ownership/keymap.h"
#include "state/table.h"
#include "state/types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::ownership {

// What a lease command asks an upstream to do.
enum class LeaseCommandKind
{
  kGrant,
  kRelease,
};

// Grants a key range to an upstream or makes it release the range.
struct LeaseCommand
{
  LeaseCommandKind kind = LeaseCommandKind::kGrant;
  state::UpstreamId upstream;
  std::string address;
  Key first = 0;
  Key last = 0;
  FencingToken fencingToken = 0;
  // Set for grants only: how long the lease lasts from its arrival.
  std::chrono::milliseconds leaseDuration{ 0 };
  // Set for grants only: data from the previous holder. May be empty.
  std::string handover;
  // Asked right before the command is sent, as connecting takes time and the
  // host may be suspended meanwhile, with a time at which the connection was
  // there. If it returns false, nothing may be sent.
  std::function<bool(TimePoint aConnectedAt)> isStillValid;
};

// How a lease command ended.
enum class LeaseCommandResult
{
  kDone,
  // The upstream has seen a higher fencing token for one of the keys.
  kFenced,
  // Another upstream uses this address now, so the intended one has ended.
  kOtherUpstream,
  kRejected,
  // There was no response. The upstream may have executed the command or may
  // still execute it.
  kNoAnswer,
  // The upstream could not be reached, and the command was never sent.
  kUnreachable,
  // The command was no longer valid when it could be sent, and never was.
  kWithdrawn,
};

// The name of a result in log events, such as "other-upstream".
std::string_view LeaseCommandResultName(LeaseCommandResult aResult);

struct LeaseCommandReply
{
  LeaseCommandResult result = LeaseCommandResult::kNoAnswer;
  // Data that a release returned for the next holder. May be empty.
  std::string handover;
};

// The two rows that the store keeps for a keyed service: the claim, which names
// the assigner, and the assignment.
struct AssignmentRows
{
  // Versions are 0 if the row does not exist.
  state::Version claimVersion = 0;
  state::HostRef assigner;
  state::Version assignmentVersion = 0;
  // If assignmentVersion is 0, the assignment to begin with: keys that the
  // parts of an earlier layout have assigned. Empty if no keys were ever
  // assigned.
  std::string assignmentText;
  // The part belongs to an earlier layout, and nobody may claim it any more.
  bool isClosed = false;
};

// A conditional write of both rows. It succeeds only if the versions of the
// stored rows are those of `expected`.
struct AssignmentWrite
{
  AssignmentRows expected;
  // If set, this host becomes the assigner.
  std::optional<state::HostRef> claim;
  std::string assignmentText;
};

// A known upstream to which keys may be assigned.
struct OwnerCandidate
{
  Holder holder;
  std::string address;
  // False if the upstream is leaving or its data centre is out of service.
  bool mayOwn = false;
  // In slow start, or it names a limit: keys are moved to it only if all
  // candidates are so.
  bool cold = false;
  // Requests that it can run in a given time, relative to other candidates.
  double capacity = 1;
  // How many times as fast it is as a typical candidate; see ownerpaces.h.
  // Unset where paces are not collected.
  std::optional<double> pace = std::nullopt;
};

// Why keys are moved.
enum class MoveReason
{
  // Some keys have suddenly become hot.
  kHotKeys,
  // An upstream receives more than its share of the requests.
  kOverload,
  // An upstream has no keys yet.
  kNewOwner,
  // The holder may not own keys or does not respond.
  kReplacement,
};

std::string_view MoveReasonName(MoveReason aReason);

// What this host knows about a peer from its last digest.
struct PeerStatus
{
  state::HostRef host;
  // When the last digest of this incarnation arrived.
  TimePoint lastHeardAt;
  bool leaving = false;
  // Version of the key map that the peer uses.
  MapVersion mapVersion;
  // Set if that map is this host's own: a time, on this host's clock, at which
  // the peer certainly used it. See DigestSendTimes.
  TimePoint mapConfirmedAt;
};

// Claims a service's keys, assigns them to upstreams and renews the leases.
class Assigner
{
public:
  using ReadDone = std::function<void(Result<AssignmentRows>)>;
  // The version is that of the write, if the outcome is kWritten.
  using WriteDone = std::function<void(state::WriteOutcome, state::Version)>;
  using CommandDone = std::function<void(LeaseCommandReply)>;

  struct Hooks
  {
    // Must include the time during which the host was suspended.
    Clock now;
    std::function<void(ReadDone)> read;
    std::function<void(AssignmentWrite, WriteDone)> write;
    std::function<void(const LeaseCommand&, CommandDone)> sendCommand;
    std::function<std::vector<OwnerCandidate>()> candidates;
    // Where a holder was that is no longer a candidate; none if that is not
    // known. May be empty.
    std::function<std::optional<std::string>(const Holder&)> formerAddress;
    // All other hosts from which a digest was ever received, each once.
    std::function<std::vector<PeerStatus>()> peers;
    // The version of the map that this host uses, as its digests say. May be
    // empty.
    std::function<MapVersion()> usedMap;
    // The host with the higher value should claim first. May be empty if all
    // hosts are equal.
    std::function<double(const state::HostId&)> preference;
    // Called when a host has claimed the keys that has never announced itself
    // as the assigner. Requests a connection to it, as not every host receives
    // digests from every other. May be empty.
    std::function<void(const state::HostRef&)> requestConnection;
    // How much longer than other hosts this host waits before it claims. May
    // be empty.
    std::function<Duration()> claimDelay;
    // Asked before the first assignment of keys, with the number of upstreams.
    // Returns true if the layout of the keys has to change first. May be empty.
    std::function<bool(std::size_t)> needsOtherLayout;
    // Called when the map has changed.
    std::function<void()> publish;
    // Counts a planned move; aIsSecond is set if some of its keys were moved
    // shortly before. May be empty.
    std::function<void(MoveReason, bool aIsSecond)> countMove;
    // Logs event aWhat; aDetail gives the keys, the upstream and figures.
    std::function<void(std::string_view aWhat, std::string_view aDetail)> log;
  };

  struct Options
  {
    // Name of the part; see PartName.
    std::string name;
    KeyPart part;
    state::HostRef self;
    // The longest lease that upstreams accept.
    std::chrono::milliseconds maxLease{ 10'000 };
  };

  Assigner(Options aOptions, Hooks aHooks);
  Assigner(const Assigner&) = delete;
  Assigner& operator=(const Assigner&) = delete;

  // Must be called a few times a second, and more often if this host is the
  // assigner.
  void OnTimer();
  // Must be called when upstreams or peers have changed.
  void OnMembershipChange();
  // Takes the keys of requests, as hosts report them, for the balance planner.
  void RecordRequests(const std::vector<Key>& aKeys);
  // While the store is unavailable (its responses are late or missing), the
  // assignment does not change, but leases are renewed.
  void SetStoreAvailable(bool aIsAvailable);
  // Begins a planned stop: changes the assignment no more, so that another host
  // can take over, and renews the existing leases until then.
  void Leave();

  bool IsAssigner() const { return this->phase == Phase::kActive; }
  // Whether the upstream holds keys of the part, or may do so.
  bool MayHoldKeys(const state::UpstreamId& aUpstream) const
  {
    return this->holders.contains(aUpstream);
  }
  MapVersion CurrentMapVersion() const;
  // Ranges without a valid lease have no upstream.
  std::vector<MapRange> CurrentMap() const;

  std::chrono::milliseconds LeaseDuration() const
  {
    return this->leaseDuration;
  }

private:
  enum class Phase
  {
    kIdle,
    // A read or write that may make this host the assigner is pending.
    kClaiming,
    // This host is the assigner.
    kActive,
    // A planned stop has begun, and this host is not the assigner.
    kStopped,
  };

  // What is known of a lease of one holder.
  struct Lease
  {
    // The clock's epoch if this assigner has granted none.
    TimePoint expiresAt;
    // A predecessor of this assigner may have renewed the lease as well.
    bool maybeRenewedByPredecessor = false;
    // No release is sent before: a grant may be under way until then, and a
    // release must not overtake it. If the upstream restarts after the release,
    // it accepts the grant.
    TimePoint releaseNotBefore;

    // Takes what is known of another lease of the same holder as well.
    void Join(const Lease& aOther);
  };

  // A previous holder whose lease may not have expired yet.
  struct PreviousHolder
  {
    Holder holder;
    Lease lease;
    bool commandPending = false;
    // A release was confirmed that was sent while predecessors could renew the
    // lease. It has to be sent again.
    bool releasedEarly = false;
  };

  // An assigned range with the state of its leases.
  struct RangeState
  {
    AssignedRange assigned;
    // The range is granted once all of these have released it or their leases
    // have expired.
    std::vector<PreviousHolder> previousHolders;
    bool granted = false;
    TimePoint grantedAt;
    std::string handover;
    Lease lease;
    TimePoint lastResponseAt;
    TimePoint nextGrantAt;
    bool commandPending = false;
    int consecutiveFailures = 0;
    // The holder is being replaced and its lease must not be extended.
    bool renewalsStopped = false;
  };

  void ConsiderClaim();
  bool IsAssignerAlive() const;
  bool HasAssignerDigestWithin(Duration aTime) const;
  int RankAmongHosts() const;
  // How long this host waits for other hosts to claim before it does.
  Duration ClaimDelay() const;
  // Whether no keys were assigned yet and more upstreams may appear soon.
  bool IsTooEarlyToAssign(const AssignmentRows& aRows);
  // From this time on, this host makes the first assignment even if new
  // upstreams still appear.
  TimePoint FirstAssignmentDeadline() const;
  // Whether the claimant may be running and has only not announced itself as
  // the assigner to this host yet. Requests a connection to it; true only once
  // for a claimant.
  bool ShouldWaitForClaimant(const state::HostRef& aClaimant);
  void WriteClaim(const AssignmentRows& aRows);
  // aRows names the previous assigner. Another host may have claimed since the
  // claim was requested.
  void BecomeAssigner(const AssignmentRows& aRows, TimePoint aClaimRequestedAt);
  void StepDown(std::string_view aWhy);
  void CheckClaim();
  // Checks the claim now, for grants over connections made since the last time.
  void CheckClaimSoon();
  void CheckOtherAssigners();
  // Whether the claim was confirmed, or enough hosts have used this assigner's
  // map, at or after the given time and not too long ago.
  bool MayRenewLeases(TimePoint aSince) const;
  // Whether this host uses the map of a successor. Its digests say so, and the
  // successor relies on it that no lease is renewed from then on.
  bool HasSuccessor() const;
  // Whether a map is of a later version than the assignment, and not this
  // assigner's.
  bool IsLaterMap(const MapVersion& aVersion) const;
  // Whether a peer has used a map of the present claim at or after the time.
  bool IsFollower(const PeerStatus& aPeer, TimePoint aSince) const;
  bool HasQuorum(const QuorumHosts& aHosts,
                 const std::vector<PeerStatus>& aPeers, TimePoint aSince) const;
  // Whether the assigner has ended or stepped down, or cannot have enough hosts
  // that use its map.
  bool HasStopped(const EarlierAssigner& aEarlier,
                  const std::vector<PeerStatus>& aPeers) const;
  // The quorum hosts of the next write, in place of these.
  QuorumHosts ChooseHosts(const QuorumHosts& aCurrent) const;
  void ReloadAssignment();
  void ResumeRenewals();

  void CollectHolders();
  void ApplyAssignment(const Assignment& aAssignment, state::Version aVersion);
  RangeState MakeRangeState(const AssignedRange& aAssigned,
                            const std::vector<RangeState>& aOld);
  // The state of two ranges of one holder and token that become one: whatever
  // either of them has to wait for.
  static RangeState JoinStates(const RangeState& aLeft,
                               const RangeState& aRight);
  TimePoint LeaseExpiry(const Lease& aLease) const;
  TimePoint LeaseExpiryFromNow() const;

  void AdvanceRanges();
  void ReleasePreviousHolders(std::size_t aRangeIndex);
  // Whether a release of the lease that is sent now is not final.
  bool MayBeRenewedByOthers(const Lease& aLease) const;
  // Where the holder was, or where a later incarnation of it is.
  std::optional<std::string> FindReleaseAddress(const Holder& aPrevious) const;
  void SendRelease(std::size_t aRangeIndex, std::size_t aHolderIndex);
  void SendGrant(std::size_t aRangeIndex);
  void OnGrantReply(Key aFirst, Key aLast, FencingToken aFencingToken,
                    const LeaseCommandReply& aReply);
  // Null if there is no range of exactly these keys. What happened to a command
  // for more or fewer keys says nothing about a range.
  RangeState* FindRange(Key aFirst, Key aLast, FencingToken aFencingToken);

  void PlanChanges();
  // Whether the holder could not be released yet if its keys were reassigned
  // now; see predecessorsMayRenew.
  bool MustWaitToRelease(const RangeState& aRange) const;
  bool PlanReplacements(Assignment& aNext,
                        const std::vector<OwnerCandidate>& aCandidates);
  bool PlanBalance(Assignment& aNext,
                   const std::vector<OwnerCandidate>& aCandidates);
  // Logs and counts a move of these keys, and remembers it for some seconds.
  void RecordMove(Key aFirst, Key aLast, MoveReason aReason);
  void LogPaces(const std::vector<OwnerCandidate>& aCandidates) const;
  bool PlanMerges(Assignment& aNext);
  // Brings the quorum hosts and the earlier assigners up to date. Returns
  // whether that is worth a write of its own.
  bool PlanQuorum(Assignment& aNext);
  void ReassignRange(Assignment& aNext, const RangeState& aRange,
                     const std::vector<Key>& aRequests,
                     std::vector<std::pair<OwnerCandidate, double>>& aLoads);
  // Null if the holder is unknown, may not own keys or is backed off.
  const OwnerCandidate* FindCandidate(
    const std::vector<OwnerCandidate>& aCandidates,
    const Holder& aHolder) const;
  bool IsBackedOff(const state::UpstreamId& aId) const;
  void StartBackoff(const state::UpstreamId& aId);
  // Whether the holder is assigned a range that it has not been granted yet.
  bool HasUngrantedRange(const Holder& aHolder) const;
  // Keys of the requests of the last aWindow.
  std::vector<Key> SortedRequestKeys(Duration aWindow) const;
  void WriteAssignment(const Assignment& aNext);
  void PublishMap();

  const Options options;
  const Hooks hooks;
  const std::chrono::milliseconds leaseDuration;
  Phase phase = Phase::kIdle;
  bool storeAvailable = true;
  bool leaving = false;
  TimePoint startedAt;
  TimePoint claimNotBefore;
  // Number of upstreams at the last check before the first assignment.
  std::size_t candidatesSeen = 0;
  // The last claimant for which Hooks::requestConnection was called.
  state::HostRef lastConnectionRequest;
  // The members from here on are valid while this host is the assigner. The
  // rows are as this host last read or wrote them.
  AssignmentRows rows;
  Assignment assignment;
  // Quorum hosts that may be stored by now, as the outcome of their write was
  // unknown. They count beside those of `assignment`.
  std::vector<QuorumHosts> unconfirmedQuorums;
  std::vector<RangeState> ranges;
  // All current and previous holders in `ranges`.
  std::set<state::UpstreamId> holders;
  std::int64_t revision = 0;
  TimePoint claimConfirmedAt;
  TimePoint claimCheckDue;
  bool claimCheckPending = false;
  bool writePending = false;
  TimePoint planDue;
  TimePoint balanceDue;
  TimePoint mergeDue;
  TimePoint quorumDue;
  TimePoint claimedAt;
  // Whether predecessors may go on. Releases of leases that they may have
  // renewed are not final until then.
  bool predecessorsMayRenew = false;
  // Leases that predecessors renewed have expired by then.
  TimePoint predecessorLeasesExpireAt;
  // Upstreams that did not respond to lease commands. They receive no keys
  // until the time given here. Each further failure doubles the duration, until
  // the upstream responds to a command.
  struct Backoff
  {
    TimePoint until;
    std::chrono::milliseconds duration{ 0 };
  };
  std::map<state::UpstreamId, Backoff> backoffs;
  std::deque<std::pair<TimePoint, Key>> recentRequests;
  struct RecentMove
  {
    TimePoint plannedAt;
    Key first = 0;
    Key last = 0;
  };
  // The moves of the last seconds, the oldest first.
  std::deque<RecentMove> recentMoves;
  std::vector<OwnerCandidate> candidates;
};

} // namespace kumquat::ownership
