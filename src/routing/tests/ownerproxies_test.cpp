// Tests the choice of owners' proxies, and what becomes of a request that was
// passed to one, with a clock that the test sets and proxies that reply as the
// test says.

#include "routing/ownerproxies.h"

#include "routing/tests/hostnames.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <chrono>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::routing {

using protocol::ErrorKind;
using std::chrono::milliseconds;

namespace {

constexpr int kOwners = 4000;

std::vector<ProxyCandidate> Members(int aCount)
{
  std::vector<ProxyCandidate> members;
  std::ranges::transform(HostNames(aCount), std::back_inserter(members),
                         [](const state::HostId& aHost) {
                           return ProxyCandidate{ aHost, 1 };
                         });
  return members;
}

state::UpstreamId Owner(int aNumber)
{
  return { "u" + std::to_string(aNumber) };
}

std::map<state::HostId, int> OwnersOf(const ProxyChoice& aChoice)
{
  std::map<state::HostId, int> counts;
  for (int i = 0; i < kOwners; ++i) {
    ++counts[aChoice.ProxyOf(Owner(i))];
  }
  return counts;
}

} // namespace

class ProxyChoiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProxyChoiceTest);
  CPPUNIT_TEST(testOnlyDividedHostsWithManyOwnersUseProxies);
  CPPUNIT_TEST(testAllMembersChooseAlike);
  CPPUNIT_TEST(testMembersGetOwnersByTheirProcessors);
  CPPUNIT_TEST(testLossOfAMemberMovesOnlyItsOwners);
  CPPUNIT_TEST(testLoneHostIsItsOwnProxy);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a hop where hosts meet their owners often anyway.
  void testOnlyDividedHostsWithManyOwnersUseProxies()
  {
    CPPUNIT_ASSERT(CallsForProxies(true, 16, 160));
    CPPUNIT_ASSERT(!CallsForProxies(false, 16, 160));
    CPPUNIT_ASSERT(!CallsForProxies(true, 16, 16));
    CPPUNIT_ASSERT(!CallsForProxies(true, 1, 160));
    CPPUNIT_ASSERT(!CallsForProxies(true, 0, 0));
  }

  // Guards against two proxies of one owner, as hosts heard of the members in
  // different order.
  void testAllMembersChooseAlike()
  {
    std::vector<ProxyCandidate> members = Members(9);
    ProxyChoice one({ "h0" });
    one.SetMembers(members);
    std::ranges::reverse(members);
    ProxyChoice other({ "h5" });
    other.SetMembers(members);
    for (int i = 0; i < kOwners; ++i) {
      CPPUNIT_ASSERT(one.ProxyOf(Owner(i)) == other.ProxyOf(Owner(i)));
    }
  }

  // Guards against a small host that queues as many requests as a large one.
  void testMembersGetOwnersByTheirProcessors()
  {
    std::vector<ProxyCandidate> members = Members(4);
    members[0].processors = 4;
    members[1].processors = 0.5;
    members[3].processors = 2.5;
    ProxyChoice choice({ "h0" });
    choice.SetMembers(members);
    const auto counts = OwnersOf(choice);
    for (const ProxyCandidate& one : members) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(kOwners * one.processors / 8,
                                   counts.at(one.host), 0.03 * kOwners);
    }
  }

  // Guards against moving the queues of all owners when one host ends.
  void testLossOfAMemberMovesOnlyItsOwners()
  {
    std::vector<ProxyCandidate> members = Members(8);
    ProxyChoice before({ "h0" });
    before.SetMembers(members);
    ProxyChoice after({ "h0" });
    after.SetMembers(members);
    static_cast<void>(OwnersOf(after));
    const state::HostId lost = members[3].host;
    members.erase(members.begin() + 3);
    after.SetMembers(members);
    std::set<state::HostId> heirs;
    for (int i = 0; i < kOwners; ++i) {
      const state::HostId& proxy = before.ProxyOf(Owner(i));
      if (proxy != lost) {
        CPPUNIT_ASSERT(proxy == after.ProxyOf(Owner(i)));
      } else {
        heirs.insert(after.ProxyOf(Owner(i)));
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 7 }, heirs.size());
  }

  // Guards against a host without a proxy before it has heard of any member.
  void testLoneHostIsItsOwnProxy()
  {
    const ProxyChoice choice({ "h0" });
    CPPUNIT_ASSERT(choice.ProxyOf(Owner(1)) == state::HostId{ "h0" });
  }
};

class ProxiedRequestsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProxiedRequestsTest);
  CPPUNIT_TEST(testReplyReachesCaller);
  CPPUNIT_TEST(testUnreachableProxyLeavesRequestHere);
  CPPUNIT_TEST(testDeclinedRequestIsDispatchedAsNotRun);
  CPPUNIT_TEST(testReplyOfAnotherHostIsIgnored);
  CPPUNIT_TEST(testRequestsOfLostProxyMayHaveRun);
  CPPUNIT_TEST(testLateReplyAfterFallbackIsIgnored);
  CPPUNIT_TEST(testRequestPassedDuringALossIsKept);
  CPPUNIT_TEST(testCallerGoneDuringALossIsNotDispatched);
  CPPUNIT_TEST(testGoneCallerIsCancelledAtProxy);
  CPPUNIT_TEST(testSilentProxyEndsAtDeadline);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->canSend = true;
    this->onDispatch = nullptr;
    this->sent.clear();
    this->cancelled.clear();
    this->dispatched.clear();
    this->fallbacks.clear();
    this->ended.clear();
    this->responses.clear();
    this->requests.emplace(this->MakeHooks());
  }

  void testReplyReachesCaller()
  {
    const ProxyNumber number = *this->Pass("a");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->requests->Count());
    this->Reply("p", number);
    CPPUNIT_ASSERT_EQUAL(200, this->responses.at("a").message->status);
    CPPUNIT_ASSERT(this->ended == std::vector<std::string>{ "a at p: none" });
    CPPUNIT_ASSERT(this->dispatched.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->requests->Count());
    CPPUNIT_ASSERT(!this->requests->NextDue());
  }

  // Guards against a request that nobody holds, as it could not be passed on.
  void testUnreachableProxyLeavesRequestHere()
  {
    this->canSend = false;
    CPPUNIT_ASSERT(!this->Pass("a"));
    CPPUNIT_ASSERT_EQUAL(0, this->dispatched.at("a"));
    CPPUNIT_ASSERT(this->fallbacks ==
                   std::vector<std::string>{ "p unreachable" });
    CPPUNIT_ASSERT(!this->requests->NextDue());
    CPPUNIT_ASSERT(this->ended.empty());
  }

  // Guards against a retry from the budget for a request that has not run.
  void testDeclinedRequestIsDispatchedAsNotRun()
  {
    const ProxyNumber number = *this->Pass("a");
    this->requests->OnReply({ "p" }, number, { true, {} });
    CPPUNIT_ASSERT_EQUAL(0, this->dispatched.at("a"));
    CPPUNIT_ASSERT(this->fallbacks == std::vector<std::string>{ "p declined" });
    CPPUNIT_ASSERT(this->ended.empty());
    CPPUNIT_ASSERT(this->responses.empty());
  }

  // Guards against the response to another caller's request, from a host that
  // counts its own requests.
  void testReplyOfAnotherHostIsIgnored()
  {
    const ProxyNumber number = *this->Pass("a");
    this->Reply("q", number);
    this->Reply("p", number + 1);
    CPPUNIT_ASSERT(this->responses.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->requests->Count());
  }

  // Guards against "not run" for a request that the lost proxy has sent on.
  void testRequestsOfLostProxyMayHaveRun()
  {
    this->Pass("a");
    this->Pass("b", "q");
    this->Pass("c");
    this->requests->OnProxyLost({ "p" });
    CPPUNIT_ASSERT(this->dispatched ==
                   (std::map<std::string, int>{ { "a", 1 }, { "c", 1 } }));
    CPPUNIT_ASSERT(this->fallbacks ==
                   (std::vector<std::string>{ "p lost", "p lost" }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->requests->Count());
    CPPUNIT_ASSERT(this->ended.empty());
  }

  // Guards against two responses to one caller: a paused proxy that was taken
  // for lost goes on.
  void testLateReplyAfterFallbackIsIgnored()
  {
    const ProxyNumber number = *this->Pass("a");
    this->requests->OnProxyLost({ "p" });
    this->Reply("p", number);
    CPPUNIT_ASSERT(this->responses.empty());
    CPPUNIT_ASSERT(this->ended.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->dispatched.size());
  }

  // Guards against an endless loss: the choice of proxies may still name the
  // lost one.
  void testRequestPassedDuringALossIsKept()
  {
    this->Pass("a");
    this->Pass("b");
    this->onDispatch = [this](const std::string& aId) {
      this->Pass(aId + "'");
    };
    this->requests->OnProxyLost({ "p" });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, this->dispatched.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, this->requests->Count());
    this->Reply("p", 3);
    CPPUNIT_ASSERT(this->responses.contains("a'"));
  }

  // Guards against work for a caller that closes its connection while the
  // requests before its own are moved.
  void testCallerGoneDuringALossIsNotDispatched()
  {
    this->Pass("a");
    const ProxyNumber second = *this->Pass("b");
    this->onDispatch = [this, second](const std::string&) {
      this->requests->OnCallerGone(second);
    };
    this->requests->OnProxyLost({ "p" });
    CPPUNIT_ASSERT(!this->dispatched.contains("b"));
    CPPUNIT_ASSERT(this->ended ==
                   std::vector<std::string>{ "b at p: caller-gone" });
  }

  // Guards against requests that run although nobody waits for them.
  void testGoneCallerIsCancelledAtProxy()
  {
    const ProxyNumber number = *this->Pass("a");
    this->requests->OnCallerGone(number);
    this->requests->OnCallerGone(number);
    CPPUNIT_ASSERT(this->cancelled ==
                   std::vector<std::string>{ "p " + std::to_string(number) });
    CPPUNIT_ASSERT(this->ended ==
                   std::vector<std::string>{ "a at p: caller-gone" });
    this->Reply("p", number);
    CPPUNIT_ASSERT(this->responses.empty());
    CPPUNIT_ASSERT(!this->requests->NextDue());
  }

  // Guards against a caller without a response where its proxy hangs; the
  // outcome is unknown.
  void testSilentProxyEndsAtDeadline()
  {
    this->Pass("a");
    const TimePoint deadline = this->now + kPatience;
    const TimePoint due = *this->requests->NextDue();
    CPPUNIT_ASSERT(due < deadline && due > deadline - milliseconds(10));
    this->now = due - milliseconds(1);
    this->requests->OnTimer();
    CPPUNIT_ASSERT(this->responses.empty());
    this->now = due;
    this->requests->OnTimer();
    CPPUNIT_ASSERT(this->responses.at("a").error ==
                   ErrorKind::kUpstreamTimeout);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->cancelled.size());
    CPPUNIT_ASSERT(this->ended ==
                   std::vector<std::string>{ "a at p: upstream-timeout" });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->requests->Count());
  }

private:
  static constexpr milliseconds kPatience{ 800 };

  ProxiedRequests::Hooks MakeHooks()
  {
    ProxiedRequests::Hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.send = [this](const state::HostId&, ProxyNumber aNumber,
                        const CallerRequest&) {
      this->sent.push_back(aNumber);
      return this->canSend;
    };
    hooks.cancel = [this](const state::HostId& aProxy, ProxyNumber aNumber) {
      this->cancelled.push_back(aProxy.value + " " + std::to_string(aNumber));
    };
    hooks.dispatch = [this](const CallerRequest& aRequest,
                            const Dispatcher::Respond&) {
      this->dispatched[aRequest.id] = aRequest.earlierRuns;
      if (this->onDispatch) {
        this->onDispatch(aRequest.id);
      }
    };
    hooks.onEnded = [this](const CallerRequest& aRequest,
                           const state::HostId& aProxy,
                           const CallerResponse& aResponse) {
      this->ended.push_back(
        aRequest.id + " at " + aProxy.value + ": " +
        std::string(protocol::ErrorInfoFor(aResponse.error).name));
    };
    hooks.onFallback = [this](const state::HostId& aProxy,
                              std::string_view aReason) {
      this->fallbacks.push_back(aProxy.value + " " + std::string(aReason));
    };
    return hooks;
  }

  std::optional<ProxyNumber> Pass(const std::string& aId,
                                  const std::string& aProxy = "p")
  {
    CallerRequest request;
    request.id = aId;
    return this->requests->Pass({ aProxy }, std::move(request),
                                this->now + kPatience,
                                [this, aId](CallerResponse aResponse) {
                                  this->responses[aId] = std::move(aResponse);
                                });
  }

  void Reply(const std::string& aFrom, ProxyNumber aNumber)
  {
    ProxyReply reply;
    reply.response.message.emplace().status = 200;
    this->requests->OnReply({ aFrom }, aNumber, std::move(reply));
  }

  TimePoint now;
  bool canSend = true;
  std::function<void(const std::string&)> onDispatch;
  std::vector<ProxyNumber> sent;
  std::vector<std::string> cancelled;
  // Requests that were dispatched here, with their earlier runs.
  std::map<std::string, int> dispatched;
  std::vector<std::string> fallbacks;
  std::vector<std::string> ended;
  std::map<std::string, CallerResponse> responses;
  std::optional<ProxiedRequests> requests;
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyChoiceTest);
CPPUNIT_TEST_SUITE_REGISTRATION(ProxiedRequestsTest);

} // namespace kumquat::routing
