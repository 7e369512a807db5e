// The threads of a gateway and what each of them owns.
//
//   serving   callers, decisions, upstreams, peers: a request crosses no thread
//   store     the platform's store, and the metrics' listener
//
// The log writes on a thread of its own.

#pragma once

#include "framework/events.h"
#include "framework/metrics.h"
#include "node/gateway.h"
#include "node/internal/keyedservices.h"
#include "node/internal/peers.h"
#include "node/internal/peertopology.h"
#include "node/internal/registration.h"
#include "node/internal/storeclient.h"
#include "node/internal/tablereplication.h"
#include "protocol/errorcounters.h"
#include "routing/dispatcher.h"
#include "routing/upstreams.h"
#include "transport/dutythread.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/peernetwork.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <map>
#include <memory>
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
  void OnReloadFailed(const std::string& aFault);
  bool Stop();

private:
  using ServerPtr = std::unique_ptr<transport::HttpServer>;

  std::error_code ListenForCallers();
  std::error_code ListenForPeers();
  std::error_code ListenForReadinessChecks();
  std::error_code ListenForMetrics();
  routing::Dispatcher::Hooks DispatcherHooks();
  KeyedServices::Hooks KeyedServicesHooks();

  // Serving thread.
  void OnCallerRequest(transport::HttpRequest&& aRequest,
                       const transport::HttpServer::Respond& aRespond);
  void SendToUpstream(const routing::UpstreamRequest& aSend);
  void SendLeaseCommand(const ownership::LeaseCommand& aOrder,
                        ownership::Assigner::CommandDone aDone);
  void OnRequestEnded(const routing::RequestTrace& aTrace);
  void OnFrame(const protocol::HostRef& aFrom, const protocol::Frame& aFrame);
  void OnDigest(const protocol::HostDigest& aDigest);
  void OnTableChanged(const std::string& aTable,
                      const std::vector<state::StoredRow>& aChanged,
                      std::chrono::milliseconds aGrace);
  void OnTableReadEnded(const TableReadResult& aEnd);
  void OnStoreCall(state::StoreCall aCall, const std::string& aTable);
  void ApplyOperatorRows();
  void ApplyConfiguration(const state::StoredRow& aRow);
  bool IsConfigurationOutdated() const;
  void ApplyUpstreamRows(const std::vector<state::StoredRow>& aChanged,
                         std::chrono::milliseconds aGrace);
  TableReplication::Hooks TableReplicationHooks();
  Registration::Hooks RegistrationHooks();
  // Itself included.
  std::vector<state::HostId> LiveCellMembers() const;
  void UpdateFollowedTables(const std::vector<state::HostId>& aLiveMates);
  void OnFirstHostRows(const state::RowsRead& aRead);
  void WriteRows(const state::RowsWrite& aWrite,
                 state::RowStore::WriteDone aDone);
  void SetHosts(const std::vector<state::StoredRow>& aRows);
  void UpdateConnections();
  void Tick();
  protocol::HostDigest MakeDigest();
  void SendDigests();
  void SendDigest(std::vector<std::string> aHosts,
                  protocol::HostDigest aDigest);
  void SendKeyMaps();
  void OnCaughtUp(const std::string& aTable, Duration aBehind);
  bool AreRemovedUpstreamsExpired() const;
  void ScheduleDispatcher();
  void UpdateGauges();
  bool IsReady() const;

  state::GatewaySettings settings;
  const state::HostRef self;
  Metrics metrics;
  protocol::ErrorCounters refusals;
  protocol::ErrorCounters retries;
  Counter& answeredRequests;
  EventLog log;
  std::mt19937_64 random;
  std::map<std::string, Summary*> latencies;

  transport::DutyThread serving;
  transport::DutyThread storeThread;

  // Serving thread.
  routing::Upstreams upstreams;
  Peers peers;
  PeerTopology topology;
  std::unique_ptr<KeyedServices> keyedServices;
  std::unique_ptr<routing::Dispatcher> dispatcher;
  std::shared_ptr<const routing::RouteTable> routes;
  // Peers with a connection.
  std::set<std::string> connectedPeers;
  std::unique_ptr<TableReplication> replication;
  std::unique_ptr<Registration> registration;
  ServerPtr callerServer;
  ServerPtr readinessServer;
  ServerPtr metricsServer;
  std::unique_ptr<transport::HttpClient> upstreamClient;
  std::unique_ptr<transport::HttpClient> leaseClient;
  std::unique_ptr<transport::PeerNetwork> peerNetwork;
  std::unordered_map<routing::RequestNumber, transport::HttpClient::CallId>
    upstreamCalls;
  boost::asio::steady_timer tick;
  boost::asio::steady_timer dispatchTimer;
  TimePoint dispatchDueAt = TimePoint::max();
  // No configuration is read before that; see ApplyOperatorRows.
  TimePoint configurationDueAt;
  // Version of the row that was read last.
  state::Version configurationRowVersion = 0;
  // When connections to others were looked over last.
  TimePoint connectionsUpdatedAt;
  // A host that claimed keys and was never heard here; see Assigner::Hooks.
  state::HostId unknownClaimant;
  bool isStoreAvailable = true;
  bool isLeaving = false;

  std::atomic<bool> ready{ false };
  std::atomic<bool> stopping{ false };

  std::unique_ptr<StoreClient> storeClient;
};

} // namespace kumquat::node
