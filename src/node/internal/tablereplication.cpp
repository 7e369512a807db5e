// Choice of followers, forwarding of updates, and catching up with peers.

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

const std::array<std::string, 3>& ReplicatedTables()
{
  static const std::array<std::string, 3> kTables{
    std::string(platform::kOperatorTable),
    std::string(platform::kUpstreamTable), kHostTable
  };
  return kTables;
}

// The version of a table that the peer announced last.
state::Version AnnouncedVersion(const KnownPeer& aPeer,
                                const std::string& aTable)
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

TableUpdate UpdateFrom(const std::string& aTable,
                       const std::vector<protocol::TableRow>& aRows)
{
  TableUpdate update;
  update.table = aTable;
  std::ranges::transform(aRows, std::back_inserter(update.rows),
                         [&aTable](const protocol::TableRow& aRow) {
                           return FromWire(aTable, aRow);
                         });
  return update;
}

} // namespace

TableReplication::TableReplication(PeerTopology& aTopology, const Peers& aPeers,
                                   const std::set<std::string>& aConnectedPeers,
                                   bool aIsFirstStart, Hooks aHooks)
  : topology(aTopology)
  , peers(aPeers)
  , connectedPeers(aConnectedPeers)
  , isFirstStart(aIsFirstStart)
  , hooks(std::move(aHooks))
{
}

// Reads the upstream table from the store after a restart of a large
// deployment. Otherwise, when all hosts were killed at once, hundreds of them
// requested this large table from three hubs, which took them 1.6 s, and
// nothing was served until then. The store provides it to all hosts within
// moments, for one call each.
void TableReplication::SetHostListState(HostListState aState)
{
  const HostListState before = std::exchange(this->hostListState, aState);
  const std::string upstreams(platform::kUpstreamTable);
  if (before == HostListState::kUnknown && aState == HostListState::kKnown &&
      !this->isFirstStart && this->topology.Cells().IsDivided() &&
      this->replicas.Find(upstreams).version == 0) {
    this->hooks.readFullTable(upstreams);
  }
}

// --- Updates and messages from the store and from peers

void TableReplication::OnUpdate(const TableUpdate& aUpdate)
{
  const state::Version before = this->replicas.Find(aUpdate.table).lastChange;
  const std::vector<state::StoredRow> changed = this->replicas.Apply(
    aUpdate.table, aUpdate.rows, aUpdate.isFull, aUpdate.version);
  const auto behind =
    this->CatchUpOf(aUpdate.table)
      .OnVersionReached(this->replicas.Find(aUpdate.table).version);
  if (behind) {
    this->hooks.caughtUp(aUpdate.table, *behind);
  }
  if (changed.empty()) {
    return;
  }
  this->ForwardUpdate(aUpdate, before);
  this->hooks.rowsChanged(aUpdate.table, changed, aUpdate.grace);
}

void TableReplication::OnReadEnded(const std::string& aTable, Duration aTook)
{
  this->CatchUpOf(aTable).OnStoreRead(aTook);
}

void TableReplication::OnCopy(const protocol::TableCopy& aCopy)
{
  this->CatchUpOf(aCopy.table).OnPeerResponse();
  TableUpdate update = UpdateFrom(aCopy.table, aCopy.rows);
  update.isFull = true;
  update.version = aCopy.version;
  this->OnUpdate(update);
}

void TableReplication::OnChange(const protocol::TableChange& aChange)
{
  this->CatchUpOf(aChange.table).OnPeerResponse();
  const state::Version ownVersion = this->replicas.Find(aChange.table).version;
  if (ownVersion < aChange.after) {
    return;
  }
  TableUpdate update = UpdateFrom(aChange.table, aChange.rows);
  update.version = ownVersion;
  update.grace = milliseconds(aChange.graceMs);
  this->OnUpdate(update);
}

// Queries the operator table as soon as a hub is connected. When all hosts were
// killed at once, they had no configuration for half a second otherwise, until
// the next digest of a hub announced its version. The table has few rows; the
// other tables would only delay it.
void TableReplication::OnPeerUp(const state::HostId& aPeer)
{
  const std::string operators(platform::kOperatorTable);
  if (this->topology.IsHub(aPeer) &&
      this->replicas.Find(operators).version == 0) {
    this->QueryPeer(aPeer, operators);
  }
}

void TableReplication::OnPeerVersions(const KnownPeer& aPeer)
{
  for (const std::string& table : ReplicatedTables()) {
    if (this->IsPeerAhead(aPeer, table)) {
      this->CatchUpOf(table).OnAnnounced(AnnouncedVersion(aPeer, table));
      this->RequestMissingChanges(table);
    }
  }
}

// --- Announced versions, forwarded updates and query responses

void TableReplication::AddVersionsTo(protocol::HostDigest& aDigest)
{
  for (const std::string& table : ReplicatedTables()) {
    // A peer that copies the replica might remove a row at once that is still
    // within its grace period here. So the version is announced only when the
    // table is settled.
    if (this->hooks.isSettled(table)) {
      this->announcedVersions[table] = this->replicas.Find(table).lastChange;
    }
  }
  aDigest.__set_operatorVersion(
    this->announcedVersions[std::string(platform::kOperatorTable)]);
  aDigest.__set_upstreamVersion(
    this->announcedVersions[std::string(platform::kUpstreamTable)]);
  aDigest.__set_hostsVersion(this->announcedVersions[kHostTable]);
}

// Forwards an update as a change after version aBefore. A host that lacks an
// earlier change learns of it from the versions in digests.
void TableReplication::ForwardUpdate(const TableUpdate& aUpdate,
                                     state::Version aBefore)
{
  if (!this->topology.Cells().IsDivided() || !this->IsFollowing()) {
    return;
  }
  // Large rows are not forwarded: each host reads them from the store as soon
  // as a digest announces them. Forwarding a configuration of some 300 KB three
  // times a second to nine cell members over a link of 10 Mbit/s delayed
  // requests by seconds.
  if (aUpdate.isFull || aBefore == 0 ||
      BytesOf(aUpdate.rows) > kLargeRowBytes) {
    this->hooks.announceVersions();
    return;
  }
  protocol::Frame frame;
  protocol::TableChange change;
  change.__set_table(aUpdate.table);
  change.__set_after(aBefore);
  change.__set_graceMs(static_cast<std::int32_t>(aUpdate.grace.count()));
  std::ranges::transform(
    aUpdate.rows, std::back_inserter(change.rows),
    [](const state::StoredRow& aRow) { return ToWire(aRow); });
  frame.__set_tableChange(change);
  this->hooks.sendToAll(this->topology.ChangeRecipients(this->connectedPeers),
                        frame);
}

void TableReplication::OnQuery(const std::string& aFrom,
                               const protocol::TableQuery& aQuery)
{
  const TableReplica& replica = this->replicas.Find(aQuery.table);
  const auto changes =
    aQuery.after > 0 ? this->replicas.ChangesSince(aQuery.table, aQuery.after)
                     : std::nullopt;
  if (replica.version == 0 ||
      (changes && !this->hooks.isSettled(aQuery.table))) {
    // The peer would remove rows at once that are still within their grace
    // period here.
    return;
  }
  protocol::Frame frame;
  if (changes) {
    protocol::TableChange response;
    response.__set_table(aQuery.table);
    response.__set_after(aQuery.after);
    std::ranges::transform(
      *changes, std::back_inserter(response.rows),
      [](const state::StoredRow& aRow) { return ToWire(aRow); });
    frame.__set_tableChange(response);
  } else {
    protocol::TableCopy response;
    response.__set_table(aQuery.table);
    response.__set_version(replica.version);
    std::ranges::transform(
      replica.rows, std::back_inserter(response.rows),
      [](const auto& aItem) { return ToWire(aItem.second); });
    frame.__set_tableCopy(response);
  }
  this->hooks.send(aFrom, frame);
}

// --- Catching up

bool TableReplication::IsPeerAhead(const KnownPeer& aPeer,
                                   const std::string& aTable) const
{
  return AnnouncedVersion(aPeer, aTable) > this->replicas.Find(aTable).version;
}

CatchUp& TableReplication::CatchUpOf(const std::string& aTable)
{
  return this->catchUps.try_emplace(aTable, this->hooks.now).first->second;
}

std::vector<state::HostId> TableReplication::PeersAhead(
  const std::string& aTable) const
{
  std::vector<state::HostId> peersAhead;
  for (const auto& [id, peer] : this->peers.All()) {
    if (this->connectedPeers.contains(id.value) &&
        this->IsPeerAhead(peer, aTable)) {
      peersAhead.push_back(id);
    }
  }
  // Cell members come first, as other hosts are mostly in other data centres.
  // The rest of the order differs from host to host, or all would query the
  // peer that has the newest version.
  const std::string& self = this->topology.Self().value;
  std::ranges::sort(peersAhead, std::greater{},
                    [&](const state::HostId& aHost) {
                      return std::make_pair(this->topology.IsCellMember(aHost),
                                            RendezvousScore(self, aHost.value));
                    });
  return peersAhead;
}

void TableReplication::RequestMissingChanges(const std::string& aTable)
{
  CatchUp& catchUp = this->CatchUpOf(aTable);
  if (!catchUp.IsBehind()) {
    return;
  }
  CatchUp::Situation situation;
  situation.isStoreAvailable = this->isStoreAvailable;
  situation.isFollowing = this->followed.contains(aTable);
  situation.hasLargeRow = this->replicas.HasLargeRow(aTable);
  situation.hasNoReplica = this->replicas.Find(aTable).version == 0;
  situation.storeReceivedAt = this->hooks.storeReceivedAt(aTable);
  situation.peersAhead = this->PeersAhead(aTable);
  const CatchUp::Requests requests = catchUp.TakeRequests(situation);
  if (requests.readStore) {
    this->hooks.readFullTable(aTable);
  }
  if (requests.queryPeer) {
    this->QueryPeer(*requests.queryPeer, aTable);
  }
}

void TableReplication::QueryPeer(const state::HostId& aPeer,
                                 const std::string& aTable)
{
  protocol::Frame frame;
  protocol::TableQuery query;
  query.__set_table(aTable);
  query.__set_after(this->replicas.Find(aTable).version);
  frame.__set_tableQuery(query);
  this->hooks.send(aPeer.value, frame);
}

void TableReplication::OnTimer(const std::vector<state::HostId>& aLiveMembers)
{
  this->UpdateFollowedTables(aLiveMembers);
  for (const std::string& table : ReplicatedTables()) {
    this->RequestMissingChanges(table);
  }
}

// --- Choice of followed tables

bool TableReplication::ReachesStore(const state::HostId& aHost) const
{
  const auto found = this->peers.All().find(aHost);
  return found != this->peers.All().end() && found->second.reachesStore;
}

void TableReplication::UpdateFollowedTables(
  const std::vector<state::HostId>& aLiveMembers)
{
  const bool shouldFollow = this->hostListState == HostListState::kKnown &&
                            this->topology.ShouldFollowTables(
                              aLiveMembers, [this](const state::HostId& aHost) {
                                return this->ReachesStore(aHost);
                              });
  std::set<std::string> wanted;
  if (shouldFollow || this->hostListState == HostListState::kUnavailable) {
    wanted.insert(ReplicatedTables().begin(), ReplicatedTables().end());
    // In a small deployment each host reads the host table from time to time
    // instead; see Registration.
    if (!this->topology.Cells().IsDivided()) {
      wanted.erase(kHostTable);
    }
  }
  if (wanted == this->followed) {
    return;
  }
  this->followed = std::move(wanted);
  FollowedTables versions;
  for (const std::string& table : this->followed) {
    versions[table] = this->replicas.Find(table).version;
  }
  this->hooks.follow(versions, this->topology.Cells().IsDivided() &&
                                 !this->topology.IsHub(this->topology.Self()));
}

} // namespace kumquat::node
