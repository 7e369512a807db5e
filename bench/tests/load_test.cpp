// The load tool against a server in the same process.

#include "balancer.h"
#include "load.h"
#include "summary.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <iterator>
#include <memory>
#include <string>
#include <thread>

namespace kumquat::bench {

namespace {

// The second octet keeps runs at the same time apart.
std::string Address()
{
  const char* net = std::getenv("KUMQUAT_NET");
  return "127." + std::string(net == nullptr ? "0" : net) + ".98.1:18098";
}

std::string NonceOf(const transport::HttpRequest& aRequest)
{
  return aRequest.target.substr(aRequest.target.find("n=") + 2);
}

} // namespace

class LoadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(LoadTest);
  CPPUNIT_TEST(testCountsEachVerdict);
  CPPUNIT_TEST(testLatencyCountsFromTheIntendedTime);
  CPPUNIT_TEST(testSameSeedSameSchedule);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->thread = std::make_unique<transport::IoThread>();
    transport::HttpServer::Options options;
    options.address = Address();
    options.handler = [this](const transport::HttpRequest& aRequest,
                             const transport::HttpServer::Respond& aRespond) {
      if (aRequest.target == "/ready") {
        aRespond({});
        return;
      }
      aRespond(this->answer(aRequest));
    };
    auto listening =
      transport::HttpServer::Listen(this->thread->Context(), options);
    CPPUNIT_ASSERT(listening.has_value());
    this->server = std::move(*listening);
    this->thread->Start("load-test");
    const EntryAddress entry = { Address(), Address() };
    this->probe = std::make_shared<ReadinessProbe>(
      std::vector{ entry }, std::chrono::milliseconds(50));
    CPPUNIT_ASSERT(AwaitReady(*this->probe, 1, std::chrono::seconds(5)));
  }

  void tearDown() override
  {
    this->probe.reset();
    this->thread->Stop();
    this->server.reset();
    this->thread.reset();
  }

  // A caller is handed another's answer, or a photo bundle that breaks off:
  // the tool has to see each, or a run with such faults would look clean.
  void testCountsEachVerdict()
  {
    std::atomic<int> turn{ 0 };
    this->answer = [&turn](const transport::HttpRequest& aRequest) {
      transport::HttpResponse response;
      response.body = NonceOf(aRequest);
      switch (turn++ % 4) {
        case 0:
          response.body = "another request's";
          break;
        case 1:
          response.status = 503;
          response.headers = { { "Kumquat-Error", "queue-full" } };
          break;
        case 2:
          response.rest =
            [](const std::function<void(Result<std::string>)>& aTake) {
              aTake(make_error_code(transport::TransportError::kTruncated));
            };
          break;
        default:
          break;
      }
      return response;
    };
    const LoadResult result = this->Run(7);
    const ServiceSummary summary = SummariseServices(result).front();
    CPPUNIT_ASSERT(summary.requests > 40);
    CPPUNIT_ASSERT(summary.answered > 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, summary.lost);
    CPPUNIT_ASSERT_EQUAL(summary.requests, summary.answered + summary.cut +
                                             summary.foreign +
                                             summary.refused.at("queue-full"));
    CPPUNIT_ASSERT(summary.cut > 0);
    CPPUNIT_ASSERT(summary.foreign > 0);
    CPPUNIT_ASSERT_EQUAL(summary.cut + summary.foreign, CountWrong(result));
  }

  // A server stands still for a while: requests due meanwhile waited too. A
  // tool that sends the next only after an answer would hide that wait.
  void testLatencyCountsFromTheIntendedTime()
  {
    constexpr std::chrono::milliseconds kPause(200);
    std::atomic<bool> paused{ false };
    this->answer = [&paused, kPause](const transport::HttpRequest& aRequest) {
      if (!paused.exchange(true)) {
        std::this_thread::sleep_for(kPause);
      }
      transport::HttpResponse response;
      response.body = NonceOf(aRequest);
      return response;
    };
    const LoadResult result = this->Run(7);
    const auto waited =
      std::ranges::count_if(result.outcomes, [](const LoadOutcome& aOutcome) {
        return aOutcome.latency > std::chrono::milliseconds(50);
      });
    CPPUNIT_ASSERT(waited > 5);
  }

  void testSameSeedSameSchedule()
  {
    this->answer = [](const transport::HttpRequest& aRequest) {
      transport::HttpResponse response;
      response.body = NonceOf(aRequest);
      return response;
    };
    CPPUNIT_ASSERT(this->IntendedTimes(3) == this->IntendedTimes(3));
    CPPUNIT_ASSERT(this->IntendedTimes(3) != this->IntendedTimes(4));
  }

private:
  LoadResult Run(std::uint64_t aSeed)
  {
    LoadOptions options;
    options.services = { { .service = "stoc", .perSecond = 200 } };
    options.duration = std::chrono::milliseconds(400);
    options.seed = aSeed;
    options.threads = 2;
    options.sender = [this](boost::asio::io_context& aContext, int aNumber) {
      return std::make_unique<Balancer>(aContext, this->probe, aNumber);
    };
    options.isOwn = [](const LoadRequest& aRequest,
                       const transport::HttpResponse& aResponse) {
      return aResponse.body == aRequest.nonce;
    };
    return RunLoad(options);
  }

  std::vector<Duration> IntendedTimes(std::uint64_t aSeed)
  {
    const LoadResult result = this->Run(aSeed);
    std::vector<Duration> times;
    std::ranges::transform(result.outcomes, std::back_inserter(times),
                           &LoadOutcome::intended);
    std::ranges::sort(times);
    return times;
  }

  std::unique_ptr<transport::IoThread> thread;
  std::unique_ptr<transport::HttpServer> server;
  std::shared_ptr<ReadinessProbe> probe;
  std::function<transport::HttpResponse(const transport::HttpRequest&)> answer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(LoadTest);

} // namespace kumquat::bench
