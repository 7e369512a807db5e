// What host leases cost: heartbeats, guarding, polling, and a host's loss, with
// all hosts in this process and frames handed over directly.

#include "slope.h"

#include "coordination/membership.h"
#include "protocol/codec.h"
#include "state/rows.h"

#include <pcg_random.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <memory>
#include <ranges>

namespace kumquat::bench {

namespace {

using coordination::Membership;
using coordination::MembershipBuilder;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::array kHostCounts = { 3, 6, 12, 24, 48 };
constexpr milliseconds kStep(10);
constexpr milliseconds kTimer(50);
constexpr seconds kSettle(8);
constexpr seconds kMeasured(20);
constexpr seconds kLossMeasured(10);

// N hosts on one fake clock. Frames and rows arrive one step later.
class Group
{
public:
  struct Counters
  {
    double frames = 0;
    double frameBytes = 0;
    double writes = 0;
    double reads = 0;
  };

  explicit Group(int aHosts)
  {
    for (int i = 0; i < aHosts; ++i) {
      const state::HostId id{ fmt::format("caerdydd-{}", i) };
      this->hosts[id] = MembershipBuilder()
                          .Self({ id, 1'700'000'000 })
                          .PeerAddress("127.100.100.100:7000")
                          .DataCentre({ fmt::format("dc{}", i % 3) })
                          .Hooks(this->MakeHooks(id))
                          .Build();
    }
    for (const auto& host : this->hosts | std::views::values) {
      host->Start();
    }
  }

  void Run(Duration aFor)
  {
    const TimePoint end = this->now + aFor;
    while (this->now < end) {
      this->Step();
    }
  }

  void KillOne() { this->hosts.begin()->second.reset(); }

  int Holding() const
  {
    return static_cast<int>(std::ranges::count_if(
      this->hosts | std::views::values, [this](const auto& aHost) {
        return aHost && aHost->MayStart(this->now);
      }));
  }

  Counters counters;

private:
  coordination::MembershipHooks MakeHooks(const state::HostId& aHost)
  {
    return {
      .now = [this] { return this->now; },
      .random = [this] { return this->random(); },
      .table = { .query =
                   [this](const std::string&, const auto& aDone) {
                     ++this->counters.reads;
                     this->Later([this, aDone] { aDone(this->Rows()); });
                   },
                 .write =
                   [this](const auto& aWrites, const auto& aDone) {
                     const auto outcome = this->Write(aWrites.front());
                     this->Later([aDone, outcome] { aDone(outcome); });
                   } },
      .send =
        [this, aHost](const state::HostId& aTo, const protocol::Frame& aFrame) {
          ++this->counters.frames;
          this->counters.frameBytes +=
            static_cast<double>(protocol::EncodeFrame(aFrame).size());
          this->Later([this, aHost, aTo, aFrame] {
            if (const auto& to = this->hosts[aTo]) {
              to->OnFrame({ aHost, 1'700'000'000 }, aFrame);
            }
          });
          return true;
        },
    };
  }

  std::vector<state::Row> Rows() const
  {
    std::vector<state::Row> rows;
    std::ranges::copy(this->table | std::views::values,
                      std::back_inserter(rows));
    return rows;
  }

  state::WriteOutcome Write(const state::ConditionalWrite& aWrite)
  {
    state::Row& row = this->table[aWrite.row.name];
    if (row.version != aWrite.expected) {
      return state::WriteOutcome::kConflict;
    }
    row = aWrite.row;
    ++this->counters.writes;
    return state::WriteOutcome::kWritten;
  }

  void Later(std::function<void()> aWork)
  {
    this->next.push_back(std::move(aWork));
  }

  void Step()
  {
    this->now += kStep;
    const auto due = std::exchange(this->next, {});
    std::ranges::for_each(due, [](const auto& aWork) { aWork(); });
    const bool timer = this->now.time_since_epoch() % kTimer == Duration(0);
    const bool poll = this->now.time_since_epoch() % seconds(1) == Duration(0);
    for (const auto& host : this->hosts | std::views::values) {
      if (host && timer) {
        host->OnTimer();
      }
      if (host && poll) {
        host->OnRows(this->Rows());
      }
    }
  }

  TimePoint now{ std::chrono::hours(1) };
  pcg64 random{ 1 };
  std::map<state::HostId, std::unique_ptr<Membership>> hosts;
  std::map<std::string, state::Row> table;
  std::deque<std::function<void()>> next;
};

} // namespace

std::vector<Slope> MeasureLeases()
{
  Slope frames{
    "leases", "frames sent by a host, a second", "frames", "host", {}
  };
  Slope bytes{
    "leases", "bytes sent by a host, a second", "bytes", "host", {}
  };
  Slope time{ "leases", "CPU of a host, a second", "us", "host", {} };
  Slope memory{ "leases", "memory of a host", "bytes", "host", {} };
  Slope lossWrites{
    "leases", "table writes at a host's loss", "writes", "host", {}
  };
  Slope lossFrames{
    "leases", "more frames in all at a host's loss", "frames", "host", {}
  };
  for (const int count : kHostCounts) {
    const auto size = static_cast<double>(count);
    const std::size_t before = AllocatedBytes();
    Group group(count);
    group.Run(kSettle);
    memory.points.push_back(
      { size, static_cast<double>(AllocatedBytes() - before) / size });
    group.counters = {};
    const double begin = ProcessSeconds();
    group.Run(kMeasured);
    const double hostSeconds = size * static_cast<double>(kMeasured.count());
    time.points.push_back(
      { size, (ProcessSeconds() - begin) * 1e6 / hostSeconds });
    frames.points.push_back({ size, group.counters.frames / hostSeconds });
    bytes.points.push_back({ size, group.counters.frameBytes / hostSeconds });
    const double perSecond =
      group.counters.frames / static_cast<double>(kMeasured.count());
    group.counters = {};
    group.KillOne();
    group.Run(kLossMeasured);
    lossWrites.points.push_back({ size, group.counters.writes });
    lossFrames.points.push_back(
      { size, group.counters.frames -
                perSecond * static_cast<double>(kLossMeasured.count()) *
                  (size - 1) / size });
  }
  return { frames, bytes, time, memory, lossWrites, lossFrames };
}

} // namespace kumquat::bench
