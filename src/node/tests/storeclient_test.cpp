// Following the store's tables, against a store over loopback.

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

class StoreDutyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreDutyTest);
  CPPUNIT_TEST(testLeftUpstreamIsNotTakenAsLapsedLongAfterAFailure);
  CPPUNIT_TEST(testLeftUpstreamIsNotTakenAsLapsedAfterAShortFailure);
  CPPUNIT_TEST(testLapsedUpstreamIsUsedOnAfterAnOutage);
  CPPUNIT_TEST(testLargeTableOverASlowLinkIsReadOnce);
  CPPUNIT_TEST(testReadUnderWayCountsWhenAHostStopsFollowing);
  CPPUNIT_TEST(testBytesOfAWholeReadCountAsHeard);
  CPPUNIT_TEST(testHostThatFollowsOnFromAVersionReadsNothingWhole);
  CPPUNIT_TEST(testCautiousHostAsksAStoreThatIsOutForOneTable);
  CPPUNIT_TEST(testHostThatFollowsNoMoreLearnsThatTheStoreIsBack);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->news.clear();
    this->well = true;
    this->store.emplace(kStore);
    this->thread.emplace(64);
    this->duty.emplace(
      *this->thread, kStore, "", std::vector<std::string>{ "op", "servers" },
      StoreClient::Hooks{
        [this](const TableUpdate& aNews) { this->OnNews(aNews); },
        [this](bool aWell) { this->OnWell(aWell); },
        [](const TableReadResult&) {},
        {} });
    this->thread->Start("store-duty");
  }

  void tearDown() override
  {
    this->thread->Stop();
    this->duty.reset();
    this->thread.reset();
    this->store.reset();
  }

  // The removal of an upstream in use was taken for a lapse, as a call had
  // failed once before, and requests reached it for two more seconds.
  void testLeftUpstreamIsNotTakenAsLapsedLongAfterAFailure()
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

  // One connection broke while an upstream left: nothing lapses in so short a
  // time.
  void testLeftUpstreamIsNotTakenAsLapsedAfterAShortFailure()
  {
    this->store->Put("i-1", "here");
    this->FollowBoth();
    this->AwaitRow("i-1", false);
    std::this_thread::sleep_for(milliseconds(400));
    this->store->CloseWaitingCalls();
    this->store->Remove("i-1");
    CPPUNIT_ASSERT(this->AwaitRow("i-1", true).grace == milliseconds(0));
  }

  // Entries that lapse while the store is away are those of live upstreams.
  void testLapsedUpstreamIsUsedOnAfterAnOutage()
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

  // A read that took longer than a call may, or than peers take to tell that
  // the host is behind, was begun anew each time and never ended.
  void testLargeTableOverASlowLinkIsReadOnce()
  {
    this->store->Put("config", std::string(400'000, 'x'));
    this->store->SetSlowReads(6, milliseconds(400));
    this->FollowBoth();
    for (int i = 0; i < 6; ++i) {
      std::this_thread::sleep_for(milliseconds(400));
      this->duty->ReadFullTable("op");
    }
    this->AwaitRow("config", false);
    CPPUNIT_ASSERT_EQUAL(2, this->store->ReadCount());
  }

  // The answer was not listened to, and the next read waited for its time-out.
  void testReadUnderWayCountsWhenAHostStopsFollowing()
  {
    this->store->Put("config", std::string(400'000, 'x'));
    this->store->SetSlowReads(6, milliseconds(100));
    this->FollowBoth();
    std::this_thread::sleep_for(milliseconds(200));
    this->duty->Follow({}, false);
    this->AwaitRow("config", false);
    CPPUNIT_ASSERT_EQUAL(2, this->store->ReadCount());
  }

  // A large row that was arriving was asked of a peer as well, over the same
  // slow link.
  void testBytesOfAWholeReadCountAsHeard()
  {
    this->store->Put("config", std::string(400'000, 'x'));
    this->store->SetSlowReads(6, milliseconds(300));
    this->FollowBoth();
    std::this_thread::sleep_for(milliseconds(1200));
    const Duration since = BootTime() - this->duty->LastReceivedAt("op");
    CPPUNIT_ASSERT(since < milliseconds(600));
  }

  // Each host that took over from a lost reader read every table whole.
  void testHostThatFollowsOnFromAVersionReadsNothingWhole()
  {
    this->store->Put("i-1", "here");
    this->store->Put("i-2", "here");
    this->duty->Follow({ { "servers", 1 } }, false);
    const TableUpdate first = this->AwaitRow("i-2", false);
    CPPUNIT_ASSERT(!first.isFull);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, first.rows.size());
    CPPUNIT_ASSERT_EQUAL(0, this->store->ReadCount());
  }

  // Hundreds stand in for those that the store turned away, and it is out.
  void testCautiousHostAsksAStoreThatIsOutForOneTable()
  {
    this->store->Put("i-1", "here");
    this->store->SetDown(true);
    this->duty->Follow({ { "op", 0 }, { "servers", 0 } }, true);
    this->AwaitWell(false);
    std::this_thread::sleep_for(milliseconds(1000));
    CPPUNIT_ASSERT(this->store->CallCount() <= 4);
    this->store->SetDown(false);
    this->AwaitWell(true);
    this->AwaitRow("i-1", false);
  }

  // Taken for turned away for good, it asked its peers only, and for the whole.
  void testHostThatFollowsNoMoreLearnsThatTheStoreIsBack()
  {
    this->store->Put("i-1", "here");
    this->FollowBoth();
    this->AwaitRow("i-1", false);
    this->store->SetDown(true);
    this->AwaitWell(false);
    this->duty->Follow({}, false);
    std::this_thread::sleep_for(milliseconds(100));
    this->store->SetDown(false);
    this->AwaitWell(true);
  }

private:
  void FollowBoth()
  {
    this->duty->Follow({ { "op", 0 }, { "servers", 0 } }, false);
  }

  void AwaitWell(bool aWell)
  {
    std::unique_lock lock(this->mutex);
    CPPUNIT_ASSERT(this->changed.wait_for(lock, std::chrono::seconds(5),
                                          [&] { return this->well == aWell; }));
  }

  void OnWell(bool aWell)
  {
    const std::scoped_lock lock(this->mutex);
    this->well = aWell;
    this->changed.notify_all();
  }

  void OnNews(const TableUpdate& aNews)
  {
    const std::scoped_lock lock(this->mutex);
    this->news.push_back(aNews);
    this->changed.notify_all();
  }

  // The first news that tell of the row so: a whole table without it says that
  // it is gone.
  TableUpdate AwaitRow(const std::string& aKey, bool aRemoved)
  {
    std::unique_lock lock(this->mutex);
    std::optional<TableUpdate> found;
    this->changed.wait_for(lock, std::chrono::seconds(8), [&] {
      const auto tells = [&](const TableUpdate& aNews) {
        const auto row =
          std::ranges::find(aNews.rows, aKey, &state::StoredRow::key);
        const bool isThere = row != aNews.rows.end() && !row->removed;
        const bool isGone =
          row == aNews.rows.end() ? aNews.isFull : row->removed;
        return aRemoved ? isGone : isThere;
      };
      const auto one = std::ranges::find_if(this->news, tells);
      if (one != this->news.end()) {
        found = *one;
      }
      return found.has_value();
    });
    CPPUNIT_ASSERT_MESSAGE("no news of " + aKey, found.has_value());
    this->news.clear();
    return *found;
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<TableUpdate> news;
  bool well = true;
  std::optional<FakeStoreServer> store;
  std::optional<transport::DutyThread> thread;
  std::optional<StoreClient> duty;
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreDutyTest);

} // namespace kumquat::node
