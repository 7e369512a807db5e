// The implementation of a gateway, and which of its threads owns what:
//
//   serving   callers, dispatching, upstreams, peers; a request is handled on
//             this thread alone
//   store     calls to the platform's store, and the metrics listener
//
// The log writes on a thread of its own.

#pragma once

#include "framework/events.h"
#include "framework/metrics.h"
#include "node/gateway.h"
#include "node/internal/hostrows.h"
#include "node/internal/keyedservices.h"
#include "node/internal/peers.h"
#include "node/internal/peertopology.h"
#include "node/internal/peertraffic.h"
#include "node/internal/registration.h"
#include "node/internal/relaychoice.h"
#include "node/internal/requestproxies.h"
#include "node/internal/storeclient.h"
#include "node/internal/tablereplication.h"
#include "node/internal/teamquotas.h"
#include "protocol/errorcounters.h"
#include "routing/dispatcher.h"
#include "routing/upstreampaths.h"
#include "routing/upstreams.h"
#include "transport/dutythread.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/peernetwork.h"
#include "transport/relayserver.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

namespace kumquat::node {

class Gateway::Impl
{
public:
  explicit Impl(const state::GatewaySettings& aSettings);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::error_code Start();
  void Reload(const state::GatewaySettings& aSettings);
  void OnReloadFailed(const std::string& aError);
  bool Stop();

private:
  using ServerPtr = std::unique_ptr<transport::HttpServer>;

  // The hosts that the dispatcher was told of last.
  struct DispatcherHosts
  {
    std::vector<state::HostId> liveMembers;
    std::int64_t revision = -1;
    bool areAllKnown = false;

    friend bool operator==(const DispatcherHosts&,
                           const DispatcherHosts&) = default;
  };

  std::error_code ListenForCallers();
  std::error_code ListenForPeers();
  std::error_code ListenForReadinessChecks();
  std::error_code ListenForMetrics();
  std::error_code ListenForRelays();
  routing::Dispatcher::Hooks DispatcherHooks();
  KeyedServices::Hooks KeyedServicesHooks();
  std::shared_ptr<const transport::DialHooks> DialHooks();

  // On the serving thread.
  void OnCallerRequest(transport::HttpRequest&& aRequest,
                       const transport::HttpServer::Respond& aRespond);
  // The response to a request that is refused without its body.
  std::optional<transport::HttpResponse> CheckHead(
    const transport::HttpRequest& aHead);
  transport::HttpResponse RefuseUnread(protocol::ErrorKind aKind,
                                       const transport::HttpRequest& aHead);
  bool FindTeam(routing::CallerRequest& aRequest,
                const transport::HttpServer::Respond& aRespond);
  admission::QuotaDecision AccessRefusal(protocol::ErrorKind aError) const;
  // Whether a peer has announced operators' rows that this host lacks.
  bool IsBehindPeers() const;
  void RefuseAtEntry(const routing::CallerRequest& aRequest,
                     const routing::Route& aRoute,
                     const admission::QuotaDecision& aDecision,
                     const transport::HttpServer::Respond& aRespond);
  void TakeQuota(routing::CallerRequest aRequest,
                 const std::shared_ptr<transport::CallerLink>& aLink,
                 const transport::HttpServer::Respond& aRespond);
  void Dispatch(routing::CallerRequest aRequest,
                const std::shared_ptr<transport::CallerLink>& aLink,
                const transport::HttpServer::Respond& aRespond);
  // Dispatches the request at this host.
  void DispatchHere(routing::CallerRequest aRequest,
                    routing::Dispatcher::Respond aRespond);
  RequestProxies::Hooks RequestProxiesHooks();
  // Whether this host passes requests to proxies, and is one.
  bool TakesProxied() const;
  // The route of the request if its requests may be passed on, else null.
  const routing::Route* FindProxiedRoute(
    const routing::CallerRequest& aRequest) const;
  const routing::UpstreamState* FindUsableOwner(
    const state::ServiceName& aService, routing::Key aKey) const;
  // The host to pass the request to; empty if it is dispatched here.
  std::optional<state::HostId> FindProxy(
    const routing::CallerRequest& aRequest);
  std::optional<ProxyDecline> FindDecline(
    const routing::CallerRequest& aRequest, std::int64_t aConfiguration) const;
  void PassOn(const state::HostId& aProxy, routing::CallerRequest aRequest,
              routing::Dispatcher::Respond aRespond);
  void OnProxiedEnded(const routing::CallerRequest& aRequest,
                      const state::HostId& aProxy,
                      const routing::CallerResponse& aResponse);
  void UpdateProxyMembers(const std::vector<state::HostId>& aLiveMembers);
  void UpdateProxiedServices();
  bool CallsForProxies(const state::ServiceName& aService,
                       std::size_t aMembers);
  void CountByReason(const std::string& aName, std::string_view aHelp,
                     std::string_view aReason);
  Summary& LatencyOf(const std::string& aService);
  // Whether the end of a request with an upstream's response is logged.
  static bool IsServedLogged(const std::string& aRequestId, int aStatus);
  std::optional<state::HostId> FindQuotaLender() const;
  bool IsReachable(const state::HostId& aHost) const;
  // Whether digests of the peer arrive in time.
  bool IsHeard(const state::HostId& aHost) const;
  bool LendsQuotas(const state::HostId& aHost) const;
  void SendToUpstream(const routing::UpstreamRequest& aRequest);
  void SendLeaseCommand(const ownership::LeaseCommand& aCommand,
                        ownership::Assigner::CommandDone aDone);
  void OnRequestEnded(const routing::RequestTrace& aTrace);
  void OnFrame(const protocol::HostRef& aFrom, const protocol::Frame& aFrame);
  void OnDigest(const protocol::HostDigest& aDigest);
  protocol::Notices MakeNotices() const;
  void SendNotices(protocol::Notices aNotices);
  void SendCrashReports(const std::vector<routing::CrashReport>& aReports);
  void SendAllNotices(const std::string& aPeer);
  void OnNotices(const protocol::Notices& aNotices);
  void OnSaidLeaving(const state::UpstreamId& aId, std::int64_t aStartedMs);
  std::optional<routing::UpstreamEntry> ReadUpstreamRow(
    const state::StoredRow& aRow);
  void ReportInvalidRow(std::string_view aTable, const state::StoredRow& aRow,
                        const std::error_code& aFault);
  void ReportSkippedRows(const std::string& aTable, std::size_t aCount);
  // Upstreams may be used no more, or again.
  void OnUsableUpstreamsChanged();
  void OnRest(const routing::UpstreamRest& aRest);
  void OnPaceChanged(const routing::PaceNotice& aNotice);
  // A rest that the upstream has asked a peer for.
  void OnPeerRest(const routing::UpstreamRest& aRest);
  // Whether this host reaches the upstream through peers, or peers reach it
  // through this host.
  bool SharesLinksTo(const routing::UpstreamEntry& aUpstream) const;
  void ScheduleForwarding(const protocol::Notices& aNotices);
  void ForwardNotices();
  void OnLimitChanged(const routing::UpstreamLimit& aLimit);
  // Tells the dispatcher how many of the hosts this one hears.
  void UpdateReach();
  // aGrace: how long removed rows may still be used; see TableUpdate::grace.
  void OnTableChanged(const std::string& aTable,
                      const std::vector<state::StoredRow>& aChanged,
                      std::chrono::milliseconds aGrace);
  void OnTableReadEnded(const TableReadResult& aResult);
  void OnStoreCall(state::StoreCall aCall, const std::string& aTable);
  void ApplyOperatorRows();
  void ApplyConfiguration(const state::StoredRow& aRow);
  void ReportUnknownKinds();
  // Whether the replica has a newer configuration than the one last parsed.
  bool IsConfigurationOutdated() const;
  void ApplyUpstreamRows(const std::vector<state::StoredRow>& aChanged,
                         std::chrono::milliseconds aGrace);
  void LogUpstreamSeen(const routing::UpstreamEntry& aEntry,
                       routing::EntryChange aChange, state::Version aVersion);
  TableReplication::Hooks TableReplicationHooks();
  Registration::Hooks RegistrationHooks();
  // Members of this host's cell whose digests arrive in time, this host
  // included.
  std::vector<state::HostId> LiveCellMembers() const;
  // Tells the dispatcher of the hosts if they have changed.
  void UpdateDispatcherHosts(const std::vector<state::HostId>& aLiveMembers);
  void UpdateFollowedTables(const std::vector<state::HostId>& aLiveMembers);
  // The first rows of the hosts' table were read; see Registration.
  void OnFirstHostRows(const state::RowsRead& aRead);
  void WriteRows(const state::RowsWrite& aWrite,
                 state::RowStore::WriteDone aDone);
  // On the store's thread.
  void ReportRefusedWrite(const state::RowsWrite& aWrite);
  void SetHosts(const std::vector<state::StoredRow>& aRows);
  // Opens and closes connections to peers as the topology demands.
  void UpdateConnections();
  void Tick();
  protocol::HostDigest MakeDigest();
  void SendDigests();
  // Whether a digest may name a part of the key maps only; see HostDigest.
  // aAllNamedAt: when one of its kind named all of them.
  bool MayOmitKeyMaps(TimePoint& aAllNamedAt) const;
  void SendDigest(std::vector<std::string> aHosts,
                  protocol::HostDigest aDigest);
  // Sends changes of this host's own key maps to all connected peers.
  void SendKeyMaps();
  // This host has received a change; aBehind is the time since a peer announced
  // it.
  void OnCaughtUp(const std::string& aTable, Duration aBehind);
  // Whether every removed upstream is past its grace period.
  bool AreRemovedUpstreamsExpired() const;
  // Sets the timer for the next due time of the dispatcher and of the requests
  // that are with proxies.
  void ScheduleDispatcher();
  void UpdateGauges();
  bool IsReady() const;
  // Whether this host can connect peers to upstreams.
  bool OffersRelays() const;
  RelayCandidates FindRelayCandidates();
  std::optional<transport::RelayPeer> ChooseRelay(
    const std::set<std::string>& aTried);
  // Whether a connection through the peer may carry another request.
  bool IsRelayUsable(const state::HostId& aHost) const;
  // Whether the upstream at the address has asked this host for rest.
  bool IsRestingAt(const std::string& aAddress) const;
  void UpdateRelays();
  void CountRelay(std::string_view aResult);

  state::GatewaySettings settings;
  const state::HostRef self;
  Metrics metrics;
  protocol::ErrorCounters refusals;
  protocol::ErrorCounters retries;
  Counter& answeredRequests;
  Counter& restsAsked;
  // Requests passed to proxies, and taken for peers.
  Counter& proxiedSent;
  Counter& proxiedTaken;
  EventLog log;
  std::mt19937_64 random;
  std::map<std::string, Summary*> latencies;
  PeerTraffic peerTraffic;
  const std::shared_ptr<transport::ByteAccount> heldBytes;

  transport::DutyThread serving;
  transport::DutyThread storeThread;

  // Used on the serving thread only.
  routing::Upstreams upstreams;
  routing::UpstreamPaths paths;
  RelayChoice relayChoice;
  // Number of upstreams reached through peers, as it was logged last.
  std::size_t loggedRelayed = 0;
  Peers peers;
  PeerTopology topology;
  std::unique_ptr<KeyedServices> keyedServices;
  std::unique_ptr<routing::Dispatcher> dispatcher;
  std::shared_ptr<const routing::RouteTable> routes;
  DispatcherHosts dispatcherHosts;
  HostRows hostRows;
  // Peers that this host has a connection to.
  std::set<std::string> connectedPeers;
  std::unique_ptr<TableReplication> replication;
  std::unique_ptr<Registration> registration;
  std::unique_ptr<TeamQuotas> quotas;
  std::unique_ptr<RequestProxies> requestProxies;
  // Services whose requests pass through proxies.
  std::set<state::ServiceName> proxiedServices;
  ServerPtr callerServer;
  ServerPtr readinessServer;
  ServerPtr metricsServer;
  std::unique_ptr<transport::HttpClient> upstreamClient;
  std::unique_ptr<transport::HttpClient> leaseClient;
  std::unique_ptr<transport::PeerNetwork> peerNetwork;
  // Null if this host relays nothing.
  std::unique_ptr<transport::RelayServer> relayServer;
  std::unordered_map<routing::RequestNumber, transport::HttpClient::CallId>
    upstreamCalls;
  boost::asio::steady_timer tick;
  boost::asio::steady_timer dispatchTimer;
  TimePoint dispatchDueAt = TimePoint::max();
  // No configuration is parsed before that; see ApplyConfiguration.
  TimePoint configurationDueAt;
  // Version of the configuration row that was parsed last.
  state::Version configurationRowVersion = 0;
  // When UpdateConnections last ran on a tick.
  TimePoint connectionsUpdatedAt;
  TimePoint briefNamedAllMapsAt;
  TimePoint fullNamedAllMapsAt;
  // A host that claimed keys and from which no digest was ever received; see
  // Assigner::Hooks::requestConnection.
  state::HostId unknownClaimant;
  // What this hub is about to forward, without the sender's own key.
  protocol::Notices noticesToForward;
  bool isForwardingScheduled = false;
  boost::asio::steady_timer forwardTimer;
  bool isStoreAvailable = true;
  bool isLeaving = false;

  std::atomic<bool> ready{ false };
  std::atomic<bool> stopping{ false };

  std::unique_ptr<StoreClient> storeClient;
};

} // namespace kumquat::node
