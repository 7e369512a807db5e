// The status codes that the program knows by name.

#pragma once

namespace kumquat::transport::status {

inline constexpr int kOk = 200;
inline constexpr int kBadRequest = 400;
inline constexpr int kNotFound = 404;
inline constexpr int kRequestTimeout = 408;
inline constexpr int kConflict = 409;
inline constexpr int kGone = 410;
inline constexpr int kPreconditionFailed = 412;
inline constexpr int kMisdirected = 421;
inline constexpr int kUnprocessable = 422;
inline constexpr int kTooManyRequests = 429;
inline constexpr int kUnavailable = 503;

// The server's own failures begin here; below, down to 400, are faults of the
// request.
inline constexpr int kFirstServerError = 500;
inline constexpr int kFirstError = kBadRequest;

} // namespace kumquat::transport::status
