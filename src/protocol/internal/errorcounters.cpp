// One counter per error kind.

#include "protocol/errorcounters.h"

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace kumquat::protocol {

ErrorCounters::ErrorCounters(Metrics& aMetrics, const std::string& aName,
                             std::string_view aHelp, const std::string& aLabel)
{
  std::ranges::transform(
    ErrorTable(), std::back_inserter(this->counters),
    [&](const ErrorInfo& aInfo) {
      const Labels labels = { { aLabel, std::string(aInfo.name) } };
      return &aMetrics.GetOrCreateCounter(aName, aHelp, labels);
    });
}

void ErrorCounters::Add(ErrorKind aKind)
{
  this->counters.at(static_cast<std::size_t>(aKind))->Add();
}

std::uint64_t ErrorCounters::Value(ErrorKind aKind) const
{
  return this->counters.at(static_cast<std::size_t>(aKind))->Value();
}

} // namespace kumquat::protocol
