// A server whose responses have no end: it repeats bytes as fast as the peer
// takes them, until the peer closes.

#pragma once

#include "transport/tests/threadedserver.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <utility>

namespace kumquat::transport::tests {

class EndlessServer
{
public:
  struct Response
  {
    // Sent once.
    std::string opening;
    // Sent again and again.
    std::string repeated;
    // Pause before each repetition; without one, many are sent at once.
    std::chrono::milliseconds pause{ 0 };
    // Whether the response starts before a request has come.
    bool isEarly = false;
  };

  EndlessServer(const std::string& aAddress, Response aResponse)
    : response(std::move(aResponse))
    , server(aAddress, [this](Socket& aSocket, int) { this->Serve(aSocket); })
  {
  }

  // Bytes sent in all.
  std::size_t Sent() const { return this->sent; }
  // Connections that are still open.
  int Open() const { return this->open; }

private:
  using Socket = ThreadedServer::Socket;

  static constexpr std::size_t kBlockBytes = 64U << 10U;

  void Serve(Socket& aSocket)
  {
    ++this->open;
    boost::system::error_code error;
    if (!this->response.isEarly) {
      std::string head;
      boost::asio::read_until(aSocket, boost::asio::dynamic_buffer(head),
                              "\r\n\r\n", error);
    }
    std::string block = this->response.repeated;
    while (this->response.pause.count() == 0 && block.size() < kBlockBytes) {
      block += this->response.repeated;
    }
    this->Send(aSocket, this->response.opening, error);
    while (!error) {
      std::this_thread::sleep_for(this->response.pause);
      this->Send(aSocket, block, error);
    }
    --this->open;
  }

  void Send(Socket& aSocket, const std::string& aBytes,
            boost::system::error_code& aError)
  {
    if (!aError) {
      this->sent +=
        boost::asio::write(aSocket, boost::asio::buffer(aBytes), aError);
    }
  }

  const Response response;
  std::atomic<std::size_t> sent{ 0 };
  std::atomic<int> open{ 0 };
  ThreadedServer server;
};

} // namespace kumquat::transport::tests
