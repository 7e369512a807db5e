// Other hosts: who they are, what they are told, and what they say.

#include "node/internal/gatewayimpl.h"

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

constexpr milliseconds kTick{ 100 };
// Between tries to write or read the hosts' table, and until it is read again:
// a peer that neither side knows of any more is found then.
constexpr milliseconds kHostsPause{ 500 };
constexpr milliseconds kHostsAgain{ 30'000 };
// A host that is not in the table as it was read has said hello: it has just
// written itself down, and others may come with it.
constexpr milliseconds kHostsAfterHello{ 700 };

constexpr double kMicrosInMs = 1000;

routing::UpstreamReport ReportOf(const protocol::UpstreamUse& aUse)
{
  return { { aUse.upstream },
           aUse.running,
           aUse.answers,
           aUse.serviceMicros / kMicrosInMs,
           aUse.waiting };
}

protocol::UpstreamUse UseOf(const routing::UpstreamReport& aReport)
{
  protocol::UpstreamUse use;
  use.__set_upstream(aReport.id.value);
  use.__set_running(aReport.running);
  use.__set_answers(aReport.answers);
  use.__set_serviceMicros(
    static_cast<std::int32_t>(aReport.serviceMs * kMicrosInMs));
  use.__set_waiting(aReport.waiting);
  return use;
}

const std::vector<std::string>& FollowedTables()
{
  static const std::vector<std::string> kTables{
    std::string(platform::kOperatorTable), std::string(platform::kUpstreamTable)
  };
  return kTables;
}

// The last change of a table that the peer has.
state::Version NamedBy(const KnownPeer& aPeer, const std::string& aTable)
{
  return aTable == platform::kOperatorTable ? aPeer.operatorVersion
                                            : aPeer.upstreamVersion;
}

} // namespace

// --- the hosts' table

// A host that reads the table after its own row is there finds all that were
// there before it, and those that come later find it: one of any two dials.
void Gateway::Impl::RegisterHost()
{
  state::RowsWrite write;
  const nlohmann::json text = { { "address", this->settings.peerAddress },
                                { "incarnation", this->self.incarnation },
                                { "data_centre",
                                  this->settings.dataCentre.value },
                                { "processors", this->settings.processors } };
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
  this->ReadHostsOnce([this](bool aRead) {
    this->Later(aRead ? kHostsAgain : kHostsPause,
                [this] { this->ReadHosts(); });
  });
}

void Gateway::Impl::ReadHostsOnce(std::function<void(bool)> aDone)
{
  this->store->Rows().Read(
    kHostTable, "",
    [this, done = std::move(aDone)](Result<state::RowsRead> aRead) {
      if (aRead) {
        this->serving.Hand(
          [this, read = std::move(*aRead)] { this->ApplyHostRows(read); });
      }
      done(aRead.has_value());
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

void Gateway::Impl::ApplyHostRows(const state::RowsRead& aRead)
{
  // Of two reads under way the older may be answered last.
  if (aRead.version < this->hostsVersion) {
    return;
  }
  this->hostsVersion = aRead.version;
  std::vector<HostAddress> hosts;
  for (const state::StoredRow& row : aRead.rows) {
    const auto text = nlohmann::json::parse(row.value, nullptr, false);
    if (!text.is_object()) {
      this->log.Write(Event::kPeerRefused,
                      { { "peer", row.key }, { "why", "unreadable row" } });
      continue;
    }
    hosts.push_back({ { { row.key },
                        { text.value("data_centre", "") },
                        text.value("processors", 1.0) },
                      text.value("address", "") });
  }
  this->neighbours.SetHosts(std::move(hosts));
  this->upstreams.SetSpan(this->neighbours.Cells().OwnSpan());
  this->Dial();
}

void Gateway::Impl::Dial()
{
  std::set<state::HostId> assigners = this->keys->Assigners();
  assigners.merge(this->peers.Assigners());
  if (!this->claimant.value.empty()) {
    assigners.insert(this->claimant);
  }
  this->neighbours.SetAssigners(std::move(assigners));
  const Neighbours::Dials dials = this->neighbours.TakeDials();
  for (const auto& [host, address] : dials.begin) {
    this->network->SetAddress(host.value, address);
  }
  for (const state::HostId& host : dials.end) {
    this->network->StopDialling(host.value);
  }
}

// A host that this one does not know yet has connected.
void Gateway::Impl::OnStranger()
{
  const TimePoint now = BootTime();
  if (now < this->hostsReadDue) {
    return;
  }
  this->hostsReadDue = now + kHostsAfterHello;
  this->storeThread.Hand([this] {
    // Where it fails the next regular read will do.
    this->Later(kHostsAfterHello, [this] { this->ReadHostsOnce([](bool) {}); });
  });
}

// --- what they say

void Gateway::Impl::OnFrame(const protocol::HostRef& aFrom,
                            const protocol::Frame& aFrame)
{
  if (aFrame.__isset.hostDigest) {
    this->OnDigest(aFrame.hostDigest);
  } else if (aFrame.__isset.keyMapUpdate) {
    this->keys->OnUpdate(aFrame.keyMapUpdate);
  } else if (aFrame.__isset.tableQuery) {
    this->SendTable(aFrom.host, aFrame.tableQuery);
  } else if (aFrame.__isset.tableCopy) {
    this->OnTableCopy(aFrom.host, aFrame.tableCopy);
  } else if (aFrame.__isset.tableChange) {
    this->OnTableChange(aFrame.tableChange);
  }
}

void Gateway::Impl::SendTable(const std::string& aTo,
                              const protocol::TableQuery& aQuery)
{
  const TableCopy& copy = this->tables.Find(aQuery.table);
  const auto changes = aQuery.after > 0
                         ? this->tables.ChangesSince(aQuery.table, aQuery.after)
                         : std::nullopt;
  if (changes && aQuery.table == platform::kUpstreamTable &&
      !this->AreUpstreamsSettled()) {
    // What is in grace here would be gone at once there.
    return;
  }
  protocol::Frame frame;
  if (changes) {
    protocol::TableChange answer;
    answer.__set_table(aQuery.table);
    answer.__set_after(aQuery.after);
    std::ranges::transform(
      *changes, std::back_inserter(answer.rows),
      [](const state::StoredRow& aRow) { return ToWire(aRow); });
    frame.__set_tableChange(answer);
  } else {
    protocol::TableCopy answer;
    answer.__set_table(aQuery.table);
    answer.__set_version(copy.version);
    std::ranges::transform(
      copy.rows, std::back_inserter(answer.rows),
      [](const auto& aItem) { return ToWire(aItem.second); });
    frame.__set_tableCopy(answer);
  }
  static_cast<void>(this->network->Send(aTo, frame));
}

void Gateway::Impl::OnTableCopy(const std::string& aFrom,
                                const protocol::TableCopy& aCopy)
{
  this->CatchUpOf(aCopy.table).OnPeerAnswer();
  TableNews news;
  news.table = aCopy.table;
  news.whole = true;
  news.version = aCopy.version;
  std::ranges::transform(aCopy.rows, std::back_inserter(news.rows),
                         [&news](const protocol::TableRow& aRow) {
                           return FromWire(news.table, aRow);
                         });
  this->log.Write(Event::kTableFromPeer, { { "peer", aFrom },
                                           { "table", news.table },
                                           { "version", news.version } });
  this->OnTableNews(news);
}

// To those of the cell that do not follow the store. One that has missed an
// earlier change learns it from the digests' versions and asks for the whole.
void Gateway::Impl::PassOn(const TableNews& aNews, state::Version aBefore)
{
  if (!this->neighbours.Cells().IsDivided()) {
    return;
  }
  // Failure: a configuration of some 300 KB, three times a second, to nine
  // mates over a link of 10 Mbit/s held up the requests for seconds. What is
  // large each host reads from the store, as soon as a digest names it.
  const std::size_t bytes =
    std::accumulate(aNews.rows.begin(), aNews.rows.end(), std::size_t{ 0 },
                    [](std::size_t aSum, const state::StoredRow& aRow) {
                      return aSum + aRow.value.size();
                    });
  if (aNews.whole || bytes > kLargeRowBytes) {
    this->TellMatesNow();
    return;
  }
  std::vector<std::string> mates;
  for (const state::HostId& mate : this->neighbours.Cells().Mates()) {
    if (this->reachable.contains(mate.value)) {
      mates.push_back(mate.value);
    }
  }
  protocol::Frame frame;
  protocol::TableChange change;
  change.__set_table(aNews.table);
  change.__set_after(aBefore);
  change.__set_graceMs(static_cast<std::int32_t>(aNews.grace.count()));
  std::ranges::transform(
    aNews.rows, std::back_inserter(change.rows),
    [](const state::StoredRow& aRow) { return ToWire(aRow); });
  frame.__set_tableChange(change);
  this->network->SendToAll(mates, frame);
}

void Gateway::Impl::OnTableChange(const protocol::TableChange& aChange)
{
  this->CatchUpOf(aChange.table).OnPeerAnswer();
  const state::Version own = this->tables.Find(aChange.table).version;
  if (own < aChange.after) {
    return;
  }
  TableNews news;
  news.table = aChange.table;
  news.version = own;
  news.grace = milliseconds(aChange.graceMs);
  std::ranges::transform(aChange.rows, std::back_inserter(news.rows),
                         [&news](const protocol::TableRow& aRow) {
                           return FromWire(news.table, aRow);
                         });
  this->OnTableNews(news);
}

void Gateway::Impl::OnDigest(const protocol::HostDigest& aDigest)
{
  this->peers.OnDigest(aDigest);
  const state::HostId id{ aDigest.sender.host };
  std::vector<routing::UpstreamReport> reports;
  std::ranges::transform(aDigest.uses, std::back_inserter(reports), ReportOf);
  this->upstreams.OnPeer(id, reports, BootTime());
  this->keys->OnUses(aDigest.keyUses);
  const KnownPeer& peer = this->peers.All().at(id);
  for (const std::string& table : FollowedTables()) {
    if (this->IsAhead(peer, table)) {
      this->CatchUpOf(table).OnNamed(NamedBy(peer, table));
      this->CatchUpWith(table);
    }
  }
  for (const auto& update : this->keys->WholeFor(peer)) {
    protocol::Frame frame;
    frame.__set_keyMapUpdate(update);
    static_cast<void>(this->network->Send(id.value, frame));
  }
}

bool Gateway::Impl::IsAhead(const KnownPeer& aPeer,
                            const std::string& aTable) const
{
  return NamedBy(aPeer, aTable) > this->tables.Find(aTable).version;
}

CatchUp& Gateway::Impl::CatchUpOf(const std::string& aTable)
{
  return this->catchUps.try_emplace(aTable, BootTime).first->second;
}

std::vector<state::HostId> Gateway::Impl::PeersAhead(
  const std::string& aTable) const
{
  std::vector<state::HostId> ahead;
  for (const auto& [id, peer] : this->peers.All()) {
    if (this->reachable.contains(id.value) && this->IsAhead(peer, aTable)) {
      ahead.push_back(id);
    }
  }
  // Mates first, as the others are mostly in other data centres.
  std::ranges::sort(ahead, std::greater{}, [&](const state::HostId& aHost) {
    return std::make_pair(this->neighbours.IsMate(aHost),
                          NamedBy(this->peers.All().at(aHost), aTable));
  });
  return ahead;
}

void Gateway::Impl::CatchUpWith(const std::string& aTable)
{
  CatchUp& catchUp = this->CatchUpOf(aTable);
  if (!catchUp.IsBehind()) {
    return;
  }
  CatchUp::Situation situation;
  situation.storeAnswers = this->isStoreWell;
  situation.follows = this->isReader;
  situation.isLarge = this->tables.IsLarge(aTable);
  situation.storeHeardAt = this->store->HeardAt(aTable);
  situation.ahead = this->PeersAhead(aTable);
  const CatchUp::Ask ask = catchUp.Next(situation);
  if (ask.store) {
    this->store->Restart(aTable);
  }
  if (ask.peer) {
    this->AskPeer(*ask.peer, aTable);
  }
}

void Gateway::Impl::AskPeer(const state::HostId& aPeer,
                            const std::string& aTable)
{
  protocol::Frame frame;
  protocol::TableQuery query;
  query.__set_table(aTable);
  query.__set_after(this->tables.Find(aTable).version);
  frame.__set_tableQuery(query);
  static_cast<void>(this->network->Send(aPeer.value, frame));
}

void Gateway::Impl::OnCaughtUp(const std::string& aTable, Duration aBehind)
{
  this->metrics
    .FindSummary("kumquat_table_behind_seconds",
                 "From a peer's word of a change of a table until this host "
                 "had it.",
                 { { "table", aTable } })
    .Observe(aBehind);
  const auto behindMs =
    std::chrono::duration_cast<milliseconds>(aBehind).count();
  this->log.Write(Event::kTableCaughtUp,
                  { { "table", aTable },
                    { "version", this->tables.Find(aTable).version },
                    { "behind_ms", behindMs } });
}

// --- what they are told

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
  const bool divided = this->neighbours.Cells().IsDivided();
  this->dispatcher->SetHosts(live, divided ? this->neighbours.All() : live);
  this->ChooseReaders(live);
  for (const std::string& table : FollowedTables()) {
    this->CatchUpWith(table);
  }
  if (this->IsConfigurationBehind() && now >= this->configurationDue) {
    this->ApplyOperatorRows();
  }
  this->keys->OnTimer();
  this->SendKeyMaps();
  this->SendDigests();
  if (now - this->dialledAt >= kHostsPause) {
    this->dialledAt = now;
    this->Dial();
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

void Gateway::Impl::ChooseReaders(const std::vector<state::HostId>& aLiveMates)
{
  const bool reads =
    this->neighbours.IsReader(aLiveMates, [this](const state::HostId& aMate) {
      const auto found = this->peers.All().find(aMate);
      return found != this->peers.All().end() && found->second.reachesStore;
    });
  if (reads != this->isReader) {
    this->isReader = reads;
    this->store->SetFollowing(reads);
  }
}

// In cells maps go out with the ticks: at the start, and when a data centre is
// lost, hundreds of ranges change one by one.
void Gateway::Impl::SendKeyMaps()
{
  const std::vector<std::string> all{ this->reachable.begin(),
                                      this->reachable.end() };
  for (const auto& update : this->keys->TakeUpdates()) {
    protocol::Frame frame;
    frame.__set_keyMapUpdate(update);
    this->network->SendToAll(all, frame);
  }
}

bool Gateway::Impl::AreUpstreamsSettled() const
{
  return std::ranges::none_of(this->upstreams.All(), [](const auto& aItem) {
    return aItem.second.goneAt.has_value();
  });
}

// A digest names what this host has just learnt and does not pass on.
void Gateway::Impl::TellMatesNow()
{
  this->neighbours.Hurry();
  this->SendDigests();
}

protocol::HostDigest Gateway::Impl::MakeDigest()
{
  const std::string upstreamTable(platform::kUpstreamTable);
  // What is in grace here may be gone already at a peer that copies; it learns
  // of the table only when that is settled.
  if (this->AreUpstreamsSettled()) {
    this->toldUpstreamVersion = this->tables.Find(upstreamTable).changed;
  }
  protocol::HostDigest digest;
  digest.sender.__set_host(this->self.host.value);
  digest.sender.__set_incarnation(this->self.incarnation);
  digest.__set_number(this->peers.NextDigest());
  digest.__set_leaving(this->isLeaving);
  digest.__set_reachesStore(this->isStoreWell);
  digest.__set_operatorVersion(
    this->tables.Find(std::string(platform::kOperatorTable)).changed);
  digest.__set_upstreamVersion(this->toldUpstreamVersion);
  digest.__set_keyMaps(this->keys->Marks());
  return digest;
}

void Gateway::Impl::SendDigests()
{
  const Neighbours::Due due = this->neighbours.TakeDue(
    this->reachable, this->dispatcher->TakenAndEnded());
  this->keys->OnUses(this->keys->TakeUses(this->self.host));
  if (due.mates.empty() && due.others.empty()) {
    return;
  }
  protocol::HostDigest digest = this->MakeDigest();
  this->SendDigest(due.others, digest);
  if (!due.mates.empty()) {
    this->upstreams.SetWaiting(this->dispatcher->WaitingByOwner());
    const auto reports = this->upstreams.TakeReports();
    std::ranges::transform(reports, std::back_inserter(digest.uses), UseOf);
    this->SendDigest(due.mates, digest);
  }
}

// Keys go to their assigner only; all others are told the same.
void Gateway::Impl::SendDigest(std::vector<std::string> aHosts,
                               protocol::HostDigest aDigest)
{
  protocol::Frame frame;
  std::erase_if(aHosts, [&](const std::string& aHost) {
    const auto uses = this->keys->TakeUses({ aHost });
    if (uses.empty()) {
      return false;
    }
    frame.__set_hostDigest(aDigest);
    frame.hostDigest.__set_keyUses(uses);
    static_cast<void>(this->network->Send(aHost, frame));
    return true;
  });
  aDigest.keyUses.clear();
  frame.__set_hostDigest(aDigest);
  this->network->SendToAll(aHosts, frame);
}

} // namespace kumquat::node
