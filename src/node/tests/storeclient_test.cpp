// Tests of following the store's tables, against a fake store over loopback.

#include "node/internal/clocks.h"
#include "node/internal/storeclient.h"
#include "platform/tests/fakestoreserver.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

constexpr auto kStore = "127.0.99.2:18090";

} // namespace

class StoreClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreClientTest);
  CPPUNIT_TEST(testNoGracePeriodForRemovalLongAfterFailure);
  CPPUNIT_TEST(testNoGracePeriodForRemovalAfterShortFailure);
  CPPUNIT_TEST(testGracePeriodForRowExpiredInOutage);
  CPPUNIT_TEST(testLargeTableOverSlowLinkIsReadOnce);
  CPPUNIT_TEST(testReadUnderWayIsUsedAfterFollowingStops);
  CPPUNIT_TEST(testBytesOfFullReadUpdateLastReceivedTime);
  CPPUNIT_TEST(testFollowingFromKnownVersionNeedsNoFullRead);
  CPPUNIT_TEST(testCautiousHostRequestsOneTableDuringOutage);
  CPPUNIT_TEST(testRecoveryIsNoticedAfterFollowingStops);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->updates.clear();
    this->isAvailable = true;
    this->store.emplace(kStore);
    this->thread.emplace(64);
    this->client.emplace(
      *this->thread, kStore, "", std::vector<std::string>{ "op", "servers" },
      StoreClient::Hooks{
        [this](const TableUpdate& aUpdate) { this->OnUpdate(aUpdate); },
        [this](bool aIsAvailable) {
          this->OnAvailabilityChanged(aIsAvailable);
        },
        [](const TableReadResult&) {},
        {} });
    this->thread->Start("store-duty");
  }

  void tearDown() override
  {
    this->thread->Stop();
    this->client.reset();
    this->thread.reset();
    this->store.reset();
  }

  // A call had failed long before. The removal of an upstream in use was taken
  // for an expiry nevertheless, and requests went to it for two more seconds.
  void testNoGracePeriodForRemovalLongAfterFailure()
  {
    this->store->Put("i-1", "here");
    this->FollowBoth();
    this->AwaitRow("i-1", false);
    std::this_thread::sleep_for(milliseconds(400));
    this->store->CloseWaitingCalls();
    std::this_thread::sleep_for(milliseconds(1200));
    this->store->Remove("i-1");
    CPPUNIT_ASSERT(this->AwaitRow("i-1", true).grace == milliseconds(0));
  }

  // One connection broke while an upstream left. No entry expires in so short a
  // time, so there must be no grace period.
  void testNoGracePeriodForRemovalAfterShortFailure()
  {
    this->store->Put("i-1", "here");
    this->FollowBoth();
    this->AwaitRow("i-1", false);
    std::this_thread::sleep_for(milliseconds(400));
    this->store->CloseWaitingCalls();
    this->store->Remove("i-1");
    CPPUNIT_ASSERT(this->AwaitRow("i-1", true).grace == milliseconds(0));
  }

  // Entries that expire while the store is unavailable are those of live
  // upstreams, so they have to be used for the grace period.
  void testGracePeriodForRowExpiredInOutage()
  {
    this->store->Put("i-1", "here");
    this->FollowBoth();
    this->AwaitRow("i-1", false);
    std::this_thread::sleep_for(milliseconds(400));
    this->store->SetDown(true);
    std::this_thread::sleep_for(milliseconds(1800));
    this->store->Remove("i-1");
    this->store->SetDown(false);
    CPPUNIT_ASSERT(this->AwaitRow("i-1", true).grace > milliseconds(1000));
  }

  // A read that took longer than the timeout of a call, or longer than it took
  // peers to report that the host was behind, was restarted each time and never
  // ended.
  void testLargeTableOverSlowLinkIsReadOnce()
  {
    this->store->Put("config", std::string(400'000, 'x'));
    this->store->SetSlowReads(6, milliseconds(400));
    this->FollowBoth();
    for (int i = 0; i < 6; ++i) {
      std::this_thread::sleep_for(milliseconds(400));
      this->client->ReadFullTable("op");
    }
    this->AwaitRow("config", false);
    CPPUNIT_ASSERT_EQUAL(2, this->store->ReadCount());
  }

  // The response to a read was ignored when the host stopped following, and the
  // next read waited for its timeout.
  void testReadUnderWayIsUsedAfterFollowingStops()
  {
    this->store->Put("config", std::string(400'000, 'x'));
    this->store->SetSlowReads(6, milliseconds(100));
    this->FollowBoth();
    std::this_thread::sleep_for(milliseconds(200));
    this->client->Follow({}, false);
    this->AwaitRow("config", false);
    CPPUNIT_ASSERT_EQUAL(2, this->store->ReadCount());
  }

  // The time of the last bytes was not updated during a full read, so a large
  // row that was arriving was requested from a peer as well, over the same slow
  // link.
  void testBytesOfFullReadUpdateLastReceivedTime()
  {
    this->store->Put("config", std::string(400'000, 'x'));
    this->store->SetSlowReads(6, milliseconds(300));
    this->FollowBoth();
    std::this_thread::sleep_for(milliseconds(1200));
    const Duration sinceLastBytes =
      BootTime() - this->client->LastReceivedAt("op");
    CPPUNIT_ASSERT(sinceLastBytes < milliseconds(600));
  }

  // Each host that replaced a lost follower read every table in full, although
  // it had a replica.
  void testFollowingFromKnownVersionNeedsNoFullRead()
  {
    this->store->Put("i-1", "here");
    this->store->Put("i-2", "here");
    this->client->Follow({ { "servers", 1 } }, false);
    const TableUpdate first = this->AwaitRow("i-2", false);
    CPPUNIT_ASSERT(!first.isFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, first.rows.size());
    CPPUNIT_ASSERT_EQUAL(0, this->store->ReadCount());
  }

  // Hundreds of hosts replace the followers that the store rejected, and the
  // store is unavailable to them as well.
  void testCautiousHostRequestsOneTableDuringOutage()
  {
    this->store->Put("i-1", "here");
    this->store->SetDown(true);
    this->client->Follow({ { "op", 0 }, { "servers", 0 } }, true);
    this->AwaitAvailability(false);
    std::this_thread::sleep_for(milliseconds(1000));
    CPPUNIT_ASSERT(this->store->CallCount() <= 4);
    this->store->SetDown(false);
    this->AwaitAvailability(true);
    this->AwaitRow("i-1", false);
  }

  // A host that stopped following during an outage considered the store
  // unavailable forever, and requested full tables from its peers only.
  void testRecoveryIsNoticedAfterFollowingStops()
  {
    this->store->Put("i-1", "here");
    this->FollowBoth();
    this->AwaitRow("i-1", false);
    this->store->SetDown(true);
    this->AwaitAvailability(false);
    this->client->Follow({}, false);
    std::this_thread::sleep_for(milliseconds(100));
    this->store->SetDown(false);
    this->AwaitAvailability(true);
  }

private:
  void FollowBoth()
  {
    this->client->Follow({ { "op", 0 }, { "servers", 0 } }, false);
  }

  void AwaitAvailability(bool aIsAvailable)
  {
    std::unique_lock lock(this->mutex);
    CPPUNIT_ASSERT(this->changed.wait_for(lock, std::chrono::seconds(5), [&] {
      return this->isAvailable == aIsAvailable;
    }));
  }

  void OnAvailabilityChanged(bool aIsAvailable)
  {
    const std::scoped_lock lock(this->mutex);
    this->isAvailable = aIsAvailable;
    this->changed.notify_all();
  }

  void OnUpdate(const TableUpdate& aUpdate)
  {
    const std::scoped_lock lock(this->mutex);
    this->updates.push_back(aUpdate);
    this->changed.notify_all();
  }

  // Waits for the first update that reports the row as present or as removed. A
  // full table without the row reports it as removed.
  TableUpdate AwaitRow(const std::string& aKey, bool aRemoved)
  {
    std::unique_lock lock(this->mutex);
    std::optional<TableUpdate> found;
    this->changed.wait_for(lock, std::chrono::seconds(8), [&] {
      const auto isReported = [&](const TableUpdate& aUpdate) {
        const auto row =
          std::ranges::find(aUpdate.rows, aKey, &state::StoredRow::key);
        const bool isPresent = row != aUpdate.rows.end() && !row->removed;
        const bool isRemoved =
          row == aUpdate.rows.end() ? aUpdate.isFull : row->removed;
        return aRemoved ? isRemoved : isPresent;
      };
      const auto match = std::ranges::find_if(this->updates, isReported);
      if (match != this->updates.end()) {
        found = *match;
      }
      return found.has_value();
    });
    CPPUNIT_ASSERT_MESSAGE("expected an update about the row, found none: " +
                             aKey,
                           found.has_value());
    this->updates.clear();
    return *found;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<TableUpdate> updates;
  bool isAvailable = true;
  std::optional<FakeStoreServer> store;
  std::optional<transport::DutyThread> thread;
  std::optional<StoreClient> client;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreClientTest);

} // namespace kumquat::node
