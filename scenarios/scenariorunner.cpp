// Runs one story: scenariorunner FILE.lua --seed=N. Exit code 0 where every
// expectation and every promise held, 1 where not.

#include "scenarios/luabinding.h"
#include "scenarios/scenario.h"
#include "standins/deployment.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <string>

ABSL_FLAG(std::uint64_t, seed, 1, "of load, faults and choices");
ABSL_FLAG(int, net, kumquat::standins::DefaultNet(),
          "second octet of every address");
ABSL_FLAG(std::string, build, "build", "the build tree");
ABSL_FLAG(std::string, out, "out", "folder for settings and logs; emptied");

int main(int argc, char** argv)
{
  using namespace kumquat::scenarios;
  const auto words = absl::ParseCommandLine(argc, argv);
  if (words.size() != 2) {
    std::cerr << "usage: scenariorunner FILE.lua [--seed=N]\n";
    return 2;
  }
  std::cout << words[1] << " seed " << absl::GetFlag(FLAGS_seed) << "\n";
  Scenario scenario({ .seed = absl::GetFlag(FLAGS_seed),
                      .net = absl::GetFlag(FLAGS_net),
                      .build = absl::GetFlag(FLAGS_build),
                      .out = absl::GetFlag(FLAGS_out) });
  RunStory(scenario, words[1]);
  return scenario.Finish();
}
