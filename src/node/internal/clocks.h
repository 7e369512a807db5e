// The clocks of a running host.

#pragma once

#include "framework/clock.h"

#include <chrono>
#include <ctime>

namespace kumquat::node {

// The steady clock. It does not count time while the host was suspended; see
// BootTime.
inline TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

// Also counts the time while the host was suspended, which the steady clock
// does not: what has expired by this clock has expired for other hosts too.
inline TimePoint BootTime()
{
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(std::chrono::seconds(time.tv_sec) +
                   std::chrono::nanoseconds(time.tv_nsec));
}

// Time since 1970; it may jump when the system clock is set.
inline std::chrono::milliseconds UnixTime()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace kumquat::node
