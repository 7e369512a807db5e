// Divides the hosts of a large deployment into cells of some ten, and the
// upstreams among the cells.
//
// The load that this answers: each host tells the others several times a second
// what it has running where. Told to all, that costs every host as much as its
// requests from some forty hosts on: 82 hosts of a tenth of a processor each
// spent their time on it and served 42 of 100 requests. Within a cell it costs
// the same at any size, and a cell knows all that its own upstreams run.
//
// Every host divides alike from the same list, without a word. Where lists
// differ for a while, an upstream is counted by one cell too many or too few:
// requests then wait there a little longer, and nothing else happens.

#pragma once

#include "state/types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace kumquat::routing {

struct CellHost
{
  state::HostId id;
  state::DataCentre dataCentre;
  // That it may use.
  double processors = 1;
};

// A part of all hosts, or of all upstreams of a service, each laid out side by
// side by data centre: 0 is the first one's begin, 1 the last one's end.
struct FractionRange
{
  double begin = 0;
  double end = 1;
};

class Cells
{
public:
  explicit Cells(state::HostId aSelf);

  // All hosts that are known, this one included.
  void SetHosts(std::vector<CellHost> aHosts);

  // Without it all hosts are one cell.
  bool IsDivided() const { return this->divided; }
  // Of this host's cell, itself included.
  const std::set<state::HostId>& Members() const { return this->members; }
  FractionRange OwnRange() const { return this->ownRange; }

  // The few hosts that all others keep a connection to, so that news go round
  // and that who assigns keys hears everyone: the largest one of each of some
  // data centres. Where aIsGone holds for it, the next one stands in.
  std::set<state::HostId> Hubs(
    const std::function<bool(const state::HostId&)>& aIsGone) const;

private:
  void Divide();
  void RankHubs();

  const state::HostId self;
  // By data centre, and then in an order of no meaning.
  std::vector<CellHost> hosts;
  bool divided = false;
  std::set<state::HostId> members;
  FractionRange ownRange;
  // Of each data centre that has a hub, its hosts, the first choice first.
  std::vector<std::vector<state::HostId>> hubRanks;
};

// Whether the upstream at aPlace of aCount belongs to the cell: it does to each
// that it overlaps, so that even a service with fewer upstreams than there are
// cells leaves none without.
bool OverlapsRange(const FractionRange& aSpan, std::size_t aPlace,
                   std::size_t aCount);

} // namespace kumquat::routing
