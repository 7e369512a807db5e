// A bounded queue between two duties' threads. A full ring refuses: the
// producer counts the refusal and answers it, nothing waits and nothing grows.

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
  // aWake is called from the producer's thread when the consumer has to be
  // told that Drain is due; it must be safe to call from any thread.
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

  // False where the ring is full; the item is then left with the caller.
  [[nodiscard]] bool Push(T& aItem)
  {
    auto owned = std::make_unique<T>(std::move(aItem));
    if (!this->queue.bounded_push(owned.get())) {
      aItem = std::move(*owned);
      return false;
    }
    static_cast<void>(owned.release());
    // A consumer that is already told drains this item too: it lowers the
    // flag before it starts to drain.
    if (!this->told.exchange(true)) {
      this->wake();
    }
    return true;
  }

  // Consumer's thread only. Takes at most aMost items, so that one ring does
  // not starve the consumer's other work; a rest wakes the consumer again.
  void Drain(const std::function<void(T&&)>& aConsume, std::size_t aMost = 256)
  {
    this->told.store(false);
    T* item = nullptr;
    std::size_t taken = 0;
    while (taken < aMost && this->queue.pop(item)) {
      const std::unique_ptr<T> owned(item);
      aConsume(std::move(*owned));
      ++taken;
    }
    if (taken == aMost && !this->told.exchange(true)) {
      this->wake();
    }
  }

private:
  boost::lockfree::queue<T*, boost::lockfree::fixed_sized<true>> queue;
  std::function<void()> wake;
  std::atomic<bool> told{ false };
};

} // namespace kumquat
