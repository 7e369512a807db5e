// Whom a host of a large deployment connects to, tells about itself, and leaves
// the store to.

#include "node/internal/peertopology.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat::node {

using std::chrono::milliseconds;

class NeighboursTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(NeighboursTest);
  CPPUNIT_TEST(testFewHostsTellEachOtherEverything);
  CPPUNIT_TEST(testManyHostsTellTheirCellAndTheHubs);
  CPPUNIT_TEST(testHubTellsEveryone);
  CPPUNIT_TEST(testLostHubHasAStandIn);
  CPPUNIT_TEST(testCellHasTwoReadersThatReachTheStore);
  CPPUNIT_TEST(testHubsAloneFollowTheStoreWhileOneReachesIt);
  CPPUNIT_TEST(testHubsShareTheHostsThatTheyTell);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->heard.clear();
  }

  void testFewHostsTellEachOtherEverything()
  {
    PeerTopology neighbours = this->Make(0, 12);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 11 },
                         neighbours.TakeConnectionChanges().toOpen.size());
    const auto due = neighbours.TakeDigestRecipients(Names(12), 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 12 }, due.full.size());
    CPPUNIT_ASSERT(due.brief.empty());
    // Nothing has changed since, and the pause is not over.
    this->now += milliseconds(100);
    CPPUNIT_ASSERT(neighbours.TakeDigestRecipients(Names(12), 1).full.empty());
    CPPUNIT_ASSERT(!neighbours.TakeDigestRecipients(Names(12), 2).full.empty());
  }

  void testManyHostsTellTheirCellAndTheHubs()
  {
    PeerTopology neighbours = this->Make(0, 60);
    neighbours.SetAssigners({ { "host-30" } });
    const auto dials = neighbours.TakeConnectionChanges();
    CPPUNIT_ASSERT(dials.toOpen.size() < 20);
    CPPUNIT_ASSERT(dials.toOpen.contains({ "host-30" }));
    const auto due = neighbours.TakeDigestRecipients(Names(60), 0);
    CPPUNIT_ASSERT(due.full.size() < 15);
    CPPUNIT_ASSERT(!due.brief.empty() && due.brief.size() <= 4);
    for (const std::string& mate : due.full) {
      CPPUNIT_ASSERT(neighbours.IsCellMember({ mate }));
    }
  }

  void testHubTellsEveryone()
  {
    PeerTopology neighbours = this->Make(0, 60, 5);
    neighbours.TakeConnectionChanges();
    const auto due = neighbours.TakeDigestRecipients(Names(60), 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 60 }, due.full.size() + due.brief.size());
    CPPUNIT_ASSERT(neighbours.DutyPreference({ "host-0" }) >
                   neighbours.DutyPreference({ "host-1" }));
  }

  // A hub's host loses power. Until it is heard again another one of its data
  // centre hears everyone, and the first is dialled on.
  void testLostHubHasAStandIn()
  {
    PeerTopology neighbours = this->Make(0, 60);
    neighbours.TakeConnectionChanges();
    const std::set<std::string> before = this->HubsOf(neighbours);
    const std::string lost = *before.begin();
    this->now += milliseconds(2500);
    for (const std::string& name : Names(60)) {
      if (name != lost) {
        this->heard[{ name }] = this->now;
      }
    }
    const auto dials = neighbours.TakeConnectionChanges();
    CPPUNIT_ASSERT(dials.toOpen.contains({ lost }));
    const std::set<std::string> after = this->HubsOf(neighbours);
    CPPUNIT_ASSERT(!after.contains(lost));
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    this->heard[{ lost }] = this->now;
    neighbours.TakeConnectionChanges();
    CPPUNIT_ASSERT(this->HubsOf(neighbours) == before);
  }

  // No hub is heard: two of a cell follow the store. The store turns both away,
  // and two others do, while the first go on trying.
  void testCellHasTwoReadersThatReachTheStore()
  {
    std::set<state::HostId> turnedAway;
    const auto readers = [&] {
      std::set<state::HostId> reading;
      const PeerTopology first = this->Make(0, 60);
      for (const state::HostId& mate : first.Cells().Members()) {
        const int number = std::stoi(mate.value.substr(5));
        PeerTopology neighbours = this->Make(number, 60);
        neighbours.TakeConnectionChanges();
        this->now += milliseconds(1500);
        const std::set<state::HostId>& mates = first.Cells().Members();
        const bool isHub = neighbours.DutyPreference(mate) > 1;
        if (!isHub &&
            neighbours.ShouldFollowTables({ mates.begin(), mates.end() },
                                          [&](const state::HostId& aHost) {
                                            return !turnedAway.contains(aHost);
                                          })) {
          reading.insert(mate);
        }
      }
      return reading;
    };
    const std::set<state::HostId> usual = readers();
    CPPUNIT_ASSERT(usual.size() == 1 || usual.size() == 2);
    turnedAway = usual;
    const std::set<state::HostId> more = readers();
    CPPUNIT_ASSERT_EQUAL(2 * usual.size(), more.size());
    CPPUNIT_ASSERT(std::ranges::includes(more, usual));
  }

  // Two readers a cell made the calls for one change grow with the hosts.
  void testHubsAloneFollowTheStoreWhileOneReachesIt()
  {
    std::set<state::HostId> turnedAway;
    const auto readers = [&] {
      int count = 0;
      for (int i = 0; i < 60; ++i) {
        PeerTopology neighbours = this->Make(i, 60);
        neighbours.TakeConnectionChanges();
        this->HearAll();
        const std::set<state::HostId>& mates = neighbours.Cells().Members();
        count +=
          neighbours.ShouldFollowTables({ mates.begin(), mates.end() },
                                        [&](const state::HostId& aHost) {
                                          return !turnedAway.contains(aHost);
                                        })
            ? 1
            : 0;
      }
      return count;
    };
    CPPUNIT_ASSERT_EQUAL(3, readers());
    PeerTopology any = this->Make(0, 60);
    any.TakeConnectionChanges();
    for (const std::string& hub : HubsOf(any)) {
      CPPUNIT_ASSERT_EQUAL(3, readers());
      turnedAway.insert({ hub });
    }
    // None of them reaches the store.
    CPPUNIT_ASSERT(readers() > 12);
  }

  // Each host has the news from one hub, of its own data centre where it has
  // one; the hubs tell each other.
  void testHubsShareTheHostsThatTheyTell()
  {
    PeerTopology any = this->Make(0, 60);
    any.TakeConnectionChanges();
    const std::set<std::string> hubs = HubsOf(any);
    std::map<std::string, int> told;
    for (const std::string& hub : hubs) {
      const int number = std::stoi(hub.substr(5));
      PeerTopology neighbours = this->Make(number, 60);
      neighbours.TakeConnectionChanges();
      for (const std::string& name : Names(60)) {
        told[name] +=
          name != hub && neighbours.ForwardsChangesTo({ name }) ? 1 : 0;
      }
    }
    for (const auto& [name, times] : told) {
      CPPUNIT_ASSERT_EQUAL(hubs.contains(name) ? 2 : 1, times);
    }
  }

private:
  void HearAll()
  {
    for (const std::string& name : Names(60)) {
      this->heard[{ name }] = this->now;
    }
  }

  static std::set<std::string> Names(int aCount)
  {
    std::set<std::string> names;
    for (int i = 0; i < aCount; ++i) {
      names.insert("host-" + std::to_string(i));
    }
    return names;
  }

  static routing::CellHost HostOf(int aNumber, double aProcessors)
  {
    return { { "host-" + std::to_string(aNumber) },
             { std::string(1, static_cast<char>('a' + aNumber % 3)) },
             aProcessors };
  }

  // Host aSelf of aCount, with so many processors where the others have one.
  PeerTopology Make(int aSelf, int aCount, double aProcessors = 1)
  {
    PeerTopology neighbours(
      HostOf(aSelf, aProcessors),
      { [this] { return this->now; },
        [this](const state::HostId& aHost) { return this->heard[aHost]; } });
    std::vector<HostAddress> hosts;
    hosts.reserve(static_cast<std::size_t>(aCount));
    for (int i = 0; i < aCount; ++i) {
      hosts.push_back({ HostOf(i, 1), "10.0.0.1:" + std::to_string(7000 + i) });
    }
    neighbours.SetHosts(std::move(hosts));
    return neighbours;
  }

  // As the host sees them: they go before all others.
  static std::set<std::string> HubsOf(const PeerTopology& aNeighbours)
  {
    std::set<std::string> hubs;
    for (const std::string& name : Names(60)) {
      if (aNeighbours.DutyPreference({ name }) > 100) {
        hubs.insert(name);
      }
    }
    return hubs;
  }

  TimePoint now;
  std::map<state::HostId, TimePoint> heard;
};

CPPUNIT_TEST_SUITE_REGISTRATION(NeighboursTest);

} // namespace kumquat::node
