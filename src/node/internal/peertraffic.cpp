// Purposes of frames, and their counters.

#include "node/internal/peertraffic.h"

#include <string>
#include <utility>

namespace kumquat::node {

using transport::TrafficDirection;

namespace {

constexpr std::chrono::seconds kLineInterval{ 10 };

constexpr std::array kPurposeNames = {
  std::pair{ FramePurpose::kDigest, std::string_view("digest") },
  std::pair{ FramePurpose::kKeyMap, std::string_view("key_map") },
  std::pair{ FramePurpose::kTableQuery, std::string_view("table_query") },
  std::pair{ FramePurpose::kTableCopy, std::string_view("table_copy") },
  std::pair{ FramePurpose::kTableChange, std::string_view("table_change") },
  std::pair{ FramePurpose::kQuota, std::string_view("quota") },
  std::pair{ FramePurpose::kNotices, std::string_view("notices") },
  std::pair{ FramePurpose::kProxied, std::string_view("proxied") },
  std::pair{ FramePurpose::kOther, std::string_view("other") },
};

constexpr std::string_view DirectionName(TrafficDirection aDirection)
{
  return aDirection == TrafficDirection::kSent ? "sent" : "received";
}

} // namespace

std::string_view FramePurposeName(FramePurpose aPurpose)
{
  return kPurposeNames.at(static_cast<std::size_t>(aPurpose)).second;
}

FramePurpose PurposeOf(const protocol::Frame& aFrame)
{
  if (aFrame.__isset.hostDigest) {
    return FramePurpose::kDigest;
  }
  if (aFrame.__isset.keyMapUpdate) {
    return FramePurpose::kKeyMap;
  }
  if (aFrame.__isset.tableQuery) {
    return FramePurpose::kTableQuery;
  }
  if (aFrame.__isset.tableCopy) {
    return FramePurpose::kTableCopy;
  }
  if (aFrame.__isset.tableChange) {
    return FramePurpose::kTableChange;
  }
  if (aFrame.__isset.notices) {
    return FramePurpose::kNotices;
  }
  if (aFrame.__isset.proxyRequest || aFrame.__isset.proxyReply ||
      aFrame.__isset.proxyCancel) {
    return FramePurpose::kProxied;
  }
  return aFrame.__isset.quotaAsk || aFrame.__isset.quotaReply
           ? FramePurpose::kQuota
           : FramePurpose::kOther;
}

PeerTraffic::PeerTraffic(Metrics& aMetrics, Clock aClock, EventHook aLog)
  : clock(std::move(aClock))
  , log(std::move(aLog))
  , lineDueAt(this->clock() + kLineInterval)
{
  for (const auto& [purpose, name] : kPurposeNames) {
    for (const TrafficDirection direction :
         { TrafficDirection::kSent, TrafficDirection::kReceived }) {
      const Labels labels = { { "purpose", std::string(name) },
                              { "direction",
                                std::string(DirectionName(direction)) } };
      Totals& one = this->TotalsOf(purpose, direction);
      one.frames = &aMetrics.GetOrCreateCounter(
        "kumquat_peer_frames_total", "Frames exchanged with peers.", labels);
      one.bytes = &aMetrics.GetOrCreateCounter(
        "kumquat_peer_bytes_total", "Bytes exchanged with peers.", labels);
    }
  }
}

PeerTraffic::Totals& PeerTraffic::TotalsOf(FramePurpose aPurpose,
                                           TrafficDirection aDirection)
{
  return this->totals.at(static_cast<std::size_t>(aPurpose))
    .at(static_cast<std::size_t>(aDirection));
}

void PeerTraffic::OnFrame(const protocol::Frame& aFrame,
                          TrafficDirection aDirection, std::size_t aFrames,
                          std::size_t aBytes)
{
  Totals& one = this->TotalsOf(PurposeOf(aFrame), aDirection);
  one.frames->Add(static_cast<std::int64_t>(aFrames));
  one.bytes->Add(static_cast<std::int64_t>(aBytes));
  one.bytesSinceLine += static_cast<std::int64_t>(aBytes);
}

std::int64_t PeerTraffic::TakeBytes(FramePurpose aPurpose,
                                    TrafficDirection aDirection)
{
  return std::exchange(this->TotalsOf(aPurpose, aDirection).bytesSinceLine, 0);
}

void PeerTraffic::OnTimer()
{
  const TimePoint now = this->clock();
  if (now < this->lineDueAt) {
    return;
  }
  this->lineDueAt = now + kLineInterval;
  const auto sent = [this](FramePurpose aPurpose) {
    return this->TakeBytes(aPurpose, TrafficDirection::kSent);
  };
  const auto received = [this](FramePurpose aPurpose) {
    return this->TakeBytes(aPurpose, TrafficDirection::kReceived);
  };
  this->log(Event::kPeerTraffic,
            { { "digest_sent", sent(FramePurpose::kDigest) },
              { "digest_received", received(FramePurpose::kDigest) },
              { "key_map_sent", sent(FramePurpose::kKeyMap) },
              { "key_map_received", received(FramePurpose::kKeyMap) },
              { "table_sent", sent(FramePurpose::kTableChange) },
              { "table_received", received(FramePurpose::kTableChange) },
              { "table_copy_sent", sent(FramePurpose::kTableCopy) },
              { "table_copy_received", received(FramePurpose::kTableCopy) },
              { "quota_sent", sent(FramePurpose::kQuota) },
              { "quota_received", received(FramePurpose::kQuota) },
              { "proxied_sent", sent(FramePurpose::kProxied) },
              { "proxied_received", received(FramePurpose::kProxied) } });
}

} // namespace kumquat::node
