// Chooses the peer that relays a connection to an upstream. Does no I/O.

#pragma once

#include "framework/clock.h"
#include "state/types.h"
#include "transport/dial.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquat::node {

struct RelayCandidates
{
  // Peers in this host's data centre that offer to relay.
  std::vector<transport::RelayPeer> near;
  // Peers in other data centres that offer it, or of which nothing is known.
  std::vector<transport::RelayPeer> far;
};

class RelayChoice
{
public:
  using RandomBelow = std::function<std::size_t(std::size_t)>;

  RelayChoice(Clock aClock, RandomBelow aRandom);

  // A near peer if there is one, and after a failed try rather one that is far,
  // as all near ones may lack the same links. Which one is drawn at random, so
  // that the work of many hosts is spread evenly.
  std::optional<transport::RelayPeer> Choose(
    const RelayCandidates& aCandidates, const std::set<std::string>& aTried);
  // The peer could not be reached or refused to relay. It is not chosen for a
  // while.
  void OnLost(const state::HostId& aHost);

private:
  std::optional<transport::RelayPeer> Draw(
    std::vector<transport::RelayPeer> aPeers,
    const std::set<std::string>& aTried);

  const Clock clock;
  const RandomBelow random;
  // Until when each peer is not chosen.
  std::map<state::HostId, TimePoint> avoidedUntil;
};

} // namespace kumquat::node
