// Followers of tables, and the ways of their news.

#include "node/internal/tablereplication.h"

#include "framework/rendezvous.h"
#include "platform/names.h"

#include <algorithm>
#include <array>
#include <functional>
#include <iterator>
#include <numeric>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

const std::array<std::string, 3>& SpreadTables()
{
  static const std::array<std::string, 3> kTables{
    std::string(platform::kOperatorTable),
    std::string(platform::kUpstreamTable), kHostTable
  };
  return kTables;
}

// The last change of a table that the peer has.
state::Version NamedBy(const KnownPeer& aPeer, const std::string& aTable)
{
  if (aTable == kHostTable) {
    return aPeer.hostsVersion;
  }
  return aTable == platform::kOperatorTable ? aPeer.operatorVersion
                                            : aPeer.upstreamVersion;
}

std::size_t BytesOf(const std::vector<state::StoredRow>& aRows)
{
  return std::accumulate(aRows.begin(), aRows.end(), std::size_t{ 0 },
                         [](std::size_t aSum, const state::StoredRow& aRow) {
                           return aSum + aRow.value.size();
                         });
}

TableUpdate NewsOf(const std::string& aTable,
                   const std::vector<protocol::TableRow>& aRows)
{
  TableUpdate news;
  news.table = aTable;
  std::ranges::transform(aRows, std::back_inserter(news.rows),
                         [&aTable](const protocol::TableRow& aRow) {
                           return FromWire(aTable, aRow);
                         });
  return news;
}

} // namespace

TableReplication::TableReplication(PeerTopology& aNeighbours,
                                   const Peers& aPeers,
                                   const std::set<std::string>& aReachable,
                                   bool aIsFirstStart, Hooks aHooks)
  : neighbours(aNeighbours)
  , peers(aPeers)
  , reachable(aReachable)
  , isFirstStart(aIsFirstStart)
  , hooks(std::move(aHooks))
{
}

// Failure: all hosts were killed at once. Hundreds of them had the upstreams'
// table, the large one, from three hubs, which took these 1.6 s; until then
// nothing was served. The store gives it to all within moments, for one call.
void TableReplication::SetHostListState(HostListState aStanding)
{
  const HostListState before = std::exchange(this->standing, aStanding);
  const std::string upstreams(platform::kUpstreamTable);
  if (before == HostListState::kUnknown && aStanding == HostListState::kKnown &&
      !this->isFirstStart && this->neighbours.Cells().IsDivided() &&
      this->tables.Find(upstreams).version == 0) {
    this->hooks.readFullTable(upstreams);
  }
}

// --- what comes in

void TableReplication::OnUpdate(const TableUpdate& aNews)
{
  const state::Version before = this->tables.Find(aNews.table).lastChange;
  const std::vector<state::StoredRow> changed =
    this->tables.Apply(aNews.table, aNews.rows, aNews.isFull, aNews.version);
  const auto behind =
    this->CatchUpOf(aNews.table)
      .OnVersionReached(this->tables.Find(aNews.table).version);
  if (behind) {
    this->hooks.caughtUp(aNews.table, *behind);
  }
  if (changed.empty()) {
    return;
  }
  this->PassOn(aNews, before);
  this->hooks.rowsChanged(aNews.table, changed, aNews.grace);
}

void TableReplication::OnReadEnded(const std::string& aTable, Duration aTook)
{
  this->CatchUpOf(aTable).OnStoreRead(aTook);
}

void TableReplication::OnCopy(const protocol::TableCopy& aCopy)
{
  this->CatchUpOf(aCopy.table).OnPeerAnswer();
  TableUpdate news = NewsOf(aCopy.table, aCopy.rows);
  news.isFull = true;
  news.version = aCopy.version;
  this->OnUpdate(news);
}

void TableReplication::OnChange(const protocol::TableChange& aChange)
{
  this->CatchUpOf(aChange.table).OnPeerAnswer();
  const state::Version own = this->tables.Find(aChange.table).version;
  if (own < aChange.after) {
    return;
  }
  TableUpdate news = NewsOf(aChange.table, aChange.rows);
  news.version = own;
  news.grace = milliseconds(aChange.graceMs);
  this->OnUpdate(news);
}

// Failure: all hosts were killed at once, and had no configuration for half a
// second, until a hub's next digest had named its version. Its rows are few;
// the other tables would only hold them up.
void TableReplication::OnPeerUp(const state::HostId& aPeer)
{
  const std::string operators(platform::kOperatorTable);
  if (this->neighbours.IsHub(aPeer) &&
      this->tables.Find(operators).version == 0) {
    this->AskPeer(aPeer, operators);
  }
}

void TableReplication::OnPeerVersions(const KnownPeer& aPeer)
{
  for (const std::string& table : SpreadTables()) {
    if (this->IsAhead(aPeer, table)) {
      this->CatchUpOf(table).OnAnnounced(NamedBy(aPeer, table));
      this->CatchUpWith(table);
    }
  }
}

// --- what goes out

void TableReplication::AddVersionsTo(protocol::HostDigest& aDigest)
{
  for (const std::string& table : SpreadTables()) {
    // What is in grace here may be gone already at a peer that copies; it
    // learns of the table only when that is settled.
    if (this->hooks.isSettled(table)) {
      this->named[table] = this->tables.Find(table).lastChange;
    }
  }
  aDigest.__set_operatorVersion(
    this->named[std::string(platform::kOperatorTable)]);
  aDigest.__set_upstreamVersion(
    this->named[std::string(platform::kUpstreamTable)]);
  aDigest.__set_hostsVersion(this->named[kHostTable]);
}

// One that has missed an earlier change learns it from the digests' versions.
void TableReplication::PassOn(const TableUpdate& aNews, state::Version aBefore)
{
  if (!this->neighbours.Cells().IsDivided() || !this->IsFollowing()) {
    return;
  }
  // Failure: a configuration of some 300 KB, three times a second, to nine
  // mates over a link of 10 Mbit/s held up the requests for seconds. What is
  // large each host reads from the store, as soon as a digest names it.
  if (aNews.isFull || aBefore == 0 || BytesOf(aNews.rows) > kLargeRowBytes) {
    this->hooks.announceVersions();
    return;
  }
  std::vector<std::string> told;
  std::ranges::copy_if(this->reachable, std::back_inserter(told),
                       [this](const std::string& aHost) {
                         return this->neighbours.ForwardsChangesTo({ aHost });
                       });
  protocol::Frame frame;
  protocol::TableChange change;
  change.__set_table(aNews.table);
  change.__set_after(aBefore);
  change.__set_graceMs(static_cast<std::int32_t>(aNews.grace.count()));
  std::ranges::transform(
    aNews.rows, std::back_inserter(change.rows),
    [](const state::StoredRow& aRow) { return ToWire(aRow); });
  frame.__set_tableChange(change);
  this->hooks.sendToAll(told, frame);
}

void TableReplication::OnQuery(const std::string& aFrom,
                               const protocol::TableQuery& aQuery)
{
  const TableReplica& copy = this->tables.Find(aQuery.table);
  const auto changes = aQuery.after > 0
                         ? this->tables.ChangesSince(aQuery.table, aQuery.after)
                         : std::nullopt;
  if (copy.version == 0 || (changes && !this->hooks.isSettled(aQuery.table))) {
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
  this->hooks.send(aFrom, frame);
}

// --- what is missing

bool TableReplication::IsAhead(const KnownPeer& aPeer,
                               const std::string& aTable) const
{
  return NamedBy(aPeer, aTable) > this->tables.Find(aTable).version;
}

CatchUp& TableReplication::CatchUpOf(const std::string& aTable)
{
  return this->catchUps.try_emplace(aTable, this->hooks.now).first->second;
}

std::vector<state::HostId> TableReplication::PeersAhead(
  const std::string& aTable) const
{
  std::vector<state::HostId> ahead;
  for (const auto& [id, peer] : this->peers.All()) {
    if (this->reachable.contains(id.value) && this->IsAhead(peer, aTable)) {
      ahead.push_back(id);
    }
  }
  // Mates first, as the others are mostly in other data centres; and each host
  // in an order of its own, or all would ask the one that knows most.
  const std::string& self = this->neighbours.Self().value;
  std::ranges::sort(ahead, std::greater{}, [&](const state::HostId& aHost) {
    return std::make_pair(this->neighbours.IsCellMember(aHost),
                          RendezvousScore(self, aHost.value));
  });
  return ahead;
}

void TableReplication::CatchUpWith(const std::string& aTable)
{
  CatchUp& catchUp = this->CatchUpOf(aTable);
  if (!catchUp.IsBehind()) {
    return;
  }
  CatchUp::Situation situation;
  situation.isStoreAvailable = this->isStoreWell;
  situation.isFollowing = this->followed.contains(aTable);
  situation.isLarge = this->tables.IsLarge(aTable);
  situation.hasNoReplica = this->tables.Find(aTable).version == 0;
  situation.storeReceivedAt = this->hooks.storeReceivedAt(aTable);
  situation.peersAhead = this->PeersAhead(aTable);
  const CatchUp::Requests ask = catchUp.TakeRequests(situation);
  if (ask.readStore) {
    this->hooks.readFullTable(aTable);
  }
  if (ask.queryPeer) {
    this->AskPeer(*ask.queryPeer, aTable);
  }
}

void TableReplication::AskPeer(const state::HostId& aPeer,
                               const std::string& aTable)
{
  protocol::Frame frame;
  protocol::TableQuery query;
  query.__set_table(aTable);
  query.__set_after(this->tables.Find(aTable).version);
  frame.__set_tableQuery(query);
  this->hooks.send(aPeer.value, frame);
}

void TableReplication::OnTimer(const std::vector<state::HostId>& aLiveMates)
{
  this->ChooseFollowed(aLiveMates);
  for (const std::string& table : SpreadTables()) {
    this->CatchUpWith(table);
  }
}

// --- who follows

bool TableReplication::ReachesStore(const state::HostId& aHost) const
{
  const auto found = this->peers.All().find(aHost);
  return found != this->peers.All().end() && found->second.reachesStore;
}

void TableReplication::ChooseFollowed(
  const std::vector<state::HostId>& aLiveMates)
{
  const bool isReader = this->standing == HostListState::kKnown &&
                        this->neighbours.ShouldFollowTables(
                          aLiveMates, [this](const state::HostId& aHost) {
                            return this->ReachesStore(aHost);
                          });
  std::set<std::string> wanted;
  if (isReader || this->standing == HostListState::kUnavailable) {
    wanted.insert(SpreadTables().begin(), SpreadTables().end());
    // Few hosts look at the hosts' table now and then; see Registration.
    if (!this->neighbours.Cells().IsDivided()) {
      wanted.erase(kHostTable);
    }
  }
  if (wanted == this->followed) {
    return;
  }
  this->followed = std::move(wanted);
  FollowedTables versions;
  for (const std::string& table : this->followed) {
    versions[table] = this->tables.Find(table).version;
  }
  this->hooks.follow(versions,
                     this->neighbours.Cells().IsDivided() &&
                       !this->neighbours.IsHub(this->neighbours.Self()));
}

} // namespace kumquat::node
