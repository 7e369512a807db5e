// The hosts that let an assigner go on without the store. They are stored with
// the assignment, so an assigner and its successors count the same ones, and
// time or silence proves nothing about who belongs to them.
//
// An assigner whose claim cannot be confirmed renews leases only while more
// than half of its quorum hosts use its map. A host that has restarted may use
// the map of an earlier assigner again, so only the incarnations count that
// are stored. A successor reads which hosts these are. Once half of them use
// its map, its predecessor has lost the others' majority for good.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <cstddef>
#include <limits>
#include <string_view>
#include <vector>

namespace kumquat::ownership {

struct PeerStatus;

// In ascending order, each host once.
using QuorumHosts = std::vector<state::HostRef>;

// An assigner that may still renew leases, and the hosts that let it do so.
struct EarlierAssigner
{
  state::HostRef host;
  QuorumHosts quorumHosts;
  // Its claim was for a part of an earlier layout.
  bool isOfEarlierPart = false;

  friend bool operator==(const EarlierAssigner&,
                         const EarlierAssigner&) = default;
};

// The number of followers that an assigner would need which may not renew
// leases any more.
inline constexpr std::size_t kNoQuorum =
  std::numeric_limits<std::size_t>::max();

// How many of its quorum hosts must use an assigner's map so that it may renew
// leases, when its claim was confirmed so long ago.
std::size_t RequiredFollowers(std::size_t aHosts, Duration aUnconfirmed);

// What decides which hosts an assigner counts from its next write on.
struct QuorumChoice
{
  // Those that are stored now.
  const QuorumHosts& current;
  const std::vector<PeerStatus>& peers;
  state::HostRef self;
  std::string_view part;
  TimePoint now;
  // When this host started. Before, it heard of nobody.
  TimePoint startedAt;
};

// This host, and up to 59 others. Hosts that were heard lately are added; those
// that leave, or are silent for five minutes, are removed.
QuorumHosts ChooseQuorumHosts(const QuorumChoice& aChoice);

} // namespace kumquat::ownership
