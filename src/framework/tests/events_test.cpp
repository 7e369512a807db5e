// Tests of the format of log lines, and of docs/EVENTS.md against the event
// table.

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
  CPPUNIT_TEST(testDocumentedEventsMatchTable);
  CPPUNIT_TEST(testTextLineEscapesLineBreaks);
  CPPUNIT_TEST(testJsonLineWithInvalidUtf8);
  CPPUNIT_TEST(testEventsBelowLevelAreNotWritten);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a docs/EVENTS.md that was not changed together with the
  // code: an operator would look up an event's number and find no row, or an
  // outdated meaning.
  void testDocumentedEventsMatchTable()
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
    CPPUNIT_ASSERT_MESSAGE(
      "docs/EVENTS.md must contain these rows:\n" + expected.str(),
      page.str().find(expected.str()) != std::string::npos);
  }

  // Guards against forged log lines: a field value, such as a caller's header,
  // may contain a line break.
  void testTextLineEscapesLineBreaks()
  {
    const std::string line =
      LogOutput({ .level = "info" }, Event::kHostDeposed,
                { { "host", "a\n2026" }, { "epoch", 7 } });
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 1 }, std::ranges::count(line, '\n'));
    CPPUNIT_ASSERT(line.find("warn 2006 host-deposed: ") != std::string::npos);
    CPPUNIT_ASSERT(line.find("host=\"a\\n2026\" epoch=7") != std::string::npos);
  }

  // Guards against an exception in the log: a field value may contain bytes
  // that are not valid UTF-8, and the line must still be valid JSON.
  void testJsonLineWithInvalidUtf8()
  {
    const std::string text =
      LogOutput({ .json = true, .host = "caerdydd-1" }, Event::kPeerDown,
                { { "peer", "\xff" }, { "count", 3 } });
    const auto line = nlohmann::json::parse(text);
    CPPUNIT_ASSERT_EQUAL(6005, line["event"].get<int>());
    CPPUNIT_ASSERT_EQUAL(3, line["fields"]["count"].get<int>());
    CPPUNIT_ASSERT(line["host"] == "caerdydd-1");
    CPPUNIT_ASSERT(line["time"].get<std::string>().ends_with("Z"));
  }

  void testEventsBelowLevelAreNotWritten()
  {
    CPPUNIT_ASSERT(
      LogOutput({ .level = "error" }, Event::kPeerDown, {}).empty());
    CPPUNIT_ASSERT(
      !LogOutput({ .level = "error" }, Event::kInternalError, {}).empty());
  }

private:
  static std::string LogOutput(EventLog::Options aOptions, Event aEvent,
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
