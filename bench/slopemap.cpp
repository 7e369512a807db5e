// What the routing map costs: memory, look-ups and applied changes.

#include "slope.h"

#include "state/routingmap.h"
#include "state/types.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <limits>
#include <memory>

namespace kumquat::bench {

namespace {

constexpr std::array<std::size_t, 4> kSliceCounts = { 1'000, 10'000, 100'000,
                                                      1'000'000 };
constexpr std::array<std::size_t, 4> kHostCounts = { 12, 100, 1'000, 6'400 };
constexpr std::size_t kLookUps = 1'000'000;
constexpr std::size_t kChanges = 100'000;
constexpr std::size_t kUpstreams = 1'000;

const state::ServiceName kService = { "stoc" };

state::SliceRecord MakeSlice(std::size_t aIndex, std::size_t aCount,
                             state::Version aVersion)
{
  const std::uint64_t width =
    std::numeric_limits<std::uint64_t>::max() / aCount;
  return { .service = kService,
           .part = fmt::format("{:016x}", aIndex * width),
           .first = aIndex * width,
           .last = (aIndex + 1) * width - 1,
           .upstream = { fmt::format("stoc-{}", aIndex % kUpstreams) },
           .epoch = aVersion,
           .version = aVersion };
}

state::HostRecord MakeHost(std::size_t aIndex)
{
  state::HostRecord record;
  record.ref = { { fmt::format("caerdydd-{}", aIndex) }, 1'700'000'000 };
  record.peerAddress = "127.100.100.100:7000";
  record.dataCentre = { "caerdydd" };
  for (std::size_t guard = 1; guard <= 5; ++guard) {
    record.guards.push_back(
      { { fmt::format("abertawe-{}", aIndex + guard) }, 1'700'000'000 });
  }
  record.version = 1;
  return record;
}

// The mixed-up order keeps the processor's caches from hiding the cost.
std::uint64_t Scatter(std::size_t aIndex)
{
  constexpr std::uint64_t kGolden = 0x9e3779b97f4a7c15ULL;
  return (aIndex + 1) * kGolden;
}

} // namespace

std::vector<Slope> MeasureMap()
{
  Slope memory{ "map", "memory for slices", "bytes", "slice", {} };
  Slope put{ "map", "loading all slices", "ms", "slice", {} };
  Slope lookUp{ "map", "look-up of a key's slice", "ns", "slice", {} };
  Slope change{ "map", "applying one changed slice", "ns", "slice", {} };
  for (const std::size_t count : kSliceCounts) {
    const auto size = static_cast<double>(count);
    const std::size_t before = AllocatedBytes();
    auto map = std::make_unique<state::RoutingMap>();
    const double each = TimeEach(count, [&map, count](std::size_t aIndex) {
      map->Put(MakeSlice(aIndex, count, 1));
    });
    memory.points.push_back(
      { size, static_cast<double>(AllocatedBytes() - before) });
    put.points.push_back({ size, each * size / 1e6 });
    std::size_t found = 0;
    lookUp.points.push_back(
      { size, TimeEach(kLookUps, [&map, &found](std::size_t aIndex) {
          found += map->FindSlice(kService, Scatter(aIndex)) != nullptr;
        }) });
    change.points.push_back(
      { size, TimeEach(kChanges, [&map, count](std::size_t aIndex) {
          map->Put(MakeSlice(Scatter(aIndex) % count, count,
                             static_cast<state::Version>(aIndex) + 2));
        }) });
  }
  Slope hosts{ "map", "memory for host rows, 5 guards", "bytes", "host", {} };
  for (const std::size_t count : kHostCounts) {
    const std::size_t before = AllocatedBytes();
    state::RoutingMap map;
    for (std::size_t i = 0; i < count; ++i) {
      map.Put(MakeHost(i));
    }
    hosts.points.push_back({ static_cast<double>(count),
                             static_cast<double>(AllocatedBytes() - before) });
  }
  return { memory, put, lookUp, change, hosts };
}

} // namespace kumquat::bench
