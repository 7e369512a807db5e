// Host leases under failure. Each rule's story runs twice: with the rule, and
// with the rule switched off, where the property must break.

#include "coordination/tests/leasefixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace kumquat::coordination {

namespace {

const state::HostId kHost = LeaseFixture::Name(1);

// A run deposed by the table while it could still have started work.
using Story = std::function<int(const LeaseRulesOff&)>;

void AssertRuleMatters(LeaseRule aRule, const Story& aStory)
{
  CPPUNIT_ASSERT_EQUAL(0, aStory({}));
  CPPUNIT_ASSERT(aStory({ aRule }) > 0);
}

void DoHarm(LeaseFixture& aNet)
{
  const state::HostId one = LeaseFixture::Name(1 + aNet.Random(7));
  const state::HostId other = LeaseFixture::Name(1 + aNet.Random(7));
  switch (aNet.Random(9)) {
    case 0:
      // The earlier process is gone, or stands frozen somewhere.
      aNet.Boot(one, aNet.Random(2) == 0);
      break;
    case 1:
      aNet.Pause(one);
      break;
    case 2:
    case 3:
      aNet.Thaw(other);
      break;
    case 4:
      aNet.Cut(one, other);
      break;
    case 5:
      aNet.CutFromAll(one);
      break;
    case 6:
      aNet.Heal();
      break;
    case 7:
      aNet.storeDown = !aNet.storeDown;
      break;
    default:
      aNet.lostAnswers = aNet.Random(4);
      break;
  }
}

// Processes that were deposed are started anew, as an operator or the platform
// would.
void Repair(LeaseFixture& aNet)
{
  aNet.Heal();
  aNet.storeDown = false;
  aNet.lostAnswers = 0;
  for (int i = 1; i <= 7; ++i) {
    aNet.Thaw(LeaseFixture::Name(i));
  }
  aNet.Run(std::chrono::seconds(10));
  for (int i = 1; i <= 7; ++i) {
    const state::HostId host = LeaseFixture::Name(i);
    if (aNet.At(host).Phase() == HostPhase::kOver) {
      aNet.Boot(host);
    }
  }
}

} // namespace

class MembershipTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MembershipTest);
  CPPUNIT_TEST(testAllHoldAndGuardsAreSpread);
  CPPUNIT_TEST(testCutHostIsDeposedWithinFourSeconds);
  CPPUNIT_TEST(testCutDataCentreIsDeposed);
  CPPUNIT_TEST(testCutHostThatRestartsServesOnlyWithALease);
  CPPUNIT_TEST(testHolderPausedPastItsTermStartsNothing);
  CPPUNIT_TEST(testStoreOutageLapsesNothing);
  CPPUNIT_TEST(testRestartOfTheSameIdWaitsForItsEarlierRun);
  CPPUNIT_TEST(testLostAnswers);
  CPPUNIT_TEST(testDeposerIsLostToo);
  CPPUNIT_TEST(testPausedDeposerComesLate);
  CPPUNIT_TEST(testAllRestartAtOnce);
  CPPUNIT_TEST(testSmallDeployments);
  CPPUNIT_TEST(testGuardsVanishWithTheirHost);
  CPPUNIT_TEST(testPlannedStop);
  CPPUNIT_TEST(testReleasedButNeverDeposed);
  CPPUNIT_TEST(testManyFaultsAtOnce);
  CPPUNIT_TEST(testCountFromSending);
  CPPUNIT_TEST(testStickyRelease);
  CPPUNIT_TEST(testRestartedGuardConfirmsNothing);
  CPPUNIT_TEST(testRestartedGuardReleasesNothing);
  CPPUNIT_TEST(testWaitOutReleases);
  CPPUNIT_TEST(testMajorityReleases);
  CPPUNIT_TEST(testMajorityConfirms);
  CPPUNIT_TEST(testBothGuardSets);
  CPPUNIT_TEST(testSuspectFirst);
  CPPUNIT_TEST(testDeposeOnVersion);
  CPPUNIT_TEST(testReplaceOnlyDeposed);
  CPPUNIT_TEST(testIgnoreOwnSleep);
  CPPUNIT_TEST_SUITE_END();

public:
  void testAllHoldAndGuardsAreSpread()
  {
    LeaseFixture net(12);
    for (int i = 1; i <= 12; ++i) {
      const state::HostId host = LeaseFixture::Name(i);
      CPPUNIT_ASSERT(net.Holds(host));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, net.GuardsOf(host).size());
      const auto inOwn = std::ranges::count(
        net.GuardsOf(host), LeaseFixture::Centre(host), &LeaseFixture::Centre);
      CPPUNIT_ASSERT(inOwn <= 1);
    }
    // Nothing is written while nothing changes.
    const int writes = net.writes;
    net.Run(std::chrono::seconds(60));
    CPPUNIT_ASSERT_EQUAL(writes, net.writes);
    CPPUNIT_ASSERT_EQUAL(0, net.suspicions);
  }

  // A host is cut off from everything. Its keys must have a new owner within
  // 4 s, so it must be deposed well before, and must have stopped by then.
  void testCutHostIsDeposedWithinFourSeconds()
  {
    LeaseFixture net(12);
    net.CutFromAll(kHost);
    net.cutFromTable.insert(kHost);
    const auto took = net.RunUntil(
      [&] {
        return net.IsDeposed({ kHost, 1 });
      },
      std::chrono::seconds(10));
    CPPUNIT_ASSERT(took && *took < std::chrono::seconds(2));
    net.Run(std::chrono::seconds(2));
    CPPUNIT_ASSERT(!net.Holds(kHost));
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  // One of three data centres is cut off: its four hosts must be deposed, the
  // other eight must not lose their leases for a moment.
  void testCutDataCentreIsDeposed()
  {
    LeaseFixture net(12);
    const auto isInside = [](int aNumber) { return aNumber % 3 == 0; };
    for (int inside = 3; inside <= 12; inside += 3) {
      net.cutFromTable.insert(LeaseFixture::Name(inside));
      for (int outside = 1; outside <= 12; ++outside) {
        if (!isInside(outside)) {
          net.Cut(LeaseFixture::Name(inside), LeaseFixture::Name(outside));
        }
      }
    }
    int lapses = 0;
    for (int i = 1; i <= 12; ++i) {
      if (!isInside(i)) {
        net.At(LeaseFixture::Name(i)).LeaseLost().Listen([&] { ++lapses; });
      }
    }
    const auto allDeposed = [&] {
      return std::ranges::all_of(std::views::iota(1, 13), [&](int aNumber) {
        return !isInside(aNumber) ||
               net.IsDeposed({ LeaseFixture::Name(aNumber), 1 });
      });
    };
    const auto took = net.RunUntil(allDeposed, std::chrono::seconds(10));
    CPPUNIT_ASSERT(took && *took < std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, lapses);
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  // A host that is cut from the others but not from the table registers anew
  // whenever it is deposed. Nobody may plan with runs that never had a lease.
  void testCutHostThatRestartsServesOnlyWithALease()
  {
    LeaseFixture net(12);
    const auto serves = [&net] {
      const auto serving = net.At(LeaseFixture::Name(2)).ServingHosts();
      return std::ranges::any_of(serving, [](const state::HostRecord& aHost) {
        return aHost.ref.host == kHost;
      });
    };
    CPPUNIT_ASSERT(serves());
    net.CutFromAll(kHost);
    const auto took =
      net.RunUntil([&] { return !serves(); }, std::chrono::seconds(4));
    CPPUNIT_ASSERT(took);
    int stepsServing = 0;
    int runs = 1;
    for (int step = 0; step < 1500; ++step) {
      if (net.At(kHost).Phase() == HostPhase::kOver) {
        net.Boot(kHost);
        ++runs;
      }
      net.Run(milliseconds(10));
      stepsServing += serves() ? 1 : 0;
    }
    CPPUNIT_ASSERT(runs > 2);
    CPPUNIT_ASSERT_EQUAL(0, stepsServing);
    net.Heal();
    const auto back = net.RunUntil(
      [&] {
        if (net.At(kHost).Phase() == HostPhase::kOver) {
          net.Boot(kHost);
        }
        return net.Holds(kHost) && serves();
      },
      std::chrono::seconds(10));
    CPPUNIT_ASSERT(back);
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  // A host is frozen for 6 s and thaws with work in hand. The work must not be
  // sent: the others have meanwhile put a successor in its place.
  void testHolderPausedPastItsTermStartsNothing()
  {
    LeaseFixture net(12);
    net.Pause(kHost);
    net.Run(std::chrono::seconds(6));
    CPPUNIT_ASSERT(net.IsDeposed({ kHost, 1 }));
    CPPUNIT_ASSERT(!net.Holds(kHost));
    net.Thaw(kHost);
    CPPUNIT_ASSERT(!net.Holds(kHost));
    net.Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT(net.At(kHost).Phase() == HostPhase::kOver);
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  // The table is down for a minute, and a host is paused meanwhile for longer
  // than a term: no lease may end for good, and nobody may be deposed.
  void testStoreOutageLapsesNothing()
  {
    LeaseFixture net(12);
    int lapses = 0;
    for (int i = 2; i <= 12; ++i) {
      net.At(LeaseFixture::Name(i)).LeaseLost().Listen([&] { ++lapses; });
    }
    net.storeDown = true;
    net.Run(std::chrono::seconds(20));
    net.Pause(kHost);
    net.Run(std::chrono::seconds(3));
    net.Thaw(kHost);
    net.Run(std::chrono::seconds(37));
    CPPUNIT_ASSERT(net.Holds(kHost));
    CPPUNIT_ASSERT_EQUAL(0, lapses);
    net.storeDown = false;
    net.Run(std::chrono::seconds(10));
    CPPUNIT_ASSERT(net.Holds(kHost));
    CPPUNIT_ASSERT(!net.IsDeposed({ kHost, 1 }));
  }

  // A host is killed and started again at once under its id.
  void testRestartOfTheSameIdWaitsForItsEarlierRun()
  {
    LeaseFixture net(12);
    net.Boot(kHost);
    const auto took =
      net.RunUntil([&] { return net.Holds(kHost); }, std::chrono::seconds(10));
    CPPUNIT_ASSERT(took && *took < std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(state::Incarnation{ 2 },
                         net.Row(kHost).ref.incarnation);
  }

  // The table takes writes but their answers are lost, for registering and
  // for deposing. The writers must find their own writes again.
  void testLostAnswers()
  {
    LeaseFixture net(6);
    net.lostAnswers = 3;
    net.Boot(LeaseFixture::Name(7));
    net.Run(std::chrono::seconds(4));
    CPPUNIT_ASSERT(net.Holds(LeaseFixture::Name(7)));
    net.lostAnswers = 3;
    net.Kill(kHost);
    const auto took = net.RunUntil(
      [&] {
        return net.IsDeposed({ kHost, 1 });
      },
      std::chrono::seconds(10));
    CPPUNIT_ASSERT(took && *took < std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  // A host is lost, and so is the one that has begun to depose it, right after
  // its suspicion is written. Another guard must finish in time.
  void testDeposerIsLostToo()
  {
    LeaseFixture net(12);
    net.Kill(kHost);
    const auto suspected = [&] {
      return net.Row(kHost).state == state::HostState::kSuspected;
    };
    const auto first = net.RunUntil(suspected, std::chrono::seconds(3));
    net.Kill({ net.Writer(kHost) });
    const auto rest = net.RunUntil(
      [&] {
        return net.IsDeposed({ kHost, 1 });
      },
      std::chrono::seconds(10));
    CPPUNIT_ASSERT(first && rest);
    CPPUNIT_ASSERT(*first + *rest < std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  // A deposer is paused just before its last write. Meanwhile the host is
  // deposed by another, started anew, and serves; the late write must not hit
  // the new run.
  void testPausedDeposerComesLate()
  {
    LeaseFixture net(12);
    net.Kill(kHost);
    net.RunUntil(
      [&] { return net.Row(kHost).state == state::HostState::kSuspected; },
      std::chrono::seconds(3));
    const state::HostId deposer{ net.Writer(kHost) };
    net.Run(milliseconds(200));
    net.Pause(deposer);
    net.Run(std::chrono::seconds(4));
    net.Boot(kHost);
    net.Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT(net.Holds(kHost));
    net.Thaw(deposer);
    net.Run(std::chrono::seconds(5));
    CPPUNIT_ASSERT(net.Holds(kHost));
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  // Power is lost everywhere: all rows name runs that are gone, and no guard
  // is left to release anybody. After the lag of the list all must serve.
  void testAllRestartAtOnce()
  {
    LeaseFixture net(12);
    for (int i = 1; i <= 12; ++i) {
      net.Boot(LeaseFixture::Name(i));
    }
    const auto allHold = [&] {
      return std::ranges::all_of(std::views::iota(1, 13), [&](int aNumber) {
        return net.Holds(LeaseFixture::Name(aNumber));
      });
    };
    const auto took = net.RunUntil(allHold, std::chrono::seconds(30));
    CPPUNIT_ASSERT(took && *took < std::chrono::seconds(12));
  }

  void testSmallDeployments()
  {
    LeaseFixture alone(1);
    CPPUNIT_ASSERT(alone.Holds(kHost));

    LeaseFixture two(2);
    two.Kill(LeaseFixture::Name(2));
    two.Run(std::chrono::seconds(5));
    CPPUNIT_ASSERT(two.Holds(kHost));

    // Of three, the loss of one must leave the others their leases.
    LeaseFixture three(3);
    int lapses = 0;
    three.At(kHost).LeaseLost().Listen([&] { ++lapses; });
    three.Kill(LeaseFixture::Name(2));
    const auto took = three.RunUntil(
      [&] {
        return three.IsDeposed({ LeaseFixture::Name(2), 1 });
      },
      std::chrono::seconds(10));
    CPPUNIT_ASSERT(took && *took < std::chrono::seconds(4));
    three.Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT(three.Holds(kHost));
    CPPUNIT_ASSERT_EQUAL(0, lapses);
  }

  // A host and four of its five guards are lost together: nobody is left to
  // release it. The platform's list says that they are gone.
  void testGuardsVanishWithTheirHost()
  {
    LeaseFixture net(12);
    net.TellList();
    const auto guards = net.GuardsOf(kHost);
    net.Kill(kHost);
    std::ranges::for_each(guards | std::views::take(4),
                          [&](const auto& aGuard) { net.Kill(aGuard); });
    net.Run(std::chrono::seconds(4));
    CPPUNIT_ASSERT(!net.IsDeposed({ kHost, 1 }));
    net.TellList();
    const auto took = net.RunUntil(
      [&] {
        return net.IsDeposed({ kHost, 1 });
      },
      std::chrono::seconds(20));
    CPPUNIT_ASSERT(took && *took < std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  void testPlannedStop()
  {
    LeaseFixture net(12);
    net.At(kHost).Stop();
    net.Run(std::chrono::seconds(3));
    CPPUNIT_ASSERT(net.Holds(kHost));
    CPPUNIT_ASSERT(net.Row(kHost).state == state::HostState::kLeaving);
    const auto live = net.At(LeaseFixture::Name(2)).LiveHosts();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 11 }, live.size());
    net.At(kHost).Finish();
    CPPUNIT_ASSERT(!net.Holds(kHost));
    net.Run(milliseconds(100));
    CPPUNIT_ASSERT(net.IsDeposed({ kHost, 1 }));
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  // A host is cut off and its guards release it. Then the table fails before
  // the row is written, the connections heal, and the deposers are replaced:
  // all hear the host, so nobody suspects it, yet nobody confirms it either.
  // Its upstreams must not stay without a steward.
  void testReleasedButNeverDeposed()
  {
    LeaseFixture net(4);
    net.CutFromAll(kHost);
    net.RunUntil(
      [&] { return net.Row(kHost).state == state::HostState::kSuspected; },
      std::chrono::seconds(3));
    const state::HostId deposer{ net.Writer(kHost) };
    net.Run(milliseconds(200));
    net.storeDown = true;
    net.Run(std::chrono::seconds(2));
    net.Heal();
    net.Boot(deposer);
    net.Run(std::chrono::seconds(1));
    net.storeDown = false;
    const auto took = net.RunUntil(
      [&] {
        return net.IsDeposed({ kHost, 1 });
      },
      std::chrono::seconds(20));
    CPPUNIT_ASSERT(took && *took < std::chrono::seconds(4));
    CPPUNIT_ASSERT_EQUAL(0, net.violations);
  }

  // Hosts are killed, started anew, paused and cut off, and the table fails,
  // at random and together. No run may start work once it is deposed, and
  // when all is well again everybody must serve.
  void testManyFaultsAtOnce()
  {
    for (std::uint64_t seed = 1; seed <= 12; ++seed) {
      LeaseFixture net(7, {}, seed);
      for (int round = 0; round < 60; ++round) {
        DoHarm(net);
        net.Run(milliseconds(100 + 10 * net.Random(90)));
      }
      const std::string story = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(story, 0, net.violations);
      Repair(net);
      net.Run(std::chrono::seconds(20));
      for (int i = 1; i <= 7; ++i) {
        CPPUNIT_ASSERT_MESSAGE(story, net.Holds(LeaseFixture::Name(i)));
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(story, 0, net.violations);
    }
  }

  // Guards' replies are 1.1 s under way when the holder's requests stop
  // getting through. The last replies come when the guards' own terms are
  // nearly over; counted from then, the lease outlasts its end at the guards.
  void testCountFromSending()
  {
    AssertRuleMatters(LeaseRule::kCountFromSending,
                      [](const LeaseRulesOff& aOff) {
                        LeaseFixture net(4, aOff);
                        net.delays[kHost] = milliseconds(1100);
                        net.Run(std::chrono::seconds(5));
                        net.cutFromTable.insert(kHost);
                        net.CutOneWay(kHost);
                        net.Run(std::chrono::seconds(5));
                        return net.violations;
                      });
  }

  // A host is cut off, its guards release it, and the connections heal before
  // the row is written. Confirmed again, it would go on beside its successor.
  void testStickyRelease()
  {
    AssertRuleMatters(LeaseRule::kStickyRelease, [](const LeaseRulesOff& aOff) {
      LeaseFixture net(4, aOff);
      net.cutFromTable.insert(kHost);
      net.CutFromAll(kHost);
      net.Run(milliseconds(1300));
      net.Heal();
      net.Run(std::chrono::seconds(5));
      return net.violations;
    });
  }

  // Two of three guards restart right after they released a host that was cut
  // off. They have forgotten it; asked under their old names they must not
  // confirm the host when it comes back.
  void testRestartedGuardConfirmsNothing()
  {
    AssertRuleMatters(
      LeaseRule::kRestartedGuardConfirmsNothing, [](const LeaseRulesOff& aOff) {
        LeaseFixture net(4, aOff);
        net.cutFromTable.insert(kHost);
        net.CutFromAll(kHost);
        net.RunUntil(
          [&] { return net.Row(kHost).state == state::HostState::kSuspected; },
          std::chrono::seconds(3));
        net.Run(milliseconds(250));
        const std::string deposer = net.Writer(kHost);
        for (int i = 2; i <= 4; ++i) {
          if (LeaseFixture::Name(i).value != deposer) {
            net.Boot(LeaseFixture::Name(i));
          }
        }
        net.Heal();
        net.Run(std::chrono::seconds(3));
        return net.violations;
      });
  }

  // Two of three guards restart at the moment in which a host is cut off. They
  // do not know how lately they confirmed it: their release means nothing.
  void testRestartedGuardReleasesNothing()
  {
    AssertRuleMatters(LeaseRule::kRestartedGuardReleasesNothing,
                      [](const LeaseRulesOff& aOff) {
                        LeaseFixture net(4, aOff);
                        net.CutFromAll(kHost);
                        net.Boot(LeaseFixture::Name(2));
                        net.Boot(LeaseFixture::Name(3));
                        net.Run(std::chrono::seconds(3));
                        return net.violations;
                      });
  }

  // A cut host still relies on its last confirmations when its guards release
  // it; whoever deposes it must wait for their end.
  void testWaitOutReleases()
  {
    AssertRuleMatters(LeaseRule::kWaitOutReleases,
                      [](const LeaseRulesOff& aOff) {
                        LeaseFixture net(12, aOff);
                        net.CutFromAll(kHost);
                        net.Run(std::chrono::seconds(4));
                        return net.violations;
                      });
  }

  // The connections of a host to one of its guards and to the table break, all
  // else is well. That guard alone must not be able to depose the host.
  void testMajorityReleases()
  {
    AssertRuleMatters(LeaseRule::kMajorityReleases,
                      [](const LeaseRulesOff& aOff) {
                        LeaseFixture net(12, aOff);
                        net.cutFromTable.insert(kHost);
                        net.Cut(kHost, net.GuardsOf(kHost).front());
                        net.Run(std::chrono::seconds(5));
                        return net.violations;
                      });
  }

  // A host is cut off together with one of its three guards. The two others
  // release it; the one must not be enough to go on with.
  void testMajorityConfirms()
  {
    AssertRuleMatters(LeaseRule::kMajorityConfirms,
                      [](const LeaseRulesOff& aOff) {
                        LeaseFixture net(4, aOff);
                        const auto guards = net.GuardsOf(kHost);
                        net.Cut(kHost, guards[0]);
                        net.Cut(kHost, guards[1]);
                        net.cutFromTable.insert(kHost);
                        net.Run(std::chrono::seconds(5));
                        return net.violations;
                      });
  }

  // A host loses one guard and writes a set with another in its place; the
  // write never arrives. Then two of the old guards lose sight of the host.
  // The old set, which the row still names, can depose it, while a majority of
  // the new set goes on confirming.
  void testBothGuardSets()
  {
    AssertRuleMatters(LeaseRule::kBothGuardSets, [](const LeaseRulesOff& aOff) {
      LeaseFixture net(12, aOff);
      net.TellList();
      const auto guards = net.GuardsOf(kHost);
      net.cutFromTable.insert(kHost);
      net.Kill(guards[0]);
      net.TellList();
      net.Run(std::chrono::seconds(4));
      net.Cut(kHost, guards[1]);
      net.Cut(kHost, guards[2]);
      net.Run(std::chrono::seconds(8));
      return net.violations;
    });
  }

  // The store is down, and a healthy host is paused just long enough to be
  // suspected. Released, it would stand without a lease until the store is
  // back, with nobody able to take its place.
  void testSuspectFirst()
  {
    AssertRuleMatters(LeaseRule::kSuspectFirst, [](const LeaseRulesOff& aOff) {
      LeaseFixture net(12, aOff);
      net.storeDown = true;
      net.Pause(kHost);
      net.Run(milliseconds(1300));
      net.Thaw(kHost);
      net.Run(std::chrono::seconds(5));
      return net.Holds(kHost) ? 0 : 1;
    });
  }

  // A host loses sight of all its guards, but not of the others nor of the
  // table: it names new guards and goes on. The old ones have released it
  // meanwhile; that must not depose it any more.
  void testDeposeOnVersion()
  {
    AssertRuleMatters(LeaseRule::kDeposeOnVersion,
                      [](const LeaseRulesOff& aOff) {
                        LeaseFixture net(12, aOff);
                        for (const state::HostId& guard : net.GuardsOf(kHost)) {
                          net.Cut(kHost, guard);
                        }
                        net.Run(std::chrono::seconds(4));
                        return net.violations;
                      });
  }

  // An operator starts a host anew while its earlier process still runs: the
  // new one must not take the row before the old one has surely stopped.
  void testReplaceOnlyDeposed()
  {
    AssertRuleMatters(LeaseRule::kReplaceOnlyDeposed,
                      [](const LeaseRulesOff& aOff) {
                        LeaseFixture net(12, aOff);
                        net.Boot(kHost, true);
                        net.Run(std::chrono::seconds(5));
                        return net.violations;
                      });
  }

  // A guard is paused for 3 s. When it wakes it has heard from nobody, and
  // must not put suspicions on all the hosts that it guards.
  void testIgnoreOwnSleep()
  {
    AssertRuleMatters(LeaseRule::kIgnoreOwnSleep,
                      [](const LeaseRulesOff& aOff) {
                        LeaseFixture net(12, aOff);
                        net.Pause(kHost);
                        net.storeDown = true;
                        net.Run(std::chrono::seconds(3));
                        net.storeDown = false;
                        net.suspicions = 0;
                        net.Thaw(kHost);
                        net.Run(milliseconds(200));
                        return net.suspicions;
                      });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(MembershipTest);

} // namespace kumquat::coordination
