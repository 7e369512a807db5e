// Simulates hosts with assigners, a store, and upstreams that hold leases on
// keys, in one process and in virtual time. Responses take time, get lost or
// arrive late, and hosts are paused, stopped and cut off from others. After
// each event the simulation checks that no two upstreams hold a lease on one
// key.

#pragma once

#include "ownership/assigner.h"
#include "ownership/digestsendtimes.h"
#include "ownership/tests/fakeupstream.h"

#include <cppunit/TestAssert.h>

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
constexpr milliseconds kLinkDelay{ 2 };
constexpr milliseconds kStoreTimeout{ 1500 };
constexpr milliseconds kCommandTimeout{ 700 };

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
      this->CheckForTwoHolders();
    }
    this->now = end;
  }

  // Runs until aCondition is true. Returns false if that takes longer than
  // aTime.
  bool RunUntil(const std::function<bool()>& aCondition, milliseconds aTime)
  {
    const TimePoint end = this->now + aTime;
    while (!aCondition() && this->now < end) {
      this->RunFor(milliseconds(10));
    }
    return aCondition();
  }

  // Time between two digests of a host.
  milliseconds digestInterval{ kTick };

  // From a lease command to its sending.
  milliseconds connectTime{ 0 };

  // The way of a lease command to its upstream; kLinkDelay if empty. Beyond
  // kCommandTimeout there is no response.
  std::function<milliseconds(const LeaseCommand&)> commandDelay;

  // --- faults

  bool storeUnavailable = false;
  // Percentage of writes that get no response. They are executed at once, or
  // seconds later if their conditions still hold.
  int lostResponsePercent = 0;
  // Hosts that the store rejects; their calls time out.
  std::set<std::string> rejectedByStore;
  // Hosts that exchange no digests with peers, but reach upstreams and the
  // store.
  std::set<std::string> cutFromPeers;
  // Pairs of hosts, the lower name first, that exchange no digests.
  std::set<std::pair<std::string, std::string>> cutLinks;

  // Starts an upstream, or a new incarnation of it. The name is passed by
  // value, as it may belong to the entry that is overwritten.
  void AddUpstream(std::string aName, std::int64_t aStartedMs)
  {
    FakeUpstream& upstream = this->upstreams[aName];
    upstream = {};
    upstream.holder = { { aName }, aStartedMs };
    upstream.listed = upstream.holder;
  }

  // Starts a new incarnation at the same address, of which hosts do not know
  // until it is listed.
  void RestartUnlisted(const std::string& aName)
  {
    const Holder listed = this->upstreams.at(aName).listed;
    this->AddUpstream(aName, this->upstreams.at(aName).holder.startedMs + 1);
    this->upstreams.at(aName).listed = listed;
  }

  void List(const std::string& aName)
  {
    this->upstreams.at(aName).listed = this->upstreams.at(aName).holder;
  }

  // Hosts no longer know of the upstream, which runs on.
  void Unlist(const std::string& aName)
  {
    this->upstreams.at(aName).listed = {};
  }

  // The upstream ends, and another one starts at its address.
  void ReplaceUpstream(const std::string& aName, const std::string& aNewName)
  {
    FakeUpstream& ended = this->upstreams.at(aName);
    ended.leases.clear();
    ended.working.clear();
    ended.isReplaced = true;
    this->AddUpstream(aNewName, 1);
  }

  // Begins with an assignment that parts of an earlier layout made. Must be
  // called before a host claims.
  void SetEarlierAssignment(const Assignment& aAssignment)
  {
    Assignment earlier = aAssignment;
    for (const auto& [name, host] : this->hosts) {
      earlier.quorumHosts.push_back(host->Ref());
    }
    this->stored.assigner = { { "gone" }, 1 };
    this->stored.assignmentText = SerializeAssignment(earlier);
  }

  void StartHost(const std::string& aName)
  {
    auto host = std::make_shared<Host>();
    host->name = aName;
    host->incarnation = ++this->lastIncarnation;
    this->hosts[aName] = host;
    host->assigner = std::make_unique<Assigner>(
      Assigner::Options{ "stoc", {}, host->Ref(), milliseconds(10'000) },
      this->HooksOf(host));
    this->Tick(host);
  }

  // Begins a planned stop. The host runs on until it is killed.
  void Leave(const std::string& aName)
  {
    this->hosts.at(aName)->leaving = true;
    this->hosts.at(aName)->assigner->Leave();
  }

  void KillHost(const std::string& aName)
  {
    this->hosts.at(aName)->alive = false;
    this->hosts.erase(aName);
  }

  void Pause(const std::string& aName) { this->hosts.at(aName)->paused = true; }

  void Resume(const std::string& aName)
  {
    const HostPtr host = this->hosts.at(aName);
    host->paused = false;
    const auto deferred = std::move(host->deferred);
    host->deferred.clear();
    for (const auto& work : deferred) {
      this->Schedule(milliseconds(1), work);
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

  bool IsPaused(const std::string& aName) const
  {
    return this->hosts.at(aName)->paused;
  }

  // --- views

  // Whether a lease command of the host waits for a connection.
  bool IsConnecting(const std::string& aHost,
                    const std::string& aUpstream) const
  {
    return this->hosts.at(aHost)->connectingTo.contains(aUpstream);
  }

  // The host that the stored claim names; empty unless it is running and acts
  // as the assigner.
  std::string AssignerName() const
  {
    const auto found = this->hosts.find(this->stored.assigner.host.value);
    return found != this->hosts.end() && found->second->assigner->IsAssigner()
             ? found->first
             : "";
  }

  // The host that the stored claim names, whether or not it knows.
  const std::string& Claimant() const
  {
    return this->stored.assigner.host.value;
  }

  Assigner& AssignerOf(const std::string& aName)
  {
    return *this->hosts.at(aName)->assigner;
  }

  // The upstream that holds a lease on the key now; empty if none does.
  std::string HolderOf(Key aKey) const
  {
    for (const auto& [name, upstream] : this->upstreams) {
      for (const FakeUpstream::Lease& lease : upstream.leases) {
        if (upstream.alive && lease.first <= aKey && aKey <= lease.last &&
            lease.expiresAt > this->now) {
          return name;
        }
      }
    }
    return "";
  }

  bool AreAllKeysLeased() const
  {
    constexpr int kStep = 257;
    for (int key = 0; key <= kLastKey; key += kStep) {
      if (this->HolderOf(static_cast<Key>(key)).empty()) {
        return false;
      }
    }
    return true;
  }

  // The first key that two upstreams held a lease on, their names and the time;
  // empty if that never happened.
  const std::string& Violation() const { return this->violation; }
  const std::vector<std::string>& Log() const { return this->log; }

private:
  // A connection ends with the incarnation of the upstream.
  struct Connection
  {
    TimePoint connectedAt;
    std::int64_t startedMs = 0;
  };

  struct Host
  {
    std::string name;
    state::Incarnation incarnation = 0;
    bool alive = true;
    bool paused = false;
    bool leaving = false;
    std::vector<std::function<void()>> deferred;
    std::unique_ptr<Assigner> assigner;
    std::map<std::string, PeerStatus> peers;
    MapVersion mapVersion;
    DigestSendTimes digestSendTimes;
    TimePoint digestDue;
    std::map<std::string, Connection> connections;
    // Upstreams for which lease commands wait for a connection.
    std::set<std::string> connectingTo;
    // Number of the last digest received from each peer.
    std::map<std::string, std::int64_t> lastDigestNumbers;

    state::HostRef Ref() const { return { { this->name }, this->incarnation }; }
  };

  using HostPtr = std::shared_ptr<Host>;

  void Schedule(milliseconds aDelay, std::function<void()> aWork)
  {
    this->events.emplace(this->now + aDelay, std::move(aWork));
  }

  // Schedules work on a host. It is dropped if the host has stopped, and
  // deferred until the host resumes if it is paused.
  void RunOnHost(const HostPtr& aHost, milliseconds aDelay,
                 std::function<void()> aWork)
  {
    this->Schedule(aDelay, [aHost, work = std::move(aWork)] {
      if (!aHost->alive) {
        return;
      }
      if (aHost->paused) {
        aHost->deferred.push_back(work);
        return;
      }
      work();
    });
  }

  void Tick(const HostPtr& aHost)
  {
    this->RunOnHost(aHost, kTick, [this, aHost] {
      aHost->assigner->OnTimer();
      if (this->now >= aHost->digestDue) {
        aHost->digestDue = this->now + this->digestInterval;
        this->SendDigest(aHost);
      }
      this->Tick(aHost);
    });
  }

  void SendDigest(const HostPtr& aHost)
  {
    const PeerStatus digest{
      aHost->Ref(), {}, aHost->leaving, aHost->mapVersion, {}
    };
    const std::int64_t number = aHost->digestSendTimes.RecordSend(this->now);
    const std::int64_t lastDigestNumber =
      aHost->lastDigestNumbers[aHost->mapVersion.assigner.host.value];
    for (const auto& [name, peer] : this->hosts) {
      if (peer == aHost || this->cutFromPeers.contains(name) ||
          this->cutFromPeers.contains(aHost->name) ||
          this->cutLinks.contains(std::minmax(name, aHost->name))) {
        continue;
      }
      this->RunOnHost(
        peer, kLinkDelay,
        [this, peer = peer, view = digest, number, lastDigestNumber]() mutable {
          view.lastHeardAt = this->now;
          view.mapConfirmedAt = peer->digestSendTimes.SentAt(lastDigestNumber);
          peer->lastDigestNumbers[view.host.host.value] = number;
          peer->peers[view.host.host.value] = view;
          if (view.mapVersion.IsNewerThan(peer->mapVersion)) {
            peer->mapVersion = view.mapVersion;
          }
        });
    }
  }

  bool ReachesStore(const Host& aHost) const
  {
    return !this->storeUnavailable &&
           !this->rejectedByStore.contains(aHost.name);
  }

  bool Happens(int aPercent)
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
    hooks.sendCommand = [this, weak](const LeaseCommand& aCommand,
                                     const Assigner::CommandDone& aDone) {
      this->DeliverCommand(weak.lock(), aCommand, aDone);
    };
    hooks.candidates = [this] {
      std::vector<OwnerCandidate> candidates;
      for (const auto& [name, upstream] : this->upstreams) {
        if (upstream.alive && !upstream.listed.IsEmpty()) {
          candidates.push_back(
            { upstream.listed, name, upstream.mayOwn, upstream.cold, 1 });
        }
      }
      return candidates;
    };
    hooks.formerAddress = [](const Holder& aHolder) {
      return aHolder.upstream.value;
    };
    hooks.peers = [weak] {
      std::vector<PeerStatus> views;
      for (const auto& [name, view] : weak.lock()->peers) {
        views.push_back(view);
      }
      return views;
    };
    hooks.usedMap = [weak] { return weak.lock()->mapVersion; };
    hooks.publish = [weak] {
      const HostPtr host = weak.lock();
      if (host->assigner->CurrentMapVersion().IsNewerThan(host->mapVersion)) {
        host->mapVersion = host->assigner->CurrentMapVersion();
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
    this->Schedule(kLinkDelay, [this, aHost, done = std::move(aDone)] {
      if (!this->ReachesStore(*aHost)) {
        this->RunOnHost(aHost, kStoreTimeout, [done] {
          done(std::make_error_code(std::errc::timed_out));
        });
        return;
      }
      this->RunOnHost(aHost, kLinkDelay,
                      [done, read = this->stored] { done(read); });
    });
  }

  void Write(const HostPtr& aHost, const AssignmentWrite& aWrite,
             Assigner::WriteDone aDone)
  {
    this->Schedule(
      kLinkDelay, [this, aHost, write = aWrite, done = std::move(aDone)] {
        if (!this->ReachesStore(*aHost)) {
          this->RunOnHost(aHost, kStoreTimeout,
                          [done] { done(state::WriteOutcome::kUnknown, 0); });
          return;
        }
        if (this->Happens(this->lostResponsePercent)) {
          // Executed now or seconds later, if the conditions still hold then.
          this->Schedule(milliseconds(this->Happens(50) ? 0 : 3000),
                         [this, write] { this->ApplyWrite(write); });
          this->RunOnHost(aHost, kStoreTimeout,
                          [done] { done(state::WriteOutcome::kUnknown, 0); });
          return;
        }
        const state::Version version = this->ApplyWrite(write);
        this->RunOnHost(aHost, kLinkDelay, [done, version] {
          done(version == 0 ? state::WriteOutcome::kConflict
                            : state::WriteOutcome::kWritten,
               version);
        });
      });
  }

  // Returns the new version, or 0 if a condition of the write does not hold.
  state::Version ApplyWrite(const AssignmentWrite& aWrite)
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

  void DeliverCommand(const HostPtr& aHost, const LeaseCommand& aCommand,
                      const Assigner::CommandDone& aDone)
  {
    const std::string& name = aCommand.upstream.value;
    const Connection& current = aHost->connections[name];
    if (current.startedMs == this->upstreams.at(name).holder.startedMs &&
        this->connectTime.count() == 0) {
      this->SendOver(current, aHost, aCommand, aDone);
      return;
    }
    aHost->connectingTo.insert(name);
    this->RunOnHost(
      aHost, this->connectTime, [this, aHost, command = aCommand, aDone] {
        const std::string& upstream = command.upstream.value;
        aHost->connectingTo.erase(upstream);
        Connection& made = aHost->connections[upstream];
        const auto startedMs = this->upstreams.at(upstream).holder.startedMs;
        if (made.startedMs != startedMs) {
          made = { this->now, startedMs };
        }
        this->SendOver(made, aHost, command, aDone);
      });
  }

  void SendOver(const Connection& aConnection, const HostPtr& aHost,
                const LeaseCommand& aCommand,
                const Assigner::CommandDone& aDone)
  {
    if (!aCommand.isStillValid(aConnection.connectedAt)) {
      this->RunOnHost(aHost, milliseconds(0), [aDone] {
        aDone({ LeaseCommandResult::kWithdrawn, {} });
      });
      return;
    }
    const std::int64_t startedMs = aConnection.startedMs;
    const milliseconds delay =
      this->commandDelay ? this->commandDelay(aCommand) : kLinkDelay;
    this->Schedule(delay, [this, aHost, command = aCommand, delay, startedMs,
                           aDone] {
      if (delay >= kCommandTimeout) {
        this->Execute(command, startedMs);
        return;
      }
      const auto reply = this->Execute(command, startedMs);
      const FakeUpstream& upstream = this->upstreams.at(command.upstream.value);
      const auto workTime = std::chrono::ceil<milliseconds>(
        upstream.WorkEndsAt(command, this->now) - this->now);
      const bool waits = command.kind == LeaseCommandKind::kRelease;
      if (!reply || (waits && delay + workTime >= kCommandTimeout)) {
        this->TimeOut(aHost, kCommandTimeout, aDone);
        return;
      }
      this->RunOnHost(aHost, kLinkDelay + (waits ? workTime : milliseconds(0)),
                      [aDone, reply = *reply] { aDone(reply); });
    });
    if (delay >= kCommandTimeout) {
      this->TimeOut(aHost, kCommandTimeout, aDone);
    }
  }

  void TimeOut(const HostPtr& aHost, milliseconds aTime,
               const Assigner::CommandDone& aDone)
  {
    this->RunOnHost(aHost, aTime, [aDone] {
      aDone({ LeaseCommandResult::kNoAnswer, {} });
    });
  }

  // Returns nothing if the upstream does not respond, or the incarnation to
  // which the command was sent has ended.
  std::optional<LeaseCommandReply> Execute(const LeaseCommand& aCommand,
                                           std::int64_t aStartedMs)
  {
    FakeUpstream& upstream = this->upstreams.at(aCommand.upstream.value);
    if (!upstream.alive || upstream.unresponsive ||
        upstream.holder.startedMs != aStartedMs) {
      return std::nullopt;
    }
    const TimePoint arrived = this->now;
    if (upstream.grantDelay.count() > 0 &&
        aCommand.kind == LeaseCommandKind::kGrant) {
      this->Schedule(
        upstream.grantDelay, [this, command = aCommand, arrived, aStartedMs] {
          FakeUpstream& target = this->upstreams.at(command.upstream.value);
          if (target.alive && target.holder.startedMs == aStartedMs) {
            target.Apply(command, arrived);
          }
        });
      return std::nullopt;
    }
    const LeaseCommandResult result = upstream.Apply(aCommand, arrived);
    return LeaseCommandReply{ result, result == LeaseCommandResult::kDone
                                        ? "work"
                                        : "" };
  }

  std::int64_t Millis() const
  {
    return std::chrono::duration_cast<milliseconds>(
             this->now.time_since_epoch())
      .count();
  }

  void CheckForTwoHolders()
  {
    if (this->violation.empty()) {
      this->violation = FindTwoHolders(this->upstreams, this->now);
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

// Runs until all keys are leased, and on until nothing changes any more.
inline void Settle(AssignmentSimulation& aSimulation,
                   milliseconds aAfterwards = milliseconds(2000))
{
  CPPUNIT_ASSERT(aSimulation.RunUntil(
    [&] { return aSimulation.AreAllKeysLeased(); }, milliseconds(8000)));
  aSimulation.RunFor(aAfterwards);
}

// Restarts a host that is not the assigner, which no digest reaches from then
// on. Returns its name.
inline std::string RestartHostCutOff(AssignmentSimulation& aSimulation)
{
  std::string host = aSimulation.AssignerName() == "h0" ? "h1" : "h0";
  aSimulation.KillHost(host);
  aSimulation.cutFromPeers.insert(host);
  aSimulation.StartHost(host);
  return host;
}

// Cuts the assigner off from its peers and the store, and waits for its
// successor. Returns the name of the assigner that was cut off.
inline std::string CutOffAssigner(AssignmentSimulation& aSimulation)
{
  std::string old = aSimulation.AssignerName();
  aSimulation.rejectedByStore.insert(old);
  aSimulation.cutFromPeers.insert(old);
  CPPUNIT_ASSERT(aSimulation.RunUntil(
    [&] {
      const std::string name = aSimulation.AssignerName();
      return !name.empty() && name != old;
    },
    milliseconds(6000)));
  return old;
}

// Moves the keys of an upstream, which restarts once it has released some, and
// expects that nobody renews the leases of before.
inline void ExpectReleasesAreFinal(AssignmentSimulation& aSimulation)
{
  FakeUpstream& leaving = aSimulation.Upstream("u1");
  leaving.mayOwn = false;
  const int before = leaving.releases;
  aSimulation.RunUntil([&] { return leaving.releases > before; },
                       milliseconds(5000));
  aSimulation.RestartUnlisted("u1");
  aSimulation.RunFor(milliseconds(4000));
  CPPUNIT_ASSERT_EQUAL(std::string(), aSimulation.Violation());
}

} // namespace kumquat::ownership::tests
