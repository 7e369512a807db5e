// Starts and stops the processes of a run on this machine: the stand-ins of a
// deployment and its daemons. For the demo, the bench and the scenarios only;
// the product starts no processes.

#pragma once

#include "framework/result.h"
#include "standins/deployment.h"
#include "transport/http.h"

#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::standins {

// A child process. It dies with its Process, and also with the thread that
// started it (so a killed test leaves no orphans): start from a thread that
// outlives it, as a rule the main one.
class Process
{
public:
  struct Options
  {
    std::filesystem::path program;
    std::vector<std::string> arguments;
    // Gets standard output and error; it is appended to.
    std::filesystem::path output;
    // The process is ready when this address takes connections; may be empty.
    std::string readyAddress;
  };

  static Result<std::unique_ptr<Process>> Start(Options aOptions);

  // Kills and waits.
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  // False where the process ended or was not ready in time.
  bool AwaitReady(std::chrono::milliseconds aTimeout);

  // SIGTERM, SIGKILL, SIGSTOP, SIGCONT; nothing where it has ended.
  void Signal(int aSignal);

  // The exit code, or 128 and the signal's number; none where it still runs
  // after the timeout.
  std::optional<int> Wait(std::chrono::milliseconds aTimeout);

  bool IsRunning();
  pid_t Pid() const { return this->pid; }

private:
  explicit Process(Options aOptions);

  const Options options;
  pid_t pid = 0;
  // Set once the process has been waited for; its pid is then not ours.
  std::optional<int> exitCode;
};

// One request, waited for; for control requests and checks.
Result<transport::HttpResponse> Request(
  const std::string& aAddress, transport::HttpRequest aRequest,
  std::chrono::milliseconds aTimeout = std::chrono::milliseconds(5000));

// A deployment's stand-ins and daemons.
class Cluster
{
public:
  struct Options
  {
    std::string deployment = "cooperative";
    int net = DefaultNet();
    // The build tree that the programs are taken from.
    std::filesystem::path build = "build";
    // Settings, logs and outputs of the processes.
    std::filesystem::path out = "out";
    std::uint64_t seed = 1;
    // Peers meet over the network stand-in, so that pairs can be cut.
    bool relayed = false;
    // Added to the stand-ins' command lines.
    std::vector<std::string> platformFlags;
    std::vector<std::string> upstreamFlags;
  };

  explicit Cluster(Options aOptions);
  // Stops everything.
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  // Each is false where a process did not get ready; Problem says which.
  bool StartStandIns();
  bool StartHost(const std::string& aHost);
  bool StartHosts();
  // Waits until every running host's /ready answers 200.
  bool AwaitReady(std::chrono::milliseconds aTimeout);

  // Null where the host does not run.
  Process* FindHost(const std::string& aHost);
  // SIGTERM, then the exit code; none where it had to be killed.
  std::optional<int> StopHost(const std::string& aHost,
                              std::chrono::milliseconds aTimeout);
  void KillHost(const std::string& aHost);

  // Hosts by SIGTERM all at once, then the stand-ins. False where a process
  // ended with another code than 0 or had to be killed.
  bool StopAll();

  const Options& GetOptions() const { return this->options; }
  const Deployment& GetDeployment() const { return *this->deployment; }
  const std::vector<HostPlan>& Hosts() const { return this->hostPlans; }
  const std::vector<UpstreamPlan>& Upstreams() const
  {
    return this->upstreamPlans;
  }
  const Addresses& GetAddresses() const { return this->addresses; }
  const std::string& Problem() const { return this->problem; }

private:
  bool StartStandIn(const std::string& aName, const std::string& aAddress,
                    std::vector<std::string> aFlags);
  bool IsHostReady(const HostPlan& aHost) const;

  const Options options;
  // Null where the name is unknown; nothing can be started then.
  const Deployment* deployment;
  std::vector<HostPlan> hostPlans;
  std::vector<UpstreamPlan> upstreamPlans;
  Addresses addresses;
  // In the order of their start.
  std::vector<std::unique_ptr<Process>> standIns;
  std::map<std::string, std::unique_ptr<Process>> hosts;
  std::string problem;
};

} // namespace kumquat::standins
