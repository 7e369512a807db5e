// What remembering idempotency keys costs a witness, and what a collection
// from it costs.

#include "slope.h"

#include "coordination/witnesslog.h"
#include "protocol/codec.h"

#include <spdlog/fmt/fmt.h>

#include <array>

namespace kumquat::bench {

namespace {

using coordination::WitnessLog;

constexpr std::array<std::size_t, 3> kKeyCounts = { 1'000, 10'000, 100'000 };
const state::ServiceName kService = { "archeb" };
const state::HostRef kOwner = { { "caerdydd-1" }, 1'700'000'000 };

std::string KeyOf(std::size_t aIndex)
{
  return fmt::format("01234567-89ab-7cde-8f01-{:012x}", aIndex);
}

} // namespace

std::vector<Slope> MeasureDuplicates()
{
  Slope memory{
    "duplicates", "memory of a witness for keys", "bytes", "key", {}
  };
  Slope time{ "duplicates", "noting one key", "ns", "key", {} };
  Slope collect{ "duplicates", "answering a collection", "us", "key", {} };
  Slope bytes{ "duplicates", "a collection's answer", "bytes", "key", {} };
  for (const std::size_t count : kKeyCounts) {
    const auto size = static_cast<double>(count);
    const std::size_t before = AllocatedBytes();
    WitnessLog log(
      { .clock = [] { return TimePoint(std::chrono::hours(1)); },
        .knownEpoch = [](const state::ServiceName&,
                         std::uint64_t) { return 1; },
        .isDeposed = [](const state::HostRef&) { return false; } });
    std::size_t refused = 0;
    time.points.push_back({ size, TimeEach(count, [&](std::size_t aIndex) {
                              refused += log.Note({ kOwner, 1 }, kService,
                                                  KeyOf(aIndex)) !=
                                         protocol::ErrorKind::kNone;
                            }) });
    memory.points.push_back(
      { size, static_cast<double>(AllocatedBytes() - before) });
    protocol::CollectRequest request;
    request.predecessor.host = kOwner.host.value;
    request.predecessor.incarnation = kOwner.incarnation;
    request.serviceName = kService.value;
    request.first = 0;
    // All 64 bits set, as a signed number.
    request.last = -1;
    request.epoch = 2;
    protocol::CollectReply reply;
    collect.points.push_back(
      { size,
        TimeEach(1, [&](std::size_t) { reply = log.Answer(request); }) / 1e3 });
    protocol::Frame frame;
    frame.__set_collectReply(reply);
    bytes.points.push_back(
      { size, static_cast<double>(protocol::EncodeFrame(frame).size()) });
  }
  return { memory, time, collect, bytes };
}

} // namespace kumquat::bench
