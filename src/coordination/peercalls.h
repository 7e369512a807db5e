// Questions to other hosts: each gets exactly one answer, be it the reply, the
// loss of the connection, or the passing of time.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <unordered_map>

namespace kumquat::coordination {

class PeerCalls
{
public:
  using Done = std::function<void(Result<protocol::Frame>)>;
  // False where the frame was surely not sent.
  using Send =
    std::function<bool(const state::HostId&, const protocol::Frame&)>;

  PeerCalls(Clock aClock, Send aSend);

  // Also numbers requests that are not sent to a peer: unique in this process.
  std::uint64_t NextCorrelation() { return ++this->lastCorrelation; }

  // Errors: kPeerUnreachable (surely not sent), kPeerLost, kUpstreamTimeout.
  // aDone may run before Ask returns. Gives the frame's correlation.
  std::uint64_t Ask(const state::HostId& aHost, protocol::Frame aFrame,
                    Duration aTimeout, Done aDone);

  // A reply that nobody waits for any more is dropped.
  void OnReply(protocol::Frame&& aFrame);
  void OnPeerLost(const state::HostId& aHost);
  void OnTimer();

  std::size_t Open() const { return this->open.size(); }

private:
  struct Call
  {
    state::HostId host;
    Done done;
  };

  void End(std::uint64_t aCorrelation, Result<protocol::Frame> aResult);

  const Clock clock;
  const Send send;
  std::uint64_t lastCorrelation = 0;
  std::unordered_map<std::uint64_t, Call> open;
  // Holds calls that are over, too, until their time passes.
  std::multimap<TimePoint, std::uint64_t> deadlines;
};

} // namespace kumquat::coordination
