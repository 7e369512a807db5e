// What a dispatcher stores of a request and of a service.

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
  // Number of upstreams that may have run it.
  int mayHaveRunAt = 0;
  // Runs that are counted against the limit of the caller's team.
  int countedRuns = 1;
  std::vector<state::UpstreamId> tried;
  // The upstream that has just refused it: full now, but perhaps not for long.
  state::UpstreamId refusedBy;
  std::size_t attemptCount = 0;
  // Set on demand.
  std::optional<ContentHash> content;
  // It was a suspect when it was sent last; see CrashSuspects::OnSent.
  bool isSuspectOnTrial = false;
  // An upstream has ended while it ran the request here, or so it seems.
  bool hasEndedUpstream = false;
  // The request is not checked before; for keys that are being handed over.
  TimePoint notBefore;
  // Its place in the waiting list of its service; empty unless it waits.
  std::optional<std::list<RequestPtr>::iterator> place;

  // While an attempt is running.
  bool isRunning = false;
  // The attempt is at an upstream of another cell.
  bool isInOtherCell = false;
  state::UpstreamId upstream;
  std::string address;
  // The incarnation of the upstream that it was sent to.
  std::int64_t upstreamStartedMs = 0;
  TimePoint sentAt;
  int requestsAhead = 0;
  // That the response came over; 0 if none came.
  std::uint64_t connection = 0;

  Duration waited{ 0 };
  std::string attemptLog;
};

struct Dispatcher::ServiceState
{
  std::list<RequestPtr> waiting;
  // Number of waiting requests for each key that has an owner.
  std::map<Key, int> waitingByKey;
  coordination::RetryBudget budget;
  SpilloverWindow spillover;
  TimePoint nextCheckAt;
};

} // namespace kumquat::routing
