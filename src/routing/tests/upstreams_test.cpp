// Tests what a host knows of upstreams, and the lookup of routes.

#include "routing/configuration.h"
#include "routing/placement.h"
#include "routing/upstreams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <iterator>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace kumquat::routing {

using std::chrono::milliseconds;

class UpstreamsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(UpstreamsTest);
  CPPUNIT_TEST(testLongestPrefixWins);
  CPPUNIT_TEST(testEntryOfPreviousIncarnationIsIgnored);
  CPPUNIT_TEST(testLateHeartbeatDoesNotUndoLeaving);
  CPPUNIT_TEST(testWordOfAResponseHoldsForItsIncarnation);
  CPPUNIT_TEST(testLateHeartbeatDoesNotRestoreRemovedUpstream);
  CPPUNIT_TEST(testAddressOfAnotherIncarnationIsNotReported);
  CPPUNIT_TEST(testLateResponseOfOldAddressKeepsNewIncarnation);
  CPPUNIT_TEST(testNewIncarnationIsNotEjected);
  CPPUNIT_TEST(testExpiredEntryIsUsedDuringGrace);
  CPPUNIT_TEST(testUnreachableUpstreamIsEjected);
  CPPUNIT_TEST(testRequestsOfPeersCount);
  CPPUNIT_TEST(testServiceTimesComeFromPeersToo);
  CPPUNIT_TEST(testUpstreamThatWasColdIsUsedOnceWarm);
  CPPUNIT_TEST(testUpstreamWhoseSlowPeriodEndedIsUsedAgain);
  CPPUNIT_TEST(testNewUpstreamIsUsedWhileFastOnesHaveCapacity);
  CPPUNIT_TEST(testIndexFollowsEveryChange);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against an index that was changed step by step and differs from one
  // that is made of the same upstreams at once.
  void testIndexFollowsEveryChange()
  {
    constexpr int kUpstreams = 60;
    constexpr FractionRange kRange{ 0.2, 0.5 };
    std::mt19937 random(1);
    std::map<int, UpstreamEntry> entries;
    Upstreams changed;
    changed.SetCellRange(kRange);
    for (int i = 0; i < 2000; ++i) {
      const int number = static_cast<int>(random() % kUpstreams);
      UpstreamEntry entry;
      entry.id = { "u" + std::to_string(number) };
      entry.service = { random() % 2 == 0 ? "a" : "b" };
      entry.dataCentre = { random() % 2 == 0 ? "x" : "y" };
      entry.startedMs = i + 1;
      entry.leaving = random() % 5 == 0;
      if (random() % 4 == 0) {
        changed.RemoveEntry(entry.id, this->now, milliseconds(0));
        entries.erase(number);
      } else {
        changed.PutEntry(entry, this->now);
        entries[number] = entry;
      }
      Upstreams made;
      made.SetCellRange(kRange);
      for (const auto& [key, one] : entries) {
        made.PutEntry(one, this->now);
      }
      for (const char* service : { "a", "b" }) {
        const ServiceUpstreams& lists = changed.ForService({ service });
        const ServiceUpstreams& expected = made.ForService({ service });
        CPPUNIT_ASSERT(IdsOf(expected.all) == IdsOf(lists.all));
        CPPUNIT_ASSERT(IdsOf(expected.inCell) == IdsOf(lists.inCell));
        CPPUNIT_ASSERT(IdsOf(expected.inOtherCells) ==
                       IdsOf(lists.inOtherCells));
      }
    }
  }

  // A request goes to the route with the longest matching prefix. A prefix in
  // the query must not count.
  void testLongestPrefixWins()
  {
    Configuration text;
    text.routes = { { .name = "short", .hostName = "h", .prefix = "/a/" },
                    { .name = "long", .hostName = "h", .prefix = "/a/b/" } };
    const RouteTable table(text);
    CPPUNIT_ASSERT_EQUAL(std::string("long"),
                         table.FindRoute("h", "/a/b/c")->name);
    CPPUNIT_ASSERT_EQUAL(std::string("short"),
                         table.FindRoute("h", "/a/bc?x=/a/b/")->name);
    CPPUNIT_ASSERT(table.FindRoute("h", "/a") == nullptr);
    CPPUNIT_ASSERT(table.FindRoute("other", "/a/b/c") == nullptr);
  }

  // An entry of the previous incarnation arrives late, and must not bring that
  // one back.
  void testEntryOfPreviousIncarnationIsIgnored()
  {
    this->Put(2, false);
    this->Put(1, true);
    CPPUNIT_ASSERT(!this->upstreams.Find({ "u" })->entry.leaving);
  }

  // An upstream's heartbeat from before it announced that it leaves is stored
  // after the announcement.
  void testLateHeartbeatDoesNotUndoLeaving()
  {
    this->Put(1, false, 7);
    this->Put(1, true, 9);
    this->Put(1, false, 8);
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" })->entry.leaving);
    this->Put(1, false, 10);
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" })->entry.leaving);
    this->Put(2, false, 1);
    CPPUNIT_ASSERT(!this->upstreams.Find({ "u" })->entry.leaving);
  }

  // Guards against using an upstream again that has said in a response that it
  // leaves, while its entry says ready, and against leaving its successor idle.
  void testWordOfAResponseHoldsForItsIncarnation()
  {
    this->Put(2, false, 1);
    CPPUNIT_ASSERT(!this->upstreams.MarkLeaving({ "u" }, 1, this->now));
    CPPUNIT_ASSERT(!this->upstreams.Find({ "u" })->entry.leaving);
    CPPUNIT_ASSERT(this->upstreams.MarkLeaving({ "u" }, 2, this->now));
    CPPUNIT_ASSERT(!this->upstreams.MarkLeaving({ "u" }, 2, this->now));
    this->Put(2, false, 9);
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" })->entry.leaving);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         this->upstreams.MarkedLeaving().size());
    this->Put(3, false, 1);
    CPPUNIT_ASSERT(this->upstreams.MarkedLeaving().empty());
    CPPUNIT_ASSERT(!this->upstreams.Find({ "u" })->entry.leaving);
  }

  // A heartbeat is stored after its upstream's entry was removed.
  void testLateHeartbeatDoesNotRestoreRemovedUpstream()
  {
    this->Put(1, true, 9);
    this->upstreams.RemoveEntry({ "u" }, this->now, milliseconds(0));
    this->Put(1, false, 8);
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" }) == nullptr);
    this->Put(1, false, 11);
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" })->entry.leaving);
    this->upstreams.RemoveEntry({ "u" }, this->now, milliseconds(0));
    this->Put(2, false, 1);
    CPPUNIT_ASSERT(!this->upstreams.Find({ "u" })->entry.leaving);
  }

  // Guards against asking another incarnation's address whether one has ended.
  void testAddressOfAnotherIncarnationIsNotReported()
  {
    this->Put(1, false, 1);
    CPPUNIT_ASSERT(this->upstreams.LastAddressOf({ "u" }, 1).has_value());
    this->upstreams.RemoveEntry({ "u" }, this->now, milliseconds(0));
    CPPUNIT_ASSERT(this->upstreams.LastAddressOf({ "u" }, 1).has_value());
    CPPUNIT_ASSERT(!this->upstreams.LastAddressOf({ "u" }, 2).has_value());
  }

  // A request to an upstream's previous address is answered by whichever
  // upstream has that address now.
  void testLateResponseOfOldAddressKeepsNewIncarnation()
  {
    this->Put(1, false, 1);
    this->upstreams.OnReplaced({ "u" }, "10.0.0.9:80", this->now);
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" }) != nullptr);
    this->upstreams.OnReplaced({ "u" }, "10.0.0.1:80", this->now);
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" }) == nullptr);
  }

  // An upstream was ejected and has restarted: failures of its previous
  // incarnation must not keep requests away.
  void testNewIncarnationIsNotEjected()
  {
    this->Put(1, false);
    this->upstreams.OnSent({ "u" }, this->now);
    this->upstreams.OnAttemptEnded({ "u" }, this->now, 0,
                                   AttemptResult::kUnreachable, {}, this->now);
    CPPUNIT_ASSERT(!HasCapacity(*this->upstreams.Find({ "u" }), this->now));
    this->Put(2, false);
    CPPUNIT_ASSERT(HasCapacity(*this->upstreams.Find({ "u" }), this->now));
  }

  // The store was unavailable, and all entries expired. Live upstreams are back
  // two seconds after its return; until then they are used as before.
  void testExpiredEntryIsUsedDuringGrace()
  {
    this->Put(1, false);
    this->upstreams.RemoveEntry({ "u" }, this->now, milliseconds(2000));
    this->upstreams.RemoveExpired(this->now + milliseconds(1900));
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" }) != nullptr);
    this->Put(1, false);
    this->upstreams.RemoveExpired(this->now + milliseconds(2100));
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" }) != nullptr);
    this->upstreams.RemoveEntry({ "u" }, this->now, milliseconds(2000));
    this->upstreams.RemoveExpired(this->now + milliseconds(2100));
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" }) == nullptr);
  }

  // An upstream lost power. The first request that cannot connect keeps the
  // next ones away, one is let through after a while, and a success ends the
  // ejection.
  void testUnreachableUpstreamIsEjected()
  {
    this->Put(1, false);
    this->Fail(AttemptResult::kUnreachable);
    CPPUNIT_ASSERT(!HasCapacity(*this->upstreams.Find({ "u" }), this->now));
    this->now += milliseconds(400);
    const UpstreamState& state = *this->upstreams.Find({ "u" });
    CPPUNIT_ASSERT(HasCapacity(state, this->now));
    this->upstreams.OnSent({ "u" }, this->now);
    CPPUNIT_ASSERT(!HasCapacity(state, this->now));
    this->upstreams.OnAttemptEnded({ "u" }, this->now, 0,
                                   AttemptResult::kServed, {},
                                   this->now + milliseconds(50));
    this->upstreams.OnSent({ "u" }, this->now);
    CPPUNIT_ASSERT(HasCapacity(state, this->now));
  }

  // Several hosts use one upstream. Each has to count the requests of its
  // peers, or together they would overload it.
  void testRequestsOfPeersCount()
  {
    this->Put(1, false);
    this->upstreams.OnPeerReports({ "h1" }, { { { "u" }, 3, 0, 0 } },
                                  this->now);
    this->upstreams.OnPeerReports({ "h2" }, { { { "u" }, 1, 0, 0 } },
                                  this->now);
    CPPUNIT_ASSERT_EQUAL(4, this->upstreams.Find({ "u" })->Outstanding());
    CPPUNIT_ASSERT(!HasCapacity(*this->upstreams.Find({ "u" }), this->now));
    this->upstreams.OnPeerReports({ "h1" }, {}, this->now);
    CPPUNIT_ASSERT_EQUAL(1, this->upstreams.Find({ "u" })->Outstanding());
    this->upstreams.ForgetPeer({ "h2" });
    CPPUNIT_ASSERT_EQUAL(0, this->upstreams.Find({ "u" })->Outstanding());
  }

  // An upstream has become slow. A host that has sent it nothing recently
  // learns that from its peers and chooses others.
  void testServiceTimesComeFromPeersToo()
  {
    this->Put(1, false);
    this->upstreams.OnPeerReports({ "h1" }, { { { "u" }, 0, 5, 100.0 } },
                                  this->now);
    for (int i = 0; i < 4; ++i) {
      this->upstreams.OnPeerReports({ "h1" }, { { { "u" }, 0, 5, 500.0 } },
                                    this->now);
    }
    CPPUNIT_ASSERT(this->upstreams.Find({ "u" })->serviceMs > 400);
    CPPUNIT_ASSERT(this->upstreams.TakeReports().empty());
  }

  // All that was known of an upstream were slow responses from when it was
  // cold, and the others were faster and had capacity: it got nothing even when
  // it was warm.
  void testUpstreamThatWasColdIsUsedOnceWarm()
  {
    this->PutNamed("fast", milliseconds(0));
    this->PutNamed("cold", milliseconds(3000));
    this->Serve("fast", milliseconds(60));
    this->Serve("cold", milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(std::string("fast"), this->ChooseOne());
    this->now += milliseconds(3100);
    this->Serve("fast", milliseconds(60));
    CPPUNIT_ASSERT_EQUAL(std::string("cold"), this->ChooseOne());
  }

  // A shared machine was slow for some seconds, and no request showed the end
  // of it.
  void testUpstreamWhoseSlowPeriodEndedIsUsedAgain()
  {
    this->PutNamed("slow", milliseconds(0));
    this->Serve("slow", milliseconds(500));
    this->ServeOthers();
    CPPUNIT_ASSERT(this->ChooseOne() != "slow");
    this->now += std::chrono::seconds(12);
    this->ServeOthers();
    CPPUNIT_ASSERT_EQUAL(std::string("slow"), this->ChooseOne());
    this->Serve("slow", milliseconds(500));
    CPPUNIT_ASSERT(this->ChooseOne() != "slow");
  }

  // An upstream without measurements must get a request although faster ones
  // have capacity, or it would never be measured.
  void testNewUpstreamIsUsedWhileFastOnesHaveCapacity()
  {
    this->PutNamed("fast", milliseconds(0));
    this->PutNamed("usual", milliseconds(0));
    this->Serve("fast", milliseconds(60));
    this->Serve("usual", milliseconds(100));
    this->PutNamed("new", milliseconds(0));
    CPPUNIT_ASSERT_EQUAL(std::string("new"), this->ChooseOne());
  }

private:
  static std::vector<std::string> IdsOf(
    const std::vector<UpstreamState*>& aUpstreams)
  {
    std::vector<std::string> ids;
    std::ranges::transform(
      aUpstreams, std::back_inserter(ids),
      [](const UpstreamState* aOne) { return aOne->entry.id.value; });
    return ids;
  }

  void PutNamed(const std::string& aId, milliseconds aCold)
  {
    UpstreamEntry entry;
    entry.id = { aId };
    entry.service = { "stoc" };
    entry.slots = 3;
    entry.coldRemaining = aCold;
    this->upstreams.PutEntry(entry, this->now);
  }

  void Serve(const std::string& aId, milliseconds aTook)
  {
    this->upstreams.OnSent({ aId }, this->now);
    this->upstreams.OnAttemptEnded(
      { aId }, this->now, 0, AttemptResult::kServed, {}, this->now + aTook);
  }

  void ServeOthers()
  {
    for (const std::string id : { "u1", "u2", "u3", "u4", "u5" }) {
      this->PutNamed(id, milliseconds(0));
      this->Serve(id, milliseconds(100));
    }
  }

  std::string ChooseOne()
  {
    PlacementContext context;
    context.now = this->now;
    context.typicalMs = this->upstreams.TypicalServiceMs({ "stoc" }, this->now);
    const UpstreamState* one =
      ChooseUpstream(this->upstreams.ForService({ "stoc" }).inCell, context,
                     [](std::size_t) { return std::size_t{ 0 }; });
    return one == nullptr ? std::string() : one->entry.id.value;
  }

  void Put(std::int64_t aBorn, bool aLeaving, std::int64_t aSequence = 0)
  {
    UpstreamEntry entry;
    entry.id = { "u" };
    entry.address = "10.0.0.1:80";
    entry.sequence = aSequence;
    entry.service = { "stoc" };
    entry.slots = 3;
    entry.leaving = aLeaving;
    entry.startedMs = aBorn;
    this->upstreams.PutEntry(entry, this->now);
  }

  void Fail(AttemptResult aResult)
  {
    this->upstreams.OnSent({ "u" }, this->now);
    this->upstreams.OnAttemptEnded({ "u" }, this->now, 0, aResult, {},
                                   this->now);
  }

  Upstreams upstreams;
  TimePoint now{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(UpstreamsTest);

} // namespace kumquat::routing
