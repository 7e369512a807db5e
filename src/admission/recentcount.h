// Counts what happened within a span of time that ends now.

#pragma once

#include "framework/clock.h"

#include <chrono>
#include <deque>
#include <utility>

namespace kumquat::admission {

class RecentCount
{
public:
  void Add(double aCount, TimePoint aNow)
  {
    // Counts of this time are kept as one, dated to its end.
    constexpr std::chrono::milliseconds kSlot{ 100 };
    if (this->slots.empty() || this->slots.back().first < aNow) {
      this->slots.emplace_back(aNow + kSlot, 0);
    }
    this->slots.back().second += aCount;
    this->sum += aCount;
  }

  // The count of the last aSpan; a little more, as slots are whole.
  double Within(Duration aSpan, TimePoint aNow) const
  {
    double count = this->sum;
    for (auto slot = this->slots.begin();
         slot != this->slots.end() && aNow - slot->first >= aSpan; ++slot) {
      count -= slot->second;
    }
    return count;
  }

  // Forgets what is longer ago than aSpan.
  void Forget(Duration aSpan, TimePoint aNow)
  {
    while (!this->slots.empty() && aNow - this->slots.front().first >= aSpan) {
      this->sum -= this->slots.front().second;
      this->slots.pop_front();
    }
  }

private:
  std::deque<std::pair<TimePoint, double>> slots;
  double sum = 0;
};

} // namespace kumquat::admission
