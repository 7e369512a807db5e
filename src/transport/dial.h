// How a client connects to a server: directly, or through a peer that relays
// the connection. What is chosen is decided elsewhere and comes in by hooks.

#pragma once

#include "framework/clock.h"

#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace kumquat::transport {

// Which ways are tried for one connection. The first that succeeds is used.
struct DialPlan
{
  bool direct = true;
  // A relay is tried after this time without a direct connection, or as soon as
  // the direct attempt has failed. Empty: no relay.
  std::optional<std::chrono::milliseconds> relayAfter;
};

// A peer that relays connections, and the address at which it does.
struct RelayPeer
{
  std::string host;
  std::string address;
};

enum class DialOutcome
{
  kDirect,
  // The server's address refused the connection.
  kDirectRefused,
  // Nothing came back: no answer to the attempt, or no acknowledgement on a
  // connection that was in use.
  kDirectSilent,
  kRelayed,
};

struct DialHooks
{
  std::function<DialPlan(const std::string& aAddress)> plan;
  // Chooses a peer that is not in aTried; empty if there is none.
  std::function<std::optional<RelayPeer>(const std::set<std::string>& aTried)>
    chooseRelay;
  // aSince: when the attempt began, or the unacknowledged bytes were sent.
  std::function<void(const std::string& aAddress, DialOutcome aOutcome,
                     TimePoint aSince)>
    onOutcome;
  // The peer could not be reached, has no room, or went silent.
  std::function<void(const std::string& aHost)> onRelayLost;
  // Whether an idle connection may carry another request. aRelay is empty for a
  // direct one; aHeardAt is when bytes last came on it.
  std::function<bool(const std::string& aAddress, const std::string& aRelay,
                     TimePoint aHeardAt)>
    mayReuse;
  // Whether to try the address directly as well, while relayed connections to
  // it are in use. Counts the attempt as made.
  std::function<bool(const std::string& aAddress)> takeProbe;
};

} // namespace kumquat::transport
