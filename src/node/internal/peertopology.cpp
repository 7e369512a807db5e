// Choice of connections, hubs and followers, and the intervals of digests.

#include "node/internal/peertopology.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

// A full digest is sent at a tick at which this many attempts at upstreams have
// started or ended since the last one, or else after the maximum interval. With
// half of their slots in use, upstreams start and end two requests per host
// between ticks of 100 ms. What peers know of them is then outdated within a
// tick, and hosts choose the same upstreams. At the peak load of twelve hosts,
// an interval of 250 ms earned 0.69 of the credit for requests and one of 100
// ms earned 0.77 (one run each).
constexpr std::int64_t kChangesPerDigest = 2;
constexpr milliseconds kMaxFullInterval{ 250 };
// The same intervals when the hosts are divided into cells. These hosts are
// small, their upstreams have more time to spare (target latencies of four
// times the service time), and a digest costs about a tenth of a request.
constexpr milliseconds kMinFullIntervalInCells{ 200 };
constexpr milliseconds kMaxFullIntervalInCells{ 400 };
// Interval of brief digests. An assigner counts as unreachable after a second,
// and each needless takeover costs writes and a new map for every host. An
// assigner also learns within this interval which keys are hot.
constexpr milliseconds kBriefInterval{ 300 };
// A hub is replaced after this time without a digest. It is down or cut off by
// then, as a connection is established within half a second.
constexpr milliseconds kHubReplacedAfter{ 2000 };
// After this time without a digest a hub is not relied on to forward changes of
// the tables. It sends a digest every 300 ms.
constexpr milliseconds kHubUnreliableAfter{ 1000 };
// So long a cell member is taken for live after the first connection attempt.
constexpr milliseconds kFirstDigestWait{ 2000 };
// Number of followers in each cell while no hub follows the store. There are
// two, as one may be cut off or paused.
constexpr std::ptrdiff_t kFollowersPerCell = 2;
// Maximum number of hosts of a cell that try to follow the store, however many
// of them it rejects, as the store may be unavailable to all of them.
constexpr std::ptrdiff_t kMaxTryingPerCell = 4;
// A hub precedes every other host, however many processors that one has.
constexpr double kHubPreference = 1000;

} // namespace

PeerTopology::PeerTopology(routing::CellHost aSelf, Hooks aHooks)
  : self(std::move(aSelf))
  , hooks(std::move(aHooks))
  , cells(this->self.id)
  , all{ this->self.id }
{
  this->cells.SetHosts({ this->self });
}

void PeerTopology::SetHosts(std::vector<HostAddress> aHosts)
{
  this->hosts.clear();
  for (HostAddress& one : aHosts) {
    if (one.host.id != this->self.id) {
      const state::HostId id = one.host.id;
      this->hosts.emplace(id, std::move(one));
    }
  }
  std::vector<routing::CellHost> cellHosts{ this->self };
  std::ranges::transform(this->hosts, std::back_inserter(cellHosts),
                         [](const auto& aItem) { return aItem.second.host; });
  this->all.clear();
  std::ranges::transform(cellHosts, std::back_inserter(this->all),
                         &routing::CellHost::id);
  ++this->hostsRevision;
  this->cells.SetHosts(std::move(cellHosts));
}

void PeerTopology::SetAssigners(std::set<state::HostId> aAssigners)
{
  this->assigners = std::move(aAssigners);
}

bool PeerTopology::IsKnown(const state::HostId& aHost) const
{
  return aHost == this->self.id || this->hosts.contains(aHost);
}

const HostAddress* PeerTopology::Find(const state::HostId& aHost) const
{
  const auto found = this->hosts.find(aHost);
  return found == this->hosts.end() ? nullptr : &found->second;
}

bool PeerTopology::IsCellMember(const state::HostId& aHost) const
{
  return !this->cells.IsDivided() || this->cells.Members().contains(aHost);
}

double PeerTopology::DutyPreference(const state::HostId& aHost) const
{
  const auto found = this->hosts.find(aHost);
  const double processors = aHost == this->self.id ? this->self.processors
                            : found == this->hosts.end()
                              ? 0
                              : found->second.host.processors;
  return processors + (this->hubs.contains(aHost) ? kHubPreference : 0);
}

// Time since the last digest of a host. For a host that was never heard it
// counts from when this host began to connect to it, so that it has time to
// reply.
Duration PeerTopology::SilenceDuration(const state::HostId& aHost) const
{
  const auto found = this->connectingSince.find(aHost);
  const TimePoint sinceLastDigest =
    found == this->connectingSince.end()
      ? this->hooks.lastHeardAt(aHost)
      : std::max(found->second, this->hooks.lastHeardAt(aHost));
  return this->hooks.now() - sinceLastDigest;
}

bool PeerTopology::IsUnreachable(const state::HostId& aHost) const
{
  // A host that this one never connected to may be reachable.
  return aHost != this->self.id && this->connectingSince.contains(aHost) &&
         this->SilenceDuration(aHost) > kHubReplacedAfter;
}

std::set<state::HostId> PeerTopology::WantedConnections() const
{
  std::set<state::HostId> wanted;
  if (!this->cells.IsDivided()) {
    std::ranges::transform(this->hosts, std::inserter(wanted, wanted.end()),
                           [](const auto& aItem) { return aItem.first; });
    return wanted;
  }
  wanted = this->cells.Members();
  wanted.insert(this->assigners.begin(), this->assigners.end());
  // Includes the preferred hubs, so that their return is noticed.
  const auto preferredHubs =
    this->cells.Hubs([](const state::HostId& /*aHost*/) { return false; });
  wanted.insert(preferredHubs.begin(), preferredHubs.end());
  wanted.insert(this->hubs.begin(), this->hubs.end());
  return wanted;
}

PeerTopology::ConnectionChanges PeerTopology::TakeConnectionChanges()
{
  this->hubs = this->cells.Hubs(
    [this](const state::HostId& aHost) { return this->IsUnreachable(aHost); });
  const std::set<state::HostId> wanted = this->WantedConnections();
  ConnectionChanges changes;
  for (const state::HostId& id : wanted) {
    const auto known = this->hosts.find(id);
    if (known != this->hosts.end()) {
      changes.toOpen[id] = known->second.address;
      this->connectingSince.try_emplace(id, this->hooks.now());
    }
  }
  std::erase_if(this->connectingSince, [&](const auto& aItem) {
    const bool isObsolete = !wanted.contains(aItem.first);
    if (isObsolete) {
      changes.toClose.push_back(aItem.first);
    }
    return isObsolete;
  });
  return changes;
}

bool PeerTopology::ShouldFollowTables(
  const std::vector<state::HostId>& aLiveMembers,
  const std::function<bool(const state::HostId&)>& aReachesStore) const
{
  if (!this->cells.IsDivided() || this->hubs.contains(this->self.id)) {
    return true;
  }
  if (this->IsAnyHubFollowing(aReachesStore)) {
    return false;
  }
  const auto score = [](const state::HostId& aHost) {
    return RendezvousScore(aHost.value, "reader");
  };
  const std::uint64_t ownScore = score(this->self.id);
  const auto ranksBefore = [&](const state::HostId& aMember) {
    return aMember != this->self.id && score(aMember) > ownScore;
  };
  std::set<state::HostId> awaited = this->AwaitedMembers();
  std::ranges::for_each(aLiveMembers, [&awaited](const state::HostId& aMember) {
    awaited.erase(aMember);
  });
  const auto expected = std::ranges::count_if(awaited, ranksBefore);
  const auto ranked =
    expected + std::ranges::count_if(aLiveMembers, ranksBefore);
  const auto following =
    expected +
    std::ranges::count_if(aLiveMembers, [&](const state::HostId& aMember) {
      return ranksBefore(aMember) && aReachesStore(aMember);
    });
  return following < kFollowersPerCell && ranked < kMaxTryingPerCell;
}

// Cell members that were never heard, but may be as soon as they have started.
// When all hosts start, none has heard any other, and each would follow the
// tables itself.
std::set<state::HostId> PeerTopology::AwaitedMembers() const
{
  std::set<state::HostId> awaited;
  std::ranges::copy_if(
    this->cells.Members(), std::inserter(awaited, awaited.end()),
    [this](const state::HostId& aMember) {
      return this->connectingSince.contains(aMember) &&
             this->hooks.lastHeardAt(aMember) == TimePoint{} &&
             this->SilenceDuration(aMember) < kFirstDigestWait;
    });
  return awaited;
}

bool PeerTopology::IsAnyHubFollowing(
  const std::function<bool(const state::HostId&)>& aReachesStore) const
{
  return std::ranges::any_of(this->hubs, [&](const state::HostId& aHub) {
    const bool isNeverHeard = this->hooks.lastHeardAt(aHub) == TimePoint{};
    return this->SilenceDuration(aHub) < kHubUnreliableAfter &&
           (isNeverHeard || aReachesStore(aHub));
  });
}

// Returns the hub of the host's data centre, as traffic between data centres is
// paid for; where it has no hub, one of all hubs by rendezvous hashing.
state::HostId PeerTopology::AssignedHub(const state::HostId& aHost) const
{
  const auto dataCentreOf = [this](const state::HostId& aOne) {
    const auto found = this->hosts.find(aOne);
    return aOne == this->self.id        ? this->self.dataCentre
           : found == this->hosts.end() ? state::DataCentre{}
                                        : found->second.host.dataCentre;
  };
  const state::DataCentre dataCentre = dataCentreOf(aHost);
  const auto localHub = std::ranges::find(this->hubs, dataCentre, dataCentreOf);
  if (localHub != this->hubs.end()) {
    return *localHub;
  }
  return *std::ranges::max_element(this->hubs, {}, [&](const auto& aHub) {
    return RendezvousScore(aHost.value, aHub.value);
  });
}

bool PeerTopology::ForwardsChangesTo(const state::HostId& aHost) const
{
  if (!this->cells.IsDivided()) {
    return false;
  }
  if (this->hubs.contains(this->self.id)) {
    return this->hubs.contains(aHost) ||
           this->AssignedHub(aHost) == this->self.id;
  }
  return this->IsCellMember(aHost);
}

std::vector<std::string> PeerTopology::ChangeRecipients(
  const std::set<std::string>& aConnectedPeers) const
{
  std::vector<std::string> recipients;
  std::ranges::copy_if(aConnectedPeers, std::back_inserter(recipients),
                       [this](const std::string& aHost) {
                         return this->ForwardsChangesTo({ aHost });
                       });
  return recipients;
}

bool PeerTopology::IsFullDigestDue(std::int64_t aLoadChanges) const
{
  const bool divided = this->cells.IsDivided();
  const Duration sinceLastDigest = this->hooks.now() - this->fullDigestSentAt;
  return (aLoadChanges - this->announcedLoadChanges >= kChangesPerDigest &&
          (!divided || sinceLastDigest >= kMinFullIntervalInCells)) ||
         sinceLastDigest >=
           (divided ? kMaxFullIntervalInCells : kMaxFullInterval);
}

PeerTopology::DigestRecipients PeerTopology::TakeDigestRecipients(
  const std::set<std::string>& aConnectedPeers, std::int64_t aLoadChanges)
{
  DigestRecipients recipients;
  const TimePoint now = this->hooks.now();
  const bool isRequested = std::exchange(this->isDigestRequested, false);
  const bool isFullDue = isRequested || this->IsFullDigestDue(aLoadChanges);
  const bool isAssigner = this->assigners.contains(this->self.id);
  const bool isBriefDue =
    this->cells.IsDivided() &&
    (isRequested || now - this->briefDigestSentAt >= kBriefInterval);
  if (isFullDue) {
    this->fullDigestSentAt = now;
    this->announcedLoadChanges = aLoadChanges;
  }
  if (isBriefDue) {
    this->briefDigestSentAt = now;
  }
  const bool sendsToAll = isAssigner || this->hubs.contains(this->self.id);
  for (const std::string& host : aConnectedPeers) {
    const state::HostId id{ host };
    const bool isCellMember = this->IsCellMember(id);
    if (isCellMember && isFullDue) {
      recipients.full.push_back(host);
    }
    if (!isCellMember && isBriefDue &&
        (sendsToAll || this->hubs.contains(id) ||
         this->assigners.contains(id))) {
      recipients.brief.push_back(host);
    }
  }
  return recipients;
}

} // namespace kumquat::node
