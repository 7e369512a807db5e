// Tells its listeners of a change, within one thread.

#pragma once

#include <functional>
#include <utility>
#include <vector>

namespace kumquat {

template<typename... Args>
class Channel
{
public:
  using Listener = std::function<void(const Args&...)>;

  // Listeners stay for the channel's life: the modules that listen are built
  // after what they listen to and torn down before it.
  void Listen(Listener aListener)
  {
    this->listeners.push_back(std::move(aListener));
  }

  void Send(const Args&... aArgs) const
  {
    for (const Listener& listener : this->listeners) {
      listener(aArgs...);
    }
  }

private:
  std::vector<Listener> listeners;
};

} // namespace kumquat
