// Converts callers' HTTP requests to coordination's requests, and its results
// to HTTP responses. See docs/CALLERS.md.

#pragma once

#include "coordination/requests.h"
#include "framework/clock.h"
#include "transport/http.h"
#include "transport/httpserver.h"

namespace kumquat::node {

// aNow: arrival, from which the deadline counts. Returns kMalformedRequest if
// Kumquat-Deadline-Ms is not a positive number.
Result<coordination::CallerRequest> ToCallerRequest(
  transport::HttpRequest&& aRequest, TimePoint aNow);

// The upstream's response, or an error response for the result's error kind.
transport::HttpResponse ToHttpResponse(coordination::RequestResult&& aResult);

// A response with the error's status, headers and JSON body.
transport::HttpResponse MakeErrorResponse(protocol::ErrorKind aKind);

// The error kind of a request that the HTTP server refused itself.
protocol::ErrorKind ErrorKindOf(transport::ServerRefusal aRefusal);

} // namespace kumquat::node
