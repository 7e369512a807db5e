// What one daemon process is told on start, in JSON.

#pragma once

#include "state/configuration.h"
#include "state/types.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquat::state {

struct Settings
{
  HostId host;
  DataCentre dataCentre;
  // Addresses as "ip:port".
  std::string callerAddress;
  std::string peerAddress;
  std::string operatorAddress;
  // Where peers are told to connect to, if not peerAddress: a relay or NAT
  // stands between. Optional.
  std::string advertisedPeerAddress;
  std::string tableAddress;
  std::string objectAddress;
  std::string listAddress;
  // Operators' requests carry it as a bearer token.
  std::string operatorToken;
  std::size_t ringSize = 4096;
  std::size_t maxConnections = 4096;
  // "trace", "debug", "info", "warn", "error".
  std::string logLevel = "info";
  bool logJson = false;
};

using CheckedSettings = std::variant<Settings, std::vector<TextFault>>;

// Unknown names, missing ones and values out of bounds are faults; all are
// listed.
CheckedSettings ParseSettings(std::string_view aText);

std::string PrintSettings(const Settings& aSettings);

} // namespace kumquat::state
