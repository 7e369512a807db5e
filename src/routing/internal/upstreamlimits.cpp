// What is known of the upstreams' limits.

#include "routing/upstreamlimits.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <iterator>
#include <utility>

namespace kumquat::routing {

namespace {

// A limit that is still named is shared again after this time, so that hosts
// that may not send there do not take it for old.
constexpr std::chrono::seconds kShareInterval{ 10 };
constexpr std::chrono::seconds kMemoryTime{ 30 };
// An upstream that names a limit in some responses only has not ended it.
constexpr std::chrono::milliseconds kShortestTerm{ 500 };
// A smaller change need not be shared before the interval has passed.
constexpr double kSmallChange = 0.05;

bool IsAlike(const std::optional<double>& aOne,
             const std::optional<double>& aOther)
{
  return aOne.has_value() == aOther.has_value() &&
         (!aOne || std::abs(*aOne - *aOther) <= kSmallChange * *aOther);
}

} // namespace

UpstreamLimits::UpstreamLimits(Clock aClock)
  : clock(std::move(aClock))
{
}

std::optional<double> UpstreamLimits::RateOf(const state::UpstreamId& aId) const
{
  const auto found = this->limits.find(aId);
  if (found == this->limits.end() || !found->second.perSecond) {
    return std::nullopt;
  }
  return std::clamp(*found->second.perSecond, kMinUpstreamLimit,
                    kMaxUpstreamLimit);
}

std::optional<UpstreamLimit> UpstreamLimits::OnResponse(
  const state::UpstreamId& aId, std::optional<double> aPerSecond)
{
  const auto found = this->limits.find(aId);
  if (found == this->limits.end() && !aPerSecond) {
    return std::nullopt;
  }
  if (aPerSecond) {
    aPerSecond = std::min(*aPerSecond, kMaxUpstreamLimit);
  }
  const TimePoint now = this->clock();
  const bool isNew = found == this->limits.end();
  Known& known = this->limits[aId];
  const bool isChanged = isNew || !IsAlike(aPerSecond, known.perSecond);
  if (!aPerSecond && now - known.namedAt < kShortestTerm) {
    return std::nullopt;
  }
  known.saidAt = now;
  known.namedAt = aPerSecond ? now : known.namedAt;
  if (!isChanged && (!aPerSecond || now - known.sharedAt < kShareInterval)) {
    return std::nullopt;
  }
  known.perSecond = aPerSecond;
  known.sharedAt = now;
  return UpstreamLimit{ aId, aPerSecond, now };
}

void UpstreamLimits::OnReport(const UpstreamLimit& aLimit)
{
  const auto found = this->limits.find(aLimit.upstream);
  if (found != this->limits.end() && found->second.saidAt > aLimit.saidAt) {
    return;
  }
  if (found == this->limits.end() && !aLimit.perSecond) {
    return;
  }
  const TimePoint namedAt = aLimit.perSecond ? aLimit.saidAt
                            : found == this->limits.end()
                              ? TimePoint{}
                              : found->second.namedAt;
  this->limits[aLimit.upstream] = { aLimit.perSecond, aLimit.saidAt, namedAt,
                                    this->clock() };
}

void UpstreamLimits::Forget(const state::UpstreamId& aId)
{
  this->limits.erase(aId);
}

std::vector<UpstreamLimit> UpstreamLimits::All() const
{
  std::vector<UpstreamLimit> all;
  std::ranges::transform(
    this->limits, std::back_inserter(all), [](const auto& aItem) {
      return UpstreamLimit{ aItem.first, aItem.second.perSecond,
                            aItem.second.saidAt };
    });
  return all;
}

void UpstreamLimits::RemoveOld()
{
  const TimePoint now = this->clock();
  std::erase_if(this->limits, [now](const auto& aItem) {
    return now - aItem.second.saidAt >= kMemoryTime;
  });
}

} // namespace kumquat::routing
