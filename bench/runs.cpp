// Reading and reckoning the log of runs.

#include "runs.h"

#include "standins/launcher.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <optional>
#include <ranges>
#include <string_view>
#include <unordered_map>

namespace kumquat::bench {

namespace {

using nlohmann::json;
using std::chrono::microseconds;

constexpr std::string_view kNonce = "?n=";
constexpr std::chrono::milliseconds kTimeout(30'000);

TimePoint FromMicros(const json& aValue)
{
  return TimePoint(microseconds(aValue.get<std::int64_t>()));
}

UpstreamRun FromJson(const json& aRun)
{
  return { .service = aRun.at("service"),
           .instance = aRun.at("instance"),
           .target = aRun.at("target"),
           .idempotencyKey = aRun.at("idempotency_key"),
           .start = FromMicros(aRun.at("start_us")),
           .end = FromMicros(aRun.at("end_us")),
           .running = aRun.at("running"),
           .bears = aRun.at("bears"),
           .ran = aRun.at("outcome") == "ran" };
}

json ReadPage(const std::string& aControl, std::uint64_t aFrom)
{
  const auto answer = standins::Request(
    aControl, { .target = fmt::format("/control/runs?after={}", aFrom) },
    kTimeout);
  return answer ? json::parse(answer->body, nullptr, false) : json();
}

std::string NonceOf(const std::string& aTarget)
{
  const std::size_t at = aTarget.find(kNonce);
  return at == std::string::npos ? std::string()
                                 : aTarget.substr(at + kNonce.size());
}

// The first run of each request of a service, by its nonce.
std::unordered_map<std::string, const UpstreamRun*> FirstRuns(
  const std::vector<UpstreamRun>& aRuns, const std::string& aService)
{
  std::unordered_map<std::string, const UpstreamRun*> runs;
  for (const UpstreamRun& run : aRuns) {
    if (run.service == aService) {
      runs.try_emplace(NonceOf(run.target), &run);
    }
  }
  return runs;
}

// When each instance of a service had how many requests.
class Occupancy
{
public:
  Occupancy(const std::vector<UpstreamRun>& aRuns, const std::string& aService,
            int aInstances)
    : instances(static_cast<std::size_t>(aInstances))
  {
    for (const UpstreamRun& run : aRuns) {
      if (run.service == aService) {
        Times& times = this->byInstance[run.instance];
        times.starts.push_back(run.start);
        times.ends.push_back(run.end);
      }
    }
    for (Times& times : this->byInstance | std::views::values) {
      std::ranges::sort(times.starts);
      std::ranges::sort(times.ends);
    }
  }

  bool HasFreeSlot(TimePoint aAt) const
  {
    return this->byInstance.size() < this->instances ||
           std::ranges::any_of(
             this->byInstance | std::views::values, [aAt](const Times& aTimes) {
               return aTimes.RunningAt(aAt) < standins::kUpstreamSlots;
             });
  }

private:
  struct Times
  {
    std::vector<TimePoint> starts;
    std::vector<TimePoint> ends;

    int RunningAt(TimePoint aAt) const
    {
      const auto begun = std::ranges::upper_bound(this->starts, aAt);
      const auto ended = std::ranges::upper_bound(this->ends, aAt);
      return static_cast<int>((begun - this->starts.begin()) -
                              (ended - this->ends.begin()));
    }
  };

  std::size_t instances;
  std::map<std::string, Times> byInstance;
};

} // namespace

std::vector<UpstreamRun> ReadRuns(const std::string& aControl,
                                  std::uint64_t& aNext)
{
  std::vector<UpstreamRun> runs;
  for (;;) {
    const json page = ReadPage(aControl, aNext);
    if (!page.is_object() || page.at("runs").empty()) {
      return runs;
    }
    std::ranges::transform(page.at("runs"), std::back_inserter(runs), FromJson);
    aNext = page.at("next");
  }
}

std::map<std::string, UpstreamUse> UseOfUpstreams(
  const std::vector<UpstreamRun>& aRuns, const InstanceCounts& aInstances,
  TimePoint aStart, Duration aDuration)
{
  std::map<std::string, std::map<std::string, double>> busy;
  const TimePoint end = aStart + aDuration;
  for (const UpstreamRun& run : aRuns) {
    const std::chrono::duration<double> time =
      std::min(run.end, end) - std::max(run.start, aStart);
    busy[run.service][run.instance] += std::max(0.0, time.count());
  }
  std::map<std::string, UpstreamUse> use;
  const double seconds = std::chrono::duration<double>(aDuration).count();
  for (const auto& [service, byInstance] : busy) {
    const auto times = byInstance | std::views::values;
    const double sum = std::accumulate(times.begin(), times.end(), 0.0);
    const auto found = aInstances.find(service);
    if (found == aInstances.end() || sum == 0) {
      continue;
    }
    const double instances = found->second;
    use[service] = { .slotUse =
                       sum / (instances * standins::kUpstreamSlots * seconds),
                     .imbalance =
                       *std::ranges::max_element(times) * instances / sum };
  }
  return use;
}

std::size_t CountDoubleRuns(const std::vector<UpstreamRun>& aRuns)
{
  std::unordered_map<std::string, int> times;
  for (const UpstreamRun& run : aRuns) {
    if (run.ran && !run.idempotencyKey.empty()) {
      ++times[run.idempotencyKey];
    }
  }
  return static_cast<std::size_t>(std::ranges::count_if(
    times | std::views::values, [](int aTimes) { return aTimes > 1; }));
}

std::size_t CountBeyondBearing(const std::vector<UpstreamRun>& aRuns)
{
  return static_cast<std::size_t>(std::ranges::count_if(
    aRuns, [](const UpstreamRun& aRun) { return aRun.running > aRun.bears; }));
}

double OverflowWhileIdle(const LoadResult& aLoad, const std::string& aService,
                         const std::vector<UpstreamRun>& aRuns, int aInstances,
                         Duration aPatience)
{
  const auto firstRuns = FirstRuns(aRuns, aService);
  const Occupancy occupancy(aRuns, aService, aInstances);
  std::size_t requests = 0;
  std::size_t overflowed = 0;
  for (const LoadOutcome& outcome : aLoad.outcomes) {
    if (aLoad.services[outcome.service].service != aService) {
      continue;
    }
    ++requests;
    const TimePoint at = aLoad.start + outcome.intended + aPatience;
    const auto run = firstRuns.find(outcome.nonce);
    const bool waited = run == firstRuns.end() || run->second->start > at;
    if (waited && occupancy.HasFreeSlot(at)) {
      ++overflowed;
    }
  }
  return requests == 0
           ? 0
           : static_cast<double>(overflowed) / static_cast<double>(requests);
}

std::vector<double> Overheads(const LoadResult& aLoad,
                              const std::string& aService,
                              const std::vector<UpstreamRun>& aRuns)
{
  const auto firstRuns = FirstRuns(aRuns, aService);
  std::vector<double> overheads;
  for (const LoadOutcome& outcome : aLoad.outcomes) {
    const auto run = firstRuns.find(outcome.nonce);
    if (run == firstRuns.end() || outcome.verdict != Verdict::kAnswered) {
      continue;
    }
    const std::chrono::duration<double, std::milli> overhead =
      outcome.latency - (run->second->end - run->second->start);
    overheads.push_back(overhead.count());
  }
  return overheads;
}

} // namespace kumquat::bench
