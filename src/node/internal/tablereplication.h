// Replicates the store's tables among the hosts: decides whether this host
// follows the tables at the store, to which peers it forwards changes, and how
// it gets changes that it lacks. It does no I/O: the clock, the updates from
// the store and the peers' frames are passed in, and frames are sent through
// hooks. Used on the serving thread.
//
// Up to some twenty hosts each follow the tables themselves. Beyond that only
// the hubs follow them, whatever the number of hosts, and each hub forwards
// changes to the hosts that are assigned to it. Where no hub is heard, or none
// reaches the store, two hosts of each cell follow the tables and forward
// changes to their cell. A host that missed a change learns of it from the
// versions in digests and requests it from a peer (CatchUp). A replica never
// goes back to an older version, so an update that arrives by one path can't
// undo one that came by another.

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

// Tables to follow at the store, each with the version that is known of it.
using FollowedTables = std::map<std::string, state::Version>;

// Whether this host knows the list of hosts.
enum class HostListState
{
  // Not read yet. The host follows no table, as others most likely do.
  kUnknown,
  // Not known, as the read from the store failed. The host follows the tables
  // itself until it is known.
  kUnavailable,
  kKnown,
};

class TableReplication
{
public:
  struct Hooks
  {
    Clock now;
    // Sends a frame to one host, or to several that are connected.
    std::function<void(const std::string&, const protocol::Frame&)> send;
    std::function<void(const std::vector<std::string>&, const protocol::Frame&)>
      sendToAll;
    // Follows these tables at the store, and no others. aIsStandIn: this host
    // is one of many that follow in place of the hubs, and they must not
    // overload a failing store.
    std::function<void(const FollowedTables&, bool aIsStandIn)> follow;
    // Requests the full table from the store.
    std::function<void(const std::string&)> readFullTable;
    // Time at which the last bytes of a store response about the table arrived.
    std::function<TimePoint(const std::string&)> storeReceivedAt;
    // Rows have changed, removed ones included. Removed rows may still be used
    // during the grace period.
    std::function<void(const std::string&, const std::vector<state::StoredRow>&,
                       std::chrono::milliseconds)>
      rowsChanged;
    // Whether this host no longer uses any removed row of the table, that is,
    // none is within its grace period.
    std::function<bool(const std::string&)> isSettled;
    // Reports how long this host lacked a change that a peer had announced.
    std::function<void(const std::string&, Duration)> caughtUp;
    // Sends a digest with the new versions now, as a change is not forwarded.
    std::function<void()> announceVersions;
  };

  // All references must outlive this object. aIsFirstStart: all hosts start for
  // the first time; see Registration.
  TableReplication(PeerTopology& aTopology, const Peers& aPeers,
                   const std::set<std::string>& aConnectedPeers,
                   bool aIsFirstStart, Hooks aHooks);

  const TableReplica& Find(const std::string& aTable) const
  {
    return this->replicas.Find(aTable);
  }

  // Whether this host follows tables at the store.
  bool IsFollowing() const { return !this->followed.empty(); }

  // Applies an update from the store or from a peer.
  void OnUpdate(const TableUpdate& aUpdate);
  void OnReadEnded(const std::string& aTable, Duration aTook);
  void SetStoreAvailable(bool aIsAvailable)
  {
    this->isStoreAvailable = aIsAvailable;
  }
  void SetHostListState(HostListState aState);

  // A connection to the peer was established.
  void OnPeerUp(const state::HostId& aPeer);
  void OnQuery(const std::string& aFrom, const protocol::TableQuery& aQuery);
  void OnCopy(const protocol::TableCopy& aCopy);
  void OnChange(const protocol::TableChange& aChange);
  // A digest of the peer was recorded; it announces versions of tables.
  void OnPeerVersions(const KnownPeer& aPeer);

  void OnTimer(const std::vector<state::HostId>& aLiveMembers);

  // Sets the table versions that a digest announces to peers.
  void AddVersionsTo(protocol::HostDigest& aDigest);

private:
  bool ReachesStore(const state::HostId& aHost) const;
  void UpdateFollowedTables(const std::vector<state::HostId>& aLiveMembers);
  void ForwardUpdate(const TableUpdate& aUpdate, state::Version aBefore);
  bool IsPeerAhead(const KnownPeer& aPeer, const std::string& aTable) const;
  std::vector<state::HostId> PeersAhead(const std::string& aTable) const;
  CatchUp& CatchUpOf(const std::string& aTable);
  void RequestMissingChanges(const std::string& aTable);
  void QueryPeer(const state::HostId& aPeer, const std::string& aTable);

  PeerTopology& topology;
  const Peers& peers;
  // Peers with an open connection.
  const std::set<std::string>& connectedPeers;
  const bool isFirstStart;
  const Hooks hooks;
  TableReplicas replicas;
  std::map<std::string, CatchUp> catchUps;
  std::set<std::string> followed;
  bool isStoreAvailable = true;
  HostListState hostListState = HostListState::kUnknown;
  // The version of each table that was announced last; see isSettled.
  std::map<std::string, state::Version> announcedVersions;
};

} // namespace kumquat::node
