// Tests which upstreams hold leases on which keys while assigners, upstreams
// and the store fail.

#include "ownership/tests/assignmentsimulation.h"
#include "ownership/tests/manualassigner.h"
#include "ownership/tests/randomfaults.h"

#include <cppunit/extensions/HelperMacros.h>

namespace kumquat::ownership::tests {

class AssignerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AssignerTest);
  CPPUNIT_TEST(testAllKeysLeasedSoonAfterStart);
  CPPUNIT_TEST(testOnlyOneHostClaimsAtStart);
  CPPUNIT_TEST(testLeavingUpstreamReleasesItsKeys);
  CPPUNIT_TEST(testUnresponsiveUpstreamKeepsKeysUntilLeaseExpires);
  CPPUNIT_TEST(testRestartedUpstreamNeedsNoLeaseExpiry);
  CPPUNIT_TEST(testLeasesOfAnUnnoticedRestartEndBeforeKeysMove);
  CPPUNIT_TEST(testReleasedUpstreamThatRestartsIsNotRenewedByAPredecessor);
  CPPUNIT_TEST(testReplacedAssignerDoesNotRenewOverNewConnections);
  CPPUNIT_TEST(testLeaseIsStillKnownWhenKeysReturnToTheirHolder);
  CPPUNIT_TEST(testStartedHostDoesNotTakeItselfForAllHosts);
  CPPUNIT_TEST(testHostStartedBehindALongPartition);
  CPPUNIT_TEST(testAssignerCutOffForLongDoesNotTakeItselfForAllHosts);
  CPPUNIT_TEST(testRestartedHostsDoNotKeepAReplacedAssigner);
  CPPUNIT_TEST(testJoinedRangeWaitsForThePreviousHoldersOfBothParts);
  CPPUNIT_TEST(testKilledAssignerCausesNoLeaseToExpire);
  CPPUNIT_TEST(testAssignerAndUpstreamLostTogether);
  CPPUNIT_TEST(testKeysOfReplacedUpstreamsAreServedAfterMostHostsAreLost);
  CPPUNIT_TEST(testStoreOutageCausesNoLeaseToExpire);
  CPPUNIT_TEST(testPlannedStopDuringStoreOutageKeepsLeases);
  CPPUNIT_TEST(testIsolatedAssignerStopsRenewing);
  CPPUNIT_TEST(testResumedAssignerChangesNothing);
  CPPUNIT_TEST(testResumedAssignerIgnoresStaleDigests);
  CPPUNIT_TEST(testClaimIsOldAfterAPause);
  CPPUNIT_TEST(testHostsWithTheMapOfAnEarlierClaimDoNotCount);
  CPPUNIT_TEST(testResponseToAWriteOfAnEarlierClaimIsIgnored);
  CPPUNIT_TEST(testGrantIsNotSentAfterAPause);
  CPPUNIT_TEST(testLateGrantIsRejectedByFencingToken);
  CPPUNIT_TEST(testLeaseCountsFromTheArrivalOfASlowGrant);
  CPPUNIT_TEST(testKeysThatALateReleaseTookAreGrantedAgain);
  CPPUNIT_TEST(testReleasedKeysMoveOnlyWhenTheirWorkHasEnded);
  CPPUNIT_TEST(testReleaseDoesNotOvertakeARenewal);
  CPPUNIT_TEST(testRenewalThatAMoveOvertakesCostsNoOtherKeys);
  CPPUNIT_TEST(testLostStoreResponses);
  CPPUNIT_TEST(testUnresponsiveUpstreamIsRetriedWithBackoff);
  CPPUNIT_TEST(testRandomFaultsNeverCauseTwoHolders);
  CPPUNIT_TEST_SUITE_END();

public:
  void testAllKeysLeasedSoonAfterStart()
  {
    AssignmentSimulation simulation(12, 14);
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllKeysLeased(); }, milliseconds(6000)));
    CPPUNIT_ASSERT(!simulation.AssignerName().empty());
  }

  // Hosts and upstreams start together, and another upstream appears every
  // 300 ms. The hosts wait until no more seem to appear. When that time ended
  // for all hosts at once, four of them claimed the keys one after the other
  // within 100 ms, before they had received digests from each other.
  void testOnlyOneHostClaimsAtStart()
  {
    AssignmentSimulation simulation(12, 2);
    simulation.digestInterval = milliseconds(300);
    for (int i = 2; i < 17; ++i) {
      simulation.AddUpstream("u" + std::to_string(i), 1);
      simulation.RunFor(milliseconds(300));
    }
    Settle(simulation);
    const auto claims =
      std::ranges::count_if(simulation.Log(), [](const std::string& aLine) {
        return aLine.find("assigner-won") != std::string::npos;
      });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 1 }, claims);
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // An operator removes an upstream. It is running, so it releases its keys and
  // others serve them within 900 ms, not only after its lease has expired.
  void testLeavingUpstreamReleasesItsKeys()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    simulation.Upstream("u1").mayOwn = false;
    const bool moved = simulation.RunUntil(
      [&] {
        return simulation.Upstream("u1").leases.empty() &&
               simulation.AreAllKeysLeased();
      },
      milliseconds(900));
    CPPUNIT_ASSERT(moved);
    CPPUNIT_ASSERT(simulation.Upstream("u1").releases > 0);
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // An upstream stops responding to lease commands while callers' requests
  // still reach it. It may serve its keys until its lease expires, so no other
  // upstream may get them before. After that the keys are served again.
  void testUnresponsiveUpstreamKeepsKeysUntilLeaseExpires()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    simulation.Upstream("u1").unresponsive = true;
    const bool back = simulation.RunUntil(
      [&] {
        return simulation.AreAllKeysLeased() &&
               !simulation.Upstream("u1").leases.empty() &&
               simulation.Upstream("u1").leases.front().expiresAt <=
                 simulation.Now();
      },
      milliseconds(7000));
    CPPUNIT_ASSERT(back);
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // An upstream crashes and restarts at once under the same name. The new
  // incarnation holds no leases, so its keys need not wait until the lease of
  // the old incarnation has expired.
  void testRestartedUpstreamNeedsNoLeaseExpiry()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    simulation.AddUpstream("u1", 2);
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllKeysLeased(); }, milliseconds(1000)));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against two holders after a restart that hosts learn of late: the
  // new incarnation holds the leases that were renewed meanwhile.
  void testLeasesOfAnUnnoticedRestartEndBeforeKeysMove()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    simulation.RestartUnlisted("u1");
    simulation.RunFor(milliseconds(1500));
    CPPUNIT_ASSERT(!simulation.Upstream("u1").leases.empty());
    simulation.Upstream("u1").cold = true;
    simulation.List("u1");
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllKeysLeased(); }, milliseconds(1000)));
    simulation.RunFor(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against two holders after an upstream has confirmed a release and
  // restarted: a predecessor that knows of neither renews the lease.
  void testReleasedUpstreamThatRestartsIsNotRenewedByAPredecessor()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    TakeOverUnnoticed(simulation);
    simulation.Upstream("u1").mayOwn = false;
    simulation.RunFor(milliseconds(1000));
    simulation.RestartUnlisted("u1");
    simulation.RunFor(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
    EndFaults(simulation);
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllKeysLeased(); }, milliseconds(15'000)));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against two holders after an upstream has confirmed a release and
  // restarted, while the claim of a replaced assigner still looks valid to it.
  void testReplacedAssignerDoesNotRenewOverNewConnections()
  {
    constexpr int kPhases = 20;
    for (int phase = 0; phase < kPhases; ++phase) {
      AssignmentSimulation simulation(5, 4);
      Settle(simulation);
      simulation.RunFor(kTick * phase);
      const std::string old = CutOffAssigner(simulation);
      FakeUpstream& leaving = simulation.Upstream("u1");
      leaving.mayOwn = false;
      CPPUNIT_ASSERT(simulation.RunUntil([&] { return leaving.releases > 0; },
                                         milliseconds(1500)));
      simulation.RestartUnlisted("u1");
      simulation.RunFor(milliseconds(4000));
      CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
    }
  }

  // Guards against forgetting a lease that a predecessor may renew when keys
  // return to its holder before it was released.
  void testLeaseIsStillKnownWhenKeysReturnToTheirHolder()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    TakeOverUnnoticed(simulation);
    const auto letOwn = [&simulation](bool aOthers, bool aFirst) {
      for (auto& [name, upstream] : simulation.Upstreams()) {
        upstream.mayOwn = name == "u1" ? aFirst : aOthers;
      }
    };
    simulation.Unlist("u1");
    simulation.RunFor(milliseconds(600));
    simulation.List("u1");
    letOwn(false, true);
    simulation.RunFor(milliseconds(600));
    letOwn(true, false);
    simulation.RunFor(milliseconds(1000));
    simulation.RestartUnlisted("u1");
    simulation.RunFor(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against two assigners at once after a host has started that no
  // digest reaches: it counted itself as more than half of the hosts.
  void testStartedHostDoesNotTakeItselfForAllHosts()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    RestartHostCutOff(simulation);
    TakeOverUnnoticed(simulation);
    ExpectReleasesAreFinal(simulation);
  }

  // Guards against two assigners at once after a host has started behind a
  // partition that lasts for over a minute, and takes itself for all hosts.
  void testHostStartedBehindALongPartition()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    const std::string old = simulation.AssignerName();
    const std::string successor = RestartHostCutOff(simulation);
    simulation.rejectedByStore.insert(old);
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AssignerName() == successor; },
      milliseconds(6000)));
    simulation.RunFor(std::chrono::seconds(60));
    ExpectReleasesAreFinal(simulation);
  }

  // Guards against two assigners at once after one has been cut off for over a
  // minute: it forgot the hosts that it no longer heard, and renewed leases
  // again.
  void testAssignerCutOffForLongDoesNotTakeItselfForAllHosts()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    const std::string old = simulation.AssignerName();
    simulation.rejectedByStore.insert(old);
    simulation.cutFromPeers.insert(old);
    simulation.RunFor(milliseconds(12'000));
    simulation.Upstream("u1").mayOwn = false;
    simulation.RunFor(milliseconds(40'000));
    simulation.RestartUnlisted("u1");
    simulation.Upstream("u1").mayOwn = false;
    simulation.RunFor(milliseconds(20'000));
    CPPUNIT_ASSERT(simulation.AssignerOf(old).IsAssigner());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against two assigners at once after hosts that used the successor's
  // map have restarted where only the replaced assigner reaches them.
  void testRestartedHostsDoNotKeepAReplacedAssigner()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    const std::string old = CutOffAssigner(simulation);
    const std::string successor = simulation.AssignerName();
    simulation.RunFor(milliseconds(6000));
    simulation.cutFromPeers = { successor };
    for (const std::string& name : simulation.Hosts()) {
      if (name != old && name != successor) {
        simulation.KillHost(name);
        simulation.StartHost(name);
      }
    }
    simulation.Upstream("u1").mayOwn = false;
    simulation.RunFor(milliseconds(1500));
    simulation.RestartUnlisted("u1");
    simulation.RunFor(milliseconds(4000));
    CPPUNIT_ASSERT(simulation.AssignerOf(old).IsAssigner());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against two holders after two ranges with one token, from two parts
  // of an earlier layout, become one range: the leases of the second were
  // forgotten.
  void testJoinedRangeWaitsForThePreviousHoldersOfBothParts()
  {
    constexpr Key kMiddle = kLastKey / 2 + 1;
    constexpr Key kOther = kMiddle + 10'000;
    const Holder first{ { "u0" }, 1 };
    const Holder previous{ { "u1" }, 1 };
    const Assignment lower{ 3, { { 0, kMiddle - 1, first, 2, { previous } } } };
    const Assignment upper{ 3,
                            { { kMiddle, kOther - 1, first, 2, { previous } },
                              { kOther, kLastKey, { { "u2" }, 1 }, 1, {} } } };
    AssignmentSimulation simulation(5, 4);
    simulation.SetEarlierAssignment(CutToPart({ lower, upper }, {}));
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return !simulation.AssignerName().empty(); }, milliseconds(5000)));
    // The lease that an earlier assigner renewed last.
    simulation.Upstream("u1").leases.push_back(
      { 0, kOther - 1, 1, simulation.Now() + milliseconds(6000) });
    // The upstream never gets the release of the second range.
    simulation.commandDelay = [](const LeaseCommand& aCommand) {
      if (aCommand.kind == LeaseCommandKind::kGrant) {
        return kTick;
      }
      return aCommand.first == kMiddle ? milliseconds(60'000) : kLinkDelay;
    };
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.Upstream("u1").releases > 0; },
      milliseconds(5500)));
    // Any change joins the ranges.
    simulation.Upstream("u2").mayOwn = false;
    simulation.AssignerOf(simulation.AssignerName()).OnMembershipChange();
    simulation.RunFor(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
  }

  // The assigner's host is killed. Another host takes over before any lease
  // expires and keeps the assignment that it finds, so no caller is affected.
  void testKilledAssignerCausesNoLeaseToExpire()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation);
    const std::string before = simulation.AssignerName();
    simulation.KillHost(before);
    for (int i = 0; i < 80; ++i) {
      simulation.RunFor(milliseconds(100));
      CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    }
    CPPUNIT_ASSERT(simulation.AssignerName() != before);
    CPPUNIT_ASSERT(!simulation.AssignerName().empty());
  }

  // A data centre with the assigner and an upstream in it loses power, and
  // neither returns. The successor does not know whether the lost assigner
  // still renews leases, but the other hosts report which map they use. Within
  // 9 s the keys are served again. Before, the successor waited for the longest
  // time that an assigner could continue alone, and the keys were not served
  // for 15 s.
  void testAssignerAndUpstreamLostTogether()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation);
    simulation.KillHost(simulation.AssignerName());
    simulation.Upstream("u3").unresponsive = true;
    simulation.Upstream("u3").mayOwn = false;
    simulation.RunFor(milliseconds(3200));
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllKeysLeased(); }, milliseconds(5800)));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against keys without an owner for as long as most hosts are lost,
  // after upstreams that other ones have replaced.
  void testKeysOfReplacedUpstreamsAreServedAfterMostHostsAreLost()
  {
    for (const bool staysListed : { true, false }) {
      AssignmentSimulation simulation(12, 14);
      Settle(simulation);
      KillMostHosts(simulation);
      simulation.ReplaceUpstream("u3", "u14");
      if (!staysListed) {
        simulation.RunFor(milliseconds(100));
        simulation.Unlist("u3");
      }
      simulation.RunFor(milliseconds(3900));
      CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
      CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
    }
  }

  // The store is unavailable to all hosts for half a minute. No host can claim
  // or change the assignment, and every upstream keeps its leases.
  void testStoreOutageCausesNoLeaseToExpire()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation);
    simulation.storeUnavailable = true;
    for (int i = 0; i < 300; ++i) {
      simulation.RunFor(milliseconds(100));
      CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    }
    simulation.storeUnavailable = false;
    simulation.RunFor(milliseconds(3000));
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
  }

  // The store is unavailable and hosts are restarted one after the other, among
  // them the assigner's. No other host can claim its keys. When the assigner
  // stopped renewing leases as soon as its planned stop began, lookups were
  // refused for four seconds.
  void testPlannedStopDuringStoreOutageKeepsLeases()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation);
    const std::string old = simulation.AssignerName();
    simulation.storeUnavailable = true;
    simulation.AssignerOf(old).Leave();
    for (int i = 0; i < 40; ++i) {
      simulation.RunFor(milliseconds(100));
      CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    }
    simulation.KillHost(old);
    simulation.RunFor(milliseconds(1000));
    simulation.storeUnavailable = false;
    for (int i = 0; i < 50; ++i) {
      simulation.RunFor(milliseconds(100));
      CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    }
    CPPUNIT_ASSERT(simulation.AssignerName() != old);
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // The assigner reaches upstreams, but neither the store nor any peer. Another
  // host takes over and may move keys away from an upstream that does not
  // respond to it. By then the old assigner must have stopped renewing that
  // upstream's lease.
  void testIsolatedAssignerStopsRenewing()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation);
    const std::string old = simulation.AssignerName();
    simulation.rejectedByStore.insert(old);
    simulation.cutFromPeers.insert(old);
    simulation.RunFor(milliseconds(12'000));
    CPPUNIT_ASSERT(simulation.AssignerName() != old);
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // The assigner is paused for some seconds, and its successor moves keys. When
  // it resumes, it does not know this yet. Its old lease commands must not move
  // a key back.
  void testResumedAssignerChangesNothing()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation);
    const std::string old = simulation.AssignerName();
    simulation.Pause(old);
    simulation.RunFor(milliseconds(2500));
    simulation.Upstream("u2").mayOwn = false;
    simulation.RunFor(milliseconds(2000));
    simulation.Upstream("u2").mayOwn = true;
    simulation.Resume(old);
    simulation.RunFor(milliseconds(5000));
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    CPPUNIT_ASSERT(!simulation.AssignerOf(old).IsAssigner());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // The assigner's host is paused for twelve seconds. Its successor cannot
  // reach one upstream, waits until its lease has expired and reassigns its
  // keys. Then the host resumes, and its connections are full of digests which
  // report that its peers use its map. When it took these as recent, it renewed
  // the lease, and the upstream, reachable again, served keys that others had
  // by then.
  void testResumedAssignerIgnoresStaleDigests()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation);
    const std::string old = simulation.AssignerName();
    // The peers' digests have been sent and have not arrived yet.
    simulation.RunFor(kTick - simulation.Now().time_since_epoch() % kTick +
                      milliseconds(1));
    simulation.Pause(old);
    // Pending lease commands end.
    simulation.RunFor(kTick);
    simulation.Upstream("u2").unresponsive = true;
    simulation.RunFor(milliseconds(12'000));
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    simulation.Upstream("u2").unresponsive = false;
    simulation.Resume(old);
    simulation.RunFor(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against taking a claim for confirmed when the response to its write
  // arrives: the host was suspended meanwhile, and others have claimed since.
  void testClaimIsOldAfterAPause()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation);
    const std::string first = simulation.AssignerName();
    simulation.KillHost(first);
    for (int i = 0; i < 5000 && simulation.Claimant() == first; ++i) {
      simulation.RunFor(milliseconds(1));
    }
    const std::string old = simulation.Claimant();
    CPPUNIT_ASSERT(old != first && !simulation.AssignerOf(old).IsAssigner());
    simulation.Pause(old);
    simulation.Upstream("u2").unresponsive = true;
    simulation.RunFor(milliseconds(12'000));
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    simulation.Upstream("u2").unresponsive = false;
    simulation.Resume(old);
    simulation.RunFor(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against two assigners at once after a host has claimed again: hosts
  // that use the map of its earlier claim may take that of its predecessor.
  void testHostsWithTheMapOfAnEarlierClaimDoNotCount()
  {
    ManualAssigner manual;
    manual.peers = { manual.PeerWithOwnMap("h1", 0),
                     manual.PeerWithOwnMap("h2", 0) };
    manual.Claim(1);
    manual.LoseClaim(3);
    manual.Claim(4);
    manual.peers = { manual.PeerWithOwnMap("h1", 1),
                     manual.PeerWithOwnMap("h2", 1) };
    manual.mayOwn = { "u1" };
    manual.Run(milliseconds(1000));
    CPPUNIT_ASSERT(manual.OwnsKeys("u0"));
    manual.peers = { manual.PeerWithOwnMap("h1", 4),
                     manual.PeerWithOwnMap("h2", 4) };
    manual.Run(milliseconds(1000));
    manual.Confirm(5);
    manual.Run(milliseconds(1000));
    CPPUNIT_ASSERT(!manual.OwnsKeys("u0"));
    CPPUNIT_ASSERT(manual.releases > 0);
  }

  // Guards against taking an assignment of an earlier claim for the present
  // one, and with it all predecessors for stopped.
  void testResponseToAWriteOfAnEarlierClaimIsIgnored()
  {
    ManualAssigner manual;
    manual.Claim(1);
    manual.holdsReads = true;
    while (!manual.pendingRead) {
      manual.Run(milliseconds(100));
    }
    manual.mayOwn = { "u1" };
    while (!manual.pendingWrite) {
      manual.Run(milliseconds(100));
    }
    const auto lateResponse = std::exchange(manual.pendingWrite, nullptr);
    manual.rows.claimVersion = manual.rows.assignmentVersion = 3;
    manual.rows.assigner = { { "h9" }, 1 };
    manual.holdsReads = false;
    manual.pendingRead(manual.rows);
    CPPUNIT_ASSERT(!manual.assigner->IsAssigner());
    manual.Claim(4);
    lateResponse(state::WriteOutcome::kWritten, 2);
    CPPUNIT_ASSERT_EQUAL(
      state::Version{ 4 },
      manual.assigner->CurrentMapVersion().assignmentVersion);
  }

  // Guards against renewing a lease that others count as expired, with a grant
  // that was decided on before the host was suspended and sent after that.
  void testGrantIsNotSentAfterAPause()
  {
    AssignmentSimulation simulation(12, 14);
    Settle(simulation);
    const std::string old = simulation.AssignerName();
    simulation.connectTime = kTick / 2;
    simulation.Upstream("u2").unresponsive = true;
    for (int i = 0; i < 100 && !simulation.IsConnecting(old, "u2"); ++i) {
      simulation.RunFor(milliseconds(10));
    }
    CPPUNIT_ASSERT(simulation.IsConnecting(old, "u2"));
    simulation.Pause(old);
    simulation.RunFor(milliseconds(12'000));
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    simulation.Upstream("u2").unresponsive = false;
    simulation.Resume(old);
    simulation.RunFor(milliseconds(3000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // An upstream does not respond to a grant and executes it five seconds later,
  // when its keys have moved to others. It has seen the release with a higher
  // fencing token by then, so it rejects the late grant.
  void testLateGrantIsRejectedByFencingToken()
  {
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    simulation.Upstream("u1").grantDelay = milliseconds(5000);
    simulation.RunFor(milliseconds(20'000));
    simulation.Upstream("u1").grantDelay = milliseconds(0);
    simulation.RunFor(milliseconds(8000));
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against counting a lease from the sending of its grant, if the grant
  // takes nearly as long as is allowed and the upstream then stops responding.
  void testLeaseCountsFromTheArrivalOfASlowGrant()
  {
    static constexpr milliseconds kSlow{ 290 };
    static constexpr milliseconds kLost{ 60'000 };
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    simulation.commandDelay = [](const LeaseCommand& aCommand) {
      if (aCommand.upstream.value != "u1") {
        return kLinkDelay;
      }
      return aCommand.kind == LeaseCommandKind::kGrant ? kSlow : kLost;
    };
    // It executes grants and does not respond.
    simulation.Upstream("u1").grantDelay = milliseconds(1);
    simulation.RunFor(milliseconds(8000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against losing keys for good after a release that got no response
  // and is executed when its upstream holds the keys again.
  void testKeysThatALateReleaseTookAreGrantedAgain()
  {
    static constexpr milliseconds kLate{ 6000 };
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    simulation.commandDelay = [](const LeaseCommand& aCommand) {
      return aCommand.kind == LeaseCommandKind::kRelease ? kLate : kLinkDelay;
    };
    simulation.Upstream("u1").mayOwn = false;
    simulation.RunFor(milliseconds(600));
    simulation.commandDelay = nullptr;
    for (auto& [name, upstream] : simulation.Upstreams()) {
      upstream.mayOwn = name == "u1";
    }
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllKeysLeased(); }, milliseconds(5000)));
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return !simulation.AreAllKeysLeased(); }, kLate));
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllKeysLeased(); }, milliseconds(1500)));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against granting keys on which requests still run at their previous
  // holder.
  void testReleasedKeysMoveOnlyWhenTheirWorkHasEnded()
  {
    for (const milliseconds workTime :
         { milliseconds(300), milliseconds(1500), milliseconds(10'000) }) {
      AssignmentSimulation simulation(5, 4);
      Settle(simulation);
      simulation.Upstream("u1").workTime = workTime;
      simulation.Upstream("u1").mayOwn = false;
      simulation.RunFor(milliseconds(6000));
      CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
      CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
    }
  }

  // Guards against two holders after a renewal that the release of its keys
  // overtakes, at an upstream that restarts between the two.
  void testReleaseDoesNotOvertakeARenewal()
  {
    constexpr milliseconds kGrantDelay{ 200 };
    AssignmentSimulation simulation(5, 4);
    Settle(simulation);
    TimePoint renewedAt;
    simulation.commandDelay = [&](const LeaseCommand& aCommand) {
      const bool isRenewal = aCommand.kind == LeaseCommandKind::kGrant &&
                             aCommand.upstream.value == "u1";
      renewedAt = isRenewal ? simulation.Now() : renewedAt;
      return isRenewal ? kGrantDelay : kLinkDelay;
    };
    CPPUNIT_ASSERT(simulation.RunUntil([&] { return renewedAt != TimePoint{}; },
                                       milliseconds(2000)));
    simulation.Upstream("u1").mayOwn = false;
    simulation.AssignerOf(simulation.AssignerName()).OnMembershipChange();
    simulation.RunUntil([&] { return simulation.Upstream("u1").releases > 0; },
                        kGrantDelay / 2);
    simulation.RestartUnlisted("u1");
    simulation.Upstream("u1").mayOwn = false;
    simulation.RunFor(milliseconds(4000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
  }

  // Guards against moving all keys of an upstream that rejects a renewal, if
  // some of the keys named in it have moved away meanwhile.
  void testRenewalThatAMoveOvertakesCostsNoOtherKeys()
  {
    AssignmentSimulation simulation(3, 4);
    Settle(simulation);
    simulation.commandDelay = [](const LeaseCommand& aCommand) {
      return aCommand.kind == LeaseCommandKind::kGrant ? milliseconds(200)
                                                       : kLinkDelay;
    };
    std::mt19937 random(1);
    for (int i = 0; i < 300; ++i) {
      RecordSkewedRequests(simulation, random, static_cast<Key>(i / 30 * 6000));
      simulation.RunFor(milliseconds(100));
      for (const auto& [name, upstream] : simulation.Upstreams()) {
        CPPUNIT_ASSERT_MESSAGE(name, !upstream.leases.empty());
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // A third of the writes are executed, at once or seconds later, and get no
  // response, while upstreams leave and return. The assigner must read back
  // what was written.
  void testLostStoreResponses()
  {
    AssignmentSimulation simulation(5, 6);
    Settle(simulation);
    simulation.lostResponsePercent = 35;
    for (int i = 0; i < 12; ++i) {
      FakeUpstream& upstream = simulation.Upstream("u" + std::to_string(i % 6));
      upstream.mayOwn = false;
      simulation.RunFor(milliseconds(2500));
      upstream.mayOwn = true;
    }
    simulation.lostResponsePercent = 0;
    simulation.RunFor(milliseconds(6000));
    CPPUNIT_ASSERT(simulation.AreAllKeysLeased());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // An upstream never responds again, but remains in the list of upstreams. It
  // is assigned keys again at growing intervals and only one range at a time,
  // as the keys of each attempt are not served until the lease has expired.
  void testUnresponsiveUpstreamIsRetriedWithBackoff()
  {
    AssignmentSimulation simulation(5, 6);
    Settle(simulation);
    simulation.Upstream("u1").unresponsive = true;
    simulation.RunFor(milliseconds(8000));
    int gapCount = 0;
    for (int i = 0; i < 300; ++i) {
      simulation.RunFor(milliseconds(100));
      gapCount += simulation.AreAllKeysLeased() ? 0 : 1;
    }
    CPPUNIT_ASSERT(gapCount < 130);
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Many faults together, for a minute with each of 40 seeds; see RandomFaults.
  // No two upstreams may ever hold a lease on one key, and within 25 s of the
  // last fault all keys must be leased again.
  void testRandomFaultsNeverCauseTwoHolders()
  {
    constexpr unsigned kSeeds = 40;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
      AssignmentSimulation simulation(7, 6, seed);
      Settle(simulation);
      RandomFaults faults(simulation, seed);
      faults.RunFor(std::chrono::seconds(60));
      faults.End();
      const bool allLeased = simulation.RunUntil(
        [&] { return simulation.AreAllKeysLeased(); }, milliseconds(25'000));
      const std::string name = "seed " + std::to_string(seed) + ": ";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(name, std::string(), simulation.Violation());
      CPPUNIT_ASSERT_MESSAGE(
        name +
          "some keys are left over without a holder 25 s after the last fault",
        allLeased);
    }
  }

private:
  // Nine of twelve hosts end at once, the assigner's among them.
  static void KillMostHosts(AssignmentSimulation& aSimulation)
  {
    constexpr std::size_t kLeft = 3;
    aSimulation.KillHost(aSimulation.AssignerName());
    while (aSimulation.Hosts().size() > kLeft) {
      aSimulation.KillHost(aSimulation.Hosts().back());
    }
  }

  // A host that no digest reaches claims the keys, and the assigner until then
  // goes on: it learns of nothing, as the store rejects it and the others use
  // its map.
  static void TakeOverUnnoticed(AssignmentSimulation& aSimulation)
  {
    const std::string old = aSimulation.AssignerName();
    const std::string successor = old == "h0" ? "h1" : "h0";
    aSimulation.rejectedByStore.insert(old);
    aSimulation.cutFromPeers.insert(successor);
    CPPUNIT_ASSERT(aSimulation.RunUntil(
      [&] { return aSimulation.AssignerName() == successor; },
      milliseconds(6000)));
    CPPUNIT_ASSERT(aSimulation.AssignerOf(old).IsAssigner());
  }

  // Reports requests to the assigner, half of them for 200 keys from aHot on.
  static void RecordSkewedRequests(AssignmentSimulation& aSimulation,
                                   std::mt19937& aRandom, Key aHot)
  {
    constexpr int kRequests = 60;
    const std::string assigner = aSimulation.AssignerName();
    if (assigner.empty()) {
      return;
    }
    std::vector<Key> keys;
    keys.reserve(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      keys.push_back(static_cast<Key>(
        i % 2 == 0 ? (aHot + aRandom() % 200) % kLastKey : aRandom()));
    }
    aSimulation.AssignerOf(assigner).RecordRequests(keys);
  }

  static void ListAll(AssignmentSimulation& aSimulation)
  {
    for (const auto& [name, upstream] : aSimulation.Upstreams()) {
      aSimulation.List(name);
    }
  }

  static void EndFaults(AssignmentSimulation& aSimulation)
  {
    ListAll(aSimulation);
    aSimulation.connectTime = milliseconds(0);
    aSimulation.storeUnavailable = false;
    aSimulation.lostResponsePercent = 0;
    aSimulation.rejectedByStore.clear();
    aSimulation.cutFromPeers.clear();
    for (const std::string& name : aSimulation.Hosts()) {
      if (aSimulation.IsPaused(name)) {
        aSimulation.Resume(name);
      }
    }
    for (auto& [name, upstream] : aSimulation.Upstreams()) {
      upstream.unresponsive = false;
      upstream.grantDelay = milliseconds(0);
      upstream.mayOwn = true;
      upstream.cold = false;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AssignerTest);

} // namespace kumquat::ownership::tests
