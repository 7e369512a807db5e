// Writes a deployment's settings files and operators' text.

#include "standins/deployment.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <iostream>
#include <string>

ABSL_FLAG(std::string, deployment, "cooperative", "cooperative or silnostav");
ABSL_FLAG(int, net, kumquat::standins::DefaultNet(),
          "second octet of every address");
ABSL_FLAG(std::string, out, "", "folder to write to");
ABSL_FLAG(bool, relayed, false, "peers meet over the network stand-in");

int main(int argc, char** argv)
{
  using namespace kumquat::standins;
  absl::ParseCommandLine(argc, argv);
  const Deployment* deployment =
    FindDeployment(absl::GetFlag(FLAGS_deployment));
  if (deployment == nullptr) {
    std::cerr << "no such deployment\n";
    return 2;
  }
  if (!WriteFiles(*deployment, absl::GetFlag(FLAGS_net),
                  absl::GetFlag(FLAGS_relayed), absl::GetFlag(FLAGS_out))) {
    std::cerr << "cannot write to the folder\n";
    return 1;
  }
  return 0;
}
