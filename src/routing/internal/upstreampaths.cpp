// State of the links to upstreams, from the outcome of connections.

#include "routing/upstreampaths.h"

#include <algorithm>
#include <utility>

namespace kumquat::routing {

using std::chrono::milliseconds;
using transport::DialOutcome;
using transport::DialPlan;

namespace {

// Upstreams accept a connection within a few milliseconds.
constexpr milliseconds kRelayDelay{ 150 };
// The same while several links are in doubt.
constexpr milliseconds kRelayDelayInDoubt{ 15 };
constexpr milliseconds kDoubtTime{ 3000 };
// Two addresses that go silent within this time may have one cause.
constexpr milliseconds kSameCauseTime{ 2000 };
// Interval of direct attempts while an upstream is reached through peers.
constexpr milliseconds kProbeInterval{ 500 };
// An address is in use for so long after its last connection or response.
constexpr milliseconds kInUseTime{ 10'000 };
// Fewer may be upstreams that have crashed.
constexpr std::size_t kMinLinksDown = 3;

} // namespace

UpstreamPaths::UpstreamPaths(Clock aClock)
  : clock(std::move(aClock))
{
}

bool UpstreamPaths::AreLinksInDoubt() const
{
  return this->relayedCount > 0 ||
         (this->inDoubtAt != TimePoint{} &&
          this->clock() - this->inDoubtAt < kDoubtTime);
}

DialPlan UpstreamPaths::PlanFor(const std::string& aAddress)
{
  Path& path = this->paths[aAddress];
  path.usedAt = this->clock();
  if (path.isRelayed) {
    return { this->TakeProbe(aAddress), milliseconds(0) };
  }
  path.triedDirectlyAt = path.usedAt;
  return { true, this->AreLinksInDoubt() ? kRelayDelayInDoubt : kRelayDelay };
}

void UpstreamPaths::OnOutcome(const std::string& aAddress, DialOutcome aOutcome,
                              TimePoint aSince)
{
  Path& path = this->paths[aAddress];
  path.usedAt = this->clock();
  switch (aOutcome) {
    case DialOutcome::kDirect:
      path.isDirectDown = false;
      this->SetRelayed(path, false);
      return;
    case DialOutcome::kDirectSilent:
      path.isDirectDown = true;
      this->OnSilence(path, aAddress, aSince);
      return;
    case DialOutcome::kDirectRefused:
      path.isDirectDown = true;
      return;
    case DialOutcome::kRelayed:
      this->SetRelayed(path, true);
      return;
  }
}

void UpstreamPaths::OnSilence(Path& aPath, const std::string& aAddress,
                              TimePoint aSince)
{
  const TimePoint now = this->clock();
  aPath.silentSince = std::max(aPath.silentSince, aSince);
  const bool isSecond = !this->lastSilent.empty() &&
                        this->lastSilent != aAddress &&
                        now - this->lastSilentAt < kSameCauseTime;
  if (isSecond) {
    this->allSilentSince = std::max(this->allSilentSince, aSince);
    this->inDoubtAt = now;
  }
  this->lastSilent = aAddress;
  this->lastSilentAt = now;
}

void UpstreamPaths::SetRelayed(Path& aPath, bool aIsRelayed)
{
  if (aPath.isRelayed == aIsRelayed) {
    return;
  }
  aPath.isRelayed = aIsRelayed;
  if (aIsRelayed) {
    ++this->relayedCount;
  } else {
    --this->relayedCount;
  }
}

bool UpstreamPaths::MayReuse(const std::string& aAddress, bool aIsRelayed,
                             TimePoint aHeardAt)
{
  Path& path = this->paths[aAddress];
  path.usedAt = this->clock();
  return aIsRelayed
           ? path.isRelayed
           : aHeardAt >= path.silentSince && aHeardAt >= this->allSilentSince;
}

bool UpstreamPaths::TakeProbe(const std::string& aAddress)
{
  const TimePoint now = this->clock();
  const auto found = this->paths.find(aAddress);
  if (found == this->paths.end() || !found->second.isRelayed ||
      now - found->second.triedDirectlyAt < kProbeInterval) {
    return false;
  }
  found->second.triedDirectlyAt = now;
  return true;
}

bool UpstreamPaths::IsRelayed(const std::string& aAddress) const
{
  const auto found = this->paths.find(aAddress);
  return found != this->paths.end() && found->second.isRelayed;
}

bool UpstreamPaths::IsCutOff() const
{
  const auto down = static_cast<std::size_t>(
    std::ranges::count_if(this->paths, [](const auto& aItem) {
      return aItem.second.isDirectDown || aItem.second.isRelayed;
    }));
  return down >= kMinLinksDown && 2 * down >= this->paths.size();
}

void UpstreamPaths::RemoveOld()
{
  const TimePoint now = this->clock();
  std::erase_if(this->paths, [&](const auto& aItem) {
    const Path& path = aItem.second;
    const bool isOld = now - path.usedAt >= kInUseTime;
    if (isOld && path.isRelayed) {
      --this->relayedCount;
    }
    return isOld;
  });
}

} // namespace kumquat::routing
