// Bodies between hosts: whole, cut, or given up by their reader.

#include "coordination/bodystreams.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <string>

namespace kumquat::coordination {

namespace {

const state::HostId kEntry{ "entry" };
const state::HostId kSteward{ "steward" };
constexpr std::uint64_t kCorrelation = 7;
constexpr std::size_t kPieceBytes = 64U << 10U;

} // namespace

class BodyStreamsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(BodyStreamsTest);
  CPPUNIT_TEST(testWholeBodyArrives);
  CPPUNIT_TEST(testSenderStopsWithoutCredit);
  CPPUNIT_TEST(testAbandonedBodyFreesItsReader);
  CPPUNIT_TEST(testLostPeerCutsTheBody);
  CPPUNIT_TEST_SUITE_END();

public:
  void testWholeBodyArrives()
  {
    auto reader = this->entry.Open(kSteward, kCorrelation);
    this->Pump(3);
    std::size_t got = 0;
    bool ended = false;
    while (!ended) {
      reader([&](const Result<std::string>& aPiece) {
        CPPUNIT_ASSERT(aPiece.has_value());
        got += aPiece->size();
        ended = aPiece->empty();
      });
      this->Deliver();
    }
    CPPUNIT_ASSERT_EQUAL(3 * kPieceBytes, got);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->entry.Active());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->steward.Active());
  }

  // A crew's phone reads a site map slowly: the hosts must not hold the whole
  // of it, however large it is.
  void testSenderStopsWithoutCredit()
  {
    auto reader = this->entry.Open(kSteward, kCorrelation);
    this->Pump(1000);
    this->Deliver();
    CPPUNIT_ASSERT(this->piecesRead < 10);
  }

  // A crew's phone goes away in the middle of a download. The steward waited
  // for credit that never came, and the upstream's slot stayed taken for good.
  void testAbandonedBodyFreesItsReader()
  {
    {
      auto reader = this->entry.Open(kSteward, kCorrelation);
      this->Pump(1000);
      this->Deliver();
    }
    this->Deliver();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->entry.Active());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, this->steward.Active());
    CPPUNIT_ASSERT(this->alive.expired());
  }

  // The steward's host dies in the middle of a body: its reader must learn
  // that the body is cut, and not wait nor take it as whole.
  void testLostPeerCutsTheBody()
  {
    auto reader = this->entry.Open(kSteward, kCorrelation);
    bool cut = false;
    reader(
      [&cut](const Result<std::string>& aPiece) { cut = aPiece.has_error(); });
    this->entry.OnPeerLost(kSteward);
    CPPUNIT_ASSERT(cut);
  }

private:
  struct Sent
  {
    state::HostId to;
    protocol::Frame frame;
  };

  void Pump(int aPieces)
  {
    auto token = std::make_shared<int>(0);
    this->alive = token;
    this->steward.Pump(
      kEntry, kCorrelation,
      [this, token, left = std::make_shared<int>(aPieces)](
        const std::function<void(Result<std::string>)>& aTake) {
        ++this->piecesRead;
        const bool more = (*left)-- > 0;
        aTake(more ? std::string(kPieceBytes, 'x') : std::string());
      });
  }

  void Deliver()
  {
    while (!this->wire.empty()) {
      Sent sent = std::move(this->wire.front());
      this->wire.pop_front();
      const bool toEntry = sent.to == kEntry;
      BodyStreams& target = toEntry ? this->entry : this->steward;
      const state::HostId& from = toEntry ? kSteward : kEntry;
      if (sent.frame.__isset.bodyPart) {
        target.OnPart(from, kCorrelation, std::move(sent.frame.bodyPart));
      } else {
        target.OnCredit(from, kCorrelation, sent.frame.bodyCredit.bytes);
      }
    }
  }

  bool Send(const state::HostId& aTo, const protocol::Frame& aFrame)
  {
    this->wire.push_back({ aTo, aFrame });
    return true;
  }

  std::deque<Sent> wire;
  int piecesRead = 0;
  std::weak_ptr<int> alive;
  BodyStreams entry{ [this](const auto& aTo, const auto& aFrame) {
    return this->Send(aTo, aFrame);
  } };
  BodyStreams steward{ [this](const auto& aTo, const auto& aFrame) {
    return this->Send(aTo, aFrame);
  } };
};

CPPUNIT_TEST_SUITE_REGISTRATION(BodyStreamsTest);

} // namespace kumquat::coordination
