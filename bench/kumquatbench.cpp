// Runs an experiment, or the demo, and prints its figures.

#include "experiment.h"
#include "summary.h"
#include "testbed.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string>

ABSL_FLAG(std::string, experiment, "demo", "demo, or an experiment's name");
ABSL_FLAG(std::string, deployment, "cooperative", "cooperative or silnostav");
ABSL_FLAG(std::string, choosing, "steward",
          "what the demo runs with: steward, direct or round-robin");
ABSL_FLAG(std::string, baseline, "direct",
          "what experiments compare with: direct, round-robin or none");
ABSL_FLAG(std::string, format, "table", "table or json");
ABSL_FLAG(std::string, build, "build", "the build tree of the programs");
ABSL_FLAG(std::string, out, "out/bench", "folder for settings and logs");
ABSL_FLAG(std::uint64_t, seed, 1, "of arrivals, keys and service times");
ABSL_FLAG(int, rounds, 2, "runs of each side, in turns");
ABSL_FLAG(double, time_factor, 4,
          "multiplies the upstreams' service times, and so thins the load");
ABSL_FLAG(int, duration_ms, 10'000, "of the demo's load");
ABSL_FLAG(double, utilisation, 0.5, "of all slots, in the demo");

namespace kumquat::bench {

namespace {

using nlohmann::json;

constexpr int kOk = 0;
constexpr int kWrong = 1;
constexpr int kUsage = 2;

bool WantsJson()
{
  return absl::GetFlag(FLAGS_format) == "json";
}

Testbed::Options TestbedOptions(Choosing aChoosing)
{
  return { .deployment = absl::GetFlag(FLAGS_deployment),
           .choosing = aChoosing,
           .build = absl::GetFlag(FLAGS_build),
           .out = absl::GetFlag(FLAGS_out),
           .seed = absl::GetFlag(FLAGS_seed),
           .timeFactor = absl::GetFlag(FLAGS_time_factor) };
}

double LoadAverage()
{
  double load = 0;
  return getloadavg(&load, 1) == 1 ? load : 0;
}

int Fail(const std::string& aProblem)
{
  fmt::print(stderr, "kumquatbench: {}\n", aProblem);
  return kWrong;
}

void PrintDemo(const std::vector<ServiceSummary>& aServices,
               const std::map<std::string, UpstreamUse>& aUse)
{
  if (WantsJson()) {
    const json report = { { "seed", absl::GetFlag(FLAGS_seed) },
                          { "services", ToJson(aServices, aUse) } };
    fmt::print("{}\n", report.dump(2));
    return;
  }
  fmt::print("{}, seed {}, service times x{:g}\n",
             absl::GetFlag(FLAGS_deployment), absl::GetFlag(FLAGS_seed),
             absl::GetFlag(FLAGS_time_factor));
  PrintServices(aServices, aUse);
}

int RunDemo()
{
  const auto choosing = ChoosingByName(absl::GetFlag(FLAGS_choosing));
  if (!choosing) {
    fmt::print(stderr, "kumquatbench: no such choosing\n");
    return kUsage;
  }
  Testbed testbed(TestbedOptions(*choosing));
  if (!testbed.Start()) {
    return Fail(testbed.Problem());
  }
  const std::chrono::milliseconds duration(absl::GetFlag(FLAGS_duration_ms));
  const auto measured =
    testbed.Run(testbed.LoadAt(absl::GetFlag(FLAGS_utilisation)), duration);
  const auto services = SummariseServices(measured.load);
  PrintDemo(services, UseOfUpstreams(measured.runs, testbed.Instances(),
                                     measured.load.start, duration));
  const bool clean = testbed.Stop();
  const std::size_t wrong = CountWrong(measured.load);
  const std::size_t twice = CountDoubleRuns(measured.runs);
  const bool allServed =
    std::ranges::all_of(services, [](const ServiceSummary& aService) {
      return aService.answered > 0;
    });
  if (wrong > 0 || twice > 0) {
    return Fail(fmt::format("{} answers cut or another request's, {} requests "
                            "ran twice",
                            wrong, twice));
  }
  if (!allServed) {
    return Fail("a service answered nothing");
  }
  return clean ? kOk : Fail(testbed.Problem());
}

using Rounds = std::map<std::string, std::vector<double>>;

// False where the deployment did not start.
bool RunRound(const Experiment& aExperiment, Choosing aChoosing,
              Rounds& aRounds)
{
  Testbed testbed(TestbedOptions(aChoosing));
  if (!testbed.Start()) {
    fmt::print(stderr, "kumquatbench: {}\n", testbed.Problem());
    return false;
  }
  const double loadBefore = LoadAverage();
  const Figures figures = aExperiment.run(testbed);
  if (figures.empty()) {
    fmt::print(stderr, "kumquatbench: the disturbance was refused\n");
    return false;
  }
  for (const auto& [name, value] : figures) {
    aRounds[name].push_back(value);
  }
  aRounds["machine's load average"].push_back(loadBefore);
  if (!testbed.Stop()) {
    fmt::print(stderr, "kumquatbench: {}\n", testbed.Problem());
  }
  return true;
}

std::string SpreadText(const Rounds& aRounds, const std::string& aName)
{
  const auto found = aRounds.find(aName);
  if (found == aRounds.end()) {
    return "-";
  }
  const Spread spread = SpreadOf(found->second);
  return fmt::format("{:.4g} ({:.4g}..{:.4g})", spread.median, spread.least,
                     spread.most);
}

json RoundsToJson(const Rounds& aRounds)
{
  json rounds = json::object();
  for (const auto& [name, values] : aRounds) {
    rounds[name] = values;
  }
  return rounds;
}

double MedianOf(const Rounds& aRounds, const std::string& aName)
{
  const auto found = aRounds.find(aName);
  return found == aRounds.end() ? 0 : Median(found->second);
}

void PrintExperiment(const Experiment& aExperiment, const Rounds& aOurs,
                     const Rounds& aBaseline)
{
  const std::string decides(aExperiment.decides);
  const double ours = MedianOf(aOurs, decides);
  const double baseline = MedianOf(aBaseline, decides);
  if (WantsJson()) {
    const json report = { { "experiment", aExperiment.name },
                          { "deployment", absl::GetFlag(FLAGS_deployment) },
                          { "seed", absl::GetFlag(FLAGS_seed) },
                          { "decides", decides },
                          { "steward", RoundsToJson(aOurs) },
                          { "baseline", RoundsToJson(aBaseline) } };
    fmt::print("{}\n", report.dump(2));
    return;
  }
  fmt::print("{} on {}, seed {}, service times x{:g}, {} rounds\n",
             aExperiment.name, absl::GetFlag(FLAGS_deployment),
             absl::GetFlag(FLAGS_seed), absl::GetFlag(FLAGS_time_factor),
             absl::GetFlag(FLAGS_rounds));
  fmt::print("{:<40} {:<28} {}\n", "figure: median (least..most)", "steward",
             absl::GetFlag(FLAGS_baseline));
  for (const auto& [name, values] : aOurs) {
    fmt::print("{:<40} {:<28} {}\n", name, SpreadText(aOurs, name),
               SpreadText(aBaseline, name));
  }
  if (aBaseline.empty()) {
    fmt::print("{}: {:.4g}, no baseline\n", decides, ours);
    return;
  }
  fmt::print("{}: {:.4g}, {}: {:.4g}, ratio {}\n", decides, ours,
             absl::GetFlag(FLAGS_baseline), baseline,
             baseline == 0 ? std::string("-")
                           : fmt::format("{:.3g}", ours / baseline));
}

int RunExperiment(const Experiment& aExperiment)
{
  const auto baseline = ChoosingByName(absl::GetFlag(FLAGS_baseline));
  Rounds ours;
  Rounds others;
  for (int round = 0; round < absl::GetFlag(FLAGS_rounds); ++round) {
    if (aExperiment.hasBaseline && baseline &&
        !RunRound(aExperiment, *baseline, others)) {
      return kWrong;
    }
    if (baseline != Choosing::kSteward &&
        !RunRound(aExperiment, Choosing::kSteward, ours)) {
      return kWrong;
    }
  }
  PrintExperiment(aExperiment, ours, others);
  return kOk;
}

int RunProgram()
{
  const std::string name = absl::GetFlag(FLAGS_experiment);
  if (name == "demo") {
    return RunDemo();
  }
  const auto found = std::ranges::find(Experiments(), name, &Experiment::name);
  if (found == Experiments().end()) {
    fmt::print(stderr, "kumquatbench: no experiment {}\n", name);
    return kUsage;
  }
  return RunExperiment(*found);
}

} // namespace

} // namespace kumquat::bench

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  return kumquat::bench::RunProgram();
}
