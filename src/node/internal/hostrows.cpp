// Keeps parsed rows by their keys and versions.

#include "node/internal/hostrows.h"

#include "node/internal/registration.h"

#include <utility>

namespace kumquat::node {

namespace {

HostAddress AddressOf(const HostRow& aHost)
{
  return { { aHost.host, aHost.dataCentre, aHost.processors },
           aHost.address,
           aHost.relayAddress };
}

} // namespace

std::vector<HostAddress> HostRows::Parse(
  const std::vector<state::StoredRow>& aRows,
  const std::function<void(const state::StoredRow&, const std::error_code&)>&
    aOnInvalid)
{
  std::map<std::string, ParsedRow> current;
  std::vector<HostAddress> hosts;
  for (const state::StoredRow& row : aRows) {
    auto known = this->parsed.extract(row.key);
    ParsedRow entry;
    if (!known.empty() && known.mapped().version == row.version) {
      entry = std::move(known.mapped());
    } else {
      entry.version = row.version;
      if (const auto host = HostFromRow(row)) {
        entry.host = AddressOf(*host);
      } else {
        aOnInvalid(row, host.error());
      }
    }
    if (entry.host) {
      hosts.push_back(*entry.host);
    }
    current.emplace(row.key, std::move(entry));
  }
  this->parsed = std::move(current);
  return hosts;
}

} // namespace kumquat::node
