// Plans which keys move to another upstream, so that no upstream receives many
// more requests than it can run.
//
// The plan is made for this kind of load: within a second, a few adjacent keys
// start to receive a third or more of a service's requests, several times what
// one upstream can run. Assigning equal numbers of keys, or assigning keys by
// hash, leaves all of that load with one upstream. The plan therefore takes the
// fewest keys that carry the excess load of the busiest upstream and moves them
// to the least loaded one.

#pragma once

#include "ownership/assignment.h"

#include <vector>

namespace kumquat::ownership {

// A holder among which the requests are balanced.
struct BalanceHolder
{
  Holder holder;
  // Requests that it can run in a given time, relative to other holders.
  double capacity = 1;
  // False for a cold holder, which must not receive more keys now.
  bool mayReceiveKeys = true;
};

// Moves the keys from `first` to `last`, both included, to another holder.
struct BalanceMove
{
  Key first = 0;
  Key last = 0;
  Holder to;
  // The receiver had no keys.
  bool isToNewHolder = false;
};

// Keys move away from an upstream that receives more than this many times its
// share of the requests. With some 20 requests for each upstream and the
// allowance for random variation, the effective limit is 1.4 times the share.
// At that load, services that run at half of their capacity begin to queue.
inline constexpr double kDefaultOverloadFactor = 1.15;

// What a plan is made from.
struct BalanceInput
{
  // Only ranges that may be split and moved now.
  std::vector<AssignedRange> ranges;
  std::vector<BalanceHolder> holders;
  // Keys of recent requests in ascending order, one entry for each request.
  std::vector<Key> requests;
  // Times its share of requests above which a holder is overloaded.
  double overloadFactor = kDefaultOverloadFactor;
  // Keys move only for a gain that is worth what the move costs their callers,
  // who find no owner for about a request's time: not for an overload that may
  // well be random variation.
  bool weighsCosts = false;
};

// Returns a limited number of moves. Returns none if no move is worthwhile.
std::vector<BalanceMove> PlanMoves(const BalanceInput& aInput);

// Returns a first assignment, in which all holders get equal numbers of keys of
// the part.
Assignment AssignEvenly(std::vector<Holder> aHolders,
                        const KeyPart& aPart = {});

} // namespace kumquat::ownership
