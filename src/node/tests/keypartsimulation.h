// Simulates hosts with keyed services, a store that refuses large rows, and
// many upstreams that hold leases on keys, in virtual time. Hosts exchange
// digests and maps, fail and start again; the store fails for some of them.

#pragma once

#include "node/internal/keyedservices.h"
#include "ownership/tests/fakeupstream.h"
#include "protocol/errorkind.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::node {

class KeyPartSimulation
{
public:
  using milliseconds = std::chrono::milliseconds;
  using FakeUpstream = ownership::tests::FakeUpstream;

  KeyPartSimulation(int aHosts, int aUpstreams, unsigned aSeed = 1)
    : random(aSeed)
  {
    this->AddUpstreams(aUpstreams);
    for (int i = 0; i < aHosts; ++i) {
      this->StartHost("h" + std::to_string(i));
    }
  }

  inline static const state::ServiceName kService{ "stoc" };
  static constexpr std::size_t kMaxRowBytes = 65'536;

  // Calls to the store of these hosts fail.
  std::set<std::string> rejectedByStore;
  // Hosts that exchange nothing with peers, but reach upstreams and the store.
  std::set<std::string> cutFromPeers;
  // Percentage of writes that get no response; half of them are executed.
  int lostResponsePercent = 0;
  // See KeyedServices::Hooks.
  bool reportsOwnerTimes = false;

  void AddUpstreams(int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      const std::string name = "u" + std::to_string(this->upstreams.size());
      this->upstreams[name].holder = { { name }, 1 };
      for (auto& [hostName, host] : this->hosts) {
        this->PutEntry(*host, name);
      }
    }
  }

  // The upstream announces that it will end. It still runs what it holds.
  void Leave(const std::string& aUpstream)
  {
    this->leaving.insert(aUpstream);
    for (auto& [hostName, host] : this->hosts) {
      this->PutEntry(*host, aUpstream);
    }
  }

  void StartHost(const std::string& aName)
  {
    auto host = std::make_shared<Host>();
    host->ref = { { aName }, ++this->lastIncarnation };
    host->peers = std::make_unique<Peers>(
      host->ref, [this] { return this->now; },
      [](const state::HostId&) { return true; });
    host->keyed = std::make_unique<KeyedServices>(
      host->ref, milliseconds(10'000), host->upstreams, *host->peers,
      this->HooksOf(host));
    for (const auto& [name, upstream] : this->upstreams) {
      this->PutEntry(*host, name);
    }
    host->keyed->SetServices({ kService });
    this->hosts[aName] = host;
    this->Tick(host);
  }

  void KillHost(const std::string& aName)
  {
    this->hosts.at(aName)->isAlive = false;
    this->hosts.erase(aName);
  }

  void RunFor(milliseconds aTime)
  {
    constexpr milliseconds kCheckInterval{ 25 };
    const TimePoint end = this->now + aTime;
    while (this->now < end) {
      this->RunEvents(std::min<TimePoint>(end, this->now + kCheckInterval));
      if (this->violation.empty()) {
        this->violation =
          ownership::tests::FindTwoHolders(this->upstreams, this->now);
      }
    }
  }

  bool RunUntil(const std::function<bool()>& aCondition, milliseconds aTime)
  {
    constexpr milliseconds kStep{ 50 };
    const TimePoint end = this->now + aTime;
    while (!aCondition() && this->now < end) {
      this->RunFor(kStep);
    }
    return aCondition();
  }

  // Share of the keys on which their mapped owner has a lease, at every host
  // that is not cut off.
  double ServedShare() const
  {
    constexpr int kStep = 101;
    int served = 0;
    int all = 0;
    for (int key = 0; key <= ownership::kLastKey; key += kStep) {
      ++all;
      served += this->IsServed(static_cast<ownership::Key>(key)) ? 1 : 0;
    }
    return static_cast<double>(served) / all;
  }

  bool AreAllServed() const { return this->ServedShare() >= 1; }

  // The hosts that assign parts of the service.
  std::vector<std::string> Assigners() const
  {
    std::vector<std::string> names;
    for (const auto& [name, host] : this->hosts) {
      if (host->keyed->IsAssigner()) {
        names.push_back(name);
      }
    }
    return names;
  }

  std::vector<std::string> Hosts() const
  {
    std::vector<std::string> names;
    std::ranges::transform(this->hosts, std::back_inserter(names),
                           [](const auto& aItem) { return aItem.first; });
    return names;
  }

  KeyedServices& KeyedAt(const std::string& aHost)
  {
    return *this->hosts.at(aHost)->keyed;
  }
  routing::Upstreams& UpstreamsAt(const std::string& aHost)
  {
    return this->hosts.at(aHost)->upstreams;
  }
  TimePoint Now() const { return this->now; }
  // Planned moves at all hosts.
  const std::map<ownership::MoveReason, int>& Moves() const
  {
    return this->moves;
  }
  int SecondMoves() const { return this->secondMoves; }

  // Number of parts with an assignment in the store, over all layouts.
  std::size_t StoredParts() const { return this->stored.size(); }
  // Number of maps and changes of maps that hosts have sent to peers.
  int SentMaps() const { return this->sentMaps; }
  std::size_t LargestRow() const { return this->largestRow; }
  int RefusedWrites() const { return this->refusedWrites; }
  const std::string& Violation() const { return this->violation; }
  const std::vector<std::string>& Log() const { return this->log; }

private:
  struct Host
  {
    state::HostRef ref;
    bool isAlive = true;
    routing::Upstreams upstreams;
    std::unique_ptr<Peers> peers;
    std::unique_ptr<KeyedServices> keyed;
    TimePoint digestDueAt;
  };

  using HostPtr = std::shared_ptr<Host>;

  static constexpr milliseconds kTick{ 100 };
  static constexpr milliseconds kDigestInterval{ 300 };
  static constexpr milliseconds kLinkDelay{ 2 };
  static constexpr milliseconds kCallTimeout{ 700 };

  void RunEvents(TimePoint aEnd)
  {
    while (!this->events.empty() && this->events.begin()->first <= aEnd) {
      const auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    this->now = aEnd;
  }

  void Schedule(milliseconds aDelay, std::function<void()> aWork)
  {
    this->events.emplace(this->now + aDelay, std::move(aWork));
  }

  void RunOnHost(const HostPtr& aHost, milliseconds aDelay,
                 std::function<void()> aWork)
  {
    this->Schedule(aDelay, [aHost, work = std::move(aWork)] {
      if (aHost->isAlive) {
        work();
      }
    });
  }

  bool Happens(int aPercent)
  {
    return std::uniform_int_distribution<int>(1, 100)(this->random) <= aPercent;
  }

  void PutEntry(Host& aHost, const std::string& aName)
  {
    routing::UpstreamEntry entry;
    entry.id = { aName };
    entry.service = kService;
    entry.address = aName;
    entry.slots = 3;
    entry.startedMs = 1;
    entry.leaving = this->leaving.contains(aName);
    entry.sequence = entry.leaving ? 2 : 1;
    aHost.upstreams.PutEntry(entry, this->now);
  }

  bool AreConnected(const Host& aOne, const Host& aOther) const
  {
    return &aOne != &aOther &&
           !this->cutFromPeers.contains(aOne.ref.host.value) &&
           !this->cutFromPeers.contains(aOther.ref.host.value);
  }

  void Tick(const HostPtr& aHost)
  {
    this->RunOnHost(aHost, kTick, [this, aHost] {
      aHost->keyed->OnTimer();
      for (const auto& update : aHost->keyed->TakeMapUpdates()) {
        for (const auto& [name, peer] : this->hosts) {
          if (this->AreConnected(*aHost, *peer)) {
            ++this->sentMaps;
            this->RunOnHost(peer, kLinkDelay, [peer = peer, update] {
              peer->keyed->OnMapUpdate(update);
            });
          }
        }
      }
      if (this->now >= aHost->digestDueAt) {
        aHost->digestDueAt = this->now + kDigestInterval;
        this->SendDigest(aHost);
      }
      this->Tick(aHost);
    });
  }

  void SendDigest(const HostPtr& aHost)
  {
    protocol::HostDigest digest;
    digest.sender.__set_host(aHost->ref.host.value);
    digest.sender.__set_incarnation(aHost->ref.incarnation);
    digest.__set_number(aHost->peers->NextDigest());
    digest.__set_reachesStore(true);
    digest.__set_keyMaps(aHost->keyed->MapVersions());
    for (const auto& [name, peer] : this->hosts) {
      if (!this->AreConnected(*aHost, *peer)) {
        continue;
      }
      this->RunOnHost(peer, kLinkDelay, [this, peer = peer, aHost, digest] {
        peer->peers->OnDigest(digest);
        const KnownPeer& sender = peer->peers->All().at(aHost->ref.host);
        peer->keyed->OnPeerParts(sender);
        for (const auto& update : peer->keyed->TakeFullMapsFor(sender)) {
          ++this->sentMaps;
          this->RunOnHost(aHost, kLinkDelay, [aHost, update] {
            aHost->keyed->OnMapUpdate(update);
          });
        }
      });
    }
  }

  KeyedServices::Hooks HooksOf(const HostPtr& aHost)
  {
    const std::weak_ptr<Host> weak = aHost;
    KeyedServices::Hooks hooks;
    hooks.restingPart = [](const state::UpstreamId&) { return 0.0; };
    hooks.limitOf = [](const state::UpstreamId&) {
      return std::optional<double>();
    };
    hooks.now = [this] { return this->now; };
    hooks.store.read = [this, weak](const std::string&,
                                    const std::string& aPartition,
                                    state::RowStore::ReadDone aDone) {
      this->Read(weak.lock(), aPartition, std::move(aDone));
    };
    hooks.store.write = [this, weak](const state::RowsWrite& aWrite,
                                     state::RowStore::WriteDone aDone) {
      this->Write(weak.lock(), aWrite, std::move(aDone));
    };
    hooks.sendCommand = [this, weak](const ownership::LeaseCommand& aCommand,
                                     ownership::Assigner::CommandDone aDone) {
      this->Command(weak.lock(), aCommand, std::move(aDone));
    };
    hooks.followsStore = [] { return true; };
    hooks.reportsOwnerTimes = [this] { return this->reportsOwnerTimes; };
    hooks.countMove = [this](ownership::MoveReason aReason, bool aIsSecond) {
      ++this->moves[aReason];
      this->secondMoves += aIsSecond ? 1 : 0;
    };
    hooks.publishMaps = [] {};
    hooks.ownersChanged = [] {};
    hooks.log = [this, weak](std::string_view aPart, std::string_view aWhat,
                             std::string_view aDetail) {
      this->log.push_back(weak.lock()->ref.host.value + " " +
                          std::string(aPart) + " " + std::string(aWhat) + " " +
                          std::string(aDetail));
    };
    return hooks;
  }

  void Read(const HostPtr& aHost, const std::string& aPartition,
            state::RowStore::ReadDone aDone)
  {
    if (this->rejectedByStore.contains(aHost->ref.host.value)) {
      this->RunOnHost(aHost, kCallTimeout, [done = std::move(aDone)] {
        done(make_error_code(protocol::ErrorKind::kStoreUnavailable));
      });
      return;
    }
    state::RowsRead read;
    for (const auto& [key, row] : this->stored[aPartition]) {
      read.rows.push_back(row);
    }
    this->RunOnHost(aHost, 2 * kLinkDelay,
                    [done = std::move(aDone), read] { done(read); });
  }

  void Write(const HostPtr& aHost, const state::RowsWrite& aWrite,
             state::RowStore::WriteDone aDone)
  {
    if (this->rejectedByStore.contains(aHost->ref.host.value)) {
      this->RunOnHost(aHost, kCallTimeout, [done = std::move(aDone)] {
        done(state::WriteOutcome::kUnknown, 0);
      });
      return;
    }
    const bool isLost = this->Happens(this->lostResponsePercent);
    state::WriteOutcome outcome = state::WriteOutcome::kUnknown;
    if (!isLost || this->Happens(50)) {
      outcome = this->Apply(aWrite);
    }
    const state::Version written = this->version;
    this->RunOnHost(aHost, isLost ? kCallTimeout : 2 * kLinkDelay,
                    [done = std::move(aDone), isLost, outcome, written] {
                      done(isLost ? state::WriteOutcome::kUnknown : outcome,
                           written);
                    });
  }

  state::WriteOutcome Apply(const state::RowsWrite& aWrite)
  {
    auto& rows = this->stored[aWrite.part];
    const bool holds =
      std::ranges::all_of(aWrite.conditions, [&rows](const auto& aCondition) {
        const auto row = rows.find(aCondition.key);
        return aCondition.version ==
               (row == rows.end() ? 0 : row->second.version);
      });
    if (!holds) {
      return state::WriteOutcome::kConflict;
    }
    for (const state::StoredRow& row : aWrite.puts) {
      this->largestRow = std::max(this->largestRow, row.value.size());
      if (row.value.size() > kMaxRowBytes) {
        ++this->refusedWrites;
        return state::WriteOutcome::kRefused;
      }
    }
    ++this->version;
    for (state::StoredRow row : aWrite.puts) {
      row.version = this->version;
      rows[row.key] = row;
    }
    return state::WriteOutcome::kWritten;
  }

  void Command(const HostPtr& aHost, const ownership::LeaseCommand& aCommand,
               ownership::Assigner::CommandDone aDone)
  {
    this->Schedule(
      kLinkDelay, [this, aHost, aCommand, done = std::move(aDone)] {
        FakeUpstream& upstream = this->upstreams.at(aCommand.upstream.value);
        const auto result = upstream.Apply(aCommand, this->now);
        this->RunOnHost(aHost, kLinkDelay, [done, result] {
          done({ result, {} });
        });
      });
  }

  bool IsServed(ownership::Key aKey) const
  {
    return std::ranges::all_of(this->hosts, [&](const auto& aItem) {
      if (this->cutFromPeers.contains(aItem.first)) {
        return true;
      }
      const auto owner = aItem.second->keyed->OwnerOf(kService, aKey).upstream;
      const auto found = this->upstreams.find(owner.value);
      return found != this->upstreams.end() &&
             std::ranges::any_of(
               found->second.leases, [&](const FakeUpstream::Lease& aLease) {
                 return aLease.first <= aKey && aKey <= aLease.last &&
                        aLease.expiresAt > this->now;
               });
    });
  }

  TimePoint now{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> events;
  std::mt19937 random;
  std::map<std::string, HostPtr> hosts;
  std::map<std::string, FakeUpstream> upstreams;
  std::set<std::string> leaving;
  std::map<std::string, std::map<std::string, state::StoredRow>> stored;
  state::Version version = 0;
  std::size_t largestRow = 0;
  int refusedWrites = 0;
  int sentMaps = 0;
  std::map<ownership::MoveReason, int> moves;
  int secondMoves = 0;
  state::Incarnation lastIncarnation = 0;
  std::vector<std::string> log;
  std::string violation;
};

} // namespace kumquat::node
