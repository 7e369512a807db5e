// What a dispatcher keeps of a request and of a service.

#pragma once

#include "routing/dispatcher.h"
#include "routing/spilloverwindow.h"

namespace kumquat::routing {

struct Dispatcher::Request
{
  RequestNumber number = 0;
  CallerRequest caller;
  Respond respond;
  // Keeps `route` alive while a newer configuration comes into force.
  std::shared_ptr<const RouteTable> routes;
  const Route* route = nullptr;
  state::ServiceName service;
  WaitingRequest waiting;
  std::multimap<TimePoint, RequestNumber>::iterator deadline;
  // Upstreams that may have run it.
  int mayHaveRunAt = 0;
  std::vector<state::UpstreamId> tried;
  // The one that has just refused it; full now, but perhaps not for long.
  state::UpstreamId refusedBy;
  std::size_t sends = 0;
  // Not looked at before; for keys on the move.
  TimePoint notBefore;

  // While it runs.
  bool isRunning = false;
  // At an upstream of another cell.
  bool isElsewhere = false;
  state::UpstreamId upstream;
  std::string address;
  TimePoint sentAt;
  int before = 0;

  Duration waited{ 0 };
  std::string story;
};

struct Dispatcher::ServiceState
{
  std::list<RequestPtr> waiting;
  coordination::RetryBudget budget;
  SpilloverWindow elsewhere;
  TimePoint lookAgain;
};

} // namespace kumquat::routing
