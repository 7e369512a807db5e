// The log's lines, and the catalogue in the docs.

#include "framework/events.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

namespace kumquat {

class EventsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(EventsTest);
  CPPUNIT_TEST(testCatalogueIsTheTable);
  CPPUNIT_TEST(testTextLine);
  CPPUNIT_TEST(testJsonLine);
  CPPUNIT_TEST(testLevelHidesLowerOnes);
  CPPUNIT_TEST_SUITE_END();

public:
  // An operator looks an event's number up and finds nothing, or an older
  // meaning: the page was not changed with the code.
  void testCatalogueIsTheTable()
  {
    std::ostringstream expected;
    for (const EventEntry& entry : EventEntries()) {
      expected << "| " << static_cast<int>(entry.event) << " | " << entry.name
               << " | " << EventLevelName(entry.level) << " | " << entry.text
               << " |\n";
    }
    const std::ifstream file(KUMQUAT_DOCS "/EVENTS.md");
    std::ostringstream page;
    page << file.rdbuf();
    CPPUNIT_ASSERT_MESSAGE("the page must have these rows:\n" + expected.str(),
                           page.str().find(expected.str()) !=
                             std::string::npos);
  }

  // A caller's header with a line's end in it must not write a log line of
  // its own.
  void testTextLine()
  {
    const std::string line = Written({ .level = "info" }, Event::kHostDeposed,
                                     { { "host", "a\n2026" }, { "epoch", 7 } });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 1 }, std::ranges::count(line, '\n'));
    CPPUNIT_ASSERT(line.find("warn 2006 host-deposed: ") != std::string::npos);
    CPPUNIT_ASSERT(line.find("host=\"a\\n2026\" epoch=7") != std::string::npos);
  }

  void testJsonLine()
  {
    const std::string text =
      Written({ .json = true, .host = "caerdydd-1" }, Event::kPeerDown,
              { { "peer", "\xff" }, { "count", 3 } });
    const auto line = nlohmann::json::parse(text);
    CPPUNIT_ASSERT_EQUAL(6005, line["event"].get<int>());
    CPPUNIT_ASSERT_EQUAL(3, line["fields"]["count"].get<int>());
    CPPUNIT_ASSERT(line["host"] == "caerdydd-1");
    CPPUNIT_ASSERT(line["time"].get<std::string>().ends_with("Z"));
  }

  void testLevelHidesLowerOnes()
  {
    CPPUNIT_ASSERT(Written({ .level = "error" }, Event::kPeerDown, {}).empty());
    CPPUNIT_ASSERT(
      !Written({ .level = "error" }, Event::kInternalError, {}).empty());
  }

private:
  static std::string Written(EventLog::Options aOptions, Event aEvent,
                             EventFields aFields)
  {
    std::ostringstream stream;
    aOptions.stream = &stream;
    {
      EventLog log(std::move(aOptions));
      log.Write(aEvent, aFields);
    }
    return stream.str();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(EventsTest);

} // namespace kumquat
