// How the store's tables get round among hosts: who follows them at the store,
// whom a host tells of a change, and how it gets what it lacks. Pure: the
// clock, the store's news and the peers' frames come in, frames go out by
// hooks. On the serving thread.
//
// Up to some twenty hosts each follows the tables itself. Beyond that the hubs
// do, whatever the number of hosts, and each passes news on to the hosts that
// it is the home of. Where no hub is heard, or none reaches the store, two
// hosts of each cell follow the tables and tell their cell. Whoever missed a
// change learns of it by the versions in digests, and has it from a peer
// (CatchUp). A copy never goes back, so no way of getting it can undo what came
// by another.

#pragma once

#include "framework/clock.h"
#include "node/internal/catchup.h"
#include "node/internal/peers.h"
#include "node/internal/peertopology.h"
#include "node/internal/tablereplicas.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat::node {

// Tables that are followed, by the version that is known of each.
using FollowedTables = std::map<std::string, state::Version>;

// What a host knows of the others.
enum class HostListState
{
  // Nothing yet; it follows no table, as others most likely do.
  kUnknown,
  // Nothing, and the store did not tell: it follows the tables until it does.
  kUnavailable,
  kKnown,
};

class TableReplication
{
public:
  struct Hooks
  {
    Clock now;
    // To one host, or to several that have a connection.
    std::function<void(const std::string&, const protocol::Frame&)> send;
    std::function<void(const std::vector<std::string>&, const protocol::Frame&)>
      sendToAll;
    // This host follows these tables at the store, and no others; as one of
    // many that stand in for the hubs, which must not press a failing store.
    std::function<void(const FollowedTables&, bool aIsStandIn)> follow;
    // Asks the store for the whole table.
    std::function<void(const std::string&)> readFullTable;
    // When bytes of an answer about the table last came from the store.
    std::function<TimePoint(const std::string&)> storeReceivedAt;
    // Rows have changed, removed ones included; what is gone may be used on
    // for the grace.
    std::function<void(const std::string&, const std::vector<state::StoredRow>&,
                       std::chrono::milliseconds)>
      rowsChanged;
    // Whether what this host tells of the table is settled; rows that are gone
    // may still be in grace.
    std::function<bool(const std::string&)> isSettled;
    // How long this host had lacked a change that a peer had named.
    std::function<void(const std::string&, Duration)> caughtUp;
    // A change is not passed on and has to be named by the next digest, now.
    std::function<void()> announceVersions;
  };

  // All outlive this.
  // aIsFirstStart: of all hosts; see Registration.
  TableReplication(PeerTopology& aNeighbours, const Peers& aPeers,
                   const std::set<std::string>& aReachable, bool aIsFirstStart,
                   Hooks aHooks);

  const TableReplica& Find(const std::string& aTable) const
  {
    return this->tables.Find(aTable);
  }

  // Whether this host follows tables at the store.
  bool IsFollowing() const { return !this->followed.empty(); }

  // From the store, or as a peer has it.
  void OnUpdate(const TableUpdate& aNews);
  void OnReadEnded(const std::string& aTable, Duration aTook);
  void SetStoreAvailable(bool aWell) { this->isStoreWell = aWell; }
  void SetHostListState(HostListState aStanding);

  // A connection to the peer is there.
  void OnPeerUp(const state::HostId& aPeer);
  void OnQuery(const std::string& aFrom, const protocol::TableQuery& aQuery);
  void OnCopy(const protocol::TableCopy& aCopy);
  void OnChange(const protocol::TableChange& aChange);
  // The peer's digest was taken; it names versions of tables.
  void OnPeerVersions(const KnownPeer& aPeer);

  void OnTimer(const std::vector<state::HostId>& aLiveMates);

  // The versions to be named to peers.
  void AddVersionsTo(protocol::HostDigest& aDigest);

private:
  bool ReachesStore(const state::HostId& aHost) const;
  void ChooseFollowed(const std::vector<state::HostId>& aLiveMates);
  void PassOn(const TableUpdate& aNews, state::Version aBefore);
  bool IsAhead(const KnownPeer& aPeer, const std::string& aTable) const;
  std::vector<state::HostId> PeersAhead(const std::string& aTable) const;
  CatchUp& CatchUpOf(const std::string& aTable);
  void CatchUpWith(const std::string& aTable);
  void AskPeer(const state::HostId& aPeer, const std::string& aTable);

  PeerTopology& neighbours;
  const Peers& peers;
  // Peers with a connection.
  const std::set<std::string>& reachable;
  const bool isFirstStart;
  const Hooks hooks;
  TableReplicas tables;
  std::map<std::string, CatchUp> catchUps;
  std::set<std::string> followed;
  bool isStoreWell = true;
  HostListState standing = HostListState::kUnknown;
  // Of each table, what was named last; see isSettled.
  std::map<std::string, state::Version> named;
};

} // namespace kumquat::node
