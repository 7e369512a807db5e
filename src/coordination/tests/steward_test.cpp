// Slots, queues and ramps of a steward's upstreams, with a clock held in hand.

#include "coordination/steward.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <string>
#include <vector>

namespace kumquat::coordination {

using protocol::ErrorKind;
using std::chrono::milliseconds;

namespace {

const state::UpstreamRef kUpstream{ { "pecyn" }, { "pecyn-1" } };
constexpr milliseconds kServiceTime{ 10 };

} // namespace

class StewardTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StewardTest);
  CPPUNIT_TEST(testColdUpstreamGetsOneRequestAtATime);
  CPPUNIT_TEST(testNewIncarnationStartsTheRampAgain);
  CPPUNIT_TEST(testHealthReportOfANewProcessStartsTheRampAgain);
  CPPUNIT_TEST(testUnansweredWorkIsTold);
  CPPUNIT_TEST(testNothingIsSentWithoutTheLease);
  CPPUNIT_TEST(testQueueIsRefusedWhenTheLeaseIsLost);
  CPPUNIT_TEST(testWhatWouldBeLateIsRefusedAtOnce);
  CPPUNIT_TEST(testPredecessorsWorkHoldsSlots);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    state::ServiceConfiguration service;
    service.name = kUpstream.service;
    service.slots = 3;
    this->steward.Take({ .ref = kUpstream, .epoch = 1 }, service);
    this->steward.SetOpen(kUpstream, true);
  }

  // A data centre's upstreams come back cold under full load. Given three
  // requests at once they fall over, come back cold, and fall over again.
  void testColdUpstreamGetsOneRequestAtATime()
  {
    this->Submit(4);
    for (int round = 0; round < 4; ++round) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->sent.size());
      this->AnswerFirst("cold", "1");
    }
  }

  // An upstream restarts without a warning: its next answer bears another
  // incarnation. With the old slots it would be given three requests while
  // cold.
  void testNewIncarnationStartsTheRampAgain()
  {
    this->WarmUp();
    CPPUNIT_ASSERT_EQUAL(3, this->steward.CountOf(kUpstream).allowed);
    this->Submit(1);
    this->AnswerFirst("cold", "2");
    CPPUNIT_ASSERT_EQUAL(1, this->steward.CountOf(kUpstream).allowed);
  }

  // An upstream restarts while nothing runs there. Its health report shows the
  // new process before any answer does; the next requests come one at a time,
  // where three at once made it fall over, cold as it is.
  void testHealthReportOfANewProcessStartsTheRampAgain()
  {
    this->WarmUp();
    this->steward.OnIncarnation(kUpstream, 1);
    CPPUNIT_ASSERT_EQUAL(3, this->steward.CountOf(kUpstream).allowed);
    this->steward.OnIncarnation(kUpstream, 2);
    this->Submit(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->sent.size());
  }

  // A connection breaks in the middle of a request. The upstream may have
  // restarted, and its health is asked for at once.
  void testUnansweredWorkIsTold()
  {
    this->Submit(1);
    this->steward.OnAnswer(this->sent.front().id,
                           make_error_code(transport::TransportError::kBroken));
    CPPUNIT_ASSERT_EQUAL(1, this->unanswered);
  }

  // A host is paused past its lease and wakes in the middle of its work: its
  // upstreams belong to another by now, and what it sends would run beside.
  void testNothingIsSentWithoutTheLease()
  {
    this->Submit(2);
    this->leased = false;
    this->AnswerFirst("warm", "1");
    CPPUNIT_ASSERT(this->sent.empty());
  }

  // A host is cut off: its callers would otherwise wait for their deadline to
  // learn what the host knows at once.
  void testQueueIsRefusedWhenTheLeaseIsLost()
  {
    this->Submit(2);
    this->leased = false;
    this->steward.OnTimer();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->results.size());
    CPPUNIT_ASSERT(this->results.back() == ErrorKind::kNoLease);
  }

  // More comes than the upstream can do: a request whose turn is after its
  // deadline is told so now, while its caller can still ask elsewhere.
  void testWhatWouldBeLateIsRefusedAtOnce()
  {
    this->WarmUp();
    this->deadline = milliseconds(20);
    this->Submit(20);
    CPPUNIT_ASSERT(!this->results.empty());
    CPPUNIT_ASSERT(this->results.back() == ErrorKind::kQueueFull);
  }

  // An upstream changes its steward while requests run: the new one, counting
  // only its own, would send more than the upstream has slots.
  void testPredecessorsWorkHoldsSlots()
  {
    this->steward.SetForeign(kUpstream, 2, 3);
    this->Submit(3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->sent.size());
    this->steward.SetForeign(kUpstream, 0, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, this->sent.size());
  }

private:
  void Submit(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      Work work;
      work.id = ++this->lastId;
      work.request.service = kUpstream.service;
      work.request.deadline = this->now + this->deadline;
      work.done = [this](const RequestResult& aResult) {
        this->results.push_back(aResult.error);
      };
      this->steward.Submit(kUpstream, std::move(work));
    }
  }

  void AnswerFirst(const std::string& aState, const std::string& aIncarnation)
  {
    const RequestId id = this->sent.front().id;
    this->sent.erase(this->sent.begin());
    this->now += kServiceTime;
    transport::HttpResponse response;
    response.headers = { { "Kumquat-State", aState },
                         { "Kumquat-Incarnation", aIncarnation } };
    this->steward.OnAnswer(id, std::move(response));
  }

  void WarmUp()
  {
    constexpr int kAnswers = 8;
    for (int i = 0; i < kAnswers; ++i) {
      this->Submit(1);
      this->AnswerFirst("warm", "1");
    }
    this->results.clear();
  }

  TimePoint now{ std::chrono::hours(1) };
  bool leased = true;
  int unanswered = 0;
  milliseconds deadline{ 2000 };
  RequestId lastId = 0;
  std::vector<UpstreamCall> sent;
  std::vector<ErrorKind> results;
  Steward steward{
    { .now = [this] { return this->now; },
      .send =
        [this](UpstreamCall aCall) { this->sent.push_back(std::move(aCall)); },
      .cancel = [](RequestId) {},
      .holdsLease = [this] { return this->leased; },
      .mayRun = [](const state::UpstreamRef&,
                   const std::string&) { return true; },
      .sliceEpoch = [](const state::ServiceName&,
                       const std::string&) { return state::Epoch{ 1 }; },
      .answered = [](const state::UpstreamRef&,
                     const transport::HttpResponse&) {},
      .unanswered = [this](const state::UpstreamRef&) { ++this->unanswered; },
      .name = "host-1" }
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(StewardTest);

} // namespace kumquat::coordination
