// The table's one row that says which text is in force, and the name that the
// text has in the object store.

#pragma once

#include "framework/result.h"
#include "state/table.h"
#include "state/types.h"

#include <string>
#include <string_view>

namespace kumquat::state {

inline constexpr std::string_view kConfigurationPartition = "config";
inline constexpr std::string_view kHeadName = "head";

struct ConfigurationHead
{
  // The row's version is the configuration's; 0 where none was accepted yet.
  Version version = 0;
  // Of the object store.
  std::string object;
};

// Made from the text's content: the same text always has the same name.
std::string ConfigurationObjectName(std::string_view aText);

// The row that brings aHead.version into force; it expects the version before.
// The writer sets the nonce.
ConditionalWrite ToWrite(const ConfigurationHead& aHead);

// kInternal where the body is none.
Result<ConfigurationHead> HeadFromRow(const Row& aRow);

} // namespace kumquat::state
