// The order and the refusal of waiting requests.

#include "routing/waiting.h"

#include <algorithm>

namespace kumquat::routing {

using std::chrono::milliseconds;
using MsDouble = std::chrono::duration<double, std::milli>;

namespace {

// A request that starts with less than this share of its typical time left
// mostly misses its deadline: service times vary by a third around their mean.
constexpr double kMinShareOfTypical = 0.8;
// A request that starts with this many times its typical time left mostly meets
// its target. Service times vary, and the upstream holds one request ahead of
// its slots. With the typical time alone, the requests with the earliest
// targets, which go first, would just miss them one after the other.
constexpr double kTargetFactor = 1.5;
// How far into the time between its target and its deadline a request may still
// be started: a response there is worth a third, and takes the slot from a
// request that can meet its target.
constexpr double kLateShare = 0.25;
// Waiting for this long raises a request by one priority, so that a long series
// of requests with a higher one does not starve the others.
constexpr milliseconds kAgeing{ 400 };
// Bounds of Retry-After. A caller that returns sooner than the first would meet
// the same queue; callers mostly cannot wait longer than the second within
// their deadlines.
constexpr milliseconds kMinRetryAfter{ 60 };
constexpr milliseconds kMaxRetryAfter{ 1000 };
// Callers return after a pause over this part of its length.
constexpr double kPauseSpread = 0.25;

} // namespace

bool CanMeetTarget(const WaitingRequest& aRequest, TimePoint aNow,
                   double aTypicalMs)
{
  return MsDouble(aRequest.target - aNow).count() >=
         kTargetFactor * aRequest.work * aTypicalMs;
}

bool CanMeetDeadline(const WaitingRequest& aRequest, TimePoint aNow,
                     double aTypicalMs)
{
  return MsDouble(aRequest.deadline - aNow).count() >=
         kMinShareOfTypical * aRequest.work * aTypicalMs;
}

bool IsWorthWaiting(const WaitingRequest& aRequest, TimePoint aNow,
                    double aTypicalMs)
{
  const auto beyond = std::chrono::duration_cast<Duration>(
    kLateShare * (aRequest.deadline - aRequest.target));
  return CanMeetDeadline(aRequest, aNow, aTypicalMs) &&
         CanMeetTarget(aRequest, aNow - std::max(Duration(0), beyond),
                       aTypicalMs);
}

WaitingRank RankOf(const WaitingRequest& aRequest, TimePoint aNow,
                   double aTypicalMs)
{
  const auto aged =
    static_cast<int>((aNow - aRequest.arrived) / Duration(kAgeing));
  return { !CanMeetTarget(aRequest, aNow, aTypicalMs), aRequest.priority - aged,
           aRequest.target };
}

bool IsServedBefore(const WaitingRequest& aOne, const WaitingRequest& aOther,
                    TimePoint aNow, double aTypicalMs)
{
  return RankOf(aOne, aNow, aTypicalMs) < RankOf(aOther, aNow, aTypicalMs);
}

bool IsWorthQueueing(const WaitingRequest& aRequest,
                     const QueueForecast& aForecast, TimePoint aNow)
{
  if (!IsWorthWaiting(aRequest, aNow, aForecast.typicalMs)) {
    return false;
  }
  if (!CanMeetTarget(aRequest, aNow + aForecast.pause, aForecast.typicalMs)) {
    return false;
  }
  if (aForecast.queued <= 0) {
    return true;
  }
  if (aForecast.perSecond <= 0) {
    return false;
  }
  const double waitMs = 1000.0 * aForecast.queued / aForecast.perSecond;
  const auto start =
    aNow + std::chrono::duration_cast<Duration>(MsDouble(waitMs));
  return CanMeetTarget(aRequest, start, aForecast.typicalMs);
}

milliseconds RetryAfter(const QueueForecast& aForecast, double aSpread)
{
  const double eachMs = aForecast.perSecond > 0
                          ? 1000.0 / aForecast.perSecond
                          : static_cast<double>(kMaxRetryAfter.count());
  const double drainMs = aForecast.queued * eachMs +
                         (aForecast.nextMs > 0 ? aForecast.nextMs : eachMs);
  const milliseconds wait(
    static_cast<milliseconds::rep>(drainMs * (0.5 + aSpread)));
  const milliseconds afterPause(static_cast<milliseconds::rep>(
    static_cast<double>(aForecast.pause.count()) *
    (1 + kPauseSpread * aSpread)));
  return std::max(std::clamp(wait, kMinRetryAfter, kMaxRetryAfter), afterPause);
}

} // namespace kumquat::routing
