// Figures from a load's outcomes: by service, by upstream and by second.

#pragma once

#include "load.h"
#include "runs.h"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <vector>

namespace kumquat::bench {

struct Quantiles
{
  // Milliseconds; 0 where nothing was answered.
  double p50 = 0;
  double p99 = 0;
  double p999 = 0;
};

struct ServiceSummary
{
  std::string service;
  std::size_t requests = 0;
  std::size_t answered = 0;
  std::size_t cut = 0;
  std::size_t foreign = 0;
  std::size_t lost = 0;
  // By error kind's name.
  std::map<std::string, std::size_t> refused;
  // Of answered requests.
  Quantiles latency;
  // Total of the 100 ms bins in which fewer than half of the requests were
  // answered.
  std::chrono::milliseconds unavailable{};

  std::size_t Refused() const;
};

struct SecondSummary
{
  int second = 0;
  std::size_t requests = 0;
  std::size_t answered = 0;
  double p99 = 0;
};

// One a service, in the load's order.
std::vector<ServiceSummary> SummariseServices(const LoadResult& aResult);

// By the second in which requests were due; all services or one.
std::vector<SecondSummary> SummariseSeconds(const LoadResult& aResult,
                                            const std::string& aService = {});

// Cut, foreign: what must never be.
std::size_t CountWrong(const LoadResult& aResult);

// aValues in milliseconds.
Quantiles QuantilesOf(std::vector<double> aValues);

double Median(std::vector<double> aValues);

void PrintServices(const std::vector<ServiceSummary>& aServices,
                   const std::map<std::string, UpstreamUse>& aUse);

nlohmann::json ToJson(const std::vector<ServiceSummary>& aServices,
                      const std::map<std::string, UpstreamUse>& aUse);

} // namespace kumquat::bench
