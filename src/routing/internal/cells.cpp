// The division into cells, and the choice of hubs.

#include "routing/cells.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace kumquat::routing {

namespace {

// Hosts of a cell. Smaller cells have too few upstreams to choose among, ten
// for the smallest services; in larger ones the cost of messages grows with the
// square of the size.
constexpr double kCellSize = 9;
// Up to this many hosts form one cell: twelve hosts exchange full digests for a
// tenth of what their requests cost.
constexpr std::size_t kMaxHostsOfOneCell = 20;
// Data centres that have a hub. At most one of three data centres is lost at a
// time.
constexpr std::size_t kMaxHubs = 3;

auto OrderOf(const CellHost& aHost)
{
  return std::make_tuple(aHost.dataCentre,
                         RendezvousScore(aHost.id.value, "cell"), aHost.id);
}

// Computes the order of each host once; a sort asks for it many times.
void SortByOrder(std::vector<CellHost>& aHosts)
{
  std::vector<std::pair<decltype(OrderOf(aHosts.front())), CellHost*>> ordered;
  std::ranges::transform(
    aHosts, std::back_inserter(ordered),
    [](CellHost& aHost) { return std::make_pair(OrderOf(aHost), &aHost); });
  std::ranges::sort(ordered);
  std::vector<CellHost> sorted;
  std::ranges::transform(
    ordered, std::back_inserter(sorted),
    [](const auto& aItem) { return std::move(*aItem.second); });
  aHosts = std::move(sorted);
}

bool IsSame(const CellHost& aOne, const CellHost& aOther)
{
  return aOne.id == aOther.id && aOne.dataCentre == aOther.dataCentre &&
         aOne.processors == aOther.processors;
}

// Ranges that only touch do not overlap, also where their ends were rounded.
constexpr double kRounding = 1e-9;

} // namespace

bool BeginsInRange(const FractionRange& aRange, std::size_t aPlace,
                   std::size_t aCount)
{
  const double begin =
    static_cast<double>(aPlace) / static_cast<double>(aCount);
  return begin >= aRange.begin - kRounding && begin < aRange.end - kRounding;
}

bool OverlapsRange(const FractionRange& aRange, std::size_t aPlace,
                   std::size_t aCount)
{
  const double count = static_cast<double>(aCount);
  const double begin = static_cast<double>(aPlace) / count;
  const double end = static_cast<double>(aPlace + 1) / count;
  return begin < aRange.end - kRounding && end > aRange.begin + kRounding;
}

double PartInRange(const FractionRange& aRange, std::size_t aPlace,
                   std::size_t aCount)
{
  const double count = static_cast<double>(aCount);
  const double begin =
    std::max(aRange.begin, static_cast<double>(aPlace) / count);
  const double end =
    std::min(aRange.end, static_cast<double>(aPlace + 1) / count);
  return std::clamp((end - begin) * count, 0.0, 1.0);
}

Cells::Cells(state::HostId aSelf)
  : self(std::move(aSelf))
  , members{ this->self }
{
}

void Cells::SetHosts(std::vector<CellHost> aHosts)
{
  SortByOrder(aHosts);
  if (std::ranges::equal(aHosts, this->hosts, IsSame)) {
    return;
  }
  this->hosts = std::move(aHosts);
  this->divided = this->hosts.size() > kMaxHostsOfOneCell;
  this->ComputeOwnCell();
  this->RankHubCandidates();
}

void Cells::ComputeOwnCell()
{
  this->members.clear();
  this->ownRange = {};
  const auto begin = this->hosts.begin();
  const auto own = std::ranges::find(this->hosts, this->self, &CellHost::id);
  auto first = begin;
  auto last = this->hosts.end();
  if (this->divided && own != last) {
    const auto ofCentre = std::ranges::equal_range(this->hosts, own->dataCentre,
                                                   {}, &CellHost::dataCentre);
    const auto size = ofCentre.size();
    const auto cells = static_cast<std::size_t>(
      std::max(1.0, std::round(static_cast<double>(size) / kCellSize)));
    const auto place =
      static_cast<std::size_t>(std::distance(ofCentre.begin(), own));
    const std::size_t cell = place * cells / size;
    // The least place p with p * cells / size >= aCell, rounded up.
    const auto startOf = [cells, size](std::size_t aCell) {
      return static_cast<std::ptrdiff_t>((aCell * size + cells - 1) / cells);
    };
    first = ofCentre.begin() + startOf(cell);
    last = ofCentre.begin() + startOf(cell + 1);
    const auto all = static_cast<double>(this->hosts.size());
    this->ownRange = { static_cast<double>(first - begin) / all,
                       static_cast<double>(last - begin) / all };
  }
  std::transform(first, last, std::inserter(this->members, this->members.end()),
                 [](const CellHost& aHost) { return aHost.id; });
  this->members.insert(this->self);
}

void Cells::RankHubCandidates()
{
  this->hubCandidates.clear();
  if (!this->divided) {
    return;
  }
  std::map<state::DataCentre, std::vector<CellHost>> byCentre;
  for (const CellHost& host : this->hosts) {
    byCentre[host.dataCentre].push_back(host);
  }
  std::vector<state::DataCentre> centres;
  std::ranges::transform(byCentre, std::back_inserter(centres),
                         [](const auto& aItem) { return aItem.first; });
  std::ranges::sort(centres, std::greater{}, [](const auto& aCentre) {
    return RendezvousScore(aCentre.value, "hubs");
  });
  centres.resize(std::min(centres.size(), kMaxHubs));
  for (const state::DataCentre& centre : centres) {
    std::vector<CellHost>& ranked = byCentre[centre];
    std::ranges::sort(ranked, std::greater{}, [](const CellHost& aHost) {
      return std::make_pair(aHost.processors,
                            RendezvousScore(aHost.id.value, "hub"));
    });
    std::vector<state::HostId> ids;
    std::ranges::transform(ranked, std::back_inserter(ids), &CellHost::id);
    this->hubCandidates.push_back(std::move(ids));
  }
}

std::set<state::HostId> Cells::Hubs(
  const std::function<bool(const state::HostId&)>& aIsUnreachable) const
{
  std::set<state::HostId> hubs;
  for (const std::vector<state::HostId>& ranked : this->hubCandidates) {
    const auto reachable = std::ranges::find_if_not(ranked, aIsUnreachable);
    hubs.insert(reachable == ranked.end() ? ranked.front() : *reachable);
  }
  return hubs;
}

} // namespace kumquat::routing
