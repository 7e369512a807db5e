// Tells a host which upstream to send a key's requests to: the assigner's map
// as it was last received, and keys that their mapped owner has refused since.

#pragma once

#include "framework/clock.h"
#include "state/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace kumquat::ownership {

using state::Key;

// Keys range from 0 to this one.
constexpr Key kLastKey = 65535;

// Tells which of two maps of a service is newer.
struct MapVersion
{
  // Version of the stored assignment; rises with each write.
  state::Version assignmentVersion = 0;
  // Number of maps that the assigner has published at that version, as grants
  // succeed and leases expire.
  std::int64_t revision = 0;
  state::HostRef assigner;

  // The assigner need not be compared. A successor restarts its revisions, but
  // its claim has raised the assignment version, which makes its maps newer.
  bool IsNewerThan(const MapVersion& aOther) const
  {
    return this->assignmentVersion != aOther.assignmentVersion
             ? this->assignmentVersion > aOther.assignmentVersion
             : this->revision > aOther.revision;
  }

  friend bool operator==(const MapVersion&, const MapVersion&) = default;
};

// A range of keys, both ends included, with its owner.
struct MapRange
{
  Key first = 0;
  Key last = 0;
  // Empty while requests for these keys must not be sent to any upstream.
  state::UpstreamId upstream;
  // Since when this host has known this owner.
  TimePoint since = {};
};

// Returns the ranges of aNew whose owner differs from that in aOld.
std::vector<MapRange> ChangedRanges(const std::vector<MapRange>& aOld,
                                    const std::vector<MapRange>& aNew);

// The key map of a service that a host uses.
class KeyMap
{
public:
  // Takes a full map. Returns false, and changes nothing, if it is not newer
  // than the current one.
  bool ReplaceIfNewer(const MapVersion& aVersion, std::vector<MapRange> aRanges,
                      TimePoint aNow);

  // Takes the ranges in which map aVersion differs from map aBase. Returns
  // false, and changes nothing, if aBase is not the current map or the new map
  // is not newer.
  bool ApplyChanges(const MapVersion& aBase, const MapVersion& aVersion,
                    const std::vector<MapRange>& aChanges, TimePoint aNow);

  const MapVersion& CurrentVersion() const { return this->version; }
  // In ascending order of keys.
  const std::vector<MapRange>& Ranges() const { return this->ranges; }

  struct Owner
  {
    // Empty while requests for the key must not be sent to any upstream.
    state::UpstreamId upstream;
    // Since when this owner has been known to this host.
    TimePoint since;
  };

  Owner OwnerOf(Key aKey, TimePoint aNow) const;
  // Must be called when the mapped owner refuses the key as not its own. The
  // map is then out of date, and a retry before the next map would only add
  // load, so the key has no owner for a short time.
  void OnNotOwner(Key aKey, TimePoint aNow);

private:
  const MapRange* Find(Key aKey) const;

  MapVersion version;
  std::vector<MapRange> ranges;
  // Keys that their mapped owner refused, and until when they have no owner.
  std::map<Key, TimePoint> refusedUntil;
};

} // namespace kumquat::ownership
