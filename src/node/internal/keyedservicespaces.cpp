// What owners of keys take: the reports that hosts send to assigners, and the
// paces that an assigner's candidates get from them.

#include "node/internal/keyedservices.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <utility>

namespace kumquat::node {

using state::ServiceName;

namespace {

constexpr double kMicrosPerMs = 1000;

} // namespace

std::optional<double> KeyedServices::PaceOf(
  const PartState& aEntry, const routing::UpstreamState& aUpstream) const
{
  if (!this->ReportsOwnerTimes()) {
    return std::nullopt;
  }
  return aEntry.paces
    .Find(aUpstream.entry.id, aUpstream.entry.startedMs, this->hooks.now())
    .factor;
}

void KeyedServices::UpdatePaceSpread(
  PartState& aEntry, const std::vector<ownership::OwnerCandidate>& aOwners)
{
  aEntry.paceSpread = {};
  for (const ownership::OwnerCandidate& owner : aOwners) {
    const double pace = owner.pace.value_or(1);
    aEntry.paceSpread.slowest = std::min(aEntry.paceSpread.slowest, pace);
    aEntry.paceSpread.fastest = std::max(aEntry.paceSpread.fastest, pace);
  }
}

KeyedServices::PaceSpread KeyedServices::OwnerPaceSpread() const
{
  PaceSpread spread;
  for (const auto& [name, entry] : this->parts) {
    if (entry->assigner->IsAssigner()) {
      spread.slowest = std::min(spread.slowest, entry->paceSpread.slowest);
      spread.fastest = std::max(spread.fastest, entry->paceSpread.fastest);
    }
  }
  return spread;
}

KeyedServices::PartState* KeyedServices::FindPartOf(
  const routing::UpstreamState& aUpstream) const
{
  const auto found = this->layouts.find(aUpstream.entry.service);
  if (found == this->layouts.end()) {
    return nullptr;
  }
  const LayoutState& state = found->second;
  const int index = PartOfUpstream(state.layout, aUpstream.entry.id);
  return state.parts.at(static_cast<std::size_t>(index));
}

void KeyedServices::UpdateTimedServices()
{
  std::set<ServiceName> timed;
  if (this->ReportsOwnerTimes()) {
    std::ranges::transform(this->layouts, std::inserter(timed, timed.end()),
                           [](const auto& aItem) { return aItem.first; });
  }
  this->upstreams.SetTimedServices(std::move(timed));
  for (const auto& [name, entry] : this->parts) {
    entry->paces.RemoveOld(this->hooks.now());
  }
}

std::vector<protocol::OwnerTime> KeyedServices::TakeOwnerTimes(
  const state::HostId& aPeer)
{
  std::vector<protocol::OwnerTime> wire;
  const auto taken =
    this->upstreams.TakeOwnTimes([&](const routing::UpstreamState& aUpstream) {
      const PartState* part = this->FindPartOf(aUpstream);
      return part != nullptr &&
             part->map.CurrentVersion().assigner.host == aPeer;
    });
  for (const routing::OwnTime& time : taken) {
    const double micros =
      std::min<double>(std::max(1.0, time.serviceMs * kMicrosPerMs),
                       std::numeric_limits<std::int32_t>::max());
    protocol::OwnerTime owner;
    owner.__set_upstream(time.id.value);
    owner.__set_answers(time.answers);
    owner.__set_serviceMicros(static_cast<std::int32_t>(micros));
    wire.push_back(std::move(owner));
  }
  return wire;
}

void KeyedServices::OnOwnerTimes(const std::vector<protocol::OwnerTime>& aTimes)
{
  const TimePoint now = this->hooks.now();
  for (const protocol::OwnerTime& time : aTimes) {
    const routing::UpstreamState* upstream =
      this->upstreams.Find({ time.upstream });
    PartState* part =
      upstream == nullptr ? nullptr : this->FindPartOf(*upstream);
    if (part == nullptr || !part->assigner->IsAssigner()) {
      continue;
    }
    const bool isTaken = part->paces.Add(
      { upstream->entry.id, time.answers, time.serviceMicros / kMicrosPerMs },
      { upstream->entry.startedMs, upstream->coldUntil }, now);
    if (!isTaken && this->ignoredOwnerTimes++ == 0) {
      this->hooks.log(part->name, "owner-time-ignored", time.upstream);
    }
  }
}

} // namespace kumquat::node
