// The operators' configuration as the request path uses it: the service that a
// request goes to, and the times and limits that hold for its caller.

#pragma once

#include "admission/teamdirectory.h"
#include "state/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquat::routing {

enum class RouteKind
{
  // May run more than once.
  kIdempotent,
  // May run at most once per attempt of a caller.
  kAtMostOnce,
  // Idempotent, with large responses.
  kDownload,
  // May run at most once per attempt of a caller, with large requests.
  kUpload,
};

constexpr bool IsIdempotent(RouteKind aKind)
{
  return aKind == RouteKind::kIdempotent || aKind == RouteKind::kDownload;
}

// Whether requests or responses are large.
constexpr bool IsLarge(RouteKind aKind)
{
  return aKind == RouteKind::kDownload || aKind == RouteKind::kUpload;
}

// A service that a route's requests may go to.
struct Destination
{
  state::ServiceName service;
  // The service's share of the requests is its weight divided by the sum of all
  // weights.
  double weight = 1.0;
};

// The requests for one host name and path prefix, and what holds for them.
struct Route
{
  std::string name;
  std::string hostName;
  // Begins and ends with a slash.
  std::string prefix;
  RouteKind kind = RouteKind::kIdempotent;
  std::vector<Destination> destinations;
  // The longest time from a request's arrival to its response; a caller may set
  // a shorter one.
  std::chrono::milliseconds timeout{ 1000 };
  // A response within this time is worth most.
  std::chrono::milliseconds targetLatency{ 1000 };
  // Limit on the upstreams at which one request may run.
  int maxAttempts = 1;
  // 0 is the highest priority.
  int priority = 0;
  // Whether its requests need no API key.
  bool isPublic = false;
};

struct Service
{
  state::ServiceName name;
  std::string healthPath;
  // Connections that one upstream accepts from all hosts together.
  std::size_t maxConnections = 0;
  // Requests per second that a cold upstream can handle from all hosts
  // together.
  double coldPerSecond = 0;
  // Whether its upstreams own ranges of keys, and run only requests for keys
  // that they own.
  bool keyed = false;
};

// Limits on what a caller may send and how long it may take.
struct CallerLimits
{
  std::size_t maxHeaderBytes = 16U << 10U;
  std::size_t maxBodyBytes = 1U << 20U;
  std::chrono::milliseconds headerTimeout{ 10'000 };
  std::chrono::milliseconds idleTimeout{ 60'000 };
};

struct Configuration
{
  // Increases with each change; 0 while no configuration is known.
  std::int64_t version = 0;
  std::vector<Route> routes;
  std::vector<Service> services;
  std::vector<admission::Team> teams;
  CallerLimits limits;
  // Kinds of routes that this version does not know. Their routes are handled
  // as kAtMostOnce with one attempt, which is safe for requests of any kind.
  std::set<std::string> unknownKinds;
};

// Finds a request's route: the one with the request's host name and the longest
// prefix of its path. A lookup costs one hash per slash in the path, whatever
// the number of routes.
class RouteTable
{
public:
  RouteTable() = default;
  explicit RouteTable(Configuration aConfiguration);

  // The configuration that the table was made from.
  const Configuration& CurrentConfiguration() const
  {
    return this->configuration;
  }

  // Returns null if no route matches. aTarget may contain a query.
  const Route* FindRoute(std::string_view aHostName,
                         std::string_view aTarget) const;
  // Returns null if the configuration has no such service.
  const Service* FindService(const state::ServiceName& aName) const;
  const admission::TeamDirectory& Teams() const { return this->teams; }

private:
  Configuration configuration;
  // The key is the host name, a space and the prefix; the value is an index
  // into the routes.
  std::unordered_map<std::string, std::size_t> byPrefix;
  admission::TeamDirectory teams;
};

} // namespace kumquat::routing
