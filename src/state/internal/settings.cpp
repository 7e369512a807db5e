// Checks a process's settings before it starts.

#include "state/settings.h"

#include "framework/durationtext.h"
#include "state/internal/textreader.h"
#include "transport/address.h"

#include <algorithm>
#include <array>
#include <cstdint>

namespace kumquat::state {

namespace {

// A lock-free ring of fixed size numbers its nodes with 16 bits.
constexpr IntegerBounds kRingBounds{ 16, 65'534 };
constexpr IntegerBounds kConnectionsBounds{ 1, 65'536 };
constexpr std::size_t kLeastToken = 8;
// Of a host's memory, in megabytes.
constexpr IntegerBounds kMemoryBounds{ 16, 1'048'576 };
constexpr unsigned kMegabyteShift = 20;

constexpr std::array<std::string_view, 5> kLogLevels = { "trace", "debug",
                                                         "info", "warn",
                                                         "error" };

std::string ReadName(ObjectReader& aFields, std::string_view aName)
{
  std::string name = aFields.NeededString(aName);
  const auto visible = [](char aLetter) {
    return aLetter > ' ' && aLetter <= '~' && aLetter != '/';
  };
  if (!std::ranges::all_of(name, visible)) {
    aFields.AddFault(aName, "must be visible ASCII letters without '/'");
  }
  return name;
}

std::string CheckAddress(ObjectReader& aFields, std::string_view aName,
                         std::string aAddress)
{
  if (aAddress.empty()) {
    return aAddress;
  }
  const auto endpoint = transport::ParseAddress(aAddress);
  if (endpoint.has_error() || endpoint->port() == 0) {
    aFields.AddFault(aName, "must be an IP number and a port, as "
                            "\"127.0.1.1:7000\", not \"" +
                              aAddress + "\"");
  }
  return aAddress;
}

std::string ReadAddress(ObjectReader& aFields, std::string_view aName)
{
  return CheckAddress(aFields, aName, aFields.NeededString(aName));
}

std::string ReadOptionalAddress(ObjectReader& aFields, std::string_view aName)
{
  return CheckAddress(aFields, aName, aFields.String(aName).value_or(""));
}

std::string ReadToken(ObjectReader& aFields)
{
  std::string token = aFields.NeededString("operator_token");
  const auto visible = [](char aLetter) {
    return aLetter > ' ' && aLetter <= '~';
  };
  if (token.size() < kLeastToken || !std::ranges::all_of(token, visible)) {
    aFields.AddFault("operator_token",
                     "must be 8 or more visible ASCII letters");
  }
  return token;
}

std::string ReadLogLevel(ObjectReader& aFields, std::string aDefault)
{
  std::string level = aFields.String("log_level").value_or(std::move(aDefault));
  if (std::ranges::find(kLogLevels, level) == kLogLevels.end()) {
    aFields.AddFault("log_level",
                     "must be one of trace, debug, info, warn, error, not \"" +
                       level + "\"");
  }
  return level;
}

std::size_t ReadSize(ObjectReader& aFields, std::string_view aName,
                     IntegerBounds aBounds, std::size_t aDefault)
{
  const std::optional<std::int64_t> size = aFields.Integer(aName, aBounds);
  return size ? static_cast<std::size_t>(*size) : aDefault;
}

} // namespace

CheckedSettings ParseSettings(std::string_view aText)
{
  TextReader reader(aText);
  if (!reader.IsSyntaxRight()) {
    return reader.TakeFaults();
  }
  ObjectReader fields(reader, reader.Root(), JsonPointer());
  Settings settings;
  settings.host.value = ReadName(fields, "host");
  settings.dataCentre.value = ReadName(fields, "data_centre");
  settings.callerAddress = ReadAddress(fields, "caller_address");
  settings.peerAddress = ReadAddress(fields, "peer_address");
  settings.advertisedPeerAddress =
    ReadOptionalAddress(fields, "advertised_peer_address");
  settings.operatorAddress = ReadAddress(fields, "operator_address");
  settings.tableAddress = ReadAddress(fields, "table_address");
  settings.objectAddress = ReadAddress(fields, "object_address");
  settings.listAddress = ReadAddress(fields, "list_address");
  settings.operatorToken = ReadToken(fields);
  settings.ringSize =
    ReadSize(fields, "ring_size", kRingBounds, settings.ringSize);
  settings.maxConnections = ReadSize(
    fields, "max_connections", kConnectionsBounds, settings.maxConnections);
  settings.logLevel = ReadLogLevel(fields, settings.logLevel);
  settings.logJson = fields.Boolean("log_json").value_or(settings.logJson);
  fields.Finish();
  if (reader.HasFaults()) {
    return reader.TakeFaults();
  }
  return settings;
}

std::string PrintSettings(const Settings& aSettings)
{
  const nlohmann::ordered_json text = {
    { "host", aSettings.host.value },
    { "data_centre", aSettings.dataCentre.value },
    { "caller_address", aSettings.callerAddress },
    { "peer_address", aSettings.peerAddress },
    { "advertised_peer_address", aSettings.advertisedPeerAddress },
    { "operator_address", aSettings.operatorAddress },
    { "table_address", aSettings.tableAddress },
    { "object_address", aSettings.objectAddress },
    { "list_address", aSettings.listAddress },
    // Printed settings end up in tickets and logs; the token must not.
    { "operator_token", "(set)" },
    { "ring_size", aSettings.ringSize },
    { "max_connections", aSettings.maxConnections },
    { "log_level", aSettings.logLevel },
    { "log_json", aSettings.logJson },
  };
  return text.dump(2);
}

bool IsGatewayText(std::string_view aText)
{
  const auto text = nlohmann::json::parse(aText, nullptr, false);
  return text.is_object() && text.contains("store_address");
}

CheckedGatewaySettings ParseGatewaySettings(std::string_view aText)
{
  constexpr double kMostShare = 1.0;
  constexpr double kMostExtra = 100'000;
  constexpr double kLeastProcessors = 0.001;
  constexpr double kMostProcessors = 1024;
  TextReader reader(aText);
  if (!reader.IsSyntaxRight()) {
    return reader.TakeFaults();
  }
  ObjectReader fields(reader, reader.Root(), JsonPointer());
  GatewaySettings settings;
  settings.host.value = ReadName(fields, "host");
  settings.dataCentre.value = ReadName(fields, "data_centre");
  settings.callerAddress = ReadAddress(fields, "caller_address");
  settings.readyAddress = ReadAddress(fields, "ready_address");
  settings.peerAddress = ReadAddress(fields, "peer_address");
  settings.relayAddress = ReadOptionalAddress(fields, "relay_address");
  settings.metricsAddress = ReadAddress(fields, "metrics_address");
  settings.storeAddress = ReadAddress(fields, "store_address");
  settings.maxLease = fields.Time("most_hold").value_or(settings.maxLease);
  settings.grace = fields.Time("grace").value_or(settings.grace);
  settings.resendShare =
    fields.Number("resend_share", 0, kMostShare).value_or(settings.resendShare);
  settings.resendExtra =
    fields.Number("resend_extra", 0, kMostExtra).value_or(settings.resendExtra);
  settings.quotaWindow =
    fields.Time("quota_window").value_or(settings.quotaWindow);
  settings.maxConnections = ReadSize(
    fields, "max_connections", kConnectionsBounds, settings.maxConnections);
  if (const auto memory = fields.Integer("memory_mb", kMemoryBounds)) {
    settings.memoryBytes = static_cast<std::size_t>(*memory) << kMegabyteShift;
  }
  settings.processors =
    fields.Number("processors", kLeastProcessors, kMostProcessors)
      .value_or(settings.processors);
  settings.isFirstStart =
    fields.Boolean("first_start").value_or(settings.isFirstStart);
  if (fields.Boolean("proxy_owner_requests").value_or(false)) {
    settings.proxyUse = ProxyUse::kWhereSeldomMet;
  }
  settings.pacesStartingUpstreams =
    fields.Boolean("pace_starting_upstreams")
      .value_or(settings.pacesStartingUpstreams);
  settings.logLevel = ReadLogLevel(fields, settings.logLevel);
  fields.Finish();
  if (reader.HasFaults()) {
    return reader.TakeFaults();
  }
  return settings;
}

std::string PrintSettings(const GatewaySettings& aSettings)
{
  const nlohmann::ordered_json text = {
    { "host", aSettings.host.value },
    { "data_centre", aSettings.dataCentre.value },
    { "caller_address", aSettings.callerAddress },
    { "ready_address", aSettings.readyAddress },
    { "peer_address", aSettings.peerAddress },
    { "relay_address", aSettings.relayAddress },
    { "metrics_address", aSettings.metricsAddress },
    { "store_address", aSettings.storeAddress },
    { "most_hold", FormatDuration(aSettings.maxLease) },
    { "grace", FormatDuration(aSettings.grace) },
    { "resend_share", aSettings.resendShare },
    { "resend_extra", aSettings.resendExtra },
    { "quota_window", FormatDuration(aSettings.quotaWindow) },
    { "max_connections", aSettings.maxConnections },
    { "memory_mb", aSettings.memoryBytes >> kMegabyteShift },
    { "processors", aSettings.processors },
    { "first_start", aSettings.isFirstStart },
    { "proxy_owner_requests", aSettings.proxyUse != ProxyUse::kNever },
    { "pace_starting_upstreams", aSettings.pacesStartingUpstreams },
    { "log_level", aSettings.logLevel },
  };
  return text.dump(2);
}

} // namespace kumquat::state
