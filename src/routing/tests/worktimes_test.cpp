// Tests the estimates of the work of routes and of the pace of upstreams, where
// the truth is known.

#include "routing/worktimes.h"

#include "routing/upstreams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::routing {

using std::chrono::milliseconds;

namespace {

const state::ServiceName kService{ "s" };

Route MakeRoute(const std::string& aName, milliseconds aTarget)
{
  Route route;
  route.name = aName;
  route.hostName = "h";
  route.prefix = "/" + aName + "/";
  route.destinations = { { kService, 1.0 } };
  route.targetLatency = aTarget;
  return route;
}

Configuration MakeConfiguration(milliseconds aLongTarget,
                                milliseconds aShortTarget)
{
  Configuration configuration;
  configuration.version = 1;
  configuration.routes = { MakeRoute("long", aLongTarget),
                           MakeRoute("short", aShortTarget) };
  return configuration;
}

// Requests of two routes, one after the other, each at a random upstream. The
// upstreams have three paces, and a fifth of them take three times as long for
// 400 ms every two seconds.
class KnownLoad
{
public:
  std::map<std::string, double> workMs = { { "long", 690 }, { "short", 220 } };
  double longShare = 0.5;
  double sigma = 0.3;
  double failureShare = 0;
  Upstreams upstreams;
  WorkTimes works;
  TimePoint now{ std::chrono::hours(1) };

  explicit KnownLoad(int aUpstreams = 15, std::uint32_t aSeed = 1)
    : random(aSeed)
  {
    this->works.SetConfiguration(
      MakeConfiguration(milliseconds(2000), milliseconds(800)));
    for (int i = 0; i < aUpstreams; ++i) {
      this->PutUpstream(i, 1);
    }
    this->count = aUpstreams;
  }

  void PutUpstream(int aIndex, std::int64_t aStartedMs)
  {
    UpstreamEntry entry;
    entry.id = IdOf(aIndex);
    entry.service = kService;
    entry.slots = 6;
    entry.startedMs = aStartedMs;
    this->upstreams.PutEntry(entry, this->now);
  }

  static state::UpstreamId IdOf(int aIndex)
  {
    return { "u" + std::to_string(aIndex) };
  }

  double TypicalMs() { return this->upstreams.TypicalServiceMs(kService, now); }

  double PredictedMs(int aUpstream, const std::string& aRoute)
  {
    return EstimatedServiceMs(*this->upstreams.Find(IdOf(aUpstream)),
                              this->TypicalMs(), this->now) *
           this->works.WorkOf(kService, aRoute);
  }

  double TrueMs(int aUpstream, const std::string& aRoute) const
  {
    constexpr double kPaces[] = { 0.5, 1.0, 1.5 };
    const auto phase =
      (this->now.time_since_epoch() + milliseconds(311) * aUpstream) %
      milliseconds(2000);
    const bool isSlow = aUpstream % 5 == 0 && phase < milliseconds(400);
    return this->workMs.at(aRoute) * kPaces[aUpstream % 3] * (isSlow ? 3 : 1);
  }

  // Runs that many requests, 100 a second. aBefore and aAfter are called with
  // the upstream, the route, and the true mean or the time that it took.
  using Step = std::function<void(int, const std::string&, double)>;
  void Run(int aRequests, const Step& aBefore = {}, const Step& aAfter = {})
  {
    for (int i = 0; i < aRequests; ++i) {
      this->now += milliseconds(10);
      const int upstream =
        std::uniform_int_distribution<int>(0, this->count - 1)(this->random);
      const std::string route =
        std::bernoulli_distribution(this->longShare)(this->random) ? "long"
                                                                   : "short";
      const double trueMs = this->TrueMs(upstream, route);
      if (aBefore) {
        aBefore(upstream, route, trueMs);
      }
      const double tookMs =
        trueMs * std::lognormal_distribution<double>(
                   -this->sigma * this->sigma / 2, this->sigma)(this->random);
      const bool fails =
        std::bernoulli_distribution(this->failureShare)(this->random);
      this->End(upstream, route, fails ? 1 : tookMs,
                fails ? AttemptResult::kFailed : AttemptResult::kServed);
      if (aAfter && !fails) {
        aAfter(upstream, route, tookMs);
      }
    }
  }

  // As a dispatcher does at the end of an attempt.
  void End(int aUpstream, const std::string& aRoute, double aTookMs,
           AttemptResult aResult)
  {
    const UpstreamState& one = *this->upstreams.Find(IdOf(aUpstream));
    const double typicalMs = this->TypicalMs();
    if (aResult == AttemptResult::kServed && typicalMs > 0) {
      this->works.OnServed(kService, aRoute,
                           aTookMs /
                             EstimatedServiceMs(one, typicalMs, this->now));
    }
    const auto took = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(aTookMs));
    this->upstreams.OnAttemptEnded(IdOf(aUpstream), this->now - took, 0,
                                   aResult, {}, this->now,
                                   this->works.WorkOf(kService, aRoute));
    this->upstreams.ScaleServiceMs(kService, this->works.TakeFactor(kService));
  }

private:
  std::mt19937 random;
  int count = 0;
};

// The mean of |predicted - true| / true.
class MeanError
{
public:
  void Add(double aPredicted, double aTrue)
  {
    this->sum += std::abs(aPredicted - aTrue) / aTrue;
    ++this->count;
  }
  double Value() const { return this->sum / this->count; }

private:
  double sum = 0;
  int count = 0;
};

// One average for each upstream and route, or for each upstream alone. Where
// nothing is known, the mean over all.
class Averages
{
public:
  double PredictedMs(const std::string& aWhat) const
  {
    const auto found = this->averages.find(aWhat);
    return found != this->averages.end() ? found->second : this->all;
  }
  void Add(const std::string& aWhat, double aMs)
  {
    this->all += 0.02 * (aMs - this->all);
    const auto [average, isFirst] = this->averages.emplace(aWhat, aMs);
    average->second += 0.1 * (aMs - average->second);
  }

private:
  std::map<std::string, double> averages;
  double all = 455;
};

struct Errors
{
  double twoFactors = 0;
  double byUpstream = 0;
  double byUpstreamAndRoute = 0;
};

Errors Measure(KnownLoad& aLoad, int aFirst, int aRequests)
{
  MeanError twoFactors;
  MeanError byUpstream;
  MeanError byBoth;
  Averages upstreamAverages;
  Averages bothAverages;
  bool isCounting = false;
  const auto before = [&](int aUpstream, const std::string& aRoute,
                          double aTrueMs) {
    if (isCounting) {
      const std::string upstream = std::to_string(aUpstream);
      twoFactors.Add(aLoad.PredictedMs(aUpstream, aRoute), aTrueMs);
      byUpstream.Add(upstreamAverages.PredictedMs(upstream), aTrueMs);
      byBoth.Add(bothAverages.PredictedMs(upstream + aRoute), aTrueMs);
    }
  };
  const auto after = [&](int aUpstream, const std::string& aRoute,
                         double aTookMs) {
    const std::string upstream = std::to_string(aUpstream);
    upstreamAverages.Add(upstream, aTookMs);
    bothAverages.Add(upstream + aRoute, aTookMs);
  };
  aLoad.Run(aFirst, before, after);
  isCounting = true;
  aLoad.Run(aRequests, before, after);
  return { twoFactors.Value(), byUpstream.Value(), byBoth.Value() };
}

} // namespace

class WorkTimesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(WorkTimesTest);
  CPPUNIT_TEST(testTakesEffectOnlyForUnlikeTargets);
  CPPUNIT_TEST(testPredictsBetterThanOneMeanByUpstream);
  CPPUNIT_TEST(testPredictsBetterThanMeansByRouteWithFewResponses);
  CPPUNIT_TEST(testLoneResponseMovesAnEstimateByItsWeight);
  CPPUNIT_TEST(testWildResponseIsBounded);
  CPPUNIT_TEST(testAbandonedAttemptCountsOnlyIfItTookLonger);
  CPPUNIT_TEST(testErrorsAreNoMeasure);
  CPPUNIT_TEST(testRouteThatChangesItsWorkIsLearnedAgain);
  CPPUNIT_TEST(testReplacedUpstreamLeavesWorksAsTheyAre);
  CPPUNIT_TEST(testTypicalRequestKeepsTheMeanWork);
  CPPUNIT_TEST(testHostWithFewResponsesLearnsFromPeers);
  CPPUNIT_TEST_SUITE_END();

public:
  void testTakesEffectOnlyForUnlikeTargets()
  {
    WorkTimes works;
    works.SetConfiguration(
      MakeConfiguration(milliseconds(800), milliseconds(800)));
    CPPUNIT_ASSERT(!works.Covers(kService));
    works.OnServed(kService, "long", 3);
    CPPUNIT_ASSERT_EQUAL(1.0, works.WorkOf(kService, "long"));
    CPPUNIT_ASSERT_EQUAL(1.0, works.TakeFactor(kService));
    CPPUNIT_ASSERT(works.TakeReports().empty());
    Configuration withoutRequests =
      MakeConfiguration(milliseconds(2000), milliseconds(800));
    withoutRequests.routes[0].destinations[0].weight = 0;
    works.SetConfiguration(withoutRequests);
    CPPUNIT_ASSERT(!works.Covers(kService));
    works.SetConfiguration(
      MakeConfiguration(milliseconds(2000), milliseconds(800)));
    CPPUNIT_ASSERT(works.Covers(kService));
    works.OnServed(kService, "long", 3);
    CPPUNIT_ASSERT_EQUAL(3.0, works.WorkOf(kService, "long"));
    CPPUNIT_ASSERT_EQUAL(1.0, works.WorkOf(kService, "short"));
    CPPUNIT_ASSERT_EQUAL(1.0, works.WorkOf(kService, "other"));
  }

  void testPredictsBetterThanOneMeanByUpstream()
  {
    for (const double longShare : { 0.1, 0.5, 0.8 }) {
      const Errors errors = MeanOfSeeds(15, longShare, 1000);
      CPPUNIT_ASSERT(errors.twoFactors < 0.16);
      CPPUNIT_ASSERT(errors.twoFactors < errors.byUpstream / 2);
      // With many responses of each route from each upstream, averages over
      // just these are about as good.
      CPPUNIT_ASSERT(errors.twoFactors < 1.1 * errors.byUpstreamAndRoute);
    }
  }

  // Five responses from each upstream.
  void testPredictsBetterThanMeansByRouteWithFewResponses()
  {
    const Errors errors = MeanOfSeeds(60, 0.5, 300);
    CPPUNIT_ASSERT(errors.twoFactors < 0.9 * errors.byUpstreamAndRoute);
  }

  void testLoneResponseMovesAnEstimateByItsWeight()
  {
    WorkTimes works = CoveredWorks();
    for (int i = 0; i < 200; ++i) {
      works.OnServed(kService, "short", 0.5);
    }
    works.OnServed(kService, "short", 10);
    CPPUNIT_ASSERT(works.WorkOf(kService, "short") < 0.5 + 0.031 * 9.5);
    CPPUNIT_ASSERT_EQUAL(1.0, works.WorkOf(kService, "long"));
  }

  // Guards against a route that is refused everywhere after one usual response
  // of an upstream whose only other one was a quick error.
  void testWildResponseIsBounded()
  {
    WorkTimes works = CoveredWorks();
    for (int i = 0; i < 200; ++i) {
      works.OnServed(kService, "short", 0.5);
    }
    works.OnServed(kService, "short", 88);
    CPPUNIT_ASSERT(works.WorkOf(kService, "short") < 0.61);
    WorkTimes unknown = CoveredWorks();
    unknown.OnPeerReports({ { kService, "short", 500, 1 } });
    CPPUNIT_ASSERT(unknown.WorkOf(kService, "short") <= 4);
  }

  void testAbandonedAttemptCountsOnlyIfItTookLonger()
  {
    WorkTimes works = CoveredWorks();
    works.OnServed(kService, "long", 2);
    works.OnAbandoned(kService, "long", 1);
    CPPUNIT_ASSERT_EQUAL(2.0, works.WorkOf(kService, "long"));
    works.OnAbandoned(kService, "long", 4);
    CPPUNIT_ASSERT_EQUAL(3.0, works.WorkOf(kService, "long"));
  }

  // Guards against taking errors, which come at once, for quick responses.
  void testErrorsAreNoMeasure()
  {
    KnownLoad load;
    load.failureShare = 0.3;
    load.Run(3000);
    AssertNear(690.0 / 220, WorkRatio(load), 0.15);
  }

  // Guards against keeping what a route took before a release of its service,
  // and against taking the change for one of the upstreams.
  void testRouteThatChangesItsWorkIsLearnedAgain()
  {
    KnownLoad load;
    load.Run(3000);
    load.workMs["long"] = 300;
    load.works.SetConfiguration(
      MakeConfiguration(milliseconds(900), milliseconds(800)));
    AssertNear(690.0 / 220, WorkRatio(load), 0.15);
    load.Run(300);
    AssertNear(300.0 / 220, WorkRatio(load), 0.2);
    AssertNear(load.TrueMs(7, "short"), load.PredictedMs(7, "short"), 0.35);
  }

  // Guards against learning the pace of a new upstream as work of a route.
  void testReplacedUpstreamLeavesWorksAsTheyAre()
  {
    KnownLoad load;
    load.Run(3000);
    load.PutUpstream(7, 2);
    const double before = WorkRatio(load);
    AssertNear(load.TypicalMs() * load.works.WorkOf(kService, "short"),
               load.PredictedMs(7, "short"), 0.001);
    load.Run(300);
    AssertNear(before, WorkRatio(load), 0.15);
    AssertNear(load.TrueMs(7, "short"), load.PredictedMs(7, "short"), 0.35);
  }

  // Guards against works and times that grow or shrink together without end,
  // which no prediction would show, and hosts without works would misread.
  void testTypicalRequestKeepsTheMeanWork()
  {
    KnownLoad load;
    load.longShare = 0.2;
    load.Run(100'000);
    const double mean = 0.2 * load.works.WorkOf(kService, "long") +
                        0.8 * load.works.WorkOf(kService, "short");
    AssertNear(1, mean, 0.2);
  }

  // Guards against a host that gets one response in a hundred and learns
  // nothing, also if half of the digests are lost.
  void testHostWithFewResponsesLearnsFromPeers()
  {
    for (const bool areSomeLost : { false, true }) {
      KnownLoad busy;
      KnownLoad quiet;
      for (int i = 0; i < 100; ++i) {
        busy.Run(20);
        quiet.now = busy.now;
        const auto uses = busy.upstreams.TakeReports();
        const auto reports = busy.works.TakeReports();
        CPPUNIT_ASSERT(busy.works.TakeReports().empty());
        if (!areSomeLost || i % 2 == 0) {
          quiet.upstreams.OnPeerReports({ "busy" }, uses, quiet.now);
          quiet.works.OnPeerReports(reports);
        }
        quiet.End(i % 15, "short", quiet.TrueMs(i % 15, "short"),
                  AttemptResult::kServed);
      }
      AssertNear(690.0 / 220, WorkRatio(quiet), 0.2);
      AssertNear(busy.PredictedMs(7, "long"), quiet.PredictedMs(7, "long"),
                 0.25);
    }
  }

private:
  static WorkTimes CoveredWorks()
  {
    WorkTimes works;
    works.SetConfiguration(
      MakeConfiguration(milliseconds(2000), milliseconds(800)));
    return works;
  }

  static double WorkRatio(const KnownLoad& aLoad)
  {
    return aLoad.works.WorkOf(kService, "long") /
           aLoad.works.WorkOf(kService, "short");
  }

  static void AssertNear(double aExpected, double aActual, double aShare)
  {
    CPPUNIT_ASSERT_DOUBLES_EQUAL(aExpected, aActual, aShare * aExpected);
  }

  static Errors MeanOfSeeds(int aUpstreams, double aLongShare, int aFirst)
  {
    constexpr int kSeeds = 3;
    Errors mean;
    for (std::uint32_t seed = 1; seed <= kSeeds; ++seed) {
      KnownLoad load(aUpstreams, seed);
      load.longShare = aLongShare;
      const Errors errors = Measure(load, aFirst, 1000);
      mean.twoFactors += errors.twoFactors / kSeeds;
      mean.byUpstream += errors.byUpstream / kSeeds;
      mean.byUpstreamAndRoute += errors.byUpstreamAndRoute / kSeeds;
    }
    return mean;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(WorkTimesTest);

} // namespace kumquat::routing
