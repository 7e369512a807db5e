// From upstream answers and transport errors to error kinds.

#include "coordination/requests.h"

#include "transport/httpstatus.h"

#include <utility>

namespace kumquat::coordination {

using protocol::ErrorKind;
using transport::TransportError;

namespace {

constexpr auto kNotRun = "not-run";

ErrorKind KindOf(const std::error_code& aError)
{
  if (aError == TransportError::kUnreachable) {
    return ErrorKind::kUpstreamUnreachable;
  }
  if (aError == TransportError::kTimeout) {
    return ErrorKind::kUpstreamTimeout;
  }
  if (aError == TransportError::kTruncated) {
    return ErrorKind::kUpstreamTruncated;
  }
  if (aError == TransportError::kCrossed) {
    return ErrorKind::kUpstreamCrossed;
  }
  return ErrorKind::kUpstreamBroken;
}

} // namespace

RequestResult MakeError(ErrorKind aKind)
{
  RequestResult result;
  result.error = aKind;
  return result;
}

RequestResult MakeErrorOfStranger(ErrorKind aKind)
{
  RequestResult result = MakeError(aKind);
  result.keyUnknown = true;
  return result;
}

RequestResult JudgeUpstreamAnswer(Result<transport::HttpResponse> aAnswer)
{
  if (!aAnswer) {
    return MakeError(KindOf(aAnswer.error()));
  }
  const bool notRun = aAnswer->Header("Kumquat-Outcome") == kNotRun;
  if (aAnswer->status == transport::status::kUnavailable && notRun) {
    return MakeError(ErrorKind::kUpstreamShed);
  }
  if (aAnswer->status == transport::status::kPreconditionFailed && notRun) {
    return MakeError(ErrorKind::kUpstreamFenced);
  }
  RequestResult result;
  result.response = std::move(*aAnswer);
  return result;
}

} // namespace kumquat::coordination
