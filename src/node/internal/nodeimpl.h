// The implementation of a node, and which of its threads owns what:
//
//   callers       HTTP servers for callers and operators, connections to peers
//   upstreams     HTTP client for upstreams
//   coordination  the router and all decisions, without I/O
//   platform      clients of the table, the object store and the endpoint lists
//
// Each thread is a duty: work from other threads reaches it through its ring, a
// bounded queue.

#pragma once

#include "coordination/operatorapi.h"
#include "coordination/router.h"
#include "framework/events.h"
#include "framework/metrics.h"
#include "node/node.h"
#include "protocol/errorcounters.h"
#include "state/configurationwriter.h"
#include "state/platform.h"
#include "transport/dutythread.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/peernetwork.h"

#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <cstdint>
#include <future>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat::node {

class Node::Impl
{
public:
  Impl(const state::Settings& aSettings, std::function<void()> aOnDeposed);
  ~Impl();
  Impl(const Impl&) = delete;
  Impl& operator=(const Impl&) = delete;

  std::error_code Start();
  bool Stop(std::chrono::milliseconds aTimeout);

private:
  using Task = transport::DutyThread::Task;
  using HttpDone = std::function<void(Result<transport::HttpResponse>)>;

  std::error_code ListenForCallers();
  std::error_code ListenForOperators();
  std::error_code ListenForPeers();
  coordination::Router::Hooks RouterHooks();
  void MakeOperatorApi();
  state::TableHooks TableHooks();

  // On the callers' thread.
  void OnCallerRequest(transport::HttpRequest&& aRequest,
                       const transport::HttpServer::Respond& aRespond);
  void OnOperatorRequest(const transport::HttpRequest& aRequest,
                         const transport::HttpServer::Respond& aRespond);
  void OnFrame(const protocol::HostRef& aFrom, protocol::Frame aFrame);
  void RefuseFrame(const protocol::HostRef& aFrom,
                   const protocol::Frame& aFrame);
  // Counts the response by its error kind and returns it.
  transport::HttpResponse CountAnswer(protocol::ErrorKind aKind,
                                      transport::HttpResponse&& aResponse);

  // On the upstreams' thread.
  void SendToUpstream(coordination::UpstreamCall&& aCall);
  void OnUpstreamAnswer(coordination::RequestId aId,
                        Result<transport::HttpResponse> aAnswer);
  transport::BodyReader ReadBodyOnUpstreams(coordination::RequestId aId,
                                            transport::BodyReader aReader);
  transport::BodyReader ReadBodyOnCoordination(transport::BodyReader aReader);

  // On coordination's thread. False if there is no connection to the host.
  bool SendToPeer(const state::HostId& aHost, const protocol::Frame& aFrame);
  void Tick();
  // Fetches the endpoint lists if they are due.
  void PollEndpoints();
  void PutObject(const std::string& aName, std::string aContent,
                 std::function<void(std::error_code)> aDone);
  void FetchObject(const std::string& aName,
                   std::function<void(Result<std::string>)> aDone);
  // Lets the other threads know whether the host is ready and idle.
  void PublishReadiness();

  // Runs aTask on the platform's thread. False if its ring is full.
  bool TryRunOnPlatform(Task aTask);
  void CountRetry(protocol::ErrorKind aKind);
  void ObserveLatency(const state::ServiceName& aService, Duration aElapsed);
  void UpdateRingMetrics();

  const state::Settings settings;
  const state::HostRef self;
  const std::function<void()> onDeposed;
  Metrics metrics;
  protocol::ErrorCounters refusals;
  protocol::ErrorCounters retries;
  Counter* answeredRequests = nullptr;
  // Used on coordination's thread only.
  std::map<state::ServiceName, Summary*> latencies;
  EventLog log;
  std::mt19937_64 random;

  // Set by coordination's thread, by callers' thread and by Stop; read from
  // other threads.
  std::atomic<bool> ready{ false };
  std::atomic<bool> stopping{ false };
  std::atomic<bool> idle{ false };
  // Ticks of the steady clock.
  std::atomic<std::int64_t> lastArrival{ 0 };

  transport::DutyThread callers;
  transport::DutyThread upstreams;
  transport::DutyThread coordination;
  transport::DutyThread platform;

  std::unique_ptr<transport::HttpServer> callerServer;
  std::unique_ptr<transport::HttpServer> operatorServer;
  std::unique_ptr<transport::PeerNetwork> peerNetwork;
  std::unique_ptr<transport::HttpClient> upstreamClient;
  // For control calls, whose responses carry no request id.
  std::unique_ptr<transport::HttpClient> controlClient;
  std::unique_ptr<transport::HttpClient> platformClient;
  std::unique_ptr<state::TableClient> tableClient;
  std::unique_ptr<state::ObjectClient> objectClient;
  std::unique_ptr<state::EndpointListClient> endpointListClient;
  // The client's number of each call to an upstream, by coordination's request
  // id. Used on the upstreams' thread only.
  std::unordered_map<coordination::RequestId, transport::HttpClient::CallId>
    upstreamCalls;

  std::unique_ptr<coordination::Router> router;
  std::unique_ptr<state::ConfigurationWriter> configurationWriter;
  std::unique_ptr<coordination::OperatorApi> operatorApi;
  boost::asio::steady_timer tick;
  TimePoint endpointsDueAt;
  bool isPollingEndpoints = false;
  // Peers that this host has a connection to. Used on coordination's thread
  // only.
  std::set<std::string> connectedPeers;
};

} // namespace kumquat::node
