// Tests of services whose keys are divided into parts, through starts, losses
// and changes of the layout.

#include "node/internal/keypredecessors.h"
#include "node/tests/keypartsimulation.h"

#include <cppunit/extensions/HelperMacros.h>

namespace kumquat::node {

using ownership::KeyLayout;
using ownership::KeyPart;
using std::chrono::milliseconds;

class KeyPartsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(KeyPartsTest);
  CPPUNIT_TEST(testPartsCoverAllKeysOnce);
  CPPUNIT_TEST(testNamesOfParts);
  CPPUNIT_TEST(testLayoutFollowsTheUpstreamsWithHysteresis);
  CPPUNIT_TEST(testPartThatWasTakenOverChangesNoMore);
  CPPUNIT_TEST(testPartialDigestKeepsTheOtherMaps);
  CPPUNIT_TEST(testSmallServicesAreNotDivided);
  CPPUNIT_TEST(testServicesWithManyUpstreamsAreServed);
  CPPUNIT_TEST(testAssignersOfPartsAreOnSeveralHosts);
  CPPUNIT_TEST(testLostAssignerCostsNoLease);
  CPPUNIT_TEST(testAllHostsLost);
  CPPUNIT_TEST(testGrowthDividesTheKeysWithoutInterruption);
  CPPUNIT_TEST(testMapsOfRetiredPartsAreSentNoMore);
  CPPUNIT_TEST(testLayoutChangesBesideAnAssignerThatIsCutOff);
  CPPUNIT_TEST(testChangesOfLayoutBesideFaultsNeverCauseTwoHolders);
  CPPUNIT_TEST_SUITE_END();

public:
  void testPartsCoverAllKeysOnce()
  {
    for (const int count : { 1, 2, 3, 11, 19, 182 }) {
      const KeyLayout layout{ 1, count, 1 };
      int next = 0;
      for (const KeyPart& part : PartsOf(layout)) {
        CPPUNIT_ASSERT_EQUAL(next, static_cast<int>(part.First()));
        CPPUNIT_ASSERT(FindPart(layout, part.First()) == part);
        CPPUNIT_ASSERT(FindPart(layout, part.Last()) == part);
        next = part.Last() + 1;
      }
      CPPUNIT_ASSERT_EQUAL(ownership::kLastKey + 1, next);
    }
  }

  void testNamesOfParts()
  {
    const KeyPart part{ { 3, 11, 4 }, 7 };
    const auto named =
      ownership::ParsePartName(ownership::PartName({ "a#b" }, part));
    CPPUNIT_ASSERT(named.part == part);
    CPPUNIT_ASSERT_EQUAL(std::string("a#b"), named.service.value);
    CPPUNIT_ASSERT_EQUAL(std::string("stoc"),
                         ownership::PartName({ "stoc" }, {}));
    for (const char* text : { "stoc", "a#", "a#1.1.2", "a#1.1.2.2", "a#0.1.2.1",
                              "a#1.1.x.1", "a#1.1.2.1.0" }) {
      const auto other = ownership::ParsePartName(text);
      CPPUNIT_ASSERT_MESSAGE(text, !other.part.layout.IsDivided());
      CPPUNIT_ASSERT_EQUAL(std::string(text), other.service.value);
    }
  }

  void testLayoutFollowsTheUpstreamsWithHysteresis()
  {
    KeyLayout layout;
    CPPUNIT_ASSERT(ownership::SuitableLayout(layout, 500) == layout);
    layout = ownership::SuitableLayout(layout, 3777);
    CPPUNIT_ASSERT(layout == (KeyLayout{ 1, 11, 1 }));
    for (const std::size_t count : { 1'200U, 3'777U, 5'400U }) {
      CPPUNIT_ASSERT(ownership::SuitableLayout(layout, count) == layout);
    }
    CPPUNIT_ASSERT(ownership::SuitableLayout(layout, 300) ==
                   (KeyLayout{ 2, 1, 11 }));
    const auto again = ownership::ParseLayout(SerializeLayout(layout));
    CPPUNIT_ASSERT(again == layout);
  }

  // Guards against an old assigner whose change is stored after a new part has
  // read the assignment: the new part would not know of the owner.
  void testPartThatWasTakenOverChangesNoMore()
  {
    std::map<std::string, state::StoredRow> rows;
    state::Version version = 0;
    KeyRowStore store;
    store.read = [&rows](const std::string&, const std::string& aPartition,
                         const state::RowStore::ReadDone& aDone) {
      state::RowsRead read;
      for (const auto& [key, row] : rows) {
        if (row.part == aPartition) {
          read.rows.push_back(row);
        }
      }
      aDone(read);
    };
    store.write = [&](const state::RowsWrite& aWrite,
                      const state::RowStore::WriteDone& aDone) {
      const bool holds =
        std::ranges::all_of(aWrite.conditions, [&](const auto& aCondition) {
          const auto row = rows.find(aWrite.part + aCondition.key);
          return aCondition.version ==
                 (row == rows.end() ? 0 : row->second.version);
        });
      ++version;
      for (state::StoredRow row : aWrite.puts) {
        row.part = aWrite.part;
        row.version = version;
        if (holds) {
          rows[aWrite.part + row.key] = row;
        }
      }
      aDone(holds ? state::WriteOutcome::kWritten
                  : state::WriteOutcome::kConflict,
            version);
    };
    const auto write = [&](const ownership::AssignmentWrite& aWrite) {
      state::WriteOutcome outcome{};
      WriteAssignmentRows(store, "stoc", aWrite,
                          [&outcome](state::WriteOutcome aOutcome,
                                     state::Version) { outcome = aOutcome; });
      return outcome;
    };
    ownership::AssignmentWrite first;
    first.claim = state::HostRef{ { "h0" }, 1 };
    first.assignmentText = SerializeAssignment(
      ownership::AssignEvenly({ { { "a" }, 1 }, { { "b" }, 1 } }));
    CPPUNIT_ASSERT(write(first) == state::WriteOutcome::kWritten);
    ownership::AssignmentRows taken;
    TakeOverKeys(store, { "stoc" }, { { 1, 2, 1 }, 1 },
                 [&taken](const auto& aRows) { taken = *aRows; });
    CPPUNIT_ASSERT_EQUAL(std::string("h0"), taken.assigner.host.value);
    const auto cut =
      ownership::ParseAssignment(taken.assignmentText, { { 1, 2, 1 }, 1 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cut->ranges.size());
    ownership::AssignmentWrite change = first;
    change.claim = {};
    change.expected.claimVersion = 1;
    change.expected.assignmentVersion = 1;
    CPPUNIT_ASSERT(write(change) == state::WriteOutcome::kConflict);
  }

  void testPartialDigestKeepsTheOtherMaps()
  {
    Peers peers(
      { { "h0" }, 1 }, [] { return TimePoint(std::chrono::hours(1)); },
      [](const state::HostId&) { return true; });
    const auto mark = [](const std::string& aPart, std::int64_t aVersion) {
      return ToWire(aPart, { aVersion, 0, { { "h2" }, 1 } });
    };
    protocol::HostDigest digest;
    digest.sender.__set_host("h1");
    digest.__set_keyMaps({ mark("a", 5), mark("b", 5) });
    peers.OnDigest(digest);
    digest.__set_keyMapsPartial(true);
    digest.__set_keyMaps({ mark("b", 6) });
    peers.OnDigest(digest);
    const KnownPeer& peer = peers.All().at({ "h1" });
    CPPUNIT_ASSERT(peer.HasMap("a"));
    CPPUNIT_ASSERT_EQUAL(state::Version{ 6 },
                         peer.mapVersions.at("b").assignmentVersion);
    digest.__set_keyMapsPartial(false);
    peers.OnDigest(digest);
    CPPUNIT_ASSERT(!peer.HasMap("a"));
  }

  void testSmallServicesAreNotDivided()
  {
    KeyPartSimulation simulation(3, 190);
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllServed(); }, milliseconds(8000)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, simulation.StoredParts());
  }

  // Guards against a service that is not served at all, as its assignment does
  // not fit into a row of the store: 1,500 upstreams did not.
  void testServicesWithManyUpstreamsAreServed()
  {
    for (const int count : { 1'500, 4'000 }) {
      KeyPartSimulation simulation(3, count);
      CPPUNIT_ASSERT(simulation.RunUntil(
        [&] { return simulation.AreAllServed(); }, milliseconds(10'000)));
      CPPUNIT_ASSERT_EQUAL(0, simulation.RefusedWrites());
      CPPUNIT_ASSERT(simulation.LargestRow() <
                     KeyPartSimulation::kMaxRowBytes / 2);
      CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
    }
  }

  void testAssignersOfPartsAreOnSeveralHosts()
  {
    KeyPartSimulation simulation(3, 2'000);
    simulation.RunFor(milliseconds(10'000));
    CPPUNIT_ASSERT(simulation.Assigners().size() > 1);
  }

  void testLostAssignerCostsNoLease()
  {
    KeyPartSimulation simulation(3, 1'500);
    simulation.RunFor(milliseconds(10'000));
    CPPUNIT_ASSERT(simulation.AreAllServed());
    simulation.KillHost(simulation.Assigners().front());
    for (int i = 0; i < 20; ++i) {
      simulation.RunFor(milliseconds(250));
      CPPUNIT_ASSERT(simulation.AreAllServed());
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // After a loss of all hosts the layout is found in the store.
  void testAllHostsLost()
  {
    KeyPartSimulation simulation(3, 1'500);
    simulation.RunFor(milliseconds(10'000));
    for (const std::string& name : simulation.Hosts()) {
      simulation.KillHost(name);
    }
    simulation.RunFor(milliseconds(500));
    for (const char* name : { "h0", "h1", "h2" }) {
      simulation.StartHost(name);
    }
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllServed(); }, milliseconds(1500)));
    simulation.RunFor(milliseconds(6000));
    CPPUNIT_ASSERT(simulation.AreAllServed());
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  void testGrowthDividesTheKeysWithoutInterruption()
  {
    KeyPartSimulation simulation(3, 450);
    simulation.RunFor(milliseconds(8000));
    CPPUNIT_ASSERT(simulation.AreAllServed());
    simulation.AddUpstreams(100);
    for (int i = 0; i < 40; ++i) {
      simulation.RunFor(milliseconds(250));
      // Keys that change hands have no owner for the time of a hand-over.
      CPPUNIT_ASSERT(simulation.ServedShare() > 0.8);
    }
    CPPUNIT_ASSERT(simulation.StoredParts() > 1);
    CPPUNIT_ASSERT(simulation.RunUntil(
      [&] { return simulation.AreAllServed(); }, milliseconds(5000)));
    CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
  }

  // Guards against hosts that send the maps of replaced parts to all peers
  // again and again, as these name them no more: 300 MB in ten seconds with 985
  // hosts.
  void testMapsOfRetiredPartsAreSentNoMore()
  {
    KeyPartSimulation simulation(4, 480);
    simulation.RunFor(milliseconds(8000));
    simulation.AddUpstreams(80);
    simulation.RunFor(milliseconds(12'000));
    CPPUNIT_ASSERT(simulation.StoredParts() > 1);
    const int before = simulation.SentMaps();
    simulation.RunFor(milliseconds(8000));
    CPPUNIT_ASSERT(simulation.SentMaps() - before < 10);
  }

  // Guards against an assigner that does not know of a new layout, and goes on
  // moving keys of its part; and against hosts that never learn of a layout, as
  // the one that changed it is cut off from them.
  void testLayoutChangesBesideAnAssignerThatIsCutOff()
  {
    for (std::size_t i = 0; i < 3; ++i) {
      KeyPartSimulation simulation(4, 900);
      simulation.RunFor(milliseconds(10'000));
      const auto assigners = simulation.Assigners();
      simulation.AddUpstreams(650);
      simulation.cutFromPeers = { assigners.at(i % assigners.size()) };
      for (int j = 0; j < 60; ++j) {
        simulation.Leave("u" + std::to_string(10 * j));
        simulation.RunFor(milliseconds(200));
      }
      CPPUNIT_ASSERT_EQUAL(std::string(), simulation.Violation());
      CPPUNIT_ASSERT(simulation.RunUntil(
        [&] { return simulation.AreAllServed(); }, milliseconds(3000)));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 9 }, simulation.StoredParts());
    }
  }

  // Guards against two owners of a key after an assigner that was lost, or
  // could not reach the store or its peers, while the layout changed.
  void testChangesOfLayoutBesideFaultsNeverCauseTwoHolders()
  {
    for (unsigned seed = 1; seed <= 6; ++seed) {
      KeyPartSimulation simulation(4, 480, seed);
      std::mt19937 random(seed);
      simulation.RunFor(milliseconds(8000));
      simulation.lostResponsePercent = 20;
      for (int i = 0; i < 12; ++i) {
        simulation.AddUpstreams(i == 1 ? 80 : 0);
        simulation.Leave("u" + std::to_string(random() % 480));
        FailOneHost(simulation, random);
        simulation.RunFor(milliseconds(900));
      }
      simulation.rejectedByStore.clear();
      simulation.cutFromPeers.clear();
      simulation.lostResponsePercent = 0;
      const std::string what = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(
        what, simulation.RunUntil([&] { return simulation.AreAllServed(); },
                                  milliseconds(20'000)));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, std::string(), simulation.Violation());
    }
  }

private:
  static void FailOneHost(KeyPartSimulation& aSimulation, std::mt19937& aRandom)
  {
    const auto hosts = aSimulation.Hosts();
    const std::string& name = hosts[aRandom() % hosts.size()];
    switch (aRandom() % 3) {
      case 0:
        aSimulation.KillHost(name);
        aSimulation.RunFor(milliseconds(700));
        aSimulation.StartHost(name);
        break;
      case 1:
        aSimulation.rejectedByStore = { name };
        break;
      default:
        aSimulation.cutFromPeers = { name };
        break;
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(KeyPartsTest);

} // namespace kumquat::node
