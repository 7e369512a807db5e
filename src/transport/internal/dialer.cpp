// The attempts of a dialer, as coroutines.

#include "transport/internal/dialer.h"

#include "transport/address.h"
#include "transport/http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/http.hpp>

#include <netinet/tcp.h>

#include <algorithm>
#include <set>
#include <utility>

namespace kumquat::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// From connecting to a relay to its answer, which comes when the relay has
// connected to the server.
constexpr std::chrono::milliseconds kRelayTimeout{ 300 };
// Relays that are tried for one connection.
constexpr int kMaxRelays = 2;

TimePoint Now()
{
  return std::chrono::steady_clock::now();
}

// Whether a relay's refusal concerns the server and not the relay.
bool IsOfServer(http::status aStatus)
{
  return aStatus == http::status::bad_gateway;
}

} // namespace

void SetUnacknowledgedTimeout(tcp::socket& aSocket,
                              std::chrono::milliseconds aTime)
{
  if (aTime.count() == 0) {
    return;
  }
  const auto timeout = static_cast<unsigned>(aTime.count());
  const int on = 1;
  const int seconds = 1;
  const int native = aSocket.native_handle();
  setsockopt(native, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
  // While nothing is sent only probes show it.
  setsockopt(native, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(native, IPPROTO_TCP, TCP_KEEPIDLE, &seconds, sizeof(seconds));
  setsockopt(native, IPPROTO_TCP, TCP_KEEPINTVL, &seconds, sizeof(seconds));
}

// The attempts for one connection. Each of them holds it; the call that waits
// for the first to succeed may be over before they are.
struct Dialer::Race
{
  Race(asio::io_context& aContext, std::string aAddress)
    : address(std::move(aAddress))
    , changed(aContext)
    , relayDelay(aContext)
  {
  }

  const std::string address;
  tcp::endpoint endpoint;
  ConnectionPtr connection;
  int running = 0;
  bool isDirectTried = false;
  // The call has its connection, or waits no longer.
  bool isOver = false;
  // Cancelled when an attempt ends.
  asio::steady_timer changed;
  // Cancelled when the direct attempt has failed.
  asio::steady_timer relayDelay;
};

Dialer::Dialer(asio::io_context& aContext, Options aOptions)
  : context(aContext)
  , options(std::move(aOptions))
{
}

asio::awaitable<Result<ConnectionPtr>> Dialer::Dial(const std::string& aAddress,
                                                    TimePoint aDeadline)
{
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    co_return make_error_code(TransportError::kUnreachable);
  }
  if (!this->options.hooks) {
    co_return co_await this->Connect(
      *endpoint, std::min(aDeadline, Now() + this->options.connectTimeout));
  }
  const auto race = std::make_shared<Race>(this->context, aAddress);
  race->endpoint = *endpoint;
  const DialPlan plan = this->options.hooks->plan(race->address);
  if (plan.direct) {
    this->StartDirect(race);
  }
  if (plan.relayAfter) {
    ++race->running;
    asio::co_spawn(this->context,
                   this->shared_from_this()->TryRelays(race, *plan.relayAfter),
                   asio::detached);
  }
  while (!race->connection && race->running > 0 && Now() < aDeadline) {
    race->changed.expires_at(aDeadline);
    co_await race->changed.async_wait(kAwait);
  }
  race->isOver = true;
  if (!race->connection) {
    co_return make_error_code(TransportError::kUnreachable);
  }
  co_return std::move(race->connection);
}

void Dialer::Probe(const std::string& aAddress)
{
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    return;
  }
  const auto race = std::make_shared<Race>(this->context, aAddress);
  race->endpoint = *endpoint;
  race->isOver = true;
  this->StartDirect(race);
}

void Dialer::StartDirect(const RacePtr& aRace)
{
  ++aRace->running;
  aRace->isDirectTried = true;
  asio::co_spawn(this->context, this->TryDirect(aRace), asio::detached);
}

asio::awaitable<void> Dialer::TryDirect(RacePtr aRace)
{
  const auto self = this->shared_from_this();
  const TimePoint startedAt = Now();
  auto connected = co_await this->Connect(
    aRace->endpoint, startedAt + this->options.connectTimeout);
  const DialOutcome outcome = connected ? DialOutcome::kDirect
                              : connected.error() == TransportError::kTimeout
                                ? DialOutcome::kDirectSilent
                                : DialOutcome::kDirectRefused;
  this->options.hooks->onOutcome(aRace->address, outcome, startedAt);
  if (connected && !aRace->isOver && !aRace->connection) {
    aRace->connection = std::move(*connected);
  } else if (connected) {
    this->options.onSpare(aRace->address, std::move(*connected));
  }
  --aRace->running;
  aRace->changed.cancel();
  aRace->relayDelay.cancel();
}

asio::awaitable<void> Dialer::TryRelays(RacePtr aRace,
                                        std::chrono::milliseconds aDelay)
{
  const auto self = this->shared_from_this();
  if (aDelay.count() > 0) {
    aRace->relayDelay.expires_after(aDelay);
    co_await aRace->relayDelay.async_wait(kAwait);
    // After a turn that came late, the direct connection may be there and only
    // wait to be handled.
    co_await asio::post(this->context, asio::use_awaitable);
  }
  std::set<std::string> tried;
  for (int i = 0; i < kMaxRelays && !aRace->connection && !aRace->isOver; ++i) {
    const auto peer = this->options.hooks->chooseRelay(tried);
    if (!peer) {
      break;
    }
    tried.insert(peer->host);
    ConnectionPtr connection = co_await this->TryRelay(aRace->address, *peer);
    if (!connection) {
      continue;
    }
    this->options.hooks->onOutcome(aRace->address, DialOutcome::kRelayed,
                                   Now());
    if (!aRace->connection && !aRace->isOver) {
      aRace->connection = std::move(connection);
    }
  }
  const bool isOpen = !aRace->connection && !aRace->isOver;
  if (isOpen && !aRace->isDirectTried) {
    this->StartDirect(aRace);
  }
  --aRace->running;
  aRace->changed.cancel();
}

// Null if the peer could not be reached or has not connected.
asio::awaitable<ConnectionPtr> Dialer::TryRelay(const std::string& aAddress,
                                                const RelayPeer& aPeer)
{
  const TimePoint deadline = Now() + kRelayTimeout;
  const auto endpoint = ParseAddress(aPeer.address);
  if (!endpoint) {
    this->options.hooks->onRelayLost(aPeer.host);
    co_return nullptr;
  }
  Result<ConnectionPtr> connected = co_await this->Connect(*endpoint, deadline);
  if (!connected) {
    this->options.hooks->onRelayLost(aPeer.host);
    co_return nullptr;
  }
  const ConnectionPtr connection = std::move(*connected);
  connection->relay = aPeer.host;
  connection->stream.expires_at(deadline);
  http::request<http::empty_body> request(http::verb::connect, aAddress, 11);
  request.set(http::field::host, aAddress);
  const auto [sendError, sent] =
    co_await http::async_write(connection->stream, request, kAwait);
  http::response_parser<http::empty_body> parser;
  // The answer to CONNECT has no body, whatever its head says.
  parser.skip(true);
  if (!sendError) {
    const auto [readError, read] = co_await http::async_read_header(
      connection->stream, connection->buffer, parser, kAwait);
    const http::status status = parser.get().result();
    const bool isOpen = !readError && status == http::status::ok;
    // Servers send nothing before a request.
    if (isOpen && connection->buffer.size() == 0) {
      connection->stream.expires_never();
      connection->heardAt = Now();
      connection->connectedAt = connection->heardAt;
      co_return connection;
    }
    if (!readError && IsOfServer(status)) {
      co_return nullptr;
    }
  }
  this->options.hooks->onRelayLost(aPeer.host);
  co_return nullptr;
}

// kTimeout if nothing came back.
asio::awaitable<Result<ConnectionPtr>> Dialer::Connect(tcp::endpoint aEndpoint,
                                                       TimePoint aDeadline)
{
  auto connection = std::make_shared<Connection>(this->context);
  if (!this->BindLocal(*connection, aEndpoint)) {
    co_return make_error_code(TransportError::kUnreachable);
  }
  connection->stream.expires_at(aDeadline);
  const auto [error] =
    co_await connection->stream.async_connect(aEndpoint, kAwait);
  if (error) {
    co_return make_error_code(error == beast::error::timeout ||
                                  error == asio::error::timed_out
                                ? TransportError::kTimeout
                                : TransportError::kUnreachable);
  }
  connection->stream.expires_never();
  connection->heardAt = Now();
  connection->connectedAt = connection->heardAt;
  beast::error_code ignored;
  connection->stream.socket().set_option(tcp::no_delay(true), ignored);
  SetUnacknowledgedTimeout(connection->stream.socket(),
                           this->options.unacknowledged);
  co_return connection;
}

bool Dialer::BindLocal(Connection& aConnection,
                       const tcp::endpoint& aTarget) const
{
  if (this->options.localAddress.empty()) {
    return true;
  }
  beast::error_code error;
  const auto address =
    asio::ip::make_address(this->options.localAddress, error);
  tcp::socket& socket = aConnection.stream.socket();
  if (!error) {
    socket.open(aTarget.protocol(), error);
  }
  if (!error) {
    socket.bind(tcp::endpoint(address, 0), error);
  }
  return !error;
}

} // namespace kumquat::transport
