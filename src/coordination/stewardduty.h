// What this host does as a steward beyond queueing: takes stewardships that
// the table gives it, fences, grants and watches, hands over what the table
// gives to another, and ends grants when a planner asks.

#pragma once

#include "coordination/grantkeeper.h"
#include "coordination/mapkeeper.h"
#include "coordination/peercalls.h"
#include "coordination/steward.h"
#include "coordination/upstreamwatch.h"
#include "framework/clock.h"
#include "state/configuration.h"
#include "state/platform.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace kumquat::coordination {

class StewardDuty
{
public:
  struct Hooks
  {
    Clock now;
    state::HostRef self;
    std::function<bool()> holdsLease;
    std::function<bool(const state::HostRef&)> isDeposed;
    std::function<void(UpstreamCall)> send;
    std::function<void(RequestId)> cancel;
    // An HTTP call to an upstream's control targets; always calls back.
    std::function<void(const std::string& aAddress,
                       transport::HttpRequest aRequest,
                       std::chrono::milliseconds aTimeout,
                       std::function<void(Result<transport::HttpResponse>)>)>
      control;
    std::function<const state::Configuration&()> configuration;
  };

  StewardDuty(Hooks aHooks, MapKeeper& aMap, PeerCalls& aCalls);

  Steward& Slots() { return this->steward; }
  const Steward& Slots() const { return this->steward; }
  const GrantKeeper& Grants() const { return *this->grants; }
  const UpstreamWatch& Watch() const { return this->watch; }

  void OnTimer();
  // The services are known, or have changed.
  void OnConfiguration();
  void OnLeaseGained();
  void OnPlaceChanged();
  // The platform's list: what is leaving or gone gets no new work.
  void OnEndpoints(const state::EndpointList& aList);

  // The planner's wish to move a slice; aDone(true): its grant has surely
  // ended.
  void Revoke(const protocol::RevokeSlice& aWish,
              std::function<void(bool)> aDone);
  bool OnHandOver(const state::HostRef& aFrom,
                  const protocol::HandOver& aHandOver);

  // Whether this host is steward of it and cannot use it now.
  bool IsUnusable(const state::UpstreamRef& aRef) const;

private:
  // A stewardship whose predecessor still has work running.
  struct Awaited
  {
    state::HostRef predecessor;
    TimePoint until;
  };

  void OnUpstreamChanged(
    const MapKeeper::Change<state::UpstreamRecord>& aChange);
  void OnSliceChanged(const MapKeeper::Change<state::SliceRecord>& aChange);
  void Begin(const state::UpstreamRecord& aRecord,
             const state::HostRef& aPredecessor);
  void End(const state::UpstreamRecord& aRecord);
  void SendHandOver(const state::UpstreamRef& aRef);
  void Reopen(const state::UpstreamRef& aRef);
  void ReopenAll();
  bool MayRun(const state::UpstreamRef& aRef, const std::string& aKey) const;
  bool MayBeOpen(const state::UpstreamRecord& aRecord) const;
  void OnAnswered(const state::UpstreamRef& aRef,
                  const transport::HttpResponse& aResponse);
  void AskHealth(const state::UpstreamRef& aRef,
                 const UpstreamWatch::AskDone& aDone);
  void Control(const state::UpstreamRef& aRef, const std::string& aMethod,
               const std::string& aTarget, const std::string& aBody,
               const GrantKeeperHooks::ControlDone& aDone);
  void GiveBackAfterRevoke();

  const Hooks hooks;
  MapKeeper& map;
  PeerCalls& calls;
  Steward steward;
  std::unique_ptr<GrantKeeper> grants;
  UpstreamWatch watch;
  std::map<state::UpstreamRef, Awaited> awaited;
  // Of the platform's list, without those that leave.
  std::set<state::UpstreamRef> listed;
  bool listKnown = false;
  // Given away with work still running: the successor is told of each end.
  std::map<state::UpstreamRef, state::HostRef> handedOver;
  // Slices whose grant was ended for a move that has not come: when to take
  // them back.
  std::map<std::pair<state::ServiceName, std::uint64_t>, TimePoint> revoked;
};

} // namespace kumquat::coordination
