// Chooses the upstream that a request is sent to, from what this host knows of
// the upstreams.

#pragma once

#include "framework/clock.h"
#include "routing/upstreams.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace kumquat::routing {

// Returns a random number from 0 to below its argument.
using RandomBelow = std::function<std::size_t(std::size_t)>;

// What the choice depends on beside the upstreams themselves.
struct PlacementContext
{
  TimePoint now;
  // This host's own data centre.
  state::DataCentre dataCentre;
  // Upstreams that must not be chosen, as the request was sent to them before.
  std::vector<state::UpstreamId> tried;
  // Bytes of the request and its response, as far as they are known. Traffic
  // between data centres is charged.
  double bytes = 0;
  // What a request of this service is assumed to take where nothing is known,
  // in milliseconds.
  double typicalMs = 100;
  // The request's work relative to that; see WorkTimes.
  double work = 1;
};

// How long a request sent now would take at the upstream, in milliseconds: the
// wait for a slot and its own time.
double ExpectedMs(const UpstreamState& aUpstream,
                  const PlacementContext& aContext);

// Whether the upstream may be sent another request now. Beyond that a request
// would only wait there. It waits at the host instead, where the highest
// priority goes first and a request that would be too late is refused.
bool HasCapacity(const UpstreamState& aUpstream, TimePoint aNow);

// Returns the best upstream for a request, or null if none has capacity. Among
// the candidates that are considered, some of them drawn at random, the one
// with the shortest expected time is chosen. What a host knows of its peers'
// requests is up to one digest old, and if all hosts chose the best upstream
// they would overload it.
const UpstreamState* ChooseUpstream(
  const std::vector<UpstreamState*>& aCandidates,
  const PlacementContext& aContext, const RandomBelow& aRandom);

} // namespace kumquat::routing
