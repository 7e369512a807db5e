// The duty that communicates with the platform's store, on a thread of its own.
// It follows tables and performs reads and writes for the serving thread.

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
  // Unset if the table was read.
  std::error_code error;
};

class StoreClient
{
public:
  struct Hooks
  {
    // All are called on the store's thread.
    std::function<void(TableUpdate)> tableUpdated;
    // The store became available or unavailable.
    std::function<void(bool)> availabilityChanged;
    // A full read of a table ended.
    std::function<void(const TableReadResult&)> readEnded;
    // A call about the table is sent to the store.
    std::function<void(state::StoreCall, const std::string&)> callStarted;
    // A response held so many rows of the table that cannot be read.
    std::function<void(const std::string&, std::size_t)> rowsSkipped;
  };

  StoreClient(transport::DutyThread& aThread, const std::string& aAddress,
              const std::string& aLocalAddress,
              std::vector<std::string> aTables, Hooks aHooks);
  ~StoreClient();
  StoreClient(const StoreClient&) = delete;
  StoreClient& operator=(const StoreClient&) = delete;

  // The methods up to LastReceivedAt may be called from any thread. The store's
  // availability is judged by the calls about the first table.

  // Follows these tables from the given versions on, 0 where nothing is known,
  // and stops following the others, whose updates then come from peers.
  // aWithCaution is for a store that may be unavailable: only the first table
  // is requested until the store responds, and retries are less frequent.
  void Follow(const std::map<std::string, state::Version>& aTables,
              bool aWithCaution);
  // Reads the full table, and if it is followed goes on following it on that
  // connection. Used when peers have a newer version: the open connection may
  // have failed silently.
  void ReadFullTable(const std::string& aTable);
  // Time at which the last bytes of a response about the table arrived.
  TimePoint LastReceivedAt(const std::string& aTable) const;

  // May be used on the store's thread only.
  state::RowStore& Rows() { return *this->store; }

private:
  struct TableFollower;

  std::shared_ptr<TableFollower> FindFollower(const std::string& aTable) const;
  void SetFollowed(const std::shared_ptr<TableFollower>& aFollower,
                   bool aIsFollowed, state::Version aKnownVersion);
  void StartFollowing(const std::shared_ptr<TableFollower>& aFollower);
  void ReadFull(const std::shared_ptr<TableFollower>& aFollower);
  void Watch(const std::shared_ptr<TableFollower>& aFollower);
  void OnResponse(const std::shared_ptr<TableFollower>& aFollower);
  void ReportUpdate(const std::shared_ptr<TableFollower>& aFollower,
                    bool aIsFull, std::vector<state::StoredRow> aRows);
  bool IsAwaitingRecovery(
    const std::shared_ptr<TableFollower>& aFollower) const;
  std::chrono::milliseconds FirstRetryPause() const;
  std::chrono::milliseconds RandomizeWait(std::chrono::milliseconds aWait);
  void ScheduleWatch(const std::shared_ptr<TableFollower>& aFollower);
  void OnFailure(const std::shared_ptr<TableFollower>& aFollower, bool aIsFull);
  void SetAvailable(bool aIsAvailable);

  transport::DutyThread& thread;
  const Hooks hooks;
  // Used for calls that are not about a followed table.
  transport::HttpClient client;
  std::unique_ptr<state::RowStore> store;
  std::vector<std::shared_ptr<TableFollower>> followers;
  std::mt19937_64 random;
  bool isAvailable = true;
  std::chrono::milliseconds maxRetryPause;
  // The first table was requested with caution, and the store has not
  // responded yet.
  bool isProbing = false;
};

} // namespace kumquat::node
