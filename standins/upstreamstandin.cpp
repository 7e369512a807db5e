// All upstream instances of a deployment in one process, each at its own
// address, with a common control address for faults and logs.

#include "standins/deployment.h"
#include "standins/program.h"
#include "standins/runlog.h"
#include "standins/upstreamserver.h"
#include "transport/http.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <iostream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

ABSL_FLAG(int, net, kumquat::standins::DefaultNet(),
          "second octet of every address");
ABSL_FLAG(std::string, deployment, "cooperative", "cooperative or silnostav");
ABSL_FLAG(std::uint64_t, seed, 1, "of service times and of chance faults");
ABSL_FLAG(double, time_factor, 1, "multiplies every service time");
ABSL_FLAG(bool, cold, false, "every instance starts cold");
ABSL_FLAG(int, health_lag_ms, 1000, "how late /health shows a change");
ABSL_FLAG(int, cold_grace_ms, 250,
          "after a restart, until too much work makes an instance fall over");
ABSL_FLAG(std::vector<std::string>, unfenced, {},
          "ids of instances that do not check who orders them");
ABSL_FLAG(int, runs_kept, 1'000'000, "bound of the log of runs");

namespace kumquat::standins {

namespace {

using nlohmann::json;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::HttpServer;
using transport::IoThread;

constexpr std::chrono::milliseconds kSnapshotPeriod(100);
constexpr std::string_view kRunsPrefix = "/control/runs";
constexpr std::string_view kAfter = "?after=";
constexpr std::size_t kRunsPerAnswer = 50'000;

class Upstreams
{
public:
  explicit Upstreams(IoThread& aThread)
    : thread(aThread)
    , runs(static_cast<std::size_t>(absl::GetFlag(FLAGS_runs_kept)))
    , tick(aThread.Context())
  {
  }

  void Listen(const Deployment& aDeployment, int aNet)
  {
    std::uint64_t seed = absl::GetFlag(FLAGS_seed) << 16U;
    for (const UpstreamPlan& plan : UpstreamsOf(aDeployment, aNet)) {
      const auto service = std::ranges::find(aDeployment.services, plan.service,
                                             &ServicePlan::name);
      this->instances.push_back(std::make_unique<UpstreamServer>(
        this->thread, this->runs, this->grants,
        UpstreamServer::Options{ .plan = plan,
                                 .service = *service,
                                 .seed = ++seed,
                                 .timeFactor = absl::GetFlag(FLAGS_time_factor),
                                 .startsCold = absl::GetFlag(FLAGS_cold),
                                 .healthLag = std::chrono::milliseconds(
                                   absl::GetFlag(FLAGS_health_lag_ms)),
                                 .coldGrace = std::chrono::milliseconds(
                                   absl::GetFlag(FLAGS_cold_grace_ms)) }));
      this->instances.back()->Listen();
    }
    for (const std::string& id : absl::GetFlag(FLAGS_unfenced)) {
      this->ApplyFault({ { "id", id }, { "do", "unfence" } });
    }
    this->control = ListenOrExit(
      this->thread, { .address = AddressesOf(aNet).upstreamControl,
                      .handler = [this](const HttpRequest& aRequest,
                                        const HttpServer::Respond& aRespond) {
                        aRespond(this->Control(aRequest));
                      } });
    this->Tick();
  }

private:
  void Tick()
  {
    std::ranges::for_each(this->instances,
                          [](const auto& aInstance) { aInstance->Snapshot(); });
    this->tick.expires_after(kSnapshotPeriod);
    this->tick.async_wait([this](const auto& aError) {
      if (!aError) {
        this->Tick();
      }
    });
  }

  HttpResponse Control(const HttpRequest& aRequest)
  {
    if (aRequest.target.starts_with(kRunsPrefix)) {
      return JsonResponse(
        200, this->runs.Text(ReadAfter(aRequest.target), kRunsPerAnswer));
    }
    if (aRequest.target == "/control/grants") {
      return JsonResponse(200, this->grants.Text());
    }
    if (aRequest.target == "/control/status") {
      return this->Status();
    }
    if (aRequest.target != "/control/faults") {
      return JsonResponse(404, "{}");
    }
    try {
      return this->ApplyFault(json::parse(aRequest.body));
    } catch (const std::exception& error) {
      return JsonResponse(400, json{ { "error", error.what() } }.dump());
    }
  }

  static RunLog::Number ReadAfter(std::string_view aTarget)
  {
    const std::size_t at = aTarget.find(kAfter);
    RunLog::Number after = 0;
    if (at != std::string_view::npos) {
      std::from_chars(aTarget.data() + at + kAfter.size(),
                      aTarget.data() + aTarget.size(), after);
    }
    return after;
  }

  HttpResponse Status() const
  {
    json list = json::array();
    std::ranges::transform(
      this->instances, std::back_inserter(list),
      [](const auto& aInstance) { return aInstance->Status(); });
    return JsonResponse(200, json{ { "instances", std::move(list) } }.dump());
  }

  // {"do": fault, "service"?, "id"?, "data_centre"?, ...}: applies to every
  // instance that all of the given names fit.
  HttpResponse ApplyFault(const json& aBody)
  {
    const auto fits = [&aBody](const char* aName, const std::string& aValue) {
      return !aBody.contains(aName) || aBody.at(aName) == aValue;
    };
    int applied = 0;
    for (const auto& instance : this->instances) {
      const UpstreamPlan& plan = instance->Plan();
      if (!fits("service", plan.service) || !fits("id", plan.id) ||
          !fits("data_centre", plan.dataCentre)) {
        continue;
      }
      if (!instance->Apply(aBody.at("do").get<std::string>(), aBody)) {
        return JsonResponse(400, R"({"error":"unknown fault"})");
      }
      ++applied;
    }
    return JsonResponse(applied > 0 ? 200 : 404,
                        json{ { "applied", applied } }.dump());
  }

  IoThread& thread;
  RunLog runs;
  GrantLog grants;
  std::vector<std::unique_ptr<UpstreamServer>> instances;
  std::unique_ptr<HttpServer> control;
  boost::asio::steady_timer tick;
};

int RunProgram()
{
  const Deployment* deployment =
    FindDeployment(absl::GetFlag(FLAGS_deployment));
  if (deployment == nullptr) {
    std::cerr << "no such deployment\n";
    return 2;
  }
  BlockStopSignals();
  IoThread thread;
  Upstreams upstreams(thread);
  upstreams.Listen(*deployment, absl::GetFlag(FLAGS_net));
  thread.Start("upstreams");
  WaitForStop();
  thread.Stop();
  return 0;
}

} // namespace

} // namespace kumquat::standins

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  return kumquat::standins::RunProgram();
}
