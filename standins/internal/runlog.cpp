// The logs of runs and of tenures, and their JSON.

#include "standins/runlog.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <utility>

namespace kumquat::standins {

namespace {

using nlohmann::json;

std::int64_t Micros(Duration aDuration)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(aDuration)
    .count();
}

std::int64_t Micros(TimePoint aTime)
{
  return Micros(aTime.time_since_epoch());
}

const char* OutcomeName(RunOutcome aOutcome)
{
  switch (aOutcome) {
    case RunOutcome::kRunning:
      return "running";
    case RunOutcome::kRan:
      return "ran";
    case RunOutcome::kAborted:
      return "aborted";
    case RunOutcome::kLost:
      return "lost";
  }
  return "unknown";
}

json ToJson(const Run& aRun)
{
  return { { "request", aRun.order.requestId },
           { "idempotency_key", aRun.order.idempotencyKey },
           { "service", aRun.service },
           { "key", aRun.order.key },
           { "target", aRun.order.target },
           { "instance", aRun.instance },
           { "incarnation", aRun.incarnation },
           { "steward", aRun.order.steward },
           { "epoch", aRun.order.epoch },
           { "slice_epoch", aRun.order.sliceEpoch },
           { "start_us", Micros(aRun.start) },
           { "end_us", Micros(aRun.end) },
           { "state", UpstreamStateName(aRun.stateAtStart) },
           { "state_for_us", Micros(aRun.stateFor) },
           { "running", aRun.runningAtStart },
           { "bears", aRun.bearsAtStart },
           { "outcome", OutcomeName(aRun.outcome) } };
}

} // namespace

RunLog::RunLog(std::size_t aMost)
  : most(aMost)
{
}

RunLog::Number RunLog::Begin(Run aRun)
{
  if (this->runs.size() == this->most) {
    this->runs.pop_front();
    ++this->first;
  }
  this->runs.push_back(std::move(aRun));
  return this->first + this->runs.size() - 1;
}

void RunLog::End(Number aRun, RunOutcome aOutcome, TimePoint aNow)
{
  if (aRun < this->first) {
    return;
  }
  Run& run = this->runs[aRun - this->first];
  run.outcome = aOutcome;
  run.end = aNow;
}

std::string RunLog::Text(Number aFrom, std::size_t aMost) const
{
  const Number from = std::max(aFrom, this->first);
  const Number next = this->first + this->runs.size();
  const Number to = std::min<Number>(next, from + aMost);
  json list = json::array();
  for (Number number = from; number < to; ++number) {
    list.push_back(ToJson(this->runs[number - this->first]));
  }
  const json text = { { "first", from },
                      { "next", std::max(from, to) },
                      { "dropped", this->first },
                      { "runs", std::move(list) } };
  return text.dump();
}

void GrantLog::Given(const std::string& aService, const std::string& aInstance,
                     const std::string& aPart, const Grant& aGrant,
                     TimePoint aNow)
{
  const Key key(aService, aInstance, aPart);
  const auto found = this->latest.find(key);
  if (found != this->latest.end()) {
    Tenure& tenure = this->tenures[found->second];
    if (tenure.grant.sliceEpoch == aGrant.sliceEpoch &&
        aNow <= tenure.grant.until) {
      tenure.grant = aGrant;
      return;
    }
    tenure.grant.until = std::min(tenure.grant.until, aNow);
  }
  this->latest[key] = this->tenures.size();
  this->tenures.push_back({ key, aGrant, aNow });
}

void GrantLog::Ended(const std::string& aService, const std::string& aInstance,
                     const std::string& aPart, TimePoint aNow)
{
  const auto found = this->latest.find({ aService, aInstance, aPart });
  if (found != this->latest.end()) {
    TimePoint& until = this->tenures[found->second].grant.until;
    until = std::min(until, aNow);
  }
}

void GrantLog::AllEnded(const std::string& aService,
                        const std::string& aInstance, TimePoint aNow)
{
  for (const auto& [key, index] : this->latest) {
    if (std::get<0>(key) == aService && std::get<1>(key) == aInstance) {
      TimePoint& until = this->tenures[index].grant.until;
      until = std::min(until, aNow);
    }
  }
}

std::string GrantLog::Text() const
{
  json list = json::array();
  std::ranges::transform(
    this->tenures, std::back_inserter(list), [](const Tenure& aTenure) -> json {
      const auto& [service, instance, part] = aTenure.key;
      return { { "service", service },
               { "instance", instance },
               { "part", part },
               { "first", std::to_string(aTenure.grant.first) },
               { "last", std::to_string(aTenure.grant.last) },
               { "slice_epoch", aTenure.grant.sliceEpoch },
               { "from_us", Micros(aTenure.from) },
               { "until_us", Micros(aTenure.grant.until) } };
    });
  return json{ { "grants", std::move(list) } }.dump();
}

} // namespace kumquat::standins
