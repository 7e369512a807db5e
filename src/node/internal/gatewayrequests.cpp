// The part of a gateway that takes requests from callers to upstreams: access,
// quotas, dispatching and the log.

#include "node/internal/gatewayimpl.h"

#include "node/internal/clocks.h"
#include "platform/messages.h"
#include "platform/names.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace kumquat::node {

using protocol::ErrorKind;
using std::chrono::milliseconds;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr milliseconds kGrantTimeout{ 700 };
// An upstream responds to a release when the work on its keys has ended.
constexpr milliseconds kReleaseTimeout{ 2500 };
// Logged as the key of a request without a key.
constexpr std::int64_t kNoKey = -1;
// One of so many served requests is logged. The choice depends on the request's
// id alone, so that all hosts log the same ones.
constexpr std::uint64_t kServedSample = 16;

ownership::LeaseCommandResult ResultOfFailure(const std::error_code& aError)
{
  using ownership::LeaseCommandResult;
  if (aError == transport::TransportError::kUnreachable) {
    return LeaseCommandResult::kUnreachable;
  }
  return aError == transport::TransportError::kWithdrawn
           ? LeaseCommandResult::kWithdrawn
           : LeaseCommandResult::kNoAnswer;
}

} // namespace

routing::Dispatcher::Hooks Gateway::Impl::DispatcherHooks()
{
  routing::Dispatcher::Hooks hooks;
  hooks.now = BootTime;
  hooks.random = [this](std::size_t aBelow) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      aBelow - 1)(this->random);
  };
  hooks.send = [this](const routing::UpstreamRequest& aRequest) {
    this->SendToUpstream(aRequest);
  };
  hooks.cancel = [this](routing::RequestNumber aNumber) {
    const auto call = this->upstreamCalls.find(aNumber);
    return call == this->upstreamCalls.end() ||
           this->upstreamClient->Cancel(call->second);
  };
  hooks.findOwner = [this](const state::ServiceName& aService,
                           routing::Key aKey) {
    const ownership::KeyMap::Owner owner =
      this->keyedServices->OwnerOf(aService, aKey);
    return routing::KeyOwner{ owner.upstream, BootTime() - owner.since };
  };
  hooks.reportNotOwner = [this](const state::ServiceName& aService,
                                routing::Key aKey, const state::UpstreamId&) {
    this->keyedServices->OnNotOwner(aService, aKey);
  };
  hooks.onRequestEnded = [this](const routing::RequestTrace& aTrace) {
    this->OnRequestEnded(aTrace);
    if (!aTrace.mayHaveRun && !aTrace.team.value.empty()) {
      this->quotas->Borrower().Return(aTrace.team);
    }
  };
  hooks.allowsAnotherRun = [this](const admission::TeamName& aTeam) {
    return this->quotas->Borrower().TryTake(aTeam);
  };
  hooks.onRetry = [this](ErrorKind aReason) { this->retries.Add(aReason); };
  hooks.onLimitChanged = [this](const routing::UpstreamLimit& aLimit) {
    this->OnLimitChanged(aLimit);
  };
  hooks.onPaceChanged = [this](const routing::PaceNotice& aNotice) {
    this->OnPaceChanged(aNotice);
  };
  hooks.onRest = [this](const routing::UpstreamRest& aRest) {
    this->OnRest(aRest);
  };
  hooks.onLeaving = [this](const state::UpstreamId& aId,
                           std::int64_t aStartedMs) {
    this->OnSaidLeaving(aId, aStartedMs);
  };
  hooks.onMalformedSignal = [this](const state::UpstreamId& aId,
                                   routing::SignalKind aKind) {
    const bool isLimit = aKind == routing::SignalKind::kLimit;
    this->log.Write(isLimit ? Event::kUpstreamLimitMalformed
                            : Event::kUpstreamSignalMalformed,
                    { { "upstream", aId.value },
                      { "signal", routing::SignalKindName(aKind) } });
  };
  hooks.reportCrashes = [this](const std::vector<routing::CrashReport>& aOnes) {
    this->SendCrashReports(aOnes);
  };
  return hooks;
}

void Gateway::Impl::OnCallerRequest(
  HttpRequest&& aRequest, const transport::HttpServer::Respond& aRespond)
{
  const auto connection = aRequest.link;
  if (!aRequest.body.empty()) {
    aRequest.sharedBody =
      std::make_shared<const std::string>(std::move(aRequest.body));
    aRequest.body.clear();
  }
  auto request = platform::ParseCallerRequest(std::move(aRequest), BootTime());
  if (!request) {
    const auto kind = static_cast<ErrorKind>(request.error().value());
    this->refusals.Add(kind);
    aRespond(platform::MakeErrorResponse(kind));
    return;
  }
  if (this->FindTeam(*request, aRespond)) {
    this->TakeQuota(std::move(*request), connection, aRespond);
  }
}

std::optional<HttpResponse> Gateway::Impl::CheckHead(const HttpRequest& aHead)
{
  auto request = platform::ParseCallerRequest(aHead, BootTime());
  if (!request) {
    return this->RefuseUnread(static_cast<ErrorKind>(request.error().value()),
                              aHead);
  }
  std::optional<HttpResponse> refusal;
  static_cast<void>(
    this->FindTeam(*request, [&refusal](HttpResponse aResponse) {
      refusal = std::move(aResponse);
    }));
  return refusal;
}

// Refuses a request that was not read as a whole.
HttpResponse Gateway::Impl::RefuseUnread(ErrorKind aKind,
                                         const HttpRequest& aHead)
{
  this->refusals.Add(aKind);
  const protocol::ErrorInfo& info = protocol::ErrorInfoFor(aKind);
  const std::string id(aHead.Header(platform::RequestIdHeader()));
  this->log.Write(
    Event::kRequestRefused,
    { { "request", id },
      { "reason", info.name },
      { "status", static_cast<std::int64_t>(info.httpStatus) },
      { "held_bytes", static_cast<std::int64_t>(this->heldBytes->Held()) } });
  routing::CallerResponse response;
  response.error = aKind;
  if (info.retryAfter) {
    response.retryAfter = *info.retryAfter;
  }
  return platform::MakeCallerResponse(std::move(response), id);
}

// Sets the request's team. Refuses the request and returns false if its API key
// does not allow it to run.
bool Gateway::Impl::FindTeam(routing::CallerRequest& aRequest,
                             const transport::HttpServer::Respond& aRespond)
{
  const routing::Route* route =
    this->routes->FindRoute(aRequest.hostName, aRequest.message.target);
  if (route == nullptr) {
    // The dispatcher refuses it.
    return true;
  }
  const admission::AccessDecision access = admission::CheckAccess(
    this->routes->Teams(), route->isPublic, aRequest.credentials);
  if (access.error != ErrorKind::kNone) {
    this->RefuseAtEntry(aRequest, *route, this->AccessRefusal(access.error),
                        aRespond);
    return false;
  }
  if (access.team != nullptr) {
    aRequest.team = access.team->name;
    aRequest.teamPriority = access.team->priority;
  }
  return true;
}

// A key that this host does not know may have come with a configuration that is
// on its way here. Refusing it for good would turn away a caller that operators
// have just let in.
admission::QuotaDecision Gateway::Impl::AccessRefusal(ErrorKind aError) const
{
  constexpr milliseconds kOutdatedRetryAfter{ 200 };
  if (aError == ErrorKind::kApiKeyUnknown && this->IsBehindPeers()) {
    return { ErrorKind::kConfigurationOutdated, kOutdatedRetryAfter };
  }
  return { aError, {} };
}

bool Gateway::Impl::IsBehindPeers() const
{
  const state::Version version =
    this->replication->Find(std::string(platform::kOperatorTable)).version;
  return this->IsConfigurationOutdated() ||
         std::ranges::any_of(this->peers.All(), [version](const auto& aItem) {
           return aItem.second.operatorVersion > version;
         });
}

// Refuses a request that was not handed to the dispatcher.
void Gateway::Impl::RefuseAtEntry(
  const routing::CallerRequest& aRequest, const routing::Route& aRoute,
  const admission::QuotaDecision& aDecision,
  const transport::HttpServer::Respond& aRespond)
{
  routing::RequestTrace trace;
  trace.id = aRequest.id;
  trace.route = aRoute.name;
  trace.team = aRequest.team;
  trace.key = aRequest.key;
  trace.error = aDecision.error;
  trace.status = protocol::ErrorInfoFor(aDecision.error).httpStatus;
  trace.took =
    std::chrono::duration_cast<milliseconds>(BootTime() - aRequest.arrived);
  trace.waited = trace.took;
  trace.configuration = this->routes->CurrentConfiguration().version;
  if (aRequest.credentials.count > 0) {
    trace.apiKey = admission::LogText(aRequest.credentials.fingerprint);
  }
  this->OnRequestEnded(trace);
  if (!aRequest.team.value.empty()) {
    // The name comes from the configuration.
    const std::string reason(protocol::ErrorInfoFor(aDecision.error).name);
    this->metrics
      .GetOrCreateCounter(
        "kumquat_team_refusals_total",
        "Requests of a team that were refused because of its limit.",
        { { "team", aRequest.team.value }, { "reason", reason } })
      .Add();
  }
  routing::CallerResponse response;
  response.error = aDecision.error;
  if (aDecision.retryAfter.count() > 0) {
    response.retryAfter = aDecision.retryAfter;
  }
  aRespond(platform::MakeCallerResponse(std::move(response), aRequest.id));
}

// Waits for a token of the team's quota where there is none in stock.
void Gateway::Impl::TakeQuota(
  routing::CallerRequest aRequest,
  const std::shared_ptr<transport::CallerLink>& aLink,
  const transport::HttpServer::Respond& aRespond)
{
  if (aRequest.team.value.empty()) {
    this->Dispatch(std::move(aRequest), aLink, aRespond);
    return;
  }
  const auto isGone = std::make_shared<bool>(false);
  aLink->onGone = [isGone] { *isGone = true; };
  const admission::TeamName team = aRequest.team;
  const auto request =
    std::make_shared<routing::CallerRequest>(std::move(aRequest));
  this->quotas->Borrower().Take(
    team, [this, team, request, isGone, aLink, aRespond,
           routes = this->routes](const admission::QuotaDecision& aDecision) {
      if (*isGone) {
        if (aDecision.error == ErrorKind::kNone) {
          this->quotas->Borrower().Return(team);
        }
        return;
      }
      if (aDecision.error == ErrorKind::kNone) {
        // The key may have been removed while the request waited for a token.
        if (routes == this->routes || this->FindTeam(*request, aRespond)) {
          this->Dispatch(std::move(*request), aLink, aRespond);
        } else {
          this->quotas->Borrower().Return(team);
        }
        return;
      }
      const routing::Route* route =
        this->routes->FindRoute(request->hostName, request->message.target);
      this->RefuseAtEntry(*request,
                          route == nullptr ? routing::Route{} : *route,
                          aDecision, aRespond);
    });
}

void Gateway::Impl::Dispatch(
  routing::CallerRequest aRequest,
  const std::shared_ptr<transport::CallerLink>& aLink,
  const transport::HttpServer::Respond& aRespond)
{
  const std::string id = aRequest.id;
  if (aRequest.key) {
    const routing::Route* route =
      this->routes->FindRoute(aRequest.hostName, aRequest.message.target);
    if (route != nullptr && route->destinations.size() == 1) {
      this->keyedServices->OnRequest(route->destinations.front().service,
                                     *aRequest.key);
    }
  }
  const auto respond = [id, aRespond](routing::CallerResponse aResponse) {
    aRespond(platform::MakeCallerResponse(std::move(aResponse), id));
  };
  aRequest.message.link = aLink;
  if (const auto proxy = this->FindProxy(aRequest)) {
    this->PassOn(*proxy, std::move(aRequest), respond);
  } else {
    this->DispatchHere(std::move(aRequest), respond);
  }
}

void Gateway::Impl::DispatchHere(routing::CallerRequest aRequest,
                                 routing::Dispatcher::Respond aRespond)
{
  const auto link = aRequest.message.link;
  const routing::RequestNumber number =
    this->dispatcher->OnRequest(std::move(aRequest), std::move(aRespond));
  link->onGone = [this, number] {
    this->dispatcher->OnCallerGone(number);
    this->ScheduleDispatcher();
  };
  this->ScheduleDispatcher();
}

void Gateway::Impl::SendToUpstream(const routing::UpstreamRequest& aRequest)
{
  const routing::RequestNumber number = aRequest.number;
  HttpRequest request = platform::MakeUpstreamRequest(aRequest);
  request.isStillValid = [this, number](TimePoint) {
    return this->dispatcher->IsTargetStillValid(number);
  };
  const auto call = this->upstreamClient->Send(
    aRequest.address, std::move(request), aRequest.timeout,
    [this, number](Result<HttpResponse> aResponse) {
      if (!aResponse &&
          aResponse.error() == transport::TransportError::kCancelled) {
        return;
      }
      this->upstreamCalls.erase(number);
      if (aResponse) {
        this->dispatcher->OnUpstreamResponse(
          number, platform::ParseUpstreamResponse(std::move(*aResponse)));
      } else {
        this->dispatcher->OnSendFailed(
          number,
          static_cast<transport::TransportError>(aResponse.error().value()));
      }
      this->ScheduleDispatcher();
    });
  this->upstreamCalls[number] = call;
}

void Gateway::Impl::SendLeaseCommand(const ownership::LeaseCommand& aCommand,
                                     ownership::Assigner::CommandDone aDone)
{
  const bool isGrant = aCommand.kind == ownership::LeaseCommandKind::kGrant;
  const routing::UpstreamState* one = this->upstreams.Find(aCommand.upstream);
  const std::int64_t startedMs = one == nullptr ? 0 : one->entry.startedMs;
  HttpRequest request = platform::MakeLeaseCommandRequest(aCommand);
  request.isStillValid = [isStillValid =
                            aCommand.isStillValid](TimePoint aConnectedAt) {
    // If the host was suspended since, this is later than the time meant.
    return isStillValid(BootTime() - (Now() - aConnectedAt));
  };
  this->leaseClient->Send(
    aCommand.address, std::move(request),
    isGrant ? kGrantTimeout : kReleaseTimeout,
    [this, startedMs, upstream = aCommand.upstream,
     done = std::move(aDone)](const Result<HttpResponse>& aResponse) {
      if (aResponse) {
        if (platform::SaysThatItLeaves(*aResponse)) {
          this->dispatcher->OnSaidLeaving(upstream, startedMs);
        }
        done(platform::ParseLeaseCommandReply(*aResponse));
        return;
      }
      done({ ResultOfFailure(aResponse.error()), {} });
    });
}

Summary& Gateway::Impl::LatencyOf(const std::string& aService)
{
  Summary*& summary = this->latencies[aService];
  if (summary == nullptr) {
    summary = &this->metrics.GetOrCreateSummary(
      "kumquat_request_seconds",
      "From a request's arrival at this host to its answer.",
      { { "service", aService } });
  }
  return *summary;
}

bool Gateway::Impl::IsServedLogged(const std::string& aRequestId, int aStatus)
{
  const bool hasFailed = aStatus >= 500;
  return hasFailed ||
         XXH3_64bits(aRequestId.data(), aRequestId.size()) % kServedSample == 0;
}

void Gateway::Impl::OnRequestEnded(const routing::RequestTrace& aTrace)
{
  this->upstreamCalls.erase(aTrace.number);
  if (aTrace.error == ErrorKind::kNone) {
    this->answeredRequests.Add();
    this->LatencyOf(aTrace.service).Observe(aTrace.took);
    if (!IsServedLogged(aTrace.id, aTrace.status)) {
      return;
    }
  } else {
    this->refusals.Add(aTrace.error);
  }
  const protocol::ErrorInfo& info = protocol::ErrorInfoFor(aTrace.error);
  const Event event = aTrace.error == ErrorKind::kNone ? Event::kRequestAnswered
                      : info.outcome == protocol::Outcome::kNotRun
                        ? Event::kRequestRefused
                        : Event::kRequestGivenUp;
  this->log.Write(
    event, { { "request", aTrace.id },
             { "route", aTrace.route },
             { "service", aTrace.service },
             { "team", aTrace.team.value },
             { "api_key", aTrace.apiKey },
             { "key", aTrace.key ? std::int64_t{ *aTrace.key } : kNoKey },
             { "reason", info.name },
             { "status", static_cast<std::int64_t>(aTrace.status) },
             { "sends", aTrace.attempts },
             { "suspect", aTrace.suspect },
             { "waited_ms", static_cast<std::int64_t>(aTrace.waited.count()) },
             { "took_ms", static_cast<std::int64_t>(aTrace.took.count()) },
             { "queued", static_cast<std::int64_t>(aTrace.queued) },
             { "configuration", aTrace.configuration },
             { "upstreams_version",
               this->replication->Find(std::string(platform::kUpstreamTable))
                 .version } });
}

void Gateway::Impl::ScheduleDispatcher()
{
  std::optional<TimePoint> due = this->dispatcher->NextDue();
  if (const auto proxied = this->requestProxies->NextDue()) {
    due = std::min(due.value_or(*proxied), *proxied);
  }
  if (!due || *due >= this->dispatchDueAt) {
    return;
  }
  this->dispatchDueAt = *due;
  this->dispatchTimer.expires_after(std::max(Duration(0), *due - BootTime()));
  this->dispatchTimer.async_wait(
    [this](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      this->dispatchDueAt = TimePoint::max();
      this->dispatcher->OnTimer();
      this->requestProxies->OnTimer();
      this->ScheduleDispatcher();
    });
}

} // namespace kumquat::node
