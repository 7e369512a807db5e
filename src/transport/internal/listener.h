// Opening of a listening socket, the same for callers and for peers.

#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <system_error>

namespace kumquat::transport {

// After a failed accept, out of descriptors mostly: the next try has to wait
// for one.
constexpr std::chrono::milliseconds kAcceptPause{ 10 };

std::error_code OpenListener(boost::asio::ip::tcp::acceptor& aAcceptor,
                             const boost::asio::ip::tcp::endpoint& aEndpoint);

} // namespace kumquat::transport
