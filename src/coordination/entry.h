// Brings a request to the steward of a fitting upstream and its answer back:
// chooses, forwards, retries within bounds, and gives up with a true answer.

#pragma once

#include "coordination/choosing.h"
#include "coordination/peercalls.h"
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
    // Makes the reader of a streamed body, for a reply that says "more".
    std::function<transport::BodyReader(const state::HostId&, std::uint64_t)>
      readBody;
    // Whether a host holds its lease, as far as is known here.
    std::function<bool(const state::HostRef&)> isLive;
    // Told of each retry, with its reason.
    std::function<void(protocol::ErrorKind)> retried;
    // A map that led to the wrong host may be old.
    std::function<void()> refreshMap;
  };

  Entry(Hooks aHooks, const state::RoutingMap& aMap, RoomView& aRooms,
        Steward& aSteward, PeerCalls& aCalls);

  // For requests that this host runs as the owner of their idempotency key.
  struct Ownership
  {
    state::Epoch epoch = 0;
    // Asked before each dispatch, with the steward that it goes to; the
    // dispatch goes on only where it answers kNone.
    std::function<void(const state::HostRef&,
                       std::function<void(protocol::ErrorKind)>)>
      prepare;
  };

  // aDone runs once: at once where the request is refused, else when there is
  // an answer or nothing more to hope for.
  void Run(const state::ServiceConfiguration& aService, CallerRequest aRequest,
           Ownership aOwnership, Done aDone);

  void OnTimer();

  // Requests that have no answer yet.
  std::size_t InFlight() const { return this->inFlight; }

private:
  struct Pending
  {
    state::ServiceConfiguration service;
    CallerRequest request;
    Ownership ownership;
    Done done;
    int tries = 0;
    // How an earlier try ended that may have run.
    std::optional<protocol::ErrorKind> mayHaveRun;
    // Tried before in this request.
    std::set<state::UpstreamRef> tried;
    state::UpstreamRef target;
  };

  using PendingPtr = std::shared_ptr<Pending>;

  void Try(const PendingPtr& aPending);
  Result<state::UpstreamRef> Target(const Pending& aPending) const;
  std::vector<Candidate> Candidates(const Pending& aPending) const;
  void SendTo(const PendingPtr& aPending,
              const state::UpstreamRecord& aUpstream);
  void Dispatch(const PendingPtr& aPending,
                const state::UpstreamRecord& aUpstream);
  void SubmitHere(const PendingPtr& aPending);
  void Forward(const PendingPtr& aPending,
               const state::UpstreamRecord& aUpstream);
  RequestResult TakeReply(const state::HostId& aSteward,
                          Result<protocol::Frame> aReply) const;
  void OnResult(const PendingPtr& aPending, RequestResult aResult);
  bool MayRetry(const Pending& aPending, protocol::ErrorKind aKind) const;
  void RetryLater(const PendingPtr& aPending);
  void Finish(const PendingPtr& aPending, RequestResult aResult);

  const Hooks hooks;
  const state::RoutingMap& map;
  RoomView& rooms;
  Steward& steward;
  RetryBudget budget;
  PeerCalls& calls;
  // Before their next try.
  std::multimap<TimePoint, PendingPtr> waiting;
  std::size_t inFlight = 0;
};

// A reply may be on its way while the deadline passes here.
constexpr std::chrono::milliseconds kReplyGrace{ 50 };

protocol::Forward MakeForward(const CallerRequest& aRequest,
                              const state::HostRef& aSender, TimePoint aNow);
CallerRequest FromForward(protocol::Forward&& aForward, TimePoint aNow);

protocol::ForwardReply MakeReply(RequestResult&& aResult);
RequestResult FromReply(protocol::ForwardReply&& aReply);

} // namespace kumquat::coordination
