// What an entry host knows of each upstream's room, and its choice among the
// upstreams of a service that is not divided by key.

#pragma once

#include "coordination/steward.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace kumquat::coordination {

class RoomView
{
public:
  // A count from the upstream's steward; one of an older epoch is dropped.
  void OnCount(const SlotCount& aCount);
  // We sent a request there, or its answer came back.
  void OnSent(const state::UpstreamRef& aRef);
  void OnAnswered(const state::UpstreamRef& aRef);

  // Free slots less what we have sent since the steward counted; an upstream
  // of which nothing is known is taken to have one.
  int Room(const state::UpstreamRef& aRef) const;
  // Its steward says that it cannot be used now.
  bool IsLost(const state::UpstreamRef& aRef) const;

private:
  struct Known
  {
    state::Epoch epoch = 0;
    int freeSlots = 1;
    int queued = 0;
    // Requests of ours that the count does not hold yet.
    int sentSince = 0;
    bool lost = false;
  };

  std::unordered_map<state::UpstreamRef, Known> known;
};

// Room counts as they travel between hosts.
protocol::SlotDigest ToWire(const SlotCount& aCount);
SlotCount FromWire(const protocol::SlotDigest& aDigest);

struct Candidate
{
  state::UpstreamRef upstream;
  // No hop, or a hop within the data centre, goes before a longer one.
  int distance = 0;
};

// Below(n) gives a random number in [0, n).
using RandomBelow = std::function<std::uint64_t(std::uint64_t)>;

// The nearest of two random ones with room; where none has room, the one of
// two random ones with the shorter queue. None where there is no candidate.
std::optional<state::UpstreamRef> Choose(
  const std::vector<Candidate>& aCandidates, const RoomView& aRooms,
  const RandomBelow& aRandom);

} // namespace kumquat::coordination
