// The parts of one host, wired.

#include "coordination/router.h"

#include "state/configurationhead.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace kumquat::coordination {

using protocol::ErrorKind;
using state::HostRecord;
using state::HostRef;
using state::ServiceConfiguration;
using state::UpstreamRef;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kPlanEvery{ 100 };
// Hosts that start together find each other before upstreams are dealt out.
constexpr milliseconds kSettleTime{ 1500 };
constexpr milliseconds kDigestEvery{ 20 };
constexpr milliseconds kAskedAfterMove{ 500 };
// A revocation may have to wait out a whole term.
constexpr milliseconds kRevokeTimeout{ 4000 };

UpstreamRef FromWire(const protocol::UpstreamRef& aRef)
{
  return { { aRef.serviceName }, { aRef.upstream } };
}

protocol::UpstreamRef ToWire(const UpstreamRef& aRef)
{
  protocol::UpstreamRef ref;
  ref.__set_serviceName(aRef.service.value);
  ref.__set_upstream(aRef.upstream.value);
  return ref;
}

} // namespace

Router::Router(Identity aIdentity, Hooks aHooks)
  : identity(std::move(aIdentity))
  , hooks(std::move(aHooks))
  , started(this->hooks.now())
  , calls(this->hooks.now, this->hooks.send)
  , map(
      { .now = this->hooks.now,
        .table = this->hooks.table,
        .broadcast =
          [this](const protocol::Frame& aFrame) { this->Broadcast(aFrame); } })
  , keeper(this->KeeperHooks())
  , membership(MembershipBuilder()
                 .Self(this->identity.self)
                 .PeerAddress(this->identity.peerAddress)
                 .DataCentre(this->identity.dataCentre)
                 .Hooks({ .now = this->hooks.now,
                          .random = this->hooks.random,
                          .table = this->hooks.table,
                          .send =
                            [this](const state::HostId& aHost,
                                   const protocol::Frame& aFrame) {
                              return this->hooks.send(aHost, aFrame);
                            } })
                 .Build())
  , duty({ .now = this->hooks.now,
           .self = this->identity.self,
           .holdsLease = [this] { return this->HoldsLease(); },
           .isDeposed =
             [this](const HostRef& aRef) {
               return this->membership->IsDeposed(aRef);
             },
           .send = this->hooks.sendUpstream,
           .cancel = this->hooks.cancelUpstream,
           .control = this->hooks.control,
           .configuration = [this]() -> const state::Configuration& {
             return this->keeper.InForce();
           } },
         this->map, this->calls)
  , entry(
      { .now = this->hooks.now,
        .random =
          [this](std::uint64_t aBelow) {
            return this->hooks.random() % aBelow;
          },
        .self = this->identity.self,
        .dataCentre = this->identity.dataCentre,
        .readBody =
          [this](const state::HostId& aHost, std::uint64_t aCorrelation) {
            return this->streams.Open(aHost, aCorrelation);
          },
        .isLive = [this](const HostRef& aRef) { return this->IsLive(aRef); },
        .retried = this->hooks.countRetry,
        .refreshMap = [this] { this->map.Refresh(); } },
      this->map.Map(), this->rooms, this->duty.Slots(), this->calls)
  , once({ .now = this->hooks.now,
           .unixTime = this->hooks.unixTime,
           .random =
             [this](std::uint64_t aBelow) {
               return this->hooks.random() % aBelow;
             },
           .self = this->identity.self,
           .dataCentre = this->identity.dataCentre,
           .holdsLease = [this] { return this->HoldsLease(); },
           .isDeposed =
             [this](const HostRef& aRef) {
               return this->membership->IsDeposed(aRef);
             },
           .liveHosts = [this] { return this->membership->LiveHosts(); },
           .seenHosts = [this] { return this->SeenHosts(); } },
         this->map, this->calls, this->entry)
  , planner({ .self = this->identity.self,
              .random =
                [this](std::uint64_t aBelow) {
                  return this->hooks.random() % aBelow;
                },
              .write =
                [this](std::vector<state::ConditionalWrite> aWrites,
                       state::TableHooks::WriteDone aDone) {
                  this->map.Write(std::move(aWrites), std::move(aDone));
                },
              .revoke =
                [this](const state::SliceRecord& aSlice,
                       const std::function<void(bool)>& aDone) {
                  this->AskRevoke(aSlice, aDone);
                } })
  , streams(this->hooks.send)
{
  this->map.HostRows().Listen([this](const std::vector<state::Row>& aRows) {
    this->membership->OnRows(aRows);
    this->OnHosts();
  });
  this->map.ConfigurationHead().Listen([this](const state::Row& aRow) {
    if (const auto head = state::HeadFromRow(aRow)) {
      this->keeper.OnHead(*head);
    }
  });
  this->keeper.Changed().Listen(
    [this](const state::Configuration&) { this->OnConfiguration(); });
  this->map.PlaceChanged().Listen([this](const state::PlaceRecord&) {
    this->duty.OnPlaceChanged();
    this->keeper.OnPlacesChanged();
  });
  this->membership->LeaseGained().Listen(
    [this] { this->duty.OnLeaseGained(); });
  this->membership->RowWritten().Listen([this](const state::Row& aRow) {
    this->map.Push({ aRow });
    this->OnHosts();
  });
  this->membership->HostChanged().Listen(
    [this](const HostRecord&) { this->OnHosts(); });
  // A frozen host keeps its connections: what was sent there is given up on as
  // soon as the host is deposed, not when its connections break.
  this->membership->HostDeposed().Listen([this](const HostRef& aRef) {
    if (aRef == this->identity.self && !this->stopping) {
      this->hooks.deposed();
      return;
    }
    const HostRecord* current = this->map.Map().FindHost(aRef.host);
    if (current == nullptr || current->ref == aRef) {
      this->calls.OnPeerLost(aRef.host);
    }
  });
  this->duty.Slots().RoomChanged().Listen([this](const SlotCount& aCount) {
    this->rooms.OnCount(aCount);
    this->changedRooms.insert(aCount.upstream);
  });
}

void Router::Start()
{
  this->membership->Start();
}

void Router::Stop()
{
  this->stopping = true;
  this->membership->Stop();
  protocol::Frame frame;
  protocol::Leaving leaving;
  leaving.sender.__set_host(this->identity.self.host.value);
  leaving.sender.__set_incarnation(this->identity.self.incarnation);
  frame.__set_leaving(leaving);
  this->Broadcast(frame);
}

bool Router::IsIdle() const
{
  // Where every host stops at once there is nobody to hand over to.
  const bool nobodyLeft = this->membership->LiveHosts().empty();
  // The new owners of the keys ask this host what it ran.
  const bool keysAsked = this->hooks.now() - this->lastOwner >= kAskedAfterMove;
  const bool handedOver =
    nobodyLeft || (this->duty.Slots().Held().empty() && keysAsked);
  return handedOver && this->entry.InFlight() == 0 &&
         this->streams.Active() == 0 && this->duty.Slots().RunningInAll() == 0;
}

void Router::Finish()
{
  this->membership->Finish();
}

bool Router::IsReady() const
{
  const auto& services = this->Configuration().services;
  return !this->stopping && this->HoldsLease() && !services.empty() &&
         this->map.IsComplete() &&
         std::ranges::all_of(services,
                             [this](const ServiceConfiguration& aOne) {
                               return this->IsPlanned(aOne);
                             });
}

// A new deployment's hosts are up before the first plan is written; callers
// sent to them would be refused. A service without instances keeps nobody back.
bool Router::IsPlanned(const ServiceConfiguration& aService) const
{
  const auto listed = this->endpoints.find(aService.name);
  if (listed == this->endpoints.end() || listed->second.empty()) {
    return true;
  }
  const bool hasSlices =
    !aService.keyed || this->map.Map().FindSlice(aService.name, 0) != nullptr;
  return hasSlices && !this->map.Map().Upstreams(aService.name).empty();
}

bool Router::HoldsLease() const
{
  return this->membership->MayStart(this->hooks.now());
}

void Router::OnCallerRequest(CallerRequest aRequest, Answer aAnswer)
{
  const ServiceConfiguration* service =
    this->Configuration().Find(aRequest.service);
  if (service == nullptr) {
    const bool known = !this->Configuration().services.empty();
    aAnswer(
      MakeError(known ? ErrorKind::kUnknownService : ErrorKind::kNoUpstream));
    return;
  }
  if (service->keyed && aRequest.key.empty()) {
    aAnswer(MakeError(ErrorKind::kMissingKey));
    return;
  }
  if (aRequest.body.size() > service->maxBodyBytes) {
    aAnswer(MakeError(ErrorKind::kBodyTooLarge));
    return;
  }
  // Callers ask for less time than the service's deadline, never for more.
  aRequest.deadline =
    std::min(aRequest.deadline, this->hooks.now() + service->deadline);
  if (!service->idempotent && !aRequest.idempotencyKey.empty()) {
    this->once.Run(*service, std::move(aRequest), std::move(aAnswer));
    return;
  }
  this->entry.Run(*service, std::move(aRequest), {}, std::move(aAnswer));
}

void Router::OnFrame(const HostRef& aFrom, protocol::Frame&& aFrame)
{
  // Hosts are accepted by their row in the table only.
  if (!this->IsKnown(aFrom)) {
    this->RefuseStranger(aFrom, aFrame);
    return;
  }
  if (this->membership->OnFrame(aFrom, aFrame)) {
    return;
  }
  const auto correlation = static_cast<std::uint64_t>(aFrame.correlation);
  if (aFrame.__isset.bodyPart) {
    this->streams.OnPart(aFrom.host, correlation, std::move(aFrame.bodyPart));
    return;
  }
  if (aFrame.__isset.bodyCredit) {
    this->streams.OnCredit(aFrom.host, correlation, aFrame.bodyCredit.bytes);
    return;
  }
  if (aFrame.reply) {
    this->calls.OnReply(std::move(aFrame));
    return;
  }
  this->OnRequestFrame(aFrom, std::move(aFrame));
}

void Router::OnRequestFrame(const HostRef& aFrom, protocol::Frame&& aFrame)
{
  const auto correlation = static_cast<std::uint64_t>(aFrame.correlation);
  protocol::Frame reply;
  if (aFrame.__isset.forward) {
    this->OnForward(aFrom, correlation, std::move(aFrame.forward));
  } else if (aFrame.__isset.digests) {
    for (const protocol::SlotDigest& digest : aFrame.digests.digests) {
      this->rooms.OnCount(coordination::FromWire(digest));
    }
  } else if (aFrame.__isset.mapChange) {
    this->map.OnMapChange(aFrame.mapChange);
  } else if (aFrame.__isset.witnessNote) {
    reply.__set_witnessReply(this->once.Answer(aFrame.witnessNote));
    this->Reply(aFrom.host, correlation, std::move(reply));
  } else if (aFrame.__isset.collectRequest) {
    reply.__set_collectReply(this->once.Answer(aFrame.collectRequest));
    this->Reply(aFrom.host, correlation, std::move(reply));
  } else if (aFrame.__isset.revokeSlice) {
    this->OnRevoke(aFrom, aFrame);
  } else if (aFrame.__isset.handOver) {
    protocol::HandOverReply taken;
    taken.__set_accepted(this->duty.OnHandOver(aFrom, aFrame.handOver));
    reply.__set_handOverReply(taken);
    this->Reply(aFrom.host, correlation, std::move(reply));
  } else if (aFrame.__isset.configurationOffer) {
    this->keeper.OnOffer(aFrom.host, aFrame.configurationOffer);
  } else if (aFrame.__isset.configurationQuery) {
    this->keeper.OnQuery(aFrom.host, aFrame.configurationQuery);
  }
}

bool Router::IsKnown(const HostRef& aPeer) const
{
  const HostRecord* host = this->map.Map().FindHost(aPeer.host);
  return host != nullptr && host->ref == aPeer;
}

// A host that has just registered may be ahead of this one's map: it is read
// again, and the stranger's request is refused as not run until then.
void Router::RefuseStranger(const HostRef& aFrom, const protocol::Frame& aFrame)
{
  this->map.Refresh();
  if (aFrame.__isset.forward) {
    this->ReplyResult(aFrom.host,
                      static_cast<std::uint64_t>(aFrame.correlation), {},
                      MakeErrorOfStranger(ErrorKind::kNotSteward));
  }
}

state::ConfigurationKeeper::Hooks Router::KeeperHooks()
{
  state::ConfigurationKeeper::Hooks keeperHooks;
  keeperHooks.now = this->hooks.now;
  keeperHooks.fetch = this->hooks.fetchObject;
  keeperHooks.event = this->hooks.event;
  keeperHooks.sendOffer = [this](const state::HostId& aHost,
                                 const protocol::ConfigurationOffer& aOffer) {
    protocol::Frame frame;
    frame.__set_configurationOffer(aOffer);
    static_cast<void>(this->hooks.send(aHost, frame));
  };
  keeperHooks.sendQuery = [this](const state::HostId& aHost,
                                 const protocol::ConfigurationQuery& aQuery) {
    protocol::Frame frame;
    frame.__set_configurationQuery(aQuery);
    static_cast<void>(this->hooks.send(aHost, frame));
  };
  keeperHooks.peers = [this] {
    std::vector<state::HostId> hosts;
    for (const HostRecord& host : this->membership->LiveHosts()) {
      if (host.ref.host != this->identity.self.host) {
        hosts.push_back(host.ref.host);
      }
    }
    return hosts;
  };
  keeperHooks.placesVersion = [this] {
    return this->map.Map().PlacesVersion();
  };
  return keeperHooks;
}

void Router::OnForward(const HostRef& aFrom, std::uint64_t aCorrelation,
                       protocol::Forward&& aForward)
{
  const ErrorKind admitted = this->once.Admit(aForward);
  if (admitted != ErrorKind::kNone) {
    this->ReplyResult(aFrom.host, aCorrelation, {},
                      MakeErrorOfStranger(admitted));
    return;
  }
  if (!aForward.upstream.serviceName.empty()) {
    this->SubmitForward(aFrom, aCorrelation, std::move(aForward));
    return;
  }
  // To the owner of its idempotency key.
  const ServiceConfiguration* service =
    this->Configuration().Find({ aForward.serviceName });
  if (service == nullptr) {
    this->ReplyResult(aFrom.host, aCorrelation, {},
                      MakeErrorOfStranger(ErrorKind::kNotSteward));
    return;
  }
  this->once.RunAsOwner(
    *service, aFrom.host, FromForward(std::move(aForward), this->hooks.now()),
    [this, to = aFrom.host, aCorrelation](RequestResult aResult) {
      this->ReplyResult(to, aCorrelation, {}, std::move(aResult));
    });
}

void Router::SubmitForward(const HostRef& aFrom, std::uint64_t aCorrelation,
                           protocol::Forward&& aForward)
{
  const UpstreamRef upstream = FromWire(aForward.upstream);
  if (this->duty.Slots().EpochOf(upstream) != aForward.stewardEpoch) {
    this->ReplyResult(aFrom.host, aCorrelation, upstream,
                      MakeError(ErrorKind::kNotSteward));
    return;
  }
  Work work;
  work.id = this->calls.NextCorrelation();
  work.request = FromForward(std::move(aForward), this->hooks.now());
  work.done = [this, to = aFrom.host, aCorrelation,
               upstream](RequestResult aResult) {
    this->ReplyResult(to, aCorrelation, upstream, std::move(aResult));
  };
  this->duty.Slots().Submit(upstream, std::move(work));
}

void Router::Reply(const state::HostId& aTo, std::uint64_t aCorrelation,
                   protocol::Frame&& aFrame)
{
  aFrame.__set_correlation(static_cast<std::int64_t>(aCorrelation));
  aFrame.__set_reply(true);
  // Lost with the connection: the asker learns of that by itself.
  static_cast<void>(this->hooks.send(aTo, aFrame));
}

void Router::ReplyResult(const state::HostId& aTo, std::uint64_t aCorrelation,
                         const UpstreamRef& aUpstream, RequestResult aResult)
{
  transport::BodyReader rest = aResult.response.rest;
  protocol::ForwardReply reply = MakeReply(std::move(aResult));
  if (this->duty.Slots().Holds(aUpstream)) {
    reply.digests.push_back(this->DigestOf(aUpstream));
  }
  protocol::Frame frame;
  frame.forwardReply = std::move(reply);
  frame.__isset.forwardReply = true;
  this->Reply(aTo, aCorrelation, std::move(frame));
  if (rest) {
    this->streams.Pump(aTo, aCorrelation, std::move(rest));
  }
}

void Router::OnRevoke(const HostRef& aFrom, const protocol::Frame& aFrame)
{
  const auto correlation = static_cast<std::uint64_t>(aFrame.correlation);
  this->duty.Revoke(aFrame.revokeSlice,
                    [this, to = aFrom.host, correlation](bool aRevoked) {
                      protocol::RevokeSliceReply revoked;
                      revoked.__set_revoked(aRevoked);
                      protocol::Frame reply;
                      reply.__set_revokeSliceReply(revoked);
                      this->Reply(to, correlation, std::move(reply));
                    });
}

void Router::AskRevoke(const state::SliceRecord& aSlice,
                       const std::function<void(bool)>& aDone)
{
  const UpstreamRef owner{ aSlice.service, aSlice.upstream };
  const state::UpstreamRecord* record = this->map.Map().FindUpstream(owner);
  if (record == nullptr) {
    aDone(false);
    return;
  }
  protocol::RevokeSlice wish;
  wish.__set_upstream(ToWire(owner));
  wish.__set_stewardEpoch(record->epoch);
  wish.__set_part(aSlice.part);
  wish.__set_sliceEpoch(aSlice.epoch);
  if (record->steward == this->identity.self) {
    this->duty.Revoke(wish, aDone);
    return;
  }
  protocol::Frame frame;
  frame.__set_revokeSlice(wish);
  this->calls.Ask(record->steward.host, std::move(frame), kRevokeTimeout,
                  [aDone](const Result<protocol::Frame>& aReply) {
                    aDone(aReply && aReply->revokeSliceReply.revoked);
                  });
}

void Router::OnHosts()
{
  for (const HostRecord& host : this->membership->LiveHosts()) {
    this->seen[host.ref] = this->hooks.now();
    if (host.ref.host != this->identity.self.host) {
      this->hooks.setAddress(host.ref.host, host.peerAddress);
    }
  }
}

void Router::OnPeer(const HostRef& aPeer, bool aUp)
{
  if (aUp) {
    this->peers.insert(aPeer);
    this->keeper.OnPeerUp(aPeer.host);
  } else {
    this->peers.erase(aPeer);
    this->keeper.OnPeerDown(aPeer.host);
    this->calls.OnPeerLost(aPeer.host);
    this->streams.OnPeerLost(aPeer.host);
  }
  this->membership->OnPeer(aPeer, aUp);
}

void Router::OnUpstreamAnswer(RequestId aId,
                              Result<transport::HttpResponse> aAnswer)
{
  this->duty.Slots().OnAnswer(aId, std::move(aAnswer));
}

void Router::OnBodyEnd(RequestId aId)
{
  this->duty.Slots().OnBodyEnd(aId);
}

void Router::OnEndpoints(state::EndpointList aList)
{
  this->endpoints = std::move(aList);
  this->endpointsKnown = true;
  std::vector<ListedHost> hosts;
  for (const state::Endpoint& endpoint : this->endpoints[{ "kumquatd" }]) {
    hosts.push_back({ { endpoint.id }, endpoint.terminating });
  }
  this->membership->OnHostList(hosts);
  this->duty.OnEndpoints(this->endpoints);
}

void Router::OnConfiguration()
{
  this->map.SetServices(this->Configuration().services);
  this->duty.OnConfiguration();
}

void Router::OnTimer()
{
  const TimePoint now = this->hooks.now();
  this->map.OnTimer();
  this->keeper.OnTimer();
  this->membership->OnTimer();
  this->calls.OnTimer();
  this->duty.OnTimer();
  this->entry.OnTimer();
  this->once.OnTimer();
  if (this->OwnsKeys()) {
    this->lastOwner = now;
  }
  if (this->digestsDue <= now) {
    this->digestsDue = now + kDigestEvery;
    this->SendDigests();
  }
  if (this->planDue <= now) {
    this->planDue = now + kPlanEvery;
    this->Plan();
  }
}

void Router::Plan()
{
  const bool settled = this->hooks.now() - this->started >= kSettleTime;
  if (!settled || !this->HoldsLease() || !this->endpointsKnown ||
      !this->map.IsComplete()) {
    return;
  }
  this->planner.Plan({ .map = this->map.Map(),
                       .configuration = this->Configuration(),
                       .endpoints = this->endpoints,
                       .liveHosts = this->membership->ServingHosts(),
                       .isUnusable = [this](const UpstreamRef& aRef) {
                         return this->IsUnusable(aRef);
                       } });
}

bool Router::IsLive(const HostRef& aRef) const
{
  if (aRef == this->identity.self) {
    return true;
  }
  const HostRecord* host = this->membership->FindHost(aRef.host);
  return host != nullptr && host->ref == aRef &&
         host->state != state::HostState::kDeposed;
}

bool Router::IsUnusable(const UpstreamRef& aRef) const
{
  return this->duty.IsUnusable(aRef) || this->rooms.IsLost(aRef);
}

// Entries elsewhere learn of room that they have not heard of by replies.
void Router::SendDigests()
{
  if (this->changedRooms.empty()) {
    return;
  }
  protocol::Digests digests;
  for (const UpstreamRef& ref : this->changedRooms) {
    digests.digests.push_back(this->DigestOf(ref));
  }
  this->changedRooms.clear();
  protocol::Frame frame;
  frame.digests = std::move(digests);
  frame.__isset.digests = true;
  this->Broadcast(frame);
}

protocol::SlotDigest Router::DigestOf(const UpstreamRef& aRef) const
{
  SlotCount count = this->duty.Slots().CountOf(aRef);
  count.lost = this->duty.IsUnusable(aRef);
  return coordination::ToWire(count);
}

// Runs that ended longer ago than the horizon know of no key that matters.
std::vector<HostRef> Router::SeenHosts()
{
  const TimePoint now = this->hooks.now();
  for (const HostRecord& host : this->membership->LiveHosts()) {
    this->seen[host.ref] = now;
  }
  std::erase_if(this->seen, [now](const auto& aEntry) {
    return now - aEntry.second > kKeyHorizon;
  });
  std::vector<HostRef> hosts;
  std::ranges::copy(this->seen | std::views::keys, std::back_inserter(hosts));
  return hosts;
}

bool Router::OwnsKeys() const
{
  return std::ranges::any_of(
    this->Configuration().services, [this](const ServiceConfiguration& aOne) {
      const auto slices = this->map.Map().Slices(OwnersOf(aOne.name));
      return std::ranges::any_of(slices,
                                 [this](const state::SliceRecord* aSlice) {
                                   return aSlice->host == this->identity.self;
                                 });
    });
}

void Router::Broadcast(const protocol::Frame& aFrame)
{
  for (const HostRef& peer : this->peers) {
    static_cast<void>(this->hooks.send(peer.host, aFrame));
  }
}

} // namespace kumquat::coordination
