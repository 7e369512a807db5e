// Which hosts guard a host: few changes, spread over data centres.

#pragma once

#include "state/types.h"

#include <vector>

namespace kumquat::coordination {

struct GuardCandidate
{
  state::HostRef ref;
  state::DataCentre dataCentre;
  // Heard of lately and meant to stay. Others are taken only to fill up.
  bool healthy = true;
  bool current = false;
};

// aOthers are all registered hosts but aSelf, healthy or not: a host that
// cannot hear the others must not conclude that it is alone and guard itself.
std::vector<state::HostRef> ChooseGuards(
  const state::HostRef& aSelf, const state::DataCentre& aDataCentre,
  const std::vector<GuardCandidate>& aOthers);

} // namespace kumquat::coordination
