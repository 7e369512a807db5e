// Tests of the bounded queue between threads.

#include "framework/ring.h"

#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace kumquat {

class RingTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RingTest);
  CPPUNIT_TEST(testPushToFullRingFailsAndKeepsItem);
  CPPUNIT_TEST(testDrainWakesConsumerForRemainingItems);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against lost requests: when a burst fills the ring, the producer
  // must be told and must still have the item, or the caller would get no
  // response.
  void testPushToFullRingFailsAndKeepsItem()
  {
    Ring<std::string> ring(1, [] {});
    std::string first = "first";
    CPPUNIT_ASSERT(ring.Push(first));
    std::string second = "second";
    CPPUNIT_ASSERT(!ring.Push(second));
    CPPUNIT_ASSERT_EQUAL(std::string("second"), second);
  }

  // Guards against stuck items: a Drain that stops at its limit must wake the
  // consumer again, or the last requests of a burst would wait for the next
  // one.
  void testDrainWakesConsumerForRemainingItems()
  {
    int woken = 0;
    Ring<int> ring(8, [&woken] { ++woken; });
    for (int i = 0; i < 3; ++i) {
      int item = i;
      CPPUNIT_ASSERT(ring.Push(item));
    }
    CPPUNIT_ASSERT_EQUAL(1, woken);
    std::vector<int> taken;
    ring.Drain([&taken](int&& aItem) { taken.push_back(aItem); }, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, taken.size());
    CPPUNIT_ASSERT_EQUAL(2, woken);
    ring.Drain([&taken](int&& aItem) { taken.push_back(aItem); }, 2);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, taken.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RingTest);

} // namespace kumquat
