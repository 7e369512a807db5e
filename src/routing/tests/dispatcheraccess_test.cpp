// Tests what a dispatcher does with requests whose API keys change while the
// requests are on their way.

#include "routing/dispatcher.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::routing {

using protocol::ErrorKind;
using std::chrono::milliseconds;

class DispatcherAccessTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DispatcherAccessTest);
  CPPUNIT_TEST(testUpstreamGetsTheTeam);
  CPPUNIT_TEST(testWaitingRequestOfRemovedKeyIsRefused);
  CPPUNIT_TEST(testWaitingRequestOfMovedKeyRunsAsNewTeam);
  CPPUNIT_TEST(testRetryOfRemovedKeyIsNotSent);
  CPPUNIT_TEST(testTeamPriorityGoesBeforeRoutePriority);
  CPPUNIT_TEST(testRetryAfterPossibleRunIsCountedAgain);
  CPPUNIT_TEST(testTraceTellsWhetherRequestMayHaveRun);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::hours(1));
    this->attempts.clear();
    this->responses.clear();
    this->traces.clear();
    this->extraRuns = 100;
    this->countedAgain = 0;
    this->upstreams = Upstreams();
    UpstreamEntry entry;
    entry.id = { "s0" };
    entry.service = { "stoc" };
    entry.address = "10.0.0.1:80";
    entry.dataCentre = { "caerdydd" };
    entry.slots = 1;
    entry.startedMs = 1;
    this->upstreams.PutEntry(entry, this->now);
    this->MakeDispatcher();
    this->SetKeyOwner("camp");
  }

  void testUpstreamGetsTheTeam()
  {
    this->StartRequest("camp");
    CPPUNIT_ASSERT_EQUAL(std::string("camp"), this->attempts.back().team.value);
  }

  // Guards against requests that run with a key that was taken away while they
  // waited for an upstream.
  void testWaitingRequestOfRemovedKeyIsRefused()
  {
    this->FillUpstream();
    const RequestNumber waiting = this->StartRequest("camp");
    const std::size_t before = this->attempts.size();
    this->SetKeyOwner("");
    this->dispatcher->RecheckWaitingRequests();
    CPPUNIT_ASSERT_EQUAL(before, this->attempts.size());
    CPPUNIT_ASSERT(this->responses.at(waiting).error ==
                   ErrorKind::kApiKeyUnknown);
  }

  // Guards against a request that reaches an upstream as the team that its key
  // belonged to before.
  void testWaitingRequestOfMovedKeyRunsAsNewTeam()
  {
    this->FillUpstream();
    this->StartRequest("camp");
    this->SetKeyOwner("crew");
    this->Respond(this->attempts.front().number, 200);
    CPPUNIT_ASSERT_EQUAL(std::string("crew"), this->attempts.back().team.value);
  }

  void testRetryOfRemovedKeyIsNotSent()
  {
    const RequestNumber number = this->StartRequest("camp");
    this->SetKeyOwner("");
    this->Respond(number, 503, true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, this->attempts.size());
    CPPUNIT_ASSERT(this->responses.at(number).error ==
                   ErrorKind::kApiKeyUnknown);
  }

  void testTeamPriorityGoesBeforeRoutePriority()
  {
    this->FillUpstream();
    const RequestNumber low = this->StartRequest("camp");
    const RequestNumber high = this->StartRequest("camp", 0);
    this->Respond(this->attempts.front().number, 200);
    CPPUNIT_ASSERT(this->attempts.back().number == high);
    CPPUNIT_ASSERT(this->attempts.back().number != low);
  }

  // Guards against runs beyond a team's limit: a response is lost, the retry
  // runs at another upstream, and the limit counts one run.
  void testRetryAfterPossibleRunIsCountedAgain()
  {
    UpstreamEntry other = this->upstreams.Find({ "s0" })->entry;
    other.id = { "s1" };
    this->upstreams.PutEntry(other, this->now);
    const RequestNumber first = this->StartRequest("camp");
    this->dispatcher->OnSendFailed(first, transport::TransportError::kBroken);
    CPPUNIT_ASSERT_EQUAL(1, this->countedAgain);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, this->attempts.size());
    this->Respond(first, 200);
    // At the limit there is no retry, and the outcome is unknown.
    this->extraRuns = 0;
    const RequestNumber second = this->StartRequest("camp");
    this->dispatcher->OnSendFailed(second, transport::TransportError::kBroken);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, this->attempts.size());
    CPPUNIT_ASSERT(
      protocol::ErrorInfoFor(this->responses.at(second).error).outcome ==
      protocol::Outcome::kUnknown);
  }

  // Guards against limits that count requests which did not run, and against
  // tokens that are returned for requests which did.
  void testTraceTellsWhetherRequestMayHaveRun()
  {
    const RequestNumber served = this->StartRequest("camp");
    this->Respond(served, 200);
    CPPUNIT_ASSERT(this->traces.back().mayHaveRun);
    const RequestNumber refused = this->StartRequest("camp");
    while (!this->responses.contains(refused)) {
      this->Respond(refused, 503, true);
      this->now += milliseconds(40);
      this->dispatcher->OnTimer();
    }
    CPPUNIT_ASSERT(!this->traces.back().mayHaveRun);
    const RequestNumber left = this->StartRequest("camp");
    this->dispatcher->OnCallerGone(left);
    CPPUNIT_ASSERT(this->traces.back().mayHaveRun);
  }

private:
  void MakeDispatcher()
  {
    Dispatcher::Hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.random = [](std::size_t) { return std::size_t{ 0 }; };
    hooks.send = [this](const UpstreamRequest& aRequest) {
      this->attempts.push_back(aRequest);
    };
    hooks.cancel = [](RequestNumber) { return true; };
    hooks.onRequestEnded = [this](const RequestTrace& aTrace) {
      this->traces.push_back(aTrace);
    };
    hooks.onRetry = [](ErrorKind) {};
    hooks.allowsAnotherRun = [this](const admission::TeamName&) {
      if (this->extraRuns == 0) {
        return false;
      }
      --this->extraRuns;
      ++this->countedAgain;
      return true;
    };
    this->dispatcher.emplace(
      DispatcherOptions{ { "h0" }, { "caerdydd" }, 0.5, 100 }, this->upstreams,
      hooks);
  }

  // Puts a configuration in force in which the team has the key; none has it if
  // the name is empty.
  void SetKeyOwner(const std::string& aTeam)
  {
    Configuration configuration;
    configuration.version = ++this->version;
    Route look;
    look.name = "look";
    look.hostName = "tents";
    look.prefix = "/look/";
    look.destinations = { { { "stoc" }, 1.0 } };
    look.timeout = milliseconds(1200);
    look.targetLatency = milliseconds(500);
    look.maxAttempts = 2;
    look.priority = 2;
    configuration.routes = { look };
    configuration.services = { { { "stoc" }, "/health", 130, 5.0, false } };
    for (const char* name : { "camp", "crew" }) {
      admission::Team team;
      team.name.value = name;
      if (aTeam == name) {
        team.keys = { admission::FingerprintOf("k1") };
      }
      configuration.teams.push_back(team);
    }
    this->dispatcher->SetRoutes(
      std::make_shared<const RouteTable>(std::move(configuration)));
  }

  RequestNumber StartRequest(const std::string& aTeam,
                             std::optional<int> aPriority = {})
  {
    CallerRequest request;
    request.message.target = "/look/1";
    request.id = "r";
    request.hostName = "tents";
    request.arrived = this->now;
    request.timeout = milliseconds(1200);
    request.credentials = { 1, admission::FingerprintOf("k1") };
    request.team.value = aTeam;
    request.teamPriority = aPriority;
    const RequestNumber expected = ++this->lastNumber;
    const RequestNumber number = this->dispatcher->OnRequest(
      std::move(request), [this, expected](CallerResponse aResponse) {
        this->responses[expected] = std::move(aResponse);
      });
    CPPUNIT_ASSERT(number == expected);
    return number;
  }

  // Sends requests until one has to wait for a slot.
  void FillUpstream()
  {
    for (UpstreamState* one : this->upstreams.ForService({ "stoc" }).all) {
      one->serviceMs = 100;
    }
    std::size_t sent = 0;
    do {
      sent = this->attempts.size();
      this->StartRequest("camp");
    } while (this->attempts.size() > sent);
  }

  void Respond(RequestNumber aNumber, int aStatus, bool aNotRun = false)
  {
    UpstreamResponse response;
    response.message.status = aStatus;
    response.notRun = aNotRun;
    response.isSigned = true;
    this->dispatcher->OnUpstreamResponse(aNumber, std::move(response));
  }

  TimePoint now;
  Upstreams upstreams;
  std::optional<Dispatcher> dispatcher;
  std::int64_t version = 0;
  RequestNumber lastNumber = 0;
  int extraRuns = 0;
  int countedAgain = 0;
  std::vector<UpstreamRequest> attempts;
  std::map<RequestNumber, CallerResponse> responses;
  std::vector<RequestTrace> traces;
};

CPPUNIT_TEST_SUITE_REGISTRATION(DispatcherAccessTest);

} // namespace kumquat::routing
