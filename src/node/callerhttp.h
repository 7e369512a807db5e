// Between callers' HTTP and the core's requests: headers in, answers out. See
// docs/CALLERS.md.

#pragma once

#include "coordination/requests.h"
#include "framework/clock.h"
#include "transport/http.h"
#include "transport/httpserver.h"

namespace kumquat::node {

// kMalformedRequest where a header that steers the request cannot be read.
Result<coordination::CallerRequest> ToCallerRequest(
  transport::HttpRequest&& aRequest, TimePoint aNow);

transport::HttpResponse ToHttpResponse(coordination::RequestResult&& aResult);

transport::HttpResponse MakeErrorResponse(protocol::ErrorKind aKind);

// For requests that the HTTP server itself refuses.
protocol::ErrorKind ErrorKindOf(transport::ServerRefusal aRefusal);

} // namespace kumquat::node
