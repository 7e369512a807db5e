// Brings a request to the steward of a fitting upstream and its answer back:
// chooses, forwards, retries within bounds, and gives up with a true answer.

#pragma once

#include "coordination/choosing.h"
#include "coordination/requests.h"
#include "coordination/retrybudget.h"
#include "coordination/steward.h"
#include "framework/clock.h"
#include "protocol/gen/peer_types.h"
#include "state/configuration.h"
#include "state/routingmap.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace kumquat::coordination {

class Entry
{
public:
  using Done = std::function<void(RequestResult)>;

  struct Hooks
  {
    Clock now;
    RandomBelow random;
    state::HostRef self;
    state::DataCentre dataCentre;
    // False: surely not sent.
    std::function<bool(const state::HostId&, const protocol::Frame&)> send;
    std::function<std::uint64_t()> nextCorrelation;
    // Whether a host holds its lease, as far as is known here.
    std::function<bool(const state::HostRef&)> isLive;
    // Told of each retry, with its reason.
    std::function<void(protocol::ErrorKind)> retried;
    // A map that led to the wrong host may be old.
    std::function<void()> refreshMap;
  };

  Entry(Hooks aHooks, const state::RoutingMap& aMap, RoomView& aRooms,
        Steward& aSteward);

  // aDone runs once: at once where the request is refused, else when there is
  // an answer or nothing more to hope for.
  void Run(const state::ServiceConfiguration& aService, CallerRequest aRequest,
           Done aDone);

  void OnForwardReply(std::uint64_t aCorrelation,
                      protocol::ForwardReply&& aReply,
                      transport::BodyReader aRest);
  // The connection broke: what was sent there has an unknown fate.
  void OnPeerLost(const state::HostId& aHost);
  void OnTimer();

  std::size_t InFlight() const { return this->pending.size(); }

private:
  struct Pending
  {
    state::ServiceConfiguration service;
    CallerRequest request;
    Done done;
    int tries = 0;
    // Tried before in this request.
    std::set<state::UpstreamRef> tried;
    state::UpstreamRef target;
    // Set while a frame is out; empty while we are the steward or wait.
    std::optional<state::HostId> sentTo;
    std::uint64_t correlation = 0;
  };

  using PendingPtr = std::shared_ptr<Pending>;

  void Try(const PendingPtr& aPending);
  Result<state::UpstreamRef> Target(const Pending& aPending) const;
  std::vector<Candidate> Candidates(const Pending& aPending) const;
  void SendTo(const PendingPtr& aPending,
              const state::UpstreamRecord& aUpstream);
  void SubmitHere(const PendingPtr& aPending);
  bool Forward(const PendingPtr& aPending,
               const state::UpstreamRecord& aUpstream);
  void OnResult(const PendingPtr& aPending, RequestResult aResult);
  bool MayRetry(const Pending& aPending, protocol::ErrorKind aKind) const;
  void RetryLater(const PendingPtr& aPending);
  void Finish(const PendingPtr& aPending, RequestResult aResult);

  const Hooks hooks;
  const state::RoutingMap& map;
  RoomView& rooms;
  Steward& steward;
  RetryBudget budget;
  // By correlation: a frame is out for each.
  std::unordered_map<std::uint64_t, PendingPtr> pending;
  std::multimap<TimePoint, PendingPtr> waiting;
  // Frames whose reply is late beyond the caller's deadline.
  std::multimap<TimePoint, std::uint64_t> deadlines;
};

protocol::Forward MakeForward(const CallerRequest& aRequest, TimePoint aNow);
CallerRequest FromForward(protocol::Forward&& aForward, TimePoint aNow);

} // namespace kumquat::coordination
