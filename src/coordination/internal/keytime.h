// The time inside an idempotency key that is a UUIDv7 (RFC 9562).

#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace kumquat::coordination::internal {

// Since the Unix epoch, by the caller's clock; none for any other kind of key.
std::optional<std::chrono::milliseconds> TimeOfKey(std::string_view aKey);

} // namespace kumquat::coordination::internal
