// What is known of the upstreams' rests.

#include "routing/upstreamrests.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace kumquat::routing {

using std::chrono::milliseconds;

namespace {

// Keys are out of service for about as long while they change hands.
constexpr milliseconds kShortRest{ 1000 };
// An upstream whose rest has just ended mostly asks for another one, so keys
// that came back at once would change hands again and again.
constexpr std::chrono::seconds kKeysAway{ 10 };
// An ended rest is kept for so long, for the first request after it.
constexpr std::chrono::seconds kMemoryTime{ 30 };

} // namespace

UpstreamRests::UpstreamRests(Clock aClock)
  : clock(std::move(aClock))
{
}

std::size_t UpstreamRests::Count() const
{
  const TimePoint now = this->clock();
  return static_cast<std::size_t>(std::ranges::count_if(
    this->own, [now](const auto& aItem) { return aItem.second.until > now; }));
}

std::optional<TimePoint> UpstreamRests::EndOf(
  const state::UpstreamId& aId) const
{
  const auto found = this->own.find(aId);
  return found == this->own.end() || found->second.until <= this->clock()
           ? std::nullopt
           : std::optional(found->second.until);
}

bool UpstreamRests::Allows(const state::UpstreamId& aId,
                           std::size_t aRunning) const
{
  const auto found = this->own.find(aId);
  return found == this->own.end() ||
         (found->second.until <= this->clock() && aRunning == 0);
}

bool UpstreamRests::Start(const state::UpstreamId& aId, Duration aLength,
                          Duration aDelay)
{
  const TimePoint now = this->clock();
  const Duration length = std::min<Duration>(aLength, kLongestRest);
  Own& rest = this->own[aId];
  rest.keysUntil = std::max(rest.keysUntil, KeysUntil(length, now + length));
  if (now + length <= rest.until) {
    return false;
  }
  rest.until = now + length + aDelay;
  return true;
}

void UpstreamRests::OnServed(const state::UpstreamId& aId, TimePoint aSentAt)
{
  const auto found = this->own.find(aId);
  if (found != this->own.end() && aSentAt >= found->second.until) {
    this->own.erase(found);
  }
}

void UpstreamRests::OnPeerRest(const UpstreamRest& aRest)
{
  TimePoint& until = this->peers[aRest.upstream][aRest.host];
  until = std::max(until, KeysUntil(aRest.length, this->clock() + aRest.left));
}

TimePoint UpstreamRests::KeysUntil(Duration aLength, TimePoint aEnd)
{
  return aLength > kShortRest ? aEnd + kKeysAway : TimePoint{};
}

std::size_t UpstreamRests::HostsAsked(const state::UpstreamId& aId) const
{
  const TimePoint now = this->clock();
  const auto isSelf = this->own.find(aId);
  std::size_t count =
    isSelf != this->own.end() && isSelf->second.keysUntil > now ? 1 : 0;
  const auto found = this->peers.find(aId);
  if (found != this->peers.end()) {
    count += static_cast<std::size_t>(std::ranges::count_if(
      found->second, [now](const auto& aItem) { return aItem.second > now; }));
  }
  return count;
}

void UpstreamRests::Forget(const state::UpstreamId& aId)
{
  this->own.erase(aId);
  this->peers.erase(aId);
}

void UpstreamRests::RemoveOld()
{
  const TimePoint now = this->clock();
  std::erase_if(this->own, [now](const auto& aItem) {
    return now - std::max(aItem.second.until, aItem.second.keysUntil) >=
           kMemoryTime;
  });
  for (auto& [upstream, hosts] : this->peers) {
    std::erase_if(hosts,
                  [now](const auto& aItem) { return aItem.second <= now; });
  }
  std::erase_if(this->peers,
                [](const auto& aItem) { return aItem.second.empty(); });
}

} // namespace kumquat::routing
