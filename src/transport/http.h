// HTTP messages as the rest of the program sees them, without Beast.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"
#include "transport/byteaccount.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace kumquat::transport {

struct HttpHeader
{
  std::string name;
  std::string value;
};

// Asks for the next piece of a body. An empty piece ends the body; an error
// says that it was cut short. One call at a time.
using BodyReader =
  std::function<void(std::function<void(Result<std::string>)>)>;

// A server's connection to a caller, as the one who answers sees it.
struct CallerLink
{
  // Runs once, on the server's thread, if the caller closes its connection
  // before its answer has begun.
  std::function<void()> onGone;
  // Looks at the connection now, on the server's thread: false where the
  // caller's close is there already and only waits to be read. Empty where a
  // caller that ends its sending side may still want its answer.
  std::function<bool()> isThere;
};

struct HttpRequest
{
  std::string method = "GET";
  std::string target = "/";
  std::vector<HttpHeader> headers;
  std::string body;
  // If set, the body in place of `body`: one copy for all sends of a request.
  std::shared_ptr<const std::string> sharedBody;
  // Bytes that the body holds of the host's account; may be null.
  ByteAccount::ReservationPtr held;
  // Of requests that a server has read, and of those that a client passes on
  // for that caller; null elsewhere.
  std::shared_ptr<CallerLink> link;
  // Asked by a client right before the first byte, as connecting takes time,
  // with the time at which the connection was there; where it says no, nothing
  // is sent. Empty: always yes.
  std::function<bool(TimePoint)> isStillValid;
  // Sent over a new connection, which ends with the response: an extra response
  // to an earlier request cannot be taken for this one's. For requests whose
  // responses bear no id.
  bool needsOwnConnection = false;
  // From its sending on, how long a client reads a response that comes through
  // HttpResponse::rest; 0: the client's own limit.
  std::chrono::milliseconds bodyTimeout{ 0 };
  // The client's connections that have carried the request, for all of its
  // sends together. None of them carries it again. Null: it is sent once.
  std::shared_ptr<std::vector<std::uint64_t>> carriers;

  // Empty where there is none; names are compared without case.
  std::string_view Header(std::string_view aName) const;
  const std::string& Body() const
  {
    return this->sharedBody ? *this->sharedBody : this->body;
  }
};

// Closes the connection without an answer; only the stand-ins' servers use it.
constexpr int kNoAnswer = 0;

struct HttpResponse
{
  int status = 200;
  std::vector<HttpHeader> headers;
  std::string body;
  // Where set, the rest of the body, after `body`, comes from here.
  BodyReader rest;
  // Length of the whole body, where it is known before `rest` is read.
  std::optional<std::uint64_t> length;
  // Bytes that the body holds of the host's account; may be null.
  ByteAccount::ReservationPtr held;
  // The client's connection that it came over; 0 elsewhere.
  std::uint64_t connection = 0;

  std::string_view Header(std::string_view aName) const;
};

enum class TransportError
{
  kNone = 0,
  // No byte was sent.
  kUnreachable,
  // The connection broke before a whole head came back.
  kBroken,
  // The body ended before its length.
  kTruncated,
  kTimeout,
  kCancelled,
  // Not HTTP, or beyond the bounds.
  kMalformed,
  // The answer belongs to another request.
  kCrossed,
  // The caller had left before a byte was sent.
  kCallerGone,
  // It was no longer valid before a byte was sent.
  kWithdrawn,
};

const std::error_category& TransportCategory();

std::error_code make_error_code(TransportError aError);

} // namespace kumquat::transport

template<>
struct std::is_error_code_enum<kumquat::transport::TransportError>
  : std::true_type
{};
