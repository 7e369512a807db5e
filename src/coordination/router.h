// One host's decisions, put together: entry, steward, guard and planner. No
// I/O and one thread: time, chance, peers, upstreams and the table come in by
// hooks, so that the same code runs in the daemon and in tests.

#pragma once

#include "coordination/atmostonce.h"
#include "coordination/bodystreams.h"
#include "coordination/choosing.h"
#include "coordination/entry.h"
#include "coordination/mapkeeper.h"
#include "coordination/membership.h"
#include "coordination/peercalls.h"
#include "coordination/planner.h"
#include "coordination/requests.h"
#include "coordination/stewardduty.h"
#include "framework/clock.h"
#include "framework/events.h"
#include "state/configurationkeeper.h"
#include "state/platform.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace kumquat::coordination {

class Router
{
public:
  using Answer = std::function<void(RequestResult)>;
  using HttpDone = std::function<void(Result<transport::HttpResponse>)>;

  struct Hooks
  {
    Clock now;
    std::function<std::chrono::milliseconds()> unixTime;
    // All 64 bits.
    std::function<std::uint64_t()> random;
    state::TableHooks table;
    // False: surely not sent.
    std::function<bool(const state::HostId&, const protocol::Frame&)> send;
    std::function<void(const state::HostId&, const std::string&)> setAddress;
    std::function<void(UpstreamCall)> sendUpstream;
    std::function<void(RequestId)> cancelUpstream;
    std::function<void(const std::string&, transport::HttpRequest,
                       std::chrono::milliseconds, HttpDone)>
      control;
    std::function<void(protocol::ErrorKind)> countRetry;
    // The other hosts have deposed this run.
    std::function<void()> deposed;
    // Gets an object's content from the platform's object store.
    std::function<void(const std::string&,
                       std::function<void(Result<std::string>)>)>
      fetchObject;
    // May be empty.
    EventHook event;
  };

  struct Identity
  {
    state::HostRef self;
    state::DataCentre dataCentre;
    std::string peerAddress;
  };

  Router(Identity aIdentity, Hooks aHooks);

  void Start();
  // A planned stop: others take over; what is here ends as usual.
  void Stop();
  // After Stop: nothing is left here to be done.
  bool IsIdle() const;
  // After the last work is done.
  void Finish();

  void OnCallerRequest(CallerRequest aRequest, Answer aAnswer);
  void OnFrame(const state::HostRef& aFrom, protocol::Frame&& aFrame);
  void OnPeer(const state::HostRef& aPeer, bool aUp);
  void OnUpstreamAnswer(RequestId aId, Result<transport::HttpResponse> aAnswer);
  void OnBodyEnd(RequestId aId);
  void OnEndpoints(state::EndpointList aList);
  // Due every 10 ms.
  void OnTimer();

  // Callers may be sent here.
  bool IsReady() const;
  bool HoldsLease() const;
  void Broadcast(const protocol::Frame& aFrame);

  const state::Configuration& Configuration() const
  {
    return this->keeper.InForce();
  }
  const state::ConfigurationKeeper& Keeper() const { return this->keeper; }
  state::ConfigurationKeeper& Keeper() { return this->keeper; }
  const MapKeeper& Map() const { return this->map; }
  MapKeeper& Map() { return this->map; }
  const Membership& Members() const { return *this->membership; }
  const StewardDuty& Duty() const { return this->duty; }
  const Planner& Plans() const { return this->planner; }
  const AtMostOnce& Once() const { return this->once; }
  const std::set<state::HostRef>& Peers() const { return this->peers; }

private:
  void OnForward(const state::HostRef& aFrom, std::uint64_t aCorrelation,
                 protocol::Forward&& aForward);
  void SubmitForward(const state::HostRef& aFrom, std::uint64_t aCorrelation,
                     protocol::Forward&& aForward);
  void Reply(const state::HostId& aTo, std::uint64_t aCorrelation,
             protocol::Frame&& aFrame);
  void ReplyResult(const state::HostId& aTo, std::uint64_t aCorrelation,
                   const state::UpstreamRef& aUpstream, RequestResult aResult);
  void OnRequestFrame(const state::HostRef& aFrom, protocol::Frame&& aFrame);
  void OnRevoke(const state::HostRef& aFrom, const protocol::Frame& aFrame);
  void AskRevoke(const state::SliceRecord& aSlice,
                 const std::function<void(bool)>& aDone);
  void OnHosts();
  void OnConfiguration();
  bool IsKnown(const state::HostRef& aPeer) const;
  void RefuseStranger(const state::HostRef& aFrom,
                      const protocol::Frame& aFrame);
  state::ConfigurationKeeper::Hooks KeeperHooks();
  bool IsLive(const state::HostRef& aRef) const;
  bool IsUnusable(const state::UpstreamRef& aRef) const;
  void Plan();
  void SendDigests();
  protocol::SlotDigest DigestOf(const state::UpstreamRef& aRef) const;
  bool OwnsKeys() const;
  bool IsPlanned(const state::ServiceConfiguration& aService) const;
  std::vector<state::HostRef> SeenHosts();

  const Identity identity;
  const Hooks hooks;
  state::EndpointList endpoints;
  bool endpointsKnown = false;
  bool stopping = false;
  TimePoint started;
  std::set<state::HostRef> peers;
  // Every run of a host that was seen live, and when last.
  std::map<state::HostRef, TimePoint> seen;
  RoomView rooms;
  std::set<state::UpstreamRef> changedRooms;
  TimePoint digestsDue;
  TimePoint planDue;
  // When this host was last seen to own idempotency keys while stopping.
  TimePoint lastOwner;
  PeerCalls calls;
  MapKeeper map;
  state::ConfigurationKeeper keeper;
  std::unique_ptr<Membership> membership;
  StewardDuty duty;
  Entry entry;
  AtMostOnce once;
  Planner planner;
  BodyStreams streams;
};

} // namespace kumquat::coordination
