// One attempt a host: suspect, release, wait, depose.

#include "coordination/deposer.h"

#include "coordination/hostlease.h"
#include "coordination/internal/wire.h"
#include "state/rows.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <iterator>
#include <utility>

namespace kumquat::coordination {

namespace {

// Failed attempts on one host are made ever more seldom, up to that long.
constexpr Duration kLongestPause = std::chrono::seconds(15);
constexpr std::uint64_t kCorrelationMask = 0xFFFFFFFFFFFFULL;
// How often all hosts are looked through for silent ones.
constexpr Duration kScanEvery = std::chrono::milliseconds(100);
constexpr std::uint64_t kJitterSteps = 1024;
// Requests whose answers are still taken; older ones were asked again.
constexpr std::size_t kMostAsked = 64;

} // namespace

Deposer::Deposer(state::HostRef aSelf, const LeaseTiming& aTiming,
                 LeaseRulesOff aOff, const HostDirectory& aDirectory,
                 LeaseGuard& aGuard, DeposerHooks aHooks)
  : self(std::move(aSelf))
  , timing(aTiming)
  , off(std::move(aOff))
  , directory(aDirectory)
  , guard(aGuard)
  , hooks(std::move(aHooks))
  , nextCorrelation(
      static_cast<std::int64_t>(this->hooks.random() & kCorrelationMask))
  , lastTimer(this->hooks.now())
  , awakeSince(this->lastTimer)
  , token(std::make_shared<Deposer*>(this))
{
}

void Deposer::Demand(const state::HostRef& aRef)
{
  this->demanded = aRef;
  this->OnTimer();
}

void Deposer::OnTimer()
{
  const TimePoint now = this->hooks.now();
  this->NoticeOwnSleep(now);
  if (this->nextScan <= now) {
    this->nextScan = now + kScanEvery;
    this->Scan(now);
  }
  std::vector<state::HostId> hosts;
  std::ranges::transform(this->attempts, std::back_inserter(hosts),
                         [](const auto& aEntry) { return aEntry.first; });
  for (const state::HostId& host : hosts) {
    const auto found = this->attempts.find(host);
    if (found != this->attempts.end()) {
      this->Drive(found->second);
    }
  }
}

void Deposer::Scan(TimePoint aNow)
{
  for (const auto& [host, known] : this->directory.All()) {
    const bool isDemanded =
      host == this->self.host && this->demanded == known.record.ref;
    const bool isOwn = host == this->self.host;
    // Of thousands of hosts only a few are guarded here or in trouble.
    const bool isSilent = isDemanded || (!isOwn && this->SilentSince(known));
    if (!isSilent || this->attempts.contains(host) ||
        this->directory.IsDeposed(known.record.ref)) {
      continue;
    }
    const Watch& watch = this->WatchOf(host);
    const auto due =
      isDemanded ? watch.notBefore : this->SuspectAt(known, watch);
    if (due && *due <= aNow) {
      this->Begin(known, isDemanded);
    }
  }
}

void Deposer::NoticeOwnSleep(TimePoint aNow)
{
  // Failure: a process that was paused for seconds finds every heartbeat
  // missing at once and would suspect all the hosts that it guards. It begins
  // to listen anew instead.
  const bool slept = aNow - this->lastTimer > this->timing.ownSleep;
  this->lastTimer = aNow;
  if (slept && !this->off.contains(LeaseRule::kIgnoreOwnSleep)) {
    this->awakeSince = aNow;
  }
}

Deposer::Watch& Deposer::WatchOf(const state::HostId& aHost)
{
  const auto [place, isNew] = this->watches.try_emplace(aHost);
  if (isNew) {
    place->second = { .jitter = this->Jitter(),
                      .pause = this->timing.attemptPause,
                      .notBefore = TimePoint{} };
  }
  return place->second;
}

Duration Deposer::Jitter()
{
  const auto step =
    static_cast<std::int64_t>(this->hooks.random() % kJitterSteps);
  return this->timing.suspectJitter * step /
         static_cast<std::int64_t>(kJitterSteps);
}

std::optional<TimePoint> Deposer::SuspectAt(const KnownHost& aKnown,
                                            const Watch& aWatch) const
{
  const auto since = this->SilentSince(aKnown);
  if (!since) {
    return std::nullopt;
  }
  TimePoint due = std::max(*since, this->awakeSince) +
                  this->timing.suspectAfter + aWatch.jitter;
  if (!this->IsGuardOf(aKnown.record) || !this->hooks.holdsLease()) {
    due += this->timing.outsiderPause;
  }
  // Another host is at it: it is left the time that an attempt takes.
  if (aKnown.record.state == state::HostState::kSuspected) {
    due =
      std::max(due, aKnown.changed + this->timing.attemptPause + aWatch.jitter);
  }
  return std::max(due, aWatch.notBefore);
}

std::optional<TimePoint> Deposer::SilentSince(const KnownHost& aKnown) const
{
  if (this->IsGuardOf(aKnown.record)) {
    // A guard that was named just now gives the holder time for its first
    // heartbeat.
    const auto heard = this->guard.Heard(aKnown.record.ref);
    return std::max(aKnown.seen, heard.value_or(aKnown.changed));
  }
  if (aKnown.unlisted &&
      (aKnown.wasListed ||
       *aKnown.unlisted + this->timing.listLag <= this->hooks.now())) {
    return aKnown.unlisted;
  }
  return aKnown.down;
}

bool Deposer::IsGuardOf(const state::HostRecord& aRecord) const
{
  return std::ranges::find(aRecord.guards, this->self) != aRecord.guards.end();
}

bool Deposer::HeardSince(const state::HostRef& aRef, TimePoint aSince) const
{
  const auto heard = this->guard.Heard(aRef);
  return heard && *heard > aSince;
}

bool Deposer::Busy(const state::HostId& aHost) const
{
  return this->attempts.contains(aHost);
}

void Deposer::Begin(const KnownHost& aKnown, bool aDemanded)
{
  const TimePoint now = this->hooks.now();
  Attempt& attempt = this->attempts[aKnown.record.ref.host];
  attempt.target = aKnown.record.ref;
  attempt.demanded = aDemanded;
  attempt.record = aKnown.record;
  attempt.begun = now;
  attempt.nextWrite = now;
  attempt.nextAsk = now;
  // Failure: the store is down and a healthy holder is suspected wrongly.
  // Releases would take its lease for good, and nobody could put a successor
  // in its place. So the store has to take the suspicion first, in each
  // attempt anew.
  if (this->off.contains(LeaseRule::kSuspectFirst)) {
    attempt.step = Step::kReleasing;
  }
}

void Deposer::Drive(Attempt& aAttempt)
{
  const bool heardAgain =
    !aAttempt.demanded && this->HeardSince(aAttempt.target, aAttempt.begun);
  const bool canEnd = aAttempt.step != Step::kDeposing && !aAttempt.writing;
  if (heardAgain && canEnd && !this->ReadyAt(aAttempt)) {
    this->GiveUp(aAttempt.target.host);
    return;
  }
  if (aAttempt.step == Step::kReleasing) {
    this->DriveReleasing(aAttempt);
  } else if (!aAttempt.writing && aAttempt.nextWrite <= this->hooks.now()) {
    this->Write(aAttempt);
  }
}

void Deposer::DriveReleasing(Attempt& aAttempt)
{
  const TimePoint now = this->hooks.now();
  const auto ready = this->ReadyAt(aAttempt);
  if (ready && *ready <= now) {
    aAttempt.step = Step::kDeposing;
    aAttempt.nonce.clear();
    this->Write(aAttempt);
    return;
  }
  if (aAttempt.nextAsk <= now) {
    aAttempt.nextAsk = now + this->timing.heartbeat;
    this->AskGuards(aAttempt);
  }
}

void Deposer::AskGuards(Attempt& aAttempt)
{
  const std::vector<state::HostRef> guards = aAttempt.record.guards;
  for (const state::HostRef& named : guards) {
    if (!aAttempt.released.contains(named)) {
      this->AskGuard(aAttempt, named);
    }
  }
}

void Deposer::AskGuard(Attempt& aAttempt, const state::HostRef& aGuard)
{
  const protocol::ReleaseRequest request =
    MakeReleaseRequest(aAttempt.target, aGuard.incarnation);
  if (aGuard.host == this->self.host) {
    this->TakeRelease(aAttempt, aGuard,
                      this->guard.OnRelease(request, this->hooks.now()));
    return;
  }
  const std::int64_t correlation = this->nextCorrelation++;
  protocol::Frame frame = MakeRequest(correlation);
  frame.__set_releaseRequest(request);
  aAttempt.asked[correlation] = aGuard;
  if (!this->hooks.send(aGuard.host, std::move(frame))) {
    aAttempt.asked.erase(correlation);
  }
  if (aAttempt.asked.size() > kMostAsked) {
    aAttempt.asked.erase(aAttempt.asked.begin());
  }
}

void Deposer::OnReleaseReply(const state::HostRef& aFrom,
                             std::int64_t aCorrelation,
                             const protocol::ReleaseReply& aReply)
{
  for (auto& [host, attempt] : this->attempts) {
    const auto asked = attempt.asked.find(aCorrelation);
    if (asked == attempt.asked.end() || asked->second.host != aFrom.host) {
      continue;
    }
    const state::HostRef named = asked->second;
    attempt.asked.erase(asked);
    this->TakeRelease(attempt, named, aReply);
    return;
  }
}

void Deposer::TakeRelease(Attempt& aAttempt, const state::HostRef& aGuard,
                          const protocol::ReleaseReply& aReply)
{
  if (aReply.released) {
    // Counted from the receipt, which is later than the guard's own count.
    aAttempt.released.try_emplace(
      aGuard, this->hooks.now() +
                std::chrono::microseconds(aReply.remainingMicros) +
                this->timing.drift);
  }
}

std::optional<TimePoint> Deposer::ReadyAt(const Attempt& aAttempt) const
{
  const std::vector<state::HostRef>& guards = aAttempt.record.guards;
  std::vector<TimePoint> ends;
  for (const state::HostRef& named : guards) {
    const auto released = aAttempt.released.find(named);
    if (released != aAttempt.released.end()) {
      ends.push_back(released->second);
    } else if (const auto gone = this->directory.GoneBy(named)) {
      ends.push_back(*gone);
    }
  }
  std::ranges::sort(ends);
  // Every majority that confirms has a guard in the majority that released,
  // and ends with it.
  const std::size_t needed = this->off.contains(LeaseRule::kMajorityReleases)
                               ? 1
                               : Majority(guards.size());
  std::optional<TimePoint> ready = this->directory.GoneBy(aAttempt.target);
  if (ends.size() >= needed) {
    const TimePoint released = this->off.contains(LeaseRule::kWaitOutReleases)
                                 ? this->hooks.now()
                                 : ends[needed - 1];
    ready = std::min(ready.value_or(released), released);
  }
  return ready;
}

void Deposer::Write(Attempt& aAttempt)
{
  state::HostRecord record = aAttempt.record;
  record.state = aAttempt.step == Step::kDeposing
                   ? state::HostState::kDeposed
                   : state::HostState::kSuspected;
  state::Row row = state::ToRow(record);
  // The same nonce for a repetition: one of the two took effect, or none.
  if (aAttempt.nonce.empty()) {
    aAttempt.nonce =
      this->self.host.value + "/" + std::to_string(this->hooks.random());
  }
  row.nonce = aAttempt.nonce;
  aAttempt.writing = true;
  const state::HostId host = aAttempt.target.host;
  const state::ConditionalWrite write{ .row = row, .expected = record.version };
  this->hooks.table.write({ write }, [weak = std::weak_ptr(this->token), host,
                                      row](state::WriteOutcome aOutcome) {
    if (const auto alive = weak.lock()) {
      (*alive)->OnWritten(host, row, aOutcome);
    }
  });
}

void Deposer::OnWritten(const state::HostId& aHost, const state::Row& aRow,
                        state::WriteOutcome aOutcome)
{
  if (aOutcome != state::WriteOutcome::kWritten) {
    this->ReadBack(aHost);
    return;
  }
  this->hooks.onRead({ aRow });
  this->hooks.onWritten(aRow);
  this->OnReadBack(aHost);
}

void Deposer::ReadBack(const state::HostId& aHost)
{
  this->hooks.table.query(std::string(state::kHostPartition),
                          [weak = std::weak_ptr(this->token), aHost](
                            const Result<std::vector<state::Row>>& aRows) {
                            const auto alive = weak.lock();
                            if (!alive) {
                              return;
                            }
                            if (aRows) {
                              (*alive)->hooks.onRead(*aRows);
                            }
                            (*alive)->OnReadBack(aHost);
                          });
}

void Deposer::OnReadBack(const state::HostId& aHost)
{
  const auto found = this->attempts.find(aHost);
  if (found == this->attempts.end()) {
    return;
  }
  Attempt& attempt = found->second;
  attempt.writing = false;
  attempt.nextWrite = this->hooks.now() + this->timing.tableRetry;
  const KnownHost* const known = this->directory.Find(aHost);
  if (known->record.version == attempt.record.version) {
    // Not written, or not yet: with the store down nobody gets any further.
    return;
  }
  if (known->nonce == attempt.nonce) {
    attempt.record = known->record;
    this->Advance(attempt);
    return;
  }
  this->OnRowChanged(known->record);
}

void Deposer::Advance(Attempt& aAttempt)
{
  if (aAttempt.step == Step::kDeposing) {
    const state::HostId host = aAttempt.target.host;
    this->attempts.erase(host);
    this->watches.erase(host);
    return;
  }
  aAttempt.step = Step::kReleasing;
  this->Drive(aAttempt);
}

void Deposer::OnRowChanged(const state::HostRecord& aRecord)
{
  const auto found = this->attempts.find(aRecord.ref.host);
  if (found == this->attempts.end()) {
    return;
  }
  Attempt& attempt = found->second;
  if (attempt.writing || attempt.record.version >= aRecord.version) {
    return;
  }
  // Failure: the holder has meanwhile changed its guards. The releases come
  // from guards that no longer count, so nothing may be written on them.
  if (this->off.contains(LeaseRule::kDeposeOnVersion) &&
      aRecord.state != state::HostState::kDeposed) {
    attempt.record.version = aRecord.version;
    return;
  }
  this->GiveUp(aRecord.ref.host);
}

void Deposer::GiveUp(const state::HostId& aHost)
{
  const auto found = this->attempts.find(aHost);
  const bool wasDemanded = found->second.demanded;
  const TimePoint begun = found->second.begun;
  this->attempts.erase(found);
  Watch& watch = this->WatchOf(aHost);
  watch.jitter = this->Jitter();
  if (wasDemanded) {
    watch.notBefore = this->hooks.now() + this->timing.suspectAfter;
    return;
  }
  // An attempt that ended long ago says nothing of the next one.
  if (begun - watch.notBefore > kLongestPause) {
    watch.pause = this->timing.attemptPause;
  }
  watch.notBefore = this->hooks.now() + watch.pause + watch.jitter;
  watch.pause = std::min(watch.pause * 2, kLongestPause);
}

} // namespace kumquat::coordination
