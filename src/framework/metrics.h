// Counters, gauges and quantiles of one process, and their text in the
// Prometheus exposition format.
//
// Threads: a metric is looked up once, under a lock, and kept by reference for
// the registry's life. Counters and gauges are atomics that any thread may
// change; a summary has a lock of its own, which its duty's thread finds free
// but while the text is made.

#pragma once

#include "framework/clock.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat {

struct Label
{
  std::string name;
  // From a closed list or from the configuration; never what a caller sent,
  // or callers could grow the registry without bound.
  std::string value;
};

using Labels = std::vector<Label>;

class Counter
{
public:
  void Add(std::uint64_t aCount = 1)
  {
    this->count.fetch_add(aCount, std::memory_order_relaxed);
  }

  std::uint64_t Value() const
  {
    return this->count.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::uint64_t> count{ 0 };
};

class Gauge
{
public:
  void Set(std::int64_t aValue)
  {
    this->value.store(aValue, std::memory_order_relaxed);
  }

  void Add(std::int64_t aDifference)
  {
    this->value.fetch_add(aDifference, std::memory_order_relaxed);
  }

  std::int64_t Value() const
  {
    return this->value.load(std::memory_order_relaxed);
  }

private:
  std::atomic<std::int64_t> value{ 0 };
};

// Durations: their count and sum since the start, and the quantiles of the
// last one to two minutes.
class Summary
{
public:
  static constexpr std::chrono::seconds kWindow{ 60 };

  explicit Summary(Clock aClock);
  ~Summary();
  Summary(const Summary&) = delete;
  Summary& operator=(const Summary&) = delete;

  void Observe(Duration aValue);

  std::uint64_t Count() const;
  std::chrono::duration<double> Sum() const;
  // Not a number where nothing was observed lately. aProbability is one of
  // Probabilities().
  double Quantile(double aProbability) const;

  static const std::vector<double>& Probabilities();

private:
  class Window;

  void Rotate() const;

  Clock clock;
  mutable std::mutex mutex;
  // Every value goes into both; they are emptied in turn, so that the older
  // one always holds between one and two windows' values.
  mutable std::unique_ptr<Window> older;
  mutable std::unique_ptr<Window> newer;
  mutable TimePoint rotated;
  std::uint64_t count = 0;
  std::chrono::duration<double> sum{ 0 };
};

class Metrics
{
public:
  explicit Metrics(Clock aClock);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // The metric of this name and these labels; made where there is none. Names
  // follow Prometheus' conventions ("kumquat_requests_total"); a name keeps
  // the kind and the help that it was first given.
  Counter& GetOrCreateCounter(const std::string& aName, std::string_view aHelp,
                              const Labels& aLabels = {});
  Gauge& GetOrCreateGauge(const std::string& aName, std::string_view aHelp,
                          const Labels& aLabels = {});
  Summary& GetOrCreateSummary(const std::string& aName, std::string_view aHelp,
                              const Labels& aLabels = {});

  // The whole registry in Prometheus' text format, version 0.0.4.
  std::string Text() const;

private:
  template<typename Metric>
  struct Family
  {
    std::string help;
    // By the labels as they stand in the text.
    std::map<std::string, std::unique_ptr<Metric>> metrics;
  };

  template<typename Metric>
  using Families = std::map<std::string, Family<Metric>>;

  Clock clock;
  mutable std::mutex mutex;
  Families<Counter> counters;
  Families<Gauge> gauges;
  Families<Summary> summaries;
};

} // namespace kumquat
