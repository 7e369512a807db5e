// Tests of which hosts a host connects to and sends digests to, and of which
// hosts follow the store's tables.

#include "node/internal/peertopology.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat::node {

using std::chrono::milliseconds;

class PeerTopologyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerTopologyTest);
  CPPUNIT_TEST(testFewHostsSendFullDigestsToAll);
  CPPUNIT_TEST(testHostsInCellsSendToCellAndHubs);
  CPPUNIT_TEST(testHubSendsToAllHosts);
  CPPUNIT_TEST(testUnreachableHubIsReplaced);
  CPPUNIT_TEST(testCellHasTwoFollowersThatReachStore);
  CPPUNIT_TEST(testFewHostsFollowWhileNoneWasHeard);
  CPPUNIT_TEST(testOnlyHubsFollowWhileOneReachesStore);
  CPPUNIT_TEST(testEachHostIsAssignedToOneHub);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->lastHeard.clear();
  }

  // In a small deployment every host has to know what all others run, as soon
  // as enough of it has changed.
  void testFewHostsSendFullDigestsToAll()
  {
    PeerTopology topology = this->MakeTopology(0, 12);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 11 },
                         topology.TakeConnectionChanges().toOpen.size());
    const auto recipients = topology.TakeDigestRecipients(HostNames(12), 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 12 }, recipients.full.size());
    CPPUNIT_ASSERT(recipients.brief.empty());
    // Too little has changed since, and the maximum interval has not passed.
    this->now += milliseconds(100);
    CPPUNIT_ASSERT(
      topology.TakeDigestRecipients(HostNames(12), 1).full.empty());
    CPPUNIT_ASSERT(
      !topology.TakeDigestRecipients(HostNames(12), 2).full.empty());
  }

  // Digests to all hosts cost each host more with every further host. In cells
  // a host sends them only to cell members, hubs and assigners.
  void testHostsInCellsSendToCellAndHubs()
  {
    PeerTopology topology = this->MakeTopology(0, 60);
    topology.SetAssigners({ { "host-30" } });
    const auto changes = topology.TakeConnectionChanges();
    CPPUNIT_ASSERT(changes.toOpen.size() < 20);
    CPPUNIT_ASSERT(changes.toOpen.contains({ "host-30" }));
    const auto recipients = topology.TakeDigestRecipients(HostNames(60), 0);
    CPPUNIT_ASSERT(recipients.full.size() < 15);
    CPPUNIT_ASSERT(!recipients.brief.empty() && recipients.brief.size() <= 4);
    for (const std::string& member : recipients.full) {
      CPPUNIT_ASSERT(topology.IsCellMember({ member }));
    }
  }

  // A hub has to reach every host, and precedes all others as assigner.
  void testHubSendsToAllHosts()
  {
    PeerTopology topology = this->MakeTopology(0, 60, 5);
    topology.TakeConnectionChanges();
    const auto recipients = topology.TakeDigestRecipients(HostNames(60), 0);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 60 },
                         recipients.full.size() + recipients.brief.size());
    CPPUNIT_ASSERT(topology.DutyPreference({ "host-0" }) >
                   topology.DutyPreference({ "host-1" }));
  }

  // The host of a hub loses power. Until it is heard again another host of its
  // data centre has to be hub, and connecting to the lost one has to go on.
  void testUnreachableHubIsReplaced()
  {
    PeerTopology topology = this->MakeTopology(0, 60);
    topology.TakeConnectionChanges();
    const std::set<std::string> before = this->HubsOf(topology);
    const std::string lostHub = *before.begin();
    this->now += milliseconds(2500);
    for (const std::string& name : HostNames(60)) {
      if (name != lostHub) {
        this->lastHeard[{ name }] = this->now;
      }
    }
    const auto changes = topology.TakeConnectionChanges();
    CPPUNIT_ASSERT(changes.toOpen.contains({ lostHub }));
    const std::set<std::string> after = this->HubsOf(topology);
    CPPUNIT_ASSERT(!after.contains(lostHub));
    CPPUNIT_ASSERT_EQUAL(before.size(), after.size());
    this->lastHeard[{ lostHub }] = this->now;
    topology.TakeConnectionChanges();
    CPPUNIT_ASSERT(this->HubsOf(topology) == before);
  }

  // Guards against all hosts of a start that follow the store's tables, as none
  // of them has heard another yet.
  void testFewHostsFollowWhileNoneWasHeard()
  {
    constexpr int kHosts = 60;
    int followers = 0;
    for (int i = 0; i < kHosts; ++i) {
      PeerTopology topology = this->MakeTopology(i, kHosts);
      topology.TakeConnectionChanges();
      this->now += milliseconds(1500);
      followers += topology.ShouldFollowTables(
                     { topology.Self() },
                     [](const state::HostId& /*aHost*/) { return false; })
                     ? 1
                     : 0;
    }
    CPPUNIT_ASSERT(followers <= kHosts / 3);
  }

  // No hub is heard, so two members of each cell follow the store. If the store
  // rejects both, two others have to follow, while the first ones go on trying.
  void testCellHasTwoFollowersThatReachStore()
  {
    std::set<state::HostId> rejected;
    const auto followers = [&] {
      std::set<state::HostId> following;
      const PeerTopology first = this->MakeTopology(0, 60);
      for (const state::HostId& member : first.Cells().Members()) {
        const int number = std::stoi(member.value.substr(5));
        PeerTopology topology = this->MakeTopology(number, 60);
        topology.TakeConnectionChanges();
        this->now += milliseconds(1500);
        const std::set<state::HostId>& members = first.Cells().Members();
        const bool isHub = topology.DutyPreference(member) > 1;
        if (!isHub &&
            topology.ShouldFollowTables({ members.begin(), members.end() },
                                        [&](const state::HostId& aHost) {
                                          return !rejected.contains(aHost);
                                        })) {
          following.insert(member);
        }
      }
      return following;
    };
    const std::set<state::HostId> usualFollowers = followers();
    CPPUNIT_ASSERT(usualFollowers.size() == 1 || usualFollowers.size() == 2);
    rejected = usualFollowers;
    const std::set<state::HostId> followersWithRejected = followers();
    CPPUNIT_ASSERT_EQUAL(2 * usualFollowers.size(),
                         followersWithRejected.size());
    CPPUNIT_ASSERT(
      std::ranges::includes(followersWithRejected, usualFollowers));
  }

  // With two followers in each cell the calls for one change grew with the
  // number of hosts. While a hub reaches the store, only hubs have to follow
  // it.
  void testOnlyHubsFollowWhileOneReachesStore()
  {
    std::set<state::HostId> rejected;
    const auto followers = [&] {
      int count = 0;
      for (int i = 0; i < 60; ++i) {
        PeerTopology topology = this->MakeTopology(i, 60);
        topology.TakeConnectionChanges();
        this->HeardFromAll();
        const std::set<state::HostId>& members = topology.Cells().Members();
        count += topology.ShouldFollowTables({ members.begin(), members.end() },
                                             [&](const state::HostId& aHost) {
                                               return !rejected.contains(aHost);
                                             })
                   ? 1
                   : 0;
      }
      return count;
    };
    CPPUNIT_ASSERT_EQUAL(3, followers());
    PeerTopology anyHost = this->MakeTopology(0, 60);
    anyHost.TakeConnectionChanges();
    for (const std::string& hub : HubsOf(anyHost)) {
      CPPUNIT_ASSERT_EQUAL(3, followers());
      rejected.insert({ hub });
    }
    // None of the hubs reaches the store.
    CPPUNIT_ASSERT(followers() > 12);
  }

  // Each host gets changes from one hub, of its own data centre if that has
  // one, and the hubs forward to each other. Two of these tests' three hubs
  // forward to each hub.
  void testEachHostIsAssignedToOneHub()
  {
    PeerTopology anyHost = this->MakeTopology(0, 60);
    anyHost.TakeConnectionChanges();
    const std::set<std::string> hubs = HubsOf(anyHost);
    std::map<std::string, int> senders;
    for (const std::string& hub : hubs) {
      const int number = std::stoi(hub.substr(5));
      PeerTopology topology = this->MakeTopology(number, 60);
      topology.TakeConnectionChanges();
      for (const std::string& name : HostNames(60)) {
        senders[name] +=
          name != hub && topology.ForwardsChangesTo({ name }) ? 1 : 0;
      }
    }
    for (const auto& [name, times] : senders) {
      CPPUNIT_ASSERT_EQUAL(hubs.contains(name) ? 2 : 1, times);
    }
  }

private:
  void HeardFromAll()
  {
    for (const std::string& name : HostNames(60)) {
      this->lastHeard[{ name }] = this->now;
    }
  }

  static std::set<std::string> HostNames(int aCount)
  {
    std::set<std::string> hostNames;
    for (int i = 0; i < aCount; ++i) {
      hostNames.insert("host-" + std::to_string(i));
    }
    return hostNames;
  }

  static routing::CellHost HostOf(int aNumber, double aProcessors)
  {
    return { { "host-" + std::to_string(aNumber) },
             { std::string(1, static_cast<char>('a' + aNumber % 3)) },
             aProcessors };
  }

  // Makes the topology of host aSelf of aCount hosts. It has aProcessors
  // processors, the others have one each.
  PeerTopology MakeTopology(int aSelf, int aCount, double aProcessors = 1)
  {
    PeerTopology topology(HostOf(aSelf, aProcessors),
                          { [this] { return this->now; },
                            [this](const state::HostId& aHost) {
                              return this->lastHeard[aHost];
                            } });
    std::vector<HostAddress> hosts;
    hosts.reserve(static_cast<std::size_t>(aCount));
    for (int i = 0; i < aCount; ++i) {
      hosts.push_back({ HostOf(i, 1), "10.0.0.1:" + std::to_string(7000 + i) });
    }
    topology.SetHosts(std::move(hosts));
    return topology;
  }

  // The hubs as this host knows them; they precede all other hosts.
  static std::set<std::string> HubsOf(const PeerTopology& aTopology)
  {
    std::set<std::string> hubs;
    for (const std::string& name : HostNames(60)) {
      if (aTopology.DutyPreference({ name }) > 100) {
        hubs.insert(name);
      }
    }
    return hubs;
  }

  TimePoint now;
  std::map<state::HostId, TimePoint> lastHeard;
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerTopologyTest);

} // namespace kumquat::node
