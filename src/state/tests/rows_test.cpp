// Records survive the table; a body that is no record is an error.

#include "state/rows.h"

#include <cppunit/extensions/HelperMacros.h>

#include <limits>

namespace kumquat::state {

class RowsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RowsTest);
  CPPUNIT_TEST(testHostSurvives);
  CPPUNIT_TEST(testUpstreamAndSliceSurvive);
  CPPUNIT_TEST(testForeignBodyIsAnError);
  CPPUNIT_TEST_SUITE_END();

public:
  void testHostSurvives()
  {
    HostRecord record{
      .ref = { { "h1" }, 7 },
      .peerAddress = "127.22.1.1:7000",
      .dataCentre = { "caerdydd" },
      .guards = { { { "h2" }, 3 }, { { "h3" }, 4 } },
      .nextGuards = { { { "h4" }, 5 } },
      .state = HostState::kSuspected,
      .version = 4,
    };
    const auto read = HostFromJson(ToRow(record));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(read->ref == record.ref);
    CPPUNIT_ASSERT(read->guards == record.guards);
    CPPUNIT_ASSERT(read->nextGuards == record.nextGuards);
    CPPUNIT_ASSERT(read->state == record.state);
    CPPUNIT_ASSERT_EQUAL(record.peerAddress, read->peerAddress);
    CPPUNIT_ASSERT_EQUAL(Version{ 5 }, read->version);
  }

  void testUpstreamAndSliceSurvive()
  {
    UpstreamRecord upstream;
    upstream.ref = { { "stoc" }, { "stoc-1" } };
    upstream.steward = { { "h1" }, 2 };
    upstream.epoch = 9;
    const auto readUpstream = UpstreamFromJson(ToRow(upstream));
    CPPUNIT_ASSERT(readUpstream.has_value());
    CPPUNIT_ASSERT(readUpstream->ref == upstream.ref);
    CPPUNIT_ASSERT(readUpstream->steward == upstream.steward);
    CPPUNIT_ASSERT_EQUAL(upstream.epoch, readUpstream->epoch);

    SliceRecord slice;
    slice.service = { "stoc" };
    slice.part = "s63";
    slice.first = std::numeric_limits<std::uint64_t>::max() - 1;
    slice.last = std::numeric_limits<std::uint64_t>::max();
    slice.epoch = 3;
    const auto readSlice = SliceFromJson(ToRow(slice));
    CPPUNIT_ASSERT(readSlice.has_value());
    CPPUNIT_ASSERT_EQUAL(slice.first, readSlice->first);
    CPPUNIT_ASSERT_EQUAL(slice.last, readSlice->last);
    CPPUNIT_ASSERT_EQUAL(slice.epoch, readSlice->epoch);
  }

  void testForeignBodyIsAnError()
  {
    CPPUNIT_ASSERT(HostFromJson({ .body = "{" }).has_error());
    CPPUNIT_ASSERT(SliceFromJson({ .body = "{}" }).has_error());
    CPPUNIT_ASSERT(PlaceFromJson({ .body = "[1]" }).has_error());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(RowsTest);

} // namespace kumquat::state
