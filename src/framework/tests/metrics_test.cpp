// Counters, quantiles and their text.

#include "framework/metrics.h"
#include "protocol/errorcounters.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <string>

namespace kumquat {

class MetricsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(MetricsTest);
  CPPUNIT_TEST(testText);
  CPPUNIT_TEST(testQuantilesOfFewAndMany);
  CPPUNIT_TEST(testOldValuesLeaveTheQuantiles);
  CPPUNIT_TEST(testEveryErrorKindHasItsCounter);
  CPPUNIT_TEST_SUITE_END();

public:
  void testText()
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

  void testQuantilesOfFewAndMany()
  {
    Summary summary(this->clock);
    CPPUNIT_ASSERT(std::isnan(summary.Quantile(0.5)));
    for (int i = 1; i <= 10; ++i) {
      summary.Observe(std::chrono::seconds(i));
    }
    CPPUNIT_ASSERT_EQUAL(5.0, summary.Quantile(0.5));
    CPPUNIT_ASSERT_EQUAL(10.0, summary.Quantile(0.99));
    // 7919 is prime to 10,000: each value once, in no order.
    for (int i = 0; i < 10'000; ++i) {
      summary.Observe(std::chrono::milliseconds(i * 7919 % 10'000));
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(5.0, summary.Quantile(0.5), 0.1);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(9.9, summary.Quantile(0.99), 0.1);
  }

  // A slow hour must not hide in the quantiles of a fast week: what operators
  // look at is the last minutes.
  void testOldValuesLeaveTheQuantiles()
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

  void testEveryErrorKindHasItsCounter()
  {
    Metrics metrics(this->clock);
    protocol::ErrorCounters refusals(metrics, "kumquat_refusals_total",
                                     "Refusals.", "kind");
    refusals.Add(protocol::ErrorKind::kInternal);
    const std::string text = metrics.Text();
    for (const protocol::ErrorInfo& answer : protocol::ErrorTable()) {
      const std::string line =
        "kumquat_refusals_total{kind=\"" + std::string(answer.name) + "\"} " +
        (answer.kind == protocol::ErrorKind::kInternal ? "1\n" : "0\n");
      CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }
  }

private:
  TimePoint now{ std::chrono::hours(1) };
  Clock clock = [this] { return this->now; };
};

CPPUNIT_TEST_SUITE_REGISTRATION(MetricsTest);

} // namespace kumquat
