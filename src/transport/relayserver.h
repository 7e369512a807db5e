// Relays connections of peers to servers that they have lost the link to: a
// peer asks with HTTP's CONNECT, and from the answer on bytes pass unchanged in
// both directions. Bounded in connections, bytes and time. It reads no
// requests: whether and when one is sent is for the peer to decide.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kumquat::transport {

// Why a relay was refused.
enum class RelayRefusal
{
  kMalformed,
  // This host doesn't know the server, or has no link to it itself.
  kUnknownServer,
  kUnreachableServer,
  // There are as many relays as there may be, in all or for the peer.
  kNoRoom,
  kStopping,
};

// The name of a refusal in metrics.
std::string_view RelayRefusalName(RelayRefusal aRefusal);

class RelayServer
{
public:
  struct Options
  {
    std::string address;
    // Where set, connections to servers leave from this IP number.
    std::string localAddress;
    std::size_t maxRelays = 256;
    // Of one peer, by its IP number.
    std::size_t maxRelaysOfPeer = 64;
    std::chrono::milliseconds connectTimeout{ 150 };
    // Like HttpClient::Options::unacknowledged, for both sides.
    std::chrono::milliseconds unacknowledged{ 600 };
    // Without bytes in either direction.
    std::chrono::milliseconds idleTimeout{ 30'000 };
    // Must include the time during which the host was suspended.
    Clock clock;
    // Whether a server's address may be connected to.
    std::function<bool(const std::string&)> mayConnect;
    std::function<void()> onOpened;
    std::function<void(RelayRefusal)> onRefused;
  };

  static Result<std::unique_ptr<RelayServer>> Listen(
    boost::asio::io_context& aContext, Options aOptions);

  ~RelayServer();
  RelayServer(const RelayServer&) = delete;
  RelayServer& operator=(const RelayServer&) = delete;

  // Must be called several times a second. After a longer pause of the host,
  // the relays end with what waits in them, as a request or a lease command
  // from before must not go out.
  void OnTimer();
  // Opens no more relays. Those that are open go on.
  void StopAccepting();
  // Whether any relay to the server's address is open.
  bool HasRelayTo(const std::string& aAddress) const;
  // Relays that are open, and those of them with an exchange under way; from
  // any thread.
  std::size_t Relays() const;
  std::size_t Busy() const;

private:
  class State;
  class Relay;
  explicit RelayServer(std::shared_ptr<State> aState);

  std::shared_ptr<State> state;
};

} // namespace kumquat::transport
