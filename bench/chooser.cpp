// Choosing without stewards: own counts, lagging reports, retries when an
// upstream sheds, within the same budget as the system's own.

#include "chooser.h"

#include "state/routingmap.h"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <ranges>

namespace kumquat::bench {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr milliseconds kFirstPause(10);
constexpr milliseconds kReportTimeout(1000);
constexpr int kMostTries = 3;
constexpr int kShed = 503;

} // namespace

// One entry host: what it knows of the upstreams is its own.
class ChooserEntries::Entry : public std::enable_shared_from_this<Entry>
{
public:
  Entry(boost::asio::io_context& aContext, const Options& aOptions,
        std::uint64_t aStream)
    : context(aContext)
    , rule(aOptions.rule)
    , reportInterval(aOptions.reportInterval)
    , random(aOptions.seed, aStream)
    , client(aContext, {})
    , reportTimer(aContext)
  {
    for (const standins::UpstreamPlan& plan : aOptions.upstreams) {
      this->services[plan.service].upstreams.push_back(
        { .address = plan.address });
    }
    for (const standins::ServicePlan& plan : aOptions.deployment->services) {
      this->services[plan.name].keyed = plan.keyed;
    }
  }

  void Start()
  {
    if (this->rule == ChooserRule::kTwoChoices) {
      this->AskReports();
    }
  }

  void Send(const LoadRequest& aRequest, Done aDone)
  {
    this->budget.OnRequest();
    auto pending = std::make_shared<Pending>(
      Pending{ .request = aRequest,
               .deadline = steady_clock::now() + aRequest.deadline,
               .done = std::move(aDone) });
    this->Try(pending);
  }

private:
  struct Upstream
  {
    std::string address;
    // Requests of this entry that have no answer yet.
    int own = 0;
    // As the upstream last reported; old by then.
    int reported = 0;
  };

  struct Service
  {
    bool keyed = false;
    std::vector<Upstream> upstreams;
    std::size_t turn = 0;
  };

  struct Pending
  {
    LoadRequest request;
    TimePoint deadline;
    Done done;
    int tries = 0;
  };

  using PendingPtr = std::shared_ptr<Pending>;

  Service& ServiceOf(const LoadRequest& aRequest)
  {
    return this
      ->services[std::string(aRequest.message.Header("Kumquat-Service"))];
  }

  Upstream& Pick(Service& aService, const std::string& aKey)
  {
    std::vector<Upstream>& upstreams = aService.upstreams;
    if (aService.keyed) {
      return upstreams[state::HashKey(aKey) % upstreams.size()];
    }
    if (this->rule == ChooserRule::kRoundRobin) {
      return upstreams[aService.turn++ % upstreams.size()];
    }
    std::uniform_int_distribution<std::size_t> any(0, upstreams.size() - 1);
    Upstream& one = upstreams[any(this->random)];
    Upstream& other = upstreams[any(this->random)];
    return one.own + one.reported <= other.own + other.reported ? one : other;
  }

  void Try(const PendingPtr& aPending)
  {
    ++aPending->tries;
    Upstream& upstream =
      this->Pick(this->ServiceOf(aPending->request), aPending->request.key);
    ++upstream.own;
    transport::HttpRequest message = aPending->request.message;
    const std::string id =
      fmt::format("{}.{}", aPending->request.nonce, aPending->tries);
    message.headers.push_back({ "Kumquat-Request-Id", id });
    message.headers.push_back({ "Kumquat-Epoch", "1" });
    message.headers.push_back({ "Kumquat-Steward", "entry" });
    const auto left =
      duration_cast<milliseconds>(aPending->deadline - steady_clock::now());
    this->client.Send(upstream.address, std::move(message),
                      std::max(left, milliseconds(1)),
                      [self = this->shared_from_this(), aPending, id,
                       &upstream](Result<transport::HttpResponse> aResponse) {
                        --upstream.own;
                        self->Take(aPending, id, std::move(aResponse));
                      });
  }

  void Take(const PendingPtr& aPending, const std::string& aId,
            Result<transport::HttpResponse> aResponse)
  {
    const bool shed = aResponse && aResponse->status == kShed;
    const bool crossed =
      aResponse && aResponse->Header("Kumquat-Request-Id") != aId;
    if (crossed) {
      aResponse = make_error_code(transport::TransportError::kBroken);
    }
    const auto pause = kFirstPause * (1 << aPending->tries);
    const bool mayRetry = shed && aPending->tries < kMostTries &&
                          steady_clock::now() + pause < aPending->deadline &&
                          this->budget.Spend();
    if (!mayRetry) {
      aPending->done({ 0, std::move(aResponse) });
      return;
    }
    auto timer =
      std::make_shared<boost::asio::steady_timer>(this->context, pause);
    timer->async_wait(
      [timer, aPending, self = this->shared_from_this()](const auto& aError) {
        if (!aError) {
          self->Try(aPending);
        }
      });
  }

  void AskReports()
  {
    for (Service& service : this->services | std::views::values) {
      for (Upstream& upstream : service.upstreams) {
        this->AskReport(upstream);
      }
    }
    this->reportTimer.expires_after(this->reportInterval);
    this->reportTimer.async_wait(
      [weak = this->weak_from_this()](const auto& aError) {
        const auto self = weak.lock();
        if (!aError && self) {
          self->AskReports();
        }
      });
  }

  void AskReport(Upstream& aUpstream)
  {
    this->client.Send(
      aUpstream.address, { .target = "/health" }, kReportTimeout,
      [self = this->shared_from_this(),
       &aUpstream](const Result<transport::HttpResponse>& aResponse) {
        if (!aResponse) {
          return;
        }
        const auto report =
          nlohmann::json::parse(aResponse->body, nullptr, false);
        if (report.is_object()) {
          // What it runs for this entry is counted already.
          aUpstream.reported =
            std::max(0, report.value("running", 0) - aUpstream.own);
        }
      });
  }

  boost::asio::io_context& context;
  const ChooserRule rule;
  const milliseconds reportInterval;
  pcg64 random;
  transport::HttpClient client;
  boost::asio::steady_timer reportTimer;
  coordination::RetryBudget budget;
  // Filled by the constructor only: calls keep references into it.
  std::map<std::string, Service> services;
};

ChooserEntries::ChooserEntries(boost::asio::io_context& aContext,
                               const Options& aOptions)
{
  for (int i = 0; i < aOptions.entries; ++i) {
    this->entries.push_back(std::make_shared<Entry>(
      aContext, aOptions, static_cast<std::uint64_t>(i)));
    this->entries.back()->Start();
  }
}

ChooserEntries::~ChooserEntries() = default;

void ChooserEntries::Send(const LoadRequest& aRequest, Done aDone)
{
  this->entries[this->turn++ % this->entries.size()]->Send(aRequest,
                                                           std::move(aDone));
}

} // namespace kumquat::bench
