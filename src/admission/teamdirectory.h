// Finds the team that an API key belongs to, and decides whether a request's
// credentials allow it to run.

#pragma once

#include "admission/team.h"
#include "protocol/errorkind.h"

#include <cstddef>
#include <unordered_map>
#include <vector>

namespace kumquat::admission {

// The teams of one configuration. Immutable; a lookup costs one hash.
class TeamDirectory
{
public:
  TeamDirectory() = default;
  explicit TeamDirectory(std::vector<Team> aTeams);

  // Whether the configuration has no teams. Requests then need no key.
  bool IsEmpty() const { return this->teams.empty(); }
  const std::vector<Team>& All() const { return this->teams; }

  // Both return null if there is no such team.
  const Team* FindByKey(const KeyFingerprint& aKey) const;
  const Team* FindByName(const TeamName& aName) const;

private:
  std::vector<Team> teams;
  // Indexes into the teams.
  std::unordered_map<KeyFingerprint, std::size_t> byKey;
  std::unordered_map<TeamName, std::size_t> byName;
};

struct AccessDecision
{
  // kNone if the request may run.
  protocol::ErrorKind error = protocol::ErrorKind::kNone;
  // The caller's team; null if the request belongs to none.
  const Team* team = nullptr;
};

// A public route needs no key; a request that carries a valid one there still
// belongs to the key's team.
AccessDecision CheckAccess(const TeamDirectory& aTeams, bool aIsPublicRoute,
                           const Credentials& aCredentials);

// Whether no two teams share a name or a key.
bool AreDistinct(const std::vector<Team>& aTeams);

} // namespace kumquat::admission
