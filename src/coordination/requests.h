// A caller's request on its way through a host: what came in, what goes to an
// upstream, what comes back.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"
#include "protocol/errorkind.h"
#include "state/types.h"
#include "transport/http.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::coordination {

using RequestId = std::uint64_t;

struct CallerRequest
{
  state::ServiceName service;
  std::string key;
  std::string idempotencyKey;
  TimePoint deadline;
  std::string method;
  std::string target;
  std::vector<transport::HttpHeader> headers;
  std::string body;
};

// What became of a request: an upstream's response, or an error kind.
struct RequestResult
{
  protocol::ErrorKind error = protocol::ErrorKind::kNone;
  // Set where error is kNone.
  transport::HttpResponse response;
  // Overrides the table's Retry-After.
  std::optional<std::chrono::milliseconds> retryAfter;
  // Of a request with an idempotency key: its owner did not say this, so
  // whether an earlier request with the key has run is not known.
  bool keyUnknown = false;
};

// One request to be sent to one upstream, now.
struct UpstreamCall
{
  RequestId id = 0;
  std::string address;
  transport::HttpRequest request;
  std::chrono::milliseconds timeout{ 0 };
};

RequestResult MakeError(protocol::ErrorKind aKind);
// Of a host that does not answer for the request's idempotency key.
RequestResult MakeErrorOfStranger(protocol::ErrorKind aKind);

// What an upstream's answer, or the lack of one, means for the request.
RequestResult JudgeUpstreamAnswer(Result<transport::HttpResponse> aAnswer);

} // namespace kumquat::coordination
