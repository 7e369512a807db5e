// The terms of host leases, and the switches by which tests take a rule away
// to show what it is for.

#pragma once

#include "framework/clock.h"

#include <chrono>
#include <cstddef>
#include <set>

namespace kumquat::coordination {

struct LeaseTiming
{
  // A confirmation counts for that long at the guard, and for that long less
  // the drift allowance, from the request's sending, at the holder.
  Duration term = std::chrono::milliseconds(1500);
  // The most by which two hosts' clocks can differ over one term.
  Duration drift = std::chrono::milliseconds(15);
  Duration heartbeat = std::chrono::milliseconds(200);
  // A guard suspects a holder that it has not heard for that long.
  Duration suspectAfter = std::chrono::milliseconds(800);
  // Added at random, so that the guards do not all write at once.
  Duration suspectJitter = std::chrono::milliseconds(200);
  // Added by hosts that are no guards, or hold no lease themselves: what they
  // miss is more likely their own fault.
  Duration outsiderPause = std::chrono::milliseconds(1500);
  // How long another host's attempt to depose is left undisturbed.
  Duration attemptPause = std::chrono::milliseconds(1800);
  // A holder replaces a guard that has not confirmed it for that long.
  Duration replaceGuardAfter = std::chrono::milliseconds(1000);
  // A host that has had no lease for that long, and that a majority of its
  // guards refuses, deposes itself.
  Duration resignAfter = std::chrono::seconds(3);
  // From a failed read or write of the table to the next.
  Duration tableRetry = std::chrono::milliseconds(300);
  // The most by which the platform's list of hosts lags.
  Duration listLag = std::chrono::seconds(5);
  // A longer pause between two timer calls means that this process slept:
  // what it did not hear meanwhile says nothing of the others.
  Duration ownSleep = std::chrono::milliseconds(400);
};

// One name for each rule that keeps a lease safe.
enum class LeaseRule
{
  // The term counts from the request's sending, not the reply's receipt.
  kCountFromSending,
  // A guard that released an incarnation never confirms it again.
  kStickyRelease,
  // A restarted guard is not the guard named: it neither confirms...
  kRestartedGuardConfirmsNothing,
  // ... nor releases for the row that names its earlier run.
  kRestartedGuardReleasesNothing,
  // The deposer waits until the released confirmations have run out.
  kWaitOutReleases,
  // Releases of a majority, not of any guard, are needed to depose.
  kMajorityReleases,
  // Confirmations of a majority are needed to hold.
  kMajorityConfirms,
  // Both sets of guards are needed while the fate of their change is unknown.
  kBothGuardSets,
  // The suspicion is written before any release is asked for.
  kSuspectFirst,
  // Deposing is conditional on the row that the releases were asked for.
  kDeposeOnVersion,
  // A restarted host waits until its earlier run is deposed.
  kReplaceOnlyDeposed,
  // A deposer that slept itself suspects nobody for it.
  kIgnoreOwnSleep,
};

// Tests only: the product never switches a rule off.
using LeaseRulesOff = std::set<LeaseRule>;

} // namespace kumquat::coordination
