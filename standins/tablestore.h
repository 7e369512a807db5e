// The platform's table: rows under conditions, at the subset of DynamoDB's
// JSON protocol that docs/PROTOCOLS.md names. No I/O.

#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace kumquat::standins {

struct TableAnswer
{
  // 200, or 400 with an error's type in the body.
  int status = 200;
  std::string body;
};

class TableStore
{
public:
  // Rows of one page of a Query.
  static constexpr std::size_t kPageRows = 200;
  static constexpr std::size_t kMaxTransactionRows = 100;

  // aOperation is "Query", "GetItem" or "TransactWriteItems"; aBody its JSON.
  TableAnswer Apply(const std::string& aOperation, const std::string& aBody);

  // Puts a row without a condition, to prepare a run.
  void Seed(const std::string& aPartition, const std::string& aName,
            long long aVersion, const std::string& aBody);

  // Every row as one JSON array, for checks.
  std::string Dump() const;

private:
  using Key = std::pair<std::string, std::string>;

  // Items are kept as the JSON text that they came in. Ordered, so that pages
  // follow each other.
  std::map<Key, std::string> rows;
};

// How many rows an operation writes; 0 where it only reads.
std::size_t RowsWritten(const std::string& aOperation,
                        const std::string& aBody);

} // namespace kumquat::standins
