// A host's state as JSON, for operators.

#pragma once

#include "coordination/operatorapi.h"

#include <nlohmann/json.hpp>

#include <string>

namespace kumquat::coordination {

nlohmann::ordered_json StatusOf(const OperatorView& aView);

// Where a key's requests go and why. aService must be configured.
nlohmann::ordered_json ExplanationOf(
  const OperatorView& aView, const state::ServiceConfiguration& aService,
  const std::string& aKey);

} // namespace kumquat::coordination
