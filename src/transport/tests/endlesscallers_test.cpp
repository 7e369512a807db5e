// Callers of the HTTP server that send without end.

#include "transport/address.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <chrono>
#include <future>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace kumquat::transport {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kAddress = "127.0.99.5:18122";
// Of a server that closes where it cannot serve.
constexpr auto kSilentAddress = "127.0.99.5:18123";
constexpr milliseconds kReadTimeout{ 300 };
// The read timeout, a sweep and the time to notice the end, on a busy machine.
constexpr milliseconds kMaxTime{ 4000 };

struct Case
{
  std::string name;
  // Sent once, and again and again.
  std::string opening;
  std::string repeated;
};

std::vector<Case> Cases()
{
  const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";
  return {
    { "request line", "GET /", "x" },
    { "header line", post + "A: ", "x" },
    { "headers", post, "A: b\r\n" },
    { "body with a length", post + "Content-Length: 1000000000000000\r\n\r\n",
      "x" },
    { "body in chunks", chunked, "3\r\nxxx\r\n" },
    { "chunk extension", chunked + "5;a=", "x" },
    { "extensions of small chunks", chunked,
      "1;a=" + std::string(8000, 'x') + "\r\nx\r\n" },
    { "trailers", chunked + "0\r\n", "A: b\r\n" },
    { "junk behind a request", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "x" },
    { "junk behind the last request",
      "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "x" },
  };
}

// Sends until the server closes, with these pauses; without one, many
// repetitions at once. Returns how long that took, if it did.
std::optional<milliseconds> SendUntilClosed(const Case& aCase,
                                            milliseconds aPause,
                                            const char* aAddress)
{
  const std::size_t kBlockBytes = aPause.count() > 0 ? 1 : 64U << 10U;
  std::string block = aCase.repeated;
  while (block.size() < kBlockBytes) {
    block += aCase.repeated;
  }
  asio::io_context context;
  tcp::socket socket(context);
  socket.connect(*ParseAddress(aAddress));
  // A send that the server does not take fails in the end.
  const timeval timeout{ .tv_sec = kMaxTime.count() / 1000, .tv_usec = 0 };
  setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &timeout,
             sizeof(timeout));
  const auto start = std::chrono::steady_clock::now();
  boost::system::error_code error;
  asio::write(socket, asio::buffer(aCase.opening), error);
  auto took = milliseconds(0);
  while (!error && took <= kMaxTime) {
    std::this_thread::sleep_for(aPause);
    asio::write(socket, asio::buffer(block), error);
    took = std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - start);
  }
  const bool isClosed =
    error == asio::error::broken_pipe || error == asio::error::connection_reset;
  return isClosed ? std::optional(took) : std::nullopt;
}

} // namespace

class EndlessCallersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EndlessCallersTest);
  CPPUNIT_TEST(testCallersThatSendWithoutEndAreClosed);
  CPPUNIT_TEST(testSlowCallerIsClosedWhereNothingIsAnswered);
  CPPUNIT_TEST(testSteadyUploadOutlastsTheReadTimeout);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->bytes = ByteAccount::Create(kMaxHeld);
    this->thread.emplace();
    HttpServer::Options options;
    options.address = kAddress;
    options.readTimeout = kReadTimeout;
    options.idleTimeout = kReadTimeout;
    options.bytes = this->bytes;
    options.endIsLeaving = true;
    options.handler = [](const HttpRequest&,
                         const HttpServer::Respond& aRespond) { aRespond({}); };
    options.refuse = [](ServerRefusal, const HttpRequest&) {
      return HttpResponse{ .status = 400 };
    };
    auto listening =
      HttpServer::Listen(this->thread->Context(), std::move(options));
    CPPUNIT_ASSERT(listening.has_value());
    this->server = std::move(*listening);
    options = {};
    options.address = kSilentAddress;
    options.readTimeout = kReadTimeout;
    listening = HttpServer::Listen(this->thread->Context(), std::move(options));
    CPPUNIT_ASSERT(listening.has_value());
    this->silentServer = std::move(*listening);
    this->thread->Start("endless-callers");
  }

  void tearDown() override
  {
    this->server->StopAccepting();
    this->silentServer->StopAccepting();
    this->thread->Stop();
    this->server.reset();
    this->silentServer.reset();
    this->thread.reset();
  }

  // Guards against callers that hold a connection, or memory, for as long as
  // they send.
  void testCallersThatSendWithoutEndAreClosed()
  {
    const std::vector<Case> cases = Cases();
    std::vector<std::future<std::optional<milliseconds>>> ends;
    std::ranges::transform(
      cases, std::back_inserter(ends), [](const Case& aCase) {
        return std::async(std::launch::async, SendUntilClosed, aCase,
                          milliseconds(0), kAddress);
      });
    std::string failures;
    for (std::size_t i = 0; i < cases.size(); ++i) {
      const auto took = ends[i].get();
      if (!took) {
        failures += "\n" + cases[i].name + ": is not closed";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), failures);
    std::promise<std::size_t> peak;
    this->thread->Post([&] { peak.set_value(this->bytes->Peak()); });
    CPPUNIT_ASSERT(peak.get_future().get() <= kMaxHeld);
  }

  // Guards against connections for readiness and metrics that are held by
  // requests without end.
  void testSlowCallerIsClosedWhereNothingIsAnswered()
  {
    CPPUNIT_ASSERT(SendUntilClosed({ "request line", "GET /", "x" },
                                   milliseconds(20), kSilentAddress));
  }

  // Guards against refusing uploads whose bytes come steadily, but not all of
  // them within the time for a header.
  void testSteadyUploadOutlastsTheReadTimeout()
  {
    constexpr std::size_t kPieceBytes = 64U << 10U;
    constexpr int kPieces = 12;
    asio::io_context context;
    tcp::socket socket(context);
    socket.connect(*ParseAddress(kAddress));
    asio::write(socket, asio::buffer("POST / HTTP/1.1\r\nHost: h\r\n"
                                     "Content-Length: " +
                                     std::to_string(kPieces * kPieceBytes) +
                                     "\r\n\r\n"));
    const auto start = std::chrono::steady_clock::now();
    for (int i = 0; i < kPieces; ++i) {
      std::this_thread::sleep_for(kReadTimeout / 3);
      boost::system::error_code ignored;
      asio::write(socket, asio::buffer(std::string(kPieceBytes, 'x')), ignored);
    }
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - start > 3 * kReadTimeout);
    std::string answer;
    boost::system::error_code ignored;
    asio::read_until(socket, asio::dynamic_buffer(answer), "\r\n\r\n", ignored);
    CPPUNIT_ASSERT_EQUAL(std::string("HTTP/1.1 200"), answer.substr(0, 12));
  }

private:
  static constexpr std::size_t kMaxHeld = 4U << 20U;

  std::shared_ptr<ByteAccount> bytes;
  std::optional<IoThread> thread;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpServer> silentServer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EndlessCallersTest);

} // namespace kumquat::transport
