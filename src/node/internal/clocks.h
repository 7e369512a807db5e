// The clocks of a running host.

#pragma once

#include "framework/clock.h"

#include <chrono>
#include <ctime>

namespace kumquat::node {

inline TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

// Counts the time that the host was suspended, which the steady clock does not:
// what expires by this clock has expired for others too.
inline TimePoint BootTime()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

// Since 1970; may jump.
inline std::chrono::milliseconds UnixTime()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace kumquat::node
