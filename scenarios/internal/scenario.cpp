// Processes, load and evidence of one scenario.

#include "scenarios/scenario.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <csignal>
#include <iostream>
#include <iterator>
#include <random>
#include <ranges>
#include <stdexcept>

namespace kumquat::scenarios {

namespace {

using nlohmann::json;
using standins::HostPlan;
using standins::ServicePlan;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kProbeInterval(100);
constexpr milliseconds kReadyTimeout(15'000);
constexpr milliseconds kSettlePause(50);
constexpr milliseconds kLogTimeout(10'000);
constexpr int kLoadThreads = 2;
constexpr std::size_t kMostFaultsShown = 20;
constexpr double kMicrosPerSecond = 1e6;

std::int64_t Micros(steady_clock::time_point aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           aTime.time_since_epoch())
    .count();
}

json GetJson(const std::string& aAddress, const std::string& aTarget)
{
  const auto answer =
    standins::Request(aAddress, { .target = aTarget }, kLogTimeout);
  if (!answer || answer->status != 200) {
    throw std::runtime_error("no answer to " + aTarget);
  }
  return json::parse(answer->body);
}

json CallTable(const std::string& aAddress, const std::string& aOperation,
               const json& aBody)
{
  transport::HttpRequest request;
  request.method = "POST";
  request.headers = { { "X-Amz-Target", "DynamoDB_20120810." + aOperation } };
  request.body = aBody.dump();
  const auto answer = standins::Request(aAddress, std::move(request));
  if (!answer || answer->status != 200) {
    throw std::runtime_error("the table refused " + aBody.dump());
  }
  return json::parse(answer->body);
}

RunRecord ReadRun(const json& aRun)
{
  return { .service = aRun.at("service"),
           .instance = aRun.at("instance"),
           .key = aRun.at("key"),
           .idempotencyKey = aRun.at("idempotency_key"),
           .target = aRun.at("target"),
           .state = aRun.at("state"),
           .outcome = aRun.at("outcome"),
           .start = aRun.at("start_us"),
           .end = aRun.at("end_us"),
           .stateFor = aRun.at("state_for_us"),
           .running = aRun.at("running"),
           .bears = aRun.at("bears") };
}

TenureRecord ReadTenure(const json& aTenure)
{
  return { .service = aTenure.at("service"),
           .instance = aTenure.at("instance"),
           .first = std::stoull(aTenure.at("first").get<std::string>()),
           .last = std::stoull(aTenure.at("last").get<std::string>()),
           .from = aTenure.at("from_us"),
           .until = aTenure.at("until_us") };
}

} // namespace

Scenario::Scenario(Options aOptions)
  : options(std::move(aOptions))
  , random(this->options.seed)
  , begin(steady_clock::now())
{
}

Scenario::~Scenario()
{
  if (this->loadThread.joinable()) {
    this->loadThread.join();
  }
  this->probe.reset();
  if (this->cluster) {
    // A planned stop is a story of its own; here the end has to be short.
    for (const HostPlan& host : this->cluster->Hosts()) {
      this->cluster->KillHost(host.id);
    }
  }
}

standins::Cluster& Scenario::Running()
{
  if (!this->cluster) {
    throw std::runtime_error("nothing was started");
  }
  return *this->cluster;
}

void Scenario::Start(const StartOptions& aOptions)
{
  std::filesystem::remove_all(this->options.out);
  this->cluster = std::make_unique<standins::Cluster>(
    standins::Cluster::Options{ .deployment = aOptions.deployment,
                                .net = this->options.net,
                                .build = this->options.build,
                                .out = this->options.out,
                                .seed = this->options.seed,
                                .relayed = aOptions.relayed,
                                .platformFlags = aOptions.platformFlags,
                                .upstreamFlags = aOptions.upstreamFlags });
  standins::Cluster& started = *this->cluster;
  if (!started.StartStandIns() || !started.StartHosts() ||
      !started.AwaitReady(kReadyTimeout)) {
    throw std::runtime_error(started.Problem());
  }
  std::vector<bench::EntryAddress> entries;
  std::ranges::transform(
    started.Hosts(), std::back_inserter(entries), [](const HostPlan& aHost) {
      return bench::EntryAddress{ aHost.callerAddress, aHost.operatorAddress };
    });
  this->probe =
    std::make_shared<bench::ReadinessProbe>(std::move(entries), kProbeInterval);
  if (!bench::AwaitReady(*this->probe, started.Hosts().size(), kReadyTimeout)) {
    throw std::runtime_error("not every host is ready");
  }
  this->Say("started");
}

bool Scenario::IsServed(const HostPlan& aHost, const ServicePlan& aService)
{
  transport::HttpRequest request;
  request.target = "/settle";
  request.headers = { { "Kumquat-Service", aService.name },
                      { "Kumquat-Key", "settle-" + aHost.id } };
  const auto answer =
    standins::Request(aHost.callerAddress, std::move(request));
  return answer && answer->status == 200;
}

void Scenario::Settle(milliseconds aMost)
{
  const auto end = steady_clock::now() + aMost;
  standins::Cluster& settling = this->Running();
  for (const HostPlan& host : settling.Hosts()) {
    for (const ServicePlan& service : settling.GetDeployment().services) {
      while (!this->IsServed(host, service)) {
        if (steady_clock::now() > end) {
          throw std::runtime_error(service.name + " is not served at " +
                                   host.id);
        }
        std::this_thread::sleep_for(kSettlePause);
      }
    }
  }
  this->Say("settled");
}

void Scenario::StartLoad(const LoadPlan& aPlan)
{
  this->WaitLoad();
  bench::LoadOptions load;
  for (const ServicePlan& service : this->Running().GetDeployment().services) {
    const auto rate = aPlan.perSecond.find(service.name);
    if (rate != aPlan.perSecond.end()) {
      load.services.push_back({ .service = service.name,
                                .perSecond = rate->second,
                                .keyed = service.keyed,
                                .idempotent = service.idempotent,
                                .method = service.idempotent ? "GET" : "POST",
                                .deadline = service.deadline,
                                .keys = aPlan.keys });
    }
  }
  load.duration = aPlan.duration;
  // Another load of the same scenario draws other requests.
  load.seed =
    this->options.seed * 1000 + static_cast<std::uint64_t>(this->loads++);
  load.threads = kLoadThreads;
  load.isOwn = IsOwnAnswer;
  load.sender = [this, services = load.services](
                  boost::asio::io_context& aContext, int aNumber) {
    return std::make_unique<RecordingSender>(
      this->book, RecordingOptions{ .services = services },
      std::make_unique<bench::Balancer>(aContext, this->probe, aNumber));
  };
  this->loadBegin = steady_clock::now();
  this->loadThread =
    std::thread([load = std::move(load)] { bench::RunLoad(load); });
  this->Say("load started");
}

void Scenario::WaitLoad()
{
  if (this->loadThread.joinable()) {
    this->loadThread.join();
    this->Say("load ended");
  }
}

void Scenario::Kill(const std::string& aHost)
{
  this->Running().KillHost(aHost);
  this->Say("killed " + aHost);
}

int Scenario::Stop(const std::string& aHost, milliseconds aMost)
{
  const std::optional<int> code = this->Running().StopHost(aHost, aMost);
  this->Say("stopped " + aHost);
  return code.value_or(-1);
}

void Scenario::Signal(const std::string& aHost, int aSignal)
{
  standins::Process* process = this->Running().FindHost(aHost);
  if (process == nullptr) {
    throw std::runtime_error(aHost + " does not run");
  }
  process->Signal(aSignal);
  this->Say(fmt::format("signal {} to {}", aSignal, aHost));
}

void Scenario::StartHost(const std::string& aHost)
{
  if (!this->Running().StartHost(aHost)) {
    throw std::runtime_error(this->Running().Problem());
  }
  this->Say("started " + aHost);
}

json Scenario::Control(const std::string& aStandIn, const std::string& aTarget,
                       const json& aBody)
{
  const standins::Addresses& addresses = this->Running().GetAddresses();
  const std::map<std::string, std::string> byName{
    { "platform", addresses.platformControl },
    { "upstream", addresses.upstreamControl },
    { "network", addresses.networkControl }
  };
  const auto answer = standins::Request(
    byName.at(aStandIn),
    { .method = "POST", .target = aTarget, .body = aBody.dump() });
  if (!answer || answer->status != 200) {
    throw std::runtime_error(aStandIn + " refused " + aBody.dump());
  }
  this->Say(aStandIn + " " + aTarget + " " + aBody.dump());
  return json::parse(answer->body);
}

std::pair<int, std::string> Scenario::Operate(const std::string& aHost,
                                              const std::string& aMethod,
                                              const std::string& aTarget,
                                              const std::string& aBody)
{
  const auto& hosts = this->Running().Hosts();
  const auto host = std::ranges::find(hosts, aHost, &HostPlan::id);
  if (host == hosts.end()) {
    throw std::runtime_error("no host " + aHost);
  }
  transport::HttpRequest request{ .method = aMethod, .target = aTarget };
  request.headers = { { "Authorization",
                        "Bearer " + std::string(standins::kOperatorToken) } };
  request.body = aBody;
  const auto answer =
    standins::Request(host->operatorAddress, std::move(request));
  if (!answer) {
    return { 0, answer.error().message() };
  }
  return { answer->status, answer->body };
}

void Scenario::SetPlace(const std::string& aName, bool aOut)
{
  const std::string& table = this->Running().GetAddresses().table;
  const json key = { { "pk", { { "S", "place" } } },
                     { "sk", { { "S", aName } } } };
  const json found = CallTable(table, "GetItem", { { "Key", key } });
  const std::string expected =
    found.contains("Item") ? found.at("Item").at("version").at("N") : "0";
  json item = key;
  item["version"] = { { "N", std::to_string(std::stoll(expected) + 1) } };
  item["nonce"] = { { "S", "scenario" } };
  item["body"] = { { "S", json{ { "name", aName }, { "out", aOut } }.dump() } };
  json put = { { "TableName", "kumquat" }, { "Item", item } };
  if (expected == "0") {
    put["ConditionExpression"] = "attribute_not_exists(pk)";
  } else {
    put["ConditionExpression"] = "version = :expected";
    put["ExpressionAttributeValues"] = { { ":expected",
                                           { { "N", expected } } } };
  }
  CallTable(table, "TransactWriteItems",
            { { "TransactItems", json::array({ { { "Put", put } } }) } });
  this->Say(aName + (aOut ? " is out" : " is in"));
}

void Scenario::Say(const std::string& aText)
{
  const std::chrono::duration<double> since = steady_clock::now() - this->begin;
  std::cout << fmt::format("{:7.3f} {}\n", since.count(), aText) << std::flush;
}

void Scenario::Fail(const std::string& aText)
{
  this->failures.push_back(aText);
  this->Say("FAILED: " + aText);
}

std::vector<RunRecord> Scenario::FetchRuns()
{
  const std::string& address = this->Running().GetAddresses().upstreamControl;
  std::vector<RunRecord> runs;
  std::uint64_t next = 0;
  for (;;) {
    const json page =
      GetJson(address, "/control/runs?after=" + std::to_string(next));
    if (page.at("dropped") > 0) {
      throw std::runtime_error("the log of runs was too short");
    }
    if (page.at("runs").empty()) {
      return runs;
    }
    std::ranges::transform(page.at("runs"), std::back_inserter(runs), ReadRun);
    next = page.at("next");
  }
}

std::vector<TenureRecord> Scenario::FetchTenures()
{
  const json page =
    GetJson(this->Running().GetAddresses().upstreamControl, "/control/grants");
  std::vector<TenureRecord> tenures;
  std::ranges::transform(page.at("grants"), std::back_inserter(tenures),
                         ReadTenure);
  return tenures;
}

std::vector<std::string> Scenario::FetchCollapsed()
{
  const json page =
    GetJson(this->Running().GetAddresses().upstreamControl, "/control/status");
  std::vector<std::string> collapsed;
  for (const json& instance : page.at("instances")) {
    collapsed.insert(collapsed.end(), instance.at("collapses").get<int>(),
                     instance.at("id").get<std::string>());
  }
  return collapsed;
}

void Scenario::CollectCallers()
{
  this->WaitLoad();
  std::ranges::move(this->book.Take(), std::back_inserter(this->callers));
}

void Scenario::CheckAll(const CheckRules& aRules)
{
  this->CollectCallers();
  Evidence evidence{ .callers = this->callers,
                     .runs = this->FetchRuns(),
                     .tenures = this->FetchTenures(),
                     .collapsed = this->FetchCollapsed() };
  for (const ServicePlan& service : this->Running().GetDeployment().services) {
    if (service.keyed) {
      evidence.keyedServices.push_back(service.name);
    }
  }
  const std::vector<std::string> faults = Check(evidence, aRules);
  std::ranges::for_each(
    faults | std::views::take(kMostFaultsShown),
    [this](const std::string& aFault) { this->Say("FAILED: " + aFault); });
  std::ranges::copy(faults, std::back_inserter(this->failures));
  this->Say(fmt::format("checked {} requests, {} runs, {} tenures: {} faults",
                        evidence.callers.size(), evidence.runs.size(),
                        evidence.tenures.size(), faults.size()));
}

ServiceFigures Scenario::FiguresOf(const std::string& aService)
{
  this->CollectCallers();
  const std::vector<ServiceFigures> figures = Figures(this->callers);
  const auto found =
    std::ranges::find(figures, aService, &ServiceFigures::service);
  return found == figures.end() ? ServiceFigures() : *found;
}

int Scenario::CountRuns(const std::string& aWhere, double aFrom, double aTo)
{
  std::map<std::string, std::string> dataCentreOf;
  for (const standins::UpstreamPlan& plan : this->Running().Upstreams()) {
    dataCentreOf[plan.id] = plan.dataCentre;
  }
  const std::int64_t start = Micros(this->loadBegin);
  const auto from = static_cast<std::int64_t>(aFrom * kMicrosPerSecond);
  const auto to = static_cast<std::int64_t>(aTo * kMicrosPerSecond);
  const std::vector<RunRecord> runs = this->FetchRuns();
  return static_cast<int>(std::ranges::count_if(runs, [&](const auto& aRun) {
    return (aRun.instance == aWhere || dataCentreOf[aRun.instance] == aWhere) &&
           aRun.start >= start + from && aRun.start < start + to;
  }));
}

std::uint64_t Scenario::Random(std::uint64_t aBelow)
{
  return std::uniform_int_distribution<std::uint64_t>(0,
                                                      aBelow - 1)(this->random);
}

const std::vector<HostPlan>& Scenario::Hosts() const
{
  static const std::vector<HostPlan> kNone;
  return this->cluster ? this->cluster->Hosts() : kNone;
}

void Scenario::PrintFigures()
{
  std::cout << fmt::format(
    "{:<12}{:>9}{:>9}{:>9}{:>6}{:>6}{:>15}{:>13}{:>9}{:>9}\n", "service",
    "requests", "answered", "refused", "cut", "lost", "unavailable_s",
    "worst_gap_s", "p50_ms", "p99_ms");
  for (const ServiceFigures& line : Figures(this->callers)) {
    std::cout << fmt::format(
      "{:<12}{:>9}{:>9}{:>9}{:>6}{:>6}{:>15.1f}{:>13.2f}{:>9.1f}{:>9.1f}\n",
      line.service, line.requests, line.answered, line.refused, line.cut,
      line.lost, line.unavailableSeconds, line.worstGapSeconds, line.p50Millis,
      line.p99Millis);
  }
  std::map<std::string, int> refusals;
  for (const CallerRecord& caller : this->callers) {
    const Attempt& last = caller.attempts.back();
    if (last.verdict == AttemptVerdict::kRefused) {
      ++refusals[caller.service + " " + last.error + " " + last.outcome];
    }
  }
  for (const auto& [kind, count] : refusals) {
    std::cout << fmt::format("  refused: {} {}\n", kind, count);
  }
}

int Scenario::Finish()
{
  this->CollectCallers();
  this->PrintFigures();
  std::cout << (this->failures.empty()
                  ? std::string("passed\n")
                  : fmt::format("failed: {} faults\n", this->failures.size()));
  return this->failures.empty() ? 0 : 1;
}

} // namespace kumquat::scenarios
