// The stored assignment of a service's keys: which upstream owns which range
// under which fencing token. It records decisions only. The assigner keeps
// track of the leases that upstreams were granted accordingly.

#pragma once

#include "framework/result.h"
#include "ownership/keymap.h"
#include "ownership/keyparts.h"
#include "ownership/quorum.h"
#include "state/types.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::ownership {

// An upstream rejects a grant whose token is lower than one that it has seen
// for any of the keys.
using FencingToken = std::int64_t;

// An incarnation of an upstream, which can hold leases. A new incarnation holds
// none of the leases of the one before.
struct Holder
{
  state::UpstreamId upstream;
  // The upstream's start in Unix ms, which tells its incarnations apart.
  std::int64_t startedMs = 0;

  bool IsEmpty() const { return this->upstream.value.empty(); }
  friend bool operator==(const Holder&, const Holder&) = default;
};

// A range of keys, both ends included, and its owner.
struct AssignedRange
{
  Key first = 0;
  Key last = 0;
  Holder holder;
  // Higher than every token that any of these keys had before.
  FencingToken fencingToken = 0;
  // Previous holders whose lease may not have expired yet.
  std::vector<Holder> previousHolders;
};

struct Assignment
{
  // The token of the next reassignment.
  FencingToken nextFencingToken = 1;
  // In ascending order of keys, without gaps or overlaps.
  std::vector<AssignedRange> ranges;
  // Those of the assigner that the claim names.
  QuorumHosts quorumHosts;
  // Assigners before it that may still renew leases.
  std::vector<EarlierAssigner> earlierAssigners;
};

// Returns the JSON text that the store keeps as the assignment row's value.
std::string SerializeAssignment(const Assignment& aAssignment);
// Returns kMalformedRequest if the text was not made by SerializeAssignment or
// does not cover all keys of the part.
Result<Assignment> ParseAssignment(std::string_view aText,
                                   const KeyPart& aPart = {});
// Takes the assigner that has made the assignment for an earlier one.
void AddEarlierAssigner(Assignment& aAssignment, const state::HostRef& aHost);
// The ranges of the assignments that lie in the part, and the earlier assigners
// of all of them. The next token is above those of all of them.
Assignment CutToPart(const std::vector<Assignment>& aAssignments,
                     const KeyPart& aPart);
// Gives keys of the part that are in no range to the holder of a range beside
// them, under a new token. There must be a range.
void CloseGaps(Assignment& aAssignment, const KeyPart& aPart);

// Reassigns the keys from aFirst to aLast to aHolder under a new fencing token
// and splits existing ranges at the ends. All who may still hold a lease on the
// keys become previous holders: the holder until now, and the previous holders
// that it was still waiting for.
void Reassign(Assignment& aAssignment, Key aFirst, Key aLast,
              const Holder& aHolder);

// A map of the holders of a stored assignment. A host uses it until it receives
// an assigner's map. Its version is older than that of any map which the
// assigner publishes for the same assignment.
struct StoredMap
{
  MapVersion version;
  std::vector<MapRange> ranges;
};

StoredMap MapFromAssignment(const Assignment& aAssignment,
                            state::Version aVersion);

} // namespace kumquat::ownership
