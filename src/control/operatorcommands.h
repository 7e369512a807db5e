// The operators' commands: what kumquatctl does, without its flags and its
// connection, which come in by hooks.

#pragma once

#include "framework/clock.h"
#include "framework/result.h"
#include "state/types.h"
#include "transport/http.h"

#include <chrono>
#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::control {

enum class ExitCode
{
  kDone = 0,
  // No answer, or a refusal that has no code of its own.
  kFailed = 1,
  // Wrong arguments, or a text with faults; nothing was changed.
  kInvalid = 2,
  // Another change came first; nothing was changed.
  kConflict = 3,
  // Accepted, and not in force on every host within the time to wait.
  kLagging = 4,
  // The change may have been accepted.
  kUnknown = 5,
};

struct CommandOptions
{
  bool json = false;
  // Needed by `config apply`.
  std::optional<state::Version> expect;
  std::string service;
  // How long a change is waited for; 0 to not wait.
  std::chrono::milliseconds wait{ 30'000 };
  // Between two looks at the status.
  std::chrono::milliseconds every{ 500 };
};

class OperatorCommands
{
public:
  struct Hooks
  {
    // To the operators' listener of one host; adds the token.
    std::function<Result<transport::HttpResponse>(transport::HttpRequest)> send;
    std::function<std::optional<std::string>(const std::string&)> readFile;
    Clock now;
    std::function<void(std::chrono::milliseconds)> sleep;
    // What was asked for, and what went wrong; both outlive the commands.
    std::ostream& out;
    std::ostream& err;
  };

  OperatorCommands(Hooks aHooks, CommandOptions aOptions);

  // aWords as on the command line, as { "config", "check", "a.json" }.
  ExitCode Run(const std::vector<std::string>& aWords) const;

  static std::string_view Usage();

private:
  // Which number of a host's status must reach aTarget.
  struct Goal
  {
    std::string field;
    state::Version target = 0;
  };

  ExitCode CheckFile(const std::string& aPath) const;
  ExitCode ApplyFile(const std::string& aPath) const;
  ExitCode ShowConfiguration() const;
  ExitCode ChangePlace(const std::string& aKind, const std::string& aName,
                       bool aOut) const;
  ExitCode ShowStatus() const;
  ExitCode Explain(const std::string& aKey) const;
  ExitCode Watch() const;

  ExitCode AwaitEverywhere(const Goal& aGoal) const;
  ExitCode ReportRefusal(const transport::HttpResponse& aResponse) const;
  Result<transport::HttpResponse> Send(const std::string& aMethod,
                                       const std::string& aTarget,
                                       std::string aBody = {}) const;
  ExitCode ReportNoAnswer(const std::error_code& aError) const;

  const Hooks hooks;
  const CommandOptions options;
};

} // namespace kumquat::control
