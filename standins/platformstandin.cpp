// The platform of a run: its table, object store and list in one process, with
// faults that are switched on by POST /control/faults.

#include "standins/deployment.h"
#include "standins/endpointhistory.h"
#include "standins/program.h"
#include "standins/tablestore.h"
#include "state/configurationhead.h"
#include "transport/http.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>
#include <pcg_random.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <fstream>
#include <functional>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

ABSL_FLAG(int, net, kumquat::standins::DefaultNet(),
          "second octet of every address");
ABSL_FLAG(std::string, deployment, "cooperative", "cooperative or silnostav");
ABSL_FLAG(std::string, configuration, "",
          "operators' text that is in force from the start, as version 1");
ABSL_FLAG(int, lag_ms, 1000, "how late the list shows a change");
ABSL_FLAG(std::uint64_t, seed, 1, "of the faults that come by chance");
ABSL_FLAG(int, writes_per_second, 500, "rows that the table takes");
ABSL_FLAG(int, reads_per_second, 2000, "requests that the table answers");

namespace kumquat::standins {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::HttpServer;
using transport::IoThread;
using Respond = HttpServer::Respond;

constexpr std::string_view kTargetPrefix = "DynamoDB_20120810.";
constexpr std::string_view kObjectPrefix = "/kumquat/";
constexpr std::string_view kListTarget =
  "/apis/discovery.k8s.io/v1/endpointslices";
constexpr std::size_t kMaxBodyBytes = 16U << 20U;

// Takes a number of things a second, and a second's worth at once.
class TokenBucket
{
public:
  explicit TokenBucket(double aPerSecond)
    : perSecond(aPerSecond)
    , tokens(aPerSecond)
    , last(steady_clock::now())
  {
  }

  void SetRate(double aPerSecond) { this->perSecond = aPerSecond; }

  bool Take(double aCount)
  {
    const auto now = steady_clock::now();
    const std::chrono::duration<double> passed = now - this->last;
    this->last = now;
    this->tokens = std::min(this->perSecond,
                            this->tokens + passed.count() * this->perSecond);
    if (this->tokens < aCount) {
      return false;
    }
    this->tokens -= aCount;
    return true;
  }

private:
  double perSecond;
  double tokens;
  steady_clock::time_point last;
};

enum class Outage
{
  kNone,
  kRefuse,
  kHang,
};

struct Faults
{
  Outage outage = Outage::kNone;
  milliseconds slowness{ 0 };
  // Writes that take effect with their answer lost: so many next ones, and any
  // with a probability.
  int loseAnswers = 0;
  double loseProbability = 0;
  milliseconds listLag{ 0 };
};

struct Counters
{
  long long reads = 0;
  long long writes = 0;
  long long rowsWritten = 0;
  long long conflicts = 0;
  long long throttled = 0;
  long long answersLost = 0;
};

class Platform
{
public:
  explicit Platform(IoThread& aThread)
    : thread(aThread)
    , addresses(AddressesOf(absl::GetFlag(FLAGS_net)))
    , random(absl::GetFlag(FLAGS_seed))
    , writes(absl::GetFlag(FLAGS_writes_per_second))
    , reads(absl::GetFlag(FLAGS_reads_per_second))
  {
    this->faults.listLag = milliseconds(absl::GetFlag(FLAGS_lag_ms));
  }

  void Prepare(const Deployment& aDeployment, int aNet,
               const std::string& aConfiguration)
  {
    for (const HostPlan& host : HostsOf(aDeployment, aNet)) {
      this->list.Add({ .service = "kumquatd",
                       .id = host.id,
                       .ip = host.ip,
                       .port = kPeerPort,
                       .dataCentre = host.dataCentre });
    }
    for (const UpstreamPlan& upstream : UpstreamsOf(aDeployment, aNet)) {
      this->list.Add({ .service = upstream.service,
                       .id = upstream.id,
                       .ip = upstream.ip,
                       .port = kUpstreamPort,
                       .dataCentre = upstream.dataCentre });
    }
    if (!aConfiguration.empty()) {
      this->SeedConfiguration(aConfiguration);
    }
  }

  void Listen()
  {
    this->ListenServices();
    this->control = ListenOrExit(
      this->thread, { .address = this->addresses.platformControl,
                      .maxBodyBytes = kMaxBodyBytes,
                      .handler = [this](const HttpRequest& aRequest,
                                        const Respond& aRespond) {
                        aRespond(this->Control(aRequest));
                      } });
  }

private:
  static constexpr int kPeerPort = 7000;

  using Handle = HttpResponse (Platform::*)(const HttpRequest&);

  void SeedConfiguration(const std::string& aText)
  {
    const std::string name = state::ConfigurationObjectName(aText);
    this->objects[name] = aText;
    const json body = { { "object", name } };
    this->table.Seed("config", "head", 1, body.dump());
  }

  void ListenServices()
  {
    const std::array<std::pair<std::string, Handle>, 3> served{ {
      { this->addresses.table, &Platform::Table },
      { this->addresses.object, &Platform::Object },
      { this->addresses.list, &Platform::List },
    } };
    std::ranges::transform(
      served, std::back_inserter(this->services), [this](const auto& aServed) {
        return ListenOrExit(
          this->thread,
          { .address = aServed.first,
            .maxBodyBytes = kMaxBodyBytes,
            .handler = [this, handle = aServed.second](
                         const HttpRequest& aRequest, const Respond& aRespond) {
              this->Serve(handle, aRequest, aRespond);
            } });
      });
  }

  void Serve(Handle aHandle, const HttpRequest& aRequest,
             const Respond& aRespond)
  {
    if (this->faults.outage == Outage::kRefuse) {
      aRespond({ .status = transport::kNoAnswer });
      return;
    }
    if (this->faults.outage == Outage::kHang) {
      this->hanging.push_back(aRespond);
      return;
    }
    if (this->faults.slowness == milliseconds(0)) {
      aRespond((this->*aHandle)(aRequest));
      return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(
      this->thread.Context(), this->faults.slowness);
    timer->async_wait([this, timer, aHandle, aRequest, aRespond](const auto&) {
      aRespond((this->*aHandle)(aRequest));
    });
  }

  HttpResponse Table(const HttpRequest& aRequest)
  {
    const std::string target(aRequest.Header("X-Amz-Target"));
    const std::string operation = target.starts_with(kTargetPrefix)
                                    ? target.substr(kTargetPrefix.size())
                                    : target;
    const std::size_t rows = RowsWritten(operation, aRequest.body);
    TokenBucket& bucket = rows > 0 ? this->writes : this->reads;
    if (!bucket.Take(rows > 0 ? static_cast<double>(rows) : 1)) {
      ++this->counters.throttled;
      return JsonResponse(400, R"({"__type":"com.amazonaws.dynamodb.v20120810#)"
                               R"(ProvisionedThroughputExceededException"})");
    }
    TableAnswer answer = this->table.Apply(operation, aRequest.body);
    if (rows == 0) {
      ++this->counters.reads;
      return JsonResponse(answer.status, std::move(answer.body));
    }
    return this->AnswerWrite(rows, std::move(answer));
  }

  HttpResponse AnswerWrite(std::size_t aRows, TableAnswer aAnswer)
  {
    ++this->counters.writes;
    if (aAnswer.status != 200) {
      ++this->counters.conflicts;
      return JsonResponse(aAnswer.status, std::move(aAnswer.body));
    }
    this->counters.rowsWritten += static_cast<long long>(aRows);
    if (!this->LosesAnswer()) {
      return JsonResponse(aAnswer.status, std::move(aAnswer.body));
    }
    ++this->counters.answersLost;
    return { .status = transport::kNoAnswer };
  }

  bool LosesAnswer()
  {
    if (this->faults.loseAnswers > 0) {
      --this->faults.loseAnswers;
      return true;
    }
    return std::bernoulli_distribution(this->faults.loseProbability)(
      this->random);
  }

  HttpResponse Object(const HttpRequest& aRequest)
  {
    if (!aRequest.target.starts_with(kObjectPrefix)) {
      return JsonResponse(400, "{}");
    }
    const std::string name = aRequest.target.substr(kObjectPrefix.size());
    if (aRequest.method == "PUT") {
      this->objects[name] = aRequest.body;
      return {};
    }
    const auto found = this->objects.find(name);
    if (found == this->objects.end()) {
      return { .status = 404,
               .headers = { { "Content-Type", "application/xml" } },
               .body = "<Error><Code>NoSuchKey</Code></Error>" };
    }
    return { .body = found->second };
  }

  HttpResponse List(const HttpRequest& aRequest)
  {
    if (aRequest.target != kListTarget) {
      return JsonResponse(404, "{}");
    }
    return JsonResponse(
      200, this->list.Text(steady_clock::now() - this->faults.listLag));
  }

  HttpResponse Control(const HttpRequest& aRequest)
  {
    if (aRequest.target == "/control/rows") {
      return JsonResponse(200, this->table.Dump());
    }
    if (aRequest.target == "/control/counters") {
      return this->ShowCounters();
    }
    const json body = json::parse(aRequest.body, nullptr, false);
    if (!body.is_object()) {
      return JsonResponse(400, R"({"error":"not a JSON object"})");
    }
    try {
      if (aRequest.target == "/control/faults") {
        this->SetFaults(body);
        return JsonResponse(200, "{}");
      }
      if (aRequest.target == "/control/endpoints") {
        return this->SetEndpoint(body);
      }
    } catch (const std::exception& error) {
      return JsonResponse(400, json{ { "error", error.what() } }.dump());
    }
    return JsonResponse(404, "{}");
  }

  HttpResponse ShowCounters() const
  {
    const json body = { { "reads", this->counters.reads },
                        { "writes", this->counters.writes },
                        { "rows_written", this->counters.rowsWritten },
                        { "conflicts", this->counters.conflicts },
                        { "throttled", this->counters.throttled },
                        { "answers_lost", this->counters.answersLost } };
    return JsonResponse(200, body.dump());
  }

  // Names that are not there keep what they were.
  void SetFaults(const json& aBody)
  {
    static const std::map<std::string, Outage> kOutages{
      { "none", Outage::kNone },
      { "refuse", Outage::kRefuse },
      { "hang", Outage::kHang }
    };
    Faults& now = this->faults;
    now.slowness = milliseconds(aBody.value("slow_ms", now.slowness.count()));
    now.loseAnswers = aBody.value("lose_answers", now.loseAnswers);
    now.loseProbability = aBody.value("lose_probability", now.loseProbability);
    now.listLag = milliseconds(aBody.value("list_lag_ms", now.listLag.count()));
    if (aBody.contains("writes_per_second")) {
      this->writes.SetRate(aBody.at("writes_per_second").get<double>());
    }
    if (aBody.contains("reads_per_second")) {
      this->reads.SetRate(aBody.at("reads_per_second").get<double>());
    }
    if (aBody.contains("outage")) {
      this->SetOutage(kOutages.at(aBody.at("outage").get<std::string>()));
    }
  }

  void SetOutage(Outage aOutage)
  {
    this->faults.outage = aOutage;
    if (aOutage == Outage::kRefuse) {
      std::ranges::for_each(
        this->services, [](const auto& aServer) { aServer->StopAccepting(); });
      this->services.clear();
    } else if (this->services.empty()) {
      this->ListenServices();
    }
    if (aOutage != Outage::kHang) {
      const std::vector<Respond> left = std::exchange(this->hanging, {});
      std::ranges::for_each(left, [](const Respond& aRespond) {
        aRespond({ .status = transport::kNoAnswer });
      });
    }
  }

  HttpResponse SetEndpoint(const json& aBody)
  {
    static const std::map<std::string, EndpointState> kStates{
      { "live", EndpointState::kLive },
      { "leaving", EndpointState::kLeaving },
      { "gone", EndpointState::kGone }
    };
    const bool known = this->list.Set(
      aBody.at("service").get<std::string>(), aBody.at("id").get<std::string>(),
      kStates.at(aBody.at("state").get<std::string>()), steady_clock::now());
    return JsonResponse(known ? 200 : 404, "{}");
  }

  IoThread& thread;
  const Addresses addresses;
  TableStore table;
  std::map<std::string, std::string> objects;
  EndpointHistory list;
  pcg64 random;
  TokenBucket writes;
  TokenBucket reads;
  Faults faults;
  Counters counters;
  // Requests that get no answer until the outage ends.
  std::vector<Respond> hanging;
  // Empty while connections are refused.
  std::vector<std::unique_ptr<HttpServer>> services;
  std::unique_ptr<HttpServer> control;
};

std::string ReadFile(const std::string& aName)
{
  std::ifstream file(aName);
  return { std::istreambuf_iterator<char>(file), {} };
}

int RunProgram()
{
  const Deployment* deployment =
    FindDeployment(absl::GetFlag(FLAGS_deployment));
  if (deployment == nullptr) {
    std::cerr << "no such deployment\n";
    return 2;
  }
  const std::string file = absl::GetFlag(FLAGS_configuration);
  const std::string text = file.empty() ? std::string() : ReadFile(file);
  if (!file.empty() && text.empty()) {
    std::cerr << "cannot read " << file << "\n";
    return 2;
  }
  BlockStopSignals();
  IoThread thread;
  Platform platform(thread);
  platform.Prepare(*deployment, absl::GetFlag(FLAGS_net), text);
  platform.Listen();
  thread.Start("platform");
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
