// Sessions of the HTTP server, as coroutines over Beast.

#include "transport/httpserver.h"

#include "framework/clock.h"
#include "transport/address.h"
#include "transport/internal/listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <deque>
#include <iterator>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace kumquat::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

// How often connections are checked for callers that take too long; their
// time-outs are seconds.
constexpr std::chrono::milliseconds kSweepEvery{ 500 };
// How long a caller may take to notice that its connection ends.
constexpr std::chrono::milliseconds kLinger{ 2000 };
// A body that comes more slowly holds its bytes for too long.
constexpr std::size_t kMinBodyBytesPerSecond = 128U << 10U;
// Of what frames the chunks of a body.
constexpr std::size_t kMaxFramingBytes = 1U << 20U;
// Of a request's body that is read along with its header.
constexpr std::size_t kReadAheadBytes = 64U << 10U;

using RequestParser = http::request_parser<http::string_body>;

HttpRequest CopyHead(const http::request<http::string_body>& aMessage)
{
  HttpRequest request;
  request.method = std::string(aMessage.method_string());
  request.target = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  return request;
}

// Whether the caller waits for an interim response before it sends the body.
bool ExpectsContinue(const http::request<http::string_body>& aMessage)
{
  return beast::iequals(aMessage[http::field::expect], "100-continue");
}

template<typename Message>
void FillHead(Message& aMessage, const HttpResponse& aResponse, bool aKeepAlive)
{
  aMessage.version(11);
  aMessage.result(static_cast<unsigned>(aResponse.status));
  for (const HttpHeader& header : aResponse.headers) {
    aMessage.insert(header.name, header.value);
  }
  aMessage.keep_alive(aKeepAlive);
}

// A fault in what the caller sent; else the connection itself failed.
bool IsOfMessage(const beast::error_code& aError)
{
  return aError.category() ==
           make_error_code(http::error::bad_version).category() &&
         aError != http::error::end_of_stream &&
         aError != http::error::partial_message;
}

ServerRefusal RefusalFor(const beast::error_code& aError)
{
  if (aError == http::error::header_limit ||
      aError == http::error::buffer_overflow) {
    return ServerRefusal::kHeaderTooLarge;
  }
  if (aError == http::error::body_limit) {
    return ServerRefusal::kBodyTooLarge;
  }
  if (aError == beast::error::timeout) {
    return ServerRefusal::kTooSlow;
  }
  return ServerRefusal::kMalformed;
}

asio::awaitable<Result<std::string>> NextPiece(const BodyReader& aReader)
{
  const auto executor = co_await asio::this_coro::executor;
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>&,
                                          void(Result<std::string>)>(
    [&aReader, executor](auto aResume) {
      auto resume = std::make_shared<decltype(aResume)>(std::move(aResume));
      aReader([resume, executor](Result<std::string> aPiece) {
        asio::post(executor, [resume, piece = std::move(aPiece)]() mutable {
          std::move (*resume)(std::move(piece));
        });
      });
    },
    asio::use_awaitable);
}

} // namespace

// One connection: a coroutine reads requests ahead, another writes their
// answers in the order of the requests. Reading ahead is also what shows that
// the caller has gone while its request runs.
class HttpServer::Session : public std::enable_shared_from_this<Session>
{
public:
  Session(std::shared_ptr<State> aState, tcp::socket aSocket);

  ~Session();
  Session(const Session&) = delete;
  Session& operator=(const Session&) = delete;

  void Start();
  // Ends the connection once nothing is left to answer.
  void EndWhenIdle();
  // Closes where the caller took too long.
  void CheckTime(TimePoint aNow);

private:
  // A request whose answer is not wholly written yet.
  struct Exchange
  {
    std::shared_ptr<CallerLink> link = std::make_shared<CallerLink>();
    std::optional<HttpResponse> response;
    bool keepAlive = true;
    // The answer is there, and the rest of its body is passed on in pieces.
    bool isStreamed = false;
  };

  using ExchangePtr = std::shared_ptr<Exchange>;

  asio::awaitable<void> Read(std::shared_ptr<Session> aSelf);
  asio::awaitable<bool> ReadOne();
  asio::awaitable<void> AwaitClose();
  asio::awaitable<void> Write(std::shared_ptr<Session> aSelf);
  asio::awaitable<bool> WriteAnswer(HttpResponse aResponse, bool aKeepAlive);
  asio::awaitable<bool> WritePieces(HttpResponse aResponse, bool aKeepAlive);
  asio::awaitable<beast::error_code> WritePiece(const std::string& aPiece,
                                                bool aChunked);
  // Takes in what the caller still sends: closing over unread bytes resets the
  // connection, and the caller would lose the answer that it was just sent.
  asio::awaitable<void> Linger();
  // Reads the body after its head, if the head allows that. Returns false if
  // the connection is to end.
  asio::awaitable<bool> ReadBody(RequestParser& aParser,
                                 ByteAccount::ReservationPtr& aHeld);
  asio::awaitable<bool> SendContinue();
  void Handle(HttpRequest aRequest, bool aKeepAlive);
  void OnReadError(const beast::error_code& aError);
  void Refuse(ServerRefusal aRefusal, const HttpRequest& aHead = {});
  void RefuseWith(HttpResponse aResponse);
  void Answer(const ExchangePtr& aExchange, HttpResponse aResponse);
  void OnGone();
  bool IsCallerThere();
  bool TakesRequests() const { return !this->ending && !this->isClosing; }
  bool IsStreaming() const;
  void Wake() { this->wake.cancel(); }
  void Expect(std::chrono::milliseconds aWithin);
  void Close();

  const std::shared_ptr<State> state;
  tcp::socket socket;
  // Never expires: a cancel wakes whichever coroutine waits.
  asio::steady_timer wake;
  beast::flat_buffer buffer;
  std::deque<ExchangePtr> exchanges;
  // The caller's next byte, or its taking of ours, is due by then.
  TimePoint due = TimePoint::max();
  bool reading = true;
  bool ending = false;
  bool gone = false;
  // The last answer of the connection is there: no further request is taken.
  bool isClosing = false;
  // A request has begun and has not wholly come.
  bool midRequest = false;
};

class HttpServer::State : public std::enable_shared_from_this<State>
{
public:
  State(asio::io_context& aContext, Options aOptions)
    : options(std::move(aOptions))
    , acceptor(aContext)
    , pause(aContext)
    , sweep(aContext)
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
    asio::co_spawn(this->acceptor.get_executor(),
                   this->Accept(this->shared_from_this()), asio::detached);
    this->Sweep();
  }

  void Drain() { this->draining = true; }

  void StopAccepting()
  {
    this->draining = true;
    this->stopping = true;
    beast::error_code ignored;
    this->acceptor.close(ignored);
    // A session may end, and leave the set, within the loop.
    const auto all = this->sessions;
    std::ranges::for_each(
      all, [](const auto& aSession) { aSession->EndWhenIdle(); });
  }

  std::size_t Busy() const { return this->busy.load(); }
  std::size_t Connections() const { return this->open.load(); }

  // A session is there for as long as its coroutines are; were it owned here,
  // the two would keep each other.
  void Insert(Session* aSession)
  {
    this->sessions.insert(aSession);
    this->open.store(this->sessions.size());
  }

  void Erase(Session* aSession)
  {
    this->sessions.erase(aSession);
    this->open.store(this->sessions.size());
  }

  asio::any_io_executor Executor() { return this->acceptor.get_executor(); }

  Options options;
  bool draining = false;
  bool stopping = false;
  std::atomic<std::size_t> busy{ 0 };
  std::atomic<std::size_t> open{ 0 };
  std::set<Session*> sessions;

private:
  // aSelf keeps the state for as long as the coroutine runs.
  asio::awaitable<void> Accept(std::shared_ptr<State> aSelf)
  {
    while (!this->stopping) {
      auto [error, socket] = co_await this->acceptor.async_accept(kAwait);
      if (error) {
        this->pause.expires_after(kAcceptPause);
        co_await this->pause.async_wait(kAwait);
        continue;
      }
      beast::error_code ignored;
      socket.set_option(tcp::no_delay(true), ignored);
      const auto session = std::make_shared<Session>(aSelf, std::move(socket));
      session->Start();
    }
  }

  // A session may end, and leave the set, while all are gone through.
  std::vector<std::shared_ptr<Session>> Held() const;

  // One timer for all connections: a timer each, set anew with every message,
  // costs more than the messages' parsing.
  void Sweep()
  {
    this->sweep.expires_after(kSweepEvery);
    this->sweep.async_wait(
      [self = this->weak_from_this()](const beast::error_code& aError) {
        const auto held = self.lock();
        if (aError || !held) {
          return;
        }
        const TimePoint now = std::chrono::steady_clock::now();
        for (const auto& session : held->Held()) {
          session->CheckTime(now);
        }
        if (!held->stopping || !held->sessions.empty()) {
          held->Sweep();
        }
      });
  }

  tcp::acceptor acceptor;
  asio::steady_timer pause;
  asio::steady_timer sweep;
};

HttpServer::Session::Session(std::shared_ptr<State> aState, tcp::socket aSocket)
  : state(std::move(aState))
  , socket(std::move(aSocket))
  , wake(this->socket.get_executor(), asio::steady_timer::time_point::max())
  , buffer(this->state->options.maxHeaderBytes + kReadAheadBytes)
{
}

HttpServer::Session::~Session()
{
  this->state->busy.fetch_sub(this->exchanges.size());
  this->state->Erase(this);
}

std::vector<std::shared_ptr<HttpServer::Session>> HttpServer::State::Held()
  const
{
  std::vector<std::shared_ptr<Session>> held;
  std::ranges::transform(
    this->sessions, std::back_inserter(held),
    [](Session* aSession) { return aSession->shared_from_this(); });
  return held;
}

void HttpServer::Session::Start()
{
  this->state->Insert(this);
  const auto self = this->shared_from_this();
  asio::co_spawn(this->socket.get_executor(), this->Read(self), asio::detached);
  asio::co_spawn(this->socket.get_executor(), this->Write(self),
                 asio::detached);
}

void HttpServer::Session::Expect(std::chrono::milliseconds aWithin)
{
  this->due = std::chrono::steady_clock::now() + aWithin;
}

void HttpServer::Session::CheckTime(TimePoint aNow)
{
  if (aNow < this->due) {
    return;
  }
  this->due = TimePoint::max();
  if (this->midRequest && this->exchanges.empty() && !this->ending &&
      this->state->options.refuse) {
    this->Refuse(ServerRefusal::kTooSlow);
  } else {
    this->Close();
  }
}

void HttpServer::Session::EndWhenIdle()
{
  this->ending = true;
  if (this->exchanges.empty()) {
    beast::error_code ignored;
    this->socket.cancel(ignored);
  }
  this->Wake();
}

void HttpServer::Session::Close()
{
  beast::error_code ignored;
  this->socket.close(ignored);
  this->Wake();
}

asio::awaitable<void> HttpServer::Session::Read(
  [[maybe_unused]] std::shared_ptr<Session> aSelf)
{
  if (this->state->sessions.size() > this->state->options.maxConnections) {
    this->Refuse(ServerRefusal::kTooManyConnections);
  } else {
    bool more = true;
    while (more && this->TakesRequests()) {
      more = co_await this->ReadOne();
      while (more && this->TakesRequests() &&
             this->exchanges.size() >= this->state->options.pipelined) {
        co_await this->wake.async_wait(kAwait);
      }
    }
    if (this->state->options.endIsLeaving && !this->ending && !this->gone) {
      co_await this->AwaitClose();
    }
  }
  this->reading = false;
  this->Wake();
}

bool HttpServer::Session::IsStreaming() const
{
  return std::ranges::any_of(this->exchanges, [](const ExchangePtr& aExchange) {
    return aExchange->isStreamed;
  });
}

// True where the connection may carry another request.
asio::awaitable<bool> HttpServer::Session::ReadOne()
{
  const Options& options = this->state->options;
  RequestParser parser;
  parser.header_limit(static_cast<std::uint32_t>(options.maxHeaderBytes));
  parser.body_limit(options.maxBodyBytes);
  if (this->buffer.size() == 0) {
    if (this->exchanges.empty()) {
      this->Expect(options.idleTimeout);
    }
    const auto [error] =
      co_await this->socket.async_wait(tcp::socket::wait_read, kAwait);
    if (error || !this->TakesRequests()) {
      co_return false;
    }
  }
  if (this->exchanges.empty()) {
    this->Expect(options.readTimeout);
  }
  this->midRequest = true;
  const auto [error, bytes] = co_await http::async_read_header(
    this->socket, this->buffer, parser, kAwait);
  ByteAccount::ReservationPtr held;
  const bool isWhole =
    !error && (parser.is_done() || co_await this->ReadBody(parser, held));
  this->midRequest = false;
  if (error) {
    this->OnReadError(error);
  }
  if (!isWhole) {
    co_return false;
  }
  // An answer that is passed on in pieces may break off, and the connection
  // ends with it.
  while (this->IsStreaming() && this->TakesRequests() && !this->gone) {
    co_await this->wake.async_wait(kAwait);
  }
  // The answers' coroutine may have ended the connection meanwhile; a request
  // that crosses its end is not begun.
  if (!this->TakesRequests()) {
    co_return false;
  }
  this->due = TimePoint::max();
  const bool keepAlive = parser.keep_alive();
  auto message = parser.release();
  HttpRequest request = CopyHead(message);
  request.body = std::move(message.body());
  request.held = std::move(held);
  this->Handle(std::move(request), keepAlive);
  co_return keepAlive;
}

// A body of known length is reserved as a whole before it is read: reserved
// piece by piece, many bodies could each wait for bytes that the others hold.
asio::awaitable<bool> HttpServer::Session::ReadBody(
  RequestParser& aParser, ByteAccount::ReservationPtr& aHeld)
{
  const Options& options = this->state->options;
  if (options.checkHead) {
    if (auto refusal = options.checkHead(CopyHead(aParser.get()))) {
      this->RefuseWith(std::move(*refusal));
      co_return false;
    }
  }
  if (options.bytes) {
    aHeld = options.bytes->Open(BytePurpose::kRequest);
  }
  const auto hold = [&](std::size_t aBytes) {
    return !aHeld || aHeld->GrowTo(aBytes);
  };
  if (!hold(aParser.content_length().value_or(0))) {
    this->Refuse(ServerRefusal::kTooManyBytes, CopyHead(aParser.get()));
    co_return false;
  }
  if (ExpectsContinue(aParser.get()) && !co_await this->SendContinue()) {
    co_return false;
  }
  const TimePoint begin = std::chrono::steady_clock::now();
  std::size_t read = 0;
  while (!aParser.is_done()) {
    const auto [error, bytes] = co_await http::async_read_some(
      this->socket, this->buffer, aParser, kAwait);
    if (error) {
      this->OnReadError(error);
      co_return false;
    }
    read += bytes;
    const std::size_t size = aParser.get().body().size();
    if (read > size + kMaxFramingBytes) {
      this->Refuse(ServerRefusal::kMalformed, CopyHead(aParser.get()));
      co_return false;
    }
    if (this->exchanges.empty()) {
      this->due =
        begin + options.readTimeout +
        std::chrono::milliseconds(1000 * size / kMinBodyBytesPerSecond);
    }
    if (!hold(size)) {
      this->Refuse(ServerRefusal::kTooManyBytes, CopyHead(aParser.get()));
      co_return false;
    }
  }
  co_return true;
}

// The interim response comes after the responses to earlier requests of the
// connection.
asio::awaitable<bool> HttpServer::Session::SendContinue()
{
  while (!this->exchanges.empty() && this->TakesRequests() && !this->gone) {
    co_await this->wake.async_wait(kAwait);
  }
  if (!this->TakesRequests() || this->gone) {
    co_return false;
  }
  http::response<http::empty_body> message(http::status::continue_, 11);
  const auto [error, bytes] =
    co_await http::async_write(this->socket, message, kAwait);
  co_return !error;
}

void HttpServer::Session::OnReadError(const beast::error_code& aError)
{
  if (IsOfMessage(aError)) {
    this->Refuse(RefusalFor(aError));
  } else if (!this->ending) {
    this->OnGone();
  }
}

// No further request is due; see Options::endIsLeaving. Failure: with nothing
// left to read, the close of a caller that had sent its last request was never
// seen, and its work went on.
asio::awaitable<void> HttpServer::Session::AwaitClose()
{
  std::array<char, 4096> sink{};
  while (!this->ending) {
    const auto [error, bytes] =
      co_await this->socket.async_read_some(asio::buffer(sink), kAwait);
    if (error) {
      if (!this->ending) {
        this->OnGone();
      }
      co_return;
    }
  }
}

void HttpServer::Session::Handle(HttpRequest aRequest, bool aKeepAlive)
{
  const auto exchange = std::make_shared<Exchange>();
  exchange->keepAlive = aKeepAlive;
  if (this->state->options.endIsLeaving) {
    exchange->link->isThere = [self = this->weak_from_this()] {
      const auto session = self.lock();
      return session && session->IsCallerThere();
    };
  }
  aRequest.link = exchange->link;
  this->exchanges.push_back(exchange);
  this->state->busy.fetch_add(1);
  this->state->options.handler(
    std::move(aRequest),
    [self = this->shared_from_this(), exchange](HttpResponse aResponse) {
      asio::dispatch(
        self->socket.get_executor(),
        [self, exchange, response = std::move(aResponse)]() mutable {
          self->Answer(exchange, std::move(response));
        });
    });
}

void HttpServer::Session::Answer(const ExchangePtr& aExchange,
                                 HttpResponse aResponse)
{
  aExchange->link->onGone = nullptr;
  if (!aExchange->response && !this->gone) {
    aExchange->isStreamed = static_cast<bool>(aResponse.rest);
    aExchange->response = std::move(aResponse);
    this->Wake();
  }
}

// What was refused is the last that is answered on the connection.
void HttpServer::Session::Refuse(ServerRefusal aRefusal,
                                 const HttpRequest& aHead)
{
  if (this->state->options.refuse) {
    this->RefuseWith(this->state->options.refuse(aRefusal, aHead));
  }
}

void HttpServer::Session::RefuseWith(HttpResponse aResponse)
{
  const auto exchange = std::make_shared<Exchange>();
  exchange->keepAlive = false;
  exchange->response = std::move(aResponse);
  this->isClosing = true;
  this->exchanges.push_back(exchange);
  this->state->busy.fetch_add(1);
  this->Wake();
}

bool HttpServer::Session::IsCallerThere()
{
  if (this->gone || !this->socket.is_open()) {
    return false;
  }
  beast::error_code error;
  this->socket.non_blocking(true, error);
  char byte = 0;
  this->socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek,
                       error);
  // Nothing to read, or bytes of a next request.
  return !error || error == asio::error::would_block;
}

void HttpServer::Session::OnGone()
{
  if (this->gone) {
    return;
  }
  this->gone = true;
  for (const ExchangePtr& exchange : this->exchanges) {
    if (const auto onGone = std::move(exchange->link->onGone)) {
      exchange->link->onGone = nullptr;
      onGone();
    }
  }
  this->Close();
}

asio::awaitable<void> HttpServer::Session::Write(
  [[maybe_unused]] std::shared_ptr<Session> aSelf)
{
  bool open = true;
  while (open && !this->gone) {
    if (this->exchanges.empty()) {
      if (!this->reading || this->ending) {
        break;
      }
      co_await this->wake.async_wait(kAwait);
      continue;
    }
    const ExchangePtr first = this->exchanges.front();
    if (!first->response) {
      co_await this->wake.async_wait(kAwait);
      continue;
    }
    HttpResponse response = std::move(*first->response);
    // Failure: with a planned stop the connection ended with the first answer,
    // and requests that were read behind it, and ran, got none. The last of
    // them asks the caller to close.
    const bool isLast = this->exchanges.size() == 1;
    const bool keepAlive =
      first->keepAlive && !(isLast && (this->state->draining || this->ending));
    this->isClosing = this->isClosing || !keepAlive;
    if (response.status == kNoAnswer) {
      open = false;
    } else {
      open = co_await this->WriteAnswer(std::move(response), keepAlive);
    }
    this->exchanges.pop_front();
    this->state->busy.fetch_sub(1);
    this->due = TimePoint::max();
    if (open && this->exchanges.empty()) {
      this->Expect(this->state->options.idleTimeout);
    }
    this->Wake();
  }
  this->ending = true;
  this->state->busy.fetch_sub(this->exchanges.size());
  const auto left = std::move(this->exchanges);
  this->exchanges.clear();
  for (const ExchangePtr& exchange : left) {
    if (const auto onGone = std::move(exchange->link->onGone)) {
      exchange->link->onGone = nullptr;
      onGone();
    }
  }
  if (!this->gone) {
    co_await this->Linger();
  }
  this->Close();
}

asio::awaitable<void> HttpServer::Session::Linger()
{
  beast::error_code ignored;
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
  if (ignored) {
    co_return;
  }
  this->Expect(kLinger);
  while (this->reading) {
    this->socket.cancel(ignored);
    co_await this->wake.async_wait(kAwait);
  }
  std::array<char, 4096> sink{};
  while (true) {
    const auto [error, bytes] =
      co_await this->socket.async_read_some(asio::buffer(sink), kAwait);
    if (error) {
      co_return;
    }
  }
}

asio::awaitable<bool> HttpServer::Session::WriteAnswer(HttpResponse aResponse,
                                                       bool aKeepAlive)
{
  if (aResponse.rest) {
    co_return co_await this->WritePieces(std::move(aResponse), aKeepAlive);
  }
  http::response<http::string_body> message;
  FillHead(message, aResponse, aKeepAlive);
  message.body() = std::move(aResponse.body);
  message.prepare_payload();
  this->Expect(this->state->options.writeTimeout);
  const auto [error, bytes] =
    co_await http::async_write(this->socket, message, kAwait);
  co_return !error && aKeepAlive;
}

// A body that breaks off closes the connection before its end, so that the
// caller's client sees it as cut: neither the length nor the last chunk is
// reached.
asio::awaitable<bool> HttpServer::Session::WritePieces(HttpResponse aResponse,
                                                       bool aKeepAlive)
{
  http::response<http::empty_body> message;
  FillHead(message, aResponse, aKeepAlive);
  const bool chunked = !aResponse.length.has_value();
  if (chunked) {
    message.chunked(true);
  } else {
    message.content_length(*aResponse.length);
  }
  http::response_serializer<http::empty_body> head(message);
  this->Expect(this->state->options.writeTimeout);
  auto [error, bytes] =
    co_await http::async_write_header(this->socket, head, kAwait);
  std::uint64_t written = 0;
  std::string piece = std::move(aResponse.body);
  bool last = false;
  while (!error) {
    if (!piece.empty()) {
      written += piece.size();
      this->Expect(this->state->options.writeTimeout);
      error = co_await this->WritePiece(piece, chunked);
    } else if (last) {
      break;
    }
    if (error) {
      break;
    }
    this->due = TimePoint::max();
    Result<std::string> next = co_await NextPiece(aResponse.rest);
    if (!next) {
      this->Close();
      co_return false;
    }
    piece = std::move(*next);
    last = piece.empty();
  }
  if (error || (!chunked && written != *aResponse.length)) {
    this->Close();
    co_return false;
  }
  if (chunked) {
    const auto [lastError, lastBytes] =
      co_await asio::async_write(this->socket, http::make_chunk_last(), kAwait);
    error = lastError;
  }
  co_return !error && aKeepAlive;
}

asio::awaitable<beast::error_code> HttpServer::Session::WritePiece(
  const std::string& aPiece, bool aChunked)
{
  const auto data = asio::buffer(aPiece);
  if (aChunked) {
    const auto [error, bytes] =
      co_await asio::async_write(this->socket, http::make_chunk(data), kAwait);
    co_return error;
  }
  const auto [error, bytes] =
    co_await asio::async_write(this->socket, data, kAwait);
  co_return error;
}

HttpServer::HttpServer(std::shared_ptr<State> aState)
  : state(std::move(aState))
{
}

HttpServer::~HttpServer() = default;

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(
  asio::io_context& aContext, Options aOptions)
{
  auto state = std::make_shared<State>(aContext, std::move(aOptions));
  if (const std::error_code error = state->Open()) {
    return error;
  }
  state->Start();
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

void HttpServer::Drain()
{
  asio::post(this->state->Executor(),
             [state = this->state] { state->Drain(); });
}

void HttpServer::SetLimits(std::size_t aMaxHeaderBytes,
                           std::size_t aMaxBodyBytes,
                           std::chrono::milliseconds aReadTimeout,
                           std::chrono::milliseconds aIdleTimeout)
{
  asio::dispatch(this->state->Executor(), [=, state = this->state] {
    state->options.maxHeaderBytes = aMaxHeaderBytes;
    state->options.maxBodyBytes = aMaxBodyBytes;
    state->options.readTimeout = aReadTimeout;
    state->options.idleTimeout = aIdleTimeout;
  });
}

void HttpServer::StopAccepting()
{
  asio::post(this->state->Executor(),
             [state = this->state] { state->StopAccepting(); });
}

std::size_t HttpServer::Busy() const
{
  return this->state->Busy();
}

std::size_t HttpServer::Connections() const
{
  return this->state->Connections();
}

} // namespace kumquat::transport
