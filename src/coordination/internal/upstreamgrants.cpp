// Fencing, giving, renewing and revoking at one upstream.

#include "coordination/internal/upstreamgrants.h"

#include "transport/httpstatus.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace kumquat::coordination {

namespace {

} // namespace

UpstreamGrants::UpstreamGrants(state::UpstreamRecord aRecord,
                               bool aPredecessorMayRun, GrantContext& aContext)
  : record(std::move(aRecord))
  , predecessorMayRun(aPredecessorMayRun)
  , context(aContext)
  , begun(aContext.hooks.now())
  , nextFence(this->begun)
{
  if (this->IsOff(GrantRule::kFenceFirst)) {
    this->checksFence = true;
    this->life.Process(UpstreamEvent::kFenceTaken);
  }
}

void UpstreamGrants::Give(const state::SliceRecord& aSlice)
{
  Grant& grant = this->grants[aSlice.part];
  const bool isNews = aSlice.epoch > grant.slice.epoch;
  if (!isNews && grant.slice.epoch != 0) {
    return;
  }
  grant.life.Process(GrantEvent::kGivenAgain);
  grant.slice = aSlice;
  grant.validUntil = TimePoint::min();
  grant.nextCall = this->context.hooks.now();
  grant.revokeAnswered = false;
  grant.done = nullptr;
  grant.dropped = false;
  this->Inherit(grant);
}

void UpstreamGrants::Drop(const std::string& aPart, state::Epoch aEpoch)
{
  const auto found = this->grants.find(aPart);
  if (found != this->grants.end() && found->second.slice.epoch < aEpoch) {
    found->second.dropped = true;
  }
}

void UpstreamGrants::Revoke(const state::SliceRecord& aSlice,
                            GrantKeeper::RevokeDone aDone)
{
  const TimePoint now = this->context.hooks.now();
  const auto [place, isNew] = this->grants.try_emplace(aSlice.part);
  Grant& grant = place->second;
  if (isNew) {
    grant.slice = aSlice;
    this->Inherit(grant);
  }
  grant.life.Process(GrantEvent::kRevokeAsked);
  if (grant.validUntil > now) {
    this->context.grantLost.Send(grant.slice);
  }
  grant.validUntil = TimePoint::min();
  grant.revokedAt = now;
  grant.nextCall = now;
  grant.done = std::move(aDone);
  this->OnTimer();
}

void UpstreamGrants::OnTimer()
{
  // Listeners may end this stewardship in the midst of it.
  const auto self = this->shared_from_this();
  const TimePoint now = this->context.hooks.now();
  const UpstreamPhase phase = this->life.Phase();
  if (phase == UpstreamPhase::kFencing && this->MayAct(now)) {
    this->SendFence(now);
  }
  if (phase == UpstreamPhase::kWaitingOut && this->waitUntil <= now) {
    this->life.Process(UpstreamEvent::kWaitedOut);
    this->BecomeReady();
  }
  for (Grant& grant : this->grants | std::views::values) {
    this->DriveGrant(grant, now);
  }
  this->Sweep();
}

void UpstreamGrants::OnIncarnation(state::Incarnation aIncarnation)
{
  if (!this->incarnation || aIncarnation <= *this->incarnation ||
      this->IsOff(GrantRule::kFenceNewIncarnation)) {
    return;
  }
  // Failure: the upstream came back with nothing: neither its fence nor its
  // grants. Work sent on the old grants would be refused at best, and run
  // beside a predecessor's late orders at worst.
  this->incarnation = aIncarnation;
  this->Restart();
}

void UpstreamGrants::OnFenced(state::Epoch aEpoch)
{
  if (aEpoch > this->record.epoch) {
    this->life.Process(UpstreamEvent::kOvertaken);
    this->context.lost.Send(this->record.ref, aEpoch);
  } else {
    this->Restart();
  }
}

bool UpstreamGrants::MayRun(const state::SliceRecord& aSlice,
                            TimePoint aNow) const
{
  const auto found = this->grants.find(aSlice.part);
  return found != this->grants.end() && this->MayRun(aNow) &&
         found->second.slice.epoch == aSlice.epoch && !found->second.dropped &&
         found->second.life.Phase() == GrantPhase::kInForce &&
         aNow < found->second.validUntil;
}

bool UpstreamGrants::MayRun(TimePoint aNow) const
{
  return this->life.Phase() == UpstreamPhase::kReady && this->MayAct(aNow);
}

UpstreamPhase UpstreamGrants::Phase() const
{
  return this->life.Phase();
}

const state::UpstreamRecord& UpstreamGrants::Record() const
{
  return this->record;
}

bool UpstreamGrants::IsOff(GrantRule aRule) const
{
  return this->context.off.contains(aRule);
}

bool UpstreamGrants::MayAct(TimePoint aNow) const
{
  // Failure: a host that was cut off goes on renewing grants of upstreams that
  // its successor is moving slices between; those that do not check epochs
  // would obey both.
  return this->context.hooks.mayStart(aNow) ||
         this->IsOff(GrantRule::kLeaseFirst);
}

void UpstreamGrants::Call(
  const std::string& aTarget, std::string aBody,
  std::function<void(UpstreamGrants&, const Result<ControlAnswer>&)> aDone)
{
  this->context.hooks.sendControl(
    this->record.ref, "PUT", aTarget, std::move(aBody),
    [weak = this->weak_from_this(), sentIn = this->round,
     done = std::move(aDone)](const Result<ControlAnswer>& aAnswer) {
      const auto alive = weak.lock();
      if (alive && alive->round == sentIn) {
        done(*alive, aAnswer);
      }
    });
}

void UpstreamGrants::SendFence(TimePoint aNow)
{
  if (this->fencing || aNow < this->nextFence) {
    return;
  }
  this->fencing = true;
  this->Call("/fence", FenceBody(this->context.self, this->record.epoch),
             [](UpstreamGrants& aSelf, const Result<ControlAnswer>& aAnswer) {
               aSelf.OnFenceAnswer(aAnswer);
             });
}

void UpstreamGrants::OnFenceAnswer(const Result<ControlAnswer>& aAnswer)
{
  const TimePoint now = this->context.hooks.now();
  this->fencing = false;
  this->nextFence = now + this->context.timing.retry;
  if (!aAnswer) {
    return;
  }
  this->HearClock(aAnswer->body);
  const auto fence = ParseFenceAnswer(aAnswer->body);
  if (aAnswer->status == transport::status::kPreconditionFailed && fence &&
      fence->epoch > this->record.epoch) {
    this->OnFenced(fence->epoch);
  } else if (aAnswer->status == transport::status::kOk && fence) {
    this->TakeFence(*fence, now);
  }
}

void UpstreamGrants::TakeFence(const FenceAnswer& aAnswer, TimePoint aNow)
{
  if (this->incarnation && aAnswer.incarnation < *this->incarnation) {
    return;
  }
  this->incarnation = aAnswer.incarnation;
  this->checksFence = aAnswer.checksFence;
  // A repeated fence, after a restart, says nothing of predecessors any more.
  if (!this->fencedAt) {
    this->fencedAt = aNow;
    this->inherited = aAnswer.granted;
    for (Grant& grant : this->grants | std::views::values) {
      this->Inherit(grant);
    }
  }
  this->RaiseSequences(aAnswer);
  this->waitUntil = this->begun + this->context.timing.orderDeadline +
                    this->context.timing.drift;
  // Failure: an order of the predecessor is still on its way to, or runs at,
  // an upstream that obeys anyone. Its deadline is all that ends it.
  const bool mustWait = !this->checksFence && this->predecessorMayRun &&
                        aNow < this->waitUntil &&
                        !this->IsOff(GrantRule::kWaitOutUnfenced);
  if (mustWait) {
    this->life.Process(UpstreamEvent::kFenceTakenUnchecked);
    return;
  }
  this->life.Process(UpstreamEvent::kFenceTaken);
  this->BecomeReady();
}

void UpstreamGrants::Inherit(Grant& aGrant) const
{
  const auto granted = this->inherited.find(aGrant.slice.part);
  if (granted != this->inherited.end()) {
    // Renewals with a lower sequence would be taken for late ones.
    aGrant.sequence = std::max(aGrant.sequence, granted->second);
  }
  aGrant.inheritedUntil = TimePoint::min();
  if (this->record.epoch <= 1 || this->IsOff(GrantRule::kReadGrantsBack)) {
    return;
  }
  const GrantTiming& timing = this->context.timing;
  const Duration runsOut = timing.term + timing.drift;
  if (this->fencedAt && this->checksFence) {
    // Since the fence the predecessor renews nothing.
    if (granted != this->inherited.end()) {
      aGrant.inheritedUntil = *this->fencedAt + runsOut;
    }
    return;
  }
  // A deposed predecessor sent its last renewal before this stewardship began,
  // a living one until it has learnt of it.
  const Duration lag =
    this->predecessorMayRun ? Duration::zero() : timing.mapLag;
  aGrant.inheritedUntil = this->begun + lag + runsOut;
}

void UpstreamGrants::RaiseSequences(const FenceAnswer& aAnswer)
{
  for (auto& [part, grant] : this->grants) {
    const auto granted = aAnswer.granted.find(part);
    if (granted != aAnswer.granted.end()) {
      grant.sequence = std::max(grant.sequence, granted->second);
    }
  }
}

void UpstreamGrants::BecomeReady()
{
  this->context.ready.Send({ .ref = this->record.ref,
                             .incarnation = this->incarnation.value_or(0),
                             .checksFence = this->checksFence });
}

void UpstreamGrants::Restart()
{
  const TimePoint now = this->context.hooks.now();
  this->life.Process(UpstreamEvent::kRestarted);
  ++this->round;
  this->clock.reset();
  this->fencing = false;
  this->nextFence = now;
  for (Grant& grant : this->grants | std::views::values) {
    if (grant.calling && grant.lastSent) {
      grant.unsettledUntil = *grant.lastSent + this->context.timing.term +
                             this->context.timing.drift;
    }
    grant.calling = false;
    if (grant.validUntil > now) {
      this->context.grantLost.Send(grant.slice);
    }
    grant.validUntil = TimePoint::min();
    grant.nextCall = now;
    grant.life.Process(GrantEvent::kLapsed);
  }
}

void UpstreamGrants::OnRefused(const std::string& aBody)
{
  const auto fence = ParseFenceAnswer(aBody);
  this->OnFenced(fence ? fence->epoch : 0);
}

void UpstreamGrants::DriveGrant(Grant& aGrant, TimePoint aNow)
{
  if (aGrant.dropped) {
    return;
  }
  switch (aGrant.life.Phase()) {
    case GrantPhase::kInForce:
      if (aGrant.validUntil <= aNow) {
        aGrant.life.Process(GrantEvent::kLapsed);
        this->context.grantLost.Send(aGrant.slice);
      }
      this->Renew(aGrant, aNow);
      break;
    case GrantPhase::kWaiting:
      this->Renew(aGrant, aNow);
      break;
    case GrantPhase::kRevoking:
      this->DriveRevoke(aGrant, aNow);
      break;
    case GrantPhase::kEnded:
      break;
  }
}

void UpstreamGrants::Renew(Grant& aGrant, TimePoint aNow)
{
  if (!this->MayRun(aNow) || aGrant.calling || aNow < aGrant.nextCall) {
    return;
  }
  aGrant.calling = true;
  aGrant.lastSent = aNow;
  ++aGrant.sequence;
  this->Call("/grant",
             GrantBody(aGrant.slice, this->record.epoch, aGrant.sequence,
                       this->context.timing.term, this->ClockNow(aNow)),
             [part = aGrant.slice.part, epoch = aGrant.slice.epoch, aNow](
               UpstreamGrants& aSelf, const Result<ControlAnswer>& aAnswer) {
               aSelf.OnRenewed(part, epoch, aNow, aAnswer);
             });
}

void UpstreamGrants::OnRenewed(const std::string& aPart, state::Epoch aEpoch,
                               TimePoint aSent,
                               const Result<ControlAnswer>& aAnswer)
{
  const auto found = this->grants.find(aPart);
  if (found == this->grants.end()) {
    return;
  }
  Grant& grant = found->second;
  const TimePoint now = this->context.hooks.now();
  grant.calling = false;
  grant.nextCall = now + this->context.timing.retry;
  if (!aAnswer) {
    grant.unsettledUntil =
      aSent + this->context.timing.term + this->context.timing.drift;
    return;
  }
  this->HearClock(aAnswer->body);
  if (aAnswer->status == transport::status::kPreconditionFailed) {
    this->OnRefused(aAnswer->body);
    return;
  }
  const GrantPhase phase = grant.life.Phase();
  const bool isWanted =
    phase == GrantPhase::kWaiting || phase == GrantPhase::kInForce;
  if (aAnswer->status != transport::status::kOk ||
      grant.slice.epoch != aEpoch || !isWanted) {
    return;
  }
  const TimePoint counted =
    this->IsOff(GrantRule::kCountFromSending) ? now : aSent;
  grant.validUntil =
    std::max(grant.validUntil,
             counted + this->context.timing.term - this->context.timing.drift);
  grant.nextCall = aSent + this->context.timing.renewal;
  if (phase == GrantPhase::kWaiting) {
    grant.life.Process(GrantEvent::kConfirmed);
    this->context.grantGained.Send(grant.slice);
  }
}

void UpstreamGrants::DriveRevoke(Grant& aGrant, TimePoint aNow)
{
  // Failure: a renewal was sent before the revocation and arrives after it, on
  // another connection: the grant would be in force again, unknown to anyone.
  // So no answer counts while a renewal may still be under way.
  const bool settled = (!aGrant.calling && aGrant.unsettledUntil <= aNow) ||
                       this->IsOff(GrantRule::kSettleRenewals);
  const bool revoked = aGrant.revokeAnswered && settled;
  // Failure: this host was paused with a revocation open. The time has run
  // out meanwhile, but a successor may have renewed the grant. Only a steward
  // that still is one may conclude from the time.
  const bool isSteward =
    this->life.Phase() != UpstreamPhase::kFenced && this->MayAct(aNow);
  const bool lapsed = isSteward && this->LapsedAt(aGrant) <= aNow;
  if (revoked || lapsed) {
    aGrant.life.Process(GrantEvent::kRevoked);
    if (const auto done = std::exchange(aGrant.done, nullptr)) {
      done();
    }
    return;
  }
  if (!aGrant.revokeAnswered) {
    this->SendRevoke(aGrant, aNow);
  }
}

void UpstreamGrants::SendRevoke(Grant& aGrant, TimePoint aNow)
{
  const bool canCall =
    this->life.Phase() == UpstreamPhase::kReady && this->MayAct(aNow);
  const bool renewing =
    aGrant.calling && !this->IsOff(GrantRule::kSettleRenewals);
  if (!canCall || renewing || aNow < aGrant.nextCall) {
    return;
  }
  aGrant.nextCall = aNow + this->context.timing.retry;
  this->Call("/revoke", RevokeBody(aGrant.slice, this->record.epoch),
             [part = aGrant.slice.part, epoch = aGrant.slice.epoch](
               UpstreamGrants& aSelf, const Result<ControlAnswer>& aAnswer) {
               aSelf.OnRevokeAnswer(part, epoch, aAnswer);
             });
}

void UpstreamGrants::OnRevokeAnswer(const std::string& aPart,
                                    state::Epoch aEpoch,
                                    const Result<ControlAnswer>& aAnswer)
{
  const auto found = this->grants.find(aPart);
  if (found == this->grants.end() || found->second.slice.epoch != aEpoch ||
      found->second.life.Phase() != GrantPhase::kRevoking) {
    return;
  }
  if (aAnswer && aAnswer->status == transport::status::kPreconditionFailed) {
    this->OnRefused(aAnswer->body);
    return;
  }
  const bool answered = aAnswer && aAnswer->status == transport::status::kOk;
  // Failure: the upstream is cut off and keeps serving the slice until its
  // grant ends. Without its answer only the time tells that it has stopped.
  found->second.revokeAnswered =
    answered || this->IsOff(GrantRule::kWaitOutTerm);
}

void UpstreamGrants::HearClock(const std::string& aBody)
{
  if (const auto heard = ParseClock(aBody)) {
    this->clock.emplace(*heard, this->context.hooks.now());
  }
}

// Failure: a renewal waits in the socket of an upstream that is frozen. Its
// term, counted from the receipt, would begin with the thaw, when the slice has
// long been given to another. It counts from the upstream's own clock instead,
// as of the sending: the clock was read before its answer was heard here, so
// the estimate is never ahead of it.
std::optional<std::int64_t> UpstreamGrants::ClockNow(TimePoint aNow) const
{
  if (!this->clock || this->IsOff(GrantRule::kCountFromUpstreamClock)) {
    return std::nullopt;
  }
  const auto& [millis, heardAt] = *this->clock;
  const auto since =
    std::chrono::duration_cast<std::chrono::milliseconds>(aNow - heardAt);
  return millis + since.count();
}

TimePoint UpstreamGrants::LapsedAt(const Grant& aGrant) const
{
  const GrantTiming& timing = this->context.timing;
  TimePoint lapsed = aGrant.inheritedUntil;
  if (aGrant.lastSent) {
    lapsed = std::max(lapsed, *aGrant.lastSent + timing.term + timing.drift);
  }
  // An upstream that checks nothing does not stop at the end of a grant: work
  // sent until the revocation ends by its deadline only.
  if (!this->checksFence && lapsed != TimePoint::min()) {
    lapsed =
      std::max(lapsed, aGrant.revokedAt + timing.orderDeadline + timing.drift);
  }
  return lapsed;
}

void UpstreamGrants::Sweep()
{
  std::erase_if(this->grants, [](const auto& aEntry) {
    const Grant& grant = aEntry.second;
    return grant.dropped || grant.life.Phase() == GrantPhase::kEnded;
  });
}

} // namespace kumquat::coordination
