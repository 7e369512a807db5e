// Readiness probing and round robin.

#include "balancer.h"

#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <ranges>
#include <thread>

namespace kumquat::bench {

namespace {

constexpr std::chrono::milliseconds kProbeTimeout(500);
constexpr std::chrono::milliseconds kReadyPause(20);
// Over the request's own deadline, so that a late answer is seen as late and
// not as lost.
constexpr std::chrono::milliseconds kGrace(2000);

transport::HttpClient::Options ClientOptions()
{
  transport::HttpClient::Options options;
  options.maxIdle = 256;
  return options;
}

} // namespace

class ReadinessProbe::Timer
{
public:
  explicit Timer(boost::asio::io_context& aContext)
    : timer(aContext)
  {
  }

  boost::asio::steady_timer timer;
};

ReadinessProbe::ReadinessProbe(std::vector<EntryAddress> aEntries,
                               std::chrono::milliseconds aInterval)
  : entries(std::move(aEntries))
  , interval(aInterval)
  , ready(this->entries.size())
  , timer(std::make_unique<Timer>(this->thread.Context()))
{
  this->client.emplace(this->thread.Context(), ClientOptions());
  this->thread.Start("readiness");
  this->thread.Post([this] { this->AskAll(); });
}

ReadinessProbe::~ReadinessProbe()
{
  this->thread.Stop();
}

bool ReadinessProbe::IsReady(std::size_t aEntry) const
{
  return this->ready[aEntry].load(std::memory_order_relaxed);
}

std::size_t ReadinessProbe::CountReady() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->ready, [](const std::atomic<bool>& aReady) {
      return aReady.load(std::memory_order_relaxed);
    }));
}

void ReadinessProbe::Schedule()
{
  this->timer->timer.expires_after(this->interval);
  this->timer->timer.async_wait(
    [this](const boost::system::error_code& aError) {
      if (!aError) {
        this->AskAll();
      }
    });
}

void ReadinessProbe::AskAll()
{
  for (const std::size_t entry :
       std::views::iota(std::size_t{ 0 }, this->entries.size())) {
    transport::HttpRequest request;
    request.target = "/ready";
    this->client->Send(
      this->entries[entry].readyAddress, std::move(request), kProbeTimeout,
      [this, entry](const Result<transport::HttpResponse>& aResponse) {
        this->ready[entry].store(aResponse && aResponse->status == 200,
                                 std::memory_order_relaxed);
      });
  }
  this->Schedule();
}

Balancer::Balancer(boost::asio::io_context& aContext,
                   std::shared_ptr<const ReadinessProbe> aProbe, int aSalt)
  : probe(std::move(aProbe))
  , client(aContext, ClientOptions())
  , turn(static_cast<std::size_t>(aSalt))
{
}

std::optional<std::size_t> Balancer::Next()
{
  const std::size_t count = this->probe->Entries().size();
  for (std::size_t tried = 0; tried < count; ++tried) {
    const std::size_t entry = this->turn++ % count;
    if (this->probe->IsReady(entry)) {
      return entry;
    }
  }
  return std::nullopt;
}

void Balancer::Send(const LoadRequest& aRequest, Done aDone)
{
  const std::optional<std::size_t> entry = this->Next();
  if (!entry) {
    aDone({ 0, make_error_code(transport::TransportError::kUnreachable) });
    return;
  }
  this->client.Send(
    this->probe->Entries()[*entry].address, aRequest.message,
    aRequest.deadline + kGrace,
    [done = std::move(aDone), entry = static_cast<std::uint32_t>(*entry)](
      Result<transport::HttpResponse> aResponse) {
      done({ entry, std::move(aResponse) });
    });
}

bool AwaitReady(const ReadinessProbe& aProbe, std::size_t aCount,
                std::chrono::milliseconds aMost)
{
  const TimePoint end = std::chrono::steady_clock::now() + aMost;
  while (aProbe.CountReady() < aCount) {
    if (std::chrono::steady_clock::now() > end) {
      return false;
    }
    std::this_thread::sleep_for(kReadyPause);
  }
  return true;
}

} // namespace kumquat::bench
