// Ring: a bounded lock-free queue between the threads of two duties (components
// with a thread of their own). When it is full, Push fails at once: the
// producer counts the refusal and responds to it. Nothing blocks, and memory is
// bounded.

#pragma once

#include <boost/lockfree/queue.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace kumquat {

template<typename T>
class Ring
{
public:
  // aWake must cause the consumer's thread to call Drain. It is called on a
  // producer's thread, or on the consumer's when Drain leaves items in the
  // ring, so it must be thread-safe.
  Ring(std::size_t aCapacity, std::function<void()> aWake)
    : queue(aCapacity)
    , wake(std::move(aWake))
  {
  }

  Ring(const Ring&) = delete;
  Ring& operator=(const Ring&) = delete;

  ~Ring()
  {
    this->queue.consume_all([](T* aItem) { delete aItem; });
  }

  // Returns false if the ring is full; aItem then still holds the item.
  // Otherwise the item is moved out of it. Safe from any thread.
  [[nodiscard]] bool Push(T& aItem)
  {
    auto owned = std::make_unique<T>(std::move(aItem));
    if (!this->queue.bounded_push(owned.get())) {
      aItem = std::move(*owned);
      return false;
    }
    static_cast<void>(owned.release());
    // No second wake-up while one is pending: Drain clears the flag before it
    // starts, so the pending call drains this item too.
    if (!this->wakePending.exchange(true)) {
      this->wake();
    }
    return true;
  }

  // Passes the queued items to aConsume, on the consumer's thread only. It
  // takes at most aMaxItems, so that one ring does not starve the consumer's
  // other work; after that many it wakes the consumer again for the remaining
  // ones.
  void Drain(const std::function<void(T&&)>& aConsume,
             std::size_t aMaxItems = 256)
  {
    this->wakePending.store(false);
    T* item = nullptr;
    std::size_t taken = 0;
    while (taken < aMaxItems && this->queue.pop(item)) {
      const std::unique_ptr<T> owned(item);
      aConsume(std::move(*owned));
      ++taken;
    }
    if (taken == aMaxItems && !this->wakePending.exchange(true)) {
      this->wake();
    }
  }

private:
  boost::lockfree::queue<T*, boost::lockfree::fixed_sized<true>> queue;
  std::function<void()> wake;
  std::atomic<bool> wakePending{ false };
};

} // namespace kumquat
