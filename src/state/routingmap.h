// What one host knows of the table: hosts, upstreams, slices and places. A
// cache only; who may is decided by the table and by the upstreams' fences.

#pragma once

#include "state/types.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquat::state {

// Stable over versions: slices in the table are ranges of it.
std::uint64_t HashKey(std::string_view aKey);

class RoutingMap
{
public:
  // Each keeps the record with the higher version; true where it was news.
  bool Put(const HostRecord& aRecord);
  bool Put(const UpstreamRecord& aRecord);
  bool Put(const SliceRecord& aRecord);
  bool Put(const PlaceRecord& aRecord);

  void Remove(const UpstreamRef& aRef);

  const HostRecord* FindHost(const HostId& aHost) const;
  const UpstreamRecord* FindUpstream(const UpstreamRef& aRef) const;
  const SliceRecord* FindSlice(const ServiceName& aService,
                               std::uint64_t aHash) const;
  bool IsOut(std::string_view aPlace) const;

  // The sum of the versions of all places: it rises with every write to any
  // of them, so that two hosts can be compared by one number.
  Version PlacesVersion() const;

  std::vector<const PlaceRecord*> Places() const;
  std::vector<const HostRecord*> Hosts() const;
  std::vector<const UpstreamRecord*> Upstreams(
    const ServiceName& aService) const;
  std::vector<const SliceRecord*> Slices(const ServiceName& aService) const;

private:
  using SlicesByFirst = std::map<std::uint64_t, SliceRecord>;

  std::map<HostId, HostRecord> hosts;
  // Ordered by service first: a service's upstreams stand together.
  std::map<UpstreamRef, UpstreamRecord> upstreams;
  // A service's slices do not overlap: the table's writes see to it.
  std::unordered_map<ServiceName, SlicesByFirst> slices;
  std::map<std::string, PlaceRecord, std::less<>> places;
};

} // namespace kumquat::state
