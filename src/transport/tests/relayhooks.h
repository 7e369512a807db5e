// Hooks of a client that connects through one relay.

#pragma once

#include "transport/dial.h"

#include <chrono>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace kumquat::transport::tests {

inline std::shared_ptr<DialHooks> MakeRelayHooks(
  const std::string& aRelayAddress)
{
  auto hooks = std::make_shared<DialHooks>();
  hooks->plan = [](const std::string&) {
    return DialPlan{ false, std::chrono::milliseconds(0) };
  };
  hooks->chooseRelay = [aRelayAddress](const std::set<std::string>& aTried) {
    return aTried.empty() ? std::optional(RelayPeer{ "peer", aRelayAddress })
                          : std::nullopt;
  };
  hooks->onOutcome = [](const std::string&, DialOutcome, TimePoint) {};
  hooks->onRelayLost = [](const std::string&) {};
  hooks->mayReuse = [](const std::string&, const std::string&, TimePoint) {
    return true;
  };
  hooks->takeProbe = [](const std::string&) { return false; };
  return hooks;
}

} // namespace kumquat::transport::tests
