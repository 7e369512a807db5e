// Which key owners a host uses before it has received a map from an assigner.

#include "node/internal/keyedservices.h"

#include "protocol/errorkind.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

namespace kumquat::node {

using std::chrono::milliseconds;

class KeyedServicesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyedServicesTest);
  CPPUNIT_TEST(testRestartedHostUsesStoredHolders);
  CPPUNIT_TEST(testAssignersMapReplacesStoredHolders);
  CPPUNIT_TEST(testStoreIsReadAgainOnlyAfterAFailure);
  CPPUNIT_TEST(testNonFollowerGetsStoredHoldersFromPeers);
  CPPUNIT_TEST(testNonFollowerReadsTheStoreIfNoPeerSendsAMap);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->reads = 0;
    this->ownerChanges = 0;
    this->doesStoreFail = false;
    this->followsStore = true;
    this->rows.clear();
    this->upstreams.emplace();
    this->peers.emplace(
      state::HostRef{ { "h0" }, 2 }, [this] { return this->now; },
      [](const state::HostId&) { return true; });
    this->keyedServices.emplace(state::HostRef{ { "h0" }, 2 },
                                milliseconds(10'000), *this->upstreams,
                                *this->peers, this->MakeHooks());
  }

  // Guards against refused keyed requests after all hosts lost power for a
  // second. The upstreams still have their leases, but the hosts take more than
  // another second to agree on an assigner. Until then every lookup failed,
  // though the stored assignment names the holder of each key.
  void testRestartedHostUsesStoredHolders()
  {
    this->StoreAssignment(7, "u1");
    this->keyedServices->SetServices({ kStoc });
    this->keyedServices->OnTimer();
    const auto owner = this->keyedServices->OwnerOf(kStoc, 5);
    CPPUNIT_ASSERT_EQUAL(std::string("u1"), owner.upstream.value);
    // Requests that wait for an owner are checked again.
    CPPUNIT_ASSERT_EQUAL(1, this->ownerChanges);
    CPPUNIT_ASSERT(this->keyedServices->Assigners().empty());
  }

  // Guards against a host that keeps the stored holders when an assigner sends
  // a map of the same assignment version. The assigner knows which leases are
  // still in force.
  void testAssignersMapReplacesStoredHolders()
  {
    this->StoreAssignment(7, "u1");
    this->keyedServices->SetServices({ kStoc });
    this->keyedServices->OnTimer();
    protocol::KeyMapUpdate update;
    update.mark.__set_serviceName(kStoc.value);
    update.mark.__set_version(7);
    update.mark.__set_step(0);
    update.mark.assigner.__set_host("h1");
    protocol::KeyRange range;
    range.__set_first(0);
    range.__set_last(ownership::kLastKey);
    range.__set_upstream("u2");
    update.__set_ranges({ range });
    this->keyedServices->OnMapUpdate(update);
    const auto owner = this->keyedServices->OwnerOf(kStoc, 5);
    CPPUNIT_ASSERT_EQUAL(std::string("u2"), owner.upstream.value);
  }

  // Guards against useless reads, as each read is billed. If nothing is stored,
  // the host that assigns the keys sends the map to everyone; only a failed
  // read is repeated.
  void testStoreIsReadAgainOnlyAfterAFailure()
  {
    this->doesStoreFail = true;
    this->keyedServices->SetServices({ kStoc });
    this->keyedServices->OnTimer();
    this->keyedServices->OnTimer();
    CPPUNIT_ASSERT_EQUAL(1, this->reads);
    this->doesStoreFail = false;
    this->now += milliseconds(1000);
    this->keyedServices->OnTimer();
    CPPUNIT_ASSERT_EQUAL(2, this->reads);
    this->now += milliseconds(1000);
    this->keyedServices->OnTimer();
    CPPUNIT_ASSERT_EQUAL(2, this->reads);
  }

  // Guards against a burst of reads: after a loss of all power each of some
  // hundred hosts read the same row. Hosts that follow the store read it and
  // send it to the others.
  void testNonFollowerGetsStoredHoldersFromPeers()
  {
    this->StoreAssignment(7, "u1");
    this->keyedServices->SetServices({ kStoc });
    this->keyedServices->OnTimer();
    const auto published = this->keyedServices->TakeMapUpdates();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, published.size());
    CPPUNIT_ASSERT(this->keyedServices->TakeMapUpdates().empty());
    this->setUp();
    this->followsStore = false;
    this->keyedServices->SetServices({ kStoc });
    this->keyedServices->OnTimer();
    this->keyedServices->OnMapUpdate(published.front());
    this->now += milliseconds(2000);
    this->keyedServices->OnTimer();
    CPPUNIT_ASSERT_EQUAL(0, this->reads);
    const auto owner = this->keyedServices->OwnerOf(kStoc, 5);
    CPPUNIT_ASSERT_EQUAL(std::string("u1"), owner.upstream.value);
  }

  // Guards against waiting forever for a map from peers: the hosts that follow
  // the store may be unreachable, or may not know of the service yet.
  void testNonFollowerReadsTheStoreIfNoPeerSendsAMap()
  {
    this->StoreAssignment(7, "u1");
    this->followsStore = false;
    this->keyedServices->SetServices({ kStoc });
    this->keyedServices->OnTimer();
    CPPUNIT_ASSERT_EQUAL(0, this->reads);
    this->now += milliseconds(5100);
    this->keyedServices->OnTimer();
    CPPUNIT_ASSERT_EQUAL(1, this->reads);
  }

private:
  inline static const state::ServiceName kStoc{ "stoc" };

  KeyedServices::Hooks MakeHooks()
  {
    KeyedServices::Hooks hooks;
    hooks.restingPart = [](const state::UpstreamId&) { return 0.0; };
    hooks.limitOf = [](const state::UpstreamId&) {
      return std::optional<double>();
    };
    hooks.now = [this] { return this->now; };
    hooks.store.read = [this](const std::string&, const std::string&,
                              const state::RowStore::ReadDone& aDone) {
      ++this->reads;
      if (this->doesStoreFail) {
        aDone(make_error_code(protocol::ErrorKind::kStoreUnavailable));
        return;
      }
      state::RowsRead read;
      read.rows = this->rows;
      aDone(std::move(read));
    };
    hooks.followsStore = [this] { return this->followsStore; };
    hooks.ownersChanged = [this] { ++this->ownerChanges; };
    hooks.log = [](std::string_view, std::string_view, std::string_view) {};
    return hooks;
  }

  void StoreAssignment(state::Version aVersion, const std::string& aHolder)
  {
    const auto assignment = ownership::AssignEvenly({ { { aHolder }, 1 } });
    this->rows = { { "keys", "stoc", "assignment",
                     ownership::SerializeAssignment(assignment), aVersion,
                     false } };
  }

  TimePoint now;
  int reads = 0;
  int ownerChanges = 0;
  bool doesStoreFail = false;
  bool followsStore = true;
  std::vector<state::StoredRow> rows;
  std::optional<routing::Upstreams> upstreams;
  std::optional<Peers> peers;
  std::optional<KeyedServices> keyedServices;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyedServicesTest);

} // namespace kumquat::node
