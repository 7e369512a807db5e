// Whose keys a host knows before it has heard any assigner.

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
  CPPUNIT_TEST(testRestartedHostGoesByTheStoredHolders);
  CPPUNIT_TEST(testStoredHoldersGiveWayToTheAssigner);
  CPPUNIT_TEST(testStoreIsAskedAgainOnlyWhereItFailed);
  CPPUNIT_TEST(testOneOfManyHasTheStoredHoldersFromOthers);
  CPPUNIT_TEST(testOneOfManyAsksTheStoreWhereNobodyTells);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->reads = 0;
    this->changes = 0;
    this->storeFails = false;
    this->asksStore = true;
    this->rows.clear();
    this->upstreams.emplace();
    this->peers.emplace(
      state::HostRef{ { "h0" }, 2 }, [this] { return this->now; },
      [](const state::HostId&) { return true; });
    this->keys.emplace(state::HostRef{ { "h0" }, 2 }, milliseconds(10'000),
                       *this->upstreams, *this->peers, this->MakeHooks());
  }

  // All hosts lost power for a second. The upstreams still hold their keys, but
  // it takes the hosts more than another second to agree on an assigner. Until
  // then every lookup was refused; the stored assignment says who holds what.
  void testRestartedHostGoesByTheStoredHolders()
  {
    this->Store(7, "u1");
    this->keys->SetServices({ kStoc });
    this->keys->OnTimer();
    const auto owner = this->keys->FindMap(kStoc)->OwnerOf(5, this->now);
    CPPUNIT_ASSERT_EQUAL(std::string("u1"), owner.upstream.value);
    // Requests that wait for an owner look again.
    CPPUNIT_ASSERT_EQUAL(1, this->changes);
    CPPUNIT_ASSERT(this->keys->Assigners().empty());
  }

  // An assigner that goes on with the very assignment knows better which of
  // its grants are in force.
  void testStoredHoldersGiveWayToTheAssigner()
  {
    this->Store(7, "u1");
    this->keys->SetServices({ kStoc });
    this->keys->OnTimer();
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
    this->keys->OnMapUpdate(update);
    const auto owner = this->keys->FindMap(kStoc)->OwnerOf(5, this->now);
    CPPUNIT_ASSERT_EQUAL(std::string("u2"), owner.upstream.value);
  }

  // Each read is paid for. Where nothing is stored, the one who deals the keys
  // tells everyone.
  void testStoreIsAskedAgainOnlyWhereItFailed()
  {
    this->storeFails = true;
    this->keys->SetServices({ kStoc });
    this->keys->OnTimer();
    this->keys->OnTimer();
    CPPUNIT_ASSERT_EQUAL(1, this->reads);
    this->storeFails = false;
    this->now += milliseconds(1000);
    this->keys->OnTimer();
    CPPUNIT_ASSERT_EQUAL(2, this->reads);
    this->now += milliseconds(1000);
    this->keys->OnTimer();
    CPPUNIT_ASSERT_EQUAL(2, this->reads);
  }

  // After a loss of all power each of some hundred hosts read the same row.
  void testOneOfManyHasTheStoredHoldersFromOthers()
  {
    this->Store(7, "u1");
    this->keys->SetServices({ kStoc });
    this->keys->OnTimer();
    const auto told = this->keys->TakeMapUpdates();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, told.size());
    CPPUNIT_ASSERT(this->keys->TakeMapUpdates().empty());
    this->setUp();
    this->asksStore = false;
    this->keys->SetServices({ kStoc });
    this->keys->OnTimer();
    this->keys->OnMapUpdate(told.front());
    this->now += milliseconds(2000);
    this->keys->OnTimer();
    CPPUNIT_ASSERT_EQUAL(0, this->reads);
    const auto owner = this->keys->FindMap(kStoc)->OwnerOf(5, this->now);
    CPPUNIT_ASSERT_EQUAL(std::string("u1"), owner.upstream.value);
  }

  // Those who ask for all are lost, or have not learnt of the service.
  void testOneOfManyAsksTheStoreWhereNobodyTells()
  {
    this->Store(7, "u1");
    this->asksStore = false;
    this->keys->SetServices({ kStoc });
    this->keys->OnTimer();
    CPPUNIT_ASSERT_EQUAL(0, this->reads);
    this->now += milliseconds(5100);
    this->keys->OnTimer();
    CPPUNIT_ASSERT_EQUAL(1, this->reads);
  }

private:
  inline static const state::ServiceName kStoc{ "stoc" };

  KeyedServices::Hooks MakeHooks()
  {
    KeyedServices::Hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.read = [this](const std::string&, const std::string&,
                        const state::RowStore::ReadDone& aDone) {
      ++this->reads;
      if (this->storeFails) {
        aDone(make_error_code(protocol::ErrorKind::kStoreUnavailable));
        return;
      }
      state::RowsRead read;
      read.rows = this->rows;
      aDone(std::move(read));
    };
    hooks.followsStore = [this] { return this->asksStore; };
    hooks.ownersChanged = [this] { ++this->changes; };
    hooks.log = [](std::string_view, std::string_view, std::string_view) {};
    return hooks;
  }

  void Store(state::Version aVersion, const std::string& aHolder)
  {
    const auto assignment = ownership::AssignEvenly({ { { aHolder }, 1 } });
    this->rows = { { "keys", "stoc", "assignment",
                     ownership::SerializeAssignment(assignment), aVersion,
                     false } };
  }

  TimePoint now;
  int reads = 0;
  int changes = 0;
  bool storeFails = false;
  bool asksStore = true;
  std::vector<state::StoredRow> rows;
  std::optional<routing::Upstreams> upstreams;
  std::optional<Peers> peers;
  std::optional<KeyedServices> keys;
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyedServicesTest);

} // namespace kumquat::node
