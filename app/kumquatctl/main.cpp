// kumquatctl: operators' commands. See docs/OPERATING.md.

#include "control/operatorcommands.h"
#include "transport/httpclient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>
#include <string>
#include <thread>
#include <utility>

ABSL_FLAG(std::string, operator, "127.0.1.1:9000",
          "a host's operator listener, ip:port; any host will do");
ABSL_FLAG(std::string, token, "",
          "the operators' token; KUMQUAT_TOKEN of the environment where empty");
ABSL_FLAG(std::int64_t, expect, -1,
          "config apply: the version that is to be replaced");
ABSL_FLAG(std::string, service, "", "explain: the key's service");
ABSL_FLAG(std::string, format, "text", "text or json");
ABSL_FLAG(std::int64_t, wait_ms, 30'000,
          "how long a change is waited for on every host; 0 to not wait");
ABSL_FLAG(std::int64_t, every_ms, 500, "between two looks at the status");

namespace {

using kumquat::Result;
using kumquat::transport::HttpClient;
using kumquat::transport::HttpRequest;
using kumquat::transport::HttpResponse;

constexpr std::chrono::milliseconds kTimeout{ 10'000 };
constexpr std::size_t kWholeBody = 64U << 20U;

std::optional<std::string> ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath);
  if (!file) {
    return std::nullopt;
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

// Given on the command line a token shows in the list of processes.
std::string Token()
{
  const std::string token = absl::GetFlag(FLAGS_token);
  const char* const fromEnvironment = std::getenv("KUMQUAT_TOKEN");
  return token.empty() && fromEnvironment != nullptr ? fromEnvironment : token;
}

Result<HttpResponse> SendAndWait(HttpRequest aRequest)
{
  aRequest.headers.push_back({ "Authorization", "Bearer " + Token() });
  boost::asio::io_context context;
  HttpClient::Options options;
  options.wholeBodyBytes = kWholeBody;
  HttpClient client(context, options);
  std::optional<Result<HttpResponse>> answer;
  client.Send(
    absl::GetFlag(FLAGS_operator), std::move(aRequest), kTimeout,
    [&answer](Result<HttpResponse> aAnswer) { answer = std::move(aAnswer); });
  while (!answer && context.run_one() > 0) {
  }
  return std::move(*answer);
}

kumquat::control::CommandOptions Options()
{
  kumquat::control::CommandOptions options;
  options.json = absl::GetFlag(FLAGS_format) == "json";
  options.service = absl::GetFlag(FLAGS_service);
  options.wait = std::chrono::milliseconds(absl::GetFlag(FLAGS_wait_ms));
  options.every = std::chrono::milliseconds(absl::GetFlag(FLAGS_every_ms));
  if (absl::GetFlag(FLAGS_expect) >= 0) {
    options.expect = absl::GetFlag(FLAGS_expect);
  }
  return options;
}

} // namespace

int main(int argc, char** argv)
{
  using kumquat::control::OperatorCommands;
  absl::SetProgramUsageMessage(std::string(OperatorCommands::Usage()));
  const std::vector<char*> words = absl::ParseCommandLine(argc, argv);
  const OperatorCommands commands({ .send = SendAndWait,
                                    .readFile = ReadFile,
                                    .now = std::chrono::steady_clock::now,
                                    .sleep =
                                      [](std::chrono::milliseconds aTime) {
                                        std::this_thread::sleep_for(aTime);
                                      },
                                    .out = std::cout,
                                    .err = std::cerr },
                                  Options());
  return static_cast<int>(
    commands.Run({ std::next(words.begin()), words.end() }));
}
