// Open-loop load: requests leave when they are due, whether or not earlier
// ones were answered, and latency counts from the time that was intended. A
// slow system therefore cannot slow its own measurement down.

#pragma once

#include "framework/clock.h"
#include "protocol/errorkind.h"
#include "transport/http.h"
#include "transport/httpclient.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::bench {

// What is asked of one service.
struct ServiceLoad
{
  std::string service;
  double perSecond = 0;
  bool keyed = false;
  bool idempotent = true;
  std::string method = "GET";
  // Where set, takes the place of "/service/key" in the target.
  std::string path;
  std::chrono::milliseconds deadline{ 2000 };
  // Distinct keys; of these the first `hotKeys` take `hotShare` of requests.
  std::uint64_t keys = 10'000;
  std::uint64_t hotKeys = 0;
  double hotShare = 0;
  std::size_t bodyBytes = 0;
};

struct LoadRequest
{
  // Index into the load's services.
  std::size_t service = 0;
  // Unique in a run; the answer has to show it.
  std::string nonce;
  std::string key;
  std::string idempotencyKey;
  std::chrono::milliseconds deadline{};
  transport::HttpRequest message;
};

enum class Verdict
{
  kAnswered,
  // An error answer of the system; LoadOutcome::error says which.
  kRefused,
  // The body ended before its length.
  kCut,
  // The answer is not this request's.
  kForeign,
  // Neither an answer nor a refusal: no connection, broken or timed out.
  kLost,
};

std::string_view VerdictName(Verdict aVerdict);

struct LoadOutcome
{
  std::uint32_t service = 0;
  // What sent it: the entry host's index, or the chooser's.
  std::uint32_t sender = 0;
  Verdict verdict = Verdict::kLost;
  protocol::ErrorKind error = protocol::ErrorKind::kNone;
  int status = 0;
  // Since the load's start.
  Duration intended{};
  // From the intended time to the answer's last byte.
  Duration latency{};
  std::string nonce;
};

// Sends one request and reports the answer's head with the whole body. Made
// once for each of the load's threads, and used on that thread only.
class Sender
{
public:
  struct Answer
  {
    std::uint32_t sender = 0;
    Result<transport::HttpResponse> response;
  };
  using Done = std::function<void(Answer)>;

  virtual ~Sender() = default;
  virtual void Send(const LoadRequest& aRequest, Done aDone) = 0;
};

using SenderFactory =
  std::function<std::unique_ptr<Sender>(boost::asio::io_context&, int)>;

// Whether a 2xx answer belongs to its request.
using AnswerCheck =
  std::function<bool(const LoadRequest&, const transport::HttpResponse&)>;

struct LoadOptions
{
  std::vector<ServiceLoad> services;
  std::chrono::milliseconds duration{ 10'000 };
  std::uint64_t seed = 1;
  int threads = 4;
  // Outcomes kept at most; further ones are only counted.
  std::size_t maxOutcomes = 4'000'000;
  SenderFactory sender;
  AnswerCheck isOwn;
};

struct LoadResult
{
  std::vector<ServiceLoad> services;
  std::vector<LoadOutcome> outcomes;
  std::size_t dropped = 0;
  TimePoint start;
  // How late the load itself was: the worst gap between intended and actual
  // sending. Large values mean that the bench is the bottleneck.
  Duration worstLag{};
};

// Runs the whole load and waits for the last answer. aOnSecond, where set, is
// called on the caller's thread once a second with the second's number.
LoadResult RunLoad(const LoadOptions& aOptions,
                   const std::function<void(int)>& aOnSecond = {});

// Reads an answer's streamed rest to its end, then passes it on whole.
void ReadWhole(transport::HttpResponse aResponse,
               std::function<void(Result<transport::HttpResponse>)> aDone);

} // namespace kumquat::bench
