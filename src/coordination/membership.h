// This process as a member of the group of hosts: its row in the table, its
// lease, its work as a guard of others, and its part in deposing the lost.
//
// No I/O and no threads: what it needs comes in by hooks, what happens is told
// through the On... functions, all on one thread. Rows and frames may come
// late, twice or out of order. OnTimer is due every 50 ms.
//
// Small deployments. With four or more hosts a host's guards are 3 or 5 others.
// With three hosts they are the other two and the host itself, so that the
// loss of one leaves the rest a majority. With one or two hosts a host guards
// itself alone: its lease never lapses, and only the platform's list of hosts
// deposes it, after its lag.

#pragma once

#include "coordination/hostdirectory.h"
#include "coordination/leasetiming.h"
#include "framework/channel.h"
#include "framework/clock.h"
#include "protocol/gen/peer_types.h"
#include "state/table.h"
#include "state/types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::coordination {

struct MembershipHooks
{
  Clock now;
  std::function<std::uint64_t()> random;
  state::TableHooks table;
  // False where the frame was surely not sent.
  std::function<bool(const state::HostId&, protocol::Frame)> send;
};

enum class HostPhase
{
  kIdle,
  kRegistering,
  // An earlier run of this host is not yet deposed.
  kReplacing,
  // Registered; no majority confirms.
  kWaiting,
  kHolding,
  kLeaving,
  // Stopped, deposed or overtaken by a later run. A process that wants to go
  // on needs a new Membership with a higher incarnation.
  kOver,
};

std::string_view HostPhaseName(HostPhase aPhase);

class Membership
{
public:
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Reads the rows, waits out an earlier run of this host, and registers.
  void Start();
  // A planned stop: the row says leaving; the lease goes on until Finish.
  void Stop();
  // Nothing is started from here on; the row is marked as deposed by its own
  // host, so that successors need not wait. Call when the last work is done.
  void Finish();

  // Takes frames with Confirm*, Release* and Leaving; false for any other.
  bool OnFrame(const state::HostRef& aFrom, const protocol::Frame& aFrame);
  void OnPeer(const state::HostRef& aPeer, bool aUp);
  void OnTimer();
  // Rows of partition "host", all or some, polled or pushed by a peer.
  void OnRows(const std::vector<state::Row>& aRows);
  // The platform's whole list. A host that is gone from it is gone.
  void OnHostList(const std::vector<ListedHost>& aHosts);

  // The check right before each send to an upstream.
  bool MayStart(TimePoint aNow) const;
  HostPhase Phase() const;
  const state::HostRef& Self() const;
  // This host's row as last known; version 0 before it is registered.
  const state::HostRecord& Record() const;

  // Hosts registered and neither deposed nor leaving, this one included.
  std::vector<state::HostRecord> LiveHosts() const;
  // Those of them that have held a lease: only they plan and are given keys.
  std::vector<state::HostRecord> ServingHosts() const;
  const state::HostRecord* FindHost(const state::HostId& aHost) const;
  // Whether that run is surely over, by the table: deposed, or a later run is
  // registered.
  bool IsDeposed(const state::HostRef& aRef) const;

  Channel<>& LeaseGained();
  Channel<>& LeaseLost();
  // A run was deposed, this one included; once for each.
  Channel<state::HostRef>& HostDeposed();
  // News of a row, this host's included.
  Channel<state::HostRecord>& HostChanged();
  // A row that this host has written: to be pushed to the peers.
  Channel<state::Row>& RowWritten();

private:
  friend class MembershipBuilder;
  class Impl;
  explicit Membership(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> impl;
};

class MembershipBuilder
{
public:
  MembershipBuilder& Self(state::HostRef aSelf);
  MembershipBuilder& PeerAddress(std::string aAddress);
  MembershipBuilder& DataCentre(state::DataCentre aDataCentre);
  MembershipBuilder& Hooks(MembershipHooks aHooks);
  MembershipBuilder& Timing(const LeaseTiming& aTiming);
  // Tests only.
  MembershipBuilder& WithoutRules(LeaseRulesOff aOff);

  std::unique_ptr<Membership> Build();

private:
  state::HostRecord self;
  MembershipHooks hooks;
  LeaseTiming timing;
  LeaseRulesOff off;
};

} // namespace kumquat::coordination
