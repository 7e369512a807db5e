// When a host sent each of its last digests. A peer names the last one that it
// had heard when it said whose map it goes by; what it said then counts from
// the sending of that digest. Counted from when it arrived, an old word could
// look fresh: a host that wakes up after standing still finds its connections
// full of them.

#pragma once

#include "framework/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace kumquat::ownership {

class DigestSendTimes
{
public:
  // The number of the digest that is sent now; rises from 1.
  std::int64_t RecordSend(TimePoint aNow)
  {
    // Half a minute of digests; older ones count for nothing any more.
    constexpr std::size_t kKept = 300;
    this->sent.push_back(aNow);
    ++this->last;
    if (this->sent.size() > kKept) {
      this->sent.pop_front();
    }
    return this->last;
  }

  // The epoch where the digest is not known (any more).
  TimePoint SentAt(std::int64_t aNumber) const
  {
    const std::int64_t first =
      this->last - static_cast<std::int64_t>(this->sent.size()) + 1;
    return aNumber < first || aNumber > this->last
             ? TimePoint{}
             : this->sent[static_cast<std::size_t>(aNumber - first)];
  }

private:
  std::deque<TimePoint> sent;
  std::int64_t last = 0;
};

} // namespace kumquat::ownership
