// The part of a gateway that exchanges reports of requests under which
// upstreams have ended.
//
// A report goes to all connected peers before the caller gets its response, as
// the caller may repeat the request at any of them. Where the hosts are divided
// into cells, hubs forward it to the hosts that are assigned to them.

#include "node/internal/gatewayimpl.h"

#include "node/internal/clocks.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace kumquat::node {

using std::chrono::milliseconds;

namespace {

// When many upstreams end at once, the reports of many hosts go into one frame.
constexpr milliseconds kForwardDelay{ 3 };
// Logged for an upstream that names no limit any more.
constexpr std::int64_t kNoLimit = -1;

protocol::CrashReport ToWire(const routing::CrashReport& aReport)
{
  protocol::CrashReport report;
  report.__set_key(static_cast<std::int64_t>(aReport.request.key));
  report.__set_hashHigh(static_cast<std::int64_t>(aReport.request.high));
  report.__set_hashLow(static_cast<std::int64_t>(aReport.request.low));
  const TimePoint now = BootTime();
  for (const routing::UpstreamEnd& one : aReport.ends) {
    protocol::UpstreamEnd end;
    end.__set_upstream(one.upstream.value);
    end.__set_agoMs(static_cast<std::int32_t>(
      std::chrono::duration_cast<milliseconds>(now - one.at).count()));
    report.ends.push_back(std::move(end));
  }
  return report;
}

routing::CrashReport FromWire(const protocol::CrashReport& aReport)
{
  routing::CrashReport report;
  report.request = { static_cast<std::uint64_t>(aReport.key),
                     static_cast<std::uint64_t>(aReport.hashHigh),
                     static_cast<std::uint64_t>(aReport.hashLow) };
  const TimePoint now = BootTime();
  std::ranges::transform(aReport.ends, std::back_inserter(report.ends),
                         [now](const protocol::UpstreamEnd& aEnd) {
                           return routing::UpstreamEnd{
                             { aEnd.upstream },
                             now - milliseconds(std::max(0, aEnd.agoMs))
                           };
                         });
  return report;
}

protocol::Frame MakeFrame(std::uint64_t aKey,
                          const std::vector<routing::CrashReport>& aReports,
                          bool aForward)
{
  protocol::CrashReports reports;
  reports.__set_key(static_cast<std::int64_t>(aKey));
  std::ranges::transform(
    aReports, std::back_inserter(reports.reports),
    [](const routing::CrashReport& aReport) { return ToWire(aReport); });
  reports.__set_forward(aForward);
  protocol::Frame frame;
  frame.__set_crashReports(reports);
  return frame;
}

} // namespace

void Gateway::Impl::SendCrashReports(
  const std::vector<routing::CrashReport>& aReports)
{
  this->peerNetwork->SendToAll(
    { this->connectedPeers.begin(), this->connectedPeers.end() },
    MakeFrame(this->dispatcher->Suspects().Key(), aReports,
              this->topology.Cells().IsDivided()));
}

// The key goes out even without reports, so that hosts use the same one before
// they need it.
void Gateway::Impl::SendAllCrashReports(const std::string& aPeer)
{
  const routing::CrashSuspects& suspects = this->dispatcher->Suspects();
  static_cast<void>(this->peerNetwork->Send(
    aPeer, MakeFrame(suspects.Key(), suspects.AllReports(), false)));
}

void Gateway::Impl::OnCrashReports(const protocol::CrashReports& aReports)
{
  routing::CrashSuspects& suspects = this->dispatcher->Suspects();
  suspects.OnPeerKey(static_cast<std::uint64_t>(aReports.key));
  for (const protocol::CrashReport& report : aReports.reports) {
    suspects.OnReport(FromWire(report));
  }
  if (!aReports.forward || !this->topology.IsHub(this->self.host)) {
    return;
  }
  const bool isFirst = this->crashReportsToForward.reports.empty();
  std::ranges::copy(aReports.reports,
                    std::back_inserter(this->crashReportsToForward.reports));
  if (!isFirst) {
    return;
  }
  this->forwardTimer.expires_after(kForwardDelay);
  this->forwardTimer.async_wait(
    [this](const boost::system::error_code& aError) {
      if (!aError) {
        this->ForwardCrashReports();
      }
    });
}

void Gateway::Impl::ForwardCrashReports()
{
  std::vector<std::string> recipients;
  std::ranges::copy_if(this->connectedPeers, std::back_inserter(recipients),
                       [this](const std::string& aHost) {
                         return this->topology.ForwardsChangesTo({ aHost });
                       });
  protocol::CrashReports reports;
  std::swap(reports, this->crashReportsToForward);
  reports.__set_key(
    static_cast<std::int64_t>(this->dispatcher->Suspects().Key()));
  protocol::Frame frame;
  frame.__set_crashReports(reports);
  this->peerNetwork->SendToAll(recipients, frame);
}

void Gateway::Impl::OnLimitChanged(const routing::UpstreamLimit& aLimit)
{
  constexpr double kMillis = 1000;
  this->log.Write(
    Event::kUpstreamLimited,
    { { "upstream", aLimit.upstream.value },
      { "per_1000_s", aLimit.perSecond ? static_cast<std::int64_t>(std::llround(
                                           *aLimit.perSecond * kMillis))
                                       : kNoLimit } });
}

// Hosts that are connected and heard get every report. Where the hosts are
// divided into cells, the hubs stand for those that this host does not hear.
void Gateway::Impl::UpdateReach()
{
  constexpr milliseconds kMaxSilence{ 1500 };
  const TimePoint now = BootTime();
  std::set<state::HostId> known = this->topology.Cells().Members();
  std::ranges::copy(this->topology.Hubs(), std::inserter(known, known.end()));
  known.insert(this->self.host);
  const auto heard =
    std::ranges::count_if(known, [&](const state::HostId& aHost) {
      return aHost == this->self.host ||
             (this->connectedPeers.contains(aHost.value) &&
              now - this->peers.LastHeardAt(aHost) <= kMaxSilence);
    });
  const bool areKnown = this->replication->Find(kHostTable).version > 0;
  this->dispatcher->Suspects().SetReach(static_cast<std::size_t>(heard),
                                        areKnown ? known.size() : 0);
}

} // namespace kumquat::node
