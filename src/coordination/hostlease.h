// The holder's side of a host's lease: whose confirmations count, and until
// when. Only arithmetic on times; the heartbeats themselves are sent by
// Membership.

#pragma once

#include "coordination/leasetiming.h"
#include "framework/clock.h"
#include "state/types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquat::coordination {

// How many of aCount guards are a majority.
constexpr std::size_t Majority(std::size_t aCount)
{
  return aCount / 2 + 1;
}

class HostLease
{
public:
  HostLease(const LeaseTiming& aTiming, LeaseRulesOff aOff);

  // The guards that the row in the table names.
  void SetGuards(std::vector<state::HostRef> aGuards);
  // Guards that are asked, but do not count yet.
  void SetCandidates(std::vector<state::HostRef> aCandidates);
  // From before the row with the candidates is written until it is known
  // which guards the row names: both sets' majorities are needed.
  void SetChanging(bool aChanging);

  const std::vector<state::HostRef>& Guards() const;
  // Guards and candidates, each once.
  std::vector<state::HostRef> Asked() const;

  void OnSent(std::int64_t aCorrelation, const state::HostRef& aGuard,
              TimePoint aNow);
  // False where no such request is open.
  bool OnReply(std::int64_t aCorrelation, const state::HostId& aFrom,
               bool aConfirmed, TimePoint aNow);

  bool Holds(TimePoint aNow) const;
  TimePoint End() const;
  // Whether a majority of the candidates confirms.
  bool CandidatesConfirm(TimePoint aNow) const;
  // When the last request that aGuard confirmed was sent.
  std::optional<TimePoint> ConfirmedAt(const state::HostRef& aGuard) const;
  // Whether aGuard said that it does not confirm this host (any more).
  bool Refused(const state::HostRef& aGuard) const;

private:
  struct Request
  {
    state::HostRef guard;
    TimePoint sent;
  };
  struct Confirmation
  {
    // Never moves back: replies may come out of order.
    std::optional<TimePoint> at;
    bool refused = false;
  };

  TimePoint EndFor(const std::vector<state::HostRef>& aGuards) const;
  void UpdateEnd();
  void DropOldRequests(TimePoint aNow);

  LeaseTiming timing;
  LeaseRulesOff off;
  std::vector<state::HostRef> guards;
  std::vector<state::HostRef> candidates;
  bool changing = false;
  std::map<std::int64_t, Request> requests;
  std::map<state::HostRef, Confirmation> confirmations;
  // Follows from the members above; kept, as it is asked before every send.
  TimePoint end = TimePoint::min();
};

} // namespace kumquat::coordination
