// kumquatd: one host of the system. See docs/OPERATING.md.

#include "node/node.h"
#include "state/settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <unistd.h>

#include <csignal>
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

// Prints every fault; none where the settings are sound.
std::optional<kumquat::state::Settings> LoadSettings(const std::string& aPath)
{
  const auto text = ReadFile(aPath);
  if (!text) {
    std::cerr << "kumquatd: cannot read the settings \"" << aPath
              << "\" (--settings=FILE)\n";
    return std::nullopt;
  }
  auto checked = kumquat::state::ParseSettings(*text);
  if (auto* settings = std::get_if<kumquat::state::Settings>(&checked)) {
    return *settings;
  }
  for (const kumquat::state::TextFault& fault :
       std::get<std::vector<kumquat::state::TextFault>>(checked)) {
    std::cerr << aPath << ":" << fault.line << ": " << fault.path << ": "
              << fault.message << "\n";
  }
  return std::nullopt;
}

// A host that was frozen wakes up to find its run deposed, and that run stays
// over. The process goes on as a new run: the same program in its place, with
// nothing left open, as if its host had been replaced.
int StartAnew(char** argv)
{
  constexpr unsigned kFirstAfterStandard = 3;
  close_range(kFirstAfterStandard, ~0U, 0);
  execv("/proc/self/exe", argv);
  std::cerr << "kumquatd: cannot start anew\n";
  return kExitFailed;
}

// SIGTERM and SIGINT are blocked in every thread and waited for here, and so is
// SIGHUP, by which the node says that it was deposed.
int RunUntilSignal(const kumquat::state::Settings& aSettings, char** argv)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  const auto node =
    kumquat::node::Node::Start(aSettings, [] { kill(getpid(), SIGHUP); });
  if (!node) {
    std::cerr << "kumquatd: cannot start: " << node.error().message() << "\n";
    return kExitFailed;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  if (signal == SIGHUP) {
    return StartAnew(argv);
  }
  return (*node)->Stop(kLongestStop) ? 0 : kExitFailed;
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
  const auto settings = LoadSettings(absl::GetFlag(FLAGS_settings));
  if (!settings) {
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_print_settings)) {
    std::cout << kumquat::state::PrintSettings(*settings) << "\n";
    return 0;
  }
  if (absl::GetFlag(FLAGS_check)) {
    std::cout << "settings are sound\n";
    return 0;
  }
  return RunUntilSignal(*settings, argv);
}
