// Tests of counters, gauges, quantiles and the exposition text.

#include "framework/metrics.h"
#include "protocol/errorcounters.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <string>

namespace kumquat {

class MetricsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(testExpositionText);
  CPPUNIT_TEST(testQuantilesOfFewAndManyValues);
  CPPUNIT_TEST(testQuantilesForgetValuesOutsideTheWindows);
  CPPUNIT_TEST(testEveryErrorKindHasACounterFromTheStart);
  CPPUNIT_TEST_SUITE_END();

public:
  void testExpositionText()
  {
    Metrics metrics(this->clock);
    metrics.GetOrCreateCounter("kumquat_x_total", "Xs.", { { "kind", "a\"b" } })
      .Add(2);
    metrics.GetOrCreateCounter("kumquat_x_total", "", { { "kind", "a\"b" } })
      .Add();
    metrics.GetOrCreateGauge("kumquat_ready", "Ready.").Set(-1);
    metrics.GetOrCreateSummary("kumquat_s", "S.", { { "service", "stoc" } })
      .Observe(std::chrono::milliseconds(250));
    const std::string expected =
      "# HELP kumquat_x_total Xs.\n"
      "# TYPE kumquat_x_total counter\n"
      "kumquat_x_total{kind=\"a\\\"b\"} 3\n"
      "# HELP kumquat_ready Ready.\n"
      "# TYPE kumquat_ready gauge\n"
      "kumquat_ready -1\n"
      "# HELP kumquat_s S.\n"
      "# TYPE kumquat_s summary\n"
      "kumquat_s{service=\"stoc\",quantile=\"0.5\"} 0.25\n"
      "kumquat_s{service=\"stoc\",quantile=\"0.9\"} 0.25\n"
      "kumquat_s{service=\"stoc\",quantile=\"0.99\"} 0.25\n"
      "kumquat_s{service=\"stoc\",quantile=\"0.999\"} 0.25\n"
      "kumquat_s_sum{service=\"stoc\"} 0.25\n"
      "kumquat_s_count{service=\"stoc\"} 1\n";
    CPPUNIT_ASSERT_EQUAL(expected, metrics.Text());
  }

  // Up to 32 values the quantiles are exact; with more they are estimated.
  void testQuantilesOfFewAndManyValues()
  {
    Summary summary(this->clock);
    CPPUNIT_ASSERT(std::isnan(summary.Quantile(0.5)));
    for (int i = 1; i <= 10; ++i) {
      summary.Observe(std::chrono::seconds(i));
    }
    CPPUNIT_ASSERT_EQUAL(5.0, summary.Quantile(0.5));
    CPPUNIT_ASSERT_EQUAL(10.0, summary.Quantile(0.99));
    // 7919 and 10,000 have no common divisor, so each value from 0 to 9,999 ms
    // is observed once, in a scattered order.
    for (int i = 0; i < 10'000; ++i) {
      summary.Observe(std::chrono::milliseconds(i * 7919 % 10'000));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, summary.Quantile(0.5), 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9.9, summary.Quantile(0.99), 0.1);
  }

  // Operators look at the last minutes. Quantiles over all values since the
  // start would hide a slow hour after a fast week.
  void testQuantilesForgetValuesOutsideTheWindows()
  {
    Summary summary(this->clock);
    summary.Observe(std::chrono::seconds(1));
    this->now += Summary::kWindow;
    summary.Observe(std::chrono::seconds(9));
    CPPUNIT_ASSERT_EQUAL(1.0, summary.Quantile(0.5));
    this->now += Summary::kWindow;
    CPPUNIT_ASSERT_EQUAL(9.0, summary.Quantile(0.5));
    this->now += 2 * Summary::kWindow;
    CPPUNIT_ASSERT(std::isnan(summary.Quantile(0.5)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, summary.Count());
  }

  // Every error kind has its counter from the start, at 0, so that the first
  // refusal shows as a rise.
  void testEveryErrorKindHasACounterFromTheStart()
  {
    Metrics metrics(this->clock);
    protocol::ErrorCounters refusals(metrics, "kumquat_refusals_total",
                                     "Refusals.", "kind");
    refusals.Add(protocol::ErrorKind::kInternal);
    const std::string text = metrics.Text();
    for (const protocol::ErrorInfo& info : protocol::ErrorTable()) {
      const std::string line =
        "kumquat_refusals_total{kind=\"" + std::string(info.name) + "\"} " +
        (info.kind == protocol::ErrorKind::kInternal ? "1\n" : "0\n");
      CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }
  }

private:
  TimePoint now{ std::chrono::hours(1) };
  Clock clock = [this] { return this->now; };
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace kumquat
