// A request's way through a host: its route, its service, the choice of an
// upstream, the wait for one, a further send where that is allowed, and the
// one answer that its caller gets. No I/O: time, chance and sending come in by
// hooks. One thread.
//
// A request is held by exactly one of: the waiting list of its service, or one
// call to an upstream.

#pragma once

#include "coordination/retrybudget.h"
#include "framework/clock.h"
#include "protocol/errorkind.h"
#include "routing/coldratelimiter.h"
#include "routing/configuration.h"
#include "routing/placement.h"
#include "routing/upstreams.h"
#include "routing/waiting.h"
#include "transport/http.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::routing {

using state::Key;

struct CallerRequest
{
  transport::HttpRequest message;
  // The caller's name for this attempt.
  std::string id;
  std::string hostName;
  std::optional<Key> key;
  TimePoint arrived;
  // How long the caller waits.
  std::chrono::milliseconds timeout{ 0 };
};

// An upstream's answer, as far as the request's way depends on it.
struct UpstreamResponse
{
  transport::HttpResponse message;
  // The upstream says that it did not run the request.
  bool notRun = false;
  // Another upstream has the address; its name, where it gave one.
  bool wrongUpstream = false;
  state::UpstreamId respondedBy;
  // A success that no upstream has signed is not one.
  bool isSigned = false;
  std::optional<UpstreamLoad> load;
};

// What the caller is told: an upstream's answer, or an error of ours.
struct CallerResponse
{
  std::optional<transport::HttpResponse> message;
  protocol::ErrorKind error = protocol::ErrorKind::kNone;
  // With a refusal: when a return can be served.
  std::optional<std::chrono::milliseconds> retryAfter;
};

using RequestNumber = std::uint64_t;

struct UpstreamRequest
{
  RequestNumber number = 0;
  state::UpstreamId upstream;
  std::string address;
  std::string id;
  const transport::HttpRequest* message = nullptr;
  std::optional<Key> key;
  // What is left of the caller's and the route's time.
  std::chrono::milliseconds timeout{ 0 };
};

// One line of a request's story, for the log.
struct RequestTrace
{
  RequestNumber number = 0;
  std::string id;
  std::string route;
  std::string service;
  std::optional<Key> key;
  // Last upstream and all sends, as "i-1 refused 3ms; i-2 served 120ms".
  std::string attempts;
  protocol::ErrorKind error = protocol::ErrorKind::kNone;
  int status = 0;
  std::chrono::milliseconds waited{ 0 };
  std::chrono::milliseconds took{ 0 };
  std::size_t queued = 0;
  std::int64_t configuration = 0;
};

struct KeyOwner
{
  // Empty while nobody may be sent the key.
  state::UpstreamId upstream;
  // For how long that has been so.
  Duration unchangedFor{ 0 };
};

struct DispatcherOptions
{
  state::HostId host;
  state::DataCentre dataCentre;
  // Of the requests for a service, how many may be sent once more.
  double resendShare = 0.1;
  // And how many beside that in any span, over all hosts.
  double resendExtra = 20;
};

class Dispatcher
{
public:
  struct Hooks
  {
    Clock now;
    RandomBelow random;
    // Ends with exactly one call of OnAnswer or OnSendFailed.
    std::function<void(const UpstreamRequest&)> send;
    // Closes the connection of a running send; no answer comes after it.
    std::function<void(RequestNumber)> cancel;
    std::function<KeyOwner(const state::ServiceName&, Key)> findOwner;
    // The upstream said that the key is not its own.
    std::function<void(const state::ServiceName&, Key,
                       const state::UpstreamId&)>
      reportNotOwner;
    std::function<void(const RequestTrace&)> onRequestEnded;
    std::function<void(protocol::ErrorKind)> onRetry;
  };

  using Respond = std::function<void(CallerResponse)>;

  Dispatcher(DispatcherOptions aOptions, Upstreams& aUpstreams, Hooks aHooks);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void SetRoutes(std::shared_ptr<const RouteTable> aRoutes);
  // The hosts of this one's cell that were heard lately, and those of all
  // cells; itself included in both. Where there may be more of them the budget
  // of further sends, which all share, is taken to be small.
  void SetHosts(const std::vector<state::HostId>& aCell,
                const std::vector<state::HostId>& aAll,
                bool aAreAllKnown = true);

  // The host is about to end: what comes from now on could be cut off in the
  // middle, and is refused as surely not run.
  void StopAccepting() { this->takes = false; }
  // The host ends now. All requests get an answer of ours, so that answers that
  // are ready and stand behind them in a connection get out.
  void EndAllRequests();

  RequestNumber OnRequest(CallerRequest aRequest, Respond aRespond);
  // The caller has closed its connection.
  void OnCallerGone(RequestNumber aNumber);
  void OnUpstreamResponse(RequestNumber aNumber, UpstreamResponse aAnswer);
  void OnSendFailed(RequestNumber aNumber, transport::TransportError aError);
  // Whether the upstream that was chosen may still be sent the request, which
  // waits for a connection: it may have left, or lost the key, meanwhile.
  bool IsTargetStillValid(RequestNumber aNumber) const;
  // Something changed that waiting requests may have waited for.
  void RecheckWaitingRequests();
  void OnTimer();
  // When OnTimer is due next.
  std::optional<TimePoint> NextDue() const;

  std::size_t WaitingCount() const;
  // Requests that only one upstream may serve, by that one.
  std::map<state::UpstreamId, int> WaitingByOwner() const;
  std::size_t RunningCount() const { return this->running; }
  // Sends to upstreams and ends of those, since the start.
  std::int64_t LoadChangeCount() const { return this->changes; }

private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;
  struct ServiceState;

  ServiceState& StateOf(const state::ServiceName& aName);
  double MostResends() const;
  const state::ServiceName& PickService(const Route& aRoute);
  double UsualMs(const state::ServiceName& aName);
  bool IsOverrun(const Request& aRequest) const;
  void LearnBytes(const Request& aRequest, std::size_t aAnswered);
  bool IsKeyed(const Request& aRequest) const;
  QueueForecast Outlook(const Request& aRequest);
  QueueForecast OwnerOutlook(const Request& aRequest);
  bool TryPlace(const RequestPtr& aRequest);
  const UpstreamState* Choose(const Request& aRequest);
  const UpstreamState* ChooseOwner(const Request& aRequest);
  bool KeepsNear(const Request& aRequest, const PlacementContext& aQuestion);
  const UpstreamState* ChooseElsewhere(const Request& aRequest,
                                       const PlacementContext& aQuestion);
  const UpstreamState* Draw(const std::vector<UpstreamState*>& aFrom,
                            const PlacementContext& aQuestion);
  PlacementContext Question(const Request& aRequest);
  bool IsAllowedCold(const Request& aRequest, const UpstreamState& aOne) const;
  void Send(const RequestPtr& aRequest, const UpstreamState& aUpstream);
  void Enqueue(const RequestPtr& aRequest);
  void Pump(const state::ServiceName& aName);
  void Withdraw(const RequestPtr& aRequest);
  bool MayResend(const Request& aRequest, protocol::ErrorKind aWhy);
  void Resend(const RequestPtr& aRequest, protocol::ErrorKind aWhy);
  void LeaveUpstream(Request& aRequest, AttemptResult aClass,
                     const std::optional<UpstreamLoad>& aLoad,
                     std::string_view aWord);
  void Fail(const RequestPtr& aRequest, protocol::ErrorKind aError);
  void Refuse(const RequestPtr& aRequest, protocol::ErrorKind aError);
  // The caller holds the request, as its end takes it out of the map.
  void Finish(const RequestPtr& aRequest, CallerResponse aAnswer);
  void OnDeadline(const RequestPtr& aRequest);

  const DispatcherOptions options;
  Upstreams& upstreams;
  const Hooks hooks;
  std::shared_ptr<const RouteTable> routes;
  ColdRateLimiter coldPace;
  // A cold owner of keys gets requests from all cells.
  ColdRateLimiter ownerPace;
  // Heard lately in this host's cell, and all; itself included.
  std::size_t cellCount = 1;
  std::size_t hostCount = 1;
  bool areAllKnown = true;
  std::map<state::ServiceName, std::unique_ptr<ServiceState>> services;
  // Current weights of smooth weighted round robin, by route and service.
  std::map<std::string, std::map<state::ServiceName, double>> splits;
  // Bytes of a request and its answer, by route; moving averages.
  std::map<std::string, double> routeBytes;
  std::map<RequestNumber, RequestPtr> requests;
  std::multimap<TimePoint, RequestNumber> deadlines;
  bool takes = true;
  RequestNumber lastNumber = 0;
  std::size_t running = 0;
  std::int64_t changes = 0;
};

} // namespace kumquat::routing
