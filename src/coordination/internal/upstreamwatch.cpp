// Polling of the upstreams' health.

#include "coordination/upstreamwatch.h"

#include "protocol/errorkind.h"

#include <nlohmann/json.hpp>

#include <utility>
#include <vector>

namespace kumquat::coordination {

using state::UpstreamRef;
using std::chrono::milliseconds;

namespace {

constexpr auto kDraining = "draining";
constexpr milliseconds kAskEvery{ 200 };
// Questions without an answer before the upstream counts as lost.
constexpr int kFailuresUntilLost = 3;

} // namespace

Result<HealthReport> ParseHealthReport(std::string_view aText)
{
  const auto parsed = nlohmann::json::parse(aText, nullptr, false);
  if (!parsed.is_object() || !parsed.contains("state") ||
      !parsed["state"].is_string()) {
    return make_error_code(protocol::ErrorKind::kMalformedRequest);
  }
  HealthReport report;
  report.state = parsed["state"].get<std::string>();
  const auto incarnation = parsed.find("incarnation");
  if (incarnation != parsed.end() && incarnation->is_number_integer()) {
    report.incarnation = incarnation->get<state::Incarnation>();
  }
  return report;
}

UpstreamWatch::UpstreamWatch(Hooks aHooks)
  : hooks(std::move(aHooks))
{
}

void UpstreamWatch::Add(const UpstreamRef& aRef)
{
  this->watched.try_emplace(aRef);
}

void UpstreamWatch::Remove(const UpstreamRef& aRef)
{
  this->watched.erase(aRef);
}

bool UpstreamWatch::IsUnusable(const Watched& aWatched)
{
  return aWatched.draining || aWatched.failures >= kFailuresUntilLost;
}

bool UpstreamWatch::IsUnusable(const UpstreamRef& aRef) const
{
  const auto found = this->watched.find(aRef);
  return found != this->watched.end() && IsUnusable(found->second);
}

void UpstreamWatch::OnState(const UpstreamRef& aRef, std::string_view aState)
{
  const auto found = this->watched.find(aRef);
  if (found == this->watched.end() || aState != kDraining ||
      found->second.draining) {
    return;
  }
  found->second.draining = true;
  this->usableChanged.Send(aRef);
}

void UpstreamWatch::AskSoon(const UpstreamRef& aRef)
{
  const auto found = this->watched.find(aRef);
  if (found != this->watched.end()) {
    found->second.due = this->hooks.now();
  }
}

void UpstreamWatch::OnTimer()
{
  const TimePoint now = this->hooks.now();
  std::vector<UpstreamRef> due;
  for (const auto& [ref, upstream] : this->watched) {
    if (!upstream.asking && upstream.due <= now) {
      due.push_back(ref);
    }
  }
  for (const UpstreamRef& ref : due) {
    this->Ask(ref);
  }
}

void UpstreamWatch::Ask(const UpstreamRef& aRef)
{
  Watched& upstream = this->watched[aRef];
  upstream.asking = true;
  upstream.due = this->hooks.now() + kAskEvery;
  this->hooks.ask(aRef, [this, aRef](const Result<HealthReport>& aReport) {
    this->OnReport(aRef, aReport);
  });
}

void UpstreamWatch::OnReport(const UpstreamRef& aRef,
                             const Result<HealthReport>& aReport)
{
  const auto found = this->watched.find(aRef);
  if (found == this->watched.end()) {
    return;
  }
  Watched& upstream = found->second;
  const bool before = IsUnusable(upstream);
  upstream.asking = false;
  if (aReport) {
    upstream.failures = 0;
    upstream.draining = aReport->state == kDraining;
  } else {
    ++upstream.failures;
  }
  const bool after = IsUnusable(upstream);
  if (aReport && aReport->incarnation != 0) {
    this->incarnationSeen.Send(aRef, aReport->incarnation);
  }
  if (before != after) {
    this->usableChanged.Send(aRef);
  }
}

} // namespace kumquat::coordination
