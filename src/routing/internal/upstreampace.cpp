// The pace of one upstream from its start to the use of all its slots.

#include "routing/upstreampace.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <utility>

namespace kumquat::routing {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// An answer is in the warm time up to this many times it. A cold upstream takes
// twice as long, and times vary.
constexpr double kWarmFactor = 1.7;
// To show that an upstream is not cold takes more: so many answers, none of
// them slow.
constexpr double kProofFactor = 1.35;
constexpr int kProofAnswers = 6;
// Reports of peers bring the answers of several round trips at once.
constexpr double kMostPerRound = 3;
constexpr milliseconds kLeastRound{ 50 };
// So long without any answer, or twice the warm time if that is longer, and the
// pace is raised with time.
constexpr milliseconds kSilence{ 200 };
// An upstream that answers in time after so long, or of which nothing is heard,
// is not taken for cold any longer, if none has said that it is cold for
// longer.
constexpr seconds kMayBeCold{ 5 };
// Requests that were sent before an upstream became cold are answered, and
// reported by peers, within this time.
constexpr seconds kLateAnswers{ 1 };
// An upstream that has answered for so long as slowly is as fast as it gets.
constexpr seconds kPatience{ 10 };
// The rate is kept to until it is so many times what the slots come to: what
// waited at all hosts during the pace would come at once.
constexpr double kRateBeyondSlots = 2;
// A refusal or failure alone changes nothing; so many within this time do.
constexpr int kBadToCut = 2;
constexpr seconds kBadSpan{ 1 };
// Weight of a new answer in the moving average of slow ones.
constexpr double kWeight = 0.1;
// Weights of an answer that is faster, or slower, than the warm time: answers
// of a busy upstream waited there, which shall not count.
constexpr double kFasterWeight = 0.2;
constexpr double kSlowerWeight = 0.01;
// A host that has just started takes the upstreams that it reads of for known,
// not for new.
constexpr seconds kReading{ 5 };
// An upstream that gets its first request so long after the return of its data
// centre is warm.
constexpr seconds kReturnedFor{ 10 };

constexpr std::array<std::pair<PaceStart, std::string_view>, 5> kStarts{ {
  { PaceStart::kCold, "cold" },
  { PaceStart::kNew, "new" },
  { PaceStart::kEjected, "ejected" },
  { PaceStart::kReturned, "returned" },
  { PaceStart::kNewOwner, "new-owner" },
} };

constexpr std::array<std::pair<PaceChange, std::string_view>, 3> kChanges{ {
  { PaceChange::kSet, "set" },
  { PaceChange::kCut, "cut" },
  { PaceChange::kFull, "full" },
} };

constexpr std::array<std::pair<PaceReason, std::string_view>, 6> kReasons{ {
  { PaceReason::kStarted, "started" },
  { PaceReason::kAnswers, "answers" },
  { PaceReason::kSilence, "silence" },
  { PaceReason::kOwnTime, "own-time" },
  { PaceReason::kRefusals, "refusals" },
  { PaceReason::kFailures, "failures" },
} };

template<typename Table, typename Key>
std::string_view NameIn(const Table& aTable, Key aKey)
{
  return std::ranges::find(aTable, aKey, &Table::value_type::first)->second;
}

double AverageOf(double aAverage, double aValue, int aCount, double aWeight)
{
  return aAverage <= 0 ? aValue
                       : aAverage + (1 - std::pow(1 - aWeight, aCount)) *
                                      (aValue - aAverage);
}

double WarmTime(double aKnown, double aValue, int aCount)
{
  return AverageOf(aKnown, aValue, aCount,
                   aValue < aKnown ? kFasterWeight : kSlowerWeight);
}

bool SaysNothingOfColdness(PaceStart aStart)
{
  return aStart == PaceStart::kEjected || aStart == PaceStart::kReturned;
}

} // namespace

std::string_view PaceStartName(PaceStart aStart)
{
  return NameIn(kStarts, aStart);
}

std::string_view PaceChangeName(PaceChange aChange)
{
  return NameIn(kChanges, aChange);
}

std::string_view PaceReasonName(PaceReason aReason)
{
  return NameIn(kReasons, aReason);
}

UpstreamPace::UpstreamPace(const PaceTerms& aTerms, const PaceView& aView)
  : terms(aTerms)
  , seen(aView.tally)
  , mayBeCold(SaysNothingOfColdness(aTerms.start))
  , inFlight(this->LeastInFlight())
  , heardAt(std::max(aTerms.since, aView.coldUntil))
  , pacedSince(this->heardAt)
{
  this->BeginRound(this->heardAt);
}

// What the cold rate comes to; where the warm time is unknown, one request.
double UpstreamPace::LeastInFlight() const
{
  return this->terms.warmMs > 0
           ? this->terms.coldPerSecond * this->terms.warmMs / 1000
           : 1;
}

bool UpstreamPace::IsColdTimeOver(TimePoint aNow) const
{
  return aNow - this->terms.since >= this->terms.coldTime;
}

double UpstreamPace::PerSecond() const
{
  return this->terms.coldPerSecond * this->inFlight / this->LeastInFlight();
}

int UpstreamPace::Slots() const
{
  return std::max(1, static_cast<int>(std::ceil(this->inFlight)));
}

void UpstreamPace::BeginRound(TimePoint aNow)
{
  this->roundInFlight = this->inFlight;
  this->roundAt = aNow;
}

void UpstreamPace::Raise(double aBy, const PaceView& aView)
{
  const auto round =
    std::max(kLeastRound, milliseconds(static_cast<int>(this->terms.warmMs)));
  if (aView.now - this->roundAt >= round) {
    this->BeginRound(aView.now);
  }
  this->inFlight =
    std::min(kMostPerRound * this->roundInFlight, this->inFlight + aBy);
}

std::optional<UpstreamPace::Change> UpstreamPace::OnBad(int aRefusals,
                                                        int aFailures,
                                                        const PaceView& aView)
{
  if (aRefusals + aFailures == 0) {
    return std::nullopt;
  }
  this->goodInRow = 0;
  this->heardAt = std::max(this->heardAt, aView.now);
  if (this->bad == 0 || aView.now - this->firstBadAt > kBadSpan) {
    this->bad = 0;
    this->firstBadAt = aView.now;
  }
  this->bad += aRefusals + aFailures;
  if (this->bad < kBadToCut) {
    return std::nullopt;
  }
  this->bad = 0;
  this->pacedSince = std::max(this->pacedSince, aView.now);
  const double before = this->inFlight;
  this->inFlight = std::max(this->LeastInFlight(), this->inFlight / 2);
  this->BeginRound(aView.now);
  return this->inFlight < before
           ? std::optional(Change{ PaceChange::kCut,
                                   aRefusals > 0 ? PaceReason::kRefusals
                                                 : PaceReason::kFailures })
           : std::nullopt;
}

void UpstreamPace::OnAnswers(int aCount, double aMeanMs, const PaceView& aView)
{
  this->heardAt = aView.now;
  const bool isKnown = this->terms.warmMs > 0;
  if (isKnown && aMeanMs > kWarmFactor * this->terms.warmMs) {
    this->goodInRow = 0;
    this->slowMs = AverageOf(this->slowMs, aMeanMs, aCount, kWeight);
    if (aView.now - this->pacedSince >= kPatience) {
      this->terms.warmMs = this->slowMs;
      this->mayBeCold = false;
      this->lastRaise = PaceReason::kOwnTime;
      this->inFlight = std::max(this->inFlight, this->LeastInFlight());
    }
    return;
  }
  if (this->mayBeCold) {
    if (!isKnown || aMeanMs > kProofFactor * this->terms.warmMs) {
      return;
    }
    this->goodInRow += aCount;
    // Those of a whole data centre come back cold, as a rule, and a few answers
    // are not enough to risk them all.
    this->mayBeCold = !this->IsColdTimeOver(aView.now) &&
                      (this->terms.start == PaceStart::kReturned ||
                       this->goodInRow < kProofAnswers);
    if (this->mayBeCold) {
      return;
    }
  }
  if (this->lastRaise == PaceReason::kSilence) {
    this->lastRaise = PaceReason::kAnswers;
  }
  this->Raise(aCount / std::clamp(aView.knownPart, 0.01, 1.0), aView);
}

void UpstreamPace::OnSilence(const PaceView& aView)
{
  const auto silence =
    std::max(kSilence, milliseconds(static_cast<int>(2 * this->terms.warmMs)));
  while (aView.now - this->heardAt >= silence &&
         this->inFlight < kRateBeyondSlots * aView.slots) {
    this->heardAt += silence;
    this->inFlight *= 2;
    this->lastRaise = PaceReason::kSilence;
  }
}

std::optional<UpstreamPace::Change> UpstreamPace::Update(const PaceView& aView)
{
  const UpstreamTally before = std::exchange(this->seen, aView.tally);
  const int answers = aView.tally.answers - before.answers;
  if (aView.coldUntil > aView.now) {
    // Its entry may say so once more.
    this->inFlight = this->LeastInFlight();
    this->mayBeCold = false;
    this->heardAt = aView.coldUntil;
    this->pacedSince = aView.coldUntil;
    this->BeginRound(aView.coldUntil);
    return std::nullopt;
  }
  // One that was written before the return may be read after it.
  if (aView.hasNewEntry && this->terms.start != PaceStart::kReturned) {
    this->mayBeCold = false;
  }
  if (this->mayBeCold && aView.now - this->terms.since < kLateAnswers) {
    return std::nullopt;
  }
  const auto change =
    this->OnBad(aView.tally.refusals - before.refusals,
                aView.tally.failures - before.failures, aView);
  if (answers > 0) {
    this->OnAnswers(answers, (aView.tally.sumMs - before.sumMs) / answers,
                    aView);
  } else if (this->mayBeCold) {
    this->mayBeCold = !this->IsColdTimeOver(aView.now) ||
                      aView.now - this->heardAt < kLateAnswers;
  } else {
    this->OnSilence(aView);
  }
  if (this->inFlight >= kRateBeyondSlots * aView.slots) {
    this->isFull = true;
    return Change{ PaceChange::kFull, this->lastRaise };
  }
  return change;
}

UpstreamPaces::UpstreamPaces(Upstreams& aUpstreams, Clock aClock)
  : upstreams(aUpstreams)
  , clock(std::move(aClock))
  , startedAt(this->clock())
{
}

std::optional<UpstreamPaces::Found> UpstreamPaces::FindStart(
  const UpstreamState& aUpstream, const Record& aRecord, bool aIsKnown,
  const Context& aContext) const
{
  if (aUpstream.coldUntil > aContext.now) {
    return aRecord.pace && aIsKnown
             ? std::nullopt
             : std::optional(Found{ PaceStart::kCold, aContext.now });
  }
  if (aUpstream.ejectedUntil > aRecord.ejectedUntil) {
    return Found{ PaceStart::kEjected, aUpstream.ejectedUntil };
  }
  const auto returnedAt =
    this->upstreams.ReturnedAt(aUpstream.entry.dataCentre);
  if (returnedAt && returnedAt != aRecord.returnedAt &&
      aContext.now - *returnedAt < kReturnedFor) {
    return Found{ PaceStart::kReturned, *returnedAt };
  }
  const TimePoint knownSince = aUpstream.knownSince;
  if (knownSince <= this->startedAt + kReading) {
    return std::nullopt;
  }
  if (!aIsKnown) {
    return Found{ PaceStart::kNew, knownSince };
  }
  if (aContext.isNewOwner && !aRecord.pace && !aRecord.isMeasured) {
    return Found{ PaceStart::kNewOwner, aContext.now };
  }
  return std::nullopt;
}

void UpstreamPaces::Learn(const UpstreamState& aUpstream, Record& aRecord)
{
  const UpstreamTally before = std::exchange(aRecord.seen, aUpstream.tally);
  const int answers = aUpstream.tally.answers - before.answers;
  if (answers <= 0) {
    return;
  }
  const double meanMs = (aUpstream.tally.sumMs - before.sumMs) / answers;
  aRecord.isMeasured = true;
  aRecord.warmMs = WarmTime(aRecord.warmMs, meanMs, answers);
  double& ofService = this->services[aUpstream.entry.service].warmMs;
  ofService = WarmTime(ofService, meanMs, answers);
}

std::optional<PaceNotice> UpstreamPaces::Update(UpstreamState& aUpstream,
                                                const Context& aContext)
{
  const auto [found, isFirst] =
    this->records.try_emplace(aUpstream.entry.id.value);
  Record& record = found->second;
  const bool isKnown =
    !isFirst && record.startedMs == aUpstream.entry.startedMs;
  const auto start = this->FindStart(aUpstream, record, isKnown, aContext);
  if (!isKnown) {
    record.startedMs = aUpstream.entry.startedMs;
    record.seen = aUpstream.tally;
    record.pace.reset();
    record.isMeasured = false;
  }
  record.context = aContext;
  record.ejectedUntil = std::max(record.ejectedUntil, aUpstream.ejectedUntil);
  record.returnedAt = this->upstreams.ReturnedAt(aUpstream.entry.dataCentre);
  const PaceView view{
    aContext.now,          aUpstream.coldUntil,
    aUpstream.entry.slots, aUpstream.tally,
    aContext.knownPart,    aUpstream.entry.sequence > record.sequence
  };
  const auto notice = [&](UpstreamPace::Change aChange) {
    return PaceNotice{ aUpstream.entry.id, record.pace->Start(), aChange,
                       record.pace->PerSecond(),
                       std::min(aUpstream.entry.slots, record.pace->Slots()) };
  };
  ServiceTimes& ofService = this->services[aUpstream.entry.service];
  ofService.cold = std::max<Duration>(
    { ofService.cold, aUpstream.entry.coldRemaining, kMayBeCold });
  if (start) {
    record.pace.emplace(
      PaceTerms{ start->start, aContext.coldPerSecond,
                 record.warmMs > 0 ? record.warmMs : ofService.warmMs,
                 start->since, ofService.cold },
      view);
    record.sequence = aUpstream.entry.sequence;
    this->paced.insert(aUpstream.entry.id.value);
    aUpstream.pacedSlots = record.pace->Slots();
    return notice({ PaceChange::kSet, PaceReason::kStarted });
  }
  if (!record.pace) {
    this->Learn(aUpstream, record);
    return std::nullopt;
  }
  const auto change = record.pace->Update(view);
  record.seen = aUpstream.tally;
  // The rate alone binds while the upstream is cold: its requests take longer.
  aUpstream.pacedSlots = aUpstream.coldUntil > aContext.now
                           ? std::nullopt
                           : std::optional(record.pace->Slots());
  if (!change) {
    return std::nullopt;
  }
  const PaceNotice changed = notice(*change);
  if (record.pace->IsFull()) {
    record.pace.reset();
    record.isMeasured = true;
    aUpstream.pacedSlots.reset();
  }
  return changed;
}

std::vector<PaceNotice> UpstreamPaces::OnTimer()
{
  std::vector<PaceNotice> notices;
  for (auto next = this->paced.begin(); next != this->paced.end();) {
    const auto id = next++;
    const auto record = this->records.find(*id);
    UpstreamState* upstream = this->upstreams.Find({ *id });
    if (upstream == nullptr || record == this->records.end() ||
        !record->second.pace) {
      this->paced.erase(id);
      continue;
    }
    if (!this->upstreams.IsUsable(*upstream)) {
      continue;
    }
    Context context = record->second.context;
    context.now = this->clock();
    context.isNewOwner = false;
    if (const auto notice = this->Update(*upstream, context)) {
      notices.push_back(*notice);
    }
  }
  return notices;
}

std::optional<double> UpstreamPaces::RateFactorOf(
  const state::UpstreamId& aId) const
{
  const auto found = this->records.find(aId.value);
  return found == this->records.end() || !found->second.pace
           ? std::nullopt
           : std::optional(found->second.pace->PerSecond() /
                           found->second.context.coldPerSecond);
}

std::size_t UpstreamPaces::Count() const
{
  return static_cast<std::size_t>(
    std::ranges::count_if(this->records, [](const auto& aItem) {
      return aItem.second.pace.has_value();
    }));
}

void UpstreamPaces::RemoveOld()
{
  std::erase_if(this->records, [this](const auto& aItem) {
    return this->upstreams.Find({ aItem.first }) == nullptr;
  });
}

} // namespace kumquat::routing
