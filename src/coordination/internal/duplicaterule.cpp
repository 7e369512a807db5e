// The rules' names.

#include "coordination/duplicaterule.h"

#include <array>

namespace kumquat::coordination {

namespace {

using Rule = DuplicateRule;

constexpr std::array kNames = {
  DuplicateRuleName{ Rule::kRememberOutcome, "remember-outcome" },
  DuplicateRuleName{ Rule::kCheckLease, "check-lease" },
  DuplicateRuleName{ Rule::kNoteWitness, "note-witness" },
  DuplicateRuleName{ Rule::kNoteOwn, "note-own" },
  DuplicateRuleName{ Rule::kNoteBeforeDispatch, "note-before-dispatch" },
  DuplicateRuleName{ Rule::kCollect, "collect" },
  DuplicateRuleName{ Rule::kAwaitSilentHosts, "await-silent-hosts" },
  DuplicateRuleName{ Rule::kFenceOnCollect, "fence-on-collect" },
  DuplicateRuleName{ Rule::kProveKeyIsNew, "prove-key-is-new" },
  DuplicateRuleName{ Rule::kRefuseStaleSender, "refuse-stale-sender" },
};

} // namespace

std::span<const DuplicateRuleName> DuplicateRuleNames()
{
  return kNames;
}

} // namespace kumquat::coordination
