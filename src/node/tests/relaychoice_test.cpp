// Tests of the choice of a peer that relays a connection.

#include "node/internal/relaychoice.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <map>
#include <optional>
#include <random>
#include <string>

namespace kumquat::node {

class RelayChoiceTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(RelayChoiceTest);
  CPPUNIT_TEST(testNearPeersGoFirst);
  CPPUNIT_TEST(testFarPeerAfterAFailedTry);
  CPPUNIT_TEST(testLostPeerIsAvoidedForAWhile);
  CPPUNIT_TEST(testWorkIsSpreadOverThePeers);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    this->now = TimePoint(std::chrono::seconds(100));
    this->random.seed(1);
    this->choice.emplace([this] { return this->now; },
                         [this](std::size_t aBelow) {
                           return std::uniform_int_distribution<std::size_t>(
                             0, aBelow - 1)(this->random);
                         });
  }

  void testNearPeersGoFirst()
  {
    CPPUNIT_ASSERT_EQUAL(std::string("near"),
                         this->choice->Choose(kBoth, {})->host);
    CPPUNIT_ASSERT_EQUAL(std::string("far"),
                         this->choice->Choose({ {}, kBoth.far }, {})->host);
    CPPUNIT_ASSERT(!this->choice->Choose({}, {}));
  }

  // Guards against asking only peers that lack the same links.
  void testFarPeerAfterAFailedTry()
  {
    const RelayCandidates candidates{ { { "a", "1" }, { "b", "2" } },
                                      { { "far", "3" } } };
    CPPUNIT_ASSERT_EQUAL(std::string("far"),
                         this->choice->Choose(candidates, { "a" })->host);
    CPPUNIT_ASSERT_EQUAL(
      std::string("b"), this->choice->Choose(candidates, { "a", "far" })->host);
  }

  void testLostPeerIsAvoidedForAWhile()
  {
    this->choice->OnLost({ "near" });
    CPPUNIT_ASSERT_EQUAL(std::string("far"),
                         this->choice->Choose(kBoth, {})->host);
    this->now += std::chrono::seconds(5);
    CPPUNIT_ASSERT_EQUAL(std::string("near"),
                         this->choice->Choose(kBoth, {})->host);
  }

  // Guards against many hosts that all ask the same peer.
  void testWorkIsSpreadOverThePeers()
  {
    RelayCandidates candidates;
    for (const char* host : { "a", "b", "c", "d" }) {
      candidates.near.push_back({ host, "1" });
    }
    std::map<std::string, int> counts;
    constexpr int kConnections = 1000;
    for (int i = 0; i < kConnections; ++i) {
      ++counts[this->choice->Choose(candidates, {})->host];
    }
    for (const auto& [host, count] : counts) {
      CPPUNIT_ASSERT(count > kConnections / 5);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, counts.size());
  }

private:
  inline static const RelayCandidates kBoth{ { { "near", "1" } },
                                             { { "far", "2" } } };

  TimePoint now;
  std::mt19937_64 random;
  std::optional<RelayChoice> choice;
};

CPPUNIT_TEST_SUITE_REGISTRATION(RelayChoiceTest);

} // namespace kumquat::node
