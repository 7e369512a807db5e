// The operators' interface over a fake table.

#include "coordination/operatorapi.h"

#include "state/rows.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <string>

namespace kumquat::coordination {

namespace {

using nlohmann::json;
using state::Row;
using state::Version;
using state::WriteOutcome;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr auto kText = R"({"services": [
  {"name": "stoc", "keyed": true},
  {"name": "archeb", "idempotent": false, "class": "booking"}]})";

constexpr state::Epoch kEpoch = 7;

} // namespace

class OperatorApiTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OperatorApiTest);
  CPPUNIT_TEST(testTokenIsNeeded);
  CPPUNIT_TEST(testStatus);
  CPPUNIT_TEST(testExplain);
  CPPUNIT_TEST(testConfigurationChange);
  CPPUNIT_TEST(testRacingPlaceChanges);
  CPPUNIT_TEST(testUnknownPlaceIsRefused);
  CPPUNIT_TEST(testLostAnswerIsUnknown);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->keeper.OnHead({});
    this->keeper.OnAccepted(1, kText);
    this->map.Put(state::HostRecord{ .ref = { { "caerdydd-1" }, 3 },
                                     .dataCentre = { "caerdydd" },
                                     .version = 1 });
    this->map.Put(state::HostRecord{ .ref = { { "wrecsam-1" }, 4 },
                                     .dataCentre = { "wrecsam" },
                                     .version = 1 });
    this->map.Put(state::UpstreamRecord{ .ref = { { "stoc" }, { "stoc-1" } },
                                         .address = "127.24.9.1:80",
                                         .dataCentre = { "abertawe" },
                                         .steward = { { "caerdydd-1" }, 3 },
                                         .epoch = kEpoch,
                                         .version = 1 });
    this->map.Put(state::SliceRecord{ .service = { "stoc" },
                                      .part = "0",
                                      .last = ~0ULL,
                                      .upstream = { "stoc-1" },
                                      .epoch = kEpoch,
                                      .version = 1 });
  }

  // Someone on the network without the token must learn and change nothing;
  // the balancer, which has none, still has to see /ready.
  void testTokenIsNeeded()
  {
    this->token = "wrong-horse";
    for (const char* target :
         { "/status", "/metrics", "/config", "/explain" }) {
      CPPUNIT_ASSERT_EQUAL(401, this->Ask("GET", target).status);
    }
    CPPUNIT_ASSERT_EQUAL(401, this->Ask("PUT", "/config?expect=1").status);
    CPPUNIT_ASSERT_EQUAL(401, this->Ask("PUT", "/places/wrecsam").status);
    CPPUNIT_ASSERT_EQUAL(200, this->Ask("GET", "/ready").status);
    CPPUNIT_ASSERT_EQUAL(404, this->Ask("GET", "/").status);
    CPPUNIT_ASSERT_EQUAL(404, this->Ask("GET", "status").status);
    CPPUNIT_ASSERT_EQUAL(404, this->Ask("DELETE", "/status").status);
  }

  void testStatus()
  {
    protocol::ConfigurationQuery said;
    said.__set_knownVersion(1);
    this->keeper.OnQuery({ "wrecsam-1" }, said);
    const json status = this->AskJson("GET", "/status");
    CPPUNIT_ASSERT_EQUAL(1, status["configuration_version"].get<int>());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, status["hosts"].size());
    CPPUNIT_ASSERT_EQUAL(
      1, status["hosts"][1]["configuration_version"].get<int>());
    const json& stoc = status["services"][0];
    CPPUNIT_ASSERT(stoc["upstreams"][0]["steward"] == "caerdydd-1");
    CPPUNIT_ASSERT_EQUAL(1, stoc["slices_by_owner"]["stoc-1"].get<int>());
    CPPUNIT_ASSERT_EQUAL(5, status["refusals"]["queue-full"].get<int>());
    CPPUNIT_ASSERT_EQUAL(2, status["stewardships"][0]["running"].get<int>());
    this->keeper.OnPeerDown({ "wrecsam-1" });
    CPPUNIT_ASSERT(
      this->AskJson("GET", "/status")["hosts"][1]["configuration_version"]
        .is_null());
  }

  void testExplain()
  {
    const json keyed =
      this->AskJson("GET", "/explain?service=stoc&key=pitch%207");
    CPPUNIT_ASSERT(keyed["key"] == "pitch 7");
    CPPUNIT_ASSERT(keyed["owner"]["steward"] == "caerdydd-1");
    CPPUNIT_ASSERT_EQUAL(7, keyed["slice"]["epoch"].get<int>());
    this->map.Put(
      state::PlaceRecord{ .name = "abertawe", .out = true, .version = 1 });
    const json out = this->AskJson("GET", "/explain?service=stoc&key=a");
    CPPUNIT_ASSERT(out["why"].get<std::string>().find("is out") !=
                   std::string::npos);
    CPPUNIT_ASSERT_EQUAL(404, this->Ask("GET", "/explain?service=none").status);
  }

  void testConfigurationChange()
  {
    CPPUNIT_ASSERT_EQUAL(400, this->Ask("PUT", "/config", kText).status);
    const HttpResponse bad =
      this->Ask("PUT", "/config?expect=1", R"({"services": [{}]})");
    CPPUNIT_ASSERT_EQUAL(422, bad.status);
    CPPUNIT_ASSERT(json::parse(bad.body)["faults"][0]["path"] ==
                   "/services/0/name");
    const HttpResponse late = this->Ask("PUT", "/config?expect=0", kText);
    CPPUNIT_ASSERT_EQUAL(409, late.status);
    CPPUNIT_ASSERT_EQUAL(
      1, json::parse(late.body)["in_force"]["version"].get<int>());
    CPPUNIT_ASSERT_EQUAL(200,
                         this->Ask("PUT", "/config?expect=1", kText).status);
    CPPUNIT_ASSERT_EQUAL(2,
                         this->AskJson("GET", "/config")["version"].get<int>());
  }

  // One operator takes a data centre out while another, who saw the same
  // state, brings it back in: the second must hear what is in force, and not
  // undo the first unseen. The same wish twice is no conflict.
  void testRacingPlaceChanges()
  {
    const auto change = [this](const char* aOut, int aExpect) {
      return this->Ask(
        "PUT", "/places/abertawe?kind=data-centre&out=" + std::string(aOut) +
                 "&expect=" + std::to_string(aExpect));
    };
    CPPUNIT_ASSERT_EQUAL(200, change("false", 0).status);
    CPPUNIT_ASSERT_EQUAL(0, this->writes);
    CPPUNIT_ASSERT_EQUAL(200, change("true", 0).status);
    CPPUNIT_ASSERT(this->map.IsOut("abertawe"));
    const HttpResponse lost = change("false", 0);
    CPPUNIT_ASSERT_EQUAL(409, lost.status);
    CPPUNIT_ASSERT(json::parse(lost.body)["in_force"]["out"] == true);
    CPPUNIT_ASSERT(this->map.IsOut("abertawe"));
    const HttpResponse again = change("true", 0);
    CPPUNIT_ASSERT_EQUAL(200, again.status);
    CPPUNIT_ASSERT_EQUAL(1,
                         json::parse(again.body)["places_version"].get<int>());
  }

  // A mistyped name would be accepted, and the operator would wait for work
  // to leave a place that there is not.
  void testUnknownPlaceIsRefused()
  {
    CPPUNIT_ASSERT_EQUAL(
      422,
      this->Ask("PUT", "/places/abertaw?kind=data-centre&out=true&expect=0")
        .status);
    CPPUNIT_ASSERT_EQUAL(
      422,
      this->Ask("PUT", "/places/wrecsam?kind=host&out=true&expect=0").status);
    CPPUNIT_ASSERT_EQUAL(
      400, this->Ask("PUT", "/places/wrecsam?kind=host&out=yes").status);
  }

  void testLostAnswerIsUnknown()
  {
    this->down = true;
    const HttpResponse response =
      this->Ask("PUT", "/places/wrecsam-1?kind=host&out=true&expect=0");
    CPPUNIT_ASSERT_EQUAL(503, response.status);
    CPPUNIT_ASSERT_EQUAL(std::string("unknown"),
                         std::string(response.Header("Kumquat-Outcome")));
  }

private:
  HttpResponse Ask(const std::string& aMethod, const std::string& aTarget,
                   const std::string& aBody = "")
  {
    HttpRequest request;
    request.method = aMethod;
    request.target = aTarget;
    request.headers = { { "Authorization", "Bearer " + this->token } };
    request.body = aBody;
    HttpResponse response;
    int answers = 0;
    this->api.Handle(request, [&](HttpResponse aResponse) {
      response = std::move(aResponse);
      ++answers;
    });
    CPPUNIT_ASSERT_EQUAL(1, answers);
    return response;
  }

  json AskJson(const std::string& aMethod, const std::string& aTarget)
  {
    const HttpResponse response = this->Ask(aMethod, aTarget);
    CPPUNIT_ASSERT_EQUAL(200, response.status);
    return json::parse(response.body);
  }

  WriteOutcome Write(const state::ConditionalWrite& aWrite)
  {
    if (this->down) {
      return WriteOutcome::kUnknown;
    }
    Row& row = this->table[aWrite.row.partition + "/" + aWrite.row.name];
    if (row.version != aWrite.expected) {
      return WriteOutcome::kConflict;
    }
    ++this->writes;
    row = aWrite.row;
    if (const auto place = state::PlaceFromJson(row)) {
      this->map.Put(*place);
    }
    return WriteOutcome::kWritten;
  }

  std::vector<Row> Query(const std::string& aPartition) const
  {
    std::vector<Row> rows;
    for (const auto& [name, row] : this->table) {
      if (row.partition == aPartition) {
        rows.push_back(row);
      }
    }
    return rows;
  }

  std::string token = "correct-horse";
  bool down = false;
  int writes = 0;
  std::map<std::string, Row> table = {
    { "config/head",
      state::ToWrite({ 1, state::ConfigurationObjectName("another") }).row }
  };
  state::RoutingMap map;
  state::ConfigurationKeeper keeper{ {
    .now = [] { return TimePoint(); },
    .fetch = [](const auto&, const auto&) {},
    .sendOffer = [](const auto&, const auto&) {},
    .sendQuery = [](const auto&, const auto&) {},
    .peers = [] { return std::vector<state::HostId>(); },
    .placesVersion = [this] { return this->map.PlacesVersion(); },
  } };
  state::TableHooks tableHooks = {
    .query = [this](const std::string& aPartition,
                    const auto& aDone) { aDone(this->Query(aPartition)); },
    .write = [this](const auto& aWrites,
                    const auto& aDone) { aDone(this->Write(aWrites[0])); },
  };
  state::ConfigurationWriter writer{ {
    .putObject = [](const auto&, const auto&, const auto& aDone) { aDone({}); },
    .table = tableHooks,
    .nonce = [] { return std::string("nonce"); },
    .accepted =
      [this](Version aVersion, const std::string& aText) {
        this->keeper.OnAccepted(aVersion, aText);
      },
  } };
  OperatorApi api{
    { .self = { { "caerdydd-1" }, 3 },
      .dataCentre = { "caerdydd" },
      .map = map,
      .keeper = keeper,
      .isReady = [] { return true; },
      .holdsLease = [] { return true; },
      .counts =
        [] {
          return std::vector{ SlotCount{
            .upstream = { { "stoc" }, { "stoc-1" } }, .running = 2 } };
        },
      .refusals = [](protocol::ErrorKind aKind) -> std::uint64_t {
        return aKind == protocol::ErrorKind::kQueueFull ? 5 : 0;
      },
      .retries = [](protocol::ErrorKind) { return std::uint64_t{ 0 }; } },
    { .token = "correct-horse",
      .metrics = [] { return std::string("kumquat_ready 1\n"); },
      .table = tableHooks,
      .nonce = [] { return std::string("nonce"); } },
    writer
  };
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorApiTest);

} // namespace kumquat::coordination
