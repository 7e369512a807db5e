// Which upstream a request may go to now, and what it can expect if it waits.

#include "routing/internal/dispatcherparts.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace kumquat::routing {

using std::chrono::milliseconds;

namespace {

// What a request is assumed to take while nothing is known of its service.
constexpr double kUnknownServiceMs = 120;
// Bytes of a large request and its response while nothing is known of its
// route.
constexpr double kUnknownLargeBytes = 50'000;
// Time that a hand-over of keys takes: running requests end, a release and a
// grant are confirmed, and the map reaches all hosts.
constexpr milliseconds kHandOverTime{ 500 };
// So long before a large response would be late it is fetched from another data
// centre: waiting requests are checked twice in that time.
constexpr milliseconds kRemoteLeadTime{ 50 };

// Leaves out remote upstreams if there is a local one that is not ejected.
void KeepOnlyLocal(std::vector<UpstreamState*>& aCandidates,
                   const PlacementContext& aContext)
{
  const auto isLocal = [&aContext](const UpstreamState* aOne) {
    return aOne->entry.dataCentre == aContext.dataCentre &&
           aOne->ejectedUntil <= aContext.now;
  };
  if (std::ranges::any_of(aCandidates, isLocal)) {
    std::erase_if(aCandidates,
                  [&](const UpstreamState* aOne) { return !isLocal(aOne); });
  }
}

} // namespace

double Dispatcher::TypicalMs(const state::ServiceName& aName)
{
  const double known =
    this->upstreams.TypicalServiceMs(aName, this->hooks.now());
  return known > 0 ? known : kUnknownServiceMs;
}

double Dispatcher::WorkOf(const Request& aRequest) const
{
  return this->works.WorkOf(aRequest.service, aRequest.route->name);
}

// Only from responses: an error or a refusal may come at once. The times of a
// cold upstream are no measure, and those of one that is unknown only while
// nothing is known of the route either.
//
// Requests that other hosts have just sent are not known here when an upstream
// is chosen. As each route would wait for them alike, they would make the works
// look alike; the queue that the response reports is taken to be the one that
// the request met.
void Dispatcher::LearnWork(const Request& aRequest, AttemptResult aResult,
                           const std::optional<UpstreamLoad>& aLoad)
{
  if (!this->works.Covers(aRequest.service)) {
    return;
  }
  const TimePoint now = this->hooks.now();
  const UpstreamState* one = this->upstreams.Find(aRequest.upstream);
  const double typicalMs =
    this->upstreams.TypicalServiceMs(aRequest.service, now);
  if (one == nullptr || one->entry.startedMs != aRequest.upstreamStartedMs ||
      one->coldUntil > now || typicalMs <= 0) {
    return;
  }
  const double tookMs =
    std::chrono::duration<double, std::milli>(now - aRequest.sentAt).count();
  const int reported = aLoad ? aLoad->running + aLoad->waiting : 0;
  const int ahead = std::max(aRequest.requestsAhead, reported);
  const double work = tookMs / EstimatedServiceMs(*one, typicalMs, now) -
                      (RoundsBehind(*one, ahead) - 1.0);
  if (aResult == AttemptResult::kServed) {
    this->works.OnServed(aRequest.service, aRequest.route->name, work);
  } else if (aResult == AttemptResult::kAbandoned) {
    this->works.OnAbandoned(aRequest.service, aRequest.route->name, work);
  }
}

double Dispatcher::WorkWaitingFor(const state::UpstreamId& aOwner) const
{
  double sum = 0;
  for (const auto& [name, service] : this->services) {
    if (!this->works.Covers(name)) {
      for (const auto& [key, count] : service->waitingByKey) {
        sum += this->hooks.findOwner(name, key).upstream == aOwner ? count : 0;
      }
      continue;
    }
    for (const RequestPtr& request : service->waiting) {
      if (this->IsKeyed(*request) &&
          this->hooks.findOwner(name, *request->caller.key).upstream ==
            aOwner) {
        sum += request->waiting.work;
      }
    }
  }
  return sum;
}

bool Dispatcher::IsKeyed(const Request& aRequest) const
{
  const Service* service = aRequest.routes->FindService(aRequest.service);
  return service != nullptr && service->keyed && aRequest.caller.key;
}

QueueForecast Dispatcher::Forecast(const Request& aRequest)
{
  if (this->IsKeyed(aRequest)) {
    return this->ForecastForOwner(aRequest);
  }
  QueueForecast forecast;
  forecast.typicalMs = this->TypicalMs(aRequest.service);
  ServiceState& service = this->StateOf(aRequest.service);
  forecast.queued =
    std::accumulate(service.waiting.begin(), service.waiting.end(), 0.0,
                    [](double aSum, const RequestPtr& aOne) {
                      return aSum + aOne->waiting.work;
                    });
  const TimePoint now = this->hooks.now();
  const ServiceUpstreams& upstreamsOf =
    this->upstreams.ForService(aRequest.service);
  for (const UpstreamState* one : upstreamsOf.inCell) {
    if (one->ejectedUntil <= now && !this->IsResting(*one)) {
      const double perSecond =
        1000.0 * one->entry.slots /
        EstimatedServiceMs(*one, forecast.typicalMs, now);
      const std::optional<SharedRate> limit = this->LimitOf(*one);
      forecast.perSecond +=
        limit
          ? std::min(perSecond,
                     this->MayUseLimited(*one, false)
                       ? this->cellRateLimiter.OwnShare(one->entry.id, *limit) *
                           static_cast<double>(this->cellHostCount)
                       : 0.0)
          : perSecond;
    }
  }
  forecast.perSecond /= static_cast<double>(this->cellHostCount);
  if (!upstreamsOf.inOtherCells.empty()) {
    forecast.perSecond +=
      1000.0 * service.spillover.Limit() / forecast.typicalMs;
  }
  if (const auto end = this->EndOfRest(aRequest)) {
    forecast.pause = std::chrono::ceil<milliseconds>(*end - now);
  }
  return forecast;
}

// One upstream runs the key's requests, and all hosts send them there. During a
// hand-over they wait for about one request's time. If it takes longer
// something has failed, and there is no estimate for the end of that.
QueueForecast Dispatcher::ForecastForOwner(const Request& aRequest)
{
  QueueForecast forecast;
  forecast.typicalMs = this->TypicalMs(aRequest.service);
  const KeyOwner owner =
    this->hooks.findOwner(aRequest.service, *aRequest.caller.key);
  const UpstreamState* one = this->upstreams.Find(owner.upstream);
  const TimePoint now = this->hooks.now();
  if (one == nullptr || !this->upstreams.IsUsable(*one)) {
    const bool isLeaving = one != nullptr && one->entry.leaving;
    const Duration handOverTime =
      isLeaving ? now - one->leavingSince : owner.unchangedFor;
    forecast.queued = 1;
    forecast.perSecond =
      handOverTime < kHandOverTime ? 1000.0 / forecast.typicalMs : 0;
    return forecast;
  }
  forecast.typicalMs = EstimatedServiceMs(*one, forecast.typicalMs, now);
  if (one->ejectedUntil > now) {
    forecast.queued = 1;
    return forecast;
  }
  // Hosts of other cells do not report what waits there; it is taken to be as
  // much per host as in this cell.
  const double knownShare = static_cast<double>(this->cellHostCount) /
                            static_cast<double>(this->hostCount);
  forecast.queued = this->WorkWaitingFor(owner.upstream) + one->waitingAtPeers;
  const double totalPerSecond = 1000.0 * one->entry.slots / forecast.typicalMs;
  forecast.perSecond = totalPerSecond * knownShare;
  forecast.nextMs = 1000.0 / totalPerSecond;
  if (one->fullUntil > now) {
    forecast.pause =
      std::chrono::duration_cast<milliseconds>(one->fullUntil - now);
  }
  if (const auto end = this->signals.Rests().EndOf(owner.upstream)) {
    forecast.pause =
      std::max(forecast.pause, std::chrono::ceil<milliseconds>(*end - now));
  }
  this->ApplyOwnersLimit(*one, now, forecast);
  return forecast;
}

void Dispatcher::ApplyOwnersLimit(const UpstreamState& aOwner, TimePoint aNow,
                                  QueueForecast& aForecast) const
{
  const std::optional<SharedRate> limit = this->LimitOf(aOwner);
  if (!limit) {
    return;
  }
  const double share = this->ownerRateLimiter.OwnShare(aOwner.entry.id, *limit);
  if (share < aForecast.perSecond) {
    aForecast.perSecond = share;
    aForecast.nextMs = 0;
  }
  if (share <= 0) {
    // The request cannot be sent from this host.
    aForecast.queued = std::max(1.0, aForecast.queued);
    return;
  }
  aForecast.pause =
    std::max(aForecast.pause,
             std::chrono::ceil<milliseconds>(
               this->ownerRateLimiter.WaitTime(aOwner.entry.id, *limit, aNow)));
}

std::map<state::UpstreamId, int> Dispatcher::WaitingByOwner() const
{
  std::map<state::UpstreamId, int> counts;
  for (const auto& [name, service] : this->services) {
    for (const auto& [key, count] : service->waitingByKey) {
      counts[this->hooks.findOwner(name, key).upstream] += count;
    }
  }
  return counts;
}

bool Dispatcher::IsWithinColdRate(const Request& aRequest,
                                  const UpstreamState& aOne) const
{
  const Service* service = aRequest.routes->FindService(aRequest.service);
  if (service == nullptr) {
    return true;
  }
  if (this->options.pacesStartingUpstreams && service->coldPerSecond > 0) {
    return this->IsWithinPace(aRequest, *service, aOne);
  }
  const TimePoint now = this->hooks.now();
  if (aOne.coldUntil <= now) {
    return true;
  }
  const double part = this->IsKeyed(aRequest) ? 1 : aOne.cellPart;
  return this->LimiterFor(aRequest).MaySend(
    aOne.entry.id, ColdRate(service->coldPerSecond * part), now);
}

bool Dispatcher::IsWithinPace(const Request& aRequest, const Service& aService,
                              const UpstreamState& aOne) const
{
  const std::optional<double> factor = this->paces.RateFactorOf(aOne.entry.id);
  if (!factor) {
    return true;
  }
  const TimePoint now = this->hooks.now();
  if (!this->areAllHostsKnown ||
      now - this->startedAt < this->options.paceHold) {
    return false;
  }
  const bool isKeyed = this->IsKeyed(aRequest);
  const double part = isKeyed ? 1 : aOne.cellPart;
  const UpstreamRateLimiter& limiter =
    isKeyed ? this->ownerPaceLimiter : this->cellPaceLimiter;
  return limiter.MaySend(
    aOne.entry.id, PaceRate(*factor * aService.coldPerSecond * part), now);
}

void Dispatcher::UpdatePace(const Request& aRequest, UpstreamState& aOne,
                            bool aIsNewOwner)
{
  const Service* service = aRequest.routes->FindService(aRequest.service);
  if (!this->options.pacesStartingUpstreams || service == nullptr ||
      service->coldPerSecond <= 0) {
    return;
  }
  const double knownPart = this->IsKeyed(aRequest)
                             ? static_cast<double>(this->cellHostCount) /
                                 static_cast<double>(this->hostCount)
                             : aOne.cellPart;
  const auto notice =
    this->paces.Update(aOne, { this->hooks.now(), service->coldPerSecond,
                               knownPart, aIsNewOwner });
  if (notice && this->hooks.onPaceChanged) {
    this->hooks.onPaceChanged(*notice);
  }
}

std::optional<SharedRate> Dispatcher::LimitOf(const UpstreamState& aOne) const
{
  const std::optional<double> perSecond =
    this->signals.Limits().IsEmpty()
      ? std::nullopt
      : this->signals.Limits().RateOf(aOne.entry.id);
  return perSecond ? std::optional(LimitRate(*perSecond)) : std::nullopt;
}

const UpstreamRateLimiter& Dispatcher::LimiterFor(const Request& aRequest) const
{
  return this->IsKeyed(aRequest) ? this->ownerRateLimiter
                                 : this->cellRateLimiter;
}

// All hosts send to the owner of a key. Any other upstream that names a limit
// gets requests from one cell alone, which keeps the sum exact.
bool Dispatcher::MayUseLimited(const UpstreamState& aOne, bool aIsKeyed)
{
  return aIsKeyed || (aOne.isInCell && aOne.isInPrimaryCell);
}

bool Dispatcher::IsWithinLimit(const Request& aRequest,
                               const UpstreamState& aOne) const
{
  const std::optional<SharedRate> limit = this->LimitOf(aOne);
  if (!limit) {
    return true;
  }
  return this->MayUseLimited(aOne, this->IsKeyed(aRequest)) &&
         this->LimiterFor(aRequest).MaySend(aOne.entry.id, *limit,
                                            this->hooks.now());
}

bool Dispatcher::IsOpen(const Request& aRequest,
                        const UpstreamState& aOne) const
{
  return this->signals.Rests().Allows(aOne.entry.id, aOne.running.size()) &&
         this->IsWithinColdRate(aRequest, aOne) &&
         this->IsWithinLimit(aRequest, aOne);
}

bool Dispatcher::IsResting(const UpstreamState& aOne) const
{
  return this->signals.Rests().EndOf(aOne.entry.id).has_value();
}

std::optional<TimePoint> Dispatcher::EndOfRest(const Request& aRequest)
{
  const UpstreamRests& rests = this->signals.Rests();
  if (rests.IsEmpty()) {
    return std::nullopt;
  }
  if (this->IsKeyed(aRequest)) {
    return rests.EndOf(
      this->hooks.findOwner(aRequest.service, *aRequest.caller.key).upstream);
  }
  const ServiceUpstreams& ofService =
    this->upstreams.ForService(aRequest.service);
  std::optional<TimePoint> first;
  for (const auto* list : { &ofService.inCell, &ofService.inOtherCells }) {
    for (const UpstreamState* one : *list) {
      if (std::ranges::find(aRequest.tried, one->entry.id) !=
          aRequest.tried.end()) {
        continue;
      }
      const auto end = rests.EndOf(one->entry.id);
      if (!end) {
        return std::nullopt;
      }
      first = first ? std::min(*first, *end) : *end;
    }
  }
  return first;
}

bool Dispatcher::IsKeptByRest(const Request& aRequest)
{
  const auto end = this->EndOfRest(aRequest);
  return end && !IsWorthWaiting(aRequest.waiting, *end,
                                this->TypicalMs(aRequest.service));
}

const UpstreamState* Dispatcher::Choose(const Request& aRequest)
{
  if (this->IsKeyed(aRequest)) {
    return this->ChooseOwner(aRequest);
  }
  std::vector<UpstreamState*> candidates =
    this->upstreams.ForService(aRequest.service).inCell;
  for (UpstreamState* one : candidates) {
    this->UpdatePace(aRequest, *one);
  }
  std::erase_if(candidates, [&](const UpstreamState* aOne) {
    return !this->IsOpen(aRequest, *aOne);
  });
  const PlacementContext context = this->MakeContext(aRequest);
  if (this->ShouldStayLocal(aRequest, context)) {
    KeepOnlyLocal(candidates, context);
  }
  const UpstreamState* inCell =
    ChooseUpstream(candidates, context, this->hooks.random);
  return inCell != nullptr ? inCell
                           : this->ChooseInOtherCells(aRequest, context);
}

const UpstreamState* Dispatcher::ChooseOwner(const Request& aRequest)
{
  constexpr std::chrono::seconds kNewOwnerFor{ 1 };
  const KeyOwner owner =
    this->hooks.findOwner(aRequest.service, *aRequest.caller.key);
  UpstreamState* one = this->upstreams.Find(owner.upstream);
  if (one != nullptr && this->upstreams.IsUsable(*one)) {
    this->UpdatePace(aRequest, *one, owner.unchangedFor < kNewOwnerFor);
  }
  const TimePoint now = this->hooks.now();
  return one != nullptr && this->upstreams.IsUsable(*one) &&
             HasCapacity(*one, now) && this->IsOpen(aRequest, *one) &&
             (!this->sharedServices.contains(aRequest.service) ||
              this->ownerWindows.IsOpen(one->entry.id, one->Outstanding(), now))
           ? one
           : nullptr;
}

// Whether the request should stay in this data centre. Traffic between data
// centres is charged, and for a large response it costs more than a short wait.
// It is fetched from a remote upstream only where waiting on would make it
// late.
bool Dispatcher::ShouldStayLocal(const Request& aRequest,
                                 const PlacementContext& aContext)
{
  constexpr double kLargeBytes = 20'000;
  return aContext.bytes >= kLargeBytes &&
         CanMeetTarget(aRequest.waiting, aContext.now + kRemoteLeadTime,
                       aContext.typicalMs);
}

// Chooses among a few upstreams of other cells, drawn at random: this host
// knows little of any of them, and would otherwise go through hundreds for each
// waiting request. Cold upstreams, and those that name a limit, get requests
// from their own cell alone, which keeps their rate exact.
const UpstreamState* Dispatcher::ChooseInOtherCells(
  const Request& aRequest, const PlacementContext& aContext)
{
  const TimePoint now = this->hooks.now();
  const std::vector<UpstreamState*>& others =
    this->upstreams.ForService(aRequest.service).inOtherCells;
  if (others.empty() ||
      !this->StateOf(aRequest.service).spillover.IsOpen(now)) {
    return nullptr;
  }
  const auto local = std::ranges::equal_range(
    others, this->options.dataCentre, {},
    [](const UpstreamState* aOne) { return aOne->entry.dataCentre; });
  const UpstreamState* found = this->ChooseAmongDrawn(
    aRequest, std::vector<UpstreamState*>(local.begin(), local.end()),
    aContext);
  if (found != nullptr || this->ShouldStayLocal(aRequest, aContext)) {
    return found;
  }
  return this->ChooseAmongDrawn(aRequest, others, aContext);
}

const UpstreamState* Dispatcher::ChooseAmongDrawn(
  const Request& aRequest, const std::vector<UpstreamState*>& aFrom,
  const PlacementContext& aContext)
{
  constexpr std::size_t kDrawn = 6;
  std::vector<UpstreamState*> candidates;
  for (std::size_t i = 0; i < std::min(kDrawn, aFrom.size()); ++i) {
    UpstreamState* one = aFrom[this->hooks.random(aFrom.size())];
    this->UpdatePace(aRequest, *one);
    if (one->coldUntil <= aContext.now && !this->paces.IsPaced(one->entry.id) &&
        !this->LimitOf(*one) &&
        this->signals.Rests().Allows(one->entry.id, one->running.size())) {
      candidates.push_back(one);
    }
  }
  return ChooseUpstream(candidates, aContext, this->hooks.random);
}

PlacementContext Dispatcher::MakeContext(const Request& aRequest)
{
  PlacementContext context;
  context.now = this->hooks.now();
  context.dataCentre = this->options.dataCentre;
  context.tried = aRequest.tried;
  context.tried.push_back(aRequest.refusedBy);
  const auto bytes = this->routeBytes.find(aRequest.route->name);
  context.bytes = bytes != this->routeBytes.end() ? bytes->second
                  : IsLarge(aRequest.route->kind) ? kUnknownLargeBytes
                                                  : 0;
  context.typicalMs = this->TypicalMs(aRequest.service);
  context.work = aRequest.waiting.work;
  return context;
}

} // namespace kumquat::routing
