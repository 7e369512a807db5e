// What this host knows of idempotency keys as a witness: those that it
// forwarded to their owner, was told of by their owner, or ran for it. When an
// owner is lost, its successor learns from these logs which keys may have run.
//
// One thread; no I/O.

#pragma once

#include "coordination/duplicaterule.h"
#include "framework/clock.h"
#include "protocol/errorkind.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquat::coordination {

// A key's owner as a sender knows it.
struct KeyOwner
{
  state::HostRef host;
  // Of the slice of idempotency keys.
  state::Epoch epoch = 0;
};

class WitnessLog
{
public:
  struct Options
  {
    state::HostRef self;
    // From a key's last note; the same on every host.
    Duration horizon = std::chrono::seconds(120);
    // Beyond it new keys are refused: forgetting one early would let it run
    // again after a takeover.
    std::size_t maxKeys = 200'000;
    Clock clock;
    // The epoch in this host's map of the slice that holds the hash; 0 where
    // the map has none.
    std::function<state::Epoch(const state::ServiceName&, std::uint64_t)>
      knownEpoch;
    // Whether this host's map shows the incarnation as deposed or replaced.
    std::function<bool(const state::HostRef&)> isDeposed;
    OmittedRules omittedForTest;
  };

  explicit WitnessLog(Options aOptions);

  // Before the entry forwards a keyed request to its owner, and before the
  // steward queues one from its owner. Only after kNone may it go on;
  // kStaleSender: the owner is fenced or replaced; kQueueFull: the log is full.
  // In both of these cases this host has not run and will not run it.
  [[nodiscard]] protocol::ErrorKind Note(const KeyOwner& aOwner,
                                         const state::ServiceName& aService,
                                         std::string_view aKey);

  // A key that this host has noted as its owner has surely not run. Keys that
  // were noted under an earlier owner stay.
  void Withdraw(const KeyOwner& aOwner, const state::ServiceName& aService,
                std::string_view aKey);

  // The steward's side of Note. Requests without an idempotency key, and those
  // that come from an entry rather than an owner (ownerEpoch 0), are checked
  // for their sender only.
  [[nodiscard]] protocol::ErrorKind Admit(const protocol::Forward& aForward);

  protocol::WitnessReply Answer(const protocol::WitnessNote& aNote);

  // Names the keys noted under a lower epoch than the successor's. Also the
  // fence: from here on this host accepts nothing of the predecessor's
  // incarnation, nor of a lower epoch in the range.
  protocol::CollectReply Answer(const protocol::CollectRequest& aRequest);

  // Drops what is older than the horizon; due every second or so.
  void Tick();

  std::size_t Size() const;

private:
  struct Range
  {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    state::Epoch epoch = 0;
  };

  struct Expiry
  {
    TimePoint at;
    state::ServiceName service;
    std::uint64_t hash = 0;
  };

  struct Known
  {
    TimePoint expires;
    // The lowest that the key was noted under: a successor needs to hear only
    // of keys from before its own epoch.
    state::Epoch epoch = 0;
  };

  using Hashes = std::unordered_map<std::uint64_t, Known>;

  bool Omits(DuplicateRule aRule) const;
  bool IsFenced(const KeyOwner& aOwner, const state::ServiceName& aService,
                std::uint64_t aHash) const;
  bool IsReplaced(const KeyOwner& aOwner, const state::ServiceName& aService,
                  std::uint64_t aHash) const;
  void FenceHost(const state::HostRef& aHost);
  void FenceRange(const state::ServiceName& aService, const Range& aRange);
  bool Remember(const state::ServiceName& aService, std::uint64_t aHash,
                state::Epoch aEpoch);

  Options options;
  std::unordered_map<state::ServiceName, Hashes> known;
  // In the order of time. A key noted again stands here again; the entry whose
  // time is not the key's own is skipped.
  std::deque<Expiry> expiries;
  std::size_t count = 0;
  // Kept for this process's life, as a host may sleep longer than any horizon:
  // one number a host, and a range for each slice that ever changed hands.
  std::map<state::HostId, state::Incarnation> fencedHosts;
  std::unordered_map<state::ServiceName, std::vector<Range>> fencedRanges;
};

} // namespace kumquat::coordination
