// Which of a host's waiting requests goes first, and which are told at once
// that they will not be served.
//
// The load that this answers: for some seconds more requests arrive than the
// upstreams can run. First come, first served would then make every answer
// late, as each waits behind some that are late already. Here requests that
// can still be answered within their target go first, by urgency and then by
// the time that is left; late ones take what is idle; and one whose wait is
// sure to outlast its caller is refused on arrival, so that the caller may go
// elsewhere while there is time.

#pragma once

#include "framework/clock.h"

#include <chrono>
#include <cstdint>

namespace kumquat::routing {

struct WaitingRequest
{
  // 0 is the most urgent.
  int priority = 0;
  TimePoint arrived;
  // An answer until then is worth most.
  TimePoint target;
  // No answer after that is read.
  TimePoint deadline;
};

// What a host expects of the upstreams that a request may use: of all of its
// service, or of its key's owner.
struct QueueForecast
{
  // What one request takes, in milliseconds.
  double typicalMs = 100;
  // Requests a second that this host may expect to be run of those it queues.
  double perSecond = 0;
  // Requests of this host that wait already.
  std::size_t queued = 0;
  // Until one more is run than those that wait, in milliseconds; 0: what
  // perSecond says.
  double nextMs = 0;
  // Nothing is sent before that time has passed.
  std::chrono::milliseconds pause{ 0 };
};

// Whether the request can still be answered within its target if it starts now.
bool CanMeetTarget(const WaitingRequest& aRequest, TimePoint aNow,
                   double aUsualMs);

// Whether an answer can still reach the caller if it starts now.
bool CanMeetDeadline(const WaitingRequest& aRequest, TimePoint aNow,
                     double aUsualMs);

// Whether it should go on waiting: beyond that its answer would mostly be late,
// and its caller is better off with a refusal in time.
bool IsWorthWaiting(const WaitingRequest& aRequest, TimePoint aNow,
                    double aUsualMs);

// Whether aOne goes before aOther.
bool IsServedBefore(const WaitingRequest& aOne, const WaitingRequest& aOther,
                    TimePoint aNow, double aUsualMs);

// Whether a new request should wait at all.
bool IsWorthQueueing(const WaitingRequest& aRequest,
                     const QueueForecast& aOutlook, TimePoint aNow);

// When a refused caller should come back: when those that wait now will have
// been served, spread by aSpread (0 to 1) so that refused callers do not return
// together.
std::chrono::milliseconds RetryAfter(const QueueForecast& aOutlook,
                                     double aSpread);

} // namespace kumquat::routing
