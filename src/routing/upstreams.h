// What one host knows of the upstreams: their own entries in the store, the
// requests that this host and its peers have running there, and how they have
// answered lately. Decides nothing about requests; placing.h reads it.

#pragma once

#include "framework/clock.h"
#include "routing/cells.h"
#include "state/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquat::routing {

// What an upstream says of itself in the store.
struct UpstreamEntry
{
  state::UpstreamId id;
  state::ServiceName service;
  std::string address;
  state::DataCentre dataCentre;
  int slots = 1;
  // It takes no new work and will end.
  bool leaving = false;
  // How much longer it is cold, from when the entry was written.
  std::chrono::milliseconds coldRemaining{ 0 };
  // Unix milliseconds of its start: one life has one value. 0: not told.
  std::int64_t startedMs = 0;
  // Counts the entries that one life has written.
  std::int64_t sequence = 0;
};

// What became of an entry that was read.
enum class EntryChange
{
  // An earlier word of this life, or one of an older life.
  kOutdated,
  kUpdated,
  kNewIncarnation,
};

std::string_view EntryChangeName(EntryChange aChange);

// What an upstream adds to an answer about its own load.
struct UpstreamLoad
{
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // How long work takes there now against its usual time; 1 is as usual.
  std::optional<double> slowdown;
};

// How a request ended at an upstream, as far as it tells of the upstream.
enum class AttemptResult
{
  kServed,
  // It said that it did not run the request.
  kRefused,
  // An error of its own, a broken connection, a spoilt answer.
  kFailed,
  // No connection was had, or none of the bytes were taken.
  kUnreachable,
  // Given up on by us; tells nothing but that it took so long.
  kAbandoned,
  // Never sent after all; tells nothing.
  kNotSent,
};

// What one host tells the others of an upstream.
struct UpstreamReport
{
  state::UpstreamId id;
  int running = 0;
  // Answered since the report before, and the mean time that they took.
  int answers = 0;
  double serviceMs = 0;
  // Requests that wait at the host for this upstream alone, as it owns their
  // keys.
  int waiting = 0;
};

struct UpstreamState
{
  UpstreamEntry entry;
  TimePoint coldUntil;
  // Of those that this host's cell counts; see ServiceUpstreams. Set by the
  // index.
  bool isInCell = true;
  // When each request of this host that still runs there was sent.
  std::multiset<TimePoint> running;
  // Of all peers that were heard lately.
  int runningFromPeers = 0;
  // As in UpstreamReport, of this host and of its peers.
  int waiting = 0;
  int waitingAtPeers = 0;
  // What a request takes there when it need not wait, in milliseconds; a
  // moving average, 0 until something was learnt.
  double serviceMs = 0;
  // When it was learnt last, and whether from answers of its cold time alone.
  TimePoint measuredAt;
  bool measuredWhileCold = false;
  // Of answers to this host that its peers have not been told of.
  int unreportedAnswers = 0;
  double unreportedSumMs = 0;
  // The last figure that it told of its own pace, and when.
  double slowdown = 1;
  TimePoint slowdownAt;
  // Moving average of failures and refusals, 0 to 1.
  double failureShare = 0;
  int consecutiveFailures = 0;
  // It has refused as full; a slot falls free about then.
  TimePoint fullUntil;
  // Such refusals since it last served this host.
  int consecutiveFullRefusals = 0;
  // Gets nothing until then, and after that one request at a time.
  TimePoint ejectedUntil;
  std::chrono::milliseconds ejectionTime{ 0 };
  // Its entry went while the store was in trouble; see Remove.
  std::optional<TimePoint> removeAt;

  int Outstanding() const
  {
    return static_cast<int>(this->running.size()) + this->runningFromPeers;
  }
};

// What a request takes there now, as far as is known, in milliseconds. Times of
// a slow spell give way to the usual ones the longer nothing was heard since:
// an upstream that gets no request could not show that the spell is over.
double EstimatedServiceMs(const UpstreamState& aUpstream, double aUsualMs,
                          TimePoint aNow);

// The upstreams of one service, by data centre and then in an order of no
// meaning, so that every host lays them out alike.
struct ServiceUpstreams
{
  // In or out of use.
  std::vector<UpstreamState*> all;
  // New work may be sent there. This host's cell counts what its hosts have
  // running at the first ones; the others are those of other cells.
  std::vector<UpstreamState*> inCell;
  std::vector<UpstreamState*> inOtherCells;
};

class Upstreams
{
public:
  Upstreams() = default;
  // The index points into the map.
  Upstreams(const Upstreams&) = delete;
  Upstreams& operator=(const Upstreams&) = delete;
  Upstreams(Upstreams&&) = default;
  Upstreams& operator=(Upstreams&&) = default;

  // Takes an upstream's entry. Words of one life count in the order in which
  // they were written, and one that leaves stays so.
  EntryChange PutEntry(const UpstreamEntry& aEntry, TimePoint aNow);
  // The entry is gone. Entries also lapse because the store was away, and live
  // upstreams are back within two seconds of its return; aGrace is how long
  // this one may still be used, 0 where the store was well.
  void RemoveEntry(const state::UpstreamId& aId, TimePoint aNow,
                   std::chrono::milliseconds aGrace);
  // Drops what was in grace and is over.
  void RemoveExpired(TimePoint aNow);

  void SetOutOfService(std::set<state::DataCentre> aOut);
  // The part that this host's cell uses first.
  void SetCellRange(const FractionRange& aSpan);
  // All hosts that may use one upstream.
  void SetHostCount(std::size_t aHosts) { this->hostCount = aHosts; }
  bool IsOutOfService(const state::DataCentre& aCentre) const
  {
    return this->outOfService.contains(aCentre);
  }

  UpstreamState* Find(const state::UpstreamId& aId);
  const UpstreamState* Find(const state::UpstreamId& aId) const;
  // Valid until the next change of entries, places or span.
  const ServiceUpstreams& ForService(const state::ServiceName& aService);
  // What a request of the service takes at the mean of its upstreams, as heard
  // lately, in milliseconds; 0 while nothing is known.
  double TypicalServiceMs(const state::ServiceName& aService, TimePoint aNow);
  const std::map<state::UpstreamId, UpstreamState>& All() const
  {
    return this->upstreams;
  }

  // New work may be sent there: not leaving, not gone, not in a data centre
  // that is out.
  bool IsUsable(const UpstreamState& aUpstream) const
  {
    return !aUpstream.entry.leaving &&
           !this->IsOutOfService(aUpstream.entry.dataCentre);
  }

  void OnSent(const state::UpstreamId& aId, TimePoint aNow);
  // aSent is the time given to OnSent; aWaited how many requests stood before
  // it, those running included.
  void OnAttemptEnded(const state::UpstreamId& aId, TimePoint aSent,
                      int aBefore, AttemptResult aClass,
                      const std::optional<UpstreamLoad>& aLoad, TimePoint aNow);
  // Another upstream answers at its address.
  void OnReplaced(const state::UpstreamId& aId, const std::string& aAddress,
                  TimePoint aNow);

  // A peer's digest; what it has running takes the place of what it told
  // before.
  void OnPeerReports(const state::HostId& aPeer,
                     const std::vector<UpstreamReport>& aReports,
                     TimePoint aNow);
  void ForgetPeer(const state::HostId& aPeer);
  // How many requests of this host wait for each owner of keys now.
  void SetWaiting(const std::map<state::UpstreamId, int>& aWaiting);
  // This host's own report; the next one begins anew.
  std::vector<UpstreamReport> TakeReports();

private:
  struct PeerUse
  {
    int running = 0;
    int waiting = 0;
  };

  // The last word of a life whose entry is gone.
  struct LastWord
  {
    std::int64_t born = 0;
    std::int64_t sequence = 0;
    bool leaving = false;
    TimePoint goneAt;
  };

  void Index();
  std::optional<LastWord> LastWordOf(const state::UpstreamId& aId) const;
  void Forget(const state::UpstreamId& aId, TimePoint aNow);

  std::map<state::UpstreamId, UpstreamState> upstreams;
  // Entries may be written once more after they were removed, as a write
  // without an answer may be carried out late.
  std::map<state::UpstreamId, LastWord> gone;
  // Made anew when it is asked for after a change.
  std::map<state::ServiceName, ServiceUpstreams> byService;
  bool isIndexed = false;
  FractionRange cellRange;
  std::size_t hostCount = 1;
  std::set<state::DataCentre> outOfService;
  std::map<state::HostId, std::unordered_map<std::string, PeerUse>> peers;
};

} // namespace kumquat::routing
