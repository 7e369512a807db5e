// Expected times, and the choice by them.

#include "routing/placement.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace kumquat::routing {

namespace {

using std::chrono::milliseconds;

// Requests beyond its slots that an upstream may hold: one, so that a slot that
// becomes free has its next request there and need not wait for a message.
constexpr int kRequestsAhead = 1;
// For this long an upstream's reported slowdown is used: other load on its
// machine comes and goes within some hundred milliseconds.
constexpr milliseconds kMaxSlowdownAge{ 300 };
// A request that has run for longer than this many times its service time marks
// its upstream as slow before any response shows it.
constexpr double kOverdueFactor = 2.5;
// How much faster an upstream in another data centre has to be, in
// milliseconds: the round trip, and the charge for the bytes. Users value 50 to
// 150 KB between data centres about as much as one request. So a download stays
// local unless the local upstreams are much slower, while a small request is
// hardly affected.
constexpr double kRemoteMs = 3;
constexpr double kRemoteMsPerKilobyte = 16;
// An upstream of which nothing is known, or nothing recent, is assumed to be
// faster than typical, so that it gets a request and is measured. Assumed to be
// typical, it would get none while faster ones have capacity.
constexpr double kUnknownFactor = 0.7;
// A failure costs the request about another whole attempt.
constexpr double kFailureCost = 2.0;

// What a typical request takes at least where one has run for too long.
double OverdueMs(const UpstreamState& aUpstream, TimePoint aNow, double aOwnMs)
{
  double longest = 0;
  for (const auto& [sent, work] : aUpstream.running) {
    const double ms =
      std::chrono::duration<double, std::milli>(aNow - sent).count();
    longest = std::max(longest, ms / work);
  }
  return longest > kOverdueFactor * aOwnMs ? longest : 0;
}

bool IsProbing(const UpstreamState& aUpstream)
{
  return aUpstream.ejectionTime.count() > 0;
}

} // namespace

double ExpectedMs(const UpstreamState& aUpstream,
                  const PlacementContext& aContext)
{
  double own = EstimatedServiceMs(
    aUpstream, kUnknownFactor * aContext.typicalMs, aContext.now);
  own = std::max(own, OverdueMs(aUpstream, aContext.now, own));
  if (aUpstream.slowdown > 1 &&
      aContext.now - aUpstream.slowdownAt < kMaxSlowdownAge) {
    own *= aUpstream.slowdown;
  }
  const double rounds = RoundsBehind(aUpstream, aUpstream.Outstanding());
  return own * (rounds + (aContext.work - 1.0)) *
         (1.0 + kFailureCost * aUpstream.failureShare);
}

bool HasCapacity(const UpstreamState& aUpstream, TimePoint aNow)
{
  if (aUpstream.ejectedUntil > aNow || aUpstream.fullUntil > aNow) {
    return false;
  }
  if (IsProbing(aUpstream)) {
    return aUpstream.running.empty();
  }
  const int slots =
    std::min(aUpstream.entry.slots,
             aUpstream.pacedSlots.value_or(aUpstream.entry.slots));
  return aUpstream.Outstanding() < slots + kRequestsAhead;
}

const UpstreamState* ChooseUpstream(
  const std::vector<UpstreamState*>& aCandidates,
  const PlacementContext& aContext, const RandomBelow& aRandom)
{
  std::vector<const UpstreamState*> available;
  std::ranges::copy_if(aCandidates, std::back_inserter(available),
                       [&aContext](const UpstreamState* aOne) {
                         return HasCapacity(*aOne, aContext.now) &&
                                std::ranges::find(aContext.tried,
                                                  aOne->entry.id) ==
                                  aContext.tried.end();
                       });
  const auto isLocal = [&aContext](const UpstreamState* aOne) {
    return aOne->entry.dataCentre == aContext.dataCentre;
  };
  // Considers all local upstreams, which are few, and half of the remote ones,
  // at least three: enough to find a fast one, and few enough that hosts with
  // the same view choose differently. Equally good local upstreams are equally
  // likely, or all hosts would choose the same one. When all were drawn alike,
  // the local ones were mostly left out, and two thirds of the bytes went
  // between data centres while upstreams in the callers' own were idle.
  constexpr std::size_t kMinDrawn = 3;
  const auto remote = std::ranges::partition(available, isLocal);
  const std::size_t localCount = available.size() - remote.size();
  const std::size_t drawnCount =
    localCount +
    std::min(remote.size(), std::max(kMinDrawn, (remote.size() + 1) / 2));
  for (std::size_t i = 0; i < drawnCount; ++i) {
    const std::size_t end = i < localCount ? localCount : available.size();
    std::swap(available[i], available[i + aRandom(end - i)]);
  }
  available.resize(drawnCount);
  const UpstreamState* best = nullptr;
  double bestMs = std::numeric_limits<double>::max();
  for (const UpstreamState* one : available) {
    double expected = ExpectedMs(*one, aContext);
    if (!isLocal(one)) {
      expected += kRemoteMs + kRemoteMsPerKilobyte * aContext.bytes / 1000;
    }
    if (expected < bestMs) {
      bestMs = expected;
      best = one;
    }
  }
  return best;
}

} // namespace kumquat::routing
