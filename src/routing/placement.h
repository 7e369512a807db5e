// Chooses the upstream that a request is sent to, from what one host knows.

#pragma once

#include "framework/clock.h"
#include "routing/upstreams.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace kumquat::routing {

using RandomBelow = std::function<std::size_t(std::size_t)>;

struct PlacementContext
{
  TimePoint now;
  // The host's own.
  state::DataCentre dataCentre;
  // Upstreams that this request was at already.
  std::vector<state::UpstreamId> tried;
  // Of the request and its answer, as far as they are known: bytes between
  // data centres are paid for.
  double bytes = 0;
  // What a request of this service takes where nothing is known, in
  // milliseconds.
  double typicalMs = 100;
};

// How long a request sent now would take there, in milliseconds: the wait for a
// slot and its own time.
double ExpectedMs(const UpstreamState& aUpstream,
                  const PlacementContext& aQuestion);

// More work than this there would only wait: it is kept at the host, where the
// most urgent goes first and what is too late is told so.
bool HasCapacity(const UpstreamState& aUpstream, TimePoint aNow);

// Null where none has room. Of a few candidates drawn at random the one with
// the shortest expected time is taken: what a host knows of its peers' requests
// is up to a digest old, and if all took the best they would meet there.
const UpstreamState* ChooseUpstream(
  const std::vector<UpstreamState*>& aCandidates,
  const PlacementContext& aQuestion, const RandomBelow& aRandom);

} // namespace kumquat::routing
