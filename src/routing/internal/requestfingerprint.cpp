// Hashes of requests.

#include "routing/requestfingerprint.h"

#include "routing/dispatcher.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <array>
#include <memory>
#include <string_view>

namespace kumquat::routing {

ContentHash HashContent(const CallerRequest& aRequest)
{
  const std::unique_ptr<XXH3_state_t, decltype(&XXH3_freeState)> state(
    XXH3_createState(), &XXH3_freeState);
  XXH3_128bits_reset(state.get());
  const auto add = [&state](std::string_view aText) {
    const std::uint64_t size = aText.size();
    XXH3_128bits_update(state.get(), &size, sizeof(size));
    XXH3_128bits_update(state.get(), aText.data(), aText.size());
  };
  add(aRequest.hostName);
  add(aRequest.message.method);
  add(aRequest.message.target);
  add(aRequest.key ? std::to_string(*aRequest.key) : std::string());
  add(aRequest.team.value);
  add(aRequest.message.Body());
  const XXH128_hash_t hash = XXH3_128bits_digest(state.get());
  return { hash.high64, hash.low64 };
}

RequestFingerprint FingerprintOf(const ContentHash& aContent,
                                 std::uint64_t aKey)
{
  const std::array<std::uint64_t, 2> content{ aContent.high, aContent.low };
  const XXH128_hash_t hash =
    XXH3_128bits_withSeed(content.data(), sizeof(content), aKey);
  return { aKey, hash.high64, hash.low64 };
}

std::string LogText(const RequestFingerprint& aFingerprint)
{
  return fmt::format("{:016x}", aFingerprint.high);
}

} // namespace kumquat::routing
