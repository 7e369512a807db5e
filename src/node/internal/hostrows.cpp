// Keeps parsed rows by their keys and versions.

#include "node/internal/hostrows.h"

#include "node/internal/registration.h"

#include <utility>

namespace kumquat::node {

namespace {

std::optional<HostAddress> ParseRow(const state::StoredRow& aRow)
{
  const auto host = HostFromRow(aRow);
  if (!host) {
    return std::nullopt;
  }
  return HostAddress{ { host->host, host->dataCentre, host->processors },
                      host->address,
                      host->relayAddress };
}

} // namespace

std::vector<HostAddress> HostRows::Parse(
  const std::vector<state::StoredRow>& aRows,
  const std::function<void(const std::string&)>& aOnInvalid)
{
  std::map<std::string, ParsedRow> current;
  std::vector<HostAddress> hosts;
  for (const state::StoredRow& row : aRows) {
    auto known = this->parsed.extract(row.key);
    ParsedRow entry;
    if (!known.empty() && known.mapped().version == row.version) {
      entry = std::move(known.mapped());
    } else {
      entry = { row.version, ParseRow(row) };
      if (!entry.host) {
        aOnInvalid(row.key);
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
