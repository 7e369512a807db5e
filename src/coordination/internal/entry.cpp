// Choosing, forwarding and retrying of requests.

#include "coordination/entry.h"

#include <algorithm>
#include <array>
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

constexpr int kMostTries = 4;
// Before each retry that waits for the map to catch up.
constexpr std::array kBackoff = { milliseconds(20), milliseconds(60),
                                  milliseconds(180) };
// A reply may be on its way while the deadline passes here.
constexpr milliseconds kReplyGrace{ 50 };

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

} // namespace

protocol::Forward MakeForward(const CallerRequest& aRequest, TimePoint aNow)
{
  protocol::Forward forward;
  forward.__set_serviceName(aRequest.service.value);
  forward.__set_key(aRequest.key);
  forward.__set_idempotencyKey(aRequest.idempotencyKey);
  forward.__set_remainingMicros(
    std::chrono::duration_cast<microseconds>(aRequest.deadline - aNow).count());
  forward.__set_method(aRequest.method);
  forward.__set_target(aRequest.target);
  forward.__set_body(aRequest.body);
  std::ranges::transform(aRequest.headers, std::back_inserter(forward.headers),
                         [](const transport::HttpHeader& aHeader) {
                           protocol::Header header;
                           header.__set_name(aHeader.name);
                           header.__set_value(aHeader.value);
                           return header;
                         });
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
  std::ranges::transform(aForward.headers, std::back_inserter(request.headers),
                         [](protocol::Header& aHeader) {
                           return transport::HttpHeader{
                             std::move(aHeader.name), std::move(aHeader.value)
                           };
                         });
  return request;
}

Entry::Entry(Hooks aHooks, const state::RoutingMap& aMap, RoomView& aRooms,
             Steward& aSteward)
  : hooks(std::move(aHooks))
  , map(aMap)
  , rooms(aRooms)
  , steward(aSteward)
{
}

void Entry::Run(const state::ServiceConfiguration& aService,
                CallerRequest aRequest, Done aDone)
{
  this->budget.OnRequest();
  auto pendingRequest = std::make_shared<Pending>();
  pendingRequest->service = aService;
  pendingRequest->request = std::move(aRequest);
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
  if (aUpstream.steward == this->hooks.self) {
    this->SubmitHere(aPending);
    return;
  }
  if (!this->hooks.isLive(aUpstream.steward)) {
    this->OnResult(aPending, MakeError(ErrorKind::kNoSteward));
    return;
  }
  if (!this->Forward(aPending, aUpstream)) {
    this->OnResult(aPending, MakeError(ErrorKind::kPeerUnreachable));
  }
}

void Entry::SubmitHere(const PendingPtr& aPending)
{
  Work work;
  work.id = this->hooks.nextCorrelation();
  work.request = aPending->request;
  work.done = [this, aPending](RequestResult aResult) {
    this->OnResult(aPending, std::move(aResult));
  };
  this->steward.Submit(aPending->target, std::move(work));
}

bool Entry::Forward(const PendingPtr& aPending, const UpstreamRecord& aUpstream)
{
  const TimePoint now = this->hooks.now();
  protocol::Forward forward = MakeForward(aPending->request, now);
  forward.sender.__set_host(this->hooks.self.host.value);
  forward.sender.__set_incarnation(this->hooks.self.incarnation);
  forward.upstream.__set_serviceName(aUpstream.ref.service.value);
  forward.upstream.__set_upstream(aUpstream.ref.upstream.value);
  forward.__set_stewardEpoch(aUpstream.epoch);
  protocol::Frame frame;
  frame.__set_correlation(
    static_cast<std::int64_t>(this->hooks.nextCorrelation()));
  frame.__set_forward(std::move(forward));
  if (!this->hooks.send(aUpstream.steward.host, frame)) {
    return false;
  }
  aPending->sentTo = aUpstream.steward.host;
  aPending->correlation = static_cast<std::uint64_t>(frame.correlation);
  this->pending.emplace(aPending->correlation, aPending);
  this->deadlines.emplace(aPending->request.deadline + kReplyGrace,
                          aPending->correlation);
  this->rooms.OnSent(aUpstream.ref);
  return true;
}

void Entry::OnForwardReply(std::uint64_t aCorrelation,
                           protocol::ForwardReply&& aReply,
                           transport::BodyReader aRest)
{
  const auto found = this->pending.find(aCorrelation);
  if (found == this->pending.end()) {
    return;
  }
  const PendingPtr request = found->second;
  this->pending.erase(found);
  request->sentTo.reset();
  this->rooms.OnAnswered(request->target);
  RequestResult result;
  result.error = protocol::ErrorKindFromNumber(aReply.error);
  if (aReply.retryAfterMicros > 0) {
    result.retryAfter =
      std::chrono::ceil<milliseconds>(microseconds(aReply.retryAfterMicros));
  }
  result.response.status = aReply.status;
  result.response.body = std::move(aReply.body);
  result.response.rest = std::move(aRest);
  std::ranges::transform(
    aReply.headers, std::back_inserter(result.response.headers),
    [](protocol::Header& aHeader) {
      return transport::HttpHeader{ std::move(aHeader.name),
                                    std::move(aHeader.value) };
    });
  this->OnResult(request, std::move(result));
}

void Entry::OnPeerLost(const state::HostId& aHost)
{
  std::vector<PendingPtr> lost;
  std::erase_if(this->pending, [&](const auto& aEntry) {
    if (aEntry.second->sentTo != aHost) {
      return false;
    }
    lost.push_back(aEntry.second);
    return true;
  });
  for (const PendingPtr& request : lost) {
    request->sentTo.reset();
    this->rooms.OnAnswered(request->target);
    this->OnResult(request, MakeError(ErrorKind::kPeerLost));
  }
}

void Entry::OnResult(const PendingPtr& aPending, RequestResult aResult)
{
  const ErrorKind kind = aResult.error;
  if (kind == ErrorKind::kNone || !this->MayRetry(*aPending, kind)) {
    this->Finish(aPending, std::move(aResult));
    return;
  }
  if (!this->budget.Spend()) {
    this->Finish(aPending, std::move(aResult));
    return;
  }
  this->hooks.retried(kind);
  if (WaitsForMap(kind)) {
    this->hooks.refreshMap();
    this->RetryLater(aPending);
    return;
  }
  if (aPending->service.keyed) {
    this->RetryLater(aPending);
    return;
  }
  this->Try(aPending);
}

bool Entry::MayRetry(const Pending& aPending, ErrorKind aKind) const
{
  const protocol::ErrorAnswer& answer = protocol::AnswerFor(aKind);
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
  const auto step = std::min(static_cast<std::size_t>(aPending->tries) - 1,
                             kBackoff.size() - 1);
  // The upstream is not at fault: it may be chosen again.
  aPending->tried.clear();
  this->waiting.emplace(this->hooks.now() + kBackoff.at(step), aPending);
}

void Entry::Finish(const PendingPtr& aPending, RequestResult aResult)
{
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
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const auto found = this->pending.find(this->deadlines.begin()->second);
    this->deadlines.erase(this->deadlines.begin());
    if (found == this->pending.end()) {
      continue;
    }
    const PendingPtr late = found->second;
    this->pending.erase(found);
    this->rooms.OnAnswered(late->target);
    this->Finish(late, MakeError(ErrorKind::kUpstreamTimeout));
  }
}

} // namespace kumquat::coordination
