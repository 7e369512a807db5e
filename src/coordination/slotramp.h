// How many requests one upstream may run at once: one while it starts cold,
// more as its answers come back in time, fewer as they fail.

#pragma once

#include "framework/clock.h"

namespace kumquat::coordination {

class SlotRamp
{
public:
  explicit SlotRamp(int aSlots);

  // The upstream is new, or back from a restart: nothing is known of it.
  void Reset();
  // The steward before this one had come to allow that many.
  void StartAt(int aAllowed);
  void OnGood(bool aCold);
  // It refused as full: it bears less than we sent.
  void OnShed(int aRunning);
  // It broke, timed out or could not be reached.
  void OnFailure(TimePoint aNow);
  void SetSlots(int aSlots);

  // 0 while the upstream is left alone after failures.
  int Allowed(TimePoint aNow) const;
  bool IsLeftAlone(TimePoint aNow) const;

private:
  int slots;
  // 1 <= allowed <= slots.
  int allowed = 1;
  int goodInRow = 0;
  int failuresInRow = 0;
  TimePoint resumeAt;
};

} // namespace kumquat::coordination
