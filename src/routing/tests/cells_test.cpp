// Tests how hosts and upstreams are divided into cells, and how a cell uses the
// upstreams of others.

#include "routing/cells.h"
#include "routing/spilloverwindow.h"
#include "routing/upstreamratelimiter.h"
#include "routing/upstreams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace kumquat::routing {

using std::chrono::milliseconds;

class CellsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(CellsTest);
  CPPUNIT_TEST(testFewHostsAreOneCell);
  CPPUNIT_TEST(testCellsHaveAboutTenHostsAndCoverAll);
  CPPUNIT_TEST(testEveryCellHasItsShareOfUpstreams);
  CPPUNIT_TEST(testCellsDivideTheRateOfAColdUpstream);
  CPPUNIT_TEST(testUpstreamsOfOtherDataCentresAreSharedEvenly);
  CPPUNIT_TEST(testNewHostChangesFewCells);
  CPPUNIT_TEST(testHubsAreLargestHostsOfDifferentDataCentres);
  CPPUNIT_TEST(testBurstSpillsOverAndOverloadStaysInOwnCell);
  CPPUNIT_TEST_SUITE_END();

public:
  // Up to twenty hosts exchange full digests with all others and need no hubs.
  void testFewHostsAreOneCell()
  {
    const auto hosts = Hosts(12);
    const Cells cells = CellsOf(hosts[3], hosts);
    CPPUNIT_ASSERT(!cells.IsDivided());
    CPPUNIT_ASSERT_EQUAL(hosts.size(), cells.Members().size());
    CPPUNIT_ASSERT_EQUAL(0.0, cells.OwnRange().begin);
    CPPUNIT_ASSERT_EQUAL(1.0, cells.OwnRange().end);
    CPPUNIT_ASSERT(cells.Hubs(NoneIsUnreachable).empty());
  }

  // The members of a cell agree on who they are and are in one data centre, and
  // the ranges of all cells leave no gap.
  void testCellsHaveAboutTenHostsAndCoverAll()
  {
    const auto hosts = Hosts(82);
    std::map<double, double> spans;
    for (const CellHost& host : hosts) {
      const Cells cells = CellsOf(host, hosts);
      CPPUNIT_ASSERT(cells.IsDivided());
      CPPUNIT_ASSERT(cells.Members().size() >= 6 &&
                     cells.Members().size() <= 14);
      for (const CellHost& other : hosts) {
        if (cells.Members().contains(other.id)) {
          CPPUNIT_ASSERT(other.dataCentre == host.dataCentre);
          CPPUNIT_ASSERT(CellsOf(other, hosts).Members() == cells.Members());
        }
      }
      spans[cells.OwnRange().begin] = cells.OwnRange().end;
    }
    double end = 0;
    for (const auto& [begin, last] : spans) {
      CPPUNIT_ASSERT_DOUBLES_EQUAL(end, begin, 1e-9);
      end = last;
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, end, 1e-9);
  }

  // 15 upstreams for nine cells: each cell has two or three, and an upstream
  // belongs to two cells at most.
  void testEveryCellHasItsShareOfUpstreams()
  {
    const auto hosts = Hosts(82);
    std::map<state::UpstreamId, std::set<double>> cellsOf;
    for (const CellHost& host : hosts) {
      const FractionRange span = CellsOf(host, hosts).OwnRange();
      Upstreams upstreams = UpstreamsOf(15);
      upstreams.SetCellRange(span);
      const ServiceUpstreams& service = upstreams.ForService({ "pecyn" });
      CPPUNIT_ASSERT(!service.inCell.empty() && service.inCell.size() <= 4);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 15 },
                           service.inCell.size() + service.inOtherCells.size());
      for (const UpstreamState* one : service.inCell) {
        cellsOf[one->entry.id].insert(span.begin);
      }
    }
    for (const auto& [id, cells] : cellsOf) {
      CPPUNIT_ASSERT(cells.size() <= 2);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 15 }, cellsOf.size());
  }

  // Guards against a cold upstream that gets its full rate from each of the
  // cells that it belongs to: six upstreams for nine cells, each belongs to
  // three.
  void testCellsDivideTheRateOfAColdUpstream()
  {
    constexpr double kPerSecond = 4.2;
    constexpr std::size_t kUpstreams = 6;
    // Rules of the platform: 1.5 times the rate and 8 in any second.
    constexpr std::size_t kMostInOneSecond = 14;
    const auto hosts = Hosts(82);
    std::vector<Cells> cells;
    std::vector<UpstreamRateLimiter> limiters;
    for (const CellHost& host : hosts) {
      cells.push_back(CellsOf(host, hosts));
      limiters.emplace_back(host.id);
      const auto& members = cells.back().Members();
      limiters.back().SetHosts({ members.begin(), members.end() });
    }
    for (std::size_t place = 0; place < kUpstreams; ++place) {
      const state::UpstreamId id{ "u" + std::to_string(place) };
      const TimePoint start(std::chrono::hours(1));
      std::vector<TimePoint> sent;
      for (int ms = 0; ms < 3000; ms += 10) {
        const TimePoint now = start + milliseconds(ms);
        for (std::size_t i = 0; i < hosts.size(); ++i) {
          const double part =
            PartInRange(cells[i].OwnRange(), place, kUpstreams);
          if (part > 0 &&
              limiters[i].MaySend(id, ColdRate(kPerSecond * part), now)) {
            limiters[i].OnSent(id, now);
            sent.push_back(now);
          }
        }
      }
      for (const TimePoint first : sent) {
        const auto inSecond =
          std::ranges::count_if(sent, [first](TimePoint aTime) {
            return aTime >= first && aTime < first + std::chrono::seconds(1);
          });
        CPPUNIT_ASSERT(static_cast<std::size_t>(inSecond) <= kMostInOneSecond);
      }
      CPPUNIT_ASSERT(sent.size() >= 2 * kPerSecond);
    }
  }

  // A data centre's upstreams are taken out of service. The cells of its hosts
  // get a share of the other upstreams, like that of any other cell.
  void testUpstreamsOfOtherDataCentresAreSharedEvenly()
  {
    const auto hosts = Hosts(82);
    std::size_t least = 100;
    std::size_t most = 0;
    for (const CellHost& host : hosts) {
      Upstreams upstreams = UpstreamsOf(90);
      upstreams.SetCellRange(CellsOf(host, hosts).OwnRange());
      upstreams.SetOutOfService({ { "b" } }, TimePoint());
      const std::size_t count = upstreams.ForService({ "pecyn" }).inCell.size();
      least = std::min(least, count);
      most = std::max(most, count);
    }
    CPPUNIT_ASSERT(least >= 4);
    CPPUNIT_ASSERT(most <= 2 * least);
  }

  // A host is added while the others serve. Nearly all hosts keep their cell
  // members except for the new one; otherwise what they know of each other
  // would be lost.
  void testNewHostChangesFewCells()
  {
    const auto before = Hosts(82);
    const auto after = Hosts(83);
    int moved = 0;
    for (const CellHost& host : before) {
      const std::set<state::HostId> old = CellsOf(host, before).Members();
      const std::set<state::HostId> now = CellsOf(host, after).Members();
      const auto kept = std::ranges::count_if(
        old, [&now](const state::HostId& aId) { return now.contains(aId); });
      moved += kept + 2 < static_cast<std::ptrdiff_t>(old.size()) ? 1 : 0;
    }
    CPPUNIT_ASSERT(moved <= 8);
  }

  // Hubs do more work than other hosts, and must not be lost together with one
  // data centre.
  void testHubsAreLargestHostsOfDifferentDataCentres()
  {
    auto hosts = Hosts(82);
    for (const std::size_t large : { 3U, 7U, 14U, 22U }) {
      hosts[large].processors = 5;
    }
    const Cells cells = CellsOf(hosts[0], hosts);
    const auto hubs = cells.Hubs(NoneIsUnreachable);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, hubs.size());
    std::set<state::DataCentre> centres;
    for (const CellHost& host : hosts) {
      if (hubs.contains(host.id)) {
        centres.insert(host.dataCentre);
        CPPUNIT_ASSERT_EQUAL(5.0, host.processors);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, centres.size());
    // Another host takes the place of an unreachable hub.
    const state::HostId first = *hubs.begin();
    const auto next =
      cells.Hubs([&first](const auto& aHost) { return aHost == first; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, next.size());
    CPPUNIT_ASSERT(!next.contains(first));
  }

  // Callers of one data centre send many requests while the upstreams of the
  // others are idle: within ten responses the cell may have ten requests there.
  // Then all data centres are overloaded, and within a few responses each cell
  // is back at its own upstreams.
  void testBurstSpillsOverAndOverloadStaysInOwnCell()
  {
    SpilloverWindow window;
    TimePoint now{ std::chrono::hours(1) };
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(window.IsOpen(now));
      window.OnSent();
      window.OnEnded(false, now);
    }
    CPPUNIT_ASSERT(window.Limit() >= 10);
    for (int i = 0; i < 4; ++i) {
      window.OnSent();
      window.OnEnded(true, now);
      CPPUNIT_ASSERT(!window.IsOpen(now));
      now += milliseconds(200);
    }
    CPPUNIT_ASSERT_EQUAL(1.0, window.Limit());
    window.OnSent();
    CPPUNIT_ASSERT(!window.IsOpen(now));
  }

private:
  static bool NoneIsUnreachable(const state::HostId& /*aHost*/)
  {
    return false;
  }

  static std::vector<CellHost> Hosts(int aCount)
  {
    std::vector<CellHost> hosts;
    hosts.reserve(static_cast<std::size_t>(aCount));
    for (int i = 0; i < aCount; ++i) {
      hosts.push_back({ { "host-" + std::to_string(i) },
                        { std::string(1, static_cast<char>('a' + i % 3)) },
                        1 });
    }
    return hosts;
  }

  static Cells CellsOf(const CellHost& aSelf,
                       const std::vector<CellHost>& aHosts)
  {
    Cells cells(aSelf.id);
    cells.SetHosts(aHosts);
    return cells;
  }

  static Upstreams UpstreamsOf(int aCount)
  {
    Upstreams upstreams;
    for (int i = 0; i < aCount; ++i) {
      UpstreamEntry entry;
      entry.id = { "u" + std::to_string(i) };
      entry.service = { "pecyn" };
      entry.dataCentre = { std::string(1, static_cast<char>('a' + i % 3)) };
      entry.slots = 3;
      upstreams.PutEntry(entry, TimePoint{});
    }
    return upstreams;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CellsTest);

} // namespace kumquat::routing
