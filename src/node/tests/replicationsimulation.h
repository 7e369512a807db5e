// Hosts of a deployment in virtual time, as far as the store's tables concern
// them: registration, connections, digests, and a store that counts its calls,
// forgets nothing, and may turn hosts away. Seeded by the hosts' names alone.

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

  explicit ReplicationSimulation(int aHosts, int aCentres = 5)
    : centres(aCentres)
  {
    for (int i = 0; i < aHosts; ++i) {
      this->hosts.push_back(std::make_unique<Host>());
      this->hosts.back()->name = "host-" + std::to_string(i);
    }
  }

  // All hosts start within that time.
  void StartAll(bool aIsFirstStart, int aWithinMs = 300)
  {
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      this->After(milliseconds(static_cast<int>(i) * 7 % aWithinMs),
                  [this, i, aIsFirstStart] { this->Start(i, aIsFirstStart); });
    }
  }

  void StartOne(std::size_t aHost) { this->Start(aHost, false); }

  // Without a word: its peers' connections stay open and silent.
  void PowerOff(std::size_t aHost)
  {
    this->hosts[aHost]->isUp = false;
    ++this->hosts[aHost]->run;
  }

  void PowerOffAll()
  {
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      this->PowerOff(i);
    }
    for (const auto& host : this->hosts) {
      host->reachable.clear();
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
      this->WakeWatch(i, aTable);
    }
  }

  void SetStoreRejects(std::size_t aHost, bool aTurned)
  {
    this->hosts[aHost]->isTurnedAway = aTurned;
  }

  void SetStoreRejectsAll(bool aTurned)
  {
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      this->SetStoreRejects(i, aTurned);
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

  // Hosts that are up and lack the last change of the table.
  int CountBehind(const std::string& aTable) const
  {
    const auto last = this->lastChange.find(aTable);
    return static_cast<int>(
      std::ranges::count_if(this->hosts, [&](const auto& aHost) {
        return aHost->isUp &&
               (!aHost->parts ||
                aHost->parts->tables.Find(aTable).version < last->second);
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

  // Runs when a follower gets news, before it can tell anyone.
  std::function<void(std::size_t)> onStoreUpdate;

private:
  static constexpr std::size_t kFirst = 64;
  static constexpr milliseconds kTrip{ 1 };
  static constexpr milliseconds kCall{ 4 };
  static constexpr milliseconds kTick{ 100 };
  static constexpr milliseconds kGather{ 250 };
  static constexpr milliseconds kWait{ 3000 };
  static constexpr milliseconds kPause{ 800 };
  static constexpr milliseconds kStandInsPause{ 3200 };
  static constexpr milliseconds kDetect{ 1000 };

  // What a host has in memory, gone with its process.
  struct Parts
  {
    Parts(const HostRow& aRow, ReplicationSimulation& aWorld, std::size_t aSelf,
          const std::set<std::string>& aReachable, bool aIsFirstStart)
      : peers({ aRow.host,
                static_cast<state::Incarnation>(aWorld.hosts[aSelf]->run) },
              aWorld.WorldClock(),
              [this](const state::HostId& aHost) {
                return this->neighbours.IsCellMember(aHost);
              })
      , neighbours({ aRow.host, aRow.dataCentre, aRow.processors },
                   { aWorld.WorldClock(),
                     [this](const state::HostId& aHost) {
                       return this->peers.LastHeardAt(aHost);
                     } })
      , tables(this->neighbours, this->peers, aReachable, aIsFirstStart,
               aWorld.HooksOf(aSelf))
      , registration(aRow, aIsFirstStart, aWorld.RegistrationHooksOf(aSelf))
    {
    }

    Peers peers;
    PeerTopology neighbours;
    TableReplication tables;
    Registration registration;
    bool reachesStore = true;
  };

  struct Watch
  {
    state::Version version = 0;
    // The call that waits is told from those before by it.
    int number = 0;
    bool isWaiting = false;
  };

  struct Host
  {
    std::string name;
    bool isUp = false;
    bool isTurnedAway = false;
    // Events of an ended run are dropped.
    int run = 0;
    std::unique_ptr<Parts> parts;
    std::set<std::string> reachable;
    std::map<std::string, Watch> watches;
    TimePoint dialledAt;
    // Before a store that failed is asked again.
    milliseconds pause = kPause;
    bool isProbing = false;
  };

  kumquat::Clock WorldClock()
  {
    return [this] { return this->now; };
  }

  void After(Duration aPause, std::function<void()> aWhat)
  {
    this->events.emplace(this->now + aPause, std::move(aWhat));
  }

  // On the host, unless its run has ended by then.
  void AfterOn(std::size_t aHost, Duration aPause, std::function<void()> aWhat)
  {
    this->After(aPause, [this, aHost, run = this->hosts[aHost]->run,
                         what = std::move(aWhat)] {
      if (this->hosts[aHost]->isUp && this->hosts[aHost]->run == run) {
        what();
      }
    });
  }

  HostRow RowOf(std::size_t aHost) const
  {
    constexpr std::size_t kLargeEach = 20;
    const std::string& name = this->hosts[aHost]->name;
    return {
      { name },
      name,
      { std::to_string(aHost % static_cast<std::size_t>(this->centres)) },
      aHost % kLargeEach < static_cast<std::size_t>(this->centres) ? 0.5 : 0.1
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
    ++host.run;
    host.reachable.clear();
    host.watches.clear();
    host.parts = std::make_unique<Parts>(this->RowOf(aHost), *this, aHost,
                                         host.reachable, aIsFirstStart);
    this->Tick(aHost);
  }

  void Tick(std::size_t aHost)
  {
    Host& host = *this->hosts[aHost];
    Parts& parts = *host.parts;
    for (const state::HostId& silent : parts.peers.TakeNewlySilent()) {
      host.reachable.erase(silent.value);
      this->hosts[this->IndexOf(silent.value)]->reachable.erase(host.name);
    }
    parts.registration.OnTimer();
    this->ChooseTables(aHost);
    this->SendDigests(aHost);
    if (this->now - host.dialledAt >= 5 * kTick) {
      this->Dial(aHost);
    }
    this->AfterOn(aHost, kTick, [this, aHost] { this->Tick(aHost); });
  }

  void ChooseTables(std::size_t aHost)
  {
    Parts& parts = *this->hosts[aHost]->parts;
    std::vector<state::HostId> live = parts.peers.LiveCellMembers();
    live.push_back({ this->hosts[aHost]->name });
    const bool isKnown = parts.registration.HasReadTable() ||
                         parts.tables.Find(kHostTable).version > 0;
    parts.tables.SetHostListState(isKnown ? HostListState::kKnown
                                  : parts.registration.HasLastReadFailed()
                                    ? HostListState::kUnavailable
                                    : HostListState::kUnknown);
    parts.tables.OnTimer(live);
  }

  void Dial(std::size_t aHost)
  {
    Host& host = *this->hosts[aHost];
    host.dialledAt = this->now;
    for (const auto& [id, address] :
         host.parts->neighbours.TakeConnectionChanges().toOpen) {
      this->After(kTrip, [this, aHost, to = this->IndexOf(id.value)] {
        Host& one = *this->hosts[aHost];
        Host& other = *this->hosts[to];
        if (one.isUp && other.isUp) {
          if (one.reachable.insert(other.name).second) {
            one.parts->tables.OnPeerUp({ other.name });
          }
          if (other.reachable.insert(one.name).second) {
            other.parts->tables.OnPeerUp({ one.name });
          }
        }
      });
    }
  }

  void SendDigests(std::size_t aHost)
  {
    Host& host = *this->hosts[aHost];
    Parts& parts = *host.parts;
    const PeerTopology::DigestRecipients due =
      parts.neighbours.TakeDigestRecipients(host.reachable, 0);
    std::vector<std::string> told = due.full;
    told.insert(told.end(), due.brief.begin(), due.brief.end());
    if (told.empty()) {
      return;
    }
    protocol::Frame frame;
    protocol::HostDigest digest;
    digest.sender.__set_host(host.name);
    digest.sender.__set_incarnation(host.run);
    digest.__set_number(parts.peers.NextDigest());
    digest.__set_reachesStore(parts.reachesStore);
    parts.tables.AddVersionsTo(digest);
    frame.__set_hostDigest(digest);
    for (const std::string& to : told) {
      this->Send(aHost, to, frame);
    }
  }

  void Send(std::size_t aFrom, const std::string& aTo,
            const protocol::Frame& aFrame)
  {
    const std::size_t to = this->IndexOf(aTo);
    if (!this->hosts[aFrom]->reachable.contains(aTo)) {
      return;
    }
    this->AfterOn(to, kTrip, [this, aFrom, to, aFrame] {
      TableReplication& tables = this->hosts[to]->parts->tables;
      const std::string& from = this->hosts[aFrom]->name;
      if (aFrame.__isset.hostDigest) {
        this->hosts[to]->parts->peers.OnDigest(aFrame.hostDigest);
        tables.OnPeerVersions(this->hosts[to]->parts->peers.All().at({ from }));
      } else if (aFrame.__isset.tableQuery) {
        tables.OnQuery(from, aFrame.tableQuery);
      } else if (aFrame.__isset.tableCopy) {
        tables.OnCopy(aFrame.tableCopy);
      } else if (aFrame.__isset.tableChange) {
        tables.OnChange(aFrame.tableChange);
      }
    });
  }

  TableReplication::Hooks HooksOf(std::size_t aHost)
  {
    TableReplication::Hooks hooks;
    hooks.now = this->WorldClock();
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
      this->hosts[aHost]->pause = aIsStandIn ? kStandInsPause : kPause;
      this->Follow(aHost, aTables);
    };
    hooks.readFullTable = [this, aHost](const std::string& aTable) {
      this->ReadWhole(aHost, aTable);
    };
    hooks.storeReceivedAt = [this](const std::string&) { return this->now; };
    hooks.rowsChanged = [this, aHost](const std::string& aTable,
                                      const std::vector<state::StoredRow>&,
                                      milliseconds) {
      if (aTable == kHostTable) {
        const TableReplica& copy =
          this->hosts[aHost]->parts->tables.Find(kHostTable);
        std::vector<state::StoredRow> known;
        std::ranges::transform(copy.rows, std::back_inserter(known),
                               [](const auto& aItem) { return aItem.second; });
        this->SetHosts(aHost, known);
        this->hosts[aHost]->parts->registration.OnTable(copy);
      }
    };
    hooks.isSettled = [](const std::string&) { return true; };
    hooks.caughtUp = [](const std::string&, Duration) {};
    hooks.announceVersions = [this, aHost] {
      this->hosts[aHost]->parts->neighbours.RequestImmediateDigest();
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
    this->hosts[aHost]->parts->neighbours.SetHosts(std::move(known));
    this->Dial(aHost);
  }

  Registration::Hooks RegistrationHooksOf(std::size_t aHost)
  {
    Registration::Hooks hooks;
    hooks.now = this->WorldClock();
    hooks.readFirstRows = [this,
                           aHost](const state::RowStore::ReadDone& aDone) {
      this->Call(aHost, [this, aDone](bool aIsServed) {
        if (!aIsServed) {
          aDone(make_error_code(protocol::ErrorKind::kStoreUnavailable));
          return;
        }
        state::RowsRead read = this->Rows(kHostTable, 0);
        read.isPartial = read.rows.size() > kFirst;
        read.rows.resize(std::min(read.rows.size(), kFirst));
        aDone(std::move(read));
      });
    };
    hooks.write = [this, aHost](const state::StoredRow& aRow,
                                const state::RowStore::WriteDone& aDone) {
      this->Call(aHost, [this, aRow, aDone](bool aIsServed) {
        if (!aIsServed) {
          aDone(state::WriteOutcome::kConflict, 0);
          return;
        }
        state::StoredRow row = aRow;
        row.version = ++this->version;
        this->rows[kHostTable][row.key] = row;
        this->lastChange[kHostTable] = this->version;
        for (std::size_t i = 0; i < this->hosts.size(); ++i) {
          this->WakeWatch(i, kHostTable);
        }
        aDone(state::WriteOutcome::kWritten, this->version);
      });
    };
    hooks.isTableFollowedByOthers = [this, aHost] {
      return this->hosts[aHost]->parts->neighbours.Cells().IsDivided();
    };
    hooks.firstRowsRead = [this, aHost](const state::RowsRead& aRead) {
      TableReplication& tables = this->hosts[aHost]->parts->tables;
      if (!aRead.isPartial) {
        tables.OnUpdate({ kHostTable, true, aRead.rows, aRead.version, {} });
      } else if (tables.Find(kHostTable).version == 0) {
        this->SetHosts(aHost, aRead.rows);
      }
      this->ChooseTables(aHost);
    };
    return hooks;
  }

  // --- the store

  void Call(std::size_t aHost, std::function<void(bool)> aDone)
  {
    ++this->calls;
    this->AfterOn(aHost, kCall, [this, aHost, done = std::move(aDone)] {
      done(!this->hosts[aHost]->isTurnedAway);
    });
  }

  state::RowsRead Rows(const std::string& aTable, state::Version aAfter)
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
    // One that stands in asks for the operators' table alone at first.
    host.isProbing = host.pause == kStandInsPause && host.watches.empty();
    for (const auto& [table, known] : aTables) {
      if (!host.watches.contains(table)) {
        host.watches[table].version = known;
        if (host.isProbing && table != platform::kOperatorTable) {
          continue;
        }
        if (known == 0) {
          this->ReadWhole(aHost, table);
        } else {
          this->Ask(aHost, table);
        }
      }
    }
  }

  void OnServed(std::size_t aHost, bool aIsServed)
  {
    Parts& parts = *this->hosts[aHost]->parts;
    const bool returned =
      aIsServed && !std::exchange(parts.reachesStore, aIsServed);
    const bool begins =
      aIsServed && std::exchange(this->hosts[aHost]->isProbing, false);
    parts.reachesStore = aIsServed;
    parts.tables.SetStoreAvailable(aIsServed);
    if (returned || begins) {
      for (const auto& [table, watch] : this->hosts[aHost]->watches) {
        this->After(milliseconds(0),
                    [this, aHost, table] { this->Ask(aHost, table); });
      }
    }
  }

  // While the store is out the operators' table alone is asked for.
  void AskLater(std::size_t aHost, const std::string& aTable)
  {
    Host& host = *this->hosts[aHost];
    const auto watch = host.watches.find(aTable);
    if (watch == host.watches.end()) {
      return;
    }
    watch->second.isWaiting = false;
    if (aTable == platform::kOperatorTable) {
      this->AfterOn(aHost, host.pause,
                    [this, aHost, aTable] { this->Ask(aHost, aTable); });
    }
  }

  void ReadWhole(std::size_t aHost, const std::string& aTable)
  {
    this->Call(aHost, [this, aHost, aTable](bool aIsServed) {
      this->OnServed(aHost, aIsServed);
      Host& host = *this->hosts[aHost];
      host.parts->tables.OnReadEnded(aTable, kCall);
      if (!aIsServed) {
        this->AskLater(aHost, aTable);
        return;
      }
      const state::RowsRead read = this->Rows(aTable, 0);
      this->Tell(aHost, { aTable, true, read.rows, read.version, {} });
    });
  }

  void Tell(std::size_t aHost, const TableUpdate& aNews)
  {
    if (this->onStoreUpdate) {
      this->onStoreUpdate(aHost);
    }
    Host& host = *this->hosts[aHost];
    if (!host.isUp) {
      return;
    }
    const auto watch = host.watches.find(aNews.table);
    if (watch != host.watches.end()) {
      watch->second.version = aNews.version;
    }
    host.parts->tables.OnUpdate(aNews);
    this->AfterOn(aHost, kGather, [this, aHost, table = aNews.table] {
      this->Ask(aHost, table);
    });
  }

  void Ask(std::size_t aHost, const std::string& aTable)
  {
    Host& host = *this->hosts[aHost];
    const auto found = host.watches.find(aTable);
    if (found == host.watches.end() || found->second.isWaiting) {
      return;
    }
    found->second.isWaiting = true;
    const int number = ++found->second.number;
    this->Call(aHost, [this, aHost, aTable, number](bool aIsServed) {
      this->OnServed(aHost, aIsServed);
      if (!aIsServed) {
        this->AskLater(aHost, aTable);
        return;
      }
      this->WakeWatch(aHost, aTable);
      // Only the operators' table is asked of often; see StoreDuty.
      const milliseconds wait =
        aTable == platform::kOperatorTable ? kWait : 7 * kWait;
      this->AfterOn(aHost, wait, [this, aHost, aTable, number] {
        const auto watch = this->hosts[aHost]->watches.find(aTable);
        if (watch != this->hosts[aHost]->watches.end() &&
            watch->second.number == number && watch->second.isWaiting) {
          watch->second.isWaiting = false;
          this->Ask(aHost, aTable);
        }
      });
    });
  }

  void WakeWatch(std::size_t aHost, const std::string& aTable)
  {
    Host& host = *this->hosts[aHost];
    const auto watch = host.watches.find(aTable);
    if (!host.isUp || watch == host.watches.end() || !watch->second.isWaiting ||
        host.isTurnedAway) {
      return;
    }
    const state::RowsRead read = this->Rows(aTable, watch->second.version);
    if (!read.rows.empty()) {
      watch->second.isWaiting = false;
      this->AfterOn(aHost, kTrip, [this, aHost, aTable, read] {
        this->Tell(aHost, { aTable, false, read.rows, read.version, {} });
      });
    }
  }

  const int centres;
  TimePoint now{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<std::unique_ptr<Host>> hosts;
  int calls = 0;
  state::Version version = 0;
  std::map<std::string, state::Version> lastChange;
  std::map<std::string, std::map<std::string, state::StoredRow>> rows;
};

} // namespace kumquat::node
