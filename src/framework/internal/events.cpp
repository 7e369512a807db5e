// The table of events, and the log that they are written to.

#include "framework/events.h"

#include <nlohmann/json.hpp>
#include <spdlog/async.h>
#include <spdlog/async_logger.h>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/ostream_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <algorithm>
#include <array>
#include <utility>

namespace kumquat {

namespace {

constexpr auto kDebug = EventLevel::kDebug;
constexpr auto kInfo = EventLevel::kInfo;
constexpr auto kWarn = EventLevel::kWarn;
constexpr auto kError = EventLevel::kError;

constexpr std::array kEntries = {
  EventEntry{ Event::kStarted, "started", kInfo, "the process has started" },
  EventEntry{ Event::kReady, "ready", kInfo,
              "this host is ready for callers' requests" },
  EventEntry{ Event::kNotReady, "not-ready", kWarn,
              "this host is not ready for callers' requests" },
  EventEntry{ Event::kStopping, "stopping", kInfo, "a planned stop has begun" },
  EventEntry{ Event::kStopped, "stopped", kInfo, "the process exits" },
  EventEntry{ Event::kSettingsInvalid, "settings-invalid", kError,
              "the settings are invalid" },
  EventEntry{ Event::kListenFailed, "listen-failed", kError,
              "listening on an address failed" },
  EventEntry{ Event::kInternalError, "internal-error", kError,
              "an internal error in the program" },
  EventEntry{ Event::kSettingsReloaded, "settings-reloaded", kInfo,
              "the settings were reloaded" },

  EventEntry{ Event::kLeaseHeld, "lease-held", kInfo,
              "this host holds its lease" },
  EventEntry{ Event::kLeaseLost, "lease-lost", kWarn,
              "this host's lease has expired; it starts no new work" },
  EventEntry{ Event::kGuardsChanged, "guards-changed", kInfo,
              "the guards that confirm this host's lease have changed" },
  EventEntry{ Event::kHostSuspected, "host-suspected", kWarn,
              "a host does not respond; its guards are asked to release it" },
  EventEntry{ Event::kHostReleased, "host-released", kInfo,
              "this guard no longer confirms a host's lease" },
  EventEntry{ Event::kHostDeposed, "host-deposed", kWarn,
              "a host was deposed; its upstreams get other stewards" },
  EventEntry{ Event::kDeposed, "deposed", kError,
              "this host was deposed by another host" },

  EventEntry{ Event::kStewardshipTaken, "stewardship-taken", kInfo,
              "this host is now the steward of an upstream" },
  EventEntry{
    Event::kStewardshipLost, "stewardship-lost", kWarn,
    "another host is now the steward of an upstream that this host had" },
  EventEntry{ Event::kStewardshipHandedOver, "stewardship-handed-over", kInfo,
              "an upstream was handed over to another steward" },
  EventEntry{ Event::kUpstreamCold, "upstream-cold", kWarn,
              "an upstream is cold and gets few requests (slow start)" },
  EventEntry{ Event::kUpstreamWarm, "upstream-warm", kInfo,
              "an upstream is warm; all its slots may be used" },
  EventEntry{ Event::kUpstreamDraining, "upstream-draining", kInfo,
              "an upstream is draining and gets no new requests" },
  EventEntry{ Event::kUpstreamUnreachable, "upstream-unreachable", kWarn,
              "connecting to an upstream failed" },
  EventEntry{ Event::kUpstreamGone, "upstream-gone", kInfo,
              "an upstream was removed from the platform's list" },
  EventEntry{ Event::kUpstreamFenced, "upstream-fenced", kWarn,
              "an upstream rejected this steward's epoch" },
  EventEntry{ Event::kUpstreamUnchecked, "upstream-unchecked", kWarn,
              "an upstream does not check the fencing tokens of its commands" },
  EventEntry{ Event::kUpstreamEjected, "upstream-ejected", kWarn,
              "a slow upstream was ejected and gets only probe requests" },
  EventEntry{ Event::kUpstreamReadmitted, "upstream-readmitted", kInfo,
              "an ejected upstream responds in time again and was readmitted" },
  EventEntry{ Event::kUpstreamSeen, "upstream-seen", kInfo,
              "an upstream's entry was added or changed" },
  EventEntry{ Event::kUpstreamsChanged, "upstreams-changed", kInfo,
              "the entries of many upstreams were added, changed or removed" },
  EventEntry{ Event::kUpstreamLimited, "upstream-limited", kWarn,
              "an upstream has named a limit, changed it or ended it" },
  EventEntry{ Event::kUpstreamLimitMalformed, "upstream-limit-malformed", kWarn,
              "an upstream names a limit that cannot be read; it is ignored" },
  EventEntry{ Event::kUpstreamResting, "upstream-resting", kWarn,
              "an upstream has asked this host for a time of rest" },
  EventEntry{ Event::kUpstreamSignalMalformed, "upstream-signal-malformed",
              kWarn,
              "an upstream says something that cannot be read; it is ignored" },
  EventEntry{ Event::kUpstreamSaysLeaving, "upstream-says-leaving", kInfo,
              "an upstream says that it leaves, and its entry did not" },
  EventEntry{
    Event::kUpstreamPaced, "upstream-paced", kInfo,
    "an upstream starts or recovers and gets its requests at a pace" },
  EventEntry{ Event::kUpstreamPaceCut, "upstream-pace-cut", kWarn,
              "an upstream has refused or failed at its pace, which was "
              "halved" },
  EventEntry{ Event::kUpstreamPaceEnded, "upstream-pace-ended", kInfo,
              "all slots of an upstream that was paced may be used" },

  EventEntry{ Event::kSliceMoved, "slice-moved", kInfo,
              "the owner of a slice has changed" },
  EventEntry{ Event::kGrantLapsed, "grant-lapsed", kWarn,
              "a grant could not be renewed in time" },
  EventEntry{
    Event::kCollectionStarted, "collection-started", kInfo,
    "collecting the keys that a deposed host may have run has started" },
  EventEntry{ Event::kCollectionComplete, "collection-complete", kInfo,
              "all keys that a deposed host may have run are known" },
  EventEntry{ Event::kCollectionUnsure, "collection-unsure", kWarn,
              "a host does not respond; the outcome of older keys is unknown" },
  EventEntry{ Event::kKeys, "keys", kInfo,
              "the assigner of a service or its key assignment has changed" },
  EventEntry{ Event::kQuotaLender, "quota-lender", kInfo,
              "the host that lends the tokens of teams' quotas has changed" },
  EventEntry{ Event::kOwnerProxies, "owner-proxies", kInfo,
              "requests for a service's keys pass through proxies from now on, "
              "or no longer" },

  EventEntry{ Event::kConfigurationInForce, "configuration-in-force", kInfo,
              "a configuration became active on this host" },
  EventEntry{ Event::kConfigurationNotLowered, "configuration-not-lowered",
              kDebug,
              "a lower configuration version was offered and not applied" },
  EventEntry{
    Event::kConfigurationConflict, "configuration-conflict", kInfo,
    "a change expected a configuration version that is not the active one" },
  EventEntry{ Event::kConfigurationInvalid, "configuration-invalid", kError,
              "this host cannot read an accepted configuration" },
  EventEntry{ Event::kPlaceOut, "place-out", kInfo,
              "a data centre or host was taken out of service" },
  EventEntry{ Event::kPlaceIn, "place-in", kInfo,
              "a data centre or host was brought back into service" },
  EventEntry{ Event::kOperatorRefused, "operator-refused", kWarn,
              "a request to the operators' listener had no valid token" },
  EventEntry{ Event::kConfigurationUnknownKind, "configuration-unknown-kind",
              kError,
              "routes of a kind that this version does not know are handled as "
              "at most once" },

  EventEntry{ Event::kStoreDown, "store-down", kWarn,
              "the platform's store does not respond" },
  EventEntry{ Event::kStoreBack, "store-back", kInfo,
              "the platform's store responds again" },
  EventEntry{
    Event::kWriteUnknown, "write-unknown", kWarn,
    "the response to a write was lost, and the rows could not be read back" },
  EventEntry{ Event::kPeerUp, "peer-up", kInfo, "connected to another host" },
  EventEntry{ Event::kPeerDown, "peer-down", kWarn,
              "the connection to another host was lost" },
  EventEntry{ Event::kPeerRefused, "peer-refused", kWarn,
              "a peer without a valid host record was rejected" },
  EventEntry{
    Event::kRingFull, "ring-full", kWarn,
    "the ring (bounded queue) between two threads was full; work was refused" },
  EventEntry{ Event::kTableFromPeer, "table-from-peer", kInfo,
              "a peer sent its replica of a table" },
  EventEntry{ Event::kTableRead, "table-read", kInfo,
              "a full read of a table at the store has ended" },
  EventEntry{
    Event::kTableCaughtUp, "table-caught-up", kInfo,
    "this host has received a table change that peers had announced" },
  EventEntry{ Event::kStoreCall, "store-call", kDebug,
              "a call to the store was started" },
  EventEntry{ Event::kWriteRefused, "write-refused", kError,
              "the store refused to write a row, and will refuse it again" },
  EventEntry{ Event::kPeerTraffic, "peer-traffic", kInfo,
              "bytes exchanged with peers since the last such line, by "
              "purpose" },
  EventEntry{ Event::kLinksLost, "links-lost", kWarn,
              "links to upstreams are down; peers relay the connections" },
  EventEntry{ Event::kLinksBack, "links-back", kInfo,
              "all links to upstreams in use are up again" },
  EventEntry{ Event::kRowInvalid, "row-invalid", kWarn,
              "a row that another process wrote cannot be used" },
  EventEntry{ Event::kRowsSkipped, "rows-skipped", kWarn,
              "the store sent rows that cannot be read" },

  EventEntry{
    Event::kAnswerCrossed, "answer-crossed", kError,
    "an upstream sent the response to another request; it was dropped" },
  EventEntry{ Event::kAnswerTruncated, "answer-truncated", kWarn,
              "an upstream's response ended before its full length" },

  EventEntry{ Event::kRequestAnswered, "request-answered", kInfo,
              "a request ended with an upstream's response" },
  EventEntry{ Event::kRequestRefused, "request-refused", kWarn,
              "a request was refused and has not run" },
  EventEntry{ Event::kRequestGivenUp, "request-given-up", kWarn,
              "a request ended without a response; it may have run" },
  EventEntry{ Event::kRequestProxied, "request-proxied", kInfo,
              "a request that was passed to the proxy of its key's owner has "
              "ended; the proxy's line of the same id tells how" },
  EventEntry{ Event::kRequestProxyLeft, "request-proxy-left", kInfo,
              "a request was dispatched here in place of its proxy" },
};

static_assert(std::ranges::is_sorted(kEntries, {}, &EventEntry::event),
              "kEntries must be sorted by event number for the binary search");

spdlog::level::level_enum SpdlogLevel(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::kDebug:
      return spdlog::level::debug;
    case EventLevel::kInfo:
      return spdlog::level::info;
    case EventLevel::kWarn:
      return spdlog::level::warn;
    case EventLevel::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

// Replaces bytes that are not valid UTF-8; by default dump() would throw on
// them while a log line is written.
std::string ToJsonText(const nlohmann::ordered_json& aValue)
{
  return aValue.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

nlohmann::ordered_json FieldValue(const EventField& aField)
{
  return std::visit(
    [](const auto& aValue) { return nlohmann::ordered_json(aValue); },
    aField.value);
}

// String values are quoted and escaped, so that a value with a line break
// cannot forge a log line.
std::string TextLine(const EventEntry& aEntry, EventFields aFields)
{
  std::string line =
    fmt::format("{} {} {}: {}", EventLevelName(aEntry.level),
                static_cast<int>(aEntry.event), aEntry.name, aEntry.text);
  for (const EventField& field : aFields) {
    line += fmt::format(" {}={}", field.name, ToJsonText(FieldValue(field)));
  }
  return line;
}

std::string JsonLine(const EventEntry& aEntry, EventFields aFields,
                     const std::string& aHost)
{
  nlohmann::ordered_json line = {
    { "level", EventLevelName(aEntry.level) },
    { "event", static_cast<int>(aEntry.event) },
    { "name", aEntry.name },
    { "text", aEntry.text },
  };
  if (!aHost.empty()) {
    line["host"] = aHost;
  }
  line["fields"] = nlohmann::ordered_json::object();
  for (const EventField& field : aFields) {
    line["fields"][std::string(field.name)] = FieldValue(field);
  }
  // kJsonPattern writes the opening brace, before the time.
  return ToJsonText(line).substr(1);
}

constexpr const char* kTextPattern = "%Y-%m-%dT%H:%M:%S.%eZ %v";
constexpr const char* kJsonPattern = "{\"time\":\"%Y-%m-%dT%H:%M:%S.%eZ\",%v";

spdlog::sink_ptr MakeSink(std::ostream* aStream, bool aToStandardOutput)
{
  if (aStream == nullptr && aToStandardOutput) {
    return std::make_shared<spdlog::sinks::stdout_sink_mt>();
  }
  if (aStream == nullptr) {
    return std::make_shared<spdlog::sinks::stderr_sink_mt>();
  }
  return std::make_shared<spdlog::sinks::ostream_sink_mt>(*aStream, true);
}

} // namespace

std::span<const EventEntry> EventEntries()
{
  return kEntries;
}

const EventEntry& FindEventEntry(Event aEvent)
{
  return *std::ranges::lower_bound(kEntries, aEvent, {}, &EventEntry::event);
}

std::string_view EventLevelName(EventLevel aLevel)
{
  switch (aLevel) {
    case EventLevel::kDebug:
      return "debug";
    case EventLevel::kInfo:
      return "info";
    case EventLevel::kWarn:
      return "warn";
    case EventLevel::kError:
      return "error";
  }
  return "error";
}

class EventLog::State
{
public:
  explicit State(Options aOptions)
    : options(std::move(aOptions))
    , pool(
        std::make_shared<spdlog::details::thread_pool>(this->options.queue, 1))
    , logger(std::make_shared<spdlog::async_logger>(
        "kumquat",
        MakeSink(this->options.stream, this->options.toStandardOutput),
        this->pool, spdlog::async_overflow_policy::overrun_oldest))
  {
    this->logger->set_formatter(std::make_unique<spdlog::pattern_formatter>(
      this->options.json ? kJsonPattern : kTextPattern,
      spdlog::pattern_time_type::utc));
    this->logger->set_level(spdlog::level::from_str(this->options.level));
    this->logger->flush_on(spdlog::level::trace);
  }

  void Write(const EventEntry& aEntry, EventFields aFields)
  {
    const auto level = SpdlogLevel(aEntry.level);
    if (!this->logger->should_log(level)) {
      return;
    }
    const std::string line = this->options.json
                               ? JsonLine(aEntry, aFields, this->options.host)
                               : TextLine(aEntry, aFields);
    this->logger->log(level, spdlog::string_view_t(line));
  }

  std::uint64_t DroppedLines() const { return this->pool->overrun_counter(); }

private:
  Options options;
  // The logger only has a weak reference to the pool. The pool is declared
  // before it and so destroyed after it; its destructor writes the waiting
  // lines.
  std::shared_ptr<spdlog::details::thread_pool> pool;
  std::shared_ptr<spdlog::async_logger> logger;
};

EventLog::EventLog(Options aOptions)
  : state(std::make_unique<State>(std::move(aOptions)))
{
}

EventLog::~EventLog() = default;

void EventLog::Write(Event aEvent, EventFields aFields)
{
  this->state->Write(FindEventEntry(aEvent), aFields);
}

std::uint64_t EventLog::DroppedLines() const
{
  return this->state->DroppedLines();
}

} // namespace kumquat
