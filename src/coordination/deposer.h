// Deposes hosts that are lost: suspects one that is silent, writes the
// suspicion, asks its guards to release it, waits until their confirmations
// have run out, and marks its row as deposed. Only that last write decides;
// it is conditional, so that several deposers do no harm to each other.

#pragma once

#include "coordination/hostdirectory.h"
#include "coordination/leaseguard.h"
#include "coordination/leasetiming.h"
#include "framework/clock.h"
#include "protocol/gen/peer_types.h"
#include "state/table.h"
#include "state/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::coordination {

struct DeposerHooks
{
  Clock now;
  std::function<std::uint64_t()> random;
  state::TableHooks table;
  std::function<bool(const state::HostId&, protocol::Frame)> send;
  std::function<bool()> holdsLease;
  // Rows read from the table, and rows that were written.
  std::function<void(const std::vector<state::Row>&)> onRead;
  std::function<void(const state::Row&)> onWritten;
};

class Deposer
{
public:
  // The directory and the guard are the same host's and outlive the deposer.
  Deposer(state::HostRef aSelf, const LeaseTiming& aTiming, LeaseRulesOff aOff,
          const HostDirectory& aDirectory, LeaseGuard& aGuard,
          DeposerHooks aHooks);

  // Deposes that run without waiting for silence: an earlier run of this host.
  void Demand(const state::HostRef& aRef);
  void OnTimer();
  void OnReleaseReply(const state::HostRef& aFrom, std::int64_t aCorrelation,
                      const protocol::ReleaseReply& aReply);
  void OnRowChanged(const state::HostRecord& aRecord);

  bool Busy(const state::HostId& aHost) const;

private:
  enum class Step
  {
    kSuspecting,
    kReleasing,
    kDeposing,
  };

  struct Attempt
  {
    state::HostRef target;
    bool demanded = false;
    Step step = Step::kSuspecting;
    // The row that this attempt acts on; another version ends the attempt.
    state::HostRecord record;
    std::string nonce;
    bool writing = false;
    TimePoint begun;
    TimePoint nextWrite;
    TimePoint nextAsk;
    // When each guard's last confirmation has surely run out.
    std::map<state::HostRef, TimePoint> released;
    std::map<std::int64_t, state::HostRef> asked;
  };

  struct Watch
  {
    Duration jitter;
    Duration pause;
    TimePoint notBefore;
  };

  void NoticeOwnSleep(TimePoint aNow);
  void Scan(TimePoint aNow);
  Watch& WatchOf(const state::HostId& aHost);
  Duration Jitter();
  std::optional<TimePoint> SuspectAt(const KnownHost& aKnown,
                                     const Watch& aWatch) const;
  std::optional<TimePoint> SilentSince(const KnownHost& aKnown) const;
  bool IsGuardOf(const state::HostRecord& aRecord) const;
  bool HeardSince(const state::HostRef& aRef, TimePoint aSince) const;
  void Begin(const KnownHost& aKnown, bool aDemanded);
  void Drive(Attempt& aAttempt);
  void DriveReleasing(Attempt& aAttempt);
  void AskGuards(Attempt& aAttempt);
  void AskGuard(Attempt& aAttempt, const state::HostRef& aGuard);
  void TakeRelease(Attempt& aAttempt, const state::HostRef& aGuard,
                   const protocol::ReleaseReply& aReply);
  std::optional<TimePoint> ReadyAt(const Attempt& aAttempt) const;
  void Write(Attempt& aAttempt);
  void OnWritten(const state::HostId& aHost, const state::Row& aRow,
                 state::WriteOutcome aOutcome);
  void ReadBack(const state::HostId& aHost);
  void OnReadBack(const state::HostId& aHost);
  void Advance(Attempt& aAttempt);
  void GiveUp(const state::HostId& aHost);

  state::HostRef self;
  LeaseTiming timing;
  LeaseRulesOff off;
  const HostDirectory& directory;
  LeaseGuard& guard;
  DeposerHooks hooks;
  std::map<state::HostId, Attempt> attempts;
  std::map<state::HostId, Watch> watches;
  std::optional<state::HostRef> demanded;
  std::int64_t nextCorrelation;
  TimePoint lastTimer;
  TimePoint nextScan;
  // Silence is counted from here at the earliest.
  TimePoint awakeSince;
  // Answers that come after this object's end find it gone.
  std::shared_ptr<Deposer*> token;
};

} // namespace kumquat::coordination
