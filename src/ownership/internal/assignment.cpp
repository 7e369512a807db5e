// Text and cutting of assignments.

#include "ownership/assignment.h"

#include "protocol/errorkind.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <map>
#include <stdexcept>
#include <utility>

namespace kumquat::ownership {

namespace {

using nlohmann::json;

json HolderText(const Holder& aHolder)
{
  return json::array({ aHolder.upstream.value, aHolder.startedMs });
}

Holder ParseHolder(const json& aText)
{
  return { { aText.at(0).get<std::string>() },
           aText.at(1).get<std::int64_t>() };
}

bool CoversAllKeys(const std::vector<AssignedRange>& aRanges)
{
  std::uint32_t next = 0;
  for (const AssignedRange& range : aRanges) {
    if (range.first != next || range.last < range.first) {
      return false;
    }
    next = std::uint32_t{ range.last } + 1;
  }
  return next == std::uint32_t{ kLastKey } + 1;
}

// Neighbours that one order can name together become one range.
std::vector<AssignedRange> Joined(const std::vector<AssignedRange>& aRanges)
{
  std::vector<AssignedRange> joined;
  for (const AssignedRange& range : aRanges) {
    if (!joined.empty() && joined.back().holder == range.holder &&
        joined.back().fencingToken == range.fencingToken &&
        joined.back().previousHolders == range.previousHolders) {
      joined.back().last = range.last;
    } else {
      joined.push_back(range);
    }
  }
  return joined;
}

} // namespace

// The row takes 64 KB, and some hundred upstreams may have a thousand ranges: a
// range is an array, begins where the one before ends, and names its holders by
// their place in a list. That is some 20 bytes a range; with every name spelled
// out it was 120, and the store refused the row at 500 ranges.
std::string SerializeAssignment(const Assignment& aAssignment)
{
  json holders = json::array();
  std::map<std::pair<state::UpstreamId, std::int64_t>, std::size_t> places;
  const auto placeOf = [&](const Holder& aHolder) {
    const auto [found, isNew] = places.try_emplace(
      { aHolder.upstream, aHolder.startedMs }, holders.size());
    if (isNew) {
      holders.push_back(HolderText(aHolder));
    }
    return found->second;
  };
  json ranges = json::array();
  for (const AssignedRange& range : aAssignment.ranges) {
    json one = { range.last, placeOf(range.holder), range.fencingToken };
    std::ranges::transform(range.previousHolders, std::back_inserter(one),
                           placeOf);
    ranges.push_back(std::move(one));
  }
  return json{
    { "nextFence", aAssignment.nextFencingToken },
    { "holders", std::move(holders) },
    { "ranges", std::move(ranges) }
  }.dump();
}

Result<Assignment> ParseAssignment(std::string_view aText)
{
  const auto malformed =
    make_error_code(protocol::ErrorKind::kMalformedRequest);
  const json text = json::parse(aText, nullptr, false);
  if (text.is_discarded()) {
    return malformed;
  }
  Assignment assignment;
  try {
    assignment.nextFencingToken = text.at("nextFence").get<FencingToken>();
    std::vector<Holder> holders;
    std::ranges::transform(text.at("holders"), std::back_inserter(holders),
                           ParseHolder);
    std::uint32_t first = 0;
    for (const json& one : text.at("ranges")) {
      constexpr std::size_t kHolder = 1;
      constexpr std::size_t kFence = 2;
      constexpr std::size_t kPrevious = 3;
      AssignedRange range;
      range.first = static_cast<Key>(first);
      range.last = one.at(0).get<Key>();
      range.holder = holders.at(one.at(kHolder).get<std::size_t>());
      range.fencingToken = one.at(kFence).get<FencingToken>();
      for (std::size_t i = kPrevious; i < one.size(); ++i) {
        range.previousHolders.push_back(holders.at(one[i].get<std::size_t>()));
      }
      first = std::uint32_t{ range.last } + 1;
      assignment.ranges.push_back(std::move(range));
    }
  } catch (const json::exception&) {
    return malformed;
  } catch (const std::out_of_range&) {
    return malformed;
  }
  if (!CoversAllKeys(assignment.ranges)) {
    return malformed;
  }
  return assignment;
}

void Reassign(Assignment& aAssignment, Key aFirst, Key aLast,
              const Holder& aHolder)
{
  std::vector<AssignedRange> result;
  const FencingToken fence = aAssignment.nextFencingToken++;
  for (const AssignedRange& range : aAssignment.ranges) {
    if (range.last < aFirst || range.first > aLast) {
      result.push_back(range);
      continue;
    }
    if (range.first < aFirst) {
      AssignedRange before = range;
      before.last = static_cast<Key>(aFirst - 1);
      result.push_back(before);
    }
    AssignedRange given = range;
    given.first = std::max(range.first, aFirst);
    given.last = std::min(range.last, aLast);
    if (!range.holder.IsEmpty()) {
      given.previousHolders.push_back(range.holder);
    }
    given.holder = aHolder;
    given.fencingToken = fence;
    std::erase(given.previousHolders, aHolder);
    result.push_back(given);
    if (range.last > aLast) {
      AssignedRange after = range;
      after.first = static_cast<Key>(aLast + 1);
      result.push_back(after);
    }
  }
  aAssignment.ranges = Joined(result);
}

StoredMap MapFromAssignment(const Assignment& aAssignment,
                            state::Version aVersion)
{
  constexpr std::int64_t kBeforeAnyStep = -1;
  StoredMap map;
  map.version = { aVersion, kBeforeAnyStep, {} };
  std::ranges::transform(
    aAssignment.ranges, std::back_inserter(map.ranges),
    [](const AssignedRange& aRange) {
      return MapRange{ aRange.first, aRange.last, aRange.holder.upstream, {} };
    });
  return map;
}

} // namespace kumquat::ownership
