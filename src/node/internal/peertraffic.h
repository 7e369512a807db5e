// Counts the frames and bytes that a host exchanges with its peers, by what
// they are for, and logs the bytes from time to time.

#pragma once

#include "framework/clock.h"
#include "framework/events.h"
#include "framework/metrics.h"
#include "protocol/gen/peer_types.h"
#include "transport/peernetwork.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace kumquat::node {

// What a frame between gateways is for.
enum class FramePurpose
{
  kDigest,
  kKeyMap,
  kTableQuery,
  kTableCopy,
  kTableChange,
  kQuota,
  kNotices,
  kProxied,
  kOther,
};

// The name of the purpose in metrics and logs.
std::string_view FramePurposeName(FramePurpose aPurpose);

FramePurpose PurposeOf(const protocol::Frame& aFrame);

class PeerTraffic
{
public:
  PeerTraffic(Metrics& aMetrics, Clock aClock, EventHook aLog);

  void OnFrame(const protocol::Frame& aFrame,
               transport::TrafficDirection aDirection, std::size_t aFrames,
               std::size_t aBytes);
  // Writes a log line if one is due.
  void OnTimer();

private:
  static constexpr std::size_t kPurposes = 9;
  static constexpr std::size_t kDirections = 2;

  struct Totals
  {
    Counter* frames = nullptr;
    Counter* bytes = nullptr;
    std::int64_t bytesSinceLine = 0;
  };

  Totals& TotalsOf(FramePurpose aPurpose,
                   transport::TrafficDirection aDirection);
  std::int64_t TakeBytes(FramePurpose aPurpose,
                         transport::TrafficDirection aDirection);

  Clock clock;
  EventHook log;
  std::array<std::array<Totals, kDirections>, kPurposes> totals;
  TimePoint lineDueAt;
};

} // namespace kumquat::node
