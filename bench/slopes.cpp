// Prints what each part costs as its size grows; docs/CAPACITY.md reckons with
// these figures.

#include "slope.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <string>

ABSL_FLAG(std::string, part, "all",
          "what to measure: map, codec, steward, leases, duplicates, "
          "configuration, upstreams, daemons, or all");
ABSL_FLAG(std::string, format, "table", "table or json");

namespace kumquat::bench {

namespace {

constexpr std::array kParts = {
  SlopePart{ "map", MeasureMap },
  SlopePart{ "codec", MeasureCodec },
  SlopePart{ "steward", MeasureSteward },
  SlopePart{ "leases", MeasureLeases },
  SlopePart{ "duplicates", MeasureDuplicates },
  SlopePart{ "configuration", MeasureConfiguration },
  SlopePart{ "upstreams", MeasureUpstreams },
  SlopePart{ "daemons", MeasureDaemons },
};

int Run(const std::string& aPart, const std::string& aFormat)
{
  std::vector<Slope> slopes;
  for (const SlopePart& part : kParts) {
    if (aPart == "all" || aPart == part.name) {
      std::ranges::move(part.measure(), std::back_inserter(slopes));
    }
  }
  if (slopes.empty()) {
    fmt::print(stderr, "slopes: no part {}\n", aPart);
    return 2;
  }
  if (aFormat == "json") {
    fmt::print("{}\n", ToJson(slopes).dump(2));
  } else {
    PrintSlopes(slopes);
  }
  return 0;
}

} // namespace

} // namespace kumquat::bench

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  return kumquat::bench::Run(absl::GetFlag(FLAGS_part),
                             absl::GetFlag(FLAGS_format));
}
