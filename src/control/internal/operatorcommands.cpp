// The operators' commands over the operators' interface of one host.

#include "control/operatorcommands.h"

#include "control/internal/statustext.h"
#include "state/configuration.h"
#include "transport/httpstatus.h"

#include <boost/url/encode.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <algorithm>
#include <ostream>
#include <system_error>
#include <utility>

namespace kumquat::control {

namespace {

using nlohmann::json;
using state::Version;
using transport::HttpRequest;
using transport::HttpResponse;

std::string Encode(const std::string& aText)
{
  return boost::urls::encode(aText, boost::urls::unreserved_chars);
}

std::string FaultLine(const std::string& aFile, int aLine,
                      const std::string& aPath, const std::string& aMessage)
{
  return fmt::format("{}:{}: {}: {}\n", aFile, aLine, aPath, aMessage);
}

// A host that is deposed has nothing in force any more.
bool IsAwaited(const json& aHost)
{
  return aHost.at("state") != "deposed";
}

bool Lags(const json& aHost, const std::string& aField, Version aTarget)
{
  const json& version = aHost.at(aField);
  return version.is_null() || version.get<Version>() < aTarget;
}

// Names and versions of the hosts that lag; empty where none does.
std::vector<std::string> LaggingHosts(const json& aStatus,
                                      const std::string& aField,
                                      Version aTarget)
{
  std::vector<std::string> lagging;
  for (const json& host : aStatus.at("hosts")) {
    if (IsAwaited(host) && Lags(host, aField, aTarget)) {
      const json& version = host.at(aField);
      lagging.push_back(
        host.at("host").get<std::string>() +
        (version.is_null() ? " (not heard)" : " (" + version.dump() + ")"));
    }
  }
  return lagging;
}

} // namespace

OperatorCommands::OperatorCommands(Hooks aHooks, CommandOptions aOptions)
  : hooks(std::move(aHooks))
  , options(std::move(aOptions))
{
}

std::string_view OperatorCommands::Usage()
{
  return "kumquatctl [--operator=IP:PORT --token=TOKEN] COMMAND\n\n"
         "  config check FILE              check a text; needs no host\n"
         "  config apply FILE --expect=V   bring a text into force after "
         "version V\n"
         "  config show                    the text in force\n"
         "  out data-centre|host NAME      take a place out of service\n"
         "  in data-centre|host NAME       bring it back\n"
         "  status [--format=json]         hosts, upstreams, slices, refusals\n"
         "  explain KEY --service=NAME     where a key's requests go, and why\n"
         "  watch                          the status, again and again\n\n"
         "Exit codes: 0 done (in force on every host); 1 failed; 2 wrong\n"
         "arguments or text, nothing changed; 3 conflict, nothing changed;\n"
         "4 accepted, but some hosts lag; 5 the outcome is not known.";
}

ExitCode OperatorCommands::Run(const std::vector<std::string>& aWords) const
{
  const auto is = [&aWords](std::initializer_list<std::string_view> aStart,
                            std::size_t aSize) {
    return aWords.size() == aSize &&
           std::equal(aStart.begin(), aStart.end(), aWords.begin());
  };
  if (is({ "config", "check" }, 3)) {
    return this->CheckFile(aWords[2]);
  }
  if (is({ "config", "apply" }, 3)) {
    return this->ApplyFile(aWords[2]);
  }
  if (is({ "config", "show" }, 2)) {
    return this->ShowConfiguration();
  }
  if (is({ "out" }, 3) || is({ "in" }, 3)) {
    return this->ChangePlace(aWords[1], aWords[2], aWords[0] == "out");
  }
  if (is({ "status" }, 1)) {
    return this->ShowStatus();
  }
  if (is({ "explain" }, 2)) {
    return this->Explain(aWords[1]);
  }
  if (is({ "watch" }, 1)) {
    return this->Watch();
  }
  this->hooks.err << Usage() << "\n";
  return ExitCode::kInvalid;
}

ExitCode OperatorCommands::CheckFile(const std::string& aPath) const
{
  const auto text = this->hooks.readFile(aPath);
  if (!text) {
    this->hooks.err << "cannot read " << aPath << "\n";
    return ExitCode::kInvalid;
  }
  const auto checked = state::ParseConfiguration(*text);
  const auto* faults = std::get_if<std::vector<state::TextFault>>(&checked);
  if (faults == nullptr) {
    this->hooks.out << aPath << ": sound\n";
    return ExitCode::kDone;
  }
  for (const state::TextFault& fault : *faults) {
    this->hooks.err << FaultLine(aPath, fault.line, fault.path, fault.message);
  }
  return ExitCode::kInvalid;
}

ExitCode OperatorCommands::ApplyFile(const std::string& aPath) const
{
  const auto text = this->hooks.readFile(aPath);
  if (!text || !this->options.expect) {
    this->hooks.err << (text ? "needs --expect=VERSION, the version in force "
                               "(config show has it; 0 for the first)\n"
                             : "cannot read " + aPath + "\n");
    return ExitCode::kInvalid;
  }
  const auto response = this->Send(
    "PUT", "/config?expect=" + std::to_string(*this->options.expect), *text);
  if (!response) {
    return this->ReportNoAnswer(response.error());
  }
  if (response->status != transport::status::kOk) {
    return this->ReportRefusal(*response);
  }
  const auto version = json::parse(response->body).at("version").get<Version>();
  this->hooks.out << "accepted as version " << version << "\n";
  return this->AwaitEverywhere({ "configuration_version", version });
}

ExitCode OperatorCommands::ShowConfiguration() const
{
  const auto response = this->Send("GET", "/config");
  if (!response) {
    return this->ReportNoAnswer(response.error());
  }
  if (response->status != transport::status::kOk) {
    return this->ReportRefusal(*response);
  }
  if (this->options.json) {
    this->hooks.out << response->body;
    return ExitCode::kDone;
  }
  const json shown = json::parse(response->body);
  // The text alone goes to the output, so that it can be edited and applied.
  this->hooks.err << "version " << shown.at("version") << "\n";
  this->hooks.out << shown.at("text").get<std::string>();
  return ExitCode::kDone;
}

ExitCode OperatorCommands::ChangePlace(const std::string& aKind,
                                       const std::string& aName,
                                       bool aOut) const
{
  const auto status = this->Send("GET", "/status");
  if (!status) {
    return this->ReportNoAnswer(status.error());
  }
  if (status->status != transport::status::kOk) {
    return this->ReportRefusal(*status);
  }
  Version expected = 0;
  const json known = json::parse(status->body);
  for (const json& place : known.at("places")) {
    if (place.at("name") == aName) {
      expected = place.at("version").get<Version>();
    }
  }
  const auto response = this->Send(
    "PUT", fmt::format("/places/{}?kind={}&out={}&expect={}", Encode(aName),
                       Encode(aKind), aOut, expected));
  if (!response) {
    return this->ReportNoAnswer(response.error());
  }
  if (response->status != transport::status::kOk) {
    return this->ReportRefusal(*response);
  }
  this->hooks.out << aName << " is " << (aOut ? "out" : "in") << "\n";
  const json changed = json::parse(response->body);
  return this->AwaitEverywhere(
    { "places_version", changed.at("places_version").get<Version>() });
}

ExitCode OperatorCommands::ShowStatus() const
{
  const auto response = this->Send("GET", "/status");
  if (!response) {
    return this->ReportNoAnswer(response.error());
  }
  if (response->status != transport::status::kOk) {
    return this->ReportRefusal(*response);
  }
  this->hooks.out << (this->options.json
                        ? response->body
                        : StatusText(json::parse(response->body)));
  this->hooks.out.flush();
  return ExitCode::kDone;
}

ExitCode OperatorCommands::Explain(const std::string& aKey) const
{
  const auto response =
    this->Send("GET", "/explain?service=" + Encode(this->options.service) +
                        "&key=" + Encode(aKey));
  if (!response) {
    return this->ReportNoAnswer(response.error());
  }
  if (response->status != transport::status::kOk) {
    return this->ReportRefusal(*response);
  }
  this->hooks.out << response->body;
  return ExitCode::kDone;
}

// Until the process is stopped, or the host no longer answers.
ExitCode OperatorCommands::Watch() const
{
  while (true) {
    const ExitCode code = this->ShowStatus();
    if (code != ExitCode::kDone) {
      return code;
    }
    this->hooks.out << "\n";
    this->hooks.sleep(this->options.every);
  }
}

// An accepted change is in force on every host within seconds; a host that is
// cut off or stopped would let the operator wait without end, so that the
// time is bounded and the hosts that lag are named.
ExitCode OperatorCommands::AwaitEverywhere(const Goal& aGoal) const
{
  const TimePoint until = this->hooks.now() + this->options.wait;
  std::vector<std::string> lagging;
  std::size_t told = 0;
  while (true) {
    const auto status = this->Send("GET", "/status");
    if (status && status->status == transport::status::kOk) {
      lagging =
        LaggingHosts(json::parse(status->body), aGoal.field, aGoal.target);
      if (lagging.empty()) {
        this->hooks.out << "in force on every host\n";
        return ExitCode::kDone;
      }
      if (std::exchange(told, lagging.size()) != lagging.size()) {
        this->hooks.out << "waiting for " << lagging.size() << " hosts\n";
        this->hooks.out.flush();
      }
    }
    if (this->hooks.now() >= until) {
      this->hooks.err << "accepted, but not in force yet on:\n";
      std::ranges::for_each(lagging, [this](const std::string& aHost) {
        this->hooks.err << "  " << aHost << "\n";
      });
      return ExitCode::kLagging;
    }
    this->hooks.sleep(this->options.every);
  }
}

ExitCode OperatorCommands::ReportRefusal(const HttpResponse& aResponse) const
{
  const json body = json::parse(aResponse.body, nullptr, false);
  if (!body.is_object()) {
    this->hooks.err << "refused: HTTP " << aResponse.status << "\n";
    return ExitCode::kFailed;
  }
  this->hooks.err << body.value("error", "refused") << ": "
                  << body.value("message", "") << "\n";
  for (const json& fault : body.value("faults", json::array())) {
    this->hooks.err << FaultLine("text", fault.at("line").get<int>(),
                                 fault.at("path").get<std::string>(),
                                 fault.at("message").get<std::string>());
  }
  if (body.contains("in_force")) {
    this->hooks.err << "in force: " << body["in_force"].dump() << "\n";
  }
  if (aResponse.status == transport::status::kConflict) {
    return ExitCode::kConflict;
  }
  if (aResponse.status == transport::status::kUnprocessable) {
    return ExitCode::kInvalid;
  }
  return body.value("outcome", "") == "unknown" ? ExitCode::kUnknown
                                                : ExitCode::kFailed;
}

Result<HttpResponse> OperatorCommands::Send(const std::string& aMethod,
                                            const std::string& aTarget,
                                            std::string aBody) const
{
  HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = std::move(aBody);
  return this->hooks.send(std::move(request));
}

ExitCode OperatorCommands::ReportNoAnswer(const std::error_code& aError) const
{
  this->hooks.err << "no answer: " << aError.message() << "\n";
  // Where nothing was connected nothing was changed.
  return aError == transport::TransportError::kUnreachable ? ExitCode::kFailed
                                                           : ExitCode::kUnknown;
}

} // namespace kumquat::control
