// The choice of guards over time.

#include "coordination/internal/guardset.h"

#include "coordination/guardchoice.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <ranges>
#include <utility>

namespace kumquat::coordination {

namespace {

constexpr Duration kAvoidFor = std::chrono::seconds(10);

bool Contains(const std::vector<state::HostRef>& aRefs,
              const state::HostRef& aRef)
{
  return std::ranges::find(aRefs, aRef) != aRefs.end();
}

} // namespace

GuardSet::GuardSet(state::HostRef aSelf, state::DataCentre aDataCentre,
                   const LeaseTiming& aTiming)
  : self(std::move(aSelf))
  , dataCentre(std::move(aDataCentre))
  , timing(aTiming)
{
}

std::optional<std::vector<state::HostRef>> GuardSet::Wanted(
  const HostDirectory& aDirectory, const HostLease& aLease, TimePoint aNow)
{
  this->NoteSilence(aLease, aNow);
  std::vector<state::HostRef> present = aLease.Guards();
  std::ranges::sort(present);
  std::vector<state::HostRef> passedOver;
  std::ranges::copy(this->avoided | std::views::keys,
                    std::back_inserter(passedOver));
  const bool isFresh =
    this->last && this->last->revision == aDirectory.Revision() &&
    this->last->present == present && this->last->passedOver == passedOver &&
    aNow < this->last->made + this->timing.replaceGuardAfter;
  if (!isFresh) {
    this->last = Choice{ .wanted = this->Choose(aDirectory, aLease, aNow),
                         .present = present,
                         .passedOver = std::move(passedOver),
                         .revision = aDirectory.Revision(),
                         .made = aNow };
  }
  if (this->last->wanted == present) {
    return std::nullopt;
  }
  return this->last->wanted;
}

std::vector<state::HostRef> GuardSet::Choose(const HostDirectory& aDirectory,
                                             const HostLease& aLease,
                                             TimePoint aNow) const
{
  std::vector<GuardCandidate> others;
  for (const auto& [host, known] : aDirectory.All()) {
    const state::HostRecord& record = known.record;
    if (host == this->self.host || aDirectory.IsDeposed(record.ref)) {
      continue;
    }
    others.push_back({ .ref = record.ref,
                       .dataCentre = record.dataCentre,
                       .healthy = this->IsHealthy(known, aDirectory, aNow),
                       .current = Contains(aLease.Guards(), record.ref) });
  }
  return ChooseGuards(this->self, this->dataCentre, others);
}

bool GuardSet::IsReady(const std::vector<state::HostRef>& aWanted,
                       const HostLease& aLease, TimePoint aNow) const
{
  const bool allTried =
    std::ranges::all_of(aWanted, [&](const state::HostRef& aGuard) {
      return aLease.ConfirmedAt(aGuard) || this->IsAvoided(aGuard, aNow);
    });
  return allTried && aLease.CandidatesConfirm(aNow);
}

void GuardSet::OnOwnSleep()
{
  this->askedSince.clear();
}

void GuardSet::NoteSilence(const HostLease& aLease, TimePoint aNow)
{
  const std::vector<state::HostRef> asked = aLease.Asked();
  std::erase_if(this->askedSince, [&asked](const auto& aEntry) {
    return !Contains(asked, aEntry.first);
  });
  std::erase_if(this->avoided,
                [aNow](const auto& aEntry) { return aEntry.second <= aNow; });
  for (const state::HostRef& asking : asked) {
    const TimePoint since =
      this->askedSince.try_emplace(asking, aNow).first->second;
    const TimePoint answered =
      std::max(since, aLease.ConfirmedAt(asking).value_or(since));
    if (aLease.Refused(asking) ||
        answered + this->timing.replaceGuardAfter <= aNow) {
      this->avoided[asking] = aNow + kAvoidFor;
    } else if (answered > since) {
      this->avoided.erase(asking);
    }
  }
}

bool GuardSet::IsHealthy(const KnownHost& aKnown,
                         const HostDirectory& aDirectory, TimePoint aNow) const
{
  const bool down =
    aKnown.down && *aKnown.down + this->timing.replaceGuardAfter <= aNow;
  return aKnown.record.state == state::HostState::kLive && !aKnown.leaving &&
         !down && !(aKnown.unlisted && aKnown.wasListed) &&
         !aDirectory.IsRestarted(aKnown.record.ref) &&
         !this->IsAvoided(aKnown.record.ref, aNow);
}

bool GuardSet::IsAvoided(const state::HostRef& aRef, TimePoint aNow) const
{
  const auto found = this->avoided.find(aRef);
  return found != this->avoided.end() && aNow < found->second;
}

} // namespace kumquat::coordination
