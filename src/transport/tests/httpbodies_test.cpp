// Large bodies at the HTTP server and client: what is held of them, and what is
// refused before it was read.

#include "transport/address.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace kumquat::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr auto kAddress = "127.0.99.2:18101";
constexpr auto kUpstreamAddress = "127.0.99.2:18102";
constexpr std::size_t kBound = 1U << 20U;
constexpr std::size_t kUploadBytes = 100'000;

std::string Head(std::size_t aBodyBytes, const std::string& aMore = "")
{
  return "POST /upload HTTP/1.1\r\nHost: h\r\n" + aMore +
         "Content-Length: " + std::to_string(aBodyBytes) + "\r\n\r\n";
}

// A caller that writes bytes as they are given.
class Caller
{
public:
  Caller() { this->socket.connect(*ParseAddress(kAddress)); }

  void Send(const std::string& aBytes)
  {
    boost::system::error_code ignored;
    asio::write(this->socket, asio::buffer(aBytes), ignored);
  }

  // The bytes up to the end of the next head.
  std::string ReadHead()
  {
    boost::system::error_code ignored;
    std::string bytes;
    const auto count = asio::read_until(
      this->socket, asio::dynamic_buffer(bytes), "\r\n\r\n", ignored);
    return bytes.substr(0, count);
  }

private:
  asio::io_context context;
  tcp::socket socket{ this->context };
};

// Accepts one connection, responds when it has read a request's head, and reads
// no body.
class EarlyRefusingUpstream
{
public:
  EarlyRefusingUpstream()
    : acceptor(this->context, *ParseAddress(kUpstreamAddress))
    , thread([this] { this->Serve(); })
  {
  }

  ~EarlyRefusingUpstream() { this->thread.join(); }
  EarlyRefusingUpstream(const EarlyRefusingUpstream&) = delete;
  EarlyRefusingUpstream& operator=(const EarlyRefusingUpstream&) = delete;

private:
  void Serve()
  {
    boost::system::error_code ignored;
    tcp::socket socket(this->context);
    this->acceptor.accept(socket, ignored);
    std::string head;
    asio::read_until(socket, asio::dynamic_buffer(head), "\r\n\r\n", ignored);
    asio::write(
      socket,
      asio::buffer(std::string(
        "HTTP/1.1 503 Full\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n")),
      ignored);
    // The client closes, as it did not send the whole body.
    std::string rest;
    asio::read(socket, asio::dynamic_buffer(rest), ignored);
  }

  asio::io_context context;
  tcp::acceptor acceptor;
  std::thread thread;
};

} // namespace

class HttpBodiesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpBodiesTest);
  CPPUNIT_TEST(testBodyBeyondTheBoundIsRefusedUnread);
  CPPUNIT_TEST(testChunkedBodyIsBoundedAsItComes);
  CPPUNIT_TEST(testSmallRequestsGoOnBesideSlowUploads);
  CPPUNIT_TEST(testRefusedHeadDoesNotWaitForItsBody);
  CPPUNIT_TEST(testCallerThatExpectsContinueIsToldToSend);
  CPPUNIT_TEST(testBodyThatIsCutShortRunsNothing);
  CPPUNIT_TEST(testResponseBeforeTheEndOfTheBodyIsTaken);
  CPPUNIT_TEST(testResponsesWithoutRoomComeInPieces);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->bytes = ByteAccount::Create(kBound);
    this->thread.emplace();
    HttpServer::Options options;
    options.address = kAddress;
    options.maxBodyBytes = 2 * kBound;
    options.bytes = this->bytes;
    options.checkHead =
      [](const HttpRequest& aHead) -> std::optional<HttpResponse> {
      if (aHead.Header("Key") == "wrong") {
        return HttpResponse{ .status = 401 };
      }
      return std::nullopt;
    };
    options.refuse = [](ServerRefusal aRefusal, const HttpRequest&) {
      return HttpResponse{ .status = aRefusal == ServerRefusal::kTooManyBytes
                                       ? 503
                                       : 400 };
    };
    options.handler = [this](const HttpRequest& aRequest,
                             const HttpServer::Respond& aRespond) {
      ++this->handled;
      aRespond({ .status = 200, .body = std::to_string(aRequest.body.size()) });
    };
    auto listening =
      HttpServer::Listen(this->thread->Context(), std::move(options));
    CPPUNIT_ASSERT(listening.has_value());
    this->server = std::move(*listening);
    this->thread->Start("http-bodies");
  }

  void tearDown() override
  {
    this->server->StopAccepting();
    this->thread->Stop();
    this->server.reset();
    this->thread.reset();
  }

  void testBodyBeyondTheBoundIsRefusedUnread()
  {
    Caller caller;
    caller.Send(Head(kBound));
    CPPUNIT_ASSERT(caller.ReadHead().starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_EQUAL(0, this->handled.load());
  }

  void testChunkedBodyIsBoundedAsItComes()
  {
    Caller caller;
    caller.Send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: "
                "chunked\r\n\r\n100000\r\n" +
                std::string(kBound, 'x') + "\r\n0\r\n\r\n");
    CPPUNIT_ASSERT(caller.ReadHead().starts_with("HTTP/1.1 503"));
    CPPUNIT_ASSERT_EQUAL(0, this->handled.load());
  }

  // Guards against slow uploads that take the host's memory, or all that may be
  // held of it, so that the host is killed or refuses everything.
  void testSmallRequestsGoOnBesideSlowUploads()
  {
    constexpr std::size_t kUploads = 100;
    std::vector<std::unique_ptr<Caller>> slow;
    for (std::size_t i = 0; i < kUploads; ++i) {
      slow.push_back(std::make_unique<Caller>());
      slow.back()->Send(Head(kUploadBytes) + "first bytes");
    }
    // The last one got its refusal, so all heads were read.
    CPPUNIT_ASSERT(slow.back()->ReadHead().starts_with("HTTP/1.1 503"));
    Caller small;
    small.Send(Head(3) + "abc");
    CPPUNIT_ASSERT(small.ReadHead().starts_with("HTTP/1.1 200"));
    this->OnThread([this] {
      CPPUNIT_ASSERT(this->bytes->Peak() <= kBound);
      CPPUNIT_ASSERT(this->bytes->Held() > kUploadBytes);
    });
    slow.clear();
  }

  void testRefusedHeadDoesNotWaitForItsBody()
  {
    Caller caller;
    caller.Send(Head(kUploadBytes, "Key: wrong\r\n"));
    CPPUNIT_ASSERT(caller.ReadHead().starts_with("HTTP/1.1 401"));
    CPPUNIT_ASSERT_EQUAL(0, this->handled.load());
  }

  void testCallerThatExpectsContinueIsToldToSend()
  {
    Caller caller;
    caller.Send(Head(3, "Expect: 100-continue\r\n"));
    CPPUNIT_ASSERT(caller.ReadHead().starts_with("HTTP/1.1 100"));
    caller.Send("abc");
    CPPUNIT_ASSERT(caller.ReadHead().starts_with("HTTP/1.1 200"));
  }

  void testBodyThatIsCutShortRunsNothing()
  {
    {
      Caller caller;
      caller.Send(Head(kUploadBytes) + "half");
    }
    Caller next;
    next.Send(Head(0));
    CPPUNIT_ASSERT(next.ReadHead().starts_with("HTTP/1.1 200"));
    CPPUNIT_ASSERT_EQUAL(1, this->handled.load());
  }

  // Guards against an upstream's "not run" that is lost, as the host is still
  // sending a body that the upstream does not read.
  void testResponseBeforeTheEndOfTheBodyIsTaken()
  {
    EarlyRefusingUpstream upstream;
    HttpClient client(this->thread->Context(), {});
    const auto body = std::make_shared<const std::string>(64U << 20U, 'x');
    HttpRequest request{ .method = "POST", .sharedBody = body };
    std::promise<Result<HttpResponse>> promise;
    this->thread->Post([&] {
      client.Send(kUpstreamAddress, std::move(request),
                  std::chrono::milliseconds(2000),
                  [&promise](Result<HttpResponse> aResult) {
                    promise.set_value(std::move(aResult));
                  });
    });
    const auto response = promise.get_future().get();
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(503, response->status);
    CPPUNIT_ASSERT(!response->Header("Not-Run").empty());
  }

  void testResponsesWithoutRoomComeInPieces()
  {
    const auto account = ByteAccount::Create(kBound);
    const auto others = account->Open(BytePurpose::kRequest);
    CPPUNIT_ASSERT(others->GrowTo(kBound / 2));
    HttpClient::Options options;
    options.bytes = account;
    options.wholeBodyBytes = 2 * kBound;
    HttpClient client(this->thread->Context(), options);
    HttpServer::Options serverOptions;
    serverOptions.address = kUpstreamAddress;
    serverOptions.handler = [](const HttpRequest&,
                               const HttpServer::Respond& aRespond) {
      aRespond({ .body = std::string(kBound, 'x') });
    };
    std::unique_ptr<HttpServer> upstream;
    this->OnThread([&] {
      auto listening =
        HttpServer::Listen(this->thread->Context(), std::move(serverOptions));
      upstream = std::move(*listening);
    });
    std::promise<Result<HttpResponse>> promise;
    this->thread->Post([&] {
      client.Send(kUpstreamAddress, {}, std::chrono::milliseconds(2000),
                  [&promise](Result<HttpResponse> aResult) {
                    promise.set_value(std::move(aResult));
                  });
    });
    auto response = promise.get_future().get();
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT(response->rest);
    CPPUNIT_ASSERT(account->Peak() <= kBound);
    this->OnThread([&] {
      response->rest = nullptr;
      upstream->StopAccepting();
    });
  }

private:
  void OnThread(const std::function<void()>& aTask)
  {
    std::promise<void> done;
    this->thread->Post([&] {
      try {
        aTask();
        done.set_value();
      } catch (...) {
        done.set_exception(std::current_exception());
      }
    });
    done.get_future().get();
  }

  std::shared_ptr<ByteAccount> bytes;
  std::optional<IoThread> thread;
  std::unique_ptr<HttpServer> server;
  std::atomic<int> handled{ 0 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpBodiesTest);

} // namespace kumquat::transport
