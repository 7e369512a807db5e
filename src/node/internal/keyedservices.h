// The keyed services of a host: its maps, and its assigners' hooks into the
// store and the upstreams. On the serving thread.

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
    // Of the store, on the serving thread again when they answer.
    std::function<void(const std::string& aTable, const std::string& aPart,
                       state::RowStore::ReadDone)>
      read;
    std::function<void(const state::RowsWrite&, state::RowStore::WriteDone)>
      write;
    std::function<void(const ownership::LeaseCommand&,
                       ownership::Assigner::CommandDone)>
      sendCommand;
    // Of Assigner::Hooks.
    std::function<double(const state::HostId&)> preference;
    std::function<void(const state::HostRef&)> requestConnection;
    // Whether this host is one of those that ask the store and tell the others.
    std::function<bool()> followsStore;
    // A map has changed here and peers should hear of it; see TakeUpdates.
    std::function<void()> publishMaps;
    // Waiting requests may find an owner now.
    std::function<void()> ownersChanged;
    std::function<void(std::string_view, std::string_view, std::string_view)>
      log;
  };

  KeyedServices(state::HostRef aSelf, std::chrono::milliseconds aMostHold,
                routing::Upstreams& aUpstreams, const Peers& aPeers,
                Hooks aHooks);

  // The services that are keyed now; a service that is gone keeps its
  // assigner, as its upstreams still hold.
  void SetServices(const std::set<state::ServiceName>& aServices);
  void OnTimer();
  // Upstreams or places have changed.
  void OnUpstreamsChanged();
  void SetStoreAvailable(bool aWell);
  void Leave();

  // Null where nothing is known of the service.
  ownership::KeyMap* FindMap(const state::ServiceName& aService);
  void OnMapUpdate(const protocol::KeyMapUpdate& aUpdate);
  // A key of a request that arrived here.
  void OnRequest(const state::ServiceName& aService, ownership::Key aKey);
  void OnKeyUses(const std::vector<protocol::KeyUse>& aUses);

  // For the digest to a peer: keys are told to their assigner only, and once.
  std::vector<protocol::KeyMapMark> MapVersions() const;
  std::vector<protocol::KeyUse> TakeKeyUses(const state::HostId& aPeer);
  // What changed in this host's maps since the last call, for everyone.
  std::vector<protocol::KeyMapUpdate> TakeMapUpdates();
  // The whole map where this host assigns it and the peer has missed a change
  // of a while ago: the changes since were of no use to it. The stored one
  // where it has none.
  std::vector<protocol::KeyMapUpdate> TakeFullMapsFor(const KnownPeer& aPeer);
  bool IsAssigner() const;
  // Of the maps that this host goes by.
  std::set<state::HostId> Assigners() const;

private:
  struct ServiceState
  {
    ownership::KeyMap map;
    std::unique_ptr<ownership::Assigner> assigner;
    std::vector<ownership::Key> recentKeys;
    // Without a map, when the stored assignment is read next. One that leaves
    // the store to others waits for a while for these to tell.
    TimePoint storedReadDueAt;
    TimePoint waitForPeersUntil;
    // The map is that of the stored assignment, read here, and peers were not
    // told yet.
    bool isStoredMapUnpublished = false;
    // Of this host's own map.
    ownership::MapVersion ownVersion;
    // What peers were told last; nothing where they need the whole.
    ownership::MapVersion publishedVersion;
    std::vector<ownership::MapRange> publishedRanges;
    // When each mark was told, the last few.
    std::deque<std::pair<TimePoint, ownership::MapVersion>> publications;
    // When a peer got the whole map.
    std::map<state::HostId, TimePoint> fullMapSentAt;
  };

  // Whether the peer goes by no map, and this host by that of the stored
  // assignment.
  bool PeerLacksMap(const ServiceState& aPart,
                    const state::ServiceName& aService,
                    const KnownPeer& aPeer) const;
  bool WasRecentlySentFullMap(const ServiceState& aPart,
                              const KnownPeer& aPeer) const;
  bool PeerMissedUpdate(const ServiceState& aPart,
                        const state::ServiceName& aService,
                        const KnownPeer& aPeer) const;

  std::unique_ptr<ownership::Assigner> MakeAssigner(
    const state::ServiceName& aService);
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
