// The ramp of one upstream's slots.

#include "coordination/slotramp.h"

#include <algorithm>
#include <chrono>

namespace kumquat::coordination {

namespace {

using std::chrono::milliseconds;

// Answers in time before one more request may run beside the others.
constexpr int kGoodPerStep = 2;
// So many failures in a row, and the upstream is left alone for a while.
constexpr int kFailuresBeforePause = 3;
constexpr milliseconds kFirstPause{ 100 };
constexpr milliseconds kLongestPause{ 1000 };
constexpr int kMostDoublings = 4;

} // namespace

SlotRamp::SlotRamp(int aSlots)
  : slots(aSlots)
{
}

void SlotRamp::Reset()
{
  this->allowed = 1;
  this->goodInRow = 0;
  this->failuresInRow = 0;
  this->resumeAt = TimePoint();
}

void SlotRamp::StartAt(int aAllowed)
{
  this->allowed = std::clamp(aAllowed, this->allowed, this->slots);
}

void SlotRamp::OnGood(bool aCold)
{
  this->failuresInRow = 0;
  if (aCold) {
    this->allowed = 1;
    this->goodInRow = 0;
    return;
  }
  if (this->allowed == this->slots) {
    return;
  }
  ++this->goodInRow;
  if (this->goodInRow >= kGoodPerStep) {
    ++this->allowed;
    this->goodInRow = 0;
  }
}

void SlotRamp::OnShed(int aRunning)
{
  this->allowed = std::clamp(aRunning, 1, this->allowed);
  this->goodInRow = 0;
}

void SlotRamp::OnFailure(TimePoint aNow)
{
  this->goodInRow = 0;
  this->allowed = std::max(1, this->allowed / 2);
  ++this->failuresInRow;
  if (this->failuresInRow < kFailuresBeforePause) {
    return;
  }
  const int doublings =
    std::min(this->failuresInRow - kFailuresBeforePause, kMostDoublings);
  this->resumeAt =
    aNow + std::min(kFirstPause * (1 << doublings), kLongestPause);
}

void SlotRamp::SetSlots(int aSlots)
{
  this->slots = aSlots;
  this->allowed = std::min(this->allowed, this->slots);
}

int SlotRamp::Allowed(TimePoint aNow) const
{
  return this->IsLeftAlone(aNow) ? 0 : this->allowed;
}

bool SlotRamp::IsLeftAlone(TimePoint aNow) const
{
  return aNow < this->resumeAt;
}

} // namespace kumquat::coordination
