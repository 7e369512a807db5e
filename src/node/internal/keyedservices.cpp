// Layouts, owner candidates and key maps of keyed services.

#include "node/internal/keyedservices.h"

#include "node/internal/keypredecessors.h"

#include "protocol/errorkind.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::node {

using ownership::AssignmentRows;
using ownership::KeyLayout;
using ownership::KeyPart;
using state::ServiceName;

namespace {

// Limit of the recorded keys of a part between two digests. If more requests
// arrive, the first ones serve as a sample.
constexpr std::size_t kMaxRecentKeys = 200;
// A peer that does not use a change sent longer ago than this has missed it, as
// digests are sent at least every 0.5 s.
constexpr std::chrono::milliseconds kUpdateMissedAfter{ 800 };
// Interval of reads of the stored assignment by a host without a map.
constexpr std::chrono::milliseconds kStoredReadInterval{ 1000 };
// How long a host that does not follow the store waits for peers to send the
// stored assignment. The few hosts that follow the store read it as soon as
// they know of the service.
constexpr std::chrono::milliseconds kWaitForPeers{ 5000 };
// A host that does not follow the store lets the hubs, which do, claim first.
constexpr std::chrono::milliseconds kClaimDelayBehindHubs{ 3000 };
// Interval at which the assigner of the first part checks whether the layout
// suits the number of upstreams.
constexpr std::chrono::milliseconds kLayoutCheckInterval{ 1000 };
// A retired part is kept for longer than any call of its assigner takes.
constexpr std::chrono::milliseconds kRetiredPartKept{ 30'000 };

} // namespace

KeyedServices::KeyedServices(state::HostRef aSelf,
                             std::chrono::milliseconds aMaxLease,
                             routing::Upstreams& aUpstreams,
                             const Peers& aPeers, Hooks aHooks)
  : self(std::move(aSelf))
  , maxLease(aMaxLease)
  , upstreams(aUpstreams)
  , peers(aPeers)
  , hooks(std::move(aHooks))
{
}

void KeyedServices::SetServices(const std::set<ServiceName>& aServices)
{
  for (const ServiceName& service : aServices) {
    const auto [found, isNew] = this->layouts.try_emplace(service);
    if (isNew) {
      found->second.parts.push_back(this->AddPart(service, {}));
    }
  }
}

// --- Layouts

KeyedServices::PartState* KeyedServices::AddPart(const ServiceName& aService,
                                                 const KeyPart& aPart)
{
  auto entry = std::make_unique<PartState>();
  entry->service = aService;
  entry->part = aPart;
  entry->name = PartName(aService, aPart);
  entry->assigner = this->MakeAssigner(*entry);
  entry->waitForPeersUntil = this->hooks.now() + kWaitForPeers;
  PartState* added = entry.get();
  this->parts[added->name] = std::move(entry);
  return added;
}

void KeyedServices::AdoptLayout(const ServiceName& aService,
                                const KeyLayout& aLayout)
{
  LayoutState& state = this->layouts[aService];
  if (!state.parts.empty() && aLayout.generation <= state.layout.generation) {
    return;
  }
  for (PartState* part : state.parts) {
    part->retiredAt = this->hooks.now();
    part->assigner->Leave();
  }
  state.layout = aLayout;
  state.parts.clear();
  std::ranges::transform(
    PartsOf(aLayout), std::back_inserter(state.parts),
    [&](const KeyPart& aPart) { return this->AddPart(aService, aPart); });
  this->hooks.log(aService.value, "layout", SerializeLayout(aLayout));
}

void KeyedServices::OnPeerParts(const KnownPeer& aPeer)
{
  for (const auto& [name, version] : aPeer.mapVersions) {
    const ownership::NamedPart named = ownership::ParsePartName(name);
    if (named.part.layout.IsDivided()) {
      this->AdoptLayout(named.service, named.part.layout);
    }
  }
}

std::size_t KeyedServices::CountUsableUpstreams(const ServiceName& aService)
{
  const auto& all = this->upstreams.ForService(aService).all;
  return static_cast<std::size_t>(
    std::ranges::count_if(all, [this](const routing::UpstreamState* aOne) {
      return this->upstreams.IsUsable(*aOne);
    }));
}

// The assigner of the first part decides. A part that was never assigned could
// not tell its successors which leases are left from the layout before it, so
// the next change waits until all parts are.
void KeyedServices::ConsiderLayout(const ServiceName& aService,
                                   LayoutState& aState)
{
  const TimePoint now = this->hooks.now();
  if (now < aState.checkDueAt || aState.isChanging ||
      !aState.parts.front()->assigner->IsAssigner()) {
    return;
  }
  aState.checkDueAt = now + kLayoutCheckInterval;
  const KeyLayout next = ownership::SuitableLayout(
    aState.layout, this->CountUsableUpstreams(aService));
  if (next != aState.layout &&
      std::ranges::all_of(aState.parts, &PartState::HasMap)) {
    this->ChangeLayout(aService, next);
  }
}

void KeyedServices::ChangeLayout(const ServiceName& aService,
                                 const KeyLayout& aNext)
{
  this->layouts.at(aService).isChanging = true;
  const auto end = [this, aService](const KeyLayout& aLayout) {
    this->layouts.at(aService).isChanging = false;
    this->AdoptLayout(aService, aLayout);
  };
  ReadKeyRows(
    this->hooks.store, aService.value,
    [this, aService, aNext, end](const Result<KeyRows>& aRows) {
      if (!aRows || aRows->layout.generation + 1 != aNext.generation) {
        end(aRows ? aRows->layout : KeyLayout{});
        return;
      }
      WriteLayoutRow(
        this->hooks.store, aService, aRows->layoutVersion, aNext,
        [aNext, end](state::WriteOutcome aOutcome, state::Version) {
          const bool isWritten = aOutcome == state::WriteOutcome::kWritten;
          end(isWritten ? aNext : KeyLayout{});
        });
    });
}

// A part was closed, and no peer has announced the layout that replaced it.
void KeyedServices::ReadLayout(const ServiceName& aService)
{
  ReadKeyRows(this->hooks.store, aService.value,
              [this, aService](const Result<KeyRows>& aRows) {
                if (aRows && aRows->layout.IsDivided()) {
                  this->AdoptLayout(aService, aRows->layout);
                }
              });
}

void KeyedServices::RemoveRetiredParts()
{
  const TimePoint now = this->hooks.now();
  std::erase_if(this->parts, [now](const auto& aItem) {
    const PartState& entry = *aItem.second;
    return entry.retiredAt && !entry.assigner->IsAssigner() &&
           now - *entry.retiredAt > kRetiredPartKept;
  });
}

// Until the new part has a map, the one with the key in the layout before is
// used: its upstreams keep their leases while the part changes its assigner.
KeyedServices::PartState* KeyedServices::FindPart(const ServiceName& aService,
                                                  ownership::Key aKey) const
{
  const auto found = this->layouts.find(aService);
  if (found == this->layouts.end()) {
    return nullptr;
  }
  const KeyPart part = ownership::FindPart(found->second.layout, aKey);
  PartState* current =
    found->second.parts.at(static_cast<std::size_t>(part.index));
  if (current->HasMap() || !part.layout.IsDivided()) {
    return current;
  }
  PartState* retired = this->FindRetiredPart(aService, aKey);
  return retired == nullptr ? current : retired;
}

KeyedServices::PartState* KeyedServices::FindRetiredPart(
  const ServiceName& aService, ownership::Key aKey) const
{
  const auto found = std::ranges::find_if(this->parts, [&](const auto& aItem) {
    const PartState& entry = *aItem.second;
    return entry.service == aService && entry.retiredAt && entry.HasMap() &&
           entry.part.Contains(aKey);
  });
  return found == this->parts.end() ? nullptr : found->second.get();
}

// --- Assigners

// aEntry is kept for longer than any call of its assigner takes; see
// RemoveRetiredParts.
std::unique_ptr<ownership::Assigner> KeyedServices::MakeAssigner(
  PartState& aEntry)
{
  PartState* const entry = &aEntry;
  ownership::Assigner::Hooks assignerHooks;
  assignerHooks.now = this->hooks.now;
  assignerHooks.read = [this,
                        entry](const ownership::Assigner::ReadDone& aDone) {
    this->ReadRows(*entry, aDone);
  };
  assignerHooks.write = [this, entry](const ownership::AssignmentWrite& aWrite,
                                      ownership::Assigner::WriteDone aDone) {
    WriteAssignmentRows(this->hooks.store, entry->name, aWrite,
                        std::move(aDone));
  };
  assignerHooks.sendCommand = this->hooks.sendCommand;
  assignerHooks.candidates = [this, entry] {
    return this->CandidatesFor(*entry);
  };
  assignerHooks.peers = [this, entry] {
    return this->peers.PeerStatusesFor(entry->name);
  };
  assignerHooks.publish = [this, entry] { this->PublishMap(*entry); };
  assignerHooks.preference = this->hooks.preference;
  assignerHooks.requestConnection = this->hooks.requestConnection;
  assignerHooks.claimDelay = [this] {
    return this->hooks.followsStore() ? Duration(0)
                                      : Duration(kClaimDelayBehindHubs);
  };
  assignerHooks.needsOtherLayout = [this, entry](std::size_t aUpstreams) {
    const KeyLayout& layout = entry->part.layout;
    const KeyLayout next = ownership::SuitableLayout(layout, aUpstreams);
    if (layout.IsDivided() || next == layout) {
      return false;
    }
    this->ChangeLayout(entry->service, next);
    return true;
  };
  assignerHooks.log = [this, entry](std::string_view aWhat,
                                    std::string_view aDetail) {
    this->hooks.log(entry->name, aWhat, aDetail);
  };
  return std::make_unique<ownership::Assigner>(
    ownership::Assigner::Options{ entry->name, entry->part, this->self,
                                  this->maxLease },
    std::move(assignerHooks));
}

std::vector<ownership::OwnerCandidate> KeyedServices::CandidatesFor(
  const PartState& aEntry)
{
  const KeyPart& part = aEntry.part;
  const TimePoint now = this->hooks.now();
  const std::vector<routing::UpstreamState*>& all =
    this->upstreams.ForService(aEntry.service).all;
  const double typicalMs =
    this->upstreams.TypicalServiceMs(aEntry.service, now);
  std::vector<ownership::OwnerCandidate> candidates;
  for (const routing::UpstreamState* upstream : all) {
    const bool isMember =
      PartOfUpstream(part.layout, upstream->entry.id) == part.index;
    if (!isMember && !aEntry.assigner->MayHoldKeys(upstream->entry.id)) {
      continue;
    }
    ownership::OwnerCandidate candidate;
    candidate.holder = { upstream->entry.id, upstream->entry.startedMs };
    candidate.address = upstream->entry.address;
    candidate.mayOwn = isMember && this->upstreams.IsUsable(*upstream);
    candidate.cold = upstream->coldUntil > now;
    candidate.capacity = upstream->entry.slots;
    if (upstream->serviceMs > 0) {
      // Limited, as the service time is estimated from few responses, and only
      // those that this host received.
      candidate.capacity *= std::clamp(
        typicalMs / routing::EstimatedServiceMs(*upstream, typicalMs, now), 0.4,
        2.0);
    }
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

// The first claim of a part of a later layout takes over the keys of the parts
// before.
void KeyedServices::ReadRows(const PartState& aEntry,
                             const ownership::Assigner::ReadDone& aDone)
{
  ReadKeyRows(this->hooks.store, aEntry.name,
              [this, entry = &aEntry, aDone](const Result<KeyRows>& aRows) {
                if (!aRows) {
                  aDone(aRows.error());
                  return;
                }
                if (aRows->layout.IsDivided()) {
                  this->AdoptLayout(entry->service, aRows->layout);
                } else if (aRows->assignment.isClosed) {
                  this->ReadLayout(entry->service);
                }
                const bool isNew = aRows->assignment.claimVersion == 0 &&
                                   aRows->assignment.assignmentVersion == 0;
                if (isNew && entry->part.layout.IsDivided()) {
                  TakeOverKeys(this->hooks.store, entry->service, entry->part,
                               aDone);
                } else {
                  aDone(aRows->assignment);
                }
              });
}

// --- Maps

void KeyedServices::PublishMap(PartState& aEntry)
{
  const ownership::MapVersion version = aEntry.assigner->CurrentMapVersion();
  // Another host's map was in use in the meantime, so peers have that map and
  // not the one that this host sent last.
  if (aEntry.map.CurrentVersion() != aEntry.ownVersion) {
    aEntry.publishedVersion = {};
  }
  if (aEntry.map.ReplaceIfNewer(version, aEntry.assigner->CurrentMap(),
                                this->hooks.now())) {
    aEntry.ownVersion = version;
    this->hooks.publishMaps();
    this->hooks.ownersChanged();
  }
}

std::vector<protocol::KeyMapUpdate> KeyedServices::TakeMapUpdates()
{
  const TimePoint now = this->hooks.now();
  std::vector<protocol::KeyMapUpdate> updates;
  for (auto& [name, state] : this->parts) {
    PartState& entry = *state;
    if (std::exchange(entry.isStoredMapUnpublished, false)) {
      updates.push_back(
        ToWire(name, entry.map.CurrentVersion(), entry.map.Ranges()));
    }
    // The map has not changed, or it is another host's by now.
    if (entry.ownVersion == entry.publishedVersion ||
        entry.map.CurrentVersion() != entry.ownVersion) {
      continue;
    }
    const bool isFull = entry.publishedVersion.assignmentVersion == 0;
    if (isFull) {
      entry.publications.clear();
    }
    protocol::KeyMapUpdate update =
      ToWire(name, entry.ownVersion,
             isFull ? entry.map.Ranges()
                    : ownership::ChangedRanges(entry.publishedRanges,
                                               entry.map.Ranges()));
    if (!isFull) {
      update.__set_base(ToWire(name, entry.publishedVersion));
    }
    updates.push_back(std::move(update));
    entry.publishedVersion = entry.ownVersion;
    entry.publishedRanges = entry.map.Ranges();
    entry.publications.emplace_back(now, entry.ownVersion);
    while (entry.publications.size() > 1 &&
           now - entry.publications[1].first > kUpdateMissedAfter) {
      entry.publications.pop_front();
    }
  }
  return updates;
}

// Prevents this failure: all hosts lose power for a second. They take another
// 1.3 s to agree on an assigner, and until then they refused every keyed
// request, though the upstreams still had their leases. A host without a map
// therefore uses the holders in the stored assignment; an upstream whose lease
// has ended refuses to run the requests.
void KeyedServices::UseStoredAssignment(PartState& aEntry)
{
  aEntry.storedReadDueAt = this->hooks.now() + kStoredReadInterval;
  ReadKeyRows(this->hooks.store, aEntry.name,
              [this, entry = &aEntry](const Result<KeyRows>& aRows) {
                if (!aRows) {
                  return;
                }
                if (aRows->layout.IsDivided()) {
                  this->AdoptLayout(entry->service, aRows->layout);
                }
                // If no keys were assigned yet, the host that assigns them
                // sends the map to everyone.
                entry->storedReadDueAt = TimePoint::max();
                const AssignmentRows& rows = aRows->assignment;
                if (rows.assignmentVersion == 0) {
                  return;
                }
                const auto assignment =
                  ownership::ParseAssignment(rows.assignmentText, entry->part);
                if (!assignment) {
                  return;
                }
                auto map = ownership::MapFromAssignment(*assignment,
                                                        rows.assignmentVersion);
                if (entry->map.ReplaceIfNewer(
                      map.version, std::move(map.ranges), this->hooks.now())) {
                  entry->isStoredMapUnpublished = this->hooks.followsStore();
                  this->hooks.log(entry->name, "stored-holders",
                                  "no assigner was heard yet");
                  this->hooks.ownersChanged();
                }
              });
}

// A call that ends at once may change the layout and add parts.
std::vector<KeyedServices::PartState*> KeyedServices::AllParts() const
{
  std::vector<PartState*> all;
  std::ranges::transform(this->parts, std::back_inserter(all),
                         [](const auto& aItem) { return aItem.second.get(); });
  return all;
}

void KeyedServices::OnTimer()
{
  const TimePoint now = this->hooks.now();
  for (PartState* entry : this->AllParts()) {
    const bool isDue =
      now >= entry->storedReadDueAt &&
      (now >= entry->waitForPeersUntil || this->hooks.followsStore());
    if (!entry->HasMap() && isDue && !entry->retiredAt) {
      this->UseStoredAssignment(*entry);
    }
    entry->assigner->OnTimer();
  }
  for (auto& [service, layout] : this->layouts) {
    this->ConsiderLayout(service, layout);
  }
  this->RemoveRetiredParts();
}

void KeyedServices::OnUpstreamsChanged()
{
  for (PartState* entry : this->AllParts()) {
    entry->assigner->OnMembershipChange();
  }
}

void KeyedServices::SetStoreAvailable(bool aIsAvailable)
{
  for (const auto& [name, entry] : this->parts) {
    entry->assigner->SetStoreAvailable(aIsAvailable);
  }
}

void KeyedServices::Leave()
{
  for (const auto& [name, entry] : this->parts) {
    entry->assigner->Leave();
  }
}

ownership::KeyMap::Owner KeyedServices::OwnerOf(const ServiceName& aService,
                                                ownership::Key aKey) const
{
  const PartState* entry = this->FindPart(aService, aKey);
  return entry == nullptr ? ownership::KeyMap::Owner{}
                          : entry->map.OwnerOf(aKey, this->hooks.now());
}

void KeyedServices::OnNotOwner(const ServiceName& aService, ownership::Key aKey)
{
  if (PartState* entry = this->FindPart(aService, aKey)) {
    entry->map.OnNotOwner(aKey, this->hooks.now());
  }
}

void KeyedServices::OnMapUpdate(const protocol::KeyMapUpdate& aUpdate)
{
  // A peer may know of a keyed service, or of a layout, before this host does.
  const std::string& name = aUpdate.mark.serviceName;
  const ownership::NamedPart named = ownership::ParsePartName(name);
  if (named.part.layout.IsDivided()) {
    this->AdoptLayout(named.service, named.part.layout);
  } else {
    this->SetServices({ named.service });
  }
  const auto found = this->parts.find(name);
  if (found == this->parts.end()) {
    return;
  }
  PartState& entry = *found->second;
  const ownership::MapVersion version = FromWire(aUpdate.mark);
  const TimePoint now = this->hooks.now();
  const bool isNew =
    aUpdate.__isset.base
      ? entry.map.ApplyChanges(FromWire(aUpdate.base), version,
                               RangesOf(aUpdate), now)
      : entry.map.ReplaceIfNewer(version, RangesOf(aUpdate), now);
  if (isNew) {
    this->hooks.ownersChanged();
  }
}

// --- Digests

void KeyedServices::OnRequest(const ServiceName& aService, ownership::Key aKey)
{
  PartState* entry = this->FindPart(aService, aKey);
  if (entry != nullptr && entry->recentKeys.size() < kMaxRecentKeys) {
    entry->recentKeys.push_back(aKey);
  }
}

void KeyedServices::OnKeyUses(const std::vector<protocol::KeyUse>& aUses)
{
  for (const protocol::KeyUse& use : aUses) {
    const auto found = this->parts.find(use.serviceName);
    if (found == this->parts.end()) {
      continue;
    }
    std::vector<ownership::Key> keys;
    std::ranges::transform(
      use.keys, std::back_inserter(keys),
      [](std::int32_t aKey) { return static_cast<ownership::Key>(aKey); });
    found->second->assigner->RecordRequests(keys);
  }
}

protocol::KeyMapMark KeyedServices::MakeMark(const std::string& aName,
                                             const PartState& aEntry) const
{
  const ownership::MapVersion& version = aEntry.map.CurrentVersion();
  protocol::KeyMapMark mark = ToWire(aName, version);
  mark.__set_heard(this->peers.LastDigestNumber(version.assigner));
  return mark;
}

// The first part of a layout is named also without a map, so that peers learn
// of the layout before its parts are claimed.
std::vector<protocol::KeyMapMark> KeyedServices::MapVersions() const
{
  std::vector<protocol::KeyMapMark> marks;
  for (const auto& [name, state] : this->parts) {
    const PartState& entry = *state;
    const bool announcesLayout =
      entry.part.layout.IsDivided() && entry.part.index == 0;
    if (!entry.retiredAt && (entry.HasMap() || announcesLayout)) {
      marks.push_back(this->MakeMark(name, entry));
    }
  }
  return marks;
}

std::vector<protocol::KeyMapMark> KeyedServices::MapVersionsFor(
  const state::HostId& aPeer) const
{
  std::vector<protocol::KeyMapMark> marks;
  for (const auto& [name, state] : this->parts) {
    const PartState& entry = *state;
    const state::HostId& assigner = entry.map.CurrentVersion().assigner.host;
    if (!entry.retiredAt && entry.HasMap() &&
        (assigner == aPeer || assigner == this->self.host)) {
      marks.push_back(this->MakeMark(name, entry));
    }
  }
  return marks;
}

bool KeyedServices::IsAnyLayoutDivided() const
{
  return std::ranges::any_of(this->layouts, [](const auto& aItem) {
    return aItem.second.layout.IsDivided();
  });
}

std::vector<protocol::KeyUse> KeyedServices::TakeKeyUses(
  const state::HostId& aPeer)
{
  std::vector<protocol::KeyUse> uses;
  for (auto& [name, state] : this->parts) {
    PartState& entry = *state;
    if (entry.recentKeys.empty() ||
        entry.map.CurrentVersion().assigner.host != aPeer) {
      continue;
    }
    protocol::KeyUse use;
    use.__set_serviceName(name);
    use.__set_keys({ entry.recentKeys.begin(), entry.recentKeys.end() });
    entry.recentKeys.clear();
    uses.push_back(std::move(use));
  }
  return uses;
}

bool KeyedServices::WasRecentlySentFullMap(const PartState& aEntry,
                                           const KnownPeer& aPeer) const
{
  const auto sent = aEntry.fullMapSentAt.find(aPeer.host.host);
  return sent != aEntry.fullMapSentAt.end() &&
         this->hooks.now() - sent->second < kUpdateMissedAfter;
}

bool KeyedServices::PeerLacksMap(const PartState& aEntry,
                                 const std::string& aName,
                                 const KnownPeer& aPeer) const
{
  const ownership::MapVersion& version = aEntry.map.CurrentVersion();
  return version.assignmentVersion > 0 && version.assigner.host.value.empty() &&
         this->hooks.followsStore() && !aPeer.HasMap(aName) &&
         !this->WasRecentlySentFullMap(aEntry, aPeer);
}

bool KeyedServices::PeerMissedUpdate(const PartState& aEntry,
                                     const std::string& aName,
                                     const KnownPeer& aPeer) const
{
  if (aEntry.map.CurrentVersion() != aEntry.ownVersion ||
      this->WasRecentlySentFullMap(aEntry, aPeer)) {
    return false;
  }
  // The last version that the peer has had the time to confirm.
  const TimePoint now = this->hooks.now();
  const auto published =
    std::find_if(aEntry.publications.rbegin(), aEntry.publications.rend(),
                 [now](const auto& aItem) {
                   return now - aItem.first > kUpdateMissedAfter;
                 });
  if (published == aEntry.publications.rend()) {
    return false;
  }
  const auto known = aPeer.mapVersions.find(aName);
  return known == aPeer.mapVersions.end() ||
         known->second.assigner != this->self ||
         published->second.IsNewerThan(known->second);
}

std::vector<protocol::KeyMapUpdate> KeyedServices::TakeFullMapsFor(
  const KnownPeer& aPeer)
{
  std::vector<protocol::KeyMapUpdate> updates;
  for (auto& [name, state] : this->parts) {
    PartState& entry = *state;
    if (this->PeerMissedUpdate(entry, name, aPeer)) {
      updates.push_back(
        ToWire(name, entry.publishedVersion, entry.publishedRanges));
    } else if (this->PeerLacksMap(entry, name, aPeer)) {
      updates.push_back(
        ToWire(name, entry.map.CurrentVersion(), entry.map.Ranges()));
    } else {
      continue;
    }
    entry.fullMapSentAt[aPeer.host.host] = this->hooks.now();
  }
  return updates;
}

std::set<state::HostId> KeyedServices::Assigners() const
{
  std::set<state::HostId> assigners;
  for (const auto& [name, state] : this->parts) {
    const PartState& entry = *state;
    if (!entry.map.CurrentVersion().assigner.host.value.empty()) {
      assigners.insert(entry.map.CurrentVersion().assigner.host);
    }
  }
  return assigners;
}

bool KeyedServices::IsAssigner() const
{
  return std::ranges::any_of(this->parts, [](const auto& aItem) {
    return aItem.second->assigner->IsAssigner();
  });
}

} // namespace kumquat::node
