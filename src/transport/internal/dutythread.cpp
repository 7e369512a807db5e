// Handing of work from one duty's thread to another's.

#include "transport/dutythread.h"

#include <thread>
#include <utility>

namespace kumquat::transport {

namespace {

constexpr auto kPause = std::chrono::microseconds(50);

} // namespace

DutyThread::DutyThread(std::size_t aRingSize)
  : ring(aRingSize, [this] {
    this->thread.Post(
      [this] { this->ring.Drain([](Task&& aTask) { std::move(aTask)(); }); });
  })
{
}

bool DutyThread::TryHand(Task& aTask)
{
  if (this->ring.Push(aTask)) {
    return true;
  }
  this->refusals.fetch_add(1, std::memory_order_relaxed);
  return false;
}

void DutyThread::Hand(Task aTask)
{
  while (!this->TryHand(aTask)) {
    if (this->thread.IsStopped()) {
      return;
    }
    std::this_thread::sleep_for(kPause);
  }
}

} // namespace kumquat::transport
