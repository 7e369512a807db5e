// The rules that keep a non-idempotent request from running twice, by name, so
// that a test can leave one out and show the double run that it prevents.

#pragma once

#include <set>
#include <span>
#include <string_view>

namespace kumquat::coordination {

enum class DuplicateRule
{
  // Repeats of a key get the first outcome, until the horizon has passed.
  kRememberOutcome,
  // A host without its lease dispatches nothing.
  kCheckLease,
  // Another host knows of the key before its work is dispatched.
  kNoteWitness,
  // The owner, too, knows as a witness what it dispatched.
  kNoteOwn,
  // The note is answered first, and the work is dispatched then.
  kNoteBeforeDispatch,
  // A successor asks the other hosts before it runs a key that may be old.
  kCollect,
  // A host that does not answer may know of any key.
  kAwaitSilentHosts,
  // Who has answered a collection accepts nothing of the predecessor.
  kFenceOnCollect,
  // Only a key whose time is surely after the takeover counts as new.
  kProveKeyIsNew,
  // A host refuses forwards of owners that its map knows to be replaced.
  kRefuseStaleSender,
};

struct DuplicateRuleName
{
  DuplicateRule rule;
  std::string_view name;
};

std::span<const DuplicateRuleName> DuplicateRuleNames();

// Empty outside tests.
using OmittedRules = std::set<DuplicateRule>;

} // namespace kumquat::coordination
