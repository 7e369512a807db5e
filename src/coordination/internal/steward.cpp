// Queues, slots and dispatch of the upstreams that this host is steward of.

#include "coordination/steward.h"

#include <algorithm>
#include <charconv>
#include <iterator>
#include <ranges>
#include <utility>

namespace kumquat::coordination {

using protocol::ErrorKind;
using state::UpstreamRef;

namespace {

constexpr auto kColdState = "cold";
// Weight of the newest answer in the mean service time.
constexpr double kNewestWeight = 0.2;
// A request whose estimated turn is beyond this share of its time left is
// refused at once: its caller can still ask elsewhere or later.
constexpr double kLatestTurn = 1.0;

bool IsFailure(ErrorKind aKind)
{
  return aKind == ErrorKind::kUpstreamBroken ||
         aKind == ErrorKind::kUpstreamTimeout ||
         aKind == ErrorKind::kUpstreamUnreachable;
}

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

std::chrono::milliseconds TimeLeft(TimePoint aDeadline, TimePoint aNow)
{
  return std::chrono::ceil<std::chrono::milliseconds>(aDeadline - aNow);
}

} // namespace

Steward::Steward(Hooks aHooks)
  : hooks(std::move(aHooks))
{
}

Steward::Upstream* Steward::Find(const UpstreamRef& aRef) const
{
  const auto found = this->upstreams.find(aRef);
  return found == this->upstreams.end() ? nullptr : found->second.get();
}

void Steward::Take(const state::UpstreamRecord& aRecord,
                   const state::ServiceConfiguration& aService)
{
  auto& place = this->upstreams[aRecord.ref];
  if (!place) {
    place = std::make_unique<Upstream>();
    place->ramp = SlotRamp(aService.slots);
  }
  place->record = aRecord;
  place->service = aService;
  place->ramp.SetSlots(aService.slots);
  this->roomChanged.Send(this->Count(*place));
}

void Steward::Release(const UpstreamRef& aRef, ErrorKind aWhy)
{
  const auto found = this->upstreams.find(aRef);
  if (found == this->upstreams.end()) {
    return;
  }
  const std::unique_ptr<Upstream> released = std::move(found->second);
  this->upstreams.erase(found);
  RefuseQueue(*released, aWhy);
}

// Nobody is kept waiting for what this host can no longer do.
void Steward::RefuseQueue(Upstream& aUpstream, ErrorKind aWhy)
{
  const Queue refused = std::exchange(aUpstream.queue, {});
  for (const Work& work : refused | std::views::values) {
    work.done(MakeError(aWhy));
  }
}

void Steward::SetOpen(const UpstreamRef& aRef, bool aOpen)
{
  Upstream* upstream = this->Find(aRef);
  if (upstream == nullptr || upstream->open == aOpen) {
    return;
  }
  upstream->open = aOpen;
  if (!aOpen) {
    RefuseQueue(*upstream, ErrorKind::kUpstreamUnreachable);
  }
  this->Dispatch(*upstream);
  this->roomChanged.Send(this->Count(*upstream));
}

void Steward::SetForeign(const UpstreamRef& aRef, int aRunning, int aAllowed)
{
  Upstream* upstream = this->Find(aRef);
  if (upstream == nullptr) {
    return;
  }
  upstream->foreign = aRunning;
  upstream->ramp.StartAt(aAllowed);
  this->Dispatch(*upstream);
  this->roomChanged.Send(this->Count(*upstream));
}

int Steward::RunningAt(const UpstreamRef& aRef) const
{
  return static_cast<int>(std::ranges::count_if(
    this->running | std::views::values,
    [&aRef](const Running& aRunning) { return aRunning.upstream == aRef; }));
}

void Steward::OnIncarnation(const UpstreamRef& aRef,
                            state::Incarnation aIncarnation)
{
  Upstream* upstream = this->Find(aRef);
  if (upstream == nullptr || upstream->incarnation == aIncarnation) {
    return;
  }
  NoteIncarnation(*upstream, aIncarnation);
  this->roomChanged.Send(this->Count(*upstream));
}

// Failure: the upstream is back as a new process with nothing warm, though
// nobody said so. Given what the old one bore it falls over.
void Steward::NoteIncarnation(Upstream& aUpstream,
                              state::Incarnation aIncarnation)
{
  if (aUpstream.incarnation != 0 && aUpstream.incarnation != aIncarnation) {
    aUpstream.ramp.Reset();
  }
  aUpstream.incarnation = aIncarnation;
}

bool Steward::Holds(const UpstreamRef& aRef) const
{
  return this->Find(aRef) != nullptr;
}

state::Epoch Steward::EpochOf(const UpstreamRef& aRef) const
{
  const Upstream* upstream = this->Find(aRef);
  return upstream == nullptr ? 0 : upstream->record.epoch;
}

std::vector<UpstreamRef> Steward::Held() const
{
  std::vector<UpstreamRef> held;
  held.reserve(this->upstreams.size());
  std::ranges::copy(this->upstreams | std::views::keys,
                    std::back_inserter(held));
  return held;
}

std::vector<SlotCount> Steward::Counts() const
{
  std::vector<SlotCount> counts;
  counts.reserve(this->upstreams.size());
  std::ranges::transform(
    this->upstreams | std::views::values, std::back_inserter(counts),
    [this](const auto& aUpstream) { return this->Count(*aUpstream); });
  return counts;
}

SlotCount Steward::CountOf(const UpstreamRef& aRef) const
{
  const Upstream* upstream = this->Find(aRef);
  return upstream == nullptr ? SlotCount{ .upstream = aRef }
                             : this->Count(*upstream);
}

int Steward::FreeSlots(const Upstream& aUpstream, TimePoint aNow)
{
  if (!aUpstream.open) {
    return 0;
  }
  const int waiting = static_cast<int>(aUpstream.queue.size());
  return std::max(0, aUpstream.ramp.Allowed(aNow) - aUpstream.running -
                       aUpstream.foreign - waiting);
}

SlotCount Steward::Count(const Upstream& aUpstream) const
{
  const TimePoint now = this->hooks.now();
  return { .upstream = aUpstream.record.ref,
           .epoch = aUpstream.record.epoch,
           .freeSlots = FreeSlots(aUpstream, now),
           .queued = static_cast<int>(aUpstream.queue.size()),
           .running = aUpstream.running,
           .allowed = aUpstream.open ? aUpstream.ramp.Allowed(now) : 0,
           .served = aUpstream.served };
}

bool Steward::WouldBeLate(const Upstream& aUpstream, TimePoint aDeadline) const
{
  const TimePoint now = this->hooks.now();
  const int slots = std::max(1, aUpstream.ramp.Allowed(now));
  const double turns =
    static_cast<double>(aUpstream.queue.size()) / static_cast<double>(slots);
  const double wait = turns * aUpstream.meanServiceTime;
  return wait > kLatestTurn * Seconds(aDeadline - now);
}

void Steward::Submit(const UpstreamRef& aRef, Work aWork)
{
  Upstream* upstream = this->Find(aRef);
  if (upstream == nullptr) {
    aWork.done(MakeError(ErrorKind::kNotSteward));
    return;
  }
  if (!this->hooks.holdsLease()) {
    aWork.done(MakeError(ErrorKind::kNoLease));
    return;
  }
  const TimePoint now = this->hooks.now();
  if (aWork.request.deadline <= now) {
    aWork.done(MakeError(ErrorKind::kDeadlineExpired));
    return;
  }
  if (upstream->ramp.IsLeftAlone(now) || !upstream->open) {
    aWork.done(MakeError(ErrorKind::kUpstreamUnreachable));
    return;
  }
  const auto limit = static_cast<std::size_t>(upstream->service.queue);
  if (upstream->queue.size() >= limit ||
      this->WouldBeLate(*upstream, aWork.request.deadline)) {
    aWork.done(MakeError(ErrorKind::kQueueFull));
    return;
  }
  const TimePoint deadline = aWork.request.deadline;
  upstream->queue.emplace(deadline, std::move(aWork));
  this->Dispatch(*upstream);
  this->roomChanged.Send(this->Count(*upstream));
}

void Steward::Cancel(RequestId aId)
{
  const auto found = this->running.find(aId);
  if (found != this->running.end()) {
    this->hooks.cancel(aId);
    return;
  }
  for (const auto& upstream : this->upstreams | std::views::values) {
    std::erase_if(upstream->queue, [aId](const Queue::value_type& aEntry) {
      return aEntry.second.id == aId;
    });
  }
}

void Steward::Dispatch(Upstream& aUpstream)
{
  while (aUpstream.open && !aUpstream.queue.empty() &&
         aUpstream.running + aUpstream.foreign <
           aUpstream.ramp.Allowed(this->hooks.now())) {
    if (!this->StartNext(aUpstream)) {
      return;
    }
  }
}

// False where nothing may be sent now.
bool Steward::StartNext(Upstream& aUpstream)
{
  // A host that was paused may wake up here with its lease long gone and its
  // upstreams given to another: the check stands right before the send.
  if (!this->hooks.holdsLease()) {
    return false;
  }
  const auto first = aUpstream.queue.begin();
  Work work = std::move(first->second);
  aUpstream.queue.erase(first);
  const TimePoint now = this->hooks.now();
  if (work.request.deadline <= now) {
    work.done(MakeError(ErrorKind::kDeadlineExpired));
    return true;
  }
  if (aUpstream.service.keyed &&
      !this->hooks.mayRun(aUpstream.record.ref, work.request.key)) {
    work.done(MakeError(ErrorKind::kNotSteward));
    return true;
  }
  UpstreamCall call = this->MakeCall(aUpstream, work);
  ++aUpstream.running;
  const RequestId id = work.id;
  this->running.emplace(id,
                        Running{ aUpstream.record.ref, std::move(work), now });
  this->hooks.send(std::move(call));
  return true;
}

UpstreamCall Steward::MakeCall(const Upstream& aUpstream,
                               const Work& aWork) const
{
  const CallerRequest& request = aWork.request;
  const auto timeLeft = TimeLeft(request.deadline, this->hooks.now());
  UpstreamCall call;
  call.id = aWork.id;
  call.address = aUpstream.record.address;
  call.timeout = timeLeft;
  call.request.method = request.method;
  call.request.target = request.target;
  call.request.headers = request.headers;
  call.request.body = request.body;
  auto& headers = call.request.headers;
  headers.push_back({ "Kumquat-Request-Id",
                      this->hooks.name + "-" + std::to_string(aWork.id) });
  headers.push_back({ "Kumquat-Service", request.service.value });
  if (!request.key.empty()) {
    headers.push_back({ "Kumquat-Key", request.key });
  }
  if (!request.idempotencyKey.empty()) {
    headers.push_back({ "Idempotency-Key", request.idempotencyKey });
  }
  headers.push_back(
    { "Kumquat-Deadline-Ms", std::to_string(timeLeft.count()) });
  headers.push_back(
    { "Kumquat-Epoch", std::to_string(aUpstream.record.epoch) });
  headers.push_back({ "Kumquat-Steward", this->hooks.name });
  if (aUpstream.service.keyed) {
    const state::Epoch epoch =
      this->hooks.sliceEpoch(request.service, request.key);
    headers.push_back({ "Kumquat-Slice-Epoch", std::to_string(epoch) });
  }
  return call;
}

void Steward::OnAnswer(RequestId aId, Result<transport::HttpResponse> aAnswer)
{
  const auto found = this->running.find(aId);
  if (found == this->running.end()) {
    return;
  }
  if (aAnswer) {
    this->hooks.answered(found->second.upstream, *aAnswer);
  } else {
    this->hooks.unanswered(found->second.upstream);
  }
  RequestResult result = JudgeUpstreamAnswer(std::move(aAnswer));
  if (Upstream* upstream = this->Find(found->second.upstream)) {
    this->Learn(*upstream, found->second, result);
  }
  auto done = std::move(found->second.work.done);
  if (result.response.rest) {
    found->second.answered = true;
    done(std::move(result));
    return;
  }
  const UpstreamRef ref = found->second.upstream;
  this->running.erase(found);
  // The slot goes to the next in the queue before the answer goes out: the
  // upstream waits for it, the caller does not.
  this->FreeSlot(ref);
  done(std::move(result));
}

void Steward::OnBodyEnd(RequestId aId)
{
  const auto found = this->running.find(aId);
  if (found == this->running.end() || !found->second.answered) {
    return;
  }
  const UpstreamRef ref = found->second.upstream;
  this->running.erase(found);
  this->FreeSlot(ref);
}

void Steward::Learn(Upstream& aUpstream, const Running& aRunning,
                    const RequestResult& aResult)
{
  const TimePoint now = this->hooks.now();
  if (IsFailure(aResult.error)) {
    aUpstream.ramp.OnFailure(now);
    return;
  }
  if (aResult.error == ErrorKind::kUpstreamShed) {
    aUpstream.ramp.OnShed(aUpstream.running - 1);
    return;
  }
  if (aResult.error != ErrorKind::kNone) {
    return;
  }
  const std::string_view text = aResult.response.Header("Kumquat-Incarnation");
  state::Incarnation incarnation = 0;
  std::from_chars(text.data(), text.data() + text.size(), incarnation);
  NoteIncarnation(aUpstream, incarnation);
  aUpstream.ramp.OnGood(aResult.response.Header("Kumquat-State") == kColdState);
  ++aUpstream.served;
  const double took = Seconds(now - aRunning.sentAt);
  aUpstream.meanServiceTime =
    aUpstream.meanServiceTime == 0
      ? took
      : (1 - kNewestWeight) * aUpstream.meanServiceTime + kNewestWeight * took;
}

void Steward::FreeSlot(const UpstreamRef& aRef)
{
  this->requestEnded.Send(aRef);
  Upstream* upstream = this->Find(aRef);
  if (upstream == nullptr) {
    return;
  }
  upstream->running = std::max(0, upstream->running - 1);
  this->Dispatch(*upstream);
  this->roomChanged.Send(this->Count(*upstream));
}

void Steward::OnTimer()
{
  const bool holdsLease = this->hooks.holdsLease();
  for (const auto& upstream : this->upstreams | std::views::values) {
    if (!holdsLease) {
      RefuseQueue(*upstream, ErrorKind::kNoLease);
    }
    this->ExpireQueue(*upstream);
    this->Dispatch(*upstream);
  }
}

void Steward::ExpireQueue(Upstream& aUpstream)
{
  const TimePoint now = this->hooks.now();
  while (!aUpstream.queue.empty() && aUpstream.queue.begin()->first <= now) {
    const auto first = aUpstream.queue.begin();
    const Work expired = std::move(first->second);
    aUpstream.queue.erase(first);
    expired.done(MakeError(ErrorKind::kDeadlineExpired));
  }
}

} // namespace kumquat::coordination
