// Tests which hosts an assigner counts, and how they are stored.

#include "ownership/quorum.h"

#include "ownership/assigner.h"
#include "ownership/assignment.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::ownership::tests {

using std::chrono::hours;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

state::HostRef Host(const std::string& aName, state::Incarnation aRun = 1)
{
  return { { aName }, aRun };
}

constexpr TimePoint kStart{ hours(1) };
constexpr TimePoint kNow = kStart + minutes(30);

PeerStatus HeardBefore(const state::HostRef& aHost, Duration aTime)
{
  PeerStatus peer;
  peer.host = aHost;
  peer.lastHeardAt = kNow - aTime;
  return peer;
}

QuorumHosts Choose(const QuorumHosts& aCurrent,
                   const std::vector<PeerStatus>& aPeers,
                   TimePoint aStartedAt = kStart)
{
  return ChooseQuorumHosts(
    { aCurrent, aPeers, Host("h0"), "stoc", kNow, aStartedAt });
}

} // namespace

class QuorumTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(QuorumTest);
  CPPUNIT_TEST(testAssignerAndSuccessorNeverBothHaveEnoughHosts);
  CPPUNIT_TEST(testLongOutageLeavesFewHostsToASuccessor);
  CPPUNIT_TEST(testHostsOnTheOtherSideOfAPartitionCount);
  CPPUNIT_TEST(testStartedHostKeepsTheHostsThatItHasNotHeard);
  CPPUNIT_TEST(testGoneHostsDoNotCountForever);
  CPPUNIT_TEST(testRestartedHostCountsOnce);
  CPPUNIT_TEST(testManyHostsAreSampled);
  CPPUNIT_TEST(testStoredHostsAreReadBack);
  CPPUNIT_TEST(testRowsWithoutHostsCanBeRead);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against two assigners at once: hosts that use the successor's map
  // are no followers of its predecessor.
  void testAssignerAndSuccessorNeverBothHaveEnoughHosts()
  {
    for (std::size_t hosts = 1; hosts <= 60; ++hosts) {
      for (const Duration& time :
           { Duration(seconds(4)), Duration(minutes(5)), Duration(hours(1)) }) {
        const std::size_t required = RequiredFollowers(hosts, time);
        CPPUNIT_ASSERT(required * 2 > hosts);
      }
    }
  }

  // Guards against keys without an owner after most hosts were lost for good.
  void testLongOutageLeavesFewHostsToASuccessor()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 7 }, RequiredFollowers(12, seconds(299)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, RequiredFollowers(12, seconds(300)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 10 },
                         RequiredFollowers(12, seconds(600)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, RequiredFollowers(1, minutes(29)));
    CPPUNIT_ASSERT_EQUAL(kNoQuorum, RequiredFollowers(12, minutes(30)));
  }

  // Guards against two sides of a partition of which each counts only itself.
  void testHostsOnTheOtherSideOfAPartitionCount()
  {
    const QuorumHosts known{ Host("h0"), Host("h1"), Host("h2") };
    CPPUNIT_ASSERT(known ==
                   Choose(known, { HeardBefore(Host("h1"), seconds(299)),
                                   HeardBefore(Host("h2"), seconds(1)) }));
  }

  // Guards against a started host that takes itself for all hosts.
  void testStartedHostKeepsTheHostsThatItHasNotHeard()
  {
    const QuorumHosts known{ Host("h0"), Host("h1") };
    CPPUNIT_ASSERT(known == Choose(known, {}, kNow - seconds(299)));
  }

  // Guards against hosts that are gone and still needed for a majority.
  void testGoneHostsDoNotCountForever()
  {
    const QuorumHosts known{ Host("h0"), Host("h1"), Host("h2"), Host("h3") };
    PeerStatus leaving = HeardBefore(Host("h2"), seconds(0));
    leaving.leaving = true;
    CPPUNIT_ASSERT(
      (QuorumHosts{ Host("h0") }) ==
      Choose(known, { HeardBefore(Host("h1"), seconds(301)), leaving }));
  }

  // Guards against counting an incarnation that has ended.
  void testRestartedHostCountsOnce()
  {
    CPPUNIT_ASSERT((QuorumHosts{ Host("h0"), Host("h1", 2) }) ==
                   Choose({ Host("h0"), Host("h1") },
                          { HeardBefore(Host("h1", 2), seconds(1)) }));
  }

  // Guards against rows that grow with the number of hosts.
  void testManyHostsAreSampled()
  {
    std::vector<PeerStatus> peers;
    for (int i = 1; i <= 300; ++i) {
      peers.push_back(HeardBefore(Host("h" + std::to_string(i)), Duration(0)));
    }
    const QuorumHosts sample = Choose({}, peers);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 60 }, sample.size());
    CPPUNIT_ASSERT(sample == Choose(sample, peers));
  }

  void testStoredHostsAreReadBack()
  {
    Assignment assignment = SmallAssignment();
    assignment.quorumHosts = { Host("h0"), Host("h1", 5) };
    assignment.earlierAssigners = { { Host("h1", 4), { Host("h1", 4) } },
                                    { Host("h2"), {}, true } };
    const auto read = ParseAssignment(SerializeAssignment(assignment));
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(assignment.quorumHosts == read->quorumHosts);
    CPPUNIT_ASSERT(assignment.earlierAssigners == read->earlierAssigners);
  }

  // Guards against rows of versions that stored no hosts.
  void testRowsWithoutHostsCanBeRead()
  {
    const auto read = ParseAssignment(
      R"({"nextFence":2,"holders":[["u0",1]],"ranges":[[65535,0,1]]})");
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT(read->quorumHosts.empty());
    CPPUNIT_ASSERT(!ParseAssignment(
      R"({"nextFence":2,"holders":[["u0",1]],"ranges":[[65535,0,1]],)"
      R"("hosts":[["h0",1]],"quorum":[1],"earlier":[]})"));
  }

private:
  static Assignment SmallAssignment()
  {
    Assignment assignment;
    assignment.ranges = { { 0, kLastKey, { { "u0" }, 1 }, 1, {} } };
    return assignment;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(QuorumTest);

} // namespace kumquat::ownership::tests
