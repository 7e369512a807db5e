// The steward's side of key ownership: takes upstreams over behind a fence,
// gives, renews and revokes the grants of their slices.
//
// A grant is only time: it is renewed straight at the upstream, also while the
// table is down. Which upstream owns a slice is decided by the table before
// Give is called; this class sees to it that no grant is given while another
// one may still be in force. No I/O; OnTimer is due every 50 ms.

#pragma once

#include "framework/channel.h"
#include "framework/clock.h"
#include "framework/result.h"
#include "state/types.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::coordination {

struct GrantTiming
{
  // Counted here from the sending of the last renewal, and at the upstream
  // from its receipt.
  Duration term = std::chrono::seconds(2);
  // The most by which the two clocks can differ over one term.
  Duration drift = std::chrono::milliseconds(20);
  // A third of the term.
  Duration renewal = std::chrono::milliseconds(666);
  // From a control call that failed to the next.
  Duration retry = std::chrono::milliseconds(200);
  // The longest that an order of a predecessor can still be on its way to, or
  // run at, an upstream that does not check fences.
  Duration orderDeadline = std::chrono::seconds(2);
  // The longest that a living predecessor goes on before it has learnt of its
  // successor.
  Duration mapLag = std::chrono::seconds(5);
};

// One name for each rule that keeps a slice with one owner.
enum class GrantRule
{
  // Nothing is granted or run before the upstream took the fence.
  kFenceFirst,
  // A predecessor's grants, given back by the fence or not yet known, are
  // revoked or waited out like this host's own.
  kReadGrantsBack,
  // A revocation without an answer waits until the term has surely lapsed.
  kWaitOutTerm,
  // A revocation's answer counts only once no renewal can still be under way.
  kSettleRenewals,
  // The term counts from the sending of the last renewal here.
  kCountFromSending,
  // A renewal's term counts from the upstream's clock as of its sending.
  kCountFromUpstreamClock,
  // An upstream that does not check fences is taken over only after the
  // predecessor's last order has run out.
  kWaitOutUnfenced,
  // A new incarnation of an upstream has lost its fence and its grants.
  kFenceNewIncarnation,
  // A host without a lease neither gives nor renews.
  kLeaseFirst,
};

// Tests only: the product never switches a rule off.
using GrantRulesOff = std::set<GrantRule>;

struct ControlAnswer
{
  int status = 0;
  std::string body;
};

struct GrantKeeperHooks
{
  using ControlDone = std::function<void(Result<ControlAnswer>)>;

  Clock now;
  // Whether this host holds its lease: Membership::MayStart.
  std::function<bool(TimePoint)> mayStart;
  // An HTTP call to the upstream's control targets: method, target, JSON body.
  // Must always call back, with an error where no whole answer came.
  std::function<void(const state::UpstreamRef&, std::string, std::string,
                     std::string, ControlDone)>
    sendControl;
};

enum class UpstreamPhase
{
  // The fence is on its way; nothing may be sent.
  kFencing,
  // It does not check fences, and a predecessor's orders may still run.
  kWaitingOut,
  kReady,
  // A higher epoch than ours was seen: we are no longer its steward.
  kFenced,
};

std::string_view UpstreamPhaseName(UpstreamPhase aPhase);

// What an upstream said of itself when it took the fence.
struct UpstreamFacts
{
  state::UpstreamRef ref;
  state::Incarnation incarnation = 0;
  bool checksFence = false;
};

class GrantKeeper
{
public:
  // Called once, when the slice is surely in force no more at that upstream;
  // never where the stewardship ends first.
  using RevokeDone = std::function<void()>;

  ~GrantKeeper();
  GrantKeeper(const GrantKeeper&) = delete;
  GrantKeeper& operator=(const GrantKeeper&) = delete;

  // This host is the steward at aRecord.epoch: the table has it.
  // aPredecessorMayRun: another run was the steward before and did not hand
  // over, so that orders of it may still be on their way.
  void TakeOver(const state::UpstreamRecord& aRecord, bool aPredecessorMayRun);
  // The stewardship has gone elsewhere: nothing is sent from here on. The
  // grants run out, or the next steward renews them.
  void GiveUp(const state::UpstreamRef& aRef);

  // The table has aSlice.upstream as the owner. Given at once, or as soon as
  // the upstream is ready, and renewed until Revoke or GiveUp. A grant of the
  // same part and a lower epoch at another upstream is renewed no more.
  void Give(const state::SliceRecord& aSlice);
  // Ends a grant before the table's owner is changed.
  void Revoke(const state::SliceRecord& aSlice, RevokeDone aDone);

  void OnTimer();
  // On every answer of an upstream, control or work.
  void OnIncarnation(const state::UpstreamRef& aRef,
                     state::Incarnation aIncarnation);
  // An upstream answered "fenced" to work of ours.
  void OnFenced(const state::UpstreamRef& aRef, state::Epoch aEpoch);

  // The check right before work of aSlice is sent to its upstream; the host's
  // lease is part of it.
  bool MayRun(const state::SliceRecord& aSlice, TimePoint aNow) const;
  // The same for an upstream of a service without keys.
  bool MayRun(const state::UpstreamRef& aRef, TimePoint aNow) const;
  std::optional<UpstreamPhase> Phase(const state::UpstreamRef& aRef) const;

  Channel<UpstreamFacts>& UpstreamReady();
  // A higher epoch was seen: the map is behind the table.
  Channel<state::UpstreamRef, state::Epoch>& UpstreamLost();
  Channel<state::SliceRecord>& GrantGained();
  Channel<state::SliceRecord>& GrantLost();

private:
  friend class GrantKeeperBuilder;
  class Impl;
  explicit GrantKeeper(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl;
};

class GrantKeeperBuilder
{
public:
  GrantKeeperBuilder& Self(state::HostRef aSelf);
  GrantKeeperBuilder& Hooks(GrantKeeperHooks aHooks);
  GrantKeeperBuilder& Timing(const GrantTiming& aTiming);
  // Tests only.
  GrantKeeperBuilder& WithoutRules(GrantRulesOff aOff);

  std::unique_ptr<GrantKeeper> Build();

private:
  state::HostRef self;
  GrantKeeperHooks hooks;
  GrantTiming timing;
  GrantRulesOff off;
};

} // namespace kumquat::coordination
