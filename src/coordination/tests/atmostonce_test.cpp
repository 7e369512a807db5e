// The entry's side of requests with an idempotency key, in virtual time: what
// it answers where the key's owner cannot be asked.

#include "coordination/atmostonce.h"

#include "state/routingmap.h"
#include "state/rows.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <vector>

namespace kumquat::coordination {

using protocol::ErrorKind;
using protocol::Outcome;
using std::chrono::milliseconds;

namespace {

const state::HostRef kEntry{ { "entry" }, 1 };
const state::HostRef kOwner{ { "owner" }, 1 };
const state::ServiceName kService{ "archeb" };
constexpr milliseconds kStep{ 10 };
constexpr milliseconds kDeadline{ 1000 };

} // namespace

class AtMostOnceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AtMostOnceTest);
  CPPUNIT_TEST(testLostOwnersKeyIsNotSaidToBeNotRun);
  CPPUNIT_TEST(testHostThatIsNoOwnerDoesNotAnswerForTheKey);
  CPPUNIT_TEST(testOwnersRefusalIsNotRun);
  CPPUNIT_TEST(testSecondSendToAnOwnerThatIsBackIsAnswered);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    protocol::MapChange change;
    const state::Row row =
      state::ToRow(state::SliceRecord{ .service = { "archeb#owners" },
                                       .part = "all",
                                       .first = 0,
                                       .last = ~std::uint64_t{ 0 },
                                       .host = kOwner,
                                       .epoch = 1 });
    protocol::RowChange wire;
    wire.__set_partition(row.partition);
    wire.__set_name(row.name);
    wire.__set_version(row.version);
    wire.__set_body(row.body);
    change.rows.push_back(wire);
    this->map.OnMapChange(change);
  }

  // A booking's first attempt waits at a steward when its owner dies; the
  // repeat at another host was told "not run" while the first one ran.
  void testLostOwnersKeyIsNotSaidToBeNotRun()
  {
    this->isReachable = false;
    this->Run();
    this->PassUntilAnswered();
    CPPUNIT_ASSERT(protocol::ErrorInfoFor(this->answer->error).outcome !=
                   Outcome::kNotRun);
  }

  // The owner has moved: the host that was asked knows nothing of the key.
  void testHostThatIsNoOwnerDoesNotAnswerForTheKey()
  {
    this->reply.__set_error(static_cast<int>(ErrorKind::kNotSteward));
    this->reply.__set_keyUnknown(true);
    this->Run();
    this->PassUntilAnswered();
    CPPUNIT_ASSERT(protocol::ErrorInfoFor(this->answer->error).outcome !=
                   Outcome::kNotRun);
  }

  // What the owner itself refuses has not run, and may come back at once.
  void testOwnersRefusalIsNotRun()
  {
    this->reply.__set_error(static_cast<int>(ErrorKind::kQueueFull));
    this->Run();
    this->PassUntilAnswered();
    CPPUNIT_ASSERT(ErrorKind::kQueueFull == this->answer->error);
  }

  void testSecondSendToAnOwnerThatIsBackIsAnswered()
  {
    this->isReachable = false;
    this->Run();
    this->isReachable = true;
    this->PassUntilAnswered();
    CPPUNIT_ASSERT(ErrorKind::kNone == this->answer->error);
  }

private:
  void Run()
  {
    state::ServiceConfiguration service;
    service.name = kService;
    CallerRequest request;
    request.service = kService;
    request.idempotencyKey = "booking-1";
    request.deadline = this->now + kDeadline;
    this->once.Run(service, std::move(request), [this](RequestResult aResult) {
      this->answer = std::move(aResult);
    });
  }

  void PassUntilAnswered()
  {
    const TimePoint latest = this->now + 2 * kDeadline;
    while (!this->answer && this->now < latest) {
      this->DeliverReplies();
      this->now += kStep;
      this->calls.OnTimer();
      this->once.OnTimer();
    }
    CPPUNIT_ASSERT(this->answer);
  }

  void DeliverReplies()
  {
    const std::vector<std::int64_t> due = std::exchange(this->asked, {});
    for (const std::int64_t correlation : due) {
      protocol::Frame frame;
      frame.__set_correlation(correlation);
      frame.__set_reply(true);
      frame.__set_forwardReply(this->reply);
      this->calls.OnReply(std::move(frame));
    }
  }

  TimePoint now{ std::chrono::hours(1) };
  bool isReachable = true;
  protocol::ForwardReply reply;
  std::vector<std::int64_t> asked;
  std::optional<RequestResult> answer;
  const Clock clock = [this] { return this->now; };
  const RandomBelow random = [](std::uint64_t) { return std::uint64_t{ 0 }; };
  PeerCalls calls{ this->clock,
                   [this](const state::HostId&, const protocol::Frame& aFrame) {
                     if (this->isReachable) {
                       this->asked.push_back(aFrame.correlation);
                     }
                     return this->isReachable;
                   } };
  MapKeeper map{ { .now = this->clock,
                   .table = {},
                   .broadcast = [](const protocol::Frame&) {} } };
  RoomView rooms;
  Steward steward{ { .now = this->clock,
                     .send = [](const UpstreamCall&) {},
                     .cancel = [](RequestId) {},
                     .holdsLease = [] { return true; },
                     .mayRun = [](const state::UpstreamRef&,
                                  const std::string&) { return true; },
                     .sliceEpoch =
                       [](const state::ServiceName&, const std::string&) {
                         return state::Epoch{ 1 };
                       },
                     .answered = [](const state::UpstreamRef&,
                                    const transport::HttpResponse&) {},
                     .unanswered = [](const state::UpstreamRef&) {},
                     .name = "entry" } };
  Entry entry{ { .now = this->clock,
                 .random = this->random,
                 .self = kEntry,
                 .dataCentre = { "caerdydd" },
                 .readBody =
                   [](const state::HostId&, std::uint64_t) {
                     return transport::BodyReader();
                   },
                 .isLive = [](const state::HostRef&) { return true; },
                 .retried = [](ErrorKind) {},
                 .refreshMap = [] {} },
               this->map.Map(),
               this->rooms,
               this->steward,
               this->calls };
  AtMostOnce once{
    { .now = this->clock,
      .unixTime = [] { return milliseconds(0); },
      .random = this->random,
      .self = kEntry,
      .dataCentre = { "caerdydd" },
      .holdsLease = [] { return true; },
      .isDeposed = [](const state::HostRef&) { return false; },
      .liveHosts = [] { return std::vector<state::HostRecord>(); },
      .seenHosts = [] { return std::vector<state::HostRef>(); } },
    this->map,
    this->calls,
    this->entry
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(AtMostOnceTest);

} // namespace kumquat::coordination
