// Parses and formats durations.

#include "framework/durationtext.h"

#include <charconv>
#include <cmath>

namespace kumquat {

std::optional<std::chrono::milliseconds> ParseDuration(std::string_view aText)
{
  double number = 0;
  const char* end = aText.data() + aText.size();
  const auto [numberEnd, error] = std::from_chars(aText.data(), end, number);
  if (error != std::errc() || !std::isfinite(number) || number < 0) {
    return std::nullopt;
  }
  constexpr double kMaxMs = 1e12;
  const std::string_view unit(numberEnd,
                              static_cast<std::size_t>(end - numberEnd));
  const double ms = unit == "ms"  ? number
                    : unit == "s" ? number * 1000.0
                                  : kMaxMs;
  if (ms >= kMaxMs) {
    return std::nullopt;
  }
  return std::chrono::milliseconds(std::llround(ms));
}

std::string FormatDuration(std::chrono::milliseconds aDuration)
{
  return std::to_string(aDuration.count()) + "ms";
}

} // namespace kumquat
