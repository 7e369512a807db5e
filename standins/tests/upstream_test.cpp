// What an upstream instance takes and what it refuses.

#include "standins/upstream.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace kumquat::standins {

using std::chrono::milliseconds;

class UpstreamTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpstreamTest);
  CPPUNIT_TEST(testShedsBeyondItsSlots);
  CPPUNIT_TEST(testLowerEpochIsFenced);
  CPPUNIT_TEST(testKeyedWorkNeedsItsGrant);
  CPPUNIT_TEST(testFrozenPastItsGrantDoesNotTakeEffect);
  CPPUNIT_TEST(testLateRenewalOfARevokedGrantIsRefused);
  CPPUNIT_TEST(testColdInstanceFallsOverWhenGivenMoreThanItBears);
  CPPUNIT_TEST_SUITE_END();

public:
  void testShedsBeyondItsSlots()
  {
    Upstream upstream({ .slots = 1 });
    CPPUNIT_ASSERT(upstream.Admit(Order(0), this->now) == Admission::kRun);
    CPPUNIT_ASSERT(upstream.Admit(Order(0), this->now) == Admission::kShed);
    CPPUNIT_ASSERT(upstream.Finish(Order(0), this->now));
    CPPUNIT_ASSERT(upstream.Admit(Order(0), this->now) == Admission::kRun);
  }

  // A steward is deposed while it sleeps and sends its old orders when it
  // wakes: they must not run beside its successor's.
  void testLowerEpochIsFenced()
  {
    Upstream upstream({});
    CPPUNIT_ASSERT(upstream.Fence("new", 7));
    CPPUNIT_ASSERT(upstream.Admit(Order(6), this->now) == Admission::kFenced);
    CPPUNIT_ASSERT(!upstream.Fence("old", 6));
    CPPUNIT_ASSERT(upstream.Admit(Order(7), this->now) == Admission::kRun);
  }

  void testKeyedWorkNeedsItsGrant()
  {
    Upstream upstream({ .keyed = true });
    CPPUNIT_ASSERT(upstream.Admit(Order(1, 4), this->now) ==
                   Admission::kFenced);
    CPPUNIT_ASSERT(upstream.Give(1, "0", this->GrantOf(4, 1)));
    CPPUNIT_ASSERT(upstream.Admit(Order(1, 3), this->now) ==
                   Admission::kFenced);
    CPPUNIT_ASSERT(upstream.Admit(Order(1, 4), this->now) == Admission::kRun);
    this->now += milliseconds(2000);
    CPPUNIT_ASSERT(upstream.Admit(Order(1, 4), this->now) ==
                   Admission::kFenced);
  }

  // A server freezes while it runs a lookup, its slice goes to another, and
  // it thaws: what it then finishes must be dropped.
  void testFrozenPastItsGrantDoesNotTakeEffect()
  {
    Upstream upstream({ .keyed = true });
    upstream.Give(1, "0", this->GrantOf(4, 1));
    CPPUNIT_ASSERT(upstream.Admit(Order(1, 4), this->now) == Admission::kRun);
    this->now += milliseconds(2001);
    CPPUNIT_ASSERT(!upstream.Finish(Order(1, 4), this->now));
    CPPUNIT_ASSERT_EQUAL(0, upstream.Running());
  }

  // A renewal is held up in the network until after its slice was revoked;
  // were it taken, two instances would hold the slice.
  void testLateRenewalOfARevokedGrantIsRefused()
  {
    Upstream upstream({ .keyed = true });
    upstream.Give(1, "0", this->GrantOf(4, 1));
    CPPUNIT_ASSERT(upstream.Revoke(1, "0", 4));
    CPPUNIT_ASSERT(!upstream.Give(1, "0", this->GrantOf(4, 2)));
    CPPUNIT_ASSERT(upstream.Admit(Order(1, 4), this->now) ==
                   Admission::kFenced);
    CPPUNIT_ASSERT(upstream.Give(1, "0", this->GrantOf(5, 1)));
  }

  void testColdInstanceFallsOverWhenGivenMoreThanItBears()
  {
    Upstream upstream({ .coldAnswers = 2, .coldGrace = milliseconds(10) });
    upstream.Restart(this->now, false);
    this->now += milliseconds(11);
    CPPUNIT_ASSERT_EQUAL(1, upstream.Bears());
    CPPUNIT_ASSERT(upstream.Admit(Order(1), this->now) == Admission::kRun);
    CPPUNIT_ASSERT(upstream.Admit(Order(1), this->now) == Admission::kCollapse);
    CPPUNIT_ASSERT(upstream.Finish(Order(1), this->now));
    CPPUNIT_ASSERT_EQUAL(2, upstream.Bears());
    CPPUNIT_ASSERT(upstream.Admit(Order(1), this->now) == Admission::kRun);
    CPPUNIT_ASSERT(upstream.Finish(Order(1), this->now));
    CPPUNIT_ASSERT(upstream.State() == UpstreamState::kWarm);
  }

private:
  static WorkOrder Order(std::int64_t aEpoch, std::int64_t aSliceEpoch = 0)
  {
    return { .requestId = "r",
             .key = "pabell-7",
             .epoch = aEpoch,
             .sliceEpoch = aSliceEpoch };
  }

  Grant GrantOf(std::int64_t aSliceEpoch, std::int64_t aSequence) const
  {
    return { .first = 0,
             .last = std::numeric_limits<std::uint64_t>::max(),
             .sliceEpoch = aSliceEpoch,
             .sequence = aSequence,
             .until = this->now + milliseconds(2000) };
  }

  TimePoint now{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamTest);

} // namespace kumquat::standins
