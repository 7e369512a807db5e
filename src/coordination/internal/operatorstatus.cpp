// Status and explanation, read from the map and the configuration's keeper.

#include "coordination/internal/operatorstatus.h"

#include "coordination/planner.h"
#include "state/rows.h"

#include <algorithm>
#include <map>

namespace kumquat::coordination {

namespace {

using nlohmann::ordered_json;
using protocol::ErrorInfo;
using protocol::ErrorKind;
using state::HostRecord;
using state::ServiceConfiguration;
using state::SliceRecord;
using state::UpstreamRecord;

ordered_json HostToJson(const OperatorView& aView, const HostRecord& aHost)
{
  ordered_json host = {
    { "host", aHost.ref.host.value },
    { "incarnation", aHost.ref.incarnation },
    { "data_centre", aHost.dataCentre.value },
    { "state", state::HostStateName(aHost.state) },
    { "guards", aHost.guards.size() },
    // Nothing while the host is not heard.
    { "configuration_version", nullptr },
    { "places_version", nullptr },
  };
  const auto& peers = aView.keeper.Peers();
  const auto peer = peers.find(aHost.ref.host);
  if (aHost.ref == aView.self) {
    host["configuration_version"] = aView.keeper.InForce().version;
    host["places_version"] = aView.map.PlacesVersion();
  } else if (peer != peers.end()) {
    host["configuration_version"] = peer->second.configuration;
    host["places_version"] = peer->second.places;
  }
  return host;
}

ordered_json HostsToJson(const OperatorView& aView)
{
  ordered_json hosts = ordered_json::array();
  for (const HostRecord* host : aView.map.Hosts()) {
    hosts.push_back(HostToJson(aView, *host));
  }
  return hosts;
}

ordered_json PlacesToJson(const OperatorView& aView)
{
  ordered_json places = ordered_json::array();
  for (const state::PlaceRecord* place : aView.map.Places()) {
    places.push_back({ { "name", place->name },
                       { "out", place->out },
                       { "version", place->version } });
  }
  return places;
}

ordered_json UpstreamToJson(const OperatorView& aView,
                            const UpstreamRecord& aUpstream)
{
  return { { "upstream", aUpstream.ref.upstream.value },
           { "data_centre", aUpstream.dataCentre.value },
           { "address", aUpstream.address },
           { "steward", aUpstream.steward.host.value },
           { "epoch", aUpstream.epoch },
           { "out", aView.map.IsOut(aUpstream.dataCentre.value) } };
}

ordered_json UpstreamsToJson(const OperatorView& aView,
                             const state::ServiceName& aService)
{
  ordered_json upstreams = ordered_json::array();
  for (const UpstreamRecord* upstream : aView.map.Upstreams(aService)) {
    upstreams.push_back(UpstreamToJson(aView, *upstream));
  }
  return upstreams;
}

std::string OwnerOf(const SliceRecord& aSlice)
{
  return aSlice.upstream.value.empty() ? aSlice.host.host.value
                                       : aSlice.upstream.value;
}

ordered_json SlicesByOwner(const OperatorView& aView,
                           const state::ServiceName& aService)
{
  std::map<std::string, int> counts;
  for (const SliceRecord* slice : aView.map.Slices(aService)) {
    ++counts[OwnerOf(*slice)];
  }
  return counts;
}

ordered_json ServiceToJson(const OperatorView& aView,
                           const ServiceConfiguration& aService)
{
  return { { "name", aService.name.value },
           { "class", state::WorkClassName(aService.workClass) },
           { "keyed", aService.keyed },
           { "idempotent", aService.idempotent },
           { "upstreams", UpstreamsToJson(aView, aService.name) },
           { "slices_by_owner", SlicesByOwner(aView, aService.name) },
           { "key_slices_by_host",
             SlicesByOwner(aView, OwnersOf(aService.name)) } };
}

ordered_json ServicesToJson(const OperatorView& aView)
{
  ordered_json services = ordered_json::array();
  for (const ServiceConfiguration& service : aView.keeper.InForce().services) {
    services.push_back(ServiceToJson(aView, service));
  }
  return services;
}

ordered_json CountsToJson(const OperatorView& aView)
{
  ordered_json counts = ordered_json::array();
  for (const SlotCount& count : aView.counts()) {
    counts.push_back({ { "service", count.upstream.service.value },
                       { "upstream", count.upstream.upstream.value },
                       { "epoch", count.epoch },
                       { "allowed", count.allowed },
                       { "running", count.running },
                       { "free", count.freeSlots },
                       { "queued", count.queued },
                       { "served", count.served } });
  }
  return counts;
}

// Kinds that never happened are left out; /metrics has them all.
ordered_json KindsToJson(const std::function<std::uint64_t(ErrorKind)>& aCount)
{
  ordered_json kinds = ordered_json::object();
  for (const ErrorInfo& answer : protocol::ErrorTable()) {
    const std::uint64_t count = aCount(answer.kind);
    if (count > 0) {
      kinds[std::string(answer.name)] = count;
    }
  }
  return kinds;
}

ordered_json SliceToJson(const SliceRecord& aSlice)
{
  // Decimal strings: the hashes do not fit other readers' doubles.
  return { { "part", aSlice.part },
           { "first", std::to_string(aSlice.first) },
           { "last", std::to_string(aSlice.last) },
           { "owner", OwnerOf(aSlice) },
           { "epoch", aSlice.epoch } };
}

ordered_json SliceOrNull(const SliceRecord* aSlice)
{
  return aSlice == nullptr ? ordered_json() : SliceToJson(*aSlice);
}

std::string WhyKeyed(const OperatorView& aView, const SliceRecord* aSlice,
                     const UpstreamRecord* aUpstream)
{
  if (aSlice == nullptr) {
    return "no slice holds the key: the service has no owners yet";
  }
  if (aUpstream == nullptr) {
    return "the slice's owner is not known as an upstream";
  }
  if (aUpstream->steward.host.value.empty()) {
    return "the owner has no steward yet";
  }
  if (aView.map.IsOut(aUpstream->dataCentre.value)) {
    return "the owner's data centre is out; the slice is to move";
  }
  return "the key's hash lies in the slice; its owner runs the work, and the "
         "owner's steward sends it";
}

// The slice of a keyed service, its owner and the owner's steward.
void ExplainKeyed(ordered_json& aAnswer, const OperatorView& aView,
                  const state::ServiceName& aService, std::uint64_t aHash)
{
  const SliceRecord* const slice = aView.map.FindSlice(aService, aHash);
  const UpstreamRecord* const upstream =
    slice == nullptr ? nullptr
                     : aView.map.FindUpstream({ aService, slice->upstream });
  aAnswer["slice"] = SliceOrNull(slice);
  aAnswer["owner"] =
    upstream == nullptr ? ordered_json() : UpstreamToJson(aView, *upstream);
  aAnswer["why"] = WhyKeyed(aView, slice, upstream);
}

} // namespace

ordered_json StatusOf(const OperatorView& aView)
{
  return {
    { "host", aView.self.host.value },
    { "incarnation", aView.self.incarnation },
    { "data_centre", aView.dataCentre.value },
    { "ready", aView.isReady() },
    { "holds_lease", aView.holdsLease() },
    { "configuration_version", aView.keeper.InForce().version },
    { "configuration_phase",
      state::ConfigurationPhaseName(aView.keeper.Phase()) },
    { "places_version", aView.map.PlacesVersion() },
    { "hosts", HostsToJson(aView) },
    { "places", PlacesToJson(aView) },
    { "services", ServicesToJson(aView) },
    { "stewardships", CountsToJson(aView) },
    { "refusals", KindsToJson(aView.refusals) },
    { "retries", KindsToJson(aView.retries) },
  };
}

ordered_json ExplanationOf(const OperatorView& aView,
                           const ServiceConfiguration& aService,
                           const std::string& aKey)
{
  const std::uint64_t hash = state::HashKey(aKey);
  ordered_json answer = { { "service", aService.name.value },
                          { "key", aKey },
                          { "hash", std::to_string(hash) },
                          { "keyed", aService.keyed },
                          { "idempotent", aService.idempotent } };
  if (aService.keyed) {
    ExplainKeyed(answer, aView, aService.name, hash);
  } else {
    answer["upstreams"] = UpstreamsToJson(aView, aService.name);
    answer["why"] = "the service is not divided by key: any upstream with a "
                    "free slot may run it";
  }
  if (!aService.idempotent) {
    // The same text taken as an Idempotency-Key: the host where repeats meet.
    answer["idempotency_key_slice"] =
      SliceOrNull(aView.map.FindSlice(OwnersOf(aService.name), hash));
  }
  return answer;
}

} // namespace kumquat::coordination
