// The clock as a hook. A hook is a callback that a component gets at its
// construction and calls instead of the system, so that tests can replace it;
// here, so that they control the time.

#pragma once

#include <chrono>
#include <functional>

namespace kumquat {

// A point in time on this process's monotonic clock. It is never compared with
// that of another host.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

// Returns the current time.
using Clock = std::function<TimePoint()>;

} // namespace kumquat
