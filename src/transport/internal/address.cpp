// Reads an IP number and a port.

#include "transport/address.h"

#include "transport/http.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>
#include <cstdint>
#include <string>

namespace kumquat::transport {

Result<boost::asio::ip::tcp::endpoint> ParseAddress(std::string_view aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return make_error_code(TransportError::kMalformed);
  }
  std::string_view ip = aText.substr(0, colon);
  if (ip.starts_with('[') && ip.ends_with(']')) {
    ip = ip.substr(1, ip.size() - 2);
  }
  const std::string_view digits = aText.substr(colon + 1);
  std::uint16_t port = 0;
  const auto parsed =
    std::from_chars(digits.data(), digits.data() + digits.size(), port);
  const bool wholeNumber =
    parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
  boost::system::error_code error;
  const auto address = boost::asio::ip::make_address(std::string(ip), error);
  if (error || !wholeNumber) {
    return make_error_code(TransportError::kMalformed);
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

} // namespace kumquat::transport
