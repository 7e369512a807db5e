// One duty's thread: an event loop, and the bounded ring by which other duties
// hand it work.
//
// Who may wait for whom: the coordination thread waits for the callers' one,
// the upstreams' and the platform's wait for coordination. The callers' thread
// never waits, and coordination waits for nobody else, so that no two wait for
// each other.

#pragma once

#include "framework/ring.h"
#include "transport/iothread.h"

#include <absl/functional/any_invocable.h>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace kumquat::transport {

class DutyThread
{
public:
  using Task = absl::AnyInvocable<void()>;

  explicit DutyThread(std::size_t aRingSize);
  DutyThread(const DutyThread&) = delete;
  DutyThread& operator=(const DutyThread&) = delete;

  boost::asio::io_context& Context() { return this->thread.Context(); }
  void Start(std::string aName) { this->thread.Start(std::move(aName)); }
  void Stop() { this->thread.Stop(); }

  // False where the ring is full; aTask is then left as it was, and the caller
  // answers for it.
  [[nodiscard]] bool TryHand(Task& aTask);
  // Waits for room; see above for who may.
  void Hand(Task aTask);

  // Times that the ring was found full.
  std::uint64_t Refusals() const { return this->refusals.load(); }

private:
  IoThread thread;
  Ring<Task> ring;
  std::atomic<std::uint64_t> refusals{ 0 };
};

} // namespace kumquat::transport
