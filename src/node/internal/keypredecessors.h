// The assignment with which a new part of a service's keys begins: that of the
// parts of the layout before. Each of them is closed first, so that its
// assignment is final and its assigner changes nothing any more. Hosts that
// claim several new parts may close the same old part at the same time; closing
// it again changes nothing.

#pragma once

#include "node/internal/keyrows.h"

#include <string>

namespace kumquat::node {

// Calls aDone with the rows for the first claim of the part: an assignment and
// the assigner that held its keys before, or no assignment if no keys were ever
// assigned. An error if a part before could not be read or closed; the caller
// tries again.
void TakeOverKeys(const KeyRowStore& aStore, const state::ServiceName& aService,
                  const ownership::KeyPart& aPart,
                  ownership::Assigner::ReadDone aDone);

} // namespace kumquat::node
