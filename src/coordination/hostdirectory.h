// What this host knows of all hosts: their rows, the later runs that spoke to
// it, and the platform's list.

#pragma once

#include "coordination/leasetiming.h"
#include "framework/clock.h"
#include "state/table.h"
#include "state/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace kumquat::coordination {

// An endpoint of the platform's list of the system's own hosts.
struct ListedHost
{
  state::HostId host;
  bool leaving = false;
};

struct KnownHost
{
  state::HostRecord record;
  // Of the row's last write; empty where a peer pushed the row.
  std::string nonce;
  // When this run's row was first seen here.
  TimePoint seen;
  // When the row's last version was first seen here.
  TimePoint changed;
  // Said by the host itself; the row follows when the table is up.
  bool leaving = false;
  // Since when the platform's list lacks it, and whether it was ever there.
  std::optional<TimePoint> unlisted;
  bool wasListed = false;
  // Since when no connection to it stands, though one is wanted.
  std::optional<TimePoint> down;
};

class HostDirectory
{
public:
  using Listener = std::function<void(const state::HostRecord&)>;
  using DeposedListener = std::function<void(const state::HostRef&)>;

  HostDirectory(const LeaseTiming& aTiming, Listener aOnChange,
                DeposedListener aOnDeposed);

  void Put(const state::Row& aRow, TimePoint aNow);
  void OnHostList(const std::vector<ListedHost>& aHosts, TimePoint aNow);
  void OnPeer(const state::HostRef& aPeer, bool aUp, TimePoint aNow);
  // Any sign of life that names a run.
  void OnRun(const state::HostRef& aRef, TimePoint aNow);
  void OnLeaving(const state::HostRef& aRef);

  const KnownHost* Find(const state::HostId& aHost) const;
  const std::map<state::HostId, KnownHost>& All() const;
  // Rises with every piece of news but the passing of time.
  std::uint64_t Revision() const;
  bool IsDeposed(const state::HostRef& aRef) const;
  // A later run of that host has spoken to this one.
  bool IsRestarted(const state::HostRef& aRef) const;

  // When whatever that run confirmed or held has surely run out, by the
  // platform's word and not by the run's own: it is gone from the list, or a
  // later run is there since longer than the list lags. Nothing where neither
  // is so.
  std::optional<TimePoint> GoneBy(const state::HostRef& aRef) const;

private:
  struct Run
  {
    state::Incarnation incarnation = 0;
    TimePoint seen;
  };

  void TellDeposed(const state::HostRecord& aBefore,
                   const state::HostRecord& aAfter);

  LeaseTiming timing;
  Listener onChange;
  DeposedListener onDeposed;
  // Versions of a row only rise.
  std::map<state::HostId, KnownHost> hosts;
  std::map<state::HostId, Run> latestRuns;
  std::uint64_t revision = 0;
};

} // namespace kumquat::coordination
