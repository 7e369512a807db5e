// Limits how many requests of one cell may be at each owner of keys.
//
// It serves a load where several cells send requests to the same owners. Hosts
// of different cells do not report to each other, so each cell would fill an
// owner's slots, and what it cannot run would wait in its own queue, where
// nobody can order or refuse it. A cell's limit starts at the owner's slots and
// one request ahead. It falls by a third when a response shows that requests of
// others wait there, or when the owner refuses as full, and rises by one with
// each response that shows a free slot. So the cells approach equal parts of a
// busy owner without messages, and one cell alone uses all of an idle one.

#pragma once

#include "framework/clock.h"
#include "routing/upstreams.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace kumquat::routing {

// Additive increase, multiplicative decrease, for each owner.
class OwnerWindows
{
public:
  // Whether one more request may be sent to the owner at which aOutstanding
  // requests of this cell are.
  bool IsOpen(const state::UpstreamId& aOwner, int aOutstanding,
              TimePoint aNow) const
  {
    const auto found = this->windows.find(aOwner);
    return found == this->windows.end() ||
           aNow - found->second.heardAt >= kForgetAfter ||
           static_cast<double>(aOutstanding) < found->second.limit;
  }

  // Records the end of an attempt at the owner. aSent is when it started.
  void OnEnded(const UpstreamEntry& aOwner, TimePoint aSent,
               AttemptResult aResult, const std::optional<UpstreamLoad>& aLoad,
               TimePoint aNow)
  {
    const double most = aOwner.slots + kRequestsAhead;
    const bool isFull =
      !aLoad || aLoad->running >= aLoad->slots || aLoad->waiting > 0;
    const bool isBusy = aResult == AttemptResult::kRefused
                          ? isFull
                          : aLoad && aLoad->waiting > kRequestsAhead;
    if (isBusy) {
      this->Lower(aOwner.id, most, aSent, aNow);
      return;
    }
    const auto found = this->windows.find(aOwner.id);
    if (!aLoad || found == this->windows.end()) {
      return;
    }
    found->second.heardAt = aNow;
    found->second.limit += isFull ? 0 : 1;
    if (found->second.limit >= most) {
      this->windows.erase(found);
    }
  }

  // Number of owners with a limit below the highest one.
  std::size_t Count() const { return this->windows.size(); }

private:
  struct Window
  {
    double limit = 0;
    TimePoint loweredAt;
    // When the owner has last reported its load.
    TimePoint heardAt;
  };

  // As many may wait at an owner as a host sends beyond its slots.
  static constexpr int kRequestsAhead = 1;
  static constexpr double kDecrease = 2.0 / 3;
  // Longer than callers wait for a response: the requests that filled the owner
  // have ended by then.
  static constexpr std::chrono::seconds kForgetAfter{ 5 };

  // Attempts that started before the last decrease do not show what it brought.
  void Lower(const state::UpstreamId& aOwner, double aMost, TimePoint aSent,
             TimePoint aNow)
  {
    std::erase_if(this->windows, [aNow](const auto& aItem) {
      return aNow - aItem.second.heardAt >= kForgetAfter;
    });
    Window& window =
      this->windows.try_emplace(aOwner, Window{ aMost, TimePoint::min(), aNow })
        .first->second;
    window.heardAt = aNow;
    if (aSent >= window.loweredAt) {
      window.limit = std::max(1.0, window.limit * kDecrease);
      window.loweredAt = aNow;
    }
  }

  // Only limits that are below the highest one.
  std::map<state::UpstreamId, Window> windows;
};

} // namespace kumquat::routing
