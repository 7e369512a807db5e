// Tests that the quotas of teams hold over all hosts, and that requests within
// them run, while hosts are cut off, killed, paused and restarted.

#include "admission/tests/quotasimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace kumquat::admission {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::MakeLoad;
using tests::ManyTeams;
using tests::QuotaSimulation;
using tests::Sharing;
using tests::TeamLoad;

namespace {

// The part of the requests within the limit that hosts in good order must let
// run.
constexpr double kServedWithinLimit = 0.97;

// The same rate at each of the first hosts.
std::map<int, double> Evenly(int aHosts, double aTotalPerSecond)
{
  std::map<int, double> rates;
  for (int i = 0; i < aHosts; ++i) {
    rates[i] = aTotalPerSecond / aHosts;
  }
  return rates;
}

double PartRun(const QuotaSimulation::Result& aResult)
{
  return static_cast<double>(aResult.ran) /
         static_cast<double>(aResult.withinLimit);
}

} // namespace

class QuotaTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuotaTest);
  CPPUNIT_TEST(testRequestsWithinTheLimitRun);
  CPPUNIT_TEST(testHotTeamIsHeldToItsLimit);
  CPPUNIT_TEST(testSmallTeamOfOneHostRuns);
  CPPUNIT_TEST(testLenderKilled);
  CPPUNIT_TEST(testLenderCutOneWay);
  CPPUNIT_TEST(testLenderPausedAndResumed);
  CPPUNIT_TEST(testHalvesThatCannotReachEachOther);
  CPPUNIT_TEST(testHostCutOffUsesItsShare);
  CPPUNIT_TEST(testAllRestartedGiveNoSecondBurst);
  CPPUNIT_TEST(testLoweredLimitBinds);
  CPPUNIT_TEST(testRaisedLimitIsThereAtOnce);
  CPPUNIT_TEST(testLoadThatMoves);
  CPPUNIT_TEST(testReturnedTokenIsUsedAgain);
  CPPUNIT_TEST(testAskDuringReplyReportsAllStock);
  CPPUNIT_TEST(testRandomTroubleNeverExceedsQuotas);
  CPPUNIT_TEST(testWaysOfSharing);
  CPPUNIT_TEST_SUITE_END();

public:
  void testRequestsWithinTheLimitRun()
  {
    const Quota quota{ 100, 100 };
    QuotaSimulation simulation(12, { MakeLoad("a", quota, Evenly(12, 62)) }, 1);
    simulation.RunFor(seconds(20));
    CPPUNIT_ASSERT(PartRun(simulation.ResultOf(0)) >= kServedWithinLimit);
  }

  // Ten times the rate, from all hosts and from one.
  void testHotTeamIsHeldToItsLimit()
  {
    for (const int hosts : { 12, 1 }) {
      const Quota quota{ 50, 50 };
      QuotaSimulation simulation(
        12, { MakeLoad("hot", quota, Evenly(hosts, 500)) }, 2);
      simulation.RunFor(seconds(20));
      CPPUNIT_ASSERT(simulation.WorstExcess(0, quota) <= 0);
      CPPUNIT_ASSERT(PartRun(simulation.ResultOf(0)) >= 0.9);
    }
  }

  // Guards against shares of less than a token that never let a request run.
  void testSmallTeamOfOneHostRuns()
  {
    const Quota quota{ 2, 3 };
    QuotaSimulation simulation(82, { MakeLoad("s", quota, { { 7, 1.2 } }) }, 3);
    simulation.RunFor(seconds(60));
    CPPUNIT_ASSERT(simulation.WorstExcess(0, quota) <= 0);
    CPPUNIT_ASSERT(PartRun(simulation.ResultOf(0)) >= 0.9);
  }

  void testLenderKilled()
  {
    this->CheckTrouble([](QuotaSimulation& aSimulation) {
      const int lender = aSimulation.Lender();
      CPPUNIT_ASSERT(lender >= 0);
      aSimulation.Kill(lender);
      aSimulation.RunFor(seconds(5));
      CPPUNIT_ASSERT(aSimulation.Lender() >= 0);
      aSimulation.Restart(lender);
    });
  }

  void testLenderCutOneWay()
  {
    this->CheckTrouble([](QuotaSimulation& aSimulation) {
      aSimulation.CutOneWay({ aSimulation.Lender() });
      aSimulation.RunFor(seconds(5));
      aSimulation.Heal();
    });
  }

  // Guards against a lender that resumes and hands out tokens beside the one
  // that took its place.
  void testLenderPausedAndResumed()
  {
    for (const int ms : { 400, 900, 1300, 3000, 8000 }) {
      this->CheckTrouble([ms](QuotaSimulation& aSimulation) {
        aSimulation.Pause(aSimulation.Lender(), milliseconds(ms));
        aSimulation.RunFor(milliseconds(ms + 2000));
      });
    }
  }

  // Each part may believe that the other has gone; neither may lend all.
  void testHalvesThatCannotReachEachOther()
  {
    for (const int size : { 4, 6, 8 }) {
      this->CheckTrouble([size](QuotaSimulation& aSimulation) {
        std::set<int> group;
        for (int i = 0; i < size; ++i) {
          group.insert(i);
        }
        aSimulation.CutOff(group);
        for (int i = 0; i < 100; ++i) {
          aSimulation.RunFor(milliseconds(100));
          CPPUNIT_ASSERT(aSimulation.Lender() != -2);
        }
        aSimulation.Heal();
      });
    }
  }

  // A host that reaches no lender goes on serving what its callers usually ask.
  void testHostCutOffUsesItsShare()
  {
    const Quota quota{ 100, 100 };
    QuotaSimulation simulation(
      12, { MakeLoad("a", quota, { { 3, 40 }, { 5, 22 } }) }, 4);
    simulation.RunFor(seconds(10));
    const auto before = simulation.ResultOf(0);
    simulation.CutOff({ 3 });
    simulation.RunFor(seconds(10));
    const auto after = simulation.ResultOf(0);
    const double part = static_cast<double>(after.ran - before.ran) /
                        static_cast<double>(after.asked - before.asked);
    CPPUNIT_ASSERT(part >= 0.9);
    CPPUNIT_ASSERT(simulation.WorstExcess(0, quota) <= 0);
  }

  // Guards against two bursts in one window: all hosts lose power for a moment.
  void testAllRestartedGiveNoSecondBurst()
  {
    const Quota quota{ 20, 100 };
    QuotaSimulation simulation(12, { MakeLoad("a", quota, Evenly(12, 200)) },
                               5);
    simulation.RunFor(seconds(10));
    for (int i = 0; i < 12; ++i) {
      simulation.Kill(i);
    }
    simulation.RunFor(milliseconds(700));
    for (int i = 0; i < 12; ++i) {
      simulation.Restart(i);
    }
    const auto before = simulation.ResultOf(0);
    simulation.RunFor(seconds(10));
    CPPUNIT_ASSERT(simulation.WorstExcess(0, quota) <= 0);
    const auto ran = simulation.ResultOf(0).ran - before.ran;
    CPPUNIT_ASSERT(static_cast<double>(ran) >= 0.7 * 10 * quota.perSecond);
  }

  void testLoweredLimitBinds()
  {
    const Quota high{ 100, 100 };
    const Quota low{ 33, 33 };
    QuotaSimulation simulation(12, { MakeLoad("a", high, Evenly(12, 90)) }, 6);
    simulation.RunFor(seconds(10));
    simulation.CutOff({ 2, 3, 4 });
    simulation.RunFor(seconds(2));
    simulation.SetQuota(0, low);
    simulation.RunFor(milliseconds(2500));
    simulation.ForgetRuns();
    simulation.RunFor(seconds(10));
    CPPUNIT_ASSERT(simulation.WorstExcess(0, low) <= 0);
  }

  void testRaisedLimitIsThereAtOnce()
  {
    QuotaSimulation simulation(
      12, { MakeLoad("a", { 10, 10 }, Evenly(12, 80)) }, 7);
    simulation.RunFor(seconds(10));
    simulation.SetQuota(0, { 200, 200 });
    const auto before = simulation.ResultOf(0);
    simulation.RunFor(seconds(2));
    const auto after = simulation.ResultOf(0);
    CPPUNIT_ASSERT(static_cast<double>(after.ran - before.ran) >=
                   0.9 * static_cast<double>(after.asked - before.asked));
  }

  // The callers move from some hosts to others within a moment.
  void testLoadThatMoves()
  {
    const Quota quota{ 100, 100 };
    QuotaSimulation simulation(
      12, { MakeLoad("a", quota, { { 0, 30 }, { 1, 30 } }) }, 8);
    for (int i = 0; i < 10; ++i) {
      simulation.RunFor(seconds(3));
      simulation.SetLoad(0, { { (2 * i) % 12, 30 }, { (2 * i + 5) % 12, 30 } });
    }
    CPPUNIT_ASSERT(PartRun(simulation.ResultOf(0)) >= kServedWithinLimit);
    CPPUNIT_ASSERT(simulation.WorstExcess(0, quota) <= 0);
  }

  // Guards against a limit that is used up by requests which did not run.
  void testReturnedTokenIsUsedAgain()
  {
    TimePoint now{ std::chrono::hours(1) };
    QuotaLender lender([&now] { return now; });
    QuotaBorrower* self = nullptr;
    QuotaBorrower borrower(
      1, { [&now] { return now; },
           [&](const state::HostId& aTo, const QuotaAsk& aAsk) {
             self->OnReply(aTo, lender.OnAsk({ "h0" }, aAsk));
           } });
    self = &borrower;
    Team team;
    team.name.value = "a";
    team.quota = { 1, 1 };
    lender.SetTeams({ team });
    lender.SetHosts({ { "h0" } });
    borrower.SetTeams({ team });
    borrower.SetHostCount(1);
    borrower.SetLender(state::HostId{ "h0" });
    for (int i = 0; i < 30; ++i) {
      now += milliseconds(100);
      lender.OnTimer();
      borrower.OnTimer();
    }
    const auto take = [&] {
      auto error = protocol::ErrorKind::kInternal;
      borrower.Take(team.name, [&](const QuotaDecision& aDecision) {
        error = aDecision.error;
      });
      return error;
    };
    int taken = 0;
    while (take() == protocol::ErrorKind::kNone) {
      ++taken;
    }
    CPPUNIT_ASSERT(taken > 0);
    CPPUNIT_ASSERT(taken <= 5 * team.quota.perSecond + team.quota.burst);
    CPPUNIT_ASSERT(take() == protocol::ErrorKind::kTeamOverLimit);
    borrower.Return(team.name);
    CPPUNIT_ASSERT(take() == protocol::ErrorKind::kNone);
    CPPUNIT_ASSERT(take() == protocol::ErrorKind::kTeamOverLimit);
  }

  // Guards against a lender that believes a host's stock to be lower than it
  // is: a request that a reply lets run brings the next request, and with it an
  // ask, before the rest of the reply is applied.
  void testAskDuringReplyReportsAllStock()
  {
    const TimePoint now{ std::chrono::hours(1) };
    const state::HostId lender{ "h1" };
    std::vector<QuotaAsk> asks;
    QuotaBorrower borrower(
      1, { [&now] { return now; },
           [&asks](const state::HostId&, const QuotaAsk& aAsk) {
             asks.push_back(aAsk);
           } });
    std::vector<Team> teams;
    for (const char* name : { "a", "b" }) {
      teams.push_back(MakeLoad(name, { 10, 10 }, {}).team);
    }
    borrower.SetTeams(teams);
    borrower.SetLender(lender);
    int ranOfA = 0;
    QuotaBorrower::Decide takeNext = [&](const QuotaDecision&) {
      if (++ranOfA < 3) {
        borrower.Take({ "a" }, takeNext);
      }
    };
    int ranOfB = 0;
    borrower.Take({ "a" }, takeNext);
    borrower.Take({ "b" }, [&](const QuotaDecision&) { ++ranOfB; });
    borrower.OnReply(lender,
                     { asks.back().number, true, { { { "a" }, 1, 0.5, {} } } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, asks.size());
    borrower.OnReply(lender,
                     { asks.back().number,
                       true,
                       { { { "a" }, 1, 0.5, {} }, { { "b" }, 4, 0.5, {} } } });
    CPPUNIT_ASSERT_EQUAL(1, ranOfB);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, asks.size());
    for (const QuotaDemand& demand : asks.back().demands) {
      if (demand.team.value == "b") {
        CPPUNIT_ASSERT_EQUAL(3, demand.stock);
        CPPUNIT_ASSERT_EQUAL(0, demand.needed);
      }
    }
  }

  // Hosts are cut off, killed, restarted and paused at random, several at a
  // time, under a load of several times the limits.
  void testRandomTroubleNeverExceedsQuotas()
  {
    for (unsigned seed = 1; seed <= 40; ++seed) {
      std::mt19937 random(seed);
      constexpr int kHosts = 12;
      const std::vector<Quota> quotas = { { 100, 100 }, { 3, 3 }, { 20, 60 } };
      std::vector<TeamLoad> loads;
      loads.reserve(quotas.size());
      for (const Quota& quota : quotas) {
        loads.push_back(MakeLoad("q" + std::to_string(loads.size()), quota,
                                 Evenly(kHosts, 3 * quota.perSecond)));
      }
      QuotaSimulation simulation(kHosts, loads, seed);
      simulation.RunFor(seconds(5));
      for (int step = 0; step < 20; ++step) {
        const int host = static_cast<int>(random() % kHosts);
        switch (random() % 6) {
          case 0:
            simulation.Restart(host);
            break;
          case 1:
            simulation.Kill(host);
            simulation.At(milliseconds(random() % 4000),
                          [&simulation, host] { simulation.Restart(host); });
            break;
          case 2:
            simulation.Pause(host, milliseconds(random() % 5000));
            break;
          case 3:
            simulation.CutOff(RandomGroup(random, kHosts));
            break;
          case 4:
            simulation.CutOneWay(RandomGroup(random, kHosts));
            break;
          default:
            simulation.Heal();
        }
        simulation.RunFor(milliseconds(random() % 3000));
      }
      for (std::size_t i = 0; i < quotas.size(); ++i) {
        const double excess = simulation.WorstExcess(i, quotas[i]);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", quota " +
                                 std::to_string(i) + ", excess " +
                                 std::to_string(excess),
                               excess <= 0);
      }
    }
  }

  // With teams of all sizes, lending tokens lets nearly all requests within the
  // limits run, where equal parts refuse many, and never exceeds a limit.
  void testWaysOfSharing()
  {
    constexpr double kPerSecondAndHost = 18;
    for (const int hosts : { 12, 82 }) {
      const auto loads = ManyTeams(hosts, hosts, kPerSecondAndHost * hosts, 1);
      std::map<Sharing, double> partRun;
      for (const Sharing sharing :
           { Sharing::kLentTokens, Sharing::kEqualParts }) {
        QuotaSimulation simulation(hosts, loads, 1, sharing);
        simulation.RunFor(seconds(3));
        simulation.ForgetResults();
        simulation.RunFor(seconds(20));
        partRun[sharing] = PartRun(simulation.Total());
        if (sharing == Sharing::kLentTokens) {
          CPPUNIT_ASSERT(simulation.WorstExcess() <= 0);
        }
      }
      CPPUNIT_ASSERT(partRun[Sharing::kLentTokens] >= kServedWithinLimit);
      CPPUNIT_ASSERT(partRun[Sharing::kEqualParts] < 0.8);
    }
  }

private:
  // Plays a trouble under three times the limit, and checks the limit and that
  // afterwards requests run again.
  void CheckTrouble(const std::function<void(QuotaSimulation&)>& aTrouble)
  {
    const Quota quota{ 60, 60 };
    QuotaSimulation simulation(12, { MakeLoad("a", quota, Evenly(12, 180)) },
                               9);
    simulation.RunFor(seconds(6));
    aTrouble(simulation);
    simulation.RunFor(seconds(4));
    const auto before = simulation.ResultOf(0);
    simulation.RunFor(seconds(5));
    const auto ran = simulation.ResultOf(0).ran - before.ran;
    CPPUNIT_ASSERT(simulation.WorstExcess(0, quota) <= 0);
    CPPUNIT_ASSERT(static_cast<double>(ran) >= 0.7 * 5 * quota.perSecond);
  }

  static std::set<int> RandomGroup(std::mt19937& aRandom, int aHosts)
  {
    std::set<int> group;
    const auto size = 1 + aRandom() % static_cast<unsigned>(aHosts - 1);
    while (group.size() < size) {
      group.insert(static_cast<int>(aRandom() % static_cast<unsigned>(aHosts)));
    }
    return group;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuotaTest);

} // namespace kumquat::admission
