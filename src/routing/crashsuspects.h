// Remembers requests under which upstreams have ended, and stops sending one
// that is likely to be the cause.
//
// A request that crashes its upstream is sent again, by the host or by its
// caller through any other host, and each time another upstream ends. An
// upstream also ends for other reasons, with innocent requests under way. What
// tells them apart is that an innocent one is served sooner or later: a request
// is quarantined after several upstreams have ended under it and none has
// served it. Hosts tell each other of both, so that the limit holds over all
// hosts. Does no I/O. Runs on one thread.
//
// Invariants:
// - The upstreams that a request may end, summed over groups of hosts that do
//   not hear each other, do not exceed kMaxEnds for up to three groups.
// - After a quarantine one host alone, the same for all that know the same
//   hosts, sends the request once more.

#pragma once

#include "framework/clock.h"
#include "routing/requestfingerprint.h"
#include "state/types.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace kumquat::routing {

// Upstreams that may end under one request before it is quarantined.
inline constexpr std::size_t kMaxEnds = 3;

// An upstream that has ended while it ran a request.
struct UpstreamEnd
{
  state::UpstreamId upstream;
  TimePoint at;
};

// What hosts tell each other of a request.
struct CrashReport
{
  RequestFingerprint request;
  // Empty if it was served after all.
  std::vector<UpstreamEnd> ends;
};

class CrashSuspects
{
public:
  // aKey: random; see RequestFingerprint.
  CrashSuspects(state::HostId aSelf, Clock aClock, std::uint64_t aKey);

  // Sets the reachable hosts, this one included.
  void SetHosts(std::vector<state::HostId> aHosts);
  // Sets how many of the hosts that may send requests are heard now, this one
  // included in both numbers; aKnown is 0 while they are not known.
  void SetReach(std::size_t aHeard, std::size_t aKnown);

  // Whether there is nothing to look up.
  bool IsEmpty() const { return this->suspects.empty(); }
  std::size_t Count() const { return this->suspects.size(); }

  // Whether the request may be sent to an upstream now.
  bool MaySend(const ContentHash& aContent) const;
  // How long the request is still quarantined.
  std::chrono::milliseconds QuarantineLeft(const ContentHash& aContent) const;

  // The request is sent to an upstream. Returns whether it is a suspect that is
  // sent once more after its quarantine.
  bool OnSent(const ContentHash& aContent);
  // An upstream has ended while it ran the request, or so it seems.
  void OnEnded(const ContentHash& aContent, const state::UpstreamId& aUpstream);
  // An upstream has served the request. Returns what peers are to be told, if
  // they know of it.
  std::vector<CrashReport> OnServed(const ContentHash& aContent);

  // What peers are to be told of the request.
  std::vector<CrashReport> TakeReports(const ContentHash& aContent);
  // All that a host needs to know that has just been connected to.
  std::vector<CrashReport> AllReports() const;
  void OnReport(const CrashReport& aReport);

  // Forgets requests under which no upstream has ended for a while.
  void RemoveOld();

  // The key of this host's reports. Hosts that have exchanged theirs use the
  // lower one.
  std::uint64_t Key() const { return this->key; }
  void OnPeerKey(std::uint64_t aKey) { this->key = std::min(this->key, aKey); }
  // The request's name in logs, the same at all hosts.
  RequestFingerprint NameOf(const ContentHash& aContent) const
  {
    return FingerprintOf(aContent, this->key);
  }

private:
  struct Suspect
  {
    // The last kMaxRemembered ones.
    std::vector<UpstreamEnd> ends;
    // The last time at which it was sent after a quarantine.
    TimePoint trialAt;
    // This host has seen an end that it has not told its peers of.
    bool isToBeTold = false;
    bool isKnownToPeers = false;
  };

  std::size_t Limit() const;
  // The names under which a request is a suspect, one for each key that was
  // used.
  std::vector<RequestFingerprint> FindAll(const ContentHash& aContent) const;
  // The epoch if the request is not in quarantine.
  TimePoint QuarantineEnd(const ContentHash& aContent) const;
  bool MakesTrials(const ContentHash& aContent) const;
  static TimePoint LastEndAt(const Suspect& aSuspect);
  void AddEnd(const RequestFingerprint& aRequest, const UpstreamEnd& aEnd);
  void MakeRoom();
  void Erase(const RequestFingerprint& aRequest);

  const state::HostId self;
  const Clock clock;
  std::uint64_t key;
  std::vector<state::HostId> hosts;
  std::size_t heardHosts = 1;
  std::size_t knownHosts = 1;
  std::unordered_map<RequestFingerprint, Suspect> suspects;
  // The keys of all suspects, with their number.
  std::map<std::uint64_t, std::size_t> keysInUse;
};

} // namespace kumquat::routing
