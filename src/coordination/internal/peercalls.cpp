// Matching of replies to questions.

#include "coordination/peercalls.h"

#include "protocol/errorkind.h"

#include <utility>
#include <vector>

namespace kumquat::coordination {

using protocol::ErrorKind;

PeerCalls::PeerCalls(Clock aClock, Send aSend)
  : clock(std::move(aClock))
  , send(std::move(aSend))
{
}

std::uint64_t PeerCalls::Ask(const state::HostId& aHost, protocol::Frame aFrame,
                             Duration aTimeout, Done aDone)
{
  const std::uint64_t correlation = this->NextCorrelation();
  aFrame.__set_correlation(static_cast<std::int64_t>(correlation));
  aFrame.__set_reply(false);
  if (!this->send(aHost, aFrame)) {
    aDone(make_error_code(ErrorKind::kPeerUnreachable));
    return correlation;
  }
  this->open.emplace(correlation, Call{ aHost, std::move(aDone) });
  this->deadlines.emplace(this->clock() + aTimeout, correlation);
  return correlation;
}

void PeerCalls::End(std::uint64_t aCorrelation, Result<protocol::Frame> aResult)
{
  const auto found = this->open.find(aCorrelation);
  if (found == this->open.end()) {
    return;
  }
  const Done done = std::move(found->second.done);
  this->open.erase(found);
  done(std::move(aResult));
}

void PeerCalls::OnReply(protocol::Frame&& aFrame)
{
  const auto correlation = static_cast<std::uint64_t>(aFrame.correlation);
  this->End(correlation, std::move(aFrame));
}

void PeerCalls::OnPeerLost(const state::HostId& aHost)
{
  std::vector<std::uint64_t> lost;
  for (const auto& [correlation, call] : this->open) {
    if (call.host == aHost) {
      lost.push_back(correlation);
    }
  }
  for (const std::uint64_t correlation : lost) {
    this->End(correlation, make_error_code(ErrorKind::kPeerLost));
  }
}

void PeerCalls::OnTimer()
{
  const TimePoint now = this->clock();
  while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
    const std::uint64_t correlation = this->deadlines.begin()->second;
    this->deadlines.erase(this->deadlines.begin());
    this->End(correlation, make_error_code(ErrorKind::kUpstreamTimeout));
  }
}

} // namespace kumquat::coordination
