// Closes the parts before one after the other.

#include "node/internal/keypredecessors.h"

#include "protocol/errorkind.h"

#include <memory>
#include <utility>
#include <vector>

namespace kumquat::node {

using ownership::AssignmentRows;
using ownership::KeyPart;
using state::WriteOutcome;

namespace {

class TakeOver : public std::enable_shared_from_this<TakeOver>
{
public:
  TakeOver(KeyRowStore aStore, state::ServiceName aService, KeyPart aPart,
           ownership::Assigner::ReadDone aDone)
    : store(std::move(aStore))
    , service(std::move(aService))
    , part(aPart)
    , done(std::move(aDone))
    , left(PreviousPartsOf(aPart))
  {
  }

  void CloseNext()
  {
    if (this->left.empty()) {
      this->Finish();
      return;
    }
    const KeyPart next = this->left.back();
    this->left.pop_back();
    this->Close(next);
  }

private:
  void Close(const KeyPart& aPrevious)
  {
    const std::string name = PartName(this->service, aPrevious);
    ReadKeyRows(this->store, name,
                [self = this->shared_from_this(), aPrevious,
                 name](Result<KeyRows> aRead) {
                  if (!aRead) {
                    self->done(aRead.error());
                    return;
                  }
                  const AssignmentRows rows = aRead->assignment;
                  if (rows.isClosed) {
                    self->Add(aPrevious, rows);
                    return;
                  }
                  WriteClosedClaim(self->store, name, rows,
                                   [self, aPrevious, rows](
                                     WriteOutcome aOutcome, state::Version) {
                                     if (aOutcome == WriteOutcome::kWritten) {
                                       self->Add(aPrevious, rows);
                                     } else {
                                       self->Fail();
                                     }
                                   });
                });
  }

  void Add(const KeyPart& aPrevious, const AssignmentRows& aRows)
  {
    if (aRows.assignmentVersion > 0) {
      auto assignment =
        ownership::ParseAssignment(aRows.assignmentText, aPrevious);
      if (!assignment) {
        this->Fail();
        return;
      }
      AddEarlierAssigner(*assignment, aRows.assigner);
      this->assignments.push_back(std::move(*assignment));
      this->assigner = aRows.assigner;
    }
    this->CloseNext();
  }

  // If only some of the parts before have assigned their keys, the keys of the
  // others go to the holders next to them.
  void Finish()
  {
    AssignmentRows rows;
    ownership::Assignment cut = CutToPart(this->assignments, this->part);
    if (!cut.ranges.empty()) {
      ownership::CloseGaps(cut, this->part);
      rows.assigner = this->assigner;
      rows.assignmentText = SerializeAssignment(cut);
    }
    this->done(std::move(rows));
  }

  void Fail()
  {
    this->done(make_error_code(protocol::ErrorKind::kStoreUnavailable));
  }

  const KeyRowStore store;
  const state::ServiceName service;
  const KeyPart part;
  const ownership::Assigner::ReadDone done;
  std::vector<KeyPart> left;
  std::vector<ownership::Assignment> assignments;
  state::HostRef assigner;
};

} // namespace

void TakeOverKeys(const KeyRowStore& aStore, const state::ServiceName& aService,
                  const KeyPart& aPart, ownership::Assigner::ReadDone aDone)
{
  std::make_shared<TakeOver>(aStore, aService, aPart, std::move(aDone))
    ->CloseNext();
}

} // namespace kumquat::node
