// Names of calls.

#include "state/rowstore.h"

#include <algorithm>
#include <array>
#include <utility>

namespace kumquat::state {

namespace {

constexpr std::array<std::pair<StoreCall, std::string_view>, 3> kStoreCalls{ {
  { StoreCall::kRead, "read" },
  { StoreCall::kWatch, "watch" },
  { StoreCall::kWrite, "write" },
} };

} // namespace

std::string_view StoreCallName(StoreCall aCall)
{
  return std::ranges::find(kStoreCalls, aCall,
                           &decltype(kStoreCalls)::value_type::first)
    ->second;
}

} // namespace kumquat::state
