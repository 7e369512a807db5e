// Records when a host sent each of its last digests. A peer's digest names the
// key map that it uses and the last digest that it had received from this host.
// This report is dated back to the time at which that digest was sent. If it
// were dated by its arrival, an old report could look recent: a host that
// resumes after a pause finds its connections full of old digests.

#pragma once

#include "framework/clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>

namespace kumquat::ownership {

// The send times of this host's last 300 digests.
class DigestSendTimes
{
public:
  // Records that a digest is sent now and returns its number. Numbers ascend
  // from 1.
  std::int64_t RecordSend(TimePoint aNow)
  {
    // Half a minute of digests. Reports that name older ones have expired.
    constexpr std::size_t kKept = 300;
    this->sent.push_back(aNow);
    ++this->last;
    if (this->sent.size() > kKept) {
      this->sent.pop_front();
    }
    return this->last;
  }

  // Returns the clock's epoch if the digest was never sent or is forgotten.
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
