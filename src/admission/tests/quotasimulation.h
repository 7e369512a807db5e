// Simulates hosts that share the quotas of teams, in one process and in virtual
// time. Messages take time; hosts are cut off, killed, restarted and paused.
// Callers send requests at random times, and the simulation records each run.

#pragma once

#include "admission/lenderchoice.h"
#include "admission/quotaborrower.h"
#include "admission/quotalender.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::admission::tests {

using std::chrono::milliseconds;

constexpr milliseconds kTick{ 100 };
constexpr milliseconds kDigestInterval{ 300 };
constexpr milliseconds kLinkDelay{ 2 };
constexpr milliseconds kMaxSilence{ 1500 };
constexpr milliseconds kWindow{ 5000 };

// How the hosts share a quota; the latter two are compared with the first.
enum class Sharing
{
  kLentTokens,
  // Each host has the same part of the rate and of the burst.
  kEqualParts,
  // Each host has a part by the demand that all hosts report to each other.
  kPartsByDemand,
};

struct TeamLoad
{
  Team team;
  // Requests per second at each host; hosts without any are left out.
  std::map<int, double> perSecond;
};

class QuotaSimulation
{
public:
  QuotaSimulation(int aHosts, std::vector<TeamLoad> aLoads, unsigned aSeed,
                  Sharing aSharing = Sharing::kLentTokens)
    : sharing(aSharing)
    , loads(std::move(aLoads))
    , random(aSeed)
    , hosts(static_cast<std::size_t>(aHosts))
  {
    for (int i = 0; i < aHosts; ++i) {
      this->Start(i);
    }
    for (std::size_t load = 0; load < this->loads.size(); ++load) {
      for (const auto& [host, perSecond] : this->loads[load].perSecond) {
        this->ScheduleRequest(load, host);
      }
    }
  }

  // --- time

  TimePoint Now() const { return this->now; }

  void RunFor(Duration aTime)
  {
    const TimePoint end = this->now + aTime;
    while (!this->events.empty() && this->events.begin()->first <= end) {
      const auto first = this->events.begin();
      this->now = first->first;
      const std::function<void()> event = std::move(first->second);
      this->events.erase(first);
      event();
    }
    this->now = end;
  }

  void At(Duration aDelay, std::function<void()> aEvent)
  {
    this->events.emplace(this->now + aDelay, std::move(aEvent));
  }

  // --- trouble

  // Messages between the two groups are lost.
  void CutOff(std::set<int> aGroup) { this->cutOff = std::move(aGroup); }
  // Messages from the group to the others are lost, those to it arrive.
  void CutOneWay(std::set<int> aGroup) { this->muted = std::move(aGroup); }
  void Heal()
  {
    this->cutOff.clear();
    this->muted.clear();
  }
  void Kill(int aHost)
  {
    Host& host = this->At(aHost);
    ++host.life;
    host.borrower.reset();
    host.lender.reset();
  }
  void Restart(int aHost)
  {
    this->Kill(aHost);
    this->Start(aHost);
  }
  // The host does nothing for so long, and messages to it wait.
  void Pause(int aHost, Duration aTime)
  {
    this->At(aHost).pausedUntil = this->now + aTime;
  }
  void SetQuota(std::size_t aLoad, const Quota& aQuota)
  {
    this->loads[aLoad].team.quota = aQuota;
    for (Host& host : this->hosts) {
      if (host.borrower) {
        this->ApplyTeams(host);
      }
    }
  }
  void SetLoad(std::size_t aLoad, std::map<int, double> aPerSecond)
  {
    for (const auto& [host, perSecond] : aPerSecond) {
      if (!this->loads[aLoad].perSecond.contains(host)) {
        this->At(milliseconds(0), [this, aLoad, host = host] {
          this->ScheduleRequest(aLoad, host);
        });
      }
    }
    this->loads[aLoad].perSecond = std::move(aPerSecond);
  }
  // The host that lends; -1 if there is none, -2 if there are several.
  int Lender() const
  {
    int lender = -1;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      const Host& host = this->hosts[i];
      if (host.lender && host.lender->IsLending()) {
        lender = lender == -1 ? static_cast<int>(i) : -2;
      }
    }
    return lender;
  }

  // --- results

  struct Result
  {
    std::size_t asked = 0;
    std::size_t ran = 0;
    std::size_t overLimit = 0;
    std::size_t limitUnknown = 0;
    // What one bucket for all hosts would have let run.
    std::size_t withinLimit = 0;
  };

  const Result& ResultOf(std::size_t aLoad) const
  {
    return this->results.at(aLoad);
  }
  Result Total() const
  {
    Result total;
    for (const auto& [load, result] : this->results) {
      total.asked += result.asked;
      total.ran += result.ran;
      total.overLimit += result.overLimit;
      total.limitUnknown += result.limitUnknown;
      total.withinLimit += result.withinLimit;
    }
    return total;
  }
  // The most runs of the team in any window, beyond rate times window and
  // burst; negative if there is room left.
  double WorstExcess(std::size_t aLoad, const Quota& aQuota) const
  {
    const auto found = this->runs.find(aLoad);
    if (found == this->runs.end()) {
      return 0;
    }
    const std::vector<TimePoint>& times = found->second;
    std::size_t worst = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < times.size(); ++last) {
      while (times[last] - times[first] >= kWindow) {
        ++first;
      }
      worst = std::max(worst, last - first + 1);
    }
    const double seconds = std::chrono::duration<double>(kWindow).count();
    return static_cast<double>(worst) -
           (aQuota.perSecond * seconds + aQuota.burst);
  }
  // Of all teams, with the limits that they have now.
  double WorstExcess() const
  {
    double worst = -1e9;
    for (std::size_t i = 0; i < this->loads.size(); ++i) {
      worst = std::max(worst, this->WorstExcess(i, this->loads[i].team.quota));
    }
    return worst;
  }
  std::size_t Messages() const { return this->messages; }
  void ForgetRuns() { this->runs.clear(); }
  void ForgetResults()
  {
    this->results.clear();
    this->messages = 0;
  }

private:
  struct Bucket
  {
    double level = 0;
    TimePoint filledAt;
    double demand = 0;
  };
  struct Host
  {
    // Raised with each restart; messages of an earlier life are dropped.
    int life = 0;
    TimePoint pausedUntil;
    std::unique_ptr<QuotaLender> lender;
    std::unique_ptr<QuotaBorrower> borrower;
    // Last digest of each other host, and whether it said that it lends.
    std::map<int, std::pair<TimePoint, bool>> heard;
    // For the ways without a lender.
    std::map<std::size_t, Bucket> buckets;
    std::map<std::size_t, std::map<int, double>> reported;
  };

  Host& At(int aHost) { return this->hosts[static_cast<std::size_t>(aHost)]; }
  static state::HostId IdOf(int aHost)
  {
    return { "h" + std::to_string(aHost) };
  }

  void Start(int aHost)
  {
    Host& host = this->At(aHost);
    const int life = host.life;
    host.heard.clear();
    host.buckets.clear();
    const auto clock = [this] { return this->now; };
    host.lender = std::make_unique<QuotaLender>(clock);
    host.borrower = std::make_unique<QuotaBorrower>(
      this->now.time_since_epoch().count(),
      QuotaBorrower::Hooks{
        clock, [this, aHost](const state::HostId& aTo, const QuotaAsk& aAsk) {
          this->SendAsk(aHost, std::stoi(aTo.value.substr(1)), aAsk);
        } });
    std::set<state::HostId> ids;
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      ids.insert(IdOf(static_cast<int>(i)));
    }
    host.lender->SetHosts(ids);
    host.borrower->SetHostCount(ids.size());
    this->ApplyTeams(host);
    const auto offset = milliseconds(this->random() % 100);
    this->At(offset, [this, aHost, life] { this->Tick(aHost, life); });
    this->At(offset, [this, aHost, life] { this->SendDigest(aHost, life); });
  }

  void ApplyTeams(Host& aHost)
  {
    std::vector<Team> teams;
    std::ranges::transform(this->loads, std::back_inserter(teams),
                           [](const TeamLoad& aLoad) { return aLoad.team; });
    aHost.lender->SetTeams(teams);
    aHost.borrower->SetTeams(teams);
  }

  bool IsLost(int aFrom, int aTo) const
  {
    return this->cutOff.contains(aFrom) != this->cutOff.contains(aTo) ||
           (this->muted.contains(aFrom) && !this->muted.contains(aTo));
  }

  // Runs the event at the host, after a pause if there is one; not at all if
  // the host's life has ended.
  void Deliver(int aFrom, int aTo, std::function<void(Host&)> aEvent)
  {
    if (aFrom != aTo && this->IsLost(aFrom, aTo)) {
      return;
    }
    const int life = this->At(aTo).life;
    this->At(aFrom == aTo ? Duration(0) : Duration(kLinkDelay),
             [this, aTo, life, event = std::move(aEvent)] {
               this->RunAt(aTo, life, event);
             });
  }

  void RunAt(int aHost, int aLife, const std::function<void(Host&)>& aEvent)
  {
    Host& host = this->At(aHost);
    if (host.life != aLife || !host.borrower) {
      return;
    }
    if (host.pausedUntil > this->now) {
      this->events.emplace(host.pausedUntil, [this, aHost, aLife, aEvent] {
        this->RunAt(aHost, aLife, aEvent);
      });
      return;
    }
    aEvent(host);
  }

  void Tick(int aHost, int aLife)
  {
    this->RunAt(aHost, aLife, [this, aHost, aLife](Host& aSelf) {
      if (this->sharing == Sharing::kLentTokens) {
        aSelf.lender->OnTimer();
        aSelf.borrower->SetLender(this->ChooseLenderFor(aHost, aSelf));
        aSelf.borrower->OnTimer();
      }
      this->At(kTick, [this, aHost, aLife] { this->Tick(aHost, aLife); });
    });
  }

  std::optional<state::HostId> ChooseLenderFor(int aHost, const Host& aSelf)
  {
    std::vector<LenderCandidate> candidates;
    if (this->MayLend(aHost)) {
      candidates.push_back({ IdOf(aHost), aSelf.lender->IsLending(), 0 });
    }
    for (std::size_t i = 0; i < this->hosts.size(); ++i) {
      const int other = static_cast<int>(i);
      const auto heard = aSelf.heard.find(other);
      const bool wasHeard = heard != aSelf.heard.end();
      if (other != aHost && this->MayLend(other) &&
          (!wasHeard || this->now - heard->second.first <= kMaxSilence) &&
          !aSelf.borrower->IsSilent(IdOf(other))) {
        candidates.push_back(
          { IdOf(other), wasHeard && heard->second.second, 0 });
      }
    }
    return ChooseLender(candidates);
  }

  // Many hosts have a few hubs, which alone lend.
  bool MayLend(int aHost) const
  {
    constexpr std::size_t kMaxHostsWithoutHubs = 20;
    constexpr int kHubs = 3;
    return aHost < kHubs || this->hosts.size() <= kMaxHostsWithoutHubs;
  }

  void SendDigest(int aHost, int aLife)
  {
    if (this->sharing != Sharing::kPartsByDemand && !this->MayLend(aHost)) {
      return;
    }
    this->RunAt(aHost, aLife, [this, aHost, aLife](Host& aSelf) {
      const bool isLending = aSelf.lender->IsLending();
      const auto buckets = aSelf.buckets;
      for (std::size_t i = 0; i < this->hosts.size(); ++i) {
        const int to = static_cast<int>(i);
        if (to != aHost) {
          this->Deliver(aHost, to,
                        [this, aHost, isLending, buckets](Host& aTo) {
                          aTo.heard[aHost] = { this->now, isLending };
                          for (const auto& [load, bucket] : buckets) {
                            aTo.reported[load][aHost] = bucket.demand;
                          }
                        });
        }
      }
      this->At(kDigestInterval,
               [this, aHost, aLife] { this->SendDigest(aHost, aLife); });
    });
  }

  void SendAsk(int aFrom, int aTo, const QuotaAsk& aAsk)
  {
    ++this->messages;
    this->Deliver(aFrom, aTo, [this, aFrom, aTo, aAsk](Host& aLender) {
      const QuotaReply reply = aLender.lender->OnAsk(IdOf(aFrom), aAsk);
      ++this->messages;
      this->Deliver(aTo, aFrom, [aTo, reply](Host& aBorrower) {
        aBorrower.borrower->OnReply(IdOf(aTo), reply);
      });
    });
  }

  // --- requests

  void ScheduleRequest(std::size_t aLoad, int aHost)
  {
    const auto found = this->loads[aLoad].perSecond.find(aHost);
    if (found == this->loads[aLoad].perSecond.end()) {
      return;
    }
    const double seconds =
      std::exponential_distribution<double>(found->second)(this->random);
    this->At(std::chrono::duration_cast<Duration>(
               std::chrono::duration<double>(seconds)),
             [this, aLoad, aHost] {
               this->Request(aLoad, aHost);
               this->ScheduleRequest(aLoad, aHost);
             });
  }

  void Request(std::size_t aLoad, int aHost)
  {
    Host& host = this->At(aHost);
    if (!host.borrower || host.pausedUntil > this->now) {
      return;
    }
    Result& result = this->results[aLoad];
    ++result.asked;
    const Quota& quota = this->loads[aLoad].team.quota;
    Bucket& ideal = this->idealBuckets[aLoad];
    if (ideal.filledAt == TimePoint{}) {
      ideal.level = quota.burst;
    }
    this->Fill(ideal, quota.perSecond, std::max(1.0, quota.burst));
    if (ideal.level >= 1) {
      ideal.level -= 1;
      ++result.withinLimit;
    }
    if (this->sharing != Sharing::kLentTokens) {
      this->RequestWithoutLender(aLoad, aHost, host);
      return;
    }
    host.borrower->Take(this->loads[aLoad].team.name,
                        [this, aLoad](const QuotaDecision& aDecision) {
                          Result& own = this->results[aLoad];
                          if (aDecision.error == protocol::ErrorKind::kNone) {
                            ++own.ran;
                            this->runs[aLoad].push_back(this->now);
                          } else if (aDecision.error ==
                                     protocol::ErrorKind::kTeamOverLimit) {
                            ++own.overLimit;
                          } else {
                            ++own.limitUnknown;
                          }
                        });
  }

  void Fill(Bucket& aBucket, double aPerSecond, double aMost) const
  {
    const double seconds =
      aBucket.filledAt == TimePoint{}
        ? 0
        : std::chrono::duration<double>(this->now - aBucket.filledAt).count();
    aBucket.level = std::min(aMost, aBucket.level + aPerSecond * seconds);
    aBucket.filledAt = this->now;
  }

  void RequestWithoutLender(std::size_t aLoad, int aHost, Host& aSelf)
  {
    const Quota& quota = this->loads[aLoad].team.quota;
    Bucket& bucket = aSelf.buckets[aLoad];
    const double part = this->PartOf(aLoad, aHost, aSelf);
    const double seconds =
      std::chrono::duration<double>(this->now - bucket.filledAt).count();
    const double weight = 1 - std::exp(-seconds);
    bucket.demand += weight * (1 / std::max(seconds, 0.01) - bucket.demand);
    this->Fill(bucket, quota.perSecond * part,
               std::max(1.0, quota.burst * part));
    Result& result = this->results[aLoad];
    if (bucket.level < 1) {
      ++result.overLimit;
      return;
    }
    bucket.level -= 1;
    ++result.ran;
    this->runs[aLoad].push_back(this->now);
  }

  double PartOf(std::size_t aLoad, int aHost, const Host& aSelf) const
  {
    if (this->sharing == Sharing::kEqualParts) {
      return 1.0 / static_cast<double>(this->hosts.size());
    }
    const auto reported = aSelf.reported.find(aLoad);
    const double own = std::max(0.01, aSelf.buckets.at(aLoad).demand);
    double total = own;
    if (reported != aSelf.reported.end()) {
      for (const auto& [host, demand] : reported->second) {
        total += host == aHost ? 0 : demand;
      }
    }
    return own / total;
  }

  const Sharing sharing;
  std::vector<TeamLoad> loads;
  std::mt19937 random;
  std::vector<Host> hosts;
  TimePoint now{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> events;
  std::set<int> cutOff;
  std::set<int> muted;
  std::size_t messages = 0;
  std::map<std::size_t, Result> results;
  std::map<std::size_t, std::vector<TimePoint>> runs;
  std::map<std::size_t, Bucket> idealBuckets;
};

inline TeamLoad MakeLoad(const std::string& aName, const Quota& aQuota,
                         std::map<int, double> aPerSecond)
{
  Team team;
  team.name.value = aName;
  team.quota = aQuota;
  return { team, std::move(aPerSecond) };
}

// Teams of very different sizes, each with a limit of 1.6 times its usual rate;
// every caller sends 2.3 requests per second to one host.
inline std::vector<TeamLoad> ManyTeams(int aHosts, int aTeams,
                                       double aPerSecond, unsigned aSeed)
{
  constexpr double kPerCaller = 2.3;
  constexpr double kLimitInUsual = 1.6;
  std::mt19937 random(aSeed);
  double weights = 0;
  for (int i = 0; i < aTeams; ++i) {
    weights += 1.0 / (i + 1);
  }
  std::vector<TeamLoad> loads;
  for (int i = 0; i < aTeams; ++i) {
    const double usual = aPerSecond / (i + 1) / weights;
    const int callers = std::max(1, static_cast<int>(usual / kPerCaller));
    std::map<int, double> rates;
    for (int caller = 0; caller < callers; ++caller) {
      rates[static_cast<int>(random() % static_cast<unsigned>(aHosts))] +=
        usual / callers;
    }
    const double limit = kLimitInUsual * usual;
    loads.push_back(
      MakeLoad("team-" + std::to_string(i), { limit, limit }, rates));
  }
  return loads;
}

} // namespace kumquat::admission::tests
