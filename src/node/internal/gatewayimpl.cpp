// The part of a gateway that connects its components: listeners, hooks, and the
// planned stop.

#include "node/internal/gatewayimpl.h"

#include "framework/randomseed.h"
#include "node/callerhttp.h"
#include "node/internal/clocks.h"
#include "node/internal/listenerhelpers.h"
#include "platform/messages.h"
#include "platform/names.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;
using transport::HttpRequest;

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
// Bodies of requests and responses may hold one of so many parts of the host's
// memory. The rest is for tables, connections and their buffers.
constexpr std::size_t kHeldBytesPart = 4;
// Idle connections kept to each upstream. An upstream accepts some hundred
// connections in total, from a dozen hosts.
constexpr std::size_t kMaxIdleConnections = 8;
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
constexpr auto kProxiedRequests = "kumquat_proxied_requests_total";
constexpr auto kProxiedRequestsHelp =
  "Requests passed to the proxies of their keys' owners, and taken for peers.";

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
  , restsAsked(this->metrics.GetOrCreateCounter(
      "kumquat_upstream_rests_total",
      "Times that an upstream asked this host for rest."))
  , proxiedSent(this->metrics.GetOrCreateCounter(
      kProxiedRequests, kProxiedRequestsHelp, { { "direction", "sent" } }))
  , proxiedTaken(this->metrics.GetOrCreateCounter(
      kProxiedRequests, kProxiedRequestsHelp, { { "direction", "taken" } }))
  , log({ .level = aSettings.logLevel,
          .json = true,
          .host = aSettings.host.value,
          .toStandardOutput = true })
  , random(std::random_device{}())
  , peerTraffic(this->metrics, BootTime,
                [this](Event aEvent, EventFields aFields) {
                  this->log.Write(aEvent, aFields);
                })
  , heldBytes(
      transport::ByteAccount::Create(aSettings.memoryBytes / kHeldBytesPart))
  , serving(kRingSize)
  , storeThread(kRingSize)
  , paths(Now)
  , relayChoice(Now,
                [this](std::size_t aBelow) {
                  return std::uniform_int_distribution<std::size_t>(
                    0, aBelow - 1)(this->random);
                })
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
  , forwardTimer(this->serving.Context())
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
  options.dial = this->DialHooks();
  this->leaseClient =
    std::make_unique<transport::HttpClient>(this->serving.Context(), options);
  options.echoHeader = platform::RequestIdHeader();
  options.errorsNeedEcho = false;
  options.onDoubt = [this](transport::AnswerDoubt aDoubt) {
    this->CountByReason("kumquat_upstream_answer_doubts_total",
                        "What may let an answer be taken for that to another "
                        "sending.",
                        transport::AnswerDoubtName(aDoubt));
  };
  options.wholeBodyBytes = kMaxBufferedResponse;
  options.bytes = this->heldBytes;
  this->upstreamClient =
    std::make_unique<transport::HttpClient>(this->serving.Context(), options);
  this->keyedServices = std::make_unique<KeyedServices>(
    this->self, this->settings.maxLease, this->upstreams, this->peers,
    this->KeyedServicesHooks());
  this->dispatcher = std::make_unique<routing::Dispatcher>(
    routing::DispatcherOptions{
      this->settings.host, this->settings.dataCentre,
      this->settings.resendShare, this->settings.resendExtra, RandomSeed(),
      this->settings.pacesStartingUpstreams,
      this->settings.isFirstStart ? std::chrono::milliseconds(0)
                                  : routing::kPaceHold },
    this->upstreams, this->DispatcherHooks());
  this->replication = std::make_unique<TableReplication>(
    this->topology, this->peers, this->connectedPeers,
    this->settings.isFirstStart, this->TableReplicationHooks());
  this->registration = std::make_unique<Registration>(
    HostRow{ this->settings.host, this->settings.peerAddress,
             this->settings.dataCentre, this->settings.processors,
             this->settings.relayAddress },
    this->settings.isFirstStart, this->RegistrationHooks());
  this->quotas = std::make_unique<TeamQuotas>(
    this->self, this->settings.quotaWindow,
    TeamQuotas::Hooks{
      BootTime,
      [this](const std::string& aTo, const protocol::Frame& aFrame) {
        static_cast<void>(this->peerNetwork->Send(aTo, aFrame));
      },
      [this] { return this->FindQuotaLender(); },
      [this](const state::HostId& aLender, bool aLends) {
        this->log.Write(Event::kQuotaLender,
                        { { "lender", aLender.value },
                          { "lends", static_cast<std::int64_t>(aLends) } });
      } });
  this->requestProxies =
    std::make_unique<RequestProxies>(this->self, this->RequestProxiesHooks());
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
      },
      [this](const std::string& aTable, std::size_t aCount) {
        this->ReportSkippedRows(aTable, aCount);
      } });
  for (const std::error_code error :
       { this->ListenForPeers(), this->ListenForRelays(),
         this->ListenForReadinessChecks(), this->ListenForMetrics(),
         this->ListenForCallers() }) {
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
  options.bytes = this->heldBytes;
  options.checkHead = [this](const HttpRequest& aHead) {
    return this->CheckHead(aHead);
  };
  options.refuse = [this](transport::ServerRefusal aRefusal,
                          const HttpRequest& aHead) {
    return this->RefuseUnread(ErrorKindOf(aRefusal), aHead);
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
  options.onLinkLost = [this](const protocol::HostRef& aPeer) {
    this->requestProxies->OnPeerLost({ aPeer.host });
  };
  options.onTraffic = [this](const protocol::Frame& aFrame,
                             transport::TrafficDirection aDirection,
                             std::size_t aFrames, std::size_t aBytes) {
    this->peerTraffic.OnFrame(aFrame, aDirection, aFrames, aBytes);
  };
  options.onUp = [this](const protocol::HostRef& aPeer, bool aUp) {
    if (aUp) {
      this->connectedPeers.insert(aPeer.host);
      this->replication->OnPeerUp({ aPeer.host });
      this->SendAllNotices(aPeer.host);
    } else {
      this->connectedPeers.erase(aPeer.host);
      this->requestProxies->OnPeerLost({ aPeer.host });
    }
    this->log.Write(aUp ? Event::kPeerUp : Event::kPeerDown,
                    { { "peer", aPeer.host } });
  };
  return TakeListener(
    transport::PeerNetwork::Listen(this->serving.Context(), std::move(options)),
    this->peerNetwork);
}

KeyedServices::Hooks Gateway::Impl::KeyedServicesHooks()
{
  KeyedServices::Hooks hooks;
  hooks.now = BootTime;
  hooks.store.read = [this](const std::string& aTable, const std::string& aPart,
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
  hooks.store.write = [this](const state::RowsWrite& aWrite,
                             state::RowStore::WriteDone aDone) {
    this->WriteRows(aWrite, std::move(aDone));
  };
  hooks.sendCommand = [this](const ownership::LeaseCommand& aCommand,
                             ownership::Assigner::CommandDone aDone) {
    this->SendLeaseCommand(aCommand, std::move(aDone));
  };
  hooks.limitOf = [this](const state::UpstreamId& aId) {
    return this->dispatcher->Signals().Limits().RateOf(aId);
  };
  hooks.restingPart = [this](const state::UpstreamId& aId) {
    const auto asked =
      static_cast<double>(this->dispatcher->Signals().Rests().HostsAsked(aId));
    const auto hosts = static_cast<double>(this->topology.AllHosts().size());
    return asked > 0 ? std::min(1.0, asked / std::max(1.0, hosts)) : 0;
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
  hooks.reportsOwnerTimes = [this] {
    return this->topology.Cells().IsDivided();
  };
  hooks.countMove = [this](ownership::MoveReason aReason, bool aIsSecond) {
    this->metrics
      .GetOrCreateCounter(
        "kumquat_key_moves_total",
        "Moves of keys that were planned, by reason.",
        { { "reason", std::string(ownership::MoveReasonName(aReason)) } })
      .Add();
    if (aIsSecond) {
      this->metrics
        .GetOrCreateCounter("kumquat_key_second_moves_total",
                            "Moves of keys that had moved within 10 s.")
        .Add();
    }
  };
  hooks.log = [this](std::string_view aService, std::string_view aWhat,
                     std::string_view aDetail) {
    this->log.Write(
      Event::kKeys,
      { { "service", aService }, { "what", aWhat }, { "detail", aDetail } });
  };
  return hooks;
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
    if (this->relayServer) {
      this->relayServer->StopAccepting();
    }
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
  const auto isBusy = [this] {
    return this->callerServer->Connections() > 0 ||
           this->requestProxies->TakenCount() > 0 ||
           (this->relayServer && this->relayServer->Busy() > 0);
  };
  const auto waitUntil = [&isBusy](TimePoint aLatest) {
    while (isBusy() && Now() < aLatest) {
      std::this_thread::sleep_for(kStopCheckInterval);
    }
  };
  waitUntil(latest);
  if (this->callerServer->Connections() > 0 ||
      this->requestProxies->TakenCount() > 0) {
    this->serving.Hand([this] {
      this->dispatcher->EndAllRequests();
      // The dispatcher takes none of them.
      this->requestProxies->TakeBackAll();
    });
    waitUntil(latest + kLastResponsesTime);
  }
  if (this->proxiedTaken.Value() > 0) {
    // The last reply was just handed to the peer's connection.
    std::this_thread::sleep_for(kStopCheckInterval);
  }
  const bool isClean = this->callerServer->Busy() == 0;
  this->log.Write(
    Event::kStopped,
    { { "left", static_cast<std::int64_t>(this->callerServer->Busy()) } });
  return isClean;
}

} // namespace kumquat::node
