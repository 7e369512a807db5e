// What a host knows of the upstreams: their own entries in the store, the
// requests that this host and its peers have running there, and their recent
// responses. It decides nothing about requests; placement.h reads it.

#pragma once

#include "framework/clock.h"
#include "routing/cells.h"
#include "state/types.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace kumquat::routing {

// An upstream's own entry in the store.
struct UpstreamEntry
{
  state::UpstreamId id;
  state::ServiceName service;
  std::string address;
  state::DataCentre dataCentre;
  int slots = 1;
  // It accepts no new requests and will end.
  bool leaving = false;
  // How much longer it was cold when the entry was written.
  std::chrono::milliseconds coldRemaining{ 0 };
  // The upstream's start in Unix milliseconds, which tells its incarnations
  // apart. 0 if unknown.
  std::int64_t startedMs = 0;
  // Counts the entries that one incarnation has written.
  std::int64_t sequence = 0;
};

// What became of an entry that was read.
enum class EntryChange
{
  // Ignored: the incarnation has written a later entry, or there is a later
  // incarnation.
  kOutdated,
  kUpdated,
  kNewIncarnation,
};

// The name of the change in the log.
std::string_view EntryChangeName(EntryChange aChange);

// What an upstream reports about its load with a response.
struct UpstreamLoad
{
  int running = 0;
  int waiting = 0;
  int slots = 0;
  // Time that requests take there now, relative to the typical time; 1 is
  // typical.
  std::optional<double> slowdown;
};

// How an attempt ended, as far as it says something about the upstream.
enum class AttemptResult
{
  kServed,
  // The upstream stated that it did not run the request.
  kRefused,
  // An error of the upstream, a broken connection or an invalid response.
  kFailed,
  // No connection could be made, or no byte of the request was accepted.
  kUnreachable,
  // This host gave up waiting; says nothing but that the request took so long.
  kAbandoned,
  // The request was not sent after all; says nothing.
  kNotSent,
};

// What a host's digest reports about an upstream.
struct UpstreamReport
{
  state::UpstreamId id;
  int running = 0;
  // Responses since the previous report, and the mean time that they took.
  int answers = 0;
  double serviceMs = 0;
  // Requests that wait at the host for this upstream, as it owns their keys.
  int waiting = 0;
};

// What an upstream took for requests of this host.
struct OwnTime
{
  state::UpstreamId id;
  int answers = 0;
  // Mean of one request's own time.
  double serviceMs = 0;
};

// What was seen of an upstream since its entry was first known: answers of this
// host and its peers with the sum of their own times, and what else this host
// got. Only grows.
struct UpstreamTally
{
  int answers = 0;
  double sumMs = 0;
  int refusals = 0;
  int failures = 0;
};

// What this host knows of one upstream.
struct UpstreamState
{
  UpstreamEntry entry;
  TimePoint coldUntil;
  // When it was first known to leave.
  TimePoint leavingSince;
  // Whether the upstream belongs to this host's cell; see ServiceUpstreams. Set
  // by the index.
  bool isInCell = true;
  // Whether this host's cell is the one in which the upstream begins: it is so
  // in exactly one of the cells that share an upstream.
  bool isInPrimaryCell = true;
  // The part of it that belongs to this host's cell; see PartInRange.
  double cellPart = 1;
  // A hash of the id that orders the upstreams of a data centre.
  std::uint64_t order = 0;
  // When each request of this host that still runs there was sent, with its
  // work; see WorkTimes.
  std::multimap<TimePoint, double> running;
  // Requests of all reachable peers that run there.
  int runningFromPeers = 0;
  // As in UpstreamReport, of this host and of its peers.
  int waiting = 0;
  int waitingAtPeers = 0;
  // What a typical request takes there if it need not wait, in milliseconds; a
  // moving average, 0 while nothing is known.
  double serviceMs = 0;
  // When serviceMs was updated, and whether it comes only from responses of the
  // time when the upstream was cold.
  TimePoint measuredAt;
  bool measuredWhileCold = false;
  // Responses to this host that its peers have not been sent yet, and the sum
  // of their times.
  int unreportedAnswers = 0;
  double unreportedSumMs = 0;
  // The same for the assigner of its keys; see TakeOwnTimes.
  int untakenAnswers = 0;
  double untakenSumMs = 0;
  // The slowdown that it reported last, and when.
  double slowdown = 1;
  TimePoint slowdownAt;
  // Moving average of failures and refusals, 0 to 1.
  double failureShare = 0;
  int consecutiveFailures = 0;
  // It has refused a request as full; about then a slot becomes free.
  TimePoint fullUntil;
  // Refusals as full since it last served this host.
  int consecutiveFullRefusals = 0;
  // Outlier ejection: the upstream gets no requests until then, and after that
  // one at a time until it serves one.
  TimePoint ejectedUntil;
  std::chrono::milliseconds ejectionTime{ 0 };
  // When its incarnation was first known here.
  TimePoint knownSince;
  UpstreamTally tally;
  // Of its slots, so many are used while it is paced; see UpstreamPaces.
  std::optional<int> pacedSlots;
  // When the upstream is removed, as its entry was removed while the store was
  // unavailable; see RemoveEntry.
  std::optional<TimePoint> removeAt;

  int Outstanding() const
  {
    return static_cast<int>(this->running.size()) + this->runningFromPeers;
  }
};

// In how many rounds the slots of an upstream run that many requests and one
// more. Waiting requests take the slots in turn.
double RoundsBehind(const UpstreamState& aUpstream, int aAhead);

// Estimates what a typical request takes there now, in milliseconds. A time
// above
// aTypicalMs approaches it the longer nothing was measured: an upstream that
// gets no requests could not show that its slow period is over.
double EstimatedServiceMs(const UpstreamState& aUpstream, double aTypicalMs,
                          TimePoint aNow);

// The upstreams of one service, ordered by data centre and then by a hash of
// the id, so that all hosts have the same order.
struct ServiceUpstreams
{
  // All of them, usable or not.
  std::vector<UpstreamState*> all;
  // Usable upstreams of this host's cell, whose hosts count their requests
  // there, and usable upstreams that belong only to other cells.
  std::vector<UpstreamState*> inCell;
  std::vector<UpstreamState*> inOtherCells;
};

class Upstreams
{
public:
  Upstreams() = default;
  // Not copyable, as the index points into the map.
  Upstreams(const Upstreams&) = delete;
  Upstreams& operator=(const Upstreams&) = delete;
  Upstreams(Upstreams&&) = default;
  Upstreams& operator=(Upstreams&&) = default;

  // Stores an upstream's entry. Entries of one incarnation count in the order
  // in which they were written, and an incarnation that has announced that it
  // leaves stays leaving.
  EntryChange PutEntry(const UpstreamEntry& aEntry, TimePoint aNow);
  // The incarnation that started then has said that it leaves, whatever its
  // entry says. Returns whether that is new.
  bool MarkLeaving(const state::UpstreamId& aId, std::int64_t aStartedMs,
                   TimePoint aNow);
  // The starts of the incarnations that were marked so and are still known.
  const std::map<state::UpstreamId, std::int64_t>& MarkedLeaving() const
  {
    return this->markedLeaving;
  }
  // Handles the removal of an entry from the store. Entries also expire while
  // the store is unavailable, and live upstreams are back within two seconds of
  // its return. aGrace is how long the upstream may still be used, 0 if the
  // store was available.
  void RemoveEntry(const state::UpstreamId& aId, TimePoint aNow,
                   std::chrono::milliseconds aGrace);
  // Removes the upstreams whose grace period is over.
  void RemoveExpired(TimePoint aNow);

  // Whether a removed upstream is still within its grace period.
  bool HasExpiring() const;

  // Sets the data centres that operators took out of service.
  void SetOutOfService(std::set<state::DataCentre> aOut, TimePoint aNow);
  // When the data centre was taken back into service, if that was seen.
  std::optional<TimePoint> ReturnedAt(const state::DataCentre& aCentre) const;
  // Sets the part of each service's upstreams that this host's cell uses first.
  void SetCellRange(const FractionRange& aRange);
  // Sets the number of hosts that may use one upstream.
  void SetHostCount(std::size_t aHosts) { this->hostCount = aHosts; }
  bool IsOutOfService(const state::DataCentre& aCentre) const
  {
    return this->outOfService.contains(aCentre);
  }

  // Whether any known upstream has the address.
  bool HasAddress(const std::string& aAddress) const
  {
    return this->addresses.contains(aAddress);
  }
  // The address of an incarnation that is known, or was removed within the last
  // minute. None if the last known one is another.
  std::optional<std::string> LastAddressOf(const state::UpstreamId& aId,
                                           std::int64_t aStartedMs) const;
  UpstreamState* Find(const state::UpstreamId& aId);
  const UpstreamState* Find(const state::UpstreamId& aId) const;
  // Valid until the next change of entries, data centres or range.
  const ServiceUpstreams& ForService(const state::ServiceName& aService);
  // What a request of the service takes at the mean of its upstreams, in
  // milliseconds, from recent measurements if there are any; 0 while nothing is
  // known.
  double TypicalServiceMs(const state::ServiceName& aService, TimePoint aNow);
  const std::map<state::UpstreamId, UpstreamState>& All() const
  {
    return this->upstreams;
  }

  // Whether new requests may be sent to the upstream: it is not leaving, and
  // its data centre is not out of service.
  bool IsUsable(const UpstreamState& aUpstream) const
  {
    return !aUpstream.entry.leaving &&
           !this->IsOutOfService(aUpstream.entry.dataCentre);
  }

  // Multiplies the times of the service's upstreams; see WorkTimes::TakeFactor.
  void ScaleServiceMs(const state::ServiceName& aService, double aFactor);

  // Records the start of an attempt. aWork is the request's work relative to a
  // typical one; see WorkTimes.
  void OnSent(const state::UpstreamId& aId, TimePoint aNow, double aWork = 1);
  // Records the end of an attempt. aSent is the time that was given to OnSent,
  // aAhead the number of requests ahead of it, running ones included.
  void OnAttemptEnded(const state::UpstreamId& aId, TimePoint aSent, int aAhead,
                      AttemptResult aResult,
                      const std::optional<UpstreamLoad>& aLoad, TimePoint aNow,
                      double aWork = 1);
  // Removes the upstream, as another one responds at its address.
  void OnReplaced(const state::UpstreamId& aId, const std::string& aAddress,
                  TimePoint aNow);

  // Stores a peer's digest. The requests that it has running replace those of
  // its previous digest.
  void OnPeerReports(const state::HostId& aPeer,
                     const std::vector<UpstreamReport>& aReports,
                     TimePoint aNow);
  // Removes what a peer has reported as running or waiting.
  void ForgetPeer(const state::HostId& aPeer);
  // Sets how many requests of this host wait for each owner of keys.
  void SetWaiting(const std::map<state::UpstreamId, int>& aWaiting);
  // Returns this host's report and begins a new one.
  std::vector<UpstreamReport> TakeReports();
  // Sets the services for whose upstreams TakeOwnTimes collects responses.
  void SetTimedServices(std::set<state::ServiceName> aServices);
  // Removes and returns what the upstreams that aIsWanted names took for this
  // host since they were last taken.
  std::vector<OwnTime> TakeOwnTimes(
    const std::function<bool(const UpstreamState&)>& aIsWanted);

private:
  struct PeerUse
  {
    int running = 0;
    int waiting = 0;
  };

  // The last entry of an incarnation that was removed.
  struct LastEntry
  {
    std::int64_t startedMs = 0;
    std::int64_t sequence = 0;
    bool leaving = false;
    std::string address;
    TimePoint removedAt;
  };

  // The index of a service. `all` is kept up to date; the other lists are made
  // again on demand.
  struct ServiceIndex
  {
    ServiceUpstreams lists;
    bool isDivided = false;
    // See TypicalServiceMs.
    double typicalMs = 0;
    TimePoint typicalMsAt;
  };

  void AddToIndex(UpstreamState& aUpstream);
  void RemoveFromIndex(const UpstreamState& aUpstream);
  void DivideAllAgain();
  // Divides the usable upstreams of a service into those of this host's cell
  // and of others.
  void Divide(ServiceUpstreams& aLists) const;
  void RemoveAddress(const std::string& aAddress);
  std::optional<LastEntry> LastEntryOf(const state::UpstreamId& aId) const;
  void RemoveNow(const state::UpstreamId& aId, TimePoint aNow);

  std::map<state::UpstreamId, UpstreamState> upstreams;
  // An entry may be written once more after it was removed, since a write
  // without a response may be carried out late.
  std::map<state::UpstreamId, LastEntry> removed;
  std::map<state::ServiceName, ServiceIndex> byService;
  // Of all entries in `upstreams`.
  std::unordered_multiset<std::string> addresses;
  // Upstreams that have removeAt set.
  std::set<state::UpstreamId> expiring;
  // Upstreams that the next report has something to say of, if anything has
  // happened since the last one.
  std::set<state::UpstreamId> reportable;
  // See SetTimedServices, and the upstreams with untaken responses.
  std::set<state::ServiceName> timedServices;
  std::set<state::UpstreamId> timed;
  // See MarkedLeaving.
  std::map<state::UpstreamId, std::int64_t> markedLeaving;
  // Upstreams that requests of this host wait for.
  std::set<state::UpstreamId> awaited;
  FractionRange cellRange;
  std::size_t hostCount = 1;
  std::set<state::DataCentre> outOfService;
  std::map<state::DataCentre, TimePoint> returnedAt;
  std::map<state::HostId, std::unordered_map<std::string, PeerUse>> peers;
};

} // namespace kumquat::routing
