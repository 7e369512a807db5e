// Takes a request through this host: finds its route and service, chooses an
// upstream, lets the request wait if none is free, retries it where that is
// allowed, and gives the caller exactly one response. Does no I/O: time, random
// numbers and sending are hooks. Runs on one thread.
//
// A request is held by exactly one of: the waiting list of its service, or one
// attempt at an upstream.

#pragma once

#include "admission/team.h"
#include "coordination/retrybudget.h"
#include "framework/clock.h"
#include "protocol/errorkind.h"
#include "routing/configuration.h"
#include "routing/crashsuspects.h"
#include "routing/ownerwindow.h"
#include "routing/placement.h"
#include "routing/upstreampace.h"
#include "routing/upstreamratelimiter.h"
#include "routing/upstreams.h"
#include "routing/upstreamsignals.h"
#include "routing/waiting.h"
#include "routing/worktimes.h"
#include "transport/http.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::routing {

using state::Key;

// A caller's request, as it arrived at this host.
struct CallerRequest
{
  transport::HttpRequest message;
  // The caller's identifier of this attempt.
  std::string id;
  std::string hostName;
  std::optional<Key> key;
  TimePoint arrived;
  // How long the caller waits for a response.
  std::chrono::milliseconds timeout{ 0 };
  admission::Credentials credentials;
  // The team that the credentials belong to, if any, and its priority.
  admission::TeamName team;
  std::optional<int> teamPriority;
  // Number of upstreams that may have run it on behalf of another host; see
  // ProxiedRequests.
  int earlierRuns = 0;
};

// An upstream's response, with what the dispatcher needs to know of it.
struct UpstreamResponse
{
  transport::HttpResponse message;
  // It bears the request's id. Without it, it may be about another request, and
  // says nothing of this one.
  bool isIdentified = true;
  // The upstream states that it did not run the request.
  bool notRun = false;
  // The upstream at the address is not the one that was meant, or does not own
  // the request's key. respondedBy is the id that it gave, if any.
  bool wrongUpstream = false;
  state::UpstreamId respondedBy;
  // Whether an upstream has signed the response. A success without a signature
  // is not accepted.
  bool isSigned = false;
  std::optional<UpstreamLoad> load;
  ResponseSignals signals;
};

// What the caller gets: an upstream's response, or an error of this host.
struct CallerResponse
{
  std::optional<transport::HttpResponse> message;
  protocol::ErrorKind error = protocol::ErrorKind::kNone;
  // With a refusal: after which time a retry by the caller can be served.
  std::optional<std::chrono::milliseconds> retryAfter;
};

using RequestNumber = std::uint64_t;

// One attempt of a request, as it is sent to an upstream.
struct UpstreamRequest
{
  RequestNumber number = 0;
  state::UpstreamId upstream;
  std::string address;
  std::string id;
  const transport::HttpRequest* message = nullptr;
  std::optional<Key> key;
  // What is left of the caller's and the route's timeout.
  std::chrono::milliseconds timeout{ 0 };
  // What is left of the caller's alone: it covers the response's whole body.
  std::chrono::milliseconds callerTimeout{ 0 };
  // Empty if the caller belongs to none.
  admission::TeamName team;
};

// What the log says about a request that has ended.
struct RequestTrace
{
  RequestNumber number = 0;
  std::string id;
  std::string route;
  std::string service;
  std::optional<Key> key;
  admission::TeamName team;
  // Short form of the API key's fingerprint; only if access was refused.
  std::string apiKey;
  // Whether an upstream has run it or may have done so.
  bool mayHaveRun = false;
  // All attempts with upstream, result, duration, requests ahead and the
  // connection of the response, as "i-1 refused 3ms behind 4 on 17; i-2 served
  // 120ms behind 0 on 8".
  std::string attempts;
  protocol::ErrorKind error = protocol::ErrorKind::kNone;
  int status = 0;
  // The request's fingerprint, the same for each repeat, if upstreams have
  // ended under it; see CrashSuspects.
  std::string suspect;
  std::chrono::milliseconds waited{ 0 };
  std::chrono::milliseconds took{ 0 };
  std::size_t queued = 0;
  std::int64_t configuration = 0;
};

// The upstream that owns a key, according to the map that this host uses.
struct KeyOwner
{
  // Empty while no upstream may be sent the key.
  state::UpstreamId upstream;
  // How long the key has had this owner, or none.
  Duration unchangedFor{ 0 };
};

// The cold rate holds for each second.
inline constexpr std::chrono::milliseconds kPaceHold{ 1000 };

struct DispatcherOptions
{
  state::HostId host;
  state::DataCentre dataCentre;
  // Retries, as a share of the requests for a service.
  double resendShare = 0.1;
  // Retries beside that share in any period, over all hosts.
  double resendExtra = 20;
  // Random; see RequestFingerprint.
  std::uint64_t fingerprintKey = 0;
  // Whether upstreams that start or recover are paced; see UpstreamPaces. Holds
  // for services that name a cold rate.
  bool pacesStartingUpstreams = false;
  // For so long after its start a host sends nothing to upstreams that are
  // paced: what its previous process sent there is not known.
  std::chrono::milliseconds paceHold = kPaceHold;
};

class Dispatcher
{
public:
  struct Hooks
  {
    Clock now;
    RandomBelow random;
    // Starts an attempt. It ends with exactly one call of OnUpstreamResponse or
    // OnSendFailed, unless it is cancelled.
    std::function<void(const UpstreamRequest&)> send;
    // Closes the connection of a running attempt; no response comes after it.
    // Returns whether any byte of the request may have been sent.
    std::function<bool(RequestNumber)> cancel;
    // Returns the owner of a key.
    std::function<KeyOwner(const state::ServiceName&, Key)> findOwner;
    // Called when an upstream states that it does not own the key.
    std::function<void(const state::ServiceName&, Key,
                       const state::UpstreamId&)>
      reportNotOwner;
    // Called once for each request, before its response.
    std::function<void(const RequestTrace&)> onRequestEnded;
    // Called before each retry with the error of the attempt before it.
    std::function<void(protocol::ErrorKind)> onRetry;
    // Asks whether the limit of a team allows one more run of a request that
    // may have run already. If it does, the run is counted.
    std::function<bool(const admission::TeamName&)> allowsAnotherRun;
    // Tells the peers of requests under which upstreams have ended, before the
    // caller gets its response. May be empty.
    std::function<void(const std::vector<CrashReport>&)> reportCrashes;
    // Called when an upstream names a limit, changes it or names none any more.
    // May be empty.
    std::function<void(const UpstreamLimit&)> onLimitChanged;
    // Called when an upstream asks this host for rest, unless that ends sooner
    // than the rest that it has asked for before. May be empty.
    std::function<void(const UpstreamRest&)> onRest;
    // Called when an upstream has said that it leaves and it was not known. May
    // be empty.
    std::function<void(const state::UpstreamId&, std::int64_t aStartedMs)>
      onLeaving;
    // Called when an upstream says something that cannot be read, which is
    // ignored. May be empty.
    std::function<void(const state::UpstreamId&, SignalKind)> onMalformedSignal;
    // Called when a pace is set, cut or ended. May be empty.
    std::function<void(const PaceNotice&)> onPaceChanged;
  };

  using Respond = std::function<void(CallerResponse)>;

  Dispatcher(DispatcherOptions aOptions, Upstreams& aUpstreams, Hooks aHooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);
  // Sets the reachable hosts of this host's cell and those of all cells, itself
  // included in both. While there may be more of them than are known, the retry
  // budget, which all hosts share, is assumed to be small.
  void SetHosts(const std::vector<state::HostId>& aCell,
                const std::vector<state::HostId>& aAll,
                bool aAreAllKnown = true);

  // Sets the keyed services whose requests pass through proxies. This cell
  // limits its requests at their owners; see OwnerWindows. None at first.
  void SetSharedServices(std::set<state::ServiceName> aServices)
  {
    this->sharedServices = std::move(aServices);
  }
  // Sets the hosts of this host's cell, and those of all cells, whether they
  // can be reached or not. They share the rate of upstreams that are paced: one
  // that cannot be reached may go on sending. Without it, the hosts that are
  // reachable are taken.
  void SetKnownHosts(const std::vector<state::HostId>& aCell,
                     const std::vector<state::HostId>& aAll);

  // Requests under which upstreams have ended. The owner of the dispatcher
  // passes on what peers say of them, and sets how many peers are heard.
  CrashSuspects& Suspects() { return this->suspects; }

  // What the upstreams say of themselves. The owner of the dispatcher passes on
  // what peers have heard.
  UpstreamSignals& Signals() { return this->signals; }
  UpstreamPaces& Paces() { return this->paces; }
  // The incarnation of an upstream that started then has said to this host that
  // it leaves.
  void OnSaidLeaving(const state::UpstreamId& aId, std::int64_t aStartedMs);
  // An upstream has asked a host for rest whose connections to it this host
  // shares.
  void OnSharedRest(const UpstreamRest& aRest);

  // The work of the routes. The owner of the dispatcher passes on what peers
  // have measured.
  WorkTimes& Works() { return this->works; }

  // Refuses requests that arrive from now on. The host is about to stop, and
  // such a request could be cut off halfway; refused now, it has certainly not
  // run.
  void StopAccepting() { this->isAccepting = false; }
  // Ends all requests, as the host stops now. Each gets a response from this
  // host, so that responses that are ready and come after it on the same
  // connection can be sent.
  void EndAllRequests();

  // Takes a request and returns the number that the other calls use for it.
  // aRespond is called once, possibly before this method returns, or not at all
  // if the caller has gone.
  RequestNumber OnRequest(CallerRequest aRequest, Respond aRespond);
  // The caller has closed its connection.
  void OnCallerGone(RequestNumber aNumber);
  void OnUpstreamResponse(RequestNumber aNumber, UpstreamResponse aResponse);
  void OnSendFailed(RequestNumber aNumber, transport::TransportError aError);
  // Whether a request that waits for a connection may still be sent to the
  // chosen upstream, which may have left, or lost the key, in the meantime.
  bool IsTargetStillValid(RequestNumber aNumber) const;
  // Checks the waiting requests again after a change that they may have waited
  // for.
  void RecheckWaitingRequests();
  void OnTimer();
  // When OnTimer is due next; empty while nothing is waiting or running.
  std::optional<TimePoint> NextDue() const;

  // Number of requests that wait for an upstream.
  std::size_t WaitingCount() const;
  // Number of waiting requests for each upstream that owns their keys.
  std::map<state::UpstreamId, int> WaitingByOwner() const;
  // Number of attempts that are running.
  std::size_t RunningCount() const { return this->runningCount; }
  // Attempts started plus attempts ended, since the start.
  std::int64_t LoadChangeCount() const { return this->loadChangeCount; }

private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;
  struct ServiceState;

  ServiceState& StateOf(const state::ServiceName& aName);
  double MaxExtraRetries() const;
  const state::ServiceName& ChooseService(const Route& aRoute);
  double TypicalMs(const state::ServiceName& aName);
  double WorkOf(const Request& aRequest) const;
  // Learns the work of the request's route from an attempt that ends. Of one
  // that is abandoned it must be known that it may have run.
  void LearnWork(const Request& aRequest, AttemptResult aResult,
                 const std::optional<UpstreamLoad>& aLoad);
  // The requests that wait here for the owner of a key, by their work.
  double WorkWaitingFor(const state::UpstreamId& aOwner) const;
  bool IsOwnerOverloaded(const Request& aRequest) const;
  void UpdateRouteBytes(const Request& aRequest, std::size_t aResponseBytes);
  bool IsKeyed(const Request& aRequest) const;
  QueueForecast Forecast(const Request& aRequest);
  QueueForecast ForecastForOwner(const Request& aRequest);
  void TurnAway(const RequestPtr& aRequest, protocol::ErrorKind aError,
                std::optional<std::chrono::milliseconds> aRetryAfter = {});
  bool TrySend(const RequestPtr& aRequest);
  bool HasLostAccess(Request& aRequest) const;
  const UpstreamState* Choose(const Request& aRequest);
  const UpstreamState* ChooseOwner(const Request& aRequest);
  bool ShouldStayLocal(const Request& aRequest,
                       const PlacementContext& aContext);
  const UpstreamState* ChooseInOtherCells(const Request& aRequest,
                                          const PlacementContext& aContext);
  const UpstreamState* ChooseAmongDrawn(
    const Request& aRequest, const std::vector<UpstreamState*>& aFrom,
    const PlacementContext& aContext);
  PlacementContext MakeContext(const Request& aRequest);
  // Whether what the upstream has said, and its being cold, leave it open to
  // the request.
  bool IsOpen(const Request& aRequest, const UpstreamState& aOne) const;
  bool IsResting(const UpstreamState& aOne) const;
  // When the first of the upstreams that the request may use ends its rest;
  // empty if one of them is not resting.
  std::optional<TimePoint> EndOfRest(const Request& aRequest);
  // Whether rests keep the request from being served in time.
  bool IsKeptByRest(const Request& aRequest);
  Duration ReturnDelay(const UpstreamState& aOne, Duration aRest);
  bool IsWithinColdRate(const Request& aRequest,
                        const UpstreamState& aOne) const;
  // As IsWithinColdRate, where upstreams that start are paced.
  bool IsWithinPace(const Request& aRequest, const Service& aService,
                    const UpstreamState& aOne) const;
  void UpdatePace(const Request& aRequest, UpstreamState& aOne,
                  bool aIsNewOwner = false);
  bool IsWithinLimit(const Request& aRequest, const UpstreamState& aOne) const;
  // The rate that the upstream names, if any.
  std::optional<SharedRate> LimitOf(const UpstreamState& aOne) const;
  // Whether this host may send requests to an upstream that names a limit.
  static bool MayUseLimited(const UpstreamState& aOne, bool aIsKeyed);
  const UpstreamRateLimiter& LimiterFor(const Request& aRequest) const;
  void Send(const RequestPtr& aRequest, const UpstreamState& aUpstream);
  void Enqueue(const RequestPtr& aRequest);
  // Takes the request out of the waiting list, if it is there.
  void Unqueue(Request& aRequest);
  void SendWaiting(const state::ServiceName& aName);
  void WithdrawAttempt(const RequestPtr& aRequest);
  bool MayRetry(const Request& aRequest, protocol::ErrorKind aWhy);
  bool IsAnotherRunAllowed(Request& aRequest);
  // Makes the forecast fit what this host may send to the owner of the key.
  void ApplyOwnersLimit(const UpstreamState& aOwner, TimePoint aNow,
                        QueueForecast& aForecast) const;
  void ApplySignals(const Request& aRequest, const ResponseSignals& aSignals);
  void StartRest(const state::UpstreamId& aUpstream, Duration aLength);
  static const ContentHash& ContentOf(Request& aRequest);
  // Records that the upstream may have ended under the request.
  void RecordCrash(Request& aRequest, transport::TransportError aError);
  // Whether upstreams have ended under the request, so that it is not sent now.
  bool IsQuarantined(Request& aRequest) const;
  void RefuseQuarantined(const RequestPtr& aRequest);
  void ReportCrashes(const std::vector<CrashReport>& aReports) const;
  void Retry(const RequestPtr& aRequest, protocol::ErrorKind aWhy);
  void EndAttempt(Request& aRequest, AttemptResult aResult,
                  const std::optional<UpstreamLoad>& aLoad,
                  std::string_view aResultName);
  void Fail(const RequestPtr& aRequest, protocol::ErrorKind aError);
  void Refuse(const RequestPtr& aRequest, protocol::ErrorKind aError);
  // Removes the request from the map, so the calling code must hold a reference
  // to it.
  void Finish(const RequestPtr& aRequest, CallerResponse aResponse);
  void OnDeadline(const RequestPtr& aRequest);
  // Cancels the running attempt. Returns whether it may have run.
  bool CancelAttempt(Request& aRequest, std::string_view aResultName);

  const DispatcherOptions options;
  Upstreams& upstreams;
  const Hooks hooks;
  std::shared_ptr<const RouteTable> routes;
  UpstreamRateLimiter cellRateLimiter;
  // A cold owner of keys gets requests from all cells.
  UpstreamRateLimiter ownerRateLimiter;
  std::set<state::ServiceName> sharedServices;
  // Of the owners of these services.
  OwnerWindows ownerWindows;
  // Of the hosts that are known, for upstreams that are paced.
  UpstreamRateLimiter cellPaceLimiter;
  UpstreamRateLimiter ownerPaceLimiter;
  bool areKnownHostsSet = false;
  const TimePoint startedAt;
  CrashSuspects suspects;
  UpstreamSignals signals;
  UpstreamPaces paces;
  WorkTimes works;
  // Reachable hosts of this host's cell, and of all cells; itself included.
  std::size_t cellHostCount = 1;
  std::size_t hostCount = 1;
  bool areAllHostsKnown = true;
  std::map<state::ServiceName, std::unique_ptr<ServiceState>> services;
  // Current weights of the smooth weighted round robin, by route and service.
  std::map<std::string, std::map<state::ServiceName, double>> currentWeights;
  // Bytes of a request and its response, by route; moving averages.
  std::map<std::string, double> routeBytes;
  std::map<RequestNumber, RequestPtr> requests;
  std::multimap<TimePoint, RequestNumber> deadlines;
  bool isAccepting = true;
  RequestNumber lastNumber = 0;
  std::size_t runningCount = 0;
  std::int64_t loadChangeCount = 0;
};

} // namespace kumquat::routing
