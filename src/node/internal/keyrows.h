// The rows that the store keeps for keyed services. Each part of a service's
// keys has a partition of its own with two rows, so that both can be written in
// one transaction and parts do not wait for each other's writes. The layout,
// that is how the keys are divided into parts, has a row in the partition of
// the undivided service.

#pragma once

#include "ownership/assigner.h"
#include "state/rowstore.h"

#include <functional>
#include <string>

namespace kumquat::node {

struct KeyRows
{
  ownership::AssignmentRows assignment;
  // Version and layout of the layout's row; generation 0 if there is none.
  state::Version layoutVersion = 0;
  ownership::KeyLayout layout;
};

// Calls to the store for the rows of a partition. Callbacks run on the serving
// thread.
struct KeyRowStore
{
  std::function<void(const std::string& aTable, const std::string& aPartition,
                     state::RowStore::ReadDone)>
    read;
  std::function<void(const state::RowsWrite&, state::RowStore::WriteDone)>
    write;
};

using KeyRowsDone = std::function<void(Result<KeyRows>)>;

void ReadKeyRows(const KeyRowStore& aStore, const std::string& aPartition,
                 KeyRowsDone aDone);

void WriteAssignmentRows(const KeyRowStore& aStore,
                         const std::string& aPartition,
                         const ownership::AssignmentWrite& aWrite,
                         state::RowStore::WriteDone aDone);

// Ends the part: its assigner finds that its claim is gone, and nobody can
// claim it any more, so its assignment changes no more. aRead: its rows as they
// were read; the write fails if they have changed since.
void WriteClosedClaim(const KeyRowStore& aStore, const std::string& aPartition,
                      const ownership::AssignmentRows& aRead,
                      state::RowStore::WriteDone aDone);

// Replaces the layout of the service. aVersion: version of the layout's row
// that was read, 0 if there was none.
void WriteLayoutRow(const KeyRowStore& aStore,
                    const state::ServiceName& aService, state::Version aVersion,
                    const ownership::KeyLayout& aLayout,
                    state::RowStore::WriteDone aDone);

} // namespace kumquat::node
