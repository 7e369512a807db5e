// A load that is played in virtual time: the dispatchers of several hosts, what
// they tell each other, and emulated upstreams with slots, a short queue and
// work times that vary. Callers may come back once, as Retry-After says, and
// may move to another data centre. Seeded, so that each run of a story ends the
// same.

#pragma once

#include "routing/dispatcher.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::routing {

// What callers got, and what it cost.
struct LoadResult
{
  int asked = 0;
  int inTime = 0;
  int late = 0;
  int refused = 0;
  int lost = 0;
  // Answers that came from another data centre.
  int far = 0;
  // Requests that reached an upstream, and those of them that it refused.
  int arrivals = 0;
  int rejected = 0;
  // Of requests for other keys than the hot one.
  int askedOfOthers = 0;
  int inTimeOfOthers = 0;

  double InTimeShare() const { return Share(this->inTime); }
  double RefusedShare() const { return Share(this->refused); }
  double FarShare() const { return Share(this->far); }
  double RejectedShare() const { return Of(this->rejected, this->arrivals); }
  double InTimeShareOfOthers() const
  {
    return Of(this->inTimeOfOthers, this->askedOfOthers);
  }

private:
  static double Of(int aCount, int aAll)
  {
    return static_cast<double>(aCount) / std::max(1, aAll);
  }

  double Share(int aCount) const { return Of(aCount, this->asked); }
};

class LoadSimulation
{
public:
  struct Options
  {
    int dataCentres = 4;
    int hostsPerCentre = 2;
    int upstreamsPerCentre = 3;
    int slots = 6;
    // Work times: a log-normal around it, times the upstream's own pace.
    double meanMs = 200;
    double sigma = 0.6;
    std::vector<double> paces = { 0.7, 1.0, 1.4 };
    double answerBytes = 400;
    // Each key has one owner.
    bool keyed = false;
    std::chrono::milliseconds target{ 600 };
    std::chrono::milliseconds deadline{ 1500 };
    // Of all slots, at the mean work time.
    double load = 0.6;
    // The hosts of a data centre are a cell; else all are one.
    bool inCells = false;
    std::size_t upstreamQueue = 24;
    // Of all requests, those for one key.
    double hotShare = 0;
    // Of the upstreams, those that refuse so many of their requests whatever
    // room they have.
    double faultyShare = 0;
    double refusedByFaulty = 0;
    // A refused caller comes back once, after Retry-After where that is within
    // a third of the time that it has left.
    bool callersReturn = false;
    // From the middle of the play on, callers of the first data centre that
    // come to the second one.
    double movedShare = 0;
    std::uint32_t seed = 1;
  };

  explicit LoadSimulation(const Options& aOptions)
    : options(aOptions)
    , random(aOptions.seed)
  {
    this->MakeUpstreams();
    this->MakeHosts();
  }

  LoadResult Play(std::chrono::seconds aFor)
  {
    const TimePoint end = this->now + aFor;
    this->movesAt = this->now + aFor / 2;
    this->Arrive(end);
    for (const auto& host : this->hosts) {
      this->Tick(*host);
      this->Tell(*host);
    }
    // Whatever runs at the end is answered.
    const TimePoint last = end + 2 * this->options.deadline;
    while (!this->events.empty() && this->events.begin()->first <= last) {
      const auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    return this->result;
  }

private:
  using milliseconds = std::chrono::milliseconds;

  static constexpr std::chrono::microseconds kNear{ 200 };
  static constexpr std::chrono::microseconds kFar{ 900 };
  static constexpr milliseconds kTick{ 10 };
  static constexpr milliseconds kDigest{ 100 };
  struct Host
  {
    state::HostId id;
    state::DataCentre dataCentre;
    Upstreams upstreams;
    std::unique_ptr<Dispatcher> dispatcher;
  };

  struct Job
  {
    Host* host = nullptr;
    RequestNumber number = 0;
  };

  struct Upstream
  {
    UpstreamEntry entry;
    double pace = 1;
    bool isFaulty = false;
    int running = 0;
    std::deque<Job> queue;
  };

  void After(Duration aPause, std::function<void()> aWhat)
  {
    this->events.emplace(this->now + aPause, std::move(aWhat));
  }

  void MakeUpstreams()
  {
    const int count =
      this->options.dataCentres * this->options.upstreamsPerCentre;
    for (int i = 0; i < count; ++i) {
      Upstream one;
      one.entry.id = { "u" + std::to_string(i) };
      one.entry.service = { "s" };
      one.entry.address = "10.0.0.1:80";
      one.entry.dataCentre = { std::to_string(i % this->options.dataCentres) };
      one.entry.slots = this->options.slots;
      one.entry.startedMs = 1;
      one.pace =
        this->options
          .paces[static_cast<std::size_t>(i) % this->options.paces.size()];
      one.isFaulty = i < this->options.faultyShare * count;
      this->upstreams.emplace(one.entry.id, std::move(one));
    }
  }

  void MakeHosts()
  {
    Configuration configuration;
    configuration.version = 1;
    Route route;
    route.name = "r";
    route.hostName = "h";
    route.prefix = "/";
    route.destinations = { { { "s" }, 1.0 } };
    route.timeout = this->options.deadline;
    route.targetLatency = this->options.target;
    configuration.routes = { route };
    configuration.services = {
      { { "s" }, "/health", 130, 5.0, this->options.keyed }
    };
    const auto routes =
      std::make_shared<const RouteTable>(std::move(configuration));
    const int count = this->options.dataCentres * this->options.hostsPerCentre;
    std::vector<state::HostId> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      all.push_back({ "h" + std::to_string(i) });
    }
    for (int i = 0; i < count; ++i) {
      auto host = std::make_unique<Host>();
      host->id = all[static_cast<std::size_t>(i)];
      host->dataCentre = { std::to_string(i % this->options.dataCentres) };
      for (const auto& [id, one] : this->upstreams) {
        host->upstreams.PutEntry(one.entry, this->now);
      }
      host->dispatcher = std::make_unique<Dispatcher>(
        DispatcherOptions{ host->id, host->dataCentre, 0.1, 20 },
        host->upstreams, this->HooksOf(*host));
      host->dispatcher->SetRoutes(routes);
      this->hosts.push_back(std::move(host));
    }
    for (const auto& host : this->hosts) {
      host->dispatcher->SetHosts(this->MatesOf(*host), all);
      if (this->options.inCells) {
        const double centre = std::stod(host->dataCentre.value);
        host->upstreams.SetCellRange(
          { centre / this->options.dataCentres,
            (centre + 1) / this->options.dataCentres });
      }
    }
  }

  bool AreMates(const Host& aOne, const Host& aOther) const
  {
    return !this->options.inCells || aOne.dataCentre == aOther.dataCentre;
  }

  std::vector<state::HostId> MatesOf(const Host& aHost) const
  {
    std::vector<state::HostId> mates;
    for (const auto& other : this->hosts) {
      if (this->AreMates(aHost, *other)) {
        mates.push_back(other->id);
      }
    }
    return mates;
  }

  Dispatcher::Hooks HooksOf(Host& aHost)
  {
    Dispatcher::Hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.random = [this](std::size_t aBelow) {
      return std::uniform_int_distribution<std::size_t>(0, aBelow -
                                                             1)(this->random);
    };
    hooks.send = [this, &aHost](const UpstreamRequest& aSend) {
      Upstream& upstream = this->upstreams.at(aSend.upstream);
      this->After(TripTo(aHost, upstream),
                  [this, &aHost, &upstream, number = aSend.number] {
                    this->Reach(upstream, { &aHost, number });
                  });
    };
    hooks.cancel = [](RequestNumber) {};
    hooks.findOwner = [this](const state::ServiceName&, Key aKey) {
      auto owner = this->upstreams.begin();
      std::advance(owner, aKey % this->upstreams.size());
      return KeyOwner{ owner->first, Duration(0) };
    };
    hooks.reportNotOwner = [](const state::ServiceName&, Key,
                              const state::UpstreamId&) {};
    hooks.onRequestEnded = [](const RequestTrace&) {};
    hooks.onRetry = [](protocol::ErrorKind) {};
    return hooks;
  }

  static Duration TripTo(const Host& aHost, const Upstream& aUpstream)
  {
    return aHost.dataCentre == aUpstream.entry.dataCentre ? kNear : kFar;
  }

  void Reach(Upstream& aUpstream, const Job& aJob)
  {
    ++this->result.arrivals;
    const bool isRefused =
      aUpstream.isFaulty &&
      std::bernoulli_distribution(this->options.refusedByFaulty)(this->random);
    if (!isRefused && aUpstream.running < aUpstream.entry.slots) {
      this->Run(aUpstream, aJob);
    } else if (!isRefused &&
               aUpstream.queue.size() < this->options.upstreamQueue) {
      aUpstream.queue.push_back(aJob);
    } else {
      ++this->result.rejected;
      this->Return(aUpstream, aJob, true);
    }
  }

  void Run(Upstream& aUpstream, const Job& aJob)
  {
    ++aUpstream.running;
    // The mean of a log-normal lies above its median by this.
    const double mu = std::log(this->options.meanMs) -
                      this->options.sigma * this->options.sigma / 2;
    std::lognormal_distribution<double> work(mu, this->options.sigma);
    const std::chrono::duration<double, std::milli> takes(work(this->random) *
                                                          aUpstream.pace);
    this->After(std::chrono::duration_cast<Duration>(takes),
                [this, &aUpstream, aJob] {
                  --aUpstream.running;
                  this->Return(aUpstream, aJob, false);
                  if (!aUpstream.queue.empty()) {
                    const Job next = aUpstream.queue.front();
                    aUpstream.queue.pop_front();
                    this->Run(aUpstream, next);
                  }
                });
  }

  void Return(Upstream& aUpstream, const Job& aJob, bool aNotRun)
  {
    UpstreamResponse answer;
    answer.message.status = aNotRun ? 503 : 200;
    answer.message.length =
      static_cast<std::uint64_t>(this->options.answerBytes);
    answer.notRun = aNotRun;
    answer.isSigned = !aNotRun;
    answer.load = UpstreamLoad{ aUpstream.running,
                                static_cast<int>(aUpstream.queue.size()),
                                aUpstream.entry.slots,
                                {} };
    const bool isFar = aJob.host->dataCentre != aUpstream.entry.dataCentre;
    this->After(TripTo(*aJob.host, aUpstream), [this, aJob, isFar, answer] {
      this->answerIsFar = isFar;
      aJob.host->dispatcher->OnUpstreamResponse(aJob.number, answer);
    });
  }

  // Poisson arrivals, evenly over hosts and keys.
  void Arrive(TimePoint aEnd)
  {
    const double perMs = this->options.load *
                         static_cast<double>(this->upstreams.size()) *
                         this->options.slots / this->options.meanMs;
    const std::chrono::duration<double, std::milli> pause(
      std::exponential_distribution<double>(perMs)(this->random));
    this->After(std::chrono::duration_cast<Duration>(pause), [this, aEnd] {
      if (this->now < aEnd) {
        this->Ask();
        this->Arrive(aEnd);
      }
    });
  }

  // A caller, from its first attempt on.
  struct Caller
  {
    TimePoint first;
    std::optional<Key> key;
    bool isHot = false;
    bool hasReturned = false;
    std::string dataCentre;
  };

  void Ask()
  {
    std::uniform_int_distribution<int> centre(0, this->options.dataCentres - 1);
    std::uniform_int_distribution<int> key(0, 65535);
    Caller caller;
    caller.first = this->now;
    caller.isHot =
      std::bernoulli_distribution(this->options.hotShare)(this->random);
    if (this->options.keyed) {
      caller.key =
        caller.isHot ? Key{ 0 } : static_cast<Key>(key(this->random));
    }
    caller.dataCentre = std::to_string(centre(this->random));
    const bool moves =
      caller.dataCentre == "0" && this->now >= this->movesAt &&
      std::bernoulli_distribution(this->options.movedShare)(this->random);
    if (moves) {
      caller.dataCentre = "1";
    }
    ++this->result.asked;
    this->result.askedOfOthers += caller.isHot ? 0 : 1;
    this->Send(caller);
  }

  void Send(const Caller& aCaller)
  {
    std::vector<Host*> near;
    for (const auto& host : this->hosts) {
      if (host->dataCentre.value == aCaller.dataCentre) {
        near.push_back(host.get());
      }
    }
    std::uniform_int_distribution<std::size_t> host(0, near.size() - 1);
    CallerRequest request;
    request.message.target = "/x";
    request.hostName = "h";
    request.id = "r";
    request.arrived = this->now;
    request.timeout = std::chrono::duration_cast<milliseconds>(
      aCaller.first + this->options.deadline - this->now);
    request.key = aCaller.key;
    near[host(this->random)]->dispatcher->OnRequest(
      std::move(request), [this, aCaller](const CallerResponse& aAnswer) {
        this->OnCallerAnswer(aCaller, aAnswer);
      });
  }

  void OnCallerAnswer(Caller aCaller, const CallerResponse& aAnswer)
  {
    const Duration left = aCaller.first + this->options.deadline - this->now;
    const bool mayReturn = this->options.callersReturn &&
                           !aCaller.hasReturned && aAnswer.retryAfter &&
                           Duration(*aAnswer.retryAfter) <= left / 3;
    if (!aAnswer.message && mayReturn) {
      aCaller.hasReturned = true;
      this->After(*aAnswer.retryAfter,
                  [this, aCaller] { this->Send(aCaller); });
      return;
    }
    this->Count(aCaller, aAnswer);
  }

  void Count(const Caller& aCaller, const CallerResponse& aAnswer)
  {
    if (aAnswer.message) {
      const bool inTime = this->now - aCaller.first <= this->options.target;
      ++(inTime ? this->result.inTime : this->result.late);
      this->result.inTimeOfOthers += inTime && !aCaller.isHot ? 1 : 0;
      this->result.far += this->answerIsFar ? 1 : 0;
      return;
    }
    const bool notRun = protocol::ErrorInfoFor(aAnswer.error).outcome ==
                        protocol::Outcome::kNotRun;
    ++(notRun ? this->result.refused : this->result.lost);
  }

  void Tick(Host& aHost)
  {
    aHost.dispatcher->OnTimer();
    this->After(kTick, [this, &aHost] { this->Tick(aHost); });
  }

  void Tell(Host& aHost)
  {
    aHost.upstreams.SetWaiting(aHost.dispatcher->WaitingByOwner());
    const auto reports = aHost.upstreams.TakeReports();
    for (const auto& other : this->hosts) {
      if (other->id != aHost.id && this->AreMates(aHost, *other)) {
        other->upstreams.OnPeerReports(aHost.id, reports, this->now);
      }
    }
    this->After(kDigest, [this, &aHost] { this->Tell(aHost); });
  }

  const Options options;
  std::mt19937 random;
  TimePoint now{ std::chrono::hours(1) };
  std::multimap<TimePoint, std::function<void()>> events;
  std::map<state::UpstreamId, Upstream> upstreams;
  std::vector<std::unique_ptr<Host>> hosts;
  TimePoint movesAt;
  LoadResult result;
  // Of the answer that is being handed in.
  bool answerIsFar = false;
};

} // namespace kumquat::routing
