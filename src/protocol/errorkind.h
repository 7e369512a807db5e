// The closed list of the ways in which a request can fail, and the table from
// each to its answer. Every refusal, retry and counter is named by a kind.

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
};

// What the caller may conclude of its request.
enum class Outcome
{
  kNotRun,
  kUnknown,
  kRan,
};

struct ErrorInfo
{
  ErrorKind kind;
  // Stable; used in counters, logs and the Kumquat-Error header.
  std::string_view name;
  int httpStatus;
  // kNotRun only where no byte of the request can have reached an upstream,
  // or where the upstream itself said that it did not run.
  Outcome outcome;
  // Whether another try inside the system may succeed.
  bool retryable;
  // Seconds for Retry-After; none where coming back would not help.
  std::optional<std::chrono::seconds> retryAfter;
};

// The whole table, in the order of the enumeration.
std::span<const ErrorInfo> ErrorTable();

const ErrorInfo& ErrorInfoFor(ErrorKind aKind);

// kInternal for a number that is not in the list (a newer peer's kind).
ErrorKind ErrorKindFromNumber(int aNumber);

std::string_view OutcomeName(Outcome aOutcome);

const std::error_category& ErrorKindCategory();

std::error_code make_error_code(ErrorKind aKind);

} // namespace kumquat::protocol

template<>
struct std::is_error_code_enum<kumquat::protocol::ErrorKind> : std::true_type
{};
