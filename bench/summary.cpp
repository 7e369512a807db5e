// Sorting and counting outcomes. Samples are bounded by the load's own bound,
// so quantiles are exact.

#include "summary.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <ranges>

namespace kumquat::bench {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kBin(100);

double ToMilliseconds(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

double At(const std::vector<double>& aSorted, double aShare)
{
  const auto rank = static_cast<std::size_t>(
    std::lround(aShare * static_cast<double>(aSorted.size() - 1)));
  return aSorted[std::min(rank, aSorted.size() - 1)];
}

struct Share
{
  std::size_t all = 0;
  std::size_t answered = 0;
};

milliseconds Unavailable(const std::map<std::int64_t, Share>& aBins)
{
  const auto bad =
    std::ranges::count_if(aBins | std::views::values, [](const Share& aShare) {
      return aShare.answered * 2 < aShare.all;
    });
  return kBin * bad;
}

// What one service's summary is counted from.
struct Tally
{
  ServiceSummary summary;
  std::vector<double> latencies;
  std::map<std::int64_t, Share> bins;

  void Add(const LoadOutcome& aOutcome)
  {
    ++this->summary.requests;
    Share& bin = this->bins[aOutcome.intended / kBin];
    ++bin.all;
    switch (aOutcome.verdict) {
      case Verdict::kAnswered:
        ++bin.answered;
        this->AddAnswered(aOutcome);
        break;
      case Verdict::kRefused:
        ++this->summary
            .refused[std::string(protocol::ErrorInfoFor(aOutcome.error).name)];
        break;
      case Verdict::kCut:
        ++this->summary.cut;
        break;
      case Verdict::kForeign:
        ++this->summary.foreign;
        break;
      case Verdict::kLost:
        ++this->summary.lost;
        break;
    }
  }

  void AddAnswered(const LoadOutcome& aOutcome)
  {
    ++this->summary.answered;
    this->latencies.push_back(ToMilliseconds(aOutcome.latency));
  }

  ServiceSummary Finish()
  {
    this->summary.latency = QuantilesOf(std::move(this->latencies));
    this->summary.unavailable = Unavailable(this->bins);
    return std::move(this->summary);
  }
};

std::string RefusedText(const ServiceSummary& aSummary)
{
  std::string text;
  for (const auto& [kind, count] : aSummary.refused) {
    text += fmt::format("{}{}:{}", text.empty() ? "" : " ", kind, count);
  }
  return text.empty() ? "-" : text;
}

UpstreamUse UseOf(const std::map<std::string, UpstreamUse>& aUse,
                  const std::string& aService)
{
  const auto found = aUse.find(aService);
  return found == aUse.end() ? UpstreamUse{} : found->second;
}

} // namespace

std::size_t ServiceSummary::Refused() const
{
  const auto counts = this->refused | std::views::values;
  return std::accumulate(counts.begin(), counts.end(), std::size_t{ 0 });
}

Quantiles QuantilesOf(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return {};
  }
  std::ranges::sort(aValues);
  return { At(aValues, 0.5), At(aValues, 0.99), At(aValues, 0.999) };
}

double Median(std::vector<double> aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  std::ranges::sort(aValues);
  const std::size_t half = aValues.size() / 2;
  return aValues.size() % 2 == 1 ? aValues[half]
                                 : (aValues[half - 1] + aValues[half]) / 2;
}

std::vector<ServiceSummary> SummariseServices(const LoadResult& aResult)
{
  std::vector<Tally> tallies(aResult.services.size());
  for (const LoadOutcome& outcome : aResult.outcomes) {
    tallies[outcome.service].Add(outcome);
  }
  std::vector<ServiceSummary> summaries;
  summaries.reserve(tallies.size());
  for (std::size_t i = 0; i < tallies.size(); ++i) {
    tallies[i].summary.service = aResult.services[i].service;
    summaries.push_back(tallies[i].Finish());
  }
  return summaries;
}

std::vector<SecondSummary> SummariseSeconds(const LoadResult& aResult,
                                            const std::string& aService)
{
  std::map<int, SecondSummary> seconds;
  std::map<int, std::vector<double>> latencies;
  for (const LoadOutcome& outcome : aResult.outcomes) {
    if (!aService.empty() &&
        aResult.services[outcome.service].service != aService) {
      continue;
    }
    const auto second =
      static_cast<int>(outcome.intended / std::chrono::seconds(1));
    SecondSummary& summary = seconds[second];
    summary.second = second;
    ++summary.requests;
    if (outcome.verdict == Verdict::kAnswered) {
      ++summary.answered;
      latencies[second].push_back(ToMilliseconds(outcome.latency));
    }
  }
  std::vector<SecondSummary> series;
  series.reserve(seconds.size());
  for (auto& [second, summary] : seconds) {
    summary.p99 = QuantilesOf(std::move(latencies[second])).p99;
    series.push_back(summary);
  }
  return series;
}

std::size_t CountWrong(const LoadResult& aResult)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aResult.outcomes, [](const LoadOutcome& aOutcome) {
      return aOutcome.verdict == Verdict::kCut ||
             aOutcome.verdict == Verdict::kForeign;
    }));
}

void PrintServices(const std::vector<ServiceSummary>& aServices,
                   const std::map<std::string, UpstreamUse>& aUse)
{
  fmt::print("{:<12} {:>8} {:>8} {:>7} {:>4} {:>7} {:>4} {:>8} {:>8} {:>8} "
             "{:>9} {:>9}  {}\n",
             "service", "requests", "answered", "refused", "cut", "foreign",
             "lost", "p50 ms", "p99 ms", "p999 ms", "slot use", "imbalance",
             "refused by kind");
  for (const ServiceSummary& one : aServices) {
    fmt::print("{:<12} {:>8} {:>8} {:>7} {:>4} {:>7} {:>4} {:>8.2f} {:>8.2f} "
               "{:>8.2f} {:>8.1f}% {:>9.2f}  {}\n",
               one.service, one.requests, one.answered, one.Refused(), one.cut,
               one.foreign, one.lost, one.latency.p50, one.latency.p99,
               one.latency.p999, 100 * UseOf(aUse, one.service).slotUse,
               UseOf(aUse, one.service).imbalance, RefusedText(one));
  }
}

nlohmann::json ToJson(const std::vector<ServiceSummary>& aServices,
                      const std::map<std::string, UpstreamUse>& aUse)
{
  nlohmann::json rows = nlohmann::json::array();
  for (const ServiceSummary& one : aServices) {
    rows.push_back({ { "service", one.service },
                     { "requests", one.requests },
                     { "answered", one.answered },
                     { "refused", one.refused },
                     { "cut", one.cut },
                     { "foreign", one.foreign },
                     { "lost", one.lost },
                     { "p50_ms", one.latency.p50 },
                     { "p99_ms", one.latency.p99 },
                     { "p999_ms", one.latency.p999 },
                     { "slot_use", UseOf(aUse, one.service).slotUse },
                     { "imbalance", UseOf(aUse, one.service).imbalance },
                     { "unavailable_ms", one.unavailable.count() } });
  }
  return rows;
}

} // namespace kumquat::bench
