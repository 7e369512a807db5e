// Names of the signals.

#include "routing/upstreamsignals.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kumquat::routing {

namespace {

constexpr std::array<std::pair<SignalKind, std::string_view>, 3> kNames{ {
  { SignalKind::kLimit, "limit" },
  { SignalKind::kRest, "rest" },
  { SignalKind::kLeaving, "leaving" },
} };

} // namespace

std::string_view SignalKindName(SignalKind aKind)
{
  return std::ranges::find(kNames, aKind, &decltype(kNames)::value_type::first)
    ->second;
}

} // namespace kumquat::routing
