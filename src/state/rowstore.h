// A store of versioned rows as the program uses it; the platform's adapter
// fills it. All answers come on the caller's thread of the store.

#pragma once

#include "framework/result.h"
#include "state/table.h"
#include "state/types.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::state {

struct StoredRow
{
  std::string table;
  // Rows of one part can be written together.
  std::string part;
  std::string key;
  std::string value;
  Version version = 0;
  // Of changes: the row is there no more.
  bool removed = false;
};

struct RowsRead
{
  std::vector<StoredRow> rows;
  // Of the whole store when it answered.
  Version version = 0;
  // Of changes: what happened since is no longer known; read the whole table.
  bool historyLost = false;
  // Of the first rows: there are more.
  bool isPartial = false;
};

struct RowCondition
{
  std::string table;
  std::string key;
  // 0: there must be no such row.
  Version version = 0;
};

struct RowsWrite
{
  std::string part;
  std::vector<RowCondition> conditions;
  // Of each, the table, the key and the value.
  std::vector<StoredRow> puts;
};

// One call on the wire; a read of many rows takes several.
enum class StoreCall
{
  kRead,
  kWatch,
  kWrite,
};

std::string_view StoreCallName(StoreCall aCall);

class RowStore
{
public:
  using ReadDone = std::function<void(Result<RowsRead>)>;
  using WriteDone = std::function<void(WriteOutcome, Version)>;

  virtual ~RowStore() = default;

  // All rows of one part of a table, as of one moment.
  virtual void Read(const std::string& aTable, const std::string& aPart,
                    ReadDone aDone) = 0;
  // The first rows by their keys, at most so many.
  virtual void ReadFirst(const std::string& aTable, const std::string& aPart,
                         std::size_t aMost, ReadDone aDone) = 0;
  // What changed in a table after a version; waits for a first change.
  virtual void Watch(const std::string& aTable, Version aAfter,
                     std::chrono::milliseconds aWait, ReadDone aDone) = 0;
  // All or nothing. kUnknown: it may have been written, or may be later.
  virtual void Write(const RowsWrite& aWrite, WriteDone aDone) = 0;
};

} // namespace kumquat::state
