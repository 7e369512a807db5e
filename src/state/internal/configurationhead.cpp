// The head's row, and names of texts by their content.

#include "state/configurationhead.h"

#include "protocol/errorkind.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>
#include <xxhash.h>

namespace kumquat::state {

std::string ConfigurationObjectName(std::string_view aText)
{
  const XXH128_hash_t hash = XXH3_128bits(aText.data(), aText.size());
  return fmt::format("config-{:016x}{:016x}", hash.high64, hash.low64);
}

ConditionalWrite ToWrite(const ConfigurationHead& aHead)
{
  ConditionalWrite write;
  write.row.partition = kConfigurationPartition;
  write.row.name = kHeadName;
  write.row.version = aHead.version;
  write.row.body = nlohmann::json{ { "object", aHead.object } }.dump();
  write.expected = aHead.version - 1;
  return write;
}

Result<ConfigurationHead> HeadFromRow(const Row& aRow)
{
  const auto body = nlohmann::json::parse(aRow.body, nullptr, false);
  if (!body.is_object() || !body.contains("object") ||
      !body["object"].is_string()) {
    return make_error_code(protocol::ErrorKind::kInternal);
  }
  return ConfigurationHead{ aRow.version, body["object"].get<std::string>() };
}

} // namespace kumquat::state
