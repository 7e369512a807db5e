// The bodies of the control calls to upstreams; docs/PROTOCOLS.md has them.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace kumquat::coordination {

// What an upstream said about a fence. Members that it left out keep the value
// that asks for more care.
struct FenceAnswer
{
  state::Epoch epoch = 0;
  state::Incarnation incarnation = 0;
  bool checksFence = false;
  // The sequence of each grant that is in force there, by part.
  std::map<std::string, std::int64_t> granted;
};

std::string FenceBody(const state::HostRef& aSteward, state::Epoch aEpoch);
std::string GrantBody(const state::SliceRecord& aSlice, state::Epoch aEpoch,
                      std::int64_t aSequence, Duration aTerm,
                      std::optional<std::int64_t> aAsOfMillis);
std::string RevokeBody(const state::SliceRecord& aSlice, state::Epoch aEpoch);

// Nothing where the body is no such answer.
std::optional<FenceAnswer> ParseFenceAnswer(const std::string& aBody);

// The upstream's own monotonic clock, in milliseconds, as every control answer
// tells it; nothing where it does not.
std::optional<std::int64_t> ParseClock(const std::string& aBody);

} // namespace kumquat::coordination
