// Tests of how changes of the store's tables reach all hosts, and how many
// calls to the store this costs, for deployments of different sizes.

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
// The shortest time that operators of any deployment allow for a change to come
// into force, or for new requests to a leaving upstream to end.
constexpr milliseconds kMaxDelay{ 2000 };
// Enough hosts for several cells in each of five data centres.
constexpr int kHosts = 120;

} // namespace

class TableReplicationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableReplicationTest);
  CPPUNIT_TEST(testFirstStartCostsTwoCallsPerHost);
  CPPUNIT_TEST(testRestartAfterPowerLossCostsTwoCallsPerHost);
  CPPUNIT_TEST(testHostsKilledTogetherHaveTablesAtOnce);
  CPPUNIT_TEST(testSteadyCallRateIsIndependentOfHostCount);
  CPPUNIT_TEST(testOutageForAllHostsCostsFewCalls);
  CPPUNIT_TEST(testChangeReachesAllHostsQuickly);
  CPPUNIT_TEST(testChangeArrivesAfterAllFollowersFail);
  CPPUNIT_TEST(testChangeArrivesAfterTwoDataCentresFail);
  CPPUNIT_TEST(testChangeArrivesIfFollowersFailBeforeForwarding);
  CPPUNIT_TEST(testChangeArrivesIfStoreRejectsFollowers);
  CPPUNIT_TEST(testHostRejectedByStoreStarts);
  CPPUNIT_TEST(testHostOfSmallDeploymentFollowsStore);
  CPPUNIT_TEST_SUITE_END();

public:
  // 295 hosts made some 4,300 calls before there was anything to serve.
  void testFirstStartCostsTwoCallsPerHost()
  {
    ReplicationSimulation simulation(300);
    StartForFirstTime(simulation);
    CPPUNIT_ASSERT(simulation.StoreCalls() < 2 * 300 + 150);
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kHostTable));
  }

  // Each host needs one call for the first rows of the host table and one for
  // the large upstream table, which hubs would take long to send to all hosts.
  void testRestartAfterPowerLossCostsTwoCallsPerHost()
  {
    ReplicationSimulation simulation(300);
    StartForFirstTime(simulation);
    simulation.PowerOffAll();
    simulation.Advance(milliseconds(500));
    const int before = simulation.StoreCalls();
    simulation.StartAll(false);
    simulation.Advance(seconds(1));
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kOperators));
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
    simulation.Advance(seconds(4));
    CPPUNIT_ASSERT(simulation.StoreCalls() - before < 2 * 300 + 100);
  }

  // After all hosts were killed at once, half a second passed until the next
  // digest of a hub announced the version of the configuration.
  void testHostsKilledTogetherHaveTablesAtOnce()
  {
    ReplicationSimulation simulation(300);
    StartForFirstTime(simulation);
    simulation.PowerOffAll();
    simulation.Advance(milliseconds(500));
    simulation.StartAll(false, 10);
    simulation.Advance(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kOperators));
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
  }

  // With two followers in each cell, 295 hosts made 30 calls a second.
  void testSteadyCallRateIsIndependentOfHostCount()
  {
    std::vector<int> calls;
    for (const int hosts : { 30, 100, 300 }) {
      ReplicationSimulation simulation(hosts);
      StartForFirstTime(simulation);
      simulation.Advance(seconds(5));
      const int before = simulation.StoreCalls();
      for (int i = 0; i < 20; ++i) {
        simulation.Put(kUpstreams, "changed-" + std::to_string(i));
        simulation.Advance(seconds(3));
        CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
      }
      calls.push_back(simulation.StoreCalls() - before);
    }
    CPPUNIT_ASSERT(calls[0] < 200);
    CPPUNIT_ASSERT(std::abs(calls[2] - calls[0]) <= 12);
    CPPUNIT_ASSERT(std::abs(calls[1] - calls[0]) <= 12);
  }

  // Each host considered itself the first of its cell that might reach the
  // store and requested three tables: 295 hosts made 6,500 calls in eight
  // seconds.
  void testOutageForAllHostsCostsFewCalls()
  {
    ReplicationSimulation simulation(300);
    StartForFirstTime(simulation);
    const int before = simulation.StoreCalls();
    simulation.SetStoreRejectsAll(true);
    simulation.Advance(seconds(8));
    simulation.Put(kUpstreams, "leaves");
    simulation.SetStoreRejectsAll(false);
    simulation.Advance(kMaxDelay);
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
    CPPUNIT_ASSERT(simulation.StoreCalls() - before < 600);
  }

  // Without failures, forwarding has to reach all hosts within 300 ms.
  void testChangeReachesAllHostsQuickly()
  {
    ReplicationSimulation simulation(kHosts);
    StartForFirstTime(simulation);
    simulation.Put(kUpstreams, "leaves");
    simulation.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
  }

  // All followers lose power before a change, and their peers have not noticed.
  void testChangeArrivesAfterAllFollowersFail()
  {
    ReplicationSimulation simulation(kHosts);
    StartForFirstTime(simulation);
    for (const std::size_t follower : simulation.Followers()) {
      simulation.PowerOff(follower);
    }
    simulation.Put(kUpstreams, "leaves");
    simulation.Advance(kMaxDelay);
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
  }

  // All hosts of two data centres fail: among them are two of the three hubs,
  // and all hosts that would replace these.
  void testChangeArrivesAfterTwoDataCentresFail()
  {
    ReplicationSimulation simulation(kHosts);
    StartForFirstTime(simulation);
    for (std::size_t i = 0; i < simulation.Size(); ++i) {
      if (i % 5 < 2) {
        simulation.PowerOff(i);
      }
    }
    simulation.Put(kOperators, "config");
    simulation.Advance(kMaxDelay);
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kOperators));
  }

  // Followers get a change from the store and lose power before they forward
  // it.
  void testChangeArrivesIfFollowersFailBeforeForwarding()
  {
    ReplicationSimulation simulation(kHosts);
    StartForFirstTime(simulation);
    int receivedCount = 0;
    simulation.onStoreUpdate = [&](std::size_t aHost) {
      // Only the last follower forwards the change.
      if (++receivedCount < 3) {
        simulation.PowerOff(aHost);
      }
    };
    simulation.Put(kUpstreams, "leaves");
    simulation.Advance(kMaxDelay);
    CPPUNIT_ASSERT(receivedCount >= 3);
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
  }

  // The store rejects all followers and serves all other hosts.
  void testChangeArrivesIfStoreRejectsFollowers()
  {
    ReplicationSimulation simulation(kHosts);
    StartForFirstTime(simulation);
    for (const std::size_t follower : simulation.Followers()) {
      simulation.SetStoreRejects(follower, true);
    }
    simulation.Advance(seconds(5));
    simulation.Put(kUpstreams, "leaves");
    simulation.Advance(kMaxDelay);
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
  }

  // A host that the store rejects gets all tables from peers that connect to
  // it.
  void testHostRejectedByStoreStarts()
  {
    ReplicationSimulation simulation(kHosts);
    StartForFirstTime(simulation);
    constexpr std::size_t kHost = 77;
    simulation.PowerOff(kHost);
    simulation.Advance(seconds(2));
    simulation.SetStoreRejects(kHost, true);
    simulation.StartOne(kHost);
    simulation.Advance(milliseconds(2500));
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kOperators));
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
  }

  // Without cells there are no hubs to forward changes, so every host has to
  // follow the store.
  void testHostOfSmallDeploymentFollowsStore()
  {
    ReplicationSimulation simulation(12, 3);
    StartForFirstTime(simulation);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 12 }, simulation.Followers().size());
    simulation.Put(kUpstreams, "leaves");
    simulation.Advance(milliseconds(300));
    CPPUNIT_ASSERT_EQUAL(0, simulation.CountBehind(kUpstreams));
  }

private:
  // Starts all hosts for the first time while upstreams register.
  static void StartForFirstTime(ReplicationSimulation& aSimulation)
  {
    constexpr int kSteps = 30;
    constexpr int kEachStep = 24;
    aSimulation.StartAll(true);
    for (int i = 0; i < kSteps * kEachStep; ++i) {
      aSimulation.Put(kUpstreams, "upstream-" + std::to_string(i));
      if (i % kEachStep == 0) {
        aSimulation.Advance(milliseconds(100));
      }
    }
    aSimulation.Put(kOperators, "config", 4000);
    aSimulation.Advance(seconds(4));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableReplicationTest);

} // namespace kumquat::node
