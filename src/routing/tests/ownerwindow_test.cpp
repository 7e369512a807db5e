// Tests how a cell limits its requests at an owner that other cells use too.

#include "routing/ownerwindow.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>

namespace kumquat::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const state::UpstreamId kOwner{ "u" };
constexpr int kSlots = 3;

UpstreamEntry Entry()
{
  UpstreamEntry entry;
  entry.id = kOwner;
  entry.slots = kSlots;
  return entry;
}

} // namespace

class OwnerWindowTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OwnerWindowTest);
  CPPUNIT_TEST(testQuietOwnerIsNotLimited);
  CPPUNIT_TEST(testBusyOwnerGetsFewerOnceARoundTrip);
  CPPUNIT_TEST(testOneRequestIsAlwaysOpen);
  CPPUNIT_TEST(testFreeSlotsRaiseTheLimit);
  CPPUNIT_TEST(testOnlyRefusalsAsFullLowerTheLimit);
  CPPUNIT_TEST(testSilentOwnerIsForgotten);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->windows = {};
  }

  // Guards against a limit that a single cell meets: its own request waits.
  void testQuietOwnerIsNotLimited()
  {
    this->End(UpstreamLoad{ kSlots, 1, kSlots, {} });
    this->End({});
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->windows.Count());
    CPPUNIT_ASSERT(this->IsOpen(100));
  }

  // Guards against giving up an owner for one moment of load, which all the
  // responses of that moment report.
  void testBusyOwnerGetsFewerOnceARoundTrip()
  {
    const UpstreamLoad busy{ kSlots, 4, kSlots, {} };
    this->End(busy);
    CPPUNIT_ASSERT(this->IsOpen(2));
    CPPUNIT_ASSERT(!this->IsOpen(3));
    this->End(busy, AttemptResult::kServed, milliseconds(100));
    CPPUNIT_ASSERT(this->IsOpen(2));
    this->now += milliseconds(200);
    this->End(busy, AttemptResult::kServed, milliseconds(100));
    CPPUNIT_ASSERT(!this->IsOpen(2));
  }

  // Guards against a cell that never gets through to an owner which others keep
  // busy.
  void testOneRequestIsAlwaysOpen()
  {
    for (int i = 0; i < 20; ++i) {
      this->now += milliseconds(200);
      this->End(UpstreamLoad{ kSlots, 9, kSlots, {} });
    }
    CPPUNIT_ASSERT(this->IsOpen(0));
    CPPUNIT_ASSERT(!this->IsOpen(1));
  }

  // Guards against a limit that stays after the load has gone.
  void testFreeSlotsRaiseTheLimit()
  {
    this->End(UpstreamLoad{ kSlots, 4, kSlots, {} });
    // A slot is free only if nothing waits for it.
    this->End(UpstreamLoad{ kSlots - 1, 1, kSlots, {} });
    CPPUNIT_ASSERT(!this->IsOpen(3));
    this->End(UpstreamLoad{ kSlots - 1, 0, kSlots, {} });
    CPPUNIT_ASSERT(this->IsOpen(3));
    this->End(UpstreamLoad{ kSlots - 1, 0, kSlots, {} });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->windows.Count());
  }

  // Guards against taking a faulty owner, which has free slots, for a full one.
  void testOnlyRefusalsAsFullLowerTheLimit()
  {
    this->End(UpstreamLoad{ 0, 0, kSlots, {} }, AttemptResult::kRefused);
    CPPUNIT_ASSERT(this->IsOpen(kSlots));
    this->End(UpstreamLoad{ kSlots, 0, kSlots, {} }, AttemptResult::kRefused);
    CPPUNIT_ASSERT(!this->IsOpen(kSlots));
  }

  // Guards against a limit from a load that ended long ago.
  void testSilentOwnerIsForgotten()
  {
    this->End(UpstreamLoad{ kSlots, 4, kSlots, {} });
    CPPUNIT_ASSERT(!this->IsOpen(kSlots));
    this->now += seconds(6);
    CPPUNIT_ASSERT(this->IsOpen(kSlots));
    this->End(UpstreamLoad{ kSlots, 4, kSlots, {} });
    CPPUNIT_ASSERT(this->IsOpen(2));
  }

private:
  // An attempt ends that has run for so long.
  void End(const std::optional<UpstreamLoad>& aLoad,
           AttemptResult aResult = AttemptResult::kServed,
           milliseconds aTook = milliseconds(50))
  {
    this->windows.OnEnded(Entry(), this->now - aTook, aResult, aLoad,
                          this->now);
  }

  bool IsOpen(int aOutstanding) const
  {
    return this->windows.IsOpen(kOwner, aOutstanding, this->now);
  }

  TimePoint now;
  OwnerWindows windows;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerWindowTest);

} // namespace kumquat::routing
