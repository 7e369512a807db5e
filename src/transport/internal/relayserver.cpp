// Relays as coroutines: one opens a relay, two pass bytes on.

#include "transport/relayserver.h"

#include "transport/address.h"
#include "transport/internal/connection.h"
#include "transport/internal/listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kumquat::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using std::chrono::milliseconds;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Bytes that a relay holds in each direction.
constexpr std::size_t kBufferBytes = 8U << 10U;
constexpr std::size_t kMaxHeaderBytes = 1U << 10U;
constexpr milliseconds kOpeningTimeout{ 1000 };
// Connections, open relays included, as a multiple of the relays that may be
// open: more are closed at once.
constexpr std::size_t kMaxOpeningFactor = 2;
// After a pause of this length, what waits in the relays may be outdated.
constexpr milliseconds kLongestPause{ 700 };
// A response whose bytes pause for longer has ended.
constexpr milliseconds kResponsePause{ 300 };

struct RefusalEntry
{
  RelayRefusal refusal;
  std::string_view name;
  http::status status;
};

constexpr std::array<RefusalEntry, 5> kRefusals{ {
  { RelayRefusal::kMalformed, "malformed", http::status::bad_request },
  { RelayRefusal::kUnknownServer, "unknown-server", http::status::bad_gateway },
  { RelayRefusal::kUnreachableServer, "unreachable-server",
    http::status::bad_gateway },
  { RelayRefusal::kNoRoom, "no-room", http::status::service_unavailable },
  { RelayRefusal::kStopping, "stopping", http::status::service_unavailable },
} };

const RefusalEntry& EntryOf(RelayRefusal aRefusal)
{
  return *std::ranges::find(kRefusals, aRefusal, &RefusalEntry::refusal);
}

// From now on the connection is reset when it is closed, also by the system for
// a process that was killed: what was passed on must not look complete.
void ResetOnClose(tcp::socket& aSocket)
{
  beast::error_code ignored;
  aSocket.set_option(asio::socket_base::linger(true, 0), ignored);
}

void Reset(tcp::socket& aSocket)
{
  ResetOnClose(aSocket);
  beast::error_code ignored;
  aSocket.close(ignored);
}

} // namespace

std::string_view RelayRefusalName(RelayRefusal aRefusal)
{
  return EntryOf(aRefusal).name;
}

class RelayServer::State : public std::enable_shared_from_this<State>
{
public:
  State(asio::io_context& aContext, Options aOptions)
    : context(aContext)
    , options(std::move(aOptions))
    , acceptor(aContext)
    , pause(aContext)
    , aliveAt(this->options.clock())
  {
  }

  std::error_code Open()
  {
    const auto endpoint = ParseAddress(this->options.address);
    if (!endpoint) {
      return endpoint.error();
    }
    return OpenListener(this->acceptor, *endpoint);
  }

  void Start()
  {
    asio::co_spawn(this->context, this->Accept(this->shared_from_this()),
                   asio::detached);
  }

  void OnTimer();
  // Notes that the host runs. Returns false, and ends all relays, if it has
  // been paused.
  bool CheckPause();
  // Takes one of the peer's places; false if there is none.
  bool TakePlace(const std::string& aPeer);
  void FreePlace(const std::string& aPeer);
  void Insert(Relay* aRelay);
  void Erase(Relay* aRelay);
  void EndAll();

  asio::io_context& context;
  const Options options;
  bool isStopping = false;
  std::set<Relay*> relays;
  // Places that are taken, in all and by the peers' IP numbers.
  std::size_t placesTaken = 0;
  std::map<std::string, std::size_t> placesOfPeer;
  std::atomic<std::size_t> openCount{ 0 };
  std::atomic<std::size_t> busyCount{ 0 };
  tcp::acceptor acceptor;

private:
  asio::awaitable<void> Accept(std::shared_ptr<State> aSelf);
  std::vector<std::shared_ptr<Relay>> Held() const;

  asio::steady_timer pause;
  TimePoint aliveAt;
};

// One peer's connection, and from its opening on that to the server.
class RelayServer::Relay : public std::enable_shared_from_this<Relay>
{
public:
  Relay(std::shared_ptr<State> aState, tcp::socket aPeer)
    : state(std::move(aState))
    , peer(std::move(aPeer))
    , server(this->state->context)
    , deadline(this->state->context)
    , movedAt(this->state->options.clock())
  {
    beast::error_code ignored;
    this->peerIp = this->peer.remote_endpoint(ignored).address().to_string();
    this->state->Insert(this);
  }

  ~Relay()
  {
    if (this->hasPlace) {
      this->state->FreePlace(this->peerIp);
    }
    this->state->Erase(this);
  }

  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  asio::awaitable<void> Run([[maybe_unused]] std::shared_ptr<Relay> aSelf)
  {
    this->LimitTime(kOpeningTimeout);
    beast::flat_buffer buffer(kMaxHeaderBytes);
    http::request_parser<http::empty_body> parser;
    const auto [error, bytes] =
      co_await http::async_read_header(this->peer, buffer, parser, kAwait);
    if (error) {
      co_return;
    }
    this->address = std::string(parser.get().target());
    if (const auto refusal = this->Check(parser.get(), buffer.size())) {
      co_await this->Refuse(*refusal);
      co_return;
    }
    if (!co_await this->ConnectTo(this->address)) {
      co_await this->Refuse(RelayRefusal::kUnreachableServer);
      co_return;
    }
    ResetOnClose(this->peer);
    if (!co_await this->Reply(http::status::ok)) {
      this->End();
      co_return;
    }
    this->deadline.cancel();
    this->state->options.onOpened();
    this->isOpen = true;
    this->movedAt = this->state->options.clock();
    asio::co_spawn(this->state->context,
                   this->PassRequests(this->shared_from_this()),
                   asio::detached);
    co_await this->PassResponses();
  }

  void End()
  {
    Reset(this->peer);
    Reset(this->server);
  }

  bool IsOpenTo(const std::string& aAddress) const
  {
    return this->isOpen && this->address == aAddress;
  }

  bool IsIdle(TimePoint aNow) const
  {
    return aNow - this->movedAt >= this->state->options.idleTimeout;
  }

  // Whether a request waits for its response, or a response is under way.
  bool IsBusy(TimePoint aNow) const
  {
    return this->isOpen &&
           (this->isResponseDue || aNow - this->movedAt < kResponsePause);
  }

private:
  using Buffer = std::array<char, kBufferBytes>;

  // Ends the opening if it takes too long.
  void LimitTime(milliseconds aTime)
  {
    this->deadline.expires_after(aTime);
    this->deadline.async_wait(
      [self = this->weak_from_this()](const beast::error_code& aError) {
        const auto relay = self.lock();
        if (!aError && relay) {
          relay->End();
        }
      });
  }

  std::optional<RelayRefusal> Check(
    const http::request<http::empty_body>& aRequest, std::size_t aExtraBytes)
  {
    if (aRequest.method() != http::verb::connect || aExtraBytes > 0) {
      return RelayRefusal::kMalformed;
    }
    if (this->state->isStopping) {
      return RelayRefusal::kStopping;
    }
    if (!this->state->options.mayConnect(std::string(aRequest.target()))) {
      return RelayRefusal::kUnknownServer;
    }
    this->hasPlace = this->state->TakePlace(this->peerIp);
    return this->hasPlace ? std::nullopt : std::optional(RelayRefusal::kNoRoom);
  }

  asio::awaitable<bool> ConnectTo(const std::string& aAddress)
  {
    const auto endpoint = ParseAddress(aAddress);
    if (!endpoint) {
      co_return false;
    }
    beast::error_code failure;
    this->server.open(endpoint->protocol(), failure);
    const auto local =
      asio::ip::make_address(this->state->options.localAddress, failure);
    if (!this->state->options.localAddress.empty() && !failure) {
      this->server.bind(tcp::endpoint(local, 0), failure);
    }
    asio::steady_timer timer(this->state->context,
                             this->state->options.connectTimeout);
    timer.async_wait(
      [self = this->weak_from_this()](const beast::error_code& aError) {
        const auto relay = self.lock();
        if (!aError && relay) {
          beast::error_code ignored;
          relay->server.close(ignored);
        }
      });
    const auto [error] = co_await this->server.async_connect(*endpoint, kAwait);
    timer.cancel();
    if (error || !this->server.is_open()) {
      co_return false;
    }
    for (tcp::socket* socket : { &this->peer, &this->server }) {
      beast::error_code ignored;
      socket->set_option(tcp::no_delay(true), ignored);
      SetUnacknowledgedTimeout(*socket, this->state->options.unacknowledged);
    }
    co_return true;
  }

  asio::awaitable<bool> Reply(http::status aStatus)
  {
    http::response<http::empty_body> response(aStatus, 11);
    if (aStatus != http::status::ok) {
      response.prepare_payload();
      response.keep_alive(false);
    }
    const auto [error, bytes] =
      co_await http::async_write(this->peer, response, kAwait);
    co_return !error;
  }

  asio::awaitable<void> Refuse(RelayRefusal aRefusal)
  {
    this->state->options.onRefused(aRefusal);
    co_await this->Reply(EntryOf(aRefusal).status);
    beast::error_code ignored;
    this->peer.shutdown(tcp::socket::shutdown_both, ignored);
  }

  // Whether the peer still wants what it has sent: its close may be right
  // behind.
  bool IsPeerThere()
  {
    beast::error_code error;
    this->peer.non_blocking(true, error);
    char byte = 0;
    this->peer.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                       error);
    return !error || error == asio::error::would_block;
  }

  asio::awaitable<void> PassRequests(
    [[maybe_unused]] std::shared_ptr<Relay> aSelf)
  {
    Buffer buffer{};
    while (true) {
      const auto [readError, read] =
        co_await this->peer.async_read_some(asio::buffer(buffer), kAwait);
      if (readError || !this->state->CheckPause() || !this->IsPeerThere()) {
        break;
      }
      this->NoteMove(true);
      const auto [error, written] = co_await asio::async_write(
        this->server, asio::buffer(buffer.data(), read), kAwait);
      if (error) {
        break;
      }
    }
    this->End();
  }

  // The server's end is passed on as an end, everything else as a reset. A
  // close is a reset here, a shutdown an end.
  asio::awaitable<void> PassResponses()
  {
    Buffer buffer{};
    while (true) {
      const auto [readError, read] =
        co_await this->server.async_read_some(asio::buffer(buffer), kAwait);
      if (readError) {
        if (readError == asio::error::eof) {
          beast::error_code ignored;
          this->peer.shutdown(tcp::socket::shutdown_send, ignored);
          this->isResponseDue = false;
          co_return;
        }
        break;
      }
      this->NoteMove(false);
      const auto [error, written] = co_await asio::async_write(
        this->peer, asio::buffer(buffer.data(), read), kAwait);
      if (error) {
        break;
      }
    }
    this->End();
  }

  void NoteMove(bool aIsRequest)
  {
    this->movedAt = this->state->options.clock();
    this->isResponseDue = aIsRequest;
  }

  const std::shared_ptr<State> state;
  tcp::socket peer;
  tcp::socket server;
  asio::steady_timer deadline;
  std::string peerIp;
  // The server's.
  std::string address;
  bool hasPlace = false;
  bool isOpen = false;
  // The last bytes went to the server.
  bool isResponseDue = false;
  TimePoint movedAt;
};

asio::awaitable<void> RelayServer::State::Accept(
  [[maybe_unused]] std::shared_ptr<State> aSelf)
{
  while (this->acceptor.is_open()) {
    auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
    if (error) {
      this->pause.expires_after(kAcceptPause);
      co_await this->pause.async_wait(kAwait);
      continue;
    }
    if (this->relays.size() >= kMaxOpeningFactor * this->options.maxRelays) {
      continue;
    }
    const auto relay = std::make_shared<Relay>(aSelf, std::move(socket));
    asio::co_spawn(this->context, relay->Run(relay), asio::detached);
  }
}

std::vector<std::shared_ptr<RelayServer::Relay>> RelayServer::State::Held()
  const
{
  std::vector<std::shared_ptr<Relay>> held;
  std::ranges::transform(
    this->relays, std::back_inserter(held),
    [](Relay* aRelay) { return aRelay->shared_from_this(); });
  return held;
}

void RelayServer::State::Insert(Relay* aRelay)
{
  this->relays.insert(aRelay);
}

void RelayServer::State::Erase(Relay* aRelay)
{
  this->relays.erase(aRelay);
}

bool RelayServer::State::TakePlace(const std::string& aPeer)
{
  std::size_t& ofPeer = this->placesOfPeer[aPeer];
  if (this->placesTaken >= this->options.maxRelays ||
      ofPeer >= this->options.maxRelaysOfPeer) {
    return false;
  }
  ++ofPeer;
  ++this->placesTaken;
  this->openCount.store(this->placesTaken);
  return true;
}

void RelayServer::State::FreePlace(const std::string& aPeer)
{
  const auto ofPeer = this->placesOfPeer.find(aPeer);
  if (--ofPeer->second == 0) {
    this->placesOfPeer.erase(ofPeer);
  }
  --this->placesTaken;
  this->openCount.store(this->placesTaken);
}

bool RelayServer::State::CheckPause()
{
  const TimePoint now = this->options.clock();
  const bool wasPaused = now - this->aliveAt > kLongestPause;
  this->aliveAt = now;
  if (wasPaused) {
    this->EndAll();
  }
  return !wasPaused;
}

void RelayServer::State::EndAll()
{
  std::ranges::for_each(this->Held(),
                        [](const auto& aRelay) { aRelay->End(); });
}

void RelayServer::State::OnTimer()
{
  static_cast<void>(this->CheckPause());
  const TimePoint now = this->options.clock();
  std::size_t busy = 0;
  for (const auto& relay : this->Held()) {
    if (relay->IsIdle(now)) {
      relay->End();
    }
    busy += relay->IsBusy(now) ? 1 : 0;
  }
  this->busyCount.store(busy);
}

RelayServer::RelayServer(std::shared_ptr<State> aState)
  : state(std::move(aState))
{
}

RelayServer::~RelayServer()
{
  beast::error_code ignored;
  this->state->acceptor.close(ignored);
  this->state->EndAll();
}

Result<std::unique_ptr<RelayServer>> RelayServer::Listen(
  asio::io_context& aContext, Options aOptions)
{
  auto state = std::make_shared<State>(aContext, std::move(aOptions));
  if (const std::error_code error = state->Open()) {
    return error;
  }
  state->Start();
  return std::unique_ptr<RelayServer>(new RelayServer(std::move(state)));
}

void RelayServer::OnTimer()
{
  this->state->OnTimer();
}

void RelayServer::StopAccepting()
{
  this->state->isStopping = true;
}

bool RelayServer::HasRelayTo(const std::string& aAddress) const
{
  return std::ranges::any_of(this->state->relays, [&](const Relay* aRelay) {
    return aRelay->IsOpenTo(aAddress);
  });
}

std::size_t RelayServer::Relays() const
{
  return this->state->openCount.load();
}

std::size_t RelayServer::Busy() const
{
  return this->state->busyCount.load();
}

} // namespace kumquat::transport
