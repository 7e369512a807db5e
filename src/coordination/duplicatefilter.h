// At most one run for each idempotency key: the part of the host that owns a
// slice of the keys. Repeats of a key meet here, whichever host they came in
// by; the first one runs, through any steward, and the others get its outcome.
//
// One thread; no I/O. The order of calls for one request:
//
//   Submit -> aRun(ticket)            the caller of Submit picks a steward
//   PrepareDispatch(ticket, steward)  -> aGo(kNone): send the Forward now, with
//                                     ticket.owner as sender and ticket.epoch
//   Finish(ticket, answer)            -> every waiting aDone(answer)
//
// After an answer that is surely "not run", PrepareDispatch may be called again
// for another steward before Finish.

#pragma once

#include "coordination/collection.h"
#include "coordination/duplicaterule.h"
#include "coordination/witnesslog.h"
#include "framework/clock.h"
#include "protocol/errorkind.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::coordination {

// A slice of idempotency keys that this host came to own.
struct KeyTenure
{
  state::ServiceName service;
  std::string part;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  // Higher than that of any row that covered a key of the range before.
  state::Epoch epoch = 0;
  enum class Origin
  {
    // No host has ever owned a key of the range.
    kNew,
    // From a host that is deposed, or that was this host's earlier run.
    kTakeover,
    // From a live host that gave it up: it is asked like the others.
    kMove,
  };
  Origin origin = Origin::kTakeover;
  // Only for kTakeover.
  state::HostRef predecessor;
};

class DuplicateFilter
{
public:
  using Answer = std::shared_ptr<const protocol::ForwardReply>;
  using Done = std::function<void(const Answer&)>;

  struct Arrival
  {
    state::ServiceName service;
    std::string key;
    // The host that the caller's request came in by; may be this one.
    state::HostId entry;
    // A repeat is answered kDuplicateRunning where the first still runs then.
    TimePoint deadline;
  };

  struct Ticket
  {
    std::uint64_t number = 0;
    KeyOwner owner;
  };

  using Run = std::function<void(const Ticket&)>;
  // kNone: send now. Otherwise send nothing; Finish with that "not run" kind,
  // or another steward, may follow.
  using Go = std::function<void(protocol::ErrorKind)>;

  struct Options
  {
    state::HostRef self;
    Duration horizon = std::chrono::seconds(120);
    // Keys that run or whose outcome is remembered, and the bytes of the
    // outcomes. Beyond either a new key is refused with kQueueFull.
    std::size_t maxKeys = 100'000;
    std::size_t maxBytes = 32U << 20U;
    Duration askTimeout = std::chrono::milliseconds(300);
    // How far a caller's clock may be from this host's.
    std::chrono::milliseconds clockSkew = std::chrono::seconds(5);

    Clock clock;
    // Wall clock, only ever compared with the time inside UUIDv7 keys.
    std::function<std::chrono::milliseconds()> unixTime;
    // Uniform below the argument, which is not 0.
    std::function<std::size_t(std::size_t)> random;
    AskPeer ask;
    // Whether this host's lease is valid at this very moment.
    std::function<bool()> holdsLease;
    // Live hosts fit to be told of a key, those in other data centres first.
    std::function<std::vector<state::HostRef>()> witnesses;
    // Every incarnation that may have been live within the horizon, gone ones
    // too, from a read of the table that began after the tenure was written.
    // (A host that starts later reads the map after it is in the table, and so
    // knows the new epoch.)
    std::function<std::vector<state::HostRef>()> hostsWithinHorizon;
    // This host's own; outlives the filter.
    WitnessLog* log = nullptr;
    OmittedRules omittedForTest;
  };

  // Each refusal and each repeat by its reason.
  struct Counters
  {
    std::uint64_t ran = 0;
    std::uint64_t repeatsRunning = 0;
    std::uint64_t repeatsFinished = 0;
    std::uint64_t notOwner = 0;
    std::uint64_t noLease = 0;
    std::uint64_t full = 0;
    std::uint64_t unsure = 0;
    std::uint64_t mayHaveRun = 0;
    std::uint64_t noWitness = 0;
    std::uint64_t waitedTooLong = 0;
  };

  explicit DuplicateFilter(Options aOptions);
  ~DuplicateFilter();
  DuplicateFilter(const DuplicateFilter&) = delete;
  DuplicateFilter& operator=(const DuplicateFilter&) = delete;

  // Call once the table has the row with this host as owner. A tenure of the
  // same part with another epoch takes the place of the earlier one.
  void Begin(const KeyTenure& aTenure);
  // What runs goes on and its answers are kept; nothing new is dispatched.
  void End(const state::ServiceName& aService, const std::string& aPart);

  // Exactly one of: aRun now, or as soon as a collection that has just begun
  // has its answers; aDone now; aDone when the first run has finished
  // or aArrival's deadline has passed. aRun's request gets its answer by aDone.
  // Errors: kNotSteward where this host does not own the key, kNoLease,
  // kQueueFull, kOutcomeUnknown, kDuplicateRunning.
  void Submit(Arrival aArrival, const Run& aRun, Done aDone);

  // Has the lease checked, and a witness told where this host alone would know
  // of the key. aGo may be called before this returns.
  void PrepareDispatch(const Ticket& aTicket, const state::HostRef& aSteward,
                       Go aGo);

  // The final answer. Where it is "not run" the key is free again, otherwise it
  // is remembered for the horizon. Must follow each aRun once.
  void Finish(const Ticket& aTicket, const Answer& aAnswer);

  // A successor's question, answered for this host as a whole: its witness log
  // and what it owned itself. Nothing of the range is dispatched from here on.
  protocol::CollectReply AnswerCollection(
    const protocol::CollectRequest& aRequest);

  // Due every 50 ms: repeats' deadlines, horizons, collections.
  void Tick();

  // Whether every key of the part may run at once.
  bool IsSure(const state::ServiceName& aService,
              const std::string& aPart) const;
  std::size_t Size() const;
  const Counters& Counted() const;

private:
  class State;
  std::shared_ptr<State> state;
};

class DuplicateFilterBuilder
{
public:
  DuplicateFilterBuilder& Self(state::HostRef aSelf);
  DuplicateFilterBuilder& Horizon(Duration aHorizon);
  DuplicateFilterBuilder& Capacity(std::size_t aKeys, std::size_t aBytes);
  DuplicateFilterBuilder& ClockSkew(std::chrono::milliseconds aSkew);
  DuplicateFilterBuilder& Clocks(
    Clock aClock, std::function<std::chrono::milliseconds()> aUnixTime);
  DuplicateFilterBuilder& Random(
    std::function<std::size_t(std::size_t)> aRandom);
  DuplicateFilterBuilder& Peers(AskPeer aAsk, Duration aTimeout);
  DuplicateFilterBuilder& Lease(std::function<bool()> aHoldsLease);
  DuplicateFilterBuilder& Hosts(
    std::function<std::vector<state::HostRef>()> aWitnesses,
    std::function<std::vector<state::HostRef>()> aHostsWithinHorizon);
  DuplicateFilterBuilder& Log(WitnessLog& aLog);
  DuplicateFilterBuilder& OmitForTest(OmittedRules aRules);

  // Null where a hook is missing.
  std::unique_ptr<DuplicateFilter> Build();

private:
  DuplicateFilter::Options options;
};

} // namespace kumquat::coordination
