// Joins the parts of the lease: own row, heartbeats, guarding, deposing.

#include "coordination/membership.h"

#include "coordination/deposer.h"
#include "coordination/hostdirectory.h"
#include "coordination/hostlease.h"
#include "coordination/internal/guardset.h"
#include "coordination/internal/hostlife.h"
#include "coordination/internal/wire.h"
#include "coordination/leaseguard.h"
#include "state/rows.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace kumquat::coordination {

namespace {

constexpr std::uint64_t kCorrelationMask = 0xFFFFFFFFFFFFULL;

} // namespace

class Membership::Impl
{
public:
  Impl(state::HostRecord aSelf, MembershipHooks aHooks,
       const LeaseTiming& aTiming, const LeaseRulesOff& aOff);

  void Start();
  void Stop();
  void Finish();
  bool OnFrame(const state::HostRef& aFrom, const protocol::Frame& aFrame);
  void OnPeer(const state::HostRef& aPeer, bool aUp);
  void OnTimer();
  void OnRows(const std::vector<state::Row>& aRows);
  void OnHostList(const std::vector<ListedHost>& aHosts);
  bool MayStart(TimePoint aNow) const;

  HostLife life;
  state::HostRecord own;
  HostDirectory directory;
  Channel<> leaseGained;
  Channel<> leaseLost;
  Channel<state::HostRef> hostDeposed;
  Channel<state::HostRecord> hostChanged;
  Channel<state::Row> rowWritten;

private:
  // A write of the own row whose fate is not known yet.
  struct PendingWrite
  {
    state::Row row;
    state::Version expected = 0;
    bool underWay = false;
    TimePoint retryAt;
  };

  DeposerHooks MakeDeposerHooks();
  void OnRowChanged(const state::HostRecord& aRecord);
  void Adopt(const state::HostRecord& aRecord);
  void Heartbeat(TimePoint aNow);
  void AskGuard(const state::HostRef& aGuard, TimePoint aNow);
  void OnConfirmReply(const state::HostRef& aFrom,
                      const protocol::Frame& aFrame);
  void OnConfirmRequest(const state::HostRef& aFrom,
                        const protocol::Frame& aFrame);
  void OnReleaseRequest(const state::HostRef& aFrom,
                        const protocol::Frame& aFrame);
  void CheckLease(TimePoint aNow);
  void CheckResignation(TimePoint aNow);
  void Reconcile();
  void Register();
  void UpdateRow();
  bool IsSuspicionRefuted() const;
  void ChooseGuards(state::HostRecord& aWanted);
  void WriteOwn(state::HostRecord aRecord, state::Version aExpected);
  void SendPending();
  void OnWritten(const state::Row& aRow, state::WriteOutcome aOutcome);
  void Read();
  void OnRead(const Result<std::vector<state::Row>>& aRows);
  void Resolve();

  MembershipHooks hooks;
  LeaseTiming timing;
  LeaseRulesOff off;
  HostLease lease;
  LeaseGuard guard;
  GuardSet guardSet;
  Deposer deposer;
  std::optional<PendingWrite> pending;
  bool stopWanted = false;
  // Nothing is started from then on, whatever the lease says.
  bool finished = false;
  // A whole read of the hosts' rows has come in.
  bool wasRead = false;
  bool reading = false;
  bool heldBefore = false;
  // Since when this run is without a lease; begins with its registration.
  TimePoint leaselessSince;
  TimePoint nextRead;
  TimePoint nextHeartbeat;
  TimePoint nextGuardChange;
  TimePoint lastTimer;
  std::int64_t nextCorrelation;
  // Answers that come after this object's end find it gone.
  std::shared_ptr<Impl*> token;
};

Membership::Impl::Impl(state::HostRecord aSelf, MembershipHooks aHooks,
                       const LeaseTiming& aTiming, const LeaseRulesOff& aOff)
  : own(std::move(aSelf))
  , directory(
      aTiming,
      [this](const state::HostRecord& aRecord) { this->OnRowChanged(aRecord); },
      [this](const state::HostRef& aRef) { this->hostDeposed.Send(aRef); })
  , hooks(std::move(aHooks))
  , timing(aTiming)
  , off(aOff)
  , lease(aTiming, aOff)
  , guard(this->own.ref, aTiming, aOff)
  , guardSet(this->own.ref, this->own.dataCentre, aTiming)
  , deposer(this->own.ref, aTiming, aOff, this->directory, this->guard,
            this->MakeDeposerHooks())
  , nextCorrelation(
      static_cast<std::int64_t>(this->hooks.random() & kCorrelationMask))
  , token(std::make_shared<Impl*>(this))
{
}

DeposerHooks Membership::Impl::MakeDeposerHooks()
{
  return {
    .now = this->hooks.now,
    .random = this->hooks.random,
    .table = this->hooks.table,
    .send = this->hooks.send,
    .holdsLease = [this] { return this->lease.Holds(this->hooks.now()); },
    .onRead =
      [this](const std::vector<state::Row>& aRows) { this->OnRows(aRows); },
    .onWritten =
      [this](const state::Row& aRow) { this->rowWritten.Send(aRow); },
  };
}

void Membership::Impl::Start()
{
  const TimePoint now = this->hooks.now();
  this->lastTimer = now;
  this->nextRead = now;
  this->nextHeartbeat = now;
  this->nextGuardChange = now;
  this->directory.OnRun(this->own.ref, now);
  this->life.Process(LifeEvent::kStarted);
  this->Reconcile();
}

void Membership::Impl::Stop()
{
  this->stopWanted = true;
  this->life.Process(LifeEvent::kStopped);
  protocol::Leaving leaving;
  leaving.__set_sender(ToWire(this->own.ref));
  protocol::Frame frame;
  frame.__set_leaving(leaving);
  // Said at once and to all: the row's write may have to wait for the table.
  for (const auto& [host, known] : this->directory.All()) {
    if (host != this->own.ref.host &&
        !this->directory.IsDeposed(known.record.ref)) {
      static_cast<void>(this->hooks.send(host, frame));
    }
  }
  this->Reconcile();
}

void Membership::Impl::Finish()
{
  this->finished = true;
  this->life.Process(LifeEvent::kEnded);
  this->CheckLease(this->hooks.now());
  this->Reconcile();
}

bool Membership::Impl::OnFrame(const state::HostRef& aFrom,
                               const protocol::Frame& aFrame)
{
  this->directory.OnRun(aFrom, this->hooks.now());
  if (aFrame.__isset.confirmRequest) {
    this->OnConfirmRequest(aFrom, aFrame);
  } else if (aFrame.__isset.confirmReply) {
    this->OnConfirmReply(aFrom, aFrame);
  } else if (aFrame.__isset.releaseRequest) {
    this->OnReleaseRequest(aFrom, aFrame);
  } else if (aFrame.__isset.releaseReply) {
    this->deposer.OnReleaseReply(aFrom, aFrame.correlation,
                                 aFrame.releaseReply);
  } else if (aFrame.__isset.leaving) {
    this->directory.OnLeaving(FromWire(aFrame.leaving.sender));
  } else {
    return false;
  }
  return true;
}

void Membership::Impl::OnPeer(const state::HostRef& aPeer, bool aUp)
{
  this->directory.OnPeer(aPeer, aUp, this->hooks.now());
}

void Membership::Impl::OnTimer()
{
  const TimePoint now = this->hooks.now();
  if (now - this->lastTimer > this->timing.ownSleep) {
    this->guardSet.OnOwnSleep();
  }
  this->lastTimer = now;
  this->CheckLease(now);
  this->CheckResignation(now);
  this->Heartbeat(now);
  this->Reconcile();
  if (this->life.Phase() != HostPhase::kOver) {
    this->deposer.OnTimer();
  }
}

void Membership::Impl::OnRows(const std::vector<state::Row>& aRows)
{
  const TimePoint now = this->hooks.now();
  std::ranges::for_each(aRows, [this, now](const state::Row& aRow) {
    this->directory.Put(aRow, now);
  });
}

void Membership::Impl::OnHostList(const std::vector<ListedHost>& aHosts)
{
  this->directory.OnHostList(aHosts, this->hooks.now());
}

bool Membership::Impl::MayStart(TimePoint aNow) const
{
  // Failure: the process was paused and its lease has run out, but no timer
  // has told it yet. So the time itself is looked at, before every send.
  const HostPhase phase = this->life.Phase();
  const bool mayHold =
    phase == HostPhase::kHolding || phase == HostPhase::kLeaving;
  return mayHold && !this->finished && this->lease.Holds(aNow);
}

void Membership::Impl::OnRowChanged(const state::HostRecord& aRecord)
{
  if (aRecord.ref.host == this->own.ref.host) {
    if (aRecord.ref.incarnation > this->own.ref.incarnation) {
      this->life.Process(LifeEvent::kEnded);
    } else if (aRecord.ref == this->own.ref && this->own.version != 0) {
      this->Adopt(aRecord);
    }
  }
  this->deposer.OnRowChanged(aRecord);
  this->hostChanged.Send(aRecord);
}

void Membership::Impl::Adopt(const state::HostRecord& aRecord)
{
  const TimePoint now = this->hooks.now();
  if (aRecord.guards != this->own.guards) {
    this->nextGuardChange = now + this->timing.replaceGuardAfter;
  }
  this->own = aRecord;
  // The row has a later version than any write under way expected: no such
  // write can take effect any more, and the row says which guards count.
  if (this->pending && this->pending->expected < aRecord.version) {
    this->pending.reset();
  }
  this->lease.SetChanging(false);
  this->lease.SetCandidates({});
  this->lease.SetGuards(aRecord.guards);
  this->nextHeartbeat = now;
  if (aRecord.state == state::HostState::kDeposed) {
    this->life.Process(LifeEvent::kEnded);
  }
  this->CheckLease(now);
}

void Membership::Impl::Heartbeat(TimePoint aNow)
{
  const HostPhase phase = this->life.Phase();
  const bool registered = this->own.version != 0 && phase != HostPhase::kOver;
  if (!registered || aNow < this->nextHeartbeat) {
    return;
  }
  this->nextHeartbeat = aNow + this->timing.heartbeat;
  for (const state::HostRef& asked : this->lease.Asked()) {
    this->AskGuard(asked, aNow);
  }
  this->CheckLease(aNow);
}

void Membership::Impl::AskGuard(const state::HostRef& aGuard, TimePoint aNow)
{
  const protocol::ConfirmRequest request =
    MakeConfirmRequest(this->own.ref, aGuard.incarnation);
  const std::int64_t correlation = this->nextCorrelation++;
  this->lease.OnSent(correlation, aGuard, aNow);
  if (aGuard.host == this->own.ref.host) {
    const bool confirmed = this->guard.OnConfirm(request, aNow).confirmed;
    this->lease.OnReply(correlation, aGuard.host, confirmed, aNow);
    return;
  }
  protocol::Frame frame = MakeRequest(correlation);
  frame.__set_confirmRequest(request);
  static_cast<void>(this->hooks.send(aGuard.host, std::move(frame)));
}

void Membership::Impl::OnConfirmReply(const state::HostRef& aFrom,
                                      const protocol::Frame& aFrame)
{
  const TimePoint now = this->hooks.now();
  this->lease.OnReply(aFrame.correlation, aFrom.host,
                      aFrame.confirmReply.confirmed, now);
  this->CheckLease(now);
}

void Membership::Impl::OnConfirmRequest(const state::HostRef& aFrom,
                                        const protocol::Frame& aFrame)
{
  if (FromWire(aFrame.confirmRequest.holder) != aFrom) {
    return;
  }
  protocol::Frame reply = MakeReply(aFrame.correlation);
  reply.__set_confirmReply(
    this->guard.OnConfirm(aFrame.confirmRequest, this->hooks.now()));
  static_cast<void>(this->hooks.send(aFrom.host, std::move(reply)));
}

void Membership::Impl::OnReleaseRequest(const state::HostRef& aFrom,
                                        const protocol::Frame& aFrame)
{
  protocol::Frame reply = MakeReply(aFrame.correlation);
  reply.__set_releaseReply(
    this->guard.OnRelease(aFrame.releaseRequest, this->hooks.now()));
  static_cast<void>(this->hooks.send(aFrom.host, std::move(reply)));
}

void Membership::Impl::CheckLease(TimePoint aNow)
{
  const bool holds = this->lease.Holds(aNow);
  this->life.Process(holds ? LifeEvent::kConfirmed : LifeEvent::kLapsed);
  const bool held = this->MayStart(aNow);
  if (held == this->heldBefore) {
    return;
  }
  this->heldBefore = held;
  this->leaselessSince = aNow;
  (held ? this->leaseGained : this->leaseLost).Send();
}

void Membership::Impl::CheckResignation(TimePoint aNow)
{
  if (this->life.Phase() != HostPhase::kWaiting ||
      aNow < this->leaselessSince + this->timing.resignAfter) {
    return;
  }
  // Failure: attempts to depose this host were begun and not finished. Its
  // guards have released it for good, too few others are left to name, and as
  // all hear it again nobody suspects it: its upstreams would stay without a
  // steward. It starts nothing anyway, so it may depose itself.
  const std::vector<state::HostRef>& guards = this->lease.Guards();
  const auto refusing =
    std::ranges::count_if(guards, [this](const state::HostRef& aGuard) {
      return this->lease.Refused(aGuard);
    });
  if (static_cast<std::size_t>(refusing) >= Majority(guards.size())) {
    this->finished = true;
    this->life.Process(LifeEvent::kEnded);
  }
}

void Membership::Impl::Reconcile()
{
  if (this->pending) {
    if (!this->pending->underWay &&
        this->pending->retryAt <= this->hooks.now()) {
      this->SendPending();
    }
    return;
  }
  switch (this->life.Phase()) {
    case HostPhase::kRegistering:
    case HostPhase::kReplacing:
      this->Register();
      break;
    case HostPhase::kWaiting:
    case HostPhase::kHolding:
    case HostPhase::kLeaving:
      this->UpdateRow();
      break;
    case HostPhase::kOver:
      if (this->finished && this->own.version != 0) {
        this->UpdateRow();
      }
      break;
    case HostPhase::kIdle:
      break;
  }
}

void Membership::Impl::Register()
{
  if (!this->wasRead) {
    this->Read();
    return;
  }
  const KnownHost* const known = this->directory.Find(this->own.ref.host);
  const bool olderRun = known != nullptr && known->record.ref.incarnation <
                                              this->own.ref.incarnation;
  if (known != nullptr && !olderRun) {
    // The row of this very run, but not by this process: two were started.
    this->life.Process(LifeEvent::kEnded);
    return;
  }
  // Failure: an operator restarts a host whose earlier process is only frozen
  // or cut off. Its row stays until its guards have released it, so that the
  // two runs never act side by side.
  if (olderRun && !this->directory.IsDeposed(known->record.ref) &&
      !this->off.contains(LeaseRule::kReplaceOnlyDeposed)) {
    this->life.Process(LifeEvent::kOldRunFound);
    this->deposer.Demand(known->record.ref);
    return;
  }
  this->life.Process(LifeEvent::kOldRunOver);
  state::HostRecord record = this->own;
  record.state = state::HostState::kLive;
  // Failure: a host that is cut off from the others but not from the table
  // registers again whenever it is deposed. Counted as serving, it would be
  // named steward or planner, and what falls to it waits for its next deposing.
  record.joining = true;
  const TimePoint now = this->hooks.now();
  record.guards = this->guardSet.Wanted(this->directory, this->lease, now)
                    .value_or(std::vector{ this->own.ref });
  this->WriteOwn(std::move(record),
                 known == nullptr ? 0 : known->record.version);
}

void Membership::Impl::UpdateRow()
{
  state::HostRecord wanted = this->own;
  const bool over = this->own.state == state::HostState::kDeposed;
  if (over) {
    return;
  }
  if (this->finished) {
    wanted.state = state::HostState::kDeposed;
  } else if (this->stopWanted && this->own.state == state::HostState::kLive) {
    wanted.state = state::HostState::kLeaving;
  } else if (this->IsSuspicionRefuted()) {
    wanted.state =
      this->stopWanted ? state::HostState::kLeaving : state::HostState::kLive;
  }
  if (this->life.Phase() == HostPhase::kHolding) {
    wanted.joining = false;
  }
  if (!this->finished) {
    this->ChooseGuards(wanted);
  }
  const bool changes = wanted.state != this->own.state ||
                       wanted.joining != this->own.joining ||
                       wanted.guards != this->own.guards;
  if (changes) {
    this->WriteOwn(std::move(wanted), this->own.version);
  }
}

bool Membership::Impl::IsSuspicionRefuted() const
{
  if (this->own.state != state::HostState::kSuspected) {
    return false;
  }
  // Failure: a host that is cut off from its guards but not from the table
  // would take the suspicion back while its last term runs, and put off its
  // own deposing. Only what the guards confirm after the suspicion refutes it.
  const KnownHost* const known = this->directory.Find(this->own.ref.host);
  return known->changed + this->timing.term - this->timing.drift <
         this->lease.End();
}

void Membership::Impl::ChooseGuards(state::HostRecord& aWanted)
{
  const TimePoint now = this->hooks.now();
  if (now < this->nextGuardChange) {
    return;
  }
  const auto guards = this->guardSet.Wanted(this->directory, this->lease, now);
  this->lease.SetCandidates(guards.value_or(std::vector<state::HostRef>{}));
  if (guards && this->guardSet.IsReady(*guards, this->lease, now)) {
    aWanted.guards = *guards;
  }
}

void Membership::Impl::WriteOwn(state::HostRecord aRecord,
                                state::Version aExpected)
{
  aRecord.version = aExpected;
  state::Row row = state::ToRow(aRecord);
  row.nonce =
    this->own.ref.host.value + "/" + std::to_string(this->hooks.random());
  if (this->own.version != 0 && aRecord.guards != this->own.guards) {
    this->lease.SetChanging(true);
  }
  this->pending = PendingWrite{ .row = std::move(row), .expected = aExpected };
  this->SendPending();
}

void Membership::Impl::SendPending()
{
  this->pending->underWay = true;
  const state::Row row = this->pending->row;
  const state::ConditionalWrite write{ .row = row,
                                       .expected = this->pending->expected };
  this->hooks.table.write({ write }, [weak = std::weak_ptr(this->token),
                                      row](state::WriteOutcome aOutcome) {
    if (const auto alive = weak.lock()) {
      (*alive)->OnWritten(row, aOutcome);
    }
  });
}

void Membership::Impl::OnWritten(const state::Row& aRow,
                                 state::WriteOutcome aOutcome)
{
  if (aOutcome != state::WriteOutcome::kWritten) {
    this->Resolve();
    this->Read();
    return;
  }
  this->directory.Put(aRow, this->hooks.now());
  this->Resolve();
  this->rowWritten.Send(aRow);
}

void Membership::Impl::Read()
{
  if (this->reading || this->hooks.now() < this->nextRead) {
    return;
  }
  this->reading = true;
  this->hooks.table.query(std::string(state::kHostPartition),
                          [weak = std::weak_ptr(this->token)](
                            const Result<std::vector<state::Row>>& aRows) {
                            if (const auto alive = weak.lock()) {
                              (*alive)->OnRead(aRows);
                            }
                          });
}

void Membership::Impl::OnRead(const Result<std::vector<state::Row>>& aRows)
{
  this->reading = false;
  this->nextRead = this->hooks.now() + this->timing.tableRetry;
  if (aRows) {
    this->wasRead = true;
    this->OnRows(*aRows);
  }
  this->Resolve();
  if (!this->pending) {
    this->Reconcile();
  }
}

void Membership::Impl::Resolve()
{
  if (!this->pending) {
    return;
  }
  const KnownHost* const known = this->directory.Find(this->own.ref.host);
  const state::Version version = known == nullptr ? 0 : known->record.version;
  if (version <= this->pending->expected) {
    // Not written, or not yet: a write whose answer was lost may still take
    // effect, until the row has a later version. So it is repeated, and until
    // then both sets of guards are needed.
    this->pending->underWay = false;
    this->pending->retryAt = this->hooks.now() + this->timing.tableRetry;
    return;
  }
  const bool isOurs = known->record.ref == this->own.ref &&
                      known->nonce == this->pending->row.nonce;
  this->pending.reset();
  if (isOurs && this->own.version == 0) {
    this->life.Process(LifeEvent::kRegistered);
    this->leaselessSince = this->hooks.now();
    this->Adopt(known->record);
  }
}

Membership::Membership(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

Membership::~Membership() = default;

void Membership::Start()
{
  this->impl->Start();
}

void Membership::Stop()
{
  this->impl->Stop();
}

void Membership::Finish()
{
  this->impl->Finish();
}

bool Membership::OnFrame(const state::HostRef& aFrom,
                         const protocol::Frame& aFrame)
{
  return this->impl->OnFrame(aFrom, aFrame);
}

void Membership::OnPeer(const state::HostRef& aPeer, bool aUp)
{
  this->impl->OnPeer(aPeer, aUp);
}

void Membership::OnTimer()
{
  this->impl->OnTimer();
}

void Membership::OnRows(const std::vector<state::Row>& aRows)
{
  this->impl->OnRows(aRows);
}

void Membership::OnHostList(const std::vector<ListedHost>& aHosts)
{
  this->impl->OnHostList(aHosts);
}

bool Membership::MayStart(TimePoint aNow) const
{
  return this->impl->MayStart(aNow);
}

HostPhase Membership::Phase() const
{
  return this->impl->life.Phase();
}

const state::HostRef& Membership::Self() const
{
  return this->impl->own.ref;
}

const state::HostRecord& Membership::Record() const
{
  return this->impl->own;
}

std::vector<state::HostRecord> Membership::LiveHosts() const
{
  std::vector<state::HostRecord> live;
  for (const auto& [host, known] : this->impl->directory.All()) {
    const state::HostState state = known.record.state;
    const bool stays =
      state == state::HostState::kLive || state == state::HostState::kSuspected;
    if (stays && !known.leaving) {
      live.push_back(known.record);
    }
  }
  return live;
}

std::vector<state::HostRecord> Membership::ServingHosts() const
{
  std::vector<state::HostRecord> serving = this->LiveHosts();
  std::erase_if(serving,
                [](const state::HostRecord& aHost) { return aHost.joining; });
  return serving;
}

const state::HostRecord* Membership::FindHost(const state::HostId& aHost) const
{
  const KnownHost* const known = this->impl->directory.Find(aHost);
  return known == nullptr ? nullptr : &known->record;
}

bool Membership::IsDeposed(const state::HostRef& aRef) const
{
  return this->impl->directory.IsDeposed(aRef);
}

Channel<>& Membership::LeaseGained()
{
  return this->impl->leaseGained;
}

Channel<>& Membership::LeaseLost()
{
  return this->impl->leaseLost;
}

Channel<state::HostRef>& Membership::HostDeposed()
{
  return this->impl->hostDeposed;
}

Channel<state::HostRecord>& Membership::HostChanged()
{
  return this->impl->hostChanged;
}

Channel<state::Row>& Membership::RowWritten()
{
  return this->impl->rowWritten;
}

MembershipBuilder& MembershipBuilder::Self(state::HostRef aSelf)
{
  this->self.ref = std::move(aSelf);
  return *this;
}

MembershipBuilder& MembershipBuilder::PeerAddress(std::string aAddress)
{
  this->self.peerAddress = std::move(aAddress);
  return *this;
}

MembershipBuilder& MembershipBuilder::DataCentre(state::DataCentre aDataCentre)
{
  this->self.dataCentre = std::move(aDataCentre);
  return *this;
}

MembershipBuilder& MembershipBuilder::Hooks(MembershipHooks aHooks)
{
  this->hooks = std::move(aHooks);
  return *this;
}

MembershipBuilder& MembershipBuilder::Timing(const LeaseTiming& aTiming)
{
  this->timing = aTiming;
  return *this;
}

MembershipBuilder& MembershipBuilder::WithoutRules(LeaseRulesOff aOff)
{
  this->off = std::move(aOff);
  return *this;
}

std::unique_ptr<Membership> MembershipBuilder::Build()
{
  return std::unique_ptr<Membership>(
    new Membership(std::make_unique<Membership::Impl>(
      this->self, this->hooks, this->timing, this->off)));
}

} // namespace kumquat::coordination
