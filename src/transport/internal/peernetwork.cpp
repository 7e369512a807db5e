// Connections between hosts over Asio TCP.

#include "transport/peernetwork.h"

#include "protocol/codec.h"
#include "transport/address.h"
#include "transport/internal/listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquat::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// An encoded frame. One that goes to many peers is held once.
using EncodedFrame = std::shared_ptr<const std::string>;

struct Link
{
  explicit Link(tcp::socket aSocket)
    : socket(std::move(aSocket))
  {
  }

  tcp::socket socket;
  // Encoded frames; the writer takes them all at once.
  std::vector<EncodedFrame> queue;
  std::size_t queuedBytes = 0;
  bool writing = false;
  // Known after the peer's Hello.
  std::optional<protocol::HostRef> peer;
  bool readsCompressed = false;
};

using LinkPtr = std::shared_ptr<Link>;

// Requests that pass between hosts come one by one, so that compressing them
// would cost more than passing them on.
bool IsCompressed(const protocol::Frame& aFrame)
{
  return !aFrame.__isset.proxyRequest && !aFrame.__isset.proxyReply;
}

void CloseSocket(Link& aLink)
{
  boost::system::error_code ignored;
  aLink.socket.close(ignored);
}

} // namespace

class PeerNetwork::State : public std::enable_shared_from_this<State>
{
public:
  State(asio::io_context& aContext, Options aOptions)
    : context(aContext)
    , options(std::move(aOptions))
    , acceptor(aContext)
  {
  }

  std::error_code Open()
  {
    const auto endpoint = ParseAddress(this->options.address);
    if (!endpoint) {
      return endpoint.error();
    }
    this->local = tcp::endpoint(endpoint->address(), 0);
    return OpenListener(this->acceptor, *endpoint);
  }

  void Start()
  {
    asio::co_spawn(this->context, this->Accept(this->shared_from_this()),
                   asio::detached);
  }

  void Stop()
  {
    this->stopping = true;
    boost::system::error_code ignored;
    this->acceptor.close(ignored);
    for (const auto& [host, all] : this->links) {
      std::ranges::for_each(all,
                            [](const LinkPtr& aLink) { CloseSocket(*aLink); });
    }
  }

  void SetAddress(const std::string& aHost, const std::string& aAddress)
  {
    std::string& known = this->addresses[aHost];
    if (known == aAddress) {
      return;
    }
    known = aAddress;
    if (!this->links.contains(aHost)) {
      this->Dial(aHost);
    }
  }

  void Forget(const std::string& aHost)
  {
    this->addresses.erase(aHost);
    this->CloseLink(aHost);
  }

  void StopDialling(const std::string& aHost) { this->addresses.erase(aHost); }

  void CloseLink(const std::string& aHost)
  {
    if (const LinkPtr link = this->LinkTo(aHost)) {
      CloseSocket(*link);
    }
  }

  bool Send(const std::string& aHost, const protocol::Frame& aFrame)
  {
    const LinkPtr link = this->LinkTo(aHost);
    if (!link) {
      this->Dial(aHost);
      return false;
    }
    std::string bytes = protocol::EncodeFrame(aFrame);
    if (link->readsCompressed && IsCompressed(aFrame)) {
      bytes = protocol::CompressFrame(bytes);
    }
    const std::size_t size = bytes.size();
    const bool isQueued = this->Enqueue(
      link, std::make_shared<const std::string>(std::move(bytes)));
    if (isQueued) {
      this->TellTraffic(aFrame, TrafficDirection::kSent, 1, size);
    }
    return isQueued;
  }

  void SendToAll(const std::vector<std::string>& aHosts,
                 const protocol::Frame& aFrame)
  {
    const auto plain =
      std::make_shared<const std::string>(protocol::EncodeFrame(aFrame));
    const auto compressed =
      std::make_shared<const std::string>(protocol::CompressFrame(*plain));
    std::size_t frames = 0;
    std::size_t bytes = 0;
    for (const std::string& host : aHosts) {
      const LinkPtr link = this->LinkTo(host);
      if (!link) {
        continue;
      }
      const EncodedFrame& encoded = link->readsCompressed ? compressed : plain;
      if (this->Enqueue(link, encoded)) {
        ++frames;
        bytes += encoded->size();
      }
    }
    this->TellTraffic(aFrame, TrafficDirection::kSent, frames, bytes);
  }

private:
  // The connection that this host sends over; null if there is none.
  LinkPtr LinkTo(const std::string& aHost) const
  {
    const auto found = this->links.find(aHost);
    return found == this->links.end() || found->second.empty()
             ? nullptr
             : found->second.front();
  }

  void TellTraffic(const protocol::Frame& aFrame, TrafficDirection aDirection,
                   std::size_t aFrames, std::size_t aBytes) const
  {
    if (this->options.onTraffic) {
      this->options.onTraffic(aFrame, aDirection, aFrames, aBytes);
    }
  }

  bool Enqueue(const LinkPtr& aLink, EncodedFrame aFrame)
  {
    if (aLink->queuedBytes > this->options.maxQueuedBytes) {
      return false;
    }
    aLink->queuedBytes += aFrame->size();
    aLink->queue.push_back(std::move(aFrame));
    if (!aLink->writing) {
      aLink->writing = true;
      asio::co_spawn(this->context, WriteQueue(aLink), asio::detached);
    }
    return true;
  }

  static asio::awaitable<void> WriteQueue(LinkPtr aLink)
  {
    while (!aLink->queue.empty()) {
      const std::vector<EncodedFrame> batch = std::exchange(aLink->queue, {});
      aLink->queuedBytes = 0;
      std::vector<asio::const_buffer> buffers;
      buffers.reserve(batch.size());
      for (const EncodedFrame& frame : batch) {
        buffers.push_back(asio::buffer(*frame));
      }
      const auto [error, written] =
        co_await asio::async_write(aLink->socket, buffers, kAwait);
      if (error) {
        CloseSocket(*aLink);
        break;
      }
    }
    aLink->writing = false;
  }

  asio::awaitable<void> Accept([[maybe_unused]] std::shared_ptr<State> aSelf)
  {
    asio::steady_timer pause(this->context);
    while (!this->stopping) {
      auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
      if (error) {
        pause.expires_after(kAcceptPause);
        co_await pause.async_wait(kAwait);
        continue;
      }
      this->Run(std::make_shared<Link>(std::move(socket)));
    }
  }

  void Dial(const std::string& aHost)
  {
    if (this->stopping || !this->addresses.contains(aHost) ||
        !this->dialling.try_emplace(aHost, true).second) {
      return;
    }
    asio::co_spawn(this->context,
                   this->DialUntilUp(this->shared_from_this(), aHost),
                   asio::detached);
  }

  asio::awaitable<void> DialUntilUp(
    [[maybe_unused]] std::shared_ptr<State> aSelf, std::string aHost)
  {
    asio::steady_timer pause(this->context);
    while (!this->stopping && !this->links.contains(aHost)) {
      const auto address = this->addresses.find(aHost);
      if (address == this->addresses.end()) {
        break;
      }
      if (co_await this->DialOnce(address->second)) {
        // Its Hello makes it the host's link; until then no second dial.
        pause.expires_after(this->options.connectTimeout);
      } else {
        pause.expires_after(this->options.redialPause);
      }
      co_await pause.async_wait(kAwait);
    }
    this->dialling.erase(aHost);
  }

  asio::awaitable<bool> DialOnce(std::string aAddress)
  {
    const auto endpoint = ParseAddress(aAddress);
    if (!endpoint) {
      co_return false;
    }
    auto link = std::make_shared<Link>(tcp::socket(this->context));
    boost::system::error_code bindError;
    link->socket.open(endpoint->protocol(), bindError);
    if (!bindError) {
      link->socket.bind(this->local, bindError);
    }
    asio::steady_timer timeout(this->context);
    timeout.expires_after(this->options.connectTimeout);
    timeout.async_wait([link](const boost::system::error_code& aError) {
      if (!aError) {
        CloseSocket(*link);
      }
    });
    const auto [error] = co_await link->socket.async_connect(*endpoint, kAwait);
    timeout.cancel();
    if (error || bindError) {
      co_return false;
    }
    this->Run(link);
    co_return true;
  }

  void Run(const LinkPtr& aLink)
  {
    boost::system::error_code ignored;
    aLink->socket.set_option(tcp::no_delay(true), ignored);
    protocol::Frame frame;
    frame.__set_hello(this->options.hello);
    static_cast<void>(this->Enqueue(aLink, std::make_shared<const std::string>(
                                             protocol::EncodeFrame(frame))));
    asio::co_spawn(this->context, this->Read(this->shared_from_this(), aLink),
                   asio::detached);
  }

  asio::awaitable<void> Read([[maybe_unused]] std::shared_ptr<State> aSelf,
                             LinkPtr aLink)
  {
    std::array<char, protocol::kLengthBytes> length{};
    std::string body;
    for (;;) {
      const auto [lengthError, lengthBytes] =
        co_await asio::async_read(aLink->socket, asio::buffer(length), kAwait);
      if (lengthError) {
        break;
      }
      const std::uint32_t size =
        protocol::DecodeLength({ length.data(), length.size() });
      if (size > protocol::kMaxFrameBytes) {
        break;
      }
      body.resize(size);
      const auto [bodyError, bodyBytes] =
        co_await asio::async_read(aLink->socket, asio::buffer(body), kAwait);
      if (bodyError) {
        break;
      }
      Result<protocol::Frame> frame = protocol::DecodeFrame(body);
      if (!frame) {
        break;
      }
      this->TellTraffic(*frame, TrafficDirection::kReceived, 1,
                        protocol::kLengthBytes + body.size());
      if (!this->Take(aLink, std::move(*frame))) {
        break;
      }
    }
    this->Drop(aLink);
  }

  // False where the connection has to be closed.
  bool Take(const LinkPtr& aLink, protocol::Frame aFrame)
  {
    if (aLink->peer) {
      this->options.onFrame(*aLink->peer, std::move(aFrame));
      return true;
    }
    if (!aFrame.__isset.hello ||
        (this->options.accept && !this->options.accept(aFrame.hello))) {
      return false;
    }
    aLink->peer = aFrame.hello.sender;
    aLink->readsCompressed = aFrame.hello.readsCompressed;
    this->Adopt(aLink);
    return true;
  }

  // Where both sides connected at once there are two connections. Each side
  // goes on sending over the one that it had first: frames over two would
  // overtake each other, and the pieces of a body come out of order.
  void Adopt(const LinkPtr& aLink)
  {
    std::vector<LinkPtr>& all = this->links[aLink->peer->host];
    const bool restarted =
      !all.empty() && aLink->peer->incarnation > all.front()->peer->incarnation;
    if (restarted) {
      const std::vector<LinkPtr> old = std::exchange(all, {});
      std::ranges::for_each(old,
                            [](const LinkPtr& aOld) { CloseSocket(*aOld); });
      this->options.onUp(*old.front()->peer, false);
    }
    all.push_back(aLink);
    if (all.size() == 1) {
      this->options.onUp(*aLink->peer, true);
    }
  }

  void Drop(const LinkPtr& aLink)
  {
    CloseSocket(*aLink);
    if (!aLink->peer) {
      return;
    }
    const std::string host = aLink->peer->host;
    const auto found = this->links.find(host);
    if (found == this->links.end()) {
      return;
    }
    std::vector<LinkPtr>& all = found->second;
    const bool wasInUse = !all.empty() && all.front() == aLink;
    if (std::erase(all, aLink) > 0 && this->options.onLinkLost) {
      this->options.onLinkLost(*aLink->peer);
    }
    if (!wasInUse) {
      return;
    }
    // What was on its way over it is lost, also where another one is left.
    this->options.onUp(*aLink->peer, false);
    if (all.empty()) {
      this->links.erase(found);
      this->Dial(host);
    } else {
      this->options.onUp(*all.front()->peer, true);
    }
  }

  asio::io_context& context;
  const Options options;
  tcp::acceptor acceptor;
  tcp::endpoint local;
  // By host; empty only while the hooks are told of a connection's end. Send
  // uses the first.
  std::unordered_map<std::string, std::vector<LinkPtr>> links;
  std::unordered_map<std::string, std::string> addresses;
  std::unordered_map<std::string, bool> dialling;
  bool stopping = false;
};

PeerNetwork::PeerNetwork(std::shared_ptr<State> aState)
  : state(std::move(aState))
{
}

PeerNetwork::~PeerNetwork()
{
  this->state->Stop();
}

Result<std::unique_ptr<PeerNetwork>> PeerNetwork::Listen(
  asio::io_context& aContext, Options aOptions)
{
  auto state = std::make_shared<State>(aContext, std::move(aOptions));
  if (const std::error_code error = state->Open()) {
    return error;
  }
  state->Start();
  return std::unique_ptr<PeerNetwork>(new PeerNetwork(std::move(state)));
}

void PeerNetwork::SetAddress(const std::string& aHost,
                             const std::string& aAddress)
{
  this->state->SetAddress(aHost, aAddress);
}

void PeerNetwork::Forget(const std::string& aHost)
{
  this->state->Forget(aHost);
}

void PeerNetwork::Close(const std::string& aHost)
{
  this->state->CloseLink(aHost);
}

void PeerNetwork::StopDialling(const std::string& aHost)
{
  this->state->StopDialling(aHost);
}

void PeerNetwork::SendToAll(const std::vector<std::string>& aHosts,
                            const protocol::Frame& aFrame)
{
  this->state->SendToAll(aHosts, aFrame);
}

bool PeerNetwork::Send(const std::string& aHost, const protocol::Frame& aFrame)
{
  return this->state->Send(aHost, aFrame);
}

} // namespace kumquat::transport
