// Host names between the records and the messages, and the frames of leases.

#pragma once

#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <cstdint>

namespace kumquat::coordination {

inline protocol::HostRef ToWire(const state::HostRef& aRef)
{
  protocol::HostRef ref;
  ref.__set_host(aRef.host.value);
  ref.__set_incarnation(aRef.incarnation);
  return ref;
}

inline state::HostRef FromWire(const protocol::HostRef& aRef)
{
  return { { aRef.host }, aRef.incarnation };
}

inline protocol::ConfirmRequest MakeConfirmRequest(
  const state::HostRef& aHolder, state::Incarnation aGuard)
{
  protocol::ConfirmRequest request;
  request.__set_holder(ToWire(aHolder));
  request.__set_guardIncarnation(aGuard);
  return request;
}

inline protocol::ReleaseRequest MakeReleaseRequest(
  const state::HostRef& aHolder, state::Incarnation aGuard)
{
  protocol::ReleaseRequest request;
  request.__set_holder(ToWire(aHolder));
  request.__set_guardIncarnation(aGuard);
  return request;
}

inline protocol::Frame MakeRequest(std::int64_t aCorrelation)
{
  protocol::Frame frame;
  frame.__set_correlation(aCorrelation);
  return frame;
}

inline protocol::Frame MakeReply(std::int64_t aCorrelation)
{
  protocol::Frame frame;
  frame.__set_correlation(aCorrelation);
  frame.__set_reply(true);
  return frame;
}

} // namespace kumquat::coordination
