// One counter per error kind, for the refusals that callers got or for the
// reasons of retries.

#pragma once

#include "framework/metrics.h"
#include "protocol/errorkind.h"

#include <string>
#include <string_view>
#include <vector>

namespace kumquat::protocol {

// Creates the counters of all kinds at 0, so that the first refusal of a kind
// shows as a rise. Thread-safe.
class ErrorCounters
{
public:
  // aName, aHelp: of the metric. aLabel: the name of the label that holds the
  // error kind, such as "kind" or "reason".
  ErrorCounters(Metrics& aMetrics, const std::string& aName,
                std::string_view aHelp, const std::string& aLabel);

  void Add(ErrorKind aKind);
  std::uint64_t Value(ErrorKind aKind) const;

private:
  // Indexed by ErrorKind.
  std::vector<Counter*> counters;
};

} // namespace kumquat::protocol
