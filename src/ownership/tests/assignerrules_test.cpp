// Tests single rules of the assigner that decide which leases it renews, moves
// and releases. Each test fails if its rule is taken out.

#include "ownership/tests/assignmentsimulation.h"
#include "ownership/tests/manualassigner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <functional>
#include <string>

namespace kumquat::ownership::tests {

using std::chrono::seconds;

class AssignerRulesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AssignerRulesTest);
  CPPUNIT_TEST(testHostsOfAnUnansweredWriteCount);
  CPPUNIT_TEST(testClaimCheckCountsFromItsRequest);
  CPPUNIT_TEST(testWriteCountsFromItsRequest);
  CPPUNIT_TEST(testReadAfterAFailedWriteCountsFromItsRequest);
  CPPUNIT_TEST(testHostsOfPredecessorsCountForTheirSuccessor);
  CPPUNIT_TEST(testGrantThatWaitedForItsConnectionIsNotSent);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against renewing with too few hosts, after a write of more of them
  // that was stored and got no response.
  void testHostsOfAnUnansweredWriteCount()
  {
    ManualAssigner manual;
    manual.peers = { manual.PeerWithOwnMap("h1", 1),
                     manual.PeerWithOwnMap("h2", 1) };
    manual.Claim(1);
    for (const std::string name : { "h3", "h4", "h5", "h6" }) {
      manual.peers.push_back(OtherPeer(name));
    }
    manual.Run(milliseconds(1000));
    CPPUNIT_ASSERT(manual.pendingWrite);
    manual.Run(seconds(5));
    const int before = manual.grants;
    manual.Run(seconds(5));
    CPPUNIT_ASSERT_EQUAL(before, manual.grants);
    manual.peers[2] = manual.PeerWithOwnMap("h3", 1);
    manual.Run(milliseconds(200));
    CPPUNIT_ASSERT(manual.grants > before);
  }

  // Guards against renewing after a suspension, by a read of the claim that was
  // requested before it.
  void testClaimCheckCountsFromItsRequest()
  {
    ManualAssigner manual;
    ClaimWithoutFollowers(manual);
    manual.holdsReads = true;
    manual.Run(seconds(3));
    CPPUNIT_ASSERT(manual.pendingRead);
    ExpectNoGrantsAfterASuspension(manual, [&] { manual.AnswerRead(); });
  }

  // Guards against renewing after a suspension, by a write of the assignment
  // that was requested before it.
  void testWriteCountsFromItsRequest()
  {
    ManualAssigner manual;
    ClaimWithoutFollowers(manual);
    manual.mayOwn = { "u1" };
    manual.Run(milliseconds(500));
    CPPUNIT_ASSERT(manual.pendingWrite);
    manual.holdsReads = true;
    ExpectNoGrantsAfterASuspension(manual, [&] { manual.Confirm(2); });
  }

  // Guards against renewing after a suspension, by a read that a failed write
  // caused before it.
  void testReadAfterAFailedWriteCountsFromItsRequest()
  {
    ManualAssigner manual;
    ClaimWithoutFollowers(manual);
    manual.mayOwn = { "u1" };
    manual.Run(milliseconds(500));
    CPPUNIT_ASSERT(manual.pendingWrite);
    manual.holdsReads = true;
    manual.AnswerWrite(state::WriteOutcome::kUnknown, 0);
    CPPUNIT_ASSERT(manual.pendingRead);
    ExpectNoGrantsAfterASuspension(manual, [&] { manual.AnswerRead(); });
  }

  // Guards against waiting for an assigner that was cut off and has ended, as
  // it counted only itself when it claimed.
  void testHostsOfPredecessorsCountForTheirSuccessor()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation, seconds(4));
    const std::string old = simulation.AssignerName();
    const std::string cutOff = RestartHostCutOff(simulation);
    simulation.rejectedByStore.insert(old);
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AssignerName() == cutOff; }, milliseconds(6000)));
    simulation.KillHost(cutOff);
    simulation.KillHost(old);
    simulation.Upstream("u1").alive = false;
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllKeysLeased(); }, milliseconds(15'000)));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against a lease that outlasts the time counted for it, as its grant
  // waited for a connection.
  void testGrantThatWaitedForItsConnectionIsNotSent()
  {
    ManualAssigner manual;
    ClaimWithoutFollowers(manual);
    const LeaseCommand grant = manual.lastCommand;
    CPPUNIT_ASSERT(grant.kind == LeaseCommandKind::kGrant);
    CPPUNIT_ASSERT(grant.isStillValid({}));
    manual.now += milliseconds(200);
    CPPUNIT_ASSERT(!grant.isStillValid({}));
  }

private:
  // A peer that uses no map of the assigner.
  static PeerStatus OtherPeer(const std::string& aName)
  {
    PeerStatus peer;
    peer.host = { { aName }, 1 };
    return peer;
  }

  // Only the store can let the assigner renew leases.
  static void ClaimWithoutFollowers(ManualAssigner& aManual)
  {
    aManual.peers = { OtherPeer("h1"), OtherPeer("h2") };
    aManual.Claim(1);
    CPPUNIT_ASSERT(aManual.grants > 0);
  }

  // A response that was requested before a suspension must not count as one of
  // after it. The next read confirms the claim.
  static void ExpectNoGrantsAfterASuspension(
    ManualAssigner& aManual, const std::function<void()>& aRespond)
  {
    const int before = aManual.grants;
    aManual.now += seconds(10);
    aRespond();
    aManual.Run(milliseconds(100));
    CPPUNIT_ASSERT_EQUAL(before, aManual.grants);
    aManual.holdsReads = false;
    aManual.AnswerRead();
    aManual.Run(milliseconds(100));
    CPPUNIT_ASSERT(aManual.grants > before);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AssignerRulesTest);

} // namespace kumquat::ownership::tests
