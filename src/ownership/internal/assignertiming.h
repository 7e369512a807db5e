// Times that more than one part of the assigner goes by.

#pragma once

#include <chrono>

namespace kumquat::ownership {

inline constexpr std::chrono::milliseconds kPlanInterval{ 400 };
// Requests of so long are weighed; some 300 at 130 a second.
inline constexpr std::chrono::milliseconds kRequestWindow{ 2500 };

} // namespace kumquat::ownership
