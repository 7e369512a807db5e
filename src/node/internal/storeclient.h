// The duty that speaks with the platform's store, on a thread of its own:
// follows tables and carries reads and writes of the serving thread.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"
#include "node/internal/tablereplicas.h"
#include "state/rowstore.h"
#include "transport/dutythread.h"
#include "transport/httpclient.h"

#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kumquat::node {

struct TableReadResult
{
  std::string table;
  Duration took{ 0 };
  std::size_t rows = 0;
  // Empty where it was read.
  std::error_code error;
};

class StoreClient
{
public:
  struct Hooks
  {
    // All on the store's thread.
    std::function<void(TableUpdate)> tableUpdated;
    // The store answers, or does not.
    std::function<void(bool)> availabilityChanged;
    // A whole read of a table ended.
    std::function<void(const TableReadResult&)> readEnded;
    // A call leaves, about the table.
    std::function<void(state::StoreCall, const std::string&)> callStarted;
  };

  StoreClient(transport::DutyThread& aThread, const std::string& aAddress,
              const std::string& aLocalAddress,
              std::vector<std::string> aTables, Hooks aHooks);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // From any thread. The first table is the one by which the store is known to
  // be well.

  // Begins to follow the tables from the versions on, 0 where nothing is known,
  // and leaves the others to peers to tell of. With caution, for a store that
  // may be out, the first table is asked for alone until it is answered, and
  // again after longer pauses.
  void Follow(const std::map<std::string, state::Version>& aTables,
              bool aWithCaution);
  // Reads the table whole, and follows it on that connection where it is
  // followed: peers know more of it, so the open one may have gone silent.
  void ReadFullTable(const std::string& aTable);
  // When the last bytes of an answer about the table came; from any thread.
  TimePoint LastReceivedAt(const std::string& aTable) const;

  // On the store's thread.
  state::RowStore& Rows() { return *this->store; }

private:
  struct Follower;

  std::shared_ptr<Follower> FollowerOf(const std::string& aTable) const;
  void SetFollowed(const std::shared_ptr<Follower>& aFollower, bool aFollowed,
                   state::Version aKnown);
  void Begin(const std::shared_ptr<Follower>& aFollower);
  void ReadWhole(const std::shared_ptr<Follower>& aFollower);
  void Watch(const std::shared_ptr<Follower>& aFollower);
  void OnAnswer(const std::shared_ptr<Follower>& aFollower);
  void Tell(const std::shared_ptr<Follower>& aFollower, bool aWhole,
            std::vector<state::StoredRow> aRows);
  bool IsAwaitingReturn(const std::shared_ptr<Follower>& aFollower) const;
  std::chrono::milliseconds FirstPause() const;
  std::chrono::milliseconds SpreadWait(std::chrono::milliseconds aWait);
  void WatchLater(const std::shared_ptr<Follower>& aFollower);
  void OnFailure(const std::shared_ptr<Follower>& aFollower, bool aWhole);
  void SetWell(bool aWell);

  transport::DutyThread& thread;
  const Hooks hooks;
  // Of calls that are not about a table that is followed.
  transport::HttpClient client;
  std::unique_ptr<state::RowStore> store;
  std::vector<std::shared_ptr<Follower>> followers;
  std::mt19937_64 random;
  bool well = true;
  std::chrono::milliseconds longestPause;
  // The first table was asked for with caution and not answered yet.
  bool isProbing = false;
};

} // namespace kumquat::node
