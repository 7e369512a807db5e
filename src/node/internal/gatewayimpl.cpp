// Wiring of a gateway: its listeners, its requests, its stop.

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

constexpr std::size_t kRing = 4096;
// Upstreams are a millisecond or two away; one that did not take a connection
// within that is dark or full.
constexpr milliseconds kUpstreamConnect{ 300 };
constexpr milliseconds kUpstreamUnacknowledged{ 600 };
// Answers up to this size come whole before the caller gets a byte: one that
// breaks off can then still be had from another upstream.
constexpr std::size_t kWholeAnswer = 2U << 20U;
// An upstream takes some hundred connections from a dozen hosts together.
constexpr std::size_t kIdleConnections = 8;
constexpr milliseconds kGrantTimeout{ 700 };
// A release is answered when the work on its keys has ended.
constexpr milliseconds kReleaseTimeout{ 2500 };
// Callers' connections that were open when the stop began go on being served
// until the balancer has surely turned away (two checks, a second apart), then
// end with their next answer, and then when they are idle.
constexpr milliseconds kUntilDrain{ 2300 };
// What comes later than that could not be surely answered in what is left: a
// request may take some two seconds.
constexpr milliseconds kUntilRefusal{ 2900 };
constexpr milliseconds kUntilClose{ 3300 };
// What is left of the grace to end in good order.
constexpr milliseconds kEndMargin{ 900 };
// For the last answers to get out, of what is left of the grace.
constexpr milliseconds kLastAnswers{ 400 };
constexpr milliseconds kStopCheck{ 20 };
// In the log, of a request without a key.
constexpr std::int64_t kNoKey = -1;
// Every so many served requests one is logged, by its name, so that all hosts
// keep the same ones.
constexpr std::uint64_t kServedSample = 16;

} // namespace

Gateway::Impl::Impl(const state::GatewaySettings& aSettings)
  : settings(aSettings)
  , self{ aSettings.host, UnixTime().count() }
  , metrics(Now)
  , refusals(this->metrics, "kumquat_refusals_total",
             "Requests answered with an error.", "reason")
  , retries(this->metrics, "kumquat_retries_total",
            "Sends after a first one, by reason.", "reason")
  , answeredRequests(this->metrics.GetOrCreateCounter(
      "kumquat_answers_total", "Requests answered by an upstream."))
  , log({ .level = aSettings.logLevel,
          .json = true,
          .host = aSettings.host.value,
          .toStandardOutput = true })
  , random(std::random_device{}())
  , serving(kRing)
  , storeThread(kRing)
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
  options.connectTimeout = kUpstreamConnect;
  options.unacknowledged = kUpstreamUnacknowledged;
  options.maxIdle = kIdleConnections;
  this->leaseClient =
    std::make_unique<transport::HttpClient>(this->serving.Context(), options);
  options.echoHeader = platform::RequestIdHeader();
  options.errorsNeedEcho = false;
  options.wholeBodyBytes = kWholeAnswer;
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
      [this](TableUpdate aNews) {
        this->serving.Hand([this, news = std::move(aNews)] {
          this->replication->OnUpdate(news);
        });
      },
      [this](bool aWell) {
        this->serving.Hand([this, aWell] {
          this->isStoreAvailable = aWell;
          this->replication->SetStoreAvailable(aWell);
          this->log.Write(aWell ? Event::kStoreBack : Event::kStoreDown);
          this->keyedServices->SetStoreAvailable(aWell);
        });
      },
      [this](const TableReadResult& aEnd) { this->OnTableReadEnded(aEnd); },
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
    const bool up = this->IsReady();
    aRespond(
      MakePlainTextResponse(up ? 200 : 503, up ? "ready\n" : "not ready\n"));
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
  hooks.send = [this](const routing::UpstreamRequest& aSend) {
    this->SendToUpstream(aSend);
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
  hooks.onRetry = [this](ErrorKind aWhy) { this->retries.Add(aWhy); };
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
  hooks.sendCommand = [this](const ownership::LeaseCommand& aOrder,
                             ownership::Assigner::CommandDone aDone) {
    this->SendLeaseCommand(aOrder, std::move(aDone));
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
  const auto link = aRequest.link;
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
    std::move(*request), [id, aRespond](routing::CallerResponse aAnswer) {
      aRespond(platform::MakeCallerResponse(std::move(aAnswer), id));
    });
  link->onGone = [this, number] {
    this->dispatcher->OnCallerGone(number);
    this->ScheduleDispatcher();
  };
  this->ScheduleDispatcher();
}

void Gateway::Impl::SendToUpstream(const routing::UpstreamRequest& aSend)
{
  const routing::RequestNumber number = aSend.number;
  HttpRequest request = platform::MakeUpstreamRequest(aSend);
  request.isStillValid = [this, number] {
    return this->dispatcher->IsTargetStillValid(number);
  };
  const auto call = this->upstreamClient->Send(
    aSend.address, std::move(request), aSend.timeout,
    [this, number](Result<HttpResponse> aAnswer) {
      if (!aAnswer &&
          aAnswer.error() == transport::TransportError::kCancelled) {
        return;
      }
      this->upstreamCalls.erase(number);
      if (aAnswer) {
        this->dispatcher->OnUpstreamResponse(
          number, platform::ParseUpstreamResponse(std::move(*aAnswer)));
      } else {
        this->dispatcher->OnSendFailed(
          number,
          static_cast<transport::TransportError>(aAnswer.error().value()));
      }
      this->ScheduleDispatcher();
    });
  this->upstreamCalls[number] = call;
}

void Gateway::Impl::SendLeaseCommand(const ownership::LeaseCommand& aOrder,
                                     ownership::Assigner::CommandDone aDone)
{
  const bool grants = aOrder.kind == ownership::LeaseCommandKind::kGrant;
  this->leaseClient->Send(
    aOrder.address, platform::MakeLeaseCommandRequest(aOrder),
    grants ? kGrantTimeout : kReleaseTimeout,
    [done = std::move(aDone)](const Result<HttpResponse>& aAnswer) {
      if (aAnswer) {
        done(platform::ParseLeaseCommandReply(*aAnswer));
        return;
      }
      const bool sent =
        aAnswer.error() != transport::TransportError::kUnreachable;
      done({ sent ? ownership::LeaseCommandResult::kNoAnswer
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
    const bool failed = aTrace.status >= 500;
    const bool sampled =
      XXH3_64bits(aTrace.id.data(), aTrace.id.size()) % kServedSample == 0;
    if (!failed && !sampled) {
      return;
    }
  } else {
    this->refusals.Add(aTrace.error);
  }
  const protocol::ErrorInfo& answer = protocol::ErrorInfoFor(aTrace.error);
  const Event event = aTrace.error == ErrorKind::kNone ? Event::kRequestAnswered
                      : answer.outcome == protocol::Outcome::kNotRun
                        ? Event::kRequestRefused
                        : Event::kRequestGivenUp;
  this->log.Write(
    event, { { "request", aTrace.id },
             { "route", aTrace.route },
             { "service", aTrace.service },
             { "key", aTrace.key ? std::int64_t{ *aTrace.key } : kNoKey },
             { "reason", answer.name },
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

// --- life

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

void Gateway::Impl::OnReloadFailed(const std::string& aFault)
{
  this->log.Write(Event::kSettingsInvalid, { { "fault", aFault } });
}

bool Gateway::Impl::Stop()
{
  const TimePoint start = Now();
  const TimePoint latest = start + this->settings.grace - kEndMargin;
  this->log.Write(Event::kStopping);
  this->serving.Hand([this] {
    this->isLeaving = true;
    this->keyedServices->Leave();
    this->SendDigest(
      { this->connectedPeers.begin(), this->connectedPeers.end() },
      this->MakeDigest());
  });
  std::this_thread::sleep_until(start + kUntilDrain);
  this->callerServer->Drain();
  std::this_thread::sleep_until(start + kUntilRefusal);
  this->serving.Hand([this] { this->dispatcher->StopAccepting(); });
  std::this_thread::sleep_until(start + kUntilClose);
  this->callerServer->StopAccepting();
  const auto waitUntil = [this](TimePoint aLatest) {
    while (this->callerServer->Connections() > 0 && Now() < aLatest) {
      std::this_thread::sleep_for(kStopCheck);
    }
  };
  waitUntil(latest);
  if (this->callerServer->Connections() > 0) {
    this->serving.Hand([this] { this->dispatcher->EndAllRequests(); });
    waitUntil(latest + kLastAnswers);
  }
  const bool clean = this->callerServer->Busy() == 0;
  this->log.Write(
    Event::kStopped,
    { { "left", static_cast<std::int64_t>(this->callerServer->Busy()) } });
  return clean;
}

} // namespace kumquat::node
