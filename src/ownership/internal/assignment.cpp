// Text and cutting of assignments.

#include "ownership/assignment.h"

#include "protocol/errorkind.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>

namespace kumquat::ownership {

namespace {

using nlohmann::json;

json HolderText(const Holder& aHolder)
{
  return json::array({ aHolder.upstream.value, aHolder.born });
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
        joined.back().fence == range.fence &&
        joined.back().previous == range.previous) {
      joined.back().last = range.last;
    } else {
      joined.push_back(range);
    }
  }
  return joined;
}

} // namespace

std::string PrintAssignment(const Assignment& aAssignment)
{
  json ranges = json::array();
  for (const AssignedRange& range : aAssignment.ranges) {
    json one = { { "first", range.first },
                 { "last", range.last },
                 { "holder", HolderText(range.holder) },
                 { "fence", range.fence } };
    for (const Holder& previous : range.previous) {
      one["previous"].push_back(HolderText(previous));
    }
    ranges.push_back(std::move(one));
  }
  return json{
    { "nextFence", aAssignment.nextFence }, { "ranges", ranges }
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
    assignment.nextFence = text.at("nextFence").get<Fence>();
    for (const json& one : text.at("ranges")) {
      AssignedRange range;
      range.first = one.at("first").get<Key>();
      range.last = one.at("last").get<Key>();
      range.holder = ParseHolder(one.at("holder"));
      range.fence = one.at("fence").get<Fence>();
      if (one.contains("previous")) {
        std::ranges::transform(one.at("previous"),
                               std::back_inserter(range.previous), ParseHolder);
      }
      assignment.ranges.push_back(std::move(range));
    }
  } catch (const json::exception&) {
    return malformed;
  }
  if (!CoversAllKeys(assignment.ranges)) {
    return malformed;
  }
  return assignment;
}

void Give(Assignment& aAssignment, Key aFirst, Key aLast, const Holder& aHolder)
{
  std::vector<AssignedRange> result;
  const Fence fence = aAssignment.nextFence++;
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
    if (!range.holder.IsNobody()) {
      given.previous.push_back(range.holder);
    }
    given.holder = aHolder;
    given.fence = fence;
    std::erase(given.previous, aHolder);
    result.push_back(given);
    if (range.last > aLast) {
      AssignedRange after = range;
      after.first = static_cast<Key>(aLast + 1);
      result.push_back(after);
    }
  }
  aAssignment.ranges = Joined(result);
}

} // namespace kumquat::ownership
