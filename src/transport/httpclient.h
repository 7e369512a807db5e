// An HTTP/1.1 client on one event loop. Connections are kept alive and carry
// one request at a time; one whose request was given up on is closed and never
// used again, so that a late answer cannot meet another request.

#pragma once

#include "framework/result.h"
#include "transport/dial.h"
#include "transport/http.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace kumquat::transport {

// What may let a client take an answer for that to another sending.
enum class AnswerDoubt
{
  // It belongs to another request, and was read over.
  kForeign,
  // An error without the header that must come back is taken as the request's
  // own.
  kUnidentified,
  // An idle connection has carried the request before, and is passed over.
  kSameConnection,
  // Its head was cut and goes on with the head of another answer.
  kCutHead,
};

// The name of a doubt in metrics.
std::string_view AnswerDoubtName(AnswerDoubt aDoubt);

class HttpClient
{
public:
  using CallId = std::uint64_t;
  using Done = std::function<void(Result<HttpResponse>)>;

  struct Options
  {
    // Bodies up to this size come whole; of longer ones the rest is read
    // through HttpResponse::rest.
    std::size_t wholeBodyBytes = 64U << 10U;
    // What whole bodies are counted in; may be null. A body for which there is
    // no room is read through HttpResponse::rest, as the receiver takes it.
    std::shared_ptr<ByteAccount> bytes;
    std::size_t pieceBytes = 64U << 10U;
    std::size_t maxHeaderBytes = 16U << 10U;
    // Idle connections kept to one address.
    std::size_t maxIdle = 130;
    std::chrono::milliseconds connectTimeout{ 1000 };
    // A connection that rested for longer may have gone silent, which nothing
    // shows but a call that gets no answer; it is not used again. 0: any time.
    std::chrono::milliseconds longestRest{ 0 };
    // Without progress on a streamed body.
    std::chrono::milliseconds pieceTimeout{ 10'000 };
    // For a streamed body as a whole, where its request sets no bodyTimeout.
    std::chrono::milliseconds streamTimeout{ 600'000 };
    // Where set, a call's timeout covers the answer's head, and each piece of a
    // whole body has this time: on a slow link a large one takes long.
    std::chrono::milliseconds bodyProgress{ 0 };
    // The longest time for such a body as a whole, from its head on: progress
    // alone does not show that it will end.
    std::chrono::milliseconds bodyTimeout{ 60'000 };
    // Runs with each head and each piece of a whole body; may be empty.
    std::function<void()> onProgress;
    // Sent bytes that stay unacknowledged for so long end the connection: a
    // server without power or behind a cut answers nothing at all, and the
    // call would wait for its whole timeout. 0: the system's default.
    std::chrono::milliseconds unacknowledged{ 0 };
    // Where set, connections leave from this IP number.
    std::string localAddress;
    // Whether an answer is the request's own, by the header that must come
    // back as it was sent; empty: not checked. Answers of other requests are
    // read over, a few of them, and the connection is not used again.
    std::string echoHeader;
    // Whether an error without that header is taken as the request's own.
    bool errorsNeedEcho = true;
    // Runs with each doubt about an answer; may be empty.
    std::function<void(AnswerDoubt)> onDoubt;
    // How connections are made; null: directly.
    std::shared_ptr<const DialHooks> dial;
  };

  HttpClient(boost::asio::io_context& aContext, Options aOptions);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // aDone runs once, on the client's thread, after Send has returned. The
  // timeout covers connecting, sending and the answer's head and first part.
  CallId Send(const std::string& aAddress, HttpRequest aRequest,
              std::chrono::milliseconds aTimeout, Done aDone);

  // Closes the call's connection; its aDone gets kCancelled. Nothing happens
  // where the call is over. Returns whether any byte of the request may have
  // been sent; false only where it is certain that none was or will be.
  bool Cancel(CallId aCall);

private:
  class State;
  std::shared_ptr<State> state;
};

} // namespace kumquat::transport
