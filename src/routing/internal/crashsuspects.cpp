// The requests under which upstreams have ended.

#include "routing/crashsuspects.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::routing {

using std::chrono::milliseconds;

namespace {

constexpr std::chrono::minutes kMemoryTime{ 10 };
// Each end beyond the limit doubles it.
constexpr std::chrono::seconds kQuarantine{ 60 };
constexpr std::size_t kMaxDoublings = 4;
// An upstream needs longer than this to start again, so two reports of it
// within this time are of one end.
constexpr milliseconds kSameEnd{ 900 };
constexpr std::size_t kMaxRemembered = 8;
constexpr std::size_t kMaxSuspects = 4096;

} // namespace

CrashSuspects::CrashSuspects(state::HostId aSelf, Clock aClock,
                             std::uint64_t aKey)
  : self(std::move(aSelf))
  , clock(std::move(aClock))
  , key(aKey)
  , hosts{ this->self }
{
}

void CrashSuspects::SetHosts(std::vector<state::HostId> aHosts)
{
  this->hosts = std::move(aHosts);
}

void CrashSuspects::SetReach(std::size_t aHeard, std::size_t aKnown)
{
  this->heardHosts = aHeard;
  this->knownHosts = aKnown;
}

// Hosts that are not heard may have sent the request too. A group with more
// than half of the hosts and one other group, or three groups without a
// majority, together stay within kMaxEnds.
std::size_t CrashSuspects::Limit() const
{
  if (this->knownHosts == 0) {
    return 1;
  }
  if (this->heardHosts >= this->knownHosts) {
    return kMaxEnds;
  }
  return 2 * this->heardHosts > this->knownHosts ? kMaxEnds - 1 : 1;
}

std::vector<RequestFingerprint> CrashSuspects::FindAll(
  const ContentHash& aContent) const
{
  std::vector<RequestFingerprint> found;
  for (const auto& [oneKey, count] : this->keysInUse) {
    const RequestFingerprint request = FingerprintOf(aContent, oneKey);
    if (this->suspects.contains(request)) {
      found.push_back(request);
    }
  }
  return found;
}

TimePoint CrashSuspects::QuarantineEnd(const ContentHash& aContent) const
{
  TimePoint start;
  std::size_t ends = 0;
  for (const RequestFingerprint& request : this->FindAll(aContent)) {
    const Suspect& suspect = this->suspects.at(request);
    start = std::max({ start, LastEndAt(suspect), suspect.trialAt });
    ends += suspect.ends.size();
  }
  const std::size_t limit = this->Limit();
  if (ends < limit) {
    return {};
  }
  const std::size_t doublings = std::min(ends - limit, kMaxDoublings);
  return start + kQuarantine * (std::int64_t{ 1 } << doublings);
}

bool CrashSuspects::MakesTrials(const ContentHash& aContent) const
{
  return RendezvousRank(this->self.value, this->hosts,
                        LogText(this->NameOf(aContent))) == 0;
}

bool CrashSuspects::MaySend(const ContentHash& aContent) const
{
  if (this->suspects.empty()) {
    return true;
  }
  const TimePoint end = this->QuarantineEnd(aContent);
  return end == TimePoint{} ||
         (this->clock() >= end && this->MakesTrials(aContent));
}

milliseconds CrashSuspects::QuarantineLeft(const ContentHash& aContent) const
{
  const Duration left = this->QuarantineEnd(aContent) - this->clock();
  // Once it is over, the one host that may send the request has to succeed.
  constexpr milliseconds kShortest{ 1000 };
  return std::max(kShortest, std::chrono::ceil<milliseconds>(left));
}

bool CrashSuspects::OnSent(const ContentHash& aContent)
{
  if (this->QuarantineEnd(aContent) == TimePoint{}) {
    return false;
  }
  for (const RequestFingerprint& request : this->FindAll(aContent)) {
    this->suspects.at(request).trialAt = this->clock();
  }
  return true;
}

void CrashSuspects::OnEnded(const ContentHash& aContent,
                            const state::UpstreamId& aUpstream)
{
  const RequestFingerprint request = this->NameOf(aContent);
  this->AddEnd(request, { aUpstream, this->clock() });
  this->suspects.at(request).isToBeTold = true;
}

std::vector<CrashReport> CrashSuspects::OnServed(const ContentHash& aContent)
{
  std::vector<CrashReport> reports;
  for (const RequestFingerprint& request : this->FindAll(aContent)) {
    if (this->suspects.at(request).isKnownToPeers) {
      reports.push_back({ request, {} });
    }
    this->Erase(request);
  }
  return reports;
}

std::vector<CrashReport> CrashSuspects::TakeReports(const ContentHash& aContent)
{
  std::vector<CrashReport> reports;
  for (const RequestFingerprint& request : this->FindAll(aContent)) {
    Suspect& suspect = this->suspects.at(request);
    if (suspect.isToBeTold) {
      suspect.isToBeTold = false;
      suspect.isKnownToPeers = true;
      reports.push_back({ request, suspect.ends });
    }
  }
  return reports;
}

std::vector<CrashReport> CrashSuspects::AllReports() const
{
  std::vector<CrashReport> reports;
  std::ranges::transform(this->suspects, std::back_inserter(reports),
                         [](const auto& aItem) {
                           return CrashReport{ aItem.first, aItem.second.ends };
                         });
  return reports;
}

void CrashSuspects::OnReport(const CrashReport& aReport)
{
  this->OnPeerKey(aReport.request.key);
  if (aReport.ends.empty()) {
    this->Erase(aReport.request);
    return;
  }
  for (const UpstreamEnd& end : aReport.ends) {
    this->AddEnd(aReport.request, end);
  }
  this->suspects.at(aReport.request).isKnownToPeers = true;
}

TimePoint CrashSuspects::LastEndAt(const Suspect& aSuspect)
{
  return std::ranges::max(aSuspect.ends, {}, &UpstreamEnd::at).at;
}

void CrashSuspects::AddEnd(const RequestFingerprint& aRequest,
                           const UpstreamEnd& aEnd)
{
  if (!this->suspects.contains(aRequest)) {
    this->MakeRoom();
    ++this->keysInUse[aRequest.key];
  }
  std::vector<UpstreamEnd>& ends = this->suspects[aRequest].ends;
  const bool isKnown =
    std::ranges::any_of(ends, [&aEnd](const UpstreamEnd& aOther) {
      return aOther.upstream == aEnd.upstream &&
             std::chrono::abs(aOther.at - aEnd.at) < kSameEnd;
    });
  if (isKnown) {
    return;
  }
  ends.push_back(aEnd);
  if (ends.size() > kMaxRemembered) {
    ends.erase(std::ranges::min_element(ends, {}, &UpstreamEnd::at));
  }
}

void CrashSuspects::MakeRoom()
{
  if (this->suspects.size() < kMaxSuspects) {
    return;
  }
  const auto oldest =
    std::ranges::min_element(this->suspects, {}, [](const auto& aItem) {
      return LastEndAt(aItem.second);
    });
  this->Erase(RequestFingerprint(oldest->first));
}

void CrashSuspects::Erase(const RequestFingerprint& aRequest)
{
  if (this->suspects.erase(aRequest) == 0) {
    return;
  }
  const auto count = this->keysInUse.find(aRequest.key);
  if (--count->second == 0) {
    this->keysInUse.erase(count);
  }
}

void CrashSuspects::RemoveOld()
{
  const TimePoint now = this->clock();
  std::vector<RequestFingerprint> old;
  for (const auto& [request, suspect] : this->suspects) {
    if (now - LastEndAt(suspect) >= kMemoryTime) {
      old.push_back(request);
    }
  }
  for (const RequestFingerprint& request : old) {
    this->Erase(request);
  }
}

} // namespace kumquat::routing
