// Names of hosts for tests.

#pragma once

#include "state/types.h"

#include <cstddef>
#include <string>
#include <vector>

namespace kumquat::routing {

inline std::vector<state::HostId> HostNames(int aCount)
{
  std::vector<state::HostId> hosts;
  hosts.reserve(static_cast<std::size_t>(aCount));
  for (int i = 0; i < aCount; ++i) {
    hosts.push_back({ "h" + std::to_string(i) });
  }
  return hosts;
}

} // namespace kumquat::routing
