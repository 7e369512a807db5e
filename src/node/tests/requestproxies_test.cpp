// Two hosts that pass requests to each other, without sockets: what one sends
// is handed to the other.

#include "node/internal/requestproxies.h"

#include "protocol/codec.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::node {

using protocol::ErrorKind;
using routing::CallerRequest;
using routing::CallerResponse;
using std::chrono::milliseconds;

namespace {

// One host, and what its hooks were called with.
struct Host
{
  Host(std::string aName, std::int64_t aIncarnation, const TimePoint& aNow)
    : ref{ { std::move(aName) }, aIncarnation }
  {
    RequestProxies::Hooks hooks;
    hooks.now = [&aNow] { return aNow; };
    hooks.send = [this](const state::HostId&, const protocol::Frame& aFrame) {
      if (this->isCut) {
        return false;
      }
      this->sent.push_back(*protocol::DecodeFrame(
        protocol::EncodeFrame(aFrame).substr(protocol::kLengthBytes)));
      return true;
    };
    hooks.hold = [](std::size_t) { return nullptr; };
    hooks.dispatch = [this](CallerRequest aRequest,
                            const routing::Dispatcher::Respond&) {
      this->dispatched.push_back(std::move(aRequest));
    };
    hooks.onEnded = [this](const CallerRequest&, const state::HostId&,
                           const CallerResponse&) { ++this->ended; };
    hooks.onFallback = [this](const state::HostId&, std::string_view aReason) {
      this->fallbacks.emplace_back(aReason);
    };
    hooks.onTooLarge = [this](const CallerRequest& aRequest) {
      this->proxies->PauseRoute(aRequest.message.target);
    };
    hooks.findDecline = [this](const CallerRequest&, std::int64_t) {
      return this->decline;
    };
    hooks.run = [this](CallerRequest aRequest,
                       routing::Dispatcher::Respond aRespond) {
      this->running.emplace_back(std::move(aRequest), std::move(aRespond));
      return this->running.size();
    };
    hooks.endRun = [this](routing::RequestNumber aNumber) {
      this->endedRuns.push_back(aNumber);
    };
    hooks.onDeclined = [this](ProxyDecline aReason) {
      this->declines.emplace_back(ProxyDeclineName(aReason));
    };
    this->proxies = std::make_unique<RequestProxies>(this->ref, hooks);
  }

  // Hands what this host has sent to the other one.
  void DeliverTo(Host& aOther)
  {
    while (!this->sent.empty()) {
      const protocol::Frame frame = std::move(this->sent.front());
      this->sent.pop_front();
      if (frame.__isset.proxyRequest) {
        aOther.proxies->OnRequest(this->ref.host, frame.correlation,
                                  frame.proxyRequest);
      } else if (frame.__isset.proxyReply) {
        aOther.proxies->OnReply(this->ref.host, frame.correlation,
                                frame.proxyReply);
      } else if (frame.__isset.proxyCancel) {
        aOther.proxies->OnCancel(this->ref.host, frame.correlation,
                                 frame.proxyCancel);
      }
    }
  }

  const state::HostRef ref;
  bool isCut = false;
  std::optional<ProxyDecline> decline;
  std::deque<protocol::Frame> sent;
  std::vector<CallerRequest> dispatched;
  std::vector<std::string> fallbacks;
  std::vector<std::string> declines;
  std::vector<std::pair<CallerRequest, routing::Dispatcher::Respond>> running;
  std::vector<routing::RequestNumber> endedRuns;
  int ended = 0;
  std::unique_ptr<RequestProxies> proxies;
};

CallerResponse Served(std::string aBody)
{
  CallerResponse response;
  response.message.emplace();
  response.message->status = 201;
  response.message->headers = { { "B", "1" }, { "a", "2" }, { "B", "" } };
  response.message->body = std::move(aBody);
  return response;
}

} // namespace

class RequestProxiesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RequestProxiesTest);
  CPPUNIT_TEST(testRequestArrivesAsItWas);
  CPPUNIT_TEST(testResponseArrivesAsItWas);
  CPPUNIT_TEST(testErrorArrivesWithItsTime);
  CPPUNIT_TEST(testEachReasonToDeclineIsCounted);
  CPPUNIT_TEST(testRequestThatWasHeldUpOnItsWayIsDeclined);
  CPPUNIT_TEST(testTooLargeResponseIsRunHereAndItsRouteIsLeftOut);
  CPPUNIT_TEST(testLostProxyGivesItsRequestsBack);
  CPPUNIT_TEST(testAllAreTakenBackWhereTheHostStops);
  CPPUNIT_TEST(testRequestsOfALostPeerEnd);
  CPPUNIT_TEST(testRequestThatOnlyOneSideSawLostIsGivenBack);
  CPPUNIT_TEST(testCancelEndsTheRun);
  CPPUNIT_TEST(testRepliesToAnEarlierIncarnationAreIgnored);
  CPPUNIT_TEST(testResponseWithinTheRunIsSent);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint{} + std::chrono::hours(1);
    this->receiver = std::make_unique<Host>("receiver", 7, this->now);
    this->proxy = std::make_unique<Host>("proxy", 9, this->now);
    this->responses.clear();
  }

  // Guards against a proxy that orders and limits the request by its own
  // clock, or sends the upstream another one.
  void testRequestArrivesAsItWas()
  {
    this->Pass();
    this->now += milliseconds(3);
    this->receiver->DeliverTo(*this->proxy);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->proxy->running.size());
    const CallerRequest& got = this->proxy->running.front().first;
    CPPUNIT_ASSERT_EQUAL(std::string("r-1"), got.id);
    CPPUNIT_ASSERT_EQUAL(std::string("example"), got.hostName);
    CPPUNIT_ASSERT_EQUAL(std::string("GET"), got.message.method);
    CPPUNIT_ASSERT_EQUAL(std::string("/keyed/a?b"), got.message.target);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, got.message.headers.size());
    CPPUNIT_ASSERT_EQUAL(std::string("r-1"),
                         std::string(got.message.Header("Id")));
    CPPUNIT_ASSERT(got.key == routing::Key{ 65535 });
    CPPUNIT_ASSERT(got.timeout == milliseconds(800));
    CPPUNIT_ASSERT_EQUAL(1, got.earlierRuns);
    // Its age at the time of sending; the way is not counted.
    CPPUNIT_ASSERT(got.arrived == this->now - milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->proxy->proxies->TakenCount());
  }

  void testResponseArrivesAsItWas()
  {
    this->PassAndTake();
    this->RespondFromProxy(Served(std::string("a\0b", 3)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->responses.size());
    const auto& message = this->responses.front().message;
    CPPUNIT_ASSERT(message.has_value());
    CPPUNIT_ASSERT_EQUAL(201, message->status);
    CPPUNIT_ASSERT_EQUAL(std::string("a\0b", 3), message->body);
    std::string headers;
    for (const transport::HttpHeader& header : message->headers) {
      headers += header.name + "=" + header.value + ";";
    }
    CPPUNIT_ASSERT_EQUAL(std::string("B=1;a=2;B=;"), headers);
    CPPUNIT_ASSERT_EQUAL(1, this->receiver->ended);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->proxy->proxies->TakenCount());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         this->receiver->proxies->PassedCount());
  }

  void testErrorArrivesWithItsTime()
  {
    this->PassAndTake();
    this->RespondFromProxy({ {}, ErrorKind::kQueueFull, milliseconds(150) });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->responses.size());
    CPPUNIT_ASSERT(this->responses.front().error == ErrorKind::kQueueFull);
    CPPUNIT_ASSERT(this->responses.front().retryAfter == milliseconds(150));
    CPPUNIT_ASSERT(!this->responses.front().message);
  }

  // Guards against counting a declined request as one that may have run.
  void testEachReasonToDeclineIsCounted()
  {
    const std::vector<std::string> names = { "configuration", "leaving",
                                             "route", "owner", "late" };
    int number = 0;
    for (const ProxyDecline reason :
         { ProxyDecline::kConfiguration, ProxyDecline::kLeaving,
           ProxyDecline::kRoute, ProxyDecline::kOwner, ProxyDecline::kLate }) {
      this->proxy->decline = reason;
      this->Pass();
      this->receiver->DeliverTo(*this->proxy);
      this->proxy->DeliverTo(*this->receiver);
      ++number;
      CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(number),
                           this->receiver->dispatched.size());
      CPPUNIT_ASSERT_EQUAL(1, this->receiver->dispatched.back().earlierRuns);
    }
    CPPUNIT_ASSERT(this->proxy->declines == names);
    CPPUNIT_ASSERT(this->proxy->running.empty());
    CPPUNIT_ASSERT(this->responses.empty());
  }

  // Guards against sending an upstream a request whose caller has left while
  // the link to the proxy stood still.
  void testRequestThatWasHeldUpOnItsWayIsDeclined()
  {
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
      this->now.time_since_epoch());
    this->proxy->proxies->OnDigestSent(this->receiver->ref.host, 7,
                                       micros.count());
    this->now += std::chrono::seconds(10);
    this->Pass();
    this->now += milliseconds(150);
    this->receiver->DeliverTo(*this->proxy);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->proxy->running.size());
    this->Pass();
    this->now += milliseconds(250);
    this->receiver->DeliverTo(*this->proxy);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->proxy->running.size());
    CPPUNIT_ASSERT(this->proxy->declines == std::vector<std::string>{ "late" });
  }

  void testTooLargeResponseIsRunHereAndItsRouteIsLeftOut()
  {
    this->PassAndTake();
    CallerResponse response = Served("begin");
    const auto isOpen = std::make_shared<int>(0);
    response.message->rest = [isOpen](const auto&) {};
    this->RespondFromProxy(std::move(response));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->receiver->dispatched.size());
    CPPUNIT_ASSERT_EQUAL(2, this->receiver->dispatched.front().earlierRuns);
    // The reader of the rest is gone, and with it the connection.
    CPPUNIT_ASSERT_EQUAL(1L, isOpen.use_count());
    CPPUNIT_ASSERT(this->receiver->proxies->IsPaused("/keyed/a?b"));
    this->now += std::chrono::minutes(1);
    CPPUNIT_ASSERT(!this->receiver->proxies->IsPaused("/keyed/a?b"));
  }

  // Guards against letting callers wait for a proxy that is gone, and against a
  // second response when it is not.
  void testLostProxyGivesItsRequestsBack()
  {
    this->PassAndTake();
    this->receiver->proxies->OnPeerLost(this->proxy->ref.host);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->receiver->dispatched.size());
    CPPUNIT_ASSERT_EQUAL(2, this->receiver->dispatched.front().earlierRuns);
    this->RespondFromProxy(Served("late"));
    CPPUNIT_ASSERT(this->responses.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->receiver->dispatched.size());
  }

  // Guards against callers of a host that stops without a response.
  void testAllAreTakenBackWhereTheHostStops()
  {
    this->PassAndTake();
    this->Pass();
    this->receiver->proxies->TakeBackAll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, this->receiver->dispatched.size());
    CPPUNIT_ASSERT_EQUAL(2, this->receiver->dispatched.back().earlierRuns);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 },
                         this->receiver->proxies->PassedCount());
  }

  // Guards against running requests on for a host that is gone.
  void testRequestsOfALostPeerEnd()
  {
    this->PassAndTake();
    this->proxy->isCut = true;
    this->proxy->proxies->OnPeerLost(this->receiver->ref.host);
    CPPUNIT_ASSERT(this->proxy->endedRuns ==
                   std::vector<routing::RequestNumber>{ 1 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->proxy->proxies->TakenCount());
    this->proxy->isCut = false;
    this->proxy->running.front().second(Served("late"));
    CPPUNIT_ASSERT(this->proxy->sent.empty());
  }

  // Guards against a caller that waits until its deadline, as the proxy saw the
  // end of a connection later than its host, or alone.
  void testRequestThatOnlyOneSideSawLostIsGivenBack()
  {
    this->PassAndTake();
    this->proxy->proxies->OnPeerLost(this->receiver->ref.host);
    this->proxy->DeliverTo(*this->receiver);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->receiver->dispatched.size());
    CPPUNIT_ASSERT_EQUAL(2, this->receiver->dispatched.front().earlierRuns);
    CPPUNIT_ASSERT(!this->receiver->proxies->IsPaused("/keyed/a?b"));
  }

  void testCancelEndsTheRun()
  {
    const routing::ProxyNumber number = this->PassAndTake();
    this->receiver->proxies->OnCallerGone(number);
    this->receiver->DeliverTo(*this->proxy);
    CPPUNIT_ASSERT(this->proxy->endedRuns ==
                   std::vector<routing::RequestNumber>{ 1 });
    this->RespondFromProxy(Served("late"));
    CPPUNIT_ASSERT(this->responses.empty());
  }

  // Guards against answering a request with the response to one of the host's
  // last incarnation, which counted alike.
  void testRepliesToAnEarlierIncarnationAreIgnored()
  {
    this->PassAndTake();
    this->receiver = std::make_unique<Host>("receiver", 8, this->now);
    this->Pass();
    this->RespondFromProxy(Served("of another"));
    CPPUNIT_ASSERT(this->responses.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         this->receiver->proxies->PassedCount());
  }

  // Guards against forgetting the response of a dispatcher that refuses at
  // once.
  void testResponseWithinTheRunIsSent()
  {
    RequestProxies::Hooks hooks;
    std::vector<protocol::Frame> sent;
    hooks.now = [this] { return this->now; };
    hooks.send = [&sent](const state::HostId&, const protocol::Frame& aFrame) {
      sent.push_back(aFrame);
      return true;
    };
    hooks.findDecline = [](const CallerRequest&, std::int64_t) {
      return std::optional<ProxyDecline>{};
    };
    hooks.run = [](const CallerRequest&,
                   const routing::Dispatcher::Respond& aRespond) {
      aRespond({ {}, ErrorKind::kNoUpstream, {} });
      return routing::RequestNumber{ 1 };
    };
    RequestProxies proxies({ { "proxy" }, 1 }, hooks);
    proxies.OnRequest({ "receiver" }, 7,
                      ToWire(1, Request(this->now), 1, this->now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, sent.size());
    CPPUNIT_ASSERT_EQUAL(static_cast<int>(ErrorKind::kNoUpstream),
                         sent.front().proxyReply.error);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, proxies.TakenCount());
  }

private:
  static CallerRequest Request(TimePoint aNow)
  {
    CallerRequest request;
    request.id = "r-1";
    request.hostName = "example";
    request.key = routing::Key{ 65535 };
    request.message.target = "/keyed/a?b";
    request.message.headers = { { "Id", "r-1" }, { "X", "y" } };
    request.arrived = aNow - milliseconds(20);
    request.timeout = milliseconds(800);
    request.earlierRuns = 1;
    return request;
  }

  routing::ProxyNumber Pass()
  {
    const auto number = this->receiver->proxies->Pass(
      this->proxy->ref.host, Request(this->now), 3,
      this->now + milliseconds(500), [this](CallerResponse aResponse) {
        this->responses.push_back(std::move(aResponse));
      });
    return number.value();
  }

  routing::ProxyNumber PassAndTake()
  {
    const routing::ProxyNumber number = this->Pass();
    this->receiver->DeliverTo(*this->proxy);
    return number;
  }

  void RespondFromProxy(CallerResponse aResponse)
  {
    this->proxy->running.front().second(std::move(aResponse));
    this->proxy->DeliverTo(*this->receiver);
  }

  TimePoint now;
  std::unique_ptr<Host> receiver;
  std::unique_ptr<Host> proxy;
  std::vector<CallerResponse> responses;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RequestProxiesTest);

} // namespace kumquat::node
