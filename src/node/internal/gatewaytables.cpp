// The part of a gateway that deals with the store's tables: replication, and
// applying changes of operators' and upstreams' rows.

#include "node/internal/gatewayimpl.h"

#include "node/internal/clocks.h"
#include "platform/names.h"
#include "platform/records.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

TableReplication::Hooks Gateway::Impl::TableReplicationHooks()
{
  TableReplication::Hooks hooks;
  hooks.now = BootTime;
  hooks.send = [this](const std::string& aTo, const protocol::Frame& aFrame) {
    static_cast<void>(this->peerNetwork->Send(aTo, aFrame));
  };
  hooks.sendToAll = [this](const std::vector<std::string>& aHosts,
                           const protocol::Frame& aFrame) {
    this->peerNetwork->SendToAll(aHosts, aFrame);
  };
  hooks.follow = [this](const FollowedTables& aTables, bool aWithCaution) {
    this->storeClient->Follow(aTables, aWithCaution);
  };
  hooks.readFullTable = [this](const std::string& aTable) {
    this->storeClient->ReadFullTable(aTable);
  };
  hooks.storeReceivedAt = [this](const std::string& aTable) {
    return this->storeClient->LastReceivedAt(aTable);
  };
  hooks.rowsChanged = [this](const std::string& aTable,
                             const std::vector<state::StoredRow>& aChanged,
                             milliseconds aGrace) {
    this->OnTableChanged(aTable, aChanged, aGrace);
  };
  hooks.isSettled = [this](const std::string& aTable) {
    return aTable != platform::kUpstreamTable ||
           this->AreRemovedUpstreamsExpired();
  };
  hooks.caughtUp = [this](const std::string& aTable, Duration aBehind) {
    this->OnCaughtUp(aTable, aBehind);
  };
  hooks.announceVersions = [this] {
    this->topology.RequestImmediateDigest();
    this->SendDigests();
  };
  return hooks;
}

void Gateway::Impl::OnTableChanged(
  const std::string& aTable, const std::vector<state::StoredRow>& aChanged,
  milliseconds aGrace)
{
  if (aTable == platform::kOperatorTable) {
    this->ApplyOperatorRows();
  } else if (aTable == platform::kUpstreamTable) {
    this->ApplyUpstreamRows(aChanged, aGrace);
  } else {
    const TableReplica& replica = this->replication->Find(kHostTable);
    std::vector<state::StoredRow> rows;
    std::ranges::transform(replica.rows, std::back_inserter(rows),
                           [](const auto& aItem) { return aItem.second; });
    this->SetHosts(rows);
    this->registration->OnTable(replica);
  }
}

void Gateway::Impl::OnTableReadEnded(const TableReadResult& aResult)
{
  const std::string outcome = aResult.error ? aResult.error.message() : "read";
  this->log.Write(
    Event::kTableRead,
    { { "table", aResult.table },
      { "outcome", outcome },
      { "rows", static_cast<std::int64_t>(aResult.rows) },
      { "took_ms",
        std::chrono::duration_cast<milliseconds>(aResult.took).count() } });
  this->serving.Hand([this, aResult] {
    this->replication->OnReadEnded(aResult.table, aResult.took);
  });
}

void Gateway::Impl::OnStoreCall(state::StoreCall aCall,
                                const std::string& aTable)
{
  const std::string call(state::StoreCallName(aCall));
  this->metrics
    .GetOrCreateCounter("kumquat_store_calls_total", "Calls to the store.",
                        { { "call", call }, { "table", aTable } })
    .Add();
  this->log.Write(Event::kStoreCall, { { "call", call }, { "table", aTable } });
}

void Gateway::Impl::ApplyOperatorRows()
{
  const TableReplica& replica =
    this->replication->Find(std::string(platform::kOperatorTable));
  std::set<state::DataCentre> outOfService;
  for (const auto& [key, row] : replica.rows) {
    if (const auto dataCentre = platform::ParseEvacuationRow(key)) {
      outOfService.insert(*dataCentre);
    }
  }
  this->upstreams.SetOutOfService(std::move(outOfService), BootTime());
  const auto row = replica.rows.find(std::string(platform::kConfigurationKey));
  if (row != replica.rows.end()) {
    this->ApplyConfiguration(row->second);
  }
  this->OnUsableUpstreamsChanged();
}

// Limits the time spent on parsing to a fifth, and parses only the newest of
// the configurations that have arrived meanwhile. This prevents the following
// failure: a small host takes a tenth of a second to parse a configuration of
// some thousand routes, and operators sent three per second. Requests waited
// for seconds and were forwarded after their callers had left.
void Gateway::Impl::ApplyConfiguration(const state::StoredRow& aRow)
{
  constexpr int kPausePerParseTime = 4;
  // Much shorter than operators allow for a change to come into force.
  constexpr milliseconds kMaxPause{ 300 };
  const TimePoint begin = BootTime();
  if (aRow.version <= this->configurationRowVersion) {
    return;
  }
  if (begin < this->configurationDueAt) {
    // A later tick parses it.
    return;
  }
  this->configurationRowVersion = aRow.version;
  auto configuration = platform::ParseConfiguration(aRow.value);
  if (!configuration) {
    this->log.Write(Event::kConfigurationInvalid,
                    { { "row_version", aRow.version } });
    return;
  }
  if (configuration->version <= this->routes->CurrentConfiguration().version) {
    return;
  }
  this->routes =
    std::make_shared<const routing::RouteTable>(std::move(*configuration));
  this->dispatcher->SetRoutes(this->routes);
  std::set<state::ServiceName> keyed;
  for (const routing::Service& service :
       this->routes->CurrentConfiguration().services) {
    if (service.keyed) {
      keyed.insert(service.name);
    }
  }
  this->keyedServices->SetServices(keyed);
  this->quotas->SetTeams(this->routes->CurrentConfiguration().teams);
  const routing::CallerLimits& limits =
    this->routes->CurrentConfiguration().limits;
  this->callerServer->SetLimits(limits.maxHeaderBytes, limits.maxBodyBytes,
                                limits.headerTimeout, limits.idleTimeout);
  const TimePoint end = BootTime();
  this->configurationDueAt =
    end + std::min<Duration>(kMaxPause, kPausePerParseTime * (end - begin));
  this->log.Write(
    Event::kConfigurationInForce,
    { { "version", this->routes->CurrentConfiguration().version } });
  this->ReportUnknownKinds();
}

void Gateway::Impl::ReportUnknownKinds()
{
  const routing::Configuration& configuration =
    this->routes->CurrentConfiguration();
  for (const std::string& kind : configuration.unknownKinds) {
    this->log.Write(Event::kConfigurationUnknownKind,
                    { { "kind", kind }, { "version", configuration.version } });
    this->metrics
      .GetOrCreateCounter("kumquat_configuration_unknown_kinds_total",
                          "Kinds of routes in configurations that this version "
                          "does not know.")
      .Add();
  }
}

bool Gateway::Impl::IsConfigurationOutdated() const
{
  const auto& rows =
    this->replication->Find(std::string(platform::kOperatorTable)).rows;
  const auto row = rows.find(std::string(platform::kConfigurationKey));
  return row != rows.end() &&
         row->second.version > this->configurationRowVersion;
}

// A host that gets the table's changes from peers logs one line for many
// entries at once: the hosts that follow the store log each of them.
void Gateway::Impl::ApplyUpstreamRows(
  const std::vector<state::StoredRow>& aChanged, milliseconds aGrace)
{
  constexpr std::size_t kFewRows = 4;
  const bool logsEach =
    aChanged.size() <= kFewRows || this->replication->IsFollowing();
  const TimePoint now = BootTime();
  std::size_t leavingCount = 0;
  std::size_t removedCount = 0;
  for (const state::StoredRow& row : aChanged) {
    const auto entry = this->ReadUpstreamRow(row);
    if (entry) {
      const routing::EntryChange change = this->upstreams.PutEntry(*entry, now);
      if (change == routing::EntryChange::kNewIncarnation) {
        this->dispatcher->Signals().Forget(entry->id);
      }
      leavingCount += entry->leaving ? 1 : 0;
      if (logsEach) {
        this->LogUpstreamSeen(*entry, change, row.version);
      }
    } else {
      this->upstreams.RemoveEntry({ row.key }, now, aGrace);
      ++removedCount;
      if (logsEach) {
        this->log.Write(
          Event::kUpstreamGone,
          { { "upstream", row.key },
            { "grace_ms", static_cast<std::int64_t>(aGrace.count()) },
            { "version", row.version } });
      }
    }
  }
  if (!logsEach) {
    this->log.Write(
      Event::kUpstreamsChanged,
      { { "count", static_cast<std::int64_t>(aChanged.size()) },
        { "leaving", static_cast<std::int64_t>(leavingCount) },
        { "removed", static_cast<std::int64_t>(removedCount) },
        { "grace_ms", static_cast<std::int64_t>(aGrace.count()) },
        { "first", aChanged.front().key },
        { "last", aChanged.back().key },
        { "version", std::ranges::max(aChanged, {}, &state::StoredRow::version)
                       .version } });
  }
  this->OnUsableUpstreamsChanged();
}

// Returns nullopt if the row was removed or names no upstream.
std::optional<routing::UpstreamEntry> Gateway::Impl::ReadUpstreamRow(
  const state::StoredRow& aRow)
{
  if (aRow.removed) {
    return std::nullopt;
  }
  auto entry = platform::ParseUpstreamEntry(aRow.key, aRow.value);
  if (!entry) {
    this->ReportInvalidRow(platform::kUpstreamTable, aRow, entry.error());
    return std::nullopt;
  }
  return std::move(*entry);
}

void Gateway::Impl::ReportInvalidRow(std::string_view aTable,
                                     const state::StoredRow& aRow,
                                     const std::error_code& aFault)
{
  const std::string fault = aFault.message();
  this->log.Write(Event::kRowInvalid, { { "table", aTable },
                                        { "row", aRow.key },
                                        { "version", aRow.version },
                                        { "fault", fault } });
  this->metrics
    .GetOrCreateCounter(
      "kumquat_invalid_rows_total",
      "Rows that another process wrote and that cannot be "
      "used, by table and fault.",
      { { "table", std::string(aTable) }, { "fault", fault } })
    .Add();
}

void Gateway::Impl::ReportSkippedRows(const std::string& aTable,
                                      std::size_t aCount)
{
  this->log.Write(
    Event::kRowsSkipped,
    { { "table", aTable }, { "count", static_cast<std::int64_t>(aCount) } });
  this->metrics
    .GetOrCreateCounter("kumquat_skipped_rows_total",
                        "Rows in responses of the store that cannot be read.",
                        { { "table", aTable } })
    .Add(aCount);
}

void Gateway::Impl::OnUsableUpstreamsChanged()
{
  this->keyedServices->OnUpstreamsChanged();
  this->dispatcher->RecheckWaitingRequests();
  this->ScheduleDispatcher();
}

void Gateway::Impl::LogUpstreamSeen(const routing::UpstreamEntry& aEntry,
                                    routing::EntryChange aChange,
                                    state::Version aVersion)
{
  this->log.Write(
    Event::kUpstreamSeen,
    { { "upstream", aEntry.id.value },
      { "service", aEntry.service.value },
      { "data_centre", aEntry.dataCentre.value },
      { "change", routing::EntryChangeName(aChange) },
      { "started_ms", aEntry.startedMs },
      { "leaving", static_cast<std::int64_t>(aEntry.leaving) },
      { "cold_ms", static_cast<std::int64_t>(aEntry.coldRemaining.count()) },
      { "version", aVersion } });
}

void Gateway::Impl::UpdateGauges()
{
  const auto set = [this](const char* aName, const char* aHelp,
                          std::int64_t aValue) {
    this->metrics.GetOrCreateGauge(aName, aHelp).Set(aValue);
  };
  set("kumquat_waiting", "Requests that wait for an upstream.",
      static_cast<std::int64_t>(this->dispatcher->WaitingCount()));
  set("kumquat_running", "Requests that run at upstreams.",
      static_cast<std::int64_t>(this->dispatcher->RunningCount()));
  set("kumquat_request_suspects",
      "Requests under which upstreams have ended, and that none has served.",
      static_cast<std::int64_t>(this->dispatcher->Suspects().Count()));
  set("kumquat_limited_upstreams", "Upstreams that name a limit.",
      static_cast<std::int64_t>(this->dispatcher->Signals().Limits().Count()));
  set("kumquat_resting_upstreams",
      "Upstreams that have asked this host for a rest that has not ended.",
      static_cast<std::int64_t>(this->dispatcher->Signals().Rests().Count()));
  set("kumquat_paced_upstreams",
      "Upstreams that start or recover and get their requests at a pace.",
      static_cast<std::int64_t>(this->dispatcher->Paces().Count()));
  set("kumquat_peers",
      "Members of this host's cell heard within the last second.",
      static_cast<std::int64_t>(this->peers.LiveCellMembers().size()));
  set("kumquat_relayed_upstreams",
      "Upstreams that this host reaches through peers only.",
      static_cast<std::int64_t>(this->paths.RelayedCount()));
  set("kumquat_relays", "Connections of peers that this host relays.",
      this->relayServer ? static_cast<std::int64_t>(this->relayServer->Relays())
                        : 0);
  set("kumquat_store_well", "1 if the store is available.",
      this->isStoreAvailable ? 1 : 0);
  set("kumquat_assigner", "1 if this host assigns the keys of a service.",
      this->keyedServices->IsAssigner() ? 1 : 0);
  constexpr double kPercent = 100;
  const auto paces = this->keyedServices->OwnerPaceSpread();
  set("kumquat_slowest_owner_pace_percent",
      "Pace of the slowest owner of keys that this host assigns, typical: 100.",
      static_cast<std::int64_t>(kPercent * paces.slowest));
  set("kumquat_fastest_owner_pace_percent",
      "Pace of the fastest owner of keys that this host assigns, typical: 100.",
      static_cast<std::int64_t>(kPercent * paces.fastest));
  set("kumquat_owner_times_ignored",
      "Reports of owners' times that cannot be true, since the start.",
      this->keyedServices->IgnoredOwnerTimes());
  set("kumquat_quota_lender", "1 if this host lends the tokens of quotas.",
      this->quotas->Lender().IsLending() ? 1 : 0);
  set(
    "kumquat_quota_worst_window_percent",
    "Highest part of its limit that a team was lent by this host in any "
    "window.",
    static_cast<std::int64_t>(kPercent * this->quotas->Lender().WorstWindow()));
  for (const transport::BytePurpose purpose : transport::kBytePurposes) {
    this->metrics
      .GetOrCreateGauge(
        "kumquat_held_bytes", "Bytes held for bodies, by purpose.",
        { { "purpose", std::string(transport::BytePurposeName(purpose)) } })
      .Set(static_cast<std::int64_t>(this->heldBytes->Held(purpose)));
  }
  set("kumquat_held_bytes_peak", "The most bytes ever held for bodies.",
      static_cast<std::int64_t>(this->heldBytes->Peak()));
  set("kumquat_log_lines_dropped",
      "Log lines dropped since the start, as nobody read them.",
      static_cast<std::int64_t>(this->log.DroppedLines()));
}

} // namespace kumquat::node
