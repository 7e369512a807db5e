// Merging of news into copies of tables.

#include "node/internal/tables.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <string_view>

namespace kumquat::node {

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

std::vector<state::StoredRow> TableCopies::Apply(
  const std::string& aTable, const std::vector<state::StoredRow>& aRows,
  bool aWhole, state::Version aVersion)
{
  TableCopy& copy = this->copies[aTable];
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
    } else {
      copy.rows[row.key] = row;
    }
    // The later pages of a read may hold rows of after its first, and what else
    // changed meanwhile is not known yet.
    if (!aWhole) {
      copy.version = std::max(copy.version, row.version);
    }
    // When a row went that is only found to be missing is not known.
    copy.changed =
      std::max(copy.changed, aWhole && row.removed ? aVersion : row.version);
  }
  if (aWhole) {
    copy.version = std::max(copy.version, aVersion);
  }
  return changed;
}

const TableCopy& TableCopies::Find(const std::string& aTable) const
{
  static const TableCopy kNone;
  const auto found = this->copies.find(aTable);
  return found == this->copies.end() ? kNone : found->second;
}

} // namespace kumquat::node
