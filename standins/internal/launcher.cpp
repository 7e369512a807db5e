// Children, started by fork so that they can be told to die with their parent.

#include "standins/launcher.h"

#include "transport/address.h"
#include "transport/httpclient.h"
#include "transport/iothread.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <future>
#include <ranges>
#include <thread>
#include <utility>

namespace kumquat::standins {

namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kPollPause(10);
constexpr milliseconds kStartTimeout(10'000);
constexpr milliseconds kStopTimeout(15'000);
constexpr milliseconds kReadyTimeout(500);
// Answers of a stand-in's logs are taken whole.
constexpr std::size_t kWholeBodyBytes = std::size_t{ 1 } << 30U;
constexpr int kSignalBase = 128;
constexpr int kExecFailed = 127;

bool Poll(milliseconds aTimeout, const std::function<bool()>& aDone)
{
  const auto end = steady_clock::now() + aTimeout;
  while (!aDone()) {
    if (steady_clock::now() >= end) {
      return false;
    }
    std::this_thread::sleep_for(kPollPause);
  }
  return true;
}

bool TakesConnections(const std::string& aAddress)
{
  const auto endpoint = transport::ParseAddress(aAddress);
  if (!endpoint) {
    return false;
  }
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(*endpoint, error);
  return !error;
}

// Between fork and exec only calls that are safe after a fork.
[[noreturn]] void RunChild(pid_t aParent, int aOutput, char* const* aArguments)
{
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  // The parent may have died before the line above.
  if (getppid() != aParent) {
    _exit(kExecFailed);
  }
  dup2(aOutput, STDOUT_FILENO);
  dup2(aOutput, STDERR_FILENO);
  execv(aArguments[0], aArguments);
  _exit(kExecFailed);
}

} // namespace

Process::Process(Options aOptions)
  : options(std::move(aOptions))
{
}

Result<std::unique_ptr<Process>> Process::Start(Options aOptions)
{
  std::unique_ptr<Process> process(new Process(std::move(aOptions)));
  const Options& options = process->options;
  std::vector<std::string> words{ options.program.string() };
  words.insert(words.end(), options.arguments.begin(), options.arguments.end());
  std::vector<char*> arguments;
  std::ranges::transform(words, std::back_inserter(arguments),
                         [](std::string& aWord) { return aWord.data(); });
  arguments.push_back(nullptr);
  const int output = open(options.output.c_str(),
                          O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  if (output < 0) {
    return std::error_code(errno, std::generic_category());
  }
  const pid_t parent = getpid();
  const pid_t child = fork();
  if (child == 0) {
    RunChild(parent, output, arguments.data());
  }
  close(output);
  if (child < 0) {
    return std::error_code(errno, std::generic_category());
  }
  process->pid = child;
  return process;
}

Process::~Process()
{
  this->Signal(SIGKILL);
  this->Wait(kStopTimeout);
}

bool Process::AwaitReady(milliseconds aTimeout)
{
  bool ready = false;
  Poll(aTimeout, [this, &ready] {
    ready = this->options.readyAddress.empty() ||
            TakesConnections(this->options.readyAddress);
    return ready || !this->IsRunning();
  });
  return ready && this->IsRunning();
}

void Process::Signal(int aSignal)
{
  if (this->IsRunning()) {
    kill(this->pid, aSignal);
  }
}

std::optional<int> Process::Wait(milliseconds aTimeout)
{
  Poll(aTimeout, [this] { return !this->IsRunning(); });
  return this->exitCode;
}

bool Process::IsRunning()
{
  if (this->exitCode) {
    return false;
  }
  int status = 0;
  if (waitpid(this->pid, &status, WNOHANG) == this->pid) {
    this->exitCode =
      WIFEXITED(status) ? WEXITSTATUS(status) : kSignalBase + WTERMSIG(status);
  }
  return !this->exitCode;
}

Result<transport::HttpResponse> Request(const std::string& aAddress,
                                        transport::HttpRequest aRequest,
                                        milliseconds aTimeout)
{
  transport::IoThread thread;
  transport::HttpClient client(thread.Context(),
                               { .wholeBodyBytes = kWholeBodyBytes });
  std::promise<Result<transport::HttpResponse>> promise;
  thread.Post([&] {
    client.Send(aAddress, std::move(aRequest), aTimeout,
                [&promise](Result<transport::HttpResponse> aResult) {
                  promise.set_value(std::move(aResult));
                });
  });
  thread.Start("request");
  Result<transport::HttpResponse> result = promise.get_future().get();
  thread.Stop();
  return result;
}

Cluster::Cluster(Options aOptions)
  : options(std::move(aOptions))
  , deployment(FindDeployment(this->options.deployment))
  , addresses(AddressesOf(this->options.net))
{
  if (this->deployment != nullptr) {
    this->hostPlans = HostsOf(*this->deployment, this->options.net);
    this->upstreamPlans = UpstreamsOf(*this->deployment, this->options.net);
  }
}

Cluster::~Cluster()
{
  this->StopAll();
}

bool Cluster::StartStandIns()
{
  if (this->deployment == nullptr ||
      !WriteFiles(*this->deployment, this->options.net, this->options.relayed,
                  this->options.out)) {
    this->problem = "no such deployment, or the out folder cannot be written";
    return false;
  }
  std::vector<std::string> platformFlags = this->options.platformFlags;
  platformFlags.push_back("--configuration=" +
                          (this->options.out / "operators.json").string());
  return this->StartStandIn("platformstandin", this->addresses.platformControl,
                            std::move(platformFlags)) &&
         this->StartStandIn("upstreamstandin", this->addresses.upstreamControl,
                            this->options.upstreamFlags) &&
         (!this->options.relayed ||
          this->StartStandIn("networkstandin", this->addresses.networkControl,
                             {}));
}

bool Cluster::StartStandIn(const std::string& aName,
                           const std::string& aAddress,
                           std::vector<std::string> aFlags)
{
  aFlags.push_back("--net=" + std::to_string(this->options.net));
  aFlags.push_back("--deployment=" + this->deployment->name);
  aFlags.push_back("--seed=" + std::to_string(this->options.seed));
  auto process =
    Process::Start({ .program = this->options.build / "standins" / aName,
                     .arguments = std::move(aFlags),
                     .output = this->options.out / (aName + ".log"),
                     .readyAddress = aAddress });
  if (!process || !(*process)->AwaitReady(kStartTimeout)) {
    this->problem = aName + " did not start";
    return false;
  }
  this->standIns.push_back(std::move(*process));
  return true;
}

bool Cluster::StartHost(const std::string& aHost)
{
  const auto plan = std::ranges::find(this->hostPlans, aHost, &HostPlan::id);
  if (plan == this->hostPlans.end()) {
    this->problem = "no host " + aHost;
    return false;
  }
  const auto settings = this->options.out / (aHost + ".json");
  auto process = Process::Start(
    { .program = this->options.build / "app" / "kumquatd" / "kumquatd",
      .arguments = { "--settings=" + settings.string() },
      .output = this->options.out / (aHost + ".log"),
      .readyAddress = plan->operatorAddress });
  if (!process || !(*process)->AwaitReady(kStartTimeout)) {
    this->problem = aHost + " did not start";
    return false;
  }
  this->hosts[aHost] = std::move(*process);
  return true;
}

bool Cluster::StartHosts()
{
  return std::ranges::all_of(this->hostPlans, [this](const HostPlan& aHost) {
    return this->StartHost(aHost.id);
  });
}

bool Cluster::IsHostReady(const HostPlan& aHost) const
{
  if (!this->hosts.contains(aHost.id)) {
    return true;
  }
  const auto answer =
    Request(aHost.operatorAddress, { .target = "/ready" }, kReadyTimeout);
  return answer && answer->status == 200;
}

bool Cluster::AwaitReady(milliseconds aTimeout)
{
  auto next = this->hostPlans.begin();
  Poll(aTimeout, [this, &next] {
    while (next != this->hostPlans.end() && this->IsHostReady(*next)) {
      ++next;
    }
    return next == this->hostPlans.end();
  });
  if (next == this->hostPlans.end()) {
    return true;
  }
  this->problem = next->id + " is not ready";
  return false;
}

Process* Cluster::FindHost(const std::string& aHost)
{
  const auto found = this->hosts.find(aHost);
  return found == this->hosts.end() ? nullptr : found->second.get();
}

std::optional<int> Cluster::StopHost(const std::string& aHost,
                                     milliseconds aTimeout)
{
  const auto found = this->hosts.find(aHost);
  if (found == this->hosts.end()) {
    return 0;
  }
  found->second->Signal(SIGTERM);
  const std::optional<int> code = found->second->Wait(aTimeout);
  this->hosts.erase(found);
  return code;
}

void Cluster::KillHost(const std::string& aHost)
{
  this->hosts.erase(aHost);
}

bool Cluster::StopAll()
{
  bool clean = true;
  const auto stop = [this, &clean](Process& aProcess, const auto& aName) {
    const std::optional<int> code = aProcess.Wait(kStopTimeout);
    if (code != 0) {
      clean = false;
      this->problem = aName + " did not end by itself with 0";
    }
  };
  for (const auto& process : this->hosts | std::views::values) {
    process->Signal(SIGTERM);
    // A frozen process takes its SIGTERM only when it is thawed.
    process->Signal(SIGCONT);
  }
  for (const auto& [host, process] : this->hosts) {
    stop(*process, host);
  }
  this->hosts.clear();
  for (const auto& process : this->standIns | std::views::reverse) {
    process->Signal(SIGTERM);
    stop(*process, std::string("a stand-in"));
  }
  this->standIns.clear();
  return clean;
}

} // namespace kumquat::standins
