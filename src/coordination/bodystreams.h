// Bodies that are passed between hosts in pieces, with a bound on what is on
// its way: the receiver grants credit as its own reader takes pieces.

#pragma once

#include "protocol/gen/peer_types.h"
#include "state/types.h"
#include "transport/http.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace kumquat::coordination {

class BodyStreams
{
public:
  using Send =
    std::function<bool(const state::HostId&, const protocol::Frame&)>;

  explicit BodyStreams(Send aSend);

  // Sends what aReader gives to aHost, until its end or its first error.
  void Pump(const state::HostId& aHost, std::uint64_t aCorrelation,
            transport::BodyReader aReader);

  // The reader of what aHost sends for aCorrelation. Dropping it before the
  // body's end tells aHost to stop.
  transport::BodyReader Open(const state::HostId& aHost,
                             std::uint64_t aCorrelation);

  void OnPart(const state::HostId& aHost, std::uint64_t aCorrelation,
              protocol::BodyPart&& aPart);
  void OnCredit(const state::HostId& aHost, std::uint64_t aCorrelation,
                std::int64_t aBytes);
  // Every body to or from it is cut short.
  void OnPeerLost(const state::HostId& aHost);

  // Bodies on their way, in both directions.
  std::size_t Active() const
  {
    return this->outgoing.size() + this->incoming.size();
  }

private:
  using Key = std::pair<state::HostId, std::uint64_t>;
  using Take = std::function<void(Result<std::string>)>;

  struct Outgoing
  {
    transport::BodyReader reader;
    std::int64_t credit = 0;
    bool reading = false;
  };

  struct Incoming
  {
    std::deque<Result<std::string>> pieces;
    // Waits for a piece; empty while none is asked for.
    Take take;
  };

  void ReadNext(const Key& aKey);
  void OnPiece(const Key& aKey, Result<std::string> aPiece);
  void Abandon(const Key& aKey);
  void Give(const Key& aKey, Incoming& aIncoming, Take aTake);
  void SendCredit(const Key& aKey, std::int64_t aBytes);

  const Send send;
  std::map<Key, Outgoing> outgoing;
  std::map<Key, std::shared_ptr<Incoming>> incoming;
};

} // namespace kumquat::coordination
