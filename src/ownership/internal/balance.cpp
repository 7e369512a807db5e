// Choice of the keys that move.

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

// Beyond BalanceQuestion::overload, a standard deviation of what chance alone
// brings.
constexpr double kChanceDeviations = 1.0;
// Moves in one plan, and of how many holders one more may be relieved or filled
// by it. Each costs a hand-over of about a request's time. A third of the
// requests of 137 upstreams, on two hundred keys side by side, has to go from
// two upstreams to some fifty; four a plan took the whole time that it lasted.
constexpr std::size_t kMostMoves = 4;
constexpr std::size_t kHoldersPerMove = 4;
// A key that alone is too much for any goes on to another only where that one
// is faster by this much: capacities are learnt from answers and differ by a
// fifth from one second to the next.
constexpr double kWorthMoving = 0.8;
// One without any keys gets this part of its share to start with.
constexpr double kFirstShare = 0.6;

struct Load
{
  const BalanceHolder* holder = nullptr;
  double requests = 0;
  std::size_t keys = 0;

  double Relative() const { return this->requests / this->holder->capacity; }
};

std::span<const Key> RequestsIn(const std::vector<Key>& aRequests, Key aFirst,
                                Key aLast)
{
  const auto begin = std::ranges::lower_bound(aRequests, aFirst);
  const auto end = std::ranges::upper_bound(aRequests, aLast);
  return { begin, end };
}

struct Cut
{
  Key first = 0;
  Key last = 0;
  std::size_t requests = 0;

  int Width() const { return this->last - this->first; }
};

// The narrowest run of keys of a range that got aWanted requests or more.
std::optional<Cut> NarrowestCut(const AssignedRange& aRange,
                                std::span<const Key> aRequests,
                                std::size_t aWanted)
{
  std::optional<Cut> best;
  for (std::size_t i = 0; i + aWanted <= aRequests.size(); ++i) {
    const Key first = aRequests[i];
    const Key last = aRequests[i + aWanted - 1];
    if (!best || last - first < best->Width()) {
      best = Cut{ first, last, 0 };
    }
  }
  if (best) {
    // What lies between two runs of requests goes with the run, as far as the
    // range's own end, or the rest would be a sliver.
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

class Planner
{
public:
  explicit Planner(const BalanceInput& aQuestion)
    : question(aQuestion)
    , ranges(aQuestion.ranges)
  {
    for (const BalanceHolder& holder : aQuestion.holders) {
      this->loads.push_back({ &holder, 0, 0 });
      this->capacity += holder.capacity;
    }
    for (const AssignedRange& range : this->ranges) {
      if (Load* load = this->LoadOf(range.holder)) {
        load->requests += static_cast<double>(this->CountIn(range));
        ++load->keys;
      }
    }
  }

  std::vector<BalanceMove> Plan()
  {
    const std::size_t most =
      std::max(kMostMoves, this->loads.size() / kHoldersPerMove);
    while (this->moves.size() < most && this->Step()) {
    }
    return std::move(this->moves);
  }

private:
  std::size_t CountIn(const AssignedRange& aRange) const
  {
    return RequestsIn(this->question.requests, aRange.first, aRange.last)
      .size();
  }

  Load* LoadOf(const Holder& aHolder)
  {
    const auto found =
      std::ranges::find_if(this->loads, [&aHolder](const Load& aLoad) {
        return aLoad.holder->holder == aHolder;
      });
    return found == this->loads.end() ? nullptr : &*found;
  }

  double ShareOf(const Load& aLoad) const
  {
    const double all = std::accumulate(
      this->loads.begin(), this->loads.end(), 0.0,
      [](double aSum, const Load& aOne) { return aSum + aOne.requests; });
    return all * aLoad.holder->capacity / this->capacity;
  }

  bool IsOverloaded(const Load& aLoad) const
  {
    const double share = this->ShareOf(aLoad);
    return aLoad.requests > this->question.overloadFactor * share +
                              kChanceDeviations * std::sqrt(share + 1);
  }

  bool Step()
  {
    if (this->loads.size() < 2) {
      return false;
    }
    std::vector<Load*> busiest;
    std::ranges::transform(this->loads, std::back_inserter(busiest),
                           [](Load& aLoad) { return &aLoad; });
    std::ranges::sort(busiest, std::greater{}, &Load::Relative);
    const auto newcomer =
      std::ranges::find_if(this->loads, [](const Load& aLoad) {
        return aLoad.keys == 0 && aLoad.holder->mayReceiveKeys;
      });
    if (newcomer != this->loads.end()) {
      return this->Settle(*newcomer, *busiest.front());
    }
    const auto idlest =
      std::ranges::find_if(busiest.rbegin(), busiest.rend(), [](Load* aLoad) {
        return aLoad->holder->mayReceiveKeys;
      });
    if (idlest == busiest.rend()) {
      return false;
    }
    // The busiest may have nothing more to give: its requests are for one key.
    return std::ranges::any_of(busiest, [&](Load* aLoad) {
      return aLoad != *idlest && this->IsOverloaded(*aLoad) &&
             this->Relieve(*aLoad, **idlest);
    });
  }

  bool Relieve(Load& aBusy, Load& aIdle)
  {
    const double over = aBusy.requests - this->ShareOf(aBusy);
    const double room = this->ShareOf(aIdle) - aIdle.requests;
    return this->Move(aBusy, aIdle, std::min(over, room));
  }

  // A newcomer gets keys even where nobody is overloaded, or it would idle.
  bool Settle(Load& aNewcomer, Load& aBusiest)
  {
    if (aBusiest.requests < 2) {
      return this->HalveWidest(aNewcomer);
    }
    const double wanted =
      std::min(kFirstShare * this->ShareOf(aNewcomer), aBusiest.requests / 2);
    return this->Move(aBusiest, aNewcomer, wanted);
  }

  bool HalveWidest(Load& aNewcomer)
  {
    const auto widest = std::ranges::max_element(
      this->ranges, {},
      [](const AssignedRange& aRange) { return aRange.last - aRange.first; });
    if (widest == this->ranges.end() || widest->last == widest->first) {
      return false;
    }
    const Cut half{ static_cast<Key>(widest->first +
                                     (widest->last - widest->first) / 2 + 1),
                    widest->last, 0 };
    this->Apply(half, aNewcomer);
    return true;
  }

  // Whether the receiver would be clearly better off with so many requests more
  // than the giver is now. One key can carry more than was wanted.
  static bool MayTake(const Load& aFrom, const Load& aTo, std::size_t aRequests)
  {
    return (aTo.requests + static_cast<double>(aRequests)) /
             aTo.holder->capacity <
           kWorthMoving * aFrom.Relative();
  }

  // The parts of a range between keys that alone are too much to move. Where
  // one key gets more than any upstream can run, the others leave it alone with
  // its owner, or they would be refused with it.
  std::vector<AssignedRange> WithoutHeavyKeys(const AssignedRange& aRange,
                                              const Load& aFrom,
                                              const Load& aTo) const
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
      RequestsIn(this->question.requests, aRange.first, aRange.last);
    for (auto key = inside.begin(); key != inside.end();) {
      const auto next = std::upper_bound(key, inside.end(), *key);
      if (!MayTake(aFrom, aTo, static_cast<std::size_t>(next - key))) {
        add(*key - 1);
        first = *key + 1;
      }
      key = next;
    }
    add(aRange.last);
    return parts;
  }

  bool Move(Load& aFrom, Load& aTo, double aRequests)
  {
    const auto wanted =
      static_cast<std::size_t>(std::max(1.0, std::round(aRequests)));
    std::optional<Cut> best;
    for (const AssignedRange& range : this->ranges) {
      if (range.holder != aFrom.holder->holder) {
        continue;
      }
      for (const AssignedRange& part :
           this->WithoutHeavyKeys(range, aFrom, aTo)) {
        const auto inside =
          RequestsIn(this->question.requests, part.first, part.last);
        const auto cut =
          NarrowestCut(part, inside, std::min(wanted, inside.size()));
        if (cut && (!best || cut->requests > best->requests ||
                    (cut->requests == best->requests &&
                     cut->Width() < best->Width()))) {
          best = cut;
        }
      }
    }
    if (!best || best->requests == 0 || !MayTake(aFrom, aTo, best->requests)) {
      return false;
    }
    aFrom.requests -= static_cast<double>(best->requests);
    aTo.requests += static_cast<double>(best->requests);
    this->Apply(*best, aTo);
    return true;
  }

  void Apply(const Cut& aCut, Load& aTo)
  {
    ++aTo.keys;
    this->moves.push_back({ aCut.first, aCut.last, aTo.holder->holder });
    Assignment cut{ 1, this->ranges };
    Reassign(cut, aCut.first, aCut.last, aTo.holder->holder);
    this->ranges = std::move(cut.ranges);
  }

  const BalanceInput& question;
  std::vector<AssignedRange> ranges;
  std::vector<Load> loads;
  double capacity = 0;
  std::vector<BalanceMove> moves;
};

} // namespace

std::vector<BalanceMove> PlanMoves(const BalanceInput& aQuestion)
{
  return Planner(aQuestion).Plan();
}

Assignment AssignEvenly(const std::vector<Holder>& aHolders)
{
  Assignment assignment;
  const auto count = static_cast<std::uint32_t>(aHolders.size());
  constexpr std::uint32_t kKeys = std::uint32_t{ kLastKey } + 1;
  for (std::uint32_t i = 0; i < count; ++i) {
    AssignedRange range;
    range.first = static_cast<Key>(kKeys * i / count);
    range.last = static_cast<Key>(kKeys * (i + 1) / count - 1);
    range.holder = aHolders[i];
    range.fencingToken = assignment.nextFencingToken++;
    assignment.ranges.push_back(std::move(range));
  }
  return assignment;
}

} // namespace kumquat::ownership
