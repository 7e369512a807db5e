// An upstream that holds leases on keys, for simulations, and the check that no
// two upstreams hold a lease on one key.

#pragma once

#include "ownership/assigner.h"

#include <algorithm>
#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::ownership::tests {

using std::chrono::milliseconds;

// An upstream with the leases that it was granted.
struct FakeUpstream
{
  struct Lease
  {
    Key first = 0;
    Key last = 0;
    FencingToken fencingToken = 0;
    TimePoint expiresAt;
  };

  Holder holder;
  // The incarnation that hosts know of; empty if they know of none.
  Holder listed;
  bool alive = true;
  bool mayOwn = true;
  bool cold = false;
  // The upstream has ended, and another one uses its address.
  bool isReplaced = false;
  // No lease command reaches the upstream, but requests may.
  bool unresponsive = false;
  // If above zero, the upstream sends no response to a grant and executes it so
  // much later. The lease still counts from the arrival of the grant.
  milliseconds grantDelay{ 0 };
  // Requests that run when their keys are released go on for so long, but not
  // beyond the lease. The release is answered when they have ended.
  milliseconds workTime{ 0 };
  std::vector<Lease> leases;
  // Keys that were released while requests ran on them. `expiresAt` is the time
  // at which these end.
  std::vector<Lease> working;
  // Fencing tokens of the grants and releases seen, by range.
  std::vector<Lease> seenTokens;
  int releases = 0;

  LeaseCommandResult Apply(const LeaseCommand& aCommand, TimePoint aArrived)
  {
    if (this->isReplaced) {
      return LeaseCommandResult::kOtherUpstream;
    }
    if (aCommand.kind == LeaseCommandKind::kRelease) {
      ++this->releases;
      this->seenTokens.push_back(
        { aCommand.first, aCommand.last, aCommand.fencingToken, aArrived });
      this->StartWork(aCommand, aArrived);
      RemoveRange(this->leases, aCommand);
      return LeaseCommandResult::kDone;
    }
    const bool fenced =
      std::ranges::any_of(this->seenTokens, [&](const Lease& aLease) {
        return Overlaps(aLease, aCommand) &&
               aLease.fencingToken > aCommand.fencingToken;
      });
    if (fenced) {
      return LeaseCommandResult::kFenced;
    }
    RemoveRange(this->leases, aCommand);
    RemoveRange(this->seenTokens, aCommand);
    // The upstream's clock runs 2% slow.
    const auto expiresAt = aArrived + std::chrono::duration_cast<Duration>(
                                        aCommand.leaseDuration * 1.02);
    const Lease lease{ aCommand.first, aCommand.last, aCommand.fencingToken,
                       expiresAt };
    this->leases.push_back(lease);
    this->seenTokens.push_back(lease);
    return LeaseCommandResult::kDone;
  }

  // When the requests on the command's keys have ended; aNow if none run.
  TimePoint WorkEndsAt(const LeaseCommand& aCommand, TimePoint aNow) const
  {
    TimePoint end = aNow;
    for (const Lease& work : this->working) {
      if (Overlaps(work, aCommand)) {
        end = std::max(end, work.expiresAt);
      }
    }
    return end;
  }

private:
  void StartWork(const LeaseCommand& aCommand, TimePoint aNow)
  {
    std::erase_if(this->working, [aNow](const Lease& aWork) {
      return aWork.expiresAt <= aNow;
    });
    if (this->workTime.count() == 0) {
      return;
    }
    for (const Lease& lease : this->leases) {
      if (Overlaps(lease, aCommand) && lease.expiresAt > aNow) {
        this->working.push_back(
          { std::max(lease.first, aCommand.first),
            std::min(lease.last, aCommand.last), lease.fencingToken,
            std::min(lease.expiresAt, aNow + this->workTime) });
      }
    }
  }

  static bool Overlaps(const Lease& aLease, const LeaseCommand& aCommand)
  {
    return aLease.first <= aCommand.last && aCommand.first <= aLease.last;
  }

  static void RemoveRange(std::vector<Lease>& aLeases,
                          const LeaseCommand& aCommand)
  {
    std::vector<Lease> left;
    for (const Lease& lease : aLeases) {
      if (!Overlaps(lease, aCommand)) {
        left.push_back(lease);
        continue;
      }
      if (lease.first < aCommand.first) {
        left.push_back({ lease.first, static_cast<Key>(aCommand.first - 1),
                         lease.fencingToken, lease.expiresAt });
      }
      if (lease.last > aCommand.last) {
        left.push_back({ static_cast<Key>(aCommand.last + 1), lease.last,
                         lease.fencingToken, lease.expiresAt });
      }
    }
    aLeases = std::move(left);
  }
};

// The first key that two upstreams hold a lease on, or run requests on, with
// their names and the time; empty if there is none.
inline std::string FindTwoHolders(
  const std::map<std::string, FakeUpstream>& aUpstreams, TimePoint aNow)
{
  struct HeldRange
  {
    Key first;
    Key last;
    const std::string* name;
  };
  std::vector<HeldRange> leases;
  for (const auto& [name, upstream] : aUpstreams) {
    const auto add = [&](const std::vector<FakeUpstream::Lease>& aLeases) {
      for (const FakeUpstream::Lease& lease : aLeases) {
        if (upstream.alive && lease.expiresAt > aNow) {
          leases.push_back({ lease.first, lease.last, &name });
        }
      }
    };
    add(upstream.leases);
    add(upstream.working);
  }
  std::ranges::sort(leases, {}, &HeldRange::first);
  // The last key of the ranges so far, by upstream.
  std::map<std::string, Key> heldUpTo;
  for (const HeldRange& lease : leases) {
    const auto other =
      std::ranges::find_if(heldUpTo, [&lease](const auto& aEntry) {
        return aEntry.second >= lease.first && aEntry.first != *lease.name;
      });
    if (other != heldUpTo.end()) {
      return std::to_string(lease.first) + " leased to " + other->first +
             " and " + *lease.name + " at " +
             std::to_string(
               std::chrono::duration_cast<milliseconds>(aNow.time_since_epoch())
                 .count());
    }
    Key& last = heldUpTo[*lease.name];
    last = std::max(last, lease.last);
  }
  return "";
}

} // namespace kumquat::ownership::tests
