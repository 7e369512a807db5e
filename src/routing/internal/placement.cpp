// Expected times, and the choice among them.

#include "routing/placement.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace kumquat::routing {

namespace {

using std::chrono::milliseconds;

// Requests beyond its slots that an upstream may hold: one, so that a slot that
// falls free finds its next request there and need not wait for a message.
constexpr int kAhead = 1;
// An upstream's word on its own pace is this old at most: neighbours come and
// go within some hundred milliseconds.
constexpr milliseconds kSlowdownHolds{ 300 };
// A request that runs for longer than this many times the usual makes its
// upstream suspect before any answer shows it.
constexpr double kOverdue = 2.5;
// What an upstream in another data centre has to be faster by, in milliseconds:
// the trip there and back, and the price of its bytes, which users put at about
// that of a request's whole worth for 50 to 150 KB. A download thus stays near
// unless the near ones are much slower; a small request hardly minds.
constexpr double kFarMs = 3;
constexpr double kFarMsPerKilobyte = 16;
// An upstream of which nothing is known, or nothing new, is taken to be faster
// than the usual: so it gets a request, and is known. Taken for usual it would
// get none while faster ones have room.
constexpr double kShareWhereUnknown = 0.7;
// A failure costs the request about another whole try.
constexpr double kFailureCost = 2.0;

double OverdueMs(const UpstreamState& aUpstream, TimePoint aNow, double aOwnMs)
{
  if (aUpstream.running.empty()) {
    return 0;
  }
  const double oldest =
    std::chrono::duration<double, std::milli>(aNow - *aUpstream.running.begin())
      .count();
  return oldest > kOverdue * aOwnMs ? oldest : 0;
}

bool IsProbing(const UpstreamState& aUpstream)
{
  return aUpstream.ejectionTime.count() > 0;
}

} // namespace

double ExpectedMs(const UpstreamState& aUpstream,
                  const PlacementContext& aQuestion)
{
  double own = EstimatedServiceMs(
    aUpstream, kShareWhereUnknown * aQuestion.typicalMs, aQuestion.now);
  own = std::max(own, OverdueMs(aUpstream, aQuestion.now, own));
  if (aUpstream.slowdown > 1 &&
      aQuestion.now - aUpstream.slowdownAt < kSlowdownHolds) {
    own *= aUpstream.slowdown;
  }
  const double rounds =
    std::max(1.0, static_cast<double>(aUpstream.Outstanding() + 1) /
                    aUpstream.entry.slots);
  return own * rounds * (1.0 + kFailureCost * aUpstream.failureShare);
}

bool HasCapacity(const UpstreamState& aUpstream, TimePoint aNow)
{
  if (aUpstream.ejectedUntil > aNow || aUpstream.fullUntil > aNow) {
    return false;
  }
  if (IsProbing(aUpstream)) {
    return aUpstream.running.empty();
  }
  return aUpstream.Outstanding() < aUpstream.entry.slots + kAhead;
}

const UpstreamState* ChooseUpstream(
  const std::vector<UpstreamState*>& aCandidates,
  const PlacementContext& aQuestion, const RandomBelow& aRandom)
{
  std::vector<const UpstreamState*> open;
  std::ranges::copy_if(aCandidates, std::back_inserter(open),
                       [&aQuestion](const UpstreamState* aOne) {
                         return HasCapacity(*aOne, aQuestion.now) &&
                                std::ranges::find(aQuestion.tried,
                                                  aOne->entry.id) ==
                                  aQuestion.tried.end();
                       });
  const auto isNear = [&aQuestion](const UpstreamState* aOne) {
    return aOne->entry.dataCentre == aQuestion.dataCentre;
  };
  // All near ones, which are few, and a half of the others, three at least:
  // enough to find a fast one, few enough that hosts with the same view part.
  // Of near ones that are as good each is as likely, or hosts would meet there.
  // A draw of all alike mostly left the near ones out, and two thirds of the
  // bytes went between data centres while upstreams beside their callers idled.
  constexpr std::size_t kLeastDrawn = 3;
  const auto far = std::ranges::partition(open, isNear);
  const std::size_t near = open.size() - far.size();
  const std::size_t drawn =
    near + std::min(far.size(), std::max(kLeastDrawn, (far.size() + 1) / 2));
  for (std::size_t i = 0; i < drawn; ++i) {
    const std::size_t end = i < near ? near : open.size();
    std::swap(open[i], open[i + aRandom(end - i)]);
  }
  open.resize(drawn);
  const UpstreamState* best = nullptr;
  double bestMs = std::numeric_limits<double>::max();
  for (const UpstreamState* one : open) {
    double expected = ExpectedMs(*one, aQuestion);
    if (!isNear(one)) {
      expected += kFarMs + kFarMsPerKilobyte * aQuestion.bytes / 1000;
    }
    if (expected < bestMs) {
      bestMs = expected;
      best = one;
    }
  }
  return best;
}

} // namespace kumquat::routing
