// docs/CALLERS.md tells callers each error as the table in the code has it.

#include "protocol/errorkind.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace kumquat::protocol {

class CallersPageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallersPageTest);
  CPPUNIT_TEST(testPageHasEveryErrorKind);
  CPPUNIT_TEST_SUITE_END();

public:
  // A caller's program reads "not-run" for an error on the page, sends a
  // deposit again, and it is taken twice: the page was older than the code.
  void testPageHasEveryErrorKind()
  {
    const std::ifstream file(KUMQUAT_DOCS "/CALLERS.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const ErrorInfo& answer : ErrorTable().subspan(1)) {
      const std::string row = RowOf(answer);
      CPPUNIT_ASSERT_MESSAGE("the page lacks: " + row,
                             page.str().find("\n" + row) != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(ErrorTable().size() - 1, RowsIn(ErrorsOf(page.str())));
  }

private:
  // The page goes on with the meaning, which the code does not have.
  static std::string RowOf(const ErrorInfo& aAnswer)
  {
    std::ostringstream row;
    row << "| `" << aAnswer.name << "` | " << aAnswer.httpStatus << " | "
        << OutcomeName(aAnswer.outcome) << " | ";
    if (aAnswer.retryAfter) {
      row << aAnswer.retryAfter->count() << " s";
    } else {
      row << "-";
    }
    row << " | ";
    return row.str();
  }

  static std::string ErrorsOf(const std::string& aPage)
  {
    const std::size_t start = aPage.find("\n## Errors\n");
    CPPUNIT_ASSERT(start != std::string::npos);
    return aPage.substr(start);
  }

  static std::size_t RowsIn(const std::string& aPage)
  {
    std::istringstream lines(aPage);
    std::size_t rows = 0;
    for (std::string line; std::getline(lines, line);) {
      rows += line.starts_with("| `") && line.ends_with(" |") ? 1 : 0;
    }
    return rows;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CallersPageTest);

} // namespace kumquat::protocol
