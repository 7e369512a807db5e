// Keeps the host's map of the table current: reads it on start, polls it as a
// backstop, takes rows that peers push, and pushes the rows written here.

#pragma once

#include "framework/channel.h"
#include "framework/clock.h"
#include "protocol/gen/peer_types.h"
#include "state/configuration.h"
#include "state/routingmap.h"
#include "state/table.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquat::coordination {

class MapKeeper
{
public:
  struct Hooks
  {
    Clock now;
    state::TableHooks table;
    // To every peer that can be reached.
    std::function<void(const protocol::Frame&)> broadcast;
  };

  template<typename Record>
  struct Change
  {
    Record record;
    std::optional<Record> previous;
  };

  explicit MapKeeper(Hooks aHooks);

  const state::RoutingMap& Map() const { return this->map; }

  // Which partitions there are follows from the services.
  void SetServices(const std::vector<state::ServiceConfiguration>& aServices);
  // Calls back once a read of the hosts' rows that began after this call has
  // been applied; while the table is down it goes on trying.
  void AfterHostRead(std::function<void()> aThen);
  // Reads soon, because the map led a request astray; bounded in rate.
  void Refresh();
  void OnTimer();
  void OnMapChange(const protocol::MapChange& aChange);

  // Writes, and on success applies and pushes the new rows.
  void Write(std::vector<state::ConditionalWrite> aWrites,
             state::TableHooks::WriteDone aDone);
  // Pushes a row that another part of this host has written.
  void Push(const std::vector<state::Row>& aRows);

  // Whether each partition was read at least once.
  bool IsComplete() const;

  Channel<std::vector<state::Row>>& HostRows() { return this->hostRows; }
  Channel<state::Row>& ConfigurationHead() { return this->configurationHead; }
  Channel<Change<state::UpstreamRecord>>& UpstreamChanged()
  {
    return this->upstreamChanged;
  }
  Channel<Change<state::SliceRecord>>& SliceChanged()
  {
    return this->sliceChanged;
  }
  Channel<state::PlaceRecord>& PlaceChanged() { return this->placeChanged; }

private:
  struct Partition
  {
    bool read = false;
    bool reading = false;
    TimePoint due;
    // Counts the reads that were begun.
    std::uint64_t begun = 0;
  };

  struct AwaitedRead
  {
    std::uint64_t number = 0;
    std::function<void()> then;
  };

  void TellHostRead(std::uint64_t aNumber);
  void Read(const std::string& aName);
  void Apply(const state::Row& aRow);
  void ApplyUpstream(const state::Row& aRow);
  void ApplySlice(const state::Row& aRow);

  const Hooks hooks;
  state::RoutingMap map;
  std::map<std::string, Partition> partitions;
  TimePoint lastRefresh;
  std::vector<AwaitedRead> awaitedReads;
  Channel<std::vector<state::Row>> hostRows;
  Channel<state::Row> configurationHead;
  Channel<Change<state::UpstreamRecord>> upstreamChanged;
  Channel<Change<state::SliceRecord>> sliceChanged;
  Channel<state::PlaceRecord> placeChanged;
};

} // namespace kumquat::coordination
