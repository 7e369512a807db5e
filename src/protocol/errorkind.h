// The closed list of the ways in which a request can fail, and a table with the
// HTTP status, outcome and retry rules of each. Refusals, retries and counters
// are named by these kinds.

#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string_view>
#include <system_error>

namespace kumquat::protocol {

enum class ErrorKind : int
{
  kNone = 0,
  kMalformedRequest,
  kHeaderTooLarge,
  kBodyTooLarge,
  kUnknownService,
  kMissingKey,
  kTooManyConnections,
  kDeadlineExpired,
  kRingFull,
  kQueueFull,
  kDeferred,
  kNoUpstream,
  kNoSteward,
  kNoLease,
  kNotSteward,
  kStaleSender,
  kUpstreamShed,
  kUpstreamCold,
  kUpstreamUnreachable,
  kUpstreamFenced,
  kUpstreamBroken,
  kUpstreamTruncated,
  kUpstreamCrossed,
  kUpstreamTimeout,
  kUpstreamFailed,
  kCallerGone,
  kPeerUnreachable,
  kPeerLost,
  kOutcomeUnknown,
  kDuplicateRunning,
  kStopping,
  kRetryBudgetSpent,
  kStoreUnavailable,
  kConflict,
  kInvalidConfiguration,
  kUnauthorized,
  kInternal,
  kApiKeyMissing,
  kApiKeyRepeated,
  kApiKeyUnknown,
  kConfigurationOutdated,
  kTeamOverLimit,
  kTeamLimitUnknown,
  kTooManyBytes,
  kRequestQuarantined,
  kUpstreamResting,
};

// Whether the caller's request was run by an upstream.
enum class Outcome
{
  kNotRun,
  kUnknown,
  kRan,
};

// The HTTP response and the retry rules for an error kind.
struct ErrorInfo
{
  ErrorKind kind;
  // Stable: it is used in counters, logs and the Kumquat-Error header.
  std::string_view name;
  int httpStatus;
  // kNotRun only if no byte of the request can have reached an upstream, or if
  // the upstream itself reported that it did not run the request.
  Outcome outcome;
  // Whether a retry within the system may succeed.
  bool retryable;
  // Value of the Retry-After header; nullopt if a later request would fail too.
  std::optional<std::chrono::seconds> retryAfter;
};

// The full table, indexed by ErrorKind.
std::span<const ErrorInfo> ErrorTable();

// The table's row for an error kind.
const ErrorInfo& ErrorInfoFor(ErrorKind aKind);

// Returns kInternal for a number that is not in the list, such as a kind that
// only a newer peer has.
ErrorKind ErrorKindFromNumber(int aNumber);

// The outcome's name in HTTP headers: "not-run", "unknown" or "ran".
std::string_view OutcomeName(Outcome aOutcome);

// The category of the error codes that are made from error kinds.
const std::error_category& ErrorKindCategory();

std::error_code make_error_code(ErrorKind aKind);

} // namespace kumquat::protocol

template<>
struct std::is_error_code_enum<kumquat::protocol::ErrorKind> : std::true_type
{};
