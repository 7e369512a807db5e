// The guard's side: confirms the hosts that name it, and stops confirming one
// for good once it has released it.

#pragma once

#include "coordination/leasetiming.h"
#include "framework/clock.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <map>
#include <optional>

namespace kumquat::coordination {

class LeaseGuard
{
public:
  LeaseGuard(state::HostRef aSelf, const LeaseTiming& aTiming,
             LeaseRulesOff aOff);

  protocol::ConfirmReply OnConfirm(const protocol::ConfirmRequest& aRequest,
                                   TimePoint aNow);
  // Declined while the holder is still heard: one broken connection between
  // the deposer and the holder is no loss of the holder.
  protocol::ReleaseReply OnRelease(const protocol::ReleaseRequest& aRequest,
                                   TimePoint aNow);

  // When that run last asked for a confirmation.
  std::optional<TimePoint> Heard(const state::HostRef& aHolder) const;

private:
  struct Guarded
  {
    state::Incarnation incarnation = 0;
    std::optional<TimePoint> heard;
    std::optional<TimePoint> confirmed;
    // Never falls back to false for one incarnation.
    bool released = false;
  };

  bool IsNamed(state::Incarnation aNamed) const;

  state::HostRef self;
  LeaseTiming timing;
  LeaseRulesOff off;
  // The latest run of each host; earlier runs are neither confirmed nor known
  // any more.
  std::map<state::HostId, Guarded> guarded;
};

} // namespace kumquat::coordination
