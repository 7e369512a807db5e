// A host's status as lines for a terminal.

#pragma once

#include <nlohmann/json.hpp>

#include <string>

namespace kumquat::control {

// aStatus as GET /status gives it.
std::string StatusText(const nlohmann::json& aStatus);

} // namespace kumquat::control
