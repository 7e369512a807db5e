// Plans which host is steward of which upstream, and which upstream or host
// owns which slice of keys. Any host may plan; one a service does so at a time,
// by agreement of the hosts' lists only. Safety never rests on that: each write
// is conditional, and no slice gets a new owner before its grant has ended.
//
// Few moves: an owner is kept as long as it can serve. Slices move away from
// what is lost, leaving or out at once, and back towards balance slowly.

#pragma once

#include "coordination/choosing.h"
#include "framework/clock.h"
#include "state/configuration.h"
#include "state/platform.h"
#include "state/routingmap.h"
#include "state/table.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat::coordination {

// Idempotency keys of a service are divided among hosts under this name.
state::ServiceName OwnersOf(const state::ServiceName& aService);

class Planner
{
public:
  struct Hooks
  {
    state::HostRef self;
    RandomBelow random;
    // Writes, and tells the other hosts of the new rows on success.
    std::function<void(std::vector<state::ConditionalWrite>,
                       state::TableHooks::WriteDone)>
      write;
    // Asks the owner's steward to end the slice's grant. True: it has surely
    // ended; false: not known, ask again later.
    std::function<void(const state::SliceRecord&, std::function<void(bool)>)>
      revoke;
  };

  struct View
  {
    const state::RoutingMap& map;
    const state::Configuration& configuration;
    const state::EndpointList& endpoints;
    // Have held a lease, and are neither deposed nor leaving.
    std::vector<state::HostRecord> liveHosts;
    // Upstreams that their stewards can not use now.
    std::function<bool(const state::UpstreamRef&)> isUnusable;
  };

  // Moves made, for the measures of churn.
  struct Counters
  {
    std::uint64_t stewardMoves = 0;
    std::uint64_t sliceMoves = 0;
    std::uint64_t conflicts = 0;
  };

  explicit Planner(Hooks aHooks);

  // Due every 100 ms. Plans the services that fall to this host.
  void Plan(const View& aView);

  const Counters& Counted() const { return this->counters; }

private:
  using Writes = std::vector<state::ConditionalWrite>;

  // A service has either one write or some revocations out at a time.
  struct Progress
  {
    bool writing = false;
    std::set<std::string> revoking;
  };

  bool IsMine(const state::ServiceName& aService, const View& aView) const;
  void PlanService(const state::ServiceConfiguration& aService,
                   const View& aView);
  Writes UpstreamWrites(const state::ServiceConfiguration& aService,
                        const View& aView) const;
  Writes BalanceStewards(const state::ServiceConfiguration& aService,
                         const View& aView) const;
  Writes FirstSlices(const state::ServiceConfiguration& aService,
                     const View& aView) const;
  Writes OwnerWrites(const state::ServiceConfiguration& aService,
                     const View& aView) const;
  void MoveSlices(const state::ServiceConfiguration& aService,
                  const View& aView);
  void MoveSlice(const state::SliceRecord& aSlice,
                 const state::UpstreamId& aTarget, const View& aView);
  // Whether anything was written.
  bool Write(const state::ServiceName& aService, Writes aWrites);
  state::Row WithNonce(state::Row aRow) const;
  state::ConditionalWrite Put(const state::UpstreamRecord& aRecord) const;
  state::ConditionalWrite Put(const state::SliceRecord& aRecord) const;

  const Hooks hooks;
  std::map<state::ServiceName, Progress> progress;
  Counters counters;
};

} // namespace kumquat::coordination
