// Connects to servers, directly and through relays, as DialHooks decide. The
// first of the ways that succeeds is used (as in RFC 8305, "Happy Eyeballs").

#pragma once

#include "framework/result.h"
#include "transport/dial.h"
#include "transport/internal/connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace kumquat::transport {

class Dialer : public std::enable_shared_from_this<Dialer>
{
public:
  struct Options
  {
    std::chrono::milliseconds connectTimeout{ 1000 };
    std::chrono::milliseconds unacknowledged{ 0 };
    // Where set, connections leave from this IP number.
    std::string localAddress;
    // May be null: all connections are direct.
    std::shared_ptr<const DialHooks> hooks;
    // Takes a connection that was made too late for the call that asked.
    std::function<void(const std::string& aAddress, ConnectionPtr)> onSpare;
  };

  Dialer(boost::asio::io_context& aContext, Options aOptions);

  // Must be called on the context's thread.
  boost::asio::awaitable<Result<ConnectionPtr>> Dial(
    const std::string& aAddress, TimePoint aDeadline);
  // Tries to connect directly; see Options::onSpare.
  void Probe(const std::string& aAddress);

private:
  struct Race;
  using RacePtr = std::shared_ptr<Race>;

  void StartDirect(const RacePtr& aRace);
  boost::asio::awaitable<void> TryDirect(RacePtr aRace);
  boost::asio::awaitable<void> TryRelays(RacePtr aRace,
                                         std::chrono::milliseconds aDelay);
  boost::asio::awaitable<ConnectionPtr> TryRelay(const std::string& aAddress,
                                                 const RelayPeer& aPeer);
  boost::asio::awaitable<Result<ConnectionPtr>> Connect(
    boost::asio::ip::tcp::endpoint aEndpoint, TimePoint aDeadline);
  bool BindLocal(Connection& aConnection,
                 const boost::asio::ip::tcp::endpoint& aTarget) const;

  boost::asio::io_context& context;
  const Options options;
};

} // namespace kumquat::transport
