// A client that connects through a relay, the relay server and an HTTP server,
// over loopback.

#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"
#include "transport/relayserver.h"
#include "transport/tests/relayhooks.h"
#include "transport/tests/scriptedserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <filesystem>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace kumquat::transport {

using std::chrono::milliseconds;

namespace {

constexpr auto kServerAddress = "127.0.99.20:18120";
constexpr auto kRelayAddress = "127.0.99.21:18121";
constexpr auto kNobody = "127.0.99.22:18122";

} // namespace

class RelayTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayTest);
  CPPUNIT_TEST(testCallThroughARelay);
  CPPUNIT_TEST(testLargeBodiesPassUnchanged);
  CPPUNIT_TEST(testRelayIsAskedAtOnceWhereTheServerRefuses);
  CPPUNIT_TEST(testDirectConnectionGoesBeforeARelay);
  CPPUNIT_TEST(testUnknownServerIsRefused);
  CPPUNIT_TEST(testRelaysOfAPeerAreBounded);
  CPPUNIT_TEST(testEndOfTheCallEndsTheWork);
  CPPUNIT_TEST(testCutResponseDoesNotLookComplete);
  CPPUNIT_TEST(testResponseOfAKilledRelayDoesNotLookComplete);
  CPPUNIT_TEST(testResponseWithoutALengthEndsWithItsServer);
  CPPUNIT_TEST(testStoppingRelayFinishesWhatRuns);
  CPPUNIT_TEST(testRequestThatWaitedThroughAPauseIsNotPassedOn);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->thread.emplace();
    this->thread->Start("relaytest");
    this->plan = { false, milliseconds(0) };
    this->clockOffset = milliseconds(0);
    this->arrivals = 0;
    this->lostRelays = 0;
    this->isGone = false;
    this->opened = 0;
    this->refusals.clear();
    this->answer = [](const HttpRequest& aRequest,
                      const HttpServer::Respond& aRespond) {
      aRespond({ .body = aRequest.body });
    };
    HttpServer::Options options;
    options.address = kServerAddress;
    options.endIsLeaving = true;
    options.maxBodyBytes = 4U << 20U;
    options.handler = [this](const HttpRequest& aRequest,
                             const HttpServer::Respond& aRespond) {
      ++this->arrivals;
      aRequest.link->onGone = [this] { this->isGone = true; };
      this->answer(aRequest, aRespond);
    };
    this->server =
      HttpServer::Listen(this->thread->Context(), std::move(options)).value();
    this->relay =
      RelayServer::Listen(this->thread->Context(), this->RelayOptions())
        .value();
    HttpClient::Options clientOptions;
    clientOptions.dial = this->MakeDialHooks();
    this->client = std::make_unique<HttpClient>(this->thread->Context(),
                                                std::move(clientOptions));
  }

  void tearDown() override
  {
    this->RunOnThread([this] {
      this->answer = nullptr;
      this->client.reset();
      this->relay.reset();
      this->server.reset();
    });
    this->thread->Stop();
    this->thread.reset();
  }

  void testCallThroughARelay()
  {
    for (int i = 0; i < 3; ++i) {
      const auto response = this->Call("hello");
      CPPUNIT_ASSERT(response.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("hello"), response->body);
    }
    // The connection was kept.
    CPPUNIT_ASSERT_EQUAL(1, this->opened.load());
  }

  void testLargeBodiesPassUnchanged()
  {
    std::string body;
    for (int i = 0; body.size() < (1U << 20U); ++i) {
      body += std::to_string(i);
    }
    const auto response = this->Call(body);
    CPPUNIT_ASSERT(response.has_value());
    std::string whole = response->body;
    while (response->rest) {
      const auto piece = this->ReadPiece(response->rest);
      CPPUNIT_ASSERT(piece.has_value());
      if (piece->empty()) {
        break;
      }
      whole += *piece;
    }
    CPPUNIT_ASSERT(whole == body);
  }

  void testRelayIsAskedAtOnceWhereTheServerRefuses()
  {
    this->plan = { true, milliseconds(5000) };
    const auto response = this->Call("hello", kNobody);
    CPPUNIT_ASSERT(!response.has_value());
    CPPUNIT_ASSERT(response.error() == TransportError::kUnreachable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->refusals.size());
  }

  void testDirectConnectionGoesBeforeARelay()
  {
    this->plan = { true, milliseconds(150) };
    CPPUNIT_ASSERT(this->Call("hello").has_value());
    std::this_thread::sleep_for(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, this->opened.load());
  }

  // Guards against a relay to any address that a peer names.
  void testUnknownServerIsRefused()
  {
    const auto response = this->Call("hello", "127.0.99.23:18123");
    CPPUNIT_ASSERT(!response.has_value());
    CPPUNIT_ASSERT(this->refusals.at(0) == RelayRefusal::kUnknownServer);
  }

  // Guards against one peer that takes all of a host's descriptors.
  void testRelaysOfAPeerAreBounded()
  {
    this->answer = [](const HttpRequest&, const HttpServer::Respond&) {};
    std::vector<std::future<Result<HttpResponse>>> calls;
    calls.reserve(3);
    for (int i = 0; i < 3; ++i) {
      calls.push_back(this->StartCall("wait", kServerAddress));
    }
    CPPUNIT_ASSERT(this->Await([this] { return this->arrivals == 3; }));
    // It goes directly, as the server can be reached here.
    static_cast<void>(this->StartCall("hello", kServerAddress));
    CPPUNIT_ASSERT(this->Await([this] { return this->arrivals == 4; }));
    CPPUNIT_ASSERT(this->refusals.back() == RelayRefusal::kNoRoom);
    CPPUNIT_ASSERT_EQUAL(3, this->opened.load());
  }

  // Guards against work that goes on for a caller that has left.
  void testEndOfTheCallEndsTheWork()
  {
    this->answer = [](const HttpRequest&, const HttpServer::Respond&) {};
    auto call = this->StartCall("wait", kServerAddress);
    CPPUNIT_ASSERT(this->Await([this] { return this->arrivals == 1; }));
    this->RunOnThread([this] { this->client->Cancel(this->lastCall); });
    CPPUNIT_ASSERT(this->Await([this] { return this->isGone.load(); }));
  }

  // Guards against a response without a length that is cut off by a lost relay
  // and ends like a complete one.
  void testCutResponseDoesNotLookComplete()
  {
    this->answer = [](const HttpRequest&, const HttpServer::Respond& aRespond) {
      HttpResponse response;
      response.body = "begin";
      response.rest = [](const auto&) {};
      aRespond(std::move(response));
    };
    const auto response = this->Call("hello");
    this->RunOnThread([this] { this->relay.reset(); });
    const bool isWhole =
      response.has_value() &&
      (!response->rest || this->ReadPiece(response->rest).has_value());
    CPPUNIT_ASSERT(!isWhole);
  }

  // Guards against the same where the relay's process is killed, and the system
  // closes its connections.
  void testResponseOfAKilledRelayDoesNotLookComplete()
  {
    const tests::ScriptedServer scripted(
      kNobody, [](const tests::ScriptedServer::Request&) {
        return tests::ScriptedServer::Answer{
          { { "HTTP/1.1 200 OK\r\n\r\nbegin" } }
        };
      });
    auto call = this->StartCall("hello", kNobody);
    CPPUNIT_ASSERT(this->Await([this] { return this->opened == 1; }));
    std::this_thread::sleep_for(milliseconds(100));
    this->RunOnThread([] { CloseLikeTheSystem(kRelayAddress); });
    CPPUNIT_ASSERT(!call.get().has_value());
  }

  void testResponseWithoutALengthEndsWithItsServer()
  {
    const tests::ScriptedServer scripted(
      kNobody, [](const tests::ScriptedServer::Request&) {
        return tests::ScriptedServer::Answer{
          { { "HTTP/1.1 200 OK\r\n\r\nwhole" } },
          tests::ScriptedServer::End::kClose
        };
      });
    const auto response = this->Call("hello", kNobody);
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("whole"), response->body);
  }

  void testStoppingRelayFinishesWhatRuns()
  {
    const auto respond = std::make_shared<HttpServer::Respond>();
    this->answer = [respond](const HttpRequest& aRequest,
                             const HttpServer::Respond& aRespond) {
      if (aRequest.body == "wait") {
        *respond = aRespond;
      } else {
        aRespond({});
      }
    };
    auto call = this->StartCall("wait", kServerAddress);
    CPPUNIT_ASSERT(this->Await([this] { return this->arrivals == 1; }));
    this->RunOnThread([this] {
      this->relay->StopAccepting();
      this->relay->OnTimer();
    });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->relay->Busy());
    CPPUNIT_ASSERT(this->Call("another").has_value());
    CPPUNIT_ASSERT(this->refusals.back() == RelayRefusal::kStopping);
    this->RunOnThread([&] { (*respond)({ .body = "done" }); });
    const auto response = call.get();
    CPPUNIT_ASSERT(response.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string("done"), response->body);
  }

  // Guards against requests and lease commands that a suspended relay passes on
  // long after they were sent.
  void testRequestThatWaitedThroughAPauseIsNotPassedOn()
  {
    CPPUNIT_ASSERT(this->Call("hello").has_value());
    this->clockOffset = milliseconds(5000);
    const auto response = this->Call("late");
    CPPUNIT_ASSERT(!response.has_value());
    CPPUNIT_ASSERT(response.error() == TransportError::kBroken);
    CPPUNIT_ASSERT_EQUAL(1, this->arrivals.load());
  }

private:
  // Closes the connections that were accepted at an address, and their
  // descriptors' owners do not know.
  static void CloseLikeTheSystem(const std::string& aAddress)
  {
    const auto wanted = ParseAddress(aAddress).value();
    std::vector<int> found;
    for (const auto& entry :
         std::filesystem::directory_iterator("/proc/self/fd")) {
      const int one = std::stoi(entry.path().filename().string());
      boost::asio::ip::tcp::endpoint local;
      boost::asio::ip::tcp::endpoint peer;
      auto size = static_cast<socklen_t>(local.capacity());
      auto peerSize = size;
      if (getsockname(one, local.data(), &size) == 0 && local == wanted &&
          getpeername(one, peer.data(), &peerSize) == 0) {
        found.push_back(one);
      }
    }
    const int nothing = open("/dev/null", O_RDWR | O_CLOEXEC);
    std::ranges::for_each(found, [nothing](int aOne) { dup2(nothing, aOne); });
    close(nothing);
  }

  RelayServer::Options RelayOptions()
  {
    RelayServer::Options options;
    options.address = kRelayAddress;
    options.maxRelaysOfPeer = 3;
    options.clock = [this] {
      return std::chrono::steady_clock::now() + this->clockOffset.load();
    };
    options.mayConnect = [](const std::string& aAddress) {
      return aAddress == kServerAddress || aAddress == kNobody;
    };
    options.onOpened = [this] { ++this->opened; };
    options.onRefused = [this](RelayRefusal aRefusal) {
      this->refusals.push_back(aRefusal);
    };
    return options;
  }

  std::shared_ptr<const DialHooks> MakeDialHooks()
  {
    auto hooks = tests::MakeRelayHooks(kRelayAddress);
    hooks->plan = [this](const std::string&) { return this->plan; };
    hooks->onRelayLost = [this](const std::string&) { ++this->lostRelays; };
    return hooks;
  }

  template<typename Work>
  void RunOnThread(Work aWork)
  {
    std::promise<void> done;
    this->thread->Post([&] {
      aWork();
      done.set_value();
    });
    done.get_future().get();
  }

  template<typename Condition>
  static bool Await(Condition aCondition)
  {
    for (int i = 0; i < 50 && !aCondition(); ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    return aCondition();
  }

  std::future<Result<HttpResponse>> StartCall(const std::string& aBody,
                                              const std::string& aAddress)
  {
    const auto promise = std::make_shared<std::promise<Result<HttpResponse>>>();
    this->RunOnThread([&] {
      HttpRequest request;
      request.method = "POST";
      request.body = aBody;
      this->lastCall =
        this->client->Send(aAddress, std::move(request), milliseconds(2000),
                           [promise](Result<HttpResponse> aResponse) {
                             promise->set_value(std::move(aResponse));
                           });
    });
    return promise->get_future();
  }

  Result<HttpResponse> Call(const std::string& aBody,
                            const std::string& aAddress = kServerAddress)
  {
    return this->StartCall(aBody, aAddress).get();
  }

  Result<std::string> ReadPiece(const BodyReader& aReader)
  {
    std::promise<Result<std::string>> promise;
    this->RunOnThread([&] {
      aReader([&promise](Result<std::string> aPiece) {
        promise.set_value(std::move(aPiece));
      });
    });
    return promise.get_future().get();
  }

  std::optional<IoThread> thread;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<RelayServer> relay;
  std::unique_ptr<HttpClient> client;
  HttpServer::Handler answer;
  DialPlan plan;
  HttpClient::CallId lastCall = 0;
  std::vector<RelayRefusal> refusals;
  std::atomic<milliseconds> clockOffset{ milliseconds(0) };
  std::atomic<int> arrivals{ 0 };
  std::atomic<int> opened{ 0 };
  std::atomic<int> lostRelays{ 0 };
  std::atomic<bool> isGone{ false };
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayTest);

} // namespace kumquat::transport
