// Tests of when a host that is behind requests changes, and from whom.

#include "node/internal/catchup.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace kumquat::node {

using std::chrono::milliseconds;

class CatchUpTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CatchUpTest);
  CPPUNIT_TEST(testFollowerWithSilentWatchQueriesPeerBeforeStore);
  CPPUNIT_TEST(testHostRejectedByStoreQueriesPeerAtOnce);
  CPPUNIT_TEST(testNonFollowerReadsLargeRowAtOnce);
  CPPUNIT_TEST(testMissedSmallRowIsQueriedBeforeFullRead);
  CPPUNIT_TEST(testRapidLargeUpdatesAreReadOneAtATime);
  CPPUNIT_TEST(testRapidLargeUpdatesAreNotQueriedFromPeers);
  CPPUNIT_TEST(testArrivingLargeRowIsNotQueriedFromPeers);
  CPPUNIT_TEST(testStalledLargeReadFallsBackToPeer);
  CPPUNIT_TEST(testUnansweredQueryGoesToNextPeer);
  CPPUNIT_TEST(testTimeBehindCountsFromOldestMissingChange);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->catchUp = CatchUp([this] { return this->now; });
    this->situation = {};
    this->situation.peersAhead = { { "h1" }, { "h2" } };
  }

  // A follower's watch call failed silently, so that the host still used an
  // upstream that had left more than two seconds before. It has to query a
  // peer, and read the store only after that.
  void testFollowerWithSilentWatchQueriesPeerBeforeStore()
  {
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(!this->TakeRequests().queryPeer);
    CPPUNIT_ASSERT(this->TimeUntilPeerQuery() <= milliseconds(300));
    CPPUNIT_ASSERT(!this->TakeRequests().readStore);
    this->now += milliseconds(400);
    CPPUNIT_ASSERT(this->TakeRequests().readStore);
  }

  // A host that the store rejects can't read from it, so it must not wait for
  // the store before it queries a peer, not even for a large row.
  void testHostRejectedByStoreQueriesPeerAtOnce()
  {
    this->situation.isStoreAvailable = false;
    this->situation.hasLargeRow = true;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->TimeUntilPeerQuery() <= milliseconds(100));
    CPPUNIT_ASSERT(!this->TakeRequests().readStore);
  }

  // Large rows are not forwarded. A host that doesn't follow the table waited
  // for an update that nobody sent, and its configuration was late.
  void testNonFollowerReadsLargeRowAtOnce()
  {
    this->situation.isFollowing = false;
    this->situation.hasLargeRow = true;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->TakeRequests().readStore);
  }

  // A missed small row costs fewer bytes from a peer than a full read, which is
  // used only if the peers don't help in time.
  void testMissedSmallRowIsQueriedBeforeFullRead()
  {
    this->situation.isFollowing = false;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->TimeUntilPeerQuery() <= milliseconds(100));
    CPPUNIT_ASSERT(!this->TakeRequests().readStore);
    this->now += milliseconds(500);
    CPPUNIT_ASSERT(this->TakeRequests().readStore);
  }

  // Consecutive reads of a large row kept requests off a slow link. The next
  // read has to wait for the end of the last one and for a pause.
  void testRapidLargeUpdatesAreReadOneAtATime()
  {
    this->situation.isFollowing = false;
    this->situation.hasLargeRow = true;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->TakeRequests().readStore);
    this->now += milliseconds(500);
    this->catchUp.OnAnnounced(8);
    CPPUNIT_ASSERT(!this->TakeRequests().readStore);
    this->catchUp.OnVersionReached(7);
    this->catchUp.OnStoreRead(milliseconds(500));
    CPPUNIT_ASSERT(!this->TakeRequests().readStore);
    this->now += milliseconds(250);
    CPPUNIT_ASSERT(this->TakeRequests().readStore);
  }

  // A host that reads each of many large changes in turn always lacks the
  // newest. It took itself for late and queried peers as well.
  void testRapidLargeUpdatesAreNotQueriedFromPeers()
  {
    this->situation.isFollowing = false;
    this->situation.hasLargeRow = true;
    for (state::Version version = 1; version < 20; ++version) {
      this->catchUp.OnAnnounced(version);
      static_cast<void>(this->TakeRequests());
      this->now += milliseconds(300);
      CPPUNIT_ASSERT(!this->TakeRequests().queryPeer);
      this->catchUp.OnVersionReached(version - 1);
      this->catchUp.OnStoreRead(milliseconds(300));
    }
  }

  // A large row that arrived from the store was requested from a peer as well,
  // and two copies on a slow link took twice as long as one.
  void testArrivingLargeRowIsNotQueriedFromPeers()
  {
    for (const bool isFollowing : { true, false }) {
      this->setUp();
      this->situation.hasLargeRow = true;
      this->situation.isFollowing = isFollowing;
      this->catchUp.OnAnnounced(7);
      CPPUNIT_ASSERT_EQUAL(!isFollowing, this->TakeRequests().readStore);
      for (int i = 0; i < 20; ++i) {
        this->now += milliseconds(100);
        this->situation.storeReceivedAt = this->now;
        const auto requests = this->TakeRequests();
        CPPUNIT_ASSERT(!requests.readStore && !requests.queryPeer);
      }
    }
  }

  // The store responded to all other hosts but never to this one.
  void testStalledLargeReadFallsBackToPeer()
  {
    this->situation.hasLargeRow = true;
    this->situation.isFollowing = false;
    this->catchUp.OnAnnounced(7);
    CPPUNIT_ASSERT(this->TakeRequests().readStore);
    CPPUNIT_ASSERT(this->TimeUntilPeerQuery() <= milliseconds(400));
  }

  // A peer that doesn't respond must not keep the host from the changes.
  void testUnansweredQueryGoesToNextPeer()
  {
    this->catchUp.OnAnnounced(7);
    this->TimeUntilPeerQuery();
    const auto second = this->TimeUntilPeerQuery();
    CPPUNIT_ASSERT(second <= milliseconds(500));
    CPPUNIT_ASSERT_EQUAL(std::string("h2"), this->queriedPeer);
  }

  // Newer announcements must not reset the time since the oldest missing
  // change.
  void testTimeBehindCountsFromOldestMissingChange()
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
  CatchUp::Requests TakeRequests()
  {
    return this->catchUp.TakeRequests(this->situation);
  }

  // Requests changes at every tick, as the host does, until a peer is queried.
  Duration TimeUntilPeerQuery()
  {
    const TimePoint begin = this->now;
    while (this->now - begin < std::chrono::seconds(5)) {
      if (const auto peer = this->TakeRequests().queryPeer) {
        this->queriedPeer = peer->value;
        break;
      }
      this->now += milliseconds(100);
    }
    return this->now - begin;
  }

  TimePoint now;
  CatchUp catchUp{ [this] { return this->now; } };
  CatchUp::Situation situation;
  std::string queriedPeer;
};

CPPUNIT_TEST_SUITE_REGISTRATION(CatchUpTest);

} // namespace kumquat::node
