// The keyed services of a host: for each service, the key map that the host
// uses and the assigner that may take over the assignment of its keys. Connects
// the assigners to the store, the upstreams and the peers. Runs on the serving
// thread.

#pragma once

#include "node/internal/peers.h"
#include "ownership/assigner.h"
#include "ownership/keymap.h"
#include "routing/upstreams.h"
#include "state/rowstore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace kumquat::node {

class KeyedServices
{
public:
  struct Hooks
  {
    Clock now;
    // Calls to the store. Their callbacks run on the serving thread.
    std::function<void(const std::string& aTable, const std::string& aPart,
                       state::RowStore::ReadDone)>
      read;
    std::function<void(const state::RowsWrite&, state::RowStore::WriteDone)>
      write;
    std::function<void(const ownership::LeaseCommand&,
                       ownership::Assigner::CommandDone)>
      sendCommand;
    // See Assigner::Hooks.
    std::function<double(const state::HostId&)> preference;
    std::function<void(const state::HostRef&)> requestConnection;
    // Whether this host follows tables at the store and forwards changes to
    // other hosts.
    std::function<bool()> followsStore;
    // A map of this host has changed and is to be sent to peers; see
    // TakeMapUpdates.
    std::function<void()> publishMaps;
    // Owners have changed, so waiting requests may have one now.
    std::function<void()> ownersChanged;
    // The service, what happened, and details; see Assigner::Hooks.
    std::function<void(std::string_view, std::string_view, std::string_view)>
      log;
  };

  KeyedServices(state::HostRef aSelf, std::chrono::milliseconds aMaxLease,
                routing::Upstreams& aUpstreams, const Peers& aPeers,
                Hooks aHooks);

  // Sets the services that are keyed now. A service that is no longer keyed
  // keeps its assigner, as its upstreams still have leases.
  void SetServices(const std::set<state::ServiceName>& aServices);
  void OnTimer();
  // Upstreams have changed, or data centres were taken out of service or put
  // back.
  void OnUpstreamsChanged();
  void SetStoreAvailable(bool aIsAvailable);
  // Prepares a planned stop; see Assigner::Leave.
  void Leave();

  // Null if the service is unknown.
  ownership::KeyMap* FindMap(const state::ServiceName& aService);
  // A peer has sent a map or its changes.
  void OnMapUpdate(const protocol::KeyMapUpdate& aUpdate);
  // Records the key of a request that arrived here, for the service's assigner.
  void OnRequest(const state::ServiceName& aService, ownership::Key aKey);
  // Keys of requests that arrived at some host, for an assigner on this host.
  void OnKeyUses(const std::vector<protocol::KeyUse>& aUses);

  // Versions of the maps that this host uses, for its digests.
  std::vector<protocol::KeyMapMark> MapVersions() const;
  // Removes and returns the recorded keys of the services whose assigner is
  // aPeer, for the digest to it. Each key is reported once.
  std::vector<protocol::KeyUse> TakeKeyUses(const state::HostId& aPeer);
  // Changes of this host's own maps since the last call, for all peers.
  std::vector<protocol::KeyMapUpdate> TakeMapUpdates();
  // Full maps that the peer lacks; records that they were sent. They are maps
  // that this host assigns if the peer missed a change some time ago, as it
  // can't apply the later changes, and maps from the stored assignment if the
  // peer has no map.
  std::vector<protocol::KeyMapUpdate> TakeFullMapsFor(const KnownPeer& aPeer);
  // Whether this host is the assigner of any service.
  bool IsAssigner() const;
  // The assigners of the maps that this host uses.
  std::set<state::HostId> Assigners() const;

private:
  struct ServiceState
  {
    ownership::KeyMap map;
    std::unique_ptr<ownership::Assigner> assigner;
    // Keys of requests that arrived here, not reported to the assigner yet.
    std::vector<ownership::Key> recentKeys;
    // While there is no map: when the stored assignment is read next. A host
    // that does not follow the store waits until waitForPeersUntil for a peer
    // to send it.
    TimePoint storedReadDueAt;
    TimePoint waitForPeersUntil;
    // The map was made from the stored assignment that this host has read, and
    // was not sent to peers yet.
    bool isStoredMapUnpublished = false;
    // Version of the map that this host's assigner made.
    ownership::MapVersion ownVersion;
    // Version and ranges that were last sent to peers; the version is empty if
    // they need the full map.
    ownership::MapVersion publishedVersion;
    std::vector<ownership::MapRange> publishedRanges;
    // The last few versions that were sent to peers, with the times of sending.
    std::deque<std::pair<TimePoint, ownership::MapVersion>> publications;
    // When each peer was last sent the full map.
    std::map<state::HostId, TimePoint> fullMapSentAt;
  };

  // Whether the peer has no map of the service while this host uses one made
  // from the stored assignment.
  bool PeerLacksMap(const ServiceState& aEntry,
                    const state::ServiceName& aService,
                    const KnownPeer& aPeer) const;
  bool WasRecentlySentFullMap(const ServiceState& aEntry,
                              const KnownPeer& aPeer) const;
  // Whether the peer lacks a version of this host's own map that was sent
  // longer ago than digests take to confirm it.
  bool PeerMissedUpdate(const ServiceState& aEntry,
                        const state::ServiceName& aService,
                        const KnownPeer& aPeer) const;

  std::unique_ptr<ownership::Assigner> MakeAssigner(
    const state::ServiceName& aService);
  // All upstreams of the service, with their capacity.
  std::vector<ownership::OwnerCandidate> CandidatesFor(
    const state::ServiceName& aService);
  void ReadRows(const state::ServiceName& aService,
                const ownership::Assigner::ReadDone& aDone);
  void WriteRows(const state::ServiceName& aService,
                 const ownership::AssignmentWrite& aWrite,
                 ownership::Assigner::WriteDone aDone);
  void PublishMap(const state::ServiceName& aService);
  void UseStoredAssignment(const state::ServiceName& aService);

  const state::HostRef self;
  const std::chrono::milliseconds maxLease;
  routing::Upstreams& upstreams;
  const Peers& peers;
  const Hooks hooks;
  std::map<state::ServiceName, ServiceState> services;
};

} // namespace kumquat::node
