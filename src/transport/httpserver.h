// An HTTP/1.1 server on one event loop, bounded in everything a caller can
// make large: header, body, time, connections.

#pragma once

#include "framework/result.h"
#include "transport/http.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>

namespace kumquat::transport {

// Why a connection's request never reached the handler.
enum class ServerRefusal
{
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  kTooSlow,
  kTooManyConnections,
  // The host already holds as many bytes as it can; the request can be retried.
  kTooManyBytes,
};

class HttpServer
{
public:
  // Called once, on the server's thread or any other.
  using Respond = std::function<void(HttpResponse)>;
  // Runs on the server's thread.
  using Handler = std::function<void(HttpRequest, Respond)>;

  struct Options
  {
    std::string address;
    std::size_t maxHeaderBytes = 16U << 10U;
    std::size_t maxBodyBytes = 1U << 20U;
    std::size_t maxConnections = 4096;
    // From a request's first byte to the last of its header. A body has as long
    // again, and longer if it comes steadily.
    std::chrono::milliseconds readTimeout{ 10'000 };
    // For each piece of an answer.
    std::chrono::milliseconds writeTimeout{ 10'000 };
    std::chrono::milliseconds idleTimeout{ 60'000 };
    // Requests of one connection that are read while the first is still
    // unanswered; their answers go out in the order of the requests.
    std::size_t pipelined = 16;
    // Whether a caller that ends its sending side behind its last request has
    // left. False serves callers that half-close; it also means that the close
    // of one that has asked for the connection's end is not seen.
    bool endIsLeaving = false;
    Handler handler;
    // Looks at the head of a request whose body was not read yet. Returns the
    // response if the request cannot be served whatever its body is; the body
    // is then not waited for. May be empty.
    std::function<std::optional<HttpResponse>(const HttpRequest&)> checkHead;
    // What bodies of requests are counted in and bounded by; may be null.
    std::shared_ptr<ByteAccount> bytes;
    // Makes the answer to a request that was refused, of which the head is
    // empty if it was not read; may be empty.
    std::function<HttpResponse(ServerRefusal, const HttpRequest& aHead)> refuse;
  };

  // Throws nothing; the error says why the address cannot be had.
  static Result<std::unique_ptr<HttpServer>> Listen(
    boost::asio::io_context& aContext, Options aOptions);

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // For what is read from here on.
  void SetLimits(std::size_t aMaxHeaderBytes, std::size_t aMaxBodyBytes,
                 std::chrono::milliseconds aReadTimeout,
                 std::chrono::milliseconds aIdleTimeout);

  // Each answer from here on asks the caller to close the connection; new
  // connections and requests are still served.
  void Drain();
  // Takes no more connections; each open one ends after its current answer.
  void StopAccepting();
  // Requests whose answer is not wholly written yet; from any thread.
  std::size_t Busy() const;
  // Connections; from any thread. After StopAccepting none means that nothing
  // can be lost any more: a request may be on its way in a connection that
  // was idle a moment ago.
  std::size_t Connections() const;

private:
  class Session;
  class State;
  explicit HttpServer(std::shared_ptr<State> aState);

  std::shared_ptr<State> state;
};

} // namespace kumquat::transport
