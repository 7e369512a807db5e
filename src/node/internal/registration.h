// Registers this host in the hosts' table and reads at its start which other
// hosts are registered. Runs on the serving thread.
//
// A host's row stays in the table after the host has stopped, so a restarted
// host finds its own row unchanged. It therefore reads the table first, and
// writes only if its row is missing or differs. If all hosts of a deployment
// start for the first time, each writes its row first and reads the table when
// most rows are there.
//
// Only the first rows are read, which are those of the largest hosts. In a
// small deployment they are the full table; in a large one they are enough to
// connect to a host that has the full table.

#pragma once

#include "framework/clock.h"
#include "state/rowstore.h"

#include <chrono>
#include <functional>
#include <string>

namespace kumquat::node {

struct TableReplica;

// What a host's row in the hosts' table contains.
struct HostRow
{
  state::HostId host;
  // Where peers connect to, as "ip:port".
  std::string address;
  state::DataCentre dataCentre;
  double processors = 1;
  // Where peers ask for relays to upstreams; empty if the host relays nothing.
  std::string relayAddress;
};

// Larger hosts have lower row keys, so that reads return them first. Hosts of
// equal size are in a pseudo-random order.
state::StoredRow ToRow(const HostRow& aHost);
// A state::RowFault if the row names no host.
Result<HostRow> HostFromRow(const state::StoredRow& aRow);

class Registration
{
public:
  struct Hooks
  {
    Clock now;
    // Calls to the store. Their callbacks run on the serving thread.
    std::function<void(state::RowStore::ReadDone)> readFirstRows;
    std::function<void(const state::StoredRow&, state::RowStore::WriteDone)>
      write;
    // Whether other hosts follow the table and report new hosts to this one.
    std::function<bool()> isTableFollowedByOthers;
    // Runs with the first rows of the table after each successful read.
    std::function<void(const state::RowsRead&)> firstRowsRead;
  };

  // aIsFirstStart: all hosts of the deployment start for the first time.
  Registration(const HostRow& aSelf, bool aIsFirstStart, Hooks aHooks);

  void OnTimer();
  // The full table has arrived, from the store or from a peer.
  void OnTable(const TableReplica& aReplica);

  // Whether the first rows were ever read from the store.
  bool HasReadTable() const { return this->hasReadTable; }
  // Whether the last read of the first rows failed.
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
  // A call to the store has not returned yet.
  bool isCallPending = false;
  // This host's row is in the table, with the right content.
  bool isRegistered = false;
  // The last read did not return the full table.
  bool wasReadPartial = false;
  bool hasReadTable = false;
  bool hasLastReadFailed = false;
};

} // namespace kumquat::node
