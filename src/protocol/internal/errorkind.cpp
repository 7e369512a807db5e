// The table of error kinds.

#include "protocol/errorkind.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <string>

namespace kumquat::protocol {

namespace {

using std::chrono::seconds;

constexpr auto kNotRun = Outcome::kNotRun;
constexpr auto kUnknown = Outcome::kUnknown;
constexpr auto kRan = Outcome::kRan;

constexpr std::array kErrors = {
  ErrorInfo{ ErrorKind::kNone, "none", 200, kRan, false, {} },
  ErrorInfo{ ErrorKind::kMalformedRequest,
             "malformed-request",
             400,
             kNotRun,
             false,
             {} },
  ErrorInfo{ ErrorKind::kHeaderTooLarge,
             "header-too-large",
             431,
             kNotRun,
             false,
             {} },
  ErrorInfo{ ErrorKind::kBodyTooLarge,
             "body-too-large",
             413,
             kNotRun,
             false,
             {} },
  ErrorInfo{ ErrorKind::kUnknownService,
             "unknown-service",
             404,
             kNotRun,
             false,
             {} },
  ErrorInfo{ ErrorKind::kMissingKey, "missing-key", 400, kNotRun, false, {} },
  ErrorInfo{ ErrorKind::kTooManyConnections, "too-many-connections", 503,
             kNotRun, false, seconds(1) },
  ErrorInfo{ ErrorKind::kDeadlineExpired, "deadline-expired", 504, kNotRun,
             false, seconds(1) },
  ErrorInfo{ ErrorKind::kRingFull, "ring-full", 503, kNotRun, false,
             seconds(1) },
  ErrorInfo{ ErrorKind::kQueueFull, "queue-full", 503, kNotRun, false,
             seconds(1) },
  ErrorInfo{ ErrorKind::kDeferred, "deferred", 503, kNotRun, false,
             seconds(5) },
  ErrorInfo{ ErrorKind::kNoUpstream, "no-upstream", 503, kNotRun, true,
             seconds(1) },
  ErrorInfo{ ErrorKind::kNoSteward, "no-steward", 503, kNotRun, true,
             seconds(1) },
  ErrorInfo{ ErrorKind::kNoLease, "no-lease", 503, kNotRun, true, seconds(2) },
  ErrorInfo{ ErrorKind::kNotSteward, "not-steward", 503, kNotRun, true,
             seconds(1) },
  ErrorInfo{ ErrorKind::kStaleSender, "stale-sender", 503, kNotRun, false,
             seconds(2) },
  ErrorInfo{ ErrorKind::kUpstreamShed, "upstream-shed", 503, kNotRun, true,
             seconds(1) },
  ErrorInfo{ ErrorKind::kUpstreamCold, "upstream-cold", 503, kNotRun, true,
             seconds(1) },
  ErrorInfo{ ErrorKind::kUpstreamUnreachable, "upstream-unreachable", 503,
             kNotRun, true, seconds(1) },
  ErrorInfo{ ErrorKind::kUpstreamFenced, "upstream-fenced", 503, kNotRun, true,
             seconds(1) },
  ErrorInfo{ ErrorKind::kUpstreamBroken, "upstream-broken", 502, kUnknown, true,
             seconds(1) },
  ErrorInfo{ ErrorKind::kUpstreamTruncated, "upstream-truncated", 502, kUnknown,
             true, seconds(1) },
  ErrorInfo{ ErrorKind::kUpstreamCrossed, "upstream-crossed", 502, kUnknown,
             true, seconds(1) },
  ErrorInfo{ ErrorKind::kUpstreamTimeout, "upstream-timeout", 504, kUnknown,
             true, seconds(1) },
  ErrorInfo{ ErrorKind::kUpstreamFailed, "upstream-failed", 502, kUnknown, true,
             seconds(1) },
  ErrorInfo{ ErrorKind::kCallerGone, "caller-gone", 499, kUnknown, false, {} },
  ErrorInfo{ ErrorKind::kPeerUnreachable, "peer-unreachable", 503, kNotRun,
             true, seconds(1) },
  ErrorInfo{ ErrorKind::kPeerLost, "peer-lost", 502, kUnknown, true,
             seconds(1) },
  ErrorInfo{ ErrorKind::kOutcomeUnknown, "outcome-unknown", 409, kUnknown,
             false, seconds(5) },
  ErrorInfo{ ErrorKind::kDuplicateRunning, "duplicate-running", 409, kUnknown,
             false, seconds(1) },
  ErrorInfo{ ErrorKind::kStopping, "stopping", 503, kNotRun, true, seconds(1) },
  ErrorInfo{ ErrorKind::kRetryBudgetSpent, "retry-budget-spent", 503, kNotRun,
             false, seconds(2) },
  ErrorInfo{ ErrorKind::kStoreUnavailable, "store-unavailable", 503, kUnknown,
             true, seconds(5) },
  ErrorInfo{ ErrorKind::kConflict, "conflict", 409, kNotRun, false, {} },
  ErrorInfo{ ErrorKind::kInvalidConfiguration,
             "invalid-configuration",
             422,
             kNotRun,
             false,
             {} },
  ErrorInfo{ ErrorKind::kUnauthorized,
             "unauthorized",
             401,
             kNotRun,
             false,
             {} },
  ErrorInfo{ ErrorKind::kInternal, "internal", 500, kUnknown, false, {} },
  ErrorInfo{ ErrorKind::kApiKeyMissing,
             "api-key-missing",
             401,
             kNotRun,
             false,
             {} },
  ErrorInfo{ ErrorKind::kApiKeyRepeated,
             "api-key-repeated",
             401,
             kNotRun,
             false,
             {} },
  ErrorInfo{ ErrorKind::kApiKeyUnknown,
             "api-key-unknown",
             401,
             kNotRun,
             false,
             {} },
  ErrorInfo{ ErrorKind::kConfigurationOutdated, "configuration-outdated", 503,
             kNotRun, false, seconds(1) },
  ErrorInfo{ ErrorKind::kTeamOverLimit, "team-over-limit", 429, kNotRun, false,
             seconds(1) },
  ErrorInfo{ ErrorKind::kTeamLimitUnknown, "team-limit-unknown", 503, kNotRun,
             false, seconds(1) },
  ErrorInfo{ ErrorKind::kTooManyBytes, "too-many-bytes", 503, kNotRun, false,
             seconds(1) },
  ErrorInfo{ ErrorKind::kRequestQuarantined, "request-quarantined", 503,
             kNotRun, false, seconds(60) },
  ErrorInfo{ ErrorKind::kUpstreamResting, "upstream-resting", 503, kNotRun,
             false, seconds(1) },
};

constexpr ErrorKind kLastKind = ErrorKind::kUpstreamResting;

constexpr bool IsInOrder()
{
  for (std::size_t i = 0; i < kErrors.size(); ++i) {
    if (static_cast<std::size_t>(kErrors[i].kind) != i) {
      return false;
    }
  }
  return true;
}

static_assert(IsInOrder(),
              "kErrors must have one row per ErrorKind, in the same order");
static_assert(kErrors.size() == static_cast<std::size_t>(kLastKind) + 1);

class ErrorCategory : public std::error_category
{
public:
  const char* name() const noexcept override { return "kumquat"; }

  std::string message(int aNumber) const override
  {
    return std::string(ErrorInfoFor(ErrorKindFromNumber(aNumber)).name);
  }
};

} // namespace

std::span<const ErrorInfo> ErrorTable()
{
  return kErrors;
}

const ErrorInfo& ErrorInfoFor(ErrorKind aKind)
{
  return kErrors.at(static_cast<std::size_t>(aKind));
}

ErrorKind ErrorKindFromNumber(int aNumber)
{
  if (aNumber < 0 || aNumber > static_cast<int>(kLastKind)) {
    return ErrorKind::kInternal;
  }
  return static_cast<ErrorKind>(aNumber);
}

std::string_view OutcomeName(Outcome aOutcome)
{
  switch (aOutcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kRan:
      return "ran";
  }
  return "unknown";
}

const std::error_category& ErrorKindCategory()
{
  static const ErrorCategory kCategory;
  return kCategory;
}

std::error_code make_error_code(ErrorKind aKind)
{
  return { static_cast<int>(aKind), ErrorKindCategory() };
}

} // namespace kumquat::protocol
