// Durations as text: a number and its unit, "1500ms" or "2.5s".

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat {

// Nothing where the text is no duration.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view aText);

std::string FormatDuration(std::chrono::milliseconds aDuration);

} // namespace kumquat
