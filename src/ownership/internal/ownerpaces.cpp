// The paces of key owners, from the reports of hosts.

#include "ownership/ownerpaces.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <vector>

namespace kumquat::ownership {

using std::chrono::milliseconds;

namespace {

// A response counts half as much after this time. An owner that becomes slow
// for good has most of its new pace after 3 s.
constexpr milliseconds kHalfLife{ 2000 };
// So many responses count as much as the assumption that an owner is typical.
constexpr double kPriorAnswers = 4;
// A host that reports more responses at once counts no more than this.
constexpr int kMaxAnswersPerReport = 10;
// A report counts with a time that differs from the typical one by no more.
constexpr double kMaxTimeRatio = 4;
// With fewer owners one wrong time can be the typical one.
constexpr std::size_t kMinOwnersToBound = 3;
// No request may run for longer.
constexpr double kMaxServiceMs = 60'000;
// Bounds of the factor. Longer times are those of single requests.
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 3;
// Hosts report every few hundred milliseconds, so that a report which arrives
// later than this after a cold time has no responses of it.
constexpr milliseconds kColdReportDelay{ 1000 };
// Owners with less weight than this say nothing about the typical time.
constexpr double kMinAnswersForTypical = 1;
constexpr milliseconds kKeptFor{ 30'000 };

double Decay(Duration aAge)
{
  return std::exp2(-std::chrono::duration<double>(aAge) /
                   std::chrono::duration<double>(kHalfLife));
}

} // namespace

double OwnerPaces::Sums::AnswersAt(TimePoint aNow) const
{
  return this->answers * Decay(aNow - this->addedAt);
}

bool OwnerPaces::Add(const OwnerReport& aReport, const OwnerLife& aLife,
                     TimePoint aNow)
{
  if (aReport.answers <= 0 || !std::isfinite(aReport.serviceMs) ||
      aReport.serviceMs <= 0 || aReport.serviceMs > kMaxServiceMs) {
    ++this->ignored;
    return false;
  }
  if (aNow < aLife.coldUntil + kColdReportDelay &&
      aLife.coldUntil != TimePoint{}) {
    return true;
  }
  const double typical = this->TypicalMs(aNow);
  const auto bounded = [this, typical](double aMs) {
    return this->typicalOwners >= kMinOwnersToBound
             ? std::clamp(aMs, typical / kMaxTimeRatio, typical * kMaxTimeRatio)
             : aMs;
  };
  const double answers = std::min(aReport.answers, kMaxAnswersPerReport);
  Sums& sums = this->owners[aReport.upstream];
  if (sums.startedMs != aLife.startedMs) {
    sums = {};
    sums.startedMs = aLife.startedMs;
  }
  // The first reports of all were taken without a typical time to bound them.
  const double known = sums.AnswersAt(aNow);
  const double knownMs = known > 0 ? bounded(sums.MeanMs()) : 0;
  sums.answers = known + answers;
  sums.sumMs = known * knownMs + answers * bounded(aReport.serviceMs);
  sums.addedAt = aNow;
  return true;
}

// The median, which single wrong times do not move.
double OwnerPaces::TypicalMs(TimePoint aNow) const
{
  constexpr milliseconds kUsedFor{ 50 };
  if (this->typicalMs > 0 && aNow >= this->typicalMsAt &&
      aNow - this->typicalMsAt < kUsedFor) {
    return this->typicalMs;
  }
  std::vector<double> times;
  for (const auto& [id, sums] : this->owners) {
    if (sums.AnswersAt(aNow) >= kMinAnswersForTypical) {
      times.push_back(sums.MeanMs());
    }
  }
  if (times.empty()) {
    return this->typicalMs;
  }
  std::ranges::sort(times);
  const std::size_t middle = times.size() / 2;
  constexpr double kHalf = 0.5;
  this->typicalMs = times.size() % 2 == 1
                      ? times[middle]
                      : kHalf * (times[middle - 1] + times[middle]);
  this->typicalMsAt = aNow;
  this->typicalOwners = times.size();
  return this->typicalMs;
}

OwnerPace OwnerPaces::Find(const state::UpstreamId& aUpstream,
                           std::int64_t aStartedMs, TimePoint aNow) const
{
  const auto found = this->owners.find(aUpstream);
  if (found == this->owners.end() || found->second.startedMs != aStartedMs) {
    return {};
  }
  const double typical = this->TypicalMs(aNow);
  if (typical <= 0) {
    return {};
  }
  const double answers = found->second.AnswersAt(aNow);
  const double confidence = answers / (answers + kPriorAnswers);
  const double timeMs =
    confidence * found->second.MeanMs() + (1 - confidence) * typical;
  return { std::clamp(typical / timeMs, kMinFactor, kMaxFactor), confidence };
}

void OwnerPaces::RemoveOld(TimePoint aNow)
{
  std::erase_if(this->owners, [aNow](const auto& aItem) {
    return aNow - aItem.second.addedAt > kKeptFor;
  });
}

} // namespace kumquat::ownership
