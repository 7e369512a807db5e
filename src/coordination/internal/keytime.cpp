// Reads a UUIDv7's time.

#include "coordination/internal/keytime.h"

#include <boost/uuid/string_generator.hpp>
#include <boost/uuid/uuid.hpp>

#include <cstddef>
#include <cstdint>
#include <numeric>
#include <stdexcept>
#include <string>

namespace kumquat::coordination::internal {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::size_t kTimeBytes = 6;
constexpr unsigned kVersion = 7;

std::optional<boost::uuids::uuid> ParseUuid(std::string_view aText)
{
  if (aText.size() != kTextLength) {
    return std::nullopt;
  }
  try {
    return boost::uuids::string_generator{}(std::string(aText));
  } catch (const std::runtime_error&) {
    return std::nullopt;
  }
}

} // namespace

std::optional<std::chrono::milliseconds> TimeOfKey(std::string_view aKey)
{
  const auto uuid = ParseUuid(aKey);
  if (!uuid || uuid->variant() != boost::uuids::uuid::variant_rfc_4122 ||
      uuid->data[6] >> 4U != kVersion) {
    return std::nullopt;
  }
  const auto append = [](std::int64_t aSum, std::uint8_t aByte) {
    return aSum * 256 + aByte;
  };
  const std::int64_t millis = std::accumulate(
    uuid->begin(), uuid->begin() + kTimeBytes, std::int64_t{ 0 }, append);
  return std::chrono::milliseconds(millis);
}

} // namespace kumquat::coordination::internal
