// Decides which of a host's waiting requests goes first, and which are refused
// at once as they will not be served.
//
// It serves a load where for some seconds more requests arrive than the
// upstreams can run. First come, first served would then make every response
// late, as each request waits behind some that are late already. Here requests
// that can still meet their target go first, by priority and then by the time
// of the target; late ones take what is idle; and one whose wait is certain to
// outlast its caller is refused on arrival, so that the caller can go elsewhere
// while there is time.

#pragma once

#include "framework/clock.h"

#include <chrono>
#include <cstddef>
#include <tuple>

namespace kumquat::routing {

struct WaitingRequest
{
  // 0 is the highest priority.
  int priority = 0;
  TimePoint arrived;
  // A response until then is worth most.
  TimePoint target;
  // A response after that is not read.
  TimePoint deadline;
  // Its work relative to a typical request of its service; see WorkTimes.
  double work = 1;
};

// What a host expects of the upstreams that a request may use: of all of its
// service, or of its key's owner.
struct QueueForecast
{
  // What a typical request takes, in milliseconds.
  double typicalMs = 100;
  // Requests per second, of those that wait, that are expected to be run.
  double perSecond = 0;
  // Requests that wait already: those of this host for the service, or all
  // known ones for the key's owner. Each counts by its work.
  double queued = 0;
  // Time for one more request after those that wait, in milliseconds; 0 if it
  // follows from perSecond.
  double nextMs = 0;
  // Nothing is sent before this time has passed.
  std::chrono::milliseconds pause{ 0 };
};

// In all of these, aTypicalMs is what a typical request of the service takes;
// what the request itself takes follows from its work.

// Whether a response can still meet the target if the request starts now.
bool CanMeetTarget(const WaitingRequest& aRequest, TimePoint aNow,
                   double aTypicalMs);

// Whether a response can still reach the caller if the request starts now.
bool CanMeetDeadline(const WaitingRequest& aRequest, TimePoint aNow,
                     double aTypicalMs);

// Whether the request should go on waiting. Beyond that its response would
// mostly be late, and an early refusal serves its caller better.
bool IsWorthWaiting(const WaitingRequest& aRequest, TimePoint aNow,
                    double aTypicalMs);

// Requests are served in the order of their ranks.
using WaitingRank = std::tuple<bool, int, TimePoint>;

WaitingRank RankOf(const WaitingRequest& aRequest, TimePoint aNow,
                   double aTypicalMs);

// Whether aOne is served before aOther.
bool IsServedBefore(const WaitingRequest& aOne, const WaitingRequest& aOther,
                    TimePoint aNow, double aTypicalMs);

// Whether a new request should wait at all.
bool IsWorthQueueing(const WaitingRequest& aRequest,
                     const QueueForecast& aForecast, TimePoint aNow);

// Returns when a refused caller should come back: when the requests that wait
// now will have been served. aSpread (0 to 1) varies it, so that refused
// callers do not return together.
std::chrono::milliseconds RetryAfter(const QueueForecast& aForecast,
                                     double aSpread);

} // namespace kumquat::routing
