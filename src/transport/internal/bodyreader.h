// Reads the body of a response in pieces, bounded in bytes and in time.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"
#include "transport/internal/connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/beast/http.hpp>

#include <cstddef>
#include <string>

namespace kumquat::transport {

using ResponseParser =
  boost::beast::http::response_parser<boost::beast::http::buffer_body>;

// Returns the next aMost bytes, or fewer at the body's end; none: the body is
// whole. kTimeout if they have not come by aUntil, kMalformed if they come with
// too many bytes that are not the body's.
boost::asio::awaitable<Result<std::string>> ReadPiece(Connection& aConnection,
                                                      ResponseParser& aParser,
                                                      std::size_t aMost,
                                                      TimePoint aUntil);

// Reads a body that nobody wants. False unless it ends within aMost bytes and
// by aUntil. aMost is reduced by the bytes that were read.
boost::asio::awaitable<bool> DiscardBody(Connection& aConnection,
                                         ResponseParser& aParser,
                                         std::size_t& aMost, TimePoint aUntil);

} // namespace kumquat::transport
