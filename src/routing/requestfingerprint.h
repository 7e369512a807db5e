// Recognizes a caller's request over its repeats. Each repeat has an id of its
// own and may reach another host, but method, host name, target, key, team and
// body stay the same.
//
// The content may be secret, so only a keyed hash of it leaves the process or
// goes into a log.

#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace kumquat::routing {

struct CallerRequest;

// A hash of a request's content. It stays within the process.
struct ContentHash
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const ContentHash&, const ContentHash&) = default;
};

// The hash under a key. Hosts that use the same key get the same fingerprint.
struct RequestFingerprint
{
  std::uint64_t key = 0;
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const RequestFingerprint&,
                         const RequestFingerprint&) = default;
};

ContentHash HashContent(const CallerRequest& aRequest);
RequestFingerprint FingerprintOf(const ContentHash& aContent,
                                 std::uint64_t aKey);
// A short form for the log. It does not contain the key.
std::string LogText(const RequestFingerprint& aFingerprint);

} // namespace kumquat::routing

template<>
struct std::hash<kumquat::routing::RequestFingerprint>
{
  std::size_t operator()(
    const kumquat::routing::RequestFingerprint& aFingerprint) const noexcept
  {
    return aFingerprint.low;
  }
};
