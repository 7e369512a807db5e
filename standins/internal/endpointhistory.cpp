// The lagging list, as EndpointSlices.

#include "standins/endpointhistory.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace kumquat::standins {

namespace {

using nlohmann::json;

json ToEndpoint(const ListedEndpoint& aEndpoint)
{
  const bool live = aEndpoint.state == EndpointState::kLive;
  return {
    { "addresses", { aEndpoint.ip } },
    { "zone", aEndpoint.dataCentre },
    { "targetRef", { { "kind", "Pod" }, { "name", aEndpoint.id } } },
    { "conditions",
      { { "ready", live }, { "serving", true }, { "terminating", !live } } }
  };
}

json ToSlice(const ListedEndpoint& aFirst)
{
  return {
    { "metadata",
      { { "name", aFirst.service + "-1" },
        { "labels", { { "kubernetes.io/service-name", aFirst.service } } } } },
    { "addressType", "IPv4" },
    { "ports",
      { { { "name", "http" },
          { "protocol", "TCP" },
          { "port", aFirst.port } } } },
    { "endpoints", json::array() }
  };
}

} // namespace

void EndpointHistory::Add(ListedEndpoint aEndpoint)
{
  const Key key{ aEndpoint.service, aEndpoint.id };
  this->shown.insert_or_assign(key, std::move(aEndpoint));
}

bool EndpointHistory::Set(const std::string& aService, const std::string& aId,
                          EndpointState aState, TimePoint aNow)
{
  const Key key{ aService, aId };
  if (!this->shown.contains(key)) {
    return false;
  }
  this->changes.push_back({ aNow, key, aState });
  return true;
}

std::string EndpointHistory::Text(TimePoint aAsOf)
{
  while (!this->changes.empty() && this->changes.front().at <= aAsOf) {
    const Change& change = this->changes.front();
    this->shown.at(change.key).state = change.state;
    ++this->resourceVersion;
    this->changes.pop_front();
  }
  json items = json::array();
  const std::string* service = nullptr;
  for (const auto& [key, endpoint] : this->shown) {
    if (service == nullptr || *service != endpoint.service) {
      items.push_back(ToSlice(endpoint));
      service = &endpoint.service;
    }
    if (endpoint.state != EndpointState::kGone) {
      items.back()["endpoints"].push_back(ToEndpoint(endpoint));
    }
  }
  const json list = {
    { "kind", "EndpointSliceList" },
    { "apiVersion", "discovery.k8s.io/v1" },
    { "metadata",
      { { "resourceVersion", std::to_string(this->resourceVersion) } } },
    { "items", std::move(items) }
  };
  return list.dump();
}

} // namespace kumquat::standins
