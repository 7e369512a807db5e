// Listening sockets.

#include "transport/internal/listener.h"

namespace kumquat::transport {

std::error_code OpenListener(boost::asio::ip::tcp::acceptor& aAcceptor,
                             const boost::asio::ip::tcp::endpoint& aEndpoint)
{
  using boost::asio::socket_base;
  boost::system::error_code error;
  aAcceptor.open(aEndpoint.protocol(), error);
  if (!error) {
    aAcceptor.set_option(socket_base::reuse_address(true), error);
  }
  if (!error) {
    aAcceptor.bind(aEndpoint, error);
  }
  if (!error) {
    aAcceptor.listen(socket_base::max_listen_connections, error);
  }
  return error;
}

} // namespace kumquat::transport
