// A deployment on this machine for one experiment: its processes, the load
// that fits its size, and the switches of its stand-ins.

#pragma once

#include "balancer.h"
#include "load.h"
#include "runs.h"
#include "standins/launcher.h"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquat::bench {

enum class Choosing
{
  // The system itself.
  kSteward,
  // Baselines: every entry host picks an upstream by itself.
  kDirect,
  kRoundRobin,
};

// None where there is no such way.
std::optional<Choosing> ChoosingByName(std::string_view aName);
std::string_view ChoosingName(Choosing aChoosing);

class Testbed
{
public:
  struct Options
  {
    std::string deployment = "cooperative";
    Choosing choosing = Choosing::kSteward;
    std::filesystem::path build = "build";
    std::filesystem::path out = "out";
    std::uint64_t seed = 1;
    // Service times of the stand-ins are multiplied by it, so that one small
    // machine can bear the load of all hosts.
    double timeFactor = 1;
    std::vector<std::string> upstreamFlags;
    // Daemons started, the first ones of the deployment; 0 starts all.
    std::size_t hosts = 0;
  };

  struct Measured
  {
    LoadResult load;
    std::vector<UpstreamRun> runs;
  };

  explicit Testbed(Options aOptions);

  // False where something did not start; Problem says what.
  bool Start();
  // False where a process did not end by itself with 0.
  bool Stop();

  // aUtilisation: share of all slots of each service.
  std::vector<ServiceLoad> LoadAt(double aUtilisation) const;
  Measured Run(std::vector<ServiceLoad> aServices,
               std::chrono::milliseconds aDuration,
               const std::function<void(int)>& aOnSecond = {});

  // Posts to the stand-ins' switches; false where it was not taken.
  bool UpstreamFault(const nlohmann::json& aFault) const;
  bool PlatformFault(const nlohmann::json& aFault) const;
  // Takes a data centre out or brings it back in, as an operator would.
  bool SetDataCentreOut(const std::string& aDataCentre, bool aOut);
  nlohmann::json UpstreamStatus() const;
  nlohmann::json PlatformCounters() const;

  // How long a request may wait before it counts as overflowed: a sixth of
  // the shortest service time.
  Duration Patience() const;
  InstanceCounts Instances() const;
  // Services that are not divided by key.
  std::vector<std::string> UnkeyedServices() const;
  standins::Cluster& Cluster() { return this->cluster; }
  const std::string& Problem() const { return this->problem; }

private:
  bool StartDaemons();
  bool AwaitServing();
  SenderFactory MakeSender() const;

  const Options options;
  standins::Cluster cluster;
  std::shared_ptr<ReadinessProbe> probe;
  // First run that no load has read yet.
  std::uint64_t nextRun = 0;
  std::uint64_t nextSeed;
  // Of the places' rows, by data centre.
  std::map<std::string, int> placeVersions;
  std::string problem;
};

// Whether an answer of the upstream stand-in is this request's, and whole.
bool IsOwnAnswer(const LoadRequest& aRequest,
                 const transport::HttpResponse& aResponse);

} // namespace kumquat::bench
