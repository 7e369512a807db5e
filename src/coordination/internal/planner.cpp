// Planning of stewards, slices and owners of idempotency keys.

#include "coordination/planner.h"

#include "state/rows.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <limits>
#include <optional>
#include <ranges>
#include <utility>

namespace kumquat::coordination {

using state::ConditionalWrite;
using state::DataCentre;
using state::Endpoint;
using state::HostRecord;
using state::HostRef;
using state::ServiceConfiguration;
using state::ServiceName;
using state::SliceRecord;
using state::UpstreamId;
using state::UpstreamRecord;
using state::UpstreamRef;
using state::WriteOutcome;

namespace {

constexpr int kOwnerSlices = 16;
// Well below the 100 that one transaction may hold.
constexpr std::size_t kRowsPerWrite = 50;
// Slices on the move at once: away from what cannot serve, and for balance.
constexpr std::size_t kUrgentMoves = 16;
constexpr std::size_t kBalanceMoves = 2;

using Load = std::map<HostRef, int>;

// A range of the hash space: part aIndex of aCount.
std::pair<std::uint64_t, std::uint64_t> PartRange(int aIndex, int aCount)
{
  const std::uint64_t width = std::numeric_limits<std::uint64_t>::max() /
                              static_cast<std::uint64_t>(aCount);
  const std::uint64_t first = width * static_cast<std::uint64_t>(aIndex);
  const bool isLast = aIndex + 1 == aCount;
  return { first, isLast ? std::numeric_limits<std::uint64_t>::max()
                         : first + width - 1 };
}

std::string PartName(int aIndex)
{
  std::string digits = std::to_string(aIndex);
  constexpr std::size_t kDigits = 5;
  digits.insert(0, kDigits - std::min(kDigits, digits.size()), '0');
  return "p" + digits;
}

bool IsEligible(const HostRecord& aHost, const Planner::View& aView)
{
  return !aView.map.IsOut(aHost.dataCentre.value) &&
         !aView.map.IsOut(aHost.ref.host.value);
}

std::vector<const HostRecord*> EligibleHosts(const Planner::View& aView)
{
  std::vector<const HostRecord*> eligible;
  for (const HostRecord& host : aView.liveHosts) {
    if (IsEligible(host, aView)) {
      eligible.push_back(&host);
    }
  }
  return eligible;
}

Load StewardLoad(const Planner::View& aView)
{
  Load load;
  for (const HostRecord& host : aView.liveHosts) {
    load[host.ref] = 0;
  }
  for (const ServiceConfiguration& service : aView.configuration.services) {
    for (const UpstreamRecord* upstream : aView.map.Upstreams(service.name)) {
      const auto found = load.find(upstream->steward);
      if (found != load.end()) {
        ++found->second;
      }
    }
  }
  return load;
}

// The least loaded host of the data centre, or of all where it has none.
const HostRecord* PickSteward(const std::vector<const HostRecord*>& aHosts,
                              const Load& aLoad, const DataCentre& aDataCentre)
{
  const auto rank = [&](const HostRecord* aHost) {
    const int far = aHost->dataCentre == aDataCentre ? 0 : 1;
    return std::tuple(far, aLoad.at(aHost->ref), aHost->ref);
  };
  const auto best = std::ranges::min_element(
    aHosts, [&rank](const HostRecord* aOne, const HostRecord* aOther) {
      return rank(aOne) < rank(aOther);
    });
  return best == aHosts.end() ? nullptr : *best;
}

const std::vector<Endpoint>& EndpointsOf(const ServiceName& aService,
                                         const Planner::View& aView)
{
  static const std::vector<Endpoint> kNone;
  const auto found = aView.endpoints.find(aService);
  return found == aView.endpoints.end() ? kNone : found->second;
}

bool IsStewardLive(const UpstreamRecord& aUpstream, const Planner::View& aView)
{
  return std::ranges::any_of(aView.liveHosts, [&](const HostRecord& aHost) {
    return aHost.ref == aUpstream.steward;
  });
}

// Upstreams that may be given slices now.
std::set<UpstreamId> UsableUpstreams(const ServiceName& aService,
                                     const Planner::View& aView)
{
  std::set<UpstreamId> usable;
  for (const Endpoint& endpoint : EndpointsOf(aService, aView)) {
    const UpstreamRef ref{ aService, UpstreamId{ endpoint.id } };
    const UpstreamRecord* upstream = aView.map.FindUpstream(ref);
    const bool fit = endpoint.ready && !endpoint.terminating &&
                     upstream != nullptr && IsStewardLive(*upstream, aView) &&
                     !aView.map.IsOut(endpoint.dataCentre.value) &&
                     !aView.isUnusable(ref);
    if (fit) {
      usable.insert(ref.upstream);
    }
  }
  return usable;
}

// Else the first ones would get all slices, and the rest a move later.
bool AllHaveStewards(const ServiceName& aService, const Planner::View& aView)
{
  return std::ranges::all_of(
    EndpointsOf(aService, aView), [&](const Endpoint& aEndpoint) {
      return aView.map.FindUpstream({ aService, { aEndpoint.id } }) != nullptr;
    });
}

std::map<UpstreamId, int> SliceCounts(
  const std::vector<const SliceRecord*>& aSlices,
  const std::set<UpstreamId>& aUsable)
{
  std::map<UpstreamId, int> counts;
  for (const UpstreamId& upstream : aUsable) {
    counts[upstream] = 0;
  }
  for (const SliceRecord* slice : aSlices) {
    const auto found = counts.find(slice->upstream);
    if (found != counts.end()) {
      ++found->second;
    }
  }
  return counts;
}

auto LeastOf(auto& aCounts)
{
  return std::ranges::min_element(
    aCounts, {}, [](const auto& aEntry) { return aEntry.second; });
}

auto MostOf(auto& aCounts)
{
  return std::ranges::max_element(
    aCounts, {}, [](const auto& aEntry) { return aEntry.second; });
}

} // namespace

ServiceName OwnersOf(const ServiceName& aService)
{
  return { aService.value + "#owners" };
}

Planner::Planner(Hooks aHooks)
  : hooks(std::move(aHooks))
{
}

void Planner::Plan(const View& aView)
{
  for (const ServiceConfiguration& service : aView.configuration.services) {
    if (this->IsMine(service.name, aView)) {
      this->PlanService(service, aView);
    }
  }
}

// The live host with the highest hash of its name and the service's. Two hosts
// with different lists may both plan: their writes are conditional.
bool Planner::IsMine(const ServiceName& aService, const View& aView) const
{
  const auto weight = [&aService](const HostRecord& aHost) {
    return state::HashKey(aHost.ref.host.value + "/" + aService.value);
  };
  const auto best = std::ranges::max_element(aView.liveHosts, {}, weight);
  return best != aView.liveHosts.end() && best->ref == this->hooks.self;
}

void Planner::PlanService(const ServiceConfiguration& aService,
                          const View& aView)
{
  if (this->progress[aService.name].writing) {
    return;
  }
  if (this->Write(aService.name, this->UpstreamWrites(aService, aView))) {
    return;
  }
  if (aService.keyed) {
    if (this->Write(aService.name, this->FirstSlices(aService, aView))) {
      return;
    }
    this->MoveSlices(aService, aView);
  }
  if (!aService.idempotent &&
      this->Write(aService.name, this->OwnerWrites(aService, aView))) {
    return;
  }
  // A steward that loses the upstream cannot finish ending its grants, and the
  // slice would wait for the time-out.
  if (this->progress[aService.name].revoking.empty()) {
    this->Write(aService.name, this->BalanceStewards(aService, aView));
  }
}

// New upstreams, moved addresses, and upstreams whose steward is gone.
Planner::Writes Planner::UpstreamWrites(const ServiceConfiguration& aService,
                                        const View& aView) const
{
  Writes writes;
  const auto hosts = EligibleHosts(aView);
  if (hosts.empty()) {
    return writes;
  }
  Load load = StewardLoad(aView);
  for (const Endpoint& endpoint : EndpointsOf(aService.name, aView)) {
    const UpstreamRef ref{ aService.name, UpstreamId{ endpoint.id } };
    const UpstreamRecord* known = aView.map.FindUpstream(ref);
    const bool keeps = known != nullptr && IsStewardLive(*known, aView);
    if (keeps && known->address == endpoint.address) {
      continue;
    }
    UpstreamRecord record = known != nullptr ? *known : UpstreamRecord{};
    record.ref = ref;
    record.address = endpoint.address;
    record.dataCentre = endpoint.dataCentre;
    if (!keeps) {
      const HostRecord* steward = PickSteward(hosts, load, endpoint.dataCentre);
      record.steward = steward->ref;
      ++load[steward->ref];
    }
    ++record.epoch;
    writes.push_back(this->Put(record));
    if (writes.size() == kRowsPerWrite) {
      break;
    }
  }
  return writes;
}

// Moves one upstream from a host that has at least two more than another of
// the same data centre, or from a place that is out.
Planner::Writes Planner::BalanceStewards(const ServiceConfiguration& aService,
                                         const View& aView) const
{
  Writes writes;
  const auto hosts = EligibleHosts(aView);
  if (hosts.empty()) {
    return writes;
  }
  const Load load = StewardLoad(aView);
  for (const UpstreamRecord* upstream : aView.map.Upstreams(aService.name)) {
    const HostRecord* current = aView.map.FindHost(upstream->steward.host);
    const HostRecord* best = PickSteward(hosts, load, upstream->dataCentre);
    if (current == nullptr || best->ref == upstream->steward) {
      continue;
    }
    const bool stays = IsEligible(*current, aView) &&
                       (current->dataCentre == upstream->dataCentre ||
                        best->dataCentre != upstream->dataCentre);
    const auto known = load.find(upstream->steward);
    const int heavier =
      known == load.end() ? 0 : known->second - load.at(best->ref);
    if (stays && heavier < 2) {
      continue;
    }
    UpstreamRecord record = *upstream;
    record.steward = best->ref;
    ++record.epoch;
    writes.push_back(this->Put(record));
    break;
  }
  return writes;
}

Planner::Writes Planner::FirstSlices(const ServiceConfiguration& aService,
                                     const View& aView) const
{
  Writes writes;
  const auto usable = UsableUpstreams(aService.name, aView);
  if (usable.empty() || !AllHaveStewards(aService.name, aView)) {
    return writes;
  }
  auto owner = usable.begin();
  for (int index = 0; index < aService.slices; ++index) {
    const auto [first, last] = PartRange(index, aService.slices);
    if (aView.map.FindSlice(aService.name, first) != nullptr) {
      continue;
    }
    SliceRecord slice;
    slice.service = aService.name;
    slice.part = PartName(index);
    slice.first = first;
    slice.last = last;
    slice.upstream = *owner;
    slice.epoch = 1;
    writes.push_back(this->Put(slice));
    if (writes.size() == kRowsPerWrite) {
      break;
    }
    ++owner;
    owner = owner == usable.end() ? usable.begin() : owner;
  }
  return writes;
}

Planner::Writes Planner::OwnerWrites(const ServiceConfiguration& aService,
                                     const View& aView) const
{
  Writes writes;
  const ServiceName owners = OwnersOf(aService.name);
  const auto hosts = EligibleHosts(aView);
  if (hosts.empty()) {
    return writes;
  }
  std::map<HostRef, int> counts;
  for (const HostRecord* host : hosts) {
    counts[host->ref] = 0;
  }
  for (const SliceRecord* slice : aView.map.Slices(owners)) {
    const auto found = counts.find(slice->host);
    if (found != counts.end()) {
      ++found->second;
    }
  }
  for (int index = 0; index < kOwnerSlices; ++index) {
    const auto [first, last] = PartRange(index, kOwnerSlices);
    const SliceRecord* known = aView.map.FindSlice(owners, first);
    if (known != nullptr && counts.contains(known->host)) {
      continue;
    }
    SliceRecord slice = known != nullptr ? *known : SliceRecord{};
    slice.service = owners;
    slice.part = PartName(index);
    slice.first = first;
    slice.last = last;
    slice.predecessor = slice.host;
    const auto least = LeastOf(counts);
    slice.host = least->first;
    ++least->second;
    ++slice.epoch;
    writes.push_back(this->Put(slice));
  }
  return writes;
}

void Planner::MoveSlices(const ServiceConfiguration& aService,
                         const View& aView)
{
  const auto usable = UsableUpstreams(aService.name, aView);
  if (usable.empty()) {
    return;
  }
  const auto slices = aView.map.Slices(aService.name);
  auto counts = SliceCounts(slices, usable);
  const std::set<std::string>& revoking =
    this->progress[aService.name].revoking;
  for (const SliceRecord* slice : slices) {
    if (revoking.size() >= kUrgentMoves) {
      return;
    }
    if (usable.contains(slice->upstream) || revoking.contains(slice->part)) {
      continue;
    }
    const auto least = LeastOf(counts);
    ++least->second;
    this->MoveSlice(*slice, least->first, aView);
  }
  for (const SliceRecord* slice : slices) {
    const auto least = LeastOf(counts);
    const auto most = MostOf(counts);
    if (revoking.size() >= kBalanceMoves || most->second - least->second < 2) {
      return;
    }
    if (slice->upstream != most->first || revoking.contains(slice->part)) {
      continue;
    }
    ++least->second;
    --most->second;
    this->MoveSlice(*slice, least->first, aView);
  }
}

// First the grant ends, then the table names the new owner. The steward that
// ended it is checked in the same transaction: another one, which took over
// meanwhile and does not know of the move, has granted the slice again.
void Planner::MoveSlice(const SliceRecord& aSlice, const UpstreamId& aTarget,
                        const View& aView)
{
  SliceRecord moved = aSlice;
  moved.upstream = aTarget;
  ++moved.epoch;
  Writes writes{ this->Put(moved) };
  const UpstreamRecord* old =
    aView.map.FindUpstream({ aSlice.service, aSlice.upstream });
  if (old != nullptr) {
    ConditionalWrite check = this->Put(*old);
    check.onlyCheck = true;
    writes.push_back(check);
  }
  this->progress[aSlice.service].revoking.insert(aSlice.part);
  this->hooks.revoke(aSlice, [this, service = aSlice.service,
                              part = aSlice.part, writes](bool aRevoked) {
    if (!aRevoked) {
      this->progress[service].revoking.erase(part);
      return;
    }
    this->hooks.write(writes, [this, service, part](WriteOutcome aOutcome) {
      this->progress[service].revoking.erase(part);
      this->counters.sliceMoves += aOutcome == WriteOutcome::kWritten;
      this->counters.conflicts += aOutcome == WriteOutcome::kConflict;
    });
  });
}

bool Planner::Write(const ServiceName& aService, Writes aWrites)
{
  if (aWrites.empty()) {
    return false;
  }
  this->progress[aService].writing = true;
  const std::size_t rows = aWrites.size();
  this->hooks.write(
    std::move(aWrites), [this, aService, rows](WriteOutcome aOutcome) {
      this->progress[aService].writing = false;
      this->counters.stewardMoves +=
        aOutcome == WriteOutcome::kWritten ? rows : 0;
      this->counters.conflicts += aOutcome == WriteOutcome::kConflict;
    });
  return true;
}

state::Row Planner::WithNonce(state::Row aRow) const
{
  constexpr std::uint64_t kNonces = std::numeric_limits<std::uint64_t>::max();
  aRow.nonce = this->hooks.self.host.value + "-" +
               std::to_string(this->hooks.random(kNonces));
  return aRow;
}

ConditionalWrite Planner::Put(const UpstreamRecord& aRecord) const
{
  return { .row = this->WithNonce(state::ToRow(aRecord)),
           .expected = aRecord.version };
}

ConditionalWrite Planner::Put(const SliceRecord& aRecord) const
{
  return { .row = this->WithNonce(state::ToRow(aRecord)),
           .expected = aRecord.version };
}

} // namespace kumquat::coordination
