// Proxies of the owners of keys at one host: the choice of the proxy for an
// owner, the requests that this host has passed to proxies, the requests that
// it has taken for peers, and the conversion of their messages. Used on the
// serving thread.
//
//   receiving host                       proxy
//   Pass            -- ProxyRequest -->  OnRequest: declined, or run
//   OnReply         <-- ProxyReply ----  a response, or the request is given
//                                        back
//   OnCallerGone    -- ProxyCancel --->  OnCancel
//
// A reply that is given back says whether an upstream may have run the request.
// A frame carries the incarnation of the receiving host, as the numbers of the
// one before begin alike.

#pragma once

#include "node/internal/peerdelays.h"
#include "protocol/gen/peer_types.h"
#include "routing/ownerproxies.h"
#include "state/types.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace kumquat::node {

// Why a host does not take a request of a peer.
enum class ProxyDecline
{
  // The hosts use different configurations.
  kConfiguration,
  kLeaving,
  // This host passes on no requests for keys of the request's route.
  kRoute,
  // This host knows no owner of the key that it may send to.
  kOwner,
  // It was too long on its way: its caller may have left.
  kLate,
};

// The name of the reason in metrics.
std::string_view ProxyDeclineName(ProxyDecline aReason);

class RequestProxies
{
public:
  struct Hooks
  {
    Clock now;
    // False if the frame was surely not sent.
    std::function<bool(const state::HostId&, const protocol::Frame&)> send;
    // Bytes of a response that this host holds for a caller; may return null.
    std::function<transport::ByteAccount::ReservationPtr(std::size_t)> hold;

    // See ProxiedRequests::Hooks.
    std::function<void(routing::CallerRequest, routing::Dispatcher::Respond)>
      dispatch;
    std::function<void(const routing::CallerRequest&, const state::HostId&,
                       const routing::CallerResponse&)>
      onEnded;
    std::function<void(const state::HostId&, std::string_view aReason)>
      onFallback;
    // The response to a request was too large for its proxy to pass on. Called
    // before the request is dispatched here.
    std::function<void(const routing::CallerRequest&)> onTooLarge;

    // Why this host does not take a request; empty if it does.
    std::function<std::optional<ProxyDecline>(const routing::CallerRequest&,
                                              std::int64_t aConfiguration)>
      findDecline;
    // Runs a request that was taken, and ends it like that of a caller that has
    // left.
    std::function<routing::RequestNumber(routing::CallerRequest,
                                         routing::Dispatcher::Respond)>
      run;
    std::function<void(routing::RequestNumber)> endRun;
    std::function<void(ProxyDecline)> onDeclined;
  };

  RequestProxies(state::HostRef aSelf, Hooks aHooks);

  routing::ProxyChoice& Choice() { return this->choice; }
  const routing::ProxyChoice& Choice() const { return this->choice; }

  // --- as the host that has received requests

  // See ProxiedRequests::Pass.
  std::optional<routing::ProxyNumber> Pass(
    const state::HostId& aProxy, routing::CallerRequest aRequest,
    std::int64_t aConfiguration, TimePoint aDeadline,
    routing::Dispatcher::Respond aRespond);
  void OnReply(const state::HostId& aFrom, std::int64_t aIncarnation,
               const protocol::ProxyReply& aReply);
  void OnCallerGone(routing::ProxyNumber aNumber);
  void OnTimer() { this->passed.OnTimer(); }
  std::optional<TimePoint> NextDue() const { return this->passed.NextDue(); }
  std::size_t PassedCount() const { return this->passed.Count(); }
  // Takes back all requests that are with proxies; this host stops.
  void TakeBackAll();

  // Responses of the route were too large lately: it is left out for a while.
  void PauseRoute(const std::string& aRoute);
  bool IsPaused(const std::string& aRoute) const;

  // --- as the proxy

  void OnRequest(const state::HostId& aFrom, std::int64_t aIncarnation,
                 const protocol::ProxyRequest& aRequest);
  // A peer's digest was sent at that time of the peer's clock.
  void OnDigestSent(const state::HostId& aFrom, std::int64_t aIncarnation,
                    std::int64_t aSentMicros);
  void OnCancel(const state::HostId& aFrom, std::int64_t aIncarnation,
                const protocol::ProxyCancel& aCancel);
  // Requests that run here for peers; from any thread.
  std::size_t TakenCount() const { return this->takenCount.load(); }

  // --- as both

  // A connection to the peer has ended, or the peer has been silent for too
  // long. The requests that are with it are dispatched here; those that were
  // taken for it end.
  void OnPeerLost(const state::HostId& aPeer);

private:
  // A peer, its incarnation, and the number that it gave to the request.
  using TakenId = std::tuple<state::HostId, std::int64_t, routing::ProxyNumber>;

  routing::ProxiedRequests::Hooks PassedHooks();
  // See PeerDelays; 0 if the time of sending is unknown.
  Duration DelayOf(const state::HostId& aFrom, std::int64_t aIncarnation,
                   std::int64_t aSentMicros);
  void Respond(const TakenId& aId, routing::CallerResponse aResponse);
  void SendReply(const TakenId& aId, const protocol::ProxyReply& aReply);
  // Removes the request and ends its run.
  void EndTaken(const TakenId& aId);

  const state::HostRef self;
  const Hooks hooks;
  routing::ProxyChoice choice;
  PeerDelays delays;
  routing::ProxiedRequests passed;
  // Version of the configuration by which the request that is being passed on
  // was checked.
  std::int64_t configuration = 0;
  // The reply that is being handled says that the response is too large.
  bool isTooLarge = false;
  std::map<std::string, TimePoint> pausedUntil;
  // Empty while the request is being handed to the dispatcher.
  std::map<TakenId, std::optional<routing::RequestNumber>> taken;
  // The size of `taken`.
  std::atomic<std::size_t> takenCount{ 0 };
};

// The request as it is passed on, with its age; and as its proxy runs it.
protocol::ProxyRequest ToWire(routing::ProxyNumber aNumber,
                              const routing::CallerRequest& aRequest,
                              std::int64_t aConfiguration, TimePoint aNow);
routing::CallerRequest FromWire(const protocol::ProxyRequest& aRequest,
                                TimePoint aNow);

protocol::ProxyReply ToWire(routing::ProxyNumber aNumber,
                            routing::CallerResponse aResponse);
routing::ProxyReply FromWire(const protocol::ProxyReply& aReply);

} // namespace kumquat::node
