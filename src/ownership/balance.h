// Plans which keys change hands so that no upstream gets much more of the
// requests than it can run.
//
// The load that this answers: a few keys that lie close together get a third
// or more of a service's requests from one second to the next, several times
// what one upstream runs. Even shares of the keys, or shares by hash, leave all
// of them with one upstream. The plan cuts out of the busiest upstream's keys
// the fewest that carry what it has too much, and gives them to the idlest.

#pragma once

#include "ownership/assignment.h"

#include <vector>

namespace kumquat::ownership {

struct BalanceHolder
{
  Holder holder;
  // Requests that it can run in a given time, against the others.
  double capacity = 1;
  // It may be given more keys now; false for a cold or an unsure one.
  bool mayReceiveKeys = true;
};

struct BalanceMove
{
  Key first = 0;
  Key last = 0;
  Holder to;
};

// An upstream is relieved where it gets more than this many times its share.
// With some 20 requests an upstream, and what chance brings, that is 1.4 times
// the share, at which services at half of their capacity begin to queue.
inline constexpr double kDefaultOverloadFactor = 1.15;

struct BalanceInput
{
  // Only ranges that are settled and may be cut.
  std::vector<AssignedRange> ranges;
  std::vector<BalanceHolder> holders;
  // Keys of the requests of the last while, sorted, each as often as it came.
  std::vector<Key> requests;
  double overloadFactor = kDefaultOverloadFactor;
};

// At most a few moves; empty where none is worth its keys.
std::vector<BalanceMove> PlanMoves(const BalanceInput& aQuestion);

// The first assignment: even shares.
Assignment AssignEvenly(const std::vector<Holder>& aHolders);

} // namespace kumquat::ownership
