// Application of updates to replicas of tables.

#include "node/internal/tablereplicas.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <string_view>

namespace kumquat::node {

namespace {

// Maximum number of tombstones per table; more than the rows that are removed
// within the time that a host may be behind.
constexpr std::size_t kMaxTombstones = 500;

} // namespace

protocol::TableRow ToWire(const state::StoredRow& aRow)
{
  protocol::TableRow row;
  row.__set_key(aRow.key);
  row.__set_value(aRow.value);
  row.__set_version(aRow.version);
  row.__set_removed(aRow.removed);
  return row;
}

state::StoredRow FromWire(const std::string& aTable,
                          const protocol::TableRow& aRow)
{
  return { aTable, {}, aRow.key, aRow.value, aRow.version, aRow.removed };
}

std::vector<state::StoredRow> TableReplicas::Apply(
  const std::string& aTable, const std::vector<state::StoredRow>& aRows,
  bool aIsFull, state::Version aVersion)
{
  TableReplica& replica = this->replicas[aTable];
  if (replica.version == 0) {
    replica.tombstonesAfter = aVersion;
  }
  std::vector<state::StoredRow> changed;
  if (aIsFull && aVersion < replica.version) {
    return changed;
  }
  if (aIsFull) {
    std::set<std::string_view> present;
    std::ranges::transform(
      aRows, std::inserter(present, present.end()),
      [](const state::StoredRow& aRow) { return std::string_view(aRow.key); });
    for (const auto& [key, row] : replica.rows) {
      if (!present.contains(key) && row.version <= aVersion) {
        changed.push_back(row);
        changed.back().removed = true;
      }
    }
  }
  for (const state::StoredRow& row : aRows) {
    const auto known = replica.rows.find(row.key);
    const bool isNew = known != replica.rows.end()
                         ? row.version > known->second.version
                         : aIsFull || row.version > replica.version;
    if (isNew) {
      changed.push_back(row);
    }
  }
  for (const state::StoredRow& row : changed) {
    if (row.removed) {
      replica.rows.erase(row.key);
      replica.tombstones.push_back(row);
      if (aIsFull) {
        replica.tombstones.back().version = aVersion;
      }
    } else {
      replica.rows[row.key] = row;
    }
    // The version at which a row was removed is unknown if it is only found
    // missing from a full read.
    replica.lastChange = std::max(
      replica.lastChange, aIsFull && row.removed ? aVersion : row.version);
  }
  if (aIsFull) {
    // Later pages of a read may hold rows that are newer than its first page,
    // and the other changes since the first page are not known yet. So the
    // replica is complete up to the version of the first page only.
    replica.version = std::max(replica.version, aVersion);
    replica.lastChange = std::min(replica.lastChange, replica.version);
  } else if (!aRows.empty()) {
    const state::Version last =
      std::ranges::max(aRows, {}, &state::StoredRow::version).version;
    replica.version = std::max(replica.version, last);
    replica.lastChange = std::max(replica.lastChange, last);
  }
  while (replica.tombstones.size() > kMaxTombstones) {
    replica.tombstonesAfter =
      std::max(replica.tombstonesAfter, replica.tombstones.front().version);
    replica.tombstones.pop_front();
  }
  return changed;
}

const TableReplica& TableReplicas::Find(const std::string& aTable) const
{
  static const TableReplica kNone;
  const auto found = this->replicas.find(aTable);
  return found == this->replicas.end() ? kNone : found->second;
}

std::optional<std::vector<state::StoredRow>> TableReplicas::ChangesSince(
  const std::string& aTable, state::Version aAfter) const
{
  const TableReplica& replica = this->Find(aTable);
  if (aAfter < replica.tombstonesAfter) {
    return std::nullopt;
  }
  const auto isLater = [&replica, aAfter](const state::StoredRow& aRow) {
    return aRow.version > aAfter && aRow.version <= replica.version;
  };
  std::vector<state::StoredRow> changes;
  std::ranges::copy_if(replica.tombstones, std::back_inserter(changes),
                       isLater);
  std::ranges::copy_if(replica.rows | std::views::values,
                       std::back_inserter(changes), isLater);
  // A row that was removed and written again is in the list twice.
  std::ranges::stable_sort(changes, {}, &state::StoredRow::version);
  return changes;
}

bool TableReplicas::HasLargeRow(const std::string& aTable) const
{
  return std::ranges::any_of(this->Find(aTable).rows, [](const auto& aItem) {
    return aItem.second.value.size() > kLargeRowBytes;
  });
}

} // namespace kumquat::node
