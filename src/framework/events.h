// What a process writes into its log: a closed list of numbered events. The
// numbers are stable; operators' alerts name them. docs/EVENTS.md is the
// catalogue, and a test holds it to the table.

#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <iosfwd>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace kumquat {

enum class Event : int
{
  kStarted = 1001,
  kReady = 1002,
  kNotReady = 1003,
  kStopping = 1004,
  kStopped = 1005,
  kSettingsInvalid = 1006,
  kListenFailed = 1007,
  kInternalError = 1008,
  kSettingsReloaded = 1009,

  kLeaseHeld = 2001,
  kLeaseLost = 2002,
  kGuardsChanged = 2003,
  kHostSuspected = 2004,
  kHostReleased = 2005,
  kHostDeposed = 2006,
  kDeposed = 2007,

  kStewardshipTaken = 3001,
  kStewardshipLost = 3002,
  kStewardshipHandedOver = 3003,
  kUpstreamCold = 3004,
  kUpstreamWarm = 3005,
  kUpstreamDraining = 3006,
  kUpstreamUnreachable = 3007,
  kUpstreamGone = 3008,
  kUpstreamFenced = 3009,
  kUpstreamUnchecked = 3010,
  kUpstreamEjected = 3011,
  kUpstreamReadmitted = 3012,
  kUpstreamSeen = 3013,

  kSliceMoved = 4001,
  kGrantLapsed = 4002,
  kCollectionStarted = 4003,
  kCollectionComplete = 4004,
  kCollectionUnsure = 4005,
  kKeys = 4006,

  kConfigurationInForce = 5001,
  kConfigurationNotLowered = 5002,
  kConfigurationConflict = 5003,
  kConfigurationInvalid = 5004,
  kPlaceOut = 5005,
  kPlaceIn = 5006,
  kOperatorRefused = 5007,

  kStoreDown = 6001,
  kStoreBack = 6002,
  kWriteUnknown = 6003,
  kPeerUp = 6004,
  kPeerDown = 6005,
  kPeerRefused = 6006,
  kRingFull = 6007,
  kTableFromPeer = 6008,
  kTableRead = 6009,
  kTableCaughtUp = 6010,
  kStoreCall = 6011,

  kAnswerCrossed = 7001,
  kAnswerTruncated = 7002,

  kRequestAnswered = 8001,
  kRequestRefused = 8002,
  kRequestGivenUp = 8003,
};

enum class EventLevel
{
  kDebug,
  kInfo,
  kWarn,
  kError,
};

struct EventEntry
{
  Event event;
  std::string_view name;
  EventLevel level;
  std::string_view text;
};

// The whole table, by rising number.
std::span<const EventEntry> EventEntries();

const EventEntry& FindEventEntry(Event aEvent);

std::string_view EventLevelName(EventLevel aLevel);

// What one occurrence of an event adds: who, which, how many.
struct EventField
{
  std::string_view name;
  std::variant<std::string_view, std::int64_t> value;
};

using EventFields = std::initializer_list<EventField>;

// How modules write; empty in tests that do not look at the log.
using EventHook = std::function<void(Event, EventFields)>;

// Writes events through spdlog on a thread of its own, as text or as one JSON
// object a line. Safe from any thread. Never blocks: a log that nobody reads
// (a full pipe) would otherwise hold a duty's thread until its lease is lost.
// The oldest waiting lines are dropped instead, and counted.
class EventLog
{
public:
  struct Options
  {
    // "trace", "debug", "info", "warn", "error".
    std::string level = "info";
    bool json = false;
    // Stands in each JSON line; may be empty.
    std::string host;
    // Standard output rather than standard error, where there is no stream.
    bool toStandardOutput = false;
    // Outlives the log.
    std::ostream* stream = nullptr;
    std::size_t queue = 8192;
  };

  explicit EventLog(Options aOptions);
  // Writes what waits.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(Event aEvent, EventFields aFields = {});

  std::uint64_t DroppedLines() const;

private:
  class State;
  std::unique_ptr<State> state;
};

} // namespace kumquat
