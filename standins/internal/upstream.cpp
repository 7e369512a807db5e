// Slots, cold start, fence and grants of one upstream instance.

#include "standins/upstream.h"

#include "state/routingmap.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace kumquat::standins {

std::string_view UpstreamStateName(UpstreamState aState)
{
  switch (aState) {
    case UpstreamState::kCold:
      return "cold";
    case UpstreamState::kWarm:
      return "warm";
    case UpstreamState::kDraining:
      return "draining";
  }
  return "unknown";
}

Upstream::Upstream(Options aOptions)
  : options(aOptions)
  , state(aOptions.cold ? UpstreamState::kCold : UpstreamState::kWarm)
{
}

int Upstream::Bears() const
{
  if (this->state != UpstreamState::kCold) {
    return this->options.slots;
  }
  return this->answersSinceCold < this->options.coldAnswers / 2 ? 1 : 2;
}

const Grant* Upstream::FindGrant(const WorkOrder& aOrder, TimePoint aNow) const
{
  const std::uint64_t hash = state::HashKey(aOrder.key);
  const auto holds = [&](const Grant& aGrant) {
    return aGrant.sliceEpoch == aOrder.sliceEpoch && aGrant.first <= hash &&
           hash <= aGrant.last && aNow < aGrant.until;
  };
  const auto all = this->grants | std::views::values;
  const auto found = std::ranges::find_if(all, holds);
  return found == all.end() ? nullptr : &*found;
}

bool Upstream::IsFenced(const WorkOrder& aOrder, TimePoint aNow) const
{
  if (!this->checksFence) {
    return false;
  }
  return aOrder.epoch < this->seenEpoch ||
         (this->options.keyed && this->FindGrant(aOrder, aNow) == nullptr);
}

Admission Upstream::Admit(const WorkOrder& aOrder, TimePoint aNow)
{
  if (this->IsFenced(aOrder, aNow)) {
    return Admission::kFenced;
  }
  this->seenEpoch = std::max(this->seenEpoch, aOrder.epoch);
  const bool tooMuch = this->running >= this->Bears();
  const bool grace = aNow - this->stateSince < this->options.coldGrace;
  if (tooMuch && this->state == UpstreamState::kCold && !grace) {
    return Admission::kCollapse;
  }
  if (tooMuch) {
    return Admission::kShed;
  }
  ++this->running;
  if (this->options.keyed) {
    this->runningKeys.insert_or_assign(
      aOrder.requestId,
      std::pair(state::HashKey(aOrder.key), aOrder.sliceEpoch));
  }
  return Admission::kRun;
}

bool Upstream::Finish(const WorkOrder& aOrder, TimePoint aNow)
{
  this->EndRun(aOrder);
  // A server that froze past its grant would otherwise change a key that has
  // a new owner by now.
  if (this->checksFence && this->options.keyed &&
      this->FindGrant(aOrder, aNow) == nullptr) {
    return false;
  }
  ++this->answersSinceCold;
  if (this->state == UpstreamState::kCold &&
      this->answersSinceCold >= this->options.coldAnswers) {
    this->SetState(UpstreamState::kWarm, aNow);
  }
  return true;
}

void Upstream::Abandon(const WorkOrder& aOrder)
{
  this->EndRun(aOrder);
}

void Upstream::EndRun(const WorkOrder& aOrder)
{
  --this->running;
  this->runningKeys.erase(aOrder.requestId);
}

bool Upstream::Fence(std::string_view aSteward, std::int64_t aEpoch)
{
  if (this->checksFence && aEpoch < this->seenEpoch) {
    return false;
  }
  this->seenEpoch = std::max(this->seenEpoch, aEpoch);
  this->steward = aSteward;
  return true;
}

bool Upstream::Give(std::int64_t aEpoch, const std::string& aPart,
                    const Grant& aGrant)
{
  if (this->checksFence && aEpoch < this->seenEpoch) {
    return false;
  }
  this->seenEpoch = std::max(this->seenEpoch, aEpoch);
  const auto found = this->grants.find(aPart);
  if (found != this->grants.end()) {
    const Grant& old = found->second;
    // A renewal that was long on its way, or one of a grant since revoked.
    const auto token = std::pair(aGrant.sliceEpoch, aGrant.sequence);
    if (token < std::pair(old.sliceEpoch, old.sequence)) {
      return false;
    }
  }
  this->grants.insert_or_assign(aPart, aGrant);
  return true;
}

bool Upstream::Revoke(std::int64_t aEpoch, const std::string& aPart,
                      std::int64_t aSliceEpoch)
{
  if (this->checksFence && aEpoch < this->seenEpoch) {
    return false;
  }
  this->seenEpoch = std::max(this->seenEpoch, aEpoch);
  Grant& grant = this->grants[aPart];
  if (grant.sliceEpoch <= aSliceEpoch) {
    // One above the revoked epoch: its late renewals are refused from now on.
    grant.sliceEpoch = aSliceEpoch + 1;
    grant.sequence = 0;
    grant.until = TimePoint();
  }
  return true;
}

int Upstream::RunningUnder(const std::string& aPart,
                           std::int64_t aSliceEpoch) const
{
  const auto part = this->grants.find(aPart);
  if (part == this->grants.end()) {
    return 0;
  }
  const Grant& grant = part->second;
  return static_cast<int>(std::ranges::count_if(
    this->runningKeys | std::views::values, [&](const auto& aRun) {
      const auto [hash, sliceEpoch] = aRun;
      return sliceEpoch <= aSliceEpoch && grant.first <= hash &&
             hash <= grant.last;
    }));
}

void Upstream::Restart(TimePoint aNow, bool aForgetsFence)
{
  ++this->incarnation;
  this->running = 0;
  this->answersSinceCold = 0;
  this->grants.clear();
  this->runningKeys.clear();
  if (aForgetsFence) {
    this->seenEpoch = 0;
  }
  this->SetState(UpstreamState::kCold, aNow);
}

void Upstream::SetDraining(bool aDraining, TimePoint aNow)
{
  this->SetState(aDraining ? UpstreamState::kDraining : UpstreamState::kWarm,
                 aNow);
}

void Upstream::SetState(UpstreamState aState, TimePoint aNow)
{
  this->state = aState;
  this->stateSince = aNow;
}

} // namespace kumquat::standins
