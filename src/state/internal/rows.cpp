// The records' JSON. Hashes are decimal strings: they do not fit the doubles
// that other readers of the table may use.

#include "state/rows.h"

#include "protocol/errorkind.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <iterator>
#include <stdexcept>
#include <utility>

namespace kumquat::state {

namespace {

using nlohmann::json;

constexpr std::array<std::pair<HostState, std::string_view>, 4> kHostStates{ {
  { HostState::kLive, "live" },
  { HostState::kSuspected, "suspected" },
  { HostState::kLeaving, "leaving" },
  { HostState::kDeposed, "deposed" },
} };

HostState HostStateFromName(std::string_view aName)
{
  const auto* const found = std::ranges::find(
    kHostStates, aName, &decltype(kHostStates)::value_type::second);
  if (found == kHostStates.end()) {
    throw std::invalid_argument("unknown host state");
  }
  return found->first;
}

std::uint64_t HashFromText(const std::string& aText)
{
  std::uint64_t hash = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, hash);
  if (error != std::errc{} || stop != end) {
    throw std::invalid_argument("not a hash");
  }
  return hash;
}

json RefToJson(const HostRef& aRef)
{
  return { { "host", aRef.host.value }, { "incarnation", aRef.incarnation } };
}

HostRef RefFromJson(const json& aJson)
{
  return { HostId{ aJson.at("host").get<std::string>() },
           aJson.at("incarnation").get<Incarnation>() };
}

json RefsToJson(const std::vector<HostRef>& aRefs)
{
  json list = json::array();
  std::ranges::transform(aRefs, std::back_inserter(list), RefToJson);
  return list;
}

std::vector<HostRef> RefsFromJson(const json& aJson)
{
  std::vector<HostRef> refs;
  std::ranges::transform(aJson, std::back_inserter(refs), RefFromJson);
  return refs;
}

// Rows are written by other hosts and may be of another release: a body that
// does not read as expected is an error, never an exception for the caller.
template<typename Record, typename Read>
Result<Record> ReadBody(const Row& aRow, Read aRead)
{
  try {
    Record record = aRead(json::parse(aRow.body));
    record.version = aRow.version;
    return record;
  } catch (const std::exception&) {
    return make_error_code(protocol::ErrorKind::kInternal);
  }
}

template<typename Record>
Row MakeRow(std::string_view aPartition, const std::string& aName,
            const Record& aRecord)
{
  return { .partition = std::string(aPartition),
           .name = aName,
           .version = aRecord.version + 1,
           .nonce = {},
           .body = ToJson(aRecord) };
}

} // namespace

std::string UpstreamPartition(const ServiceName& aService)
{
  return "upstream/" + aService.value;
}

std::string SlicePartition(const ServiceName& aService)
{
  return "slices/" + aService.value;
}

std::string_view HostStateName(HostState aState)
{
  return std::ranges::find(kHostStates, aState,
                           &decltype(kHostStates)::value_type::first)
    ->second;
}

std::string ToJson(const HostRecord& aRecord)
{
  return json{
    { "ref", RefToJson(aRecord.ref) },
    { "peerAddress", aRecord.peerAddress },
    { "dataCentre", aRecord.dataCentre.value },
    { "guards", RefsToJson(aRecord.guards) },
    { "nextGuards", RefsToJson(aRecord.nextGuards) },
    { "state", HostStateName(aRecord.state) },
    { "joining", aRecord.joining }
  }.dump();
}

std::string ToJson(const UpstreamRecord& aRecord)
{
  return json{
    { "service", aRecord.ref.service.value },
    { "upstream", aRecord.ref.upstream.value },
    { "address", aRecord.address },
    { "dataCentre", aRecord.dataCentre.value },
    { "steward", RefToJson(aRecord.steward) },
    { "epoch", aRecord.epoch }
  }.dump();
}

std::string ToJson(const SliceRecord& aRecord)
{
  return json{
    { "service", aRecord.service.value },
    { "part", aRecord.part },
    { "first", std::to_string(aRecord.first) },
    { "last", std::to_string(aRecord.last) },
    { "upstream", aRecord.upstream.value },
    { "host", RefToJson(aRecord.host) },
    { "predecessor", RefToJson(aRecord.predecessor) },
    { "epoch", aRecord.epoch }
  }.dump();
}

std::string ToJson(const PlaceRecord& aRecord)
{
  return json{ { "name", aRecord.name }, { "out", aRecord.out } }.dump();
}

Row ToRow(const HostRecord& aRecord)
{
  return MakeRow(kHostPartition, aRecord.ref.host.value, aRecord);
}

Row ToRow(const UpstreamRecord& aRecord)
{
  return MakeRow(UpstreamPartition(aRecord.ref.service),
                 aRecord.ref.upstream.value, aRecord);
}

Row ToRow(const SliceRecord& aRecord)
{
  return MakeRow(SlicePartition(aRecord.service), aRecord.part, aRecord);
}

Row ToRow(const PlaceRecord& aRecord)
{
  return MakeRow(kPlacePartition, aRecord.name, aRecord);
}

Result<HostRecord> HostFromJson(const Row& aRow)
{
  return ReadBody<HostRecord>(aRow, [](const json& aJson) {
    HostRecord record;
    record.ref = RefFromJson(aJson.at("ref"));
    record.peerAddress = aJson.at("peerAddress").get<std::string>();
    record.dataCentre.value = aJson.at("dataCentre").get<std::string>();
    record.guards = RefsFromJson(aJson.at("guards"));
    record.nextGuards = RefsFromJson(aJson.at("nextGuards"));
    record.state = HostStateFromName(aJson.at("state").get<std::string>());
    // Rows of earlier versions do not have it.
    record.joining = aJson.value("joining", false);
    return record;
  });
}

Result<UpstreamRecord> UpstreamFromJson(const Row& aRow)
{
  return ReadBody<UpstreamRecord>(aRow, [](const json& aJson) {
    UpstreamRecord record;
    record.ref.service.value = aJson.at("service").get<std::string>();
    record.ref.upstream.value = aJson.at("upstream").get<std::string>();
    record.address = aJson.at("address").get<std::string>();
    record.dataCentre.value = aJson.at("dataCentre").get<std::string>();
    record.steward = RefFromJson(aJson.at("steward"));
    record.epoch = aJson.at("epoch").get<Epoch>();
    return record;
  });
}

Result<SliceRecord> SliceFromJson(const Row& aRow)
{
  return ReadBody<SliceRecord>(aRow, [](const json& aJson) {
    SliceRecord record;
    record.service.value = aJson.at("service").get<std::string>();
    record.part = aJson.at("part").get<std::string>();
    record.first = HashFromText(aJson.at("first").get<std::string>());
    record.last = HashFromText(aJson.at("last").get<std::string>());
    record.upstream.value = aJson.at("upstream").get<std::string>();
    record.host = RefFromJson(aJson.at("host"));
    record.predecessor = RefFromJson(aJson.at("predecessor"));
    record.epoch = aJson.at("epoch").get<Epoch>();
    return record;
  });
}

Result<PlaceRecord> PlaceFromJson(const Row& aRow)
{
  return ReadBody<PlaceRecord>(aRow, [](const json& aJson) {
    PlaceRecord record;
    record.name = aJson.at("name").get<std::string>();
    record.out = aJson.at("out").get<bool>();
    return record;
  });
}

} // namespace kumquat::state
