// The operators' text and a process's settings: every fault is found, with its
// line and path.

#include "state/configuration.h"
#include "state/settings.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>

namespace kumquat::state {

namespace {

constexpr std::string_view kCooperative = R"({
  "services": [
    { "name": "stoc", "keyed": true, "slices": 128, "deadline_ms": 250 },
    { "name": "archeb", "idempotent": false, "class": "booking",
      "depends_on": ["stoc"], "max_body_bytes": 65536 },
    { "name": "cysoni", "class": "deferrable", "depends_on": ["archeb"] }
  ]
})";

constexpr std::string_view kSettings = R"({
  "host": "caerdydd-1",
  "data_centre": "caerdydd",
  "caller_address": "127.0.1.1:8080",
  "peer_address": "127.0.1.1:7000",
  "operator_address": "127.0.1.1:9000",
  "table_address": "127.0.0.2:8000",
  "object_address": "127.0.0.2:8001",
  "list_address": "127.0.0.2:8002",
  "operator_token": "correct-horse",
  "log_level": "warn"
})";

template<typename Checked>
std::vector<TextFault> FaultsOf(const Checked& aChecked)
{
  const auto* faults = std::get_if<std::vector<TextFault>>(&aChecked);
  return faults == nullptr ? std::vector<TextFault>() : *faults;
}

std::vector<TextFault> FaultsIn(std::string_view aText)
{
  return FaultsOf(ParseConfiguration(aText));
}

void AssertFault(const std::vector<TextFault>& aFaults, int aLine,
                 std::string_view aPath, std::string_view aPart)
{
  const bool found = std::ranges::any_of(aFaults, [&](const TextFault& aFault) {
    return aFault.line == aLine && aFault.path == aPath &&
           aFault.message.find(aPart) != std::string::npos;
  });
  std::string all;
  for (const TextFault& fault : aFaults) {
    all += std::to_string(fault.line) + " " + fault.path + " " + fault.message +
           "\n";
  }
  CPPUNIT_ASSERT_MESSAGE("not among:\n" + all, found);
}

} // namespace

class ConfigurationTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationTest);
  CPPUNIT_TEST(testGoodTextIsTaken);
  CPPUNIT_TEST(testEveryFaultIsListed);
  CPPUNIT_TEST(testSyntaxFaultHasItsLine);
  CPPUNIT_TEST(testCircleIsSpelledOut);
  CPPUNIT_TEST(testSettings);
  CPPUNIT_TEST(testFaultsOfSettings);
  CPPUNIT_TEST_SUITE_END();

public:
  void testGoodTextIsTaken()
  {
    const auto checked = ParseConfiguration(kCooperative);
    CPPUNIT_ASSERT(FaultsOf(checked).empty());
    const auto& configuration = std::get<Configuration>(checked);
    const auto* stoc = configuration.Find({ "stoc" });
    CPPUNIT_ASSERT(stoc != nullptr && stoc->keyed && stoc->slices == 128);
    const auto* archeb = configuration.Find({ "archeb" });
    CPPUNIT_ASSERT(archeb != nullptr && !archeb->idempotent);
    CPPUNIT_ASSERT(archeb->workClass == WorkClass::kBooking);
    CPPUNIT_ASSERT(configuration.Find({ "none" }) == nullptr);
  }

  // An operator mends one fault, applies again, and meets the next one: all
  // of them must come at once, each where an editor finds it.
  void testEveryFaultIsListed()
  {
    const auto faults = FaultsIn(R"({
  "services": [
    { "name": "stoc", "slots": 0,
      "deadline_ms": 18446744073709551615 },
    { "name": "stoc", "class": "fast", "keyed": 1,
      "depends_on": [
        "nowhere",
        7
      ] },
    { "nom": "x", "queue": 1.5 },
    { "name": "a b", "name": "c d" }
  ],
  "version": 3
})");
    AssertFault(faults, 3, "/services/0/slots", "from 1 to 1024");
    AssertFault(faults, 4, "/services/0/deadline_ms", "from 1 to 600000");
    AssertFault(faults, 5, "/services/1/name", "second service");
    AssertFault(faults, 5, "/services/1/class", "\"fast\"");
    AssertFault(faults, 5, "/services/1/keyed", "true or false");
    AssertFault(faults, 7, "/services/1/depends_on/0", "nowhere");
    AssertFault(faults, 8, "/services/1/depends_on/1", "must be a string");
    AssertFault(faults, 10, "/services/2/nom", "not a known name");
    AssertFault(faults, 10, "/services/2/name", "missing");
    AssertFault(faults, 10, "/services/2/queue", "1.5");
    AssertFault(faults, 11, "/services/3/name", "stands here twice");
    AssertFault(faults, 11, "/services/3/name", "letters");
    AssertFault(faults, 13, "/version", "not a known name");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 13 }, faults.size());
  }

  void testSyntaxFaultHasItsLine()
  {
    AssertFault(FaultsIn("{\n  \"services\": [\n    { \"name\" \"x\" }\n]}"), 3,
                "/services/0/name", "expected ':'");
    AssertFault(FaultsIn("{\n\"services\": [\n"), 2, "/services", "end of");
    AssertFault(FaultsIn(""), 1, "", "empty");
    AssertFault(FaultsIn("[]"), 1, "", "must be an object");
    AssertFault(FaultsIn("{}"), 1, "/services", "missing");
    AssertFault(FaultsIn("{\"services\": []}"), 1, "/services", "no service");
  }

  // Two services that wait for each other to warm up would never start after
  // a loss of both.
  void testCircleIsSpelledOut()
  {
    const auto faults = FaultsIn(R"({ "services": [
      { "name": "a", "depends_on": ["b"] },
      { "name": "b", "depends_on": ["c"] },
      { "name": "c", "depends_on": ["b", "c"] } ] })");
    AssertFault(faults, 4, "/services/2/depends_on/0", "b -> c -> b");
    AssertFault(faults, 4, "/services/2/depends_on/1", "c -> c");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, faults.size());
  }

  void testSettings()
  {
    const auto checked = ParseSettings(kSettings);
    CPPUNIT_ASSERT(FaultsOf(checked).empty());
    const auto& settings = std::get<Settings>(checked);
    CPPUNIT_ASSERT_EQUAL(std::string("caerdydd-1"), settings.host.value);
    CPPUNIT_ASSERT_EQUAL(std::string("warn"), settings.logLevel);
    const std::string printed = PrintSettings(settings);
    CPPUNIT_ASSERT(printed.find("correct-horse") == std::string::npos);
    CPPUNIT_ASSERT(printed.find("127.0.0.2:8002") != std::string::npos);
  }

  void testFaultsOfSettings()
  {
    const auto faults = FaultsOf(ParseSettings(R"({
  "host": "a/b",
  "data_centre": "",
  "caller_address": "localhost:8080",
  "peer_address": "127.0.1.1:0", "advertised_peer_address": "relay:7000",
  "operator_token": "short",
  "ring_size": 70000,
  "log_level": "loud",
  "listen": 1
})"));
    AssertFault(faults, 2, "/host", "visible");
    AssertFault(faults, 3, "/data_centre", "empty");
    AssertFault(faults, 4, "/caller_address", "localhost");
    AssertFault(faults, 5, "/peer_address", "IP number");
    AssertFault(faults, 5, "/advertised_peer_address", "relay:7000");
    AssertFault(faults, 6, "/operator_token", "8 or more");
    AssertFault(faults, 7, "/ring_size", "65534");
    AssertFault(faults, 8, "/log_level", "loud");
    AssertFault(faults, 9, "/listen", "not a known name");
    AssertFault(faults, 1, "/table_address", "missing");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 13 }, faults.size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationTest);

} // namespace kumquat::state
