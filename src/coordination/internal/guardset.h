// Which guards this host wants: chooses, and remembers which did not answer.

#pragma once

#include "coordination/hostdirectory.h"
#include "coordination/hostlease.h"
#include "coordination/leasetiming.h"
#include "state/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquat::coordination {

class GuardSet
{
public:
  GuardSet(state::HostRef aSelf, state::DataCentre aDataCentre,
           const LeaseTiming& aTiming);

  // The wanted set where it differs from the lease's guards, or nothing.
  std::optional<std::vector<state::HostRef>> Wanted(
    const HostDirectory& aDirectory, const HostLease& aLease, TimePoint aNow);

  // Whether aWanted may be written: a majority of it confirms, and each new
  // guard has answered or is known not to.
  bool IsReady(const std::vector<state::HostRef>& aWanted,
               const HostLease& aLease, TimePoint aNow) const;

  // This process slept: what it did not hear says nothing of its guards.
  void OnOwnSleep();

private:
  void NoteSilence(const HostLease& aLease, TimePoint aNow);
  // As Wanted, by looking through all hosts.
  std::vector<state::HostRef> Choose(const HostDirectory& aDirectory,
                                     const HostLease& aLease,
                                     TimePoint aNow) const;
  bool IsHealthy(const KnownHost& aKnown, const HostDirectory& aDirectory,
                 TimePoint aNow) const;
  bool IsAvoided(const state::HostRef& aRef, TimePoint aNow) const;

  state::HostRef self;
  state::DataCentre dataCentre;
  LeaseTiming timing;
  std::map<state::HostRef, TimePoint> askedSince;
  // Hosts that did not confirm, until when they are passed over.
  std::map<state::HostRef, TimePoint> avoided;
  // The last choice, and what it was made from: thousands of hosts are not
  // looked through without need.
  struct Choice
  {
    std::vector<state::HostRef> wanted;
    std::vector<state::HostRef> present;
    std::vector<state::HostRef> passedOver;
    std::uint64_t revision = 0;
    TimePoint made;
  };
  std::optional<Choice> last;
};

} // namespace kumquat::coordination
