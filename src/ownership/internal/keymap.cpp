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

bool KeyMap::Update(const MapMark& aMark, std::vector<MapRange> aRanges,
                    TimePoint aNow)
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
