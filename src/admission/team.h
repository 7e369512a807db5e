// Teams: groups of callers that share API keys, a priority and a limit on their
// requests.

#pragma once

#include "framework/id.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::admission {

using TeamName = Id<struct TeamTag>;

// A keyed hash of an API key. Keys are secrets: only their fingerprints leave
// the code that reads messages, and the seed, which each process draws anew,
// prevents fingerprints in logs from being compared with known keys.
struct KeyFingerprint
{
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  friend bool operator==(const KeyFingerprint&,
                         const KeyFingerprint&) = default;
};

KeyFingerprint FingerprintOf(std::string_view aApiKey);

// A short form for the log.
std::string LogText(const KeyFingerprint& aFingerprint);

// The API keys that came with a request.
struct Credentials
{
  std::size_t count = 0;
  // Of the first one.
  KeyFingerprint fingerprint;
};

// Limit on the requests of a team, over all hosts together.
struct Quota
{
  // Requests per second; 0 means that there is no limit.
  double perSecond = 0;
  // Requests beyond the rate that may come at once.
  double burst = 0;

  bool IsLimited() const { return this->perSecond > 0; }
  friend bool operator==(const Quota&, const Quota&) = default;
};

struct Team
{
  TeamName name;
  std::vector<KeyFingerprint> keys;
  // Takes precedence over the priority of a route; 0 is the highest.
  std::optional<int> priority;
  Quota quota;
};

} // namespace kumquat::admission

template<>
struct std::hash<kumquat::admission::KeyFingerprint>
{
  std::size_t operator()(
    const kumquat::admission::KeyFingerprint& aFingerprint) const noexcept
  {
    return aFingerprint.low;
  }
};
