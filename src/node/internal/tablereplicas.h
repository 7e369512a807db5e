// Replicas of the store's tables, updated from the store or from a peer that
// has a newer version. A replica never goes back to an older version.

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

// Table in which hosts register, so that peers find each other.
inline constexpr const char* kHostTable = "hosts";

// Rows of a table as they arrive from the store or from a peer.
struct TableUpdate
{
  std::string table;
  // Whether rows holds the full table; otherwise it holds the rows that
  // changed.
  bool isFull = false;
  std::vector<state::StoredRow> rows;
  state::Version version = 0;
  // How long a removed row may still be used. It is above 0 after an outage of
  // the store for this host, as rows may have expired during the outage.
  std::chrono::milliseconds grace{ 0 };
};

struct TableReplica
{
  std::map<std::string, state::StoredRow> rows;
  // The replica lacks no change up to this version. After a full read it is the
  // version of the store at that moment, which rises with every write to any
  // table.
  state::Version version = 0;
  // Version of the last change that the replica holds. Hosts announce this
  // version and not the other one: if they announced the other one, every host
  // that had not read the full table would consider itself behind and request
  // it.
  state::Version lastChange = 0;
  // The last removed rows; complete for versions after `tombstonesAfter`.
  std::deque<state::StoredRow> tombstones;
  state::Version tombstonesAfter = 0;
};

// Updates whose rows together are larger than this are not forwarded: each host
// reads them from the store. A table with a larger row counts as large.
inline constexpr std::size_t kLargeRowBytes = 32U << 10U;

// Conversion of a row to and from its message between hosts. The message
// carries the row's own version. With the version of the full replica instead,
// every row would look changed, and its receiver would announce a newer version
// than its peers have.
protocol::TableRow ToWire(const state::StoredRow& aRow);
state::StoredRow FromWire(const std::string& aTable,
                          const protocol::TableRow& aRow);

class TableReplicas
{
public:
  // Applies rows of the table, all of them if aIsFull, and returns those that
  // are new to the replica, removed rows included.
  std::vector<state::StoredRow> Apply(
    const std::string& aTable, const std::vector<state::StoredRow>& aRows,
    bool aIsFull, state::Version aVersion);

  const TableReplica& Find(const std::string& aTable) const;
  // Returns the rows that changed or were removed after a version, in the order
  // of their versions; nothing if the tombstones don't reach back that far.
  std::optional<std::vector<state::StoredRow>> ChangesSince(
    const std::string& aTable, state::Version aAfter) const;
  // Whether the table holds a row that occupies the link of a small host for
  // long.
  bool HasLargeRow(const std::string& aTable) const;

private:
  std::map<std::string, TableReplica> replicas;
};

} // namespace kumquat::node
