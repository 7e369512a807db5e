// kumquatd: one host of the system. See docs/OPERATING.md.

#include "node/gateway.h"
#include "node/node.h"
#include "platform/names.h"
#include "state/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <variant>

ABSL_FLAG(std::string, settings, "", "path of the settings, a JSON file");
ABSL_FLAG(bool, check, false, "check the settings and exit");
ABSL_FLAG(bool, print_settings, false,
          "print the settings with every default and exit");
ABSL_FLAG(bool, version, false, "print the version and exit");

namespace {

constexpr auto kVersion = "0.1.0";
constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;
// Longer than any deadline that the operators' text allows for short work.
constexpr std::chrono::milliseconds kLongestStop{ 30'000 };

std::optional<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// The command line goes before the platform's word.
std::string SettingsPath()
{
  const std::string path = absl::GetFlag(FLAGS_settings);
  const char* told =
    std::getenv(std::string(kumquat::platform::kSettingsVariable).c_str());
  return path.empty() && told != nullptr ? std::string(told) : path;
}

std::string FaultText(const std::string& aPath,
                      const kumquat::state::TextFault& aFault)
{
  return aPath + ":" + std::to_string(aFault.line) + ": " + aFault.path + ": " +
         aFault.message;
}

// Prints every fault; none where the settings are sound.
template<typename Settings>
std::optional<Settings> TakeSettings(
  std::variant<Settings, std::vector<kumquat::state::TextFault>> aChecked,
  const std::string& aPath)
{
  if (auto* settings = std::get_if<Settings>(&aChecked)) {
    return *settings;
  }
  for (const kumquat::state::TextFault& fault :
       std::get<std::vector<kumquat::state::TextFault>>(aChecked)) {
    std::cerr << FaultText(aPath, fault) << "\n";
  }
  return std::nullopt;
}

// Checks or prints where the command line says so, else runs; aRun is the
// program for settings of this kind.
template<typename Settings, typename Run>
int Serve(const std::optional<Settings>& aSettings, const Run& aRun)
{
  if (!aSettings) {
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_print_settings)) {
    std::cout << kumquat::state::PrintSettings(*aSettings) << "\n";
    return 0;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << "settings are sound\n";
    return 0;
  }
  return aRun(*aSettings);
}

// Blocked in every thread and waited for in the main one. Writes to closed
// connections are told by their error instead of a signal.
sigset_t BlockSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGUSR1);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// A host that was frozen wakes up to find its run deposed, and that run stays
// over. The process goes on with a new run, as if its host had been replaced;
// the node says so by SIGUSR1.
int RunNode(const kumquat::state::Settings& aSettings, const sigset_t& aSignals)
{
  while (true) {
    const auto node =
      kumquat::node::Node::Start(aSettings, [] { kill(getpid(), SIGUSR1); });
    if (!node) {
      std::cerr << "kumquatd: cannot start: " << node.error().message() << "\n";
      return kExitFailed;
    }
    int signal = 0;
    do {
      sigwait(&aSignals, &signal);
    } while (signal == SIGHUP);
    if (signal != SIGUSR1) {
      return (*node)->Stop(kLongestStop) ? 0 : kExitFailed;
    }
  }
}

int RunGateway(const kumquat::state::GatewaySettings& aSettings,
               const std::string& aPath, const sigset_t& aSignals)
{
  const auto gateway = kumquat::node::Gateway::Start(aSettings);
  if (!gateway) {
    std::cerr << "kumquatd: cannot start: " << gateway.error().message()
              << "\n";
    return kExitFailed;
  }
  int signal = 0;
  while (sigwait(&aSignals, &signal) == 0 && signal == SIGHUP) {
    const auto text = ReadFile(aPath);
    auto checked =
      kumquat::state::ParseGatewaySettings(text.value_or(std::string()));
    if (auto* settings =
          std::get_if<kumquat::state::GatewaySettings>(&checked)) {
      (*gateway)->Reload(*settings);
      continue;
    }
    const auto& faults =
      std::get<std::vector<kumquat::state::TextFault>>(checked);
    (*gateway)->OnReloadFailed(FaultText(aPath, faults.front()));
  }
  const bool clean = (*gateway)->Stop();
  std::cout.flush();
  // Threads of a run that ends have nothing left to do.
  return clean ? 0 : kExitFailed;
}

} // namespace

int main(int argc, char** argv)
{
  absl::SetProgramUsageMessage(
    "One host of kumquatscale.\n\n"
    "  kumquatd --settings=FILE\n"
    "  kumquatd --settings=FILE --check\n\n"
    "Exit codes: 0 after a planned stop, 1 where something failed, 2 where\n"
    "the settings are not sound.");
  absl::ParseCommandLine(argc, argv);
  if (absl::GetFlag(FLAGS_version)) {
    std::cout << "kumquatd " << kVersion << "\n";
    return 0;
  }
  const std::string path = SettingsPath();
  const auto text = ReadFile(path);
  if (!text) {
    std::cerr << "kumquatd: cannot read the settings \"" << path
              << "\" (--settings=FILE)\n";
    return kExitBadSettings;
  }
  const sigset_t signals = BlockSignals();
  using namespace kumquat::state;
  if (IsGatewayText(*text)) {
    return Serve(TakeSettings(ParseGatewaySettings(*text), path),
                 [&](const GatewaySettings& aSettings) {
                   return RunGateway(aSettings, path, signals);
                 });
  }
  return Serve(
    TakeSettings(ParseSettings(*text), path),
    [&](const Settings& aSettings) { return RunNode(aSettings, signals); });
}
