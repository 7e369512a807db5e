// Two random choices over the stewards' exact counts.

#include "coordination/choosing.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace kumquat::coordination {

namespace {

const Candidate& PickTwo(const std::vector<Candidate>& aCandidates,
                         const RoomView& aRooms, const RandomBelow& aRandom)
{
  const Candidate& one = aCandidates[aRandom(aCandidates.size())];
  const Candidate& other = aCandidates[aRandom(aCandidates.size())];
  return aRooms.Room(one.upstream) >= aRooms.Room(other.upstream) ? one : other;
}

} // namespace

void RoomView::OnCount(const SlotCount& aCount)
{
  Known& entry = this->known[aCount.upstream];
  if (aCount.epoch < entry.epoch) {
    return;
  }
  entry.epoch = aCount.epoch;
  entry.freeSlots = aCount.freeSlots;
  entry.queued = aCount.queued;
  entry.sentSince = 0;
  entry.lost = aCount.lost;
}

void RoomView::OnSent(const state::UpstreamRef& aRef)
{
  ++this->known[aRef].sentSince;
}

void RoomView::OnAnswered(const state::UpstreamRef& aRef)
{
  Known& entry = this->known[aRef];
  entry.sentSince = std::max(0, entry.sentSince - 1);
}

int RoomView::Room(const state::UpstreamRef& aRef) const
{
  const auto found = this->known.find(aRef);
  if (found == this->known.end()) {
    return 1;
  }
  const Known& entry = found->second;
  return entry.freeSlots - entry.queued - entry.sentSince;
}

protocol::SlotDigest ToWire(const SlotCount& aCount)
{
  protocol::SlotDigest digest;
  digest.upstream.__set_serviceName(aCount.upstream.service.value);
  digest.upstream.__set_upstream(aCount.upstream.upstream.value);
  digest.__set_freeSlots(aCount.freeSlots);
  digest.__set_queued(aCount.queued);
  digest.__set_stewardEpoch(aCount.epoch);
  digest.__set_lost(aCount.lost);
  return digest;
}

SlotCount FromWire(const protocol::SlotDigest& aDigest)
{
  SlotCount count;
  count.upstream.service.value = aDigest.upstream.serviceName;
  count.upstream.upstream.value = aDigest.upstream.upstream;
  count.freeSlots = aDigest.freeSlots;
  count.queued = aDigest.queued;
  count.epoch = aDigest.stewardEpoch;
  count.lost = aDigest.lost;
  return count;
}

bool RoomView::IsLost(const state::UpstreamRef& aRef) const
{
  const auto found = this->known.find(aRef);
  return found != this->known.end() && found->second.lost;
}

std::optional<state::UpstreamRef> Choose(
  const std::vector<Candidate>& aCandidates, const RoomView& aRooms,
  const RandomBelow& aRandom)
{
  if (aCandidates.empty()) {
    return std::nullopt;
  }
  std::vector<Candidate> free;
  std::ranges::copy_if(aCandidates, std::back_inserter(free),
                       [&aRooms](const Candidate& aOne) {
                         return aRooms.Room(aOne.upstream) > 0;
                       });
  if (free.empty()) {
    return PickTwo(aCandidates, aRooms, aRandom).upstream;
  }
  const int nearest =
    std::ranges::min(free | std::views::transform(&Candidate::distance));
  std::erase_if(
    free, [nearest](const Candidate& aOne) { return aOne.distance > nearest; });
  return PickTwo(free, aRooms, aRandom).upstream;
}

} // namespace kumquat::coordination
