// What one daemon process is told on start, in JSON.

#pragma once

#include "state/configuration.h"
#include "state/types.h"

#include <chrono>
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

// Whether requests for keys pass through the proxies of the keys' owners.
enum class ProxyUse
{
  kNever,
  // Where hosts meet owners too seldom; see routing::CallsForProxies.
  kWhereSeldomMet,
  // Whatever the number of hosts and owners. For tests: no text asks for it.
  kAlways,
};

// Settings of a host whose platform keeps versioned rows: upstreams register
// and operators write in that store, and nothing else has to be named.
struct GatewaySettings
{
  HostId host;
  DataCentre dataCentre;
  // Addresses as "ip:port".
  std::string callerAddress;
  // Answers whether this host takes callers.
  std::string readyAddress;
  std::string peerAddress;
  // Where peers ask for relays to upstreams. Empty: this host relays nothing.
  std::string relayAddress;
  std::string metricsAddress;
  std::string storeAddress;
  // The longest that upstreams hold keys without a renewal.
  std::chrono::milliseconds maxLease{ 10'000 };
  // From the signal to stop until the process is killed.
  std::chrono::milliseconds grace{ 6'000 };
  // What the platform allows to be sent once more, over all hosts: a share of
  // the requests for a service, and so many beside.
  double resendShare = 0.2;
  double resendExtra = 20;
  // The limits of teams bind for each span of this length.
  std::chrono::milliseconds quotaWindow{ 5'000 };
  std::size_t maxConnections = 3000;
  // A process that exceeds it is killed.
  std::size_t memoryBytes = 256U << 20U;
  // That this host may use. In large deployments those with more are asked
  // first to assign keys and to pass on news.
  double processors = 1;
  // All hosts of the deployment start for the first time, within moments.
  bool isFirstStart = false;
  ProxyUse proxyUse = ProxyUse::kNever;
  // Upstreams that start or recover get their requests at a pace that their
  // answers decide.
  bool pacesStartingUpstreams = false;
  std::string logLevel = "info";
};

using CheckedGatewaySettings =
  std::variant<GatewaySettings, std::vector<TextFault>>;

// Whether the text is that of a gateway: it names a store.
bool IsGatewayText(std::string_view aText);

CheckedGatewaySettings ParseGatewaySettings(std::string_view aText);

std::string PrintSettings(const GatewaySettings& aSettings);

using CheckedSettings = std::variant<Settings, std::vector<TextFault>>;

// Unknown names, missing ones and values out of bounds are faults; all are
// listed.
CheckedSettings ParseSettings(std::string_view aText);

std::string PrintSettings(const Settings& aSettings);

} // namespace kumquat::state
