// Updates and queries of what a host knows of upstreams.

#include "routing/upstreams.h"

#include "framework/rendezvous.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>
#include <numeric>
#include <utility>

namespace kumquat::routing {

using std::chrono::milliseconds;

namespace {

// Weights of a new measurement in the moving averages. About the last ten
// service times count, from all hosts: a slow period of a shared machine, some
// 400 ms, is that many requests.
constexpr double kServiceWeight = 0.1;
constexpr double kFailureWeight = 0.2;
// After this long without a response, a third is left of the time by which an
// upstream was slower than typical.
constexpr milliseconds kSlowPeriodDecay{ 4000 };
// After this many consecutive failures the upstream is ejected, first for the
// shorter time, and twice as long after each further failure. A single reset is
// common on links that lose packets and must not eject an upstream.
constexpr int kFailuresToEject = 3;
constexpr int kUnreachableToEject = 1;
constexpr milliseconds kFirstEjection{ 300 };
constexpr milliseconds kLongestEjection{ 2000 };
// A write that got no response may be carried out some seconds later.
constexpr std::chrono::seconds kRemovedEntryKept{ 60 };

constexpr std::array<std::pair<EntryChange, std::string_view>, 3> kEntryChanges{
  {
    { EntryChange::kOutdated, "outdated" },
    { EntryChange::kUpdated, "updated" },
    { EntryChange::kNewIncarnation, "new-life" },
  }
};

double ToMs(Duration aDuration)
{
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

void UpdateAverage(double& aAverage, double aValue, double aWeight)
{
  aAverage += aWeight * (aValue - aAverage);
}

void Eject(UpstreamState& aUpstream, TimePoint aNow)
{
  aUpstream.ejectionTime =
    aUpstream.ejectionTime.count() == 0
      ? kFirstEjection
      : std::min(kLongestEjection, aUpstream.ejectionTime * 2);
  aUpstream.ejectedUntil = aNow + aUpstream.ejectionTime;
}

// A typical request's own time, where one with the given work took so long. The
// requests ahead of it are taken to be typical.
double OwnServiceMs(const UpstreamState& aUpstream, double aTookMs, int aAhead,
                    double aWork)
{
  return aTookMs / (RoundsBehind(aUpstream, aAhead) + (aWork - 1.0));
}

// Requests of all hosts that were there beside the one that has ended. If hosts
// are divided into cells, none of them counts those of the others.
int QueueLength(const std::optional<UpstreamLoad>& aLoad)
{
  return aLoad ? aLoad->running + aLoad->waiting - 1 : 0;
}

// How long a full upstream is left alone.
//
// An upstream may be full with requests of hosts whose digests this host does
// not get. Its refusal arrived within a millisecond, and the four attempts of a
// request were used up within ten, all at the same upstream: at the owner of a
// hot key 8,500 of 27,900 arrivals were refused like this. One of its slots
// becomes free after about this time.
//
// When 295 hosts each sent a request to a hot key's owner whenever one of its
// slots might be free, that made some thousand a second where it runs twenty,
// and a third of all arrivals were refused. So the more hosts share an
// upstream, the longer each host leaves it alone after consecutive refusals.
Duration FullPause(const UpstreamState& aUpstream, std::size_t aHosts)
{
  constexpr double kMinMs = 20;
  // So many hosts can share an owner's slots without a longer pause.
  constexpr double kHostsWithoutBackoff = 16;
  const double ms =
    std::max(kMinMs, aUpstream.serviceMs / aUpstream.entry.slots);
  const double maxFactor =
    std::max(1.0, static_cast<double>(aHosts) / kHostsWithoutBackoff);
  const double factor =
    std::min(maxFactor, std::exp2(aUpstream.consecutiveFullRefusals - 1));
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double, std::milli>(ms * factor));
}

// Whether a refusal means that the upstream is full. If it has free slots the
// refusal was a fault of the upstream, and it may well accept the next request.
bool IsFull(const std::optional<UpstreamLoad>& aLoad)
{
  return !aLoad || aLoad->running >= aLoad->slots || aLoad->waiting > 0;
}

// aMs is the mean over aResponses responses.
void UpdateServiceTime(UpstreamState& aUpstream, double aMs, int aResponses,
                       TimePoint aNow)
{
  const bool isCold = aUpstream.coldUntil > aNow;
  const bool isFirstWarm = aUpstream.measuredWhileCold && !isCold;
  aUpstream.measuredAt = aNow;
  if (aUpstream.serviceMs <= 0 || isFirstWarm) {
    aUpstream.serviceMs = aMs;
    aUpstream.measuredWhileCold = isCold;
    return;
  }
  UpdateAverage(aUpstream.serviceMs, aMs,
                1.0 - std::pow(1.0 - kServiceWeight, aResponses));
}

double MeanServiceMs(const std::vector<UpstreamState*>& aUpstreams,
                     TimePoint aNow)
{
  struct Mean
  {
    double sum = 0;
    std::size_t count = 0;

    void Add(double aValue)
    {
      this->sum += aValue;
      ++this->count;
    }
    double Value() const
    {
      return this->count == 0 ? 0
                              : this->sum / static_cast<double>(this->count);
    }
  };
  Mean known;
  Mean fresh;
  for (const UpstreamState* one : aUpstreams) {
    if (one->serviceMs <= 0) {
      continue;
    }
    known.Add(one->serviceMs);
    if (!one->measuredWhileCold &&
        aNow - one->measuredAt < 2 * kSlowPeriodDecay) {
      fresh.Add(one->serviceMs);
    }
  }
  return fresh.count > 0 ? fresh.Value() : known.Value();
}

} // namespace

double RoundsBehind(const UpstreamState& aUpstream, int aAhead)
{
  return std::max(1.0, static_cast<double>(aAhead + 1) / aUpstream.entry.slots);
}

double EstimatedServiceMs(const UpstreamState& aUpstream, double aTypicalMs,
                          TimePoint aNow)
{
  const bool isOfColdTime =
    aUpstream.measuredWhileCold && aUpstream.coldUntil <= aNow;
  if (aUpstream.serviceMs <= 0 || isOfColdTime) {
    return aTypicalMs;
  }
  if (aUpstream.serviceMs <= aTypicalMs) {
    return aUpstream.serviceMs;
  }
  const double age = ToMs(aNow - aUpstream.measuredAt) / ToMs(kSlowPeriodDecay);
  return aTypicalMs + (aUpstream.serviceMs - aTypicalMs) * std::exp(-age);
}

std::string_view EntryChangeName(EntryChange aChange)
{
  return std::ranges::find(kEntryChanges, aChange,
                           &decltype(kEntryChanges)::value_type::first)
    ->second;
}

std::optional<Upstreams::LastEntry> Upstreams::LastEntryOf(
  const state::UpstreamId& aId) const
{
  const auto current = this->upstreams.find(aId);
  if (current != this->upstreams.end()) {
    const UpstreamEntry& entry = current->second.entry;
    return LastEntry{
      entry.startedMs, entry.sequence, entry.leaving, entry.address, {}
    };
  }
  const auto removedEntry = this->removed.find(aId);
  return removedEntry == this->removed.end()
           ? std::nullopt
           : std::optional(removedEntry->second);
}

std::optional<std::string> Upstreams::LastAddressOf(
  const state::UpstreamId& aId, std::int64_t aStartedMs) const
{
  const std::optional<LastEntry> last = this->LastEntryOf(aId);
  return last && last->startedMs == aStartedMs ? std::optional(last->address)
                                               : std::nullopt;
}

void Upstreams::RemoveNow(const state::UpstreamId& aId, TimePoint aNow)
{
  if (auto last = this->LastEntryOf(aId)) {
    last->removedAt = aNow;
    this->removed[aId] = *last;
  }
  const auto found = this->upstreams.find(aId);
  if (found != this->upstreams.end()) {
    this->RemoveFromIndex(found->second);
    this->RemoveAddress(found->second.entry.address);
    this->upstreams.erase(found);
  }
  this->expiring.erase(aId);
  this->markedLeaving.erase(aId);
  this->reportable.erase(aId);
  this->timed.erase(aId);
  this->awaited.erase(aId);
}

void Upstreams::RemoveAddress(const std::string& aAddress)
{
  const auto known = this->addresses.find(aAddress);
  if (known != this->addresses.end()) {
    this->addresses.erase(known);
  }
}

EntryChange Upstreams::PutEntry(const UpstreamEntry& aEntry, TimePoint aNow)
{
  const auto found = this->upstreams.find(aEntry.id);
  const std::optional<LastEntry> last = this->LastEntryOf(aEntry.id);
  const bool isSameLife =
    last && aEntry.startedMs != 0 && last->startedMs == aEntry.startedMs;
  if (last && (last->startedMs > aEntry.startedMs ||
               (isSameLife && last->sequence > aEntry.sequence))) {
    return EntryChange::kOutdated;
  }
  const bool newLife = found == this->upstreams.end() ||
                       found->second.entry.startedMs < aEntry.startedMs;
  const bool isMoved = found == this->upstreams.end() ||
                       found->second.entry.service != aEntry.service ||
                       found->second.entry.dataCentre != aEntry.dataCentre;
  if (isMoved && found != this->upstreams.end()) {
    this->RemoveFromIndex(found->second);
  }
  const std::string previousAddress =
    found == this->upstreams.end() ? "" : found->second.entry.address;
  if (newLife) {
    UpstreamState fresh;
    fresh.knownSince = aNow;
    if (found != this->upstreams.end()) {
      fresh.runningFromPeers = found->second.runningFromPeers;
      fresh.waitingAtPeers = found->second.waitingAtPeers;
      // Requests that were sent to the previous incarnation still end here one
      // by one.
      fresh.running = std::move(found->second.running);
    } else {
      for (const auto& [peer, uses] : this->peers) {
        const auto use = uses.find(aEntry.id.value);
        if (use != uses.end()) {
          fresh.runningFromPeers += use->second.running;
          fresh.waitingAtPeers += use->second.waiting;
        }
      }
    }
    this->upstreams[aEntry.id] = std::move(fresh);
    this->markedLeaving.erase(aEntry.id);
  }
  UpstreamState& upstream = this->upstreams[aEntry.id];
  if (found != this->upstreams.end()) {
    this->RemoveAddress(previousAddress);
  }
  this->addresses.insert(aEntry.address);
  upstream.entry = aEntry;
  upstream.order = RendezvousScore(aEntry.id.value, "cell");
  if (isMoved) {
    this->AddToIndex(upstream);
  }
  this->byService[aEntry.service].isDivided = false;
  const bool wasLeaving = isSameLife && last->leaving;
  upstream.entry.leaving = aEntry.leaving || wasLeaving;
  if (upstream.entry.leaving && !wasLeaving) {
    upstream.leavingSince = aNow;
  }
  upstream.coldUntil = aNow + aEntry.coldRemaining;
  upstream.removeAt.reset();
  this->expiring.erase(aEntry.id);
  this->removed.erase(aEntry.id);
  return newLife ? EntryChange::kNewIncarnation : EntryChange::kUpdated;
}

bool Upstreams::MarkLeaving(const state::UpstreamId& aId,
                            std::int64_t aStartedMs, TimePoint aNow)
{
  UpstreamState* upstream = this->Find(aId);
  if (upstream == nullptr || upstream->entry.startedMs != aStartedMs ||
      upstream->entry.leaving) {
    return false;
  }
  upstream->entry.leaving = true;
  upstream->leavingSince = aNow;
  this->markedLeaving[aId] = aStartedMs;
  this->byService[upstream->entry.service].isDivided = false;
  return true;
}

void Upstreams::RemoveEntry(const state::UpstreamId& aId, TimePoint aNow,
                            milliseconds aGrace)
{
  const auto found = this->upstreams.find(aId);
  if (found == this->upstreams.end()) {
    return;
  }
  if (aGrace.count() == 0) {
    this->RemoveNow(aId, aNow);
    return;
  }
  if (!found->second.removeAt) {
    found->second.removeAt = aNow + aGrace;
    this->expiring.insert(aId);
  }
}

void Upstreams::RemoveExpired(TimePoint aNow)
{
  std::vector<state::UpstreamId> expired;
  std::ranges::copy_if(this->expiring, std::back_inserter(expired),
                       [&](const state::UpstreamId& aId) {
                         return *this->upstreams.at(aId).removeAt <= aNow;
                       });
  std::ranges::for_each(
    expired, [&](const state::UpstreamId& aId) { this->RemoveNow(aId, aNow); });
  std::erase_if(this->removed, [aNow](const auto& aItem) {
    return aNow - aItem.second.removedAt > kRemovedEntryKept;
  });
}

bool Upstreams::HasExpiring() const
{
  return !this->expiring.empty();
}

std::optional<TimePoint> Upstreams::ReturnedAt(
  const state::DataCentre& aCentre) const
{
  const auto found = this->returnedAt.find(aCentre);
  return found == this->returnedAt.end() ? std::nullopt
                                         : std::optional(found->second);
}

void Upstreams::SetOutOfService(std::set<state::DataCentre> aOut,
                                TimePoint aNow)
{
  if (aOut != this->outOfService) {
    for (const state::DataCentre& centre : this->outOfService) {
      if (!aOut.contains(centre)) {
        this->returnedAt[centre] = aNow;
      }
    }
    this->outOfService = std::move(aOut);
    this->DivideAllAgain();
  }
}

void Upstreams::SetCellRange(const FractionRange& aRange)
{
  this->cellRange = aRange;
  this->DivideAllAgain();
}

UpstreamState* Upstreams::Find(const state::UpstreamId& aId)
{
  const auto found = this->upstreams.find(aId);
  return found == this->upstreams.end() ? nullptr : &found->second;
}

const UpstreamState* Upstreams::Find(const state::UpstreamId& aId) const
{
  const auto found = this->upstreams.find(aId);
  return found == this->upstreams.end() ? nullptr : &found->second;
}

// --- Index

namespace {

bool IsBefore(const UpstreamState* aOne, const UpstreamState* aOther)
{
  const int centres =
    aOne->entry.dataCentre.value.compare(aOther->entry.dataCentre.value);
  return centres != 0                   ? centres < 0
         : aOne->order != aOther->order ? aOne->order < aOther->order
                                        : aOne->entry.id < aOther->entry.id;
}

} // namespace

// With thousands of upstreams, sorting all of them after each change took a
// small host a third of its processor.
void Upstreams::AddToIndex(UpstreamState& aUpstream)
{
  auto& all = this->byService[aUpstream.entry.service].lists.all;
  all.insert(std::ranges::upper_bound(all, &aUpstream, IsBefore), &aUpstream);
}

void Upstreams::RemoveFromIndex(const UpstreamState& aUpstream)
{
  ServiceIndex& index = this->byService[aUpstream.entry.service];
  std::erase(index.lists.all, &aUpstream);
  index.isDivided = false;
}

void Upstreams::DivideAllAgain()
{
  for (auto& [name, index] : this->byService) {
    index.isDivided = false;
  }
}

const ServiceUpstreams& Upstreams::ForService(
  const state::ServiceName& aService)
{
  ServiceIndex& index = this->byService[aService];
  if (!index.isDivided) {
    this->Divide(index.lists);
    index.isDivided = true;
  }
  return index.lists;
}

void Upstreams::Divide(ServiceUpstreams& aLists) const
{
  aLists.inCell.clear();
  aLists.inOtherCells.clear();
  const auto isUsable = [this](const UpstreamState* aOne) {
    return this->IsUsable(*aOne);
  };
  const auto count =
    static_cast<std::size_t>(std::ranges::count_if(aLists.all, isUsable));
  std::size_t place = 0;
  for (UpstreamState* one : aLists.all) {
    if (!isUsable(one)) {
      continue;
    }
    one->isInCell = OverlapsRange(this->cellRange, place, count);
    one->isInPrimaryCell = BeginsInRange(this->cellRange, place, count);
    one->cellPart = PartInRange(this->cellRange, place, count);
    (one->isInCell ? aLists.inCell : aLists.inOtherCells).push_back(one);
    ++place;
  }
}

// The mean changes slowly, and of a service with many upstreams it would take
// most of a request's time.
double Upstreams::TypicalServiceMs(const state::ServiceName& aService,
                                   TimePoint aNow)
{
  constexpr std::size_t kFewUpstreams = 500;
  constexpr milliseconds kKeptFor{ 50 };
  ServiceIndex& index = this->byService[aService];
  if (index.lists.all.size() <= kFewUpstreams ||
      aNow - index.typicalMsAt >= kKeptFor) {
    index.typicalMs = MeanServiceMs(index.lists.all, aNow);
    index.typicalMsAt = aNow;
  }
  return index.typicalMs;
}

void Upstreams::ScaleServiceMs(const state::ServiceName& aService,
                               double aFactor)
{
  const auto index = this->byService.find(aService);
  if (aFactor == 1.0 || index == this->byService.end()) {
    return;
  }
  for (UpstreamState* one : index->second.lists.all) {
    one->serviceMs *= aFactor;
    one->unreportedSumMs *= aFactor;
  }
  index->second.typicalMs *= aFactor;
}

void Upstreams::OnSent(const state::UpstreamId& aId, TimePoint aNow,
                       double aWork)
{
  if (UpstreamState* upstream = this->Find(aId)) {
    upstream->running.emplace(aNow, aWork);
    this->reportable.insert(aId);
  }
}

void Upstreams::OnAttemptEnded(const state::UpstreamId& aId, TimePoint aSent,
                               int aAhead, AttemptResult aResult,
                               const std::optional<UpstreamLoad>& aLoad,
                               TimePoint aNow, double aWork)
{
  UpstreamState* upstream = this->Find(aId);
  if (upstream == nullptr) {
    return;
  }
  const auto sent = upstream->running.find(aSent);
  if (sent != upstream->running.end()) {
    upstream->running.erase(sent);
  }
  if (aLoad && aLoad->slowdown) {
    upstream->slowdown = *aLoad->slowdown;
    upstream->slowdownAt = aNow;
  }
  const double ownMs =
    OwnServiceMs(*upstream, ToMs(aNow - aSent), aAhead, aWork);
  switch (aResult) {
    case AttemptResult::kServed:
      UpdateServiceTime(*upstream, ownMs, 1, aNow);
      ++upstream->tally.answers;
      upstream->tally.sumMs += ownMs;
      ++upstream->unreportedAnswers;
      this->reportable.insert(aId);
      upstream->unreportedSumMs += ownMs;
      if (this->timedServices.contains(upstream->entry.service)) {
        ++upstream->untakenAnswers;
        upstream->untakenSumMs +=
          OwnServiceMs(*upstream, ToMs(aNow - aSent),
                       std::max(aAhead, QueueLength(aLoad)), aWork);
        this->timed.insert(aId);
      }
      UpdateAverage(upstream->failureShare, 0, kFailureWeight);
      upstream->consecutiveFailures = 0;
      upstream->consecutiveFullRefusals = 0;
      upstream->ejectionTime = milliseconds(0);
      return;
    case AttemptResult::kAbandoned:
      // It took at least this long; a shorter time says nothing.
      if (ownMs > upstream->serviceMs) {
        UpdateServiceTime(*upstream, ownMs, 1, aNow);
      }
      return;
    case AttemptResult::kNotSent:
      return;
    case AttemptResult::kRefused:
      ++upstream->tally.refusals;
      UpdateAverage(upstream->failureShare, 1, kFailureWeight);
      if (IsFull(aLoad)) {
        ++upstream->consecutiveFullRefusals;
        upstream->fullUntil = aNow + FullPause(*upstream, this->hostCount);
      }
      return;
    case AttemptResult::kFailed:
    case AttemptResult::kUnreachable:
      break;
  }
  ++upstream->tally.failures;
  UpdateAverage(upstream->failureShare, 1, kFailureWeight);
  ++upstream->consecutiveFailures;
  const int failuresToEject = aResult == AttemptResult::kUnreachable
                                ? kUnreachableToEject
                                : kFailuresToEject;
  if (upstream->consecutiveFailures >= failuresToEject &&
      upstream->ejectedUntil <= aNow) {
    Eject(*upstream, aNow);
  }
}

void Upstreams::OnReplaced(const state::UpstreamId& aId,
                           const std::string& aAddress, TimePoint aNow)
{
  const UpstreamState* upstream = this->Find(aId);
  // A new incarnation may have another address by now.
  if (upstream != nullptr && upstream->entry.address == aAddress) {
    this->RemoveNow(aId, aNow);
  }
}

void Upstreams::OnPeerReports(const state::HostId& aPeer,
                              const std::vector<UpstreamReport>& aReports,
                              TimePoint aNow)
{
  this->ForgetPeer(aPeer);
  std::unordered_map<std::string, PeerUse>& uses = this->peers[aPeer];
  for (const UpstreamReport& report : aReports) {
    uses[report.id.value] = { report.running, report.waiting };
    UpstreamState* upstream = this->Find(report.id);
    if (upstream == nullptr) {
      continue;
    }
    upstream->runningFromPeers += report.running;
    upstream->waitingAtPeers += report.waiting;
    if (report.answers > 0) {
      upstream->tally.answers += report.answers;
      upstream->tally.sumMs += report.answers * report.serviceMs;
      UpdateServiceTime(*upstream, report.serviceMs, report.answers, aNow);
    }
  }
}

void Upstreams::SetWaiting(const std::map<state::UpstreamId, int>& aWaiting)
{
  for (const state::UpstreamId& id : this->awaited) {
    this->upstreams.at(id).waiting = 0;
  }
  this->awaited.clear();
  for (const auto& [id, count] : aWaiting) {
    if (UpstreamState* upstream = this->Find(id)) {
      upstream->waiting = count;
      this->awaited.insert(id);
      this->reportable.insert(id);
    }
  }
}

std::vector<UpstreamReport> Upstreams::TakeReports()
{
  std::vector<UpstreamReport> reports;
  for (const state::UpstreamId& id : this->reportable) {
    UpstreamState& upstream = this->upstreams.at(id);
    const int own = static_cast<int>(upstream.running.size());
    if (own == 0 && upstream.unreportedAnswers == 0 && upstream.waiting == 0) {
      continue;
    }
    const double mean =
      upstream.unreportedAnswers == 0
        ? 0
        : upstream.unreportedSumMs / upstream.unreportedAnswers;
    reports.push_back(
      { id, own, upstream.unreportedAnswers, mean, upstream.waiting });
    upstream.unreportedAnswers = 0;
    upstream.unreportedSumMs = 0;
  }
  std::erase_if(this->reportable, [this](const state::UpstreamId& aId) {
    const UpstreamState& upstream = this->upstreams.at(aId);
    return upstream.running.empty() && upstream.waiting == 0;
  });
  return reports;
}

void Upstreams::SetTimedServices(std::set<state::ServiceName> aServices)
{
  if (aServices == this->timedServices) {
    return;
  }
  this->timedServices = std::move(aServices);
  static_cast<void>(this->TakeOwnTimes([this](const UpstreamState& aUpstream) {
    return !this->timedServices.contains(aUpstream.entry.service);
  }));
}

std::vector<OwnTime> Upstreams::TakeOwnTimes(
  const std::function<bool(const UpstreamState&)>& aIsWanted)
{
  std::vector<OwnTime> times;
  std::erase_if(this->timed, [&](const state::UpstreamId& aId) {
    UpstreamState& upstream = this->upstreams.at(aId);
    // A new incarnation has none of the responses of the one before.
    if (upstream.untakenAnswers == 0) {
      return true;
    }
    if (!aIsWanted(upstream)) {
      return false;
    }
    times.push_back({ aId, upstream.untakenAnswers,
                      upstream.untakenSumMs / upstream.untakenAnswers });
    upstream.untakenAnswers = 0;
    upstream.untakenSumMs = 0;
    return true;
  });
  return times;
}

void Upstreams::ForgetPeer(const state::HostId& aPeer)
{
  const auto found = this->peers.find(aPeer);
  if (found == this->peers.end()) {
    return;
  }
  for (const auto& [id, use] : found->second) {
    if (UpstreamState* upstream = this->Find({ id })) {
      upstream->runningFromPeers =
        std::max(0, upstream->runningFromPeers - use.running);
      upstream->waitingAtPeers =
        std::max(0, upstream->waitingAtPeers - use.waiting);
    }
  }
  this->peers.erase(found);
}

} // namespace kumquat::routing
