// Simulation in virtual time of the replication of the store's tables: the
// hosts' registration, connections and digests, and a store that counts its
// calls, keeps its whole history, and can reject hosts. Its only random choices
// depend on the hosts' names.

#pragma once

#include "node/internal/registration.h"
#include "node/internal/tablereplication.h"
#include "platform/names.h"
#include "protocol/errorkind.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::node {

class ReplicationSimulation
{
public:
  using milliseconds = std::chrono::milliseconds;

  explicit ReplicationSimulation(int aHosts, int aDataCentres = 5)
    : dataCentres(aDataCentres)
  {
    for (int i = 0; i < aHosts; ++i) {
      this->hosts.push_back(std::make_unique<Host>());
      this->hosts.back()->name = "host-" + std::to_string(i);
    }
  }

  // Starts all hosts within the given time.
  void StartAll(bool aIsFirstStart, int aWithinMs = 300)
  {
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      this->Schedule(
        milliseconds(static_cast<int>(i) * 7 % aWithinMs),
        [this, i, aIsFirstStart] { this->Start(i, aIsFirstStart); });
    }
  }

  void StartOne(std::size_t aHost) { this->Start(aHost, false); }

  // The host sends nothing more, and its peers' connections stay open.
  void PowerOff(std::size_t aHost)
  {
    this->hosts[aHost]->isUp = false;
    ++this->hosts[aHost]->incarnation;
  }

  void PowerOffAll()
  {
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      this->PowerOff(i);
    }
    for (const auto& host : this->hosts) {
      host->connectedPeers.clear();
    }
  }

  void Put(const std::string& aTable, const std::string& aKey,
           std::size_t aBytes = 250)
  {
    state::StoredRow row{ aTable,          {},   aKey, std::string(aBytes, 'x'),
                          ++this->version, false };
    this->rows[aTable][aKey] = row;
    this->lastChange[aTable] = this->version;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      this->CompleteWatch(i, aTable);
    }
  }

  void SetStoreRejects(std::size_t aHost, bool aIsRejected)
  {
    this->hosts[aHost]->isRejected = aIsRejected;
  }

  void SetStoreRejectsAll(bool aIsRejected)
  {
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      this->SetStoreRejects(i, aIsRejected);
    }
  }

  void Advance(milliseconds aTime)
  {
    const TimePoint end = this->now + aTime;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    this->now = end;
  }

  int StoreCalls() const { return this->calls; }
  std::size_t Size() const { return this->hosts.size(); }

  // Number of hosts that are up and lack the last change of the table.
  int CountBehind(const std::string& aTable) const
  {
    const auto last = this->lastChange.find(aTable);
    return static_cast<int>(
      std::ranges::count_if(this->hosts, [&](const auto& aHost) {
        return aHost->isUp &&
               (!aHost->process ||
                aHost->process->replication.Find(aTable).version <
                  last->second);
      }));
  }

  std::vector<std::size_t> Followers() const
  {
    std::vector<std::size_t> followers;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      if (this->hosts[i]->isUp && !this->hosts[i]->watches.empty()) {
        followers.push_back(i);
      }
    }
    return followers;
  }

  // Called when a host gets an update from the store, before it can forward it.
  std::function<void(std::size_t)> onStoreUpdate;

private:
  static constexpr std::size_t kMaxFirstRows = 64;
  static constexpr milliseconds kNetworkDelay{ 1 };
  static constexpr milliseconds kStoreCallTime{ 4 };
  static constexpr milliseconds kTick{ 100 };
  static constexpr milliseconds kUpdatePause{ 250 };
  static constexpr milliseconds kWatchWait{ 3000 };
  static constexpr milliseconds kRetryPause{ 800 };
  static constexpr milliseconds kStandInRetryPause{ 3200 };
  static constexpr milliseconds kDetect{ 1000 };

  // What a host has in memory, lost when its process ends.
  struct ProcessState
  {
    ProcessState(const HostRow& aRow, ReplicationSimulation& aSimulation,
                 std::size_t aSelf,
                 const std::set<std::string>& aConnectedPeers,
                 bool aIsFirstStart)
      : peers({ aRow.host, static_cast<state::Incarnation>(
                             aSimulation.hosts[aSelf]->incarnation) },
              aSimulation.VirtualClock(),
              [this](const state::HostId& aHost) {
                return this->topology.IsCellMember(aHost);
              })
      , topology({ aRow.host, aRow.dataCentre, aRow.processors },
                 { aSimulation.VirtualClock(),
                   [this](const state::HostId& aHost) {
                     return this->peers.LastHeardAt(aHost);
                   } })
      , replication(this->topology, this->peers, aConnectedPeers, aIsFirstStart,
                    aSimulation.ReplicationHooksOf(aSelf))
      , registration(aRow, aIsFirstStart,
                     aSimulation.RegistrationHooksOf(aSelf))
    {
    }

    Peers peers;
    PeerTopology topology;
    TableReplication replication;
    Registration registration;
    bool reachesStore = true;
  };

  struct Watch
  {
    state::Version version = 0;
    // Number of the last watch call, to tell it from earlier ones.
    int number = 0;
    bool isOpen = false;
  };

  struct Host
  {
    std::string name;
    bool isUp = false;
    bool isRejected = false;
    // Incremented at each start and stop; events of an earlier value are
    // dropped.
    int incarnation = 0;
    std::unique_ptr<ProcessState> process;
    std::set<std::string> connectedPeers;
    std::map<std::string, Watch> watches;
    TimePoint connectionsUpdatedAt;
    // Pause before a failed call is repeated.
    milliseconds retryPause = kRetryPause;
    bool isProbing = false;
  };

  kumquat::Clock VirtualClock()
  {
    return [this] { return this->now; };
  }

  void Schedule(Duration aDelay, std::function<void()> aTask)
  {
    this->events.emplace(this->now + aDelay, std::move(aTask));
  }

  // Runs the task on the host, unless its incarnation has ended by then.
  void ScheduleOnHost(std::size_t aHost, Duration aDelay,
                      std::function<void()> aTask)
  {
    this->Schedule(aDelay,
                   [this, aHost, incarnation = this->hosts[aHost]->incarnation,
                    task = std::move(aTask)] {
                     if (this->hosts[aHost]->isUp &&
                         this->hosts[aHost]->incarnation == incarnation) {
                       task();
                     }
                   });
  }

  HostRow HostRowOf(std::size_t aHost) const
  {
    // Of each 20 hosts the first ones, one per data centre, are larger.
    constexpr std::size_t kLargeEach = 20;
    const std::string& name = this->hosts[aHost]->name;
    return {
      { name },
      name,
      { std::to_string(aHost % static_cast<std::size_t>(this->dataCentres)) },
      aHost % kLargeEach < static_cast<std::size_t>(this->dataCentres) ? 0.5
                                                                       : 0.1
    };
  }

  std::size_t IndexOf(const std::string& aName) const
  {
    return std::stoul(aName.substr(aName.find('-') + 1));
  }

  void Start(std::size_t aHost, bool aIsFirstStart)
  {
    Host& host = *this->hosts[aHost];
    host.isUp = true;
    ++host.incarnation;
    host.connectedPeers.clear();
    host.watches.clear();
    host.process = std::make_unique<ProcessState>(
      this->HostRowOf(aHost), *this, aHost, host.connectedPeers, aIsFirstStart);
    this->Tick(aHost);
  }

  void Tick(std::size_t aHost)
  {
    Host& host = *this->hosts[aHost];
    ProcessState& process = *host.process;
    for (const state::HostId& silent : process.peers.TakeNewlySilent()) {
      host.connectedPeers.erase(silent.value);
      this->hosts[this->IndexOf(silent.value)]->connectedPeers.erase(host.name);
    }
    process.registration.OnTimer();
    this->UpdateFollowedTables(aHost);
    this->SendDigests(aHost);
    if (this->now - host.connectionsUpdatedAt >= 5 * kTick) {
      this->UpdateConnections(aHost);
    }
    this->ScheduleOnHost(aHost, kTick, [this, aHost] { this->Tick(aHost); });
  }

  void UpdateFollowedTables(std::size_t aHost)
  {
    ProcessState& process = *this->hosts[aHost]->process;
    std::vector<state::HostId> live = process.peers.LiveCellMembers();
    live.push_back({ this->hosts[aHost]->name });
    const bool isKnown = process.registration.HasReadTable() ||
                         process.replication.Find(kHostTable).version > 0;
    process.replication.SetHostListState(
      isKnown                                    ? HostListState::kKnown
      : process.registration.HasLastReadFailed() ? HostListState::kUnavailable
                                                 : HostListState::kUnknown);
    process.replication.OnTimer(live);
  }

  void UpdateConnections(std::size_t aHost)
  {
    Host& host = *this->hosts[aHost];
    host.connectionsUpdatedAt = this->now;
    for (const auto& [id, address] :
         host.process->topology.TakeConnectionChanges().toOpen) {
      this->Schedule(
        kNetworkDelay, [this, aHost, to = this->IndexOf(id.value)] {
          Host& localHost = *this->hosts[aHost];
          Host& remoteHost = *this->hosts[to];
          if (localHost.isUp && remoteHost.isUp) {
            if (localHost.connectedPeers.insert(remoteHost.name).second) {
              localHost.process->replication.OnPeerUp({ remoteHost.name });
            }
            if (remoteHost.connectedPeers.insert(localHost.name).second) {
              remoteHost.process->replication.OnPeerUp({ localHost.name });
            }
          }
        });
    }
  }

  void SendDigests(std::size_t aHost)
  {
    Host& host = *this->hosts[aHost];
    ProcessState& process = *host.process;
    const PeerTopology::DigestRecipients recipients =
      process.topology.TakeDigestRecipients(host.connectedPeers, 0);
    std::vector<std::string> receivers = recipients.full;
    receivers.insert(receivers.end(), recipients.brief.begin(),
                     recipients.brief.end());
    if (receivers.empty()) {
      return;
    }
    protocol::Frame frame;
    protocol::HostDigest digest;
    digest.sender.__set_host(host.name);
    digest.sender.__set_incarnation(host.incarnation);
    digest.__set_number(process.peers.NextDigest());
    digest.__set_reachesStore(process.reachesStore);
    process.replication.AddVersionsTo(digest);
    frame.__set_hostDigest(digest);
    for (const std::string& to : receivers) {
      this->Send(aHost, to, frame);
    }
  }

  void Send(std::size_t aFrom, const std::string& aTo,
            const protocol::Frame& aFrame)
  {
    const std::size_t to = this->IndexOf(aTo);
    if (!this->hosts[aFrom]->connectedPeers.contains(aTo)) {
      return;
    }
    this->ScheduleOnHost(to, kNetworkDelay, [this, aFrom, to, aFrame] {
      TableReplication& replication = this->hosts[to]->process->replication;
      const std::string& from = this->hosts[aFrom]->name;
      if (aFrame.__isset.hostDigest) {
        this->hosts[to]->process->peers.OnDigest(aFrame.hostDigest);
        replication.OnPeerVersions(
          this->hosts[to]->process->peers.All().at({ from }));
      } else if (aFrame.__isset.tableQuery) {
        replication.OnQuery(from, aFrame.tableQuery);
      } else if (aFrame.__isset.tableCopy) {
        replication.OnCopy(aFrame.tableCopy);
      } else if (aFrame.__isset.tableChange) {
        replication.OnChange(aFrame.tableChange);
      }
    });
  }

  TableReplication::Hooks ReplicationHooksOf(std::size_t aHost)
  {
    TableReplication::Hooks hooks;
    hooks.now = this->VirtualClock();
    hooks.send = [this, aHost](const std::string& aTo,
                               const protocol::Frame& aFrame) {
      this->Send(aHost, aTo, aFrame);
    };
    hooks.sendToAll = [this, aHost](const std::vector<std::string>& aHosts,
                                    const protocol::Frame& aFrame) {
      for (const std::string& to : aHosts) {
        this->Send(aHost, to, aFrame);
      }
    };
    hooks.follow = [this, aHost](const FollowedTables& aTables,
                                 bool aIsStandIn) {
      this->hosts[aHost]->retryPause =
        aIsStandIn ? kStandInRetryPause : kRetryPause;
      this->Follow(aHost, aTables);
    };
    hooks.readFullTable = [this, aHost](const std::string& aTable) {
      this->ReadFull(aHost, aTable);
    };
    hooks.storeReceivedAt = [this](const std::string&) { return this->now; };
    hooks.rowsChanged = [this, aHost](const std::string& aTable,
                                      const std::vector<state::StoredRow>&,
                                      milliseconds) {
      if (aTable == kHostTable) {
        const TableReplica& replica =
          this->hosts[aHost]->process->replication.Find(kHostTable);
        std::vector<state::StoredRow> known;
        std::ranges::transform(replica.rows, std::back_inserter(known),
                               [](const auto& aItem) { return aItem.second; });
        this->SetHosts(aHost, known);
        this->hosts[aHost]->process->registration.OnTable(replica);
      }
    };
    hooks.isSettled = [](const std::string&) { return true; };
    hooks.caughtUp = [](const std::string&, Duration) {};
    hooks.announceVersions = [this, aHost] {
      this->hosts[aHost]->process->topology.RequestImmediateDigest();
      this->SendDigests(aHost);
    };
    return hooks;
  }

  void SetHosts(std::size_t aHost, const std::vector<state::StoredRow>& aRows)
  {
    std::vector<HostAddress> known;
    std::ranges::transform(
      aRows, std::back_inserter(known), [](const state::StoredRow& aRow) {
        const HostRow host = HostFromRow(aRow).value();
        return HostAddress{ { host.host, host.dataCentre, host.processors },
                            host.address };
      });
    this->hosts[aHost]->process->topology.SetHosts(std::move(known));
    this->UpdateConnections(aHost);
  }

  Registration::Hooks RegistrationHooksOf(std::size_t aHost)
  {
    Registration::Hooks hooks;
    hooks.now = this->VirtualClock();
    hooks.readFirstRows = [this,
                           aHost](const state::RowStore::ReadDone& aDone) {
      this->CallStore(aHost, [this, aDone](bool aIsAccepted) {
        if (!aIsAccepted) {
          aDone(make_error_code(protocol::ErrorKind::kStoreUnavailable));
          return;
        }
        state::RowsRead read = this->RowsAfter(kHostTable, 0);
        read.isPartial = read.rows.size() > kMaxFirstRows;
        read.rows.resize(std::min(read.rows.size(), kMaxFirstRows));
        aDone(std::move(read));
      });
    };
    hooks.write = [this, aHost](const state::StoredRow& aRow,
                                const state::RowStore::WriteDone& aDone) {
      this->CallStore(aHost, [this, aRow, aDone](bool aIsAccepted) {
        if (!aIsAccepted) {
          aDone(state::WriteOutcome::kConflict, 0);
          return;
        }
        state::StoredRow row = aRow;
        row.version = ++this->version;
        this->rows[kHostTable][row.key] = row;
        this->lastChange[kHostTable] = this->version;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
          this->CompleteWatch(i, kHostTable);
        }
        aDone(state::WriteOutcome::kWritten, this->version);
      });
    };
    hooks.isTableFollowedByOthers = [this, aHost] {
      return this->hosts[aHost]->process->topology.Cells().IsDivided();
    };
    hooks.firstRowsRead = [this, aHost](const state::RowsRead& aRead) {
      TableReplication& replication = this->hosts[aHost]->process->replication;
      if (!aRead.isPartial) {
        replication.OnUpdate(
          { kHostTable, true, aRead.rows, aRead.version, {} });
      } else if (replication.Find(kHostTable).version == 0) {
        this->SetHosts(aHost, aRead.rows);
      }
      this->UpdateFollowedTables(aHost);
    };
    return hooks;
  }

  // --- The store

  void CallStore(std::size_t aHost, std::function<void(bool)> aDone)
  {
    ++this->calls;
    this->ScheduleOnHost(aHost, kStoreCallTime,
                         [this, aHost, done = std::move(aDone)] {
                           done(!this->hosts[aHost]->isRejected);
                         });
  }

  state::RowsRead RowsAfter(const std::string& aTable, state::Version aAfter)
  {
    state::RowsRead read;
    read.version = this->version;
    for (const auto& [key, row] : this->rows[aTable]) {
      if (row.version > aAfter) {
        read.rows.push_back(row);
      }
    }
    return read;
  }

  void Follow(std::size_t aHost, const FollowedTables& aTables)
  {
    Host& host = *this->hosts[aHost];
    std::erase_if(host.watches, [&aTables](const auto& aItem) {
      return !aTables.contains(aItem.first);
    });
    // A host that follows in place of the hubs requests only the operator table
    // at first.
    host.isProbing =
      host.retryPause == kStandInRetryPause && host.watches.empty();
    for (const auto& [table, known] : aTables) {
      if (!host.watches.contains(table)) {
        host.watches[table].version = known;
        if (host.isProbing && table != platform::kOperatorTable) {
          continue;
        }
        if (known == 0) {
          this->ReadFull(aHost, table);
        } else {
          this->StartWatch(aHost, table);
        }
      }
    }
  }

  void OnStoreResponse(std::size_t aHost, bool aIsAccepted)
  {
    ProcessState& process = *this->hosts[aHost]->process;
    const bool isBackAvailable =
      aIsAccepted && !std::exchange(process.reachesStore, aIsAccepted);
    const bool endsProbe =
      aIsAccepted && std::exchange(this->hosts[aHost]->isProbing, false);
    process.reachesStore = aIsAccepted;
    process.replication.SetStoreAvailable(aIsAccepted);
    if (isBackAvailable || endsProbe) {
      for (const auto& [table, watch] : this->hosts[aHost]->watches) {
        this->Schedule(milliseconds(0), [this, aHost, table] {
          this->StartWatch(aHost, table);
        });
      }
    }
  }

  // While the store is unavailable only the operator table is requested.
  void RetryWatchLater(std::size_t aHost, const std::string& aTable)
  {
    Host& host = *this->hosts[aHost];
    const auto watch = host.watches.find(aTable);
    if (watch == host.watches.end()) {
      return;
    }
    watch->second.isOpen = false;
    if (aTable == platform::kOperatorTable) {
      this->ScheduleOnHost(aHost, host.retryPause, [this, aHost, aTable] {
        this->StartWatch(aHost, aTable);
      });
    }
  }

  void ReadFull(std::size_t aHost, const std::string& aTable)
  {
    this->CallStore(aHost, [this, aHost, aTable](bool aIsAccepted) {
      this->OnStoreResponse(aHost, aIsAccepted);
      Host& host = *this->hosts[aHost];
      host.process->replication.OnReadEnded(aTable, kStoreCallTime);
      if (!aIsAccepted) {
        this->RetryWatchLater(aHost, aTable);
        return;
      }
      const state::RowsRead read = this->RowsAfter(aTable, 0);
      this->DeliverUpdate(aHost, { aTable, true, read.rows, read.version, {} });
    });
  }

  void DeliverUpdate(std::size_t aHost, const TableUpdate& aUpdate)
  {
    if (this->onStoreUpdate) {
      this->onStoreUpdate(aHost);
    }
    Host& host = *this->hosts[aHost];
    if (!host.isUp) {
      return;
    }
    const auto watch = host.watches.find(aUpdate.table);
    if (watch != host.watches.end()) {
      watch->second.version = aUpdate.version;
    }
    host.process->replication.OnUpdate(aUpdate);
    this->ScheduleOnHost(
      aHost, kUpdatePause,
      [this, aHost, table = aUpdate.table] { this->StartWatch(aHost, table); });
  }

  void StartWatch(std::size_t aHost, const std::string& aTable)
  {
    Host& host = *this->hosts[aHost];
    const auto found = host.watches.find(aTable);
    if (found == host.watches.end() || found->second.isOpen) {
      return;
    }
    found->second.isOpen = true;
    const int number = ++found->second.number;
    this->CallStore(aHost, [this, aHost, aTable, number](bool aIsAccepted) {
      this->OnStoreResponse(aHost, aIsAccepted);
      if (!aIsAccepted) {
        this->RetryWatchLater(aHost, aTable);
        return;
      }
      this->CompleteWatch(aHost, aTable);
      // Only the operator table is watched with a short wait; see StoreClient.
      const milliseconds wait =
        aTable == platform::kOperatorTable ? kWatchWait : 7 * kWatchWait;
      this->ScheduleOnHost(aHost, wait, [this, aHost, aTable, number] {
        const auto watch = this->hosts[aHost]->watches.find(aTable);
        if (watch != this->hosts[aHost]->watches.end() &&
            watch->second.number == number && watch->second.isOpen) {
          watch->second.isOpen = false;
          this->StartWatch(aHost, aTable);
        }
      });
    });
  }

  void CompleteWatch(std::size_t aHost, const std::string& aTable)
  {
    Host& host = *this->hosts[aHost];
    const auto watch = host.watches.find(aTable);
    if (!host.isUp || watch == host.watches.end() || !watch->second.isOpen ||
        host.isRejected) {
      return;
    }
    const state::RowsRead read = this->RowsAfter(aTable, watch->second.version);
    if (!read.rows.empty()) {
      watch->second.isOpen = false;
      this->ScheduleOnHost(aHost, kNetworkDelay, [this, aHost, aTable, read] {
        this->DeliverUpdate(aHost,
                            { aTable, false, read.rows, read.version, {} });
      });
    }
  }

  const int dataCentres;
  TimePoint now{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<std::unique_ptr<Host>> hosts;
  int calls = 0;
  state::Version version = 0;
  std::map<std::string, state::Version> lastChange;
  std::map<std::string, std::map<std::string, state::StoredRow>> rows;
};

} // namespace kumquat::node
