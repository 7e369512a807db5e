// A host on a platform whose store keeps versioned rows. It forwards callers'
// requests directly to the upstreams and keeps all durable state in the store.
// All hosts run the same code; there is no separate control plane.

#pragma once

#include "framework/result.h"
#include "state/settings.h"

#include <chrono>
#include <memory>

namespace kumquat::node {

class Gateway
{
public:
  // Listens on all addresses and starts the threads. Returns an error if it
  // can't listen on an address.
  static Result<std::unique_ptr<Gateway>> Start(
    const state::GatewaySettings& aSettings);

  // Stops immediately, without waiting for running requests; see Stop for a
  // planned stop.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Applies reloaded settings. Only the grace period can change while the host
  // runs. Reload, OnReloadFailed and Stop must be called from one thread.
  void Reload(const state::GatewaySettings& aSettings);
  // Logs that the settings to be reloaded are invalid; the old ones stay in
  // force.
  void OnReloadFailed(const std::string& aError);

  // Performs a planned stop: accepts no new callers, responds to the requests
  // it has, and returns when none is left or the grace period is nearly over.
  // False if requests were left.
  bool Stop();

private:
  class Impl;
  explicit Gateway(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl;
};

} // namespace kumquat::node
