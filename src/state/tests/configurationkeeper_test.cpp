// Configurations spread, and never go back: hosts with a fake clock, a fake
// table and messages delivered by hand.

#include "state/configurationkeeper.h"
#include "state/configurationwriter.h"

#include "protocol/errorkind.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>

namespace kumquat::state {

namespace {

using protocol::ErrorKind;

std::string TextOf(const std::string& aService)
{
  return R"({"services": [{"name": ")" + aService + R"("}]})";
}

// One table row, the objects, and what is wrong with them today.
struct FakeStore
{
  using FetchDone = std::function<void(Result<std::string>)>;

  bool down = false;
  bool holdFetches = false;
  ConfigurationHead head;
  std::map<std::string, std::string> objects;
  std::deque<std::function<void()>> held;

  void Fetch(const std::string& aName, const FetchDone& aDone)
  {
    if (this->down) {
      aDone(make_error_code(ErrorKind::kStoreUnavailable));
      return;
    }
    const auto answer = [aDone, content = this->objects[aName]] {
      aDone(content);
    };
    if (this->holdFetches) {
      this->held.emplace_back(answer);
      return;
    }
    answer();
  }

  WriteOutcome Write(const ConditionalWrite& aWrite)
  {
    if (this->down) {
      return WriteOutcome::kUnknown;
    }
    if (aWrite.expected != this->head.version) {
      return WriteOutcome::kConflict;
    }
    this->head = *HeadFromRow(aWrite.row);
    return WriteOutcome::kWritten;
  }
};

class Hosts
{
public:
  FakeStore store;
  ConfigurationKeeper::Rules rules;
  ConfigurationWriter::Rules writerRules;
  TimePoint now{ std::chrono::hours(1) };
  // Peers that are known to a new host; some may not be running.
  std::vector<std::string> known;
  // What came into force on each name, over replacements.
  std::map<std::string, std::vector<Version>> history;

  ConfigurationKeeper& Start(const std::string& aName)
  {
    this->keepers[aName] =
      std::make_unique<ConfigurationKeeper>(this->HooksOf(aName), this->rules);
    this->keepers[aName]->Changed().Listen(
      [this, aName](const Configuration& aConfiguration) {
        this->history[aName].push_back(aConfiguration.version);
      });
    return *this->keepers[aName];
  }

  ConfigurationKeeper& operator[](const std::string& aName)
  {
    return *this->keepers.at(aName);
  }

  void Stop(const std::string& aName) { this->keepers.erase(aName); }

  void Deliver()
  {
    while (!this->messages.empty()) {
      const auto message = std::move(this->messages.front());
      this->messages.pop_front();
      message();
    }
  }

  void Pass(std::chrono::milliseconds aTime)
  {
    this->now += aTime;
    for (const auto& [name, keeper] : this->keepers) {
      keeper->OnTimer();
    }
    this->Deliver();
  }

  ChangeResult Change(const std::string& aHost, const std::string& aText,
                      Version aExpected)
  {
    const ConfigurationWriter writer(this->WriterHooksOf(aHost),
                                     this->writerRules);
    ChangeResult result;
    writer.Change(aText, aExpected, [&result](ChangeResult aResult) {
      result = std::move(aResult);
    });
    return result;
  }

  bool NeverWentBack() const
  {
    return std::ranges::all_of(this->history, [](const auto& aVersions) {
      return std::ranges::is_sorted(aVersions.second);
    });
  }

private:
  ConfigurationKeeper::Hooks HooksOf(const std::string& aName)
  {
    return {
      .now = [this] { return this->now; },
      .fetch =
        [this](const std::string& aObject, const FakeStore::FetchDone& aDone) {
          this->store.Fetch(aObject, aDone);
        },
      .sendOffer =
        [this, aName](const HostId& aPeer,
                      const protocol::ConfigurationOffer& aOffer) {
          this->Post(aPeer, [aName, aOffer](ConfigurationKeeper& aKeeper) {
            aKeeper.OnOffer({ aName }, aOffer);
          });
        },
      .sendQuery =
        [this, aName](const HostId& aPeer,
                      const protocol::ConfigurationQuery& aQuery) {
          this->Post(aPeer, [aName, aQuery](ConfigurationKeeper& aKeeper) {
            aKeeper.OnQuery({ aName }, aQuery);
          });
        },
      .peers = [this, aName] { return this->PeersOf(aName); },
      .placesVersion = [] { return Version{ 0 }; },
    };
  }

  ConfigurationWriter::Hooks WriterHooksOf(const std::string& aHost)
  {
    return {
      .putObject =
        [this](const std::string& aName, std::string aContent,
               const std::function<void(std::error_code)>& aDone) {
          this->store.objects[aName] = std::move(aContent);
          aDone({});
        },
      .table = { .query =
                   [this](const std::string&,
                          const TableHooks::QueryDone& aDone) {
                     aDone(std::vector{ ToWrite(this->store.head).row });
                   },
                 .write =
                   [this](const std::vector<ConditionalWrite>& aWrites,
                          const TableHooks::WriteDone& aDone) {
                     aDone(this->store.Write(aWrites.front()));
                   } },
      .nonce = [] { return std::string("nonce"); },
      .accepted =
        [this, aHost](Version aVersion, const std::string& aText) {
          this->keepers.at(aHost)->OnAccepted(aVersion, aText);
        },
    };
  }

  std::vector<HostId> PeersOf(const std::string& aName) const
  {
    std::vector<HostId> peers;
    for (const std::string& name : this->known) {
      if (name != aName) {
        peers.push_back({ name });
      }
    }
    return peers;
  }

  void Post(const HostId& aPeer,
            std::function<void(ConfigurationKeeper&)> aMessage)
  {
    this->messages.emplace_back([this, aPeer, message = std::move(aMessage)] {
      const auto found = this->keepers.find(aPeer.value);
      if (found != this->keepers.end()) {
        message(*found->second);
      }
    });
  }

  std::map<std::string, std::unique_ptr<ConfigurationKeeper>> keepers;
  std::deque<std::function<void()>> messages;
};

} // namespace

class ConfigurationKeeperTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ConfigurationKeeperTest);
  CPPUNIT_TEST(testSpreadsWithoutTheStore);
  CPPUNIT_TEST(testLateTextDoesNotBringAnOlderVersionBack);
  CPPUNIT_TEST(testHostReplacedInAnOutage);
  CPPUNIT_TEST(testSilentPeerDoesNotHoldANewHost);
  CPPUNIT_TEST(testRacingOperators);
  CPPUNIT_TEST(testSameChangeAgainIsNoConflict);
  CPPUNIT_TEST(testWrongObjectIsNotApplied);
  CPPUNIT_TEST(testRandomTroubleNeverBringsAVersionBack);
  CPPUNIT_TEST_SUITE_END();

public:
  // The store fails right after a change was accepted: the other hosts cannot
  // read the text, and must have it from the host that took it.
  void testSpreadsWithoutTheStore()
  {
    Hosts hosts;
    StartThree(hosts);
    CPPUNIT_ASSERT(hosts.Change("a", TextOf("x"), 0).error == ErrorKind::kNone);
    hosts.store.down = true;
    hosts.Deliver();
    CPPUNIT_ASSERT_EQUAL(Version{ 1 }, hosts["c"].InForce().version);
    CPPUNIT_ASSERT_EQUAL(TextOf("x"), hosts["c"].Text());
    CPPUNIT_ASSERT_EQUAL(Version{ 1 },
                         hosts["a"].Peers().at({ "c" }).configuration);
    // A host that was cut off meanwhile catches up by the next round.
    hosts.Start("d");
    hosts.known.emplace_back("d");
    hosts.Pass(ConfigurationKeeper::kAnnounceEvery);
    CPPUNIT_ASSERT_EQUAL(Version{ 1 }, hosts["d"].InForce().version);
  }

  // A host reads the head at version 1, and the store answers for its text
  // slowly. Version 2 comes from a peer first; then the old text arrives.
  void testLateTextDoesNotBringAnOlderVersionBack()
  {
    for (const bool rule : { true, false }) {
      Hosts hosts;
      hosts.rules.onlyHigher = rule;
      StartThree(hosts);
      hosts.Change("a", TextOf("x"), 0);
      hosts.store.holdFetches = true;
      hosts["b"].OnHead(hosts.store.head);
      hosts.Change("a", TextOf("y"), 1);
      hosts.Deliver();
      CPPUNIT_ASSERT_EQUAL(Version{ 2 }, hosts["b"].InForce().version);
      hosts.store.held.front()();
      CPPUNIT_ASSERT_EQUAL(rule, hosts.NeverWentBack());
    }
  }

  // A host that had confirmed version 2 is replaced while the store is out.
  // The first peer that answers the new process still has version 1.
  void testHostReplacedInAnOutage()
  {
    for (const bool rule : { true, false }) {
      Hosts hosts;
      hosts.rules.collectFirst = rule;
      StartThree(hosts);
      hosts.Change("a", TextOf("x"), 0);
      hosts.Deliver();
      hosts.Stop("b");
      hosts.Change("a", TextOf("y"), 1);
      hosts.Deliver();
      hosts.store.down = true;
      hosts.Stop("c");
      hosts.Start("c");
      protocol::ConfigurationQuery nothing;
      protocol::ConfigurationOffer old;
      old.__set_version(1);
      old.__set_text(TextOf("x"));
      hosts["c"].OnQuery({ "b" }, nothing);
      hosts["c"].OnOffer({ "b" }, old);
      hosts.Pass(ConfigurationKeeper::kAnnounceEvery);
      CPPUNIT_ASSERT_EQUAL(Version{ 2 }, hosts["c"].InForce().version);
      CPPUNIT_ASSERT_EQUAL(rule, hosts.NeverWentBack());
    }
  }

  // A host is lost and another replaced at once: the new one must not wait for
  // ever for the lost one's answer, or callers would find no service on it.
  void testSilentPeerDoesNotHoldANewHost()
  {
    Hosts hosts;
    StartThree(hosts);
    hosts.Change("a", TextOf("x"), 0);
    hosts.Deliver();
    hosts.Stop("b");
    hosts.Stop("c");
    hosts.Start("c");
    hosts.Pass(ConfigurationKeeper::kAnnounceEvery);
    CPPUNIT_ASSERT(hosts["c"].Phase() == ConfigurationPhase::kCollecting);
    hosts.Pass(ConfigurationKeeper::kCollectFor);
    CPPUNIT_ASSERT_EQUAL(Version{ 1 }, hosts["c"].InForce().version);
  }

  // Two operators change the same version through two hosts. One text becomes
  // version 2; the other must not be in force anywhere, not even where it was
  // sent, and its operator hears what is in force.
  void testRacingOperators()
  {
    for (const bool rule : { true, false }) {
      Hosts hosts;
      hosts.writerRules.tableDecides = rule;
      StartThree(hosts);
      hosts.Change("a", TextOf("x"), 0);
      hosts.Deliver();
      CPPUNIT_ASSERT(hosts.Change("a", TextOf("y"), 1).error ==
                     ErrorKind::kNone);
      const ChangeResult lost = hosts.Change("b", TextOf("z"), 1);
      CPPUNIT_ASSERT(lost.error == ErrorKind::kConflict);
      CPPUNIT_ASSERT_EQUAL(Version{ 2 }, lost.version);
      hosts.Deliver();
      hosts.Pass(ConfigurationKeeper::kAnnounceEvery);
      CPPUNIT_ASSERT_EQUAL(TextOf("y"), hosts["a"].Text());
      CPPUNIT_ASSERT_EQUAL(rule, hosts["b"].Text() == TextOf("y"));
    }
  }

  // The answer to an accepted change is lost; the operator sends it again.
  void testSameChangeAgainIsNoConflict()
  {
    Hosts hosts;
    StartThree(hosts);
    hosts.Change("a", TextOf("x"), 0);
    const ChangeResult again = hosts.Change("b", TextOf("x"), 0);
    CPPUNIT_ASSERT(again.error == ErrorKind::kNone);
    CPPUNIT_ASSERT_EQUAL(Version{ 1 }, again.version);
    hosts.store.down = true;
    const ChangeResult unknown = hosts.Change("a", TextOf("y"), 1);
    CPPUNIT_ASSERT(unknown.error == ErrorKind::kStoreUnavailable);
    CPPUNIT_ASSERT(unknown.outcome == protocol::Outcome::kUnknown);
    CPPUNIT_ASSERT_EQUAL(Version{ 1 }, hosts["a"].InForce().version);
  }

  // The object store answers with another object: two hosts would have
  // different texts under one version, and nobody would see it.
  void testWrongObjectIsNotApplied()
  {
    for (const bool rule : { true, false }) {
      Hosts hosts;
      hosts.rules.checkContent = rule;
      StartThree(hosts);
      hosts.Change("a", TextOf("x"), 0);
      const ConfigurationHead head = hosts.store.head;
      hosts.store.objects[head.object] = TextOf("wrong");
      hosts["b"].OnHead(head);
      hosts.Deliver();
      CPPUNIT_ASSERT_EQUAL(rule, hosts["b"].Text() == TextOf("x"));
    }
  }

  // Operators race, the store fails and returns, slow fetches end late, hosts
  // are replaced: whatever the order, no host's version goes back, a version
  // has one text everywhere, and all agree once the store is back.
  void testRandomTroubleNeverBringsAVersionBack()
  {
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
      Hosts hosts;
      StartThree(hosts);
      std::mt19937 random(seed);
      std::map<Version, std::string> texts;
      for (int step = 0; step < 60; ++step) {
        Disturb(hosts, random);
        hosts.Deliver();
        NoteTexts(hosts, texts, seed);
      }
      hosts.store.down = false;
      hosts.store.holdFetches = false;
      for (const std::string& name : hosts.known) {
        hosts[name].OnHead(hosts.store.head);
      }
      hosts.Pass(ConfigurationKeeper::kCollectFor);
      const std::string seedText = "seed " + std::to_string(seed);
      CPPUNIT_ASSERT_MESSAGE(seedText, hosts.NeverWentBack());
      for (const std::string& name : hosts.known) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(seedText, hosts.store.head.version,
                                     hosts[name].InForce().version);
      }
    }
  }

private:
  static void Disturb(Hosts& aHosts, std::mt19937& aRandom)
  {
    const std::string& name = aHosts.known[aRandom() % aHosts.known.size()];
    switch (aRandom() % 6) {
      case 0:
        aHosts.Change(name, TextOf("s" + std::to_string(aRandom())),
                      aHosts[name].InForce().version);
        break;
      case 1:
        aHosts.store.down = !aHosts.store.down;
        break;
      case 2:
        aHosts.store.holdFetches = !aHosts.store.holdFetches;
        break;
      case 3:
        if (!aHosts.store.down) {
          aHosts[name].OnHead(aHosts.store.head);
        }
        break;
      case 4:
        aHosts.store.held.clear();
        aHosts.Start(name);
        break;
      default:
        if (!aHosts.store.held.empty()) {
          const auto fetched = std::move(aHosts.store.held.front());
          aHosts.store.held.pop_front();
          fetched();
        }
        aHosts.Pass(std::chrono::milliseconds(700));
    }
  }

  static void NoteTexts(Hosts& aHosts, std::map<Version, std::string>& aTexts,
                        std::uint32_t aSeed)
  {
    for (const std::string& name : aHosts.known) {
      const auto& keeper = aHosts[name];
      const auto noted =
        aTexts.try_emplace(keeper.InForce().version, keeper.Text()).first;
      CPPUNIT_ASSERT_EQUAL_MESSAGE("seed " + std::to_string(aSeed),
                                   noted->second, keeper.Text());
    }
  }

  static void StartThree(Hosts& aHosts)
  {
    aHosts.known = { "a", "b", "c" };
    for (const std::string& name : aHosts.known) {
      aHosts.Start(name).OnHead({});
    }
    aHosts.Deliver();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ConfigurationKeeperTest);

} // namespace kumquat::state
