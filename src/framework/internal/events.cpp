// The table of events, and the log that writes them.

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
  EventEntry{ Event::kReady, "ready", kInfo, "callers may be sent here" },
  EventEntry{ Event::kNotReady, "not-ready", kWarn,
              "callers should not be sent here" },
  EventEntry{ Event::kStopping, "stopping", kInfo, "a planned stop has begun" },
  EventEntry{ Event::kStopped, "stopped", kInfo, "the process ends" },
  EventEntry{ Event::kSettingsInvalid, "settings-invalid", kError,
              "the settings have a fault" },
  EventEntry{ Event::kListenFailed, "listen-failed", kError,
              "an address cannot be listened at" },
  EventEntry{ Event::kInternalError, "internal-error", kError,
              "a fault in the program" },
  EventEntry{ Event::kSettingsReloaded, "settings-reloaded", kInfo,
              "the settings were read again" },

  EventEntry{ Event::kLeaseHeld, "lease-held", kInfo,
              "this host holds its lease" },
  EventEntry{ Event::kLeaseLost, "lease-lost", kWarn,
              "this host's lease has lapsed; it starts no work" },
  EventEntry{ Event::kGuardsChanged, "guards-changed", kInfo,
              "this host has other guards" },
  EventEntry{ Event::kHostSuspected, "host-suspected", kWarn,
              "a host does not answer and is being released" },
  EventEntry{ Event::kHostReleased, "host-released", kInfo,
              "this guard confirms a host no longer" },
  EventEntry{ Event::kHostDeposed, "host-deposed", kWarn,
              "a host was deposed; its upstreams get other stewards" },
  EventEntry{ Event::kDeposed, "deposed", kError,
              "this host was deposed by another" },

  EventEntry{ Event::kStewardshipTaken, "stewardship-taken", kInfo,
              "this host is an upstream's steward" },
  EventEntry{ Event::kStewardshipLost, "stewardship-lost", kWarn,
              "another host is the steward of an upstream of this one" },
  EventEntry{ Event::kStewardshipHandedOver, "stewardship-handed-over", kInfo,
              "an upstream was handed to another steward" },
  EventEntry{ Event::kUpstreamCold, "upstream-cold", kWarn,
              "an upstream is in cold start and gets little work" },
  EventEntry{ Event::kUpstreamWarm, "upstream-warm", kInfo,
              "an upstream bears all its slots" },
  EventEntry{ Event::kUpstreamDraining, "upstream-draining", kInfo,
              "an upstream is leaving and gets no new work" },
  EventEntry{ Event::kUpstreamUnreachable, "upstream-unreachable", kWarn,
              "an upstream cannot be connected to" },
  EventEntry{ Event::kUpstreamGone, "upstream-gone", kInfo,
              "an upstream is no longer in the platform's list" },
  EventEntry{ Event::kUpstreamFenced, "upstream-fenced", kWarn,
              "an upstream refused this steward's epoch" },
  EventEntry{ Event::kUpstreamUnchecked, "upstream-unchecked", kWarn,
              "an upstream does not check who gives it orders" },
  EventEntry{ Event::kUpstreamEjected, "upstream-ejected", kWarn,
              "a straggling upstream gets only probes" },
  EventEntry{ Event::kUpstreamReadmitted, "upstream-readmitted", kInfo,
              "an upstream answers in time again" },
  EventEntry{ Event::kUpstreamSeen, "upstream-seen", kInfo,
              "an upstream's entry is new or has changed" },

  EventEntry{ Event::kSliceMoved, "slice-moved", kInfo,
              "a slice has another owner" },
  EventEntry{ Event::kGrantLapsed, "grant-lapsed", kWarn,
              "a grant could not be renewed in time" },
  EventEntry{ Event::kCollectionStarted, "collection-started", kInfo,
              "the keys that a deposed host may have run are being collected" },
  EventEntry{ Event::kCollectionComplete, "collection-complete", kInfo,
              "all that a deposed host may have run is known" },
  EventEntry{ Event::kCollectionUnsure, "collection-unsure", kWarn,
              "a host is silent; older keys get an unknown outcome" },
  EventEntry{ Event::kKeys, "keys", kInfo,
              "an assigner changed, or keys of a service did" },

  EventEntry{ Event::kConfigurationInForce, "configuration-in-force", kInfo,
              "a configuration came into force on this host" },
  EventEntry{ Event::kConfigurationNotLowered, "configuration-not-lowered",
              kDebug, "a lower version was offered and is not applied" },
  EventEntry{ Event::kConfigurationConflict, "configuration-conflict", kInfo,
              "a change expected another version than the one in force" },
  EventEntry{ Event::kConfigurationInvalid, "configuration-invalid", kError,
              "an accepted configuration cannot be read here" },
  EventEntry{ Event::kPlaceOut, "place-out", kInfo,
              "a data centre or host was taken out of service" },
  EventEntry{ Event::kPlaceIn, "place-in", kInfo,
              "a data centre or host was brought back into service" },
  EventEntry{ Event::kOperatorRefused, "operator-refused", kWarn,
              "a request on the operators' listener had no right token" },

  EventEntry{ Event::kStoreDown, "store-down", kWarn,
              "the platform's store does not answer" },
  EventEntry{ Event::kStoreBack, "store-back", kInfo,
              "the platform's store answers again" },
  EventEntry{ Event::kWriteUnknown, "write-unknown", kWarn,
              "a write's answer was lost and it could not be read back" },
  EventEntry{ Event::kPeerUp, "peer-up", kInfo, "connected to another host" },
  EventEntry{ Event::kPeerDown, "peer-down", kWarn,
              "the connection to another host broke" },
  EventEntry{ Event::kPeerRefused, "peer-refused", kWarn,
              "a peer that is not in the host records was turned away" },
  EventEntry{ Event::kRingFull, "ring-full", kWarn,
              "a ring between two threads was full; work was refused" },
  EventEntry{ Event::kTableFromPeer, "table-from-peer", kInfo,
              "a peer knew more of a table and passed its copy on" },
  EventEntry{ Event::kTableRead, "table-read", kInfo,
              "a whole read of a table at the store ended" },
  EventEntry{ Event::kTableCaughtUp, "table-caught-up", kInfo,
              "a change of a table is known that peers had named" },
  EventEntry{ Event::kStoreCall, "store-call", kDebug, "the store is called" },

  EventEntry{ Event::kAnswerCrossed, "answer-crossed", kError,
              "an upstream sent another request's answer; it was dropped" },
  EventEntry{ Event::kAnswerTruncated, "answer-truncated", kWarn,
              "an upstream's answer ended before its length" },

  EventEntry{ Event::kRequestAnswered, "request-answered", kInfo,
              "a request ended with an upstream's answer" },
  EventEntry{ Event::kRequestRefused, "request-refused", kWarn,
              "a request was refused and has not run" },
  EventEntry{ Event::kRequestGivenUp, "request-given-up", kWarn,
              "a request ended without an answer; it may have run" },
};

static_assert(std::ranges::is_sorted(kEntries, {}, &EventEntry::event),
              "the table is searched by number");

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

// Bytes that are no UTF-8 must not throw in the middle of a log line.
std::string Dump(const nlohmann::ordered_json& aValue)
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

// Strings are quoted, so that a value with a line's end forges no line.
std::string TextLine(const EventEntry& aEntry, EventFields aFields)
{
  std::string line =
    fmt::format("{} {} {}: {}", EventLevelName(aEntry.level),
                static_cast<int>(aEntry.event), aEntry.name, aEntry.text);
  for (const EventField& field : aFields) {
    line += fmt::format(" {}={}", field.name, Dump(FieldValue(field)));
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
  // The pattern has the opening brace and the time.
  return Dump(line).substr(1);
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

  std::uint64_t Dropped() const { return this->pool->overrun_counter(); }

private:
  Options options;
  // The logger refers to its pool weakly; the pool ends last and writes what
  // waits.
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
  return this->state->Dropped();
}

} // namespace kumquat
