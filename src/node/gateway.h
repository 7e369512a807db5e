// One host of a platform that keeps versioned rows: callers' requests go from
// here straight to the upstreams, and the store has all that must last. Every
// host runs the same; none is set aside for control.

#pragma once

#include "framework/result.h"
#include "state/settings.h"

#include <chrono>
#include <memory>

namespace kumquat::node {

class Gateway
{
public:
  // Listens and starts its threads; the error says that an address could not
  // be had.
  static Result<std::unique_ptr<Gateway>> Start(
    const state::GatewaySettings& aSettings);

  // Stops at once; see Stop for a planned stop.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Newer settings; within a run only the grace changes. This, the next and
  // Stop are for one thread.
  void Reload(const state::GatewaySettings& aSettings);
  // The text that was to be reloaded is not sound; the settings stay.
  void OnReloadFailed(const std::string& aFault);

  // A planned stop: takes no new callers, answers what is there, and returns
  // when nothing is left or the grace is nearly over. False where requests
  // were left.
  bool Stop();

private:
  class Impl;
  explicit Gateway(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl;
};

} // namespace kumquat::node
