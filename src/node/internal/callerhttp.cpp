// Reads and filters callers' headers, and builds JSON error responses.

#include "node/callerhttp.h"

#include <boost/beast/core/string.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace kumquat::node {

using coordination::CallerRequest;
using coordination::RequestResult;
using protocol::ErrorKind;
using std::chrono::milliseconds;
using transport::HttpHeader;
using transport::HttpRequest;
using transport::HttpResponse;

namespace {

// The service's configured deadline limits it further; see
// Router::OnCallerRequest.
constexpr milliseconds kMaxDeadline{ 3'600'000 };

// Headers that are not forwarded: they apply to one connection, are set again
// for the next one, or are meant for the host.
constexpr std::array<std::string_view, 14> kNotForwarded = {
  "Connection",
  "Keep-Alive",
  "Proxy-Authenticate",
  "Proxy-Authorization",
  "Te",
  "Trailer",
  "Transfer-Encoding",
  "Upgrade",
  "Content-Length",
  "Host",
  "Kumquat-Service",
  "Kumquat-Key",
  "Idempotency-Key",
  "Kumquat-Deadline-Ms"
};

// Headers between upstreams and their steward, the host that controls them.
// They are neither forwarded from callers nor to them.
constexpr std::array<std::string_view, 7> kStewardHeaders = {
  "Kumquat-Request-Id", "Kumquat-Epoch", "Kumquat-Slice-Epoch",
  "Kumquat-Steward",    "Kumquat-State", "Kumquat-Incarnation",
  "Kumquat-Outcome"
};

bool ContainsName(const auto& aNames, std::string_view aName)
{
  return std::ranges::any_of(aNames, [aName](std::string_view aOther) {
    return boost::beast::iequals(aOther, aName);
  });
}

void RemoveNonForwardedHeaders(std::vector<HttpHeader>& aHeaders)
{
  std::erase_if(aHeaders, [](const HttpHeader& aHeader) {
    return ContainsName(kNotForwarded, aHeader.name) ||
           ContainsName(kStewardHeaders, aHeader.name);
  });
}

Result<milliseconds> ParseDeadline(std::string_view aText)
{
  if (aText.empty()) {
    return kMaxDeadline;
  }
  std::int64_t count = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, count);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!whole || count <= 0) {
    return make_error_code(ErrorKind::kMalformedRequest);
  }
  return std::min(milliseconds(count), kMaxDeadline);
}

// Rounded up; at least one second.
std::string ToSeconds(milliseconds aTime)
{
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(aTime);
  return std::to_string(std::max<std::int64_t>(1, seconds.count()));
}

} // namespace

Result<CallerRequest> ToCallerRequest(HttpRequest&& aRequest, TimePoint aNow)
{
  const Result<milliseconds> timeLeft =
    ParseDeadline(aRequest.Header("Kumquat-Deadline-Ms"));
  if (!timeLeft) {
    return timeLeft.error();
  }
  CallerRequest request;
  request.service.value = std::string(aRequest.Header("Kumquat-Service"));
  request.key = std::string(aRequest.Header("Kumquat-Key"));
  request.idempotencyKey = std::string(aRequest.Header("Idempotency-Key"));
  request.deadline = aNow + *timeLeft;
  request.method = std::move(aRequest.method);
  request.target = std::move(aRequest.target);
  request.body = std::move(aRequest.body);
  request.headers = std::move(aRequest.headers);
  RemoveNonForwardedHeaders(request.headers);
  return request;
}

HttpResponse ToHttpResponse(RequestResult&& aResult)
{
  if (aResult.error == ErrorKind::kNone) {
    HttpResponse response = std::move(aResult.response);
    RemoveNonForwardedHeaders(response.headers);
    response.headers.push_back({ "Kumquat-Outcome", "ran" });
    return response;
  }
  HttpResponse response = MakeErrorResponse(aResult.error);
  if (aResult.retryAfter) {
    std::erase_if(response.headers, [](const HttpHeader& aHeader) {
      return aHeader.name == "Retry-After";
    });
    response.headers.push_back(
      { "Retry-After", ToSeconds(*aResult.retryAfter) });
  }
  return response;
}

HttpResponse MakeErrorResponse(ErrorKind aKind)
{
  const protocol::ErrorInfo& info = protocol::ErrorInfoFor(aKind);
  const std::string outcome(protocol::OutcomeName(info.outcome));
  HttpResponse response;
  response.status = info.httpStatus;
  response.headers = { { "Content-Type", "application/json" },
                       { "Kumquat-Error", std::string(info.name) },
                       { "Kumquat-Outcome", outcome } };
  if (info.retryAfter) {
    response.headers.push_back({ "Retry-After", ToSeconds(*info.retryAfter) });
  }
  response.body =
    nlohmann::json{ { "error", info.name }, { "outcome", outcome } }.dump() +
    "\n";
  return response;
}

ErrorKind ErrorKindOf(transport::ServerRefusal aRefusal)
{
  switch (aRefusal) {
    case transport::ServerRefusal::kHeaderTooLarge:
      return ErrorKind::kHeaderTooLarge;
    case transport::ServerRefusal::kBodyTooLarge:
      return ErrorKind::kBodyTooLarge;
    case transport::ServerRefusal::kTooManyConnections:
      return ErrorKind::kTooManyConnections;
    case transport::ServerRefusal::kTooManyBytes:
      return ErrorKind::kTooManyBytes;
    case transport::ServerRefusal::kMalformed:
    case transport::ServerRefusal::kTooSlow:
      return ErrorKind::kMalformedRequest;
  }
  return ErrorKind::kMalformedRequest;
}

} // namespace kumquat::node
