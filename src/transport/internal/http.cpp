// Header look-ups and the transport's error category.

#include "transport/http.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>

namespace kumquat::transport {

namespace {

std::string_view FindHeader(const std::vector<HttpHeader>& aHeaders,
                            std::string_view aName)
{
  const auto found =
    std::ranges::find_if(aHeaders, [&aName](const HttpHeader& aHeader) {
      return boost::beast::iequals(aHeader.name, aName);
    });
  return found == aHeaders.end() ? std::string_view() : found->value;
}

class Category : public std::error_category
{
public:
  const char* name() const noexcept override { return "transport"; }

  std::string message(int aNumber) const override
  {
    switch (static_cast<TransportError>(aNumber)) {
      case TransportError::kNone:
        return "none";
      case TransportError::kUnreachable:
        return "unreachable";
      case TransportError::kBroken:
        return "connection broken";
      case TransportError::kTruncated:
        return "body cut short";
      case TransportError::kTimeout:
        return "timeout";
      case TransportError::kCancelled:
        return "cancelled";
      case TransportError::kMalformed:
        return "malformed";
      case TransportError::kCrossed:
        return "another request's answer";
      case TransportError::kCallerGone:
        return "the caller has left";
      case TransportError::kWithdrawn:
        return "withdrawn";
    }
    return "unknown";
  }
};

} // namespace

std::string_view HttpRequest::Header(std::string_view aName) const
{
  return FindHeader(this->headers, aName);
}

std::string_view HttpResponse::Header(std::string_view aName) const
{
  return FindHeader(this->headers, aName);
}

const std::error_category& TransportCategory()
{
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(TransportError aError)
{
  return { static_cast<int>(aError), TransportCategory() };
}

} // namespace kumquat::transport
