// Where a request may go now, and what it may expect if it waits.

#include "routing/internal/dispatcherparts.h"

#include <algorithm>
#include <utility>

namespace kumquat::routing {

using std::chrono::milliseconds;

namespace {

// What a request takes of a service of which nothing is known yet.
constexpr double kUnknownServiceMs = 120;
// Of a download of which nothing is known yet.
constexpr double kUnknownDownloadBytes = 50'000;
// A hand-over of keys: the work on them ends, a release and a grant are
// answered, and the map reaches all hosts.
constexpr milliseconds kMoveTakes{ 500 };
// Before a large answer would be late it is had from another data centre; a
// wait of two looks for room.
constexpr milliseconds kFarSooner{ 50 };

// Leaves out those of other data centres where one at hand serves.
void KeepOnlyNear(std::vector<UpstreamState*>& aCandidates,
                  const PlacementContext& aQuestion)
{
  const auto isNear = [&aQuestion](const UpstreamState* aOne) {
    return aOne->entry.dataCentre == aQuestion.dataCentre &&
           aOne->ejectedUntil <= aQuestion.now;
  };
  if (std::ranges::any_of(aCandidates, isNear)) {
    std::erase_if(aCandidates,
                  [&](const UpstreamState* aOne) { return !isNear(aOne); });
  }
}

} // namespace

double Dispatcher::UsualMs(const state::ServiceName& aName)
{
  const double known =
    this->upstreams.TypicalServiceMs(aName, this->hooks.now());
  return known > 0 ? known : kUnknownServiceMs;
}

bool Dispatcher::IsKeyed(const Request& aRequest) const
{
  const Service* service = aRequest.routes->FindService(aRequest.service);
  return service != nullptr && service->keyed && aRequest.caller.key;
}

QueueForecast Dispatcher::Outlook(const Request& aRequest)
{
  if (this->IsKeyed(aRequest)) {
    return this->OwnerOutlook(aRequest);
  }
  QueueForecast outlook;
  outlook.typicalMs = this->UsualMs(aRequest.service);
  ServiceState& service = this->StateOf(aRequest.service);
  outlook.queued = service.waiting.size();
  const TimePoint now = this->hooks.now();
  const ServiceUpstreams& upstreamsOf =
    this->upstreams.ForService(aRequest.service);
  for (const UpstreamState* one : upstreamsOf.inCell) {
    if (one->ejectedUntil <= now) {
      outlook.perSecond += 1000.0 * one->entry.slots /
                           EstimatedServiceMs(*one, outlook.typicalMs, now);
    }
  }
  outlook.perSecond /= static_cast<double>(this->cellCount);
  if (!upstreamsOf.inOtherCells.empty()) {
    outlook.perSecond += 1000.0 * service.elsewhere.Limit() / outlook.typicalMs;
  }
  return outlook;
}

// One upstream runs the key's requests, and all hosts send it theirs. While
// keys move they wait for about one request; when that takes longer something
// is wrong, and nobody can say for how long.
QueueForecast Dispatcher::OwnerOutlook(const Request& aRequest)
{
  QueueForecast outlook;
  outlook.typicalMs = this->UsualMs(aRequest.service);
  const KeyOwner owner =
    this->hooks.findOwner(aRequest.service, *aRequest.caller.key);
  const UpstreamState* one = this->upstreams.Find(owner.upstream);
  if (one == nullptr || !this->upstreams.IsUsable(*one)) {
    outlook.queued = 1;
    outlook.perSecond =
      owner.unchangedFor < kMoveTakes ? 1000.0 / outlook.typicalMs : 0;
    return outlook;
  }
  const TimePoint now = this->hooks.now();
  outlook.typicalMs = EstimatedServiceMs(*one, outlook.typicalMs, now);
  if (one->ejectedUntil > now) {
    outlook.queued = 1;
    return outlook;
  }
  // Hosts of other cells do not tell what waits there; it is taken to be as
  // much as here.
  const double known =
    static_cast<double>(this->cellCount) / static_cast<double>(this->hostCount);
  const int here = this->WaitingByOwner()[owner.upstream];
  outlook.queued = static_cast<std::size_t>(here) +
                   static_cast<std::size_t>(one->waitingAtPeers);
  const double inAll = 1000.0 * one->entry.slots / outlook.typicalMs;
  outlook.perSecond = inAll * known;
  outlook.nextMs = 1000.0 / inAll;
  if (one->fullUntil > now) {
    outlook.pause =
      std::chrono::duration_cast<milliseconds>(one->fullUntil - now);
  }
  return outlook;
}

std::map<state::UpstreamId, int> Dispatcher::WaitingByOwner() const
{
  std::map<state::UpstreamId, int> counts;
  for (const auto& [name, service] : this->services) {
    for (const RequestPtr& request : service->waiting) {
      if (this->IsKeyed(*request)) {
        ++counts[this->hooks.findOwner(name, *request->caller.key).upstream];
      }
    }
  }
  return counts;
}

bool Dispatcher::IsAllowedCold(const Request& aRequest,
                               const UpstreamState& aOne) const
{
  const TimePoint now = this->hooks.now();
  if (aOne.coldUntil <= now) {
    return true;
  }
  const Service* service = aRequest.routes->FindService(aRequest.service);
  const ColdRateLimiter& pace =
    this->IsKeyed(aRequest) ? this->ownerPace : this->coldPace;
  return service == nullptr ||
         pace.MaySend(aOne.entry.id, service->coldPerSecond, now);
}

const UpstreamState* Dispatcher::Choose(const Request& aRequest)
{
  if (this->IsKeyed(aRequest)) {
    return this->ChooseOwner(aRequest);
  }
  std::vector<UpstreamState*> candidates =
    this->upstreams.ForService(aRequest.service).inCell;
  std::erase_if(candidates, [&](const UpstreamState* aOne) {
    return !this->IsAllowedCold(aRequest, *aOne);
  });
  const PlacementContext question = this->Question(aRequest);
  if (this->KeepsNear(aRequest, question)) {
    KeepOnlyNear(candidates, question);
  }
  const UpstreamState* near =
    ChooseUpstream(candidates, question, this->hooks.random);
  return near != nullptr ? near : this->ChooseElsewhere(aRequest, question);
}

const UpstreamState* Dispatcher::ChooseOwner(const Request& aRequest)
{
  const UpstreamState* one = this->upstreams.Find(
    this->hooks.findOwner(aRequest.service, *aRequest.caller.key).upstream);
  return one != nullptr && this->upstreams.IsUsable(*one) &&
             HasCapacity(*one, this->hooks.now()) &&
             this->IsAllowedCold(aRequest, *one)
           ? one
           : nullptr;
}

// Bytes between data centres are paid for, and a large answer's cost more than
// a short wait: it comes from afar only when waiting on would make it late.
bool Dispatcher::KeepsNear(const Request& aRequest,
                           const PlacementContext& aQuestion)
{
  constexpr double kLargeBytes = 20'000;
  return aQuestion.bytes >= kLargeBytes &&
         CanMeetTarget(aRequest.waiting, aQuestion.now + kFarSooner,
                       aQuestion.typicalMs);
}

// Of a few drawn at random: this host knows little of any of them, and would
// otherwise go through hundreds for each request that waits. Cold ones are fed
// by their own cell alone, which keeps their pace exact.
const UpstreamState* Dispatcher::ChooseElsewhere(
  const Request& aRequest, const PlacementContext& aQuestion)
{
  const TimePoint now = this->hooks.now();
  const std::vector<UpstreamState*>& others =
    this->upstreams.ForService(aRequest.service).inOtherCells;
  if (others.empty() ||
      !this->StateOf(aRequest.service).elsewhere.IsOpen(now)) {
    return nullptr;
  }
  const auto near = std::ranges::equal_range(
    others, this->options.dataCentre, {},
    [](const UpstreamState* aOne) { return aOne->entry.dataCentre; });
  const UpstreamState* found = this->Draw(
    std::vector<UpstreamState*>(near.begin(), near.end()), aQuestion);
  if (found != nullptr || this->KeepsNear(aRequest, aQuestion)) {
    return found;
  }
  return this->Draw(others, aQuestion);
}

const UpstreamState* Dispatcher::Draw(const std::vector<UpstreamState*>& aFrom,
                                      const PlacementContext& aQuestion)
{
  constexpr std::size_t kDrawn = 6;
  std::vector<UpstreamState*> candidates;
  for (std::size_t i = 0; i < std::min(kDrawn, aFrom.size()); ++i) {
    UpstreamState* one = aFrom[this->hooks.random(aFrom.size())];
    if (one->coldUntil <= aQuestion.now) {
      candidates.push_back(one);
    }
  }
  return ChooseUpstream(candidates, aQuestion, this->hooks.random);
}

PlacementContext Dispatcher::Question(const Request& aRequest)
{
  PlacementContext question;
  question.now = this->hooks.now();
  question.dataCentre = this->options.dataCentre;
  question.tried = aRequest.tried;
  question.tried.push_back(aRequest.refusedBy);
  const auto bytes = this->routeBytes.find(aRequest.route->name);
  question.bytes = bytes != this->routeBytes.end() ? bytes->second
                   : aRequest.route->kind == RouteKind::kDownload
                     ? kUnknownDownloadBytes
                     : 0;
  question.typicalMs = this->UsualMs(aRequest.service);
  return question;
}

} // namespace kumquat::routing
