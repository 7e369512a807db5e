// JSON text of assignments, and splitting and merging of their ranges.

#include "ownership/assignment.h"

#include "protocol/errorkind.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <map>
#include <stdexcept>
#include <utility>

namespace kumquat::ownership {

namespace {

using nlohmann::json;

json HolderToJson(const Holder& aHolder)
{
  return json::array({ aHolder.upstream.value, aHolder.startedMs });
}

Holder ParseHolder(const json& aText)
{
  return { { aText.at(0).get<std::string>() },
           aText.at(1).get<std::int64_t>() };
}

json HostToJson(const state::HostRef& aHost)
{
  return json::array({ aHost.host.value, aHost.incarnation });
}

state::HostRef ParseHost(const json& aText)
{
  return { { aText.at(0).get<std::string>() },
           aText.at(1).get<state::Incarnation>() };
}

// A host stands in the row once, and is named by its index.
class HostList
{
public:
  std::size_t IndexOf(const state::HostRef& aHost)
  {
    const auto [found, isNew] =
      this->indexes.try_emplace(aHost, this->hosts.size());
    if (isNew) {
      this->hosts.push_back(HostToJson(aHost));
    }
    return found->second;
  }

  json IndexesOf(const QuorumHosts& aHosts)
  {
    json list = json::array();
    std::ranges::transform(
      aHosts, std::back_inserter(list),
      [this](const state::HostRef& aHost) { return this->IndexOf(aHost); });
    return list;
  }

  const json& Text() const { return this->hosts; }

private:
  json hosts = json::array();
  std::map<state::HostRef, std::size_t> indexes;
};

QuorumHosts ParseIndexes(const json& aList,
                         const std::vector<state::HostRef>& aHosts)
{
  QuorumHosts hosts;
  std::ranges::transform(aList, std::back_inserter(hosts),
                         [&aHosts](const json& aIndex) {
                           return aHosts.at(aIndex.get<std::size_t>());
                         });
  return hosts;
}

// Rows of versions that stored no hosts have none.
void ParseAssigners(const json& aText, Assignment& aAssignment)
{
  if (!aText.contains("hosts")) {
    return;
  }
  std::vector<state::HostRef> hosts;
  std::ranges::transform(aText.at("hosts"), std::back_inserter(hosts),
                         ParseHost);
  aAssignment.quorumHosts = ParseIndexes(aText.at("quorum"), hosts);
  std::ranges::transform(
    aText.at("earlier"), std::back_inserter(aAssignment.earlierAssigners),
    [&hosts](const json& aEntry) {
      return EarlierAssigner{ hosts.at(aEntry.at(0).get<std::size_t>()),
                              ParseIndexes(aEntry.at(1), hosts),
                              aEntry.at(2).get<bool>() };
    });
}

bool CoversAllKeys(const std::vector<AssignedRange>& aRanges,
                   const KeyPart& aPart)
{
  std::uint32_t next = aPart.First();
  for (const AssignedRange& range : aRanges) {
    if (range.first != next || range.last < range.first) {
      return false;
    }
    next = std::uint32_t{ range.last } + 1;
  }
  return next == std::uint32_t{ aPart.Last() } + 1;
}

// Merges adjacent ranges that one lease command can name together. There may be
// gaps between the ranges that a plan is made for.
std::vector<AssignedRange> MergeAdjacent(
  const std::vector<AssignedRange>& aRanges)
{
  std::vector<AssignedRange> merged;
  for (const AssignedRange& range : aRanges) {
    if (!merged.empty() &&
        std::uint32_t{ merged.back().last } + 1 == range.first &&
        merged.back().holder == range.holder &&
        merged.back().fencingToken == range.fencingToken &&
        merged.back().previousHolders == range.previousHolders) {
      merged.back().last = range.last;
    } else {
      merged.push_back(range);
    }
  }
  return merged;
}

} // namespace

// The store accepts rows of up to 64 KB, and some hundred upstreams may have a
// thousand ranges. Therefore a range is a JSON array without field names: it
// begins where the previous range ends, and it names its holders by their index
// in a list. That takes some 20 bytes for a range. With all names written out a
// range took 120 bytes, and the store rejected the row at 500 ranges.
std::string SerializeAssignment(const Assignment& aAssignment)
{
  json holders = json::array();
  std::map<std::pair<state::UpstreamId, std::int64_t>, std::size_t> indexes;
  const auto indexOf = [&](const Holder& aHolder) {
    const auto [found, isNew] = indexes.try_emplace(
      { aHolder.upstream, aHolder.startedMs }, holders.size());
    if (isNew) {
      holders.push_back(HolderToJson(aHolder));
    }
    return found->second;
  };
  json ranges = json::array();
  for (const AssignedRange& range : aAssignment.ranges) {
    json entry = { range.last, indexOf(range.holder), range.fencingToken };
    std::ranges::transform(range.previousHolders, std::back_inserter(entry),
                           indexOf);
    ranges.push_back(std::move(entry));
  }
  HostList hosts;
  json quorum = hosts.IndexesOf(aAssignment.quorumHosts);
  json earlier = json::array();
  for (const EarlierAssigner& assigner : aAssignment.earlierAssigners) {
    earlier.push_back(json::array({ hosts.IndexOf(assigner.host),
                                    hosts.IndexesOf(assigner.quorumHosts),
                                    assigner.isOfEarlierPart }));
  }
  return json{
    { "nextFence", aAssignment.nextFencingToken },
    { "holders", std::move(holders) },
    { "ranges", std::move(ranges) },
    { "hosts", hosts.Text() },
    { "quorum", std::move(quorum) },
    { "earlier", std::move(earlier) }
  }.dump();
}

Result<Assignment> ParseAssignment(std::string_view aText, const KeyPart& aPart)
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
    std::uint32_t first = aPart.First();
    for (const json& entry : text.at("ranges")) {
      constexpr std::size_t kHolderIndex = 1;
      constexpr std::size_t kFencingTokenIndex = 2;
      constexpr std::size_t kPreviousIndex = 3;
      AssignedRange range;
      range.first = static_cast<Key>(first);
      range.last = entry.at(0).get<Key>();
      range.holder = holders.at(entry.at(kHolderIndex).get<std::size_t>());
      range.fencingToken = entry.at(kFencingTokenIndex).get<FencingToken>();
      for (std::size_t i = kPreviousIndex; i < entry.size(); ++i) {
        range.previousHolders.push_back(
          holders.at(entry[i].get<std::size_t>()));
      }
      first = std::uint32_t{ range.last } + 1;
      assignment.ranges.push_back(std::move(range));
    }
    ParseAssigners(text, assignment);
  } catch (const json::exception&) {
    return malformed;
  } catch (const std::out_of_range&) {
    return malformed;
  }
  if (!CoversAllKeys(assignment.ranges, aPart)) {
    return malformed;
  }
  return assignment;
}

void AddEarlierAssigner(Assignment& aAssignment, const state::HostRef& aHost)
{
  EarlierAssigner earlier{ aHost, std::move(aAssignment.quorumHosts), false };
  aAssignment.quorumHosts.clear();
  // An assignment that was made from those of other parts has no assigner of
  // its own yet, and lists theirs.
  const bool isListed = std::ranges::any_of(
    aAssignment.earlierAssigners, [&earlier](const EarlierAssigner& aOther) {
      return aOther.host == earlier.host &&
             (earlier.quorumHosts.empty() || aOther == earlier);
    });
  if (!isListed) {
    aAssignment.earlierAssigners.push_back(std::move(earlier));
  }
}

Assignment CutToPart(const std::vector<Assignment>& aAssignments,
                     const KeyPart& aPart)
{
  Assignment cut;
  for (const Assignment& assignment : aAssignments) {
    cut.nextFencingToken =
      std::max(cut.nextFencingToken, assignment.nextFencingToken);
    for (EarlierAssigner earlier : assignment.earlierAssigners) {
      earlier.isOfEarlierPart = true;
      cut.earlierAssigners.push_back(std::move(earlier));
    }
    for (AssignedRange range : assignment.ranges) {
      range.first = std::max(range.first, aPart.First());
      range.last = std::min(range.last, aPart.Last());
      if (range.first <= range.last) {
        cut.ranges.push_back(std::move(range));
      }
    }
  }
  std::ranges::sort(cut.ranges, {}, &AssignedRange::first);
  return cut;
}

void CloseGaps(Assignment& aAssignment, const KeyPart& aPart)
{
  std::vector<AssignedRange> ranges;
  std::uint32_t next = aPart.First();
  const auto fill = [&](std::uint32_t aEnd, const Holder& aHolder) {
    if (next < aEnd) {
      ranges.push_back({ static_cast<Key>(next),
                         static_cast<Key>(aEnd - 1),
                         aHolder,
                         aAssignment.nextFencingToken++,
                         {} });
    }
  };
  for (const AssignedRange& range : aAssignment.ranges) {
    fill(range.first, range.holder);
    ranges.push_back(range);
    next = std::uint32_t{ range.last } + 1;
  }
  const Holder last = ranges.back().holder;
  fill(std::uint32_t{ aPart.Last() } + 1, last);
  aAssignment.ranges = std::move(ranges);
}

void Reassign(Assignment& aAssignment, Key aFirst, Key aLast,
              const Holder& aHolder)
{
  std::vector<AssignedRange> ranges;
  const FencingToken fencingToken = aAssignment.nextFencingToken++;
  for (const AssignedRange& range : aAssignment.ranges) {
    if (range.last < aFirst || range.first > aLast) {
      ranges.push_back(range);
      continue;
    }
    if (range.first < aFirst) {
      AssignedRange before = range;
      before.last = static_cast<Key>(aFirst - 1);
      ranges.push_back(before);
    }
    AssignedRange reassigned = range;
    reassigned.first = std::max(range.first, aFirst);
    reassigned.last = std::min(range.last, aLast);
    if (!range.holder.IsEmpty()) {
      reassigned.previousHolders.push_back(range.holder);
    }
    reassigned.holder = aHolder;
    reassigned.fencingToken = fencingToken;
    std::erase(reassigned.previousHolders, aHolder);
    ranges.push_back(reassigned);
    if (range.last > aLast) {
      AssignedRange after = range;
      after.first = static_cast<Key>(aLast + 1);
      ranges.push_back(after);
    }
  }
  aAssignment.ranges = MergeAdjacent(ranges);
}

StoredMap MapFromAssignment(const Assignment& aAssignment,
                            state::Version aVersion)
{
  constexpr std::int64_t kBeforeAnyRevision = -1;
  StoredMap map;
  map.version = { aVersion, kBeforeAnyRevision, {} };
  std::ranges::transform(
    aAssignment.ranges, std::back_inserter(map.ranges),
    [](const AssignedRange& aRange) {
      return MapRange{ aRange.first, aRange.last, aRange.holder.upstream, {} };
    });
  return map;
}

} // namespace kumquat::ownership
