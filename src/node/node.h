// One host on a platform with a table, an object store and endpoint lists: its
// threads, its listeners, and the coordination between them. The daemon only
// wraps it; other programs may embed it.

#pragma once

#include "framework/result.h"
#include "state/settings.h"

#include <chrono>
#include <functional>
#include <memory>

namespace kumquat::node {

class Node
{
public:
  // Listens on all addresses and starts the threads. Returns an error if it
  // can't listen on an address.
  // aOnDeposed runs on one of its threads when the other hosts have deposed
  // this incarnation: it accepts no more work, and only a restarted process
  // does.
  static Result<std::unique_ptr<Node>> Start(
    const state::Settings& aSettings, std::function<void()> aOnDeposed = {});

  // Stops immediately, without waiting for running requests; see Stop for a
  // planned stop.
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Performs a planned stop: hands over to other hosts, lets running requests
  // end, and returns when none is left or after aTimeout. False if something
  // was left.
  bool Stop(std::chrono::milliseconds aTimeout);

private:
  class Impl;
  explicit Node(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl;
};

} // namespace kumquat::node
