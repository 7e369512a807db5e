// What upstreams say of themselves in responses, beside answering a request.
//
//   what            holds for   until
//   limit           all hosts   responses name none any more
//   rest            the host    its time has passed
//   leaving         all hosts   the upstream starts anew
//
// That an upstream leaves is known from its entry as well, and stands with it;
// see Upstreams::MarkLeaving.

#pragma once

#include "framework/clock.h"
#include "routing/upstreamlimits.h"
#include "routing/upstreamrests.h"
#include "state/types.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <vector>

namespace kumquat::routing {

enum class SignalKind
{
  kLimit,
  kRest,
  kLeaving,
};

// The name of the signal in the log.
std::string_view SignalKindName(SignalKind aKind);

// What one response says.
struct ResponseSignals
{
  // Requests per second that the upstream takes from all hosts together.
  std::optional<double> limitPerSecond;
  // How long it wants nothing from this host.
  std::optional<std::chrono::milliseconds> rest;
  bool isLeaving = false;
  // Those that cannot be read, which count as not given.
  std::vector<SignalKind> malformed;
};

// What all upstreams have said of limits and rests, as far as this host knows.
class UpstreamSignals
{
public:
  explicit UpstreamSignals(const Clock& aClock)
    : limits(aClock)
    , rests(aClock)
  {
  }

  UpstreamLimits& Limits() { return this->limits; }
  const UpstreamLimits& Limits() const { return this->limits; }
  UpstreamRests& Rests() { return this->rests; }
  const UpstreamRests& Rests() const { return this->rests; }

  // The upstream has started anew, or is gone.
  void Forget(const state::UpstreamId& aId)
  {
    this->limits.Forget(aId);
    this->rests.Forget(aId);
  }

  void RemoveOld()
  {
    this->limits.RemoveOld();
    this->rests.RemoveOld();
  }

private:
  UpstreamLimits limits;
  UpstreamRests rests;
};

} // namespace kumquat::routing
