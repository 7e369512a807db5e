// Lookup in a map of keys.

#include "ownership/keymap.h"

#include <algorithm>
#include <utility>

namespace kumquat::ownership {

namespace {

// A move is over within about one request's time; if no new map came by then,
// the refusal was of a hold that had lapsed and was renewed.
constexpr std::chrono::milliseconds kRefusalHolds{ 150 };

} // namespace

std::vector<MapRange> ChangedRanges(const std::vector<MapRange>& aOld,
                                    const std::vector<MapRange>& aNew)
{
  std::vector<MapRange> changed;
  auto old = aOld.begin();
  for (const MapRange& range : aNew) {
    // Cut where the old map has a border, so that only what differs is told.
    std::uint32_t first = range.first;
    while (first <= range.last) {
      while (old != aOld.end() && old->last < first) {
        ++old;
      }
      const bool isKnown = old != aOld.end() && old->first <= first;
      const auto last = static_cast<Key>(
        isKnown ? std::min(old->last, range.last) : range.last);
      if (!isKnown || old->upstream != range.upstream) {
        const bool goesOn = !changed.empty() &&
                            changed.back().last + 1U == first &&
                            changed.back().upstream == range.upstream;
        if (goesOn) {
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

bool KeyMap::ApplyChanges(const MapVersion& aBase, const MapVersion& aMark,
                          const std::vector<MapRange>& aChanges, TimePoint aNow)
{
  if (aBase != this->mark) {
    return false;
  }
  std::vector<MapRange> merged;
  // Wider than a key, as an end may lie before the first and a begin behind the
  // last.
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
  // What is kept of the old map lies between the changes.
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
  return this->ReplaceIfNewer(aMark, std::move(merged), aNow);
}

bool KeyMap::ReplaceIfNewer(const MapVersion& aMark,
                            std::vector<MapRange> aRanges, TimePoint aNow)
{
  if (!aMark.IsNewerThan(this->mark)) {
    return false;
  }
  for (MapRange& range : aRanges) {
    const MapRange* before = this->Find(range.first);
    const bool same = before != nullptr && before->upstream == range.upstream;
    range.since = same ? before->since : aNow;
  }
  this->mark = aMark;
  this->ranges = std::move(aRanges);
  this->refused.clear();
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
  const auto refusal = this->refused.find(aKey);
  if (refusal != this->refused.end() && refusal->second > aNow) {
    return { {}, refusal->second - kRefusalHolds };
  }
  const MapRange* range = this->Find(aKey);
  return range == nullptr ? Owner{} : Owner{ range->upstream, range->since };
}

void KeyMap::OnNotOwner(Key aKey, TimePoint aNow)
{
  this->refused[aKey] = aNow + kRefusalHolds;
}

} // namespace kumquat::ownership
