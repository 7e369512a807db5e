// What whole daemons cost, as the system's own processes on this machine: CPU
// and memory idle and under load, reads and writes of the table.

#include "slope.h"

#include "standins/launcher.h"
#include "summary.h"
#include "testbed.h"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <unistd.h>

#include <array>
#include <fstream>
#include <iterator>
#include <numeric>
#include <ranges>
#include <sstream>
#include <thread>

namespace kumquat::bench {

namespace {

using nlohmann::json;
using std::chrono::seconds;

constexpr std::array<std::size_t, 3> kHostCounts = { 3, 6, 12 };
constexpr seconds kIdle(8);
constexpr seconds kLoaded(8);
constexpr double kUtilisation = 0.3;
// The load is the same for all sizes.
constexpr double kTimeFactor = 4;

struct Usage
{
  // User and system time, in seconds.
  double cpu = 0;
  double residentMiB = 0;
};

Usage UsageOf(pid_t aPid)
{
  constexpr int kUserTime = 14;
  constexpr int kSystemTime = 15;
  constexpr int kResidentPages = 24;
  std::ifstream file(fmt::format("/proc/{}/stat", aPid));
  std::string text{ std::istreambuf_iterator<char>(file), {} };
  // The second field is the program's name, in brackets.
  std::istringstream rest(text.substr(text.rfind(')') + 1));
  const std::vector<std::string> fields{
    std::istream_iterator<std::string>(rest), {}
  };
  const auto field = [&fields](int aNumber) {
    return std::stod(fields.at(static_cast<std::size_t>(aNumber) - 3));
  };
  const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  const auto page = static_cast<double>(sysconf(_SC_PAGESIZE));
  return { (field(kUserTime) + field(kSystemTime)) / ticks,
           field(kResidentPages) * page / (1 << 20) };
}

Usage Sum(const std::vector<pid_t>& aPids)
{
  Usage sum;
  for (const pid_t pid : aPids) {
    const Usage usage = UsageOf(pid);
    sum.cpu += usage.cpu;
    sum.residentMiB += usage.residentMiB;
  }
  return sum;
}

} // namespace

std::vector<Slope> MeasureDaemons()
{
  const auto make = [](const char* aQuantity, const char* aUnit) {
    return Slope{ "daemons", aQuantity, aUnit, "host", {} };
  };
  Slope idleCpu = make("CPU of a host, idle, a second", "ms");
  Slope idleMemory = make("resident memory of a host, idle", "MiB");
  Slope reads = make("table reads of all hosts, a second", "reads");
  Slope writes = make("table writes of all hosts, a second", "writes");
  Slope requestCpu = make("CPU of all hosts for a request", "us");
  Slope loadedMemory = make("resident memory of a host, loaded", "MiB");
  for (const std::size_t count : kHostCounts) {
    const auto size = static_cast<double>(count);
    Testbed testbed(
      { .out = "out/slopes", .timeFactor = kTimeFactor, .hosts = count });
    if (!testbed.Start()) {
      fmt::print(stderr, "slopes: {}\n", testbed.Problem());
      continue;
    }
    std::vector<pid_t> pids;
    for (const auto& host : testbed.Cluster().Hosts()) {
      if (auto* process = testbed.Cluster().FindHost(host.id)) {
        pids.push_back(process->Pid());
      }
    }
    const Usage before = Sum(pids);
    const json countersBefore = testbed.PlatformCounters();
    std::this_thread::sleep_for(kIdle);
    const Usage idle = Sum(pids);
    const json counters = testbed.PlatformCounters();
    const auto idleSeconds = static_cast<double>(kIdle.count());
    const double idlePerSecond = (idle.cpu - before.cpu) / idleSeconds;
    idleCpu.points.push_back({ size, idlePerSecond * 1e3 / size });
    idleMemory.points.push_back({ size, idle.residentMiB / size });
    const auto rate = [&](const char* aName) {
      return (counters.at(aName).get<double>() -
              countersBefore.at(aName).get<double>()) /
             idleSeconds;
    };
    reads.points.push_back({ size, rate("reads") });
    writes.points.push_back({ size, rate("writes") });
    const auto measured = testbed.Run(testbed.LoadAt(kUtilisation), kLoaded);
    const Usage loaded = Sum(pids);
    const double spent = loaded.cpu - idle.cpu -
                         idlePerSecond * static_cast<double>(kLoaded.count());
    requestCpu.points.push_back(
      { size,
        spent * 1e6 / static_cast<double>(measured.load.outcomes.size()) });
    loadedMemory.points.push_back({ size, loaded.residentMiB / size });
    static_cast<void>(testbed.Stop());
  }
  return { idleCpu, idleMemory, reads, writes, requestCpu, loadedMemory };
}

} // namespace kumquat::bench
