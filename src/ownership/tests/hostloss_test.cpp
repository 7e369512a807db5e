// Tests which keys have an owner while many hosts are lost, and after.

#include "ownership/tests/assignmentsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::ownership::tests {

using std::chrono::minutes;
using std::chrono::seconds;

class HostLossTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HostLossTest);
  CPPUNIT_TEST(testLostOwnersKeysAreServedWithHalfOfTheHosts);
  CPPUNIT_TEST(testLostOwnersKeysAreServedOnceHostsAreBack);
  CPPUNIT_TEST(testLostOwnersKeysAreServedAfterMostHostsWereLostForGood);
  CPPUNIT_TEST(testLostOwnersKeysAreServedAfterAllHostsWereReplaced);
  CPPUNIT_TEST(testLostOwnersKeysAreServedAfterMostHostsStoppedAsPlanned);
  CPPUNIT_TEST(testReplacedAssignerThatRunsOnIsNotWaitedFor);
  CPPUNIT_TEST(testLeasesLastInAnOutageWhileLessThanHalfOfTheHostsRestart);
  CPPUNIT_TEST(testAssignerThatRestartsWasNotRunningBeside);
  CPPUNIT_TEST_SUITE_END();

public:
  void testLostOwnersKeysAreServedWithHalfOfTheHosts()
  {
    AssignmentSimulation simulation(12, 14);
    LoseHostsAndOwner(simulation, 6);
    ExpectAllKeysLeasedWithin(simulation, seconds(10));
  }

  void testLostOwnersKeysAreServedOnceHostsAreBack()
  {
    AssignmentSimulation simulation(12, 14);
    const auto lost = LoseHostsAndOwner(simulation, 3);
    simulation.RunFor(seconds(16));
    CPPUNIT_ASSERT(!simulation.AreAllKeysLeased());
    for (const std::string& name : lost) {
      simulation.StartHost(name);
    }
    ExpectAllKeysLeasedWithin(simulation, seconds(6));
  }

  // Guards against keys without an owner for ever.
  void testLostOwnersKeysAreServedAfterMostHostsWereLostForGood()
  {
    for (const auto& [left, time] :
         { std::pair(5, minutes(6)), std::pair(3, minutes(11)) }) {
      AssignmentSimulation simulation(12, 14);
      LoseHostsAndOwner(simulation, static_cast<std::size_t>(left));
      ExpectAllKeysLeasedWithin(simulation, time);
    }
  }

  // Guards against keys without an owner for ever.
  void testLostOwnersKeysAreServedAfterAllHostsWereReplaced()
  {
    AssignmentSimulation simulation(2, 4);
    LoseHostsAndOwner(simulation, 1);
    simulation.StartHost("n0");
    simulation.KillHost(simulation.Hosts().front());
    ExpectAllKeysLeasedWithin(simulation, minutes(33));
  }

  // Guards against waiting for hosts that have announced their end.
  void testLostOwnersKeysAreServedAfterMostHostsStoppedAsPlanned()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation, seconds(4));
    const std::string assigner = simulation.AssignerName();
    const std::string left = assigner == "h0" ? "h1" : "h0";
    for (const std::string& name : simulation.Hosts()) {
      if (name != left) {
        simulation.Leave(name);
      }
    }
    simulation.RunFor(milliseconds(300));
    for (const std::string& name : simulation.Hosts()) {
      if (name != left) {
        simulation.KillHost(name);
      }
    }
    simulation.Upstream("u1").alive = false;
    ExpectAllKeysLeasedWithin(simulation, seconds(25));
  }

  // Guards against keys without an owner while an assigner that counted only
  // itself runs on after its successor's claim.
  void testReplacedAssignerThatRunsOnIsNotWaitedFor()
  {
    AssignmentSimulation simulation(1, 4);
    Settle(simulation, seconds(4));
    simulation.cutFromPeers.insert("h0");
    simulation.StartHost("h1");
    simulation.rejectedByStore.insert("h0");
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AssignerName() == "h1"; }, milliseconds(6000)));
    simulation.cutFromPeers.clear();
    simulation.Upstream("u1").alive = false;
    ExpectAllKeysLeasedWithin(simulation, seconds(15));
  }

  void testLeasesLastInAnOutageWhileLessThanHalfOfTheHostsRestart()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation, seconds(4));
    const std::string assigner = simulation.AssignerName();
    simulation.storeUnavailable = true;
    int restarts = 5;
    for (const std::string& name : simulation.Hosts()) {
      if (name != assigner && restarts-- > 0) {
        simulation.KillHost(name);
        simulation.RunFor(seconds(1));
        simulation.StartHost(name);
        simulation.RunFor(seconds(4));
        CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
      }
    }
  }

  // Guards against waiting for an assigner whose host has started again.
  void testAssignerThatRestartsWasNotRunningBeside()
  {
    AssignmentSimulation simulation(3, 4);
    Settle(simulation, seconds(4));
    const std::string assigner = simulation.AssignerName();
    for (const std::string& name : simulation.Hosts()) {
      simulation.KillHost(name);
    }
    simulation.Upstream("u1").alive = false;
    simulation.StartHost(assigner);
    ExpectAllKeysLeasedWithin(simulation, seconds(15));
  }

private:
  // An owner of keys and hosts are lost together, the assigner among them.
  // Returns the hosts.
  static std::vector<std::string> LoseHostsAndOwner(
    AssignmentSimulation& aSimulation, std::size_t aLeft)
  {
    Settle(aSimulation, seconds(4));
    std::vector<std::string> lost{ aSimulation.AssignerName() };
    aSimulation.KillHost(lost.front());
    while (aSimulation.Hosts().size() > aLeft) {
      lost.push_back(aSimulation.Hosts().back());
      aSimulation.KillHost(lost.back());
    }
    aSimulation.Upstream("u1").alive = false;
    return lost;
  }

  static void ExpectAllKeysLeasedWithin(AssignmentSimulation& aSimulation,
                                        Duration aTime)
  {
    CPPUNIT_ASSERT(
      aSimulation.RunUntil([&] { return aSimulation.AreAllKeysLeased(); },
                           std::chrono::duration_cast<milliseconds>(aTime)));
    CPPUNIT_ASSERT_EQUAL(std::string(), aSimulation.Violation());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HostLossTest);

} // namespace kumquat::ownership::tests
