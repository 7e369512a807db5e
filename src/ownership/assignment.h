// The stored assignment of a service's keys: who owns which range, by which
// fencing token. What stands here was decided; what an upstream has been told
// of it is the assigner's to know.

#pragma once

#include "framework/result.h"
#include "ownership/keymap.h"
#include "state/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::ownership {

using FencingToken = std::int64_t;

// One life of an upstream: a new life holds nothing of what the one before had.
struct Holder
{
  state::UpstreamId upstream;
  std::int64_t startedMs = 0;

  bool IsEmpty() const { return this->upstream.value.empty(); }
  friend bool operator==(const Holder&, const Holder&) = default;
};

struct AssignedRange
{
  Key first = 0;
  Key last = 0;
  Holder holder;
  // Above every fence that any of these keys had before.
  FencingToken fencingToken = 0;
  // Who had it before and may still hold it; empty once that is over.
  std::vector<Holder> previousHolders;
};

struct Assignment
{
  // The next fence to be given out.
  FencingToken nextFencingToken = 1;
  // By rising keys, without gaps or overlaps.
  std::vector<AssignedRange> ranges;
};

// The row's value.
std::string SerializeAssignment(const Assignment& aAssignment);
// kMalformedRequest where the text is none of ours or leaves a key out.
Result<Assignment> ParseAssignment(std::string_view aText);

// Gives [aFirst, aLast] to aHolder under a fresh fence, cutting what stands
// there. All who may still hold the keys then stand as `previous`: the holder
// until now, and those whom it was itself still waiting for.
void Reassign(Assignment& aAssignment, Key aFirst, Key aLast,
              const Holder& aHolder);

// The holders of a stored assignment, as a map to go by until an assigner is
// heard: its mark is older than any that the assigner of that version gives.
struct StoredMap
{
  MapVersion version;
  std::vector<MapRange> ranges;
};

StoredMap MapFromAssignment(const Assignment& aAssignment,
                            state::Version aVersion);

} // namespace kumquat::ownership
