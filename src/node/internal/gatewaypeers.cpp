// The part of a gateway that deals with other hosts: the hosts' table,
// connections, received frames, and digests.

#include "node/internal/gatewayimpl.h"

#include "admission/lenderchoice.h"
#include "node/internal/clocks.h"
#include "platform/names.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTickInterval{ 100 };
// Interval at which connections to peers are opened and closed.
constexpr milliseconds kConnectionUpdateInterval{ 500 };
// A digest names the maps of all key parts at least this often.
constexpr milliseconds kAllKeyMapsInterval{ 1000 };
// Rows of the hosts' table that a host reads at its start.
constexpr std::size_t kFirstHostRows = 64;

constexpr double kMicrosPerMs = 1000;

routing::UpstreamReport ReportFromWire(const protocol::UpstreamUse& aUse)
{
  return { { aUse.upstream },
           aUse.running,
           aUse.answers,
           aUse.serviceMicros / kMicrosPerMs,
           aUse.waiting };
}

protocol::UpstreamUse ReportToWire(const routing::UpstreamReport& aReport)
{
  protocol::UpstreamUse use;
  use.__set_upstream(aReport.id.value);
  use.__set_running(aReport.running);
  use.__set_answers(aReport.answers);
  use.__set_serviceMicros(
    static_cast<std::int32_t>(aReport.serviceMs * kMicrosPerMs));
  use.__set_waiting(aReport.waiting);
  return use;
}

constexpr double kMillion = 1e6;

routing::WorkReport WorkFromWire(const protocol::RouteWork& aWork)
{
  return { { aWork.serviceName },
           aWork.route,
           aWork.workMillionths / kMillion,
           aWork.answers };
}

protocol::RouteWork WorkToWire(const routing::WorkReport& aReport)
{
  // More is no mean of responses that reached anyone.
  constexpr double kMost = 1000;
  protocol::RouteWork work;
  work.__set_serviceName(aReport.service.value);
  work.__set_route(aReport.route);
  work.__set_workMillionths(
    static_cast<std::int32_t>(std::min(kMost, aReport.work) * kMillion));
  work.__set_answers(aReport.answers);
  return work;
}

} // namespace

// --- the hosts' table

Registration::Hooks Gateway::Impl::RegistrationHooks()
{
  Registration::Hooks hooks;
  hooks.now = BootTime;
  hooks.readFirstRows = [this](state::RowStore::ReadDone aDone) {
    this->storeThread.Hand([this, done = std::move(aDone)] {
      this->storeClient->Rows().ReadFirst(
        kHostTable, "", kFirstHostRows,
        [this, done](Result<state::RowsRead> aRead) {
          this->serving.Hand([done, read = std::move(aRead)]() mutable {
            done(std::move(read));
          });
        });
    });
  };
  hooks.write = [this](const state::StoredRow& aRow,
                       state::RowStore::WriteDone aDone) {
    state::RowsWrite write;
    write.puts.push_back(aRow);
    this->WriteRows(write, std::move(aDone));
  };
  hooks.isTableFollowedByOthers = [this] {
    return this->topology.Cells().IsDivided();
  };
  hooks.firstRowsRead = [this](const state::RowsRead& aRead) {
    this->OnFirstHostRows(aRead);
  };
  return hooks;
}

void Gateway::Impl::WriteRows(const state::RowsWrite& aWrite,
                              state::RowStore::WriteDone aDone)
{
  this->storeThread.Hand([this, aWrite, done = std::move(aDone)] {
    this->storeClient->Rows().Write(
      aWrite, [this, done, aWrite](state::WriteOutcome aOutcome,
                                   state::Version aVersion) {
        if (aOutcome == state::WriteOutcome::kRefused) {
          this->ReportRefusedWrite(aWrite);
        }
        this->serving.Hand(
          [done, aOutcome, aVersion] { done(aOutcome, aVersion); });
      });
  });
}

void Gateway::Impl::ReportRefusedWrite(const state::RowsWrite& aWrite)
{
  for (const state::StoredRow& row : aWrite.puts) {
    this->log.Write(
      Event::kWriteRefused,
      { { "table", row.table },
        { "partition", aWrite.part },
        { "row", row.key },
        { "bytes", static_cast<std::int64_t>(row.value.size()) } });
    this->metrics
      .GetOrCreateCounter("kumquat_store_refused_rows_total",
                          "Rows that the store refused for good.",
                          { { "table", row.table } })
      .Add();
  }
}

std::vector<state::HostId> Gateway::Impl::LiveCellMembers() const
{
  std::vector<state::HostId> live = this->peers.LiveCellMembers();
  live.push_back(this->self.host);
  return live;
}

void Gateway::Impl::UpdateFollowedTables(
  const std::vector<state::HostId>& aLiveMembers)
{
  const bool isKnown = this->registration->HasReadTable() ||
                       this->replication->Find(kHostTable).version > 0;
  this->replication->SetHostListState(isKnown ? HostListState::kKnown
                                      : this->registration->HasLastReadFailed()
                                        ? HostListState::kUnavailable
                                        : HostListState::kUnknown);
  this->replication->OnTimer(aLiveMembers);
}

// If only the first rows were read, they contain the largest hosts and so the
// hubs; the full table comes from these.
void Gateway::Impl::OnFirstHostRows(const state::RowsRead& aRead)
{
  if (!aRead.isPartial) {
    this->replication->OnUpdate(
      { kHostTable, true, aRead.rows, aRead.version, {} });
  } else if (this->replication->Find(kHostTable).version == 0) {
    this->SetHosts(aRead.rows);
  }
  this->UpdateFollowedTables(this->LiveCellMembers());
}

void Gateway::Impl::SetHosts(const std::vector<state::StoredRow>& aRows)
{
  std::vector<HostAddress> hosts = this->hostRows.Parse(
    aRows, [this](const state::StoredRow& aRow, const std::error_code& aFault) {
      this->ReportInvalidRow(kHostTable, aRow, aFault);
    });
  this->topology.SetHosts(std::move(hosts));
  this->upstreams.SetCellRange(this->topology.Cells().OwnRange());
  const bool areAllKnown = this->replication->Find(kHostTable).version > 0;
  this->quotas->SetHosts(areAllKnown ? this->topology.AllHosts()
                                     : std::vector<state::HostId>{});
  this->UpdateConnections();
}

// All hosts are connected to the hubs, and to all others while there are none.
// Hosts that were not heard yet are candidates too: right after a start, hosts
// that have heard different ones would otherwise choose differently.
std::optional<state::HostId> Gateway::Impl::FindQuotaLender() const
{
  std::vector<admission::LenderCandidate> candidates;
  for (const state::HostId& host : this->topology.AllHosts()) {
    const bool mayLend =
      !this->topology.Cells().IsDivided() || this->topology.IsHub(host);
    if (mayLend && this->IsReachable(host) &&
        !this->quotas->Borrower().IsSilent(host)) {
      candidates.push_back(
        { host, this->LendsQuotas(host), this->topology.DutyPreference(host) });
    }
  }
  return admission::ChooseLender(candidates);
}

// False for hosts that leave, or that were heard and are not any more.
bool Gateway::Impl::IsReachable(const state::HostId& aHost) const
{
  if (aHost == this->self.host) {
    return !this->isLeaving;
  }
  const auto peer = this->peers.All().find(aHost);
  return peer == this->peers.All().end() ||
         (!peer->second.leaving && this->IsHeard(aHost));
}

bool Gateway::Impl::IsHeard(const state::HostId& aHost) const
{
  constexpr milliseconds kMaxSilence{ 1500 };
  return this->connectedPeers.contains(aHost.value) &&
         BootTime() - this->peers.LastHeardAt(aHost) <= kMaxSilence;
}

bool Gateway::Impl::LendsQuotas(const state::HostId& aHost) const
{
  if (aHost == this->self.host) {
    return this->quotas->Lender().IsLending();
  }
  const auto peer = this->peers.All().find(aHost);
  return peer != this->peers.All().end() && peer->second.lendsQuotas;
}

void Gateway::Impl::UpdateConnections()
{
  std::set<state::HostId> assigners = this->keyedServices->Assigners();
  assigners.merge(this->peers.Assigners());
  if (!this->unknownClaimant.value.empty()) {
    assigners.insert(this->unknownClaimant);
  }
  this->topology.SetAssigners(std::move(assigners));
  const PeerTopology::ConnectionChanges changes =
    this->topology.TakeConnectionChanges();
  for (const auto& [host, address] : changes.toOpen) {
    this->peerNetwork->SetAddress(host.value, address);
  }
  for (const state::HostId& host : changes.toClose) {
    this->peerNetwork->StopDialling(host.value);
  }
}

// --- received frames

void Gateway::Impl::OnFrame(const protocol::HostRef& aFrom,
                            const protocol::Frame& aFrame)
{
  if (aFrame.__isset.hostDigest) {
    this->OnDigest(aFrame.hostDigest);
  } else if (aFrame.__isset.keyMapUpdate) {
    this->keyedServices->OnMapUpdate(aFrame.keyMapUpdate);
  } else if (aFrame.__isset.tableQuery) {
    this->replication->OnQuery(aFrom.host, aFrame.tableQuery);
  } else if (aFrame.__isset.tableCopy) {
    this->log.Write(Event::kTableFromPeer,
                    { { "peer", aFrom.host },
                      { "table", aFrame.tableCopy.table },
                      { "version", aFrame.tableCopy.version } });
    this->replication->OnCopy(aFrame.tableCopy);
  } else if (aFrame.__isset.tableChange) {
    this->replication->OnChange(aFrame.tableChange);
  } else if (aFrame.__isset.quotaAsk) {
    this->quotas->OnAsk({ aFrom.host }, aFrame.quotaAsk);
  } else if (aFrame.__isset.quotaReply) {
    this->quotas->OnReply({ aFrom.host }, aFrame.quotaReply);
  } else if (aFrame.__isset.notices) {
    this->OnNotices(aFrame.notices);
  } else if (aFrame.__isset.proxyRequest) {
    this->requestProxies->OnRequest({ aFrom.host }, aFrame.correlation,
                                    aFrame.proxyRequest);
  } else if (aFrame.__isset.proxyReply) {
    this->requestProxies->OnReply({ aFrom.host }, aFrame.correlation,
                                  aFrame.proxyReply);
  } else if (aFrame.__isset.proxyCancel) {
    this->requestProxies->OnCancel({ aFrom.host }, aFrame.correlation,
                                   aFrame.proxyCancel);
  }
}

void Gateway::Impl::OnDigest(const protocol::HostDigest& aDigest)
{
  this->peers.OnDigest(aDigest);
  this->requestProxies->OnDigestSent(
    { aDigest.sender.host }, aDigest.sender.incarnation, aDigest.sentMicros);
  const state::HostId id{ aDigest.sender.host };
  std::vector<routing::UpstreamReport> reports;
  std::ranges::transform(aDigest.uses, std::back_inserter(reports),
                         ReportFromWire);
  this->upstreams.OnPeerReports(id, reports, BootTime());
  std::vector<routing::WorkReport> works;
  std::ranges::transform(aDigest.routeWorks, std::back_inserter(works),
                         WorkFromWire);
  this->dispatcher->Works().OnPeerReports(works);
  this->keyedServices->OnKeyUses(aDigest.keyUses);
  this->keyedServices->OnOwnerTimes(aDigest.ownerTimes);
  const KnownPeer& peer = this->peers.All().at(id);
  this->keyedServices->OnPeerParts(peer);
  this->replication->OnPeerVersions(peer);
  for (const auto& update : this->keyedServices->TakeFullMapsFor(peer)) {
    protocol::Frame frame;
    frame.__set_keyMapUpdate(update);
    static_cast<void>(this->peerNetwork->Send(id.value, frame));
  }
}

void Gateway::Impl::OnCaughtUp(const std::string& aTable, Duration aBehind)
{
  this->metrics
    .GetOrCreateSummary(
      "kumquat_table_behind_seconds",
      "From a peer's announcement of a change of a table until this host "
      "had it.",
      { { "table", aTable } })
    .Observe(aBehind);
  const auto behindMs =
    std::chrono::duration_cast<milliseconds>(aBehind).count();
  this->log.Write(Event::kTableCaughtUp,
                  { { "table", aTable },
                    { "version", this->replication->Find(aTable).version },
                    { "behind_ms", behindMs } });
}

// --- periodic work and sent frames

void Gateway::Impl::Tick()
{
  const TimePoint now = BootTime();
  this->upstreams.RemoveExpired(now);
  this->UpdateRelays();
  for (const state::HostId& silent : this->peers.TakeNewlySilent()) {
    this->upstreams.ForgetPeer(silent);
    this->requestProxies->OnPeerLost(silent);
    // A connection on which nothing arrives any more does not recover; a new
    // one may work.
    this->peerNetwork->Close(silent.value);
  }
  const std::vector<state::HostId> live = this->LiveCellMembers();
  this->UpdateDispatcherHosts(live);
  this->UpdateProxyMembers(live);
  this->UpdateReach();
  this->registration->OnTimer();
  this->UpdateFollowedTables(live);
  this->quotas->OnTimer();
  if (this->IsConfigurationOutdated() && now >= this->configurationDueAt) {
    this->ApplyOperatorRows();
  }
  this->keyedServices->OnTimer();
  this->SendKeyMaps();
  this->SendDigests();
  if (now - this->connectionsUpdatedAt >= kConnectionUpdateInterval) {
    this->connectionsUpdatedAt = now;
    this->UpdateConnections();
    this->UpdateProxiedServices();
    this->UpdateGauges();
    this->peerTraffic.OnTimer();
    this->dispatcher->Suspects().RemoveOld();
    this->dispatcher->Signals().RemoveOld();
    this->dispatcher->Paces().RemoveOld();
  }
  this->dispatcher->OnTimer();
  this->ScheduleDispatcher();
  this->tick.expires_after(kTickInterval);
  this->tick.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

// Copying the list of all hosts at each tick would cost a small host of a large
// deployment more than its requests.
void Gateway::Impl::UpdateDispatcherHosts(
  const std::vector<state::HostId>& aLiveMembers)
{
  DispatcherHosts hosts{ aLiveMembers, this->topology.HostsRevision(),
                         this->replication->Find(kHostTable).version > 0 };
  if (hosts == this->dispatcherHosts) {
    return;
  }
  this->dispatcherHosts = std::move(hosts);
  const std::set<state::HostId>& members = this->topology.Cells().Members();
  this->dispatcher->SetKnownHosts({ members.begin(), members.end() },
                                  this->topology.AllHosts());
  this->dispatcher->SetHosts(aLiveMembers,
                             this->topology.Cells().IsDivided()
                               ? this->topology.AllHosts()
                               : aLiveMembers,
                             this->dispatcherHosts.areAllKnown);
}

// If the hosts are divided into cells, this runs only on ticks, so that several
// changes go into one message: at the start, and when a data centre is lost,
// hundreds of ranges change one by one.
void Gateway::Impl::SendKeyMaps()
{
  const std::vector<std::string> all{ this->connectedPeers.begin(),
                                      this->connectedPeers.end() };
  for (const auto& update : this->keyedServices->TakeMapUpdates()) {
    protocol::Frame frame;
    frame.__set_keyMapUpdate(update);
    this->peerNetwork->SendToAll(all, frame);
  }
}

bool Gateway::Impl::AreRemovedUpstreamsExpired() const
{
  return !this->upstreams.HasExpiring();
}

protocol::HostDigest Gateway::Impl::MakeDigest()
{
  protocol::HostDigest digest;
  digest.sender.__set_host(this->self.host.value);
  digest.sender.__set_incarnation(this->self.incarnation);
  digest.__set_number(this->peers.NextDigest());
  digest.__set_leaving(this->isLeaving);
  digest.__set_reachesStore(this->isStoreAvailable);
  this->replication->AddVersionsTo(digest);
  digest.__set_keyMaps(this->keyedServices->MapVersions());
  digest.__set_lendsQuotas(this->quotas->Lender().IsLending());
  digest.__set_offersRelays(this->OffersRelays());
  digest.__set_takesProxied(this->TakesProxied());
  digest.__set_sentMicros(std::chrono::duration_cast<std::chrono::microseconds>(
                            BootTime().time_since_epoch())
                            .count());
  return digest;
}

void Gateway::Impl::SendDigests()
{
  const PeerTopology::DigestRecipients recipients =
    this->topology.TakeDigestRecipients(this->connectedPeers,
                                        this->dispatcher->LoadChangeCount());
  this->keyedServices->OnKeyUses(
    this->keyedServices->TakeKeyUses(this->self.host));
  this->keyedServices->OnOwnerTimes(
    this->keyedServices->TakeOwnerTimes(this->self.host));
  if (recipients.full.empty() && recipients.brief.empty()) {
    return;
  }
  protocol::HostDigest digest = this->MakeDigest();
  if (!recipients.brief.empty()) {
    digest.__set_keyMapsPartial(
      this->MayOmitKeyMaps(this->briefNamedAllMapsAt));
    this->SendDigest(recipients.brief, digest);
  }
  if (!recipients.full.empty()) {
    digest.__set_keyMapsPartial(this->MayOmitKeyMaps(this->fullNamedAllMapsAt));
    this->upstreams.SetWaiting(this->dispatcher->WaitingByOwner());
    const auto reports = this->upstreams.TakeReports();
    std::ranges::transform(reports, std::back_inserter(digest.uses),
                           ReportToWire);
    const auto works = this->dispatcher->Works().TakeReports();
    std::ranges::transform(works, std::back_inserter(digest.routeWorks),
                           WorkToWire);
    this->SendDigest(recipients.full, digest);
  }
}

// With many parts, naming the maps of all of them would make up most of a
// digest. Only an assigner needs to hear of its own maps each time.
bool Gateway::Impl::MayOmitKeyMaps(TimePoint& aAllNamedAt) const
{
  const TimePoint now = BootTime();
  if (this->keyedServices->IsAnyLayoutDivided() &&
      now - aAllNamedAt < kAllKeyMapsInterval) {
    return true;
  }
  aAllNamedAt = now;
  return false;
}

// Key uses and owners' times go to the assigner of the keys only, and so do the
// versions of its maps in a partial digest. All other recipients get the same
// digest, which is encoded once.
void Gateway::Impl::SendDigest(std::vector<std::string> aHosts,
                               protocol::HostDigest aDigest)
{
  protocol::Frame frame;
  const std::set<state::HostId> assigners = this->keyedServices->Assigners();
  std::erase_if(aHosts, [&](const std::string& aHost) {
    if (!assigners.contains({ aHost })) {
      return false;
    }
    const auto uses = this->keyedServices->TakeKeyUses({ aHost });
    const auto times = this->keyedServices->TakeOwnerTimes({ aHost });
    if (uses.empty() && times.empty() && !aDigest.keyMapsPartial) {
      return false;
    }
    frame.__set_hostDigest(aDigest);
    frame.hostDigest.__set_keyUses(uses);
    if (!times.empty()) {
      frame.hostDigest.__set_ownerTimes(times);
    }
    if (aDigest.keyMapsPartial) {
      frame.hostDigest.__set_keyMaps(
        this->keyedServices->MapVersionsFor({ aHost }));
    }
    static_cast<void>(this->peerNetwork->Send(aHost, frame));
    return true;
  });
  aDigest.keyUses.clear();
  if (aDigest.keyMapsPartial) {
    aDigest.__set_keyMaps(this->keyedServices->MapVersionsFor({}));
  }
  frame.__set_hostDigest(aDigest);
  this->peerNetwork->SendToAll(aHosts, frame);
}

} // namespace kumquat::node
