// Grants under failure. Each rule's story runs twice: with the rule, and with
// the rule switched off, where the property must break.

#include "coordination/grantkeeper.h"
#include "protocol/errorkind.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::coordination {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

constexpr Duration kStep = milliseconds(10);

const state::UpstreamRef kFirst{ { "stoc" }, { "u1" } };
const state::UpstreamRef kSecond{ { "stoc" }, { "u2" } };
const state::HostRef kOld{ { "old" }, 1 };
const state::HostRef kNew{ { "new" }, 1 };

state::UpstreamRecord Stewardship(const state::UpstreamRef& aRef,
                                  const state::HostRef& aSteward,
                                  state::Epoch aEpoch)
{
  state::UpstreamRecord record;
  record.ref = aRef;
  record.steward = aSteward;
  record.epoch = aEpoch;
  return record;
}

state::SliceRecord Slice(const state::UpstreamRef& aOwner, state::Epoch aEpoch)
{
  state::SliceRecord slice;
  slice.service = aOwner.service;
  slice.part = "s1";
  slice.last = 99;
  slice.upstream = aOwner.upstream;
  slice.epoch = aEpoch;
  return slice;
}

// A server that takes fenced grants; it remembers no revoked epochs.
struct FakeUpstream
{
  bool checksFence = true;
  bool reachable = true;
  // Calls arrive, their answers do not.
  bool answersLost = false;
  Duration answerDelay = kStep;
  state::Epoch fence = 0;
  state::Incarnation incarnation = 1;
  std::int64_t sequence = 0;
  // Of its one slice.
  TimePoint grantedUntil = TimePoint::min();

  std::pair<int, json> Handle(const std::string& aTarget, const json& aBody,
                              TimePoint aNow)
  {
    const auto epoch = aBody.at("epoch").get<state::Epoch>();
    if (this->checksFence && epoch < this->fence) {
      return { 412, { { "epoch", this->fence } } };
    }
    if (aTarget == "/fence") {
      this->fence = epoch;
      return { 200, this->FenceAnswer(aNow) };
    }
    if (aTarget == "/revoke") {
      this->grantedUntil = TimePoint::min();
      return { 200, json::object() };
    }
    const auto given = aBody.at("sequence").get<std::int64_t>();
    if (given < this->sequence) {
      return { 412, json::object() };
    }
    this->sequence = given;
    this->grantedUntil = aNow + milliseconds(aBody.at("termMs").get<int>());
    return { 200, json::object() };
  }

  json FenceAnswer(TimePoint aNow) const
  {
    json grants = json::array();
    if (aNow < this->grantedUntil) {
      grants.push_back({ { "part", "s1" }, { "sequence", this->sequence } });
    }
    return { { "incarnation", this->incarnation },
             { "checksFence", this->checksFence },
             { "grants", grants } };
  }

  void Restart()
  {
    ++this->incarnation;
    this->fence = 0;
    this->sequence = 0;
    this->grantedUntil = TimePoint::min();
  }
};

// Two upstreams, and stewards with a fake clock.
class World
{
public:
  explicit World(GrantRulesOff aOff = {})
    : off(std::move(aOff))
  {
  }

  std::unique_ptr<GrantKeeper> Keeper(const state::HostRef& aSelf)
  {
    GrantKeeperHooks hooks;
    hooks.now = [this] { return this->now; };
    hooks.mayStart = [this, aSelf](TimePoint) {
      return !this->leaseless.contains(aSelf);
    };
    hooks.sendControl = [this](const state::UpstreamRef& aRef,
                               const std::string&, const std::string& aTarget,
                               const std::string& aBody,
                               const GrantKeeperHooks::ControlDone& aDone) {
      this->Send(aRef, aTarget, aBody, aDone);
    };
    return GrantKeeperBuilder()
      .Self(aSelf)
      .Hooks(std::move(hooks))
      .WithoutRules(this->off)
      .Build();
  }

  // The keepers whose timers run; a paused one is left out.
  void Run(Duration aFor, const std::vector<GrantKeeper*>& aKeepers)
  {
    const TimePoint end = this->now + aFor;
    while (this->now < end) {
      this->now += kStep;
      while (!this->events.empty() &&
             this->events.begin()->first <= this->now) {
        this->events.extract(this->events.begin()).mapped()();
      }
      for (GrantKeeper* const keeper : aKeepers) {
        keeper->OnTimer();
      }
      this->CheckOwners();
      this->check();
    }
  }

  bool InForce(const state::UpstreamRef& aRef)
  {
    return this->now < this->upstreams[aRef].grantedUntil;
  }

  TimePoint now{ std::chrono::hours(1) };
  std::map<state::UpstreamRef, FakeUpstream> upstreams;
  std::set<state::HostRef> leaseless;
  // Of calls sent from now on, on their way to the upstream.
  Duration callDelay = kStep;
  int calls = 0;
  // Steps in which both upstreams hold the slice, or whatever else check
  // counts.
  int violations = 0;
  std::function<void()> check = [] {};

private:
  void Send(const state::UpstreamRef& aRef, const std::string& aTarget,
            const std::string& aBody,
            const GrantKeeperHooks::ControlDone& aDone)
  {
    ++this->calls;
    if (!this->upstreams[aRef].reachable) {
      this->events.emplace(this->now + milliseconds(300), [aDone] {
        aDone(make_error_code(protocol::ErrorKind::kUpstreamUnreachable));
      });
      return;
    }
    this->events.emplace(this->now + this->callDelay, [=, this] {
      FakeUpstream& upstream = this->upstreams[aRef];
      const auto [status, body] =
        upstream.Handle(aTarget, json::parse(aBody), this->now);
      const bool lost = upstream.answersLost;
      this->events.emplace(
        this->now + upstream.answerDelay,
        [aDone, lost, answer = ControlAnswer{ status, body.dump() }] {
          if (lost) {
            aDone(make_error_code(protocol::ErrorKind::kUpstreamTimeout));
          } else {
            aDone(answer);
          }
        });
    });
  }

  void CheckOwners()
  {
    const bool both = this->InForce(kFirst) && this->InForce(kSecond);
    this->violations += both ? 1 : 0;
  }

  GrantRulesOff off;
  std::multimap<TimePoint, std::function<void()>> events;
};

// The planner's part: revokes at the first upstream, then the second one owns.
void Move(GrantKeeper& aKeeper, state::Epoch aEpoch, bool& aMoved)
{
  aKeeper.Revoke(Slice(kFirst, aEpoch), [&aKeeper, aEpoch, &aMoved] {
    aMoved = true;
    aKeeper.Give(Slice(kSecond, aEpoch + 1));
  });
}

void AssertRuleMatters(GrantRule aRule,
                       const std::function<int(const GrantRulesOff&)>& aStory)
{
  CPPUNIT_ASSERT_EQUAL(0, aStory({}));
  CPPUNIT_ASSERT(aStory({ aRule }) > 0);
}

// A steward that has given the slice to the first upstream.
std::unique_ptr<GrantKeeper> Granted(World& aWorld,
                                     const state::HostRef& aSelf = kOld)
{
  auto keeper = aWorld.Keeper(aSelf);
  keeper->TakeOver(Stewardship(kFirst, aSelf, 1), false);
  keeper->TakeOver(Stewardship(kSecond, aSelf, 1), false);
  keeper->Give(Slice(kFirst, 1));
  aWorld.Run(milliseconds(500), { keeper.get() });
  return keeper;
}

std::unique_ptr<GrantKeeper> Successor(World& aWorld)
{
  auto keeper = aWorld.Keeper(kNew);
  keeper->TakeOver(Stewardship(kFirst, kNew, 2), true);
  keeper->TakeOver(Stewardship(kSecond, kNew, 2), true);
  return keeper;
}

} // namespace

class GrantKeeperTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(GrantKeeperTest);
  CPPUNIT_TEST(testGivesRenewsAndMoves);
  CPPUNIT_TEST(testSuccessorTakesOverAtOnceBehindAFence);
  CPPUNIT_TEST(testPausedStewardDoesNotConcludeFromTime);
  CPPUNIT_TEST(testFenceFirst);
  CPPUNIT_TEST(testReadGrantsBack);
  CPPUNIT_TEST(testWaitOutTerm);
  CPPUNIT_TEST(testSettleRenewals);
  CPPUNIT_TEST(testCountFromSending);
  CPPUNIT_TEST(testWaitOutUnfenced);
  CPPUNIT_TEST(testFenceNewIncarnation);
  CPPUNIT_TEST(testLeaseFirst);
  CPPUNIT_TEST_SUITE_END();

public:
  void testGivesRenewsAndMoves()
  {
    World world;
    const auto keeper = Granted(world);
    CPPUNIT_ASSERT(keeper->MayRun(Slice(kFirst, 1), world.now));
    world.Run(std::chrono::seconds(10), { keeper.get() });
    CPPUNIT_ASSERT(keeper->MayRun(Slice(kFirst, 1), world.now));
    CPPUNIT_ASSERT(world.InForce(kFirst));
    bool moved = false;
    Move(*keeper, 1, moved);
    CPPUNIT_ASSERT(!keeper->MayRun(Slice(kFirst, 1), world.now));
    world.Run(milliseconds(100), { keeper.get() });
    CPPUNIT_ASSERT(moved);
    CPPUNIT_ASSERT(keeper->MayRun(Slice(kSecond, 2), world.now));
    CPPUNIT_ASSERT_EQUAL(0, world.violations);
  }

  // A steward is lost. Where the upstream checks fences its successor need not
  // wait, and goes on with sequences above those that it reads back.
  void testSuccessorTakesOverAtOnceBehindAFence()
  {
    World world;
    const auto old = Granted(world);
    world.Run(std::chrono::seconds(5), { old.get() });
    const auto successor = Successor(world);
    successor->Give(Slice(kFirst, 1));
    world.Run(milliseconds(150), { successor.get() });
    CPPUNIT_ASSERT(successor->MayRun(Slice(kFirst, 1), world.now));
    // The old one wakes up: its renewal is refused, and it knows.
    world.Run(milliseconds(800), { old.get(), successor.get() });
    CPPUNIT_ASSERT(old->Phase(kFirst) == UpstreamPhase::kFenced);
    CPPUNIT_ASSERT(!old->MayRun(Slice(kFirst, 1), world.now));
  }

  // A steward is paused with a revocation open. When it wakes, the old term is
  // long over, but its successor has renewed the grant.
  void testPausedStewardDoesNotConcludeFromTime()
  {
    World world;
    const auto old = Granted(world);
    world.upstreams[kFirst].reachable = false;
    bool moved = false;
    Move(*old, 1, moved);
    world.Run(milliseconds(400), { old.get() });
    world.upstreams[kFirst].reachable = true;
    const auto successor = Successor(world);
    successor->Give(Slice(kFirst, 1));
    world.Run(std::chrono::seconds(5), { successor.get() });
    world.leaseless.insert(kOld);
    world.Run(std::chrono::seconds(1), { old.get(), successor.get() });
    CPPUNIT_ASSERT(!moved);
    CPPUNIT_ASSERT_EQUAL(0, world.violations);
  }

  // A steward's renewal is held up on its way. Its successor has moved the
  // slice when it arrives: without a fence the old owner would take it.
  void testFenceFirst()
  {
    AssertRuleMatters(GrantRule::kFenceFirst, [](const GrantRulesOff& aOff) {
      World world(aOff);
      const auto old = Granted(world);
      world.callDelay = milliseconds(1000);
      world.Run(milliseconds(400), { old.get() });
      world.callDelay = kStep;
      const auto successor = Successor(world);
      successor->Give(Slice(kFirst, 1));
      world.Run(milliseconds(100), { successor.get() });
      bool moved = false;
      Move(*successor, 1, moved);
      world.Run(std::chrono::seconds(2), { successor.get() });
      return world.violations;
    });
  }

  // A steward is lost, and the upstream that holds a slice cannot be reached
  // by the successor, but serves on. The successor has given it nothing, yet
  // must not take the slice for free.
  void testReadGrantsBack()
  {
    AssertRuleMatters(GrantRule::kReadGrantsBack,
                      [](const GrantRulesOff& aOff) {
                        World world(aOff);
                        const auto old = Granted(world);
                        world.upstreams[kFirst].reachable = false;
                        const auto successor = Successor(world);
                        bool moved = false;
                        Move(*successor, 1, moved);
                        world.Run(std::chrono::seconds(4), { successor.get() });
                        CPPUNIT_ASSERT(moved);
                        return world.violations;
                      });
  }

  // An upstream is cut off from its steward and serves on until its grant
  // ends. A revocation that cannot reach it must wait for that.
  void testWaitOutTerm()
  {
    AssertRuleMatters(GrantRule::kWaitOutTerm, [](const GrantRulesOff& aOff) {
      World world(aOff);
      const auto keeper = Granted(world);
      world.upstreams[kFirst].reachable = false;
      bool moved = false;
      Move(*keeper, 1, moved);
      world.Run(std::chrono::seconds(4), { keeper.get() });
      CPPUNIT_ASSERT(moved);
      return world.violations;
    });
  }

  // A renewal is slow on its way and is overtaken by the revocation: the
  // upstream answers that all is over, and then takes the renewal.
  void testSettleRenewals()
  {
    AssertRuleMatters(GrantRule::kSettleRenewals,
                      [](const GrantRulesOff& aOff) {
                        World world(aOff);
                        const auto keeper = Granted(world);
                        world.callDelay = milliseconds(250);
                        const int calls = world.calls;
                        while (world.calls == calls) {
                          world.Run(kStep, { keeper.get() });
                        }
                        world.callDelay = kStep;
                        bool moved = false;
                        Move(*keeper, 1, moved);
                        world.Run(std::chrono::seconds(4), { keeper.get() });
                        CPPUNIT_ASSERT(moved);
                        return world.violations;
                      });
  }

  // Answers to renewals are slow, then the upstream is cut off. Counted from
  // the answer, the steward would send it work of a grant that is over.
  void testCountFromSending()
  {
    AssertRuleMatters(
      GrantRule::kCountFromSending, [](const GrantRulesOff& aOff) {
        World world(aOff);
        world.upstreams[kFirst].answerDelay = milliseconds(1000);
        const auto keeper = Granted(world);
        world.Run(std::chrono::seconds(6), { keeper.get() });
        world.violations = 0;
        world.check = [&world, &keeper] {
          const bool mayRun = keeper->MayRun(Slice(kFirst, 1), world.now);
          world.violations += mayRun && !world.InForce(kFirst) ? 1 : 0;
        };
        world.upstreams[kFirst].reachable = false;
        world.Run(std::chrono::seconds(5), { keeper.get() });
        return world.violations;
      });
  }

  // An upstream obeys anyone. Orders of a lost steward still run there for up
  // to their deadline; the successor must not send its own beside them.
  void testWaitOutUnfenced()
  {
    AssertRuleMatters(
      GrantRule::kWaitOutUnfenced, [](const GrantRulesOff& aOff) {
        World world(aOff);
        world.upstreams[kFirst].checksFence = false;
        const auto old = Granted(world);
        const TimePoint lastOrderEnds = world.now + GrantTiming().orderDeadline;
        const auto successor = Successor(world);
        world.check = [&] {
          const bool early = world.now < lastOrderEnds;
          world.violations +=
            early && successor->MayRun(kFirst, world.now) ? 1 : 0;
        };
        world.Run(std::chrono::seconds(3), { successor.get() });
        CPPUNIT_ASSERT(successor->MayRun(kFirst, world.now));
        return world.violations;
      });
  }

  // An upstream comes back from a crash with neither fence nor grants, and
  // says so in an answer. Nothing may be sent before it has both again.
  void testFenceNewIncarnation()
  {
    AssertRuleMatters(
      GrantRule::kFenceNewIncarnation, [](const GrantRulesOff& aOff) {
        World world(aOff);
        const auto keeper = Granted(world);
        world.upstreams[kFirst].Restart();
        keeper->OnIncarnation(kFirst, 2);
        world.check = [&world, &keeper] {
          const bool mayRun = keeper->MayRun(Slice(kFirst, 1), world.now);
          const bool fenced = world.upstreams[kFirst].fence == 1;
          world.violations += mayRun && !fenced ? 1 : 0;
        };
        world.Run(std::chrono::seconds(1), { keeper.get() });
        CPPUNIT_ASSERT(keeper->MayRun(Slice(kFirst, 1), world.now));
        return world.violations;
      });
  }

  // A host has lost its lease. Upstreams that check nothing would take its
  // renewals and its work beside its successor's.
  void testLeaseFirst()
  {
    AssertRuleMatters(GrantRule::kLeaseFirst, [](const GrantRulesOff& aOff) {
      World world(aOff);
      const auto keeper = Granted(world);
      world.leaseless.insert(kOld);
      const int calls = world.calls;
      CPPUNIT_ASSERT_EQUAL(!aOff.empty(), keeper->MayRun(kFirst, world.now));
      world.Run(std::chrono::seconds(3), { keeper.get() });
      return world.calls - calls;
    });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(GrantKeeperTest);

} // namespace kumquat::coordination
