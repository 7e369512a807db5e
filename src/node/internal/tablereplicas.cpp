// Merging of news into copies of tables.

#include "node/internal/tablereplicas.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <set>
#include <string_view>

namespace kumquat::node {

namespace {

// Of one table; more than go within the time that a host may be behind.
constexpr std::size_t kMostRemoved = 500;

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
  bool aWhole, state::Version aVersion)
{
  TableReplica& copy = this->copies[aTable];
  if (copy.version == 0) {
    copy.tombstonesAfter = aVersion;
  }
  std::vector<state::StoredRow> changed;
  if (aWhole && aVersion < copy.version) {
    return changed;
  }
  if (aWhole) {
    std::set<std::string_view> present;
    std::ranges::transform(
      aRows, std::inserter(present, present.end()),
      [](const state::StoredRow& aRow) { return std::string_view(aRow.key); });
    for (const auto& [key, row] : copy.rows) {
      if (!present.contains(key) && row.version <= aVersion) {
        changed.push_back(row);
        changed.back().removed = true;
      }
    }
  }
  for (const state::StoredRow& row : aRows) {
    const auto known = copy.rows.find(row.key);
    const bool isNew = known != copy.rows.end()
                         ? row.version > known->second.version
                         : aWhole || row.version > copy.version;
    if (isNew) {
      changed.push_back(row);
    }
  }
  for (const state::StoredRow& row : changed) {
    if (row.removed) {
      copy.rows.erase(row.key);
      copy.tombstones.push_back(row);
      if (aWhole) {
        copy.tombstones.back().version = aVersion;
      }
    } else {
      copy.rows[row.key] = row;
    }
    // When a row went that is only found to be missing is not known.
    copy.lastChange =
      std::max(copy.lastChange, aWhole && row.removed ? aVersion : row.version);
  }
  if (aWhole) {
    // The later pages of a read may hold rows of after its first, and what else
    // changed meanwhile is not known yet.
    copy.version = std::max(copy.version, aVersion);
    copy.lastChange = std::min(copy.lastChange, copy.version);
  } else if (!aRows.empty()) {
    const state::Version last =
      std::ranges::max(aRows, {}, &state::StoredRow::version).version;
    copy.version = std::max(copy.version, last);
    copy.lastChange = std::max(copy.lastChange, last);
  }
  while (copy.tombstones.size() > kMostRemoved) {
    copy.tombstonesAfter =
      std::max(copy.tombstonesAfter, copy.tombstones.front().version);
    copy.tombstones.pop_front();
  }
  return changed;
}

const TableReplica& TableReplicas::Find(const std::string& aTable) const
{
  static const TableReplica kNone;
  const auto found = this->copies.find(aTable);
  return found == this->copies.end() ? kNone : found->second;
}

std::optional<std::vector<state::StoredRow>> TableReplicas::ChangesSince(
  const std::string& aTable, state::Version aAfter) const
{
  const TableReplica& copy = this->Find(aTable);
  if (aAfter < copy.tombstonesAfter) {
    return std::nullopt;
  }
  const auto isLater = [&copy, aAfter](const state::StoredRow& aRow) {
    return aRow.version > aAfter && aRow.version <= copy.version;
  };
  std::vector<state::StoredRow> changes;
  std::ranges::copy_if(copy.tombstones, std::back_inserter(changes), isLater);
  std::ranges::copy_if(copy.rows | std::views::values,
                       std::back_inserter(changes), isLater);
  // A row that went and came again is here twice.
  std::ranges::stable_sort(changes, {}, &state::StoredRow::version);
  return changes;
}

bool TableReplicas::IsLarge(const std::string& aTable) const
{
  return std::ranges::any_of(this->Find(aTable).rows, [](const auto& aItem) {
    return aItem.second.value.size() > kLargeRowBytes;
  });
}

} // namespace kumquat::node
