// What a host and the lender of team quotas say to each other. The lender is
// the one host that hands out the quotas' tokens, one for each run of a
// request; see QuotaLender and QuotaBorrower.

#pragma once

#include "admission/team.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace kumquat::admission {

// A host's need of one team's tokens.
struct QuotaDemand
{
  TeamName team;
  // Unused tokens that the host has.
  int stock = 0;
  // Requests that wait for a token.
  int needed = 0;
  // Tokens to have in stock beyond that.
  int wanted = 0;
  // Requests of the team that arrive at the host, per second.
  double perSecond = 0;
  // See QuotaGrant; 0 if the host has none.
  double share = 0;
};

struct QuotaAsk
{
  // Ascends, also over restarts of the host.
  std::int64_t number = 0;
  // Number of the last reply that the host has received from this lender; 0 if
  // there is none.
  std::int64_t lastReply = 0;
  // Time since the host last received a token from any lender, or since its
  // start.
  std::chrono::milliseconds sinceLastGrant{ 0 };
  // Whether the host has a share of any team's rate.
  bool hasShares = false;
  std::vector<QuotaDemand> demands;
};

struct QuotaGrant
{
  TeamName team;
  int tokens = 0;
  // The part of the team's rate that the host may use by itself while it can't
  // reach a lender; 0 to 1.
  double share = 0;
  // Time until the lender has the next token for those that still wait.
  std::chrono::milliseconds untilNext{ 0 };
};

struct QuotaReply
{
  // That of the ask.
  std::int64_t number = 0;
  // Whether the sender lends; otherwise there are no grants.
  bool isLending = false;
  std::vector<QuotaGrant> grants;
};

} // namespace kumquat::admission
