// How fast the owners of keys are, from what many hosts report of them.
//
// With many hosts, each receives few responses of any one owner. Their reports
// together tell owners apart that differ by half. The pace of an owner is the
// typical time of a request divided by the owner's: 2 means twice as fast. It
// is the mean of the last few seconds, in which a slow period of a shared
// machine, some hundred milliseconds, counts little. With few responses the
// pace is close to 1.
//
// Reports can be lost, which takes away only their weight, and can be wrong: a
// report counts for a limited number of responses and with a limited time.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace kumquat::ownership {

// What a host reports of an owner.
struct OwnerReport
{
  state::UpstreamId upstream;
  // Responses since the host's last report, and the mean time of one request.
  int answers = 0;
  double serviceMs = 0;
};

// An incarnation of an upstream, as the assigner's host knows it.
struct OwnerLife
{
  std::int64_t startedMs = 0;
  // It was or is cold until then.
  TimePoint coldUntil;
};

struct OwnerPace
{
  // 1 is typical, more is faster.
  double factor = 1;
  // 0 if nothing was measured, and close to 1 with many recent responses.
  double confidence = 0;
};

class OwnerPaces
{
public:
  // Adds a report of the incarnation that is known now. Returns false if the
  // report cannot be true and was ignored.
  bool Add(const OwnerReport& aReport, const OwnerLife& aLife, TimePoint aNow);
  OwnerPace Find(const state::UpstreamId& aUpstream, std::int64_t aStartedMs,
                 TimePoint aNow) const;
  // The typical time; 0 while nothing is known.
  double TypicalMs(TimePoint aNow) const;
  // Removes owners of which nothing was reported for some time.
  void RemoveOld(TimePoint aNow);
  // Reports that were ignored as they cannot be true.
  std::int64_t IgnoredCount() const { return this->ignored; }

private:
  // The sums of an owner's responses; both decay alike.
  struct Sums
  {
    std::int64_t startedMs = 0;
    double answers = 0;
    double sumMs = 0;
    TimePoint addedAt;

    double AnswersAt(TimePoint aNow) const;
    double MeanMs() const { return this->sumMs / this->answers; }
  };

  std::map<state::UpstreamId, Sums> owners;
  // The typical time is the same for all owners of one plan.
  mutable double typicalMs = 0;
  mutable TimePoint typicalMsAt;
  // The owners that it is the median of.
  mutable std::size_t typicalOwners = 0;
  std::int64_t ignored = 0;
};

} // namespace kumquat::ownership
