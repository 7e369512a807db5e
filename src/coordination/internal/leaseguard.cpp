// Confirming and releasing.

#include "coordination/leaseguard.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquat::coordination {

namespace {

protocol::ConfirmReply MakeConfirm(bool aConfirmed)
{
  protocol::ConfirmReply reply;
  reply.__set_confirmed(aConfirmed);
  return reply;
}

protocol::ReleaseReply MakeRelease(bool aReleased, Duration aRemaining)
{
  protocol::ReleaseReply reply;
  reply.__set_released(aReleased);
  // Rounded up: the deposer must not wait too short.
  reply.__set_remainingMicros(
    std::chrono::ceil<std::chrono::microseconds>(aRemaining).count());
  return reply;
}

} // namespace

LeaseGuard::LeaseGuard(state::HostRef aSelf, const LeaseTiming& aTiming,
                       LeaseRulesOff aOff)
  : self(std::move(aSelf))
  , timing(aTiming)
  , off(std::move(aOff))
{
}

protocol::ConfirmReply LeaseGuard::OnConfirm(
  const protocol::ConfirmRequest& aRequest, TimePoint aNow)
{
  // Failure: a guard that restarts has forgotten what it released. A row that
  // names its earlier run must not be confirmed by the new one, or a holder
  // would go on while its successor starts.
  if (!this->IsNamed(aRequest.guardIncarnation) &&
      !this->off.contains(LeaseRule::kRestartedGuardConfirmsNothing)) {
    return MakeConfirm(false);
  }
  Guarded& holder = this->guarded[{ aRequest.holder.host }];
  if (aRequest.holder.incarnation < holder.incarnation) {
    return MakeConfirm(false);
  }
  if (aRequest.holder.incarnation > holder.incarnation) {
    holder = { .incarnation = aRequest.holder.incarnation };
  }
  holder.heard = aNow;
  // Failure: a holder that was cut off comes back after the deposer has
  // counted this guard's release. Confirmed again, it would hold its lease
  // beside its successor.
  if (holder.released && !this->off.contains(LeaseRule::kStickyRelease)) {
    return MakeConfirm(false);
  }
  holder.confirmed = aNow;
  return MakeConfirm(true);
}

protocol::ReleaseReply LeaseGuard::OnRelease(
  const protocol::ReleaseRequest& aRequest, TimePoint aNow)
{
  // Failure: the earlier run of this guard may have confirmed the holder just
  // now; the new run knows nothing of it and would say that nothing remains.
  if (!this->IsNamed(aRequest.guardIncarnation) &&
      !this->off.contains(LeaseRule::kRestartedGuardReleasesNothing)) {
    return MakeRelease(false, this->timing.term);
  }
  Guarded& holder = this->guarded[{ aRequest.holder.host }];
  if (aRequest.holder.incarnation < holder.incarnation) {
    // An earlier run: it is not confirmed any more. What it was confirmed for
    // is forgotten, so the whole term is taken.
    return MakeRelease(true, this->timing.term);
  }
  if (aRequest.holder.incarnation > holder.incarnation) {
    holder = { .incarnation = aRequest.holder.incarnation };
  }
  const bool silent =
    !holder.heard || *holder.heard + this->timing.suspectAfter <= aNow;
  if (!holder.released && !silent) {
    return MakeRelease(false, this->timing.term);
  }
  holder.released = true;
  const TimePoint end =
    holder.confirmed.value_or(aNow - this->timing.term) + this->timing.term;
  return MakeRelease(true, std::max(end - aNow, Duration::zero()));
}

std::optional<TimePoint> LeaseGuard::Heard(const state::HostRef& aHolder) const
{
  const auto found = this->guarded.find(aHolder.host);
  if (found == this->guarded.end() ||
      found->second.incarnation != aHolder.incarnation) {
    return std::nullopt;
  }
  return found->second.heard;
}

bool LeaseGuard::IsNamed(state::Incarnation aNamed) const
{
  return aNamed == this->self.incarnation;
}

} // namespace kumquat::coordination
