// The path of requests that must not run twice: by way of the host that owns
// the slice of their idempotency keys, with witnesses, to any upstream.

#pragma once

#include "coordination/duplicatefilter.h"
#include "coordination/entry.h"
#include "coordination/mapkeeper.h"
#include "coordination/peercalls.h"
#include "coordination/requests.h"
#include "coordination/witnesslog.h"
#include "framework/clock.h"
#include "state/configuration.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquat::coordination {

// How long after its end a key's outcome is remembered, and a lost host's
// knowledge missed.
inline constexpr Duration kKeyHorizon = std::chrono::seconds(120);

class AtMostOnce
{
public:
  using Done = std::function<void(RequestResult)>;

  struct Hooks
  {
    Clock now;
    std::function<std::chrono::milliseconds()> unixTime;
    RandomBelow random;
    state::HostRef self;
    state::DataCentre dataCentre;
    std::function<bool()> holdsLease;
    std::function<bool(const state::HostRef&)> isDeposed;
    std::function<std::vector<state::HostRecord>()> liveHosts;
    // Each run of a host that this one has heard of, gone ones too.
    std::function<std::vector<state::HostRef>()> seenHosts;
  };

  AtMostOnce(Hooks aHooks, MapKeeper& aMap, PeerCalls& aCalls, Entry& aEntry);

  // A caller's request with an idempotency key, at the host it came in by.
  void Run(const state::ServiceConfiguration& aService, CallerRequest aRequest,
           Done aDone);
  // The same at the key's owner, forwarded by the entry aFrom.
  void RunAsOwner(const state::ServiceConfiguration& aService,
                  const state::HostId& aFrom, const CallerRequest& aRequest,
                  Done aDone);
  // A steward's check of a forward before it takes it.
  protocol::ErrorKind Admit(const protocol::Forward& aForward);

  protocol::WitnessReply Answer(const protocol::WitnessNote& aNote);
  protocol::CollectReply Answer(const protocol::CollectRequest& aRequest);

  void OnTimer();

  const DuplicateFilter::Counters& Counted() const;

private:
  struct Attempt
  {
    state::ServiceConfiguration service;
    CallerRequest request;
    Done done;
    int tries = 0;
  };

  using AttemptPtr = std::shared_ptr<Attempt>;

  void TryOwner(const AttemptPtr& aAttempt);
  void AskOwner(const AttemptPtr& aAttempt, const state::SliceRecord& aSlice);
  void OnOwnerResult(const AttemptPtr& aAttempt, RequestResult aResult);
  void RunTicket(const state::ServiceConfiguration& aService,
                 CallerRequest aRequest,
                 const DuplicateFilter::Ticket& aTicket);
  void OnSliceChanged(const MapKeeper::Change<state::SliceRecord>& aChange);
  std::vector<state::HostRef> Witnesses() const;
  std::vector<state::HostRef> HostsWithinHorizon() const;

  const Hooks hooks;
  MapKeeper& map;
  PeerCalls& calls;
  Entry& entry;
  const TimePoint started;
  WitnessLog log;
  std::unique_ptr<DuplicateFilter> filter;
  // Attempts that wait for the map to catch up.
  std::multimap<TimePoint, AttemptPtr> waiting;
};

} // namespace kumquat::coordination
