// The steps by which a host registers itself: read the first rows, write its
// own row.

#include "node/internal/registration.h"

#include "framework/rendezvous.h"
#include "node/internal/tablereplicas.h"
#include "state/rowreader.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

// Pause after a call to the store that failed.
constexpr milliseconds kRetryPause{ 500 };
// Hosts that all start for the first time spread their writes over this time.
// The store writes the rows of one partition one after the other and rejects a
// write that has waited for over a second, which happens with some hundred
// hosts at once.
constexpr milliseconds kWriteSpread{ 700 };
// Time from the first start to the first read; most rows are written by then.
constexpr milliseconds kFirstReadDelay{ 1200 };
// How long the full table may take to come from a peer; after that, the row is
// written without it.
constexpr milliseconds kFullTableTimeout{ 1500 };
// Interval of further reads. They find a host that this one does not know and
// that does not know this one.
constexpr milliseconds kReadInterval{ 30'000 };

constexpr long kMaxMilliprocessors = 9'999'999;
constexpr double kMaxProcessors = 9999;
// Number of pseudo-random positions among hosts of equal size.
constexpr std::uint64_t kOrderCount = 0x10000;

} // namespace

state::StoredRow ToRow(const HostRow& aHost)
{
  const long size =
    std::clamp(std::lround(aHost.processors * 1000), 0L, kMaxMilliprocessors);
  const nlohmann::json text = { { "host", aHost.host.value },
                                { "address", aHost.address },
                                { "data_centre", aHost.dataCentre.value },
                                { "processors", aHost.processors },
                                { "relay_address", aHost.relayAddress } };
  state::StoredRow row;
  row.table = kHostTable;
  row.key = fmt::format("{:07}-{:04x}-{}", kMaxMilliprocessors - size,
                        RendezvousScore(aHost.host.value, "row") % kOrderCount,
                        aHost.host.value);
  row.value = text.dump();
  return row;
}

Result<HostRow> HostFromRow(const state::StoredRow& aRow)
{
  state::RowReader row(aRow.value);
  HostRow host;
  host.host.value = row.Text("host");
  host.address = row.Text("address");
  host.dataCentre.value = row.Text("data_centre");
  if (row.Has("processors")) {
    host.processors = row.Number("processors", 0, kMaxProcessors);
  }
  host.relayAddress = row.OptionalText("relay_address");
  if (row.Error()) {
    return row.Error();
  }
  return host;
}

Registration::Registration(const HostRow& aSelf, bool aIsFirstStart,
                           Hooks aHooks)
  : ownRow(ToRow(aSelf))
  , isFirstStart(aIsFirstStart)
  , hooks(std::move(aHooks))
  , startedAt(this->hooks.now())
  , step(aIsFirstStart ? Step::kWriteRow : Step::kReadRows)
  , dueAt(this->startedAt)
{
  if (aIsFirstStart) {
    this->dueAt +=
      milliseconds(RendezvousScore(aSelf.host.value, "start") %
                   static_cast<std::uint64_t>(kWriteSpread.count()));
  }
}

void Registration::OnTimer()
{
  if (this->isCallPending || this->hooks.now() < this->dueAt) {
    return;
  }
  switch (this->step) {
    case Step::kWriteRow:
      this->WriteRow();
      return;
    case Step::kReadRows:
      if (this->isRegistered && this->hasReadTable &&
          this->hooks.isTableFollowedByOthers()) {
        this->ScheduleStep(Step::kReadRows, kReadInterval);
      } else {
        this->ReadFirstRows();
      }
      return;
    case Step::kDone:
      return;
  }
}

void Registration::ScheduleStep(Step aStep, milliseconds aPause)
{
  this->step = aStep;
  this->dueAt = this->hooks.now() + aPause;
}

void Registration::WriteRow()
{
  this->isCallPending = true;
  this->hooks.write(
    this->ownRow, [this](state::WriteOutcome aOutcome, state::Version) {
      this->isCallPending = false;
      this->isRegistered = aOutcome == state::WriteOutcome::kWritten;
      if (this->isRegistered && this->wasReadPartial) {
        this->ScheduleStep(Step::kDone, milliseconds(0));
        return;
      }
      // A host that reads after its own row was written finds all hosts that
      // registered before it; hosts that register later find its row.
      this->ScheduleStep(Step::kReadRows,
                         this->isRegistered ? milliseconds(0) : kRetryPause);
      if (this->isFirstStart) {
        this->dueAt = std::max(this->dueAt, this->startedAt + kFirstReadDelay);
      }
      this->OnTimer();
    });
}

void Registration::ReadFirstRows()
{
  this->isCallPending = true;
  this->hooks.readFirstRows([this](const Result<state::RowsRead>& aRead) {
    this->isCallPending = false;
    this->hasLastReadFailed = !aRead;
    this->hasReadTable |= aRead.has_value();
    if (!aRead) {
      this->ScheduleStep(this->step, kRetryPause);
      return;
    }
    this->OnFirstRowsRead(*aRead);
    this->OnTimer();
  });
}

void Registration::OnFirstRowsRead(const state::RowsRead& aRead)
{
  this->wasReadPartial = aRead.isPartial;
  this->isRegistered =
    this->isRegistered ||
    std::ranges::any_of(aRead.rows, [this](const state::StoredRow& aRow) {
      return this->IsOwnRow(aRow);
    });
  if (this->isRegistered) {
    // In a larger table, the hosts that follow it report new rows.
    this->ScheduleStep(aRead.isPartial ? Step::kDone : Step::kReadRows,
                       kReadInterval);
  } else {
    this->ScheduleStep(Step::kWriteRow,
                       aRead.isPartial ? kFullTableTimeout : milliseconds(0));
  }
  this->hooks.firstRowsRead(aRead);
}

void Registration::OnTable(const TableReplica& aReplica)
{
  if (this->isRegistered || this->isCallPending ||
      this->step != Step::kWriteRow) {
    return;
  }
  const auto row = aReplica.rows.find(this->ownRow.key);
  if (row != aReplica.rows.end() && this->IsOwnRow(row->second)) {
    this->isRegistered = true;
    this->ScheduleStep(Step::kDone, milliseconds(0));
  } else {
    this->ScheduleStep(Step::kWriteRow, milliseconds(0));
  }
}

bool Registration::IsOwnRow(const state::StoredRow& aRow) const
{
  return aRow.key == this->ownRow.key && aRow.value == this->ownRow.value;
}

} // namespace kumquat::node
