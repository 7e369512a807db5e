// The caller's side of a scenario.

#include "scenarios/recordingsender.h"

#include <chrono>
#include <utility>

namespace kumquat::scenarios {

namespace {

// As a balancer does where a host takes no connection.
constexpr int kMaxConnects = 3;
constexpr std::size_t kMaxAttempts = 2;

std::int64_t NowMicros()
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

AttemptVerdict Judge(const bench::LoadRequest& aRequest,
                     const Result<transport::HttpResponse>& aWhole)
{
  if (!aWhole) {
    return aWhole.error() == transport::TransportError::kTruncated
             ? AttemptVerdict::kCut
             : AttemptVerdict::kLost;
  }
  if (!aWhole->Header("Kumquat-Error").empty() || aWhole->status >= 300) {
    return AttemptVerdict::kRefused;
  }
  return IsOwnAnswer(aRequest, *aWhole) ? AttemptVerdict::kAnswered
                                        : AttemptVerdict::kForeign;
}

} // namespace

void RecordBook::Add(CallerRecord aRecord)
{
  const std::lock_guard lock(this->mutex);
  this->records.push_back(std::move(aRecord));
}

std::vector<CallerRecord> RecordBook::Take()
{
  const std::lock_guard lock(this->mutex);
  return std::exchange(this->records, {});
}

bool IsOwnAnswer(const bench::LoadRequest& aRequest,
                 const transport::HttpResponse& aResponse)
{
  return aResponse.body.find("\"target\":\"" + aRequest.message.target +
                             "\"") != std::string::npos;
}

RecordingSender::RecordingSender(RecordBook& aBook, RecordingOptions aOptions,
                                 std::unique_ptr<bench::Sender> aNext)
  : book(aBook)
  , options(std::move(aOptions))
  , next(std::move(aNext))
{
}

void RecordingSender::Send(const bench::LoadRequest& aRequest, Done aDone)
{
  const bench::ServiceLoad& service = this->options.services[aRequest.service];
  auto call = std::make_shared<Call>(
    Call{ .request = aRequest, .done = std::move(aDone) });
  call->record = { .service = service.service,
                   .key = aRequest.key,
                   .idempotencyKey = aRequest.idempotencyKey,
                   .target = aRequest.message.target,
                   .idempotent = service.idempotent };
  call->record.attempts.push_back({ .start = NowMicros() });
  this->Try(call);
}

void RecordingSender::Try(const CallPtr& aCall)
{
  ++aCall->connects;
  this->next->Send(aCall->request, [this, aCall](Answer aAnswer) {
    this->OnAnswer(aCall, std::move(aAnswer));
  });
}

void RecordingSender::OnAnswer(const CallPtr& aCall, Answer aAnswer)
{
  const std::uint32_t sender = aAnswer.sender;
  if (!aAnswer.response) {
    const bool refused =
      aAnswer.response.error() == transport::TransportError::kUnreachable;
    if (refused && aCall->connects < kMaxConnects) {
      this->Try(aCall);
      return;
    }
    this->OnWhole(aCall, sender, std::move(aAnswer.response));
    return;
  }
  bench::ReadWhole(
    std::move(*aAnswer.response),
    [this, aCall, sender](Result<transport::HttpResponse> aWhole) {
      this->OnWhole(aCall, sender, std::move(aWhole));
    });
}

void RecordingSender::OnWhole(const CallPtr& aCall, std::uint32_t aSender,
                              Result<transport::HttpResponse> aWhole)
{
  Attempt& attempt = aCall->record.attempts.back();
  attempt.end = NowMicros();
  attempt.verdict = Judge(aCall->request, aWhole);
  if (aWhole) {
    attempt.error = std::string(aWhole->Header("Kumquat-Error"));
    attempt.outcome = std::string(aWhole->Header("Kumquat-Outcome"));
  }
  if (this->MustResend(aCall->record)) {
    aCall->record.attempts.push_back({ .start = NowMicros() });
    aCall->connects = 0;
    this->Try(aCall);
    return;
  }
  this->book.Add(std::move(aCall->record));
  aCall->done({ aSender, std::move(aWhole) });
}

bool RecordingSender::MustResend(const CallerRecord& aRecord) const
{
  const Attempt& last = aRecord.attempts.back();
  const bool open = last.verdict == AttemptVerdict::kLost ||
                    last.verdict == AttemptVerdict::kCut ||
                    last.verdict == AttemptVerdict::kRefused;
  return this->options.resend && open && !aRecord.idempotencyKey.empty() &&
         aRecord.attempts.size() < kMaxAttempts;
}

} // namespace kumquat::scenarios
