// Choosing, forwarding and retrying of requests.

#include "coordination/entry.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::coordination {

using protocol::ErrorKind;
using protocol::Outcome;
using state::UpstreamRecord;
using state::UpstreamRef;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

// Kinds after which another try at once would meet the same state.
bool WaitsForMap(ErrorKind aKind)
{
  return aKind == ErrorKind::kNotSteward || aKind == ErrorKind::kNoSteward ||
         aKind == ErrorKind::kNoUpstream || aKind == ErrorKind::kNoLease ||
         aKind == ErrorKind::kUpstreamFenced;
}

int Distance(const UpstreamRecord& aUpstream, const state::HostRecord* aSteward,
             const state::HostRef& aSelf, const state::DataCentre& aDataCentre)
{
  if (aUpstream.steward.host == aSelf.host) {
    return 0;
  }
  const bool near = aSteward != nullptr && aSteward->dataCentre == aDataCentre;
  return near ? 0 : 1;
}

std::vector<protocol::Header> ToWire(
  const std::vector<transport::HttpHeader>& aHeaders)
{
  std::vector<protocol::Header> wire;
  std::ranges::transform(aHeaders, std::back_inserter(wire),
                         [](const transport::HttpHeader& aHeader) {
                           protocol::Header header;
                           header.__set_name(aHeader.name);
                           header.__set_value(aHeader.value);
                           return header;
                         });
  return wire;
}

std::vector<transport::HttpHeader> FromWire(
  std::vector<protocol::Header>&& aWire)
{
  std::vector<transport::HttpHeader> headers;
  std::ranges::transform(
    aWire, std::back_inserter(headers), [](protocol::Header& aHeader) {
      return transport::HttpHeader{ std::move(aHeader.name),
                                    std::move(aHeader.value) };
    });
  return headers;
}

} // namespace

protocol::Forward MakeForward(const CallerRequest& aRequest,
                              const state::HostRef& aSender, TimePoint aNow)
{
  protocol::Forward forward;
  forward.sender.__set_host(aSender.host.value);
  forward.sender.__set_incarnation(aSender.incarnation);
  forward.__set_serviceName(aRequest.service.value);
  forward.__set_key(aRequest.key);
  forward.__set_idempotencyKey(aRequest.idempotencyKey);
  forward.__set_remainingMicros(
    std::chrono::duration_cast<microseconds>(aRequest.deadline - aNow).count());
  forward.__set_method(aRequest.method);
  forward.__set_target(aRequest.target);
  forward.__set_body(aRequest.body);
  forward.__set_headers(ToWire(aRequest.headers));
  return forward;
}

CallerRequest FromForward(protocol::Forward&& aForward, TimePoint aNow)
{
  CallerRequest request;
  request.service.value = std::move(aForward.serviceName);
  request.key = std::move(aForward.key);
  request.idempotencyKey = std::move(aForward.idempotencyKey);
  request.deadline = aNow + microseconds(aForward.remainingMicros);
  request.method = std::move(aForward.method);
  request.target = std::move(aForward.target);
  request.body = std::move(aForward.body);
  request.headers = FromWire(std::move(aForward.headers));
  return request;
}

protocol::ForwardReply MakeReply(RequestResult&& aResult)
{
  protocol::ForwardReply reply;
  reply.__set_error(static_cast<int>(aResult.error));
  reply.__set_status(aResult.response.status);
  reply.__set_headers(ToWire(aResult.response.headers));
  reply.body = std::move(aResult.response.body);
  reply.__set_more(static_cast<bool>(aResult.response.rest));
  reply.__set_keyUnknown(aResult.keyUnknown);
  if (aResult.response.length) {
    reply.__set_length(static_cast<std::int64_t>(*aResult.response.length));
  }
  if (aResult.retryAfter) {
    reply.__set_retryAfterMicros(microseconds(*aResult.retryAfter).count());
  }
  return reply;
}

RequestResult FromReply(protocol::ForwardReply&& aReply)
{
  RequestResult result;
  result.error = protocol::ErrorKindFromNumber(aReply.error);
  if (aReply.retryAfterMicros > 0) {
    result.retryAfter =
      std::chrono::ceil<milliseconds>(microseconds(aReply.retryAfterMicros));
  }
  result.keyUnknown = aReply.keyUnknown;
  result.response.status = aReply.status;
  result.response.headers = FromWire(std::move(aReply.headers));
  result.response.body = std::move(aReply.body);
  if (aReply.__isset.length) {
    result.response.length = static_cast<std::uint64_t>(aReply.length);
  }
  return result;
}

Entry::Entry(Hooks aHooks, const state::RoutingMap& aMap, RoomView& aRooms,
             Steward& aSteward, PeerCalls& aCalls)
  : hooks(std::move(aHooks))
  , map(aMap)
  , rooms(aRooms)
  , steward(aSteward)
  , calls(aCalls)
{
}

void Entry::Run(const state::ServiceConfiguration& aService,
                CallerRequest aRequest, Ownership aOwnership, Done aDone)
{
  this->budget.OnRequest();
  ++this->inFlight;
  auto pendingRequest = std::make_shared<Pending>();
  pendingRequest->service = aService;
  pendingRequest->request = std::move(aRequest);
  pendingRequest->ownership = std::move(aOwnership);
  pendingRequest->done = std::move(aDone);
  this->Try(pendingRequest);
}

void Entry::Try(const PendingPtr& aPending)
{
  ++aPending->tries;
  if (aPending->request.deadline <= this->hooks.now()) {
    this->Finish(aPending, MakeError(ErrorKind::kDeadlineExpired));
    return;
  }
  const Result<UpstreamRef> target = this->Target(*aPending);
  if (!target) {
    this->OnResult(aPending,
                   MakeError(static_cast<ErrorKind>(target.error().value())));
    return;
  }
  const UpstreamRecord* upstream = this->map.FindUpstream(*target);
  if (upstream == nullptr) {
    this->OnResult(aPending, MakeError(ErrorKind::kNoUpstream));
    return;
  }
  aPending->target = *target;
  aPending->tried.insert(*target);
  this->SendTo(aPending, *upstream);
}

Result<UpstreamRef> Entry::Target(const Pending& aPending) const
{
  if (aPending.service.keyed) {
    const state::SliceRecord* slice = this->map.FindSlice(
      aPending.service.name, state::HashKey(aPending.request.key));
    if (slice == nullptr) {
      return make_error_code(ErrorKind::kNoUpstream);
    }
    return UpstreamRef{ aPending.service.name, slice->upstream };
  }
  const auto chosen =
    Choose(this->Candidates(aPending), this->rooms, this->hooks.random);
  if (!chosen) {
    return make_error_code(ErrorKind::kNoUpstream);
  }
  return *chosen;
}

std::vector<Candidate> Entry::Candidates(const Pending& aPending) const
{
  std::vector<Candidate> candidates;
  for (const UpstreamRecord* upstream :
       this->map.Upstreams(aPending.service.name)) {
    const bool usable = !aPending.tried.contains(upstream->ref) &&
                        !this->rooms.IsLost(upstream->ref) &&
                        !this->map.IsOut(upstream->dataCentre.value) &&
                        this->hooks.isLive(upstream->steward);
    if (!usable) {
      continue;
    }
    const state::HostRecord* host = this->map.FindHost(upstream->steward.host);
    candidates.push_back(
      { upstream->ref,
        Distance(*upstream, host, this->hooks.self, this->hooks.dataCentre) });
  }
  return candidates;
}

void Entry::SendTo(const PendingPtr& aPending, const UpstreamRecord& aUpstream)
{
  if (!this->hooks.isLive(aUpstream.steward)) {
    this->OnResult(aPending, MakeError(ErrorKind::kNoSteward));
    return;
  }
  if (!aPending->ownership.prepare) {
    this->Dispatch(aPending, aUpstream);
    return;
  }
  aPending->ownership.prepare(aUpstream.steward,
                              [this, aPending, aUpstream](ErrorKind aKind) {
                                if (aKind == ErrorKind::kNone) {
                                  this->Dispatch(aPending, aUpstream);
                                  return;
                                }
                                this->OnResult(aPending, MakeError(aKind));
                              });
}

void Entry::Dispatch(const PendingPtr& aPending,
                     const UpstreamRecord& aUpstream)
{
  if (aUpstream.steward == this->hooks.self) {
    this->SubmitHere(aPending);
    return;
  }
  this->Forward(aPending, aUpstream);
}

void Entry::SubmitHere(const PendingPtr& aPending)
{
  Work work;
  work.id = this->calls.NextCorrelation();
  work.request = aPending->request;
  work.done = [this, aPending](RequestResult aResult) {
    this->OnResult(aPending, std::move(aResult));
  };
  this->steward.Submit(aPending->target, std::move(work));
}

void Entry::Forward(const PendingPtr& aPending, const UpstreamRecord& aUpstream)
{
  const TimePoint now = this->hooks.now();
  protocol::Forward forward =
    MakeForward(aPending->request, this->hooks.self, now);
  forward.upstream.__set_serviceName(aUpstream.ref.service.value);
  forward.upstream.__set_upstream(aUpstream.ref.upstream.value);
  forward.__set_stewardEpoch(aUpstream.epoch);
  forward.__set_ownerEpoch(aPending->ownership.epoch);
  protocol::Frame frame;
  frame.forward = std::move(forward);
  frame.__isset.forward = true;
  const state::HostId host = aUpstream.steward.host;
  this->rooms.OnSent(aUpstream.ref);
  this->calls.Ask(
    host, std::move(frame), aPending->request.deadline - now + kReplyGrace,
    [this, aPending, host](Result<protocol::Frame> aReply) {
      this->rooms.OnAnswered(aPending->target);
      this->OnResult(aPending, this->TakeReply(host, std::move(aReply)));
    });
}

RequestResult Entry::TakeReply(const state::HostId& aSteward,
                               Result<protocol::Frame> aReply) const
{
  if (!aReply) {
    return MakeError(static_cast<ErrorKind>(aReply.error().value()));
  }
  const auto correlation = static_cast<std::uint64_t>(aReply->correlation);
  const bool more = aReply->forwardReply.more;
  for (const protocol::SlotDigest& digest : aReply->forwardReply.digests) {
    this->rooms.OnCount(FromWire(digest));
  }
  RequestResult result = FromReply(std::move(aReply->forwardReply));
  if (more) {
    result.response.rest = this->hooks.readBody(aSteward, correlation);
  }
  return result;
}

void Entry::OnResult(const PendingPtr& aPending, RequestResult aResult)
{
  const ErrorKind kind = aResult.error;
  if (protocol::ErrorInfoFor(kind).outcome != Outcome::kNotRun) {
    aPending->mayHaveRun = kind;
  }
  if (kind == ErrorKind::kNone || !this->MayRetry(*aPending, kind)) {
    this->Finish(aPending, std::move(aResult));
    return;
  }
  // A move of the upstream's steward is no sign of overload, and the tries are
  // bounded: a handover must not use up what real failures need.
  if (WaitsForMap(kind)) {
    this->hooks.retried(kind);
    this->hooks.refreshMap();
    this->RetryLater(aPending);
    return;
  }
  if (!this->budget.Spend()) {
    this->Finish(aPending, std::move(aResult));
    return;
  }
  this->hooks.retried(kind);
  if (aPending->service.keyed) {
    this->RetryLater(aPending);
    return;
  }
  this->Try(aPending);
}

bool Entry::MayRetry(const Pending& aPending, ErrorKind aKind) const
{
  const protocol::ErrorInfo& answer = protocol::ErrorInfoFor(aKind);
  if (!answer.retryable || aPending.tries >= kMostTries) {
    return false;
  }
  // Once bytes may have reached an upstream, a second run could charge twice.
  if (!aPending.service.idempotent && answer.outcome != Outcome::kNotRun) {
    return false;
  }
  return aPending.request.deadline > this->hooks.now();
}

void Entry::RetryLater(const PendingPtr& aPending)
{
  // The upstream is not at fault: it may be chosen again.
  aPending->tried.clear();
  this->waiting.emplace(this->hooks.now() + BackoffAfter(aPending->tries),
                        aPending);
}

void Entry::Finish(const PendingPtr& aPending, RequestResult aResult)
{
  --this->inFlight;
  // Failure: the first try was lost with its steward and had run; the next one
  // found no steward, and its "not run" was told as the request's. It is true
  // of the whole request only where it is true of every try.
  const bool notRun =
    protocol::ErrorInfoFor(aResult.error).outcome == Outcome::kNotRun;
  if (notRun && aPending->mayHaveRun) {
    aResult = MakeError(*aPending->mayHaveRun);
  }
  const Done done = std::move(aPending->done);
  done(std::move(aResult));
}

void Entry::OnTimer()
{
  const TimePoint now = this->hooks.now();
  while (!this->waiting.empty() && this->waiting.begin()->first <= now) {
    const PendingPtr due = this->waiting.begin()->second;
    this->waiting.erase(this->waiting.begin());
    this->Try(due);
  }
}

} // namespace kumquat::coordination
