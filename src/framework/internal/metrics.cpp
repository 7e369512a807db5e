// Metrics: quantiles with Boost.Accumulators, and the exposition text.

#include "framework/metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <iterator>
#include <limits>
#include <utility>

namespace kumquat {

namespace {

namespace acc = boost::accumulators;

using QuantileEstimator =
  acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

constexpr std::size_t kMaxExactValues = 32;

std::string Escape(std::string_view aText)
{
  std::string escaped;
  for (const char character : aText) {
    if (character == '\n') {
      escaped += "\\n";
      continue;
    }
    if (character == '\\' || character == '"') {
      escaped += '\\';
    }
    escaped += character;
  }
  return escaped;
}

std::string LabelsText(const Labels& aLabels)
{
  std::string text;
  for (const Label& label : aLabels) {
    text += fmt::format("{}{}=\"{}\"", text.empty() ? "" : ",", label.name,
                        Escape(label.value));
  }
  return text;
}

std::string InBraces(const std::string& aLabels)
{
  return aLabels.empty() ? std::string() : "{" + aLabels + "}";
}

std::string FormatNumber(double aValue)
{
  return std::isnan(aValue) ? std::string("NaN") : fmt::format("{}", aValue);
}

void AppendHelpAndType(std::string& aText, const std::string& aName,
                       const std::string& aHelp, std::string_view aType)
{
  fmt::format_to(std::back_inserter(aText), "# HELP {} {}\n# TYPE {} {}\n",
                 aName, aHelp, aName, aType);
}

template<typename Families>
void AppendValues(std::string& aText, const Families& aFamilies,
                  std::string_view aType)
{
  for (const auto& [name, family] : aFamilies) {
    AppendHelpAndType(aText, name, family.help, aType);
    for (const auto& [labels, metric] : family.metrics) {
      fmt::format_to(std::back_inserter(aText), "{}{} {}\n", name,
                     InBraces(labels), metric->Value());
    }
  }
}

void AppendSummary(std::string& aText, const std::string& aName,
                   const std::string& aLabels, const Summary& aSummary)
{
  const std::string comma = aLabels.empty() ? "" : ",";
  for (const double probability : Summary::Probabilities()) {
    fmt::format_to(std::back_inserter(aText), "{}{{{}{}quantile=\"{}\"}} {}\n",
                   aName, aLabels, comma, probability,
                   FormatNumber(aSummary.Quantile(probability)));
  }
  fmt::format_to(std::back_inserter(aText), "{}_sum{} {}\n{}_count{} {}\n",
                 aName, InBraces(aLabels), FormatNumber(aSummary.Sum().count()),
                 aName, InBraces(aLabels), aSummary.Count());
}

template<typename Families, typename Create>
auto& GetOrCreate(Families& aFamilies, const std::string& aName,
                  std::string_view aHelp, const Labels& aLabels,
                  const Create& aCreate)
{
  auto& family = aFamilies[aName];
  if (family.help.empty()) {
    family.help = Escape(aHelp);
  }
  auto& metric = family.metrics[LabelsText(aLabels)];
  if (!metric) {
    metric = aCreate();
  }
  return *metric;
}

} // namespace

// The values of one window. The P-square algorithm estimates quantiles only
// once it has seen as many values as it has markers. The first kMaxExactValues
// values are therefore kept, and their quantiles are exact, so that a service
// with few requests has quantiles too.
class Summary::Window
{
public:
  void Add(double aValue)
  {
    if (this->exactValues.size() < kMaxExactValues) {
      this->exactValues.push_back(aValue);
    }
    ++this->count;
    this->estimator(aValue);
  }

  double Quantile(double aProbability) const
  {
    if (this->count == 0) {
      return std::numeric_limits<double>::quiet_NaN();
    }
    if (this->count > kMaxExactValues) {
      const auto& probabilities = Summary::Probabilities();
      const auto found = std::ranges::find(probabilities, aProbability);
      return acc::extended_p_square(
        this->estimator)[found - probabilities.begin()];
    }
    return this->ExactQuantile(aProbability);
  }

private:
  double ExactQuantile(double aProbability) const
  {
    std::vector<double> sorted = this->exactValues;
    std::ranges::sort(sorted);
    const double rank =
      std::ceil(aProbability * static_cast<double>(sorted.size()));
    const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
  }

  std::vector<double> exactValues;
  std::uint64_t count = 0;
  QuantileEstimator estimator{ acc::extended_p_square_probabilities =
                                 Summary::Probabilities() };
};

Summary::Summary(Clock aClock)
  : clock(std::move(aClock))
  , older(std::make_unique<Window>())
  , newer(std::make_unique<Window>())
  , lastRotation(this->clock())
{
}

Summary::~Summary() = default;

void Summary::Observe(Duration aValue)
{
  const std::chrono::duration<double> seconds = aValue;
  const std::scoped_lock lock(this->mutex);
  this->RotateWindows();
  this->older->Add(seconds.count());
  this->newer->Add(seconds.count());
  ++this->count;
  this->sum += seconds;
}

std::uint64_t Summary::Count() const
{
  const std::scoped_lock lock(this->mutex);
  return this->count;
}

std::chrono::duration<double> Summary::Sum() const
{
  const std::scoped_lock lock(this->mutex);
  return this->sum;
}

double Summary::Quantile(double aProbability) const
{
  const std::scoped_lock lock(this->mutex);
  this->RotateWindows();
  return this->older->Quantile(aProbability);
}

const std::vector<double>& Summary::Probabilities()
{
  static const std::vector<double> kProbabilities = { 0.5, 0.9, 0.99, 0.999 };
  return kProbabilities;
}

void Summary::RotateWindows() const
{
  const Duration passed = this->clock() - this->lastRotation;
  if (passed < kWindow) {
    return;
  }
  this->older =
    passed < 2 * kWindow ? std::move(this->newer) : std::make_unique<Window>();
  this->newer = std::make_unique<Window>();
  this->lastRotation = this->clock();
}

Metrics::Metrics(Clock aClock)
  : clock(std::move(aClock))
{
}

Metrics::~Metrics() = default;

Counter& Metrics::GetOrCreateCounter(const std::string& aName,
                                     std::string_view aHelp,
                                     const Labels& aLabels)
{
  const std::scoped_lock lock(this->mutex);
  return GetOrCreate(this->counters, aName, aHelp, aLabels,
                     [] { return std::make_unique<Counter>(); });
}

Gauge& Metrics::GetOrCreateGauge(const std::string& aName,
                                 std::string_view aHelp, const Labels& aLabels)
{
  const std::scoped_lock lock(this->mutex);
  return GetOrCreate(this->gauges, aName, aHelp, aLabels,
                     [] { return std::make_unique<Gauge>(); });
}

Summary& Metrics::GetOrCreateSummary(const std::string& aName,
                                     std::string_view aHelp,
                                     const Labels& aLabels)
{
  const std::scoped_lock lock(this->mutex);
  return GetOrCreate(this->summaries, aName, aHelp, aLabels,
                     [this] { return std::make_unique<Summary>(this->clock); });
}

std::string Metrics::Text() const
{
  const std::scoped_lock lock(this->mutex);
  std::string text;
  AppendValues(text, this->counters, "counter");
  AppendValues(text, this->gauges, "gauge");
  for (const auto& [name, family] : this->summaries) {
    AppendHelpAndType(text, name, family.help, "summary");
    for (const auto& [labels, summary] : family.metrics) {
      AppendSummary(text, name, labels, *summary);
    }
  }
  return text;
}

} // namespace kumquat
