// The most events within any span of time of a given length.

#pragma once

#include "framework/clock.h"

#include <algorithm>
#include <cstddef>
#include <span>

namespace kumquat {

// aTimes ascend.
inline std::ptrdiff_t MostInSpan(std::span<const TimePoint> aTimes,
                                 Duration aSpan)
{
  std::ptrdiff_t most = 0;
  for (auto first = aTimes.begin(); first != aTimes.end(); ++first) {
    most = std::max(
      most, std::lower_bound(first, aTimes.end(), *first + aSpan) - first);
  }
  return most;
}

} // namespace kumquat
