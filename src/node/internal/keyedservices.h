// The keyed services of a host: for each part of a service's keys, the key map
// that the host uses and the assigner that may take over the assignment of the
// part's keys. Connects the assigners to the store, the upstreams and the
// peers. Runs on the serving thread.
//
// How a service's keys are divided into parts, the layout, follows the number
// of its upstreams. It is agreed on in the store, and peers announce it by the
// names of the parts. A host that learns of a newer layout leaves the parts of
// the one before to their assigners, which end once a new part has closed them,
// and uses their maps until it has those of the new parts.

#pragma once

#include "node/internal/keyrows.h"
#include "node/internal/peers.h"
#include "ownership/assigner.h"
#include "ownership/keymap.h"
#include "ownership/ownerpaces.h"
#include "routing/upstreams.h"
#include "state/rowstore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::node {

class KeyedServices
{
public:
  struct Hooks
  {
    Clock now;
    KeyRowStore store;
    std::function<void(const ownership::LeaseCommand&,
                       ownership::Assigner::CommandDone)>
      sendCommand;
    // Requests per second that the upstream takes from all hosts together, if
    // it names a limit.
    std::function<std::optional<double>(const state::UpstreamId&)> limitOf;
    // Part of the hosts that the upstream has asked for rest, 0 to 1.
    std::function<double(const state::UpstreamId&)> restingPart;
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
    // Whether each host receives only a part of an owner's responses, so that
    // hosts report them to assigners. May be empty if it does not.
    std::function<bool()> reportsOwnerTimes;
    // See Assigner::Hooks. May be empty.
    std::function<void(ownership::MoveReason, bool)> countMove;
    // The part, what happened, and details; see Assigner::Hooks.
    std::function<void(std::string_view, std::string_view, std::string_view)>
      log;
  };

  KeyedServices(state::HostRef aSelf, std::chrono::milliseconds aMaxLease,
                routing::Upstreams& aUpstreams, const Peers& aPeers,
                Hooks aHooks);

  // Sets the services that are keyed now. A service that is no longer keyed
  // keeps its assigners, as its upstreams still have leases.
  void SetServices(const std::set<state::ServiceName>& aServices);
  void OnTimer();
  // Upstreams have changed, or data centres were taken out of service or put
  // back.
  void OnUpstreamsChanged();
  void SetStoreAvailable(bool aIsAvailable);
  // Prepares a planned stop; see Assigner::Leave.
  void Leave();

  // No owner if the service is unknown.
  ownership::KeyMap::Owner OwnerOf(const state::ServiceName& aService,
                                   ownership::Key aKey) const;
  // See KeyMap::OnNotOwner.
  void OnNotOwner(const state::ServiceName& aService, ownership::Key aKey);
  // A peer has sent a map or its changes.
  void OnMapUpdate(const protocol::KeyMapUpdate& aUpdate);
  // A peer's digest was recorded; it names the parts that the peer knows.
  void OnPeerParts(const KnownPeer& aPeer);
  // Records the key of a request that arrived here, for the part's assigner.
  void OnRequest(const state::ServiceName& aService, ownership::Key aKey);
  // Keys of requests that arrived at some host, for an assigner on this host.
  void OnKeyUses(const std::vector<protocol::KeyUse>& aUses);

  // Versions of the maps that this host uses, for its digests: of all parts, or
  // only of those that this host or aPeer assigns.
  std::vector<protocol::KeyMapMark> MapVersions() const;
  std::vector<protocol::KeyMapMark> MapVersionsFor(
    const state::HostId& aPeer) const;
  // Whether there are so many parts that digests should seldom name all.
  bool IsAnyLayoutDivided() const;
  // Removes and returns the recorded keys of the parts whose assigner is aPeer,
  // for the digest to it. Each key is reported once.
  std::vector<protocol::KeyUse> TakeKeyUses(const state::HostId& aPeer);
  // Removes and returns what the owners took whose keys aPeer assigns.
  std::vector<protocol::OwnerTime> TakeOwnerTimes(const state::HostId& aPeer);
  // What owners took for some host, for an assigner on this host.
  void OnOwnerTimes(const std::vector<protocol::OwnerTime>& aTimes);
  // Reports of times that cannot be true, since the start.
  std::int64_t IgnoredOwnerTimes() const { return this->ignoredOwnerTimes; }
  struct PaceSpread
  {
    double slowest = 1;
    double fastest = 1;
  };
  // Of the paces that this host's assigners use.
  PaceSpread OwnerPaceSpread() const;
  // Changes of this host's own maps since the last call, for all peers.
  std::vector<protocol::KeyMapUpdate> TakeMapUpdates();
  // Full maps that the peer lacks; records that they were sent. They are maps
  // that this host assigns if the peer missed a change some time ago, as it
  // can't apply the later changes, and maps from the stored assignment if the
  // peer has no map.
  std::vector<protocol::KeyMapUpdate> TakeFullMapsFor(const KnownPeer& aPeer);
  // Whether this host is the assigner of any part.
  bool IsAssigner() const;
  // The assigners of the maps that this host uses.
  std::set<state::HostId> Assigners() const;

private:
  struct PartState
  {
    state::ServiceName service;
    ownership::KeyPart part;
    std::string name;
    ownership::KeyMap map;
    std::unique_ptr<ownership::Assigner> assigner;
    // Used while this host is the assigner.
    ownership::OwnerPaces paces;
    PaceSpread paceSpread;
    // Set when the layout was replaced; see RemoveRetiredParts.
    std::optional<TimePoint> retiredAt;
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

    bool HasMap() const
    {
      return this->map.CurrentVersion().assignmentVersion > 0;
    }
  };

  struct LayoutState
  {
    ownership::KeyLayout layout;
    // The parts of the layout, by index.
    std::vector<PartState*> parts;
    bool isChanging = false;
    TimePoint checkDueAt;
  };

  // Whether the peer has no map of the part while this host uses one made from
  // the stored assignment.
  bool PeerLacksMap(const PartState& aEntry, const std::string& aName,
                    const KnownPeer& aPeer) const;
  bool WasRecentlySentFullMap(const PartState& aEntry,
                              const KnownPeer& aPeer) const;
  // Whether the peer lacks a version of this host's own map that was sent
  // longer ago than digests take to confirm it.
  bool PeerMissedUpdate(const PartState& aEntry, const std::string& aName,
                        const KnownPeer& aPeer) const;

  PartState* AddPart(const state::ServiceName& aService,
                     const ownership::KeyPart& aPart);
  // Uses the layout if it is newer than the one known.
  void AdoptLayout(const state::ServiceName& aService,
                   const ownership::KeyLayout& aLayout);
  void ConsiderLayout(const state::ServiceName& aService, LayoutState& aState);
  std::size_t CountUsableUpstreams(const state::ServiceName& aService);
  void ChangeLayout(const state::ServiceName& aService,
                    const ownership::KeyLayout& aNext);
  void ReadLayout(const state::ServiceName& aService);
  void RemoveRetiredParts();
  std::vector<PartState*> AllParts() const;
  // The part with the key whose map is in use; null if the service is unknown.
  PartState* FindPart(const state::ServiceName& aService,
                      ownership::Key aKey) const;
  // The part with the key in the layout before, if it has a map.
  PartState* FindRetiredPart(const state::ServiceName& aService,
                             ownership::Key aKey) const;

  std::unique_ptr<ownership::Assigner> MakeAssigner(PartState& aEntry);
  // The upstreams that belong to the part, with their capacity, and those that
  // still hold keys of it.
  std::vector<ownership::OwnerCandidate> CandidatesFor(PartState& aEntry);
  bool ReportsOwnerTimes() const
  {
    return this->hooks.reportsOwnerTimes && this->hooks.reportsOwnerTimes();
  }
  // The pace of the upstream if hosts report what owners take.
  std::optional<double> PaceOf(const PartState& aEntry,
                               const routing::UpstreamState& aUpstream) const;
  // The pace as this host's own estimate has it.
  static double PaceFactor(const routing::UpstreamState& aUpstream,
                           double aTypicalMs, TimePoint aNow);
  static void UpdatePaceSpread(
    PartState& aEntry, const std::vector<ownership::OwnerCandidate>& aOwners);
  // The part whose keys the upstream may own; null if its service is unknown.
  PartState* FindPartOf(const routing::UpstreamState& aUpstream) const;
  void UpdateTimedServices();
  void ReadRows(const PartState& aEntry,
                const ownership::Assigner::ReadDone& aDone);
  void PublishMap(PartState& aEntry);
  void UseStoredAssignment(PartState& aEntry);
  protocol::KeyMapMark MakeMark(const std::string& aName,
                                const PartState& aEntry) const;

  const state::HostRef self;
  const std::chrono::milliseconds maxLease;
  routing::Upstreams& upstreams;
  const Peers& peers;
  const Hooks hooks;
  std::map<state::ServiceName, LayoutState> layouts;
  std::int64_t ignoredOwnerTimes = 0;
  // By name; see PartName. The parts of the layouts in use, and retired ones.
  std::map<std::string, std::unique_ptr<PartState>> parts;
};

} // namespace kumquat::node
