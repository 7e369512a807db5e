// Passes requests for keys through one host of the cell for each owner: the
// owner's proxy. The cell's other hosts pass their requests on to it; it alone
// queues them, sends them to the owner and retries them.
//
// It serves a load where many hosts stand before many owners of keys, and each
// pair of them meets once in some seconds. Every host then opens a connection
// for every second request, knows an owner's load only from digests, and cannot
// order its requests among those of other hosts. A proxy keeps its connections,
// counts the cell's requests at the owner exactly and has one queue for them.
//
// One host decides about a request at any time. Until the proxy has taken it,
// that is the host that received it; from then on it is the proxy, and the
// receiving host only passes on the response. Only requests that may run twice
// are passed on, so that the receiving host may dispatch one itself when it
// loses the proxy. Does no I/O; runs on one thread.

#pragma once

#include "framework/clock.h"
#include "protocol/errorkind.h"
#include "routing/dispatcher.h"
#include "state/types.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::routing {

// A live member of the cell, as the choice of proxies sees it.
struct ProxyCandidate
{
  state::HostId host;
  // Number of processors that the host may use; can be a fraction.
  double processors = 1;

  friend bool operator==(const ProxyCandidate&,
                         const ProxyCandidate&) = default;
};

// Whether requests for the owners of a service should pass through proxies: the
// hosts are divided into cells, and a host has so many owners before it that it
// meets each of them too seldom to keep a connection.
bool CallsForProxies(bool aIsDivided, std::size_t aMembers,
                     std::size_t aOwners);

// Chooses the proxy of each owner by weighted rendezvous hashing: hosts with
// the same members choose alike without messages, each member gets a part of
// the owners by its processors, and the loss of a member moves only its owners.
class ProxyChoice
{
public:
  explicit ProxyChoice(state::HostId aSelf);

  // Sets the live members of the cell, this host included.
  void SetMembers(std::vector<ProxyCandidate> aMembers);
  std::size_t MemberCount() const { return this->members.size(); }
  const state::HostId& ProxyOf(const state::UpstreamId& aOwner) const;

private:
  const state::HostId self;
  std::vector<ProxyCandidate> members;
  // Kept until the members change.
  mutable std::map<state::UpstreamId, state::HostId> chosen;
};

using ProxyNumber = std::uint64_t;

// What a proxy replies.
struct ProxyReply
{
  // The proxy has no response and will not have one.
  bool isDeclined = false;
  // Set unless it is declined.
  CallerResponse response;
  // Of a declined request: an upstream may have run it.
  bool mayHaveRun = false;
};

// The requests that this host has passed to proxies and that have not ended.
class ProxiedRequests
{
public:
  struct Hooks
  {
    Clock now;
    // Sends the request to the proxy. False if it was surely not sent.
    std::function<bool(const state::HostId&, ProxyNumber, const CallerRequest&)>
      send;
    // Tells the proxy that nobody waits for the response any more.
    std::function<void(const state::HostId&, ProxyNumber)> cancel;
    // Dispatches the request at this host. earlierRuns of the request is set.
    std::function<void(CallerRequest, Dispatcher::Respond)> dispatch;
    // Called once for each request that ended with a response of its proxy or
    // without one; not for those that were dispatched here after all.
    std::function<void(const CallerRequest&, const state::HostId&,
                       const CallerResponse&)>
      onEnded;
    // Called when a request is dispatched here although it has a proxy.
    std::function<void(const state::HostId&, std::string_view aReason)>
      onFallback;
  };

  explicit ProxiedRequests(Hooks aHooks);

  // Passes the request to the proxy. It is answered by aDeadline. Returns its
  // number, or none if it was dispatched here as the proxy cannot be reached.
  std::optional<ProxyNumber> Pass(const state::HostId& aProxy,
                                  CallerRequest aRequest, TimePoint aDeadline,
                                  Dispatcher::Respond aRespond);
  void OnReply(const state::HostId& aFrom, ProxyNumber aNumber,
               ProxyReply aReply);
  // The caller has closed its connection.
  void OnCallerGone(ProxyNumber aNumber);
  // The connection to the proxy has ended, or the proxy has been silent for too
  // long: its replies do not arrive any more. Its requests may have run.
  void OnProxyLost(const state::HostId& aProxy);
  // The same for all proxies; this host stops.
  void OnAllProxiesLost();
  // Ends the requests that are due.
  void OnTimer();
  // When OnTimer is due next; empty if no request is with a proxy.
  std::optional<TimePoint> NextDue() const;
  std::size_t Count() const { return this->requests.size(); }

private:
  struct Entry
  {
    state::HostId proxy;
    CallerRequest request;
    Dispatcher::Respond respond;
    std::multimap<TimePoint, ProxyNumber>::iterator deadline;
  };

  // Dispatches the requests of the proxies here.
  void TakeBack(const std::function<bool(const state::HostId&)>& aIsLost);
  // Removes the request and returns it.
  Entry Take(std::map<ProxyNumber, Entry>::iterator aEntry);

  const Hooks hooks;
  std::map<ProxyNumber, Entry> requests;
  std::multimap<TimePoint, ProxyNumber> deadlines;
  ProxyNumber lastNumber = 0;
};

} // namespace kumquat::routing
