// The choice of owners' proxies, and the requests that were passed to them.

#include "routing/ownerproxies.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace kumquat::routing {

using protocol::ErrorKind;

namespace {

// Owners for each member from which proxies are used. With fewer, the hosts
// meet each owner often enough to keep a connection, and one busy owner would
// be most of what its proxy has to do.
constexpr std::size_t kOwnersPerMember = 4;
// A host that reports fewer processors counts as one with so many.
constexpr double kMinProcessors = 0.1;
// Choices that are kept. Owners come and go while the members stay the same.
constexpr std::size_t kMostChosen = 10'000;
// A request ends here so long before its deadline, as the response has to reach
// the caller too. The proxy ends it 10 ms before its deadline; what it replies
// then arrives before.
constexpr std::chrono::milliseconds kResponseMargin{ 4 };

// The member with the lowest cost for an owner is its proxy. Costs are
// exponentially distributed with the weight as their rate, so that the part of
// the owners for which a member's cost is the lowest is its part of all
// weights.
double CostOf(const ProxyCandidate& aMember, const state::UpstreamId& aOwner)
{
  const auto score =
    static_cast<double>(RendezvousScore(aMember.host.value, aOwner.value));
  constexpr double kRange = 0x1p64;
  return -std::log((score + 0.5) / kRange) /
         std::max(kMinProcessors, aMember.processors);
}

} // namespace

bool CallsForProxies(bool aIsDivided, std::size_t aMembers, std::size_t aOwners)
{
  return aIsDivided && aMembers > 1 && aOwners >= kOwnersPerMember * aMembers;
}

ProxyChoice::ProxyChoice(state::HostId aSelf)
  : self(std::move(aSelf))
{
}

void ProxyChoice::SetMembers(std::vector<ProxyCandidate> aMembers)
{
  // Where costs are equal, all hosts take the same member.
  std::ranges::sort(aMembers, {}, &ProxyCandidate::host);
  if (aMembers == this->members) {
    return;
  }
  this->members = std::move(aMembers);
  this->chosen.clear();
}

const state::HostId& ProxyChoice::ProxyOf(const state::UpstreamId& aOwner) const
{
  const auto known = this->chosen.find(aOwner);
  if (known != this->chosen.end()) {
    return known->second;
  }
  const auto best = std::ranges::min_element(
    this->members, {},
    [&aOwner](const ProxyCandidate& aOne) { return CostOf(aOne, aOwner); });
  if (best == this->members.end()) {
    return this->self;
  }
  if (this->chosen.size() >= kMostChosen) {
    this->chosen.clear();
  }
  return this->chosen.emplace(aOwner, best->host).first->second;
}

ProxiedRequests::ProxiedRequests(Hooks aHooks)
  : hooks(std::move(aHooks))
{
}

// A send that fails says so in its result and not by OnProxyLost: the request
// is kept only once it was sent.
std::optional<ProxyNumber> ProxiedRequests::Pass(const state::HostId& aProxy,
                                                 CallerRequest aRequest,
                                                 TimePoint aDeadline,
                                                 Dispatcher::Respond aRespond)
{
  const ProxyNumber number = ++this->lastNumber;
  if (!this->hooks.send(aProxy, number, aRequest)) {
    this->hooks.onFallback(aProxy, "unreachable");
    this->hooks.dispatch(std::move(aRequest), std::move(aRespond));
    return std::nullopt;
  }
  const auto deadline =
    this->deadlines.emplace(aDeadline - kResponseMargin, number);
  this->requests.emplace(number, Entry{ aProxy, std::move(aRequest),
                                        std::move(aRespond), deadline });
  return number;
}

// A reply can come after its request was dispatched here, when a proxy that was
// taken for lost goes on.
void ProxiedRequests::OnReply(const state::HostId& aFrom, ProxyNumber aNumber,
                              ProxyReply aReply)
{
  const auto found = this->requests.find(aNumber);
  if (found == this->requests.end() || found->second.proxy != aFrom) {
    return;
  }
  Entry entry = this->Take(found);
  if (aReply.isDeclined) {
    entry.request.earlierRuns += aReply.mayHaveRun ? 1 : 0;
    this->hooks.onFallback(entry.proxy,
                           aReply.mayHaveRun ? "no-response" : "declined");
    this->hooks.dispatch(std::move(entry.request), std::move(entry.respond));
    return;
  }
  this->hooks.onEnded(entry.request, entry.proxy, aReply.response);
  entry.respond(std::move(aReply.response));
}

void ProxiedRequests::OnCallerGone(ProxyNumber aNumber)
{
  const auto found = this->requests.find(aNumber);
  if (found == this->requests.end()) {
    return;
  }
  const Entry entry = this->Take(found);
  this->hooks.cancel(entry.proxy, aNumber);
  this->hooks.onEnded(entry.request, entry.proxy,
                      { {}, ErrorKind::kCallerGone, {} });
}

void ProxiedRequests::OnProxyLost(const state::HostId& aProxy)
{
  this->TakeBack(
    [&aProxy](const state::HostId& aOne) { return aOne == aProxy; });
}

void ProxiedRequests::OnAllProxiesLost()
{
  this->TakeBack([](const state::HostId&) { return true; });
}

void ProxiedRequests::TakeBack(
  const std::function<bool(const state::HostId&)>& aIsLost)
{
  std::vector<ProxyNumber> numbers;
  for (const auto& [number, entry] : this->requests) {
    if (aIsLost(entry.proxy)) {
      numbers.push_back(number);
    }
  }
  for (const ProxyNumber number : numbers) {
    // What is done for one request may end another, or pass on a new one.
    const auto found = this->requests.find(number);
    if (found == this->requests.end()) {
      continue;
    }
    Entry entry = this->Take(found);
    ++entry.request.earlierRuns;
    this->hooks.onFallback(entry.proxy, "lost");
    this->hooks.dispatch(std::move(entry.request), std::move(entry.respond));
  }
}

void ProxiedRequests::OnTimer()
{
  const TimePoint now = this->hooks.now();
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const ProxyNumber number = this->deadlines.begin()->second;
    Entry entry = this->Take(this->requests.find(number));
    this->hooks.cancel(entry.proxy, number);
    const CallerResponse response{ {}, ErrorKind::kUpstreamTimeout, {} };
    this->hooks.onEnded(entry.request, entry.proxy, response);
    entry.respond(response);
  }
}

std::optional<TimePoint> ProxiedRequests::NextDue() const
{
  return this->deadlines.empty()
           ? std::nullopt
           : std::optional(this->deadlines.begin()->first);
}

ProxiedRequests::Entry ProxiedRequests::Take(
  std::map<ProxyNumber, Entry>::iterator aEntry)
{
  Entry entry = std::move(aEntry->second);
  this->deadlines.erase(entry.deadline);
  this->requests.erase(aEntry);
  return entry;
}

} // namespace kumquat::routing
