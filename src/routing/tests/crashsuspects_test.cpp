// Tests the quarantine of requests under which upstreams end: one host's
// decisions, and many hosts that tell each other with a delay.

#include "routing/crashsuspects.h"

#include "routing/dispatcher.h"
#include "routing/tests/crashsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace kumquat::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

ContentHash ContentOf(const std::string& aTarget)
{
  CallerRequest request;
  request.message.target = aTarget;
  return HashContent(request);
}

} // namespace

class CrashSuspectsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CrashSuspectsTest);
  CPPUNIT_TEST(testRepeatsAreRecognizedByTheirContent);
  CPPUNIT_TEST(testRequestIsQuarantinedAfterThreeEnds);
  CPPUNIT_TEST(testServedRequestIsInnocent);
  CPPUNIT_TEST(testOneEndSeenByTwoHostsCountsOnce);
  CPPUNIT_TEST(testRepeatedReportsCountOnce);
  CPPUNIT_TEST(testOwnEndIsToldAfterAReportOfAPeer);
  CPPUNIT_TEST(testOwnEndIsToldAfterAChangeOfKeys);
  CPPUNIT_TEST(testHostThatHearsFewPeersStopsEarlier);
  CPPUNIT_TEST(testOneHostTriesAgainAfterTheQuarantine);
  CPPUNIT_TEST(testHostsAgreeOnAKey);
  CPPUNIT_TEST(testMemoryIsBounded);
  CPPUNIT_TEST(testLethalRequestsOverTwelveHosts);
  CPPUNIT_TEST(testLethalRequestsOverHundredsOfHosts);
  CPPUNIT_TEST(testLethalRequestsWhileHostsAreCutApart);
  CPPUNIT_TEST(testInnocentRequestsInWavesOfCrashes);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->one.SetHosts({ { "h1" }, { "h2" } });
    this->other.SetHosts({ { "h1" }, { "h2" } });
    this->one.SetReach(2, 2);
    this->other.SetReach(2, 2);
  }

  void testRepeatsAreRecognizedByTheirContent()
  {
    CallerRequest request;
    request.message.target = "/look/1";
    request.id = "first";
    CallerRequest repeat = request;
    repeat.id = "second";
    repeat.timeout = milliseconds(300);
    CPPUNIT_ASSERT(HashContent(request) == HashContent(repeat));
    repeat.message.body = "x";
    CPPUNIT_ASSERT(!(HashContent(request) == HashContent(repeat)));
    const ContentHash content = HashContent(request);
    CPPUNIT_ASSERT(!(FingerprintOf(content, 1) == FingerprintOf(content, 2)));
  }

  void testRequestIsQuarantinedAfterThreeEnds()
  {
    const ContentHash request = ContentOf("/look/1");
    for (const char* upstream : { "a", "b", "c" }) {
      CPPUNIT_ASSERT(this->one.MaySend(request));
      this->one.OnEnded(request, { upstream });
      this->now += milliseconds(5);
    }
    CPPUNIT_ASSERT(!this->one.MaySend(request));
    CPPUNIT_ASSERT(this->one.QuarantineLeft(request) > seconds(50));
    CPPUNIT_ASSERT(this->one.MaySend(ContentOf("/look/2")));
  }

  void testServedRequestIsInnocent()
  {
    const ContentHash request = ContentOf("/look/1");
    for (const char* upstream : { "a", "b", "c" }) {
      this->one.OnEnded(request, { upstream });
    }
    this->Tell(this->one.TakeReports(request), this->other);
    CPPUNIT_ASSERT(!this->other.MaySend(request));
    this->Tell(this->one.OnServed(request), this->other);
    CPPUNIT_ASSERT(this->one.IsEmpty());
    CPPUNIT_ASSERT(this->other.IsEmpty());
  }

  void testOneEndSeenByTwoHostsCountsOnce()
  {
    const ContentHash request = ContentOf("/look/1");
    this->ExchangeKeys();
    this->one.OnEnded(request, { "a" });
    this->one.OnEnded(request, { "b" });
    this->now += milliseconds(20);
    this->other.OnEnded(request, { "a" });
    this->Tell(this->one.TakeReports(request), this->other);
    CPPUNIT_ASSERT(this->other.MaySend(request));
    // The upstream has started again, and ended once more.
    this->now += seconds(3);
    this->other.OnEnded(request, { "a" });
    CPPUNIT_ASSERT(!this->other.MaySend(request));
  }

  // Guards against counting an end anew when a host reports it a second time,
  // with a later end or to a host that has just connected.
  void testRepeatedReportsCountOnce()
  {
    const ContentHash request = ContentOf("/look/1");
    this->ExchangeKeys();
    this->one.OnEnded(request, { "a" });
    this->Tell(this->one.TakeReports(request), this->other);
    this->now += seconds(5);
    this->one.OnEnded(request, { "b" });
    this->Tell(this->one.TakeReports(request), this->other);
    this->now += seconds(5);
    this->Tell(this->one.AllReports(), this->other);
    CPPUNIT_ASSERT(this->other.MaySend(request));
    CPPUNIT_ASSERT(this->one.TakeReports(request).empty());
  }

  // Guards against keeping an end to itself when a peer reports another one
  // before the request is over.
  void testOwnEndIsToldAfterAReportOfAPeer()
  {
    const ContentHash request = ContentOf("/look/1");
    this->ExchangeKeys();
    this->one.OnEnded(request, { "a" });
    this->other.OnEnded(request, { "b" });
    this->Tell(this->other.TakeReports(request), this->one);
    const auto reports = this->one.TakeReports(request);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, reports.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, reports.front().ends.size());
  }

  // Guards against the same when a peer with a lower key connects meanwhile.
  void testOwnEndIsToldAfterAChangeOfKeys()
  {
    const ContentHash request = ContentOf("/look/1");
    this->one.OnEnded(request, { "a" });
    this->one.OnPeerKey(1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 },
                         this->one.TakeReports(request).size());
  }

  // Guards against a request that ends three upstreams for each group of hosts
  // while these do not hear each other.
  void testHostThatHearsFewPeersStopsEarlier()
  {
    const ContentHash request = ContentOf("/look/1");
    this->one.OnEnded(request, { "a" });
    this->one.SetReach(7, 12);
    CPPUNIT_ASSERT(this->one.MaySend(request));
    this->one.SetReach(6, 12);
    CPPUNIT_ASSERT(!this->one.MaySend(request));
    // The hosts are not known yet.
    this->one.SetReach(1, 0);
    CPPUNIT_ASSERT(!this->one.MaySend(request));
    this->one.SetReach(7, 12);
    this->one.OnEnded(request, { "b" });
    CPPUNIT_ASSERT(!this->one.MaySend(request));
  }

  // Guards against a quarantine without end for an innocent request, and
  // against every host's trying a lethal one again.
  void testOneHostTriesAgainAfterTheQuarantine()
  {
    const ContentHash request = ContentOf("/look/1");
    this->ExchangeKeys();
    for (const char* upstream : { "a", "b", "c" }) {
      this->one.OnEnded(request, { upstream });
    }
    this->Tell(this->one.TakeReports(request), this->other);
    this->now += seconds(61);
    const bool isOne = this->one.MaySend(request);
    CPPUNIT_ASSERT(isOne != this->other.MaySend(request));
    CrashSuspects& tries = isOne ? this->one : this->other;
    tries.OnSent(request);
    CPPUNIT_ASSERT(!tries.MaySend(request));
    tries.OnEnded(request, { "d" });
    this->now += seconds(61);
    CPPUNIT_ASSERT(!tries.MaySend(request));
    this->now += seconds(61);
    CPPUNIT_ASSERT(tries.MaySend(request));
  }

  void testHostsAgreeOnAKey()
  {
    const ContentHash request = ContentOf("/look/1");
    CPPUNIT_ASSERT(!(this->one.NameOf(request) == this->other.NameOf(request)));
    this->ExchangeKeys();
    CPPUNIT_ASSERT(this->one.NameOf(request) == this->other.NameOf(request));
  }

  void testMemoryIsBounded()
  {
    constexpr int kRequests = 10'000;
    for (int i = 0; i < kRequests; ++i) {
      this->one.OnEnded(ContentOf("/look/" + std::to_string(i)), { "a" });
    }
    CPPUNIT_ASSERT(this->one.Count() <= 4096);
    this->now += seconds(601);
    this->one.RemoveOld();
    CPPUNIT_ASSERT(this->one.IsEmpty());
  }

  // Guards against more than three ends under one request, whichever hosts its
  // caller repeats it at.
  void testLethalRequestsOverTwelveHosts()
  {
    for (unsigned seed = 1; seed <= 50; ++seed) {
      CrashSimulation simulation(seed, 12);
      simulation.RunLethal(20, 6);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             simulation.MaxEnds() <= 3);
    }
  }

  void testLethalRequestsOverHundredsOfHosts()
  {
    for (unsigned seed = 1; seed <= 5; ++seed) {
      CrashSimulation simulation(seed, 300);
      simulation.RunLethal(20, 6);
      CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed),
                             simulation.MaxEnds() <= 3);
    }
  }

  // Two and three groups of hosts that do not hear each other, while callers
  // reach all of them.
  void testLethalRequestsWhileHostsAreCutApart()
  {
    for (const int groups : { 2, 3 }) {
      for (unsigned seed = 1; seed <= 50; ++seed) {
        CrashSimulation simulation(seed, 12);
        simulation.CutApart(groups);
        simulation.RunLethal(20, 6);
        CPPUNIT_ASSERT_MESSAGE("seed " + std::to_string(seed) + ", groups " +
                                 std::to_string(groups),
                               simulation.MaxEnds() <= 3);
      }
    }
  }

  // Guards against refusing innocent requests that are under way when many
  // upstreams end for other reasons.
  void testInnocentRequestsInWavesOfCrashes()
  {
    int refused = 0;
    int requests = 0;
    for (unsigned seed = 1; seed <= 20; ++seed) {
      CrashSimulation simulation(seed, 12);
      simulation.RunInnocent(2000, 4);
      refused += simulation.Refused();
      requests += simulation.Requests();
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(refused) + " of " +
                             std::to_string(requests),
                           refused * 1000 <= requests);
  }

private:
  static void Tell(const std::vector<CrashReport>& aReports, CrashSuspects& aTo)
  {
    for (const CrashReport& report : aReports) {
      aTo.OnReport(report);
    }
  }

  void ExchangeKeys()
  {
    this->one.OnPeerKey(this->other.Key());
    this->other.OnPeerKey(this->one.Key());
  }

  TimePoint now;
  CrashSuspects one{ { "h1" }, [this] { return this->now; }, 7 };
  CrashSuspects other{ { "h2" }, [this] { return this->now; }, 5 };
};

CPPUNIT_TEST_SUITE_REGISTRATION(CrashSuspectsTest);

} // namespace kumquat::routing
