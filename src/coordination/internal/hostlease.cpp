// The holder's arithmetic.

#include "coordination/hostlease.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <utility>

namespace kumquat::coordination {

HostLease::HostLease(const LeaseTiming& aTiming, LeaseRulesOff aOff)
  : timing(aTiming)
  , off(std::move(aOff))
{
}

void HostLease::SetGuards(std::vector<state::HostRef> aGuards)
{
  this->guards = std::move(aGuards);
  const std::vector<state::HostRef> asked = this->Asked();
  std::erase_if(this->confirmations, [&asked](const auto& aEntry) {
    return std::ranges::find(asked, aEntry.first) == asked.end();
  });
  this->UpdateEnd();
}

void HostLease::SetCandidates(std::vector<state::HostRef> aCandidates)
{
  this->candidates = std::move(aCandidates);
  this->UpdateEnd();
}

void HostLease::SetChanging(bool aChanging)
{
  this->changing = aChanging;
  this->UpdateEnd();
}

const std::vector<state::HostRef>& HostLease::Guards() const
{
  return this->guards;
}

std::vector<state::HostRef> HostLease::Asked() const
{
  std::vector<state::HostRef> asked = this->guards;
  std::ranges::copy_if(this->candidates, std::back_inserter(asked),
                       [this](const state::HostRef& aGuard) {
                         return std::ranges::find(this->guards, aGuard) ==
                                this->guards.end();
                       });
  return asked;
}

void HostLease::OnSent(std::int64_t aCorrelation, const state::HostRef& aGuard,
                       TimePoint aNow)
{
  this->DropOldRequests(aNow);
  this->requests.insert_or_assign(aCorrelation, Request{ aGuard, aNow });
}

bool HostLease::OnReply(std::int64_t aCorrelation, const state::HostId& aFrom,
                        bool aConfirmed, TimePoint aNow)
{
  const auto found = this->requests.find(aCorrelation);
  if (found == this->requests.end() || found->second.guard.host != aFrom) {
    return false;
  }
  const Request request = found->second;
  this->requests.erase(found);
  Confirmation& confirmation = this->confirmations[request.guard];
  confirmation.refused = !aConfirmed;
  if (aConfirmed) {
    // Failure: the reply waits on the wire or in a paused process while the
    // guard's own count runs; a term from the receipt would outlast the time
    // that a deposer waits. The request left before the guard began to count,
    // so a term from its sending ends first.
    const TimePoint counted =
      this->off.contains(LeaseRule::kCountFromSending) ? aNow : request.sent;
    confirmation.at = std::max(confirmation.at.value_or(counted), counted);
    this->UpdateEnd();
  }
  return true;
}

bool HostLease::Holds(TimePoint aNow) const
{
  return aNow < this->end;
}

TimePoint HostLease::End() const
{
  return this->end;
}

bool HostLease::CandidatesConfirm(TimePoint aNow) const
{
  return aNow < this->EndFor(this->candidates);
}

std::optional<TimePoint> HostLease::ConfirmedAt(
  const state::HostRef& aGuard) const
{
  const auto found = this->confirmations.find(aGuard);
  return found == this->confirmations.end() ? std::nullopt : found->second.at;
}

bool HostLease::Refused(const state::HostRef& aGuard) const
{
  const auto found = this->confirmations.find(aGuard);
  return found != this->confirmations.end() && found->second.refused;
}

TimePoint HostLease::EndFor(const std::vector<state::HostRef>& aGuards) const
{
  std::vector<TimePoint> times;
  for (const state::HostRef& guard : aGuards) {
    if (const auto at = this->ConfirmedAt(guard)) {
      times.push_back(*at);
    }
  }
  const std::size_t needed = this->off.contains(LeaseRule::kMajorityConfirms)
                               ? 1
                               : Majority(aGuards.size());
  if (aGuards.empty() || times.size() < needed) {
    return TimePoint::min();
  }
  std::ranges::sort(times, std::greater{});
  return times[needed - 1] + this->timing.term - this->timing.drift;
}

void HostLease::UpdateEnd()
{
  this->end = this->EndFor(this->guards);
  if (!this->changing) {
    return;
  }
  const TimePoint candidatesEnd = this->EndFor(this->candidates);
  // Failure: the answer to a change of guards is lost, and the deposer asks
  // the set that the row really names, which may be either. Needing both, the
  // holder stops whichever set is released.
  this->end = this->off.contains(LeaseRule::kBothGuardSets)
                ? candidatesEnd
                : std::min(this->end, candidatesEnd);
}

void HostLease::DropOldRequests(TimePoint aNow)
{
  // A reply that late confirms nothing any more.
  std::erase_if(this->requests, [this, aNow](const auto& aEntry) {
    return aEntry.second.sent + this->timing.term < aNow;
  });
}

} // namespace kumquat::coordination
