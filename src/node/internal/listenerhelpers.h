// Helper functions for the listeners of both kinds of host, Gateway and Node.

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

// The IP number of an "ip:port" address: "10.0.0.1" of "10.0.0.1:80".
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

// The first message that a host sends on each connection to a peer.
inline protocol::Hello MakeHello(const state::HostRef& aSelf,
                                 const state::DataCentre& aDataCentre)
{
  protocol::Hello hello;
  hello.sender.__set_host(aSelf.host.value);
  hello.sender.__set_incarnation(aSelf.incarnation);
  hello.__set_dataCentre(aDataCentre.value);
  hello.__set_readsCompressed(true);
  return hello;
}

// Moves the listener to aTarget if it was created; returns the error otherwise.
template<typename Listener>
std::error_code TakeListener(Result<std::unique_ptr<Listener>> aListener,
                             std::unique_ptr<Listener>& aTarget)
{
  if (!aListener) {
    return aListener.error();
  }
  aTarget = std::move(*aListener);
  return {};
}

} // namespace kumquat::node
