// What the stand-ins' programs share: a run until SIGTERM, and JSON answers.

#pragma once

#include "transport/http.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <memory>
#include <string>

namespace kumquat::standins {

// Call before any thread is started: SIGTERM and SIGINT then only wake
// WaitForStop.
void BlockStopSignals();
void WaitForStop();

// Listens, or ends the process with code 1 and a message.
std::unique_ptr<transport::HttpServer> ListenOrExit(
  transport::IoThread& aThread, transport::HttpServer::Options aOptions);

transport::HttpResponse JsonResponse(int aStatus, std::string aBody);

} // namespace kumquat::standins
