// A test of the assigner that is listed in KNOWN-RED.txt.

#include "ownership/tests/assignmentsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace kumquat::ownership::tests {

class StartedHostTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StartedHostTest);
  CPPUNIT_TEST(testHostStartedBehindALongPartition);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two assigners at once after a host has started behind a
  // partition that lasts for over a minute, and takes itself for all hosts.
  void testHostStartedBehindALongPartition()
  {
    AssignmentSimulation simulation(5, 4);
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return !simulation.AssignerName().empty(); }, milliseconds(8000)));
    simulation.RunFor(milliseconds(2000));
    const std::string old = simulation.AssignerName();
    const std::string successor = old == "h0" ? "h1" : "h0";
    simulation.KillHost(successor);
    simulation.cutFromPeers.insert(successor);
    simulation.StartHost(successor);
    simulation.rejectedByStore.insert(old);
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AssignerName() == successor; },
      milliseconds(6000)));
    simulation.RunFor(std::chrono::seconds(60));
    FakeUpstream& leaving = simulation.Upstream("u1");
    leaving.mayOwn = false;
    const int before = leaving.releases;
    simulation.RunUntil([&] { return leaving.releases > before; },
                        milliseconds(5000));
    simulation.RestartUnlisted("u1");
    simulation.RunFor(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StartedHostTest);

} // namespace kumquat::ownership::tests
