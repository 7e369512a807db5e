// Small things that both kinds of host need at their listeners.

#pragma once

#include "framework/result.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"
#include "transport/http.h"

#include <memory>
#include <string>
#include <system_error>
#include <utility>

namespace kumquat::node {

// "10.0.0.1" of "10.0.0.1:80".
inline std::string IpOf(const std::string& aAddress)
{
  return aAddress.substr(0, aAddress.rfind(':'));
}

inline transport::HttpResponse MakePlainTextResponse(int aStatus,
                                                     std::string aText)
{
  transport::HttpResponse response;
  response.status = aStatus;
  response.headers = { { "Content-Type", "text/plain; charset=utf-8" } };
  response.body = std::move(aText);
  return response;
}

// What a host says first on each connection to another.
inline protocol::Hello MakeHello(const state::HostRef& aSelf,
                                 const state::DataCentre& aDataCentre)
{
  protocol::Hello hello;
  hello.sender.__set_host(aSelf.host.value);
  hello.sender.__set_incarnation(aSelf.incarnation);
  hello.__set_dataCentre(aDataCentre.value);
  return hello;
}

// Keeps what listens; else says why it cannot.
template<typename Listener>
std::error_code TakeListener(Result<std::unique_ptr<Listener>> aListening,
                             std::unique_ptr<Listener>& aPlace)
{
  if (!aListening) {
    return aListening.error();
  }
  aPlace = std::move(*aListening);
  return {};
}

} // namespace kumquat::node
