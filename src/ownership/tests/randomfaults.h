// Random faults for the simulation of assigners: one fault begins or ends each
// second, and several last at the same time. The seed decides all of them.

#pragma once

#include "ownership/tests/assignmentsimulation.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::ownership::tests {

class RandomFaults
{
public:
  RandomFaults(AssignmentSimulation& aSimulation, unsigned aSeed)
    : simulation(aSimulation)
    , random(aSeed)
    , initialHosts(aSimulation.Hosts())
  {
    this->ChooseKinds();
  }

  void RunFor(std::chrono::seconds aTime)
  {
    constexpr int kStepsPerFault = 10;
    for (auto i = aTime.count() * kStepsPerFault; i > 0; --i) {
      if (i % kStepsPerFault == 0) {
        this->Inject();
      }
      this->Step();
    }
  }

  // Ends all faults, and starts hosts that were killed.
  void End()
  {
    this->simulation.storeUnavailable = false;
    this->simulation.lostResponsePercent = 0;
    this->simulation.rejectedByStore.clear();
    this->simulation.cutFromPeers.clear();
    this->simulation.cutLinks.clear();
    this->simulation.connectTime = milliseconds(0);
    this->simulation.commandDelay = nullptr;
    this->restarting.clear();
    this->hotShare = 0;
    this->StartKilledHosts();
    this->ResumeAll();
    this->ListAll();
    for (auto& [name, upstream] : this->simulation.Upstreams()) {
      upstream.unresponsive = false;
      upstream.grantDelay = milliseconds(0);
      upstream.workTime = milliseconds(0);
      upstream.mayOwn = true;
      upstream.cold = false;
    }
  }

private:
  using Fault = void (RandomFaults::*)();

  // Each seed plays some of the kinds only, so that a few kinds also occur
  // often together.
  void ChooseKinds()
  {
    this->kinds = {
      &RandomFaults::RestartHost,        &RandomFaults::PauseHost,
      &RandomFaults::ResumeAll,          &RandomFaults::ToggleStore,
      &RandomFaults::RejectByStore,      &RandomFaults::RejectNoneByStore,
      &RandomFaults::CutFromPeers,       &RandomFaults::CutNoneFromPeers,
      &RandomFaults::LoseStoreResponses, &RandomFaults::ToggleUnresponsive,
      &RandomFaults::ToggleLateGrants,   &RandomFaults::ToggleMayOwn,
      &RandomFaults::RestartUpstream,    &RandomFaults::RestartUpstreamUnlisted,
      &RandomFaults::UnlistUpstream,     &RandomFaults::ListAll,
      &RandomFaults::ToggleCold,         &RandomFaults::ChangeConnectTime,
      &RandomFaults::SeparateTwoGroups,  &RandomFaults::HideSuccessor,
      &RandomFaults::JoinGroups,         &RandomFaults::KillSeveralHosts,
      &RandomFaults::StartKilledHosts,   &RandomFaults::StartNewHost,
      &RandomFaults::StopHost,           &RandomFaults::ChangeCommandDelay,
      &RandomFaults::ChangeWorkTime,     &RandomFaults::RestartUpstreamOften,
      &RandomFaults::MoveLoad,
    };
    std::ranges::shuffle(this->kinds, this->random);
    constexpr std::size_t kMinKinds = 6;
    this->kinds.resize(kMinKinds +
                       this->Random(this->kinds.size() - kMinKinds + 1));
  }

  void Inject()
  {
    const Fault fault = this->kinds.at(this->Random(this->kinds.size()));
    (this->*fault)();
  }

  // A tenth of a second, with requests and the restarts that are due.
  void Step()
  {
    if (!this->restarting.empty() && this->Random(5) == 0) {
      this->simulation.RestartUnlisted(this->restarting);
      if (this->Random(3) == 0) {
        this->simulation.List(this->restarting);
      }
    }
    this->RecordRequests();
    this->simulation.RunFor(kTick);
  }

  std::size_t Random(std::size_t aCount) { return this->random() % aCount; }

  std::string Victim()
  {
    const auto hosts = this->simulation.Hosts();
    const std::string assigner = this->simulation.AssignerName();
    return this->Random(2) == 0 && !assigner.empty()
             ? assigner
             : hosts.at(this->Random(hosts.size()));
  }

  std::string UpstreamName()
  {
    return "u" +
           std::to_string(this->Random(this->simulation.Upstreams().size()));
  }

  FakeUpstream& Upstream()
  {
    return this->simulation.Upstream(this->UpstreamName());
  }

  // --- hosts

  void RestartHost()
  {
    const std::string host = this->Victim();
    this->simulation.KillHost(host);
    this->simulation.StartHost(host);
  }

  void PauseHost() { this->simulation.Pause(this->Victim()); }

  void ResumeAll()
  {
    for (const std::string& name : this->simulation.Hosts()) {
      if (this->simulation.IsPaused(name)) {
        this->simulation.Resume(name);
      }
    }
  }

  // Two of three groups of hosts do not hear each other. Some groups, often
  // that of the assigner, are cut off from the store as well.
  void SeparateTwoGroups()
  {
    std::array<std::vector<std::string>, 3> groups;
    for (const std::string& name : this->simulation.Hosts()) {
      groups.at(this->Random(groups.size())).push_back(name);
    }
    this->simulation.cutLinks.clear();
    for (const std::string& left : groups[0]) {
      for (const std::string& right : groups[1]) {
        this->simulation.cutLinks.insert(std::minmax(left, right));
      }
    }
    const std::string assigner = this->simulation.AssignerName();
    for (const auto& group : groups) {
      const bool hasAssigner =
        std::ranges::find(group, assigner) != group.end();
      if (this->Random(hasAssigner ? 2 : 4) == 0) {
        this->simulation.rejectedByStore.insert(group.begin(), group.end());
      }
    }
  }

  // A host that no other hears can claim, and the assigner until then goes on.
  void HideSuccessor()
  {
    const std::string assigner = this->simulation.AssignerName();
    const std::string successor = this->Victim();
    if (!assigner.empty() && successor != assigner) {
      this->simulation.rejectedByStore = { assigner };
      this->simulation.cutFromPeers = { successor };
    }
  }

  void JoinGroups() { this->simulation.cutLinks.clear(); }

  void KillSeveralHosts()
  {
    const bool startAgain = this->Random(2) == 0;
    for (std::size_t i = this->Random(3) + 1; i > 0; --i) {
      this->KillUnlessLast(this->Victim());
    }
    if (startAgain) {
      this->StartKilledHosts();
    }
  }

  void KillUnlessLast(const std::string& aName)
  {
    if (this->simulation.Hosts().size() > 1) {
      this->simulation.KillHost(aName);
    }
  }

  void StartKilledHosts()
  {
    const auto running = this->simulation.Hosts();
    for (const std::string& name : this->initialHosts) {
      if (std::ranges::find(running, name) == running.end()) {
        this->simulation.StartHost(name);
      }
    }
  }

  void StartNewHost()
  {
    constexpr std::size_t kMaxHosts = 10;
    if (this->simulation.Hosts().size() < kMaxHosts) {
      this->simulation.StartHost("n" + std::to_string(this->newHosts++));
    }
  }

  // The host ends, or is killed while it is about to.
  void StopHost()
  {
    const std::string host = this->Victim();
    this->simulation.Leave(host);
    for (std::size_t i = this->Random(30); i > 0; --i) {
      this->Step();
    }
    this->KillUnlessLast(host);
  }

  void CutFromPeers() { this->simulation.cutFromPeers.insert(this->Victim()); }

  void CutNoneFromPeers() { this->simulation.cutFromPeers.clear(); }

  // --- the store

  void ToggleStore()
  {
    this->simulation.storeUnavailable = !this->simulation.storeUnavailable;
  }

  void RejectByStore()
  {
    this->simulation.rejectedByStore.insert(this->Victim());
  }

  void RejectNoneByStore() { this->simulation.rejectedByStore.clear(); }

  void LoseStoreResponses()
  {
    this->simulation.lostResponsePercent = this->Random(2) == 0 ? 35 : 0;
  }

  // --- upstreams

  void ToggleUnresponsive()
  {
    FakeUpstream& upstream = this->Upstream();
    upstream.unresponsive = !upstream.unresponsive;
  }

  void ToggleLateGrants()
  {
    FakeUpstream& upstream = this->Upstream();
    upstream.grantDelay =
      milliseconds(upstream.grantDelay.count() > 0 ? 0 : 4000);
  }

  void ToggleMayOwn()
  {
    FakeUpstream& upstream = this->Upstream();
    upstream.mayOwn = !upstream.mayOwn;
  }

  void ToggleCold()
  {
    FakeUpstream& upstream = this->Upstream();
    upstream.cold = !upstream.cold;
  }

  void RestartUpstream()
  {
    const Holder& holder = this->Upstream().holder;
    this->simulation.AddUpstream(holder.upstream.value, holder.startedMs + 1);
  }

  void RestartUpstreamUnlisted()
  {
    this->simulation.RestartUnlisted(this->UpstreamName());
  }

  // One upstream restarts twice a second.
  void RestartUpstreamOften()
  {
    this->restarting = this->Random(2) == 0 ? this->UpstreamName() : "";
  }

  void UnlistUpstream() { this->simulation.Unlist(this->UpstreamName()); }

  void ListAll()
  {
    for (const auto& [name, upstream] : this->simulation.Upstreams()) {
      this->simulation.List(name);
    }
  }

  void ChangeWorkTime()
  {
    this->Upstream().workTime = milliseconds(700 * this->Random(4));
  }

  // --- lease commands and requests

  void ChangeConnectTime()
  {
    // The longest of these exceeds the time in which a grant must be sent.
    this->simulation.connectTime = milliseconds(40 * this->Random(4));
  }

  // Commands take up to 200 ms, in any order. Some releases get no response and
  // are executed seconds later.
  void ChangeCommandDelay()
  {
    if (this->Random(2) == 0) {
      this->simulation.commandDelay = nullptr;
      return;
    }
    this->simulation.commandDelay = [this](const LeaseCommand& aCommand) {
      const bool isLate =
        aCommand.kind == LeaseCommandKind::kRelease && this->Random(10) == 0;
      return milliseconds(isLate ? 1000 + this->Random(4000)
                                 : 2 + this->Random(199));
    };
  }

  void MoveLoad()
  {
    this->hotShare = static_cast<int>(this->Random(3)) * 30;
    this->hotKey = static_cast<Key>(this->Random(kLastKey));
  }

  void RecordRequests()
  {
    const std::string assigner = this->simulation.AssignerName();
    if (assigner.empty() || this->hotShare == 0) {
      return;
    }
    constexpr int kPercent = 100;
    constexpr int kRequests = 40;
    constexpr std::size_t kHotKeys = 200;
    std::vector<Key> keys;
    keys.reserve(kRequests);
    for (int i = 0; i < kRequests; ++i) {
      const bool isHot =
        static_cast<int>(this->Random(kPercent)) < this->hotShare;
      keys.push_back(static_cast<Key>(isHot
                                        ? this->hotKey + this->Random(kHotKeys)
                                        : this->Random(kLastKey)));
    }
    this->simulation.AssignerOf(assigner).RecordRequests(keys);
  }

  AssignmentSimulation& simulation;
  std::mt19937 random;
  const std::vector<std::string> initialHosts;
  std::vector<Fault> kinds;
  int newHosts = 0;
  // The upstream that restarts again and again; empty if none does.
  std::string restarting;
  // Percentage of requests for the hot keys. No requests if 0.
  int hotShare = 0;
  Key hotKey = 0;
};

} // namespace kumquat::ownership::tests
