// Connections between hosts, over loopback.

#include "transport/iothread.h"
#include "transport/peernetwork.h"

#include <cppunit/extensions/HelperMacros.h>

#include <future>
#include <memory>
#include <string>

namespace kumquat::transport {

namespace {

constexpr auto kAddressOfA = "127.0.99.2:18199";
constexpr auto kAddressOfB = "127.0.99.3:18199";
constexpr auto kSecondAddressOfB = "127.0.99.4:18199";
constexpr int kFrames = 50;

struct Peer
{
  Peer(const std::string& aHost, const std::string& aAddress)
  {
    PeerNetwork::Options options;
    options.address = aAddress;
    options.hello.sender.__set_host(aHost);
    options.hello.sender.__set_incarnation(1);
    options.onFrame = [this](const protocol::HostRef&,
                             const protocol::Frame& aFrame) {
      this->taken.push_back(aFrame.correlation);
      if (this->taken.size() == kFrames) {
        this->complete.set_value();
      }
    };
    options.onUp = [this](const protocol::HostRef&, bool aUp) {
      this->ups += aUp ? 1 : 0;
      if (this->ups == 1) {
        this->up.set_value();
      }
    };
    options.onLinkLost = [this](const protocol::HostRef&) {
      this->linkLost.set_value();
    };
    auto listening =
      PeerNetwork::Listen(this->thread.Context(), std::move(options));
    CPPUNIT_ASSERT(listening.has_value());
    this->network = std::move(*listening);
    this->thread.Start("peer-test");
  }

  ~Peer() { this->thread.Stop(); }

  void Dial(const std::string& aHost, const std::string& aAddress)
  {
    this->thread.Post(
      [this, aHost, aAddress] { this->network->SetAddress(aHost, aAddress); });
  }

  IoThread thread;
  std::unique_ptr<PeerNetwork> network;
  std::vector<std::int64_t> taken;
  int ups = 0;
  std::promise<void> up;
  std::promise<void> complete;
  std::promise<void> linkLost;
};

} // namespace

class PeerNetworkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeerNetworkTest);
  CPPUNIT_TEST(testSecondConnectionDoesNotSplitTheFrames);
  CPPUNIT_TEST(testEndOfAConnectionThatOnlyThePeerSendsOverIsTold);
  CPPUNIT_TEST_SUITE_END();

public:
  // A crew's download was cut: two hosts had connected to each other at once,
  // and the steward went over to the newer connection in the middle of the
  // body. The last piece overtook those before it, and the body ended short.
  void testSecondConnectionDoesNotSplitTheFrames()
  {
    Peer first("b", kAddressOfB);
    Peer second("b", kSecondAddressOfB);
    Peer sender("a", kAddressOfA);
    first.Dial("a", kAddressOfA);
    first.up.get_future().wait();
    sender.up.get_future().wait();
    second.Dial("a", kAddressOfA);
    second.up.get_future().wait();
    sender.thread.Post([&sender] {
      for (int number = 0; number < kFrames; ++number) {
        protocol::Frame frame;
        frame.__set_correlation(number);
        CPPUNIT_ASSERT(sender.network->Send("b", frame));
      }
    });
    const auto got =
      first.complete.get_future().wait_for(std::chrono::seconds(10));
    CPPUNIT_ASSERT(got == std::future_status::ready);
    CPPUNIT_ASSERT(second.taken.empty());
  }

  // Guards against waiting for replies that were lost with a connection over
  // which this host did not send.
  void testEndOfAConnectionThatOnlyThePeerSendsOverIsTold()
  {
    Peer first("b", kAddressOfB);
    auto second = std::make_unique<Peer>("b", kSecondAddressOfB);
    Peer sender("a", kAddressOfA);
    first.Dial("a", kAddressOfA);
    first.up.get_future().wait();
    sender.up.get_future().wait();
    second->Dial("a", kAddressOfA);
    second->up.get_future().wait();
    second.reset();
    const auto told =
      sender.linkLost.get_future().wait_for(std::chrono::seconds(10));
    CPPUNIT_ASSERT(told == std::future_status::ready);
    CPPUNIT_ASSERT_EQUAL(1, sender.ups);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeerNetworkTest);

} // namespace kumquat::transport
