// Copies of the store's tables that a host follows, from the store itself or
// from a peer that knows more. A copy never goes back.

#pragma once

#include "protocol/gen/peer_types.h"
#include "state/rowstore.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::node {

// Hosts write themselves down here, so that peers find each other.
inline constexpr const char* kHostTable = "hosts";

// News of a table, from the store or from a peer.
struct TableUpdate
{
  std::string table;
  // All rows of the table; else what changed.
  bool isFull = false;
  std::vector<state::StoredRow> rows;
  state::Version version = 0;
  // How long a row that is gone may still be taken as there: the store had
  // failed this host before, and its rows may have lapsed with it.
  std::chrono::milliseconds grace{ 0 };
};

struct TableReplica
{
  std::map<std::string, state::StoredRow> rows;
  // Nothing up to it is missing. A table that was read whole has the store's
  // version of that moment, which rises with every write to any table.
  state::Version version = 0;
  // Of the last change that is in it. This is what peers are told: told the
  // other one, all that had not read the table whole took themselves for
  // behind, and asked for it.
  state::Version lastChange = 0;
  // Rows that went, the last ones; all that went after `forgotten`.
  std::deque<state::StoredRow> tombstones;
  state::Version tombstonesAfter = 0;
};

// Rows from this size on are read from the store by each host, not passed on.
inline constexpr std::size_t kLargeRowBytes = 32U << 10U;

// A row on its way between hosts. Its own version goes with it: given that of
// the whole copy, every row would look changed, and its receiver would tell
// others that it knows more than they do.
protocol::TableRow ToWire(const state::StoredRow& aRow);
state::StoredRow FromWire(const std::string& aTable,
                          const protocol::TableRow& aRow);

class TableReplicas
{
public:
  // What is new in the news against the copy, removed rows included; the copy
  // then has it.
  std::vector<state::StoredRow> Apply(
    const std::string& aTable, const std::vector<state::StoredRow>& aRows,
    bool aWhole, state::Version aVersion);

  const TableReplica& Find(const std::string& aTable) const;
  // Rows that changed or went after a version; nothing where too many went
  // since to know.
  std::optional<std::vector<state::StoredRow>> ChangesSince(
    const std::string& aTable, state::Version aAfter) const;
  // Whether the table holds a row that takes a small host's link for long.
  bool IsLarge(const std::string& aTable) const;

private:
  std::map<std::string, TableReplica> copies;
};

} // namespace kumquat::node
