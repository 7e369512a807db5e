// Dials and times of digests.

#include "node/internal/peertopology.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

// A digest goes to the mates at a tick at which this host's requests have
// changed by so many since the last one, else after the longest pause. With
// half of their slots in use upstreams take and end two requests a host between
// ticks of 100 ms; what peers know of them is then old within a tick, and hosts
// meet at the same ones. At the heaviest day's load of twelve hosts a pause of
// 250 ms served 0.69 of the credit and one of 100 ms 0.77 (one trial each).
constexpr std::int64_t kChangesToTell = 2;
constexpr milliseconds kLongestPause{ 250 };
// In cells: hosts are small, their upstreams have more time to spare (targets
// of four times a request's own time), and a digest costs about as much as a
// tenth of a request.
constexpr milliseconds kShortestInCell{ 200 };
constexpr milliseconds kLongestInCell{ 400 };
// To hubs and assigners, and from them. An assigner is missed after a second,
// and each needless takeover costs writes and a new map for everyone; and it
// learns within this time which keys are hot.
constexpr milliseconds kOthersPause{ 300 };
// A hub that was not heard for so long has a stand-in: it is down or cut off,
// and a connection is up within half a second.
constexpr milliseconds kHubGone{ 2000 };
// A hub that was not heard for so long is not relied on for the store's news;
// it tells something each 300 ms.
constexpr milliseconds kHubSilent{ 1000 };
// Of a cell, those that follow the store while no hub does: one may be cut off
// or stand still.
constexpr std::ptrdiff_t kReaders = 2;
// And so many try at most, however many of them the store turns away: it may be
// out for all.
constexpr std::ptrdiff_t kMostTrying = 4;
// A hub goes before any other, whatever its processors.
constexpr double kHubPreference = 1000;

} // namespace

PeerTopology::PeerTopology(routing::CellHost aSelf, Hooks aHooks)
  : self(std::move(aSelf))
  , hooks(std::move(aHooks))
  , cells(this->self.id)
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
  std::vector<routing::CellHost> all{ this->self };
  std::ranges::transform(this->hosts, std::back_inserter(all),
                         [](const auto& aItem) { return aItem.second.host; });
  this->cells.SetHosts(std::move(all));
}

void PeerTopology::SetAssigners(std::set<state::HostId> aAssigners)
{
  this->assigners = std::move(aAssigners);
}

bool PeerTopology::IsKnown(const state::HostId& aHost) const
{
  return aHost == this->self.id || this->hosts.contains(aHost);
}

bool PeerTopology::IsCellMember(const state::HostId& aHost) const
{
  return !this->cells.IsDivided() || this->cells.Members().contains(aHost);
}

std::vector<state::HostId> PeerTopology::AllHosts() const
{
  std::vector<state::HostId> all{ this->self.id };
  std::ranges::transform(this->hosts, std::back_inserter(all),
                         [](const auto& aItem) { return aItem.first; });
  return all;
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

// Of a host that is dialled; one that was never heard is given its time to
// answer.
Duration PeerTopology::SilenceOf(const state::HostId& aHost) const
{
  const auto found = this->dialled.find(aHost);
  const TimePoint since =
    found == this->dialled.end()
      ? this->hooks.lastHeardAt(aHost)
      : std::max(found->second, this->hooks.lastHeardAt(aHost));
  return this->hooks.now() - since;
}

bool PeerTopology::IsGone(const state::HostId& aHost) const
{
  // One that was never dialled may well be there.
  return aHost != this->self.id && this->dialled.contains(aHost) &&
         this->SilenceOf(aHost) > kHubGone;
}

std::set<state::HostId> PeerTopology::Wanted() const
{
  std::set<state::HostId> wanted;
  if (!this->cells.IsDivided()) {
    std::ranges::transform(this->hosts, std::inserter(wanted, wanted.end()),
                           [](const auto& aItem) { return aItem.first; });
    return wanted;
  }
  wanted = this->cells.Members();
  wanted.insert(this->assigners.begin(), this->assigners.end());
  // The first choices too, to hear when they are back.
  const auto first =
    this->cells.Hubs([](const state::HostId& /*aHost*/) { return false; });
  wanted.insert(first.begin(), first.end());
  wanted.insert(this->hubs.begin(), this->hubs.end());
  return wanted;
}

PeerTopology::ConnectionChanges PeerTopology::TakeConnectionChanges()
{
  this->hubs = this->cells.Hubs(
    [this](const state::HostId& aHost) { return this->IsGone(aHost); });
  const std::set<state::HostId> wanted = this->Wanted();
  ConnectionChanges dials;
  for (const state::HostId& id : wanted) {
    const auto known = this->hosts.find(id);
    if (known != this->hosts.end()) {
      dials.toOpen[id] = known->second.address;
      this->dialled.try_emplace(id, this->hooks.now());
    }
  }
  std::erase_if(this->dialled, [&](const auto& aItem) {
    const bool over = !wanted.contains(aItem.first);
    if (over) {
      dials.toClose.push_back(aItem.first);
    }
    return over;
  });
  return dials;
}

bool PeerTopology::ShouldFollowTables(
  const std::vector<state::HostId>& aLiveMates,
  const std::function<bool(const state::HostId&)>& aReachesStore) const
{
  if (!this->cells.IsDivided() || this->hubs.contains(this->self.id)) {
    return true;
  }
  if (this->IsAnyHubReading(aReachesStore)) {
    return false;
  }
  const auto rank = [](const state::HostId& aHost) {
    return RendezvousScore(aHost.value, "reader");
  };
  const std::uint64_t own = rank(this->self.id);
  const auto goesBefore = [&](const state::HostId& aMate) {
    return aMate != this->self.id && rank(aMate) > own;
  };
  const auto before = std::ranges::count_if(aLiveMates, goesBefore);
  const auto reading =
    std::ranges::count_if(aLiveMates, [&](const state::HostId& aMate) {
      return goesBefore(aMate) && aReachesStore(aMate);
    });
  return reading < kReaders && before < kMostTrying;
}

bool PeerTopology::IsAnyHubReading(
  const std::function<bool(const state::HostId&)>& aReachesStore) const
{
  return std::ranges::any_of(this->hubs, [&](const state::HostId& aHub) {
    const bool isUnheard = this->hooks.lastHeardAt(aHub) == TimePoint{};
    return this->SilenceOf(aHub) < kHubSilent &&
           (isUnheard || aReachesStore(aHub));
  });
}

// The hub of its data centre, as bytes between those are paid for; where it has
// none, one of all.
state::HostId PeerTopology::HomeOf(const state::HostId& aHost) const
{
  const auto centreOf = [this](const state::HostId& aOne) {
    const auto found = this->hosts.find(aOne);
    return aOne == this->self.id        ? this->self.dataCentre
           : found == this->hosts.end() ? state::DataCentre{}
                                        : found->second.host.dataCentre;
  };
  const state::DataCentre centre = centreOf(aHost);
  const auto near = std::ranges::find(this->hubs, centre, centreOf);
  if (near != this->hubs.end()) {
    return *near;
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
    return this->hubs.contains(aHost) || this->HomeOf(aHost) == this->self.id;
  }
  return this->IsCellMember(aHost);
}

bool PeerTopology::IsMatesDue(std::int64_t aChanges) const
{
  const bool divided = this->cells.IsDivided();
  const Duration since = this->hooks.now() - this->matesToldAt;
  return (aChanges - this->toldChanges >= kChangesToTell &&
          (!divided || since >= kShortestInCell)) ||
         since >= (divided ? kLongestInCell : kLongestPause);
}

PeerTopology::DigestRecipients PeerTopology::TakeDigestRecipients(
  const std::set<std::string>& aReachable, std::int64_t aChanges)
{
  DigestRecipients due;
  const TimePoint now = this->hooks.now();
  const bool isHurried = std::exchange(this->hurries, false);
  const bool matesDue = isHurried || this->IsMatesDue(aChanges);
  const bool assigns = this->assigners.contains(this->self.id);
  const bool othersDue =
    this->cells.IsDivided() &&
    (isHurried || now - this->othersToldAt >= kOthersPause);
  if (matesDue) {
    this->matesToldAt = now;
    this->toldChanges = aChanges;
  }
  if (othersDue) {
    this->othersToldAt = now;
  }
  const bool tellsAll = assigns || this->hubs.contains(this->self.id);
  for (const std::string& host : aReachable) {
    const state::HostId id{ host };
    const bool isMate = this->IsCellMember(id);
    if (isMate && matesDue) {
      due.full.push_back(host);
    }
    if (!isMate && othersDue &&
        (tellsAll || this->hubs.contains(id) || this->assigners.contains(id))) {
      due.brief.push_back(host);
    }
  }
  return due;
}

} // namespace kumquat::node
