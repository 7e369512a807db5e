// Which hosts this one keeps connections to, and which of them it tells about
// itself now. Pure: the hosts' table, what is heard and the clock come in.
//
// Up to some twenty hosts all tell each other everything. Beyond that a host
// tells its cell everything, and a hub or an assigner of keys only that it is
// there and what it knows the versions of; hubs and assigners tell everyone
// that. So news and new assigners get round in two steps at any size.

#pragma once

#include "framework/clock.h"
#include "routing/cells.h"
#include "state/types.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace kumquat::node {

struct HostAddress
{
  routing::CellHost host;
  // Where peers connect to, as "ip:port".
  std::string address;
};

class PeerTopology
{
public:
  struct Hooks
  {
    Clock now;
    // When the host's last digest came; the epoch where none did.
    std::function<TimePoint(const state::HostId&)> lastHeardAt;
  };

  PeerTopology(routing::CellHost aSelf, Hooks aHooks);

  // The hosts' table; this host need not be in it.
  void SetHosts(std::vector<HostAddress> aHosts);
  // Hosts that assign keys, as far as anyone heard knows.
  void SetAssigners(std::set<state::HostId> aAssigners);

  const routing::Cells& Cells() const { return this->cells; }
  const state::HostId& Self() const { return this->self.id; }
  bool IsHub(const state::HostId& aHost) const
  {
    return this->hubs.contains(aHost);
  }
  bool IsKnown(const state::HostId& aHost) const;
  // Of this host's cell; all are while there are no cells.
  bool IsCellMember(const state::HostId& aHost) const;
  std::vector<state::HostId> AllHosts() const;
  // Which host should be asked first for a duty; the higher one.
  double DutyPreference(const state::HostId& aHost) const;

  struct ConnectionChanges
  {
    std::map<state::HostId, std::string> toOpen;
    std::vector<state::HostId> toClose;
  };

  // What changed since the last call in whom to connect to.
  ConnectionChanges TakeConnectionChanges();

  struct DigestRecipients
  {
    // They are told everything.
    std::vector<std::string> full;
    // They are told little.
    std::vector<std::string> brief;
  };

  // Whether this host should follow the store's tables itself. aReachesStore
  // says it of a hub, or of a mate that is live.
  bool ShouldFollowTables(
    const std::vector<state::HostId>& aLiveMates,
    const std::function<bool(const state::HostId&)>& aReachesStore) const;

  // Whether this host, which follows the store, tells the other one of its
  // news. The hubs share the hosts among them and tell each other; one that
  // follows as no hub does tells its mates.
  bool ForwardsChangesTo(const state::HostId& aHost) const;

  // The next digest goes to everyone whatever has changed.
  void RequestImmediateDigest() { this->hurries = true; }
  // Whom a digest goes to now. aChanges are sends and ends at upstreams since
  // the start.
  DigestRecipients TakeDigestRecipients(const std::set<std::string>& aReachable,
                                        std::int64_t aChanges);

private:
  bool IsGone(const state::HostId& aHost) const;
  Duration SilenceOf(const state::HostId& aHost) const;
  bool IsAnyHubReading(
    const std::function<bool(const state::HostId&)>& aReachesStore) const;
  state::HostId HomeOf(const state::HostId& aHost) const;
  std::set<state::HostId> Wanted() const;
  bool IsMatesDue(std::int64_t aChanges) const;

  const routing::CellHost self;
  const Hooks hooks;
  routing::Cells cells;
  std::map<state::HostId, HostAddress> hosts;
  std::set<state::HostId> assigners;
  // Whom this host dials, and since when.
  std::map<state::HostId, TimePoint> dialled;
  std::set<state::HostId> hubs;
  TimePoint matesToldAt;
  TimePoint othersToldAt;
  std::int64_t toldChanges = 0;
  bool hurries = false;
};

} // namespace kumquat::node
