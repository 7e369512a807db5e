// Callers' headers, and the answers in JSON.

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

// The service's own deadline bounds it; see Router::OnCallerRequest.
constexpr milliseconds kLongestDeadline{ 3'600'000 };

// Belong to one connection, or are made anew for the next one.
constexpr std::array<std::string_view, 14> kNotPassedOn = {
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

// What only stewards may say to an upstream, and upstreams to a steward.
constexpr std::array<std::string_view, 7> kInternal = {
  "Kumquat-Request-Id", "Kumquat-Epoch", "Kumquat-Slice-Epoch",
  "Kumquat-Steward",    "Kumquat-State", "Kumquat-Incarnation",
  "Kumquat-Outcome"
};

bool IsIn(const auto& aNames, std::string_view aName)
{
  return std::ranges::any_of(aNames, [aName](std::string_view aOne) {
    return boost::beast::iequals(aOne, aName);
  });
}

void KeepEndToEnd(std::vector<HttpHeader>& aHeaders)
{
  std::erase_if(aHeaders, [](const HttpHeader& aHeader) {
    return IsIn(kNotPassedOn, aHeader.name) || IsIn(kInternal, aHeader.name);
  });
}

Result<milliseconds> ParseDeadline(std::string_view aText)
{
  if (aText.empty()) {
    return kLongestDeadline;
  }
  std::int64_t count = 0;
  const char* end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data(), end, count);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == end;
  if (!whole || count <= 0) {
    return make_error_code(ErrorKind::kMalformedRequest);
  }
  return std::min(milliseconds(count), kLongestDeadline);
}

std::string InSeconds(milliseconds aTime)
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
  KeepEndToEnd(request.headers);
  return request;
}

HttpResponse ToHttpResponse(RequestResult&& aResult)
{
  if (aResult.error == ErrorKind::kNone) {
    HttpResponse response = std::move(aResult.response);
    KeepEndToEnd(response.headers);
    response.headers.push_back({ "Kumquat-Outcome", "ran" });
    return response;
  }
  HttpResponse response = MakeErrorResponse(aResult.error);
  if (aResult.retryAfter) {
    std::erase_if(response.headers, [](const HttpHeader& aHeader) {
      return aHeader.name == "Retry-After";
    });
    response.headers.push_back(
      { "Retry-After", InSeconds(*aResult.retryAfter) });
  }
  return response;
}

HttpResponse MakeErrorResponse(ErrorKind aKind)
{
  const protocol::ErrorInfo& answer = protocol::ErrorInfoFor(aKind);
  const std::string outcome(protocol::OutcomeName(answer.outcome));
  HttpResponse response;
  response.status = answer.httpStatus;
  response.headers = { { "Content-Type", "application/json" },
                       { "Kumquat-Error", std::string(answer.name) },
                       { "Kumquat-Outcome", outcome } };
  if (answer.retryAfter) {
    response.headers.push_back(
      { "Retry-After", InSeconds(*answer.retryAfter) });
  }
  response.body =
    nlohmann::json{ { "error", answer.name }, { "outcome", outcome } }.dump() +
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
    case transport::ServerRefusal::kMalformed:
    case transport::ServerRefusal::kTooSlow:
      return ErrorKind::kMalformedRequest;
  }
  return ErrorKind::kMalformedRequest;
}

} // namespace kumquat::node
