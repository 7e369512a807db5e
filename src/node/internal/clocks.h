// The clocks of a running host.

#pragma once

#include "framework/clock.h"

#include <chrono>

namespace kumquat::node {

inline TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

// Since 1970; may jump.
inline std::chrono::milliseconds UnixTime()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace kumquat::node
