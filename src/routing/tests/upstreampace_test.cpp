// Tests how fast upstreams that start or recover come to full use, and that
// they are not flooded until then.

#include "routing/upstreampace.h"

#include "routing/tests/pacesimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace kumquat::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

class UpstreamPaceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpstreamPaceTest);
  CPPUNIT_TEST(testWarmUpOfThreeSeconds);
  CPPUNIT_TEST(testShortWarmUp);
  CPPUNIT_TEST(testWarmAtOnce);
  CPPUNIT_TEST(testUpstreamThatIsNeverWarm);
  CPPUNIT_TEST(testUpstreamThatFallsOverBeyondItsPace);
  CPPUNIT_TEST(testUpstreamThatRecoversAndFallsAgain);
  CPPUNIT_TEST(testSingleBadAnswerMovesNothing);
  CPPUNIT_TEST(testHostsThatRestartKeepToTheColdRate);
  CPPUNIT_TEST(testUpstreamThatReturnsColdWithoutAnEntry);
  CPPUNIT_TEST(testRefusalsCutThePace);
  CPPUNIT_TEST(testUpstreamThatMayBeColdHasToShowThatItIsWarm);
  CPPUNIT_TEST(testNothingIsPacedWithoutTheSwitchOrAColdRate);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an upstream that is flooded at the end of its cold time, or
  // left idle after it.
  void testWarmUpOfThreeSeconds()
  {
    this->ForAllHosts([](PaceSimulation::Options&) {}, milliseconds(3000));
  }

  void testShortWarmUp()
  {
    this->ForAllHosts(
      [](PaceSimulation::Options& aOptions) {
        aOptions.coldFor = milliseconds(1000);
        aOptions.saidCold = milliseconds(1000);
        aOptions.coldFactor = 3;
      },
      milliseconds(1000));
  }

  void testWarmAtOnce()
  {
    this->ForAllHosts(
      [](PaceSimulation::Options& aOptions) {
        aOptions.coldFor = milliseconds(0);
        aOptions.saidCold = milliseconds(0);
      },
      milliseconds(0));
  }

  // Guards against an upstream that is flooded although it is slow, and against
  // one that is left idle for good.
  void testUpstreamThatIsNeverWarm()
  {
    for (const int hosts : kHosts) {
      Starts starts;
      for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        PaceSimulation::Options options;
        options.hosts = hosts;
        options.seed = seed;
        options.factorAfter = 2;
        options.load = 0.45;
        PaceSimulation simulation(options);
        const auto result = simulation.Simulate(milliseconds(20'000));
        CheckColdRate(simulation, options, result);
        starts.Add(simulation, result, milliseconds(16'000),
                   milliseconds(20'000));
      }
      CheckStarts(hosts, starts);
    }
  }

  void testUpstreamThatFallsOverBeyondItsPace()
  {
    this->ForAllHosts(
      [](PaceSimulation::Options& aOptions) { aOptions.fallsOver = true; },
      milliseconds(3000));
  }

  void testUpstreamThatRecoversAndFallsAgain()
  {
    this->ForAllHosts(
      [](PaceSimulation::Options& aOptions) {
        aOptions.fallsAgainAt = milliseconds(5000);
      },
      milliseconds(3000));
  }

  // Guards against a pace that is cut, or held, for one slow answer.
  void testSingleBadAnswerMovesNothing()
  {
    for (const int hosts : kHosts) {
      Starts starts;
      for (std::uint32_t seed = 1; seed <= 6; ++seed) {
        PaceSimulation::Options options;
        options.hosts = hosts;
        options.seed = seed;
        options.badAnswerAt = milliseconds(3100);
        // The slot that is held for a second leaves room for these.
        options.load = 0.7;
        PaceSimulation simulation(options);
        const auto result = simulation.Simulate(milliseconds(6000));
        CPPUNIT_ASSERT(!HasCut(result));
        starts.Add(simulation, result, milliseconds(4000), milliseconds(5000));
      }
      CheckStarts(hosts, starts);
    }
  }

  // Guards against hosts that restart while an upstream is cold and take the
  // whole of its rate, as they know no other host yet, or send again what the
  // process before them had sent.
  void testHostsThatRestartKeepToTheColdRate()
  {
    for (const int hosts : { 12, 82, 300 }) {
      for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        PaceSimulation::Options options;
        options.hosts = hosts;
        options.restarts = hosts / 2;
        options.coldPerSecond = 6.2;
        options.load = 2;
        options.seed = seed;
        PaceSimulation simulation(options);
        CheckColdRate(simulation, options,
                      simulation.Simulate(milliseconds(4000)));
      }
    }
  }

  // Guards against upstreams that are flooded as they come back cold with their
  // data centre while the store is silent.
  void testUpstreamThatReturnsColdWithoutAnEntry()
  {
    for (const int hosts : kHosts) {
      Starts starts;
      for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        PaceSimulation::Options options;
        options.hosts = hosts;
        options.coldPerSecond = 5.2;
        options.seed = seed;
        options.returnsUnsaid = true;
        PaceSimulation simulation(options);
        const auto result = simulation.Simulate(milliseconds(12'000));
        CheckColdRate(simulation, options, result);
        // It has to show that it is warm first.
        starts.Add(simulation, result, milliseconds(6000), milliseconds(8000));
      }
      CheckStarts(hosts, starts);
    }
  }

  // Guards against a pace that one refusal cuts, and against one that several
  // do not cut.
  void testRefusalsCutThePace()
  {
    PaceView view;
    view.now = TimePoint(seconds(100));
    view.slots = 8;
    UpstreamPace pace({ PaceStart::kNew, 10, 100, view.now }, view);
    const auto goOn = [&](int aAnswers, int aRefusals) {
      view.now += milliseconds(100);
      view.tally.answers += aAnswers;
      view.tally.sumMs += 100.0 * aAnswers;
      view.tally.refusals += aRefusals;
      return pace.Update(view);
    };
    goOn(1, 0);
    goOn(2, 0);
    const double before = pace.PerSecond();
    CPPUNIT_ASSERT(before > 30);
    CPPUNIT_ASSERT(!goOn(0, 1));
    CPPUNIT_ASSERT_EQUAL(before, pace.PerSecond());
    const auto change = goOn(0, 1);
    CPPUNIT_ASSERT(change && change->change == PaceChange::kCut &&
                   change->reason == PaceReason::kRefusals);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(before / 2, pace.PerSecond(), 0.1);
    // Never below the cold rate.
    for (int i = 0; i < 10; ++i) {
      goOn(0, 2);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, pace.PerSecond(), 0.1);
  }

  // Guards against an upstream that comes back cold, which its entry does not
  // say, and is taken for warm: only answers in the warm time raise its pace.
  void testUpstreamThatMayBeColdHasToShowThatItIsWarm()
  {
    PaceView view;
    view.now = TimePoint(seconds(100));
    view.slots = 8;
    const auto start = [&view](PaceStart aStart) {
      UpstreamPace pace({ aStart, 10, 100, view.now, seconds(5) }, view);
      view.now += seconds(1);
      return pace;
    };
    const auto answer = [&view](UpstreamPace& aPace, double aMs) {
      view.now += milliseconds(100);
      ++view.tally.answers;
      view.tally.sumMs += aMs;
      aPace.Update(view);
      return aPace.PerSecond();
    };
    UpstreamPace ejected = start(PaceStart::kEjected);
    for (int i = 0; i < 30; ++i) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(
        10.0, answer(ejected, i % 5 == 0 ? 100 : 200), 0.1);
    }
    for (int i = 0; i < 5; ++i) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, answer(ejected, 100), 0.1);
    }
    CPPUNIT_ASSERT(answer(ejected, 100) > 10);
    UpstreamPace returned = start(PaceStart::kReturned);
    for (int i = 0; i < 38; ++i) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(10.0, answer(returned, 100), 0.1);
    }
    view.now += milliseconds(200);
    CPPUNIT_ASSERT(answer(returned, 100) > 10);
  }

  // Guards against a pace where none is configured, and against other
  // decisions there.
  void testNothingIsPacedWithoutTheSwitchOrAColdRate()
  {
    std::vector<std::vector<TimePoint>> arrivals;
    for (const bool paces : { false, true }) {
      PaceSimulation::Options options;
      options.hosts = 12;
      options.coldPerSecond = 0;
      options.fallsAgainAt = milliseconds(5000);
      options.paces = paces;
      PaceSimulation simulation(options);
      CPPUNIT_ASSERT(simulation.Simulate(milliseconds(8000)).notices.empty());
      arrivals.push_back(simulation.Arrivals());
    }
    CPPUNIT_ASSERT(arrivals[0] == arrivals[1]);
    PaceSimulation::Options options;
    options.hosts = 12;
    options.fallsAgainAt = milliseconds(5000);
    options.paces = false;
    PaceSimulation simulation(options);
    CPPUNIT_ASSERT(simulation.Simulate(milliseconds(8000)).notices.empty());
  }

private:
  static constexpr int kHosts[] = { 1, 12, 82, 300 };

  template<typename Change>
  void ForAllHosts(Change aChange, milliseconds aWarmAt)
  {
    for (const int hosts : kHosts) {
      Starts starts;
      for (const double cold : { 5.0, 14.0 }) {
        for (std::uint32_t seed = 1; seed <= 3; ++seed) {
          PaceSimulation::Options options;
          options.hosts = hosts;
          options.coldPerSecond = cold;
          options.seed = seed;
          aChange(options);
          PaceSimulation simulation(options);
          const auto result = simulation.Simulate(milliseconds(12'000));
          CheckColdRate(simulation, options, result);
          starts.Add(simulation, result, aWarmAt + milliseconds(1000),
                     aWarmAt + milliseconds(2000));
        }
      }
      CheckStarts(hosts, starts);
    }
  }

  static bool HasCut(const PaceSimulation::Result& aResult)
  {
    return std::ranges::any_of(aResult.notices, [](const PaceNotice& aNotice) {
      return aNotice.change.change == PaceChange::kCut;
    });
  }

  static std::string About(const PaceSimulation::Options& aOptions)
  {
    return std::to_string(aOptions.hosts) + " hosts, cold rate " +
           std::to_string(aOptions.coldPerSecond) + ", seed " +
           std::to_string(aOptions.seed) + ": ";
  }

  // In any second while it is cold.
  static void CheckColdRate(const PaceSimulation& aSimulation,
                            const PaceSimulation::Options& aOptions,
                            const PaceSimulation::Result& aResult)
  {
    const std::string about = About(aOptions);
    CPPUNIT_ASSERT_MESSAGE(
      about + std::to_string(aResult.mostWhileCold) + " in a second",
      static_cast<double>(aResult.mostWhileCold) <= aSimulation.Bound());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(about, 0, aResult.falls);
  }

  // All starts that were simulated with so many hosts.
  struct Starts
  {
    double served = 0;
    double steady = 0;
    int arrivals = 0;
    int floods = 0;

    void Add(const PaceSimulation& aSimulation,
             const PaceSimulation::Result& aResult, milliseconds aFrom,
             milliseconds aTo)
    {
      this->served += aSimulation.ServedPerSecond(aFrom, aTo);
      this->steady += aSimulation.SteadyPerSecond();
      this->arrivals += aResult.arrivals;
      this->floods += aResult.floods;
    }
  };

  // The requests that come in a second vary by more than a tenth.
  static void CheckStarts(int aHosts, const Starts& aStarts)
  {
    constexpr double kMost = 0.85;
    const std::string about = std::to_string(aHosts) + " hosts: ";
    CPPUNIT_ASSERT_MESSAGE(about + std::to_string(aStarts.served) + " of " +
                             std::to_string(aStarts.steady),
                           aStarts.served >= kMost * aStarts.steady);
    CPPUNIT_ASSERT_MESSAGE(about + std::to_string(aStarts.floods) + " of " +
                             std::to_string(aStarts.arrivals),
                           100 * aStarts.floods <= aStarts.arrivals);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamPaceTest);

} // namespace kumquat::routing
