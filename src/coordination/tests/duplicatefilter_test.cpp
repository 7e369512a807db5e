// Each failure that could run a request twice, with its rule and without it.

#include "coordination/tests/duplicatecluster.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdio>
#include <memory>
#include <string>
#include <utility>

namespace kumquat::coordination::tests {

using protocol::ErrorKind;
using std::chrono::seconds;

class DuplicateFilterTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DuplicateFilterTest);
  CPPUNIT_TEST(testRepeatsShareOneRun);
  CPPUNIT_TEST(testNotRunFreesTheKey);
  CPPUNIT_TEST(testUnknownIsNotRunAgain);
  CPPUNIT_TEST(testFullMemoryRefusesAndForgetsNothing);
  CPPUNIT_TEST(testRepeatGivesUpAtItsDeadline);
  CPPUNIT_TEST(testWithoutKeyEachArrivalRunsOnce);
  CPPUNIT_TEST(testRememberOutcome);
  CPPUNIT_TEST(testNoteWitness);
  CPPUNIT_TEST(testNoteBeforeDispatch);
  CPPUNIT_TEST(testNoteOwn);
  CPPUNIT_TEST(testCollect);
  CPPUNIT_TEST(testAwaitSilentHosts);
  CPPUNIT_TEST(testRestartedHostDoesNotAnswerForItsEarlierRun);
  CPPUNIT_TEST(testFenceOnCollect);
  CPPUNIT_TEST(testProveKeyIsNew);
  CPPUNIT_TEST(testSurelyNewKeyRunsWhileUnsure);
  CPPUNIT_TEST(testCheckLease);
  CPPUNIT_TEST(testCheckLeaseAndRefuseStaleSender);
  CPPUNIT_TEST(testRefuseStaleSender);
  CPPUNIT_TEST(testSureOnceTheSilentHostAnswers);
  CPPUNIT_TEST(testSureOnceTheHorizonHasPassed);
  CPPUNIT_TEST(testSecondTakeoverHearsOfTheFirstOwner);
  CPPUNIT_TEST(testMoveFromLiveHostFencesOnlyTheSlice);
  CPPUNIT_TEST(testSuccessorsOwnKeysAreNotReported);
  CPPUNIT_TEST(testPlannedMoveIsSureAtOnce);
  CPPUNIT_TEST(testKeyThatItsStewardRefusedRunsAfterAPlannedMove);
  CPPUNIT_TEST(testOwnerBeforeTheLastIsNotBelieved);
  CPPUNIT_TEST_SUITE_END();

public:
  void testRepeatsShareOneRun()
  {
    DuplicateCluster cluster;
    cluster.Send("b", "a", "c", "k");
    cluster.Send("d", "a", "c", "k");
    CPPUNIT_ASSERT(cluster.answers.empty());
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k"]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cluster.answers.size());
    CPPUNIT_ASSERT_EQUAL(cluster.answers[0]->body, cluster.answers[1]->body);
  }

  void testNotRunFreesTheKey()
  {
    DuplicateCluster cluster;
    cluster.At("c").deposed.insert(cluster.At("a").ref);
    cluster.Send("b", "a", "c", "k");
    cluster.Deliver();
    CPPUNIT_ASSERT(ErrorKind::kStaleSender == cluster.LastError());
    cluster.Send("b", "a", "d", "k");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k"]);
    CPPUNIT_ASSERT(ErrorKind::kNone == cluster.LastError());
  }

  // The connection to the steward breaks after the work was sent: nobody knows
  // whether it ran. A second try of the caller must not run it.
  void testUnknownIsNotRunAgain()
  {
    DuplicateCluster cluster;
    cluster.Send("b", "a", "c", "k");
    auto lost = std::make_shared<protocol::ForwardReply>();
    lost->error = static_cast<int>(ErrorKind::kPeerLost);
    cluster.At("a").filter->Finish(cluster.tickets.back(), lost);
    CPPUNIT_ASSERT(ErrorKind::kPeerLost == cluster.LastError());
    cluster.wire.clear();
    cluster.Send("d", "a", "c", "k");
    CPPUNIT_ASSERT(ErrorKind::kOutcomeUnknown == cluster.LastError());
    CPPUNIT_ASSERT(cluster.wire.empty());
  }

  void testFullMemoryRefusesAndForgetsNothing()
  {
    DuplicateCluster cluster({}, 2);
    for (const char* key : { "k1", "k2", "k3" }) {
      cluster.Send("a", "a", "c", key);
      cluster.Deliver();
    }
    CPPUNIT_ASSERT(ErrorKind::kQueueFull == cluster.LastError());
    CPPUNIT_ASSERT_EQUAL(0, cluster.runs["k3"]);
    cluster.Send("a", "a", "c", "k1");
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k1"]);
    cluster.Pass(seconds(121));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cluster.At("a").filter->Size());
    cluster.Send("a", "a", "c", "k3");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k3"]);
  }

  void testRepeatGivesUpAtItsDeadline()
  {
    DuplicateCluster cluster;
    cluster.Send("b", "a", "c", "k");
    cluster.Send("d", "a", "c", "k");
    cluster.Pass(seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, cluster.answers.size());
    CPPUNIT_ASSERT(ErrorKind::kDuplicateRunning == cluster.LastError());
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cluster.answers.size());
  }

  void testWithoutKeyEachArrivalRunsOnce()
  {
    DuplicateCluster cluster;
    cluster.Send("a", "a", "c", "");
    cluster.Send("a", "a", "c", "");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(2, cluster.runs[""]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, cluster.answers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cluster.At("a").filter->Size());
  }

  // The answer to a deposit is lost on its way to the camper, who tries again
  // a moment later. The first has finished and left no trace of its own.
  void testRememberOutcome()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.Send("b", "a", "c", "k");
      aCluster.Deliver();
      aCluster.Send("b", "a", "c", "k");
    };
    this->ExpectRule(DuplicateRule::kRememberOutcome, run);
  }

  // A deposit comes in at the host that owns its key and is also the steward
  // of the chosen upstream. It runs, the host dies, the camper tries again at
  // another: no host that is left has ever heard of the key.
  void testNoteWitness()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.Send("a", "a", "a", "k");
      aCluster.Deliver();
      aCluster.Kill("a");
      aCluster.TakeOver("a", "b");
      aCluster.Send("c", "b", "d", "k");
    };
    this->ExpectRule(DuplicateRule::kNoteWitness, run);
  }

  // As above, but the note is still on its way when the host dies.
  void testNoteBeforeDispatch()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.holdAsks = true;
      aCluster.Send("a", "a", "a", "k");
      aCluster.Deliver();
      aCluster.Kill("a");
      aCluster.holdAsks = false;
      aCluster.TakeOver("a", "b");
      aCluster.Send("c", "b", "d", "k");
    };
    this->ExpectRule(DuplicateRule::kNoteBeforeDispatch, run);
  }

  // A deposit comes in at its key's host and runs at the steward's upstream.
  // The host falls asleep and the steward takes its place; then the steward is
  // lost. The first host wakes, and answers the second successor.
  void testNoteOwn()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.Send("a", "a", "b", "k");
      aCluster.Deliver();
      aCluster.TakeOver("a", "b", 2);
      aCluster.Kill("b");
      aCluster.TakeOver("b", "c", 3);
      aCluster.Send("d", "c", "d", "k");
    };
    this->ExpectRule(DuplicateRule::kNoteOwn, run);
  }

  // The key's host dies while the work runs at another host's upstream. The
  // camper's second try meets the successor, whose own memory is empty.
  void testCollect()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.Send("c", "a", "d", "k");
      aCluster.Deliver();
      aCluster.Kill("a");
      aCluster.TakeOver("a", "b");
      aCluster.Send("b", "b", "c", "k");
    };
    this->ExpectRule(DuplicateRule::kCollect, run);
  }

  // The key's host, which was the entry too, and the steward die together. The
  // hosts that are left know nothing of the key; the dead steward would have.
  void testAwaitSilentHosts()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.Send("a", "a", "d", "k");
      aCluster.Deliver();
      aCluster.Kill("a");
      aCluster.Kill("d");
      aCluster.TakeOver("a", "b");
      aCluster.Send("c", "b", "c", "k");
    };
    this->ExpectRule(DuplicateRule::kAwaitSilentHosts, run);
  }

  // The key's host, the entry too, and the steward die together. The steward
  // is replaced at once under its old name and answers the collection: it has
  // never heard of the key, which its earlier run had dispatched.
  void testRestartedHostDoesNotAnswerForItsEarlierRun()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.Send("a", "a", "d", "k");
      aCluster.Deliver();
      aCluster.Kill("a");
      aCluster.Kill("d");
      aCluster.Restart("d");
      aCluster.TakeOver("a", "b");
      aCluster.Send("c", "b", "d", "k");
    };
    this->ExpectRule(DuplicateRule::kAwaitSilentHosts, run);
  }

  // A forward is on the wire to a third host when its sender is deposed. That
  // host answers the collection, with nothing to tell; the camper's second try
  // runs; then the forward arrives.
  void testFenceOnCollect()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.Send("a", "a", "d", "k");
      const auto late = std::exchange(aCluster.wire, {});
      aCluster.TakeOver("a", "b");
      aCluster.Send("c", "b", "c", "k");
      aCluster.Deliver();
      aCluster.wire = late;
    };
    this->ExpectRule(DuplicateRule::kFenceOnCollect, run);
  }

  // A lost steward leaves the successor unsure. A key that says nothing of its
  // age, or a UUIDv7 from before the takeover, may be the lost one.
  void testProveKeyIsNew()
  {
    const std::string old = UuidAt(seconds(999));
    for (const std::string& key : { std::string("k"), old }) {
      const auto run = [&key](DuplicateCluster& aCluster) {
        aCluster.Send("a", "a", "d", key);
        aCluster.Deliver();
        LoseTwoHosts(aCluster);
        aCluster.Send("c", "b", "c", key);
      };
      this->ExpectRuns(1, {}, key, run);
      this->ExpectRuns(2, { DuplicateRule::kProveKeyIsNew }, key, run);
    }
  }

  // The takeover is at second 1000; clocks may be 5 s apart.
  void testSurelyNewKeyRunsWhileUnsure()
  {
    DuplicateCluster cluster;
    LoseTwoHosts(cluster);
    cluster.Pass(seconds(4));
    const std::string doubtful = UuidAt(seconds(1004));
    const std::string young = UuidAt(seconds(1006));
    const std::string fromTheFuture = UuidAt(seconds(1010));
    for (const std::string& key : { doubtful, young, fromTheFuture }) {
      cluster.Send("c", "b", "c", key);
      cluster.Deliver();
    }
    CPPUNIT_ASSERT_EQUAL(0, cluster.runs[doubtful]);
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs[young]);
    CPPUNIT_ASSERT_EQUAL(0, cluster.runs[fromTheFuture]);
  }

  // A host is deposed and does not know it. Nobody has answered its successor
  // yet. A caller's new request comes in at the old owner, which sends it to a
  // steward that knows no more; the second try comes in at the successor, which
  // sees by the key's time that it is new.
  void testCheckLease()
  {
    const std::string key = UuidAt(seconds(1006));
    const auto run = [&key](DuplicateCluster& aCluster) {
      aCluster.holdAsks = true;
      aCluster.TakeOver("a", "b");
      aCluster.Pass(seconds(6));
      aCluster.Send("a", "a", "d", key);
      aCluster.Deliver();
      aCluster.Send("c", "b", "c", key);
    };
    this->ExpectRuns(1, {}, key, run);
    this->ExpectRuns(2, { DuplicateRule::kCheckLease }, key, run);
  }

  // A host accepts a deposit as entry, owner and steward, and is paused before
  // it looks at its lease. Its slice goes to another, where the second try
  // runs. It wakes and finds a host that was started after the collection.
  // Its lease stops it; failing that, the new host refuses to be its witness.
  void testCheckLeaseAndRefuseStaleSender()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.holdTickets = true;
      aCluster.Send("a", "a", "e", "k");
      const DuplicateFilter::Ticket paused = aCluster.tickets.back();
      aCluster.holdTickets = false;
      aCluster.TakeOver("a", "b");
      aCluster.Send("c", "b", "c", "k");
      aCluster.Deliver();
      JoinAfterTakeOver(aCluster);
      aCluster.Dispatch(paused, "a", "e", "k");
    };
    using Rule = DuplicateRule;
    this->ExpectRuns(1, {}, "k", run);
    this->ExpectRuns(1, { Rule::kCheckLease }, "k", run);
    this->ExpectRuns(1, { Rule::kRefuseStaleSender }, "k", run);
    this->ExpectRuns(2, { Rule::kCheckLease, Rule::kRefuseStaleSender }, "k",
                     run);
  }

  // The pause comes after the lease was looked at: the forward leaves late, to
  // a host that was started after the collection and so was not fenced by it.
  void testRefuseStaleSender()
  {
    const auto run = [](DuplicateCluster& aCluster) {
      aCluster.Send("a", "a", "d", "k");
      auto late = std::exchange(aCluster.wire, {});
      aCluster.TakeOver("a", "b");
      aCluster.Send("c", "b", "c", "k");
      aCluster.Deliver();
      JoinAfterTakeOver(aCluster);
      late.front().steward = "e";
      aCluster.wire = late;
    };
    this->ExpectRule(DuplicateRule::kRefuseStaleSender, run);
  }

  void testSureOnceTheSilentHostAnswers()
  {
    DuplicateCluster cluster;
    cluster.At("d").alive = false;
    cluster.TakeOver("a", "b");
    cluster.Send("c", "b", "c", "k");
    CPPUNIT_ASSERT(ErrorKind::kOutcomeUnknown == cluster.LastError());
    CPPUNIT_ASSERT(!cluster.At("b").filter->IsSure(kService, "0"));
    cluster.At("d").alive = true;
    cluster.Pass(seconds(1));
    CPPUNIT_ASSERT(cluster.At("b").filter->IsSure(kService, "0"));
    cluster.Send("c", "b", "c", "k");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k"]);
  }

  void testSureOnceTheHorizonHasPassed()
  {
    DuplicateCluster cluster;
    cluster.Kill("d");
    cluster.TakeOver("a", "b");
    cluster.Pass(seconds(119));
    cluster.Send("c", "b", "c", "k");
    CPPUNIT_ASSERT(ErrorKind::kOutcomeUnknown == cluster.LastError());
    cluster.Pass(seconds(1));
    cluster.Send("c", "b", "c", "k");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k"]);
  }

  // Two owners are lost one after the other; the key ran under the first. The
  // second successor asks for the range, so it hears of both owners' keys.
  void testSecondTakeoverHearsOfTheFirstOwner()
  {
    DuplicateCluster cluster;
    cluster.Send("c", "a", "d", "k");
    cluster.Deliver();
    cluster.Kill("a");
    cluster.TakeOver("a", "b", 2);
    cluster.TakeOver("b", "c", 3);
    cluster.Send("d", "c", "d", "k");
    cluster.Deliver();
    CPPUNIT_ASSERT(ErrorKind::kOutcomeUnknown == cluster.LastError());
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k"]);
    const auto& counted = cluster.At("c").filter->Counted();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, counted.mayHaveRun);
  }

  void testMoveFromLiveHostFencesOnlyTheSlice()
  {
    DuplicateCluster cluster;
    cluster.Send("c", "a", "d", "k");
    cluster.At("a").filter->End(kService, "0");
    cluster.At("b").filter->Begin(
      DuplicateCluster::Tenure(2, KeyTenure::Origin::kMove, {}));
    // The forward under the old epoch is refused where the collection came by.
    cluster.Deliver();
    CPPUNIT_ASSERT(ErrorKind::kStaleSender == cluster.LastError());
    CPPUNIT_ASSERT_EQUAL(0, cluster.runs["k"]);
    // Work of the former owner that is no key of the slice is still taken.
    protocol::Forward other;
    other.sender.host = "a";
    other.sender.incarnation = 1;
    CPPUNIT_ASSERT(ErrorKind::kNone == cluster.At("d").log->Admit(other));
  }

  // A request that an entry has just noted for the new owner must not come
  // back to it as one that may have run.
  void testSuccessorsOwnKeysAreNotReported()
  {
    DuplicateCluster cluster;
    cluster.Kill("a");
    cluster.At("c").knownEpoch = 2;
    const KeyOwner successor{ cluster.At("b").ref, 2 };
    const auto noted = cluster.At("c").log->Note(successor, kService, "k");
    CPPUNIT_ASSERT(ErrorKind::kNone == noted);
    cluster.TakeOver("a", "b");
    cluster.Send("c", "b", "c", "k");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k"]);
  }

  // A host stops as planned and another takes over its keys. Bookings that came
  // in meanwhile were answered "outcome unknown" for two minutes: a host that
  // had stopped earlier can never answer the collection, and every entry had
  // noted keys that the leaving owner refused. Nothing of it had run.
  void testPlannedMoveIsSureAtOnce()
  {
    DuplicateCluster cluster;
    cluster.Kill("d");
    const KeyOwner leaving{ cluster.At("a").ref, 1 };
    const auto noted = cluster.At("c").log->Note(leaving, kService, "refused");
    CPPUNIT_ASSERT(ErrorKind::kNone == noted);
    cluster.Send("c", "a", "c", "ran");
    cluster.Deliver();
    cluster.At("a").filter->End(kService, "0");
    cluster.At("b").tenure = 2;
    cluster.At("b").filter->Begin(
      DuplicateCluster::Tenure(2, KeyTenure::Origin::kMove, {}));
    CPPUNIT_ASSERT(cluster.At("b").filter->IsSure(kService, "0"));
    cluster.Send("b", "b", "c", "refused");
    cluster.Send("b", "b", "c", "ran");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["refused"]);
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["ran"]);
  }

  // Guards against answering "unknown" after a planned move to a key that the
  // owner before had dispatched, and whose steward refused it as not run.
  void testKeyThatItsStewardRefusedRunsAfterAPlannedMove()
  {
    DuplicateCluster cluster;
    cluster.Send("c", "a", "d", "k");
    cluster.At("d").knownEpoch = 2;
    cluster.Deliver();
    CPPUNIT_ASSERT(ErrorKind::kStaleSender == cluster.LastError());
    cluster.At("a").filter->End(kService, "0");
    cluster.At("b").tenure = 2;
    cluster.At("b").filter->Begin(
      DuplicateCluster::Tenure(2, KeyTenure::Origin::kMove, {}));
    cluster.Send("c", "b", "d", "k");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k"]);
  }

  // An owner sleeps through a takeover, wakes, and is asked by the next owner
  // but one. It still takes itself for the owner, but the keys that its
  // successor ran are not among those that it knows.
  void testOwnerBeforeTheLastIsNotBelieved()
  {
    DuplicateCluster cluster;
    cluster.TakeOver("a", "b");
    cluster.Pass(std::chrono::seconds(2));
    cluster.Send("b", "b", "d", "k");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k"]);
    cluster.Kill("b");
    cluster.Kill("d");
    cluster.TakeOver("b", "c", 3);
    CPPUNIT_ASSERT(!cluster.At("c").filter->IsSure(kService, "0"));
    cluster.Pass(std::chrono::seconds(2));
    cluster.Send("c", "c", "a", "k");
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(1, cluster.runs["k"]);
  }

private:
  static void LoseTwoHosts(DuplicateCluster& aCluster)
  {
    aCluster.Kill("a");
    aCluster.Kill("d");
    aCluster.TakeOver("a", "b");
  }

  // A host starts after the takeover and has read the map with it.
  static void JoinAfterTakeOver(DuplicateCluster& aCluster)
  {
    auto& joined = aCluster.AddHost("e");
    joined.knownEpoch = 2;
    joined.deposed.insert(aCluster.At("a").ref);
  }

  template<typename Story>
  void ExpectRuns(int aRuns, const OmittedRules& aOmitted,
                  const std::string& aKey, const Story& aStory)
  {
    DuplicateCluster cluster(aOmitted);
    aStory(cluster);
    cluster.Deliver();
    CPPUNIT_ASSERT_EQUAL(aRuns, cluster.runs[aKey]);
  }

  // One run with the rule; two without it.
  template<typename Story>
  void ExpectRule(DuplicateRule aRule, const Story& aStory)
  {
    this->ExpectRuns(1, {}, "k", aStory);
    this->ExpectRuns(2, { aRule }, "k", aStory);
  }

  static std::string UuidAt(std::chrono::milliseconds aTime)
  {
    char text[40];
    const auto millis = static_cast<unsigned long long>(aTime.count());
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-000000000001",
                  millis >> 16U, millis & 0xffffU);
    return text;
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DuplicateFilterTest);

} // namespace kumquat::coordination::tests
