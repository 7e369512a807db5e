// Counters, gauges and quantiles of one process, and their text in the
// Prometheus exposition format.
//
// Thread safety: a metric is looked up once, under the registry's lock; the
// reference stays valid for the registry's lifetime. Counters and gauges are
// atomics that any thread may change. A summary has its own lock, for which the
// observing thread waits only while the exposition text is being made.

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
  // From a closed list or the configuration. It must never come from a caller's
  // request, as callers could then make the registry grow without bound.
  std::string value;
};

using Labels = std::vector<Label>;

// A number that only rises. Thread-safe.
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

// A number that rises and falls. Thread-safe.
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

// Observed durations: their count and sum since the start, and the quantiles
// of the last one to two minutes (one to two windows). Thread-safe.
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
  // In seconds; NaN if nothing was observed in the last one to two windows.
  // aProbability must be one of Probabilities().
  double Quantile(double aProbability) const;

  // The probabilities whose quantiles are kept.
  static const std::vector<double>& Probabilities();

private:
  class Window;

  void RotateWindows() const;

  Clock clock;
  mutable std::mutex mutex;
  // Every value is added to both. Once per window the older one is replaced by
  // the newer one and the newer one by an empty one, so that the older one
  // holds the values of the last one to two windows.
  mutable std::unique_ptr<Window> older;
  mutable std::unique_ptr<Window> newer;
  mutable TimePoint lastRotation;
  std::uint64_t count = 0;
  std::chrono::duration<double> sum{ 0 };
};

// The registry of all metrics of a process. Thread-safe.
class Metrics
{
public:
  explicit Metrics(Clock aClock);
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  // Return the metric with this name and these labels, and create it if there
  // is none. Names follow Prometheus' conventions ("kumquat_requests_total").
  // One name must always be used with the same kind of metric; its help text is
  // the first one that is not empty.
  Counter& GetOrCreateCounter(const std::string& aName, std::string_view aHelp,
                              const Labels& aLabels = {});
  Gauge& GetOrCreateGauge(const std::string& aName, std::string_view aHelp,
                          const Labels& aLabels = {});
  Summary& GetOrCreateSummary(const std::string& aName, std::string_view aHelp,
                              const Labels& aLabels = {});

  // All metrics in Prometheus' text format, version 0.0.4.
  std::string Text() const;

private:
  // All metrics of one name.
  template<typename Metric>
  struct Family
  {
    std::string help;
    // Keyed by the labels as they appear in the exposition text.
    std::map<std::string, std::unique_ptr<Metric>> metrics;
  };

  // Keyed by the metrics' name.
  template<typename Metric>
  using Families = std::map<std::string, Family<Metric>>;

  Clock clock;
  mutable std::mutex mutex;
  Families<Counter> counters;
  Families<Gauge> gauges;
  Families<Summary> summaries;
};

} // namespace kumquat
