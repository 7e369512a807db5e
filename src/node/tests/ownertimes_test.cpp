// Tests that hosts report what owners of keys took, and that the assigner gives
// keys by it only where hosts are divided into cells.

#include "node/tests/keypartsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace kumquat::node {

using std::chrono::milliseconds;

class OwnerTimesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OwnerTimesTest);
  CPPUNIT_TEST(testEachResponseIsReportedOnceToTheAssigner);
  CPPUNIT_TEST(testQueueOfOtherCellsIsNoPartOfTheTime);
  CPPUNIT_TEST(testNothingIsCollectedInOneCell);
  CPPUNIT_TEST(testSlowOwnersGetFewerKeys);
  CPPUNIT_TEST(testReportsAreWithoutEffectInOneCell);
  CPPUNIT_TEST(testOneHolderWhileOwnersLeaveAndTheAssignerIsLost);
  CPPUNIT_TEST(testWildReportsAreIgnoredAndLoggedOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a response that counts twice, and one that goes to a host
  // that has no use for it.
  void testEachResponseIsReportedOnceToTheAssigner()
  {
    KeyPartSimulation simulation(3, 4);
    simulation.reportsOwnerTimes = true;
    CPPUNIT_ASSERT(Settle(simulation));
    const std::string assigner = simulation.Assigners().front();
    Respond(simulation, "h2", "u1", milliseconds(30), 3);
    KeyedServices& reporter = simulation.KeyedAt("h2");
    for (const std::string& host : simulation.Hosts()) {
      CPPUNIT_ASSERT(host == assigner ||
                     reporter.TakeOwnerTimes({ host }).empty());
    }
    const auto times = reporter.TakeOwnerTimes({ assigner });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, times.size());
    CPPUNIT_ASSERT_EQUAL(std::string("u1"), times.front().upstream);
    CPPUNIT_ASSERT_EQUAL(3, times.front().answers);
    CPPUNIT_ASSERT_EQUAL(30'000, times.front().serviceMicros);
    CPPUNIT_ASSERT(reporter.TakeOwnerTimes({ assigner }).empty());
  }

  // Guards against taking a busy owner for a slow one: no host counts what
  // hosts of other cells have waiting there, but the owner says it.
  void testQueueOfOtherCellsIsNoPartOfTheTime()
  {
    KeyPartSimulation simulation(1, 4);
    simulation.reportsOwnerTimes = true;
    CPPUNIT_ASSERT(Settle(simulation));
    routing::UpstreamLoad load;
    load.running = 3;
    load.waiting = 6;
    load.slots = 3;
    Respond(simulation, "h0", "u1", milliseconds(90), 1, load);
    const auto times = simulation.KeyedAt("h0").TakeOwnerTimes({ "h0" });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, times.size());
    CPPUNIT_ASSERT_EQUAL(30'000, times.front().serviceMicros);
  }

  void testNothingIsCollectedInOneCell()
  {
    KeyPartSimulation simulation(1, 4);
    CPPUNIT_ASSERT(Settle(simulation));
    Respond(simulation, "h0", "u1", milliseconds(30), 3);
    CPPUNIT_ASSERT(simulation.KeyedAt("h0").TakeOwnerTimes({ "h0" }).empty());
  }

  // Guards against owners of unequal pace with equal numbers of requests: the
  // slow ones are late and the fast ones idle.
  void testSlowOwnersGetFewerKeys()
  {
    KeyPartSimulation simulation(3, 8);
    simulation.reportsOwnerTimes = true;
    CPPUNIT_ASSERT(Settle(simulation));
    const auto keys = RunWithReports(simulation);
    const auto slow = static_cast<double>(keys.at("u0"));
    CPPUNIT_ASSERT(slow < 0.75 * ownership::kLastKey / 8);
    CPPUNIT_ASSERT(simulation.Moves().at(ownership::MoveReason::kOverload) > 0);
    CPPUNIT_ASSERT(simulation.Violation().empty());
    const auto spread =
      simulation.KeyedAt(simulation.Assigners().front()).OwnerPaceSpread();
    CPPUNIT_ASSERT(spread.slowest < 0.7);
    CPPUNIT_ASSERT(CountLogs(simulation, " owner-paces ") > 0);
  }

  // Guards against a change of decisions in a deployment of one cell: reports
  // that arrive there all the same move no key.
  void testReportsAreWithoutEffectInOneCell()
  {
    KeyPartSimulation with(3, 8);
    KeyPartSimulation without(3, 8);
    CPPUNIT_ASSERT(Settle(with) && Settle(without));
    const auto keys = RunWithReports(with);
    CPPUNIT_ASSERT(keys == RunWithReports(without, false));
    CPPUNIT_ASSERT_EQUAL(0, CountLogs(with, " owner-paces "));
    CPPUNIT_ASSERT(with.Log() == without.Log());
  }

  // Guards against two holders of a key while keys move for their owners' pace,
  // and against second moves that nobody counts.
  void testOneHolderWhileOwnersLeaveAndTheAssignerIsLost()
  {
    KeyPartSimulation simulation(4, 8);
    simulation.reportsOwnerTimes = true;
    CPPUNIT_ASSERT(Settle(simulation));
    RunWithReports(simulation, true, milliseconds(3000));
    simulation.Leave("u3");
    RunWithReports(simulation, true, milliseconds(3000));
    for (const char* name : { "u4", "u5", "u6" }) {
      simulation.Leave(name);
      RunWithReports(simulation, true, milliseconds(1500));
    }
    simulation.KillHost(simulation.Assigners().front());
    RunWithReports(simulation, true, milliseconds(10'000));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
    CPPUNIT_ASSERT(simulation.AreAllServed());
    CPPUNIT_ASSERT_EQUAL(CountLogs(simulation, " keys-move-again "),
                         simulation.SecondMoves());
    CPPUNIT_ASSERT(simulation.SecondMoves() > 0);
  }

  void testWildReportsAreIgnoredAndLoggedOnce()
  {
    KeyPartSimulation simulation(1, 4);
    simulation.reportsOwnerTimes = true;
    CPPUNIT_ASSERT(Settle(simulation));
    KeyedServices& keyed = simulation.KeyedAt("h0");
    keyed.OnOwnerTimes({ Report("u0", -5, 30'000), Report("u0", 5, -1),
                         Report("u0", 5, 2'000'000'000),
                         Report("unknown", 5, 30'000) });
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 }, keyed.IgnoredOwnerTimes());
    CPPUNIT_ASSERT_EQUAL(1, CountLogs(simulation, " owner-time-ignored "));
  }

private:
  static bool Settle(KeyPartSimulation& aSimulation)
  {
    const bool isServed = aSimulation.RunUntil(
      [&] { return aSimulation.AreAllServed(); }, milliseconds(20'000));
    aSimulation.RunFor(milliseconds(1000));
    return isServed && aSimulation.Assigners().size() == 1;
  }

  static int CountLogs(const KeyPartSimulation& aSimulation,
                       const std::string& aWhat)
  {
    return static_cast<int>(std::ranges::count_if(
      aSimulation.Log(), [&aWhat](const std::string& aLine) {
        return aLine.find(aWhat) != std::string::npos;
      }));
  }

  static void Respond(
    KeyPartSimulation& aSimulation, const std::string& aHost,
    const std::string& aUpstream, milliseconds aTook, int aCount,
    const std::optional<routing::UpstreamLoad>& aLoad = std::nullopt)
  {
    routing::Upstreams& upstreams = aSimulation.UpstreamsAt(aHost);
    const TimePoint now = aSimulation.Now();
    for (int i = 0; i < aCount; ++i) {
      upstreams.OnSent({ aUpstream }, now - aTook);
      upstreams.OnAttemptEnded({ aUpstream }, now - aTook, 0,
                               routing::AttemptResult::kServed, aLoad, now);
    }
  }

  static protocol::OwnerTime Report(const std::string& aUpstream, int aAnswers,
                                    std::int32_t aMicros)
  {
    protocol::OwnerTime time;
    time.__set_upstream(aUpstream);
    time.__set_answers(aAnswers);
    time.__set_serviceMicros(aMicros);
    return time;
  }

  // 200 requests a second for keys drawn evenly, for 20 s if not said
  // otherwise. u0 takes twice as long as the others, which only aReports say.
  // Returns the number of keys of each owner.
  static std::map<std::string, int> RunWithReports(
    KeyPartSimulation& aSimulation, bool aReports = true,
    milliseconds aTime = milliseconds(20'000))
  {
    constexpr milliseconds kStep{ 100 };
    constexpr int kUpstreams = 8;
    constexpr int kRequestsPerStep = 20;
    std::mt19937 random(1);
    for (milliseconds run{ 0 }; run < aTime; run += kStep) {
      protocol::KeyUse use;
      use.__set_serviceName(KeyPartSimulation::kService.value);
      for (int i = 0; i < kRequestsPerStep; ++i) {
        use.keys.push_back(
          static_cast<std::int32_t>(random() % (ownership::kLastKey + 1U)));
      }
      std::vector<protocol::OwnerTime> times;
      for (int i = 0; i < kUpstreams && aReports; ++i) {
        times.push_back(
          Report("u" + std::to_string(i), 2, i == 0 ? 60'000 : 30'000));
      }
      for (const std::string& host : aSimulation.Hosts()) {
        aSimulation.KeyedAt(host).OnKeyUses({ use });
        aSimulation.KeyedAt(host).OnOwnerTimes(times);
      }
      aSimulation.RunFor(kStep);
    }
    std::map<std::string, int> keys;
    for (int key = 0; key <= ownership::kLastKey; ++key) {
      ++keys[aSimulation.KeyedAt(aSimulation.Hosts().front())
               .OwnerOf(KeyPartSimulation::kService,
                        static_cast<ownership::Key>(key))
               .upstream.value];
    }
    return keys;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerTimesTest);

} // namespace kumquat::node
