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
  // No lease command reaches the upstream, but requests may.
  bool unresponsive = false;
  // If above zero, the upstream sends no response to a grant and executes it so
  // much later. The lease still counts from the arrival of the grant.
  milliseconds grantDelay{ 0 };
  std::vector<Lease> leases;
  // Fencing tokens of the grants and releases seen, by range.
  std::vector<Lease> seenTokens;
  int releases = 0;

  LeaseCommandResult Apply(const LeaseCommand& aCommand, TimePoint aArrived)
  {
    if (aCommand.kind == LeaseCommandKind::kRelease) {
      ++this->releases;
      this->seenTokens.push_back(
        { aCommand.first, aCommand.last, aCommand.fencingToken, aArrived });
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

private:
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

// The first key that two upstreams hold a lease on, with their names and the
// time; empty if there is none.
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
    for (const FakeUpstream::Lease& lease : upstream.leases) {
      if (upstream.alive && lease.expiresAt > aNow) {
        leases.push_back({ lease.first, lease.last, &name });
      }
    }
  }
  std::ranges::sort(leases, {}, &HeldRange::first);
  for (std::size_t i = 1; i < leases.size(); ++i) {
    if (leases[i].first <= leases[i - 1].last &&
        *leases[i].name != *leases[i - 1].name) {
      return std::to_string(leases[i].first) + " leased to " +
             *leases[i - 1].name + " and " + *leases[i].name + " at " +
             std::to_string(
               std::chrono::duration_cast<milliseconds>(aNow.time_since_epoch())
                 .count());
    }
  }
  return "";
}

} // namespace kumquat::ownership::tests
