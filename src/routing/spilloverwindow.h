// How many requests a host may have running outside its cell, of one service.
//
// The load that this answers: callers of one data centre press while others are
// idle. A cell whose own upstreams are full may then use those of other cells,
// of which it knows nothing but what their answers say. It begins with one
// request; each answer that shows a free upstream allows one more, and one from
// a busy upstream halves them. So a burst in one place spreads within a few
// answers' time, and an overload of all ends with each cell at home, where its
// counts are exact.

#pragma once

#include "framework/clock.h"

#include <algorithm>
#include <chrono>

namespace kumquat::routing {

class SpilloverWindow
{
public:
  bool IsOpen(TimePoint aNow) const
  {
    return static_cast<double>(this->running) < this->limit &&
           aNow >= this->pausedUntil;
  }

  void OnSent() { ++this->running; }

  // aBusy: requests waited there, or it refused or failed.
  void OnEnded(bool aBusy, TimePoint aNow)
  {
    // More than any host can have waiting for one service.
    constexpr double kMost = 64;
    // About one request's time at the upstreams: others are asked meanwhile.
    constexpr std::chrono::milliseconds kPause{ 150 };
    --this->running;
    if (aBusy) {
      this->limit = std::max(1.0, this->limit / 2);
      this->pausedUntil = aNow + kPause;
    } else {
      this->limit = std::min(kMost, this->limit + 1);
    }
  }

  // Requests that may run there at once.
  double Limit() const { return this->limit; }

private:
  int running = 0;
  double limit = 1;
  TimePoint pausedUntil;
};

} // namespace kumquat::routing
