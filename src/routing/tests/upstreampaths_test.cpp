// Tests of which links to upstreams are taken for down.

#include "routing/upstreampaths.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <optional>
#include <string>

namespace kumquat::routing {

using std::chrono::milliseconds;
using transport::DialOutcome;

class UpstreamPathsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpstreamPathsTest);
  CPPUNIT_TEST(testUpstreamsAreTriedDirectlyFirst);
  CPPUNIT_TEST(testRelayedUpstreamIsProbedAndTakenBack);
  CPPUNIT_TEST(testUpstreamThatNobodyReachesIsNotRelayed);
  CPPUNIT_TEST(testRefusedConnectionsLeaveOpenOnesInUse);
  CPPUNIT_TEST(testOneSilentUpstreamLeavesTheOthersInUse);
  CPPUNIT_TEST(testSilentUpstreamsPutIdleConnectionsOutOfUse);
  CPPUNIT_TEST(testRelaysComeSoonerWhileLinksAreInDoubt);
  CPPUNIT_TEST(testHostWithoutMostLinksIsCutOff);
  CPPUNIT_TEST(testHostThatNobodyCouldHelpIsCutOff);
  CPPUNIT_TEST(testUnusedUpstreamsAreForgotten);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::seconds(100));
    this->paths.emplace([this] { return this->now; });
  }

  void testUpstreamsAreTriedDirectlyFirst()
  {
    const auto plan = this->paths->PlanFor("a");
    CPPUNIT_ASSERT(plan.direct);
    CPPUNIT_ASSERT(plan.relayAfter >= milliseconds(100));
  }

  // Guards against a host that goes on through peers after its links are back.
  void testRelayedUpstreamIsProbedAndTakenBack()
  {
    static_cast<void>(this->paths->PlanFor("a"));
    this->paths->OnOutcome("a", DialOutcome::kDirectSilent, this->now);
    this->paths->OnOutcome("a", DialOutcome::kRelayed, this->now);
    CPPUNIT_ASSERT(this->paths->IsRelayed("a"));
    const auto plan = this->paths->PlanFor("a");
    CPPUNIT_ASSERT(!plan.direct);
    CPPUNIT_ASSERT(plan.relayAfter == milliseconds(0));
    CPPUNIT_ASSERT(!this->paths->TakeProbe("a"));
    this->now += milliseconds(1000);
    CPPUNIT_ASSERT(this->paths->TakeProbe("a"));
    CPPUNIT_ASSERT(!this->paths->TakeProbe("a"));
    CPPUNIT_ASSERT(this->paths->MayReuse("a", true, this->now));
    this->paths->OnOutcome("a", DialOutcome::kDirect, this->now);
    CPPUNIT_ASSERT(!this->paths->IsRelayed("a"));
    CPPUNIT_ASSERT(!this->paths->MayReuse("a", true, this->now));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->paths->RelayedCount());
  }

  // Guards against taking a crashed upstream for a lost link.
  void testUpstreamThatNobodyReachesIsNotRelayed()
  {
    this->paths->OnOutcome("a", DialOutcome::kDirectRefused, this->now);
    this->paths->OnOutcome("a", DialOutcome::kDirectSilent, this->now);
    CPPUNIT_ASSERT(!this->paths->IsRelayed("a"));
    CPPUNIT_ASSERT(!this->paths->IsCutOff());
    CPPUNIT_ASSERT(this->paths->PlanFor("a").direct);
  }

  // Guards against giving up open connections while only new ones are refused.
  void testRefusedConnectionsLeaveOpenOnesInUse()
  {
    const TimePoint heardAt = this->now;
    this->now += milliseconds(1000);
    for (const char* address : { "a", "b", "c" }) {
      this->paths->OnOutcome(address, DialOutcome::kDirectRefused, this->now);
      this->paths->OnOutcome(address, DialOutcome::kRelayed, this->now);
    }
    CPPUNIT_ASSERT(this->paths->MayReuse("a", false, heardAt));
  }

  void testOneSilentUpstreamLeavesTheOthersInUse()
  {
    const TimePoint heardAt = this->now;
    this->now += milliseconds(1000);
    this->paths->OnOutcome("a", DialOutcome::kDirectSilent, this->now);
    this->paths->OnOutcome("a", DialOutcome::kDirectSilent, this->now);
    CPPUNIT_ASSERT(!this->paths->MayReuse("a", false, heardAt));
    CPPUNIT_ASSERT(this->paths->MayReuse("b", false, heardAt));
  }

  // Guards against losing a request to each upstream in turn after a cut.
  void testSilentUpstreamsPutIdleConnectionsOutOfUse()
  {
    const TimePoint heardAt = this->now;
    const TimePoint sentAt = this->now + milliseconds(100);
    this->now += milliseconds(700);
    this->paths->OnOutcome("a", DialOutcome::kDirectSilent, sentAt);
    this->paths->OnOutcome("b", DialOutcome::kDirectSilent, sentAt);
    CPPUNIT_ASSERT(!this->paths->MayReuse("c", false, heardAt));
    CPPUNIT_ASSERT(this->paths->MayReuse("c", false, sentAt));
  }

  void testRelaysComeSoonerWhileLinksAreInDoubt()
  {
    const auto before = this->paths->PlanFor("c").relayAfter;
    this->paths->OnOutcome("a", DialOutcome::kDirectSilent, this->now);
    this->paths->OnOutcome("b", DialOutcome::kDirectSilent, this->now);
    CPPUNIT_ASSERT(this->paths->PlanFor("c").relayAfter < before);
    this->now += milliseconds(10'000);
    CPPUNIT_ASSERT(this->paths->PlanFor("c").relayAfter == before);
  }

  // Guards against asking hosts for relays that need one themselves.
  void testHostWithoutMostLinksIsCutOff()
  {
    for (const char* address : { "a", "b", "c" }) {
      this->paths->OnOutcome(address, DialOutcome::kDirect, this->now);
    }
    this->paths->OnOutcome("a", DialOutcome::kRelayed, this->now);
    CPPUNIT_ASSERT(!this->paths->IsCutOff());
    this->paths->OnOutcome("b", DialOutcome::kRelayed, this->now);
    this->paths->OnOutcome("d", DialOutcome::kDirectRefused, this->now);
    CPPUNIT_ASSERT(this->paths->IsCutOff());
  }

  // Guards against hosts of one data centre that only ask each other for relays
  // while all of them have lost their links.
  void testHostThatNobodyCouldHelpIsCutOff()
  {
    for (const char* address : { "a", "b", "c", "d" }) {
      this->paths->OnOutcome(address, DialOutcome::kDirectSilent, this->now);
    }
    CPPUNIT_ASSERT(this->paths->IsCutOff());
    this->paths->OnOutcome("a", DialOutcome::kDirect, this->now);
    this->paths->OnOutcome("b", DialOutcome::kDirect, this->now);
    CPPUNIT_ASSERT(!this->paths->IsCutOff());
  }

  void testUnusedUpstreamsAreForgotten()
  {
    this->paths->OnOutcome("a", DialOutcome::kRelayed, this->now);
    this->now += std::chrono::seconds(30);
    this->paths->RemoveOld();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->paths->RelayedCount());
    CPPUNIT_ASSERT(!this->paths->IsRelayed("a"));
  }

private:
  TimePoint now;
  std::optional<UpstreamPaths> paths;
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamPathsTest);

} // namespace kumquat::routing
