// What a dispatcher learns from upstreams and its peers have to know: requests
// under which upstreams end, and limits that upstreams name.

#include "routing/internal/dispatcherparts.h"

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
  if (aRequest->mayHaveRunAt > 0) {
    this->Finish(aRequest, { {}, ErrorKind::kUpstreamBroken, {} });
    return;
  }
  this->Finish(aRequest,
               { {},
                 ErrorKind::kRequestQuarantined,
                 this->suspects.QuarantineLeft(ContentOf(*aRequest)) });
}

void Dispatcher::ReportCrashes(const std::vector<CrashReport>& aReports) const
{
  if (!aReports.empty() && this->hooks.reportCrashes) {
    this->hooks.reportCrashes(aReports);
  }
}

void Dispatcher::UpdateLimit(const state::UpstreamId& aUpstream,
                             const NamedLimit& aLimit)
{
  if (aLimit.isMalformed && !aLimit.perSecond) {
    if (this->hooks.onMalformedLimit) {
      this->hooks.onMalformedLimit(aUpstream);
    }
    return;
  }
  const auto change = this->limits.OnResponse(aUpstream, aLimit.perSecond);
  if (change && this->hooks.onLimitChanged) {
    this->hooks.onLimitChanged(*change);
  }
}

} // namespace kumquat::routing
