// Polling, pushing and applying of the table's rows.

#include "coordination/mapkeeper.h"

#include "coordination/planner.h"
#include "state/rows.h"

#include <algorithm>
#include <iterator>
#include <ranges>
#include <utility>

namespace kumquat::coordination {

using state::ConditionalWrite;
using state::Row;
using state::ServiceConfiguration;
using state::WriteOutcome;
using std::chrono::milliseconds;

namespace {

constexpr auto kConfigurationPartition = "config";
// Changes are pushed; the poll only finds what a push has missed. Small
// partitions whose changes must be in force within seconds are read often; the
// large ones, whose misses show when a request is led astray, are not: their
// reads would be the first to use up the table's.
constexpr milliseconds kPollSmallEvery{ 1000 };
constexpr milliseconds kPollLargeEvery{ 5000 };
constexpr milliseconds kRetryAfter{ 300 };
constexpr milliseconds kRefreshAtMostEvery{ 50 };

protocol::RowChange ToChange(const Row& aRow)
{
  protocol::RowChange change;
  change.__set_partition(aRow.partition);
  change.__set_name(aRow.name);
  change.__set_version(aRow.version);
  change.__set_body(aRow.body);
  return change;
}

Row FromChange(const protocol::RowChange& aChange)
{
  Row row;
  row.partition = aChange.partition;
  row.name = aChange.name;
  row.version = aChange.version;
  row.body = aChange.body;
  return row;
}

milliseconds PollEvery(const std::string& aPartition)
{
  const bool small = aPartition == state::kPlacePartition ||
                     aPartition == kConfigurationPartition;
  return small ? kPollSmallEvery : kPollLargeEvery;
}

template<typename Record>
std::optional<Record> Copy(const Record* aRecord)
{
  return aRecord == nullptr ? std::nullopt : std::optional(*aRecord);
}

} // namespace

MapKeeper::MapKeeper(Hooks aHooks)
  : hooks(std::move(aHooks))
{
  this->partitions[std::string(state::kHostPartition)];
  this->partitions[std::string(state::kPlacePartition)];
  this->partitions[kConfigurationPartition];
}

void MapKeeper::SetServices(const std::vector<ServiceConfiguration>& aServices)
{
  for (const ServiceConfiguration& service : aServices) {
    this->partitions[state::UpstreamPartition(service.name)];
    if (service.keyed) {
      this->partitions[state::SlicePartition(service.name)];
    }
    if (!service.idempotent) {
      this->partitions[state::SlicePartition(OwnersOf(service.name))];
    }
  }
}

void MapKeeper::Refresh()
{
  const TimePoint now = this->hooks.now();
  if (now - this->lastRefresh < kRefreshAtMostEvery) {
    return;
  }
  this->lastRefresh = now;
  for (Partition& partition : this->partitions | std::views::values) {
    partition.due = std::min(partition.due, now);
  }
}

void MapKeeper::OnTimer()
{
  const TimePoint now = this->hooks.now();
  for (const auto& [name, partition] : this->partitions) {
    if (!partition.reading && partition.due <= now) {
      this->Read(name);
    }
  }
}

void MapKeeper::Read(const std::string& aName)
{
  Partition& partition = this->partitions[aName];
  partition.reading = true;
  const std::uint64_t number = ++partition.begun;
  this->hooks.table.query(
    aName, [this, aName, number](const Result<std::vector<Row>>& aRows) {
      Partition& answered = this->partitions[aName];
      answered.reading = false;
      const milliseconds pause = aRows ? PollEvery(aName) : kRetryAfter;
      answered.due = this->hooks.now() + pause;
      if (!aRows) {
        return;
      }
      answered.read = true;
      if (aName == state::kHostPartition) {
        this->hostRows.Send(*aRows);
      }
      std::ranges::for_each(*aRows,
                            [this](const Row& aRow) { this->Apply(aRow); });
      if (aName == state::kHostPartition) {
        this->TellHostRead(number);
      }
    });
}

void MapKeeper::AfterHostRead(std::function<void()> aThen)
{
  Partition& hosts = this->partitions[std::string(state::kHostPartition)];
  hosts.due = this->hooks.now();
  this->awaitedReads.push_back({ hosts.begun + 1, std::move(aThen) });
}

void MapKeeper::TellHostRead(std::uint64_t aNumber)
{
  std::vector<AwaitedRead> due;
  std::erase_if(this->awaitedReads, [&](AwaitedRead& aAwaited) {
    if (aAwaited.number > aNumber) {
      return false;
    }
    due.push_back(std::move(aAwaited));
    return true;
  });
  for (const AwaitedRead& read : due) {
    read.then();
  }
}

void MapKeeper::Apply(const Row& aRow)
{
  if (aRow.partition == state::kHostPartition) {
    if (const auto record = state::HostFromJson(aRow)) {
      this->map.Put(*record);
    }
    return;
  }
  if (aRow.partition == state::kPlacePartition) {
    const auto record = state::PlaceFromJson(aRow);
    if (record && this->map.Put(*record)) {
      this->placeChanged.Send(*record);
    }
    return;
  }
  if (aRow.partition == kConfigurationPartition) {
    this->configurationHead.Send(aRow);
    return;
  }
  if (aRow.partition.starts_with("upstream/")) {
    this->ApplyUpstream(aRow);
    return;
  }
  this->ApplySlice(aRow);
}

void MapKeeper::ApplyUpstream(const Row& aRow)
{
  const auto record = state::UpstreamFromJson(aRow);
  if (!record) {
    return;
  }
  const auto previous = Copy(this->map.FindUpstream(record->ref));
  if (this->map.Put(*record)) {
    this->upstreamChanged.Send({ *record, previous });
  }
}

void MapKeeper::ApplySlice(const Row& aRow)
{
  const auto record = state::SliceFromJson(aRow);
  if (!record) {
    return;
  }
  const auto previous =
    Copy(this->map.FindSlice(record->service, record->first));
  if (this->map.Put(*record)) {
    this->sliceChanged.Send({ *record, previous });
  }
}

void MapKeeper::OnMapChange(const protocol::MapChange& aChange)
{
  std::vector<Row> hosts;
  for (const protocol::RowChange& change : aChange.rows) {
    const Row row = FromChange(change);
    if (row.partition == state::kHostPartition) {
      hosts.push_back(row);
    }
    this->Apply(row);
  }
  if (!hosts.empty()) {
    this->hostRows.Send(hosts);
  }
}

void MapKeeper::Write(std::vector<ConditionalWrite> aWrites,
                      state::TableHooks::WriteDone aDone)
{
  std::vector<Row> rows;
  for (const ConditionalWrite& write : aWrites) {
    if (!write.onlyCheck && !write.remove) {
      rows.push_back(write.row);
    }
  }
  this->hooks.table.write(
    std::move(aWrites), [this, rows = std::move(rows),
                         done = std::move(aDone)](WriteOutcome aOutcome) {
      if (aOutcome == WriteOutcome::kWritten) {
        std::ranges::for_each(rows,
                              [this](const Row& aRow) { this->Apply(aRow); });
        this->Push(rows);
      } else {
        this->Refresh();
      }
      done(aOutcome);
    });
}

void MapKeeper::Push(const std::vector<Row>& aRows)
{
  protocol::MapChange change;
  std::ranges::transform(aRows, std::back_inserter(change.rows), ToChange);
  protocol::Frame frame;
  frame.mapChange = std::move(change);
  frame.__isset.mapChange = true;
  this->hooks.broadcast(frame);
}

bool MapKeeper::IsComplete() const
{
  return std::ranges::all_of(this->partitions | std::views::values,
                             &Partition::read);
}

} // namespace kumquat::coordination
