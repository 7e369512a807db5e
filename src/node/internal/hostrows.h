// The parsed rows of the hosts' table. A row is parsed only when it has
// changed: hosts register one by one, and parsing all rows for each of them
// takes time that grows with the square of their number.

#pragma once

#include "node/internal/peertopology.h"
#include "state/rowstore.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::node {

class HostRows
{
public:
  // Returns the hosts of the rows, which are all there are now. Calls
  // aOnInvalid with each new row that cannot be parsed, and why; such a row
  // names no host.
  std::vector<HostAddress> Parse(
    const std::vector<state::StoredRow>& aRows,
    const std::function<void(const state::StoredRow&, const std::error_code&)>&
      aOnInvalid);

private:
  struct ParsedRow
  {
    state::Version version = 0;
    std::optional<HostAddress> host;
  };

  std::map<std::string, ParsedRow> parsed;
};

} // namespace kumquat::node
