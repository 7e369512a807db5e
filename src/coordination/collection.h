// A successor's questions to every other host: which keys of a slice may have
// run before it took the slice. Until all have answered, or the horizon has
// passed, it is unsure of every key that may be older than its tenure.
//
// One thread; no I/O.

#pragma once

#include "coordination/duplicaterule.h"
#include "framework/clock.h"
#include "framework/result.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <unordered_set>
#include <vector>

namespace kumquat::coordination {

// Sends a frame and calls back exactly once: with the reply, or with an error
// where none came within the timeout or the connection was lost.
using AskPeer =
  std::function<void(const state::HostRef&, protocol::Frame, Duration,
                     std::function<void(Result<protocol::Frame>)>)>;

class Collection
{
public:
  struct Options
  {
    protocol::CollectRequest request;
    // Every incarnation that may have been live within the horizon, but for
    // this host and the predecessor. One that is gone never answers.
    std::set<state::HostRef> witnesses;
    TimePoint started;
    Duration horizon{};
    Duration timeout{};
    Clock clock;
    AskPeer ask;
    OmittedRules omittedForTest;
  };

  explicit Collection(Options aOptions);

  // What this host's own log says.
  void Add(const protocol::CollectReply& aReply);

  // Asks those that have not answered and are not being asked.
  void Tick();

  // Every witness has answered, or no key from before can come any more.
  bool IsSure() const;
  bool MayHaveRun(std::uint64_t aHash) const;
  // Of the range, whoever named them.
  std::vector<std::int64_t> Hashes(std::uint64_t aFirst,
                                   std::uint64_t aLast) const;
  // Past the horizon the collection says nothing and may be dropped.
  bool IsOver() const;
  std::size_t Missing() const;
  // Long enough for answers that are on their way to be here.
  bool IsYoung() const;

private:
  // Replies may come after the collection is gone: they hold it weakly.
  struct Progress
  {
    std::set<state::HostRef> missing;
    std::set<state::HostRef> asking;
    std::unordered_set<std::uint64_t> hashes;
    // The owner before has named them all; nothing that others say is news.
    bool settled = false;
  };

  static void Take(Progress& aProgress, const protocol::CollectReply& aReply);
  void Ask(const state::HostRef& aWitness);

  Options options;
  std::shared_ptr<Progress> progress;
};

} // namespace kumquat::coordination
