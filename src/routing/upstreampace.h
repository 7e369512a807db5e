// How many requests upstreams may be sent that have just started or recovered.
//
//   start      how it begins                    what raises it
//   cold       by its entry, at the cold rate   nothing until its cold time
//   ends new        as one that was cold             answers in its warm time
//   ejected    may be cold                      six such answers, or its entry
//   returned   may be cold                      one such answer after the
//   longest
//                                               time that upstreams are cold
//   new owner  as one that was cold             answers in its warm time
//
// A pace is a number of requests in flight, of all hosts together. It is kept
// to in two ways: each host counts what it and its peers have running, and all
// hosts share the rate that the number comes to in the warm time; see
// UpstreamRateLimiter. The rate needs no messages and keeps the sum where
// reports of peers are late.
//
// Each answer in about the warm time adds one to the number, so that it doubles
// with each round trip; slow answers hold it; several refusals or failures
// halve it, but not below the cold rate. Where nothing at all is heard, few
// requests are sent, and the pace is raised with time. At the upstream's slots
// all of them may be used, and at twice that the rate ends too. Does no I/O.
// Runs on one thread.

#pragma once

#include "framework/clock.h"
#include "routing/upstreams.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace kumquat::routing {

// Why an upstream is paced.
enum class PaceStart
{
  kCold,
  kNew,
  kEjected,
  kReturned,
  kNewOwner,
};

std::string_view PaceStartName(PaceStart aStart);

enum class PaceChange
{
  kSet,
  kCut,
  kFull,
};

std::string_view PaceChangeName(PaceChange aChange);

// What decided a change of a pace.
enum class PaceReason
{
  kStarted,
  kAnswers,
  kSilence,
  // It has answered for long, always as slowly.
  kOwnTime,
  kRefusals,
  kFailures,
};

std::string_view PaceReasonName(PaceReason aReason);

// What does not change while the upstream is paced.
struct PaceTerms
{
  PaceStart start = PaceStart::kCold;
  // Requests per second that it takes from all hosts while it is cold.
  double coldPerSecond = 0;
  // What a request takes there once it is warm; 0 if unknown.
  double warmMs = 0;
  // When it started or recovered, which this host may find out later.
  TimePoint since;
  // How long it may be cold where nothing says so.
  Duration coldTime{ 0 };
};

// What a host sees of an upstream at one time.
struct PaceView
{
  TimePoint now;
  TimePoint coldUntil;
  int slots = 1;
  UpstreamTally tally;
  // The part of all hosts' answers that the tally counts.
  double knownPart = 1;
  // Whether its entry was written after the start of the pace.
  bool hasNewEntry = false;
};

class UpstreamPace
{
public:
  UpstreamPace(const PaceTerms& aTerms, const PaceView& aView);

  struct Change
  {
    PaceChange change = PaceChange::kSet;
    PaceReason reason = PaceReason::kStarted;
  };

  std::optional<Change> Update(const PaceView& aView);

  PaceStart Start() const { return this->terms.start; }
  bool IsFull() const { return this->isFull; }
  // From all hosts together.
  double PerSecond() const;
  // Of the upstream's slots, those that may be used.
  int Slots() const;

private:
  double LeastInFlight() const;
  bool IsColdTimeOver(TimePoint aNow) const;
  void BeginRound(TimePoint aNow);
  void Raise(double aBy, const PaceView& aView);
  std::optional<Change> OnBad(int aRefusals, int aFailures,
                              const PaceView& aView);
  void OnAnswers(int aCount, double aMeanMs, const PaceView& aView);
  void OnSilence(const PaceView& aView);

  PaceTerms terms;
  UpstreamTally seen;
  // It may be cold although its entry does not say so.
  bool mayBeCold = false;
  bool isFull = false;
  // LeastInFlight() <= inFlight. At twice the slots the pace ends.
  double inFlight = 0;
  // The number is raised to several times this within one round trip at most.
  double roundInFlight = 0;
  TimePoint roundAt;
  // When an answer, a refusal or a failure was counted last; never before the
  // end of the cold time.
  TimePoint heardAt;
  TimePoint pacedSince;
  int goodInRow = 0;
  int bad = 0;
  TimePoint firstBadAt;
  // Moving average of answers that were slow; 0 if there were none.
  double slowMs = 0;
  PaceReason lastRaise = PaceReason::kAnswers;
};

// A change of a pace, as the log has it.
struct PaceNotice
{
  state::UpstreamId upstream;
  PaceStart start = PaceStart::kCold;
  UpstreamPace::Change change;
  double perSecond = 0;
  int slots = 0;
};

// The paces of all upstreams that are paced, and what a request takes at each
// once it is warm.
class UpstreamPaces
{
public:
  struct Context
  {
    TimePoint now;
    // As in PaceTerms and PaceView.
    double coldPerSecond = 0;
    double knownPart = 1;
    // It has just become the owner of the request's key.
    bool isNewOwner = false;
  };

  UpstreamPaces(Upstreams& aUpstreams, Clock aClock);

  // Begins, changes or ends the pace of an upstream that a request may go to,
  // and sets the slots that may be used there.
  std::optional<PaceNotice> Update(UpstreamState& aUpstream,
                                   const Context& aContext);
  // Changes the paces by what was heard since; hosts with few requests hear of
  // answers from peers.
  std::vector<PaceNotice> OnTimer();
  // From all hosts together, as a multiple of the cold rate; empty if the
  // upstream is not paced.
  std::optional<double> RateFactorOf(const state::UpstreamId& aId) const;
  bool IsPaced(const state::UpstreamId& aId) const
  {
    return this->RateFactorOf(aId).has_value();
  }
  std::size_t Count() const;
  // Forgets upstreams that are known no more.
  void RemoveOld();

private:
  struct Record
  {
    std::int64_t startedMs = 0;
    // Of the entry that said last whether it is cold.
    std::int64_t sequence = 0;
    TimePoint ejectedUntil;
    std::optional<TimePoint> returnedAt;
    UpstreamTally seen;
    // What its faster answers took while it was not paced.
    double warmMs = 0;
    // Whether its incarnation has answered while it was not paced, or its pace
    // has ended.
    bool isMeasured = false;
    Context context;
    std::optional<UpstreamPace> pace;
  };

  struct ServiceTimes
  {
    double warmMs = 0;
    // The longest that an entry has named.
    Duration cold{ 0 };
  };

  struct Found
  {
    PaceStart start = PaceStart::kCold;
    TimePoint since;
  };

  std::optional<Found> FindStart(const UpstreamState& aUpstream,
                                 const Record& aRecord, bool aIsKnown,
                                 const Context& aContext) const;
  void Learn(const UpstreamState& aUpstream, Record& aRecord);

  Upstreams& upstreams;
  const Clock clock;
  const TimePoint startedAt;
  std::unordered_map<std::string, Record> records;
  // The upstreams whose records have a pace, or had one.
  std::set<std::string> paced;
  std::map<state::ServiceName, ServiceTimes> services;
};

} // namespace kumquat::routing
