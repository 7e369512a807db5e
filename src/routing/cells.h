// Divides the hosts of a large deployment into cells, and the upstreams of each
// service among the cells.
//
// A cell is a group of some ten hosts of one data centre that exchange full
// digests: several times a second each host reports to the other members what
// it has running at which upstream. Digests sent to all hosts cost every host
// as much as its requests from some forty hosts on: 82 hosts with a tenth of a
// processor each spent their time on digests and served 42 of 100 requests.
// Within a cell the cost does not depend on the size of the deployment, and
// each member knows the whole load on the cell's own upstreams.
//
// Every host computes the same division from the same list of hosts, without
// messages. While the lists differ, an upstream may be counted by one cell too
// many or too few. Requests then wait there a little longer, and nothing else
// happens.

#pragma once

#include "state/types.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace kumquat::routing {

// A host, as the division into cells sees it.
struct CellHost
{
  state::HostId id;
  state::DataCentre dataCentre;
  // Number of processors that the host may use; can be a fraction.
  double processors = 1;
};

// A part of an ordered list, as fractions of its length: 0 is the start of the
// first element, 1 the end of the last one. The lists are all hosts, and all
// upstreams of a service, each ordered by data centre.
struct FractionRange
{
  double begin = 0;
  double end = 1;
};

class Cells
{
public:
  explicit Cells(state::HostId aSelf);

  // Sets all known hosts, this one included, and divides them anew if they have
  // changed.
  void SetHosts(std::vector<CellHost> aHosts);

  // Whether there are several cells; otherwise all hosts form one.
  bool IsDivided() const { return this->divided; }
  // The hosts of this host's cell, itself included.
  const std::set<state::HostId>& Members() const { return this->members; }
  // The part of all hosts that this host's cell holds. The same part of each
  // service's upstreams belongs to the cell.
  FractionRange OwnRange() const { return this->ownRange; }

  // Returns the hubs: the few hosts that all others keep a connection to, so
  // that changes reach all cells and the assigner of keys receives every host's
  // digests. The largest host of each of up to three data centres is a hub.
  // Where aIsUnreachable holds for it, the next largest takes its place. Empty
  // while there is only one cell.
  std::set<state::HostId> Hubs(
    const std::function<bool(const state::HostId&)>& aIsUnreachable) const;

private:
  void ComputeOwnCell();
  void RankHubCandidates();

  const state::HostId self;
  // Ordered by data centre, and then by a hash of the id.
  std::vector<CellHost> hosts;
  bool divided = false;
  std::set<state::HostId> members;
  FractionRange ownRange;
  // For each data centre that has a hub, its hosts in the order of preference.
  std::vector<std::vector<state::HostId>> hubCandidates;
};

// Whether element aPlace of aCount elements overlaps aRange. An upstream
// belongs to every cell whose range it overlaps, so every cell has one even of
// a service with fewer upstreams than there are cells.
bool OverlapsRange(const FractionRange& aRange, std::size_t aPlace,
                   std::size_t aCount);

// Whether element aPlace of aCount elements begins in aRange. Of all cells this
// holds for exactly one.
bool BeginsInRange(const FractionRange& aRange, std::size_t aPlace,
                   std::size_t aCount);

// The part of element aPlace of aCount elements that lies in aRange. Over all
// cells it adds up to 1, so cells can divide what an upstream can take.
double PartInRange(const FractionRange& aRange, std::size_t aPlace,
                   std::size_t aCount);

} // namespace kumquat::routing
