// Small things that both kinds of host need at their listeners.

#pragma once

#include "transport/http.h"

#include <string>
#include <utility>

namespace kumquat::node {

// "10.0.0.1" of "10.0.0.1:80".
inline std::string IpOf(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

inline transport::HttpResponse PlainText(int aStatus, std::string aText)
{
  transport::HttpResponse response;
  response.status = aStatus;
  response.headers = { { "Content-Type", "text/plain; charset=utf-8" } };
  response.body = std::move(aText);
  return response;
}

} // namespace kumquat::node
