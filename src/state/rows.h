// The records as the JSON bodies of the table's rows, and back.

#pragma once

#include "framework/result.h"
#include "state/table.h"
#include "state/types.h"

#include <string>
#include <string_view>

namespace kumquat::state {

inline constexpr std::string_view kHostPartition = "host";
inline constexpr std::string_view kPlacePartition = "place";

// "upstream/<service>" and "slices/<service>".
std::string UpstreamPartition(const ServiceName& aService);
std::string SlicePartition(const ServiceName& aService);

std::string_view HostStateName(HostState aState);

// The bodies; versions and nonces stand in the row, not in its body.
std::string ToJson(const HostRecord& aRecord);
std::string ToJson(const UpstreamRecord& aRecord);
std::string ToJson(const SliceRecord& aRecord);
std::string ToJson(const PlaceRecord& aRecord);

// The row that holds aRecord after its next write: its version is one more
// than the record's. The writer sets the nonce and expects aRecord.version.
Row ToRow(const HostRecord& aRecord);
Row ToRow(const UpstreamRecord& aRecord);
Row ToRow(const SliceRecord& aRecord);
Row ToRow(const PlaceRecord& aRecord);

// The record with the row's version; kInternal where the body is none.
Result<HostRecord> HostFromJson(const Row& aRow);
Result<UpstreamRecord> UpstreamFromJson(const Row& aRow);
Result<SliceRecord> SliceFromJson(const Row& aRow);
Result<PlaceRecord> PlaceFromJson(const Row& aRow);

} // namespace kumquat::state
