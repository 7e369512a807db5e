// Gives a service's keys to its upstreams. Every host has one of these a keyed
// service; at most one of them at a time changes the assignment, and the store
// decides which: each change is a conditional write on the row that names the
// assigner. No I/O; time, store, orders and peers come in by hooks. One thread.
//
// Why two upstreams never own a key together:
// - A change is stored before any order of it is sent, and carries a fencing
//   token above all that the keys had before.
// - The new holder is granted keys only when each former one has confirmed
//   their release, which carries the new token, so that a late order of the
//   old one is refused there; or when its hold has surely run out.
// - A hold surely has run out when its time, on a clock that may run slow, has
//   passed since the last grant was sent, by this assigner or one before it.
//
// Store trouble: an assigner that cannot confirm its claim goes on renewing
// holds as they are, while two thirds of the hosts say that they go by its map.
// That is safe beside a successor that renews the same holds or has had them
// released under a higher token. One that has to wait a hold out counts from
// when the other has surely stopped: its last confirmation has run out, and
// more than half of the hosts have gone by the successor's map for so long that
// what they said before has run out too. Two thirds and a half meet even where
// the two count a few hosts differently.

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
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::ownership {

enum class LeaseCommandKind
{
  kGrant,
  kRelease,
};

struct LeaseCommand
{
  LeaseCommandKind kind = LeaseCommandKind::kGrant;
  state::UpstreamId upstream;
  std::string address;
  Key first = 0;
  Key last = 0;
  FencingToken fencingToken = 0;
  // Of grants.
  std::chrono::milliseconds leaseDuration{ 0 };
  // What the former holder left for this one; may be empty.
  std::string handover;
};

enum class LeaseCommandResult
{
  kDone,
  // A higher token was seen on one of the keys.
  kFenced,
  // Another upstream has the address: the one that was meant has ended.
  kOtherUpstream,
  kRejected,
  // It may have been carried out, or may be later.
  kNoAnswer,
  // It was never sent.
  kUnreachable,
};

std::string_view LeaseCommandResultName(LeaseCommandResult aResult);

struct LeaseCommandReply
{
  LeaseCommandResult result = LeaseCommandResult::kNoAnswer;
  std::string handover;
};

// The two rows of a service's keys.
struct AssignmentRows
{
  // 0 where there is no such row.
  state::Version claimVersion = 0;
  state::HostRef assigner;
  state::Version assignmentVersion = 0;
  std::string assignmentText;
};

struct AssignmentWrite
{
  AssignmentRows expected;
  // Where set, the writer becomes the assigner.
  std::optional<state::HostRef> claim;
  std::string assignmentText;
};

// An upstream as the assigner needs it.
struct OwnerCandidate
{
  Holder holder;
  std::string address;
  // It may own keys: not leaving, not in a data centre that is out.
  bool mayOwn = false;
  bool cold = false;
  // Requests that it can run in a given time, against the others.
  double capacity = 1;
};

// What a host last heard of a peer.
struct PeerStatus
{
  state::HostRef host;
  TimePoint lastHeardAt;
  bool leaving = false;
  // The map that it goes by.
  MapVersion mapVersion;
  // Where that is this host's own: a time at which it surely went by it, on
  // this host's clock; see DigestTimes.
  TimePoint mapConfirmedAt;
};

class Assigner
{
public:
  using ReadDone = std::function<void(Result<AssignmentRows>)>;
  // The version is that of the write, where it was written.
  using WriteDone = std::function<void(state::WriteOutcome, state::Version)>;
  using CommandDone = std::function<void(LeaseCommandReply)>;

  struct Hooks
  {
    // Must count the time that the host was suspended.
    Clock now;
    std::function<void(ReadDone)> read;
    std::function<void(AssignmentWrite, WriteDone)> write;
    std::function<void(const LeaseCommand&, CommandDone)> sendCommand;
    std::function<std::vector<OwnerCandidate>()> candidates;
    // All other hosts that were ever heard.
    std::function<std::vector<PeerStatus>()> peers;
    // The host that should assign first, of any two: the higher one; empty
    // where all are alike.
    std::function<double(const state::HostId&)> preference;
    // A host that was never heard as the assigner has claimed the keys. Where
    // not every host hears every other, asks for a connection to it; may be
    // empty.
    std::function<void(const state::HostRef&)> requestConnection;
    // How much longer than others this host waits before it claims; may be
    // empty.
    std::function<Duration()> claimDelay;
    // The map has changed.
    std::function<void()> publish;
    // What happened, to which keys or upstream, with what figures.
    std::function<void(std::string_view aWhat, std::string_view aDetail)> log;
  };

  struct Options
  {
    state::ServiceName service;
    state::HostRef self;
    // The longest hold that upstreams take.
    std::chrono::milliseconds maxLease{ 10'000 };
  };

  Assigner(Options aOptions, Hooks aHooks);
  Assigner(const Assigner&) = delete;
  Assigner& operator=(const Assigner&) = delete;

  // To be called a few times a second, and oftener by the one that holds.
  void OnTimer();
  // Upstreams or peers have changed.
  void OnMembershipChange();
  // Keys of requests, as hosts report them.
  void RecordRequests(const std::vector<Key>& aKeys);
  // The store's answers are late or missing; renewals go on.
  void SetStoreAvailable(bool aWell);
  // A planned stop: changes nothing more, so that another may take over, and
  // renews what is held until then.
  void Leave();

  bool IsAssigner() const { return this->phase == Phase::kActive; }
  MapVersion CurrentMapVersion() const;
  std::vector<MapRange> CurrentMap() const;

  std::chrono::milliseconds LeaseDuration() const
  {
    return this->leaseDuration;
  }

private:
  enum class Phase
  {
    kIdle,
    // A read or a write that may make this host the assigner is under way.
    kClaiming,
    kActive,
    kStopped,
  };

  // A former holder that may still hold.
  struct PreviousHolder
  {
    Holder holder;
    TimePoint leaseExpiresAt;
    // An assigner before this one may have renewed it too.
    bool maybeRenewedByPredecessor = false;
    bool commandPending = false;
    TimePoint retryAt;
  };

  struct RangeState
  {
    AssignedRange assigned;
    // Still to be released or waited out; then the holder is granted.
    std::vector<PreviousHolder> previousHolders;
    bool granted = false;
    TimePoint grantedAt;
    std::string handover;
    // The holder's own hold; at the epoch where none was given.
    TimePoint leaseExpiresAt;
    bool maybeRenewedByPredecessor = false;
    TimePoint lastAnswerAt;
    TimePoint nextGrantAt;
    bool commandPending = false;
    int consecutiveFailures = 0;
    // Its holder is being replaced; no more renewals.
    bool renewalsStopped = false;
  };

  void ConsiderClaim();
  bool IsAssignerHeard() const;
  bool IsAssignerHeardWithin(Duration aSilence) const;
  int RankAmongHosts() const;
  // How long this host lets others go before it claims.
  Duration ClaimDelay() const;
  // Whether more upstreams may be about to show before any keys are dealt.
  bool IsTooEarlyToAssign(const AssignmentRows& aStored);
  // When this host deals keys for the first time, whatever it knows.
  TimePoint FirstAssignmentDeadline() const;
  // Whether the claim's host may live and has just not been heard as the
  // assigner yet. Said once of each.
  bool ShouldWaitForClaimant(const state::HostRef& aClaimant);
  void WriteClaim(const AssignmentRows& aStored);
  void BecomeAssigner(const AssignmentRows& aStored);
  void StepDown(std::string_view aWhy);
  void CheckClaim();
  void CheckOtherAssigners();
  bool MayRenewLeases() const;
  // Hosts that go by this one's map, itself included, and all that were heard
  // within the last minute.
  std::pair<std::size_t, std::size_t> CountFollowers() const;
  void ReloadAssignment();

  void ApplyAssignment(const Assignment& aAssignment, state::Version aVersion);
  RangeState MakeRangeState(const AssignedRange& aStored,
                            const std::vector<RangeState>& aOld);
  TimePoint LeaseExpiry(TimePoint aOwn, bool aForeign) const;
  TimePoint LeaseExpiryFromNow() const;

  void AdvanceRanges();
  void ReleasePreviousHolders(std::size_t aIndex);
  void SendRelease(std::size_t aIndex, std::size_t aFormer);
  void SendGrant(std::size_t aIndex);
  void OnGrantReply(Key aFirst, FencingToken aFence,
                    const LeaseCommandReply& aReply);
  RangeState* FindRange(Key aFirst, FencingToken aFence);

  void PlanChanges();
  bool PlanReplacements(Assignment& aNext,
                        const std::vector<OwnerCandidate>& aOwners);
  bool PlanBalance(Assignment& aNext,
                   const std::vector<OwnerCandidate>& aOwners);
  bool PlanMerges(Assignment& aNext);
  void ReassignRange(Assignment& aNext, const RangeState& aRange,
                     const std::vector<Key>& aRequests,
                     std::vector<std::pair<OwnerCandidate, double>>& aLoads);
  const OwnerCandidate* FindCandidate(
    const std::vector<OwnerCandidate>& aOwners, const Holder& aHolder) const;
  bool IsBackedOff(const state::UpstreamId& aId) const;
  void StartBackoff(const state::UpstreamId& aId);
  // It has been given keys and has not answered yet.
  bool HasUngrantedRange(const Holder& aHolder) const;
  // Those of the last aWindow.
  std::vector<Key> SortedRequests(Duration aWindow) const;
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
  // Upstreams that were known at the last look before any keys were dealt.
  std::size_t candidatesSeen = 0;
  // The claimant that was asked for last; see Hooks::meet.
  state::HostRef lastConnectionRequest;
  // Of this host's own tenure.
  AssignmentRows rows;
  Assignment assignment;
  std::vector<RangeState> ranges;
  std::int64_t revision = 0;
  TimePoint claimConfirmedAt;
  TimePoint claimCheckDue;
  bool claimCheckPending = false;
  bool writePending = false;
  TimePoint planDue;
  TimePoint balanceDue;
  TimePoint mergeDue;
  TimePoint claimedAt;
  // Assigners before this one may still renew.
  bool predecessorsMayRenew = false;
  // What they renewed has lapsed by then.
  TimePoint predecessorLeasesExpireAt;
  // Upstreams that did not answer orders; until they answer one, each further
  // failure doubles the time in which they get no keys.
  struct Backoff
  {
    TimePoint until;
    std::chrono::milliseconds duration{ 0 };
  };
  std::map<state::UpstreamId, Backoff> backoffs;
  std::deque<std::pair<TimePoint, Key>> recentRequests;
  std::vector<OwnerCandidate> candidates;
};

} // namespace kumquat::ownership
