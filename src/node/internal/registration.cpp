// Steps of a host's registration.

#include "node/internal/registration.h"

#include "framework/rendezvous.h"
#include "node/internal/tablereplicas.h"
#include "protocol/errorkind.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

// After a call that failed.
constexpr milliseconds kPause{ 500 };
// Of hosts that all start for the first time, some hundred: rows of one part of
// the store are written one after the other, and what waits there for over a
// second is refused.
constexpr milliseconds kSpread{ 700 };
// From the start; most rows are there by then.
constexpr milliseconds kGather{ 1200 };
// The whole table comes from a peer within this time, or the row is written
// without it.
constexpr milliseconds kTableComes{ 1500 };
// A peer that neither side knows of any more is found then.
constexpr milliseconds kLookAgain{ 30'000 };

constexpr long kMostMilliprocessors = 9'999'999;
constexpr std::uint64_t kOrders = 0x10000;

} // namespace

state::StoredRow ToRow(const HostRow& aHost)
{
  const long size =
    std::clamp(std::lround(aHost.processors * 1000), 0L, kMostMilliprocessors);
  const nlohmann::json text = { { "host", aHost.host.value },
                                { "address", aHost.address },
                                { "data_centre", aHost.dataCentre.value },
                                { "processors", aHost.processors } };
  state::StoredRow row;
  row.table = kHostTable;
  row.key = fmt::format("{:07}-{:04x}-{}", kMostMilliprocessors - size,
                        RendezvousScore(aHost.host.value, "row") % kOrders,
                        aHost.host.value);
  row.value = text.dump();
  return row;
}

Result<HostRow> HostFromRow(const state::StoredRow& aRow)
{
  const auto text = nlohmann::json::parse(aRow.value, nullptr, false);
  if (!text.is_object()) {
    return make_error_code(protocol::ErrorKind::kInternal);
  }
  HostRow host;
  host.host.value = text.value("host", "");
  host.address = text.value("address", "");
  host.dataCentre.value = text.value("data_centre", "");
  host.processors = text.value("processors", host.processors);
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
    this->dueAt += milliseconds(RendezvousScore(aSelf.host.value, "start") %
                                static_cast<std::uint64_t>(kSpread.count()));
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
        this->ScheduleStep(Step::kReadRows, kLookAgain);
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
      // A host that looks after its own row is there finds all that were there
      // before it, and those that come later find it.
      this->ScheduleStep(Step::kReadRows,
                         this->isRegistered ? milliseconds(0) : kPause);
      if (this->isFirstStart) {
        this->dueAt = std::max(this->dueAt, this->startedAt + kGather);
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
      this->ScheduleStep(this->step, kPause);
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
    // Where there are more rows those who follow the table tell of new ones.
    this->ScheduleStep(aRead.isPartial ? Step::kDone : Step::kReadRows,
                       kLookAgain);
  } else {
    this->ScheduleStep(Step::kWriteRow,
                       aRead.isPartial ? kTableComes : milliseconds(0));
  }
  this->hooks.firstRowsRead(aRead);
}

void Registration::OnTable(const TableReplica& aCopy)
{
  if (this->isRegistered || this->isCallPending ||
      this->step != Step::kWriteRow) {
    return;
  }
  const auto row = aCopy.rows.find(this->ownRow.key);
  if (row != aCopy.rows.end() && this->IsOwnRow(row->second)) {
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
