// A few hosts with a fake clock, network and table, for the lease's stories.

#pragma once

#include "coordination/membership.h"
#include "state/rows.h"

#include <pcg_random.hpp>

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <ranges>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::coordination {

using std::chrono::milliseconds;

// Hosts h1 to hN; every third is in the same data centre. Time moves in steps
// of 10 ms; a frame takes one step, a call to the table two.
class LeaseFixture
{
public:
  explicit LeaseFixture(int aHosts, LeaseRulesOff aOff = {},
                        std::uint64_t aSeed = 42)
    : off(std::move(aOff))
    , random(aSeed)
  {
    for (int i = 1; i <= aHosts; ++i) {
      this->Boot(Name(i));
    }
    this->Run(milliseconds(6000));
  }

  static state::HostId Name(int aNumber)
  {
    return { "h" + std::to_string(aNumber) };
  }

  static state::DataCentre Centre(const state::HostId& aHost)
  {
    return { "dc" + std::to_string(std::stoi(aHost.value.substr(1)) % 3) };
  }

  // A new process of that id; an earlier one, if any, ends or runs on as a
  // second process that nobody reaches.
  void Boot(const state::HostId& aHost, bool aKeepEarlier = false)
  {
    auto& process = this->processes[aHost];
    if (process && aKeepEarlier) {
      this->orphans.push_back(std::move(process));
    }
    process.reset();
    this->paused.erase(aHost);
    const state::HostRef ref{ aHost, ++this->incarnations[aHost] };
    process = MembershipBuilder()
                .Self(ref)
                .PeerAddress(aHost.value + ":1")
                .DataCentre(Centre(aHost))
                .Hooks(this->MakeHooks(ref))
                .WithoutRules(this->off)
                .Build();
    process->Start();
  }

  void Kill(const state::HostId& aHost) { this->processes[aHost].reset(); }

  void Pause(const state::HostId& aHost) { this->paused.insert(aHost); }

  // What came in meanwhile is handled after the timer: the worst order.
  void Thaw(const state::HostId& aHost)
  {
    this->paused.erase(aHost);
    if (this->processes[aHost]) {
      this->processes[aHost]->OnTimer();
    }
  }

  void Cut(const state::HostId& aOne, const state::HostId& aOther)
  {
    this->cuts.insert({ aOne, aOther });
    this->cuts.insert({ aOther, aOne });
  }

  void CutFromAll(const state::HostId& aHost)
  {
    for (const auto& [other, process] : this->processes) {
      this->Cut(aHost, other);
    }
  }

  // Frames of that host get lost, those to it arrive.
  void CutOneWay(const state::HostId& aHost)
  {
    for (const auto& [other, process] : this->processes) {
      this->cuts.insert({ aHost, other });
    }
  }

  void Heal() { this->cuts.clear(); }

  Membership& At(const state::HostId& aHost)
  {
    return *this->processes.at(aHost);
  }

  bool IsUp(const state::HostId& aHost) const
  {
    return this->processes.at(aHost) && !this->paused.contains(aHost);
  }

  int Random(int aBelow)
  {
    return static_cast<int>(this->random() % static_cast<unsigned>(aBelow));
  }

  bool Holds(const state::HostId& aHost)
  {
    return this->At(aHost).MayStart(this->now);
  }

  state::HostRecord Row(const state::HostId& aHost) const
  {
    const auto found = this->rows.find(aHost.value);
    return found == this->rows.end()
             ? state::HostRecord{}
             : state::HostFromJson(found->second).value();
  }

  std::vector<state::HostId> GuardsOf(const state::HostId& aHost) const
  {
    std::vector<state::HostId> guards;
    for (const state::HostRef& guard : this->Row(aHost).guards) {
      guards.push_back(guard.host);
    }
    return guards;
  }

  std::string Writer(const state::HostId& aHost) const
  {
    const std::string& nonce = this->rows.at(aHost.value).nonce;
    return nonce.substr(0, nonce.find('/'));
  }

  bool IsDeposed(const state::HostRef& aRef) const
  {
    const state::HostRecord record = this->Row(aRef.host);
    return record.ref.incarnation > aRef.incarnation ||
           (record.ref == aRef && record.state == state::HostState::kDeposed);
  }

  void Run(Duration aFor)
  {
    const TimePoint end = this->now + aFor;
    while (this->now < end) {
      this->Step();
    }
  }

  // How long it took, or nothing where it did not come true in time.
  std::optional<Duration> RunUntil(const std::function<bool()>& aCondition,
                                   Duration aMost)
  {
    const TimePoint begin = this->now;
    while (this->now < begin + aMost) {
      if (aCondition()) {
        return this->now - begin;
      }
      this->Step();
    }
    return std::nullopt;
  }

  void TellList()
  {
    std::vector<ListedHost> list;
    for (const auto& [host, process] : this->processes) {
      if (process) {
        list.push_back({ host });
      }
    }
    for (const auto& [host, process] : this->processes) {
      if (process) {
        process->OnHostList(list);
      }
    }
  }

  TimePoint now{ std::chrono::hours(1) };
  // The table, by host.
  std::map<std::string, state::Row> rows;
  bool storeDown = false;
  // Answers that are lost after the write took effect.
  int lostAnswers = 0;
  std::set<state::HostId> cutFromTable;
  // Frames to these hosts take that much longer.
  std::map<state::HostId, Duration> delays;
  int suspicions = 0;
  int writes = 0;
  // How often a run could have started work after the table had deposed it.
  int violations = 0;

private:
  struct Event
  {
    state::HostId host;
    std::function<void()> act;
  };

  MembershipHooks MakeHooks(const state::HostRef& aRef)
  {
    const state::HostId host = aRef.host;
    return {
      .now = [this] { return this->now; },
      .random = [this] { return this->random(); },
      .table = {
        .query = [this, host](const std::string&, const auto& aDone) {
          this->Query(host, aDone);
        },
        .write = [this, host](const auto& aWrites, const auto& aDone) {
          this->Write(host, aWrites, aDone);
        },
      },
      .send = [this, aRef](const state::HostId& aTo, const auto& aFrame) {
        return this->Send(aRef, aTo, aFrame);
      },
    };
  }

  bool Send(const state::HostRef& aFrom, const state::HostId& aTo,
            const protocol::Frame& aFrame)
  {
    const auto delay = this->delays.find(aTo);
    const Duration extra =
      delay == this->delays.end() ? Duration::zero() : delay->second;
    const state::Incarnation incarnation = this->incarnations[aTo];
    this->At(this->now + kStep + extra, aTo, [=, this] {
      const auto& process = this->processes[aTo];
      const bool reached = process && !this->cuts.contains({ aFrom.host, aTo });
      if (reached && process->Self().incarnation >= incarnation) {
        process->OnFrame(aFrom, aFrame);
      }
    });
    return true;
  }

  void Query(const state::HostId& aHost,
             const state::TableHooks::QueryDone& aDone)
  {
    const bool fails = this->storeDown || this->cutFromTable.contains(aHost);
    this->At(this->now + 2 * kStep, aHost, [=, this] {
      if (fails) {
        aDone(std::make_error_code(std::errc::timed_out));
        return;
      }
      std::vector<state::Row> found;
      std::ranges::copy(this->rows | std::views::values,
                        std::back_inserter(found));
      aDone(std::move(found));
    });
  }

  void Write(const state::HostId& aHost,
             const std::vector<state::ConditionalWrite>& aWrites,
             const state::TableHooks::WriteDone& aDone)
  {
    const bool fails = this->storeDown || this->cutFromTable.contains(aHost);
    auto outcome = state::WriteOutcome::kUnknown;
    if (!fails) {
      outcome = this->Apply(aWrites.front());
      if (outcome == state::WriteOutcome::kWritten && this->lostAnswers > 0) {
        --this->lostAnswers;
        outcome = state::WriteOutcome::kUnknown;
      }
    }
    this->At(this->now + 2 * kStep, aHost,
             [aDone, outcome] { aDone(outcome); });
  }

  state::WriteOutcome Apply(const state::ConditionalWrite& aWrite)
  {
    const auto found = this->rows.find(aWrite.row.name);
    const state::Version version =
      found == this->rows.end() ? 0 : found->second.version;
    if (version != aWrite.expected) {
      return state::WriteOutcome::kConflict;
    }
    this->rows[aWrite.row.name] = aWrite.row;
    ++this->writes;
    const auto record = state::HostFromJson(aWrite.row);
    this->suspicions += record->state == state::HostState::kSuspected ? 1 : 0;
    return state::WriteOutcome::kWritten;
  }

  void At(TimePoint aTime, const state::HostId& aHost,
          std::function<void()> aAct)
  {
    this->events.emplace(aTime, Event{ aHost, std::move(aAct) });
  }

  void Step()
  {
    this->now += kStep;
    std::multimap<TimePoint, Event> later;
    while (!this->events.empty() && this->events.begin()->first <= this->now) {
      auto event = this->events.extract(this->events.begin());
      if (this->paused.contains(event.mapped().host)) {
        event.key() = this->now + kStep;
        later.insert(std::move(event));
      } else {
        event.mapped().act();
      }
    }
    this->events.merge(later);
    ++this->steps;
    this->RunTimers();
    this->CheckOwners();
  }

  void RunTimers()
  {
    for (const auto& [host, process] : this->processes) {
      if (!process || this->paused.contains(host)) {
        continue;
      }
      if (this->steps % 5 == 0) {
        process->OnTimer();
      }
      if (this->steps % 100 == 0) {
        this->Query(host, [&process](const auto& aRows) {
          if (process && aRows) {
            process->OnRows(*aRows);
          }
        });
      }
    }
  }

  void CheckOwners()
  {
    const auto check = [this](const std::unique_ptr<Membership>& aProcess) {
      if (aProcess && aProcess->MayStart(this->now) &&
          this->IsDeposed(aProcess->Self())) {
        ++this->violations;
      }
    };
    std::ranges::for_each(this->processes | std::views::values, check);
    std::ranges::for_each(this->orphans, check);
  }

  static constexpr Duration kStep = milliseconds(10);

  LeaseRulesOff off;
  pcg64 random;
  std::map<state::HostId, std::unique_ptr<Membership>> processes;
  std::vector<std::unique_ptr<Membership>> orphans;
  std::map<state::HostId, state::Incarnation> incarnations;
  std::set<state::HostId> paused;
  std::set<std::pair<state::HostId, state::HostId>> cuts;
  std::multimap<TimePoint, Event> events;
  int steps = 0;
};

} // namespace kumquat::coordination
