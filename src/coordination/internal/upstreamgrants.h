// One upstream's fence and grants, as its steward keeps them.

#pragma once

#include "coordination/grantkeeper.h"
#include "coordination/internal/grantlife.h"
#include "coordination/internal/grantmessages.h"
#include "coordination/internal/upstreamlife.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::coordination {

// What all upstreams of one keeper share.
struct GrantContext
{
  state::HostRef self;
  GrantKeeperHooks hooks;
  GrantTiming timing;
  GrantRulesOff off;
  Channel<UpstreamFacts> ready;
  Channel<state::UpstreamRef, state::Epoch> lost;
  Channel<state::SliceRecord> grantGained;
  Channel<state::SliceRecord> grantLost;
};

class UpstreamGrants : public std::enable_shared_from_this<UpstreamGrants>
{
public:
  // The context is the keeper's and outlives this object.
  UpstreamGrants(state::UpstreamRecord aRecord, bool aPredecessorMayRun,
                 GrantContext& aContext);

  void Give(const state::SliceRecord& aSlice);
  // The table has another owner for that part, since aEpoch.
  void Drop(const std::string& aPart, state::Epoch aEpoch);
  void Revoke(const state::SliceRecord& aSlice, GrantKeeper::RevokeDone aDone);
  void OnTimer();
  void OnIncarnation(state::Incarnation aIncarnation);
  void OnFenced(state::Epoch aEpoch);

  bool MayRun(const state::SliceRecord& aSlice, TimePoint aNow) const;
  bool MayRun(TimePoint aNow) const;
  UpstreamPhase Phase() const;
  const state::UpstreamRecord& Record() const;

private:
  struct Grant
  {
    state::SliceRecord slice;
    GrantLife life;
    std::int64_t sequence = 0;
    // When the last renewal was sent, whatever became of it.
    std::optional<TimePoint> lastSent;
    // Work may be sent until then; never moves back but by a restart.
    TimePoint validUntil = TimePoint::min();
    // Until then a renewal without an answer may still take effect.
    TimePoint unsettledUntil = TimePoint::min();
    // A predecessor's grant may be in force until then.
    TimePoint inheritedUntil = TimePoint::min();
    TimePoint nextCall = TimePoint::min();
    TimePoint revokedAt;
    bool calling = false;
    bool revokeAnswered = false;
    // The table has another owner: forgotten at the next timer.
    bool dropped = false;
    GrantKeeper::RevokeDone done;
  };

  bool IsOff(GrantRule aRule) const;
  bool MayAct(TimePoint aNow) const;
  void Call(
    const std::string& aTarget, std::string aBody,
    std::function<void(UpstreamGrants&, const Result<ControlAnswer>&)> aDone);
  void SendFence(TimePoint aNow);
  void OnFenceAnswer(const Result<ControlAnswer>& aAnswer);
  void TakeFence(const FenceAnswer& aAnswer, TimePoint aNow);
  // Bounds by when a predecessor's grant of that part has run out.
  void Inherit(Grant& aGrant) const;
  void RaiseSequences(const FenceAnswer& aAnswer);
  void BecomeReady();
  void Restart();
  // Whether a 412 means that a later steward is there.
  void OnRefused(const std::string& aBody);
  void DriveGrant(Grant& aGrant, TimePoint aNow);
  void Renew(Grant& aGrant, TimePoint aNow);
  void OnRenewed(const std::string& aPart, state::Epoch aEpoch, TimePoint aSent,
                 const Result<ControlAnswer>& aAnswer);
  void DriveRevoke(Grant& aGrant, TimePoint aNow);
  void SendRevoke(Grant& aGrant, TimePoint aNow);
  void OnRevokeAnswer(const std::string& aPart, state::Epoch aEpoch,
                      const Result<ControlAnswer>& aAnswer);

  void HearClock(const std::string& aBody);
  // What the upstream's clock shows now, or a little less.
  std::optional<std::int64_t> ClockNow(TimePoint aNow) const;
  TimePoint LapsedAt(const Grant& aGrant) const;
  void Sweep();

  state::UpstreamRecord record;
  bool predecessorMayRun;
  GrantContext& context;
  UpstreamLife life;
  TimePoint begun;
  TimePoint waitUntil;
  TimePoint nextFence;
  bool fencing = false;
  // Answers to calls of an earlier round, before a restart, are stale.
  std::uint64_t round = 0;
  std::optional<state::Incarnation> incarnation;
  // The upstream's clock as last heard of, and when.
  std::optional<std::pair<std::int64_t, TimePoint>> clock;
  // When the first fence was taken, and the grants that it gave back.
  std::optional<TimePoint> fencedAt;
  std::map<std::string, std::int64_t> inherited;
  // Unknown is treated as false.
  bool checksFence = false;
  std::map<std::string, Grant> grants;
};

} // namespace kumquat::coordination
