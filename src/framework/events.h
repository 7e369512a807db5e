// The events that a process writes to its log: a closed list with numbers.
// Operators' alerts refer to the numbers, so a number never changes its
// meaning. docs/EVENTS.md lists them, and a test checks that it matches the
// table here.

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
  kUpstreamsChanged = 3014,
  kUpstreamLimited = 3015,
  kUpstreamLimitMalformed = 3016,
  kUpstreamResting = 3017,
  kUpstreamSignalMalformed = 3018,
  kUpstreamSaysLeaving = 3019,
  kUpstreamPaced = 3020,
  kUpstreamPaceCut = 3021,
  kUpstreamPaceEnded = 3022,

  kSliceMoved = 4001,
  kGrantLapsed = 4002,
  kCollectionStarted = 4003,
  kCollectionComplete = 4004,
  kCollectionUnsure = 4005,
  kKeys = 4006,
  kQuotaLender = 4007,
  kOwnerProxies = 4008,

  kConfigurationInForce = 5001,
  kConfigurationNotLowered = 5002,
  kConfigurationConflict = 5003,
  kConfigurationInvalid = 5004,
  kPlaceOut = 5005,
  kPlaceIn = 5006,
  kOperatorRefused = 5007,
  kConfigurationUnknownKind = 5008,

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
  kWriteRefused = 6012,
  kPeerTraffic = 6013,
  kLinksLost = 6014,
  kLinksBack = 6015,
  kRowInvalid = 6016,
  kRowsSkipped = 6017,

  kAnswerCrossed = 7001,
  kAnswerTruncated = 7002,

  kRequestAnswered = 8001,
  kRequestRefused = 8002,
  kRequestGivenUp = 8003,
  kRequestProxied = 8004,
  kRequestProxyLeft = 8005,
};

enum class EventLevel
{
  kDebug,
  kInfo,
  kWarn,
  kError,
};

// A row of the event table.
struct EventEntry
{
  Event event;
  // Stable, as the number is; written to the log.
  std::string_view name;
  EventLevel level;
  // A sentence for the reader of the log.
  std::string_view text;
};

// The full table, sorted by event number.
std::span<const EventEntry> EventEntries();

// The row of an event; every event has one.
const EventEntry& FindEventEntry(Event aEvent);

std::string_view EventLevelName(EventLevel aLevel);

// A name and a value that one occurrence of an event adds to its log line, such
// as a host, an upstream or a count.
struct EventField
{
  std::string_view name;
  std::variant<std::string_view, std::int64_t> value;
};

using EventFields = std::initializer_list<EventField>;

// The hook through which modules write events. It may be empty, as in tests
// that do not check the log.
using EventHook = std::function<void(Event, EventFields)>;

// Writes events through spdlog on a thread of its own, as text or as one JSON
// object per line. Thread-safe. Write never blocks: if nobody reads the log (a
// full pipe), a blocked duty thread could not renew its lease in time. When the
// queue is full, the oldest waiting lines are dropped and counted instead.
class EventLog
{
public:
  struct Options
  {
    // The lowest level that is written: "trace", "debug", "info", "warn" or
    // "error".
    std::string level = "info";
    bool json = false;
    // The host's name, written in each JSON line unless it is empty.
    std::string host;
    // Without a stream: writes to standard output instead of standard error.
    bool toStandardOutput = false;
    // Must outlive the log; nullptr for standard output or standard error.
    std::ostream* stream = nullptr;
    // Maximum number of lines that wait to be written.
    std::size_t queue = 8192;
  };

  explicit EventLog(Options aOptions);
  // Blocks until all waiting lines are written.
  ~EventLog();
  EventLog(const EventLog&) = delete;
  EventLog& operator=(const EventLog&) = delete;

  void Write(Event aEvent, EventFields aFields = {});

  // Number of lines dropped since the start because the queue was full.
  std::uint64_t DroppedLines() const;

private:
  class State;
  std::unique_ptr<State> state;
};

} // namespace kumquat
