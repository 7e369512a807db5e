// What the upstreams that a gateway knows cost it: in each idle second, for
// each request, and for each change of an entry. A deployment has some ten
// upstreams for each host.

#include "slope.h"

#include "routing/cells.h"
#include "routing/upstreams.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <utility>

namespace kumquat::bench {

namespace {

using routing::Upstreams;

constexpr std::array<std::size_t, 4> kUpstreamCounts = { 400, 2'000, 10'000,
                                                         64'000 };
constexpr std::size_t kServices = 4;
constexpr std::size_t kDataCentres = 5;
// Of each kind of call, in each second of a gateway.
constexpr std::size_t kTicksPerSecond = 10;
constexpr std::size_t kDigestsPerSecond = 3;
constexpr std::size_t kSeconds = 10;
constexpr std::size_t kRequests = 2'000;
constexpr std::size_t kChanges = 20;

routing::UpstreamEntry MakeEntry(std::size_t aIndex, std::int64_t aSequence)
{
  routing::UpstreamEntry entry;
  entry.id = { fmt::format("i-{:08x}", aIndex) };
  entry.service = { fmt::format("service-{}", aIndex % kServices) };
  entry.address = "127.100.100.100:7000";
  entry.dataCentre = { fmt::format("centre-{}", aIndex % kDataCentres) };
  entry.slots = 3;
  entry.startedMs = 1;
  entry.sequence = aSequence;
  return entry;
}

void Fill(Upstreams& aUpstreams, std::size_t aCount, TimePoint aNow)
{
  for (std::size_t i = 0; i < aCount; ++i) {
    aUpstreams.PutEntry(MakeEntry(i, 1), aNow);
  }
  // One cell of nine hosts.
  const double share = 9 * 10 / static_cast<double>(aCount);
  aUpstreams.SetCellRange({ 0, share });
}

void IdleSecond(Upstreams& aUpstreams, TimePoint aNow)
{
  for (std::size_t i = 0; i < kTicksPerSecond; ++i) {
    aUpstreams.RemoveExpired(aNow);
  }
  for (std::size_t i = 0; i < kDigestsPerSecond; ++i) {
    static_cast<void>(aUpstreams.HasExpiring());
    aUpstreams.SetWaiting({});
    static_cast<void>(aUpstreams.TakeReports());
  }
}

} // namespace

std::vector<Slope> MeasureUpstreams()
{
  Slope idle{ "upstreams", "an idle second", "us", "upstream", {} };
  Slope request{
    "upstreams", "typical time, for a request", "ns", "upstream", {}
  };
  Slope change{ "upstreams", "a changed entry", "us", "upstream", {} };
  for (const std::size_t count : kUpstreamCounts) {
    const auto size = static_cast<double>(count);
    Upstreams upstreams;
    TimePoint now{ std::chrono::hours(1) };
    Fill(upstreams, count, now);
    const state::ServiceName service{ "service-0" };
    static_cast<void>(upstreams.ForService(service));
    idle.points.push_back(
      { size,
        TimeEach(kSeconds, [&](std::size_t) { IdleSecond(upstreams, now); }) /
          1e3 });
    // 100 requests a second.
    request.points.push_back({ size, TimeEach(kRequests, [&](std::size_t) {
                                 now += std::chrono::milliseconds(10);
                                 static_cast<void>(
                                   upstreams.TypicalServiceMs(service, now));
                               }) });
    change.points.push_back(
      { size, TimeEach(kChanges,
                       [&](std::size_t aIndex) {
                         upstreams.PutEntry(
                           MakeEntry(aIndex * 7,
                                     static_cast<std::int64_t>(aIndex) + 2),
                           now);
                         static_cast<void>(upstreams.ForService(service));
                       }) /
                1e3 });
  }
  return { idle, request, change };
}

} // namespace kumquat::bench
