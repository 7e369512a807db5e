// Limits how many requests of one service a host may have running at other
// cells' upstreams (spillover).
//
// It serves a load where callers of one data centre send many requests while
// other data centres are idle. A cell whose own upstreams are full may then use
// those of other cells, of which it knows only what their responses report. The
// limit starts at one request. Each response that shows a free upstream raises
// it by one, and one from a busy upstream halves it. So a burst in one place
// spreads within the time of a few responses, and an overload of all cells ends
// with each cell at its own upstreams, where its counts are exact.

#pragma once

#include "framework/clock.h"

#include <algorithm>
#include <chrono>

namespace kumquat::routing {

// Additive increase, multiplicative decrease.
class SpilloverWindow
{
public:
  // Whether one more request may be sent now.
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
    // About one request's time at the upstreams; until then requests use other
    // upstreams or wait.
    constexpr std::chrono::milliseconds kPause{ 150 };
    --this->running;
    if (aBusy) {
      this->limit = std::max(1.0, this->limit / 2);
      this->pausedUntil = aNow + kPause;
    } else {
      this->limit = std::min(kMost, this->limit + 1);
    }
  }

  // Limit on the requests that may run there at once.
  double Limit() const { return this->limit; }

private:
  int running = 0;
  double limit = 1;
  TimePoint pausedUntil;
};

} // namespace kumquat::routing
