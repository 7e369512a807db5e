// Pages of the operators' interface.

#include "coordination/operatorapi.h"

#include "coordination/internal/operatorstatus.h"
#include "state/rows.h"
#include "transport/httpstatus.h"

#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>

namespace kumquat::coordination {

namespace {

using nlohmann::ordered_json;
using protocol::ErrorKind;
using protocol::Outcome;
using state::PlaceRecord;
using state::Version;
using state::WriteOutcome;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr std::string_view kBearer = "Bearer ";

HttpResponse ToResponse(int aStatus, const ordered_json& aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers = { { "Content-Type", "application/json" } };
  // Keys may hold any bytes; they must not throw here.
  response.body =
    aBody.dump(2, ' ', false, ordered_json::error_handler_t::replace) + "\n";
  return response;
}

HttpResponse PlainText(int aStatus, std::string aText)
{
  HttpResponse response;
  response.status = aStatus;
  response.headers = { { "Content-Type", "text/plain; version=0.0.4" } };
  response.body = std::move(aText);
  return response;
}

struct Refusal
{
  ErrorKind kind;
  std::string message;
  // Where it differs from the kind's own.
  std::optional<Outcome> outcome;
  // Added to the body.
  ordered_json more = ordered_json::object();
};

HttpResponse ToResponse(const Refusal& aRefusal)
{
  const protocol::ErrorInfo& answer = protocol::ErrorInfoFor(aRefusal.kind);
  const std::string_view outcome =
    protocol::OutcomeName(aRefusal.outcome.value_or(answer.outcome));
  ordered_json body = { { "error", answer.name },
                        { "outcome", outcome },
                        { "message", aRefusal.message } };
  body.update(aRefusal.more);
  HttpResponse response = ToResponse(answer.httpStatus, body);
  response.headers.push_back({ "Kumquat-Error", std::string(answer.name) });
  response.headers.push_back({ "Kumquat-Outcome", std::string(outcome) });
  if (answer.retryAfter) {
    response.headers.push_back(
      { "Retry-After", std::to_string(answer.retryAfter->count()) });
  }
  return response;
}

// Takes the same time wherever the difference is, so that the token cannot be
// found letter by letter.
bool AreEqual(std::string_view aLeft, std::string_view aRight)
{
  if (aLeft.size() != aRight.size()) {
    return false;
  }
  unsigned difference = 0;
  for (std::size_t i = 0; i < aLeft.size(); ++i) {
    difference |= static_cast<unsigned char>(aLeft[i]) ^
                  static_cast<unsigned char>(aRight[i]);
  }
  return difference == 0;
}

std::optional<Version> ToVersion(std::string_view aText)
{
  Version version = 0;
  const char* const end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, version);
  const bool whole = error == std::errc() && stop == end && version >= 0;
  return whole ? std::optional(version) : std::nullopt;
}

ordered_json FaultsToJson(const std::vector<state::TextFault>& aFaults)
{
  ordered_json faults = ordered_json::array();
  for (const state::TextFault& fault : aFaults) {
    faults.push_back({ { "line", fault.line },
                       { "path", fault.path },
                       { "message", fault.message } });
  }
  return faults;
}

HttpResponse ToResponse(const state::ChangeResult& aResult)
{
  switch (aResult.error) {
    case ErrorKind::kNone:
      return ToResponse(transport::status::kOk,
                        { { "version", aResult.version } });
    case ErrorKind::kInvalidConfiguration:
      return ToResponse(
        Refusal{ .kind = aResult.error,
                 .message = "the text has faults; nothing was changed",
                 .more = { { "faults", FaultsToJson(aResult.faults) } } });
    case ErrorKind::kConflict:
      return ToResponse(Refusal{
        .kind = aResult.error,
        .message = "another version than the expected one is in force; "
                   "nothing was changed",
        .more = { { "in_force", { { "version", aResult.version } } } } });
    default:
      return ToResponse(Refusal{
        .kind = aResult.error,
        .message = aResult.outcome == Outcome::kUnknown
                     ? "the store does not answer; the change may have been "
                       "accepted: look at what is in force before trying again"
                     : "the store does not answer; nothing was changed",
        .outcome = aResult.outcome });
  }
}

bool IsDataCentre(const state::RoutingMap& aMap,
                  const state::Configuration& aConfiguration,
                  const std::string& aName)
{
  const auto isThere = [&aName](const auto* aRecord) {
    return aRecord->dataCentre.value == aName;
  };
  const auto hasUpstream = [&](const state::ServiceConfiguration& aService) {
    return std::ranges::any_of(aMap.Upstreams(aService.name), isThere);
  };
  return std::ranges::any_of(aMap.Hosts(), isThere) ||
         std::ranges::any_of(aConfiguration.services, hasUpstream);
}

PlaceRecord FindPlace(const state::RoutingMap& aMap, const std::string& aName)
{
  const auto places = aMap.Places();
  const auto found = std::ranges::find(places, aName, &PlaceRecord::name);
  return found == places.end() ? PlaceRecord{ .name = aName } : **found;
}

} // namespace

struct OperatorApi::Call
{
  const HttpRequest& request;
  boost::urls::url_view target;
  Respond respond;

  // Empty where the target has no such parameter.
  std::string Parameter(std::string_view aName) const
  {
    const auto parameters = this->target.params();
    const auto found = parameters.find(aName);
    return found == parameters.end() ? std::string() : (*found).value;
  }
};

struct OperatorApi::Page
{
  std::string_view method;
  // The first segment of the path.
  std::string_view name;
  bool needsToken = true;
  void (OperatorApi::*handle)(const Call&) const = nullptr;
};

struct OperatorApi::PlaceChange
{
  PlaceRecord place;
  Respond respond;
};

OperatorApi::OperatorApi(OperatorView aView, OperatorHooks aHooks,
                         const state::ConfigurationWriter& aWriter)
  : view(std::move(aView))
  , hooks(std::move(aHooks))
  , writer(aWriter)
{
}

const std::vector<OperatorApi::Page>& OperatorApi::Pages()
{
  static const std::vector<Page> kPages = {
    // The balancer asks for it and has no token.
    { "GET", "ready", false, &OperatorApi::Ready },
    { "GET", "metrics", true, &OperatorApi::ShowMetrics },
    { "GET", "status", true, &OperatorApi::ShowStatus },
    { "GET", "explain", true, &OperatorApi::ShowExplanation },
    { "GET", "config", true, &OperatorApi::ShowConfiguration },
    { "PUT", "config", true, &OperatorApi::ChangeConfiguration },
    { "PUT", "places", true, &OperatorApi::ChangePlace },
  };
  return kPages;
}

void OperatorApi::Handle(const HttpRequest& aRequest, Respond aRespond) const
{
  const auto target = boost::urls::parse_origin_form(aRequest.target);
  if (target.has_error() || target->segments().empty()) {
    aRespond(ToResponse(transport::status::kNotFound,
                        { { "message", "no such page" } }));
    return;
  }
  const std::string name = *target->segments().begin();
  const auto page = std::ranges::find_if(Pages(), [&](const Page& aPage) {
    return aPage.name == name && aPage.method == aRequest.method;
  });
  if (page == Pages().end()) {
    aRespond(ToResponse(transport::status::kNotFound,
                        { { "message", "no such page" } }));
    return;
  }
  if (page->needsToken && !this->IsAllowed(aRequest)) {
    this->Tell(Event::kOperatorRefused, { { "page", name } });
    HttpResponse refusal = ToResponse(
      Refusal{ .kind = ErrorKind::kUnauthorized,
               .message = "needs the header Authorization: Bearer TOKEN" });
    refusal.headers.push_back({ "WWW-Authenticate", "Bearer" });
    aRespond(std::move(refusal));
    return;
  }
  (this->*page->handle)({ aRequest, *target, std::move(aRespond) });
}

bool OperatorApi::IsAllowed(const HttpRequest& aRequest) const
{
  const std::string_view header = aRequest.Header("Authorization");
  return header.starts_with(kBearer) &&
         AreEqual(header.substr(kBearer.size()), this->hooks.token);
}

void OperatorApi::Ready(const Call& aCall) const
{
  const bool ready = this->view.isReady();
  aCall.respond(ready
                  ? PlainText(transport::status::kOk, "ready\n")
                  : PlainText(transport::status::kUnavailable, "not ready\n"));
}

void OperatorApi::ShowMetrics(const Call& aCall) const
{
  aCall.respond(PlainText(transport::status::kOk, this->hooks.metrics()));
}

void OperatorApi::ShowStatus(const Call& aCall) const
{
  aCall.respond(ToResponse(transport::status::kOk, StatusOf(this->view)));
}

void OperatorApi::ShowExplanation(const Call& aCall) const
{
  const std::string service = aCall.Parameter("service");
  const state::ServiceConfiguration* const configured =
    this->view.keeper.InForce().Find({ service });
  if (configured == nullptr) {
    aCall.respond(ToResponse(
      Refusal{ .kind = ErrorKind::kUnknownService,
               .message = "no service \"" + service + "\" is configured" }));
    return;
  }
  aCall.respond(
    ToResponse(transport::status::kOk,
               ExplanationOf(this->view, *configured, aCall.Parameter("key"))));
}

void OperatorApi::ShowConfiguration(const Call& aCall) const
{
  aCall.respond(ToResponse(transport::status::kOk,
                           { { "version", this->view.keeper.InForce().version },
                             { "text", this->view.keeper.Text() } }));
}

void OperatorApi::ChangeConfiguration(const Call& aCall) const
{
  const auto expected = ToVersion(aCall.Parameter("expect"));
  if (!expected) {
    aCall.respond(ToResponse(
      Refusal{ .kind = ErrorKind::kMalformedRequest,
               .message = "expect=VERSION must name the version in force, 0 "
                          "where there is none" }));
    return;
  }
  this->writer.Change(
    aCall.request.body, *expected,
    [this, respond = aCall.respond](const state::ChangeResult& aResult) {
      if (aResult.error == ErrorKind::kConflict) {
        this->Tell(Event::kConfigurationConflict,
                   { { "in_force", aResult.version } });
      }
      respond(ToResponse(aResult));
    });
}

void OperatorApi::ChangePlace(const Call& aCall) const
{
  const std::string name = aCall.target.segments().back();
  const std::string kind = aCall.Parameter("kind");
  const std::string out = aCall.Parameter("out");
  const auto expected = ToVersion(aCall.Parameter("expect"));
  if (!expected || (out != "true" && out != "false") ||
      (kind != "host" && kind != "data-centre")) {
    aCall.respond(ToResponse(Refusal{
      .kind = ErrorKind::kMalformedRequest,
      .message = "PUT /places/NAME?kind=host|data-centre&out=true|false&"
                 "expect=VERSION" }));
    return;
  }
  const bool known =
    kind == "host"
      ? this->view.map.FindHost({ name }) != nullptr
      : IsDataCentre(this->view.map, this->view.keeper.InForce(), name);
  if (!known) {
    aCall.respond(
      ToResponse(Refusal{ .kind = ErrorKind::kInvalidConfiguration,
                          .message = "no " + kind + " \"" + name + "\"" }));
    return;
  }
  this->WritePlace(
    { { .name = name, .out = out == "true", .version = *expected },
      aCall.respond });
}

void OperatorApi::WritePlace(const PlaceChange& aChange) const
{
  const PlaceRecord known = FindPlace(this->view.map, aChange.place.name);
  // It is so already; a write would only start another round of news.
  if (known.version == aChange.place.version &&
      known.out == aChange.place.out) {
    this->AnswerPlace(aChange, known.version);
    return;
  }
  state::ConditionalWrite write;
  write.row = state::ToRow(aChange.place);
  write.row.nonce = this->hooks.nonce();
  write.expected = aChange.place.version;
  this->hooks.table.write(
    { std::move(write) }, [this, aChange](WriteOutcome aOutcome) {
      switch (aOutcome) {
        case WriteOutcome::kWritten:
          this->Tell(aChange.place.out ? Event::kPlaceOut : Event::kPlaceIn,
                     { { "name", aChange.place.name } });
          this->AnswerPlace(aChange, aChange.place.version + 1);
          return;
        case WriteOutcome::kConflict:
          this->ReportPlaceConflict(aChange);
          return;
        case WriteOutcome::kUnknown:
        case WriteOutcome::kRefused:
          aChange.respond(ToResponse(
            state::ChangeResult{ .error = ErrorKind::kStoreUnavailable,
                                 .outcome = Outcome::kUnknown }));
          return;
      }
    });
}

// Two operators may want the same, or one sends again what took effect; only
// an opposite change is a conflict.
void OperatorApi::ReportPlaceConflict(const PlaceChange& aChange) const
{
  this->hooks.table.query(
    std::string(state::kPlacePartition),
    [this, aChange](const Result<std::vector<state::Row>>& aRows) {
      PlaceRecord inForce = FindPlace(this->view.map, aChange.place.name);
      if (aRows) {
        const auto row =
          std::ranges::find(*aRows, aChange.place.name, &state::Row::name);
        const auto read = row == aRows->end() ? Result<PlaceRecord>(inForce)
                                              : state::PlaceFromJson(*row);
        inForce = read ? *read : inForce;
      }
      if (inForce.out == aChange.place.out &&
          inForce.version > aChange.place.version) {
        this->AnswerPlace(aChange, inForce.version);
        return;
      }
      aChange.respond(ToResponse(
        Refusal{ .kind = ErrorKind::kConflict,
                 .message = "the place was changed meanwhile; nothing was "
                            "changed now",
                 .more = { { "in_force",
                             { { "name", inForce.name },
                               { "out", inForce.out },
                               { "version", inForce.version } } } } }));
    });
}

void OperatorApi::AnswerPlace(const PlaceChange& aChange,
                              Version aVersion) const
{
  aChange.respond(
    ToResponse(transport::status::kOk,
               { { "name", aChange.place.name },
                 { "out", aChange.place.out },
                 { "version", aVersion },
                 { "places_version", this->view.map.PlacesVersion() } }));
}

void OperatorApi::Tell(Event aEvent, EventFields aFields) const
{
  if (this->hooks.event) {
    this->hooks.event(aEvent, aFields);
  }
}

} // namespace kumquat::coordination
