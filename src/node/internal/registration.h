// How a host enters itself in the hosts' table, and how it learns at its start
// who is there. On the serving thread.
//
// Rows stay when their hosts end, and a host that starts again finds its own as
// it was. So it looks first and writes only where its row is not there. Hosts
// that all start for the first time write first and look when most are there.
//
// Only the first rows are read, those of the largest hosts: in a small
// deployment that is the whole table, in a large one it is enough to reach
// someone who has it.

#pragma once

#include "framework/clock.h"
#include "state/rowstore.h"

#include <chrono>
#include <functional>
#include <string>

namespace kumquat::node {

struct TableReplica;

// A host as its row tells of it.
struct HostRow
{
  state::HostId host;
  // Where peers connect to, as "ip:port".
  std::string address;
  state::DataCentre dataCentre;
  double processors = 1;
};

// Larger hosts have lower keys; of hosts of one size the order has no meaning.
state::StoredRow ToRow(const HostRow& aHost);
Result<HostRow> HostFromRow(const state::StoredRow& aRow);

class Registration
{
public:
  struct Hooks
  {
    Clock now;
    // Calls of the store; their answers come on the serving thread.
    std::function<void(state::RowStore::ReadDone)> readFirstRows;
    std::function<void(const state::StoredRow&, state::RowStore::WriteDone)>
      write;
    // Whether others follow the table and tell of new hosts.
    std::function<bool()> isTableFollowedByOthers;
    // The first rows of the table, each time that they were read.
    std::function<void(const state::RowsRead&)> firstRowsRead;
  };

  Registration(const HostRow& aSelf, bool aIsFirstStart, Hooks aHooks);

  void OnTimer();
  // A whole copy of the table, from the store or from a peer.
  void OnTable(const TableReplica& aCopy);

  // The store has told who is there, once; its last answer about it failed.
  bool HasReadTable() const { return this->hasReadTable; }
  bool HasLastReadFailed() const { return this->hasLastReadFailed; }

private:
  enum class Step
  {
    kWriteRow,
    kReadRows,
    kDone,
  };

  void WriteRow();
  void ReadFirstRows();
  void OnFirstRowsRead(const state::RowsRead& aRead);
  bool IsOwnRow(const state::StoredRow& aRow) const;
  void ScheduleStep(Step aStep, std::chrono::milliseconds aPause);

  const state::StoredRow ownRow;
  const bool isFirstStart;
  const Hooks hooks;
  const TimePoint startedAt;
  Step step;
  TimePoint dueAt;
  // A call is under way.
  bool isCallPending = false;
  // The row is in the table as it should be.
  bool isRegistered = false;
  // The table was read, and holds more than its first rows.
  bool wasReadPartial = false;
  bool hasReadTable = false;
  bool hasLastReadFailed = false;
};

} // namespace kumquat::node
