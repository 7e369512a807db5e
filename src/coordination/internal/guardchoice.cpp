// Takes guards from one data centre after the other, in each the healthy and
// present ones first. Ties are broken by a hash of both names (rendezvous
// hashing), so that the work of guarding is spread over the hosts.

#include "coordination/guardchoice.h"

#include "state/routingmap.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <tuple>
#include <utility>

namespace kumquat::coordination {

namespace {

constexpr std::size_t kManyGuards = 5;
constexpr std::size_t kFewGuards = 3;
// Failure: a data centre is cut off from the other hosts, but not from the
// table. Its hosts replace the guards that they cannot hear by one another,
// keep their leases, and go on owning upstreams that no entry elsewhere can
// reach. Guards from outside, heard or not, stay the majority.
constexpr std::size_t kMostOfOwn = 1;

std::uint64_t PairHash(const std::string& aFirst, const std::string& aSecond)
{
  return state::HashKey(aFirst + "/" + aSecond);
}

struct Place
{
  state::DataCentre dataCentre;
  std::vector<GuardCandidate> candidates;
  // Guards that may come from here.
  std::size_t most = kManyGuards;
};

std::vector<Place> SortIntoPlaces(const state::HostRef& aSelf,
                                  const state::DataCentre& aOwn,
                                  const std::vector<GuardCandidate>& aOthers)
{
  std::map<state::DataCentre, std::vector<GuardCandidate>> byPlace;
  for (const GuardCandidate& other : aOthers) {
    byPlace[other.dataCentre].push_back(other);
  }
  // With three data centres or more the own one comes last: when it is cut
  // off, the majority of the guards stands outside and can release. With two,
  // the own one comes first: losing the other does not take this host along.
  const bool ownLast = byPlace.size() > 2;
  std::vector<Place> places;
  for (auto& [dataCentre, candidates] : byPlace) {
    std::ranges::sort(candidates, {}, [&](const GuardCandidate& aCandidate) {
      return std::tuple(!aCandidate.healthy, !aCandidate.current,
                        PairHash(aSelf.host.value, aCandidate.ref.host.value));
    });
    const bool limited = ownLast && dataCentre == aOwn;
    places.push_back({ dataCentre, std::move(candidates),
                       limited ? kMostOfOwn : kManyGuards });
  }
  std::ranges::sort(places, {}, [&](const Place& aPlace) {
    return std::tuple((aPlace.dataCentre == aOwn) == ownLast,
                      PairHash(aSelf.host.value, aPlace.dataCentre.value));
  });
  return places;
}

std::size_t GuardCount(std::size_t aOthers)
{
  if (aOthers >= kManyGuards) {
    return kManyGuards;
  }
  return aOthers >= kFewGuards ? kFewGuards : aOthers;
}

// One from each place in turn, of those with the wanted health.
void TakeInTurn(const std::vector<Place>& aPlaces, bool aHealthy,
                std::size_t aCount, std::vector<state::HostRef>& aTaken)
{
  const std::size_t longest =
    std::ranges::max(aPlaces, {}, [](const Place& aPlace) {
      return aPlace.candidates.size();
    }).candidates.size();
  for (std::size_t turn = 0; turn < longest; ++turn) {
    for (const Place& place : aPlaces) {
      if (aTaken.size() < aCount && turn < place.candidates.size() &&
          turn < place.most && place.candidates[turn].healthy == aHealthy) {
        aTaken.push_back(place.candidates[turn].ref);
      }
    }
  }
}

} // namespace

std::vector<state::HostRef> ChooseGuards(
  const state::HostRef& aSelf, const state::DataCentre& aDataCentre,
  const std::vector<GuardCandidate>& aOthers)
{
  // Two hosts cannot tell a lost one from a cut connection: each guards
  // itself, and only the platform's list deposes.
  if (aOthers.size() < 2) {
    return { aSelf };
  }
  const std::vector<Place> places = SortIntoPlaces(aSelf, aDataCentre, aOthers);
  const std::size_t count = GuardCount(aOthers.size());
  std::vector<state::HostRef> taken;
  TakeInTurn(places, true, count, taken);
  TakeInTurn(places, false, count, taken);
  // Of three hosts each is its own third guard, so that one loss leaves the
  // others a majority; the two others together can still release it.
  if (aOthers.size() == 2) {
    taken.push_back(aSelf);
  }
  std::ranges::sort(taken);
  return taken;
}

} // namespace kumquat::coordination
