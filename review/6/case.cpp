// Machines are replaced one after the other. The hosts that are there in the
// end go on by the configuration and the instances that they knew before.

#include "../stage-2/load.h"

#include <csignal>
#include <cstdio>
#include <deque>

using namespace stage;

namespace {

const std::vector<std::string> kZones = { "caerdydd", "abertawe", "wrecsam" };
constexpr int kHostsOfZone = 2;
constexpr int kReplacedOfZone = 21;
constexpr int kInstances = 4;
// `configApply` and `drain` of the site, in milliseconds.
constexpr std::int64_t kConfigApplyMs = 2000;
constexpr std::int64_t kDrainMs = 2000;

using HostPtr = std::unique_ptr<Host>;

std::vector<RouteOptions> RoutesTo(const std::string& aService)
{
  return { { "bookings.example", "/book/", "unsafe", aService, 1200, 2, false },
           { "bookings.example", "/old/", "safe", "archeb", 1000, 2, false },
           { "bookings.example", "/new/", "safe", "taliadau", 1000, 2,
             false } };
}

} // namespace

int main(int, char** aArguments)
{
  std::signal(SIGPIPE, SIG_IGN);
  const bool hasTrouble = Environment("TROUBLE", 1) != 0;
  Record record(std::string(aArguments[1]) + "/record.txt");
  const TemporaryFolder folder;
  Store store;
  Runs runs(record);
  store.Put("op", "config", MakeConfiguration(7, RoutesTo("archeb")));
  std::vector<std::unique_ptr<Instance>> instances;
  const auto make = [&](const std::string& aService, int aNumber) {
    InstanceOptions options;
    options.id = "i-" + aService + "-" + std::to_string(aNumber);
    options.service = aService;
    options.slots = 6;
    options.workMs = 60;
    instances.push_back(
      std::make_unique<Instance>(options, store, record, runs.Hook()));
  };
  for (const char* service : { "archeb", "taliadau" }) {
    for (int i = 0; i < kInstances; ++i) {
      make(service, i);
    }
  }
  std::vector<std::deque<HostPtr>> hosts(kZones.size());
  std::vector<int> numbers(kZones.size(), 0);
  const auto start = [&](std::size_t aZone, bool aIsFirst) {
    const int number = ++numbers[aZone];
    HostOptions options;
    options.name = "frontend-" + kZones[aZone] + "-" + std::to_string(number);
    options.zone = kZones[aZone];
    options.ip = "127.63." + std::to_string(aZone + 1) + ".";
    options.ip += std::to_string(number);
    hosts[aZone].push_back(
      std::make_unique<Host>(options, store.Address(), folder.Path(), record));
    hosts[aZone].back()->Start(aIsFirst);
  };
  const auto areReady = [&](std::int64_t aMs) {
    return std::ranges::all_of(hosts, [aMs](const std::deque<HostPtr>& aZone) {
      return std::ranges::all_of(aZone, [aMs](const HostPtr& aHost) {
        return WaitUntilReady(*aHost, aMs);
      });
    });
  };
  for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
    for (int i = 0; i < kHostsOfZone; ++i) {
      start(zone, true);
    }
  }
  if (!areReady(20'000)) {
    std::puts("the hosts did not get ready");
    return 2;
  }
  SleepMs(2000);
  // In each zone the oldest machine is gone for good, and a new one comes 1 s
  // later under another name and at another address.
  for (int i = 0; hasTrouble && i < kReplacedOfZone; ++i) {
    for (std::deque<HostPtr>& zone : hosts) {
      zone.front()->Kill();
      zone.pop_front();
    }
    SleepMs(1000);
    for (std::size_t zone = 0; zone < kZones.size(); ++zone) {
      start(zone, false);
    }
    if (!areReady(10'000)) {
      std::puts("the new hosts did not get ready");
      return 2;
    }
  }
  record.Line("nothing is disrupted from here on");
  std::vector<std::pair<std::string, std::string>> addresses;
  for (const std::deque<HostPtr>& zone : hosts) {
    for (const HostPtr& host : zone) {
      addresses.emplace_back(host->Options().name, host->Address());
    }
  }
  LoadOptions options;
  options.hostName = "bookings.example";
  options.path = "/book/";
  options.method = "POST";
  options.isKeyed = false;
  options.deadlineMs = 1200;
  options.body = "a booking";
  options.clientsPerHost = 3;
  Load load(options, addresses, record);
  // `contact` is 3000ms.
  SleepMs(8000);
  record.Line("the operator moves /book/ from archeb to taliadau: r8");
  store.Put("op", "config", MakeConfiguration(8, RoutesTo("taliadau")));
  const std::int64_t changedAt = NowMs();
  SleepMs(8000);
  load.Stop();
  // CONFIG: run by the old service later than `configApply`.
  int early = 0;
  int stale = 0;
  for (const Sent& one : load.All()) {
    const auto ran = runs.Of(one.id);
    const bool isLate = one.sentAt > changedAt + kConfigApplyMs;
    early += !ran.empty() && !isLate ? 1 : 0;
    stale +=
      !ran.empty() && isLate && ran.back().starts_with("i-archeb") ? 1 : 0;
  }
  record.Line("CONFIG: requests that the old service ran later than "
              "`configApply`: " +
              std::to_string(stale));
  // DRAIN: the instances of the service are replaced one after the other. The
  // new one starts first; the old one drains for longer than `drain`, and
  // exits.
  Load others(options, addresses, record);
  SleepMs(1000);
  std::map<std::string, std::int64_t> drainedAt;
  std::vector<std::thread> endings;
  endings.reserve(kInstances);
  for (int i = 0; i < kInstances; ++i) {
    make("taliadau", kInstances + i);
    // Behind those of archeb.
    const int place = kInstances + i;
    Instance* const old = instances[static_cast<std::size_t>(place)].get();
    old->Drain();
    drainedAt[old->Options().id] = NowMs();
    endings.emplace_back([old] {
      SleepMs(kDrainMs + 600);
      old->End();
    });
    SleepMs(1000);
  }
  for (std::thread& one : endings) {
    one.join();
  }
  const std::int64_t releasedAt = NowMs();
  record.Line("the release has ended");
  SleepMs(6000);
  others.Stop();
  int late = 0;
  int lost = 0;
  int served = 0;
  int asked = 0;
  for (const Sent& one : others.All()) {
    const auto ran = runs.Of(one.id);
    if (!ran.empty() && drainedAt.contains(ran.back())) {
      const bool isLate = one.sentAt > drainedAt[ran.back()] + kDrainMs;
      late += isLate ? 1 : 0;
      lost += isLate && one.status != 200 ? 1 : 0;
    }
    if (one.sentAt > releasedAt + 2000) {
      ++asked;
      served += one.status == 200 ? 1 : 0;
    }
  }
  record.Line("DRAIN: requests that reached a leaving instance later than "
              "`drain`: " +
              std::to_string(late) +
              ", of these without an answer of it: " + std::to_string(lost));
  record.Line("from 2 s after the release: asked " + std::to_string(asked) +
              ", served " + std::to_string(served));
  std::printf(
    "%d machines replaced; requests that the old service ran later "
    "than configApply: %d; that reached a leaving instance later than "
    "drain: %d, of these lost: %d; from 2 s after the release: asked "
    "%d, served %d\n",
    (numbers[0] - kHostsOfZone) * 3, stale, late, lost, asked, served);
  if (early < 100) {
    std::puts("the case did not come about");
    return 2;
  }
  return stale > 0 || late > 0 ? 1 : 0;
}
