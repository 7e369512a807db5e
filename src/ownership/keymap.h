// Which upstream a host sends a key's requests to: the assigner's map as it
// was last heard, and what upstreams have said against it since.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquat::ownership {

using state::Key;

constexpr Key kLastKey = 65535;

// Tells the newer of two maps of one service.
struct MapVersion
{
  // The stored assignment's; rises with each write.
  state::Version assignmentVersion = 0;
  // Grants and lapses that the assigner has seen since.
  std::int64_t revision = 0;
  state::HostRef assigner;

  // An assigner that takes over starts its steps anew, at the same version; the
  // one in force is then told by its incarnation's later claim, which raised
  // the version.
  bool IsNewerThan(const MapVersion& aOther) const
  {
    return this->assignmentVersion != aOther.assignmentVersion
             ? this->assignmentVersion > aOther.assignmentVersion
             : this->revision > aOther.revision;
  }

  friend bool operator==(const MapVersion&, const MapVersion&) = default;
};

struct MapRange
{
  Key first = 0;
  Key last = 0;
  // Empty while nobody may be sent these keys.
  state::UpstreamId upstream;
  // When this host heard of that.
  TimePoint since = {};
};

// The ranges of aNew whose owner is another one than in aOld.
std::vector<MapRange> ChangedRanges(const std::vector<MapRange>& aOld,
                                    const std::vector<MapRange>& aNew);

class KeyMap
{
public:
  // False where it is not newer than what is known.
  bool ReplaceIfNewer(const MapVersion& aMark, std::vector<MapRange> aRanges,
                      TimePoint aNow);

  // aChanges are the ranges in which the new map differs from that of aBase.
  // False where that is not the one known here.
  bool ApplyChanges(const MapVersion& aBase, const MapVersion& aMark,
                    const std::vector<MapRange>& aChanges, TimePoint aNow);

  const MapVersion& CurrentVersion() const { return this->mark; }
  // By rising keys.
  const std::vector<MapRange>& Ranges() const { return this->ranges; }

  struct Owner
  {
    // Empty while nobody may be sent the key.
    state::UpstreamId upstream;
    // Since when that is so.
    TimePoint since;
  };

  Owner OwnerOf(Key aKey, TimePoint aNow) const;
  // The upstream says that it does not own the key: the map is behind, and
  // asking again before the next one would only add load.
  void OnNotOwner(Key aKey, TimePoint aNow);

private:
  const MapRange* Find(Key aKey) const;

  MapVersion mark;
  std::vector<MapRange> ranges;
  // Keys that their mapped owner refused, and until when they are not tried.
  std::map<Key, TimePoint> refused;
};

} // namespace kumquat::ownership
