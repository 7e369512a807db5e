// Pieces of a response's body, over Beast.

#include "transport/internal/bodyreader.h"

#include "transport/http.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace kumquat::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

namespace {

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
// Chunk headers and trailers that may come with one piece.
constexpr std::size_t kMaxFramingBytes = 1U << 20U;

std::error_code ErrorOf(const beast::error_code& aError)
{
  if (aError == beast::error::timeout) {
    return make_error_code(TransportError::kTimeout);
  }
  return make_error_code(aError == http::error::buffer_overflow
                           ? TransportError::kMalformed
                           : TransportError::kTruncated);
}

} // namespace

asio::awaitable<Result<std::string>> ReadPiece(Connection& aConnection,
                                               ResponseParser& aParser,
                                               std::size_t aMost,
                                               TimePoint aUntil)
{
  std::string piece;
  if (aParser.is_done()) {
    co_return piece;
  }
  piece.resize(aMost);
  auto& body = aParser.get().body();
  body.data = piece.data();
  body.size = piece.size();
  // An eager read goes on until it ends at the boundary of a chunk.
  aParser.eager(false);
  aConnection.stream.expires_at(aUntil);
  std::size_t read = 0;
  while (body.size > 0 && !aParser.is_done()) {
    // The stream's own timeout does not end reads that never have to wait.
    if (std::chrono::steady_clock::now() >= aUntil) {
      co_return make_error_code(TransportError::kTimeout);
    }
    const auto [error, bytes] = co_await http::async_read_some(
      aConnection.stream, aConnection.buffer, aParser, kAwait);
    read += bytes;
    if (error && error != http::error::need_buffer) {
      co_return ErrorOf(error);
    }
    if (read > aMost + kMaxFramingBytes) {
      co_return make_error_code(TransportError::kMalformed);
    }
  }
  piece.resize(piece.size() - body.size);
  co_return piece;
}

asio::awaitable<bool> DiscardBody(Connection& aConnection,
                                  ResponseParser& aParser, std::size_t& aMost,
                                  TimePoint aUntil)
{
  if (aParser.content_length().value_or(0) > aMost) {
    co_return false;
  }
  while (!aParser.is_done() && aMost > 0) {
    const Result<std::string> piece =
      co_await ReadPiece(aConnection, aParser, aMost, aUntil);
    if (!piece) {
      co_return false;
    }
    aMost -= piece->size();
  }
  co_return aParser.is_done();
}

} // namespace kumquat::transport
