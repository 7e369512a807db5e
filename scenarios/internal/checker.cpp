// The promises, one function each.

#include "scenarios/checker.h"

#include "state/routingmap.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace kumquat::scenarios {

namespace {

// 64 parts.
constexpr unsigned kPartShift = 58;
constexpr std::int64_t kWindowMicros = 100'000;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kMicrosPerMilli = 1e3;
constexpr std::string_view kNotRun = "not-run";
constexpr std::string_view kUnknown = "unknown";

using Faults = std::vector<std::string>;
using RunsByTarget = std::map<std::string, std::vector<const RunRecord*>>;

// A run that was lost on the way may have taken effect before; only one that
// the upstream itself gave up did surely not.
bool MayHaveRun(const RunRecord& aRun)
{
  return aRun.outcome != "aborted";
}

std::string Where(const RunRecord& aRun)
{
  return aRun.instance + " (" + aRun.outcome + ")";
}

RunsByTarget ByTarget(const std::vector<RunRecord>& aRuns)
{
  RunsByTarget byTarget;
  for (const RunRecord& run : aRuns) {
    byTarget[run.target].push_back(&run);
  }
  return byTarget;
}

// With an Idempotency-Key all that carry it are one request, however often it
// was sent.
void CheckAtMostOnce(const Evidence& aEvidence, Faults& aFaults)
{
  std::map<std::string, std::vector<const RunRecord*>> byKey;
  for (const RunRecord& run : aEvidence.runs) {
    if (!run.idempotencyKey.empty() && MayHaveRun(run)) {
      byKey[run.idempotencyKey].push_back(&run);
    }
  }
  for (const auto& [key, runs] : byKey) {
    if (runs.size() > 1) {
      aFaults.push_back("run twice: " + runs[0]->service + " " + key + " at " +
                        Where(*runs[0]) + " and " + Where(*runs[1]));
    }
  }
}

// An attempt's runs are those that began after it, and before the next one.
void CheckNotRun(const CallerRecord& aCaller, const RunsByTarget& aRuns,
                 Faults& aFaults)
{
  const auto runs = aRuns.find(aCaller.target);
  if (runs == aRuns.end()) {
    return;
  }
  for (std::size_t i = 0; i < aCaller.attempts.size(); ++i) {
    const Attempt& attempt = aCaller.attempts[i];
    const bool last = i + 1 == aCaller.attempts.size();
    const auto belongs = [&](const RunRecord* aRun) {
      return MayHaveRun(*aRun) && aRun->start >= attempt.start &&
             (last || aRun->start < aCaller.attempts[i + 1].start);
    };
    const auto found = std::ranges::find_if(runs->second, belongs);
    if (attempt.outcome == kNotRun && found != runs->second.end()) {
      aFaults.push_back("said not run, but ran: " + aCaller.target + " (" +
                        attempt.error + ") at " + Where(**found));
    }
  }
}

void CheckAnswers(const CallerRecord& aCaller, const CheckRules& aRules,
                  Faults& aFaults)
{
  for (const Attempt& attempt : aCaller.attempts) {
    if (attempt.verdict == AttemptVerdict::kForeign) {
      aFaults.push_back("another's or a wrong answer: " + aCaller.target);
    }
    // Where its caller cannot know whether it ran, it was cut as well.
    const bool cut = attempt.verdict == AttemptVerdict::kCut ||
                     attempt.verdict == AttemptVerdict::kLost ||
                     attempt.outcome == kUnknown;
    if (aRules.nothingCut && cut) {
      aFaults.push_back("cut, though nothing failed: " + aCaller.target + " " +
                        attempt.error);
    }
  }
}

std::string Span(const TenureRecord& aTenure)
{
  return aTenure.instance + " (" + std::to_string(aTenure.from) + " to " +
         std::to_string(aTenure.until) + " us)";
}

void CheckOneOwner(const Evidence& aEvidence, Faults& aFaults)
{
  const std::vector<TenureRecord>& tenures = aEvidence.tenures;
  for (auto one = tenures.begin(); one != tenures.end(); ++one) {
    for (auto other = std::next(one); other != tenures.end(); ++other) {
      const bool together =
        one->from < other->until && other->from < one->until;
      const bool sameKeys =
        one->first <= other->last && other->first <= one->last;
      if (one->service == other->service && one->instance != other->instance &&
          together && sameKeys) {
        aFaults.push_back("two owners: " + one->service + " slice from " +
                          std::to_string(std::max(one->first, other->first)) +
                          " at " + Span(*one) + " and " + Span(*other));
      }
    }
  }
}

// Two instances that both did a key's work at one time.
void CheckOverlappingRuns(const Evidence& aEvidence, Faults& aFaults)
{
  const std::set<std::string> keyed(aEvidence.keyedServices.begin(),
                                    aEvidence.keyedServices.end());
  std::map<std::pair<std::string, std::string>, std::vector<const RunRecord*>>
    byKey;
  for (const RunRecord& run : aEvidence.runs) {
    if (keyed.contains(run.service) && run.outcome == "ran") {
      byKey[{ run.service, run.key }].push_back(&run);
    }
  }
  for (auto& [key, runs] : byKey) {
    std::ranges::sort(runs, {}, &RunRecord::start);
    const RunRecord* latest = nullptr;
    for (const RunRecord* run : runs) {
      if (latest != nullptr && run->start < latest->end &&
          run->instance != latest->instance) {
        aFaults.push_back(
          "a key's work at two instances at once: " + key.second + " at " +
          Where(*latest) + " and " + Where(*run));
      }
      if (latest == nullptr || run->end > latest->end) {
        latest = run;
      }
    }
  }
}

void CheckUpstreams(const Evidence& aEvidence, const CheckRules& aRules,
                    Faults& aFaults)
{
  for (const std::string& instance : aEvidence.collapsed) {
    aFaults.push_back("fell over while cold, given more than it bears: " +
                      instance);
  }
  for (const RunRecord& run : aEvidence.runs) {
    if (run.state == "draining" && run.stateFor > aRules.drainMicros) {
      aFaults.push_back("new work at a leaving upstream: " + run.target +
                        " at " + run.instance);
    }
  }
}

double Percentile(std::vector<std::int64_t>& aSorted, double aShare)
{
  if (aSorted.empty()) {
    return 0;
  }
  const auto index =
    static_cast<std::size_t>(aShare * static_cast<double>(aSorted.size() - 1));
  return static_cast<double>(aSorted[index]) / kMicrosPerMilli;
}

// Windows by the time at which requests came: such with requests and none of
// them answered are unavailable.
double Unavailable(const std::vector<const CallerRecord*>& aCallers)
{
  std::map<std::int64_t, bool> answeredByWindow;
  for (const CallerRecord* caller : aCallers) {
    const std::int64_t window = caller->attempts.front().start / kWindowMicros;
    const bool answered =
      caller->attempts.back().verdict == AttemptVerdict::kAnswered;
    answeredByWindow[window] = answeredByWindow[window] || answered;
  }
  const auto down = std::ranges::count_if(
    answeredByWindow, [](const auto& aWindow) { return !aWindow.second; });
  return static_cast<double>(down * kWindowMicros) / kMicrosPerSecond;
}

// By parts of the key space, as fine as a keyed service's first slices.
double WorstGap(std::vector<const CallerRecord*> aCallers)
{
  std::ranges::sort(aCallers, {}, [](const CallerRecord* aCaller) {
    return aCaller->attempts.front().start;
  });
  std::map<std::uint64_t, std::int64_t> downSince;
  std::int64_t worst = 0;
  for (const CallerRecord* caller : aCallers) {
    const std::uint64_t part = state::HashKey(caller->key) >> kPartShift;
    const std::int64_t start = caller->attempts.front().start;
    if (caller->attempts.back().verdict != AttemptVerdict::kAnswered) {
      downSince.try_emplace(part, start);
      worst = std::max(worst, start - downSince[part]);
    } else if (const auto down = downSince.extract(part)) {
      worst = std::max(worst, start - down.mapped());
    }
  }
  return static_cast<double>(worst) / kMicrosPerSecond;
}

ServiceFigures FiguresOf(const std::string& aService,
                         const std::vector<const CallerRecord*>& aCallers)
{
  ServiceFigures figures{ .service = aService, .requests = aCallers.size() };
  std::vector<std::int64_t> latencies;
  for (const CallerRecord* caller : aCallers) {
    const Attempt& last = caller->attempts.back();
    figures.answered += last.verdict == AttemptVerdict::kAnswered ? 1 : 0;
    figures.refused += last.verdict == AttemptVerdict::kRefused ? 1 : 0;
    figures.cut += last.verdict == AttemptVerdict::kCut ? 1 : 0;
    figures.lost += last.verdict == AttemptVerdict::kLost ? 1 : 0;
    if (last.verdict == AttemptVerdict::kAnswered) {
      latencies.push_back(last.end - caller->attempts.front().start);
    }
  }
  std::ranges::sort(latencies);
  figures.p50Millis = Percentile(latencies, 0.5);
  figures.p99Millis = Percentile(latencies, 0.99);
  figures.unavailableSeconds = Unavailable(aCallers);
  figures.worstGapSeconds = WorstGap(aCallers);
  return figures;
}

} // namespace

std::vector<std::string> Check(const Evidence& aEvidence,
                               const CheckRules& aRules)
{
  Faults faults;
  const RunsByTarget runs = ByTarget(aEvidence.runs);
  CheckAtMostOnce(aEvidence, faults);
  for (const CallerRecord& caller : aEvidence.callers) {
    CheckNotRun(caller, runs, faults);
    CheckAnswers(caller, aRules, faults);
  }
  CheckOneOwner(aEvidence, faults);
  CheckOverlappingRuns(aEvidence, faults);
  CheckUpstreams(aEvidence, aRules, faults);
  return faults;
}

std::vector<ServiceFigures> Figures(const std::vector<CallerRecord>& aCallers)
{
  std::map<std::string, std::vector<const CallerRecord*>> byService;
  for (const CallerRecord& caller : aCallers) {
    byService[caller.service].push_back(&caller);
  }
  std::vector<ServiceFigures> all;
  std::ranges::transform(byService, std::back_inserter(all),
                         [](const auto& aService) {
                           return FiguresOf(aService.first, aService.second);
                         });
  return all;
}

} // namespace kumquat::scenarios
