// Tests what is known of the limits that upstreams name, and that all hosts
// together keep to them.

#include "routing/upstreamlimits.h"

#include "framework/tests/mostinspan.h"
#include "routing/cells.h"
#include "routing/tests/hostnames.h"
#include "routing/upstreamratelimiter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const state::UpstreamId kUpstream{ "u" };

// 1.5 times what the limit allows in four seconds, and five requests.
constexpr seconds kSpan{ 4 };
double Allowed(double aPerSecond)
{
  return 1.5 * aPerSecond * 4 + 5;
}

} // namespace

class UpstreamLimitsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpstreamLimitsTest);
  CPPUNIT_TEST(testLimitHoldsAsLongAsItIsNamed);
  CPPUNIT_TEST(testPeersAreToldOfChangesOnly);
  CPPUNIT_TEST(testNewestWordCounts);
  CPPUNIT_TEST(testLimitInSomeResponsesOnlyHolds);
  CPPUNIT_TEST(testLimitOfZeroLeavesAProbe);
  CPPUNIT_TEST(testHugeLimitIsCut);
  CPPUNIT_TEST(testRestartedUpstreamHasNoLimit);
  CPPUNIT_TEST(testHostsTogetherKeepToTheLimit);
  CPPUNIT_TEST(testOneCellAloneUsesALimitedUpstream);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->limits =
      std::make_unique<UpstreamLimits>([this] { return this->now; });
  }

  void testLimitHoldsAsLongAsItIsNamed()
  {
    CPPUNIT_ASSERT(!this->limits->OnResponse(kUpstream, {}));
    CPPUNIT_ASSERT(this->limits->IsEmpty());
    CPPUNIT_ASSERT(this->limits->OnResponse(kUpstream, 1.4));
    CPPUNIT_ASSERT_EQUAL(1.4, *this->limits->RateOf(kUpstream));
    this->now += seconds(1);
    const auto ended = this->limits->OnResponse(kUpstream, {});
    CPPUNIT_ASSERT(ended && !ended->perSecond);
    CPPUNIT_ASSERT(!this->limits->RateOf(kUpstream));
    this->now += seconds(31);
    this->limits->RemoveOld();
    CPPUNIT_ASSERT(this->limits->IsEmpty());
  }

  void testPeersAreToldOfChangesOnly()
  {
    CPPUNIT_ASSERT(this->limits->OnResponse(kUpstream, 2.0));
    this->now += seconds(1);
    CPPUNIT_ASSERT(!this->limits->OnResponse(kUpstream, 2.0));
    CPPUNIT_ASSERT(!this->limits->OnResponse(kUpstream, 2.05));
    CPPUNIT_ASSERT(this->limits->OnResponse(kUpstream, 3.0));
    // Again from time to time, or peers that may not send would forget it.
    this->now += seconds(11);
    CPPUNIT_ASSERT(this->limits->OnResponse(kUpstream, 3.0));
  }

  void testNewestWordCounts()
  {
    static_cast<void>(this->limits->OnResponse(kUpstream, 2.0));
    this->limits->OnReport({ kUpstream, {}, this->now - seconds(1) });
    CPPUNIT_ASSERT(this->limits->RateOf(kUpstream));
    this->now += seconds(2);
    this->limits->OnReport({ kUpstream, {}, this->now - seconds(1) });
    CPPUNIT_ASSERT(!this->limits->RateOf(kUpstream));
    this->limits->OnReport({ kUpstream, 5.0, this->now });
    CPPUNIT_ASSERT_EQUAL(5.0, *this->limits->RateOf(kUpstream));
  }

  // Guards against a flood of notices, and of requests, where an upstream names
  // its limit in every second response.
  void testLimitInSomeResponsesOnlyHolds()
  {
    int told = 0;
    for (int i = 0; i < 100; ++i) {
      told += this->limits->OnResponse(
                kUpstream, i % 2 == 0 ? std::optional(1.4) : std::nullopt)
                ? 1
                : 0;
      CPPUNIT_ASSERT(this->limits->RateOf(kUpstream));
      this->now += milliseconds(20);
    }
    CPPUNIT_ASSERT_EQUAL(1, told);
  }

  void testLimitOfZeroLeavesAProbe()
  {
    static_cast<void>(this->limits->OnResponse(kUpstream, 0.0));
    CPPUNIT_ASSERT_EQUAL(kMinUpstreamLimit, *this->limits->RateOf(kUpstream));
    CPPUNIT_ASSERT(4 * kMinUpstreamLimit + 3 <= Allowed(0));
  }

  void testHugeLimitIsCut()
  {
    constexpr double kHuge = 1e300;
    const auto told = this->limits->OnResponse(kUpstream, kHuge);
    CPPUNIT_ASSERT_EQUAL(kMaxUpstreamLimit, *told->perSecond);
    this->limits->OnReport({ kUpstream, kHuge, this->now });
    CPPUNIT_ASSERT_EQUAL(kMaxUpstreamLimit, *this->limits->RateOf(kUpstream));
  }

  void testRestartedUpstreamHasNoLimit()
  {
    static_cast<void>(this->limits->OnResponse(kUpstream, 2.0));
    this->limits->Forget(kUpstream);
    CPPUNIT_ASSERT(!this->limits->RateOf(kUpstream));
  }

  // Guards against more than the limit in any span of four seconds, with
  // requests at all hosts at random times, while hosts come and go.
  void testHostsTogetherKeepToTheLimit()
  {
    for (const int count : { 12, 82, 300 }) {
      for (const double perSecond : { 0.25, 1.4, 3.4, 20.0, 150.0 }) {
        for (unsigned seed = 1; seed <= 2; ++seed) {
          this->CheckHosts(count, perSecond, seed);
        }
      }
    }
  }

  // Guards against a limited upstream that gets its limit from each of the
  // cells that it belongs to: six upstreams for hundreds of hosts.
  void testOneCellAloneUsesALimitedUpstream()
  {
    constexpr std::size_t kUpstreams = 6;
    for (const int count : { 12, 82, 300, 985 }) {
      std::vector<CellHost> all;
      for (const state::HostId& id : HostNames(count)) {
        all.push_back({ id, { "dc" + std::to_string(all.size() % 3) }, 1 });
      }
      std::vector<std::set<std::pair<double, double>>> cells(kUpstreams);
      for (const CellHost& host : all) {
        Cells own(host.id);
        own.SetHosts(all);
        const FractionRange range = own.OwnRange();
        for (std::size_t place = 0; place < kUpstreams; ++place) {
          if (BeginsInRange(range, place, kUpstreams)) {
            CPPUNIT_ASSERT(OverlapsRange(range, place, kUpstreams));
            cells[place].insert({ range.begin, range.end });
          }
        }
      }
      CPPUNIT_ASSERT(std::ranges::all_of(
        cells, [](const auto& aCells) { return aCells.size() == 1; }));
    }
  }

private:
  void CheckHosts(int aCount, double aPerSecond, unsigned aSeed)
  {
    constexpr milliseconds kStep{ 5 };
    constexpr int kSteps = 4000;
    constexpr int kStepsPerChange = 400;
    std::mt19937 random(aSeed);
    std::vector<state::HostId> hosts = HostNames(aCount);
    std::vector<UpstreamRateLimiter> limiters(hosts.begin(), hosts.end());
    const SharedRate rate = LimitRate(aPerSecond);
    std::size_t frozen = 0;
    std::vector<TimePoint> sent;
    for (int step = 0; step < kSteps; ++step) {
      if (step % kStepsPerChange == 0) {
        // Another host stands still. One is lost or comes back; not all hear of
        // it.
        frozen = random() % hosts.size();
        std::vector<state::HostId> others = hosts;
        others.erase(others.begin() +
                     static_cast<std::ptrdiff_t>(random() % others.size()));
        for (UpstreamRateLimiter& limiter : limiters) {
          limiter.SetHosts(random() % 4 == 0 ? others : hosts);
        }
      }
      const TimePoint at = this->now + step * kStep;
      for (std::size_t i = 0; i < limiters.size(); ++i) {
        UpstreamRateLimiter& limiter = limiters[i];
        if (i != frozen && random() % 3 == 0 &&
            limiter.MaySend(kUpstream, rate, at)) {
          limiter.OnSent(kUpstream, at);
          sent.push_back(at);
        }
      }
    }
    const auto most = MostInSpan(sent, kSpan);
    const std::string message = std::to_string(most) + " at " +
                                std::to_string(aCount) + " hosts, limit " +
                                std::to_string(aPerSecond);
    CPPUNIT_ASSERT_MESSAGE(message,
                           static_cast<double>(most) <= Allowed(aPerSecond));
    // Most of it is used where there are requests at all hosts.
    CPPUNIT_ASSERT_MESSAGE(message,
                           static_cast<double>(most) >= 3 * aPerSecond);
  }

  TimePoint now;
  std::unique_ptr<UpstreamLimits> limits;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamLimitsTest);

} // namespace kumquat::routing
