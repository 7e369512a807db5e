// The HTTP server and client against each other, over loopback.

#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <string>

namespace kumquat::transport {

namespace {

constexpr auto kAddress = "127.0.99.1:18099";

// Runs one call and waits for its end.
Result<HttpResponse> Call(IoThread& aThread, HttpClient& aClient,
                          HttpRequest aRequest)
{
  std::promise<Result<HttpResponse>> promise;
  auto future = promise.get_future();
  aThread.Post([&] {
    aClient.Send(kAddress, std::move(aRequest), std::chrono::milliseconds(2000),
                 [&promise](Result<HttpResponse> aResult) {
                   promise.set_value(std::move(aResult));
                 });
  });
  return future.get();
}

Result<std::string> ReadRest(IoThread& aThread, const BodyReader& aReader)
{
  std::string whole;
  for (;;) {
    std::promise<Result<std::string>> promise;
    auto future = promise.get_future();
    aThread.Post([&] {
      aReader([&promise](Result<std::string> aPiece) {
        promise.set_value(std::move(aPiece));
      });
    });
    Result<std::string> piece = future.get();
    if (!piece || piece->empty()) {
      return piece ? Result<std::string>(whole) : piece;
    }
    whole += *piece;
  }
}

} // namespace

class HttpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(testWholeAnswer);
  CPPUNIT_TEST(testLargeAnswerComesInPieces);
  CPPUNIT_TEST(testBrokenOffAnswerIsNotWhole);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->thread.emplace();
    HttpServer::Options options;
    options.address = kAddress;
    options.handler = [this](const HttpRequest& aRequest,
                             const HttpServer::Respond& aRespond) {
      aRespond(this->answer(aRequest));
    };
    auto listening =
      HttpServer::Listen(this->thread->Context(), std::move(options));
    CPPUNIT_ASSERT(listening.has_value());
    this->server = std::move(*listening);
    this->client.emplace(this->thread->Context(), HttpClient::Options{});
    this->thread->Start("http-test");
  }

  void tearDown() override
  {
    this->server->StopAccepting();
    this->thread->Stop();
    this->server.reset();
    this->client.reset();
    this->thread.reset();
  }

  void testWholeAnswer()
  {
    this->answer = [](const HttpRequest& aRequest) {
      HttpResponse response;
      response.body = aRequest.method + " " + aRequest.body;
      return response;
    };
    const auto result = Call(*this->thread, *this->client,
                             { .method = "POST", .body = "three tents" });
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("POST three tents"), result->body);
  }

  void testLargeAnswerComesInPieces()
  {
    this->answer = [](const HttpRequest&) {
      HttpResponse response;
      response.body = std::string(1U << 20U, 'x');
      return response;
    };
    const auto result = Call(*this->thread, *this->client, {});
    CPPUNIT_ASSERT(result.has_value());
    CPPUNIT_ASSERT(result->rest);
    const auto rest = ReadRest(*this->thread, result->rest);
    CPPUNIT_ASSERT(rest.has_value());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1U << 20U },
                         result->body.size() + rest->size());
  }

  // A site map breaks off half-way at the upstream: the crew's client must
  // see a cut download, not a short one that looks complete.
  void testBrokenOffAnswerIsNotWhole()
  {
    this->answer = [](const HttpRequest&) {
      HttpResponse response;
      response.body = "first half";
      response.rest =
        [](const std::function<void(Result<std::string>)>& aTake) {
          aTake(make_error_code(TransportError::kTruncated));
        };
      return response;
    };
    const auto result = Call(*this->thread, *this->client, {});
    CPPUNIT_ASSERT(result.has_error());
    CPPUNIT_ASSERT(result.error() == TransportError::kTruncated);
  }

private:
  std::optional<IoThread> thread;
  std::unique_ptr<HttpServer> server;
  std::optional<HttpClient> client;
  std::function<HttpResponse(const HttpRequest&)> answer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace kumquat::transport
