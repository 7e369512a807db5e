// Whom a host asks for changes that its peers have, and when.

#include "node/internal/catchup.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace kumquat::node {

using std::chrono::milliseconds;

class CatchUpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatchUpTest);
  CPPUNIT_TEST(testFollowerWhoseCallIsSilentAsksAPeerBeforeTheStore);
  CPPUNIT_TEST(testHostThatTheStoreTurnsAwayAsksAPeerAtOnce);
  CPPUNIT_TEST(testLargeRowIsReadAtOnceWhereNobodyPassesItOn);
  CPPUNIT_TEST(testMissedSmallRowIsHadFromAPeerNotReadWithTheTable);
  CPPUNIT_TEST(testStormOfLargeRowsIsReadOneAtATime);
  CPPUNIT_TEST(testStormOfLargeRowsIsNotAskedOfPeersAsWell);
  CPPUNIT_TEST(testLargeRowThatArrivesIsNotAskedOfPeersAsWell);
  CPPUNIT_TEST(testSilentReadOfALargeRowGivesWayToAPeer);
  CPPUNIT_TEST(testPeerThatDoesNotAnswerGivesWayToAnother);
  CPPUNIT_TEST(testBehindCountsFromTheOldestChangeThatIsMissing);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->catchUp = CatchUp([this] { return this->now; });
    this->situation = {};
    this->situation.peersAhead = { { "h1" }, { "h2" } };
  }

  // A watch went silent, and an upstream in use had left over two seconds ago.
  void testFollowerWhoseCallIsSilentAsksAPeerBeforeTheStore()
  {
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(!this->Next().queryPeer);
    CPPUNIT_ASSERT(this->TimeUntilPeer() <= milliseconds(300));
    CPPUNIT_ASSERT(!this->Next().readStore);
    this->now += milliseconds(400);
    CPPUNIT_ASSERT(this->Next().readStore);
  }

  void testHostThatTheStoreTurnsAwayAsksAPeerAtOnce()
  {
    this->situation.isStoreAvailable = false;
    this->situation.isLarge = true;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->TimeUntilPeer() <= milliseconds(100));
    CPPUNIT_ASSERT(!this->Next().readStore);
  }

  // The host waited for news that nobody sends, and a configuration was late.
  void testLargeRowIsReadAtOnceWhereNobodyPassesItOn()
  {
    this->situation.isFollowing = false;
    this->situation.isLarge = true;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->Next().readStore);
  }

  void testMissedSmallRowIsHadFromAPeerNotReadWithTheTable()
  {
    this->situation.isFollowing = false;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->TimeUntilPeer() <= milliseconds(100));
    CPPUNIT_ASSERT(!this->Next().readStore);
    this->now += milliseconds(500);
    CPPUNIT_ASSERT(this->Next().readStore);
  }

  // Reads of a large row one upon another kept the requests off a small link.
  void testStormOfLargeRowsIsReadOneAtATime()
  {
    this->situation.isFollowing = false;
    this->situation.isLarge = true;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->Next().readStore);
    this->now += milliseconds(500);
    this->catchUp.OnAnnounced(8);
    CPPUNIT_ASSERT(!this->Next().readStore);
    this->catchUp.OnVersionReached(7);
    this->catchUp.OnStoreRead(milliseconds(500));
    CPPUNIT_ASSERT(!this->Next().readStore);
    this->now += milliseconds(250);
    CPPUNIT_ASSERT(this->Next().readStore);
  }

  // A host that always lacked the newest of many took itself for late.
  void testStormOfLargeRowsIsNotAskedOfPeersAsWell()
  {
    this->situation.isFollowing = false;
    this->situation.isLarge = true;
    for (state::Version version = 1; version < 20; ++version) {
      this->catchUp.OnAnnounced(version);
      static_cast<void>(this->Next());
      this->now += milliseconds(300);
      CPPUNIT_ASSERT(!this->Next().queryPeer);
      this->catchUp.OnVersionReached(version - 1);
      this->catchUp.OnStoreRead(milliseconds(300));
    }
  }

  // Two copies of it on a small link took twice as long as one.
  void testLargeRowThatArrivesIsNotAskedOfPeersAsWell()
  {
    for (const bool follows : { true, false }) {
      this->setUp();
      this->situation.isLarge = true;
      this->situation.isFollowing = follows;
      this->catchUp.OnAnnounced(7);
      CPPUNIT_ASSERT_EQUAL(!follows, this->Next().readStore);
      for (int i = 0; i < 20; ++i) {
        this->now += milliseconds(100);
        this->situation.storeReceivedAt = this->now;
        const auto ask = this->Next();
        CPPUNIT_ASSERT(!ask.readStore && !ask.queryPeer);
      }
    }
  }

  // The store served all others and never answered this host.
  void testSilentReadOfALargeRowGivesWayToAPeer()
  {
    this->situation.isLarge = true;
    this->situation.isFollowing = false;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->Next().readStore);
    CPPUNIT_ASSERT(this->TimeUntilPeer() <= milliseconds(400));
  }

  void testPeerThatDoesNotAnswerGivesWayToAnother()
  {
    this->catchUp.OnAnnounced(7);
    this->TimeUntilPeer();
    const auto second = this->TimeUntilPeer();
    CPPUNIT_ASSERT(second <= milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("h2"), this->asked);
  }

  void testBehindCountsFromTheOldestChangeThatIsMissing()
  {
    this->catchUp.OnAnnounced(7);
    this->now += milliseconds(200);
    this->catchUp.OnAnnounced(9);
    this->now += milliseconds(100);
    CPPUNIT_ASSERT(!this->catchUp.OnVersionReached(6));
    CPPUNIT_ASSERT(this->catchUp.OnVersionReached(8) == milliseconds(300));
    CPPUNIT_ASSERT(this->catchUp.IsBehind());
    CPPUNIT_ASSERT(this->catchUp.OnVersionReached(9) == milliseconds(100));
    CPPUNIT_ASSERT(!this->catchUp.IsBehind());
  }

private:
  CatchUp::Requests Next()
  {
    return this->catchUp.TakeRequests(this->situation);
  }

  // Looks each tick, as the host does.
  Duration TimeUntilPeer()
  {
    const TimePoint begin = this->now;
    while (this->now - begin < std::chrono::seconds(5)) {
      if (const auto peer = this->Next().queryPeer) {
        this->asked = peer->value;
        break;
      }
      this->now += milliseconds(100);
    }
    return this->now - begin;
  }

  TimePoint now;
  CatchUp catchUp{ [this] { return this->now; } };
  CatchUp::Situation situation;
  std::string asked;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatchUpTest);

} // namespace kumquat::node
