// A request from its arrival to its response.

#include "routing/internal/dispatcherparts.h"
#include "transport/httpstatus.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <numeric>
#include <utility>

namespace kumquat::routing {

using protocol::ErrorKind;
using std::chrono::milliseconds;
using transport::TransportError;

namespace {

// Waiting requests are checked this often even if nothing was received: peers'
// digests come every 200 ms, and a rate-limited cold upstream reports nothing.
constexpr milliseconds kCheckInterval{ 25 };
// Weight of one request in the average size; sizes of a route hardly change.
constexpr double kBytesWeight = 0.05;
// Limit on the attempts of one request where each was refused or not sent. Four
// find a free upstream among fifteen unless all are full.
constexpr std::size_t kMaxAttempts = 4;
// Part of the allowed retries that is used: where periods are counted from
// different starts, requests of one period meet retries of another.
constexpr double kBudgetMargin = 0.8;
// Number of hosts that is assumed while fewer are reachable.
constexpr std::size_t kMinHosts = 4;
// Requests time out this long before their deadline, as the response has to
// reach the caller too.
constexpr milliseconds kResponseMargin{ 10 };
// Pause before a request for a key that is being handed over is checked again,
// if the new map does not come first; a hand-over takes about one request's
// time.
constexpr milliseconds kHandOverPause{ 30 };
// Retry-After of a host that stops: the caller reaches another one on its next
// connection.
constexpr milliseconds kStoppingRetryAfter{ 20 };

bool IsServerError(int aStatus)
{
  return aStatus >= 500;
}

// Whether callers take the status alone for a promise that the request has not
// run and will not.
bool PromisesNotRun(int aStatus)
{
  using namespace transport::status;
  constexpr std::array kStatuses = { kRequestTimeout, kMisdirected,
                                     kTooManyRequests, kUnavailable };
  return std::ranges::find(kStatuses, aStatus) != kStatuses.end();
}

bool IsSuccess(int aStatus)
{
  return aStatus >= 200 && aStatus < 300;
}

milliseconds ToMs(Duration aDuration)
{
  return std::chrono::duration_cast<milliseconds>(aDuration);
}

ErrorKind KindOf(TransportError aError)
{
  switch (aError) {
    case TransportError::kUnreachable:
      return ErrorKind::kUpstreamUnreachable;
    case TransportError::kTruncated:
      return ErrorKind::kUpstreamTruncated;
    case TransportError::kTimeout:
      return ErrorKind::kUpstreamTimeout;
    case TransportError::kCrossed:
      return ErrorKind::kUpstreamCrossed;
    case TransportError::kCallerGone:
      return ErrorKind::kCallerGone;
    default:
      return ErrorKind::kUpstreamBroken;
  }
}

} // namespace

Dispatcher::Dispatcher(DispatcherOptions aOptions, Upstreams& aUpstreams,
                       Hooks aHooks)
  : options(std::move(aOptions))
  , upstreams(aUpstreams)
  , hooks(std::move(aHooks))
  , routes(std::make_shared<RouteTable>())
  , cellRateLimiter(this->options.host)
  , ownerRateLimiter(this->options.host)
  , cellPaceLimiter(this->options.host)
  , ownerPaceLimiter(this->options.host)
  , startedAt(this->hooks.now())
  , suspects(this->options.host, this->hooks.now, this->options.fingerprintKey)
  , signals(this->hooks.now)
  , paces(this->upstreams, this->hooks.now)
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  this->routes = std::move(aRoutes);
  this->works.SetConfiguration(this->routes->CurrentConfiguration());
  std::erase_if(this->currentWeights, [this](const auto& aItem) {
    return std::ranges::none_of(
      this->routes->CurrentConfiguration().routes,
      [&aItem](const Route& aRoute) { return aRoute.name == aItem.first; });
  });
}

void Dispatcher::SetHosts(const std::vector<state::HostId>& aCell,
                          const std::vector<state::HostId>& aAll,
                          bool aAreAllKnown)
{
  this->areAllHostsKnown = aAreAllKnown;
  this->cellHostCount = std::max<std::size_t>(1, aCell.size());
  this->hostCount = std::max(this->cellHostCount, aAll.size());
  this->upstreams.SetHostCount(this->hostCount);
  this->cellRateLimiter.SetHosts(aCell);
  this->ownerRateLimiter.SetHosts(aAll);
  if (!this->areKnownHostsSet) {
    this->cellPaceLimiter.SetHosts(aCell);
    this->ownerPaceLimiter.SetHosts(aAll);
  }
  this->suspects.SetHosts(aAll);
  for (const auto& [name, service] : this->services) {
    service->budget.SetMostTokens(this->MaxExtraRetries());
  }
}

void Dispatcher::SetKnownHosts(const std::vector<state::HostId>& aCell,
                               const std::vector<state::HostId>& aAll)
{
  this->areKnownHostsSet = true;
  this->cellPaceLimiter.SetHosts(aCell);
  this->ownerPaceLimiter.SetHosts(aAll);
}

// This host's part of the retries that all hosts may make beside the share. A
// host that has just started has received no digests yet, and must not take the
// whole.
double Dispatcher::MaxExtraRetries() const
{
  if (!this->areAllHostsKnown) {
    return 1.0;
  }
  const auto hosts = std::max(kMinHosts, this->hostCount);
  return std::max(1.0, kBudgetMargin * this->options.resendExtra /
                         static_cast<double>(hosts));
}

Dispatcher::ServiceState& Dispatcher::StateOf(const state::ServiceName& aName)
{
  std::unique_ptr<ServiceState>& state = this->services[aName];
  if (!state) {
    state = std::make_unique<ServiceState>();
    state->budget = coordination::RetryBudget(
      kBudgetMargin * this->options.resendShare, this->MaxExtraRetries());
  }
  return *state;
}

// Smooth weighted round robin: over any run of requests each service's share is
// within one request of its weight, where a random choice would deviate by the
// square root of their number.
const state::ServiceName& Dispatcher::ChooseService(const Route& aRoute)
{
  if (aRoute.destinations.size() == 1) {
    return aRoute.destinations.front().service;
  }
  std::map<state::ServiceName, double>& current =
    this->currentWeights[aRoute.name];
  const double total = std::accumulate(
    aRoute.destinations.begin(), aRoute.destinations.end(), 0.0,
    [](double aSum, const Destination& aOne) { return aSum + aOne.weight; });
  if (current.empty()) {
    // Hosts start with different weights, or their first requests would all go
    // to the service with the highest weight.
    constexpr std::size_t kSteps = 1000;
    for (const Destination& one : aRoute.destinations) {
      current[one.service] = one.weight *
                             static_cast<double>(this->hooks.random(kSteps)) /
                             static_cast<double>(kSteps);
    }
  }
  const Destination* best = nullptr;
  for (const Destination& one : aRoute.destinations) {
    current[one.service] += one.weight;
    if (best == nullptr || current[one.service] > current[best->service]) {
      best = &one;
    }
  }
  current[best->service] -= total;
  return best->service;
}

RequestNumber Dispatcher::OnRequest(CallerRequest aRequest, Respond aRespond)
{
  auto request = std::make_shared<Request>();
  request->number = ++this->lastNumber;
  request->caller = std::move(aRequest);
  request->respond = std::move(aRespond);
  request->routes = this->routes;
  request->route = this->routes->FindRoute(request->caller.hostName,
                                           request->caller.message.target);
  request->mayHaveRunAt = request->caller.earlierRuns;
  const TimePoint arrived = request->caller.arrived;
  if (request->route == nullptr) {
    request->deadline = this->deadlines.end();
    const bool known = this->routes->CurrentConfiguration().version > 0;
    this->TurnAway(request, known ? ErrorKind::kUnknownService
                                  : ErrorKind::kStoreUnavailable);
    return request->number;
  }
  if (!this->isAccepting) {
    request->deadline = this->deadlines.end();
    this->TurnAway(request, ErrorKind::kStopping, kStoppingRetryAfter);
    return request->number;
  }
  const Route& route = *request->route;
  const milliseconds timeout = std::min(request->caller.timeout, route.timeout);
  request->service = this->ChooseService(route);
  request->waiting = { request->caller.teamPriority.value_or(route.priority),
                       arrived, arrived + route.targetLatency,
                       arrived + timeout, this->WorkOf(*request) };
  this->requests.emplace(request->number, request);
  request->deadline =
    this->deadlines.emplace(request->waiting.deadline, request->number);
  this->StateOf(request->service).budget.OnRequest();
  if (request->mayHaveRunAt > 0) {
    this->Retry(request, ErrorKind::kUpstreamBroken);
    return request->number;
  }
  if (this->IsQuarantined(*request)) {
    this->RefuseQuarantined(request);
    return request->number;
  }
  // Requests that wait already go first where they may use the same upstreams.
  if (this->StateOf(request->service).waiting.empty() &&
      this->TrySend(request)) {
    return request->number;
  }
  if (!IsWorthQueueing(request->waiting, this->Forecast(*request),
                       this->hooks.now())) {
    this->Refuse(request, this->EndOfRest(*request)
                            ? ErrorKind::kUpstreamResting
                            : ErrorKind::kQueueFull);
    return request->number;
  }
  this->Enqueue(request);
  this->SendWaiting(request->service);
  return request->number;
}

// Ends a request that this host does not take. Unless it may have run on behalf
// of another host, the caller is told that it has not.
void Dispatcher::TurnAway(const RequestPtr& aRequest, ErrorKind aError,
                          std::optional<milliseconds> aRetryAfter)
{
  if (aRequest->mayHaveRunAt > 0) {
    this->Finish(aRequest, { {}, ErrorKind::kUpstreamBroken, {} });
    return;
  }
  this->Finish(aRequest, { {}, aError, aRetryAfter });
}

// Whether the request's API key was removed while the request was here. If the
// key was moved to another team, the request goes on as that team's.
bool Dispatcher::HasLostAccess(Request& aRequest) const
{
  if (aRequest.routes == this->routes) {
    return false;
  }
  const admission::AccessDecision decision =
    admission::CheckAccess(this->routes->Teams(), aRequest.route->isPublic,
                           aRequest.caller.credentials);
  if (decision.error != ErrorKind::kNone) {
    return true;
  }
  aRequest.caller.team =
    decision.team == nullptr ? admission::TeamName{} : decision.team->name;
  return false;
}

bool Dispatcher::TrySend(const RequestPtr& aRequest)
{
  if (aRequest->notBefore > this->hooks.now()) {
    return false;
  }
  const UpstreamState* upstream = this->Choose(*aRequest);
  if (upstream == nullptr) {
    return false;
  }
  this->Send(aRequest, *upstream);
  return true;
}

void Dispatcher::Send(const RequestPtr& aRequest,
                      const UpstreamState& aUpstream)
{
  const TimePoint now = this->hooks.now();
  aRequest->isRunning = true;
  aRequest->upstream = aUpstream.entry.id;
  aRequest->address = aUpstream.entry.address;
  aRequest->upstreamStartedMs = aUpstream.entry.startedMs;
  aRequest->isInOtherCell = !this->IsKeyed(*aRequest) && !aUpstream.isInCell;
  if (aRequest->isInOtherCell) {
    this->StateOf(aRequest->service).spillover.OnSent();
  }
  aRequest->sentAt = now;
  aRequest->connection = 0;
  auto& carriers = aRequest->caller.message.carriers;
  if (!carriers) {
    carriers = std::make_shared<std::vector<std::uint64_t>>();
  }
  aRequest->requestsAhead = aUpstream.Outstanding();
  aRequest->tried.push_back(aUpstream.entry.id);
  ++aRequest->attemptCount;
  if (aRequest->attemptCount == 1) {
    aRequest->waited = now - aRequest->caller.arrived;
  }
  ++this->runningCount;
  ++this->loadChangeCount;
  if (aUpstream.coldUntil > now || this->LimitOf(aUpstream)) {
    UpstreamRateLimiter& limiter =
      this->IsKeyed(*aRequest) ? this->ownerRateLimiter : this->cellRateLimiter;
    limiter.OnSent(aUpstream.entry.id, now);
  }
  // Also where it is not paced: it may be found to be cold a moment later.
  if (this->options.pacesStartingUpstreams) {
    (this->IsKeyed(*aRequest) ? this->ownerPaceLimiter : this->cellPaceLimiter)
      .OnSent(aUpstream.entry.id, now);
  }
  UpstreamRequest upstreamRequest;
  upstreamRequest.number = aRequest->number;
  upstreamRequest.upstream = aUpstream.entry.id;
  upstreamRequest.address = aUpstream.entry.address;
  upstreamRequest.id = aRequest->caller.id;
  upstreamRequest.message = &aRequest->caller.message;
  upstreamRequest.key = aRequest->caller.key;
  upstreamRequest.team = aRequest->caller.team;
  upstreamRequest.timeout =
    std::max(milliseconds(1), ToMs(aRequest->waiting.deadline - now));
  upstreamRequest.callerTimeout =
    std::max(milliseconds(1),
             ToMs(aRequest->waiting.arrived + aRequest->caller.timeout - now));
  aRequest->waiting.work = this->WorkOf(*aRequest);
  this->upstreams.OnSent(aUpstream.entry.id, now, aRequest->waiting.work);
  aRequest->isSuspectOnTrial =
    !this->suspects.IsEmpty() && this->suspects.OnSent(ContentOf(*aRequest));
  this->hooks.send(upstreamRequest);
}

void Dispatcher::Enqueue(const RequestPtr& aRequest)
{
  aRequest->refusedBy = {};
  ServiceState& service = this->StateOf(aRequest->service);
  aRequest->place = service.waiting.insert(service.waiting.end(), aRequest);
  if (this->IsKeyed(*aRequest)) {
    ++service.waitingByKey[*aRequest->caller.key];
  }
  service.nextCheckAt = this->hooks.now() + kCheckInterval;
}

void Dispatcher::Unqueue(Request& aRequest)
{
  if (!aRequest.place) {
    return;
  }
  ServiceState& service = this->StateOf(aRequest.service);
  // Erased last: the list may hold the only reference to the request.
  const auto place = *std::exchange(aRequest.place, std::nullopt);
  if (this->IsKeyed(aRequest)) {
    const auto count = service.waitingByKey.find(*aRequest.caller.key);
    if (--count->second == 0) {
      service.waitingByKey.erase(count);
    }
  }
  service.waiting.erase(place);
}

void Dispatcher::SendWaiting(const state::ServiceName& aName)
{
  ServiceState& service = this->StateOf(aName);
  if (service.waiting.empty()) {
    return;
  }
  const TimePoint now = this->hooks.now();
  const double typicalMs = this->TypicalMs(aName);
  std::vector<std::pair<WaitingRank, RequestPtr>> order;
  order.reserve(service.waiting.size());
  std::ranges::transform(
    service.waiting, std::back_inserter(order), [&](const RequestPtr& aOne) {
      aOne->waiting.work = this->WorkOf(*aOne);
      return std::pair(RankOf(aOne->waiting, now, typicalMs), aOne);
    });
  std::ranges::stable_sort(
    order, {}, [](const auto& aItem) -> const auto& { return aItem.first; });
  for (const auto& [rank, request] : order) {
    if (!this->requests.contains(request->number) || request->isRunning) {
      continue;
    }
    if (this->HasLostAccess(*request)) {
      this->Unqueue(*request);
      this->Fail(request, ErrorKind::kApiKeyUnknown);
      continue;
    }
    if (this->IsQuarantined(*request)) {
      this->Unqueue(*request);
      this->RefuseQuarantined(request);
      continue;
    }
    if (this->IsKeptByRest(*request)) {
      this->Unqueue(*request);
      this->Refuse(request, ErrorKind::kUpstreamResting);
      continue;
    }
    if (!IsWorthWaiting(request->waiting, now, typicalMs)) {
      this->Unqueue(*request);
      this->Refuse(request, ErrorKind::kNoUpstream);
      continue;
    }
    if (request->notBefore > now) {
      continue;
    }
    const UpstreamState* upstream = this->Choose(*request);
    if (upstream != nullptr) {
      this->Unqueue(*request);
      this->Send(request, *upstream);
    }
  }
  service.nextCheckAt = now + kCheckInterval;
}

void Dispatcher::OnCallerGone(RequestNumber aNumber)
{
  const auto found = this->requests.find(aNumber);
  if (found == this->requests.end()) {
    return;
  }
  const RequestPtr request = found->second;
  if (request->isRunning) {
    // An at-most-once request has most likely started already, and it harms
    // nobody to let it end.
    if (!IsIdempotent(request->route->kind)) {
      return;
    }
    static_cast<void>(this->CancelAttempt(*request, "caller-gone"));
  } else {
    this->Unqueue(*request);
  }
  request->respond = nullptr;
  this->Finish(request, { {}, ErrorKind::kCallerGone, {} });
}

void Dispatcher::EndAttempt(Request& aRequest, AttemptResult aResult,
                            const std::optional<UpstreamLoad>& aLoad,
                            std::string_view aResultName)
{
  const TimePoint now = this->hooks.now();
  if (aResult == AttemptResult::kServed) {
    this->LearnWork(aRequest, aResult, aLoad);
  }
  this->upstreams.OnAttemptEnded(aRequest.upstream, aRequest.sentAt,
                                 aRequest.requestsAhead, aResult, aLoad, now,
                                 this->WorkOf(aRequest));
  this->upstreams.ScaleServiceMs(aRequest.service,
                                 this->works.TakeFactor(aRequest.service));
  aRequest.waiting.work = this->WorkOf(aRequest);
  aRequest.isRunning = false;
  if (this->sharedServices.contains(aRequest.service) &&
      this->IsKeyed(aRequest)) {
    const UpstreamState* owner = this->upstreams.Find(aRequest.upstream);
    if (owner != nullptr) {
      this->ownerWindows.OnEnded(owner->entry, aRequest.sentAt, aResult, aLoad,
                                 now);
    }
  }
  if (aRequest.isInOtherCell) {
    const bool busy =
      aResult != AttemptResult::kServed || (aLoad && aLoad->waiting > 0);
    this->StateOf(aRequest.service).spillover.OnEnded(busy, now);
  }
  --this->runningCount;
  ++this->loadChangeCount;
  if (!aRequest.attemptLog.empty()) {
    aRequest.attemptLog += "; ";
  }
  aRequest.attemptLog += aRequest.upstream.value;
  aRequest.attemptLog += ' ';
  aRequest.attemptLog += aResultName;
  aRequest.attemptLog += ' ';
  aRequest.attemptLog += std::to_string(ToMs(now - aRequest.sentAt).count());
  aRequest.attemptLog += "ms behind ";
  aRequest.attemptLog += std::to_string(aRequest.requestsAhead);
  if (aRequest.connection > 0) {
    aRequest.attemptLog += " on ";
    aRequest.attemptLog += std::to_string(aRequest.connection);
  }
}

void Dispatcher::OnUpstreamResponse(RequestNumber aNumber,
                                    UpstreamResponse aResponse)
{
  const auto found = this->requests.find(aNumber);
  if (found == this->requests.end() || !found->second->isRunning) {
    return;
  }
  const RequestPtr request = found->second;
  const state::ServiceName service = request->service;
  const int status = aResponse.message.status;
  request->connection = aResponse.message.connection;
  if (aResponse.isIdentified && (!aResponse.wrongUpstream ||
                                 aResponse.respondedBy == request->upstream)) {
    this->ApplySignals(*request, aResponse.signals);
  }
  if (!aResponse.isIdentified) {
    this->EndAttempt(*request, AttemptResult::kFailed, aResponse.load,
                     "unidentified");
    ++request->mayHaveRunAt;
    this->Retry(request, ErrorKind::kUpstreamFailed);
  } else if (aResponse.wrongUpstream) {
    this->EndAttempt(*request, AttemptResult::kRefused, aResponse.load,
                     "wrong-upstream");
    if (!aResponse.respondedBy.value.empty() &&
        aResponse.respondedBy != request->upstream) {
      this->upstreams.OnReplaced(request->upstream, request->address,
                                 this->hooks.now());
    } else if (request->caller.key) {
      this->hooks.reportNotOwner(service, *request->caller.key,
                                 request->upstream);
      // The same upstream may own the key again later.
      std::erase(request->tried, request->upstream);
      request->notBefore = this->hooks.now() + kHandOverPause;
    }
    this->Retry(request, ErrorKind::kUpstreamFenced);
  } else if (aResponse.notRun) {
    this->EndAttempt(*request, AttemptResult::kRefused, aResponse.load,
                     "refused");
    std::erase(request->tried, request->upstream);
    request->refusedBy = request->upstream;
    if (this->IsOwnerOverloaded(*request)) {
      this->Fail(request, ErrorKind::kUpstreamShed);
    } else {
      this->Retry(request, ErrorKind::kUpstreamShed);
    }
  } else if (PromisesNotRun(status) && !IsIdempotent(request->route->kind)) {
    this->EndAttempt(*request, AttemptResult::kFailed, aResponse.load,
                     "unpromised");
    ++request->mayHaveRunAt;
    this->Fail(request, ErrorKind::kUpstreamFailed);
  } else if (IsSuccess(status) && !aResponse.isSigned) {
    this->EndAttempt(*request, AttemptResult::kFailed, aResponse.load,
                     "unsigned");
    ++request->mayHaveRunAt;
    this->Retry(request, ErrorKind::kUpstreamBroken);
  } else if (IsServerError(status)) {
    this->EndAttempt(*request, AttemptResult::kFailed, aResponse.load,
                     "failed");
    ++request->mayHaveRunAt;
    if (IsIdempotent(request->route->kind) && !this->IsKeptByRest(*request) &&
        this->MayRetry(*request, ErrorKind::kUpstreamFailed) &&
        this->IsAnotherRunAllowed(*request)) {
      this->Retry(request, ErrorKind::kUpstreamFailed);
    } else {
      this->Finish(request, { std::move(aResponse.message), {}, {} });
    }
  } else {
    this->EndAttempt(*request, AttemptResult::kServed, aResponse.load,
                     "served");
    this->signals.Rests().OnServed(request->upstream, request->sentAt);
    if (!this->suspects.IsEmpty()) {
      request->hasEndedUpstream = false;
      this->ReportCrashes(this->suspects.OnServed(ContentOf(*request)));
    }
    this->UpdateRouteBytes(*request, aResponse.message.length.value_or(
                                       aResponse.message.body.size()));
    this->Finish(request, { std::move(aResponse.message), {}, {} });
  }
  this->SendWaiting(service);
}

// Whether the owner of the request's key has refused this host as full several
// times: others send it many requests too, and a retry would most likely be
// refused as well.
bool Dispatcher::IsOwnerOverloaded(const Request& aRequest) const
{
  constexpr int kRefusals = 3;
  const UpstreamState* one = this->upstreams.Find(aRequest.upstream);
  return this->hostCount > this->cellHostCount && this->IsKeyed(aRequest) &&
         one != nullptr && one->consecutiveFullRefusals >= kRefusals;
}

void Dispatcher::UpdateRouteBytes(const Request& aRequest,
                                  std::size_t aResponseBytes)
{
  const auto bytes =
    static_cast<double>(aResponseBytes + aRequest.caller.message.Body().size());
  const auto [average, isFirst] =
    this->routeBytes.emplace(aRequest.route->name, bytes);
  average->second += kBytesWeight * (bytes - average->second);
}

void Dispatcher::OnSendFailed(RequestNumber aNumber, TransportError aError)
{
  const auto found = this->requests.find(aNumber);
  if (found == this->requests.end() || !found->second->isRunning) {
    return;
  }
  const RequestPtr request = found->second;
  const state::ServiceName service = request->service;
  if (aError == TransportError::kCallerGone) {
    this->EndAttempt(*request, AttemptResult::kNotSent, {}, "caller-gone");
    request->respond = nullptr;
    this->Finish(request, { {}, ErrorKind::kCallerGone, {} });
    this->SendWaiting(service);
    return;
  }
  if (aError == TransportError::kWithdrawn) {
    this->WithdrawAttempt(request);
    this->SendWaiting(service);
    return;
  }
  const ErrorKind kind = KindOf(aError);
  const bool sent = aError != TransportError::kUnreachable;
  this->EndAttempt(*request,
                   sent ? AttemptResult::kFailed : AttemptResult::kUnreachable,
                   {}, protocol::ErrorInfoFor(kind).name);
  request->mayHaveRunAt += sent ? 1 : 0;
  this->RecordCrash(*request, aError);
  this->Retry(request, kind);
  this->SendWaiting(service);
}

bool Dispatcher::IsTargetStillValid(RequestNumber aNumber) const
{
  const auto found = this->requests.find(aNumber);
  if (found == this->requests.end() || !found->second->isRunning) {
    return false;
  }
  Request& request = *found->second;
  if (!request.isSuspectOnTrial && this->IsQuarantined(request)) {
    return false;
  }
  const UpstreamState* one = this->upstreams.Find(request.upstream);
  if (one == nullptr || !this->upstreams.IsUsable(*one) ||
      one->entry.address != request.address || this->IsResting(*one)) {
    return false;
  }
  if (!this->IsKeyed(request)) {
    return true;
  }
  const state::UpstreamId owner =
    this->hooks.findOwner(request.service, *request.caller.key).upstream;
  return owner.value.empty() || owner == request.upstream;
}

// Takes back an attempt of which nothing was sent, so that the next one does
// not count as a retry.
void Dispatcher::WithdrawAttempt(const RequestPtr& aRequest)
{
  this->EndAttempt(*aRequest, AttemptResult::kNotSent, {}, "withdrawn");
  std::erase(aRequest->tried, aRequest->upstream);
  --aRequest->attemptCount;
  if (this->HasLostAccess(*aRequest)) {
    this->Fail(aRequest, ErrorKind::kApiKeyUnknown);
  } else if (this->IsQuarantined(*aRequest)) {
    this->RefuseQuarantined(aRequest);
  } else if (this->IsKeptByRest(*aRequest)) {
    this->Refuse(aRequest, ErrorKind::kUpstreamResting);
  } else if (!this->TrySend(aRequest)) {
    this->Enqueue(aRequest);
  }
}

bool Dispatcher::MayRetry(const Request& aRequest, ErrorKind aWhy)
{
  if (aRequest.mayHaveRunAt > 0 && !IsIdempotent(aRequest.route->kind)) {
    return false;
  }
  if (aRequest.mayHaveRunAt >= aRequest.route->maxAttempts ||
      aRequest.attemptCount >= kMaxAttempts) {
    return false;
  }
  const TimePoint now = this->hooks.now();
  if (!CanMeetDeadline(aRequest.waiting, now,
                       this->TypicalMs(aRequest.service))) {
    return false;
  }
  // A request that was not sent does not add to any upstream's load.
  return aWhy == ErrorKind::kUpstreamUnreachable ||
         this->StateOf(aRequest.service).budget.HasTokens();
}

// A first run was counted against the team's limit on admission.
bool Dispatcher::IsAnotherRunAllowed(Request& aRequest)
{
  if (aRequest.mayHaveRunAt < aRequest.countedRuns ||
      aRequest.caller.team.value.empty()) {
    return true;
  }
  if (!this->hooks.allowsAnotherRun(aRequest.caller.team)) {
    return false;
  }
  ++aRequest.countedRuns;
  return true;
}

void Dispatcher::Retry(const RequestPtr& aRequest, ErrorKind aWhy)
{
  if (this->HasLostAccess(*aRequest)) {
    this->Fail(aRequest, ErrorKind::kApiKeyUnknown);
    return;
  }
  if (this->IsQuarantined(*aRequest)) {
    this->RefuseQuarantined(aRequest);
    return;
  }
  if (this->IsKeptByRest(*aRequest)) {
    this->Fail(aRequest,
               aRequest->mayHaveRunAt > 0 ? aWhy : ErrorKind::kUpstreamResting);
    return;
  }
  if (!this->MayRetry(*aRequest, aWhy) ||
      !this->IsAnotherRunAllowed(*aRequest)) {
    this->Fail(aRequest, aWhy);
    return;
  }
  if (aWhy != ErrorKind::kUpstreamUnreachable) {
    static_cast<void>(this->StateOf(aRequest->service).budget.Spend());
  }
  this->hooks.onRetry(aWhy);
  if (!this->TrySend(aRequest)) {
    this->Enqueue(aRequest);
  }
}

// Ends a request that is not retried.
void Dispatcher::Fail(const RequestPtr& aRequest, ErrorKind aError)
{
  if (aRequest->mayHaveRunAt == 0) {
    this->Refuse(aRequest, aError);
    return;
  }
  const bool saysUnknown =
    protocol::ErrorInfoFor(aError).outcome == protocol::Outcome::kUnknown;
  this->Finish(aRequest,
               { {}, saysUnknown ? aError : ErrorKind::kUpstreamBroken, {} });
}

// Ends a request that will not be sent again. Unless an attempt may have run,
// the caller is told that the request has not run.
void Dispatcher::Refuse(const RequestPtr& aRequest, ErrorKind aError)
{
  if (aRequest->mayHaveRunAt > 0) {
    this->Finish(aRequest, { {}, ErrorKind::kUpstreamBroken, {} });
    return;
  }
  constexpr std::size_t kSteps = 1000;
  const double spread =
    static_cast<double>(this->hooks.random(kSteps)) / kSteps;
  this->Finish(aRequest,
               { {}, aError, RetryAfter(this->Forecast(*aRequest), spread) });
}

void Dispatcher::Finish(const RequestPtr& aRequest, CallerResponse aResponse)
{
  const TimePoint now = this->hooks.now();
  RequestTrace trace;
  trace.number = aRequest->number;
  trace.id = aRequest->caller.id;
  if (aRequest->route != nullptr) {
    trace.route = aRequest->route->name;
  }
  if (this->requests.erase(aRequest->number) > 0) {
    trace.queued = this->StateOf(aRequest->service).waiting.size();
    this->deadlines.erase(aRequest->deadline);
  }
  trace.service = aRequest->service.value;
  trace.key = aRequest->caller.key;
  trace.team = aRequest->caller.team;
  trace.mayHaveRun = aRequest->mayHaveRunAt > 0 || aResponse.message;
  trace.attempts = aRequest->attemptLog;
  trace.error = aResponse.error;
  trace.status = aResponse.message
                   ? aResponse.message->status
                   : protocol::ErrorInfoFor(aResponse.error).httpStatus;
  trace.waited =
    ToMs(aRequest->attemptCount == 0 ? now - aRequest->caller.arrived
                                     : aRequest->waited);
  trace.took = ToMs(now - aRequest->caller.arrived);
  trace.configuration = aRequest->routes->CurrentConfiguration().version;
  if (aRequest->hasEndedUpstream ||
      aResponse.error == ErrorKind::kRequestQuarantined) {
    const ContentHash& content = ContentOf(*aRequest);
    trace.suspect = LogText(this->suspects.NameOf(content));
    this->ReportCrashes(this->suspects.TakeReports(content));
  }
  this->hooks.onRequestEnded(trace);
  if (aRequest->respond) {
    const Respond respond = std::move(aRequest->respond);
    aRequest->respond = nullptr;
    respond(std::move(aResponse));
  }
}

void Dispatcher::OnDeadline(const RequestPtr& aRequest)
{
  if (!aRequest->isRunning) {
    this->Unqueue(*aRequest);
    this->Refuse(aRequest, ErrorKind::kNoUpstream);
    return;
  }
  const state::ServiceName service = aRequest->service;
  if (this->CancelAttempt(*aRequest, "deadline") ||
      aRequest->mayHaveRunAt > 0) {
    this->Finish(aRequest, { {}, ErrorKind::kUpstreamTimeout, {} });
  } else {
    this->Refuse(aRequest, ErrorKind::kUpstreamUnreachable);
  }
  this->SendWaiting(service);
}

// An attempt that still waits for a connection has certainly not run. That it
// waited so long counts against the upstream, but is no measure of its route.
bool Dispatcher::CancelAttempt(Request& aRequest, std::string_view aResultName)
{
  const bool mayHaveRun = this->hooks.cancel(aRequest.number);
  if (mayHaveRun) {
    ++aRequest.mayHaveRunAt;
    this->LearnWork(aRequest, AttemptResult::kAbandoned, {});
  }
  this->EndAttempt(aRequest, AttemptResult::kAbandoned, {}, aResultName);
  return mayHaveRun;
}

void Dispatcher::EndAllRequests()
{
  this->isAccepting = false;
  std::vector<RequestPtr> left;
  std::ranges::transform(this->requests, std::back_inserter(left),
                         [](const auto& aItem) { return aItem.second; });
  // The end of a running request would send one that waits.
  std::ranges::stable_partition(
    left, [](const RequestPtr& aOne) { return !aOne->isRunning; });
  for (const RequestPtr& request : left) {
    // The end of one request may have ended another.
    if (this->requests.contains(request->number)) {
      this->OnDeadline(request);
    }
  }
}

void Dispatcher::RecheckWaitingRequests()
{
  for (const auto& [name, service] : this->services) {
    for (const RequestPtr& request : service->waiting) {
      request->notBefore = {};
    }
    this->SendWaiting(name);
  }
}

void Dispatcher::OnTimer()
{
  const TimePoint now = this->hooks.now();
  for (const PaceNotice& notice : this->paces.OnTimer()) {
    if (this->hooks.onPaceChanged) {
      this->hooks.onPaceChanged(notice);
    }
  }
  while (!this->deadlines.empty() &&
         this->deadlines.begin()->first <= now + kResponseMargin) {
    const auto found = this->requests.find(this->deadlines.begin()->second);
    // OnDeadline removes the request from the map, and with it a reference into
    // the map.
    const RequestPtr request = found->second;
    this->OnDeadline(request);
  }
  for (const auto& [name, service] : this->services) {
    if (!service->waiting.empty() && service->nextCheckAt <= now) {
      this->SendWaiting(name);
    }
  }
}

std::optional<TimePoint> Dispatcher::NextDue() const
{
  std::optional<TimePoint> due;
  if (!this->deadlines.empty()) {
    due = this->deadlines.begin()->first - kResponseMargin;
  }
  for (const auto& [name, service] : this->services) {
    if (!service->waiting.empty() && (!due || service->nextCheckAt < *due)) {
      due = service->nextCheckAt;
    }
  }
  return due;
}

std::size_t Dispatcher::WaitingCount() const
{
  return std::accumulate(this->services.begin(), this->services.end(),
                         std::size_t{ 0 },
                         [](std::size_t aSum, const auto& aItem) {
                           return aSum + aItem.second->waiting.size();
                         });
}

} // namespace kumquat::routing
