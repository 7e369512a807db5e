// Tests of the account of held bytes.

#include "transport/byteaccount.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <vector>

namespace kumquat::transport {

namespace {

constexpr std::size_t kMegabyte = 1U << 20U;
constexpr std::size_t kUploadBytes = 60'000;
constexpr std::size_t kSmallBytes = 4'000;

} // namespace

class ByteAccountTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ByteAccountTest);
  CPPUNIT_TEST(testReservationEndsWithItsLastUser);
  CPPUNIT_TEST(testSmallBodiesHaveRoomBesideLargeOnes);
  CPPUNIT_TEST(testGrowthBeyondTheBoundChangesNothing);
  CPPUNIT_TEST(testHeldBytesStayBelowTheBoundForAnyNumberOfBodies);
  CPPUNIT_TEST_SUITE_END();

public:
  void testReservationEndsWithItsLastUser()
  {
    const auto account = ByteAccount::Create(kMegabyte);
    auto first = account->Open(BytePurpose::kRequest);
    CPPUNIT_ASSERT(first->GrowTo(kSmallBytes));
    auto second = first;
    first.reset();
    CPPUNIT_ASSERT_EQUAL(kSmallBytes, account->Held(BytePurpose::kRequest));
    second.reset();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, account->Held());
    CPPUNIT_ASSERT_EQUAL(kSmallBytes, account->Peak());
  }

  // Guards against uploads that take all bytes, so that bookings are refused.
  void testSmallBodiesHaveRoomBesideLargeOnes()
  {
    const auto account = ByteAccount::Create(kMegabyte);
    std::vector<ByteAccount::ReservationPtr> uploads;
    do {
      uploads.push_back(account->Open(BytePurpose::kRequest));
    } while (uploads.back()->GrowTo(kUploadBytes));
    const auto booking = account->Open(BytePurpose::kRequest);
    CPPUNIT_ASSERT(booking->GrowTo(kSmallBytes));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         account->Refusals(BytePurpose::kRequest));
  }

  void testGrowthBeyondTheBoundChangesNothing()
  {
    const auto account = ByteAccount::Create(kMegabyte);
    const auto one = account->Open(BytePurpose::kResponse);
    CPPUNIT_ASSERT(one->GrowTo(kUploadBytes));
    CPPUNIT_ASSERT(!one->GrowTo(2 * kMegabyte));
    CPPUNIT_ASSERT_EQUAL(kUploadBytes, one->Bytes());
    CPPUNIT_ASSERT_EQUAL(kUploadBytes, account->Held(BytePurpose::kResponse));
  }

  void testHeldBytesStayBelowTheBoundForAnyNumberOfBodies()
  {
    constexpr std::size_t kBound = 16 * kMegabyte;
    constexpr std::size_t kMostUploads = kBound / 4 * 3 / kUploadBytes;
    for (const std::size_t count : { 10U, 100U, 1'000U }) {
      const auto account = ByteAccount::Create(kBound);
      std::vector<ByteAccount::ReservationPtr> uploads;
      std::generate_n(std::back_inserter(uploads), count, [&account] {
        return account->Open(BytePurpose::kRequest);
      });
      const auto held = static_cast<std::size_t>(std::ranges::count_if(
        uploads, [](const auto& aOne) { return aOne->GrowTo(kUploadBytes); }));
      CPPUNIT_ASSERT_EQUAL(std::min(count, kMostUploads), held);
      CPPUNIT_ASSERT(account->Peak() <= kBound);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ByteAccountTest);

} // namespace kumquat::transport
