// The part of a gateway that passes requests to the proxies of the owners of
// their keys, and takes such requests from peers. See routing/ownerproxies.h.

#include "node/internal/gatewayimpl.h"

#include "node/internal/clocks.h"

#include <algorithm>
#include <set>
#include <utility>

namespace kumquat::node {

using protocol::ErrorKind;
using routing::CallerRequest;
using routing::CallerResponse;
using std::chrono::milliseconds;

namespace {

// Requests of other kinds, and of routes with one attempt, must not run twice,
// and the proxy may be lost with a request that it has sent. Downloads are
// large.
bool MayPassOn(const routing::Route& aRoute)
{
  return aRoute.kind == routing::RouteKind::kIdempotent &&
         aRoute.maxAttempts >= 2 && aRoute.destinations.size() == 1;
}

// Whether the service gets requests that may be passed on; those of teams may
// not.
bool GetsRequestsToPassOn(const routing::Configuration& aConfiguration,
                          const state::ServiceName& aService)
{
  return std::ranges::any_of(
    aConfiguration.routes, [&](const routing::Route& aRoute) {
      return MayPassOn(aRoute) &&
             aRoute.destinations.front().service == aService &&
             (aRoute.isPublic || aConfiguration.teams.empty());
    });
}

} // namespace

RequestProxies::Hooks Gateway::Impl::RequestProxiesHooks()
{
  RequestProxies::Hooks hooks;
  hooks.now = BootTime;
  hooks.send = [this](const state::HostId& aTo, const protocol::Frame& aFrame) {
    return this->peerNetwork->Send(aTo.value, aFrame);
  };
  hooks.hold = [this](std::size_t aBytes) {
    auto held = this->heldBytes->Open(transport::BytePurpose::kResponse);
    // The bytes are here already, so they are kept also where there is no room.
    static_cast<void>(held->GrowTo(aBytes));
    return held;
  };
  hooks.dispatch = [this](CallerRequest aRequest,
                          routing::Dispatcher::Respond aRespond) {
    this->DispatchHere(std::move(aRequest), std::move(aRespond));
  };
  hooks.onEnded = [this](const CallerRequest& aRequest,
                         const state::HostId& aProxy,
                         const CallerResponse& aResponse) {
    this->OnProxiedEnded(aRequest, aProxy, aResponse);
  };
  hooks.onFallback = [this](const state::HostId& aProxy,
                            std::string_view aReason) {
    this->CountByReason("kumquat_proxy_fallbacks_total",
                        "Requests dispatched here in place of their proxy.",
                        aReason);
    this->log.Write(Event::kRequestProxyLeft,
                    { { "proxy", aProxy.value }, { "reason", aReason } });
  };
  hooks.onTooLarge = [this](const CallerRequest& aRequest) {
    if (const routing::Route* route = this->FindProxiedRoute(aRequest)) {
      this->requestProxies->PauseRoute(route->name);
    }
  };
  hooks.findDecline = [this](const CallerRequest& aRequest,
                             std::int64_t aConfiguration) {
    return this->FindDecline(aRequest, aConfiguration);
  };
  hooks.run = [this](CallerRequest aRequest,
                     routing::Dispatcher::Respond aRespond) {
    this->proxiedTaken.Add();
    const routing::RequestNumber number =
      this->dispatcher->OnRequest(std::move(aRequest), std::move(aRespond));
    this->ScheduleDispatcher();
    return number;
  };
  hooks.endRun = [this](routing::RequestNumber aNumber) {
    this->dispatcher->OnCallerGone(aNumber);
    this->ScheduleDispatcher();
  };
  hooks.onDeclined = [this](ProxyDecline aReason) {
    this->CountByReason("kumquat_proxy_declines_total",
                        "Requests of peers that this host did not take.",
                        ProxyDeclineName(aReason));
  };
  return hooks;
}

void Gateway::Impl::CountByReason(const std::string& aName,
                                  std::string_view aHelp,
                                  std::string_view aReason)
{
  this->metrics
    .GetOrCreateCounter(aName, aHelp, { { "reason", std::string(aReason) } })
    .Add();
}

bool Gateway::Impl::TakesProxied() const
{
  return this->settings.proxyUse != state::ProxyUse::kNever && !this->isLeaving;
}

const routing::Route* Gateway::Impl::FindProxiedRoute(
  const CallerRequest& aRequest) const
{
  const routing::Route* route =
    this->routes->FindRoute(aRequest.hostName, aRequest.message.target);
  if (route == nullptr || !aRequest.key || !MayPassOn(*route)) {
    return nullptr;
  }
  const routing::Service* service =
    this->routes->FindService(route->destinations.front().service);
  return service != nullptr && service->keyed ? route : nullptr;
}

const routing::UpstreamState* Gateway::Impl::FindUsableOwner(
  const state::ServiceName& aService, routing::Key aKey) const
{
  const state::UpstreamId id =
    this->keyedServices->OwnerOf(aService, aKey).upstream;
  const routing::UpstreamState* owner =
    id.value.empty() ? nullptr : this->upstreams.Find(id);
  return owner != nullptr && this->upstreams.IsUsable(*owner) ? owner : nullptr;
}

// A cold owner, and one that names a limit, gets a share of its requests from
// each host, and a rest is kept by the host that was asked for it.
std::optional<state::HostId> Gateway::Impl::FindProxy(
  const CallerRequest& aRequest)
{
  const auto& link = aRequest.message.link;
  // The client sends nothing for a caller that has left.
  const bool hasLeft = link && link->isThere && !link->isThere();
  if (!this->TakesProxied() || this->proxiedServices.empty() || hasLeft ||
      !aRequest.team.value.empty() || aRequest.credentials.count > 0 ||
      !aRequest.message.Body().empty()) {
    return std::nullopt;
  }
  const routing::Route* route = this->FindProxiedRoute(aRequest);
  if (route == nullptr || this->requestProxies->IsPaused(route->name)) {
    return std::nullopt;
  }
  const state::ServiceName& service = route->destinations.front().service;
  if (!this->proxiedServices.contains(service)) {
    return std::nullopt;
  }
  const routing::UpstreamState* owner =
    this->FindUsableOwner(service, *aRequest.key);
  if (owner == nullptr || owner->coldUntil > BootTime()) {
    return std::nullopt;
  }
  const routing::UpstreamSignals& signals = this->dispatcher->Signals();
  if (signals.Limits().RateOf(owner->entry.id) ||
      signals.Rests().EndOf(owner->entry.id)) {
    return std::nullopt;
  }
  const state::HostId& proxy =
    this->requestProxies->Choice().ProxyOf(owner->entry.id);
  return proxy == this->self.host ? std::nullopt : std::optional(proxy);
}

std::optional<ProxyDecline> Gateway::Impl::FindDecline(
  const CallerRequest& aRequest, std::int64_t aConfiguration) const
{
  if (!this->TakesProxied()) {
    return ProxyDecline::kLeaving;
  }
  if (aConfiguration != this->routes->CurrentConfiguration().version) {
    return ProxyDecline::kConfiguration;
  }
  const routing::Route* route = this->FindProxiedRoute(aRequest);
  if (route == nullptr) {
    return ProxyDecline::kRoute;
  }
  if (this->FindUsableOwner(route->destinations.front().service,
                            *aRequest.key) == nullptr) {
    return ProxyDecline::kOwner;
  }
  return std::nullopt;
}

void Gateway::Impl::PassOn(const state::HostId& aProxy, CallerRequest aRequest,
                           routing::Dispatcher::Respond aRespond)
{
  const auto link = aRequest.message.link;
  const routing::Route* route = this->FindProxiedRoute(aRequest);
  const TimePoint deadline =
    aRequest.arrived + std::min(aRequest.timeout, route->timeout);
  const auto number = this->requestProxies->Pass(
    aProxy, std::move(aRequest), this->routes->CurrentConfiguration().version,
    deadline, std::move(aRespond));
  if (!number) {
    return;
  }
  this->proxiedSent.Add();
  link->onGone = [this, number = *number] {
    this->requestProxies->OnCallerGone(number);
  };
  this->ScheduleDispatcher();
}

// The proxy counts what became of the request and logs it.
void Gateway::Impl::OnProxiedEnded(const CallerRequest& aRequest,
                                   const state::HostId& aProxy,
                                   const CallerResponse& aResponse)
{
  const routing::Route* route = this->FindProxiedRoute(aRequest);
  const std::string service =
    route == nullptr ? "" : route->destinations.front().service.value;
  const Duration took = BootTime() - aRequest.arrived;
  const protocol::ErrorInfo& info = protocol::ErrorInfoFor(aResponse.error);
  const int status =
    aResponse.message ? aResponse.message->status : info.httpStatus;
  if (aResponse.error == ErrorKind::kNone) {
    if (route != nullptr) {
      this->LatencyOf(service).Observe(took);
    }
    if (!IsServedLogged(aRequest.id, status)) {
      return;
    }
  }
  this->log.Write(
    Event::kRequestProxied,
    { { "request", aRequest.id },
      { "route", route == nullptr ? "" : route->name },
      { "service", service },
      { "key", std::int64_t{ aRequest.key.value_or(0) } },
      { "proxy", aProxy.value },
      { "reason", info.name },
      { "status", static_cast<std::int64_t>(status) },
      { "took_ms", std::chrono::duration_cast<milliseconds>(took).count() } });
}

// All hosts that use the same members choose alike.
void Gateway::Impl::UpdateProxyMembers(
  const std::vector<state::HostId>& aLiveMembers)
{
  if (this->settings.proxyUse == state::ProxyUse::kNever) {
    return;
  }
  std::vector<routing::ProxyCandidate> members;
  for (const state::HostId& host : aLiveMembers) {
    if (host == this->self.host) {
      members.push_back({ host, this->settings.processors });
      continue;
    }
    const auto peer = this->peers.All().find(host);
    const HostAddress* address = this->topology.Find(host);
    if (peer != this->peers.All().end() && peer->second.takesProxied &&
        address != nullptr) {
      members.push_back({ host, address->host.processors });
    }
  }
  this->requestProxies->Choice().SetMembers(std::move(members));
}

void Gateway::Impl::UpdateProxiedServices()
{
  const std::size_t members = this->requestProxies->Choice().MemberCount();
  std::set<state::ServiceName> proxied;
  const routing::Configuration& configuration =
    this->routes->CurrentConfiguration();
  for (const routing::Service& service : configuration.services) {
    if (service.keyed && GetsRequestsToPassOn(configuration, service.name) &&
        this->CallsForProxies(service.name, members)) {
      proxied.insert(service.name);
    }
  }
  const auto report = [this, members](const state::ServiceName& aService,
                                      std::int64_t aIsUsed) {
    this->log.Write(Event::kOwnerProxies,
                    { { "service", aService.value },
                      { "used", aIsUsed },
                      { "members", static_cast<std::int64_t>(members) } });
  };
  for (const state::ServiceName& service : proxied) {
    if (!this->proxiedServices.contains(service)) {
      report(service, 1);
    }
  }
  for (const state::ServiceName& service : this->proxiedServices) {
    if (!proxied.contains(service)) {
      report(service, 0);
    }
  }
  if (proxied != this->proxiedServices) {
    this->dispatcher->SetSharedServices(proxied);
  }
  this->proxiedServices = std::move(proxied);
}

bool Gateway::Impl::CallsForProxies(const state::ServiceName& aService,
                                    std::size_t aMembers)
{
  if (this->settings.proxyUse != state::ProxyUse::kWhereSeldomMet) {
    return this->settings.proxyUse == state::ProxyUse::kAlways;
  }
  const routing::ServiceUpstreams& owners =
    this->upstreams.ForService(aService);
  return routing::CallsForProxies(this->topology.Cells().IsDivided(), aMembers,
                                  owners.inCell.size() +
                                    owners.inOtherCells.size());
}

} // namespace kumquat::node
