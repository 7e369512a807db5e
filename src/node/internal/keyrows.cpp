// Text of the rows of keyed services.

#include "node/internal/keyrows.h"

#include "state/rowreader.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <utility>

namespace kumquat::node {

namespace {

constexpr const char* kKeysTable = "keys";
constexpr const char* kClaimKey = "assigner";
constexpr const char* kAssignmentKey = "assignment";
constexpr const char* kLayoutKey = "layout";
// Stands for the assigner of a claim that cannot be read. It may still renew
// leases, so its successor must not count as the first assigner.
constexpr const char* kUnknownHost = "unknown-host";
constexpr auto kMaxIncarnation = std::numeric_limits<state::Incarnation>::max();

std::string SerializeHost(const state::HostRef& aHost)
{
  return nlohmann::json{
    { "host", aHost.host.value }, { "incarnation", aHost.incarnation }
  }.dump();
}

std::string SerializeClosedClaim(const state::HostRef& aLast)
{
  return nlohmann::json{
    { "host", aLast.host.value },
    { "incarnation", aLast.incarnation },
    { "closed", true }
  }.dump();
}

void TakeClaim(ownership::AssignmentRows& aRows, const state::StoredRow& aRow)
{
  aRows.claimVersion = aRow.version;
  state::RowReader row(aRow.value);
  // The first claim of a part that is closed names no host.
  aRows.assigner = { { row.OptionalText("host") },
                     row.Integer("incarnation", 0, kMaxIncarnation) };
  aRows.isClosed = row.Has("closed") && row.Boolean("closed");
  if (row.Error()) {
    aRows.assigner = { { kUnknownHost }, 0 };
    aRows.isClosed = false;
  }
}

KeyRows RowsFrom(const state::RowsRead& aRead)
{
  KeyRows rows;
  for (const state::StoredRow& row : aRead.rows) {
    if (row.key == kClaimKey) {
      TakeClaim(rows.assignment, row);
    } else if (row.key == kAssignmentKey) {
      rows.assignment.assignmentVersion = row.version;
      rows.assignment.assignmentText = row.value;
    } else if (row.key == kLayoutKey) {
      rows.layoutVersion = row.version;
      rows.layout = ownership::ParseLayout(row.value).value_or(rows.layout);
    }
  }
  return rows;
}

state::StoredRow MakeRow(const char* aKey, std::string aValue)
{
  return { kKeysTable, {}, aKey, std::move(aValue), 0, false };
}

std::vector<state::RowCondition> ConditionsOf(
  const ownership::AssignmentRows& aExpected)
{
  return { { kKeysTable, kClaimKey, aExpected.claimVersion },
           { kKeysTable, kAssignmentKey, aExpected.assignmentVersion } };
}

} // namespace

void ReadKeyRows(const KeyRowStore& aStore, const std::string& aPartition,
                 KeyRowsDone aDone)
{
  aStore.read(kKeysTable, aPartition,
              [done = std::move(aDone)](Result<state::RowsRead> aRead) {
                if (aRead) {
                  done(RowsFrom(*aRead));
                } else {
                  done(aRead.error());
                }
              });
}

void WriteAssignmentRows(const KeyRowStore& aStore,
                         const std::string& aPartition,
                         const ownership::AssignmentWrite& aWrite,
                         state::RowStore::WriteDone aDone)
{
  state::RowsWrite write;
  write.part = aPartition;
  write.conditions = ConditionsOf(aWrite.expected);
  if (aWrite.claim) {
    write.puts.push_back(MakeRow(kClaimKey, SerializeHost(*aWrite.claim)));
  }
  write.puts.push_back(MakeRow(kAssignmentKey, aWrite.assignmentText));
  aStore.write(write, std::move(aDone));
}

void WriteClosedClaim(const KeyRowStore& aStore, const std::string& aPartition,
                      const ownership::AssignmentRows& aRead,
                      state::RowStore::WriteDone aDone)
{
  state::RowsWrite write;
  write.part = aPartition;
  write.conditions = ConditionsOf(aRead);
  write.puts.push_back(
    MakeRow(kClaimKey, SerializeClosedClaim(aRead.assigner)));
  aStore.write(write, std::move(aDone));
}

void WriteLayoutRow(const KeyRowStore& aStore,
                    const state::ServiceName& aService, state::Version aVersion,
                    const ownership::KeyLayout& aLayout,
                    state::RowStore::WriteDone aDone)
{
  state::RowsWrite write;
  write.part = aService.value;
  write.conditions = { { kKeysTable, kLayoutKey, aVersion } };
  write.puts.push_back(
    MakeRow(kLayoutKey, ownership::SerializeLayout(aLayout)));
  aStore.write(write, std::move(aDone));
}

} // namespace kumquat::node
