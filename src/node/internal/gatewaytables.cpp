// What a gateway learns from the store and from its peers, and what it tells
// them.

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

namespace {

constexpr milliseconds kTick{ 100 };
// A digest goes out at a tick at which this host's requests have changed by so
// many since the last one, else after the longest pause. With half of their
// slots in use upstreams take and end two requests a host between ticks; what
// peers know of them is then old within a tick, and hosts meet at the same
// ones. At the heaviest day's load a pause of 250 ms served 0.69 of the credit
// and one of 100 ms 0.77 (one trial each of the same day).
constexpr int kChangesToTell = 2;
constexpr milliseconds kLongestPause{ 250 };
// A peer that knows more is asked after this time, as the store's own answer is
// mostly on its way already; then the store is asked on a new connection too.
constexpr milliseconds kBehindForPeer{ 300 };
constexpr milliseconds kBehindForStore{ 1500 };
// Between tries to write or read the hosts' table, and until it is read again:
// a peer that neither side knows of any more is found then.
constexpr milliseconds kHostsPause{ 500 };
constexpr milliseconds kHostsAgain{ 30'000 };

constexpr double kMicrosInMs = 1000;

routing::UpstreamReport ReportOf(const protocol::UpstreamUse& aUse)
{
  return { { aUse.upstream },
           aUse.running,
           aUse.answers,
           aUse.serviceMicros / kMicrosInMs };
}

protocol::UpstreamUse UseOf(const routing::UpstreamReport& aReport)
{
  protocol::UpstreamUse use;
  use.__set_upstream(aReport.id.value);
  use.__set_running(aReport.running);
  use.__set_answers(aReport.answers);
  use.__set_serviceMicros(
    static_cast<std::int32_t>(aReport.serviceMs * kMicrosInMs));
  return use;
}

} // namespace

// A host that reads the table after its own row is there finds all that were
// there before it, and those that come later find it: one of any two dials.
void Gateway::Impl::RegisterHost()
{
  state::RowsWrite write;
  const nlohmann::json text = { { "address", this->settings.peerAddress },
                                { "incarnation", this->self.incarnation } };
  write.puts.push_back(
    { kHostTable, {}, this->self.host.value, text.dump(), 0, false });
  this->storeThread.Hand([this, write] {
    this->store->Rows().Write(
      write, [this](state::WriteOutcome aOutcome, state::Version) {
        if (aOutcome == state::WriteOutcome::kWritten) {
          this->ReadHosts();
        } else {
          this->Later(kHostsPause, [this] { this->RegisterHost(); });
        }
      });
  });
}

void Gateway::Impl::ReadHosts()
{
  this->store->Rows().Read(
    kHostTable, "", [this](Result<state::RowsRead> aRead) {
      if (!aRead) {
        this->Later(kHostsPause, [this] { this->ReadHosts(); });
        return;
      }
      this->serving.Hand(
        [this, rows = std::move(aRead->rows)] { this->ApplyHostRows(rows); });
      this->Later(kHostsAgain, [this] { this->ReadHosts(); });
    });
}

void Gateway::Impl::Later(milliseconds aPause, std::function<void()> aWork)
{
  auto timer =
    std::make_shared<boost::asio::steady_timer>(this->storeThread.Context());
  timer->expires_after(aPause);
  timer->async_wait(
    [timer, work = std::move(aWork)](const boost::system::error_code& aError) {
      if (!aError) {
        work();
      }
    });
}

void Gateway::Impl::OnTableNews(const TableNews& aNews)
{
  const std::vector<state::StoredRow> changed =
    this->tables.Apply(aNews.table, aNews.rows, aNews.whole, aNews.version);
  if (changed.empty()) {
    return;
  }
  if (aNews.table == platform::kOperatorTable) {
    this->ApplyOperatorRows();
  } else {
    this->ApplyUpstreamRows(changed, aNews.grace);
  }
}

void Gateway::Impl::ApplyOperatorRows()
{
  const TableCopy& copy =
    this->tables.Find(std::string(platform::kOperatorTable));
  std::set<state::DataCentre> out;
  for (const auto& [key, row] : copy.rows) {
    if (const auto centre = platform::ReadOutRow(key)) {
      out.insert(*centre);
    }
  }
  this->upstreams.SetOut(std::move(out));
  const auto row = copy.rows.find(std::string(platform::kConfigurationKey));
  if (row != copy.rows.end()) {
    auto configuration = platform::ReadConfiguration(row->second.value);
    if (!configuration) {
      this->log.Write(Event::kConfigurationInvalid,
                      { { "row_version", row->second.version } });
    } else if (configuration->version > this->routes->Text().version) {
      this->routes =
        std::make_shared<const routing::RouteTable>(std::move(*configuration));
      this->dispatcher->SetRoutes(this->routes);
      std::set<state::ServiceName> keyed;
      for (const routing::Service& service : this->routes->Text().services) {
        if (service.keyed) {
          keyed.insert(service.name);
        }
      }
      this->keys->SetServices(keyed);
      const routing::CallerLimits& limits = this->routes->Text().limits;
      this->callerServer->SetLimits(limits.maxHeaderBytes, limits.maxBodyBytes,
                                    limits.headerTimeout, limits.idleTimeout);
      this->log.Write(Event::kConfigurationInForce,
                      { { "version", this->routes->Text().version } });
    }
  }
  this->keys->OnUpstreams();
  this->dispatcher->OnChange();
  this->ArmDispatcher();
}

void Gateway::Impl::ApplyUpstreamRows(
  const std::vector<state::StoredRow>& aChanged, milliseconds aGrace)
{
  const TimePoint now = BootTime();
  for (const state::StoredRow& row : aChanged) {
    const auto entry =
      row.removed ? std::nullopt : platform::ReadUpstream(row.key, row.value);
    if (entry) {
      const bool isNewLife = this->upstreams.Put(*entry, now);
      this->log.Write(
        Event::kUpstreamSeen,
        { { "upstream", row.key },
          { "service", entry->service.value },
          { "new_life", static_cast<std::int64_t>(isNewLife) },
          { "leaving", static_cast<std::int64_t>(entry->leaving) },
          { "cold_ms", static_cast<std::int64_t>(entry->coldLeft.count()) },
          { "version", row.version } });
    } else {
      this->upstreams.Remove({ row.key }, now, aGrace);
      this->log.Write(
        Event::kUpstreamGone,
        { { "upstream", row.key },
          { "grace_ms", static_cast<std::int64_t>(aGrace.count()) },
          { "version", row.version } });
    }
  }
  this->keys->OnUpstreams();
  this->dispatcher->OnChange();
  this->ArmDispatcher();
}

void Gateway::Impl::ApplyHostRows(const std::vector<state::StoredRow>& aRows)
{
  for (const state::StoredRow& row : aRows) {
    const auto text = nlohmann::json::parse(row.value, nullptr, false);
    if (row.key != this->self.host.value && text.is_object()) {
      this->network->SetAddress(row.key, text.value("address", ""));
    }
  }
}

// --- peers

void Gateway::Impl::OnFrame(const protocol::HostRef& aFrom,
                            const protocol::Frame& aFrame)
{
  if (aFrame.__isset.hostDigest) {
    this->OnDigest(aFrame.hostDigest);
  } else if (aFrame.__isset.keyMapUpdate) {
    this->keys->OnUpdate(aFrame.keyMapUpdate);
  } else if (aFrame.__isset.tableQuery) {
    const std::string& table = aFrame.tableQuery.table;
    const TableCopy& copy = this->tables.Find(table);
    protocol::TableCopy answer;
    answer.__set_table(table);
    answer.__set_version(copy.version);
    for (const auto& [key, row] : copy.rows) {
      protocol::TableRow one;
      one.__set_key(key);
      one.__set_value(row.value);
      answer.rows.push_back(std::move(one));
    }
    protocol::Frame frame;
    frame.__set_tableCopy(answer);
    static_cast<void>(this->network->Send(aFrom.host, frame));
  } else if (aFrame.__isset.tableCopy) {
    TableNews news;
    news.table = aFrame.tableCopy.table;
    news.whole = true;
    news.version = aFrame.tableCopy.version;
    for (const protocol::TableRow& one : aFrame.tableCopy.rows) {
      // Rows' own versions are not told; the table's tells what is newer.
      news.rows.push_back(
        { news.table, {}, one.key, one.value, news.version, false });
    }
    this->log.Write(Event::kTableFromPeer, { { "peer", aFrom.host },
                                             { "table", news.table },
                                             { "version", news.version } });
    this->OnTableNews(news);
  }
}

void Gateway::Impl::OnDigest(const protocol::HostDigest& aDigest)
{
  this->peers.OnDigest(aDigest);
  const state::HostId id{ aDigest.sender.host };
  std::vector<routing::UpstreamReport> reports;
  std::ranges::transform(aDigest.uses, std::back_inserter(reports), ReportOf);
  this->upstreams.OnPeer(id, reports);
  this->keys->OnUses(aDigest.keyUses);
  const KnownPeer& peer = this->peers.All().at(id);
  this->AskBehind(peer);
  if (this->keys->IsAssigner()) {
    for (const auto& update : this->keys->UpdatesFor(peer)) {
      protocol::Frame frame;
      frame.__set_keyMapUpdate(update);
      static_cast<void>(this->network->Send(id.value, frame));
    }
  }
}

void Gateway::Impl::AskBehind(const KnownPeer& aPeer)
{
  const std::pair<std::string, state::Version> known[] = {
    { std::string(platform::kOperatorTable), aPeer.operatorVersion },
    { std::string(platform::kUpstreamTable), aPeer.upstreamVersion }
  };
  const TimePoint now = BootTime();
  for (const auto& [table, version] : known) {
    if (version <= this->tables.Find(table).version) {
      continue;
    }
    const auto [since, isFirst] = this->behindSince.emplace(table, now);
    if (now - since->second >= kBehindForPeer) {
      protocol::Frame frame;
      protocol::TableQuery query;
      query.__set_table(table);
      frame.__set_tableQuery(query);
      static_cast<void>(this->network->Send(aPeer.host.host.value, frame));
    }
    if (now - since->second >= kBehindForStore && this->isStoreWell) {
      this->store->Restart(table);
      since->second = now;
    }
  }
}

void Gateway::Impl::Tick()
{
  const TimePoint now = BootTime();
  this->upstreams.Expire(now);
  for (const state::HostId& silent : this->peers.TakeSilent()) {
    this->upstreams.ForgetPeer(silent);
    // A connection that went silent stays so; a new one may work.
    this->network->Close(silent.value);
  }
  std::vector<state::HostId> live = this->peers.Live();
  live.push_back(this->self.host);
  this->dispatcher->SetHosts(live);
  this->keys->OnTimer();
  if (this->dispatcher->TakenAndEnded() - this->toldChanges >= kChangesToTell ||
      now - this->toldAt >= kLongestPause) {
    this->SendDigests();
    this->PublishGauges();
  }
  this->dispatcher->OnTimer();
  this->ArmDispatcher();
  this->tick.expires_after(kTick);
  this->tick.async_wait([this](const boost::system::error_code& aError) {
    if (!aError) {
      this->Tick();
    }
  });
}

void Gateway::Impl::SendDigests()
{
  this->toldAt = BootTime();
  this->toldChanges = this->dispatcher->TakenAndEnded();
  const std::string upstreamTable(platform::kUpstreamTable);
  // What is in grace here may be gone already at a peer that copies; it learns
  // of the table only when that is settled.
  const bool settled =
    std::ranges::none_of(this->upstreams.All(), [](const auto& aItem) {
      return aItem.second.goneAt.has_value();
    });
  if (settled) {
    this->toldUpstreamVersion = this->tables.Find(upstreamTable).version;
  }
  for (auto since = this->behindSince.begin();
       since != this->behindSince.end();) {
    const state::Version own = this->tables.Find(since->first).version;
    const bool isOperators = since->first == platform::kOperatorTable;
    const bool behind = std::ranges::any_of(
      this->peers.All(), [own, isOperators](const auto& aItem) {
        return (isOperators ? aItem.second.operatorVersion
                            : aItem.second.upstreamVersion) > own;
      });
    since = behind ? std::next(since) : this->behindSince.erase(since);
  }
  protocol::Frame frame;
  protocol::HostDigest digest;
  digest.sender.__set_host(this->self.host.value);
  digest.sender.__set_incarnation(this->self.incarnation);
  digest.__set_number(this->peers.NextDigest());
  digest.__set_leaving(this->isLeaving);
  const auto reports = this->upstreams.TakeReports();
  std::ranges::transform(reports, std::back_inserter(digest.uses), UseOf);
  digest.__set_operatorVersion(
    this->tables.Find(std::string(platform::kOperatorTable)).version);
  digest.__set_upstreamVersion(this->toldUpstreamVersion);
  digest.__set_keyMaps(this->keys->Marks());
  for (const std::string& peer : this->reachable) {
    digest.__set_keyUses(this->keys->UsesFor({ peer }));
    frame.__set_hostDigest(digest);
    static_cast<void>(this->network->Send(peer, frame));
  }
  this->keys->OnUses(this->keys->UsesFor(this->self.host));
  this->keys->ForgetUses();
}

void Gateway::Impl::PublishGauges()
{
  const auto set = [this](const char* aName, const char* aHelp,
                          std::int64_t aValue) {
    this->metrics.FindGauge(aName, aHelp).Set(aValue);
  };
  set("kumquat_waiting", "Requests that wait for an upstream.",
      static_cast<std::int64_t>(this->dispatcher->Waiting()));
  set("kumquat_running", "Requests that run at upstreams.",
      static_cast<std::int64_t>(this->dispatcher->Running()));
  set("kumquat_peers", "Peers heard within the last second.",
      static_cast<std::int64_t>(this->peers.Live().size()));
  set("kumquat_store_well", "1 where the store answers.",
      this->isStoreWell ? 1 : 0);
  set("kumquat_assigner", "1 where this host assigns keys of a service.",
      this->keys->IsAssigner() ? 1 : 0);
  set("kumquat_log_lines_dropped",
      "Log lines dropped since the start, as nobody read them.",
      static_cast<std::int64_t>(this->log.Dropped()));
}

} // namespace kumquat::node
