// Copies of the store's tables, and what peers say.

#include "node/internal/peers.h"
#include "node/internal/tablereplicas.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace kumquat::node {

using std::chrono::milliseconds;

class TablesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TablesTest);
  CPPUNIT_TEST(testLateCopyBringsNothingBack);
  CPPUNIT_TEST(testWholeCopyTellsWhatIsGone);
  CPPUNIT_TEST(testReadingWholeIsNoChange);
  CPPUNIT_TEST(testCopyOfAPeerIsNoChange);
  CPPUNIT_TEST(testChangesAlreadyCopiedAreNoNews);
  CPPUNIT_TEST(testChangeBetweenTwoPagesOfAReadIsNotLost);
  CPPUNIT_TEST(testChangesSinceAVersionTellWhatWent);
  CPPUNIT_TEST(testChangesBeforeTheCopyBeganAreNotKnown);
  CPPUNIT_TEST(testOldDigestsAreNoFreshWord);
  CPPUNIT_TEST(testDigestOfAnEndedRunIsIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  // A peer's copy of the configuration was long on its way, and the store has
  // told a newer one meanwhile: the older must not come into force again.
  void testLateCopyBringsNothingBack()
  {
    this->tables.Apply("op", { Row("config", "new", 9) }, false, 9);
    const auto changed =
      this->tables.Apply("op", { Row("config", "old", 7) }, true, 7);
    CPPUNIT_ASSERT(changed.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("new"),
                         this->tables.Find("op").rows.at("config").value);
  }

  // A host missed changes, as the store's history was dropped: what is gone
  // shows only by its absence.
  void testWholeCopyTellsWhatIsGone()
  {
    this->tables.Apply("servers", { Row("a", "", 1), Row("b", "", 2) }, true,
                       2);
    const auto changed =
      this->tables.Apply("servers", { Row("b", "", 2) }, true, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changed.size());
    CPPUNIT_ASSERT(changed[0].removed);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), changed[0].key);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 5 },
                         this->tables.Find("servers").version);
  }

  // A host reads a table whole while others write elsewhere in the store. Its
  // peers, told the store's version, took themselves for behind though nothing
  // had changed, and 86 hosts asked for the whole table, wave after wave.
  void testReadingWholeIsNoChange()
  {
    this->tables.Apply("servers", { Row("a", "", 1), Row("b", "", 2) }, true,
                       90);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 2 },
                         this->tables.Find("servers").lastChange);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 90 },
                         this->tables.Find("servers").version);
    // What is found to be gone is a change, of some time before now.
    this->tables.Apply("servers", { Row("b", "", 2) }, true, 95);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 95 },
                         this->tables.Find("servers").lastChange);
    this->tables.Apply("servers", { Row("c", "", 97) }, false, 97);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 97 },
                         this->tables.Find("servers").lastChange);
  }

  // The store turns a host away, and it asks a peer for the table. Without the
  // rows' own versions all of them looked changed as of the peer's last read,
  // were applied anew each time, and the host told others of changes that
  // there were not.
  void testCopyOfAPeerIsNoChange()
  {
    this->tables.Apply("servers", { Row("a", "", 1), Row("b", "", 2) }, true,
                       90);
    std::vector<state::StoredRow> copied;
    for (const auto& [key, row] : this->tables.Find("servers").rows) {
      copied.push_back(FromWire("servers", ToWire(row)));
    }
    TableReplicas other;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         other.Apply("servers", copied, true, 90).size());
    CPPUNIT_ASSERT_EQUAL(state::Version{ 2 }, other.Find("servers").lastChange);
    CPPUNIT_ASSERT(other.Apply("servers", copied, true, 95).empty());
    CPPUNIT_ASSERT_EQUAL(state::Version{ 2 }, other.Find("servers").lastChange);
  }

  void testChangesAlreadyCopiedAreNoNews()
  {
    this->tables.Apply("servers", { Row("a", "", 6) }, true, 6);
    CPPUNIT_ASSERT(
      this->tables.Apply("servers", { Row("a", "", 6) }, false, 8).empty());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      this->tables.Apply("servers", { Row("c", "", 7) }, false, 8).size());
  }

  // A row of the second page is newer than a change of one of the first.
  void testChangeBetweenTwoPagesOfAReadIsNotLost()
  {
    this->tables.Apply("servers", { Row("a", "here", 1), Row("z", "", 108) },
                       true, 100);
    // A copy that is not complete is not handed on as if it were.
    CPPUNIT_ASSERT_EQUAL(state::Version{ 100 },
                         this->tables.Find("servers").lastChange);
    CPPUNIT_ASSERT(this->tables.ChangesSince("servers", 100)->empty());
    const auto changed = this->tables.Apply(
      "servers", { Row("a", "leaves", 105), Row("z", "", 108) }, false, 108);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("leaves"),
                         this->tables.Find("servers").rows.at("a").value);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 108 },
                         this->tables.Find("servers").version);
    // What a read of then says is missing, or older, changes nothing newer.
    CPPUNIT_ASSERT(
      this->tables.Apply("servers", { Row("a", "here", 1) }, true, 105)
        .empty());
  }

  // A host that copied changes from a peer would use on what had left.
  void testChangesSinceAVersionTellWhatWent()
  {
    this->tables.Apply("servers", { Row("a", "", 1), Row("b", "", 2) }, true,
                       5);
    TableReplicas other = this->tables;
    state::StoredRow gone = Row("a", "", 7);
    gone.removed = true;
    this->tables.Apply("servers", { gone, Row("c", "", 8) }, false, 8);
    // What a later read finds to be missing went at some time before it.
    this->tables.Apply("servers", { Row("c", "", 8) }, true, 20);
    const auto changes = this->tables.ChangesSince("servers", 5);
    CPPUNIT_ASSERT(changes.has_value());
    other.Apply("servers", *changes, false, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, other.Find("servers").rows.size());
    CPPUNIT_ASSERT(other.Find("servers").rows.contains("c"));
    CPPUNIT_ASSERT(this->tables.ChangesSince("servers", 20)->empty());
  }

  void testChangesBeforeTheCopyBeganAreNotKnown()
  {
    this->tables.Apply("servers", { Row("a", "", 1) }, true, 5);
    CPPUNIT_ASSERT(!this->tables.ChangesSince("servers", 4));
    CPPUNIT_ASSERT(this->tables.ChangesSince("servers", 5).has_value());
    CPPUNIT_ASSERT(!this->tables.ChangesSince("none", 0) ||
                   this->tables.ChangesSince("none", 0)->empty());
  }

  // A host stood still for four seconds. The digests that waited in its
  // connections were sent in answer to its digests of before; they must not
  // count as if they had been said now.
  void testOldDigestsAreNoFreshWord()
  {
    const state::HostRef self{ { "h0" }, 1 };
    Peers peers(
      self, [this] { return this->now; }, AllAreMates);
    const std::int64_t number = peers.NextDigest();
    const TimePoint sent = this->now;
    protocol::HostDigest digest;
    digest.sender.__set_host("h1");
    digest.sender.__set_incarnation(1);
    protocol::KeyMapMark mark = ToWire({ "stoc" }, { 3, 1, self });
    mark.__set_heard(number);
    digest.keyMaps.push_back(mark);
    this->now += milliseconds(4000);
    peers.OnDigest(digest);
    const auto views = peers.ViewsOf({ "stoc" });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, views.size());
    CPPUNIT_ASSERT(views[0].lastHeardAt == this->now);
    CPPUNIT_ASSERT(views[0].mapConfirmedAt == sent);
    CPPUNIT_ASSERT(views[0].mapVersion.assigner == self);
  }

  void testDigestOfAnEndedRunIsIgnored()
  {
    Peers peers(
      { { "h0" }, 1 }, [this] { return this->now; }, AllAreMates);
    protocol::HostDigest digest;
    digest.sender.__set_host("h1");
    digest.sender.__set_incarnation(5);
    digest.__set_number(3);
    peers.OnDigest(digest);
    digest.sender.__set_incarnation(4);
    digest.__set_leaving(true);
    peers.OnDigest(digest);
    CPPUNIT_ASSERT(!peers.All().at({ "h1" }).leaving);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3 },
                         peers.LastDigestNumber({ { "h1" }, 5 }));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 },
                         peers.LastDigestNumber({ { "h1" }, 6 }));
    this->now += milliseconds(1500);
    CPPUNIT_ASSERT(peers.LiveCellMembers().empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, peers.TakeNewlySilent().size());
    CPPUNIT_ASSERT(peers.TakeNewlySilent().empty());
  }

private:
  static bool AllAreMates(const state::HostId& /*aHost*/) { return true; }

  static state::StoredRow Row(std::string aKey, std::string aValue,
                              state::Version aVersion)
  {
    return { "", "", std::move(aKey), std::move(aValue), aVersion, false };
  }

  TableReplicas tables;
  TimePoint now{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TablesTest);

} // namespace kumquat::node
