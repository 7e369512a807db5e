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

bool KeyMap::Update(const MapMark& aMark, std::vector<MapRange> aRanges)
{
  if (!aMark.IsNewerThan(this->mark)) {
    return false;
  }
  this->mark = aMark;
  this->ranges = std::move(aRanges);
  this->refused.clear();
  return true;
}

std::optional<state::UpstreamId> KeyMap::OwnerOf(Key aKey, TimePoint aNow) const
{
  const auto refusal = this->refused.find(aKey);
  if (refusal != this->refused.end() && refusal->second > aNow) {
    return std::nullopt;
  }
  const auto range =
    std::ranges::lower_bound(this->ranges, aKey, {}, &MapRange::last);
  if (range == this->ranges.end() || range->first > aKey ||
      range->upstream.value.empty()) {
    return std::nullopt;
  }
  return range->upstream;
}

void KeyMap::OnNotOwner(Key aKey, TimePoint aNow)
{
  this->refused[aKey] = aNow + kRefusalHolds;
}

} // namespace kumquat::ownership
