// The host's cache of the table's rows.

#include "state/routingmap.h"

#include <xxhash.h>

#include <algorithm>
#include <iterator>
#include <numeric>
#include <ranges>

namespace kumquat::state {

namespace {

// A late or repeated row must not undo a newer one.
template<typename Map, typename Key, typename Record>
bool PutNewer(Map& aMap, const Key& aKey, const Record& aRecord)
{
  const auto [place, inserted] = aMap.try_emplace(aKey, aRecord);
  if (inserted) {
    return true;
  }
  if (aRecord.version <= place->second.version) {
    return false;
  }
  place->second = aRecord;
  return true;
}

template<typename Map, typename Key>
auto FindRecord(const Map& aMap, const Key& aKey) -> const
  typename Map::mapped_type*
{
  const auto found = aMap.find(aKey);
  return found == aMap.end() ? nullptr : &found->second;
}

} // namespace

std::uint64_t HashKey(std::string_view aKey)
{
  return XXH3_64bits(aKey.data(), aKey.size());
}

bool RoutingMap::Put(const HostRecord& aRecord)
{
  return PutNewer(this->hosts, aRecord.ref.host, aRecord);
}

bool RoutingMap::Put(const UpstreamRecord& aRecord)
{
  return PutNewer(this->upstreams, aRecord.ref, aRecord);
}

bool RoutingMap::Put(const SliceRecord& aRecord)
{
  return PutNewer(this->slices[aRecord.service], aRecord.first, aRecord);
}

bool RoutingMap::Put(const PlaceRecord& aRecord)
{
  return PutNewer(this->places, aRecord.name, aRecord);
}

void RoutingMap::Remove(const UpstreamRef& aRef)
{
  this->upstreams.erase(aRef);
}

const HostRecord* RoutingMap::FindHost(const HostId& aHost) const
{
  return FindRecord(this->hosts, aHost);
}

const UpstreamRecord* RoutingMap::FindUpstream(const UpstreamRef& aRef) const
{
  return FindRecord(this->upstreams, aRef);
}

const SliceRecord* RoutingMap::FindSlice(const ServiceName& aService,
                                         std::uint64_t aHash) const
{
  const auto service = this->slices.find(aService);
  if (service == this->slices.end()) {
    return nullptr;
  }
  const SlicesByFirst& byFirst = service->second;
  const auto after = byFirst.upper_bound(aHash);
  if (after == byFirst.begin()) {
    return nullptr;
  }
  const SliceRecord& slice = std::prev(after)->second;
  return aHash <= slice.last ? &slice : nullptr;
}

bool RoutingMap::IsOut(std::string_view aPlace) const
{
  const auto found = this->places.find(aPlace);
  return found != this->places.end() && found->second.out;
}

Version RoutingMap::PlacesVersion() const
{
  const auto versions = this->places | std::views::values |
                        std::views::transform([](const PlaceRecord& aPlace) {
                          return aPlace.version;
                        });
  return std::accumulate(versions.begin(), versions.end(), Version{ 0 });
}

std::vector<const PlaceRecord*> RoutingMap::Places() const
{
  std::vector<const PlaceRecord*> found;
  found.reserve(this->places.size());
  std::ranges::transform(this->places | std::views::values,
                         std::back_inserter(found),
                         [](const PlaceRecord& aRecord) { return &aRecord; });
  return found;
}

std::vector<const HostRecord*> RoutingMap::Hosts() const
{
  std::vector<const HostRecord*> found;
  found.reserve(this->hosts.size());
  std::ranges::transform(this->hosts | std::views::values,
                         std::back_inserter(found),
                         [](const HostRecord& aRecord) { return &aRecord; });
  return found;
}

std::vector<const UpstreamRecord*> RoutingMap::Upstreams(
  const ServiceName& aService) const
{
  std::vector<const UpstreamRecord*> found;
  auto place = this->upstreams.lower_bound({ aService, {} });
  while (place != this->upstreams.end() && place->first.service == aService) {
    found.push_back(&place->second);
    ++place;
  }
  return found;
}

std::vector<const SliceRecord*> RoutingMap::Slices(
  const ServiceName& aService) const
{
  std::vector<const SliceRecord*> found;
  const auto service = this->slices.find(aService);
  if (service == this->slices.end()) {
    return found;
  }
  std::ranges::transform(service->second | std::views::values,
                         std::back_inserter(found),
                         [](const SliceRecord& aRecord) { return &aRecord; });
  return found;
}

} // namespace kumquat::state
