// A list of callbacks that are called for every change, within one thread.

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

  // Adds a listener for the channel's lifetime. There is no removal: a module
  // that listens is constructed after the module that it listens to and
  // destroyed before it.
  void Listen(Listener aListener)
  {
    this->listeners.push_back(std::move(aListener));
  }

  // Calls all listeners, in the order in which they were added.
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
