// Fingerprints of API keys, and the lookup of teams.

#include "admission/teamdirectory.h"

#include "framework/randomseed.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <unordered_set>
#include <utility>

namespace kumquat::admission {

using protocol::ErrorKind;

KeyFingerprint FingerprintOf(std::string_view aApiKey)
{
  static const std::uint64_t kSeed = RandomSeed();
  const XXH128_hash_t hash =
    XXH3_128bits_withSeed(aApiKey.data(), aApiKey.size(), kSeed);
  return { hash.high64, hash.low64 };
}

std::string LogText(const KeyFingerprint& aFingerprint)
{
  constexpr unsigned kShownBits = 32;
  return fmt::format("{:08x}", aFingerprint.high >> kShownBits);
}

TeamDirectory::TeamDirectory(std::vector<Team> aTeams)
  : teams(std::move(aTeams))
{
  for (std::size_t i = 0; i < this->teams.size(); ++i) {
    this->byName.emplace(this->teams[i].name, i);
    for (const KeyFingerprint& key : this->teams[i].keys) {
      this->byKey.emplace(key, i);
    }
  }
}

const Team* TeamDirectory::FindByKey(const KeyFingerprint& aKey) const
{
  const auto found = this->byKey.find(aKey);
  return found == this->byKey.end() ? nullptr : &this->teams[found->second];
}

const Team* TeamDirectory::FindByName(const TeamName& aName) const
{
  const auto found = this->byName.find(aName);
  return found == this->byName.end() ? nullptr : &this->teams[found->second];
}

AccessDecision CheckAccess(const TeamDirectory& aTeams, bool aIsPublicRoute,
                           const Credentials& aCredentials)
{
  if (aTeams.IsEmpty()) {
    return {};
  }
  const Team* team = aCredentials.count == 1
                       ? aTeams.FindByKey(aCredentials.fingerprint)
                       : nullptr;
  if (team != nullptr || aIsPublicRoute) {
    return { ErrorKind::kNone, team };
  }
  if (aCredentials.count == 0) {
    return { ErrorKind::kApiKeyMissing, nullptr };
  }
  return { aCredentials.count == 1 ? ErrorKind::kApiKeyUnknown
                                   : ErrorKind::kApiKeyRepeated,
           nullptr };
}

bool AreDistinct(const std::vector<Team>& aTeams)
{
  std::unordered_set<TeamName> names;
  std::unordered_set<KeyFingerprint> keys;
  return std::ranges::all_of(aTeams, [&](const Team& aTeam) {
    return names.insert(aTeam.name).second &&
           std::ranges::all_of(aTeam.keys, [&](const KeyFingerprint& aKey) {
             return keys.insert(aKey).second;
           });
  });
}

} // namespace kumquat::admission
