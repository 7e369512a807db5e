// Rows, orders and maps of keyed services.

#include "node/internal/keyedservices.h"

#include "protocol/errorkind.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace kumquat::node {

using ownership::AssignmentRows;
using state::ServiceName;

namespace {

// Two rows a service, in a part of their own, so that they can be written
// together and services do not queue behind each other.
constexpr const char* kKeysTable = "keys";
constexpr const char* kClaimKey = "assigner";
constexpr const char* kAssignmentKey = "assignment";
// Keys that a digest carries; beyond it the first ones stand for all.
constexpr std::size_t kMostUses = 200;
// A peer that does not go by a change that was told so long ago has missed it:
// digests come at least each half second.
constexpr std::chrono::milliseconds kMissedAfter{ 800 };
// Between two reads of the stored assignment by a host without a map.
constexpr std::chrono::milliseconds kHoldersAgain{ 1000 };
// The few that ask the store do so as soon as they know of the service.
constexpr std::chrono::milliseconds kOthersTell{ 5000 };
// A host that leaves the store to hubs lets these claim first.
constexpr std::chrono::milliseconds kHubsClaim{ 3000 };

std::string PrintHost(const state::HostRef& aHost)
{
  return nlohmann::json{
    { "host", aHost.host.value }, { "incarnation", aHost.incarnation }
  }.dump();
}

state::HostRef ParseHost(const std::string& aText)
{
  const auto text = nlohmann::json::parse(aText, nullptr, false);
  if (!text.is_object()) {
    return {};
  }
  return { { text.value("host", "") },
           text.value("incarnation", state::Incarnation{ 0 }) };
}

} // namespace

KeyedServices::KeyedServices(state::HostRef aSelf,
                             std::chrono::milliseconds aMostHold,
                             routing::Upstreams& aUpstreams,
                             const Peers& aPeers, Hooks aHooks)
  : self(std::move(aSelf))
  , maxLease(aMostHold)
  , upstreams(aUpstreams)
  , peers(aPeers)
  , hooks(std::move(aHooks))
{
}

void KeyedServices::SetServices(const std::set<ServiceName>& aServices)
{
  for (const ServiceName& service : aServices) {
    ServiceState& part = this->services[service];
    if (!part.assigner) {
      part.assigner = this->MakeAssigner(service);
      part.waitForPeersUntil = this->hooks.now() + kOthersTell;
    }
  }
}

std::unique_ptr<ownership::Assigner> KeyedServices::MakeAssigner(
  const ServiceName& aService)
{
  ownership::Assigner::Hooks own;
  own.now = this->hooks.now;
  own.read = [this, aService](const ownership::Assigner::ReadDone& aDone) {
    this->ReadRows(aService, aDone);
  };
  own.write = [this, aService](const ownership::AssignmentWrite& aWrite,
                               ownership::Assigner::WriteDone aDone) {
    this->WriteRows(aService, aWrite, std::move(aDone));
  };
  own.sendCommand = this->hooks.sendCommand;
  own.candidates = [this, aService] { return this->CandidatesFor(aService); };
  own.peers = [this, aService] { return this->peers.ViewsOf(aService); };
  own.publish = [this, aService] { this->PublishMap(aService); };
  own.preference = this->hooks.preference;
  own.requestConnection = this->hooks.requestConnection;
  own.claimDelay = [this] {
    return this->hooks.followsStore() ? Duration(0) : Duration(kHubsClaim);
  };
  own.log = [this, aService](std::string_view aWhat, std::string_view aDetail) {
    this->hooks.log(aService.value, aWhat, aDetail);
  };
  return std::make_unique<ownership::Assigner>(
    ownership::Assigner::Options{ aService, this->self, this->maxLease },
    std::move(own));
}

std::vector<ownership::OwnerCandidate> KeyedServices::CandidatesFor(
  const ServiceName& aService)
{
  const TimePoint now = this->hooks.now();
  const std::vector<routing::UpstreamState*>& all =
    this->upstreams.ForService(aService).all;
  const double usualMs = this->upstreams.TypicalServiceMs(aService, now);
  std::vector<ownership::OwnerCandidate> owners;
  for (const routing::UpstreamState* one : all) {
    ownership::OwnerCandidate owner;
    owner.holder = { one->entry.id, one->entry.startedMs };
    owner.address = one->entry.address;
    owner.mayOwn = this->upstreams.IsUsable(*one);
    owner.cold = one->coldUntil > now;
    owner.capacity = one->entry.slots;
    if (one->serviceMs > 0) {
      // Bounded, as the time is learnt from few answers of this host alone.
      owner.capacity *= std::clamp(
        usualMs / routing::EstimatedServiceMs(*one, usualMs, now), 0.4, 2.0);
    }
    owners.push_back(std::move(owner));
  }
  return owners;
}

void KeyedServices::ReadRows(const ServiceName& aService,
                             const ownership::Assigner::ReadDone& aDone)
{
  this->hooks.read(kKeysTable, aService.value,
                   [aDone](Result<state::RowsRead> aRead) {
                     if (!aRead) {
                       aDone(aRead.error());
                       return;
                     }
                     AssignmentRows stored;
                     for (const state::StoredRow& row : aRead->rows) {
                       if (row.key == kClaimKey) {
                         stored.claimVersion = row.version;
                         stored.assigner = ParseHost(row.value);
                       } else if (row.key == kAssignmentKey) {
                         stored.assignmentVersion = row.version;
                         stored.assignmentText = row.value;
                       }
                     }
                     aDone(std::move(stored));
                   });
}

void KeyedServices::WriteRows(const ServiceName& aService,
                              const ownership::AssignmentWrite& aWrite,
                              ownership::Assigner::WriteDone aDone)
{
  state::RowsWrite write;
  write.part = aService.value;
  write.conditions = { { kKeysTable, kClaimKey, aWrite.expected.claimVersion },
                       { kKeysTable, kAssignmentKey,
                         aWrite.expected.assignmentVersion } };
  if (aWrite.claim) {
    write.puts.push_back(
      { kKeysTable, {}, kClaimKey, PrintHost(*aWrite.claim), 0, false });
  }
  write.puts.push_back(
    { kKeysTable, {}, kAssignmentKey, aWrite.assignmentText, 0, false });
  this->hooks.write(write, std::move(aDone));
}

void KeyedServices::PublishMap(const ServiceName& aService)
{
  ServiceState& part = this->services.at(aService);
  const ownership::MapVersion mark = part.assigner->CurrentMapVersion();
  // The map was another host's meanwhile: what peers know is its, not what was
  // told here last.
  if (part.map.CurrentVersion() != part.ownVersion) {
    part.publishedVersion = {};
  }
  if (part.map.ReplaceIfNewer(mark, part.assigner->CurrentMap(),
                              this->hooks.now())) {
    part.ownVersion = mark;
    this->hooks.publishMaps();
    this->hooks.ownersChanged();
  }
}

std::vector<protocol::KeyMapUpdate> KeyedServices::TakeMapUpdates()
{
  const TimePoint now = this->hooks.now();
  std::vector<protocol::KeyMapUpdate> updates;
  for (auto& [service, part] : this->services) {
    if (std::exchange(part.isStoredMapUnpublished, false)) {
      updates.push_back(
        ToWire(service, part.map.CurrentVersion(), part.map.Ranges()));
    }
    // Nothing new, or the map is another host's by now.
    if (part.ownVersion == part.publishedVersion ||
        part.map.CurrentVersion() != part.ownVersion) {
      continue;
    }
    const bool isWhole = part.publishedVersion.assignmentVersion == 0;
    if (isWhole) {
      part.publications.clear();
    }
    protocol::KeyMapUpdate update =
      ToWire(service, part.ownVersion,
             isWhole ? part.map.Ranges()
                     : ownership::ChangedRanges(part.publishedRanges,
                                                part.map.Ranges()));
    if (!isWhole) {
      update.__set_base(ToWire(service, part.publishedVersion));
    }
    updates.push_back(std::move(update));
    part.publishedVersion = part.ownVersion;
    part.publishedRanges = part.map.Ranges();
    part.publications.emplace_back(now, part.ownVersion);
    while (part.publications.size() > 1 &&
           now - part.publications[1].first > kMissedAfter) {
      part.publications.pop_front();
    }
  }
  return updates;
}

// Failure: all hosts lose power for a second. It takes them another 1.3 s to
// agree on an assigner, and until then every keyed request was refused, though
// the upstreams still held their keys. A host that knows no map goes by the
// stored holders; one that holds a key no more refuses to run its requests.
void KeyedServices::UseStoredAssignment(const ServiceName& aService)
{
  this->services.at(aService).storedReadDueAt =
    this->hooks.now() + kHoldersAgain;
  this->ReadRows(aService, [this,
                            aService](const Result<AssignmentRows>& aStored) {
    if (!aStored) {
      return;
    }
    // Nothing was dealt yet, and who deals it tells everyone.
    this->services.at(aService).storedReadDueAt = TimePoint::max();
    if (aStored->assignmentVersion == 0) {
      return;
    }
    const auto assignment = ownership::ParseAssignment(aStored->assignmentText);
    if (!assignment) {
      return;
    }
    auto stored =
      ownership::MapFromAssignment(*assignment, aStored->assignmentVersion);
    if (this->services.at(aService).map.ReplaceIfNewer(
          stored.version, std::move(stored.ranges), this->hooks.now())) {
      this->services.at(aService).isStoredMapUnpublished =
        this->hooks.followsStore();
      this->hooks.log(aService.value, "stored-holders",
                      "no assigner was heard yet");
      this->hooks.ownersChanged();
    }
  });
}

void KeyedServices::OnTimer()
{
  const TimePoint now = this->hooks.now();
  for (auto& [service, part] : this->services) {
    const bool isDue =
      now >= part.storedReadDueAt &&
      (now >= part.waitForPeersUntil || this->hooks.followsStore());
    if (part.map.CurrentVersion().assignmentVersion == 0 && isDue) {
      this->UseStoredAssignment(service);
    }
    part.assigner->OnTimer();
  }
}

void KeyedServices::OnUpstreamsChanged()
{
  for (auto& [service, part] : this->services) {
    part.assigner->OnMembershipChange();
  }
}

void KeyedServices::SetStoreAvailable(bool aWell)
{
  for (auto& [service, part] : this->services) {
    part.assigner->SetStoreAvailable(aWell);
  }
}

void KeyedServices::Leave()
{
  for (auto& [service, part] : this->services) {
    part.assigner->Leave();
  }
}

ownership::KeyMap* KeyedServices::FindMap(const ServiceName& aService)
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? nullptr : &found->second.map;
}

void KeyedServices::OnMapUpdate(const protocol::KeyMapUpdate& aUpdate)
{
  // A peer may know of a keyed service before this host's configuration.
  ServiceState& part = this->services[{ aUpdate.mark.serviceName }];
  if (!part.assigner) {
    part.assigner = this->MakeAssigner({ aUpdate.mark.serviceName });
  }
  const ownership::MapVersion mark = FromWire(aUpdate.mark);
  const TimePoint now = this->hooks.now();
  const bool isNew = aUpdate.__isset.base
                       ? part.map.ApplyChanges(FromWire(aUpdate.base), mark,
                                               RangesOf(aUpdate), now)
                       : part.map.ReplaceIfNewer(mark, RangesOf(aUpdate), now);
  if (isNew) {
    this->hooks.ownersChanged();
  }
}

void KeyedServices::OnRequest(const ServiceName& aService, ownership::Key aKey)
{
  const auto found = this->services.find(aService);
  if (found != this->services.end() &&
      found->second.recentKeys.size() < kMostUses) {
    found->second.recentKeys.push_back(aKey);
  }
}

void KeyedServices::OnKeyUses(const std::vector<protocol::KeyUse>& aUses)
{
  for (const protocol::KeyUse& use : aUses) {
    const auto found = this->services.find({ use.serviceName });
    if (found == this->services.end()) {
      continue;
    }
    std::vector<ownership::Key> keys;
    std::ranges::transform(
      use.keys, std::back_inserter(keys),
      [](std::int32_t aKey) { return static_cast<ownership::Key>(aKey); });
    found->second.assigner->RecordRequests(keys);
  }
}

std::vector<protocol::KeyMapMark> KeyedServices::MapVersions() const
{
  std::vector<protocol::KeyMapMark> marks;
  for (const auto& [service, part] : this->services) {
    if (part.map.CurrentVersion().assignmentVersion > 0) {
      protocol::KeyMapMark mark = ToWire(service, part.map.CurrentVersion());
      mark.__set_heard(
        this->peers.LastDigestNumber(part.map.CurrentVersion().assigner));
      marks.push_back(std::move(mark));
    }
  }
  return marks;
}

std::vector<protocol::KeyUse> KeyedServices::TakeKeyUses(
  const state::HostId& aPeer)
{
  std::vector<protocol::KeyUse> uses;
  for (auto& [service, part] : this->services) {
    if (part.recentKeys.empty() ||
        part.map.CurrentVersion().assigner.host != aPeer) {
      continue;
    }
    protocol::KeyUse use;
    use.__set_serviceName(service.value);
    use.__set_keys({ part.recentKeys.begin(), part.recentKeys.end() });
    part.recentKeys.clear();
    uses.push_back(std::move(use));
  }
  return uses;
}

bool KeyedServices::WasRecentlySentFullMap(const ServiceState& aPart,
                                           const KnownPeer& aPeer) const
{
  const auto whole = aPart.fullMapSentAt.find(aPeer.host.host);
  return whole != aPart.fullMapSentAt.end() &&
         this->hooks.now() - whole->second < kMissedAfter;
}

bool KeyedServices::PeerLacksMap(const ServiceState& aPart,
                                 const ServiceName& aService,
                                 const KnownPeer& aPeer) const
{
  const ownership::MapVersion& mark = aPart.map.CurrentVersion();
  return mark.assignmentVersion > 0 && mark.assigner.host.value.empty() &&
         this->hooks.followsStore() && !aPeer.maps.contains(aService) &&
         !this->WasRecentlySentFullMap(aPart, aPeer);
}

bool KeyedServices::PeerMissedUpdate(const ServiceState& aPart,
                                     const ServiceName& aService,
                                     const KnownPeer& aPeer) const
{
  const TimePoint now = this->hooks.now();
  if (aPart.publications.empty() ||
      aPart.map.CurrentVersion() != aPart.ownVersion ||
      this->WasRecentlySentFullMap(aPart, aPeer)) {
    return false;
  }
  const auto& [toldAt, mark] = aPart.publications.front();
  const auto known = aPeer.maps.find(aService);
  const bool goesByIt = known != aPeer.maps.end() &&
                        known->second.assigner == this->self &&
                        !mark.IsNewerThan(known->second);
  return now - toldAt > kMissedAfter && !goesByIt;
}

std::vector<protocol::KeyMapUpdate> KeyedServices::TakeFullMapsFor(
  const KnownPeer& aPeer)
{
  std::vector<protocol::KeyMapUpdate> updates;
  for (auto& [service, part] : this->services) {
    if (this->PeerMissedUpdate(part, service, aPeer)) {
      updates.push_back(
        ToWire(service, part.publishedVersion, part.publishedRanges));
    } else if (this->PeerLacksMap(part, service, aPeer)) {
      updates.push_back(
        ToWire(service, part.map.CurrentVersion(), part.map.Ranges()));
    } else {
      continue;
    }
    part.fullMapSentAt[aPeer.host.host] = this->hooks.now();
  }
  return updates;
}

std::set<state::HostId> KeyedServices::Assigners() const
{
  std::set<state::HostId> assigners;
  for (const auto& [service, part] : this->services) {
    if (!part.map.CurrentVersion().assigner.host.value.empty()) {
      assigners.insert(part.map.CurrentVersion().assigner.host);
    }
  }
  return assigners;
}

bool KeyedServices::IsAssigner() const
{
  return std::ranges::any_of(this->services, [](const auto& aItem) {
    return aItem.second.assigner->IsAssigner();
  });
}

} // namespace kumquat::node
