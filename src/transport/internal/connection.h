// A client's connection to a server.

#pragma once

#include "framework/clock.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace kumquat::transport {

struct Connection
{
  static constexpr std::size_t kMaxBufferBytes = 128U << 10U;

  explicit Connection(boost::asio::io_context& aContext)
    : stream(aContext)
  {
  }

  boost::beast::tcp_stream stream;
  // Counted from 1 by the client, once a request is sent over it.
  std::uint64_t number = 0;
  // What was read and not parsed yet. It holds a head, a chunk's header or the
  // trailers as a whole.
  boost::beast::flat_buffer buffer{ kMaxBufferBytes };
  // The peer that relays the connection; empty for a direct one.
  std::string relay;
  // The server closes it when it was idle until then.
  TimePoint usableUntil = TimePoint::max();
  // When it was there, its relay included.
  TimePoint connectedAt;
  // When the current request was sent, and when bytes last came.
  TimePoint sentAt;
  TimePoint heardAt;
  // What was sent has not been acknowledged for too long.
  bool isSilent = false;
};

using ConnectionPtr = std::shared_ptr<Connection>;

// Ends the connection when sent bytes stay unacknowledged for that long, or a
// probe on an idle connection does. 0: the system's default.
void SetUnacknowledgedTimeout(boost::asio::ip::tcp::socket& aSocket,
                              std::chrono::milliseconds aTime);

} // namespace kumquat::transport
