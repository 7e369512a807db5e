// The HTTP server and client against each other, over loopback.

#include "transport/address.h"
#include "transport/httpclient.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace kumquat::transport {

namespace {

constexpr auto kAddress = "127.0.99.1:18099";
constexpr auto kUpstreamAddress = "127.0.99.1:18098";
// Of a server that takes the end of a caller's sending side for its leaving.
constexpr auto kStrictAddress = "127.0.99.1:18097";

// Runs one call and waits for its end.
Result<HttpResponse> Call(IoThread& aThread, HttpClient& aClient,
                          HttpRequest aRequest,
                          const std::string& aAddress = kAddress)
{
  std::promise<Result<HttpResponse>> promise;
  auto future = promise.get_future();
  aThread.Post([&] {
    aClient.Send(aAddress, std::move(aRequest), std::chrono::milliseconds(2000),
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

namespace {

using Socket = boost::asio::ip::tcp::socket;

// Hands each connection to a function, one after the other, and keeps it open.
class RawServer
{
public:
  RawServer(const std::string& aAddress, std::function<void(Socket&)> aServe)
    : serve(std::move(aServe))
    , acceptor(this->context, *ParseAddress(aAddress))
    , thread([this] { this->Serve(); })
  {
  }

  ~RawServer()
  {
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
  }

  RawServer(const RawServer&) = delete;
  RawServer& operator=(const RawServer&) = delete;

private:
  void Serve()
  {
    boost::system::error_code error;
    while (!error) {
      Socket socket(this->context);
      this->acceptor.accept(socket, error);
      if (error) {
        return;
      }
      this->serve(socket);
      this->sockets.push_back(std::move(socket));
    }
  }

  const std::function<void(Socket&)> serve;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::vector<Socket> sockets;
  std::thread thread;
};

void ReadRequest(Socket& aSocket)
{
  boost::system::error_code ignored;
  std::string request(1024, ' ');
  aSocket.read_some(boost::asio::buffer(request), ignored);
}

void WriteAnswer(Socket& aSocket, const std::string& aBody)
{
  boost::system::error_code ignored;
  const std::string answer =
    "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) +
    "\r\n\r\n" + aBody;
  boost::asio::write(aSocket, boost::asio::buffer(answer), ignored);
}

// Answers the first request of each connection, and falls silent.
void AnswerOnce(Socket& aSocket)
{
  ReadRequest(aSocket);
  WriteAnswer(aSocket, "");
}

} // namespace

class HttpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpTest);
  CPPUNIT_TEST(testWholeAnswer);
  CPPUNIT_TEST(testLargeAnswerComesInPieces);
  CPPUNIT_TEST(testBrokenOffAnswerIsNotWhole);
  CPPUNIT_TEST(testPipelinedAnswersKeepTheirOrder);
  CPPUNIT_TEST(testGoneCallerIsTold);
  CPPUNIT_TEST(testGoneCallerOfASingleRequestIsTold);
  CPPUNIT_TEST(testLateReadRequestOfAGoneCallerIsNotSentOn);
  CPPUNIT_TEST(testStopLosesNoRequest);
  CPPUNIT_TEST(testStopAnswersAllThatWasRead);
  CPPUNIT_TEST(testRequestBehindTheLastAnswerIsNotBegun);
  CPPUNIT_TEST(testRequestBehindAStreamedAnswerIsNotBegun);
  CPPUNIT_TEST(testRequestBehindAStreamedAnswerIsBegunAfterIt);
  CPPUNIT_TEST(testAnswerOfAnotherIsNotTaken);
  CPPUNIT_TEST(testConnectionThatWentSilentAtRestIsNotUsedAgain);
  CPPUNIT_TEST(testRequestThatIsNoLongerValidIsNotSent);
  CPPUNIT_TEST(testCancelTellsWhetherAnythingMayHaveBeenSent);
  CPPUNIT_TEST(testExtraAnswerIsNotTakenForThatOfALaterRequest);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->respond = nullptr;
    this->thread.emplace();
    HttpServer::Options options;
    options.address = kAddress;
    options.handler = [this](const HttpRequest& aRequest,
                             const HttpServer::Respond& aRespond) {
      if (this->respond) {
        this->respond(aRequest, aRespond);
      } else {
        aRespond(this->answer(aRequest));
      }
    };
    auto listening =
      HttpServer::Listen(this->thread->Context(), std::move(options));
    CPPUNIT_ASSERT(listening.has_value());
    this->server = std::move(*listening);
    options = {};
    options.address = kStrictAddress;
    options.endIsLeaving = true;
    options.handler = [this](const HttpRequest& aRequest,
                             const HttpServer::Respond& aRespond) {
      this->respond(aRequest, aRespond);
    };
    listening = HttpServer::Listen(this->thread->Context(), std::move(options));
    CPPUNIT_ASSERT(listening.has_value());
    this->strictServer = std::move(*listening);
    this->client.emplace(this->thread->Context(), HttpClient::Options{});
    this->thread->Start("http-test");
  }

  void tearDown() override
  {
    this->server->StopAccepting();
    this->strictServer->StopAccepting();
    this->thread->Stop();
    this->server.reset();
    this->strictServer.reset();
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

  // A caller sends three requests without waiting; the first takes longest.
  void testPipelinedAnswersKeepTheirOrder()
  {
    std::vector<HttpServer::Respond> waiting;
    this->respond = [&](const HttpRequest& aRequest,
                        const HttpServer::Respond& aRespond) {
      HttpResponse response;
      response.body = aRequest.target;
      if (aRequest.target == "/1") {
        waiting.push_back(aRespond);
        return;
      }
      aRespond(response);
      if (aRequest.target == "/3") {
        response.body = "/1";
        waiting.front()(response);
      }
    };
    RawCaller caller;
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const std::string answers = caller.ReadAll();
    const auto first = answers.find("/1");
    const auto second = answers.find("/2");
    CPPUNIT_ASSERT(first != std::string::npos);
    CPPUNIT_ASSERT(first < second);
    CPPUNIT_ASSERT(second < answers.find("/3"));
  }

  // A camper closes the page while the lookup runs: whoever runs it hears of
  // that at once, not with the answer.
  void testGoneCallerIsTold()
  {
    CPPUNIT_ASSERT(
      this->IsLeavingTold(kAddress, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"));
  }

  // A caller asks for the connection's end with its only request, and leaves
  // before the answer. As nothing more was to be read nobody looked at the
  // connection, and the upstream worked on for a caller that had gone.
  void testGoneCallerOfASingleRequestIsTold()
  {
    CPPUNIT_ASSERT(this->IsLeavingTold(
      kStrictAddress,
      "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"));
  }

  // A host stands still for a moment. Meanwhile a caller sends a request, runs
  // out of patience and closes. The host then reads the request and has an idle
  // connection to an upstream: sent there, it would run for nobody.
  void testLateReadRequestOfAGoneCallerIsNotSentOn()
  {
    HttpServer::Options options;
    options.address = kUpstreamAddress;
    std::atomic<int> ran{ 0 };
    options.handler = [&ran](const HttpRequest&,
                             const HttpServer::Respond& aRespond) {
      ++ran;
      aRespond(HttpResponse{});
    };
    auto upstream =
      HttpServer::Listen(this->thread->Context(), std::move(options));
    CPPUNIT_ASSERT(upstream.has_value());
    std::promise<Result<HttpResponse>> first;
    std::promise<Result<HttpResponse>> second;
    std::vector<std::promise<Result<HttpResponse>>*> ends{ &first, &second };
    std::size_t asked = 0;
    this->respond = [&](const HttpRequest& aRequest,
                        const HttpServer::Respond& aRespond) {
      const auto call = this->client->Send(
        kUpstreamAddress, aRequest, std::chrono::milliseconds(2000),
        [end = ends[asked++], aRespond](const Result<HttpResponse>& aResult) {
          end->set_value(aResult);
          aRespond(HttpResponse{});
        });
      aRequest.link->onGone = [this, call] { this->client->Cancel(call); };
    };
    RawCaller patient(kStrictAddress);
    patient.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    CPPUNIT_ASSERT(first.get_future().get().has_value());
    std::promise<void> resume;
    this->thread->Post([&] { resume.get_future().wait(); });
    {
      RawCaller impatient(kStrictAddress);
      impatient.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    resume.set_value();
    const auto result = second.get_future().get();
    CPPUNIT_ASSERT(!result.has_value());
    CPPUNIT_ASSERT_EQUAL(1, ran.load());
    std::promise<void> stopped;
    this->thread->Post([&] {
      (*upstream)->StopAccepting();
      stopped.set_value();
    });
    stopped.get_future().wait();
  }

  // A planned stop ends idle connections while a request is on its way in one
  // of them: either it is answered whole or it never reached the handler.
  void testStopLosesNoRequest()
  {
    constexpr int kCallers = 40;
    std::atomic<int> taken{ 0 };
    this->respond = [&](const HttpRequest&,
                        const HttpServer::Respond& aRespond) {
      ++taken;
      HttpResponse response;
      response.body = "whole";
      aRespond(response);
    };
    std::vector<std::unique_ptr<RawCaller>> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.push_back(std::make_unique<RawCaller>());
    }
    for (int i = 0; i < kCallers; ++i) {
      if (i == kCallers / 2) {
        this->server->StopAccepting();
      }
      callers[static_cast<std::size_t>(i)]->Send(
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    }
    int answered = 0;
    for (const auto& caller : callers) {
      answered += caller->ReadAll().ends_with("whole") ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(taken.load(), answered);
  }

  // A caller has sent three requests at once when the host is stopped, and all
  // three run. Each gets its answer, in order, and the last one asks the caller
  // to close; before, the connection ended with the first answer, and the other
  // two had run for nothing.
  void testStopAnswersAllThatWasRead()
  {
    std::mutex mutex;
    std::vector<HttpServer::Respond> waiting;
    std::promise<void> allRead;
    this->respond = [&](const HttpRequest&,
                        const HttpServer::Respond& aRespond) {
      const std::lock_guard lock(mutex);
      waiting.push_back(aRespond);
      if (waiting.size() == 3) {
        allRead.set_value();
      }
    };
    RawCaller caller;
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    allRead.get_future().wait();
    this->server->Drain();
    this->server->StopAccepting();
    for (std::size_t i = 0; i < waiting.size(); ++i) {
      HttpResponse response;
      response.body = "answer " + std::to_string(i);
      waiting[i](response);
    }
    const std::string answers = caller.ReadAll();
    const auto first = answers.find("answer 0");
    const auto second = answers.find("answer 1");
    const auto third = answers.find("answer 2");
    CPPUNIT_ASSERT(first < second && second < third);
    CPPUNIT_ASSERT(third != std::string::npos);
    const auto close = answers.find("Connection: close");
    CPPUNIT_ASSERT(close != std::string::npos && close > second);
  }

  // Guards against a request that runs behind the last answer of its connection
  // and gets none.
  void testRequestBehindTheLastAnswerIsNotBegun()
  {
    // More than the sockets take at once.
    constexpr std::size_t kBodyBytes = 32U << 20U;
    std::atomic<int> begun{ 0 };
    this->respond = [&](const HttpRequest&,
                        const HttpServer::Respond& aRespond) {
      ++begun;
      aRespond({ .body = std::string(kBodyBytes, 'x') });
    };
    this->server->Drain();
    RawCaller caller;
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    caller.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(1, begun.load());
    CPPUNIT_ASSERT(caller.ReadAll().size() > kBodyBytes);
    CPPUNIT_ASSERT_EQUAL(1, begun.load());
  }

  // Guards against a request that runs behind an answer that breaks off, and
  // gets none.
  void testRequestBehindAStreamedAnswerIsNotBegun()
  {
    std::atomic<int> begun{ 0 };
    std::function<void(Result<std::string>)> take;
    std::promise<void> isStreaming;
    this->respond = [&](const HttpRequest&,
                        const HttpServer::Respond& aRespond) {
      if (++begun > 1) {
        aRespond({ .body = "further" });
        return;
      }
      HttpResponse response;
      response.body = "first";
      response.length = 100;
      response.rest = [&](std::function<void(Result<std::string>)> aTake) {
        take = std::move(aTake);
        isStreaming.set_value();
      };
      aRespond(std::move(response));
    };
    RawCaller caller;
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    isStreaming.get_future().wait();
    caller.Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT_EQUAL(1, begun.load());
    take(make_error_code(TransportError::kTruncated));
    CPPUNIT_ASSERT(caller.ReadAll().ends_with("first"));
    CPPUNIT_ASSERT_EQUAL(1, begun.load());
  }

  // Guards against requests that wait for ever behind an answer that came
  // whole.
  void testRequestBehindAStreamedAnswerIsBegunAfterIt()
  {
    this->respond = [](const HttpRequest& aRequest,
                       const HttpServer::Respond& aRespond) {
      HttpResponse response;
      response.body = aRequest.target;
      if (aRequest.target == "/1") {
        response.rest =
          [](const std::function<void(Result<std::string>)>& aTake) {
            aTake(std::string());
          };
      }
      aRespond(std::move(response));
    };
    RawCaller caller;
    caller.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
                "GET /2 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    CPPUNIT_ASSERT(caller.ReadAll().ends_with("/2"));
  }

  // The answer to a request that was given up on comes late, in the place of
  // the next one's: the next caller must not get it.
  // A call on a connection that had gone silent took its whole time-out.
  void testConnectionThatWentSilentAtRestIsNotUsedAgain()
  {
    RawServer silent(kUpstreamAddress, AnswerOnce);
    HttpClient::Options options;
    options.longestRest = std::chrono::milliseconds(20);
    HttpClient own(this->thread->Context(), options);
    CPPUNIT_ASSERT(Call(*this->thread, own, {}, kUpstreamAddress).has_value());
    std::this_thread::sleep_for(std::chrono::milliseconds(40));
    CPPUNIT_ASSERT(Call(*this->thread, own, {}, kUpstreamAddress).has_value());
  }

  // Guards against taking a second answer to one request for the answer to the
  // next, where answers bear no id.
  void testExtraAnswerIsNotTakenForThatOfALaterRequest()
  {
    RawServer upstream(kUpstreamAddress, [](Socket& aSocket) {
      ReadRequest(aSocket);
      WriteAnswer(aSocket, "own");
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      WriteAnswer(aSocket, "extra");
    });
    HttpClient own(this->thread->Context(), {});
    HttpRequest request;
    request.needsOwnConnection = true;
    for (int i = 0; i < 3; ++i) {
      const auto first = Call(*this->thread, own, {}, kUpstreamAddress);
      CPPUNIT_ASSERT(first.has_value());
      const auto second = Call(*this->thread, own, request, kUpstreamAddress);
      CPPUNIT_ASSERT(second.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("own"), second->body);
    }
  }

  void testRequestThatIsNoLongerValidIsNotSent()
  {
    std::atomic<int> ran{ 0 };
    this->answer = [&ran](const HttpRequest&) {
      ++ran;
      return HttpResponse{};
    };
    HttpRequest request;
    request.isStillValid = [](TimePoint) { return false; };
    const auto result = Call(*this->thread, *this->client, request);
    CPPUNIT_ASSERT(result.error() == TransportError::kWithdrawn);
    CPPUNIT_ASSERT_EQUAL(0, ran.load());
    // The connection serves others.
    CPPUNIT_ASSERT(Call(*this->thread, *this->client, {}).has_value());
  }

  // Guards against "not run" for a request that an upstream has got.
  void testCancelTellsWhetherAnythingMayHaveBeenSent()
  {
    std::atomic<int> ran{ 0 };
    this->answer = [&ran](const HttpRequest&) {
      ++ran;
      return HttpResponse{};
    };
    HttpClient::CallId call = 0;
    std::promise<bool> waiting;
    std::promise<Result<HttpResponse>> ended;
    this->thread->Post([&] {
      call = this->client->Send(kAddress, {}, std::chrono::milliseconds(1000),
                                [&ended](Result<HttpResponse> aResult) {
                                  ended.set_value(std::move(aResult));
                                });
      waiting.set_value(this->client->Cancel(call));
    });
    CPPUNIT_ASSERT(!waiting.get_future().get());
    CPPUNIT_ASSERT(ended.get_future().get().error() ==
                   TransportError::kCancelled);
    CPPUNIT_ASSERT(Call(*this->thread, *this->client, {}).has_value());
    CPPUNIT_ASSERT_EQUAL(1, ran.load());
    // The server has the next one, and answers it all the same.
    std::promise<bool> held;
    this->respond = [&](const HttpRequest&,
                        const HttpServer::Respond& aRespond) {
      held.set_value(this->client->Cancel(call));
      aRespond(HttpResponse{});
    };
    std::promise<void> over;
    this->thread->Post([&] {
      call = this->client->Send(
        kAddress, {}, std::chrono::milliseconds(1000),
        [&over](const Result<HttpResponse>&) { over.set_value(); });
    });
    CPPUNIT_ASSERT(held.get_future().get());
    over.get_future().wait();
    // Nothing is known any more of a call that is over.
    std::promise<bool> again;
    this->thread->Post([&] { again.set_value(this->client->Cancel(call)); });
    CPPUNIT_ASSERT(again.get_future().get());
  }

  void testAnswerOfAnotherIsNotTaken()
  {
    this->answer = [](const HttpRequest&) {
      HttpResponse late;
      late.headers = { { "Echo", "other" } };
      return late;
    };
    HttpClient::Options options;
    options.echoHeader = "Echo";
    HttpClient own(this->thread->Context(), options);
    HttpRequest request;
    request.headers = { { "Echo", "mine" } };
    const auto result = Call(*this->thread, own, request);
    CPPUNIT_ASSERT(result.has_error());
    CPPUNIT_ASSERT(result.error() != TransportError::kUnreachable);
  }

private:
  // A caller that writes bytes as they stand.
  class RawCaller
  {
  public:
    explicit RawCaller(const char* aAddress = kAddress)
    {
      this->socket.connect(*ParseAddress(aAddress));
    }

    void Send(const std::string& aBytes)
    {
      boost::system::error_code ignored;
      boost::asio::write(this->socket, boost::asio::buffer(aBytes), ignored);
    }

    std::string ReadAll()
    {
      boost::system::error_code ignored;
      // A server that has answered what it has may wait for more.
      this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send,
                            ignored);
      std::string bytes;
      boost::asio::read(this->socket, boost::asio::dynamic_buffer(bytes),
                        ignored);
      return bytes;
    }

  private:
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket{ this->context };
  };

  // Whether the handler hears of a caller that leaves once its request was
  // taken.
  bool IsLeavingTold(const char* aAddress, const std::string& aRequest)
  {
    std::promise<void> gone;
    std::promise<void> taken;
    this->respond = [&](const HttpRequest& aTaken, const HttpServer::Respond&) {
      aTaken.link->onGone = [&gone] { gone.set_value(); };
      taken.set_value();
    };
    {
      RawCaller caller(aAddress);
      caller.Send(aRequest);
      taken.get_future().wait();
    }
    return gone.get_future().wait_for(std::chrono::seconds(2)) ==
           std::future_status::ready;
  }

  std::optional<IoThread> thread;
  std::unique_ptr<HttpServer> server;
  std::unique_ptr<HttpServer> strictServer;
  std::optional<HttpClient> client;
  std::function<HttpResponse(const HttpRequest&)> answer;
  // In place of `answer` where it is set.
  std::function<void(const HttpRequest&, const HttpServer::Respond&)> respond;
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpTest);

} // namespace kumquat::transport
