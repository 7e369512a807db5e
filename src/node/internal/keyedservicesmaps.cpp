// Key maps of keyed services, and what digests say of them.

#include "node/internal/keyedservices.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::node {

using ownership::AssignmentRows;
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

} // namespace

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
    if (entry.retiredAt) {
      continue;
    }
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
    // Peers that know of the new layout name the retired parts no more.
    if (entry.retiredAt) {
      continue;
    }
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

} // namespace kumquat::node
