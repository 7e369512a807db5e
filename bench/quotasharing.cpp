// Compares ways of sharing the quotas of teams among hosts, in virtual time:
// how many of the requests within the limits run, by how many a limit is
// exceeded in the worst window, and what it costs in messages.

#include "admission/tests/quotasimulation.h"

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <functional>
#include <string_view>
#include <vector>

using kumquat::admission::tests::ManyTeams;
using kumquat::admission::tests::QuotaSimulation;
using kumquat::admission::tests::Sharing;
using kumquat::admission::tests::TeamLoad;
using std::chrono::seconds;

namespace {

constexpr double kPerSecondAndHost = 18;
constexpr seconds kWarmUp{ 12 };
constexpr unsigned kSeeds = 3;

struct Way
{
  Sharing sharing;
  std::string_view name;
};

constexpr std::array<Way, 3> kWays = { {
  { Sharing::kEqualParts, "equal parts" },
  { Sharing::kPartsByDemand, "parts by demand" },
  { Sharing::kLentTokens, "lent tokens" },
} };

struct Scenario
{
  std::string_view name;
  std::function<void(QuotaSimulation&, const std::vector<TeamLoad>&, int)> play;
};

void PlaySteady(QuotaSimulation& aSimulation, const std::vector<TeamLoad>&, int)
{
  aSimulation.RunFor(seconds(20));
}

// Every 4 seconds all callers go to other hosts.
void PlayMoving(QuotaSimulation& aSimulation,
                const std::vector<TeamLoad>& aLoads, int aHosts)
{
  for (int step = 1; step <= 5; ++step) {
    for (std::size_t i = 0; i < aLoads.size(); ++i) {
      std::map<int, double> moved;
      for (const auto& [host, perSecond] : aLoads[i].perSecond) {
        moved[(host + 5 * step) % aHosts] = perSecond;
      }
      aSimulation.SetLoad(i, moved);
    }
    aSimulation.RunFor(seconds(4));
  }
}

// Three teams send 7.5 times their usual.
void PlayHot(QuotaSimulation& aSimulation, const std::vector<TeamLoad>& aLoads,
             int)
{
  constexpr double kTimesUsual = 7.5;
  for (const std::size_t team :
       { std::size_t{ 0 }, std::size_t{ 3 }, aLoads.size() / 2 }) {
    std::map<int, double> hot = aLoads[team].perSecond;
    for (auto& [host, perSecond] : hot) {
      perSecond *= kTimesUsual;
    }
    aSimulation.SetLoad(team, hot);
  }
  aSimulation.RunFor(seconds(20));
}

// A third of the hosts, the lender among them, reach no other host.
void PlayCut(QuotaSimulation& aSimulation, const std::vector<TeamLoad>&,
             int aHosts)
{
  std::set<int> group;
  for (int i = 0; i < aHosts / 3; ++i) {
    group.insert(i);
  }
  if (aSimulation.Lender() >= 0) {
    group.insert(aSimulation.Lender());
  }
  aSimulation.CutOff(group);
  aSimulation.RunFor(seconds(12));
  aSimulation.Heal();
  aSimulation.RunFor(seconds(8));
}

// All hosts lose power for 0.7 s, while three teams send too much.
void PlayPowerLoss(QuotaSimulation& aSimulation,
                   const std::vector<TeamLoad>& aLoads, int aHosts)
{
  for (int i = 0; i < aHosts; ++i) {
    aSimulation.Kill(i);
  }
  aSimulation.RunFor(std::chrono::milliseconds(700));
  for (int i = 0; i < aHosts; ++i) {
    aSimulation.Restart(i);
  }
  PlayHot(aSimulation, aLoads, aHosts);
}

const std::array<Scenario, 5> kScenarios = { {
  { "steady", PlaySteady },
  { "callers move", PlayMoving },
  { "hot teams", PlayHot },
  { "a third cut off", PlayCut },
  { "power loss, hot teams", PlayPowerLoss },
} };

} // namespace

int main()
{
  fmt::print("| hosts | load | way | run of those within limits | worst window "
             "beyond the limit | messages per host and second |\n"
             "|---|---|---|---|---|---|\n");
  for (const int hosts : { 12, 82 }) {
    for (const Scenario& scenario : kScenarios) {
      for (const Way& way : kWays) {
        double run = 0;
        double worst = -1e9;
        double messages = 0;
        for (unsigned seed = 1; seed <= kSeeds; ++seed) {
          const std::vector<TeamLoad> loads =
            ManyTeams(hosts, hosts, kPerSecondAndHost * hosts, seed);
          QuotaSimulation simulation(hosts, loads, seed, way.sharing);
          simulation.RunFor(kWarmUp);
          simulation.ForgetResults();
          const auto from = simulation.Now();
          scenario.play(simulation, loads, hosts);
          const auto total = simulation.Total();
          run += static_cast<double>(std::min(total.ran, total.withinLimit)) /
                 static_cast<double>(total.withinLimit) / kSeeds;
          worst = std::max(worst, simulation.WorstExcess());
          const std::chrono::duration<double> took = simulation.Now() - from;
          messages += static_cast<double>(simulation.Messages()) /
                      took.count() / hosts / kSeeds;
        }
        fmt::print("| {} | {} | {} | {:.3f} | {:.0f} | {:.1f} |\n", hosts,
                   scenario.name, way.name, run, worst, messages);
        std::fflush(stdout);
      }
    }
  }
  return 0;
}
