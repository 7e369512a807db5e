// Simulates callers that repeat a request at several hosts until it is served,
// in virtual time. Hosts send a request to up to two upstreams for each attempt
// of a caller, and tell each other of upstreams that end under it, with a
// delay.

#pragma once

#include "routing/crashsuspects.h"
#include "routing/dispatcher.h"
#include "routing/tests/hostnames.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::routing {

class CrashSimulation
{
public:
  CrashSimulation(unsigned aSeed, int aHosts)
    : random(aSeed)
    , messageDelays(aHosts > kDividedFrom ? std::pair{ 2.0, 10.0 }
                                          : std::pair{ 0.5, 4.0 })
  {
    const std::vector<state::HostId> ids = HostNames(aHosts);
    for (const state::HostId& id : ids) {
      this->hosts.push_back(std::make_unique<CrashSuspects>(
        id, [this] { return this->now; }, this->random()));
      this->hosts.back()->SetHosts(ids);
      this->hosts.back()->SetReach(ids.size(), ids.size());
    }
    for (const auto& host : this->hosts) {
      for (const auto& peer : this->hosts) {
        host->OnPeerKey(peer->Key());
      }
    }
  }

  // Divides the hosts into groups that do not hear each other. Callers still
  // reach all of them.
  void CutApart(int aGroups)
  {
    this->groups = static_cast<std::size_t>(aGroups);
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      std::size_t heard = 0;
      for (std::size_t j = 0; j < this->hosts.size(); ++j) {
        heard += this->GroupOf(i) == this->GroupOf(j) ? 1 : 0;
      }
      this->hosts[i]->SetReach(heard, this->hosts.size());
    }
  }

  // Requests that end every upstream that runs them.
  void RunLethal(int aRequests, int aRepeats)
  {
    for (int i = 0; i < aRequests; ++i) {
      this->StartCaller("/lethal/" + std::to_string(i), true, aRepeats);
    }
    this->RunEvents();
  }

  // Requests that harm nothing, spread over ten seconds. In each second a wave
  // ends three tenths of the upstreams at one moment.
  void RunInnocent(int aRequests, int aRepeats)
  {
    this->hasWaves = true;
    for (int i = 0; i < aRequests; ++i) {
      this->At(this->Draw(0, kWaveDayMs), [this, i, aRepeats] {
        this->StartCaller("/look/" + std::to_string(i), false, aRepeats);
      });
    }
    this->RunEvents();
  }

  // The most upstreams that have ended under one lethal request.
  int MaxEnds() const
  {
    return this->ends.empty()
             ? 0
             : std::ranges::max_element(this->ends, {}, [](const auto& aItem) {
                 return aItem.second;
               })->second;
  }
  int Requests() const { return this->requests; }
  // Callers of innocent requests that met a quarantine.
  int Refused() const { return this->refused; }

private:
  struct Caller
  {
    std::string target;
    ContentHash content;
    bool isLethal = false;
    int repeatsLeft = 0;
  };
  using CallerPtr = std::shared_ptr<Caller>;

  static constexpr int kDividedFrom = 20;
  static constexpr double kWaveDayMs = 10'000;
  static constexpr double kWaveIntervalMs = 1000;
  static constexpr double kWaveShare = 0.3;
  static constexpr int kUpstreams = 40;
  static constexpr int kMaxAttempts = 2;

  double Draw(double aFrom, double aTo)
  {
    return std::uniform_real_distribution<double>(aFrom, aTo)(this->random);
  }

  void At(double aInMs, std::function<void()> aWhat)
  {
    this->events.emplace(this->now +
                           std::chrono::duration_cast<Duration>(
                             std::chrono::duration<double, std::milli>(aInMs)),
                         std::move(aWhat));
  }

  void RunEvents()
  {
    while (!this->events.empty()) {
      const auto first = this->events.extract(this->events.begin());
      this->now = first.key();
      first.mapped()();
    }
  }

  std::size_t GroupOf(std::size_t aHost) const { return aHost % this->groups; }

  void StartCaller(const std::string& aTarget, bool aIsLethal, int aRepeats)
  {
    ++this->requests;
    CallerRequest request;
    request.message.target = aTarget;
    auto caller = std::make_shared<Caller>(
      Caller{ aTarget, HashContent(request), aIsLethal, aRepeats });
    this->Arrive(caller);
  }

  void Arrive(const CallerPtr& aCaller)
  {
    const auto host = static_cast<std::size_t>(
      this->Draw(0, static_cast<double>(this->hosts.size())));
    this->Attempt(aCaller, host, 1);
  }

  void Attempt(const CallerPtr& aCaller, std::size_t aHost, int aNumber)
  {
    CrashSuspects& host = *this->hosts[aHost];
    if (!host.MaySend(aCaller->content)) {
      this->refused += aCaller->isLethal ? 0 : 1;
      return;
    }
    host.OnSent(aCaller->content);
    const double runMs = this->Draw(1, aCaller->isLethal ? 40 : 200);
    const bool isEnded = aCaller->isLethal || this->IsHitByWave(runMs);
    this->At(runMs, [this, aCaller, aHost, aNumber, isEnded] {
      if (isEnded) {
        this->OnEnded(aCaller, aHost, aNumber);
      } else {
        this->Tell(aHost, this->hosts[aHost]->OnServed(aCaller->content));
      }
    });
  }

  bool IsHitByWave(double aRunMs)
  {
    const double startMs =
      std::chrono::duration<double, std::milli>(this->now.time_since_epoch())
        .count();
    const auto waveOf = [](double aMs) {
      return static_cast<std::int64_t>(aMs / kWaveIntervalMs);
    };
    return this->hasWaves && waveOf(startMs) != waveOf(startMs + aRunMs) &&
           this->Draw(0, 1) < kWaveShare;
  }

  void OnEnded(const CallerPtr& aCaller, std::size_t aHost, int aNumber)
  {
    CrashSuspects& host = *this->hosts[aHost];
    const int upstream = this->hasWaves
                           ? static_cast<int>(this->Draw(0, kUpstreams))
                           : ++this->lastUpstream;
    if (aCaller->isLethal) {
      ++this->ends[aCaller->target];
    }
    host.OnEnded(aCaller->content, { "u" + std::to_string(upstream) });
    if (aNumber < kMaxAttempts && host.MaySend(aCaller->content)) {
      this->Attempt(aCaller, aHost, aNumber + 1);
      return;
    }
    this->Tell(aHost, host.TakeReports(aCaller->content));
    if (aCaller->repeatsLeft-- > 0) {
      // A new connection: two ways between caller and host, 3 ms each.
      this->At(this->Draw(12, 30), [this, aCaller] { this->Arrive(aCaller); });
    }
  }

  void Tell(std::size_t aFrom, const std::vector<CrashReport>& aReports)
  {
    for (std::size_t i = 0; i < this->hosts.size() && !aReports.empty(); ++i) {
      if (i != aFrom && this->GroupOf(i) == this->GroupOf(aFrom)) {
        const auto [shortest, longest] = this->messageDelays;
        this->At(this->Draw(shortest, longest), [this, i, aReports] {
          for (const CrashReport& report : aReports) {
            this->hosts[i]->OnReport(report);
          }
        });
      }
    }
  }

  std::mt19937_64 random;
  // From a host to any other, in milliseconds; through a hub if there are many.
  const std::pair<double, double> messageDelays;
  TimePoint now = TimePoint(std::chrono::hours(1));
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<std::unique_ptr<CrashSuspects>> hosts;
  std::size_t groups = 1;
  bool hasWaves = false;
  int lastUpstream = 0;
  int requests = 0;
  int refused = 0;
  std::map<std::string, int> ends;
};

} // namespace kumquat::routing
