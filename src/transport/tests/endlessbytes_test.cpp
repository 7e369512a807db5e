// Responses without end at the HTTP client: who closes, when, and what the
// caller gets.

#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"
#include "transport/tests/endlessserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace kumquat::transport {

namespace {

using std::chrono::milliseconds;

constexpr auto kEndlessAddress = "127.0.99.4:18120";
constexpr auto kSoundAddress = "127.0.99.4:18121";
constexpr milliseconds kTimeout{ 500 };
// For threads that wait for a core.
constexpr milliseconds kSlack{ 400 };
// More than the buffers of a connection hold.
constexpr std::size_t kMaxSent = 24U << 20U;

enum class Ending
{
  // Before the timeout, after a bounded number of bytes.
  kByBytes,
  // At the timeout.
  kByTime,
};

struct Case
{
  std::string name;
  tests::EndlessServer::Response response;
  Ending ending = Ending::kByBytes;
  // kNone: the head and the beginning of the body come.
  TransportError error = TransportError::kNone;
};

const std::string kOwnHead = "HTTP/1.1 200 OK\r\nEcho: mine\r\n";
const std::string kForeignHead = "HTTP/1.1 200 OK\r\nEcho: other\r\n";
const std::string kChunked = "Transfer-Encoding: chunked\r\n\r\n";
const std::string kLong = "Content-Length: 1000000000000000\r\n\r\n";
const std::string kChunk = "3e8\r\n" + std::string(1000, 'x') + "\r\n";

std::vector<Case> Cases()
{
  using enum TransportError;
  return {
    { "status line", { "HTTP/1.1 200 ", "x" }, Ending::kByBytes, kBroken },
    { "header line",
      { "HTTP/1.1 200 OK\r\nA: ", "x" },
      Ending::kByBytes,
      kBroken },
    { "headers", { kOwnHead, "A: b\r\n" }, Ending::kByBytes, kBroken },
    { "interim responses",
      { "", "HTTP/1.1 102 Processing\r\n\r\n" },
      Ending::kByBytes,
      kCrossed },
    { "before the request", { "", "x", {}, true }, Ending::kByBytes, kBroken },
    { "chunk extension",
      { kOwnHead + kChunked + "5;a=", "x" },
      Ending::kByBytes,
      kMalformed },
    { "extensions of small chunks",
      { kOwnHead + kChunked, "1;a=" + std::string(8000, 'x') + "\r\nx\r\n" },
      Ending::kByBytes,
      kMalformed },
    { "trailers",
      { kOwnHead + kChunked + "0\r\n", "A: b\r\n" },
      Ending::kByBytes,
      kMalformed },
    { "past the length",
      { kOwnHead + "Content-Length: 2\r\n\r\nokx", "x" },
      Ending::kByBytes },
    { "body with a length", { kOwnHead + kLong, "x" }, Ending::kByTime },
    { "body in chunks", { kOwnHead + kChunked, kChunk }, Ending::kByTime },
    { "body until the close", { kOwnHead + "\r\n", "x" }, Ending::kByTime },
    { "another's body with a length",
      { kForeignHead + kLong, "x" },
      Ending::kByBytes,
      kCrossed },
    { "another's body in chunks",
      { kForeignHead + kChunked, kChunk },
      Ending::kByBytes,
      kCrossed },
    { "another's body until the close",
      { kForeignHead + "\r\n", "x" },
      Ending::kByBytes,
      kCrossed },
  };
}

bool IsTrueWithin(milliseconds aTime, const std::function<bool()>& aIsTrue)
{
  const auto until = std::chrono::steady_clock::now() + aTime;
  while (!aIsTrue()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return true;
}

} // namespace

class EndlessBytesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndlessBytesTest);
  CPPUNIT_TEST(testResponsesWithoutEndAreEnded);
  CPPUNIT_TEST(testWholeBodyThatTricklesIsEnded);
  CPPUNIT_TEST(testStreamedBodyThatTricklesIsEnded);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->thread.emplace();
    HttpServer::Options options;
    options.address = kSoundAddress;
    options.handler = [](const HttpRequest&,
                         const HttpServer::Respond& aRespond) {
      aRespond({ .headers = { { "Echo", "mine" } } });
    };
    auto listening =
      HttpServer::Listen(this->thread->Context(), std::move(options));
    CPPUNIT_ASSERT(listening.has_value());
    this->sound = std::move(*listening);
    this->thread->Start("endless-bytes");
  }

  void tearDown() override
  {
    this->sound->StopAccepting();
    this->thread->Stop();
    this->sound.reset();
    this->client.reset();
    this->thread.reset();
  }

  // Guards against responses that hold the client's thread, its memory or a
  // connection for as long as the server sends.
  void testResponsesWithoutEndAreEnded()
  {
    std::string failures;
    for (const Case& one : Cases()) {
      const std::string failure = this->FailureOf(one);
      if (!failure.empty()) {
        failures += "\n" + one.name + ":" + failure;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
  }

  // Guards against progress that is taken for life, where each piece starts the
  // time anew.
  void testWholeBodyThatTricklesIsEnded()
  {
    HttpClient::Options options;
    options.bodyProgress = milliseconds(200);
    options.bodyTimeout = kTimeout;
    options.pieceBytes = 1;
    this->client.emplace(this->thread->Context(), options);
    tests::EndlessServer server(kEndlessAddress,
                                { kOwnHead + kLong, "x", milliseconds(20) });
    auto response = this->Send(kEndlessAddress, {});
    CPPUNIT_ASSERT(std::future_status::ready ==
                   response.wait_for(kTimeout + kSlack));
    CPPUNIT_ASSERT(response.get().error() == TransportError::kTimeout);
    CPPUNIT_ASSERT(
      IsTrueWithin(kSlack, [&server] { return server.Open() == 0; }));
  }

  void testStreamedBodyThatTricklesIsEnded()
  {
    HttpClient::Options options;
    options.wholeBodyBytes = 1;
    options.pieceBytes = 1;
    this->client.emplace(this->thread->Context(), options);
    tests::EndlessServer server(kEndlessAddress,
                                { kOwnHead + kLong, "x", milliseconds(20) });
    auto sent = this->Send(kEndlessAddress, { .bodyTimeout = kTimeout });
    CPPUNIT_ASSERT(std::future_status::ready == sent.wait_for(kTimeout));
    auto response = sent.get();
    CPPUNIT_ASSERT(response.has_value() && response->rest);
    auto end = this->ReadAll(response->rest);
    CPPUNIT_ASSERT(std::future_status::ready ==
                   end.wait_for(kTimeout + kSlack));
    CPPUNIT_ASSERT(end.get() == TransportError::kTimeout);
    response->rest = nullptr;
    CPPUNIT_ASSERT(
      IsTrueWithin(kSlack, [&server] { return server.Open() == 0; }));
  }

private:
  using Outcome = Result<HttpResponse>;

  std::future<Outcome> Send(const std::string& aAddress, HttpRequest aRequest)
  {
    aRequest.headers.push_back({ "Echo", "mine" });
    const auto promise = std::make_shared<std::promise<Outcome>>();
    this->thread->Post([this, aAddress, promise, aRequest] {
      this->client->Send(
        aAddress, aRequest, kTimeout,
        [promise](Outcome aResult) { promise->set_value(std::move(aResult)); });
    });
    return promise->get_future();
  }

  // Takes all pieces; the result is why they ended.
  std::future<std::error_code> ReadAll(const BodyReader& aReader)
  {
    const auto promise = std::make_shared<std::promise<std::error_code>>();
    this->thread->Post([promise, aReader] { Take(promise, aReader); });
    return promise->get_future();
  }

  static void Take(const std::shared_ptr<std::promise<std::error_code>>& aEnd,
                   const BodyReader& aReader)
  {
    aReader([aEnd, aReader](const Result<std::string>& aPiece) {
      if (!aPiece) {
        aEnd->set_value(aPiece.error());
      } else if (aPiece->empty()) {
        aEnd->set_value({});
      } else {
        Take(aEnd, aReader);
      }
    });
  }

  // Calls a sound server until the other call has ended. Returns the longest
  // time that a response took.
  template<typename T>
  milliseconds CallWhileWaiting(const std::future<T>& aOther)
  {
    const auto now = [] { return std::chrono::steady_clock::now(); };
    const auto until = now() + kTimeout + kSlack;
    auto longest = milliseconds(0);
    do {
      const auto start = now();
      auto call = this->Send(kSoundAddress, {});
      const bool isAnswered =
        call.wait_for(2 * kTimeout) == std::future_status::ready &&
        call.get().has_value();
      longest = std::max(
        longest, isAnswered
                   ? std::chrono::duration_cast<milliseconds>(now() - start)
                   : 2 * kTimeout);
    } while (aOther.wait_for(milliseconds(5)) != std::future_status::ready &&
             now() < until);
    return longest;
  }

  // Empty if all is as the case says.
  std::string FailureOf(const Case& aCase)
  {
    HttpClient::Options options;
    options.echoHeader = "Echo";
    this->client.emplace(this->thread->Context(), options);
    tests::EndlessServer server(kEndlessAddress, aCase.response);
    const auto start = std::chrono::steady_clock::now();
    auto sent = this->Send(kEndlessAddress, { .bodyTimeout = kTimeout });
    std::string failure;
    milliseconds longest = this->CallWhileWaiting(sent);
    if (sent.wait_for(milliseconds(0)) != std::future_status::ready) {
      return " the caller gets nothing";
    }
    Outcome response = sent.get();
    const std::error_code error =
      response ? std::error_code(make_error_code(TransportError::kNone))
               : response.error();
    if (error != make_error_code(aCase.error)) {
      failure += " the caller gets " + error.message();
    }
    if (response && response->rest) {
      auto end = this->ReadAll(response->rest);
      longest = std::max(longest, this->CallWhileWaiting(end));
      if (end.wait_for(milliseconds(0)) != std::future_status::ready) {
        failure += " the body goes on";
      } else if (end.get() != TransportError::kTimeout) {
        failure += " the body does not end by the timeout";
      }
      response->rest = nullptr;
    }
    const auto took = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - start);
    if (took > kTimeout + kSlack) {
      failure += " took " + std::to_string(took.count()) + " ms";
    }
    if (longest > kSlack) {
      failure += " others wait " + std::to_string(longest.count()) + " ms";
    }
    if (!IsTrueWithin(kSlack, [&server] { return server.Open() == 0; })) {
      failure += " the connection stays open";
    }
    if (aCase.ending == Ending::kByBytes && server.Sent() > kMaxSent) {
      failure += " takes " + std::to_string(server.Sent() >> 20U) + " MiB";
    }
    return failure;
  }

  std::optional<IoThread> thread;
  std::unique_ptr<HttpServer> sound;
  std::optional<HttpClient> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessBytesTest);

} // namespace kumquat::transport
