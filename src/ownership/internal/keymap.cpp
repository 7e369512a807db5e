// Lookup in a key map, and the changes between two maps.

#include "ownership/keymap.h"

#include <algorithm>
#include <utility>

namespace kumquat::ownership {

namespace {

// A move takes about as long as a request. If no new map has arrived by then,
// the key was refused because a lease had expired, which has been renewed
// since.
constexpr std::chrono::milliseconds kRefusalDuration{ 150 };

} // namespace

std::vector<MapRange> ChangedRanges(const std::vector<MapRange>& aOld,
                                    const std::vector<MapRange>& aNew)
{
  std::vector<MapRange> changed;
  auto old = aOld.begin();
  for (const MapRange& range : aNew) {
    // Split the range where the old map has a boundary, so that only the parts
    // that differ are returned.
    std::uint32_t first = range.first;
    while (first <= range.last) {
      while (old != aOld.end() && old->last < first) {
        ++old;
      }
      const bool isKnown = old != aOld.end() && old->first <= first;
      const auto last = static_cast<Key>(
        isKnown ? std::min(old->last, range.last) : range.last);
      if (!isKnown || old->upstream != range.upstream) {
        const bool extendsLast = !changed.empty() &&
                                 changed.back().last + 1U == first &&
                                 changed.back().upstream == range.upstream;
        if (extendsLast) {
          changed.back().last = last;
        } else {
          changed.push_back(
            { static_cast<Key>(first), last, range.upstream, {} });
        }
      }
      first = last + 1U;
    }
  }
  return changed;
}

bool KeyMap::ApplyChanges(const MapVersion& aBase, const MapVersion& aVersion,
                          const std::vector<MapRange>& aChanges, TimePoint aNow)
{
  if (aBase != this->version) {
    return false;
  }
  std::vector<MapRange> merged;
  // The parameters are int, as aLast may be -1 and aFirst may be above
  // kLastKey.
  const auto add = [&merged](int aFirst, int aLast,
                             const state::UpstreamId& aUpstream) {
    if (aFirst > aLast) {
      return;
    }
    if (!merged.empty() && merged.back().upstream == aUpstream &&
        merged.back().last + 1 == aFirst) {
      merged.back().last = static_cast<Key>(aLast);
    } else {
      merged.push_back(
        { static_cast<Key>(aFirst), static_cast<Key>(aLast), aUpstream, {} });
    }
  };
  // The parts of the old map between the changes are kept.
  int next = 0;
  auto change = aChanges.begin();
  for (const MapRange& old : this->ranges) {
    next = std::max<int>(old.first, next);
    for (; change != aChanges.end() && change->first <= old.last; ++change) {
      add(next, change->first - 1, old.upstream);
      add(change->first, change->last, change->upstream);
      next = change->last + 1;
    }
    add(next, old.last, old.upstream);
    next = std::max<int>(next, old.last + 1);
  }
  return this->ReplaceIfNewer(aVersion, std::move(merged), aNow);
}

bool KeyMap::ReplaceIfNewer(const MapVersion& aVersion,
                            std::vector<MapRange> aRanges, TimePoint aNow)
{
  if (!aVersion.IsNewerThan(this->version)) {
    return false;
  }
  for (MapRange& range : aRanges) {
    const MapRange* previous = this->Find(range.first);
    const bool isSameUpstream =
      previous != nullptr && previous->upstream == range.upstream;
    range.since = isSameUpstream ? previous->since : aNow;
  }
  this->version = aVersion;
  this->ranges = std::move(aRanges);
  this->refusedUntil.clear();
  return true;
}

const MapRange* KeyMap::Find(Key aKey) const
{
  const auto range =
    std::ranges::lower_bound(this->ranges, aKey, {}, &MapRange::last);
  return range == this->ranges.end() || range->first > aKey ? nullptr : &*range;
}

KeyMap::Owner KeyMap::OwnerOf(Key aKey, TimePoint aNow) const
{
  const auto refusal = this->refusedUntil.find(aKey);
  if (refusal != this->refusedUntil.end() && refusal->second > aNow) {
    return { {}, refusal->second - kRefusalDuration };
  }
  const MapRange* range = this->Find(aKey);
  return range == nullptr ? Owner{} : Owner{ range->upstream, range->since };
}

void KeyMap::OnNotOwner(Key aKey, TimePoint aNow)
{
  this->refusedUntil[aKey] = aNow + kRefusalDuration;
}

} // namespace kumquat::ownership
