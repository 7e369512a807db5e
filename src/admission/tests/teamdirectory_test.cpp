// Tests which requests may run with which API key.

#include "admission/teamdirectory.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace kumquat::admission {

using protocol::ErrorKind;

class TeamDirectoryTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TeamDirectoryTest);
  CPPUNIT_TEST(testKeyFindsItsTeam);
  CPPUNIT_TEST(testRequestWithoutValidKeyIsRefused);
  CPPUNIT_TEST(testPublicRouteNeedsNoKey);
  CPPUNIT_TEST(testNoTeamsNeedNoKey);
  CPPUNIT_TEST(testTeamsMustBeDistinct);
  CPPUNIT_TEST(testThousandsOfTeams);
  CPPUNIT_TEST_SUITE_END();

public:
  void testKeyFindsItsTeam()
  {
    const TeamDirectory teams(TwoTeams());
    for (const char* key : { "k1", "k2" }) {
      const auto decision = CheckAccess(teams, false, With({ key }));
      CPPUNIT_ASSERT(decision.error == ErrorKind::kNone);
      CPPUNIT_ASSERT_EQUAL(std::string("camp"), decision.team->name.value);
    }
    CPPUNIT_ASSERT_EQUAL(
      std::string("crew"),
      CheckAccess(teams, false, With({ "k3" })).team->name.value);
  }

  // Guards against requests of unknown callers that run.
  void testRequestWithoutValidKeyIsRefused()
  {
    const TeamDirectory teams(TwoTeams());
    const auto errorWith = [&](const std::vector<std::string>& aKeys) {
      return CheckAccess(teams, false, With(aKeys)).error;
    };
    CPPUNIT_ASSERT(errorWith({}) == ErrorKind::kApiKeyMissing);
    CPPUNIT_ASSERT(errorWith({ "" }) == ErrorKind::kApiKeyUnknown);
    CPPUNIT_ASSERT(errorWith({ "K1" }) == ErrorKind::kApiKeyUnknown);
    CPPUNIT_ASSERT(errorWith({ "k1", "k3" }) == ErrorKind::kApiKeyRepeated);
    CPPUNIT_ASSERT(errorWith({ "k1", "k1" }) == ErrorKind::kApiKeyRepeated);
  }

  void testPublicRouteNeedsNoKey()
  {
    const TeamDirectory teams(TwoTeams());
    for (const std::vector<std::string>& keys :
         std::vector<std::vector<std::string>>{ {}, { "x" }, { "k1", "k3" } }) {
      const auto decision = CheckAccess(teams, true, With(keys));
      CPPUNIT_ASSERT(decision.error == ErrorKind::kNone);
      CPPUNIT_ASSERT(decision.team == nullptr);
    }
    CPPUNIT_ASSERT(CheckAccess(teams, true, With({ "k3" })).team != nullptr);
  }

  void testNoTeamsNeedNoKey()
  {
    const auto decision = CheckAccess({}, false, With({ "x" }));
    CPPUNIT_ASSERT(decision.error == ErrorKind::kNone);
    CPPUNIT_ASSERT(decision.team == nullptr);
  }

  void testTeamsMustBeDistinct()
  {
    std::vector<Team> teams = TwoTeams();
    CPPUNIT_ASSERT(AreDistinct(teams));
    teams[1].keys.push_back(FingerprintOf("k1"));
    CPPUNIT_ASSERT(!AreDistinct(teams));
    teams[1].keys.pop_back();
    teams[1].name = teams[0].name;
    CPPUNIT_ASSERT(!AreDistinct(teams));
  }

  // A configuration of the largest expected size: 6,400 teams of 4 keys.
  void testThousandsOfTeams()
  {
    constexpr int kTeams = 6400;
    constexpr int kKeys = 4;
    const auto keyOf = [](int aTeam, int aKey) {
      return "key-" + std::to_string(aTeam) + "-" + std::to_string(aKey);
    };
    std::vector<Team> teams;
    for (int i = 0; i < kTeams; ++i) {
      Team team;
      team.name.value = "team-" + std::to_string(i);
      for (int key = 0; key < kKeys; ++key) {
        team.keys.push_back(FingerprintOf(keyOf(i, key)));
      }
      teams.push_back(team);
    }
    CPPUNIT_ASSERT(AreDistinct(teams));
    const TeamDirectory directory(teams);
    for (int i = 0; i < kTeams; ++i) {
      const Team* team =
        directory.FindByKey(FingerprintOf(keyOf(i, i % kKeys)));
      CPPUNIT_ASSERT(team != nullptr);
      CPPUNIT_ASSERT_EQUAL("team-" + std::to_string(i), team->name.value);
    }
  }

private:
  static std::vector<Team> TwoTeams()
  {
    Team camp;
    camp.name.value = "camp";
    camp.keys = { FingerprintOf("k1"), FingerprintOf("k2") };
    Team crew;
    crew.name.value = "crew";
    crew.keys = { FingerprintOf("k3") };
    return { camp, crew };
  }

  static Credentials With(const std::vector<std::string>& aKeys)
  {
    return { aKeys.size(),
             aKeys.empty() ? KeyFingerprint{} : FingerprintOf(aKeys.front()) };
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TeamDirectoryTest);

} // namespace kumquat::admission
