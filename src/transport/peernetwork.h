// Long-lived connections between hosts, each carrying many frames at once. A
// pair shares one: whoever has something to say first connects, and the other
// answers and asks over the same connection.

#pragma once

#include "framework/result.h"
#include "protocol/gen/peer_types.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace kumquat::transport {

enum class TrafficDirection
{
  kSent,
  kReceived,
};

class PeerNetwork
{
public:
  struct Options
  {
    // Where peers connect to, as "ip:port"; connections to them leave from the
    // same IP number.
    std::string address;
    protocol::Hello hello;
    // Frames that wait in one connection, in bytes; beyond it Send refuses.
    std::size_t maxQueuedBytes = 16U << 20U;
    std::chrono::milliseconds connectTimeout{ 500 };
    // From a failed connection to the next try.
    std::chrono::milliseconds redialPause{ 100 };
    // All on the network's thread.
    std::function<void(const protocol::HostRef&, protocol::Frame)> onFrame;
    std::function<void(const protocol::HostRef&, bool)> onUp;
    // Told when a connection to the peer has ended, also one over which this
    // host did not send: what the peer sent over it may be lost. Runs before
    // onUp; may be empty.
    std::function<void(const protocol::HostRef&)> onLinkLost;
    // Told of frames that were received or queued for sending, with their
    // number and bytes; may be empty.
    std::function<void(const protocol::Frame&, TrafficDirection,
                       std::size_t aFrames, std::size_t aBytes)>
      onTraffic;
    // Whether this peer may speak with us at all.
    std::function<bool(const protocol::Hello&)> accept;
  };

  static Result<std::unique_ptr<PeerNetwork>> Listen(
    boost::asio::io_context& aContext, Options aOptions);

  ~PeerNetwork();
  PeerNetwork(const PeerNetwork&) = delete;
  PeerNetwork& operator=(const PeerNetwork&) = delete;

  // Where a host can be reached; a connection is made when first needed and
  // made again while the address is known.
  void SetAddress(const std::string& aHost, const std::string& aAddress);
  void Forget(const std::string& aHost);
  // No connection is made any more; one that is there stays while the other
  // side wants it.
  void StopDialling(const std::string& aHost);
  // Breaks the connection; it is made again while the address is known.
  void Close(const std::string& aHost);

  // False where the frame was surely not sent: no connection, or its queue is
  // full. True does not mean that it arrives.
  [[nodiscard]] bool Send(const std::string& aHost,
                          const protocol::Frame& aFrame);
  // The same frame to each, encoded once; those without a connection get none.
  void SendToAll(const std::vector<std::string>& aHosts,
                 const protocol::Frame& aFrame);

private:
  class State;
  explicit PeerNetwork(std::shared_ptr<State> aState);

  std::shared_ptr<State> state;
};

} // namespace kumquat::transport
