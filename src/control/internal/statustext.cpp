// Lays a status out in columns.

#include "control/internal/statustext.h"

#include <spdlog/fmt/fmt.h>

namespace kumquat::control {

namespace {

using nlohmann::json;

std::string VersionText(const json& aVersion)
{
  return aVersion.is_null() ? std::string("not heard") : aVersion.dump();
}

std::string HostsText(const json& aStatus)
{
  std::string text =
    fmt::format("{:<16}{:<14}{:<11}{:>14}{:>10}\n", "HOST", "DATA CENTRE",
                "STATE", "CONFIGURATION", "PLACES");
  for (const json& host : aStatus.at("hosts")) {
    text += fmt::format("{:<16}{:<14}{:<11}{:>14}{:>10}\n",
                        host.at("host").get<std::string>(),
                        host.at("data_centre").get<std::string>(),
                        host.at("state").get<std::string>(),
                        VersionText(host.at("configuration_version")),
                        VersionText(host.at("places_version")));
  }
  return text;
}

std::string OutText(const json& aStatus)
{
  std::string text;
  for (const json& place : aStatus.at("places")) {
    if (place.at("out").get<bool>()) {
      text += " " + place.at("name").get<std::string>();
    }
  }
  return text.empty() ? std::string() : "\nout:" + text + "\n";
}

std::string ServicesText(const json& aStatus)
{
  std::string text = fmt::format("\n{:<14}{:<12}{:<16}{:<14}{:<16}{:>6}{:>8}\n",
                                 "SERVICE", "CLASS", "UPSTREAM", "DATA CENTRE",
                                 "STEWARD", "EPOCH", "SLICES");
  for (const json& service : aStatus.at("services")) {
    const json& slices = service.at("slices_by_owner");
    for (const json& upstream : service.at("upstreams")) {
      const auto name = upstream.at("upstream").get<std::string>();
      text += fmt::format("{:<14}{:<12}{:<16}{:<14}{:<16}{:>6}{:>8}\n",
                          service.at("name").get<std::string>(),
                          service.at("class").get<std::string>(), name,
                          upstream.at("data_centre").get<std::string>(),
                          upstream.at("steward").get<std::string>(),
                          upstream.at("epoch").dump(), slices.value(name, 0));
    }
  }
  return text;
}

std::string CountsText(const json& aStatus)
{
  std::string text =
    fmt::format("\n{:<14}{:<16}{:>8}{:>8}{:>8}{:>10}\n", "STEWARD OF",
                "UPSTREAM", "ALLOWED", "RUNNING", "QUEUED", "SERVED");
  for (const json& count : aStatus.at("stewardships")) {
    text += fmt::format("{:<14}{:<16}{:>8}{:>8}{:>8}{:>10}\n",
                        count.at("service").get<std::string>(),
                        count.at("upstream").get<std::string>(),
                        count.at("allowed").dump(), count.at("running").dump(),
                        count.at("queued").dump(), count.at("served").dump());
  }
  return text;
}

std::string KindsText(const char* aTitle, const json& aKinds)
{
  if (aKinds.empty()) {
    return {};
  }
  std::string text = fmt::format("\n{} of this host:", aTitle);
  for (const auto& [kind, count] : aKinds.items()) {
    text += fmt::format(" {}={}", kind, count.dump());
  }
  return text + "\n";
}

} // namespace

std::string StatusText(const json& aStatus)
{
  return fmt::format("host {}: {}, {}, configuration {} ({})\n\n",
                     aStatus.at("host").get<std::string>(),
                     aStatus.at("ready").get<bool>() ? "ready" : "not ready",
                     aStatus.at("holds_lease").get<bool>() ? "holds its lease"
                                                           : "has no lease",
                     aStatus.at("configuration_version").dump(),
                     aStatus.at("configuration_phase").get<std::string>()) +
         HostsText(aStatus) + OutText(aStatus) + ServicesText(aStatus) +
         CountsText(aStatus) + KindsText("refusals", aStatus.at("refusals")) +
         KindsText("retries", aStatus.at("retries"));
}

} // namespace kumquat::control
