// Starting, loading and disturbing a deployment.

#include "testbed.h"

#include "chooser.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <ranges>

namespace kumquat::bench {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr int kThreads = 4;
constexpr int kEntriesPerThread = 3;
constexpr milliseconds kProbeInterval(100);
constexpr milliseconds kReadyTimeout(30'000);
constexpr milliseconds kServingTimeout(20'000);
constexpr milliseconds kServingProbe(500);
constexpr double kProbeUtilisation = 0.1;
// Mean over median of the stand-ins' service times: exp(0.4 * 0.4 / 2).
constexpr double kMeanOverMedian = 1.0833;
constexpr std::size_t kBookingBytes = 300;
// Downloads: long enough that they come in pieces.
constexpr std::string_view kDownloadPath = "/blob/200KiB";

struct NamedChoosing
{
  Choosing choosing;
  std::string_view name;
};

constexpr std::array kChoosings = {
  NamedChoosing{ Choosing::kSteward, "steward" },
  NamedChoosing{ Choosing::kDirect, "direct" },
  NamedChoosing{ Choosing::kRoundRobin, "round-robin" },
};

bool Post(const std::string& aAddress, const json& aBody)
{
  const auto answer = standins::Request(
    aAddress,
    { .method = "POST", .target = "/control/faults", .body = aBody.dump() });
  return answer && answer->status == 200;
}

json Get(const std::string& aAddress, const std::string& aTarget)
{
  const auto answer = standins::Request(aAddress, { .target = aTarget });
  return answer ? json::parse(answer->body, nullptr, false) : json();
}

// The stand-in sends its target over and over; see what came is that.
bool IsOwnBlob(const LoadRequest& aRequest, const std::string& aBody)
{
  const std::string line = aRequest.message.target + "\n";
  return aBody.starts_with(line) &&
         std::string_view(aBody).substr(line.size()) ==
           std::string_view(aBody).substr(0, aBody.size() - line.size());
}

ServiceLoad MakeLoad(const standins::ServicePlan& aPlan, double aTimeFactor,
                     double aUtilisation)
{
  const double meanSeconds =
    std::chrono::duration<double>(aPlan.serviceTime).count() * aTimeFactor *
    kMeanOverMedian;
  ServiceLoad load;
  load.service = aPlan.name;
  load.keyed = aPlan.keyed;
  load.idempotent = aPlan.idempotent;
  load.deadline = aPlan.deadline;
  load.perSecond =
    aUtilisation * aPlan.instances * standins::kUpstreamSlots / meanSeconds;
  if (!aPlan.idempotent) {
    load.method = "POST";
    load.bodyBytes = kBookingBytes;
  }
  if (aPlan.workClass == "download") {
    load.path = kDownloadPath;
  }
  return load;
}

standins::Cluster::Options ClusterOptions(const Testbed::Options& aOptions)
{
  standins::Cluster::Options options;
  options.deployment = aOptions.deployment;
  options.build = aOptions.build;
  options.out = aOptions.out;
  options.seed = aOptions.seed;
  options.upstreamFlags = aOptions.upstreamFlags;
  options.upstreamFlags.push_back(
    fmt::format("--time_factor={}", aOptions.timeFactor));
  return options;
}

} // namespace

std::optional<Choosing> ChoosingByName(std::string_view aName)
{
  const auto found = std::ranges::find(kChoosings, aName, &NamedChoosing::name);
  return found == kChoosings.end() ? std::nullopt
                                   : std::optional(found->choosing);
}

std::string_view ChoosingName(Choosing aChoosing)
{
  return kChoosings.at(static_cast<std::size_t>(aChoosing)).name;
}

bool IsOwnAnswer(const LoadRequest& aRequest,
                 const transport::HttpResponse& aResponse)
{
  if (aRequest.message.target.starts_with(kDownloadPath)) {
    return IsOwnBlob(aRequest, aResponse.body);
  }
  const json body = json::parse(aResponse.body, nullptr, false);
  return body.is_object() &&
         body.value("target", "") == aRequest.message.target &&
         body.value("key", "") == aRequest.key &&
         body.value("idempotency_key", "") == aRequest.idempotencyKey;
}

Testbed::Testbed(Options aOptions)
  : options(std::move(aOptions))
  , cluster(ClusterOptions(this->options))
  , nextSeed(this->options.seed)
{
}

bool Testbed::Start()
{
  std::error_code ignored;
  std::filesystem::create_directories(this->options.out, ignored);
  if (!this->cluster.StartStandIns()) {
    this->problem = this->cluster.Problem();
    return false;
  }
  if (this->options.choosing == Choosing::kSteward) {
    return this->StartDaemons();
  }
  // The baselines give no grants: the check would refuse all of their work.
  return this->UpstreamFault({ { "do", "unfence" } });
}

bool Testbed::StartDaemons()
{
  std::vector<EntryAddress> entries;
  const std::size_t all = this->cluster.Hosts().size();
  const std::size_t wanted =
    this->options.hosts == 0 ? all : this->options.hosts;
  for (const standins::HostPlan& host :
       this->cluster.Hosts() | std::views::take(wanted)) {
    if (!this->cluster.StartHost(host.id)) {
      this->problem = this->cluster.Problem();
      return false;
    }
    entries.push_back({ host.callerAddress, host.operatorAddress });
  }
  const std::size_t count = entries.size();
  this->probe =
    std::make_shared<ReadinessProbe>(std::move(entries), kProbeInterval);
  if (!AwaitReady(*this->probe, count, kReadyTimeout)) {
    this->problem = fmt::format("only {} of {} hosts are ready",
                                this->probe->CountReady(), count);
    return false;
  }
  return this->AwaitServing();
}

// Hosts that have just started still divide the upstreams among themselves.
bool Testbed::AwaitServing()
{
  const TimePoint begin = std::chrono::steady_clock::now();
  while (std::chrono::steady_clock::now() < begin + kServingTimeout) {
    const Measured measured =
      this->Run(this->LoadAt(kProbeUtilisation), kServingProbe);
    if (std::ranges::all_of(measured.load.outcomes,
                            [](const LoadOutcome& aOutcome) {
                              return aOutcome.verdict == Verdict::kAnswered;
                            })) {
      return true;
    }
  }
  this->problem = "the hosts are ready but refuse requests";
  return false;
}

bool Testbed::Stop()
{
  this->probe.reset();
  const bool clean = this->cluster.StopAll();
  if (!clean) {
    this->problem = this->cluster.Problem();
  }
  return clean;
}

std::vector<ServiceLoad> Testbed::LoadAt(double aUtilisation) const
{
  std::vector<ServiceLoad> loads;
  std::ranges::transform(
    this->cluster.GetDeployment().services, std::back_inserter(loads),
    [this, aUtilisation](const standins::ServicePlan& aPlan) {
      return MakeLoad(aPlan, this->options.timeFactor, aUtilisation);
    });
  return loads;
}

SenderFactory Testbed::MakeSender() const
{
  if (this->options.choosing == Choosing::kSteward) {
    return
      [probe = this->probe](boost::asio::io_context& aContext, int aNumber) {
        return std::make_unique<Balancer>(aContext, probe,
                                          aNumber * kEntriesPerThread);
      };
  }
  ChooserEntries::Options entries;
  entries.deployment = &this->cluster.GetDeployment();
  entries.upstreams = this->cluster.Upstreams();
  entries.rule = this->options.choosing == Choosing::kDirect
                   ? ChooserRule::kTwoChoices
                   : ChooserRule::kRoundRobin;
  entries.entries = kEntriesPerThread;
  return [entries, seed = this->nextSeed](boost::asio::io_context& aContext,
                                          int aNumber) {
    ChooserEntries::Options own = entries;
    own.seed = seed * kThreads + static_cast<std::uint64_t>(aNumber);
    return std::make_unique<ChooserEntries>(aContext, own);
  };
}

Testbed::Measured Testbed::Run(std::vector<ServiceLoad> aServices,
                               milliseconds aDuration,
                               const std::function<void(int)>& aOnSecond)
{
  const std::string& control = this->cluster.GetAddresses().upstreamControl;
  LoadOptions load;
  load.services = std::move(aServices);
  load.duration = aDuration;
  load.seed = this->nextSeed++;
  load.threads = kThreads;
  load.sender = this->MakeSender();
  load.isOwn = IsOwnAnswer;
  Measured measured;
  measured.load = RunLoad(load, aOnSecond);
  measured.runs = ReadRuns(control, this->nextRun);
  return measured;
}

bool Testbed::UpstreamFault(const json& aFault) const
{
  return Post(this->cluster.GetAddresses().upstreamControl, aFault);
}

bool Testbed::PlatformFault(const json& aFault) const
{
  return Post(this->cluster.GetAddresses().platformControl, aFault);
}

bool Testbed::SetDataCentreOut(const std::string& aDataCentre, bool aOut)
{
  int& version = this->placeVersions[aDataCentre];
  const std::string token = fmt::format("Bearer {}", standins::kOperatorToken);
  const auto answer = standins::Request(
    this->cluster.Hosts().back().operatorAddress,
    { .method = "PUT",
      .target = fmt::format("/places/{}?kind=data-centre&out={}&expect={}",
                            aDataCentre, aOut, version),
      .headers = { { "Authorization", token } } });
  if (!answer || answer->status / 100 != 2) {
    fmt::print(stderr, "place change refused: {}\n",
               answer ? answer->body : answer.error().message());
    return false;
  }
  ++version;
  return true;
}

json Testbed::UpstreamStatus() const
{
  return Get(this->cluster.GetAddresses().upstreamControl, "/control/status");
}

json Testbed::PlatformCounters() const
{
  return Get(this->cluster.GetAddresses().platformControl, "/control/counters");
}

Duration Testbed::Patience() const
{
  constexpr double kMilliseconds = 1.25;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(kMilliseconds *
                                              this->options.timeFactor));
}

InstanceCounts Testbed::Instances() const
{
  InstanceCounts counts;
  for (const standins::ServicePlan& plan :
       this->cluster.GetDeployment().services) {
    counts[plan.name] = plan.instances;
  }
  return counts;
}

std::vector<std::string> Testbed::UnkeyedServices() const
{
  std::vector<std::string> names;
  for (const standins::ServicePlan& plan :
       this->cluster.GetDeployment().services) {
    if (!plan.keyed) {
      names.push_back(plan.name);
    }
  }
  return names;
}

} // namespace kumquat::bench
