// Tests that docs/CALLERS.md describes each error as the table in the code
// does.

#include "protocol/errorkind.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace kumquat::protocol {

class CallersPageTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CallersPageTest);
  CPPUNIT_TEST(testPageDescribesEveryErrorKind);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against a page that is older than the code: if it calls the outcome
  // of an error "not-run" while the request may have run, a caller repeats a
  // deposit and the money is taken twice.
  void testPageDescribesEveryErrorKind()
  {
    const std::ifstream file(KUMQUAT_DOCS "/CALLERS.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const ErrorInfo& info : ErrorTable().subspan(1)) {
      const std::string row = RowBegin(info);
      CPPUNIT_ASSERT_MESSAGE("docs/CALLERS.md lacks this row: " + row,
                             page.str().find("\n" + row) != std::string::npos);
    }
    CPPUNIT_ASSERT_EQUAL(ErrorTable().size() - 1,
                         CountRows(ErrorsSection(page.str())));
  }

private:
  // The start of the error's row. The row ends with a description, which the
  // code does not have.
  static std::string RowBegin(const ErrorInfo& aInfo)
  {
    std::ostringstream row;
    row << "| `" << aInfo.name << "` | " << aInfo.httpStatus << " | "
        << OutcomeName(aInfo.outcome) << " | ";
    if (aInfo.retryAfter) {
      row << aInfo.retryAfter->count() << " s";
    } else {
      row << "-";
    }
    row << " | ";
    return row.str();
  }

  static std::string ErrorsSection(const std::string& aPage)
  {
    const std::size_t start = aPage.find("\n## Errors\n");
    CPPUNIT_ASSERT(start != std::string::npos);
    return aPage.substr(start);
  }

  static std::size_t CountRows(const std::string& aPage)
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
