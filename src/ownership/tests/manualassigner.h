// An assigner of two upstreams whose calls to the store are answered by hand.

#pragma once

#include "ownership/assigner.h"

#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::ownership::tests {

struct ManualAssigner
{
  ManualAssigner()
  {
    Assigner::Hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.read = [this](const Assigner::ReadDone& aDone) {
      if (this->holdsReads) {
        this->pendingRead = aDone;
        return;
      }
      aDone(this->rows);
    };
    hooks.write = [this](const AssignmentWrite& aWrite,
                         Assigner::WriteDone aDone) {
      this->lastText = aWrite.assignmentText;
      this->pendingWrite = std::move(aDone);
    };
    hooks.sendCommand = [this](const LeaseCommand& aCommand,
                               const Assigner::CommandDone& aDone) {
      this->lastCommand = aCommand;
      ++(aCommand.kind == LeaseCommandKind::kRelease ? this->releases
                                                     : this->grants);
      aDone({ LeaseCommandResult::kDone, {} });
    };
    hooks.candidates = [this] {
      std::vector<OwnerCandidate> candidates;
      for (const std::string name : { "u0", "u1" }) {
        candidates.push_back(
          { { { name }, 1 }, name, this->mayOwn.contains(name), false, 1 });
      }
      return candidates;
    };
    hooks.peers = [this] {
      for (PeerStatus& peer : this->peers) {
        peer.lastHeardAt = peer.mapConfirmedAt = this->now;
      }
      return this->peers;
    };
    hooks.publish = [] {};
    hooks.log = [](std::string_view, std::string_view) {};
    this->assigner = std::make_unique<Assigner>(
      Assigner::Options{ "stoc", {}, { { "h0" }, 1 } }, std::move(hooks));
  }

  ManualAssigner(const ManualAssigner&) = delete;
  ManualAssigner& operator=(const ManualAssigner&) = delete;

  void Run(Duration aTime)
  {
    constexpr std::chrono::milliseconds kStep{ 100 };
    const TimePoint end = this->now + aTime;
    while (this->now < end) {
      this->now += kStep;
      this->assigner->OnTimer();
    }
  }

  // Lets the assigner claim, with this version of the rows.
  void Claim(state::Version aVersion)
  {
    while (!this->pendingWrite) {
      this->Run(std::chrono::milliseconds(100));
    }
    const auto done = std::exchange(this->pendingWrite, nullptr);
    this->rows.claimVersion = this->rows.assignmentVersion = aVersion;
    this->rows.assigner = { { "h0" }, 1 };
    this->rows.assignmentText = this->lastText;
    done(state::WriteOutcome::kWritten, aVersion);
  }

  // Responds to the write that is pending, if there is one.
  void Confirm(state::Version aVersion)
  {
    this->AnswerWrite(state::WriteOutcome::kWritten, aVersion);
  }

  void AnswerWrite(state::WriteOutcome aOutcome, state::Version aVersion)
  {
    if (const auto done = std::exchange(this->pendingWrite, nullptr)) {
      done(aOutcome, aVersion);
    }
  }

  // Responds to the read that is pending, if there is one.
  void AnswerRead()
  {
    if (const auto done = std::exchange(this->pendingRead, nullptr)) {
      done(this->rows);
    }
  }

  // Whether the upstream owns keys by the last write.
  bool OwnsKeys(const std::string& aUpstream) const
  {
    const auto last = ParseAssignment(this->lastText);
    return last && std::ranges::any_of(
                     last->ranges, [&aUpstream](const AssignedRange& aRange) {
                       return aRange.holder.upstream.value == aUpstream;
                     });
  }

  // Another host claims with this version, and the assigner learns of it.
  void LoseClaim(state::Version aVersion)
  {
    this->rows.claimVersion = this->rows.assignmentVersion = aVersion;
    this->rows.assigner = { { "h9" }, 1 };
    while (this->assigner->IsAssigner()) {
      this->Run(std::chrono::milliseconds(100));
    }
  }

  PeerStatus PeerWithOwnMap(const std::string& aName, state::Version aVersion)
  {
    PeerStatus peer;
    peer.host = { { aName }, 1 };
    peer.mapVersion = { aVersion, 1, { { "h0" }, 1 } };
    return peer;
  }

  TimePoint now{ std::chrono::hours(1) };
  AssignmentRows rows;
  std::string lastText;
  Assigner::WriteDone pendingWrite;
  // If true, reads wait for AnswerRead().
  bool holdsReads = false;
  Assigner::ReadDone pendingRead;
  std::vector<PeerStatus> peers;
  std::set<std::string> mayOwn{ "u0", "u1" };
  int releases = 0;
  int grants = 0;
  LeaseCommand lastCommand;
  std::unique_ptr<Assigner> assigner;
};

} // namespace kumquat::ownership::tests
