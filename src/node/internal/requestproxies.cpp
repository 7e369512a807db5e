// Requests that pass between hosts, and their messages.

#include "node/internal/requestproxies.h"

#include "protocol/codec.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <utility>

namespace kumquat::node {

using protocol::ErrorKind;
using routing::CallerRequest;
using routing::CallerResponse;
using routing::ProxyNumber;

namespace {

// Leaves room for the headers in the frame.
constexpr std::size_t kMaxReplyBytes = protocol::kMaxFrameBytes / 2;
constexpr std::chrono::minutes kPauseOfRoute{ 1 };
// A request that was longer on its way is not taken: this host or the link has
// stood still, and a cancellation may lie behind the request.
constexpr std::chrono::milliseconds kMaxDelay{ 200 };

constexpr std::array kDeclineNames = {
  std::pair{ ProxyDecline::kConfiguration, std::string_view("configuration") },
  std::pair{ ProxyDecline::kLeaving, std::string_view("leaving") },
  std::pair{ ProxyDecline::kRoute, std::string_view("route") },
  std::pair{ ProxyDecline::kOwner, std::string_view("owner") },
  std::pair{ ProxyDecline::kLate, std::string_view("late") },
};

std::vector<protocol::Header> ToWire(
  const std::vector<transport::HttpHeader>& aHeaders)
{
  std::vector<protocol::Header> headers;
  std::ranges::transform(aHeaders, std::back_inserter(headers),
                         [](const transport::HttpHeader& aOne) {
                           protocol::Header header;
                           header.__set_name(aOne.name);
                           header.__set_value(aOne.value);
                           return header;
                         });
  return headers;
}

std::vector<transport::HttpHeader> FromWire(
  const std::vector<protocol::Header>& aHeaders)
{
  std::vector<transport::HttpHeader> headers;
  std::ranges::transform(
    aHeaders, std::back_inserter(headers), [](const protocol::Header& aOne) {
      return transport::HttpHeader{ aOne.name, aOne.value };
    });
  return headers;
}

std::int64_t MicrosOf(TimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           aTime.time_since_epoch())
    .count();
}

protocol::ProxyReply GivenBack(ProxyNumber aNumber)
{
  protocol::ProxyReply reply;
  reply.__set_number(static_cast<std::int64_t>(aNumber));
  return reply;
}

} // namespace

std::string_view ProxyDeclineName(ProxyDecline aReason)
{
  return kDeclineNames.at(static_cast<std::size_t>(aReason)).second;
}

protocol::ProxyRequest ToWire(ProxyNumber aNumber,
                              const CallerRequest& aRequest,
                              std::int64_t aConfiguration, TimePoint aNow)
{
  protocol::ProxyRequest request;
  request.__set_number(static_cast<std::int64_t>(aNumber));
  request.__set_id(aRequest.id);
  request.__set_hostName(aRequest.hostName);
  request.__set_key(aRequest.key.value_or(0));
  request.__set_method(aRequest.message.method);
  request.__set_target(aRequest.message.target);
  request.__set_headers(ToWire(aRequest.message.headers));
  request.__set_ageMicros(std::chrono::duration_cast<std::chrono::microseconds>(
                            aNow - aRequest.arrived)
                            .count());
  request.__set_timeoutMs(static_cast<std::int32_t>(aRequest.timeout.count()));
  request.__set_configuration(aConfiguration);
  request.__set_earlierRuns(aRequest.earlierRuns);
  request.__set_sentMicros(MicrosOf(aNow));
  return request;
}

CallerRequest FromWire(const protocol::ProxyRequest& aRequest, TimePoint aNow)
{
  CallerRequest request;
  request.id = aRequest.id;
  request.hostName = aRequest.hostName;
  request.key = static_cast<routing::Key>(aRequest.key);
  request.message.method = aRequest.method;
  request.message.target = aRequest.target;
  request.message.headers = FromWire(aRequest.headers);
  request.arrived = aNow - std::chrono::microseconds(
                             std::max<std::int64_t>(0, aRequest.ageMicros));
  request.timeout =
    std::chrono::milliseconds(std::max<std::int32_t>(0, aRequest.timeoutMs));
  request.earlierRuns = std::max<std::int32_t>(0, aRequest.earlierRuns);
  return request;
}

protocol::ProxyReply ToWire(ProxyNumber aNumber, CallerResponse aResponse)
{
  protocol::ProxyReply reply;
  reply.__set_number(static_cast<std::int64_t>(aNumber));
  if (!aResponse.message) {
    reply.__set_error(static_cast<std::int32_t>(aResponse.error));
    if (aResponse.retryAfter) {
      reply.__set_retryAfterMs(
        static_cast<std::int32_t>(aResponse.retryAfter->count()));
    }
    return reply;
  }
  transport::HttpResponse& message = *aResponse.message;
  if (message.rest || message.body.size() > kMaxReplyBytes) {
    // With the reader of the rest ends the connection to the upstream.
    reply.__set_tooLarge(true);
    return reply;
  }
  reply.__set_status(message.status);
  reply.__set_headers(ToWire(message.headers));
  reply.body = std::move(message.body);
  reply.__isset.body = true;
  return reply;
}

routing::ProxyReply FromWire(const protocol::ProxyReply& aReply)
{
  routing::ProxyReply reply;
  const ErrorKind error = protocol::ErrorKindFromNumber(aReply.error);
  if (aReply.declined || aReply.tooLarge || error == ErrorKind::kPeerLost) {
    reply.isDeclined = true;
    reply.mayHaveRun = !aReply.declined;
    return reply;
  }
  if (error != ErrorKind::kNone) {
    reply.response.error = error;
    if (aReply.retryAfterMs > 0) {
      reply.response.retryAfter =
        std::chrono::milliseconds(aReply.retryAfterMs);
    }
    return reply;
  }
  reply.response.message.emplace();
  reply.response.message->status = aReply.status;
  reply.response.message->headers = FromWire(aReply.headers);
  reply.response.message->body = aReply.body;
  return reply;
}

RequestProxies::RequestProxies(state::HostRef aSelf, Hooks aHooks)
  : self(std::move(aSelf))
  , hooks(std::move(aHooks))
  , choice(this->self.host)
  , delays(this->hooks.now)
  , passed(this->PassedHooks())
{
}

routing::ProxiedRequests::Hooks RequestProxies::PassedHooks()
{
  routing::ProxiedRequests::Hooks made;
  made.now = this->hooks.now;
  made.send = [this](const state::HostId& aProxy, ProxyNumber aNumber,
                     const CallerRequest& aRequest) {
    protocol::Frame frame;
    frame.__set_correlation(this->self.incarnation);
    frame.__set_proxyRequest(
      ToWire(aNumber, aRequest, this->configuration, this->hooks.now()));
    return this->hooks.send(aProxy, frame);
  };
  made.cancel = [this](const state::HostId& aProxy, ProxyNumber aNumber) {
    protocol::ProxyCancel cancel;
    cancel.__set_number(static_cast<std::int64_t>(aNumber));
    protocol::Frame frame;
    frame.__set_correlation(this->self.incarnation);
    frame.__set_proxyCancel(cancel);
    static_cast<void>(this->hooks.send(aProxy, frame));
  };
  made.dispatch = [this](CallerRequest aRequest,
                         routing::Dispatcher::Respond aRespond) {
    if (std::exchange(this->isTooLarge, false)) {
      this->hooks.onTooLarge(aRequest);
    }
    this->hooks.dispatch(std::move(aRequest), std::move(aRespond));
  };
  made.onEnded = this->hooks.onEnded;
  made.onFallback = this->hooks.onFallback;
  return made;
}

// --- as the host that has received requests

std::optional<ProxyNumber> RequestProxies::Pass(
  const state::HostId& aProxy, CallerRequest aRequest,
  std::int64_t aConfiguration, TimePoint aDeadline,
  routing::Dispatcher::Respond aRespond)
{
  this->configuration = aConfiguration;
  return this->passed.Pass(aProxy, std::move(aRequest), aDeadline,
                           std::move(aRespond));
}

void RequestProxies::OnReply(const state::HostId& aFrom,
                             std::int64_t aIncarnation,
                             const protocol::ProxyReply& aReply)
{
  if (aIncarnation != this->self.incarnation) {
    return;
  }
  routing::ProxyReply reply = FromWire(aReply);
  if (reply.response.message) {
    reply.response.message->held =
      this->hooks.hold(reply.response.message->body.size());
  }
  this->isTooLarge = aReply.tooLarge;
  this->passed.OnReply(aFrom, static_cast<ProxyNumber>(aReply.number),
                       std::move(reply));
  this->isTooLarge = false;
}

void RequestProxies::OnCallerGone(ProxyNumber aNumber)
{
  this->passed.OnCallerGone(aNumber);
}

void RequestProxies::TakeBackAll()
{
  this->passed.OnAllProxiesLost();
}

void RequestProxies::PauseRoute(const std::string& aRoute)
{
  const TimePoint now = this->hooks.now();
  std::erase_if(this->pausedUntil,
                [now](const auto& aItem) { return aItem.second <= now; });
  this->pausedUntil[aRoute] = now + kPauseOfRoute;
}

bool RequestProxies::IsPaused(const std::string& aRoute) const
{
  const auto found = this->pausedUntil.find(aRoute);
  return found != this->pausedUntil.end() && this->hooks.now() < found->second;
}

// --- as the proxy

void RequestProxies::OnRequest(const state::HostId& aFrom,
                               std::int64_t aIncarnation,
                               const protocol::ProxyRequest& aRequest)
{
  const TakenId id{ aFrom, aIncarnation,
                    static_cast<ProxyNumber>(aRequest.number) };
  CallerRequest request = FromWire(aRequest, this->hooks.now());
  const Duration delay =
    this->DelayOf(aFrom, aIncarnation, aRequest.sentMicros);
  request.arrived -= delay;
  if (const auto decline =
        delay > kMaxDelay
          ? std::optional(ProxyDecline::kLate)
          : this->hooks.findDecline(request, aRequest.configuration)) {
    this->hooks.onDeclined(*decline);
    protocol::ProxyReply reply = GivenBack(std::get<ProxyNumber>(id));
    reply.__set_declined(true);
    this->SendReply(id, reply);
    return;
  }
  if (!this->taken.emplace(id, std::nullopt).second) {
    return;
  }
  ++this->takenCount;
  const routing::RequestNumber number =
    this->hooks.run(std::move(request), [this, id](CallerResponse aResponse) {
      this->Respond(id, std::move(aResponse));
    });
  // The response may have come already.
  const auto entry = this->taken.find(id);
  if (entry != this->taken.end()) {
    entry->second = number;
  }
}

void RequestProxies::Respond(const TakenId& aId, CallerResponse aResponse)
{
  if (this->taken.erase(aId) == 0) {
    return;
  }
  this->SendReply(aId,
                  ToWire(std::get<ProxyNumber>(aId), std::move(aResponse)));
  --this->takenCount;
}

void RequestProxies::SendReply(const TakenId& aId,
                               const protocol::ProxyReply& aReply)
{
  protocol::Frame frame;
  frame.__set_reply(true);
  frame.__set_correlation(std::get<std::int64_t>(aId));
  frame.__set_proxyReply(aReply);
  static_cast<void>(this->hooks.send(std::get<state::HostId>(aId), frame));
}

void RequestProxies::OnDigestSent(const state::HostId& aFrom,
                                  std::int64_t aIncarnation,
                                  std::int64_t aSentMicros)
{
  static_cast<void>(this->DelayOf(aFrom, aIncarnation, aSentMicros));
}

// Hosts of earlier versions do not say when they have sent a message.
Duration RequestProxies::DelayOf(const state::HostId& aFrom,
                                 std::int64_t aIncarnation,
                                 std::int64_t aSentMicros)
{
  return aSentMicros > 0
           ? this->delays.OnMessage(aFrom, aIncarnation,
                                    std::chrono::microseconds(aSentMicros))
           : Duration(0);
}

void RequestProxies::OnCancel(const state::HostId& aFrom,
                              std::int64_t aIncarnation,
                              const protocol::ProxyCancel& aCancel)
{
  this->EndTaken(
    { aFrom, aIncarnation, static_cast<ProxyNumber>(aCancel.number) });
}

void RequestProxies::EndTaken(const TakenId& aId)
{
  const auto entry = this->taken.find(aId);
  if (entry == this->taken.end()) {
    return;
  }
  const std::optional<routing::RequestNumber> number = entry->second;
  this->taken.erase(entry);
  --this->takenCount;
  if (number) {
    this->hooks.endRun(*number);
  }
}

// --- as both

// The peer sees the end of the same connection, but perhaps later, and may have
// passed on requests over another one since. It is told that it gets no
// response to these.
void RequestProxies::OnPeerLost(const state::HostId& aPeer)
{
  std::vector<TakenId> ended;
  for (const auto& [id, number] : this->taken) {
    if (std::get<state::HostId>(id) == aPeer) {
      ended.push_back(id);
    }
  }
  for (const TakenId& id : ended) {
    this->EndTaken(id);
    protocol::ProxyReply reply = GivenBack(std::get<ProxyNumber>(id));
    reply.__set_error(static_cast<std::int32_t>(ErrorKind::kPeerLost));
    this->SendReply(id, reply);
  }
  this->passed.OnProxyLost(aPeer);
}

} // namespace kumquat::node
