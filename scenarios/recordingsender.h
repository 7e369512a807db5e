// Sends a load's requests through the balancer, and keeps what every attempt
// came to, for the checker.

#pragma once

#include "bench/balancer.h"
#include "bench/load.h"
#include "scenarios/records.h"

#include <memory>
#include <mutex>
#include <vector>

namespace kumquat::scenarios {

// Filled by the load's threads.
class RecordBook
{
public:
  void Add(CallerRecord aRecord);
  std::vector<CallerRecord> Take();

private:
  std::mutex mutex;
  std::vector<CallerRecord> records;
};

struct RecordingOptions
{
  std::vector<bench::ServiceLoad> services;
  // A request whose outcome is unknown is sent once more, with the same
  // Idempotency-Key, through the next host.
  bool resend = true;
};

// Whether an answer is the request's own: it names its target and key.
bool IsOwnAnswer(const bench::LoadRequest& aRequest,
                 const transport::HttpResponse& aResponse);

class RecordingSender : public bench::Sender
{
public:
  RecordingSender(RecordBook& aBook, RecordingOptions aOptions,
                  std::unique_ptr<bench::Sender> aNext);

  void Send(const bench::LoadRequest& aRequest, Done aDone) override;

private:
  struct Call
  {
    bench::LoadRequest request;
    Done done;
    CallerRecord record;
    int connects = 0;
  };
  using CallPtr = std::shared_ptr<Call>;

  void Try(const CallPtr& aCall);
  void OnAnswer(const CallPtr& aCall, Answer aAnswer);
  void OnWhole(const CallPtr& aCall, std::uint32_t aSender,
               Result<transport::HttpResponse> aWhole);
  bool MustResend(const CallerRecord& aRecord) const;

  RecordBook& book;
  const RecordingOptions options;
  std::unique_ptr<bench::Sender> next;
};

} // namespace kumquat::scenarios
