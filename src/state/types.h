// The records that last, as they stand in the platform's table, and the names
// that they are known by.

#pragma once

#include "framework/id.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace kumquat::state {

using HostId = Id<struct HostTag>;
using DataCentre = Id<struct DataCentreTag>;
using ServiceName = Id<struct ServiceTag>;
// Unique within its service.
using UpstreamId = Id<struct UpstreamTag>;

// Where a keyed service's keys lie.
using Key = std::uint16_t;

// Counts the writes to one row; 0 means that the row is not there.
using Version = std::int64_t;
// Raised with each change of owner; the higher one wins.
using Epoch = std::int64_t;
// One run of a process; a restart gives a higher one.
using Incarnation = std::int64_t;

struct HostRef
{
  HostId host;
  Incarnation incarnation = 0;

  friend auto operator<=>(const HostRef&, const HostRef&) = default;
};

struct UpstreamRef
{
  ServiceName service;
  UpstreamId upstream;

  friend auto operator<=>(const UpstreamRef&, const UpstreamRef&) = default;
};

enum class HostState
{
  kLive,
  // Another host asks this one's guards to release it.
  kSuspected,
  kLeaving,
  kDeposed,
};

struct HostRecord
{
  HostRef ref;
  // Where peers connect to, as "127.0.1.1:7000".
  std::string peerAddress;
  DataCentre dataCentre;
  std::vector<HostRef> guards;
  // Set while the guards change: both sets' majorities are needed.
  std::vector<HostRef> nextGuards;
  HostState state = HostState::kLive;
  // Its guards have not confirmed this run yet: it may never hold a lease.
  bool joining = false;
  Version version = 0;
};

struct UpstreamRecord
{
  UpstreamRef ref;
  std::string address;
  DataCentre dataCentre;
  HostRef steward;
  // Raised with each change of steward.
  Epoch epoch = 0;
  Version version = 0;
};

// A range of 64-bit key hashes; both ends belong to it.
struct SliceRecord
{
  ServiceName service;
  std::string part;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  // The owner: an upstream, or for idempotency keys a host.
  UpstreamId upstream;
  HostRef host;
  // The host that owned it before; empty where there was none.
  HostRef predecessor;
  // Raised with each change of owner.
  Epoch epoch = 0;
  Version version = 0;
};

// A data centre or a host that operators have taken out or put back in.
struct PlaceRecord
{
  std::string name;
  bool out = false;
  Version version = 0;
};

} // namespace kumquat::state

template<>
struct std::hash<kumquat::state::UpstreamRef>
{
  std::size_t operator()(const kumquat::state::UpstreamRef& aRef) const noexcept
  {
    const std::size_t service =
      std::hash<kumquat::state::ServiceName>{}(aRef.service);
    return service * 31 +
           std::hash<kumquat::state::UpstreamId>{}(aRef.upstream);
  }
};
