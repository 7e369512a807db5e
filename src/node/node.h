// One host as a whole: its threads, its listeners, and the core between them.
// The daemon is a thin shell around it; others may embed it.

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
  // Listens and starts its threads; the error says which address could not be
  // had.
  // aOnDeposed runs on one of its threads when the other hosts have deposed
  // this run: it starts nothing any more, and only a new run can.
  static Result<std::unique_ptr<Node>> Start(
    const state::Settings& aSettings, std::function<void()> aOnDeposed = {});

  // Stops at once; see Stop for a planned stop.
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // A planned stop: hands over, lets running requests end, and returns when
  // nothing is left or aMost has passed. False where something was left.
  bool Stop(std::chrono::milliseconds aMost);

private:
  class Impl;
  explicit Node(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl;
};

} // namespace kumquat::node
