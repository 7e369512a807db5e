// Simulates in virtual time how many hosts use one upstream that starts: the
// dispatchers of the hosts, the digests within cells, and an upstream with a
// known warm-up. Its answers take a few percent more or less than its time.

#pragma once

#include "framework/tests/mostinspan.h"
#include "routing/dispatcher.h"
#include "routing/tests/hostnames.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace kumquat::routing {

class PaceSimulation
{
public:
  using milliseconds = std::chrono::milliseconds;

  struct Options
  {
    int hosts = 1;
    bool paces = true;
    double coldPerSecond = 10;
    int slots = 6;
    double warmMs = 100;
    // Share of all slots that callers ask for, in the warm time.
    double load = 0.9;
    // After its start, and how many times the warm time its answers take then.
    milliseconds coldFor{ 3000 };
    double coldFactor = 2;
    double factorAfter = 1;
    // What its entry says.
    milliseconds saidCold{ 3000 };
    // It ends when it gets more than the rule's bound in a second while cold.
    bool fallsOver = false;
    // When it ends once more, and starts as before.
    std::optional<milliseconds> fallsAgainAt;
    // An answer that takes ten times as long, or a refusal.
    std::optional<milliseconds> badAnswerAt;
    // It does not start anew: its data centre is out of service for a moment,
    // and it comes back cold, which its entry does not say. Hosts hear of its
    // return at different times.
    bool returnsUnsaid = false;
    // So many hosts restart within the second after its start. For a while each
    // knows no other host, and the others do not reach it.
    int restarts = 0;
    milliseconds aloneFor{ 300 };
    std::uint32_t seed = 1;
  };

  struct Result
  {
    int requests = 0;
    // From each start until two seconds after its cold time: requests that
    // reached it, those refused as its queue was full, and those lost as it
    // fell over.
    int arrivals = 0;
    int floods = 0;
    int falls = 0;
    std::ptrdiff_t mostWhileCold = 0;
    std::vector<PaceNotice> notices;
  };

  explicit PaceSimulation(const Options& aOptions)
    : options(aOptions)
    , random(aOptions.seed)
  {
    this->MakeHosts();
  }

  // The rule of the deployment for any second in which the upstream is cold.
  double Bound() const { return 1.5 * this->options.coldPerSecond + 5; }
  double FullPerSecond() const
  {
    return 1000.0 * this->options.slots / this->options.warmMs;
  }

  Result Simulate(milliseconds aFor)
  {
    this->ScheduleNextCaller();
    for (const auto& host : this->hosts) {
      this->Tick(*host);
      this->SendDigests(*host);
    }
    this->Schedule(kWarmBefore - kDownFor, [this] { this->GoDown(); });
    if (this->options.fallsAgainAt) {
      this->Schedule(kWarmBefore + *this->options.fallsAgainAt,
                     [this] { this->GoDown(); });
    }
    const TimePoint end = this->now + kWarmBefore + aFor;
    while (this->events.begin()->first <= end) {
      const auto event = this->events.extract(this->events.begin());
      this->now = event.key();
      event.mapped()();
    }
    this->CountCold();
    return this->result;
  }

  const std::vector<TimePoint>& Arrivals() const { return this->arrivals; }

  // Answers in a time after the upstream's last start.
  double ServedPerSecond(milliseconds aFrom, milliseconds aTo) const
  {
    const auto from =
      std::ranges::lower_bound(this->served, this->lastStart + aFrom);
    const auto to =
      std::ranges::lower_bound(this->served, this->lastStart + aTo);
    return static_cast<double>(to - from) /
           std::chrono::duration<double>(aTo - aFrom).count();
  }

  // Answers before the start, when it was warm and had been for some seconds.
  double SteadyPerSecond() const
  {
    const TimePoint begin = this->firstAt + milliseconds(3000);
    const auto from = std::ranges::lower_bound(this->served, begin);
    const auto to = std::ranges::lower_bound(
      this->served, this->firstAt + kWarmBefore - kDownFor);
    return static_cast<double>(to - from) /
           std::chrono::duration<double>(kWarmBefore - kDownFor -
                                         milliseconds(3000))
             .count();
  }

private:
  static constexpr milliseconds kWarmBefore{ 8000 };
  static constexpr milliseconds kDownFor{ 500 };
  static constexpr milliseconds kTick{ 10 };
  static constexpr milliseconds kDigests{ 200 };
  static constexpr std::size_t kCell = 12;
  static constexpr std::size_t kQueue = 24;

  struct Host
  {
    state::HostId id;
    std::size_t cell = 0;
    // Counts its processes.
    int process = 0;
    bool isReachable = true;
    Upstreams upstreams;
    std::unique_ptr<Dispatcher> dispatcher;
  };

  struct Job
  {
    Host* host = nullptr;
    RequestNumber number = 0;
    int process = 0;
  };

  // Whether the process that sent it still runs.
  static bool IsAwaited(const Job& aJob)
  {
    return aJob.process == aJob.host->process;
  }

  void Schedule(Duration aPause, std::function<void()> aWhat)
  {
    this->events.emplace(this->now + aPause, std::move(aWhat));
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
    route.timeout = milliseconds(1500);
    route.targetLatency = milliseconds(600);
    configuration.routes = { route };
    configuration.services = { { { "s" },
                                 "/health",
                                 130,
                                 this->options.coldPerSecond,
                                 this->options.hosts > 1 } };
    this->routes = std::make_shared<const RouteTable>(std::move(configuration));
    this->all = HostNames(this->options.hosts);
    for (std::size_t i = 0; i < this->all.size(); ++i) {
      auto host = std::make_unique<Host>();
      host->id = this->all[i];
      host->cell = i / kCell;
      this->hosts.push_back(std::move(host));
    }
    for (const auto& host : this->hosts) {
      this->StartProcess(*host);
    }
    this->TellReachable();
    this->PutEntries(milliseconds(0));
  }

  std::vector<state::HostId> CellOf(const Host& aHost,
                                    bool aOnlyReachable) const
  {
    std::vector<state::HostId> members;
    for (const auto& other : this->hosts) {
      if (other->cell == aHost.cell &&
          (other->isReachable || !aOnlyReachable || other->id == aHost.id)) {
        members.push_back(other->id);
      }
    }
    return members;
  }

  void StartProcess(Host& aHost)
  {
    DispatcherOptions ofHost{ aHost.id, { "a" }, 0.1, 20 };
    ofHost.pacesStartingUpstreams = this->options.paces;
    aHost.dispatcher = std::make_unique<Dispatcher>(ofHost, aHost.upstreams,
                                                    this->HooksOf(aHost));
    aHost.dispatcher->SetRoutes(this->routes);
  }

  // As peers are heard, and as the table of hosts has them.
  void TellReachable()
  {
    for (const auto& host : this->hosts) {
      if (!host->isReachable) {
        continue;
      }
      std::vector<state::HostId> reachable;
      for (const auto& other : this->hosts) {
        if (other->isReachable) {
          reachable.push_back(other->id);
        }
      }
      host->dispatcher->SetHosts(this->CellOf(*host, true), reachable);
      host->dispatcher->SetKnownHosts(this->CellOf(*host, false), this->all);
    }
  }

  void Restart(Host& aHost)
  {
    ++aHost.process;
    aHost.isReachable = false;
    aHost.upstreams = Upstreams();
    this->StartProcess(aHost);
    aHost.dispatcher->SetHosts({ aHost.id }, { aHost.id }, false);
    aHost.upstreams.PutEntry(
      this->Entry(
        std::max(milliseconds(0),
                 std::chrono::duration_cast<milliseconds>(
                   this->lastStart + this->options.saidCold - this->now))),
      this->now);
    this->TellReachable();
    this->Schedule(this->options.aloneFor, [this, &aHost] {
      aHost.isReachable = true;
      this->TellReachable();
    });
  }

  void ScheduleRestarts()
  {
    for (int i = 0; i < this->options.restarts; ++i) {
      Host& host =
        *this->hosts[static_cast<std::size_t>(i) * this->hosts.size() /
                     static_cast<std::size_t>(this->options.restarts)];
      this->Schedule(
        milliseconds(std::uniform_int_distribution<int>(0, 1000)(this->random)),
        [this, &host] { this->Restart(host); });
    }
  }

  UpstreamEntry Entry(milliseconds aCold) const
  {
    UpstreamEntry entry;
    entry.id = { "u" };
    entry.service = { "s" };
    entry.address = "10.0.0.1:80";
    entry.dataCentre = { "a" };
    entry.slots = this->options.slots;
    entry.startedMs = this->life + 1;
    entry.coldRemaining = aCold;
    return entry;
  }

  void PutEntries(milliseconds aCold)
  {
    for (const auto& host : this->hosts) {
      host->upstreams.PutEntry(this->Entry(aCold), this->now);
    }
  }

  Dispatcher::Hooks HooksOf(Host& aHost)
  {
    Dispatcher::Hooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.random = [this](std::size_t aBelow) {
      return std::uniform_int_distribution<std::size_t>(0, aBelow -
                                                             1)(this->random);
    };
    hooks.send = [this, &aHost](const UpstreamRequest& aRequest) {
      this->Schedule(milliseconds(1), [this, &aHost, n = aRequest.number,
                                       process = aHost.process] {
        this->OnArrival({ &aHost, n, process });
      });
    };
    hooks.cancel = [](RequestNumber) { return true; };
    hooks.findOwner = [](const state::ServiceName&, Key) {
      return KeyOwner{ { "u" }, std::chrono::hours(1) };
    };
    hooks.reportNotOwner = [](const state::ServiceName&, Key,
                              const state::UpstreamId&) {};
    hooks.onRequestEnded = [](const RequestTrace&) {};
    hooks.onRetry = [](protocol::ErrorKind) {};
    hooks.onPaceChanged = [this](const PaceNotice& aNotice) {
      this->result.notices.push_back(aNotice);
    };
    return hooks;
  }

  bool HasStarted() const { return !this->starts.empty(); }

  bool IsStarting() const
  {
    return this->HasStarted() && this->now < this->lastStart +
                                               this->options.coldFor +
                                               milliseconds(2000);
  }

  bool IsCold() const
  {
    return this->HasStarted() &&
           this->now < this->lastStart + this->options.coldFor;
  }

  void TakeOut()
  {
    for (const auto& host : this->hosts) {
      host->upstreams.SetOutOfService({ { "a" } }, this->now);
      this->Schedule(
        kDownFor + milliseconds(this->random() % 200),
        [this, &host] { host->upstreams.SetOutOfService({}, this->now); });
    }
    this->Schedule(kDownFor, [this] {
      this->lastStart = this->now;
      this->starts.push_back(this->now);
    });
  }

  void GoDown()
  {
    if (this->options.returnsUnsaid) {
      this->TakeOut();
      return;
    }
    this->isDown = true;
    this->FailAll();
    this->Schedule(kDownFor, [this] {
      ++this->life;
      this->isDown = false;
      this->lastStart = this->now;
      this->starts.push_back(this->now);
      this->PutEntries(this->options.saidCold);
      this->ScheduleRestarts();
    });
  }

  void FailAll()
  {
    this->running = 0;
    this->queue.clear();
    const auto lost = std::exchange(this->inside, {});
    for (const auto& [number, job] : lost) {
      if (!IsAwaited(job)) {
        continue;
      }
      job.host->dispatcher->OnSendFailed(job.number,
                                         transport::TransportError::kBroken);
    }
  }

  void OnArrival(const Job& aJob)
  {
    if (!IsAwaited(aJob)) {
      return;
    }
    if (this->isDown) {
      aJob.host->dispatcher->OnSendFailed(
        aJob.number, transport::TransportError::kUnreachable);
      return;
    }
    this->result.arrivals += this->IsStarting() ? 1 : 0;
    this->arrivals.push_back(this->now);
    if (this->options.fallsOver && this->IsCold() &&
        static_cast<double>(
          std::ranges::end(this->arrivals) -
          std::ranges::lower_bound(
            this->arrivals,
            std::max(this->lastStart, this->now - std::chrono::seconds(1)))) >
          this->Bound()) {
      ++this->result.falls;
      this->result.floods += static_cast<int>(this->inside.size()) + 1;
      this->inside[++this->jobs] = aJob;
      this->GoDown();
      return;
    }
    if (this->queue.size() >= kQueue) {
      this->result.floods += this->IsStarting() ? 1 : 0;
      this->Respond(aJob, true);
      return;
    }
    const int number = ++this->jobs;
    this->inside[number] = aJob;
    this->queue.push_back(number);
    this->StartWork();
  }

  void StartWork()
  {
    while (!this->queue.empty() && this->running < this->options.slots) {
      const int number = this->queue.front();
      this->queue.pop_front();
      ++this->running;
      double ms = this->options.warmMs * std::uniform_real_distribution<double>(
                                           0.9, 1.1)(this->random);
      if (this->HasStarted()) {
        ms *=
          this->IsCold() ? this->options.coldFactor : this->options.factorAfter;
      }
      if (this->options.badAnswerAt && this->HasStarted() &&
          this->now >= this->lastStart + *this->options.badAnswerAt &&
          !std::exchange(this->wasBad, true)) {
        ms *= 10;
      }
      this->Schedule(std::chrono::duration_cast<Duration>(
                       std::chrono::duration<double, std::milli>(ms)),
                     [this, number] { this->OnWorkEnded(number); });
    }
  }

  void OnWorkEnded(int aNumber)
  {
    const auto found = this->inside.find(aNumber);
    if (found == this->inside.end()) {
      return;
    }
    const Job job = found->second;
    this->inside.erase(found);
    --this->running;
    this->served.push_back(this->now);
    this->Respond(job, false);
    this->StartWork();
  }

  void Respond(const Job& aJob, bool aNotRun)
  {
    UpstreamResponse response;
    response.message.status = aNotRun ? 503 : 200;
    response.notRun = aNotRun;
    response.isSigned = !aNotRun;
    response.load = UpstreamLoad{ this->running,
                                  static_cast<int>(this->queue.size()),
                                  this->options.slots,
                                  {} };
    this->Schedule(milliseconds(1), [aJob, response] {
      if (!IsAwaited(aJob)) {
        return;
      }
      aJob.host->dispatcher->OnUpstreamResponse(aJob.number, response);
    });
  }

  void ScheduleNextCaller()
  {
    const double perMs =
      this->options.load * this->options.slots / this->options.warmMs;
    const std::chrono::duration<double, std::milli> pause(
      std::exponential_distribution<double>(perMs)(this->random));
    this->Schedule(std::chrono::duration_cast<Duration>(pause), [this] {
      CallerRequest request;
      request.message.target = "/x";
      request.hostName = "h";
      request.id = "r";
      request.arrived = this->now;
      request.timeout = milliseconds(1500);
      if (this->options.hosts > 1) {
        request.key = Key{ 1 };
      }
      ++this->result.requests;
      Host& host = *this->hosts[std::uniform_int_distribution<std::size_t>(
        0, this->hosts.size() - 1)(this->random)];
      host.dispatcher->OnRequest(std::move(request),
                                 [](const CallerResponse&) {});
      this->ScheduleNextCaller();
    });
  }

  void Tick(Host& aHost)
  {
    aHost.dispatcher->OnTimer();
    this->Schedule(kTick, [this, &aHost] { this->Tick(aHost); });
  }

  void SendDigests(Host& aHost)
  {
    aHost.upstreams.SetWaiting(aHost.dispatcher->WaitingByOwner());
    const auto reports = aHost.upstreams.TakeReports();
    for (const auto& other : this->hosts) {
      if (other->id != aHost.id && other->cell == aHost.cell) {
        other->upstreams.OnPeerReports(aHost.id, reports, this->now);
      }
    }
    this->Schedule(kDigests, [this, &aHost] { this->SendDigests(aHost); });
  }

  // In each second that begins while the upstream is cold by the rule.
  void CountCold()
  {
    for (const TimePoint start : this->starts) {
      const auto from = std::ranges::lower_bound(this->arrivals, start);
      const auto to =
        std::ranges::lower_bound(this->arrivals, start + this->options.coldFor);
      if (from < to) {
        this->result.mostWhileCold =
          std::max(this->result.mostWhileCold,
                   MostInSpan({ from, to }, std::chrono::seconds(1)));
      }
    }
  }

  const Options options;
  std::mt19937 random;
  TimePoint now{ std::chrono::hours(1) };
  const TimePoint firstAt = this->now;
  std::multimap<TimePoint, std::function<void()>> events;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<state::HostId> all;
  std::shared_ptr<const RouteTable> routes;
  // The upstream.
  int life = 0;
  bool isDown = false;
  bool wasBad = false;
  TimePoint lastStart;
  std::vector<TimePoint> starts;
  int running = 0;
  int jobs = 0;
  std::deque<int> queue;
  std::map<int, Job> inside;
  std::vector<TimePoint> arrivals;
  std::vector<TimePoint> served;
  Result result;
};

} // namespace kumquat::routing
