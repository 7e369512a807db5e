// Divides the keys of a service into parts. Each part has its own assigner and
// its own rows in the store, so that neither the row of an assignment nor the
// lease commands of one host grow with the number of upstreams.
//
// The division, the layout, is agreed on in the store. A new layout has the
// next generation. Its parts begin with the assignments of the parts before,
// which are closed first: see KeyedServices.

#pragma once

#include "ownership/keymap.h"
#include "state/types.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::ownership {

struct KeyLayout
{
  // Rises with each change. The layout of generation 0, which is not stored,
  // has one part.
  std::int64_t generation = 0;
  int parts = 1;
  // Number of parts of the generation before.
  int previousParts = 1;

  bool IsDivided() const { return this->generation > 0; }
  friend bool operator==(const KeyLayout&, const KeyLayout&) = default;
};

// A range of keys with an assigner of its own. The parts of a layout are
// adjacent and of equal size.
struct KeyPart
{
  KeyLayout layout;
  int index = 0;

  Key First() const;
  Key Last() const;
  bool Contains(Key aKey) const
  {
    return this->First() <= aKey && aKey <= this->Last();
  }
  friend bool operator==(const KeyPart&, const KeyPart&) = default;
};

KeyPart FindPart(const KeyLayout& aLayout, Key aKey);
std::vector<KeyPart> PartsOf(const KeyLayout& aLayout);
// The parts of the generation before that have keys of the part.
std::vector<KeyPart> PreviousPartsOf(const KeyPart& aPart);
// A hash by which upstreams are ordered. In a first assignment they get keys in
// this order, and each part's keys belong to the upstreams of the same fraction
// of the order. So most upstreams keep their keys when the layout changes.
std::uint64_t UpstreamOrder(const state::UpstreamId& aUpstream);
// The part whose keys an upstream may own. Each upstream belongs to one.
int PartOfUpstream(const KeyLayout& aLayout,
                   const state::UpstreamId& aUpstream);

// The name of a part in messages, and of its partition in the store. It is the
// service's own name if the layout is not divided.
std::string PartName(const state::ServiceName& aService, const KeyPart& aPart);

struct NamedPart
{
  state::ServiceName service;
  KeyPart part;
};

// Inverse of PartName.
NamedPart ParsePartName(std::string_view aName);

// The layout that suits the number of upstreams: the current one, or one of the
// next generation if its parts have far too many or too few upstreams.
KeyLayout SuitableLayout(const KeyLayout& aCurrent, std::size_t aUpstreams);

// The text of the stored row.
std::string SerializeLayout(const KeyLayout& aLayout);
// Returns nullopt if the text was not made by SerializeLayout.
std::optional<KeyLayout> ParseLayout(std::string_view aText);

} // namespace kumquat::ownership
