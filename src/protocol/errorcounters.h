// One counter for each error kind: refusals answered to callers, or reasons
// why a request was tried again.

#pragma once

#include "framework/metrics.h"
#include "protocol/errorkind.h"

#include <string>
#include <string_view>
#include <vector>

namespace kumquat::protocol {

// All kinds are there from the start, at 0, so that a first refusal shows as a
// rise. Safe from any thread.
class ErrorCounters
{
public:
  // aLabel names the kind's label, as "kind" or "reason".
  ErrorCounters(Metrics& aMetrics, const std::string& aName,
                std::string_view aHelp, const std::string& aLabel);

  void Add(ErrorKind aKind);
  std::uint64_t Value(ErrorKind aKind) const;

private:
  // In the order of ErrorKind.
  std::vector<Counter*> counters;
};

} // namespace kumquat::protocol
