// Sessions of the HTTP server, as coroutines over Beast.

#include "transport/httpserver.h"

#include "transport/address.h"
#include "transport/internal/listener.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <set>
#include <utility>

namespace kumquat::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);

HttpRequest TakeRequest(http::request<http::string_body>&& aMessage)
{
  HttpRequest request;
  request.method = std::string(aMessage.method_string());
  request.target = std::string(aMessage.target());
  for (const auto& field : aMessage) {
    request.headers.push_back(
      { std::string(field.name_string()), std::string(field.value()) });
  }
  request.body = std::move(aMessage.body());
  return request;
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

// Resumes the coroutine on its own thread when the handler responds.
asio::awaitable<HttpResponse> Handle(const HttpServer::Handler& aHandler,
                                     HttpRequest aRequest)
{
  const auto executor = co_await asio::this_coro::executor;
  co_return co_await asio::async_initiate<const asio::use_awaitable_t<>&,
                                          void(HttpResponse)>(
    [&aHandler, &aRequest, executor](auto aResume) {
      auto resume = std::make_shared<decltype(aResume)>(std::move(aResume));
      aHandler(std::move(aRequest), [resume, executor](HttpResponse aResponse) {
        asio::post(executor,
                   [resume, response = std::move(aResponse)]() mutable {
                     std::move (*resume)(std::move(response));
                   });
      });
    },
    asio::use_awaitable);
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

class HttpServer::State : public std::enable_shared_from_this<State>
{
public:
  State(asio::io_context& aContext, Options aOptions)
    : options(std::move(aOptions))
    , acceptor(aContext)
    , pause(aContext)
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
  }

  void Drain() { this->draining = true; }

  void StopAccepting()
  {
    this->draining = true;
    this->stopping = true;
    beast::error_code ignored;
    this->acceptor.close(ignored);
    // A connection between two requests has nothing to lose.
    for (beast::tcp_stream* stream : this->idle) {
      stream->cancel();
    }
  }

  std::size_t Busy() const { return this->busy.load(); }

  asio::any_io_executor Executor() { return this->acceptor.get_executor(); }

private:
  class BusyScope
  {
  public:
    explicit BusyScope(std::atomic<std::size_t>& aBusy)
      : busy(aBusy)
    {
      this->busy.fetch_add(1);
    }

    ~BusyScope() { this->busy.fetch_sub(1); }
    BusyScope(const BusyScope&) = delete;
    BusyScope& operator=(const BusyScope&) = delete;

  private:
    std::atomic<std::size_t>& busy;
  };

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
      asio::co_spawn(this->acceptor.get_executor(),
                     this->Serve(aSelf, beast::tcp_stream(std::move(socket))),
                     asio::detached);
    }
  }

  asio::awaitable<void> Serve([[maybe_unused]] std::shared_ptr<State> aSelf,
                              beast::tcp_stream aStream)
  {
    ++this->open;
    beast::flat_buffer buffer(this->options.maxHeaderBytes + (64U << 10U));
    if (this->open > this->options.maxConnections) {
      co_await this->Refuse(aStream, ServerRefusal::kTooManyConnections);
    } else {
      while (!this->stopping && co_await this->ServeOne(aStream, buffer)) {
      }
    }
    --this->open;
    beast::error_code ignored;
    aStream.socket().shutdown(tcp::socket::shutdown_send, ignored);
  }

  // True where the connection may carry another request.
  asio::awaitable<bool> ServeOne(beast::tcp_stream& aStream,
                                 beast::flat_buffer& aBuffer)
  {
    http::request_parser<http::string_body> parser;
    parser.header_limit(
      static_cast<std::uint32_t>(this->options.maxHeaderBytes));
    parser.body_limit(this->options.maxBodyBytes);
    if (aBuffer.size() == 0 && !co_await this->AwaitFirstByte(aStream)) {
      co_return false;
    }
    aStream.expires_after(this->options.readTimeout);
    const auto [error, bytes] =
      co_await http::async_read(aStream, aBuffer, parser, kAwait);
    if (error) {
      if (error != http::error::end_of_stream) {
        co_await this->Refuse(aStream, RefusalFor(error));
      }
      co_return false;
    }
    const bool keepAlive = parser.keep_alive();
    const BusyScope scope(this->busy);
    aStream.expires_never();
    HttpResponse response =
      co_await Handle(this->options.handler, TakeRequest(parser.release()));
    if (response.status == kNoAnswer) {
      co_return false;
    }
    co_return co_await this->Write(aStream, std::move(response),
                                   keepAlive && !this->draining);
  }

  asio::awaitable<bool> AwaitFirstByte(beast::tcp_stream& aStream)
  {
    asio::steady_timer timer(aStream.get_executor());
    timer.expires_after(this->options.idleTimeout);
    timer.async_wait([&aStream](const beast::error_code& aError) {
      if (!aError) {
        aStream.cancel();
      }
    });
    this->idle.insert(&aStream);
    const auto [error] =
      co_await aStream.socket().async_wait(tcp::socket::wait_read, kAwait);
    this->idle.erase(&aStream);
    timer.cancel();
    co_return !error;
  }

  asio::awaitable<void> Refuse(beast::tcp_stream& aStream,
                               ServerRefusal aRefusal)
  {
    if (!this->options.refuse) {
      co_return;
    }
    co_await this->Write(aStream, this->options.refuse(aRefusal), false);
  }

  asio::awaitable<bool> Write(beast::tcp_stream& aStream,
                              HttpResponse aResponse, bool aKeepAlive)
  {
    if (aResponse.rest) {
      co_return co_await this->WritePieces(aStream, std::move(aResponse),
                                           aKeepAlive);
    }
    http::response<http::string_body> message;
    FillHead(message, aResponse, aKeepAlive);
    message.body() = std::move(aResponse.body);
    message.prepare_payload();
    aStream.expires_after(this->options.writeTimeout);
    const auto [error, bytes] =
      co_await http::async_write(aStream, message, kAwait);
    co_return !error && aKeepAlive;
  }

  // A body that breaks off closes the connection before its end, so that the
  // caller's client sees it as cut: neither the length nor the last chunk is
  // reached.
  asio::awaitable<bool> WritePieces(beast::tcp_stream& aStream,
                                    HttpResponse aResponse, bool aKeepAlive)
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
    aStream.expires_after(this->options.writeTimeout);
    auto [error, bytes] =
      co_await http::async_write_header(aStream, head, kAwait);
    std::uint64_t written = 0;
    std::string piece = std::move(aResponse.body);
    bool last = false;
    while (!error) {
      if (!piece.empty()) {
        written += piece.size();
        aStream.expires_after(this->options.writeTimeout);
        error = co_await WritePiece(aStream, piece, chunked);
      } else if (last) {
        break;
      }
      if (error) {
        break;
      }
      aStream.expires_never();
      Result<std::string> next = co_await NextPiece(aResponse.rest);
      if (!next) {
        co_return false;
      }
      piece = std::move(*next);
      last = piece.empty();
    }
    if (error || (!chunked && written != *aResponse.length)) {
      co_return false;
    }
    if (chunked) {
      const auto [lastError, lastBytes] =
        co_await asio::async_write(aStream, http::make_chunk_last(), kAwait);
      error = lastError;
    }
    co_return !error && aKeepAlive;
  }

  static asio::awaitable<beast::error_code> WritePiece(
    beast::tcp_stream& aStream, const std::string& aPiece, bool aChunked)
  {
    const auto data = asio::buffer(aPiece);
    if (aChunked) {
      const auto [error, bytes] =
        co_await asio::async_write(aStream, http::make_chunk(data), kAwait);
      co_return error;
    }
    const auto [error, bytes] =
      co_await asio::async_write(aStream, data, kAwait);
    co_return error;
  }

  Options options;
  tcp::acceptor acceptor;
  asio::steady_timer pause;
  // Connections that wait for a request's first byte.
  std::set<beast::tcp_stream*> idle;
  std::size_t open = 0;
  std::atomic<std::size_t> busy{ 0 };
  bool draining = false;
  bool stopping = false;
};

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

void HttpServer::StopAccepting()
{
  asio::post(this->state->Executor(),
             [state = this->state] { state->StopAccepting(); });
}

std::size_t HttpServer::Busy() const
{
  return this->state->Busy();
}

} // namespace kumquat::transport
