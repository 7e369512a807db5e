// Hosts with assigners, a store and upstreams that hold keys, in one process
// with a clock held in hand. Answers take time, get lost or come late, hosts
// freeze, stop and are cut off; after every step the world checks that no key
// is held by two upstreams.

#pragma once

#include "ownership/assigner.h"
#include "ownership/digestsendtimes.h"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::ownership::tests {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 100 };
constexpr milliseconds kWay{ 2 };
constexpr milliseconds kStoreTimeout{ 1500 };
constexpr milliseconds kOrderTimeout{ 700 };

struct FakeUpstream
{
  struct Held
  {
    Key first = 0;
    Key last = 0;
    FencingToken fence = 0;
    TimePoint until;
  };

  Holder holder;
  bool alive = true;
  bool mayOwn = true;
  // No order reaches it; requests may.
  bool silent = false;
  // It applies grants, unanswered, so much later; their time counts from their
  // arrival.
  milliseconds late{ 0 };
  std::vector<Held> holds;
  // Highest tokens seen, by range.
  std::vector<Held> seen;
  int releases = 0;
};

class AssignmentSimulation
{
public:
  explicit AssignmentSimulation(int aHosts, int aUpstreams, unsigned aSeed = 1)
    : random(aSeed)
  {
    for (int i = 0; i < aUpstreams; ++i) {
      this->AddUpstream("u" + std::to_string(i), 1);
    }
    for (int i = 0; i < aHosts; ++i) {
      this->StartHost("h" + std::to_string(i));
    }
  }

  // --- time

  TimePoint Now() const { return this->now; }

  void RunFor(Duration aTime)
  {
    const TimePoint end = this->now + aTime;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto first = this->events.begin();
      this->now = first->first;
      const auto work = std::move(first->second);
      this->events.erase(first);
      work();
      this->Check();
    }
    this->now = end;
  }

  // True as soon as it holds; false where it does not within aTime.
  bool RunUntil(const std::function<bool()>& aHolds, milliseconds aTime)
  {
    const TimePoint end = this->now + aTime;
    while (!aHolds() && this->now < end) {
      this->RunFor(milliseconds(10));
    }
    return aHolds();
  }

  // Between two digests of a host.
  milliseconds digestPause{ kTick };

  // --- troubles

  bool storeDown = false;
  // Writes that are carried out and not answered, in percent.
  int lostAnswers = 0;
  // Hosts that the store turns away.
  std::set<std::string> turnedAway;
  // Hosts that hear no peer and are not heard; they reach upstreams and store.
  std::set<std::string> cutFromPeers;

  // By value: the name may be the one that is overwritten.
  void AddUpstream(std::string aName, std::int64_t aBorn)
  {
    FakeUpstream& one = this->upstreams[aName];
    one = {};
    one.holder = { { aName }, aBorn };
  }

  void StartHost(const std::string& aName)
  {
    auto host = std::make_shared<Host>();
    host->name = aName;
    host->incarnation = ++this->lastIncarnation;
    this->hosts[aName] = host;
    host->assigner = std::make_unique<Assigner>(
      Assigner::Options{ { "stoc" }, host->Ref(), milliseconds(10'000) },
      this->HooksOf(host));
    this->Tick(host);
  }

  void KillHost(const std::string& aName)
  {
    this->hosts.at(aName)->alive = false;
    this->hosts.erase(aName);
  }

  void Freeze(const std::string& aName)
  {
    this->hosts.at(aName)->frozen = true;
  }

  void Thaw(const std::string& aName)
  {
    const HostPtr host = this->hosts.at(aName);
    host->frozen = false;
    const auto held = std::move(host->held);
    host->held.clear();
    for (const auto& work : held) {
      this->At(milliseconds(1), work);
    }
  }

  FakeUpstream& Upstream(const std::string& aName)
  {
    return this->upstreams.at(aName);
  }
  std::map<std::string, FakeUpstream>& Upstreams() { return this->upstreams; }

  std::vector<std::string> Hosts() const
  {
    std::vector<std::string> names;
    names.reserve(this->hosts.size());
    for (const auto& [name, host] : this->hosts) {
      names.push_back(name);
    }
    return names;
  }

  bool IsFrozen(const std::string& aName) const
  {
    return this->hosts.at(aName)->frozen;
  }

  // --- views

  // The host whose claim the store has; empty where it does not run.
  std::string AssignerName() const
  {
    const auto found = this->hosts.find(this->stored.assigner.host.value);
    return found != this->hosts.end() && found->second->assigner->IsAssigner()
             ? found->first
             : "";
  }

  Assigner& AssignerOf(const std::string& aName)
  {
    return *this->hosts.at(aName)->assigner;
  }

  // Upstream that holds the key now; empty where none does.
  std::string HolderOf(Key aKey) const
  {
    for (const auto& [name, one] : this->upstreams) {
      for (const FakeUpstream::Held& held : one.holds) {
        if (one.alive && held.first <= aKey && aKey <= held.last &&
            held.until > this->now) {
          return name;
        }
      }
    }
    return "";
  }

  bool AllHeld() const
  {
    constexpr int kStep = 257;
    for (int key = 0; key <= kLastKey; key += kStep) {
      if (this->HolderOf(static_cast<Key>(key)).empty()) {
        return false;
      }
    }
    return true;
  }

  // Keys held twice, with the time; empty where that never was.
  const std::string& Violation() const { return this->violation; }
  const std::vector<std::string>& Log() const { return this->log; }

private:
  struct Host
  {
    std::string name;
    state::Incarnation incarnation = 0;
    bool alive = true;
    bool frozen = false;
    std::vector<std::function<void()>> held;
    std::unique_ptr<Assigner> assigner;
    std::map<std::string, PeerStatus> peers;
    MapVersion map;
    DigestSendTimes times;
    TimePoint digestDue;
    // Last digest of each peer.
    std::map<std::string, std::int64_t> heard;

    state::HostRef Ref() const { return { { this->name }, this->incarnation }; }
  };

  using HostPtr = std::shared_ptr<Host>;

  void At(milliseconds aDelay, std::function<void()> aWork)
  {
    this->events.emplace(this->now + aDelay, std::move(aWork));
  }

  // Runs on the host: not when it has ended, and later when it stands still.
  void OnHost(const HostPtr& aHost, milliseconds aDelay,
              std::function<void()> aWork)
  {
    this->At(aDelay, [aHost, work = std::move(aWork)] {
      if (!aHost->alive) {
        return;
      }
      if (aHost->frozen) {
        aHost->held.push_back(work);
        return;
      }
      work();
    });
  }

  void Tick(const HostPtr& aHost)
  {
    this->OnHost(aHost, kTick, [this, aHost] {
      aHost->assigner->OnTimer();
      if (this->now >= aHost->digestDue) {
        aHost->digestDue = this->now + this->digestPause;
        this->SendDigest(aHost);
      }
      this->Tick(aHost);
    });
  }

  void SendDigest(const HostPtr& aHost)
  {
    const PeerStatus digest{ aHost->Ref(), {}, false, aHost->map, {} };
    const std::int64_t number = aHost->times.RecordSend(this->now);
    const std::int64_t heard = aHost->heard[aHost->map.assigner.host.value];
    for (const auto& [name, peer] : this->hosts) {
      if (peer == aHost || this->cutFromPeers.contains(name) ||
          this->cutFromPeers.contains(aHost->name)) {
        continue;
      }
      this->OnHost(peer, kWay,
                   [this, peer = peer, view = digest, number, heard]() mutable {
                     view.lastHeardAt = this->now;
                     view.mapConfirmedAt = peer->times.SentAt(heard);
                     peer->heard[view.host.host.value] = number;
                     peer->peers[view.host.host.value] = view;
                     if (view.mapVersion.IsNewerThan(peer->map)) {
                       peer->map = view.mapVersion;
                     }
                   });
    }
  }

  bool ReachesStore(const Host& aHost) const
  {
    return !this->storeDown && !this->turnedAway.contains(aHost.name);
  }

  bool Chance(int aPercent)
  {
    return std::uniform_int_distribution<int>(1, 100)(this->random) <= aPercent;
  }

  Assigner::Hooks HooksOf(const HostPtr& aHost)
  {
    const std::weak_ptr<Host> weak = aHost;
    Assigner::Hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.read = [this, weak](Assigner::ReadDone aDone) {
      this->Read(weak.lock(), std::move(aDone));
    };
    hooks.write = [this, weak](const AssignmentWrite& aWrite,
                               Assigner::WriteDone aDone) {
      this->Write(weak.lock(), aWrite, std::move(aDone));
    };
    hooks.sendCommand = [this, weak](const LeaseCommand& aOrder,
                                     Assigner::CommandDone aDone) {
      this->Carry(weak.lock(), aOrder, std::move(aDone));
    };
    hooks.candidates = [this] {
      std::vector<OwnerCandidate> owners;
      for (const auto& [name, one] : this->upstreams) {
        if (one.alive) {
          owners.push_back({ one.holder, name, one.mayOwn, false, 1 });
        }
      }
      return owners;
    };
    hooks.peers = [weak] {
      std::vector<PeerStatus> views;
      for (const auto& [name, view] : weak.lock()->peers) {
        views.push_back(view);
      }
      return views;
    };
    hooks.publish = [weak] {
      const HostPtr host = weak.lock();
      if (host->assigner->CurrentMapVersion().IsNewerThan(host->map)) {
        host->map = host->assigner->CurrentMapVersion();
      }
    };
    hooks.log = [this, weak](std::string_view aWhat, std::string_view aDetail) {
      this->log.push_back(std::to_string(this->Millis()) + " " +
                          weak.lock()->name + " " + std::string(aWhat) + " " +
                          std::string(aDetail));
    };
    return hooks;
  }

  void Read(const HostPtr& aHost, Assigner::ReadDone aDone)
  {
    this->At(kWay, [this, aHost, done = std::move(aDone)] {
      if (!this->ReachesStore(*aHost)) {
        this->OnHost(aHost, kStoreTimeout, [done] {
          done(std::make_error_code(std::errc::timed_out));
        });
        return;
      }
      this->OnHost(aHost, kWay, [done, read = this->stored] { done(read); });
    });
  }

  void Write(const HostPtr& aHost, const AssignmentWrite& aWrite,
             Assigner::WriteDone aDone)
  {
    this->At(kWay, [this, aHost, write = aWrite, done = std::move(aDone)] {
      if (!this->ReachesStore(*aHost)) {
        this->OnHost(aHost, kStoreTimeout,
                     [done] { done(state::WriteOutcome::kUnknown, 0); });
        return;
      }
      if (this->Chance(this->lostAnswers)) {
        // Carried out now or seconds later, if it still may be.
        this->At(milliseconds(this->Chance(50) ? 0 : 3000),
                 [this, write] { this->Perform(write); });
        this->OnHost(aHost, kStoreTimeout,
                     [done] { done(state::WriteOutcome::kUnknown, 0); });
        return;
      }
      const state::Version version = this->Perform(write);
      this->OnHost(aHost, kWay, [done, version] {
        done(version == 0 ? state::WriteOutcome::kConflict
                          : state::WriteOutcome::kWritten,
             version);
      });
    });
  }

  // 0 where a condition does not hold.
  state::Version Perform(const AssignmentWrite& aWrite)
  {
    if (aWrite.expected.claimVersion != this->stored.claimVersion ||
        aWrite.expected.assignmentVersion != this->stored.assignmentVersion) {
      return 0;
    }
    const state::Version version = ++this->lastVersion;
    if (aWrite.claim) {
      this->stored.assigner = *aWrite.claim;
      this->stored.claimVersion = version;
    }
    this->stored.assignmentText = aWrite.assignmentText;
    this->stored.assignmentVersion = version;
    return version;
  }

  void Carry(const HostPtr& aHost, const LeaseCommand& aOrder,
             Assigner::CommandDone aDone)
  {
    this->At(kWay, [this, aHost, order = aOrder, done = std::move(aDone)] {
      FakeUpstream& upstream = this->upstreams.at(order.upstream.value);
      const auto noAnswer = [this, aHost, done] {
        this->OnHost(aHost, kOrderTimeout, [done] {
          done({ LeaseCommandResult::kNoAnswer, {} });
        });
      };
      if (!upstream.alive || upstream.silent) {
        noAnswer();
        return;
      }
      const TimePoint arrived = this->now;
      if (upstream.late.count() > 0 && order.kind == LeaseCommandKind::kGrant) {
        this->At(upstream.late, [this, order, arrived,
                                 born = upstream.holder.startedMs] {
          FakeUpstream& same = this->upstreams.at(order.upstream.value);
          if (same.alive && same.holder.startedMs == born) {
            Apply(same, order, arrived);
          }
        });
        noAnswer();
        return;
      }
      const LeaseCommandResult result = Apply(upstream, order, arrived);
      this->OnHost(aHost, kWay, [done, result] {
        done({ result, result == LeaseCommandResult::kDone ? "work" : "" });
      });
    });
  }

  static bool Overlaps(const FakeUpstream::Held& aHeld,
                       const LeaseCommand& aOrder)
  {
    return aHeld.first <= aOrder.last && aOrder.first <= aHeld.last;
  }

  static LeaseCommandResult Apply(FakeUpstream& aUpstream,
                                  const LeaseCommand& aOrder,
                                  TimePoint aArrived)
  {
    if (aOrder.kind == LeaseCommandKind::kRelease) {
      ++aUpstream.releases;
      aUpstream.seen.push_back(
        { aOrder.first, aOrder.last, aOrder.fencingToken, aArrived });
      Cut(aUpstream.holds, aOrder);
      return LeaseCommandResult::kDone;
    }
    const bool fenced =
      std::ranges::any_of(aUpstream.seen, [&](const FakeUpstream::Held& aSeen) {
        return Overlaps(aSeen, aOrder) && aSeen.fence > aOrder.fencingToken;
      });
    if (fenced) {
      return LeaseCommandResult::kFenced;
    }
    Cut(aUpstream.holds, aOrder);
    Cut(aUpstream.seen, aOrder);
    // Its clock runs 2% slow.
    const auto until = aArrived + std::chrono::duration_cast<Duration>(
                                    aOrder.leaseDuration * 1.02);
    const FakeUpstream::Held held{ aOrder.first, aOrder.last,
                                   aOrder.fencingToken, until };
    aUpstream.holds.push_back(held);
    aUpstream.seen.push_back(held);
    return LeaseCommandResult::kDone;
  }

  static void Cut(std::vector<FakeUpstream::Held>& aHolds,
                  const LeaseCommand& aOrder)
  {
    std::vector<FakeUpstream::Held> left;
    for (const FakeUpstream::Held& held : aHolds) {
      if (!Overlaps(held, aOrder)) {
        left.push_back(held);
        continue;
      }
      if (held.first < aOrder.first) {
        left.push_back({ held.first, static_cast<Key>(aOrder.first - 1),
                         held.fence, held.until });
      }
      if (held.last > aOrder.last) {
        left.push_back({ static_cast<Key>(aOrder.last + 1), held.last,
                         held.fence, held.until });
      }
    }
    aHolds = std::move(left);
  }

  std::int64_t Millis() const
  {
    return std::chrono::duration_cast<milliseconds>(
             this->now.time_since_epoch())
      .count();
  }

  void Check()
  {
    struct Owned
    {
      Key first;
      Key last;
      std::string name;
    };
    std::vector<Owned> owned;
    for (const auto& [name, one] : this->upstreams) {
      for (const FakeUpstream::Held& held : one.holds) {
        if (one.alive && held.until > this->now) {
          owned.push_back({ held.first, held.last, name });
        }
      }
    }
    std::ranges::sort(owned, {}, &Owned::first);
    for (std::size_t i = 1; i < owned.size(); ++i) {
      if (owned[i].first <= owned[i - 1].last &&
          owned[i].name != owned[i - 1].name && this->violation.empty()) {
        this->violation = std::to_string(owned[i].first) + " held by " +
                          owned[i - 1].name + " and " + owned[i].name + " at " +
                          std::to_string(this->Millis());
      }
    }
  }

  TimePoint now{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> events;
  std::mt19937 random;
  std::map<std::string, HostPtr> hosts;
  std::map<std::string, FakeUpstream> upstreams;
  AssignmentRows stored;
  state::Version lastVersion = 0;
  state::Incarnation lastIncarnation = 0;
  std::vector<std::string> log;
  std::string violation;
};

} // namespace kumquat::ownership::tests
