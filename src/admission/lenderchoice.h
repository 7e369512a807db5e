// Chooses the host that lends the teams' quotas. Every host makes the choice by
// itself, from what it has heard; the lender itself needs more than half of the
// hosts, so a wrong choice costs time and never exceeds a quota.

#pragma once

#include "state/types.h"

#include <algorithm>
#include <optional>
#include <tuple>
#include <vector>

namespace kumquat::admission {

// A host that this one reaches.
struct LenderCandidate
{
  state::HostId host;
  // The host says that it lends.
  bool isLending = false;
  // Larger hosts are preferred.
  double preference = 0;
};

// A host that lends already keeps the duty even if a better one has returned:
// each change leaves the hosts without a lender for a second.
inline std::optional<state::HostId> ChooseLender(
  const std::vector<LenderCandidate>& aCandidates)
{
  const auto best =
    std::ranges::max_element(aCandidates, {}, [](const LenderCandidate& aOne) {
      return std::tie(aOne.isLending, aOne.preference, aOne.host);
    });
  return best == aCandidates.end() ? std::nullopt : std::optional(best->host);
}

} // namespace kumquat::admission
