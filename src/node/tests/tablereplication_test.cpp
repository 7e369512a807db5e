// How changes of the store's tables get round, and what that costs in calls to
// the store, at the sizes that the deployments have.

#include "node/tests/replicationsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <vector>

namespace kumquat::node {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::string kOperators(platform::kOperatorTable);
const std::string kUpstreams(platform::kUpstreamTable);
// The shortest time that operators of any deployment grant for a change to be
// in force, or for new work to a leaving upstream to end.
constexpr milliseconds kGranted{ 2000 };
// As many cells of five data centres as failures need.
constexpr int kHosts = 120;

} // namespace

class TableSpreadTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableSpreadTest);
  CPPUNIT_TEST(testFirstStartOfManyCostsTwoCallsAHost);
  CPPUNIT_TEST(testStartAfterALossOfAllPowerCostsTwoCallsAHost);
  CPPUNIT_TEST(testHostsThatWereKilledAtOnceServeAtOnce);
  CPPUNIT_TEST(testCallsOfACalmMinuteDoNotGrowWithTheHosts);
  CPPUNIT_TEST(testOutageForAllCostsFewCalls);
  CPPUNIT_TEST(testChangeReachesAllAtOnce);
  CPPUNIT_TEST(testAllReadersDieAsAChangeComes);
  CPPUNIT_TEST(testAllHostsOfTwoDataCentresDieAsAChangeComes);
  CPPUNIT_TEST(testReaderHearsOfAChangeAndStopsBeforeItTells);
  CPPUNIT_TEST(testStoreTurnsTheReadersAway);
  CPPUNIT_TEST(testHostThatTheStoreTurnsAwayStarts);
  CPPUNIT_TEST(testHostOfFewFollowsTheStoreItself);
  CPPUNIT_TEST_SUITE_END();

public:
  // Some 4,300 calls of 295 hosts before there was anything to serve.
  void testFirstStartOfManyCostsTwoCallsAHost()
  {
    ReplicationSimulation world(300);
    StartFirst(world);
    CPPUNIT_ASSERT(world.StoreCalls() < 2 * 300 + 150);
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kHostTable));
  }

  // The first rows of hosts, and the large table, which hubs would take long to
  // give to all.
  void testStartAfterALossOfAllPowerCostsTwoCallsAHost()
  {
    ReplicationSimulation world(300);
    StartFirst(world);
    world.PowerOffAll();
    world.Advance(milliseconds(500));
    const int before = world.StoreCalls();
    world.StartAll(false);
    world.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kOperators));
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
    world.Advance(seconds(4));
    CPPUNIT_ASSERT(world.StoreCalls() - before < 2 * 300 + 100);
  }

  // Half a second passed until a hub's next digest had named the configuration.
  void testHostsThatWereKilledAtOnceServeAtOnce()
  {
    ReplicationSimulation world(300);
    StartFirst(world);
    world.PowerOffAll();
    world.Advance(milliseconds(500));
    world.StartAll(false, 10);
    world.Advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kOperators));
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
  }

  // Two readers a cell made 30 calls a second of 295 hosts.
  void testCallsOfACalmMinuteDoNotGrowWithTheHosts()
  {
    std::vector<int> calls;
    for (const int hosts : { 30, 100, 300 }) {
      ReplicationSimulation world(hosts);
      StartFirst(world);
      world.Advance(seconds(5));
      const int before = world.StoreCalls();
      for (int i = 0; i < 20; ++i) {
        world.Put(kUpstreams, "changed-" + std::to_string(i));
        world.Advance(seconds(3));
        CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
      }
      calls.push_back(world.StoreCalls() - before);
    }
    CPPUNIT_ASSERT(calls[0] < 200);
    CPPUNIT_ASSERT(std::abs(calls[2] - calls[0]) <= 12);
    CPPUNIT_ASSERT(std::abs(calls[1] - calls[0]) <= 12);
  }

  // Each host took itself for the first of its cell that might reach the store,
  // and asked for three tables: 6,500 calls of 295 hosts in eight seconds.
  void testOutageForAllCostsFewCalls()
  {
    ReplicationSimulation world(300);
    StartFirst(world);
    const int before = world.StoreCalls();
    world.SetStoreRejectsAll(true);
    world.Advance(seconds(8));
    world.Put(kUpstreams, "leaves");
    world.SetStoreRejectsAll(false);
    world.Advance(kGranted);
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
    CPPUNIT_ASSERT(world.StoreCalls() - before < 600);
  }

  void testChangeReachesAllAtOnce()
  {
    ReplicationSimulation world(kHosts);
    StartFirst(world);
    world.Put(kUpstreams, "leaves");
    world.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
  }

  void testAllReadersDieAsAChangeComes()
  {
    ReplicationSimulation world(kHosts);
    StartFirst(world);
    for (const std::size_t follower : world.Followers()) {
      world.PowerOff(follower);
    }
    world.Put(kUpstreams, "leaves");
    world.Advance(kGranted);
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
  }

  // With them two of the three hubs, and all that would stand in for them.
  void testAllHostsOfTwoDataCentresDieAsAChangeComes()
  {
    ReplicationSimulation world(kHosts);
    StartFirst(world);
    for (std::size_t i = 0; i < world.Size(); ++i) {
      if (i % 5 < 2) {
        world.PowerOff(i);
      }
    }
    world.Put(kOperators, "config");
    world.Advance(kGranted);
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kOperators));
  }

  void testReaderHearsOfAChangeAndStopsBeforeItTells()
  {
    ReplicationSimulation world(kHosts);
    StartFirst(world);
    int heard = 0;
    world.onStoreUpdate = [&](std::size_t aHost) {
      // The last reader alone tells.
      if (++heard < 3) {
        world.PowerOff(aHost);
      }
    };
    world.Put(kUpstreams, "leaves");
    world.Advance(kGranted);
    CPPUNIT_ASSERT(heard >= 3);
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
  }

  // It serves all others.
  void testStoreTurnsTheReadersAway()
  {
    ReplicationSimulation world(kHosts);
    StartFirst(world);
    for (const std::size_t follower : world.Followers()) {
      world.SetStoreRejects(follower, true);
    }
    world.Advance(seconds(5));
    world.Put(kUpstreams, "leaves");
    world.Advance(kGranted);
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
  }

  // It has all tables from peers that dial it.
  void testHostThatTheStoreTurnsAwayStarts()
  {
    ReplicationSimulation world(kHosts);
    StartFirst(world);
    constexpr std::size_t kHost = 77;
    world.PowerOff(kHost);
    world.Advance(seconds(2));
    world.SetStoreRejects(kHost, true);
    world.StartOne(kHost);
    world.Advance(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kOperators));
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
  }

  void testHostOfFewFollowsTheStoreItself()
  {
    ReplicationSimulation world(12, 3);
    StartFirst(world);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 12 }, world.Followers().size());
    world.Put(kUpstreams, "leaves");
    world.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, world.CountBehind(kUpstreams));
  }

private:
  // Upstreams enter themselves meanwhile.
  static void StartFirst(ReplicationSimulation& aWorld)
  {
    constexpr int kSteps = 30;
    constexpr int kEachStep = 24;
    aWorld.StartAll(true);
    for (int i = 0; i < kSteps * kEachStep; ++i) {
      aWorld.Put(kUpstreams, "upstream-" + std::to_string(i));
      if (i % kEachStep == 0) {
        aWorld.Advance(milliseconds(100));
      }
    }
    aWorld.Put(kOperators, "config", 4000);
    aWorld.Advance(seconds(4));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableSpreadTest);

} // namespace kumquat::node
