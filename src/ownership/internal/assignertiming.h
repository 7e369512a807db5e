// Intervals that several source files of the assigner use.

#pragma once

#include <chrono>

namespace kumquat::ownership {

// Time between two plans of changes to the assignment.
inline constexpr std::chrono::milliseconds kPlanInterval{ 400 };
// A grant for which no connection is there after this time is not sent.
inline constexpr std::chrono::milliseconds kMaxSendDelay{ 100 };
// Longest time that a grant takes to reach its upstream, including one
// retransmission.
inline constexpr std::chrono::milliseconds kMaxGrantDelay{ 300 };
// Requests of this last period are balanced: some 300 at 130 a second.
inline constexpr std::chrono::milliseconds kRequestWindow{ 2500 };
// Pause after a write that the store refused for good. The next one may be
// different, as upstreams have changed.
inline constexpr std::chrono::milliseconds kRefusedWritePause{ 10'000 };

} // namespace kumquat::ownership
