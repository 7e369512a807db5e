// The platform's table as the core uses it: rows with versions, written only
// on condition. The hooks are filled by the daemon's client, or by a test.

#pragma once

#include "framework/result.h"
#include "state/types.h"

#include <functional>
#include <string>
#include <vector>

namespace kumquat::state {

struct Row
{
  // "host", "upstream/stoc", "slices/stoc", "place", "config".
  std::string partition;
  std::string name;
  Version version = 0;
  // Tells the writer's own write from another's when an answer was lost.
  std::string nonce;
  // JSON.
  std::string body;
};

struct ConditionalWrite
{
  Row row;
  // The version that must be in the table: 0 where there must be no row.
  Version expected = 0;
  // Checks `expected` only and writes nothing.
  bool onlyCheck = false;
  bool remove = false;
};

enum class WriteOutcome
{
  kWritten,
  // Some condition did not hold; nothing was written.
  kConflict,
  // The store failed and could not be read back: it may have been written.
  kUnknown,
  // The store will never accept the write; nothing was written.
  kRefused,
};

struct TableHooks
{
  using QueryDone = std::function<void(Result<std::vector<Row>>)>;
  using WriteDone = std::function<void(WriteOutcome)>;

  // All rows of a partition, consistent with every finished write.
  std::function<void(std::string, QueryDone)> query;
  // All or nothing; at most 100 rows.
  std::function<void(std::vector<ConditionalWrite>, WriteDone)> write;
};

} // namespace kumquat::state
