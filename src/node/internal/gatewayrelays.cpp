// The part of a gateway that connects to upstreams through peers, and that
// relays connections for peers.

#include "node/internal/gatewayimpl.h"

#include "node/internal/clocks.h"
#include "node/internal/listenerhelpers.h"

#include <algorithm>
#include <utility>

namespace kumquat::node {

using transport::DialOutcome;
using transport::RelayPeer;

namespace {

// Connections that may be relayed, as a part of those that callers may have: a
// relay takes two descriptors.
constexpr std::size_t kRelaysPart = 12;
// Of the relays, those of one peer at most.
constexpr std::size_t kRelaysOfPeerPart = 4;
// Peers of other data centres that are drawn as candidates.
constexpr std::size_t kDrawnFarPeers = 8;

} // namespace

std::shared_ptr<const transport::DialHooks> Gateway::Impl::DialHooks()
{
  auto hooks = std::make_shared<transport::DialHooks>();
  hooks->plan = [this](const std::string& aAddress) {
    return this->paths.PlanFor(aAddress);
  };
  hooks->chooseRelay = [this](const std::set<std::string>& aTried) {
    return this->ChooseRelay(aTried);
  };
  hooks->onOutcome = [this](const std::string& aAddress, DialOutcome aOutcome,
                            TimePoint aSince) {
    this->paths.OnOutcome(aAddress, aOutcome, aSince);
    if (aOutcome == DialOutcome::kRelayed) {
      this->CountRelay("used");
    }
  };
  hooks->onRelayLost = [this](const std::string& aHost) {
    this->relayChoice.OnLost({ aHost });
    this->CountRelay("lost");
  };
  hooks->mayReuse = [this](const std::string& aAddress,
                           const std::string& aRelay, TimePoint aHeardAt) {
    const bool isRelayed = !aRelay.empty();
    return this->paths.MayReuse(aAddress, isRelayed, aHeardAt) &&
           (!isRelayed || this->IsRelayUsable({ aRelay }));
  };
  hooks->takeProbe = [this](const std::string& aAddress) {
    return this->paths.TakeProbe(aAddress);
  };
  return hooks;
}

std::error_code Gateway::Impl::ListenForRelays()
{
  if (this->settings.relayAddress.empty()) {
    return {};
  }
  transport::RelayServer::Options options;
  options.address = this->settings.relayAddress;
  options.localAddress = IpOf(this->settings.peerAddress);
  options.maxRelays =
    std::max<std::size_t>(1, this->settings.maxConnections / kRelaysPart);
  options.maxRelaysOfPeer =
    std::max<std::size_t>(1, options.maxRelays / kRelaysOfPeerPart);
  options.clock = BootTime;
  // A second relay behind this one would not end. An upstream that has asked
  // this host for rest would get a peer's requests from it.
  options.mayConnect = [this](const std::string& aAddress) {
    return this->upstreams.HasAddress(aAddress) &&
           !this->paths.IsRelayed(aAddress) && !this->paths.IsCutOff() &&
           !this->IsRestingAt(aAddress);
  };
  options.onOpened = [this] { this->CountRelay("opened"); };
  options.onRefused = [this](transport::RelayRefusal aRefusal) {
    this->CountRelay(transport::RelayRefusalName(aRefusal));
  };
  return TakeListener(
    transport::RelayServer::Listen(this->serving.Context(), std::move(options)),
    this->relayServer);
}

void Gateway::Impl::CountRelay(std::string_view aResult)
{
  this->metrics
    .GetOrCreateCounter(
      "kumquat_relay_attempts_total",
      "Relays that this host used or lost, and relays of peers that it opened "
      "or refused, by result.",
      { { "result", std::string(aResult) } })
    .Add();
}

bool Gateway::Impl::OffersRelays() const
{
  return this->relayServer && !this->isLeaving && !this->paths.IsCutOff();
}

bool Gateway::Impl::IsRestingAt(const std::string& aAddress) const
{
  const routing::UpstreamRests& rests = this->dispatcher->Signals().Rests();
  return !rests.IsEmpty() &&
         std::ranges::any_of(this->upstreams.All(), [&](const auto& aItem) {
           return aItem.second.entry.address == aAddress &&
                  rests.EndOf(aItem.first);
         });
}

bool Gateway::Impl::IsRelayUsable(const state::HostId& aHost) const
{
  const auto peer = this->peers.All().find(aHost);
  return peer == this->peers.All().end() || !peer->second.leaving;
}

// Members of the cell tell whether they offer relays. If none near does, as
// when the whole data centre has lost its links, any host of another one may:
// hubs and assigners alone could not bear the work of a large data centre.
RelayCandidates Gateway::Impl::FindRelayCandidates()
{
  RelayCandidates candidates;
  const auto add = [&](const state::HostId& aHost) {
    const HostAddress* address = this->topology.Find(aHost);
    if (address == nullptr || address->relayAddress.empty()) {
      return;
    }
    const auto peer = this->peers.All().find(aHost);
    const bool isKnown = peer != this->peers.All().end();
    const bool isNear = address->host.dataCentre == this->settings.dataCentre;
    const bool isUsable =
      isKnown ? peer->second.offersRelays && this->IsReachable(aHost) : !isNear;
    if (isUsable) {
      (isNear ? candidates.near : candidates.far)
        .push_back({ aHost.value, address->relayAddress });
    }
  };
  std::ranges::for_each(this->peers.LiveCellMembers(), add);
  const std::vector<state::HostId>& all = this->topology.AllHosts();
  for (std::size_t i = 0; this->topology.Cells().IsDivided() &&
                          candidates.near.empty() && i < kDrawnFarPeers;
       ++i) {
    add(all[std::uniform_int_distribution<std::size_t>(0, all.size() -
                                                            1)(this->random)]);
  }
  return candidates;
}

std::optional<RelayPeer> Gateway::Impl::ChooseRelay(
  const std::set<std::string>& aTried)
{
  return this->relayChoice.Choose(this->FindRelayCandidates(), aTried);
}

void Gateway::Impl::UpdateRelays()
{
  if (this->relayServer) {
    this->relayServer->OnTimer();
  }
  this->paths.RemoveOld();
  const std::size_t relayed = this->paths.RelayedCount();
  if ((relayed > 0) != (this->loggedRelayed > 0) ||
      relayed > 2 * this->loggedRelayed) {
    this->log.Write(
      relayed > 0 ? Event::kLinksLost : Event::kLinksBack,
      { { "upstreams", static_cast<std::int64_t>(relayed) },
        { "cut_off", static_cast<std::int64_t>(this->paths.IsCutOff()) } });
    this->loggedRelayed = relayed;
  }
}

} // namespace kumquat::node
