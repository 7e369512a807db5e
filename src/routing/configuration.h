// The operators' configuration as the request path uses it: which service a
// request goes to, and what its callers were promised.

#pragma once

#include "state/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquat::routing {

enum class RouteKind
{
  // May run more than once.
  kIdempotent,
  // May run at most once for each attempt of a caller.
  kAtMostOnce,
  // Idempotent, with large answers.
  kDownload,
};

constexpr bool IsIdempotent(RouteKind aKind)
{
  return aKind != RouteKind::kAtMostOnce;
}

struct Destination
{
  state::ServiceName service;
  // Its share is its weight over the sum of all weights.
  double weight = 1.0;
};

struct Route
{
  std::string name;
  std::string hostName;
  // Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<Destination> destinations;
  // The longest that a request is kept waiting.
  std::chrono::milliseconds timeout{ 1000 };
  // An answer within it is worth most.
  std::chrono::milliseconds targetLatency{ 1000 };
  // Upstreams that one request may run at.
  int maxAttempts = 1;
  // 0 is the most urgent.
  int priority = 0;
};

struct Service
{
  state::ServiceName name;
  std::string healthPath;
  // Connections that one upstream takes from all hosts together.
  std::size_t maxConnections = 0;
  // Requests a second that a cold upstream bears from all hosts together.
  double coldPerSecond = 0;
  // Its upstreams own keys, and run only requests for keys that they own.
  bool keyed = false;
};

struct CallerLimits
{
  std::size_t maxHeaderBytes = 16U << 10U;
  std::size_t maxBodyBytes = 1U << 20U;
  std::chrono::milliseconds headerTimeout{ 10'000 };
  std::chrono::milliseconds idleTimeout{ 60'000 };
};

struct Configuration
{
  // Rises with each change; 0 where there is none yet.
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  CallerLimits limits;
};

// Finds a request's route: the longest prefix of its host name that begins its
// path. A lookup costs one hash a slash of the path, whatever the number of
// routes.
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(Configuration aConfiguration);

  const Configuration& CurrentConfiguration() const
  {
    return this->configuration;
  }

  // Null where no route matches. aTarget may carry a query.
  const Route* FindRoute(std::string_view aHostName,
                         std::string_view aTarget) const;
  // Null where the configuration has no such service.
  const Service* FindService(const state::ServiceName& aName) const;

private:
  Configuration configuration;
  // By host name, a space, and the prefix; the value is a place in routes.
  std::unordered_map<std::string, std::size_t> byPrefix;
};

} // namespace kumquat::routing
