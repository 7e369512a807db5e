// What checking the operators' text costs as it grows.

#include "slope.h"

#include "state/configuration.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>

namespace kumquat::bench {

namespace {

constexpr std::array<std::size_t, 4> kServiceCounts = { 4, 16, 64, 256 };
constexpr std::size_t kTimes = 20;

std::string MakeText(std::size_t aServices)
{
  nlohmann::json services = nlohmann::json::array();
  for (std::size_t i = 0; i < aServices; ++i) {
    nlohmann::json service = { { "name", fmt::format("service-{}", i) },
                               { "keyed", i % 2 == 0 },
                               { "idempotent", true },
                               { "class", "urgent" },
                               { "deadline_ms", 2000 } };
    if (i > 0) {
      service["depends_on"] = { fmt::format("service-{}", i - 1) };
    }
    services.push_back(std::move(service));
  }
  return nlohmann::json{ { "services", std::move(services) } }.dump(2);
}

} // namespace

std::vector<Slope> MeasureConfiguration()
{
  Slope bytes{ "configuration", "the text", "bytes", "service", {} };
  Slope time{ "configuration", "checking the text", "us", "service", {} };
  for (const std::size_t count : kServiceCounts) {
    const auto size = static_cast<double>(count);
    const std::string text = MakeText(count);
    std::size_t faults = 0;
    bytes.points.push_back({ size, static_cast<double>(text.size()) });
    time.points.push_back(
      { size, TimeEach(kTimes,
                       [&](std::size_t) {
                         faults += state::ParseConfiguration(text).index();
                       }) /
                1e3 });
  }
  return { bytes, time };
}

} // namespace kumquat::bench
