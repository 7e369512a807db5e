// What a dispatcher learns from upstreams beside their answers: requests under
// which they end, and what they say of themselves.

#include "routing/internal/dispatcherparts.h"

#include <algorithm>

namespace kumquat::routing {

using protocol::ErrorKind;
using transport::TransportError;

namespace {

// Whether an upstream that ends shows itself in this way. A broken connection
// looks the same, but an innocent request is soon served.
bool IsLikeACrash(TransportError aError)
{
  return aError == TransportError::kBroken ||
         aError == TransportError::kTruncated ||
         aError == TransportError::kTimeout;
}

} // namespace

void Dispatcher::RecordCrash(Request& aRequest, TransportError aError)
{
  if (IsLikeACrash(aError)) {
    aRequest.hasEndedUpstream = true;
    this->suspects.OnEnded(ContentOf(aRequest), aRequest.upstream);
  }
}

const ContentHash& Dispatcher::ContentOf(Request& aRequest)
{
  if (!aRequest.content) {
    aRequest.content = HashContent(aRequest.caller);
  }
  return *aRequest.content;
}

bool Dispatcher::IsQuarantined(Request& aRequest) const
{
  return !this->suspects.IsEmpty() &&
         !this->suspects.MaySend(ContentOf(aRequest));
}

// "Not run" is said of this attempt of the caller, and is true of it.
void Dispatcher::RefuseQuarantined(const RequestPtr& aRequest)
{
  this->TurnAway(aRequest, ErrorKind::kRequestQuarantined,
                 this->suspects.QuarantineLeft(ContentOf(*aRequest)));
}

void Dispatcher::ReportCrashes(const std::vector<CrashReport>& aReports) const
{
  if (!aReports.empty() && this->hooks.reportCrashes) {
    this->hooks.reportCrashes(aReports);
  }
}

void Dispatcher::ApplySignals(const Request& aRequest,
                              const ResponseSignals& aSignals)
{
  const UpstreamState* one = this->upstreams.Find(aRequest.upstream);
  if (one == nullptr || one->entry.startedMs != aRequest.upstreamStartedMs) {
    return;
  }
  const state::UpstreamId& id = aRequest.upstream;
  const auto isMalformed = [&aSignals](SignalKind aKind) {
    return std::ranges::find(aSignals.malformed, aKind) !=
           aSignals.malformed.end();
  };
  if (this->hooks.onMalformedSignal) {
    std::ranges::for_each(aSignals.malformed, [&](SignalKind aKind) {
      this->hooks.onMalformedSignal(id, aKind);
    });
  }
  if (aSignals.limitPerSecond || !isMalformed(SignalKind::kLimit)) {
    const auto change =
      this->signals.Limits().OnResponse(id, aSignals.limitPerSecond);
    if (change && this->hooks.onLimitChanged) {
      this->hooks.onLimitChanged(*change);
    }
  }
  if (aSignals.rest) {
    this->StartRest(id, *aSignals.rest);
  }
  if (aSignals.isLeaving) {
    this->OnSaidLeaving(id, aRequest.upstreamStartedMs);
  }
}

void Dispatcher::OnSaidLeaving(const state::UpstreamId& aId,
                               std::int64_t aStartedMs)
{
  if (this->upstreams.MarkLeaving(aId, aStartedMs, this->hooks.now()) &&
      this->hooks.onLeaving) {
    this->hooks.onLeaving(aId, aStartedMs);
  }
}

void Dispatcher::StartRest(const state::UpstreamId& aUpstream, Duration aLength)
{
  const UpstreamState* one = this->upstreams.Find(aUpstream);
  if (one != nullptr &&
      this->signals.Rests().Start(aUpstream, aLength,
                                  this->ReturnDelay(*one, aLength)) &&
      this->hooks.onRest) {
    this->hooks.onRest({ aUpstream, this->options.host, aLength, aLength });
  }
}

void Dispatcher::OnSharedRest(const UpstreamRest& aRest)
{
  const UpstreamState* one = this->upstreams.Find(aRest.upstream);
  if (one != nullptr) {
    static_cast<void>(this->signals.Rests().Start(
      aRest.upstream, aRest.left, this->ReturnDelay(*one, aRest.left)));
  }
}

// All hosts are asked for rest at about the same time. They return over the
// time in which the upstream can run a request of each, or as long again as the
// rest if that is shorter.
Duration Dispatcher::ReturnDelay(const UpstreamState& aOne, Duration aRest)
{
  constexpr std::size_t kSteps = 1000;
  const std::chrono::duration<double, std::milli> longest(
    static_cast<double>(this->hostCount) * this->TypicalMs(aOne.entry.service) /
    aOne.entry.slots);
  const double part = static_cast<double>(this->hooks.random(kSteps)) / kSteps;
  return std::chrono::duration_cast<Duration>(
    part * std::min<std::chrono::duration<double, std::milli>>(longest, aRest));
}

} // namespace kumquat::routing
