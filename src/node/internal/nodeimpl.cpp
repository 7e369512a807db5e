// Connects a node's threads: listeners, requests and responses, frames, the
// tick and the planned stop.

#include "node/internal/nodeimpl.h"

#include "node/callerhttp.h"
#include "node/internal/clocks.h"
#include "node/internal/listenerhelpers.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace kumquat::node {

using coordination::RequestId;
using coordination::RequestResult;
using coordination::UpstreamCall;
using protocol::ErrorKind;
using std::chrono::milliseconds;
using transport::BodyReader;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

constexpr milliseconds kTickInterval{ 5 };
constexpr milliseconds kEndpointPollInterval{ 500 };
constexpr milliseconds kStopCheckInterval{ 10 };
// For how long the load balancer may still send requests after /ready has
// changed to "not ready".
constexpr milliseconds kQuietBeforeStop{ 1000 };
constexpr std::size_t kMaxCallerBodyBytes = 16U << 20U;
constexpr std::size_t kMaxOperatorBodyBytes = 4U << 20U;
constexpr std::size_t kMaxOperatorConnections = 256;

state::HostRef FromWire(const protocol::HostRef& aRef)
{
  return { { aRef.host }, aRef.incarnation };
}

} // namespace

Node::Impl::Impl(const state::Settings& aSettings,
                 std::function<void()> aOnDeposed)
  : settings(aSettings)
  , self{ aSettings.host, UnixTime().count() }
  , onDeposed(std::move(aOnDeposed))
  , metrics(Now)
  , refusals(this->metrics, "kumquat_refusals_total",
             "Requests answered with an error.", "reason")
  , retries(this->metrics, "kumquat_retries_total",
            "Attempts after a first one, by reason.", "reason")
  , log({ .level = aSettings.logLevel,
          .json = aSettings.logJson,
          .host = aSettings.host.value })
  , random(std::random_device{}())
  , callers(aSettings.ringSize)
  , upstreams(aSettings.ringSize)
  , coordination(aSettings.ringSize)
  , platform(aSettings.ringSize)
  , tick(this->coordination.Context())
{
  this->answeredRequests = &this->metrics.GetOrCreateCounter(
    "kumquat_answers_total", "Requests answered by an upstream.");
}

Node::Impl::~Impl()
{
  // Coordination stops last: the other threads hand it work until they have
  // ended, and the tasks that it hands them still need their rings.
  this->callers.Stop();
  this->upstreams.Stop();
  this->platform.Stop();
  this->coordination.Stop();
}

std::error_code Node::Impl::Start()
{
  transport::HttpClient::Options upstreamOptions;
  upstreamOptions.localAddress = IpOf(this->settings.peerAddress);
  upstreamOptions.echoHeader = "Kumquat-Request-Id";
  this->upstreamClient = std::make_unique<transport::HttpClient>(
    this->upstreams.Context(), upstreamOptions);
  transport::HttpClient::Options controlOptions;
  controlOptions.localAddress = upstreamOptions.localAddress;
  this->controlClient = std::make_unique<transport::HttpClient>(
    this->upstreams.Context(), controlOptions);
  controlOptions.wholeBodyBytes = 64U << 20U;
  this->platformClient = std::make_unique<transport::HttpClient>(
    this->platform.Context(), controlOptions);
  const state::SendHttp send = [this](const std::string& aAddress,
                                      HttpRequest aRequest,
                                      milliseconds aTimeout, HttpDone aDone) {
    this->platformClient->Send(aAddress, std::move(aRequest), aTimeout,
                               std::move(aDone));
  };
  this->tableClient =
    std::make_unique<state::TableClient>(this->settings.tableAddress, send);
  this->objectClient =
    std::make_unique<state::ObjectClient>(this->settings.objectAddress, send);
  this->endpointListClient = std::make_unique<state::EndpointListClient>(
    this->settings.listAddress, send);
  const std::string& advertised = this->settings.advertisedPeerAddress;
  this->router = std::make_unique<coordination::Router>(
    coordination::Router::Identity{
      this->self, this->settings.dataCentre,
      advertised.empty() ? this->settings.peerAddress : advertised },
    this->RouterHooks());
  this->MakeOperatorApi();
  for (const std::error_code error :
       { this->ListenForPeers(), this->ListenForOperators(),
         this->ListenForCallers() }) {
    if (error) {
      return error;
    }
  }
  this->callers.Start("callers");
  this->upstreams.Start("upstreams");
  this->platform.Start("platform");
  this->coordination.Hand([this] {
    this->router->Start();
    this->Tick();
  });
  this->coordination.Start("coordination");
  this->log.Write(Event::kStarted, { { "host", this->self.host.value } });
  return {};
}

std::error_code Node::Impl::ListenForCallers()
{
  transport::HttpServer::Options options;
  options.address = this->settings.callerAddress;
  options.maxBodyBytes = kMaxCallerBodyBytes;
  options.maxConnections = this->settings.maxConnections;
  options.handler = [this](HttpRequest aRequest,
                           const transport::HttpServer::Respond& aRespond) {
    this->OnCallerRequest(std::move(aRequest), aRespond);
  };
  options.refuse = [this](transport::ServerRefusal aRefusal,
                          const transport::HttpRequest&) {
    const ErrorKind kind = ErrorKindOf(aRefusal);
    return this->CountAnswer(kind, MakeErrorResponse(kind));
  };
  return TakeListener(
    transport::HttpServer::Listen(this->callers.Context(), std::move(options)),
    this->callerServer);
}

std::error_code Node::Impl::ListenForOperators()
{
  transport::HttpServer::Options options;
  options.address = this->settings.operatorAddress;
  options.maxBodyBytes = kMaxOperatorBodyBytes;
  options.maxConnections = kMaxOperatorConnections;
  options.handler = [this](const HttpRequest& aRequest,
                           const transport::HttpServer::Respond& aRespond) {
    this->OnOperatorRequest(aRequest, aRespond);
  };
  return TakeListener(
    transport::HttpServer::Listen(this->callers.Context(), std::move(options)),
    this->operatorServer);
}

std::error_code Node::Impl::ListenForPeers()
{
  transport::PeerNetwork::Options options;
  options.address = this->settings.peerAddress;
  options.hello = MakeHello(this->self, this->settings.dataCentre);
  options.onFrame = [this](const protocol::HostRef& aFrom,
                           protocol::Frame aFrame) {
    this->OnFrame(aFrom, std::move(aFrame));
  };
  options.onUp = [this](const protocol::HostRef& aPeer, bool aUp) {
    Task task = [this, aPeer, aUp] {
      if (aUp) {
        this->connectedPeers.insert(aPeer.host);
      } else {
        this->connectedPeers.erase(aPeer.host);
      }
      this->router->OnPeer(FromWire(aPeer), aUp);
    };
    // This event must not be lost, and this thread must not wait for room in
    // the ring, so the task bypasses the ring if it is full.
    if (!this->coordination.TryHand(task)) {
      this->coordination.Context().post(
        [shared = std::make_shared<Task>(std::move(task))] { (*shared)(); });
    }
  };
  return TakeListener(
    transport::PeerNetwork::Listen(this->callers.Context(), std::move(options)),
    this->peerNetwork);
}

void Node::Impl::OnCallerRequest(HttpRequest&& aRequest,
                                 const transport::HttpServer::Respond& aRespond)
{
  auto request = ToCallerRequest(std::move(aRequest), Now());
  if (!request) {
    const auto kind = static_cast<ErrorKind>(request.error().value());
    aRespond(this->CountAnswer(kind, MakeErrorResponse(kind)));
    return;
  }
  this->lastArrival.store(Now().time_since_epoch().count());
  const TimePoint arrived = Now();
  Task task = [this, arrived, request = std::move(*request),
               aRespond]() mutable {
    const state::ServiceName service = request.service;
    this->router->OnCallerRequest(
      std::move(request),
      [this, arrived, service, aRespond](RequestResult aResult) {
        const ErrorKind kind = aResult.error;
        this->ObserveLatency(service, Now() - arrived);
        if (aResult.response.rest) {
          aResult.response.rest =
            this->ReadBodyOnCoordination(std::move(aResult.response.rest));
        }
        aRespond(this->CountAnswer(kind, ToHttpResponse(std::move(aResult))));
      });
  };
  if (!this->coordination.TryHand(task)) {
    aRespond(this->CountAnswer(ErrorKind::kRingFull,
                               MakeErrorResponse(ErrorKind::kRingFull)));
  }
}

HttpResponse Node::Impl::CountAnswer(ErrorKind aKind, HttpResponse&& aResponse)
{
  if (aKind == ErrorKind::kNone) {
    this->answeredRequests->Add();
  } else {
    this->refusals.Add(aKind);
  }
  return std::move(aResponse);
}

// Records the time until the head of the response. Only services of the
// configuration are recorded, as callers could otherwise fill the metrics
// registry with arbitrary names.
void Node::Impl::ObserveLatency(const state::ServiceName& aService,
                                Duration aElapsed)
{
  if (this->router->Configuration().Find(aService) == nullptr) {
    return;
  }
  Summary*& summary = this->latencies[aService];
  if (summary == nullptr) {
    summary = &this->metrics.GetOrCreateSummary(
      "kumquat_request_seconds",
      "From a request's arrival at this host to the head of its answer.",
      { { "service", aService.value } });
  }
  summary->Observe(aElapsed);
}

void Node::Impl::UpdateRingMetrics()
{
  const std::pair<const char*, const transport::DutyThread*> rings[] = {
    { "callers", &this->callers },
    { "upstreams", &this->upstreams },
    { "coordination", &this->coordination },
    { "platform", &this->platform }
  };
  for (const auto& [name, duty] : rings) {
    this->metrics
      .GetOrCreateGauge(
        "kumquat_ring_refusals",
        "Times since the start that a duty's ring was found full.",
        { { "ring", name } })
      .Set(static_cast<std::int64_t>(duty->Refusals()));
  }
  this->metrics
    .GetOrCreateGauge("kumquat_log_lines_dropped",
                      "Log lines dropped since the start, as nobody read them.")
    .Set(static_cast<std::int64_t>(this->log.DroppedLines()));
}

void Node::Impl::CountRetry(ErrorKind aKind)
{
  this->retries.Add(aKind);
}

void Node::Impl::OnOperatorRequest(
  const HttpRequest& aRequest, const transport::HttpServer::Respond& aRespond)
{
  if (aRequest.target == "/ready") {
    const bool isReady = this->ready.load() && !this->stopping.load();
    aRespond(MakePlainTextResponse(isReady ? 200 : 503,
                                   isReady ? "ready\n" : "not ready\n"));
    return;
  }
  Task task = [this, aRequest, aRespond] {
    this->operatorApi->Handle(aRequest, aRespond);
  };
  if (!this->coordination.TryHand(task)) {
    aRespond(this->CountAnswer(ErrorKind::kRingFull,
                               MakeErrorResponse(ErrorKind::kRingFull)));
  }
}

void Node::Impl::OnFrame(const protocol::HostRef& aFrom, protocol::Frame aFrame)
{
  auto frame = std::make_shared<protocol::Frame>(std::move(aFrame));
  Task task = [this, from = FromWire(aFrom), frame] {
    this->router->OnFrame(from, std::move(*frame));
  };
  if (!this->coordination.TryHand(task)) {
    this->RefuseFrame(aFrom, *frame);
  }
}

// A forwarded request is refused with a reply that it was not run. Other frames
// have no such reply; the connection is closed instead, so that the sender
// treats the frame as lost.
void Node::Impl::RefuseFrame(const protocol::HostRef& aFrom,
                             const protocol::Frame& aFrame)
{
  this->log.Write(Event::kRingFull, { { "ring", "coordination" } });
  if (!aFrame.__isset.forward) {
    this->peerNetwork->Close(aFrom.host);
    return;
  }
  protocol::ForwardReply reply;
  reply.__set_error(static_cast<int>(ErrorKind::kRingFull));
  protocol::Frame frame;
  frame.__set_correlation(aFrame.correlation);
  frame.__set_reply(true);
  frame.__set_forwardReply(reply);
  static_cast<void>(this->peerNetwork->Send(aFrom.host, frame));
}

void Node::Impl::SendToUpstream(UpstreamCall&& aCall)
{
  const RequestId id = aCall.id;
  const auto call = this->upstreamClient->Send(
    aCall.address, std::move(aCall.request), aCall.timeout,
    [this, id](Result<HttpResponse> aResponse) {
      this->upstreamCalls.erase(id);
      this->OnUpstreamAnswer(id, std::move(aResponse));
    });
  this->upstreamCalls.emplace(id, call);
}

void Node::Impl::OnUpstreamAnswer(RequestId aId, Result<HttpResponse> aResponse)
{
  if (aResponse && aResponse->rest) {
    aResponse->rest =
      this->ReadBodyOnUpstreams(aId, std::move(aResponse->rest));
  }
  this->coordination.Hand(
    [this, aId, response = std::move(aResponse)]() mutable {
      this->router->OnUpstreamAnswer(aId, std::move(response));
    });
}

// Lets coordination read a body whose connection belongs to the upstreams'
// thread: each piece is read there, and the reader is destroyed there. Pieces
// are delivered on coordination's thread, as its data has no locks. When the
// reader is destroyed, whether the body was read to its end or not, the
// steward, which is the host that controls the upstream, gets the slot back.
BodyReader Node::Impl::ReadBodyOnUpstreams(RequestId aId, BodyReader aReader)
{
  const std::shared_ptr<BodyReader> reader(
    new BodyReader(std::move(aReader)), [this, aId](BodyReader* aOwned) {
      this->upstreams.Context().post([aOwned] { delete aOwned; });
      this->coordination.Context().post(
        [this, aId] { this->router->OnBodyEnd(aId); });
    });
  return [this, reader](std::function<void(Result<std::string>)> aTake) {
    this->upstreams.Context().post([this, reader, take = std::move(aTake)] {
      (*reader)([this, take](Result<std::string> aPiece) {
        this->coordination.Hand([take, piece = std::move(aPiece)]() mutable {
          take(std::move(piece));
        });
      });
    });
  };
}

// Lets the callers' server read a body whose reader belongs to coordination: it
// is called and destroyed on coordination's thread.
BodyReader Node::Impl::ReadBodyOnCoordination(BodyReader aReader)
{
  const std::shared_ptr<BodyReader> reader(
    new BodyReader(std::move(aReader)), [this](BodyReader* aOwned) {
      this->coordination.Context().post([aOwned] { delete aOwned; });
    });
  return [this, reader](std::function<void(Result<std::string>)> aTake) {
    this->coordination.Context().post(
      [reader, take = std::move(aTake)] { (*reader)(take); });
  };
}

bool Node::Impl::SendToPeer(const state::HostId& aHost,
                            const protocol::Frame& aFrame)
{
  if (!this->connectedPeers.contains(aHost.value)) {
    return false;
  }
  this->callers.Hand([this, host = aHost.value, frame = aFrame] {
    // The frame was not sent. Closing the connection makes the pending call of
    // the sender fail.
    if (!this->peerNetwork->Send(host, frame)) {
      this->peerNetwork->Close(host);
    }
  });
  return true;
}

void Node::Impl::Tick()
{
  this->router->OnTimer();
  this->PollEndpoints();
  this->PublishReadiness();
  this->tick.expires_after(kTickInterval);
  this->tick.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

void Node::Impl::PublishReadiness()
{
  const bool isReady = this->router->IsReady();
  if (this->ready.exchange(isReady) != isReady) {
    this->log.Write(isReady ? Event::kReady : Event::kNotReady);
  }
  this->idle.store(this->router->IsIdle());
}

void Node::Impl::PollEndpoints()
{
  if (this->isPollingEndpoints || Now() < this->endpointsDueAt) {
    return;
  }
  this->isPollingEndpoints = true;
  const bool handed = this->TryRunOnPlatform([this] {
    this->endpointListClient->Fetch([this](Result<state::EndpointList> aList) {
      this->coordination.Hand([this, list = std::move(aList)]() mutable {
        this->isPollingEndpoints = false;
        this->endpointsDueAt = Now() + kEndpointPollInterval;
        if (list) {
          this->router->OnEndpoints(std::move(*list));
        }
      });
    });
  });
  this->isPollingEndpoints = handed;
}

bool Node::Impl::Stop(milliseconds aTimeout)
{
  const TimePoint latest = Now() + aTimeout;
  this->log.Write(Event::kStopping);
  this->stopping.store(true);
  this->callerServer->Drain();
  this->lastArrival.store(Now().time_since_epoch().count());
  this->coordination.Hand([this] { this->router->Stop(); });
  const auto isDone = [this] {
    const TimePoint last{ Duration(this->lastArrival.load()) };
    return this->idle.load() && this->callerServer->Busy() == 0 &&
           Now() - last >= kQuietBeforeStop;
  };
  while (!isDone() && Now() < latest) {
    std::this_thread::sleep_for(kStopCheckInterval);
  }
  const bool isClean = isDone();
  this->callerServer->StopAccepting();
  std::promise<void> finished;
  this->coordination.Hand([this, &finished] {
    this->router->Finish();
    finished.set_value();
  });
  finished.get_future().wait();
  this->log.Write(Event::kStopped);
  return isClean;
}

} // namespace kumquat::node
