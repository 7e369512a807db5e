// Stored rows, owner candidates and key maps of keyed services.

#include "node/internal/keyedservices.h"

#include "protocol/errorkind.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace kumquat::node {

using ownership::AssignmentRows;
using state::ServiceName;

namespace {

// Each service has two rows in a partition of its own. So both rows can be
// written in one transaction, and services do not wait for each other's writes.
constexpr const char* kKeysTable = "keys";
constexpr const char* kClaimKey = "assigner";
constexpr const char* kAssignmentKey = "assignment";
// Limit of the recorded keys of a service between two digests. If more requests
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

std::string SerializeHost(const state::HostRef& aHost)
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
    ServiceState& entry = this->services[service];
    if (!entry.assigner) {
      entry.assigner = this->MakeAssigner(service);
      entry.waitForPeersUntil = this->hooks.now() + kWaitForPeers;
    }
  }
}

std::unique_ptr<ownership::Assigner> KeyedServices::MakeAssigner(
  const ServiceName& aService)
{
  ownership::Assigner::Hooks assignerHooks;
  assignerHooks.now = this->hooks.now;
  assignerHooks.read = [this,
                        aService](const ownership::Assigner::ReadDone& aDone) {
    this->ReadRows(aService, aDone);
  };
  assignerHooks.write = [this,
                         aService](const ownership::AssignmentWrite& aWrite,
                                   ownership::Assigner::WriteDone aDone) {
    this->WriteRows(aService, aWrite, std::move(aDone));
  };
  assignerHooks.sendCommand = this->hooks.sendCommand;
  assignerHooks.candidates = [this, aService] {
    return this->CandidatesFor(aService);
  };
  assignerHooks.peers = [this, aService] {
    return this->peers.PeerStatusesFor(aService);
  };
  assignerHooks.publish = [this, aService] { this->PublishMap(aService); };
  assignerHooks.preference = this->hooks.preference;
  assignerHooks.requestConnection = this->hooks.requestConnection;
  assignerHooks.claimDelay = [this] {
    return this->hooks.followsStore() ? Duration(0)
                                      : Duration(kClaimDelayBehindHubs);
  };
  assignerHooks.log = [this, aService](std::string_view aWhat,
                                       std::string_view aDetail) {
    this->hooks.log(aService.value, aWhat, aDetail);
  };
  return std::make_unique<ownership::Assigner>(
    ownership::Assigner::Options{ aService, this->self, this->maxLease },
    std::move(assignerHooks));
}

std::vector<ownership::OwnerCandidate> KeyedServices::CandidatesFor(
  const ServiceName& aService)
{
  const TimePoint now = this->hooks.now();
  const std::vector<routing::UpstreamState*>& all =
    this->upstreams.ForService(aService).all;
  const double typicalMs = this->upstreams.TypicalServiceMs(aService, now);
  std::vector<ownership::OwnerCandidate> candidates;
  for (const routing::UpstreamState* upstream : all) {
    ownership::OwnerCandidate candidate;
    candidate.holder = { upstream->entry.id, upstream->entry.startedMs };
    candidate.address = upstream->entry.address;
    candidate.mayOwn = this->upstreams.IsUsable(*upstream);
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

void KeyedServices::ReadRows(const ServiceName& aService,
                             const ownership::Assigner::ReadDone& aDone)
{
  this->hooks.read(kKeysTable, aService.value,
                   [aDone](Result<state::RowsRead> aRead) {
                     if (!aRead) {
                       aDone(aRead.error());
                       return;
                     }
                     AssignmentRows rows;
                     for (const state::StoredRow& row : aRead->rows) {
                       if (row.key == kClaimKey) {
                         rows.claimVersion = row.version;
                         rows.assigner = ParseHost(row.value);
                       } else if (row.key == kAssignmentKey) {
                         rows.assignmentVersion = row.version;
                         rows.assignmentText = row.value;
                       }
                     }
                     aDone(std::move(rows));
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
      { kKeysTable, {}, kClaimKey, SerializeHost(*aWrite.claim), 0, false });
  }
  write.puts.push_back(
    { kKeysTable, {}, kAssignmentKey, aWrite.assignmentText, 0, false });
  this->hooks.write(write, std::move(aDone));
}

void KeyedServices::PublishMap(const ServiceName& aService)
{
  ServiceState& entry = this->services.at(aService);
  const ownership::MapVersion version = entry.assigner->CurrentMapVersion();
  // Another host's map was in use in the meantime, so peers have that map and
  // not the one that this host sent last.
  if (entry.map.CurrentVersion() != entry.ownVersion) {
    entry.publishedVersion = {};
  }
  if (entry.map.ReplaceIfNewer(version, entry.assigner->CurrentMap(),
                               this->hooks.now())) {
    entry.ownVersion = version;
    this->hooks.publishMaps();
    this->hooks.ownersChanged();
  }
}

std::vector<protocol::KeyMapUpdate> KeyedServices::TakeMapUpdates()
{
  const TimePoint now = this->hooks.now();
  std::vector<protocol::KeyMapUpdate> updates;
  for (auto& [service, entry] : this->services) {
    if (std::exchange(entry.isStoredMapUnpublished, false)) {
      updates.push_back(
        ToWire(service, entry.map.CurrentVersion(), entry.map.Ranges()));
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
      ToWire(service, entry.ownVersion,
             isFull ? entry.map.Ranges()
                    : ownership::ChangedRanges(entry.publishedRanges,
                                               entry.map.Ranges()));
    if (!isFull) {
      update.__set_base(ToWire(service, entry.publishedVersion));
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
void KeyedServices::UseStoredAssignment(const ServiceName& aService)
{
  this->services.at(aService).storedReadDueAt =
    this->hooks.now() + kStoredReadInterval;
  this->ReadRows(
    aService, [this, aService](const Result<AssignmentRows>& aRows) {
      if (!aRows) {
        return;
      }
      // If no keys were assigned yet, the host that assigns them sends the map
      // to everyone.
      this->services.at(aService).storedReadDueAt = TimePoint::max();
      if (aRows->assignmentVersion == 0) {
        return;
      }
      const auto assignment = ownership::ParseAssignment(aRows->assignmentText);
      if (!assignment) {
        return;
      }
      auto map =
        ownership::MapFromAssignment(*assignment, aRows->assignmentVersion);
      if (this->services.at(aService).map.ReplaceIfNewer(
            map.version, std::move(map.ranges), this->hooks.now())) {
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
  for (auto& [service, entry] : this->services) {
    const bool isDue =
      now >= entry.storedReadDueAt &&
      (now >= entry.waitForPeersUntil || this->hooks.followsStore());
    if (entry.map.CurrentVersion().assignmentVersion == 0 && isDue) {
      this->UseStoredAssignment(service);
    }
    entry.assigner->OnTimer();
  }
}

void KeyedServices::OnUpstreamsChanged()
{
  for (auto& [service, entry] : this->services) {
    entry.assigner->OnMembershipChange();
  }
}

void KeyedServices::SetStoreAvailable(bool aIsAvailable)
{
  for (auto& [service, entry] : this->services) {
    entry.assigner->SetStoreAvailable(aIsAvailable);
  }
}

void KeyedServices::Leave()
{
  for (auto& [service, entry] : this->services) {
    entry.assigner->Leave();
  }
}

ownership::KeyMap* KeyedServices::FindMap(const ServiceName& aService)
{
  const auto found = this->services.find(aService);
  return found == this->services.end() ? nullptr : &found->second.map;
}

void KeyedServices::OnMapUpdate(const protocol::KeyMapUpdate& aUpdate)
{
  // A peer may have a configuration with a new keyed service before this host
  // does.
  ServiceState& entry = this->services[{ aUpdate.mark.serviceName }];
  if (!entry.assigner) {
    entry.assigner = this->MakeAssigner({ aUpdate.mark.serviceName });
  }
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

void KeyedServices::OnRequest(const ServiceName& aService, ownership::Key aKey)
{
  const auto found = this->services.find(aService);
  if (found != this->services.end() &&
      found->second.recentKeys.size() < kMaxRecentKeys) {
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
  for (const auto& [service, entry] : this->services) {
    if (entry.map.CurrentVersion().assignmentVersion > 0) {
      protocol::KeyMapMark mark = ToWire(service, entry.map.CurrentVersion());
      mark.__set_heard(
        this->peers.LastDigestNumber(entry.map.CurrentVersion().assigner));
      marks.push_back(std::move(mark));
    }
  }
  return marks;
}

std::vector<protocol::KeyUse> KeyedServices::TakeKeyUses(
  const state::HostId& aPeer)
{
  std::vector<protocol::KeyUse> uses;
  for (auto& [service, entry] : this->services) {
    if (entry.recentKeys.empty() ||
        entry.map.CurrentVersion().assigner.host != aPeer) {
      continue;
    }
    protocol::KeyUse use;
    use.__set_serviceName(service.value);
    use.__set_keys({ entry.recentKeys.begin(), entry.recentKeys.end() });
    entry.recentKeys.clear();
    uses.push_back(std::move(use));
  }
  return uses;
}

bool KeyedServices::WasRecentlySentFullMap(const ServiceState& aEntry,
                                           const KnownPeer& aPeer) const
{
  const auto sent = aEntry.fullMapSentAt.find(aPeer.host.host);
  return sent != aEntry.fullMapSentAt.end() &&
         this->hooks.now() - sent->second < kUpdateMissedAfter;
}

bool KeyedServices::PeerLacksMap(const ServiceState& aEntry,
                                 const ServiceName& aService,
                                 const KnownPeer& aPeer) const
{
  const ownership::MapVersion& version = aEntry.map.CurrentVersion();
  return version.assignmentVersion > 0 && version.assigner.host.value.empty() &&
         this->hooks.followsStore() && !aPeer.mapVersions.contains(aService) &&
         !this->WasRecentlySentFullMap(aEntry, aPeer);
}

bool KeyedServices::PeerMissedUpdate(const ServiceState& aEntry,
                                     const ServiceName& aService,
                                     const KnownPeer& aPeer) const
{
  const TimePoint now = this->hooks.now();
  if (aEntry.publications.empty() ||
      aEntry.map.CurrentVersion() != aEntry.ownVersion ||
      this->WasRecentlySentFullMap(aEntry, aPeer)) {
    return false;
  }
  const auto& [publishedAt, version] = aEntry.publications.front();
  const auto known = aPeer.mapVersions.find(aService);
  const bool usesIt = known != aPeer.mapVersions.end() &&
                      known->second.assigner == this->self &&
                      !version.IsNewerThan(known->second);
  return now - publishedAt > kUpdateMissedAfter && !usesIt;
}

std::vector<protocol::KeyMapUpdate> KeyedServices::TakeFullMapsFor(
  const KnownPeer& aPeer)
{
  std::vector<protocol::KeyMapUpdate> updates;
  for (auto& [service, entry] : this->services) {
    if (this->PeerMissedUpdate(entry, service, aPeer)) {
      updates.push_back(
        ToWire(service, entry.publishedVersion, entry.publishedRanges));
    } else if (this->PeerLacksMap(entry, service, aPeer)) {
      updates.push_back(
        ToWire(service, entry.map.CurrentVersion(), entry.map.Ranges()));
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
  for (const auto& [service, entry] : this->services) {
    if (!entry.map.CurrentVersion().assigner.host.value.empty()) {
      assigners.insert(entry.map.CurrentVersion().assigner.host);
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
