// Decides which hosts this one keeps connections to, and which of them it sends
// its digest to at each tick. It does no I/O: the host table, the times of the
// last digests and the clock are passed in.
//
// Up to some twenty hosts all exchange full digests. Beyond that a host sends
// full digests to its cell members only. Hubs and assigners of keys get a brief
// digest from every host, which shows that the host is reachable and which
// versions it has, and they send one to every host. So every host learns of a
// change or of a new assigner in two steps, whatever their number.

#pragma once

#include "framework/clock.h"
#include "routing/cells.h"
#include "state/types.h"

#include <cstdint>
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
  // See HostRow.
  std::string relayAddress;
};

class PeerTopology
{
public:
  struct Hooks
  {
    Clock now;
    // Time of the last digest of the host; the epoch if none was received.
    std::function<TimePoint(const state::HostId&)> lastHeardAt;
  };

  PeerTopology(routing::CellHost aSelf, Hooks aHooks);

  // Sets the hosts of the host table. It need not contain this host.
  void SetHosts(std::vector<HostAddress> aHosts);
  // Sets the hosts that assign keys, as far as this host and its peers know.
  void SetAssigners(std::set<state::HostId> aAssigners);

  const routing::Cells& Cells() const { return this->cells; }
  const state::HostId& Self() const { return this->self.id; }
  bool IsHub(const state::HostId& aHost) const
  {
    return this->hubs.contains(aHost);
  }
  const std::set<state::HostId>& Hubs() const { return this->hubs; }
  bool IsKnown(const state::HostId& aHost) const;
  // Null if the host is unknown, or this one.
  const HostAddress* Find(const state::HostId& aHost) const;
  // Whether the host is a member of this host's cell. Every host is while the
  // hosts are not divided into cells.
  bool IsCellMember(const state::HostId& aHost) const;
  // The hosts of the host table and this one.
  const std::vector<state::HostId>& AllHosts() const { return this->all; }
  // Rises when the hosts of the host table have changed.
  std::int64_t HostsRevision() const { return this->hostsRevision; }
  // Precedence of a host as assigner of keys: of any two hosts the one with the
  // higher value should claim first.
  double DutyPreference(const state::HostId& aHost) const;

  struct ConnectionChanges
  {
    std::map<state::HostId, std::string> toOpen;
    std::vector<state::HostId> toClose;
  };

  // Chooses the hubs and returns the connections to keep and to close. toOpen
  // holds every wanted host with its address, also those that are connected
  // already; toClose holds those that are no longer wanted.
  ConnectionChanges TakeConnectionChanges();

  struct DigestRecipients
  {
    // Hosts that get a full digest, with the load of the upstreams.
    std::vector<std::string> full;
    // Hosts that get a brief digest, without it.
    std::vector<std::string> brief;
  };

  // Whether this host should follow the store's tables itself. aReachesStore
  // returns whether a hub, or a live cell member, reaches the store.
  bool ShouldFollowTables(
    const std::vector<state::HostId>& aLiveMembers,
    const std::function<bool(const state::HostId&)>& aReachesStore) const;

  // Whether this host, which follows the tables at the store, forwards their
  // changes to the other host. Each host is assigned to one hub, and hubs
  // forward to each other as well. A follower that is not a hub forwards to its
  // cell members.
  bool ForwardsChangesTo(const state::HostId& aHost) const;
  // Those of the connected hosts to which it does.
  std::vector<std::string> ChangeRecipients(
    const std::set<std::string>& aConnectedPeers) const;

  // Sends the next digest to every recipient, even if its interval has not
  // passed.
  void RequestImmediateDigest() { this->isDigestRequested = true; }
  // Returns the connected hosts that get a digest now, and counts them as sent
  // to. aLoadChanges is the number of attempts at upstreams that started or
  // ended since this host's start.
  DigestRecipients TakeDigestRecipients(
    const std::set<std::string>& aConnectedPeers, std::int64_t aLoadChanges);

private:
  bool IsUnreachable(const state::HostId& aHost) const;
  Duration SilenceDuration(const state::HostId& aHost) const;
  bool IsAnyHubFollowing(
    const std::function<bool(const state::HostId&)>& aReachesStore) const;
  std::set<state::HostId> AwaitedMembers() const;
  state::HostId AssignedHub(const state::HostId& aHost) const;
  std::set<state::HostId> WantedConnections() const;
  bool IsFullDigestDue(std::int64_t aLoadChanges) const;

  const routing::CellHost self;
  const Hooks hooks;
  routing::Cells cells;
  std::map<state::HostId, HostAddress> hosts;
  std::vector<state::HostId> all;
  std::int64_t hostsRevision = 0;
  std::set<state::HostId> assigners;
  // Hosts that this one keeps connections to, and since when it does.
  std::map<state::HostId, TimePoint> connectingSince;
  std::set<state::HostId> hubs;
  TimePoint fullDigestSentAt;
  TimePoint briefDigestSentAt;
  std::int64_t announcedLoadChanges = 0;
  bool isDigestRequested = false;
};

} // namespace kumquat::node
