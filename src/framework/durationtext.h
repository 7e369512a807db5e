// Converts durations from and to text: a number and its unit, such as "1500ms"
// or "2.5s".

#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace kumquat {

// Parses a number that is not negative, followed by "ms" or "s", and rounds it
// to whole milliseconds. Returns nullopt for any other text, and for a duration
// of 1e12 ms or more.
std::optional<std::chrono::milliseconds> ParseDuration(std::string_view aText);

// Whole milliseconds, such as "1500ms".
std::string FormatDuration(std::chrono::milliseconds aDuration);

} // namespace kumquat
