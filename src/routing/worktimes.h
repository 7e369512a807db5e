// What requests of the routes of one service take relative to each other.
//
// It serves a load where a service runs requests of unlike work, for example
// searches of 700 ms with a target of 2 s beside look-ups of 200 ms with a
// target of 800 ms. By their common mean each look-up counts as late from its
// arrival on, and searches are started that cannot be in time. How long a
// request takes has two factors that are estimated apart: the work of its
// route, here, and what a typical request takes at the upstream,
// UpstreamState::serviceMs. Each response says something of both: of the work
// by its time relative to the upstream's, and of the upstream by its time
// relative to the work.
//
// It takes effect only for services that get the requests of several routes
// with unlike target latencies; the work of any other request is 1.

#pragma once

#include "routing/configuration.h"

#include <map>
#include <string>
#include <vector>

namespace kumquat::routing {

// What a host has measured of a route since its last digest.
struct WorkReport
{
  state::ServiceName service;
  std::string route;
  // The mean over `answers` responses, relative to a typical request of the
  // service.
  double work = 1;
  int answers = 0;
};

class WorkTimes
{
public:
  // Keeps what is known of the routes that still are in the configuration.
  void SetConfiguration(const Configuration& aConfiguration);

  // Whether the service gets the requests of routes with unlike target
  // latencies.
  bool Covers(const state::ServiceName& aService) const
  {
    return this->services.contains(aService);
  }
  // What a request of the route takes relative to a typical one of the service,
  // at the same upstream. 1 while nothing is known.
  double WorkOf(const state::ServiceName& aService,
                const std::string& aRoute) const;
  // Records what a request took relative to a typical one there.
  void OnServed(const state::ServiceName& aService, const std::string& aRoute,
                double aWork);
  // Records that a request took at least so long.
  void OnAbandoned(const state::ServiceName& aService,
                   const std::string& aRoute, double aWork);

  // The times of all upstreams times a factor, and all works divided by it,
  // mean the same. So that hosts agree on the factor, that hosts without works
  // read the mean time of all requests, and that a new route starts with the
  // mean, a typical request is one with the mean work. Returns the factor for
  // the times of the service's upstreams, and has divided the works by it; 1
  // unless the mean work has moved.
  double TakeFactor(const state::ServiceName& aService);

  void OnPeerReports(const std::vector<WorkReport>& aReports);
  // Returns this host's report and begins a new one.
  std::vector<WorkReport> TakeReports();

private:
  struct RouteWork
  {
    // A moving average; see WorkOf.
    double work = 1;
    // Responses that it comes from, of all hosts.
    int answers = 0;
    int unreportedAnswers = 0;
    double unreportedSum = 0;
  };

  // What is known of a service that is covered.
  struct ServiceWork
  {
    std::map<std::string, RouteWork> routes;
    // The mean work of the requests that all hosts served recently.
    double meanWork = 1;
  };

  RouteWork* Find(const state::ServiceName& aService,
                  const std::string& aRoute);
  const RouteWork* Find(const state::ServiceName& aService,
                        const std::string& aRoute) const;
  void Learn(const state::ServiceName& aService, RouteWork& aRoute,
             double aWork, int aAnswers);

  // The services that are covered, each with all routes that it gets.
  std::map<state::ServiceName, ServiceWork> services;
};

} // namespace kumquat::routing
