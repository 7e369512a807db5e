// A request from its arrival to its one answer.

#include "routing/internal/dispatcherparts.h"

#include <algorithm>
#include <iterator>
#include <numeric>
#include <utility>

namespace kumquat::routing {

using protocol::ErrorKind;
using std::chrono::milliseconds;
using transport::TransportError;

namespace {

// Waiting requests look for room this often even if nothing was heard: peers'
// digests come every 200 ms, and a paced cold upstream tells nothing at all.
constexpr milliseconds kLookAgain{ 25 };
// Weight of one request in the average size; sizes of a route hardly change.
constexpr double kBytesWeight = 0.05;
// Times that one request is sent where each send was refused or never left.
// Four find a free upstream among fifteen unless all are full.
constexpr std::size_t kMostSends = 4;
// Part of the allowed further sends that is used: requests of one span are
// counted with sends of another where the spans are cut differently.
constexpr double kBudgetMargin = 0.8;
// Hosts that are assumed while fewer have been heard.
constexpr std::size_t kLeastHosts = 4;
// An answer that arrives in the last moment has to reach the caller too.
constexpr milliseconds kAnswerMargin{ 10 };
// A request for a key that moves waits so long before it looks again, if the
// new map does not come first; a hand-over takes about one request's time.
constexpr milliseconds kMovingPause{ 30 };
// A caller of a host that stops finds another one on its next connection.
constexpr milliseconds kAskAnotherHost{ 20 };

bool IsServerError(int aStatus)
{
  return aStatus >= 500;
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
  , coldPace(this->options.host)
  , ownerPace(this->options.host)
{
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::SetRoutes(std::shared_ptr<const RouteTable> aRoutes)
{
  this->routes = std::move(aRoutes);
  std::erase_if(this->splits, [this](const auto& aItem) {
    return std::ranges::none_of(
      this->routes->CurrentConfiguration().routes,
      [&aItem](const Route& aRoute) { return aRoute.name == aItem.first; });
  });
}

void Dispatcher::SetHosts(const std::vector<state::HostId>& aCell,
                          const std::vector<state::HostId>& aAll,
                          bool aAreAllKnown)
{
  this->areAllKnown = aAreAllKnown;
  this->cellCount = std::max<std::size_t>(1, aCell.size());
  this->hostCount = std::max(this->cellCount, aAll.size());
  this->upstreams.SetHostCount(this->hostCount);
  this->coldPace.SetHosts(aCell);
  this->ownerPace.SetHosts(aAll);
  for (const auto& [name, service] : this->services) {
    service->budget.SetMostTokens(this->MostResends());
  }
}

// This host's part of what all may send once more beside the share. A host
// that has just started has heard nobody yet, and must not take the whole.
double Dispatcher::MostResends() const
{
  if (!this->areAllKnown) {
    return 1.0;
  }
  const auto hosts = std::max(kLeastHosts, this->hostCount);
  return std::max(1.0, kBudgetMargin * this->options.resendExtra /
                         static_cast<double>(hosts));
}

Dispatcher::ServiceState& Dispatcher::StateOf(const state::ServiceName& aName)
{
  std::unique_ptr<ServiceState>& state = this->services[aName];
  if (!state) {
    state = std::make_unique<ServiceState>();
    state->budget = coordination::RetryBudget(
      kBudgetMargin * this->options.resendShare, this->MostResends());
  }
  return *state;
}

// Smooth weighted round robin: over any run of requests each service's share
// is within one request of its weight, where chance would stray by its root.
const state::ServiceName& Dispatcher::PickService(const Route& aRoute)
{
  if (aRoute.destinations.size() == 1) {
    return aRoute.destinations.front().service;
  }
  std::map<state::ServiceName, double>& current = this->splits[aRoute.name];
  const double total = std::accumulate(
    aRoute.destinations.begin(), aRoute.destinations.end(), 0.0,
    [](double aSum, const Destination& aOne) { return aSum + aOne.weight; });
  if (current.empty()) {
    // Hosts start at different places, or their first requests would all go
    // to the heaviest.
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
  const TimePoint arrived = request->caller.arrived;
  if (request->route == nullptr) {
    request->deadline = this->deadlines.end();
    const bool known = this->routes->CurrentConfiguration().version > 0;
    this->Finish(request, { {},
                            known ? ErrorKind::kUnknownService
                                  : ErrorKind::kStoreUnavailable,
                            {} });
    return request->number;
  }
  if (!this->takes) {
    request->deadline = this->deadlines.end();
    this->Finish(request, { {}, ErrorKind::kStopping, kAskAnotherHost });
    return request->number;
  }
  const Route& route = *request->route;
  const milliseconds patience =
    std::min(request->caller.timeout, route.timeout);
  request->service = this->PickService(route);
  request->waiting = { route.priority, arrived, arrived + route.targetLatency,
                       arrived + patience };
  this->requests.emplace(request->number, request);
  request->deadline =
    this->deadlines.emplace(request->waiting.deadline, request->number);
  this->StateOf(request->service).budget.OnRequest();
  // Those that wait already go first where they may use what this one may.
  if (this->StateOf(request->service).waiting.empty() &&
      this->TryPlace(request)) {
    return request->number;
  }
  if (!IsWorthQueueing(request->waiting, this->Outlook(*request),
                       this->hooks.now())) {
    this->Refuse(request, ErrorKind::kQueueFull);
    return request->number;
  }
  this->Enqueue(request);
  this->Pump(request->service);
  return request->number;
}

bool Dispatcher::TryPlace(const RequestPtr& aRequest)
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
  aRequest->isElsewhere = !this->IsKeyed(*aRequest) && !aUpstream.isInCell;
  if (aRequest->isElsewhere) {
    this->StateOf(aRequest->service).elsewhere.OnSent();
  }
  aRequest->sentAt = now;
  aRequest->before = aUpstream.Outstanding();
  aRequest->tried.push_back(aUpstream.entry.id);
  ++aRequest->sends;
  if (aRequest->sends == 1) {
    aRequest->waited = now - aRequest->caller.arrived;
  }
  ++this->running;
  ++this->changes;
  if (aUpstream.coldUntil > now) {
    ColdRateLimiter& pace =
      this->IsKeyed(*aRequest) ? this->ownerPace : this->coldPace;
    pace.OnSent(aUpstream.entry.id, now);
  }
  UpstreamRequest send;
  send.number = aRequest->number;
  send.upstream = aUpstream.entry.id;
  send.address = aUpstream.entry.address;
  send.id = aRequest->caller.id;
  send.message = &aRequest->caller.message;
  send.key = aRequest->caller.key;
  send.timeout =
    std::max(milliseconds(1), ToMs(aRequest->waiting.deadline - now));
  this->upstreams.OnSent(aUpstream.entry.id, now);
  this->hooks.send(send);
}

void Dispatcher::Enqueue(const RequestPtr& aRequest)
{
  aRequest->refusedBy = {};
  ServiceState& service = this->StateOf(aRequest->service);
  service.waiting.push_back(aRequest);
  service.lookAgain = this->hooks.now() + kLookAgain;
}

void Dispatcher::Pump(const state::ServiceName& aName)
{
  ServiceState& service = this->StateOf(aName);
  if (service.waiting.empty()) {
    return;
  }
  const TimePoint now = this->hooks.now();
  const double usualMs = this->UsualMs(aName);
  std::vector<RequestPtr> order(service.waiting.begin(), service.waiting.end());
  std::ranges::stable_sort(
    order, [&](const RequestPtr& aOne, const RequestPtr& aOther) {
      return IsServedBefore(aOne->waiting, aOther->waiting, now, usualMs);
    });
  for (const RequestPtr& request : order) {
    if (!this->requests.contains(request->number) || request->isRunning) {
      continue;
    }
    if (!IsWorthWaiting(request->waiting, now, usualMs)) {
      service.waiting.remove(request);
      this->Refuse(request, ErrorKind::kNoUpstream);
      continue;
    }
    if (request->notBefore > now) {
      continue;
    }
    const UpstreamState* upstream = this->Choose(*request);
    if (upstream != nullptr) {
      service.waiting.remove(request);
      this->Send(request, *upstream);
    }
  }
  service.lookAgain = now + kLookAgain;
}

void Dispatcher::OnCallerGone(RequestNumber aNumber)
{
  const auto found = this->requests.find(aNumber);
  if (found == this->requests.end()) {
    return;
  }
  const RequestPtr request = found->second;
  if (request->isRunning) {
    // What may run only once has most likely begun; its end costs nobody.
    if (!IsIdempotent(request->route->kind)) {
      return;
    }
    this->hooks.cancel(aNumber);
    this->LeaveUpstream(*request, AttemptResult::kAbandoned, {}, "caller-gone");
  } else {
    this->StateOf(request->service).waiting.remove(request);
  }
  request->respond = nullptr;
  this->Finish(request, { {}, ErrorKind::kCallerGone, {} });
}

void Dispatcher::LeaveUpstream(Request& aRequest, AttemptResult aClass,
                               const std::optional<UpstreamLoad>& aLoad,
                               std::string_view aWord)
{
  const TimePoint now = this->hooks.now();
  this->upstreams.OnAttemptEnded(aRequest.upstream, aRequest.sentAt,
                                 aRequest.before, aClass, aLoad, now);
  aRequest.isRunning = false;
  if (aRequest.isElsewhere) {
    const bool busy =
      aClass != AttemptResult::kServed || (aLoad && aLoad->waiting > 0);
    this->StateOf(aRequest.service).elsewhere.OnEnded(busy, now);
  }
  --this->running;
  ++this->changes;
  if (!aRequest.story.empty()) {
    aRequest.story += "; ";
  }
  aRequest.story += aRequest.upstream.value;
  aRequest.story += ' ';
  aRequest.story += aWord;
  aRequest.story += ' ';
  aRequest.story += std::to_string(ToMs(now - aRequest.sentAt).count());
  aRequest.story += "ms behind ";
  aRequest.story += std::to_string(aRequest.before);
}

void Dispatcher::OnUpstreamResponse(RequestNumber aNumber,
                                    UpstreamResponse aAnswer)
{
  const auto found = this->requests.find(aNumber);
  if (found == this->requests.end() || !found->second->isRunning) {
    return;
  }
  const RequestPtr request = found->second;
  const state::ServiceName service = request->service;
  const int status = aAnswer.message.status;
  if (aAnswer.wrongUpstream) {
    this->LeaveUpstream(*request, AttemptResult::kRefused, aAnswer.load,
                        "wrong-upstream");
    if (!aAnswer.respondedBy.value.empty() &&
        aAnswer.respondedBy != request->upstream) {
      this->upstreams.OnReplaced(request->upstream, request->address,
                                 this->hooks.now());
    } else if (request->caller.key) {
      this->hooks.reportNotOwner(service, *request->caller.key,
                                 request->upstream);
      // The same upstream may be its owner again.
      std::erase(request->tried, request->upstream);
      request->notBefore = this->hooks.now() + kMovingPause;
    }
    this->Resend(request, ErrorKind::kUpstreamFenced);
  } else if (aAnswer.notRun) {
    this->LeaveUpstream(*request, AttemptResult::kRefused, aAnswer.load,
                        "refused");
    std::erase(request->tried, request->upstream);
    request->refusedBy = request->upstream;
    if (this->IsOverrun(*request)) {
      this->Fail(request, ErrorKind::kUpstreamShed);
    } else {
      this->Resend(request, ErrorKind::kUpstreamShed);
    }
  } else if (IsSuccess(status) && !aAnswer.isSigned) {
    this->LeaveUpstream(*request, AttemptResult::kFailed, aAnswer.load,
                        "unsigned");
    ++request->mayHaveRunAt;
    this->Resend(request, ErrorKind::kUpstreamBroken);
  } else if (IsServerError(status)) {
    this->LeaveUpstream(*request, AttemptResult::kFailed, aAnswer.load,
                        "failed");
    ++request->mayHaveRunAt;
    if (IsIdempotent(request->route->kind) &&
        this->MayResend(*request, ErrorKind::kUpstreamFailed)) {
      this->Resend(request, ErrorKind::kUpstreamFailed);
    } else {
      this->Finish(request, { std::move(aAnswer.message), {}, {} });
    }
  } else {
    this->LeaveUpstream(*request, AttemptResult::kServed, aAnswer.load,
                        "served");
    this->LearnBytes(
      *request, aAnswer.message.length.value_or(aAnswer.message.body.size()));
    this->Finish(request, { std::move(aAnswer.message), {}, {} });
  }
  this->Pump(service);
}

// The owner of the request's key has refused this host as full several times:
// others press it too, and a further send would most likely be refused as well.
bool Dispatcher::IsOverrun(const Request& aRequest) const
{
  constexpr int kRefusals = 3;
  const UpstreamState* one = this->upstreams.Find(aRequest.upstream);
  return this->hostCount > this->cellCount && this->IsKeyed(aRequest) &&
         one != nullptr && one->consecutiveFullRefusals >= kRefusals;
}

void Dispatcher::LearnBytes(const Request& aRequest, std::size_t aAnswered)
{
  const auto bytes =
    static_cast<double>(aAnswered + aRequest.caller.message.body.size());
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
    this->LeaveUpstream(*request, AttemptResult::kNotSent, {}, "caller-gone");
    request->respond = nullptr;
    this->Finish(request, { {}, ErrorKind::kCallerGone, {} });
    this->Pump(service);
    return;
  }
  if (aError == TransportError::kWithdrawn) {
    this->Withdraw(request);
    this->Pump(service);
    return;
  }
  const ErrorKind kind = KindOf(aError);
  const bool sent = aError != TransportError::kUnreachable;
  this->LeaveUpstream(
    *request, sent ? AttemptResult::kFailed : AttemptResult::kUnreachable, {},
    protocol::ErrorInfoFor(kind).name);
  request->mayHaveRunAt += sent ? 1 : 0;
  this->Resend(request, kind);
  this->Pump(service);
}

bool Dispatcher::IsTargetStillValid(RequestNumber aNumber) const
{
  const auto found = this->requests.find(aNumber);
  if (found == this->requests.end() || !found->second->isRunning) {
    return false;
  }
  const Request& request = *found->second;
  const UpstreamState* one = this->upstreams.Find(request.upstream);
  if (one == nullptr || !this->upstreams.IsUsable(*one) ||
      one->entry.address != request.address) {
    return false;
  }
  if (!this->IsKeyed(request)) {
    return true;
  }
  const state::UpstreamId owner =
    this->hooks.findOwner(request.service, *request.caller.key).upstream;
  return owner.value.empty() || owner == request.upstream;
}

// Nothing left this host, so that it is no further send.
void Dispatcher::Withdraw(const RequestPtr& aRequest)
{
  this->LeaveUpstream(*aRequest, AttemptResult::kNotSent, {}, "withdrawn");
  std::erase(aRequest->tried, aRequest->upstream);
  --aRequest->sends;
  if (!this->TryPlace(aRequest)) {
    this->Enqueue(aRequest);
  }
}

bool Dispatcher::MayResend(const Request& aRequest, ErrorKind aWhy)
{
  if (aRequest.mayHaveRunAt > 0 && !IsIdempotent(aRequest.route->kind)) {
    return false;
  }
  if (aRequest.mayHaveRunAt >= aRequest.route->maxAttempts ||
      aRequest.sends >= kMostSends) {
    return false;
  }
  const TimePoint now = this->hooks.now();
  if (!CanMeetDeadline(aRequest.waiting, now,
                       this->UsualMs(aRequest.service))) {
    return false;
  }
  // A send that never left is no arrival anywhere.
  return aWhy == ErrorKind::kUpstreamUnreachable ||
         this->StateOf(aRequest.service).budget.HasTokens();
}

void Dispatcher::Resend(const RequestPtr& aRequest, ErrorKind aWhy)
{
  if (!this->MayResend(*aRequest, aWhy)) {
    this->Fail(aRequest, aWhy);
    return;
  }
  if (aWhy != ErrorKind::kUpstreamUnreachable) {
    static_cast<void>(this->StateOf(aRequest->service).budget.Spend());
  }
  this->hooks.onRetry(aWhy);
  if (!this->TryPlace(aRequest)) {
    this->Enqueue(aRequest);
  }
}

// Ends a request that is not sent any more.
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

// Ends a request that surely has not run and never will.
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
               { {}, aError, RetryAfter(this->Outlook(*aRequest), spread) });
}

void Dispatcher::Finish(const RequestPtr& aRequest, CallerResponse aAnswer)
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
  trace.attempts = aRequest->story;
  trace.error = aAnswer.error;
  trace.status = aAnswer.message
                   ? aAnswer.message->status
                   : protocol::ErrorInfoFor(aAnswer.error).httpStatus;
  trace.waited = ToMs(aRequest->sends == 0 ? now - aRequest->caller.arrived
                                           : aRequest->waited);
  trace.took = ToMs(now - aRequest->caller.arrived);
  trace.configuration = aRequest->routes->CurrentConfiguration().version;
  this->hooks.onRequestEnded(trace);
  if (aRequest->respond) {
    const Respond respond = std::move(aRequest->respond);
    aRequest->respond = nullptr;
    respond(std::move(aAnswer));
  }
}

void Dispatcher::OnDeadline(const RequestPtr& aRequest)
{
  if (!aRequest->isRunning) {
    this->StateOf(aRequest->service).waiting.remove(aRequest);
    this->Refuse(aRequest, ErrorKind::kNoUpstream);
    return;
  }
  const state::ServiceName service = aRequest->service;
  this->hooks.cancel(aRequest->number);
  ++aRequest->mayHaveRunAt;
  this->LeaveUpstream(*aRequest, AttemptResult::kAbandoned, {}, "deadline");
  this->Finish(aRequest, { {}, ErrorKind::kUpstreamTimeout, {} });
  this->Pump(service);
}

void Dispatcher::EndAllRequests()
{
  this->takes = false;
  std::vector<RequestPtr> left;
  std::ranges::transform(this->requests, std::back_inserter(left),
                         [](const auto& aItem) { return aItem.second; });
  for (const RequestPtr& request : left) {
    // The end of one may have ended another.
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
    this->Pump(name);
  }
}

void Dispatcher::OnTimer()
{
  const TimePoint now = this->hooks.now();
  while (!this->deadlines.empty() &&
         this->deadlines.begin()->first <= now + kAnswerMargin) {
    const auto found = this->requests.find(this->deadlines.begin()->second);
    // Its end takes it out of the map, and a reference into that with it.
    const RequestPtr request = found->second;
    this->OnDeadline(request);
  }
  for (const auto& [name, service] : this->services) {
    if (!service->waiting.empty() && service->lookAgain <= now) {
      this->Pump(name);
    }
  }
}

std::optional<TimePoint> Dispatcher::NextDue() const
{
  std::optional<TimePoint> due;
  if (!this->deadlines.empty()) {
    due = this->deadlines.begin()->first - kAnswerMargin;
  }
  for (const auto& [name, service] : this->services) {
    if (!service->waiting.empty() && (!due || service->lookAgain < *due)) {
      due = service->lookAgain;
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
