// The load's threads: each draws its own arrivals, keys and services from its
// own stream of one seed, so that a seed gives one schedule.

#include "load.h"

#include "transport/iothread.h"

#include <boost/asio/steady_timer.hpp>
#include <pcg_random.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <future>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace kumquat::bench {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

constexpr std::array kVerdictNames = {
  std::string_view("answered"), std::string_view("refused"),
  std::string_view("cut"), std::string_view("foreign"), std::string_view("lost")
};

// A version 7 UUID: the time says to the system when the key was made.
std::string MakeUuid(pcg64& aRandom)
{
  constexpr std::uint64_t kTimeMask = (1ULL << 48U) - 1;
  const auto now = duration_cast<milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  const std::uint64_t time =
    static_cast<std::uint64_t>(now.count()) & kTimeMask;
  const std::uint64_t low = aRandom();
  const std::uint64_t high = aRandom();
  return fmt::format("{:08x}-{:04x}-7{:03x}-{:04x}-{:012x}", time >> 16U,
                     time & 0xffffU, low & 0xfffU,
                     0x8000U | (low >> 16U & 0x3fffU), high & kTimeMask);
}

protocol::ErrorKind KindByName(std::string_view aName)
{
  const auto answers = protocol::ErrorTable();
  const auto found =
    std::ranges::find(answers, aName, &protocol::ErrorInfo::name);
  return found == answers.end() ? protocol::ErrorKind::kInternal : found->kind;
}

// What all threads of a load share.
struct Collector
{
  std::mutex mutex;
  LoadResult result;
  std::size_t most = 0;

  void Add(LoadOutcome aOutcome)
  {
    const std::lock_guard lock(this->mutex);
    if (this->result.outcomes.size() >= this->most) {
      ++this->result.dropped;
      return;
    }
    this->result.outcomes.push_back(std::move(aOutcome));
  }

  void NoteLag(Duration aLag)
  {
    const std::lock_guard lock(this->mutex);
    this->result.worstLag = std::max(this->result.worstLag, aLag);
  }
};

// One thread's share of the load. Everything runs on that thread.
class Worker
{
public:
  Worker(const LoadOptions& aOptions, Collector& aCollector, int aNumber)
    : options(aOptions)
    , collector(aCollector)
    , number(aNumber)
    , random(aOptions.seed, static_cast<std::uint64_t>(aNumber))
    , timer(this->thread.Context())
    , sender(aOptions.sender(this->thread.Context(), aNumber))
  {
    std::vector<double> rates;
    std::ranges::transform(aOptions.services, std::back_inserter(rates),
                           &ServiceLoad::perSecond);
    this->perSecond = 0;
    for (const double rate : rates) {
      this->perSecond += rate / aOptions.threads;
    }
    this->pick =
      std::discrete_distribution<std::size_t>(rates.begin(), rates.end());
  }

  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;

  // The thread ends before anything that it uses.
  ~Worker() { this->thread.Stop(); }

  std::future<void> Start(TimePoint aStart)
  {
    this->start = aStart;
    this->Advance();
    this->thread.Start(fmt::format("load-{}", this->number));
    this->thread.Post([this] { this->Wait(); });
    return this->finished.get_future();
  }

private:
  void Advance()
  {
    std::exponential_distribution<double> gap(this->perSecond);
    this->due +=
      duration_cast<Duration>(std::chrono::duration<double>(gap(this->random)));
  }

  void Wait()
  {
    if (this->due >= this->options.duration) {
      this->sending = false;
      this->FinishIfIdle();
      return;
    }
    this->timer.expires_at(this->start + this->due);
    this->timer.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        this->SendDue();
      }
    });
  }

  void SendDue()
  {
    const Duration now = std::chrono::steady_clock::now() - this->start;
    this->collector.NoteLag(now - this->due);
    while (this->due <= now && this->due < this->options.duration) {
      this->SendOne(this->due);
      this->Advance();
    }
    this->Wait();
  }

  void SendOne(Duration aIntended)
  {
    auto request = std::make_shared<const LoadRequest>(this->Draw());
    ++this->running;
    this->sender->Send(
      *request, [this, request, aIntended](Sender::Answer aAnswer) {
        const std::uint32_t from = aAnswer.sender;
        if (!aAnswer.response) {
          this->Finish(*request, aIntended, from, aAnswer.response);
          return;
        }
        ReadWhole(std::move(*aAnswer.response),
                  [this, request, aIntended,
                   from](const Result<transport::HttpResponse>& aWhole) {
                    this->Finish(*request, aIntended, from, aWhole);
                  });
      });
  }

  LoadRequest Draw()
  {
    LoadRequest request;
    request.service = this->pick(this->random);
    const ServiceLoad& service = this->options.services[request.service];
    request.nonce = fmt::format("n{:x}-{}-{}", this->options.seed, this->number,
                                ++this->sent);
    request.key = this->DrawKey(service);
    request.deadline = service.deadline;
    transport::HttpRequest& message = request.message;
    message.method = service.method;
    message.target = fmt::format("{}?n={}",
                                 service.path.empty()
                                   ? "/" + service.service + "/" + request.key
                                   : service.path,
                                 request.nonce);
    message.headers = {
      { "Kumquat-Service", service.service },
      { "Kumquat-Key", request.key },
      { "Kumquat-Deadline-Ms", std::to_string(service.deadline.count()) },
    };
    if (!service.idempotent) {
      request.idempotencyKey = MakeUuid(this->random);
      message.headers.push_back({ "Idempotency-Key", request.idempotencyKey });
    }
    message.body.assign(service.bodyBytes, 'b');
    return request;
  }

  std::string DrawKey(const ServiceLoad& aService)
  {
    const bool hot = aService.hotKeys > 0 && std::bernoulli_distribution(
                                               aService.hotShare)(this->random);
    const std::uint64_t most = hot ? aService.hotKeys : aService.keys;
    std::uniform_int_distribution<std::uint64_t> index(0, most - 1);
    return fmt::format("{}-{}", aService.service, index(this->random));
  }

  void Finish(const LoadRequest& aRequest, Duration aIntended,
              std::uint32_t aSender,
              const Result<transport::HttpResponse>& aResponse)
  {
    LoadOutcome outcome;
    outcome.service = static_cast<std::uint32_t>(aRequest.service);
    outcome.sender = aSender;
    outcome.nonce = aRequest.nonce;
    outcome.intended = aIntended;
    outcome.latency =
      std::chrono::steady_clock::now() - this->start - aIntended;
    this->Judge(aRequest, aResponse, outcome);
    this->collector.Add(std::move(outcome));
    --this->running;
    this->FinishIfIdle();
  }

  void Judge(const LoadRequest& aRequest,
             const Result<transport::HttpResponse>& aResponse,
             LoadOutcome& aOutcome) const
  {
    if (!aResponse) {
      aOutcome.verdict =
        aResponse.error() == transport::TransportError::kTruncated
          ? Verdict::kCut
          : Verdict::kLost;
      return;
    }
    aOutcome.status = aResponse->status;
    const std::string_view kind = aResponse->Header("Kumquat-Error");
    if (!kind.empty() || aResponse->status >= 300) {
      aOutcome.verdict = Verdict::kRefused;
      aOutcome.error = KindByName(kind);
      return;
    }
    aOutcome.verdict = this->options.isOwn(aRequest, *aResponse)
                         ? Verdict::kAnswered
                         : Verdict::kForeign;
  }

  void FinishIfIdle()
  {
    if (!this->sending && this->running == 0) {
      this->finished.set_value();
    }
  }

  const LoadOptions& options;
  Collector& collector;
  const int number;
  pcg64 random;
  transport::IoThread thread;
  boost::asio::steady_timer timer;
  std::unique_ptr<Sender> sender;
  std::discrete_distribution<std::size_t> pick;
  double perSecond = 0;
  TimePoint start;
  // The next request's intended time, since the start.
  Duration due{};
  std::uint64_t sent = 0;
  std::size_t running = 0;
  bool sending = true;
  std::promise<void> finished;
};

// Keeps one answer while its rest comes in.
struct Reading
{
  transport::HttpResponse response;
  std::function<void(Result<transport::HttpResponse>)> done;
};

void ReadOn(const std::shared_ptr<Reading>& aReading)
{
  aReading->response.rest([aReading](Result<std::string> aPiece) {
    if (!aPiece) {
      aReading->done(aPiece.error());
      return;
    }
    if (aPiece->empty()) {
      aReading->response.rest = {};
      aReading->done(std::move(aReading->response));
      return;
    }
    aReading->response.body += *aPiece;
    ReadOn(aReading);
  });
}

} // namespace

std::string_view VerdictName(Verdict aVerdict)
{
  return kVerdictNames.at(static_cast<std::size_t>(aVerdict));
}

void ReadWhole(transport::HttpResponse aResponse,
               std::function<void(Result<transport::HttpResponse>)> aDone)
{
  if (!aResponse.rest) {
    aDone(std::move(aResponse));
    return;
  }
  ReadOn(std::make_shared<Reading>(
    Reading{ std::move(aResponse), std::move(aDone) }));
}

LoadResult RunLoad(const LoadOptions& aOptions,
                   const std::function<void(int)>& aOnSecond)
{
  Collector collector;
  collector.most = aOptions.maxOutcomes;
  collector.result.services = aOptions.services;
  {
    std::vector<std::unique_ptr<Worker>> workers;
    workers.reserve(static_cast<std::size_t>(aOptions.threads));
    for (int number = 0; number < aOptions.threads; ++number) {
      workers.push_back(std::make_unique<Worker>(aOptions, collector, number));
    }
    const TimePoint start = std::chrono::steady_clock::now();
    collector.result.start = start;
    std::vector<std::future<void>> ends;
    std::ranges::transform(
      workers, std::back_inserter(ends),
      [start](const auto& aWorker) { return aWorker->Start(start); });
    const auto seconds =
      duration_cast<std::chrono::seconds>(aOptions.duration).count();
    for (int second = 0; aOnSecond && second < seconds; ++second) {
      std::this_thread::sleep_until(start + std::chrono::seconds(second));
      aOnSecond(second);
    }
    std::ranges::for_each(ends, [](auto& aEnd) { aEnd.wait(); });
  }
  return std::move(collector.result);
}

} // namespace kumquat::bench
