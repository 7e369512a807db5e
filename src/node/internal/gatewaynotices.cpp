// The part of a gateway that exchanges notices with peers: what a host has
// learned from an upstream, and all hosts have to know at once.
//
// A notice goes to all connected peers before the caller gets its response, as
// the caller may come back at any of them. Where the hosts are divided into
// cells, hubs forward it to the hosts that are assigned to them. A host that
// has just connected gets all that is known.

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

// When many hosts have something to tell at once, it goes into one frame.
constexpr milliseconds kForwardDelay{ 3 };
constexpr double kKilo = 1000;
// Logged for an upstream that names no limit any more.
constexpr std::int64_t kNoLimit = -1;

std::int32_t AgeMs(TimePoint aTime)
{
  return static_cast<std::int32_t>(
    std::chrono::duration_cast<milliseconds>(BootTime() - aTime).count());
}

TimePoint TimeFromAge(std::int32_t aAgeMs)
{
  return BootTime() - milliseconds(std::max(0, aAgeMs));
}

protocol::CrashReport ToWire(const routing::CrashReport& aReport)
{
  protocol::CrashReport report;
  report.__set_key(static_cast<std::int64_t>(aReport.request.key));
  report.__set_hashHigh(static_cast<std::int64_t>(aReport.request.high));
  report.__set_hashLow(static_cast<std::int64_t>(aReport.request.low));
  for (const routing::UpstreamEnd& one : aReport.ends) {
    protocol::UpstreamEnd end;
    end.__set_upstream(one.upstream.value);
    end.__set_agoMs(AgeMs(one.at));
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
  std::ranges::transform(
    aReport.ends, std::back_inserter(report.ends),
    [](const protocol::UpstreamEnd& aEnd) {
      return routing::UpstreamEnd{ { aEnd.upstream }, TimeFromAge(aEnd.agoMs) };
    });
  return report;
}

protocol::UpstreamLimit ToWire(const routing::UpstreamLimit& aLimit)
{
  protocol::UpstreamLimit limit;
  limit.__set_upstream(aLimit.upstream.value);
  if (aLimit.perSecond) {
    limit.__set_perKilosecond(std::llround(*aLimit.perSecond * kKilo));
  }
  limit.__set_saidAgoMs(AgeMs(aLimit.saidAt));
  return limit;
}

routing::UpstreamLimit FromWire(const protocol::UpstreamLimit& aLimit)
{
  routing::UpstreamLimit limit{ { aLimit.upstream },
                                {},
                                TimeFromAge(aLimit.saidAgoMs) };
  if (aLimit.__isset.perKilosecond) {
    limit.perSecond =
      static_cast<double>(std::max<std::int64_t>(0, aLimit.perKilosecond)) /
      kKilo;
  }
  return limit;
}

std::int32_t ToMs(Duration aDuration)
{
  return static_cast<std::int32_t>(
    std::chrono::ceil<milliseconds>(aDuration).count());
}

protocol::UpstreamRest ToWire(const routing::UpstreamRest& aRest)
{
  protocol::UpstreamRest rest;
  rest.__set_upstream(aRest.upstream.value);
  rest.__set_host(aRest.host.value);
  rest.__set_lengthMs(ToMs(aRest.length));
  rest.__set_leftMs(ToMs(aRest.left));
  return rest;
}

routing::UpstreamRest FromWire(const protocol::UpstreamRest& aRest)
{
  return { { aRest.upstream },
           { aRest.host },
           milliseconds(std::max(0, aRest.lengthMs)),
           milliseconds(std::max(0, aRest.leftMs)) };
}

protocol::UpstreamLeaving LeavingToWire(const state::UpstreamId& aId,
                                        std::int64_t aStartedMs)
{
  protocol::UpstreamLeaving leaving;
  leaving.__set_upstream(aId.value);
  leaving.__set_startedMs(aStartedMs);
  return leaving;
}

template<typename To, typename From>
std::vector<To> ToWire(const std::vector<From>& aItems)
{
  std::vector<To> converted;
  std::ranges::transform(aItems, std::back_inserter(converted),
                         [](const From& aItem) { return ToWire(aItem); });
  return converted;
}

protocol::Frame MakeFrame(const protocol::Notices& aNotices)
{
  protocol::Frame frame;
  frame.__set_notices(aNotices);
  return frame;
}

} // namespace

protocol::Notices Gateway::Impl::MakeNotices() const
{
  protocol::Notices notices;
  notices.__set_key(
    static_cast<std::int64_t>(this->dispatcher->Suspects().Key()));
  return notices;
}

void Gateway::Impl::SendNotices(protocol::Notices aNotices)
{
  aNotices.__set_forward(this->topology.Cells().IsDivided());
  this->peerNetwork->SendToAll(
    { this->connectedPeers.begin(), this->connectedPeers.end() },
    MakeFrame(aNotices));
}

void Gateway::Impl::SendCrashReports(
  const std::vector<routing::CrashReport>& aReports)
{
  protocol::Notices notices = this->MakeNotices();
  notices.__set_crashes(ToWire<protocol::CrashReport>(aReports));
  this->SendNotices(std::move(notices));
}

// The key goes out even without reports, so that hosts use the same one before
// they need it.
void Gateway::Impl::SendAllNotices(const std::string& aPeer)
{
  protocol::Notices notices = this->MakeNotices();
  notices.__set_crashes(
    ToWire<protocol::CrashReport>(this->dispatcher->Suspects().AllReports()));
  notices.__set_limits(ToWire<protocol::UpstreamLimit>(
    this->dispatcher->Signals().Limits().All()));
  for (const auto& [id, startedMs] : this->upstreams.MarkedLeaving()) {
    notices.leaving.push_back(LeavingToWire(id, startedMs));
  }
  notices.__isset.leaving = true;
  static_cast<void>(this->peerNetwork->Send(aPeer, MakeFrame(notices)));
}

void Gateway::Impl::OnNotices(const protocol::Notices& aNotices)
{
  routing::CrashSuspects& suspects = this->dispatcher->Suspects();
  suspects.OnPeerKey(static_cast<std::uint64_t>(aNotices.key));
  for (const protocol::CrashReport& report : aNotices.crashes) {
    suspects.OnReport(FromWire(report));
  }
  for (const protocol::UpstreamLimit& limit : aNotices.limits) {
    this->dispatcher->Signals().Limits().OnReport(FromWire(limit));
  }
  for (const protocol::UpstreamRest& rest : aNotices.rests) {
    this->OnPeerRest(FromWire(rest));
  }
  bool isAnyLeaving = false;
  for (const protocol::UpstreamLeaving& one : aNotices.leaving) {
    isAnyLeaving |=
      this->upstreams.MarkLeaving({ one.upstream }, one.startedMs, BootTime());
  }
  if (isAnyLeaving) {
    this->OnUsableUpstreamsChanged();
  }
  if (aNotices.forward && this->topology.IsHub(this->self.host)) {
    this->ScheduleForwarding(aNotices);
  }
}

void Gateway::Impl::ScheduleForwarding(const protocol::Notices& aNotices)
{
  std::ranges::copy(aNotices.crashes,
                    std::back_inserter(this->noticesToForward.crashes));
  std::ranges::copy(aNotices.limits,
                    std::back_inserter(this->noticesToForward.limits));
  std::ranges::copy(aNotices.rests,
                    std::back_inserter(this->noticesToForward.rests));
  std::ranges::copy(aNotices.leaving,
                    std::back_inserter(this->noticesToForward.leaving));
  if (std::exchange(this->isForwardingScheduled, true)) {
    return;
  }
  this->forwardTimer.expires_after(kForwardDelay);
  this->forwardTimer.async_wait(
    [this](const boost::system::error_code& aError) {
      if (!aError) {
        this->ForwardNotices();
      }
    });
}

void Gateway::Impl::ForwardNotices()
{
  this->isForwardingScheduled = false;
  protocol::Notices notices =
    std::exchange(this->noticesToForward, protocol::Notices{});
  notices.__set_key(this->MakeNotices().key);
  this->peerNetwork->SendToAll(
    this->topology.ChangeRecipients(this->connectedPeers), MakeFrame(notices));
}

void Gateway::Impl::OnLimitChanged(const routing::UpstreamLimit& aLimit)
{
  this->log.Write(
    Event::kUpstreamLimited,
    { { "upstream", aLimit.upstream.value },
      { "per_1000_s", aLimit.perSecond ? static_cast<std::int64_t>(std::llround(
                                           *aLimit.perSecond * kKilo))
                                       : kNoLimit } });
  protocol::Notices notices = this->MakeNotices();
  notices.__set_limits({ ToWire(aLimit) });
  this->SendNotices(std::move(notices));
}

void Gateway::Impl::OnPaceChanged(const routing::PaceNotice& aNotice)
{
  const routing::PaceChange change = aNotice.change.change;
  const Event event =
    change == routing::PaceChange::kSet   ? Event::kUpstreamPaced
    : change == routing::PaceChange::kCut ? Event::kUpstreamPaceCut
                                          : Event::kUpstreamPaceEnded;
  this->log.Write(
    event, { { "upstream", aNotice.upstream.value },
             { "start", routing::PaceStartName(aNotice.start) },
             { "why", routing::PaceReasonName(aNotice.change.reason) },
             { "per_1000_s", static_cast<std::int64_t>(
                               std::llround(aNotice.perSecond * kKilo)) },
             { "slots", std::int64_t{ aNotice.slots } } });
}

// All hosts are told, as the keys of the upstream may be assigned by any, and
// the store may be silent.
void Gateway::Impl::OnSaidLeaving(const state::UpstreamId& aId,
                                  std::int64_t aStartedMs)
{
  this->log.Write(Event::kUpstreamSaysLeaving, { { "upstream", aId.value } });
  protocol::Notices notices = this->MakeNotices();
  notices.__set_leaving({ LeavingToWire(aId, aStartedMs) });
  this->SendNotices(std::move(notices));
  // The dispatcher is in the middle of a response.
  this->serving.Hand([this] { this->OnUsableUpstreamsChanged(); });
}

// The upstream sees the host that connects to it. So where connections go
// through peers, a rest holds for the hosts at both ends of them, and all peers
// are told, as this host does not choose which of them relays. Else only the
// hosts that assign the upstream's keys are told.
void Gateway::Impl::OnRest(const routing::UpstreamRest& aRest)
{
  this->log.Write(Event::kUpstreamResting,
                  { { "upstream", aRest.upstream.value },
                    { "rest_ms", std::int64_t{ ToMs(aRest.length) } } });
  this->restsAsked.Add();
  const routing::UpstreamState* one = this->upstreams.Find(aRest.upstream);
  if (one == nullptr) {
    return;
  }
  protocol::Notices notices = this->MakeNotices();
  notices.__set_rests({ ToWire(aRest) });
  const bool isRelaying = this->relayServer && this->relayServer->Relays() > 0;
  if (isRelaying || this->SharesLinksTo(one->entry)) {
    this->SendNotices(std::move(notices));
    return;
  }
  const routing::Service* service =
    this->routes->FindService(one->entry.service);
  if (service == nullptr || !service->keyed) {
    return;
  }
  for (const state::HostId& assigner : this->keyedServices->Assigners()) {
    if (assigner != this->self.host) {
      static_cast<void>(
        this->peerNetwork->Send(assigner.value, MakeFrame(notices)));
    }
  }
}

void Gateway::Impl::OnPeerRest(const routing::UpstreamRest& aRest)
{
  const routing::UpstreamState* one = this->upstreams.Find(aRest.upstream);
  if (one == nullptr || aRest.host == this->self.host) {
    return;
  }
  this->dispatcher->Signals().Rests().OnPeerRest(aRest);
  if (this->SharesLinksTo(one->entry)) {
    this->dispatcher->OnSharedRest(aRest);
  }
}

bool Gateway::Impl::SharesLinksTo(const routing::UpstreamEntry& aUpstream) const
{
  return this->paths.IsRelayed(aUpstream.address) ||
         (this->relayServer &&
          this->relayServer->HasRelayTo(aUpstream.address));
}

// Hosts that are connected and heard get every report. Where the hosts are
// divided into cells, the hubs stand for those that this host does not hear.
void Gateway::Impl::UpdateReach()
{
  std::size_t known = 1;
  std::size_t heard = 1;
  const auto count = [&](const state::HostId& aHost) {
    known += aHost == this->self.host ? 0 : 1;
    heard += this->IsHeard(aHost) ? 1 : 0;
  };
  const std::set<state::HostId>& members = this->topology.Cells().Members();
  std::ranges::for_each(members, count);
  for (const state::HostId& hub : this->topology.Hubs()) {
    if (!members.contains(hub)) {
      count(hub);
    }
  }
  const bool areKnown = this->replication->Find(kHostTable).version > 0;
  this->dispatcher->Suspects().SetReach(heard, areKnown ? known : 0);
}

} // namespace kumquat::node
