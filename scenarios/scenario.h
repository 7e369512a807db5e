// One scenario's world: the processes, their faults, the load and the
// evidence. What the Lua stories call, without Lua.

#pragma once

#include "bench/balancer.h"
#include "bench/load.h"
#include "scenarios/checker.h"
#include "scenarios/recordingsender.h"
#include "standins/launcher.h"

#include <nlohmann/json_fwd.hpp>
#include <pcg_random.hpp>

#include <chrono>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace kumquat::scenarios {

class Scenario
{
public:
  struct Options
  {
    std::uint64_t seed = 1;
    int net = 1;
    std::filesystem::path build;
    std::filesystem::path out;
  };

  struct StartOptions
  {
    std::string deployment = "cooperative";
    bool relayed = false;
    std::vector<std::string> platformFlags;
    std::vector<std::string> upstreamFlags;
  };

  struct LoadPlan
  {
    std::chrono::milliseconds duration{ 5000 };
    // Requests a second; services that are not named get none.
    std::map<std::string, double> perSecond;
    std::uint64_t keys = 2000;
  };

  explicit Scenario(Options aOptions);
  // Kills what still runs.
  ~Scenario();
  Scenario(const Scenario&) = delete;
  Scenario& operator=(const Scenario&) = delete;

  // All of these throw std::runtime_error where they cannot be done.
  void Start(const StartOptions& aOptions);
  // Until every host serves every service, at most so long.
  void Settle(std::chrono::milliseconds aMost);
  void StartLoad(const LoadPlan& aPlan);
  void WaitLoad();

  void Kill(const std::string& aHost);
  // The exit code of a planned stop.
  int Stop(const std::string& aHost, std::chrono::milliseconds aMost);
  void Signal(const std::string& aHost, int aSignal);
  void StartHost(const std::string& aHost);

  // POSTs a control request to the "platform", "upstream" or "network".
  nlohmann::json Control(const std::string& aStandIn,
                         const std::string& aTarget,
                         const nlohmann::json& aBody);
  // Status and body of an operator's request.
  std::pair<int, std::string> Operate(const std::string& aHost,
                                      const std::string& aMethod,
                                      const std::string& aTarget,
                                      const std::string& aBody);

  // Takes a data centre or a host out, or back in, by writing its row.
  void SetPlace(const std::string& aName, bool aOut);

  // Notes and prints, with the time since the start.
  void Say(const std::string& aText);
  void Fail(const std::string& aText);
  // Judges all that was recorded so far; each fault is a failure.
  void CheckAll(const CheckRules& aRules);
  // A service's figures so far; all 0 where it had no requests.
  ServiceFigures FiguresOf(const std::string& aService);
  // Runs at an instance, or at a data centre's, that began within a span, in
  // seconds since the load's start.
  int CountRuns(const std::string& aWhere, double aFrom, double aTo);
  std::uint64_t Random(std::uint64_t aBelow);

  const std::vector<standins::HostPlan>& Hosts() const;
  // Prints the figures; 0 where nothing failed.
  int Finish();

private:
  standins::Cluster& Running();
  bool IsServed(const standins::HostPlan& aHost,
                const standins::ServicePlan& aService);
  std::vector<RunRecord> FetchRuns();
  std::vector<TenureRecord> FetchTenures();
  std::vector<std::string> FetchCollapsed();
  void CollectCallers();
  void PrintFigures();

  const Options options;
  pcg64 random;
  std::chrono::steady_clock::time_point begin;
  std::chrono::steady_clock::time_point loadBegin;
  std::unique_ptr<standins::Cluster> cluster;
  std::shared_ptr<bench::ReadinessProbe> probe;
  RecordBook book;
  std::vector<CallerRecord> callers;
  std::thread loadThread;
  int loads = 0;
  std::vector<std::string> failures;
};

} // namespace kumquat::scenarios
