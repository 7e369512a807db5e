// Time as the core sees it: a hook, so that tests hold the clock.

#pragma once

#include <chrono>
#include <functional>

namespace kumquat {

// Monotonic; never compared with another host's.
using TimePoint = std::chrono::steady_clock::time_point;
using Duration = std::chrono::steady_clock::duration;

using Clock = std::function<TimePoint()>;

} // namespace kumquat
