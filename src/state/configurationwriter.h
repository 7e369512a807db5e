// Brings an operator's text into force: checks it, stores it, and puts its
// name into the table on condition that the expected version is still there.

#pragma once

#include "protocol/errorkind.h"
#include "state/configuration.h"
#include "state/configurationhead.h"
#include "state/table.h"

#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

namespace kumquat::state {

struct ChangeResult
{
  // kNone, kInvalidConfiguration, kConflict or kStoreUnavailable.
  protocol::ErrorKind error = protocol::ErrorKind::kNone;
  // kUnknown where the write may have taken effect.
  protocol::Outcome outcome = protocol::Outcome::kRan;
  // Accepted, or with kConflict the one that is in force.
  Version version = 0;
  std::vector<TextFault> faults;
};

// The hooks must outlive every change that is under way.
class ConfigurationWriter
{
public:
  using Done = std::function<void(ChangeResult)>;

  struct Hooks
  {
    // By name and content.
    std::function<void(const std::string&, std::string,
                       std::function<void(std::error_code)>)>
      putObject;
    TableHooks table;
    // Unique for each write of any host.
    std::function<std::string()> nonce;
    // The table has taken the text under this version.
    std::function<void(Version, const std::string&)> accepted;
  };

  // As ConfigurationKeeper's rules: off only in tests that show the failure.
  struct Rules
  {
    // Nothing is applied before the table has taken it.
    bool tableDecides = true;
  };

  explicit ConfigurationWriter(Hooks aHooks);
  ConfigurationWriter(Hooks aHooks, Rules aRules);

  // aExpected is the version that the operator has seen; 0 for the first text.
  void Change(std::string aText, Version aExpected, Done aDone) const;

private:
  struct Pending;
  using PendingPtr = std::shared_ptr<const Pending>;

  void WriteHead(const PendingPtr& aChange) const;
  void TakeOutcome(const PendingPtr& aChange, WriteOutcome aOutcome) const;
  void ReportConflict(const PendingPtr& aChange) const;
  void Accept(const PendingPtr& aChange) const;

  const Hooks hooks;
  const Rules rules;
};

} // namespace kumquat::state
