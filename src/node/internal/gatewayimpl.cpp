// The part of a gateway that connects its components: listeners, hooks,
// requests, and the planned stop.

#include "node/internal/gatewayimpl.h"

#include "node/callerhttp.h"
#include "node/internal/clocks.h"
#include "node/internal/listenerhelpers.h"
#include "platform/messages.h"
#include "platform/names.h"

#include <xxhash.h>

#include <algorithm>
#include <thread>
#include <utility>

namespace kumquat::node {

using protocol::ErrorKind;
using std::chrono::milliseconds;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

// Tasks that wait for a thread at most.
constexpr std::size_t kRingSize = 4096;
// Upstreams are one or two milliseconds away. One that has not accepted a
// connection within this time has no power or is overloaded.
constexpr milliseconds kUpstreamConnectTimeout{ 300 };
// See HttpClient::Options::unacknowledged.
constexpr milliseconds kUpstreamUnacknowledged{ 600 };
// Responses up to this size are received in full before the caller gets the
// first byte. If one breaks off, the request can still be retried at another
// upstream.
constexpr std::size_t kMaxBufferedResponse = 2U << 20U;
// Idle connections kept to each upstream. An upstream accepts some hundred
// connections in total, from a dozen hosts.
constexpr std::size_t kMaxIdleConnections = 8;
constexpr milliseconds kGrantTimeout{ 700 };
// An upstream responds to a release when the work on its keys has ended.
constexpr milliseconds kReleaseTimeout{ 2500 };
// Times after the start of a planned stop. Connections of callers are served as
// usual until the load balancer has certainly stopped using this host, which
// takes it two checks, one second apart. From kDrainAfter on, each connection
// is closed with its next response; from kCloseAfter on, also if it is idle.
constexpr milliseconds kDrainAfter{ 2300 };
// New requests are refused from here on: a request may take some two seconds,
// so a response could not be guaranteed within the rest of the grace period.
constexpr milliseconds kRefuseAfter{ 2900 };
constexpr milliseconds kCloseAfter{ 3300 };
// Part of the grace period that is reserved for a clean end: requests that
// still run then are ended.
constexpr milliseconds kShutdownReserve{ 900 };
// Part of that reserve in which the last responses are sent.
constexpr milliseconds kLastResponsesTime{ 400 };
constexpr milliseconds kStopCheckInterval{ 20 };
// Logged as the key of a request without a key.
constexpr std::int64_t kNoKey = -1;
// One of so many served requests is logged. The choice depends on the request's
// id alone, so that all hosts log the same ones.
constexpr std::uint64_t kServedSample = 16;

} // namespace

Gateway::Impl::Impl(const state::GatewaySettings& aSettings)
  : settings(aSettings)
  , self{ aSettings.host, UnixTime().count() }
  , metrics(Now)
  , refusals(this->metrics, "kumquat_refusals_total",
             "Requests answered with an error.", "reason")
  , retries(this->metrics, "kumquat_retries_total",
            "Attempts after a first one, by reason.", "reason")
  , answeredRequests(this->metrics.GetOrCreateCounter(
      "kumquat_answers_total", "Requests answered by an upstream."))
  , log({ .level = aSettings.logLevel,
          .json = true,
          .host = aSettings.host.value,
          .toStandardOutput = true })
  , random(std::random_device{}())
  , serving(kRingSize)
  , storeThread(kRingSize)
  , peers(this->self, BootTime,
          [this](const state::HostId& aHost) {
            return this->topology.IsCellMember(aHost);
          })
  , topology({ aSettings.host, aSettings.dataCentre, aSettings.processors },
             { BootTime,
               [this](const state::HostId& aHost) {
                 return this->peers.LastHeardAt(aHost);
               } })
  , routes(std::make_shared<routing::RouteTable>())
  , tick(this->serving.Context())
  , dispatchTimer(this->serving.Context())
{
}

Gateway::Impl::~Impl()
{
  this->storeThread.Stop();
  this->serving.Stop();
}

std::error_code Gateway::Impl::Start()
{
  transport::HttpClient::Options options;
  options.localAddress = IpOf(this->settings.peerAddress);
  options.connectTimeout = kUpstreamConnectTimeout;
  options.unacknowledged = kUpstreamUnacknowledged;
  options.maxIdle = kMaxIdleConnections;
  this->leaseClient =
    std::make_unique<transport::HttpClient>(this->serving.Context(), options);
  options.echoHeader = platform::RequestIdHeader();
  options.errorsNeedEcho = false;
  options.wholeBodyBytes = kMaxBufferedResponse;
  this->upstreamClient =
    std::make_unique<transport::HttpClient>(this->serving.Context(), options);
  this->keyedServices = std::make_unique<KeyedServices>(
    this->self, this->settings.maxLease, this->upstreams, this->peers,
    this->KeyedServicesHooks());
  this->dispatcher = std::make_unique<routing::Dispatcher>(
    routing::DispatcherOptions{ this->settings.host, this->settings.dataCentre,
                                this->settings.resendShare,
                                this->settings.resendExtra },
    this->upstreams, this->DispatcherHooks());
  this->replication = std::make_unique<TableReplication>(
    this->topology, this->peers, this->connectedPeers,
    this->settings.isFirstStart, this->TableReplicationHooks());
  this->registration = std::make_unique<Registration>(
    HostRow{ this->settings.host, this->settings.peerAddress,
             this->settings.dataCentre, this->settings.processors },
    this->settings.isFirstStart, this->RegistrationHooks());
  this->storeClient = std::make_unique<StoreClient>(
    this->storeThread, this->settings.storeAddress,
    IpOf(this->settings.peerAddress),
    std::vector<std::string>{ std::string(platform::kOperatorTable),
                              std::string(platform::kUpstreamTable),
                              kHostTable },
    StoreClient::Hooks{
      [this](TableUpdate aUpdate) {
        this->serving.Hand([this, update = std::move(aUpdate)] {
          this->replication->OnUpdate(update);
        });
      },
      [this](bool aIsAvailable) {
        this->serving.Hand([this, aIsAvailable] {
          this->isStoreAvailable = aIsAvailable;
          this->replication->SetStoreAvailable(aIsAvailable);
          this->log.Write(aIsAvailable ? Event::kStoreBack : Event::kStoreDown);
          this->keyedServices->SetStoreAvailable(aIsAvailable);
        });
      },
      [this](const TableReadResult& aResult) {
        this->OnTableReadEnded(aResult);
      },
      [this](state::StoreCall aCall, const std::string& aTable) {
        this->OnStoreCall(aCall, aTable);
      } });
  for (const std::error_code error :
       { this->ListenForPeers(), this->ListenForReadinessChecks(),
         this->ListenForMetrics(), this->ListenForCallers() }) {
    if (error) {
      return error;
    }
  }
  this->serving.Hand([this] { this->Tick(); });
  this->serving.Start("serving");
  this->storeThread.Start("store");
  this->log.Write(Event::kStarted,
                  { { "incarnation", this->self.incarnation } });
  return {};
}

std::error_code Gateway::Impl::ListenForCallers()
{
  transport::HttpServer::Options options;
  options.address = this->settings.callerAddress;
  options.maxConnections = this->settings.maxConnections;
  options.endIsLeaving = true;
  options.handler = [this](HttpRequest aRequest,
                           const transport::HttpServer::Respond& aRespond) {
    this->OnCallerRequest(std::move(aRequest), aRespond);
  };
  options.refuse = [this](transport::ServerRefusal aRefusal) {
    const ErrorKind kind = ErrorKindOf(aRefusal);
    this->refusals.Add(kind);
    return platform::MakeErrorResponse(kind);
  };
  return TakeListener(
    transport::HttpServer::Listen(this->serving.Context(), std::move(options)),
    this->callerServer);
}

std::error_code Gateway::Impl::ListenForReadinessChecks()
{
  transport::HttpServer::Options options;
  options.address = this->settings.readyAddress;
  options.handler = [this](const HttpRequest&,
                           const transport::HttpServer::Respond& aRespond) {
    const bool isReady = this->IsReady();
    aRespond(MakePlainTextResponse(isReady ? 200 : 503,
                                   isReady ? "ready\n" : "not ready\n"));
  };
  return TakeListener(
    transport::HttpServer::Listen(this->serving.Context(), std::move(options)),
    this->readinessServer);
}

std::error_code Gateway::Impl::ListenForMetrics()
{
  transport::HttpServer::Options options;
  options.address = this->settings.metricsAddress;
  options.handler = [this](const HttpRequest&,
                           const transport::HttpServer::Respond& aRespond) {
    aRespond(MakePlainTextResponse(200, this->metrics.Text()));
  };
  return TakeListener(transport::HttpServer::Listen(this->storeThread.Context(),
                                                    std::move(options)),
                      this->metricsServer);
}

std::error_code Gateway::Impl::ListenForPeers()
{
  transport::PeerNetwork::Options options;
  options.address = this->settings.peerAddress;
  options.hello = MakeHello(this->self, this->settings.dataCentre);
  options.redialPause = milliseconds(500);
  options.onFrame = [this](const protocol::HostRef& aFrom,
                           const protocol::Frame& aFrame) {
    this->OnFrame(aFrom, aFrame);
  };
  options.onUp = [this](const protocol::HostRef& aPeer, bool aUp) {
    if (aUp) {
      this->connectedPeers.insert(aPeer.host);
      this->replication->OnPeerUp({ aPeer.host });
    } else {
      this->connectedPeers.erase(aPeer.host);
    }
    this->log.Write(aUp ? Event::kPeerUp : Event::kPeerDown,
                    { { "peer", aPeer.host } });
  };
  return TakeListener(
    transport::PeerNetwork::Listen(this->serving.Context(), std::move(options)),
    this->peerNetwork);
}

routing::Dispatcher::Hooks Gateway::Impl::DispatcherHooks()
{
  routing::Dispatcher::Hooks hooks;
  hooks.now = BootTime;
  hooks.random = [this](std::size_t aBelow) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      aBelow - 1)(this->random);
  };
  hooks.send = [this](const routing::UpstreamRequest& aRequest) {
    this->SendToUpstream(aRequest);
  };
  hooks.cancel = [this](routing::RequestNumber aNumber) {
    const auto call = this->upstreamCalls.find(aNumber);
    if (call != this->upstreamCalls.end()) {
      this->upstreamClient->Cancel(call->second);
    }
  };
  hooks.findOwner = [this](const state::ServiceName& aService,
                           routing::Key aKey) {
    const ownership::KeyMap* map = this->keyedServices->FindMap(aService);
    if (map == nullptr) {
      return routing::KeyOwner{};
    }
    const TimePoint now = BootTime();
    const ownership::KeyMap::Owner owner = map->OwnerOf(aKey, now);
    return routing::KeyOwner{ owner.upstream, now - owner.since };
  };
  hooks.reportNotOwner = [this](const state::ServiceName& aService,
                                routing::Key aKey, const state::UpstreamId&) {
    if (ownership::KeyMap* map = this->keyedServices->FindMap(aService)) {
      map->OnNotOwner(aKey, BootTime());
    }
  };
  hooks.onRequestEnded = [this](const routing::RequestTrace& aTrace) {
    this->OnRequestEnded(aTrace);
  };
  hooks.onRetry = [this](ErrorKind aReason) { this->retries.Add(aReason); };
  return hooks;
}

KeyedServices::Hooks Gateway::Impl::KeyedServicesHooks()
{
  KeyedServices::Hooks hooks;
  hooks.now = BootTime;
  hooks.read = [this](const std::string& aTable, const std::string& aPart,
                      state::RowStore::ReadDone aDone) {
    this->storeThread.Hand([this, aTable, aPart, done = std::move(aDone)] {
      this->storeClient->Rows().Read(
        aTable, aPart, [this, done](Result<state::RowsRead> aRead) {
          this->serving.Hand([done, read = std::move(aRead)]() mutable {
            done(std::move(read));
          });
        });
    });
  };
  hooks.write = [this](const state::RowsWrite& aWrite,
                       state::RowStore::WriteDone aDone) {
    this->WriteRows(aWrite, std::move(aDone));
  };
  hooks.sendCommand = [this](const ownership::LeaseCommand& aCommand,
                             ownership::Assigner::CommandDone aDone) {
    this->SendLeaseCommand(aCommand, std::move(aDone));
  };
  hooks.preference = [this](const state::HostId& aHost) {
    return this->topology.DutyPreference(aHost);
  };
  hooks.requestConnection = [this](const state::HostRef& aClaimant) {
    this->unknownClaimant = aClaimant.host;
    this->UpdateConnections();
  };
  hooks.followsStore = [this] { return this->replication->IsFollowing(); };
  hooks.publishMaps = [this] {
    if (!this->topology.Cells().IsDivided()) {
      this->SendKeyMaps();
    }
  };
  hooks.ownersChanged = [this] {
    this->dispatcher->RecheckWaitingRequests();
    this->ScheduleDispatcher();
  };
  hooks.log = [this](std::string_view aService, std::string_view aWhat,
                     std::string_view aDetail) {
    this->log.Write(
      Event::kKeys,
      { { "service", aService }, { "what", aWhat }, { "detail", aDetail } });
  };
  return hooks;
}

// --- requests

void Gateway::Impl::OnCallerRequest(
  HttpRequest&& aRequest, const transport::HttpServer::Respond& aRespond)
{
  const auto connection = aRequest.link;
  auto request = platform::ParseCallerRequest(std::move(aRequest), BootTime());
  if (!request) {
    const auto kind = static_cast<ErrorKind>(request.error().value());
    this->refusals.Add(kind);
    aRespond(platform::MakeErrorResponse(kind));
    return;
  }
  const std::string id = request->id;
  if (request->key) {
    const routing::Route* route =
      this->routes->FindRoute(request->hostName, request->message.target);
    if (route != nullptr && route->destinations.size() == 1) {
      this->keyedServices->OnRequest(route->destinations.front().service,
                                     *request->key);
    }
  }
  const routing::RequestNumber number = this->dispatcher->OnRequest(
    std::move(*request), [id, aRespond](routing::CallerResponse aResponse) {
      aRespond(platform::MakeCallerResponse(std::move(aResponse), id));
    });
  connection->onGone = [this, number] {
    this->dispatcher->OnCallerGone(number);
    this->ScheduleDispatcher();
  };
  this->ScheduleDispatcher();
}

void Gateway::Impl::SendToUpstream(const routing::UpstreamRequest& aRequest)
{
  const routing::RequestNumber number = aRequest.number;
  HttpRequest request = platform::MakeUpstreamRequest(aRequest);
  request.isStillValid = [this, number] {
    return this->dispatcher->IsTargetStillValid(number);
  };
  const auto call = this->upstreamClient->Send(
    aRequest.address, std::move(request), aRequest.timeout,
    [this, number](Result<HttpResponse> aResponse) {
      if (!aResponse &&
          aResponse.error() == transport::TransportError::kCancelled) {
        return;
      }
      this->upstreamCalls.erase(number);
      if (aResponse) {
        this->dispatcher->OnUpstreamResponse(
          number, platform::ParseUpstreamResponse(std::move(*aResponse)));
      } else {
        this->dispatcher->OnSendFailed(
          number,
          static_cast<transport::TransportError>(aResponse.error().value()));
      }
      this->ScheduleDispatcher();
    });
  this->upstreamCalls[number] = call;
}

void Gateway::Impl::SendLeaseCommand(const ownership::LeaseCommand& aCommand,
                                     ownership::Assigner::CommandDone aDone)
{
  const bool isGrant = aCommand.kind == ownership::LeaseCommandKind::kGrant;
  this->leaseClient->Send(
    aCommand.address, platform::MakeLeaseCommandRequest(aCommand),
    isGrant ? kGrantTimeout : kReleaseTimeout,
    [done = std::move(aDone)](const Result<HttpResponse>& aResponse) {
      if (aResponse) {
        done(platform::ParseLeaseCommandReply(*aResponse));
        return;
      }
      const bool mayHaveArrived =
        aResponse.error() != transport::TransportError::kUnreachable;
      done({ mayHaveArrived ? ownership::LeaseCommandResult::kNoAnswer
                            : ownership::LeaseCommandResult::kUnreachable,
             {} });
    });
}

void Gateway::Impl::OnRequestEnded(const routing::RequestTrace& aTrace)
{
  this->upstreamCalls.erase(aTrace.number);
  if (aTrace.error == ErrorKind::kNone) {
    this->answeredRequests.Add();
    Summary*& summary = this->latencies[aTrace.service];
    if (summary == nullptr) {
      summary = &this->metrics.GetOrCreateSummary(
        "kumquat_request_seconds",
        "From a request's arrival at this host to its answer.",
        { { "service", aTrace.service } });
    }
    summary->Observe(aTrace.took);
    const bool hasFailed = aTrace.status >= 500;
    const bool isSampled =
      XXH3_64bits(aTrace.id.data(), aTrace.id.size()) % kServedSample == 0;
    if (!hasFailed && !isSampled) {
      return;
    }
  } else {
    this->refusals.Add(aTrace.error);
  }
  const protocol::ErrorInfo& info = protocol::ErrorInfoFor(aTrace.error);
  const Event event = aTrace.error == ErrorKind::kNone ? Event::kRequestAnswered
                      : info.outcome == protocol::Outcome::kNotRun
                        ? Event::kRequestRefused
                        : Event::kRequestGivenUp;
  this->log.Write(
    event, { { "request", aTrace.id },
             { "route", aTrace.route },
             { "service", aTrace.service },
             { "key", aTrace.key ? std::int64_t{ *aTrace.key } : kNoKey },
             { "reason", info.name },
             { "status", static_cast<std::int64_t>(aTrace.status) },
             { "sends", aTrace.attempts },
             { "waited_ms", static_cast<std::int64_t>(aTrace.waited.count()) },
             { "took_ms", static_cast<std::int64_t>(aTrace.took.count()) },
             { "queued", static_cast<std::int64_t>(aTrace.queued) },
             { "configuration", aTrace.configuration },
             { "upstreams_version",
               this->replication->Find(std::string(platform::kUpstreamTable))
                 .version } });
}

void Gateway::Impl::ScheduleDispatcher()
{
  const auto due = this->dispatcher->NextDue();
  if (!due || *due >= this->dispatchDueAt) {
    return;
  }
  this->dispatchDueAt = *due;
  this->dispatchTimer.expires_after(std::max(Duration(0), *due - BootTime()));
  this->dispatchTimer.async_wait(
    [this](const boost::system::error_code& aError) {
      if (aError) {
        return;
      }
      this->dispatchDueAt = TimePoint::max();
      this->dispatcher->OnTimer();
      this->ScheduleDispatcher();
    });
}

// --- readiness, reload and stop

bool Gateway::Impl::IsReady() const
{
  return !this->isLeaving && this->routes->CurrentConfiguration().version > 0 &&
         !this->upstreams.All().empty();
}

void Gateway::Impl::Reload(const state::GatewaySettings& aSettings)
{
  this->settings.grace = aSettings.grace;
  this->log.Write(Event::kSettingsReloaded);
}

void Gateway::Impl::OnReloadFailed(const std::string& aError)
{
  this->log.Write(Event::kSettingsInvalid, { { "fault", aError } });
}

bool Gateway::Impl::Stop()
{
  const TimePoint start = Now();
  const TimePoint latest = start + this->settings.grace - kShutdownReserve;
  this->log.Write(Event::kStopping);
  this->serving.Hand([this] {
    this->isLeaving = true;
    this->keyedServices->Leave();
    this->SendDigest(
      { this->connectedPeers.begin(), this->connectedPeers.end() },
      this->MakeDigest());
  });
  std::this_thread::sleep_until(start + kDrainAfter);
  this->callerServer->Drain();
  std::this_thread::sleep_until(start + kRefuseAfter);
  this->serving.Hand([this] { this->dispatcher->StopAccepting(); });
  std::this_thread::sleep_until(start + kCloseAfter);
  this->callerServer->StopAccepting();
  const auto waitUntil = [this](TimePoint aLatest) {
    while (this->callerServer->Connections() > 0 && Now() < aLatest) {
      std::this_thread::sleep_for(kStopCheckInterval);
    }
  };
  waitUntil(latest);
  if (this->callerServer->Connections() > 0) {
    this->serving.Hand([this] { this->dispatcher->EndAllRequests(); });
    waitUntil(latest + kLastResponsesTime);
  }
  const bool isClean = this->callerServer->Busy() == 0;
  this->log.Write(
    Event::kStopped,
    { { "left", static_cast<std::int64_t>(this->callerServer->Busy()) } });
  return isClean;
}

} // namespace kumquat::node
