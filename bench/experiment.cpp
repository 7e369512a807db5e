// Each experiment loads the deployment, disturbs it, and reads the figures
// from the callers' outcomes and from the upstreams' own log.

#include "experiment.h"

#include "summary.h"

#include <nlohmann/json.hpp>
#include <pcg_random.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <numeric>
#include <random>
#include <ranges>
#include <set>
#include <thread>

namespace kumquat::bench {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kWarmUp(2000);
constexpr double kModerate = 0.6;

// A load before which nothing is measured: connections open, counts settle.
void WarmUp(Testbed& aTestbed)
{
  static_cast<void>(aTestbed.Run(aTestbed.LoadAt(0.3), kWarmUp));
}

double AnsweredShare(const LoadResult& aLoad)
{
  const auto answered = std::ranges::count(aLoad.outcomes, Verdict::kAnswered,
                                           &LoadOutcome::verdict);
  return static_cast<double>(answered) /
         static_cast<double>(std::max<std::size_t>(1, aLoad.outcomes.size()));
}

// What must not be, and what callers saw of each service.
void AddCommon(const Testbed::Measured& aMeasured, const std::string& aPrefix,
               Figures& aFigures)
{
  aFigures[aPrefix + "wrong answers"] =
    static_cast<double>(CountWrong(aMeasured.load));
  aFigures[aPrefix + "double runs"] =
    static_cast<double>(CountDoubleRuns(aMeasured.runs));
  aFigures[aPrefix + "beyond bearing"] =
    static_cast<double>(CountBeyondBearing(aMeasured.runs));
  aFigures[aPrefix + "answered share"] = AnsweredShare(aMeasured.load);
  aFigures[aPrefix + "load lag ms"] =
    std::chrono::duration<double, std::milli>(aMeasured.load.worstLag).count();
  for (const ServiceSummary& one : SummariseServices(aMeasured.load)) {
    const std::string name = aPrefix + one.service;
    aFigures[name + " p50 ms"] = one.latency.p50;
    aFigures[name + " p99 ms"] = one.latency.p99;
    aFigures[name + " p99.9 ms"] = one.latency.p999;
    aFigures[name + " not answered"] =
      static_cast<double>(one.requests - one.answered);
    aFigures[name + " unavailable ms"] =
      static_cast<double>(one.unavailable.count());
    for (const auto& [kind, count] : one.refused) {
      aFigures[fmt::format("{} refused {}", name, kind)] =
        static_cast<double>(count);
    }
  }
}

void AddChoosing(const Testbed& aTestbed, const Testbed::Measured& aMeasured,
                 Duration aDuration, const std::string& aPrefix,
                 Figures& aFigures)
{
  const InstanceCounts instances = aTestbed.Instances();
  const auto use =
    UseOfUpstreams(aMeasured.runs, instances, aMeasured.load.start, aDuration);
  const std::vector<std::string> unkeyed = aTestbed.UnkeyedServices();
  double overflow = 0;
  double imbalance = 0;
  std::vector<double> overheads;
  for (const std::string& service : unkeyed) {
    overflow += OverflowWhileIdle(aMeasured.load, service, aMeasured.runs,
                                  instances.at(service), aTestbed.Patience());
    const auto found = use.find(service);
    imbalance += found == use.end() ? 0 : found->second.imbalance;
    std::ranges::copy(Overheads(aMeasured.load, service, aMeasured.runs),
                      std::back_inserter(overheads));
  }
  const auto count = static_cast<double>(unkeyed.size());
  aFigures[aPrefix + "overflow while idle"] = overflow / count;
  aFigures[aPrefix + "imbalance"] = imbalance / count;
  const Quantiles overhead = QuantilesOf(std::move(overheads));
  aFigures[aPrefix + "overhead p50 ms"] = overhead.p50;
  aFigures[aPrefix + "overhead p99 ms"] = overhead.p99;
}

Figures Steady(Testbed& aTestbed)
{
  constexpr std::array kUtilisations = { 0.5, 0.8, 0.95 };
  constexpr seconds kDuration(8);
  Figures figures;
  WarmUp(aTestbed);
  for (const double utilisation : kUtilisations) {
    const std::string prefix = fmt::format("{:.0f}%: ", 100 * utilisation);
    const auto measured = aTestbed.Run(aTestbed.LoadAt(utilisation), kDuration);
    AddCommon(measured, prefix, figures);
    AddChoosing(aTestbed, measured, kDuration, prefix, figures);
  }
  return figures;
}

// Slows a random share of the instances for a second.
void SlowSome(const Testbed& aTestbed, double aShare, pcg64& aRandom,
              const std::vector<standins::UpstreamPlan>& aUpstreams)
{
  std::vector<standins::UpstreamPlan> slow;
  const auto count = static_cast<std::size_t>(
    std::lround(aShare * static_cast<double>(aUpstreams.size())));
  std::ranges::sample(aUpstreams, std::back_inserter(slow),
                      static_cast<std::ptrdiff_t>(count), aRandom);
  for (const standins::UpstreamPlan& upstream : slow) {
    static_cast<void>(aTestbed.UpstreamFault({ { "do", "slow" },
                                               { "id", upstream.id },
                                               { "factor", 10 },
                                               { "for_ms", 1000 } }));
  }
}

Figures Stragglers(Testbed& aTestbed)
{
  constexpr std::array kShares = { 0.1, 0.2 };
  constexpr seconds kDuration(12);
  Figures figures;
  WarmUp(aTestbed);
  for (const double share : kShares) {
    pcg64 random(static_cast<std::uint64_t>(100 * share));
    const std::string prefix = fmt::format("{:.0f}%: ", 100 * share);
    const auto measured =
      aTestbed.Run(aTestbed.LoadAt(kModerate), kDuration, [&](int /*aSecond*/) {
        SlowSome(aTestbed, share, random, aTestbed.Cluster().Upstreams());
      });
    AddCommon(measured, prefix, figures);
    std::vector<double> unkeyed;
    const std::vector<std::string> services = aTestbed.UnkeyedServices();
    for (const LoadOutcome& outcome : measured.load.outcomes) {
      const std::string& name = measured.load.services[outcome.service].service;
      if (outcome.verdict == Verdict::kAnswered && name == services.front()) {
        unkeyed.push_back(
          std::chrono::duration<double, std::milli>(outcome.latency).count());
      }
    }
    figures[prefix + "bookings p99 ms"] = QuantilesOf(std::move(unkeyed)).p99;
  }
  return figures;
}

double SumOf(const json& aStatus, const char* aCounter)
{
  const json& instances = aStatus.at("instances");
  return std::accumulate(instances.begin(), instances.end(), 0.0,
                         [aCounter](double aSum, const json& aInstance) {
                           return aSum + aInstance.at(aCounter).get<double>();
                         });
}

// When the last request was due that got no answer, after an event.
double SecondsToLastFailure(const LoadResult& aLoad, Duration aEvent)
{
  Duration last = aEvent;
  for (const LoadOutcome& outcome : aLoad.outcomes) {
    if (outcome.verdict != Verdict::kAnswered) {
      last = std::max(last, outcome.intended);
    }
  }
  return std::chrono::duration<double>(last - aEvent).count();
}

Figures ColdReturn(Testbed& aTestbed)
{
  constexpr seconds kDuration(20);
  constexpr int kEvent = 4;
  Figures figures;
  WarmUp(aTestbed);
  const double before = SumOf(aTestbed.UpstreamStatus(), "collapses");
  const std::string dataCentre =
    aTestbed.Cluster().GetDeployment().dataCentres.front();
  const auto measured =
    aTestbed.Run(aTestbed.LoadAt(kModerate), kDuration, [&](int aSecond) {
      if (aSecond == kEvent) {
        static_cast<void>(aTestbed.UpstreamFault(
          { { "do", "cold" }, { "data_centre", dataCentre } }));
      }
    });
  AddCommon(measured, "", figures);
  figures["collapses"] = SumOf(aTestbed.UpstreamStatus(), "collapses") - before;
  figures["time to full service s"] =
    SecondsToLastFailure(measured.load, seconds(kEvent));
  return figures;
}

// Runs that began in a data centre between two times.
std::size_t CountRunsIn(const Testbed::Measured& aMeasured, Testbed& aTestbed,
                        const std::string& aDataCentre, TimePoint aFrom,
                        TimePoint aTo)
{
  std::set<std::string> inside;
  for (const auto& upstream : aTestbed.Cluster().Upstreams()) {
    if (upstream.dataCentre == aDataCentre) {
      inside.insert(upstream.id);
    }
  }
  return static_cast<std::size_t>(
    std::ranges::count_if(aMeasured.runs, [&](const UpstreamRun& aRun) {
      return aRun.start >= aFrom && aRun.start < aTo &&
             inside.contains(aRun.instance);
    }));
}

// The seconds in which not every request was answered, for the table.
void AddSeconds(const LoadResult& aLoad, Figures& aFigures)
{
  for (const SecondSummary& one : SummariseSeconds(aLoad)) {
    const std::string name = fmt::format("second {:02}: ", one.second);
    aFigures[name + "answered share"] =
      static_cast<double>(one.answered) / static_cast<double>(one.requests);
    aFigures[name + "p99 ms"] = one.p99;
  }
}

Figures DataCentreChange(Testbed& aTestbed)
{
  constexpr seconds kDuration(20);
  constexpr int kOut = 4;
  constexpr int kIn = 12;
  constexpr seconds kInForce(3);
  // Two of three data centres have to bear it.
  constexpr double kUtilisation = 0.6;
  Figures figures;
  WarmUp(aTestbed);
  const std::string dataCentre =
    aTestbed.Cluster().GetDeployment().dataCentres.front();
  bool accepted = true;
  const auto measured =
    aTestbed.Run(aTestbed.LoadAt(kUtilisation), kDuration, [&](int aSecond) {
      if (aSecond == kOut || aSecond == kIn) {
        accepted =
          aTestbed.SetDataCentreOut(dataCentre, aSecond == kOut) && accepted;
      }
    });
  if (!accepted) {
    return {};
  }
  AddCommon(measured, "", figures);
  AddSeconds(measured.load, figures);
  const TimePoint start = measured.load.start;
  figures["runs begun in the out data centre after 3 s"] = static_cast<double>(
    CountRunsIn(measured, aTestbed, dataCentre,
                start + seconds(kOut) + kInForce, start + seconds(kIn)));
  const std::string urgent = measured.load.services.front().service;
  figures["urgent not answered"] = figures[urgent + " not answered"];
  return figures;
}

Figures HostLoss(Testbed& aTestbed)
{
  constexpr seconds kDuration(15);
  constexpr int kEvent = 4;
  Figures figures;
  WarmUp(aTestbed);
  const std::string host = aTestbed.Cluster().Hosts()[1].id;
  const auto measured =
    aTestbed.Run(aTestbed.LoadAt(kModerate), kDuration, [&](int aSecond) {
      if (aSecond == kEvent) {
        aTestbed.Cluster().KillHost(host);
      }
    });
  AddCommon(measured, "", figures);
  figures["time to full service s"] =
    SecondsToLastFailure(measured.load, seconds(kEvent));
  return figures;
}

Figures StoreOutage(Testbed& aTestbed)
{
  constexpr seconds kDuration(20);
  constexpr int kFrom = 4;
  constexpr int kTo = 16;
  Figures figures;
  WarmUp(aTestbed);
  const auto measured =
    aTestbed.Run(aTestbed.LoadAt(kModerate), kDuration, [&](int aSecond) {
      if (aSecond == kFrom || aSecond == kTo) {
        static_cast<void>(aTestbed.PlatformFault(
          { { "outage", aSecond == kFrom ? "hang" : "none" } }));
      }
    });
  AddCommon(measured, "", figures);
  return figures;
}

Figures Classes(Testbed& aTestbed)
{
  constexpr seconds kDuration(10);
  constexpr double kOverload = 1.5;
  Figures figures;
  WarmUp(aTestbed);
  AddCommon(aTestbed.Run(aTestbed.LoadAt(kModerate), kDuration),
            "before: ", figures);
  std::vector<ServiceLoad> loads = aTestbed.LoadAt(kModerate);
  // The last service of each deployment is the one that can wait.
  loads.back() = aTestbed.LoadAt(kOverload).back();
  const auto measured = aTestbed.Run(loads, kDuration);
  AddCommon(measured, "overload: ", figures);
  figures["lookups' p99, overload over before"] =
    figures["overload: " + loads.front().service + " p99 ms"] /
    figures["before: " + loads.front().service + " p99 ms"];
  return figures;
}

Figures RetryStorm(Testbed& aTestbed)
{
  constexpr seconds kDuration(10);
  constexpr double kShed = 0.5;
  Figures figures;
  WarmUp(aTestbed);
  const json before = aTestbed.UpstreamStatus();
  static_cast<void>(
    aTestbed.UpstreamFault({ { "do", "shed" }, { "probability", kShed } }));
  const auto measured = aTestbed.Run(aTestbed.LoadAt(kModerate), kDuration);
  static_cast<void>(
    aTestbed.UpstreamFault({ { "do", "shed" }, { "probability", 0.0 } }));
  const json after = aTestbed.UpstreamStatus();
  AddCommon(measured, "", figures);
  const double sent = SumOf(after, "ran") - SumOf(before, "ran") +
                      SumOf(after, "shed") - SumOf(before, "shed");
  figures["sent to upstreams for each request"] =
    sent / static_cast<double>(measured.load.outcomes.size());
  return figures;
}

constexpr std::array kExperiments = {
  Experiment{ "steady", Steady, "80%: overflow while idle", true },
  Experiment{ "stragglers", Stragglers, "10%: bookings p99 ms", true },
  Experiment{ "cold-return", ColdReturn, "collapses", true },
  Experiment{ "data-centre-change", DataCentreChange, "urgent not answered",
              false },
  Experiment{ "host-loss", HostLoss, "time to full service s", false },
  Experiment{ "store-outage", StoreOutage, "answered share", false },
  Experiment{ "classes", Classes, "lookups' p99, overload over before", true },
  Experiment{ "retry-storm", RetryStorm, "sent to upstreams for each request",
              true },
};

} // namespace

std::span<const Experiment> Experiments()
{
  return kExperiments;
}

Spread SpreadOf(const std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return {};
  }
  const auto [least, most] = std::ranges::minmax(aValues);
  return { Median(aValues), least, most };
}

} // namespace kumquat::bench
