// What operators ask of a host and change through it, as HTTP requests and
// JSON answers. docs/OPERATING.md has the list.
//
// No I/O: the listener and the platform come in by hooks. Runs on the thread
// of the map and the configuration's keeper. Answers come at once, but for
// changes, which wait for the table.

#pragma once

#include "framework/events.h"
#include "protocol/errorkind.h"
#include "state/configurationkeeper.h"
#include "state/configurationwriter.h"
#include "state/routingmap.h"
#include "state/table.h"
#include "state/types.h"
#include "transport/http.h"

#include "coordination/steward.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::coordination {

// The host and what it keeps; all of it outlives the interface.
struct OperatorView
{
  state::HostRef self;
  state::DataCentre dataCentre;
  const state::RoutingMap& map;
  const state::ConfigurationKeeper& keeper;
  std::function<bool()> isReady;
  std::function<bool()> holdsLease;
  // Of the upstreams that this host is steward of.
  std::function<std::vector<SlotCount>()> counts;
  // Since the start, by kind.
  std::function<std::uint64_t(protocol::ErrorKind)> refusals;
  std::function<std::uint64_t(protocol::ErrorKind)> retries;
};

struct OperatorHooks
{
  std::string token;
  // The registry's text.
  std::function<std::string()> metrics;
  // Applies and pushes what it wrote, as MapKeeper::Write.
  state::TableHooks table;
  // Unique for each write of any host.
  std::function<std::string()> nonce;
  // May be empty.
  EventHook event;
};

class OperatorApi
{
public:
  using Respond = std::function<void(transport::HttpResponse)>;

  OperatorApi(OperatorView aView, OperatorHooks aHooks,
              const state::ConfigurationWriter& aWriter);

  // aRespond runs once.
  void Handle(const transport::HttpRequest& aRequest, Respond aRespond) const;

private:
  struct Call;
  struct Page;
  struct PlaceChange;

  static const std::vector<Page>& Pages();
  bool IsAllowed(const transport::HttpRequest& aRequest) const;

  void Ready(const Call& aCall) const;
  void ShowMetrics(const Call& aCall) const;
  void ShowStatus(const Call& aCall) const;
  void ShowExplanation(const Call& aCall) const;
  void ShowConfiguration(const Call& aCall) const;
  void ChangeConfiguration(const Call& aCall) const;
  void ChangePlace(const Call& aCall) const;
  void WritePlace(const PlaceChange& aChange) const;
  void ReportPlaceConflict(const PlaceChange& aChange) const;
  void AnswerPlace(const PlaceChange& aChange, state::Version aVersion) const;
  void Tell(Event aEvent, EventFields aFields) const;

  const OperatorView view;
  const OperatorHooks hooks;
  const state::ConfigurationWriter& writer;
};

} // namespace kumquat::coordination
