// Chooses the keys that move to another upstream.

#include "ownership/balance.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <numeric>
#include <optional>
#include <span>

namespace kumquat::ownership {

namespace {

// A holder is overloaded only if its requests exceed the limit by
// BalanceInput::overloadFactor by another standard deviation of random
// variation.
constexpr double kChanceDeviations = 1.0;
// The same if a move for a small gain is not worth what it costs the callers of
// the moved keys.
constexpr double kCostlyMoveDeviations = 2.0;
// A plan has up to kBaseMaxMoves moves, or one for every kHoldersPerMove
// holders if that is more. Each move costs a hand-over, which takes about as
// long as a request. If a third of the requests of 137 upstreams is for 200
// adjacent keys, these have to move from two upstreams to some fifty. With four
// moves in a plan, this took as long as the hot keys lasted.
constexpr std::size_t kBaseMaxMoves = 4;
constexpr std::size_t kHoldersPerMove = 4;
// Keys move only if the receiver would then have less than this part of the
// giver's load before the move. Otherwise a single key that is too much for any
// upstream would move on and on: capacities are estimated from responses and
// vary by a fifth from one second to the next.
constexpr double kWorthwhileLoadRatio = 0.8;
// A holder without any keys first receives this part of its share of requests.
constexpr double kNewHolderShare = 0.6;

// The requests that a holder receives under the plan so far.
struct HolderLoad
{
  const BalanceHolder* holder = nullptr;
  double requests = 0;
  std::size_t keys = 0;

  double RequestsPerCapacity() const
  {
    return this->requests / this->holder->capacity;
  }
};

// The requests of aRequests, which is sorted, for keys from aFirst to aLast.
std::span<const Key> RequestsIn(const std::vector<Key>& aRequests, Key aFirst,
                                Key aLast)
{
  const auto begin = std::ranges::lower_bound(aRequests, aFirst);
  const auto end = std::ranges::upper_bound(aRequests, aLast);
  return { begin, end };
}

// Adjacent keys of one range, both ends included, and their requests.
struct KeyRun
{
  Key first = 0;
  Key last = 0;
  std::size_t requests = 0;

  int Width() const { return this->last - this->first; }
};

// Returns the narrowest run of keys in aRange that received at least aWanted
// requests. aRequests are the requests in that range.
std::optional<KeyRun> FindNarrowestRun(const AssignedRange& aRange,
                                       std::span<const Key> aRequests,
                                       std::size_t aWanted)
{
  std::optional<KeyRun> best;
  for (std::size_t i = 0; i + aWanted <= aRequests.size(); ++i) {
    const Key first = aRequests[i];
    const Key last = aRequests[i + aWanted - 1];
    if (!best || last - first < best->Width()) {
      best = KeyRun{ first, last, 0 };
    }
  }
  if (best) {
    // If the run begins with the first requested key of the range, or ends with
    // the last one, it extends to that end of the range. Otherwise a narrow
    // range without requests would remain.
    if (best->first == aRequests.front()) {
      best->first = aRange.first;
    }
    if (best->last == aRequests.back()) {
      best->last = aRange.last;
    }
    const auto inside = std::ranges::count_if(aRequests, [&best](Key aKey) {
      return aKey >= best->first && aKey <= best->last;
    });
    best->requests = static_cast<std::size_t>(inside);
  }
  return best;
}

// Makes the moves of one plan, one after the other.
class Planner
{
public:
  explicit Planner(const BalanceInput& aInput)
    : input(aInput)
    , ranges(aInput.ranges)
  {
    for (const BalanceHolder& holder : aInput.holders) {
      this->loads.push_back({ &holder, 0, 0 });
      this->capacity += holder.capacity;
    }
    for (const AssignedRange& range : this->ranges) {
      if (HolderLoad* load = this->LoadOf(range.holder)) {
        load->requests += static_cast<double>(this->CountIn(range));
        ++load->keys;
      }
    }
  }

  std::vector<BalanceMove> Plan()
  {
    const std::size_t maxMoves =
      std::max(kBaseMaxMoves, this->loads.size() / kHoldersPerMove);
    while (this->moves.size() < maxMoves && this->AddMove()) {
    }
    return std::move(this->moves);
  }

private:
  std::size_t CountIn(const AssignedRange& aRange) const
  {
    return RequestsIn(this->input.requests, aRange.first, aRange.last).size();
  }

  HolderLoad* LoadOf(const Holder& aHolder)
  {
    const auto found =
      std::ranges::find_if(this->loads, [&aHolder](const HolderLoad& aLoad) {
        return aLoad.holder->holder == aHolder;
      });
    return found == this->loads.end() ? nullptr : &*found;
  }

  // The requests that fit the holder's part of the total capacity.
  double ShareOf(const HolderLoad& aLoad) const
  {
    const double all = std::accumulate(
      this->loads.begin(), this->loads.end(), 0.0,
      [](double aSum, const HolderLoad& aOne) { return aSum + aOne.requests; });
    return all * aLoad.holder->capacity / this->capacity;
  }

  bool IsOverloaded(const HolderLoad& aLoad) const
  {
    const double share = this->ShareOf(aLoad);
    const double deviations =
      this->input.weighsCosts ? kCostlyMoveDeviations : kChanceDeviations;
    return aLoad.requests > this->input.overloadFactor * share +
                              deviations * std::sqrt(share + 1);
  }

  // Adds one move to the plan. Returns false if there is no worthwhile one.
  bool AddMove()
  {
    if (this->loads.size() < 2) {
      return false;
    }
    std::vector<HolderLoad*> busiest;
    std::ranges::transform(this->loads, std::back_inserter(busiest),
                           [](HolderLoad& aLoad) { return &aLoad; });
    std::ranges::sort(busiest, std::greater{},
                      &HolderLoad::RequestsPerCapacity);
    const auto newHolder =
      std::ranges::find_if(this->loads, [](const HolderLoad& aLoad) {
        return aLoad.keys == 0 && aLoad.holder->mayReceiveKeys;
      });
    if (newHolder != this->loads.end()) {
      return this->AssignToNewHolder(*newHolder, *busiest.front());
    }
    const auto leastLoaded = std::ranges::find_if(
      busiest.rbegin(), busiest.rend(),
      [](HolderLoad* aLoad) { return aLoad->holder->mayReceiveKeys; });
    if (leastLoaded == busiest.rend()) {
      return false;
    }
    // The busiest holder may have nothing to move, as its requests are for one
    // key. Then the next busiest one is tried.
    return std::ranges::any_of(busiest, [&](HolderLoad* aLoad) {
      return aLoad != *leastLoaded && this->IsOverloaded(*aLoad) &&
             this->MoveExcess(*aLoad, **leastLoaded);
    });
  }

  bool MoveExcess(HolderLoad& aBusy, HolderLoad& aIdle)
  {
    const double excess = aBusy.requests - this->ShareOf(aBusy);
    const double spare = this->ShareOf(aIdle) - aIdle.requests;
    return this->MoveRequests(aBusy, aIdle, std::min(excess, spare));
  }

  // Moves keys to a holder without any, even if no holder is overloaded, as it
  // would otherwise stay idle.
  bool AssignToNewHolder(HolderLoad& aNewHolder, HolderLoad& aBusiest)
  {
    if (aBusiest.requests < 2) {
      return this->SplitWidestRange(aNewHolder);
    }
    const double wanted = std::min(kNewHolderShare * this->ShareOf(aNewHolder),
                                   aBusiest.requests / 2);
    return this->MoveRequests(aBusiest, aNewHolder, wanted);
  }

  // Moves the upper half of the widest range to the new holder.
  bool SplitWidestRange(HolderLoad& aNewHolder)
  {
    const auto widest = std::ranges::max_element(
      this->ranges, {},
      [](const AssignedRange& aRange) { return aRange.last - aRange.first; });
    if (widest == this->ranges.end() || widest->last == widest->first) {
      return false;
    }
    const KeyRun upperHalf{
      static_cast<Key>(widest->first + (widest->last - widest->first) / 2 + 1),
      widest->last, 0
    };
    this->ApplyMove(upperHalf, aNewHolder);
    return true;
  }

  // Whether the receiver, with aRequests more, would have clearly less load
  // than the giver has now. One key can carry more requests than were to be
  // moved.
  static bool IsWorthMoving(const HolderLoad& aFrom, const HolderLoad& aTo,
                            std::size_t aRequests)
  {
    return (aTo.requests + static_cast<double>(aRequests)) /
             aTo.holder->capacity <
           kWorthwhileLoadRatio * aFrom.RequestsPerCapacity();
  }

  // Returns the parts of a range between keys that have too many requests to be
  // moved. If one key receives more requests than any upstream can run, the
  // other keys move away from its owner. Otherwise their requests would be
  // refused together with those of the hot key.
  std::vector<AssignedRange> SplitAtHeavyKeys(const AssignedRange& aRange,
                                              const HolderLoad& aFrom,
                                              const HolderLoad& aTo) const
  {
    std::vector<AssignedRange> parts;
    int first = aRange.first;
    const auto add = [&](int aLast) {
      if (first <= aLast) {
        parts.push_back(aRange);
        parts.back().first = static_cast<Key>(first);
        parts.back().last = static_cast<Key>(aLast);
      }
    };
    const auto inside =
      RequestsIn(this->input.requests, aRange.first, aRange.last);
    for (auto key = inside.begin(); key != inside.end();) {
      const auto next = std::upper_bound(key, inside.end(), *key);
      if (!IsWorthMoving(aFrom, aTo, static_cast<std::size_t>(next - key))) {
        add(*key - 1);
        first = *key + 1;
      }
      key = next;
    }
    add(aRange.last);
    return parts;
  }

  // Moves the narrowest run of keys that carries about aRequests requests.
  bool MoveRequests(HolderLoad& aFrom, HolderLoad& aTo, double aRequests)
  {
    const auto wanted =
      static_cast<std::size_t>(std::max(1.0, std::round(aRequests)));
    std::optional<KeyRun> best;
    for (const AssignedRange& range : this->ranges) {
      if (range.holder != aFrom.holder->holder) {
        continue;
      }
      for (const AssignedRange& part :
           this->SplitAtHeavyKeys(range, aFrom, aTo)) {
        const auto inside =
          RequestsIn(this->input.requests, part.first, part.last);
        const auto run =
          FindNarrowestRun(part, inside, std::min(wanted, inside.size()));
        if (run && (!best || run->requests > best->requests ||
                    (run->requests == best->requests &&
                     run->Width() < best->Width()))) {
          best = run;
        }
      }
    }
    if (!best || best->requests == 0 ||
        !IsWorthMoving(aFrom, aTo, best->requests)) {
      return false;
    }
    aFrom.requests -= static_cast<double>(best->requests);
    aTo.requests += static_cast<double>(best->requests);
    this->ApplyMove(*best, aTo);
    return true;
  }

  void ApplyMove(const KeyRun& aRun, HolderLoad& aTo)
  {
    this->moves.push_back(
      { aRun.first, aRun.last, aTo.holder->holder, aTo.keys == 0 });
    ++aTo.keys;
    Assignment planned{ 1, this->ranges };
    Reassign(planned, aRun.first, aRun.last, aTo.holder->holder);
    this->ranges = std::move(planned.ranges);
  }

  const BalanceInput& input;
  std::vector<AssignedRange> ranges;
  std::vector<HolderLoad> loads;
  double capacity = 0;
  std::vector<BalanceMove> moves;
};

} // namespace

std::vector<BalanceMove> PlanMoves(const BalanceInput& aInput)
{
  return Planner(aInput).Plan();
}

Assignment AssignEvenly(std::vector<Holder> aHolders, const KeyPart& aPart)
{
  std::ranges::sort(aHolders, {}, [](const Holder& aHolder) {
    return UpstreamOrder(aHolder.upstream);
  });
  // A part may have more upstreams than keys.
  const std::uint32_t keys = std::uint32_t{ aPart.Last() } - aPart.First() + 1;
  const auto count =
    std::min(keys, static_cast<std::uint32_t>(aHolders.size()));
  Assignment assignment;
  for (std::uint32_t i = 0; i < count; ++i) {
    AssignedRange range;
    range.first = static_cast<Key>(aPart.First() + keys * i / count);
    range.last = static_cast<Key>(aPart.First() + keys * (i + 1) / count - 1);
    range.holder = aHolders[i];
    range.fencingToken = assignment.nextFencingToken++;
    assignment.ranges.push_back(std::move(range));
  }
  return assignment;
}

} // namespace kumquat::ownership
