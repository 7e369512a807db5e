// Tests of replicas of the store's tables, and of the records of peers.

#include "node/internal/peers.h"
#include "node/internal/tablereplicas.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace kumquat::node {

using std::chrono::milliseconds;

class TableReplicasTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableReplicasTest);
  CPPUNIT_TEST(testLateFullTableRestoresNothing);
  CPPUNIT_TEST(testFullTableReportsMissingRowsAsRemoved);
  CPPUNIT_TEST(testFullReadIsNoChange);
  CPPUNIT_TEST(testFullTableFromPeerIsNoChange);
  CPPUNIT_TEST(testKnownChangesAreNotReportedAgain);
  CPPUNIT_TEST(testChangeBetweenPagesOfReadIsKept);
  CPPUNIT_TEST(testChangesSinceVersionIncludeTombstones);
  CPPUNIT_TEST(testChangesBeforeFirstReadAreUnknown);
  CPPUNIT_TEST(testDelayedDigestConfirmsOnlyItsSendTime);
  CPPUNIT_TEST(testDigestOfEndedIncarnationIsIgnored);
  CPPUNIT_TEST_SUITE_END();

public:
  // A full table from a peer is delayed, and the store has sent a newer
  // configuration meanwhile. The older one must not come into force again.
  void testLateFullTableRestoresNothing()
  {
    this->replicas.Apply("op", { Row("config", "new", 9) }, false, 9);
    const auto changed =
      this->replicas.Apply("op", { Row("config", "old", 7) }, true, 7);
    CPPUNIT_ASSERT(changed.empty());
    CPPUNIT_ASSERT_EQUAL(std::string("new"),
                         this->replicas.Find("op").rows.at("config").value);
  }

  // A host missed changes, as the store had dropped its history. Removed rows
  // then show only by their absence from a full read.
  void testFullTableReportsMissingRowsAsRemoved()
  {
    this->replicas.Apply("servers", { Row("a", "", 1), Row("b", "", 2) }, true,
                         2);
    const auto changed =
      this->replicas.Apply("servers", { Row("b", "", 2) }, true, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changed.size());
    CPPUNIT_ASSERT(changed[0].removed);
    CPPUNIT_ASSERT_EQUAL(std::string("a"), changed[0].key);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 5 },
                         this->replicas.Find("servers").version);
  }

  // A host reads a full table while others write to other tables of the store.
  // When it announced the store's version, its peers took themselves for behind
  // although nothing had changed, and 86 hosts requested the full table again
  // and again.
  void testFullReadIsNoChange()
  {
    this->replicas.Apply("servers", { Row("a", "", 1), Row("b", "", 2) }, true,
                         90);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 2 },
                         this->replicas.Find("servers").lastChange);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 90 },
                         this->replicas.Find("servers").version);
    // A row that is found missing is a change at an unknown time up to now.
    this->replicas.Apply("servers", { Row("b", "", 2) }, true, 95);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 95 },
                         this->replicas.Find("servers").lastChange);
    this->replicas.Apply("servers", { Row("c", "", 97) }, false, 97);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 97 },
                         this->replicas.Find("servers").lastChange);
  }

  // The store rejects a host, which queries a peer for the table. Without the
  // rows' own versions all of them looked changed at the peer's last read: they
  // were applied again each time, and the host announced changes that had not
  // happened.
  void testFullTableFromPeerIsNoChange()
  {
    this->replicas.Apply("servers", { Row("a", "", 1), Row("b", "", 2) }, true,
                         90);
    std::vector<state::StoredRow> copiedRows;
    for (const auto& [key, row] : this->replicas.Find("servers").rows) {
      copiedRows.push_back(FromWire("servers", ToWire(row)));
    }
    TableReplicas other;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         other.Apply("servers", copiedRows, true, 90).size());
    CPPUNIT_ASSERT_EQUAL(state::Version{ 2 }, other.Find("servers").lastChange);
    CPPUNIT_ASSERT(other.Apply("servers", copiedRows, true, 95).empty());
    CPPUNIT_ASSERT_EQUAL(state::Version{ 2 }, other.Find("servers").lastChange);
  }

  // An update may contain rows that the replica already has, for instance from
  // a peer; they must not be applied again.
  void testKnownChangesAreNotReportedAgain()
  {
    this->replicas.Apply("servers", { Row("a", "", 6) }, true, 6);
    CPPUNIT_ASSERT(
      this->replicas.Apply("servers", { Row("a", "", 6) }, false, 8).empty());
    CPPUNIT_ASSERT_EQUAL(
      std::size_t{ 1 },
      this->replicas.Apply("servers", { Row("c", "", 7) }, false, 8).size());
  }

  // A row of a read's second page may be newer than a change of a row of the
  // first page, which the read doesn't contain.
  void testChangeBetweenPagesOfReadIsKept()
  {
    this->replicas.Apply("servers", { Row("a", "here", 1), Row("z", "", 108) },
                         true, 100);
    // An incomplete replica must not be announced as complete.
    CPPUNIT_ASSERT_EQUAL(state::Version{ 100 },
                         this->replicas.Find("servers").lastChange);
    CPPUNIT_ASSERT(this->replicas.ChangesSince("servers", 100)->empty());
    const auto changed = this->replicas.Apply(
      "servers", { Row("a", "leaves", 105), Row("z", "", 108) }, false, 108);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, changed.size());
    CPPUNIT_ASSERT_EQUAL(std::string("leaves"),
                         this->replicas.Find("servers").rows.at("a").value);
    CPPUNIT_ASSERT_EQUAL(state::Version{ 108 },
                         this->replicas.Find("servers").version);
    // A full read of an older version must not remove or replace newer rows.
    CPPUNIT_ASSERT(
      this->replicas.Apply("servers", { Row("a", "here", 1) }, true, 105)
        .empty());
  }

  // Without the tombstones, a host that gets changes from a peer would go on
  // using removed rows.
  void testChangesSinceVersionIncludeTombstones()
  {
    this->replicas.Apply("servers", { Row("a", "", 1), Row("b", "", 2) }, true,
                         5);
    TableReplicas other = this->replicas;
    state::StoredRow removedRow = Row("a", "", 7);
    removedRow.removed = true;
    this->replicas.Apply("servers", { removedRow, Row("c", "", 8) }, false, 8);
    // A row that a full read finds missing was removed at an unknown time
    // before the read.
    this->replicas.Apply("servers", { Row("c", "", 8) }, true, 20);
    const auto changes = this->replicas.ChangesSince("servers", 5);
    CPPUNIT_ASSERT(changes.has_value());
    other.Apply("servers", *changes, false, 5);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, other.Find("servers").rows.size());
    CPPUNIT_ASSERT(other.Find("servers").rows.contains("c"));
    CPPUNIT_ASSERT(this->replicas.ChangesSince("servers", 20)->empty());
  }

  // A replica has no tombstones from before its first full read, so it must not
  // provide changes since an earlier version.
  void testChangesBeforeFirstReadAreUnknown()
  {
    this->replicas.Apply("servers", { Row("a", "", 1) }, true, 5);
    CPPUNIT_ASSERT(!this->replicas.ChangesSince("servers", 4));
    CPPUNIT_ASSERT(this->replicas.ChangesSince("servers", 5).has_value());
    CPPUNIT_ASSERT(!this->replicas.ChangesSince("none", 0) ||
                   this->replicas.ChangesSince("none", 0)->empty());
  }

  // A host was paused for four seconds. The digests that waited in its
  // connections acknowledged digests that it had sent before the pause, so they
  // must not confirm its map as of now.
  void testDelayedDigestConfirmsOnlyItsSendTime()
  {
    const state::HostRef self{ { "h0" }, 1 };
    Peers peers(
      self, [this] { return this->now; }, AllAreCellMembers);
    const std::int64_t number = peers.NextDigest();
    const TimePoint sentAt = this->now;
    protocol::HostDigest digest;
    digest.sender.__set_host("h1");
    digest.sender.__set_incarnation(1);
    protocol::KeyMapMark mark = ToWire({ "stoc" }, { 3, 1, self });
    mark.__set_heard(number);
    digest.keyMaps.push_back(mark);
    this->now += milliseconds(4000);
    peers.OnDigest(digest);
    const auto statuses = peers.PeerStatusesFor({ "stoc" });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, statuses.size());
    CPPUNIT_ASSERT(statuses[0].lastHeardAt == this->now);
    CPPUNIT_ASSERT(statuses[0].mapConfirmedAt == sentAt);
    CPPUNIT_ASSERT(statuses[0].mapVersion.assigner == self);
  }

  // A delayed digest of an earlier incarnation must not overwrite the state of
  // the current one. A peer without digests becomes silent once.
  void testDigestOfEndedIncarnationIsIgnored()
  {
    Peers peers(
      { { "h0" }, 1 }, [this] { return this->now; }, AllAreCellMembers);
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
  static bool AllAreCellMembers(const state::HostId& /*aHost*/) { return true; }

  static state::StoredRow Row(std::string aKey, std::string aValue,
                              state::Version aVersion)
  {
    return { "", "", std::move(aKey), std::move(aValue), aVersion, false };
  }

  TableReplicas replicas;
  TimePoint now{ std::chrono::hours(1) };
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableReplicasTest);

} // namespace kumquat::node
