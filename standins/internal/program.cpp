// Signals and listening of the stand-ins' programs.

#include "standins/program.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <utility>

namespace kumquat::standins {

namespace {

sigset_t StopSignals()
{
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  return set;
}

} // namespace

void BlockStopSignals()
{
  const sigset_t set = StopSignals();
  pthread_sigmask(SIG_BLOCK, &set, nullptr);
}

void WaitForStop()
{
  const sigset_t set = StopSignals();
  int signal = 0;
  sigwait(&set, &signal);
}

std::unique_ptr<transport::HttpServer> ListenOrExit(
  transport::IoThread& aThread, transport::HttpServer::Options aOptions)
{
  const std::string address = aOptions.address;
  auto server =
    transport::HttpServer::Listen(aThread.Context(), std::move(aOptions));
  if (!server) {
    std::cerr << address << ": " << server.error().message() << "\n";
    // Not exit: the loop's thread may run already.
    std::_Exit(1);
  }
  return std::move(*server);
}

transport::HttpResponse JsonResponse(int aStatus, std::string aBody)
{
  transport::HttpResponse response;
  response.status = aStatus;
  response.headers = { { "Content-Type", "application/json" } };
  response.body = std::move(aBody);
  return response;
}

} // namespace kumquat::standins
