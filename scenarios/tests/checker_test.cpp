// The checker has to see each broken promise; otherwise every scenario passes.

#include "scenarios/checker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace kumquat::scenarios {

class CheckerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CheckerTest);
  CPPUNIT_TEST(testRunTwice);
  CPPUNIT_TEST(testNotRunThatRan);
  CPPUNIT_TEST(testNotRunOfAnEarlierAttemptIsTrue);
  CPPUNIT_TEST(testForeignAnswer);
  CPPUNIT_TEST(testCutInAPlannedStop);
  CPPUNIT_TEST(testTwoOwners);
  CPPUNIT_TEST(testOverlappingRuns);
  CPPUNIT_TEST(testColdAndLeavingUpstreams);
  CPPUNIT_TEST(testWorstGap);
  CPPUNIT_TEST_SUITE_END();

public:
  void testRunTwice()
  {
    Evidence evidence;
    evidence.runs = { Run("archeb-1", 0, 10), Run("archeb-2", 20, 30) };
    AssertFaults(0, evidence);
    evidence.runs[0].idempotencyKey = "deposit";
    evidence.runs[1].idempotencyKey = "deposit";
    AssertFaults(1, evidence);
    evidence.runs[0].outcome = "aborted";
    AssertFaults(0, evidence);
  }

  void testNotRunThatRan()
  {
    Evidence evidence;
    evidence.callers = { Caller({ { .start = 0, .outcome = "not-run" } }) };
    AssertFaults(0, evidence);
    evidence.runs = { Run("archeb-1", 5, 10) };
    AssertFaults(1, evidence);
  }

  void testNotRunOfAnEarlierAttemptIsTrue()
  {
    Evidence evidence;
    evidence.callers = { Caller({ { .start = 0, .outcome = "not-run" },
                                  { .start = 4, .outcome = "ran" } }) };
    evidence.runs = { Run("archeb-1", 5, 10) };
    AssertFaults(0, evidence);
  }

  void testForeignAnswer()
  {
    Evidence evidence;
    evidence.callers = { Caller({ { .verdict = AttemptVerdict::kForeign } }) };
    AssertFaults(1, evidence);
  }

  void testCutInAPlannedStop()
  {
    Evidence evidence;
    evidence.callers = { Caller({ { .verdict = AttemptVerdict::kCut } }) };
    AssertFaults(0, evidence);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         Check(evidence, { .nothingCut = true }).size());
    evidence.callers = { Caller(
      { { .verdict = AttemptVerdict::kRefused, .outcome = "unknown" } }) };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         Check(evidence, { .nothingCut = true }).size());
  }

  void testTwoOwners()
  {
    Evidence evidence;
    evidence.tenures = { { "stoc", "stoc-1", 0, 99, 0, 50 },
                         { "stoc", "stoc-2", 99, 200, 50, 90 } };
    AssertFaults(0, evidence);
    evidence.tenures[1].from = 49;
    AssertFaults(1, evidence);
  }

  void testOverlappingRuns()
  {
    Evidence evidence;
    evidence.keyedServices = { "archeb" };
    evidence.runs = { Run("archeb-1", 0, 10), Run("archeb-2", 9, 30) };
    AssertFaults(1, evidence);
    evidence.runs[1].start = 10;
    AssertFaults(0, evidence);
  }

  void testColdAndLeavingUpstreams()
  {
    Evidence evidence;
    evidence.collapsed = { "pecyn-1" };
    AssertFaults(1, evidence);
    evidence.runs = { Run("pecyn-2", 0, 10) };
    evidence.runs[0].state = "draining";
    evidence.runs[0].stateFor = 3'000'001;
    AssertFaults(2, evidence);
  }

  // One key is refused for 3 s while others are answered: the service counts
  // as available, its key does not.
  void testWorstGap()
  {
    const auto at = [](std::int64_t aStart, AttemptVerdict aVerdict) {
      return Caller({ { .start = aStart, .verdict = aVerdict } });
    };
    std::vector<CallerRecord> callers = {
      at(1'000'000, AttemptVerdict::kRefused),
      at(2'000'000, AttemptVerdict::kLost),
      at(4'000'000, AttemptVerdict::kAnswered),
    };
    callers.push_back(at(1'000'000, AttemptVerdict::kAnswered));
    callers.back().key = "another";
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, Figures(callers)[0].worstGapSeconds, 1e-9);
  }

private:
  static RunRecord Run(const std::string& aInstance, std::int64_t aStart,
                       std::int64_t aEnd)
  {
    return { .service = "archeb",
             .instance = aInstance,
             .key = "k",
             .target = "/x?n=1",
             .state = "warm",
             .outcome = "ran",
             .start = aStart,
             .end = aEnd };
  }

  static CallerRecord Caller(std::vector<Attempt> aAttempts)
  {
    return { .service = "archeb",
             .target = "/x?n=1",
             .attempts = std::move(aAttempts) };
  }

  static void AssertFaults(std::size_t aCount, const Evidence& aEvidence)
  {
    CPPUNIT_ASSERT_EQUAL(aCount, Check(aEvidence, {}).size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckerTest);

} // namespace kumquat::scenarios
