// Tests the paces of owners: from reports alone, and by the load that the plans
// made with them leave with the busiest owner.

#include "ownership/balance.h"
#include "ownership/ownerpaces.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace kumquat::ownership {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds kStep{ 100 };

// Owners of known paces, some lost, whose keys are balanced as the assigner
// does: a plan each 400 ms from the requests of the last 2.5 s, and no key
// again within 1.2 s.
class LoadSimulation
{
public:
  struct Result
  {
    // Requests over true capacity, of the busiest owner, as a multiple of the
    // mean.
    double busiest = 0;
    // The same in the two seconds after hot keys begin.
    double busiestAtFirst = 0;
    int moves = 0;
    int secondMoves = 0;
  };

  LoadSimulation(unsigned aSeed, bool aUsesPaces)
    : random(aSeed)
    , usesPaces(aUsesPaces)
  {
    std::vector<Holder> holders;
    for (int i = 0; i < kOwners; ++i) {
      const std::string name = "u" + std::to_string(i);
      holders.push_back({ { name }, 1 });
      this->paces[name] = 0.5 + 0.5 * (i % 3);
    }
    this->assignment = AssignEvenly(holders);
  }

  // The part of the requests that is for 200 adjacent keys.
  double hotShare = 0;

  void Run(milliseconds aTime)
  {
    for (milliseconds run{ 0 }; run < aTime; run += kStep) {
      this->now += kStep;
      this->Serve();
      if (this->now - this->plannedAt >= milliseconds(400)) {
        this->plannedAt = this->now;
        this->Plan();
      }
    }
  }

  // Its keys go to the other owners in turn.
  void Lose(const std::string& aName)
  {
    this->paces.erase(aName);
    const Assignment before = this->assignment;
    auto next = this->paces.begin();
    for (const AssignedRange& range : before.ranges) {
      if (range.holder.upstream.value == aName) {
        this->Move({ range.first, range.last, { { next->first }, 1 } });
        next = std::next(next) == this->paces.end() ? this->paces.begin()
                                                    : std::next(next);
      }
    }
  }

  Result Measure(milliseconds aTime)
  {
    this->served.clear();
    this->Run(aTime);
    double all = 0;
    double capacity = 0;
    double busiest = 0;
    for (const auto& [name, pace] : this->paces) {
      all += this->served[name];
      capacity += pace;
      busiest = std::max(busiest, this->served[name] / pace);
    }
    return { busiest * capacity / all, 0, this->moves, this->secondMoves };
  }

private:
  static constexpr int kOwners = 42;
  static constexpr int kRequestsPerStep = 80;

  struct Moved
  {
    TimePoint at;
    Key first;
    Key last;
  };

  Key DrawKey()
  {
    constexpr Key kHot = 20'000;
    const bool isHot = std::uniform_real_distribution<double>(0, 1)(
                         this->random) < this->hotShare;
    return static_cast<Key>(isHot ? kHot + this->random() % 200
                                  : this->random() % (kLastKey + 1U));
  }

  const std::string& OwnerOf(Key aKey) const
  {
    const auto found = std::ranges::find_if(
      this->assignment.ranges,
      [aKey](const AssignedRange& aRange) { return aKey <= aRange.last; });
    return found->holder.upstream.value;
  }

  // Each response comes from another host, and one report in ten is lost.
  void Serve()
  {
    std::lognormal_distribution<double> noise(-0.08, 0.4);
    for (int i = 0; i < kRequestsPerStep; ++i) {
      const Key key = this->DrawKey();
      this->requests.emplace_back(this->now, key);
      const std::string& owner = this->OwnerOf(key);
      this->served[owner] += 1;
      if (this->random() % 10 != 0 && this->paces.contains(owner)) {
        this->reported.Add(
          { { owner }, 1, 30 / this->paces.at(owner) * noise(this->random) },
          { 1, {} }, this->now);
      }
    }
    while (this->now - this->requests.front().first > milliseconds(2500)) {
      this->requests.pop_front();
    }
  }

  void Plan()
  {
    BalanceInput input;
    std::ranges::copy_if(
      this->assignment.ranges, std::back_inserter(input.ranges),
      [this](const AssignedRange& aRange) {
        return std::ranges::none_of(this->history, [&](const Moved& aMove) {
          return this->now - aMove.at < milliseconds(1200) &&
                 aMove.first <= aRange.last && aRange.first <= aMove.last;
        });
      });
    for (const auto& [name, pace] : this->paces) {
      const double factor =
        this->usesPaces ? this->reported.Find({ name }, 1, this->now).factor
                        : 1;
      input.holders.push_back({ { { name }, 1 }, factor, true });
    }
    input.requests = this->RequestsOf(milliseconds(600));
    input.overloadFactor = 3;
    std::vector<BalanceMove> plan = PlanMoves(input);
    if (plan.empty()) {
      input.requests = this->RequestsOf(milliseconds(2500));
      input.overloadFactor = kDefaultOverloadFactor;
      input.weighsCosts = this->usesPaces;
      plan = PlanMoves(input);
    }
    for (const BalanceMove& move : plan) {
      this->Move(move);
    }
  }

  std::vector<Key> RequestsOf(milliseconds aWindow) const
  {
    std::vector<Key> keys;
    for (const auto& [at, key] : this->requests) {
      if (this->now - at <= aWindow) {
        keys.push_back(key);
      }
    }
    std::ranges::sort(keys);
    return keys;
  }

  void Move(const BalanceMove& aMove)
  {
    std::erase_if(this->history, [this](const Moved& aOld) {
      return this->now - aOld.at > milliseconds(10'000);
    });
    ++this->moves;
    const bool isSecond =
      std::ranges::any_of(this->history, [&](const Moved& aOld) {
        return aOld.at < this->now && aOld.first <= aMove.last &&
               aMove.first <= aOld.last;
      });
    this->secondMoves += isSecond ? 1 : 0;
    this->history.push_back({ this->now, aMove.first, aMove.last });
    Reassign(this->assignment, aMove.first, aMove.last, aMove.to);
  }

  std::mt19937 random;
  const bool usesPaces;
  TimePoint now{ std::chrono::hours(1) };
  TimePoint plannedAt;
  std::map<std::string, double> paces;
  OwnerPaces reported;
  Assignment assignment;
  std::deque<std::pair<TimePoint, Key>> requests;
  std::map<std::string, double> served;
  std::deque<Moved> history;
  int moves = 0;
  int secondMoves = 0;
};

} // namespace

class OwnerPacesTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OwnerPacesTest);
  CPPUNIT_TEST(testUnmeasuredOwnerIsTypical);
  CPPUNIT_TEST(testFewAnswersCountLittle);
  CPPUNIT_TEST(testSlowMomentChangesLittle);
  CPPUNIT_TEST(testOwnerThatIsSlowForGoodIsKnownWithinSeconds);
  CPPUNIT_TEST(testLostReportsKeepThePace);
  CPPUNIT_TEST(testWildReportsAreBounded);
  CPPUNIT_TEST(testWildFirstReportIsForgotten);
  CPPUNIT_TEST(testRestartedOwnerStartsAnew);
  CPPUNIT_TEST(testColdTimeIsLeftOut);
  CPPUNIT_TEST(testBusiestOwnerIsLessBusyWithPaces);
  CPPUNIT_TEST(testHotKeysAndLostOwnerWithPaces);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->paces = {};
    this->now = TimePoint(std::chrono::hours(1));
    this->slowMs = kUsualMs;
  }

  void testUnmeasuredOwnerIsTypical()
  {
    this->Report(milliseconds(3000));
    const OwnerPace pace = this->paces.Find({ "new" }, 1, this->now);
    CPPUNIT_ASSERT_EQUAL(1.0, pace.factor);
    CPPUNIT_ASSERT_EQUAL(0.0, pace.confidence);
  }

  void testFewAnswersCountLittle()
  {
    this->Report(milliseconds(3000));
    this->paces.Add({ { "new" }, 1, 3 * kUsualMs }, { 1, {} }, this->now);
    const OwnerPace pace = this->paces.Find({ "new" }, 1, this->now);
    CPPUNIT_ASSERT(pace.factor > 0.6 && pace.factor < 1);
    CPPUNIT_ASSERT(pace.confidence < 0.3);
  }

  // Guards against keys that move for each slow period of a shared machine.
  void testSlowMomentChangesLittle()
  {
    this->Report(milliseconds(5000));
    this->slowMs = 2 * kUsualMs;
    this->Report(milliseconds(400));
    CPPUNIT_ASSERT(this->FactorOfSlow() > 0.85);
  }

  void testOwnerThatIsSlowForGoodIsKnownWithinSeconds()
  {
    this->Report(milliseconds(10'000));
    this->slowMs = 2 * kUsualMs;
    this->Report(milliseconds(3000));
    CPPUNIT_ASSERT(this->FactorOfSlow() < 0.67);
  }

  void testLostReportsKeepThePace()
  {
    this->slowMs = 2 * kUsualMs;
    this->Report(milliseconds(5000));
    const double before = this->FactorOfSlow();
    this->now += milliseconds(600);
    CPPUNIT_ASSERT(std::abs(this->FactorOfSlow() - before) < 0.05);
    this->now += milliseconds(20'000);
    CPPUNIT_ASSERT(this->FactorOfSlow() > 0.95);
  }

  // Guards against one host with a wrong clock or wrong counts.
  void testWildReportsAreBounded()
  {
    this->Report(milliseconds(5000));
    constexpr double kNan = std::numeric_limits<double>::quiet_NaN();
    constexpr double kInfinity = std::numeric_limits<double>::infinity();
    for (const double ms : { kNan, kInfinity, -kInfinity, -1.0, 0.0, 1e9 }) {
      CPPUNIT_ASSERT(
        !this->paces.Add({ { "slow" }, 3, ms }, { 1, {} }, this->now));
    }
    CPPUNIT_ASSERT(
      !this->paces.Add({ { "slow" }, -3, kUsualMs }, { 1, {} }, this->now));
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 7 }, this->paces.IgnoredCount());
    const double before = this->FactorOfSlow();
    this->paces.Add({ { "slow" }, std::numeric_limits<int>::max(), 59'000 },
                    { 1, {} }, this->now);
    CPPUNIT_ASSERT(this->FactorOfSlow() < before);
    CPPUNIT_ASSERT(this->FactorOfSlow() > 0.5);
  }

  // Guards against a wild time that is taken as there is no typical one yet,
  // and outweighs all later ones.
  void testWildFirstReportIsForgotten()
  {
    this->paces.Add({ { "slow" }, 10, 59'000 }, { 1, {} }, this->now);
    this->Report(milliseconds(6000));
    CPPUNIT_ASSERT(this->FactorOfSlow() > 0.8);
  }

  void testRestartedOwnerStartsAnew()
  {
    this->slowMs = 2 * kUsualMs;
    this->Report(milliseconds(5000));
    CPPUNIT_ASSERT_EQUAL(1.0,
                         this->paces.Find({ "slow" }, 2, this->now).factor);
    this->paces.Add({ { "slow" }, 1, kUsualMs }, { 2, {} }, this->now);
    CPPUNIT_ASSERT(this->paces.Find({ "slow" }, 2, this->now).factor > 0.95);
  }

  void testColdTimeIsLeftOut()
  {
    this->Report(milliseconds(3000));
    const TimePoint coldUntil = this->now + milliseconds(2000);
    this->paces.Add({ { "new" }, 9, 4 * kUsualMs }, { 1, coldUntil },
                    this->now);
    CPPUNIT_ASSERT_EQUAL(0.0,
                         this->paces.Find({ "new" }, 1, this->now).confidence);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 0 }, this->paces.IgnoredCount());
  }

  // Owners of paces 0.5, 1 and 1.5. Without paces the slow ones get the same
  // requests as the others.
  void testBusiestOwnerIsLessBusyWithPaces()
  {
    for (const unsigned seed : { 1U, 2U, 3U }) {
      CheckLoads(Play(seed, false, 0, false), Play(seed, true, 0, false));
    }
  }

  // Guards against a hot run that is spread more slowly as owners differ, and
  // against keys that move on and on after the loss of an owner.
  void testHotKeysAndLostOwnerWithPaces()
  {
    constexpr double kHotShare = 0.35;
    for (const unsigned seed : { 1U, 2U, 3U }) {
      for (const bool isLost : { false, true }) {
        CheckLoads(Play(seed, false, kHotShare, isLost),
                   Play(seed, true, kHotShare, isLost));
      }
    }
  }

private:
  static constexpr double kUsualMs = 30;

  static void CheckLoads(const LoadSimulation::Result& aBefore,
                         const LoadSimulation::Result& aAfter)
  {
    CPPUNIT_ASSERT(aBefore.busiest > 2);
    CPPUNIT_ASSERT(aAfter.busiest < 1.6);
    CPPUNIT_ASSERT(aAfter.moves < aBefore.moves);
    CPPUNIT_ASSERT(aAfter.secondMoves < aBefore.secondMoves);
    CPPUNIT_ASSERT(aAfter.busiestAtFirst < aBefore.busiestAtFirst);
  }

  // Ten seconds of even load, then twenty with the hot keys; an owner is lost
  // two seconds after those begin. The last ten seconds are measured.
  static LoadSimulation::Result Play(unsigned aSeed, bool aUsesPaces,
                                     double aHotShare, bool aIsOwnerLost)
  {
    LoadSimulation simulation(aSeed, aUsesPaces);
    simulation.Run(milliseconds(10'000));
    simulation.hotShare = aHotShare;
    const double first = simulation.Measure(milliseconds(2000)).busiest;
    if (aIsOwnerLost) {
      simulation.Lose("u13");
    }
    simulation.Run(milliseconds(8000));
    LoadSimulation::Result result = simulation.Measure(milliseconds(10'000));
    result.busiestAtFirst = first;
    return result;
  }

  // Ten responses a second of each of five owners, one of which takes slowMs.
  void Report(milliseconds aTime)
  {
    for (milliseconds run{ 0 }; run < aTime; run += kStep) {
      this->now += kStep;
      for (const char* name : { "a", "b", "c", "d", "slow" }) {
        const double ms = std::string(name) == "slow" ? this->slowMs : kUsualMs;
        this->paces.Add({ { name }, 1, ms }, { 1, {} }, this->now);
      }
    }
  }

  double FactorOfSlow() const
  {
    return this->paces.Find({ "slow" }, 1, this->now).factor;
  }

  OwnerPaces paces;
  TimePoint now;
  double slowMs = kUsualMs;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnerPacesTest);

} // namespace kumquat::ownership
