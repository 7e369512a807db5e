// Addresses in settings and records: an IP number and a port.

#pragma once

#include "framework/result.h"

#include <boost/asio/ip/tcp.hpp>

#include <string_view>

namespace kumquat::transport {

// "127.0.1.1:7000" or "[::1]:7000"; names are not looked up.
Result<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view aText);

} // namespace kumquat::transport
