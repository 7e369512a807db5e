// The one host that sends work to an upstream. It counts the upstream's slots
// exactly, queues what does not fit by deadline, and paces cold starts.

#pragma once

#include "coordination/requests.h"
#include "coordination/slotramp.h"
#include "framework/channel.h"
#include "framework/clock.h"
#include "state/configuration.h"
#include "state/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace kumquat::coordination {

// What others know of an upstream's room.
struct SlotCount
{
  state::UpstreamRef upstream;
  state::Epoch epoch = 0;
  int freeSlots = 0;
  int queued = 0;
  int running = 0;
  int allowed = 0;
  int served = 0;
  // Nothing but failures came back for a while: to be planned around.
  bool lost = false;
};

struct Work
{
  RequestId id = 0;
  CallerRequest request;
  // Runs once, within Submit, OnAnswer, OnTimer or Release.
  std::function<void(RequestResult)> done;
};

class Steward
{
public:
  struct Hooks
  {
    Clock now;
    // Sends at once; the answer comes back by OnAnswer.
    std::function<void(UpstreamCall)> send;
    std::function<void(RequestId)> cancel;
    // Asked right before each send: does this host still hold its lease, and
    // does the upstream still hold the key's slice?
    std::function<bool()> holdsLease;
    std::function<bool(const state::UpstreamRef&, const std::string&)> mayRun;
    // Of the slice that the key falls into; 0 where there is none.
    std::function<state::Epoch(const state::ServiceName&, const std::string&)>
      sliceEpoch;
    // An answer of an upstream, for what it says of the upstream's state.
    std::function<void(const state::UpstreamRef&,
                       const transport::HttpResponse&)>
      answered;
    // A request there got no answer: the connection broke or was refused.
    std::function<void(const state::UpstreamRef&)> unanswered;
    // The name that upstreams know the steward by.
    std::string name;
  };

  explicit Steward(Hooks aHooks);

  // Begins, or goes on with a newer record.
  void Take(const state::UpstreamRecord& aRecord,
            const state::ServiceConfiguration& aService);
  // What waits is refused as not run; what runs ends here.
  void Release(const state::UpstreamRef& aRef, protocol::ErrorKind aWhy);
  // While false, nothing is sent and nothing new is taken: the upstream is
  // being fenced, drains, is lost, or is in a place that is out. It starts so.
  void SetOpen(const state::UpstreamRef& aRef, bool aOpen);
  // Requests of the steward before this one that still run there, and the
  // slots that it had come to allow.
  void SetForeign(const state::UpstreamRef& aRef, int aRunning, int aAllowed);
  // What the upstream says of itself, in an answer to work or to a question
  // about its health: a new process of it starts cold.
  void OnIncarnation(const state::UpstreamRef& aRef,
                     state::Incarnation aIncarnation);

  // Requests sent to the upstream and not answered; also after Release.
  int RunningAt(const state::UpstreamRef& aRef) const;
  std::size_t RunningInAll() const { return this->running.size(); }
  bool Holds(const state::UpstreamRef& aRef) const;
  state::Epoch EpochOf(const state::UpstreamRef& aRef) const;
  std::vector<state::UpstreamRef> Held() const;
  std::vector<SlotCount> Counts() const;
  SlotCount CountOf(const state::UpstreamRef& aRef) const;

  void Submit(const state::UpstreamRef& aRef, Work aWork);
  // Forgets a waiting request, or closes a running one's connection.
  void Cancel(RequestId aId);

  void OnAnswer(RequestId aId, Result<transport::HttpResponse> aAnswer);
  // A body that was passed on in pieces has come to its end.
  void OnBodyEnd(RequestId aId);
  void OnTimer();

  // Told of each upstream whose room changed, at most once for each event.
  Channel<SlotCount>& RoomChanged() { return this->roomChanged; }
  // A request has ended, at an upstream that this host may no longer hold.
  Channel<state::UpstreamRef>& RequestEnded() { return this->requestEnded; }

private:
  using Queue = std::multimap<TimePoint, Work>;

  struct Running
  {
    state::UpstreamRef upstream;
    Work work;
    TimePoint sentAt;
    // The head has been passed on; the slot is held for the body.
    bool answered = false;
  };

  struct Upstream
  {
    state::UpstreamRecord record;
    state::ServiceConfiguration service;
    SlotRamp ramp{ 1 };
    Queue queue;
    int running = 0;
    // Of the predecessor's; they hold slots here until it says they ended.
    int foreign = 0;
    int served = 0;
    bool open = false;
    // Of its answers, in seconds; 0 until there is one.
    double meanServiceTime = 0;
    // Of its process; 0 until something was heard from it.
    state::Incarnation incarnation = 0;
  };

  using Upstreams =
    std::unordered_map<state::UpstreamRef, std::unique_ptr<Upstream>>;

  Upstream* Find(const state::UpstreamRef& aRef) const;
  bool WouldBeLate(const Upstream& aUpstream, TimePoint aDeadline) const;
  void Dispatch(Upstream& aUpstream);
  bool StartNext(Upstream& aUpstream);
  UpstreamCall MakeCall(const Upstream& aUpstream, const Work& aWork) const;
  void Learn(Upstream& aUpstream, const Running& aRunning,
             const RequestResult& aResult);
  static void NoteIncarnation(Upstream& aUpstream,
                              state::Incarnation aIncarnation);
  void FreeSlot(const state::UpstreamRef& aRef);
  void ExpireQueue(Upstream& aUpstream);
  static void RefuseQueue(Upstream& aUpstream, protocol::ErrorKind aWhy);
  static int FreeSlots(const Upstream& aUpstream, TimePoint aNow);
  SlotCount Count(const Upstream& aUpstream) const;

  const Hooks hooks;
  Upstreams upstreams;
  // Every id here holds one slot of its upstream.
  std::unordered_map<RequestId, Running> running;
  Channel<SlotCount> roomChanged;
  Channel<state::UpstreamRef> requestEnded;
};

} // namespace kumquat::coordination
