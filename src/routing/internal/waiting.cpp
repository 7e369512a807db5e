// Order and refusal of waiting requests.

#include "routing/waiting.h"

#include <algorithm>
#include <tuple>

namespace kumquat::routing {

using std::chrono::milliseconds;
using MsDouble = std::chrono::duration<double, std::milli>;

namespace {

// A request that starts with less than this share of its usual time left is
// mostly cut off by its deadline: work times vary by a third around their mean.
constexpr double kLeastShareOfUsual = 0.8;
// A request that starts with so many times its usual time left is mostly
// answered by then. Work times vary, and the upstream holds one request ahead
// of its slots; with the bare usual time the earliest targets, which go first,
// would just be missed one after the other.
constexpr double kInTimeShare = 1.5;
// How far into the time between its target and its deadline a request may
// still be started: an answer there is worth a third and takes the slot from
// one that can be in time.
constexpr double kLateShare = 0.25;
// Waiting for so long raises a request by one step of urgency, so that a long
// stretch of urgent ones does not starve the rest.
constexpr milliseconds kAgeing{ 400 };
// Bounds of Retry-After. Less than the first would meet the same queue; callers
// mostly cannot wait for longer than the second within their deadlines.
constexpr milliseconds kLeastRetryAfter{ 60 };
constexpr milliseconds kMostRetryAfter{ 1000 };

auto RankOf(const WaitingRequest& aRequest, TimePoint aNow, double aUsualMs)
{
  const auto aged =
    static_cast<int>((aNow - aRequest.arrived) / Duration(kAgeing));
  return std::make_tuple(!CanMeetTarget(aRequest, aNow, aUsualMs),
                         aRequest.priority - aged, aRequest.target);
}

} // namespace

bool CanMeetTarget(const WaitingRequest& aRequest, TimePoint aNow,
                   double aUsualMs)
{
  return MsDouble(aRequest.target - aNow).count() >= kInTimeShare * aUsualMs;
}

bool CanMeetDeadline(const WaitingRequest& aRequest, TimePoint aNow,
                     double aUsualMs)
{
  return MsDouble(aRequest.deadline - aNow).count() >=
         kLeastShareOfUsual * aUsualMs;
}

bool IsWorthWaiting(const WaitingRequest& aRequest, TimePoint aNow,
                    double aUsualMs)
{
  const auto beyond = std::chrono::duration_cast<Duration>(
    kLateShare * (aRequest.deadline - aRequest.target));
  return CanMeetDeadline(aRequest, aNow, aUsualMs) &&
         CanMeetTarget(aRequest, aNow - std::max(Duration(0), beyond),
                       aUsualMs);
}

bool IsServedBefore(const WaitingRequest& aOne, const WaitingRequest& aOther,
                    TimePoint aNow, double aUsualMs)
{
  return RankOf(aOne, aNow, aUsualMs) < RankOf(aOther, aNow, aUsualMs);
}

bool IsWorthQueueing(const WaitingRequest& aRequest,
                     const QueueForecast& aOutlook, TimePoint aNow)
{
  if (!IsWorthWaiting(aRequest, aNow, aOutlook.typicalMs)) {
    return false;
  }
  if (!CanMeetTarget(aRequest, aNow + aOutlook.pause, aOutlook.typicalMs)) {
    return false;
  }
  if (aOutlook.queued == 0) {
    return true;
  }
  if (aOutlook.perSecond <= 0) {
    return false;
  }
  const double waitMs =
    1000.0 * static_cast<double>(aOutlook.queued) / aOutlook.perSecond;
  const auto start =
    aNow + std::chrono::duration_cast<Duration>(MsDouble(waitMs));
  return CanMeetTarget(aRequest, start, aOutlook.typicalMs);
}

milliseconds RetryAfter(const QueueForecast& aOutlook, double aSpread)
{
  const double eachMs = aOutlook.perSecond > 0
                          ? 1000.0 / aOutlook.perSecond
                          : static_cast<double>(kMostRetryAfter.count());
  const double drainMs = static_cast<double>(aOutlook.queued) * eachMs +
                         (aOutlook.nextMs > 0 ? aOutlook.nextMs : eachMs);
  const milliseconds wait(
    static_cast<milliseconds::rep>(drainMs * (0.5 + aSpread)));
  return std::clamp(std::max(wait, aOutlook.pause), kLeastRetryAfter,
                    kMostRetryAfter);
}

} // namespace kumquat::routing
