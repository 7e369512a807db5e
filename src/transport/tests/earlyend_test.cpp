// Answers that end before they are whole, at each of their bytes: a client must
// not take one for whole unless its framing says so.

#include "transport/httpclient.h"
#include "transport/iothread.h"
#include "transport/tests/relayhooks.h"
#include "transport/tests/scriptedserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::transport {

using tests::ScriptedServer;

namespace {

constexpr auto kAddress = "127.0.99.6:18130";
constexpr auto kRelayAddress = "127.0.99.6:18131";
constexpr std::chrono::milliseconds kTimeout{ 2000 };
const std::string kEcho = "Echo";
const std::string kId = kEcho + ": r-1\r\n";
const std::string kHead =
  "HTTP/1.1 200 OK\r\n" + kId + "Content-Type: text/plain\r\n";

struct Case
{
  std::string name;
  // What comes before the answer that may be cut.
  std::string before;
  std::string answer;
  // From so many bytes on, an end of the connection is the end of the body.
  std::size_t framed;

  // Whether a length or a last chunk ends the body.
  bool HasFraming() const { return this->framed == this->answer.size(); }
  std::string BodyOf(std::size_t aCount) const
  {
    return this->HasFraming()
             ? "done"
             : this->answer.substr(this->framed, aCount - this->framed);
  }
};

std::vector<Case> Cases()
{
  const std::string withLength = kHead + "Content-Length: 4\r\n\r\ndone";
  const std::string chunked =
    kHead + "Transfer-Encoding: chunked\r\n\r\n2\r\ndo\r\n2\r\nne\r\n0\r\n\r\n";
  const std::string head = kHead + "\r\n";
  return {
    { "with a length", "", withLength, withLength.size() },
    { "in chunks", "", chunked, chunked.size() },
    { "without a length", "", head + "done", head.size() },
    { "after an interim answer", "HTTP/1.1 100 Continue\r\n\r\n", withLength,
      withLength.size() },
    { "after an interim answer with the request's id",
      "HTTP/1.1 103 Early Hints\r\n" + kId + "\r\n", withLength,
      withLength.size() },
    { "after another request's answer",
      "HTTP/1.1 200 OK\r\nEcho: r-0\r\nContent-Length: 2\r\n\r\nno", withLength,
      withLength.size() },
  };
}

} // namespace

class EarlyEndTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EarlyEndTest);
  CPPUNIT_TEST(testAnswerThatEndsEarlyIsNoAnswer);
  CPPUNIT_TEST(testTheSameThroughARelay);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->thread.emplace();
    this->thread->Start("earlyend");
  }

  void tearDown() override
  {
    std::promise<void> done;
    this->thread->Post([&] {
      this->client.reset();
      done.set_value();
    });
    done.get_future().get();
    this->thread->Stop();
    this->thread.reset();
  }

  // Guards against the part of an answer that is passed on as a whole one.
  void testAnswerThatEndsEarlyIsNoAnswer()
  {
    this->client = std::make_unique<HttpClient>(
      this->thread->Context(), HttpClient::Options{ .echoHeader = kEcho });
    this->CheckAll();
  }

  // Guards against the same where the bytes come through a peer.
  void testTheSameThroughARelay()
  {
    const ScriptedServer relay(
      kRelayAddress, [this](const ScriptedServer::Request& aRequest) {
        return aRequest.number == 1
                 ? ScriptedServer::Answer{ { { "HTTP/1.1 200 OK\r\n\r\n" } } }
                 : this->NextAnswer();
      });
    this->client = std::make_unique<HttpClient>(
      this->thread->Context(),
      HttpClient::Options{ .echoHeader = kEcho,
                           .dial = tests::MakeRelayHooks(kRelayAddress) });
    this->CheckAll();
  }

private:
  ScriptedServer::Answer NextAnswer()
  {
    return { { { this->bytes } }, this->end };
  }

  void CheckAll()
  {
    const ScriptedServer server(
      kAddress,
      [this](const ScriptedServer::Request&) { return this->NextAnswer(); });
    for (const Case& one : Cases()) {
      for (std::size_t count = 0; count <= one.answer.size(); ++count) {
        const bool isWhole = count >= one.framed;
        this->Check(one, count, ScriptedServer::End::kClose, isWhole, isWhole);
        // A reset may overtake the last bytes of a whole answer.
        const bool isFramed = count == one.framed && one.HasFraming();
        this->Check(one, count, ScriptedServer::End::kReset, false, isFramed);
      }
    }
  }

  void Check(const Case& aCase, std::size_t aCount, ScriptedServer::End aEnd,
             bool aMustSucceed, bool aMaySucceed)
  {
    this->bytes = aCase.before + aCase.answer.substr(0, aCount);
    this->end = aEnd;
    const Result<HttpResponse> response = this->Call();
    const std::string where =
      aCase.name + ", " + std::to_string(aCount) + " bytes";
    CPPUNIT_ASSERT_MESSAGE(where, response.has_value() || !aMustSucceed);
    CPPUNIT_ASSERT_MESSAGE(where, !response.has_value() || aMaySucceed);
    if (response) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 200, response->status);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(where, aCase.BodyOf(aCount), response->body);
    }
  }

  Result<HttpResponse> Call()
  {
    std::promise<Result<HttpResponse>> promise;
    this->thread->Post([&] {
      HttpRequest request;
      request.headers = { { kEcho, "r-1" } };
      this->client->Send(kAddress, std::move(request), kTimeout,
                         [&promise](Result<HttpResponse> aResponse) {
                           promise.set_value(std::move(aResponse));
                         });
    });
    return promise.get_future().get();
  }

  std::optional<IoThread> thread;
  std::unique_ptr<HttpClient> client;
  // What is sent next; changed while no request is under way.
  std::string bytes;
  ScriptedServer::End end = ScriptedServer::End::kKeep;
};

CPPUNIT_TEST_SUITE_REGISTRATION(EarlyEndTest);

} // namespace kumquat::transport
