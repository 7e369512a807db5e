// A server whose responses have no end: it repeats bytes as fast as the peer
// takes them, until the peer closes.

#pragma once

#include "transport/address.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <list>
#include <mutex>
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
    , acceptor(this->context, *ParseAddress(aAddress))
    , thread([this] { this->Accept(); })
  {
  }

  ~EndlessServer()
  {
    this->isStopping = true;
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
    {
      const std::lock_guard lock(this->mutex);
      for (Peer& peer : this->peers) {
        ::shutdown(peer.socket.native_handle(), SHUT_RDWR);
      }
    }
    for (Peer& peer : this->peers) {
      peer.thread.join();
    }
  }

  EndlessServer(const EndlessServer&) = delete;
  EndlessServer& operator=(const EndlessServer&) = delete;

  // Bytes sent in all.
  std::size_t Sent() const { return this->sent; }
  // Connections that are still open.
  int Open() const { return this->open; }

private:
  struct Peer
  {
    explicit Peer(boost::asio::ip::tcp::socket aSocket)
      : socket(std::move(aSocket))
    {
    }

    boost::asio::ip::tcp::socket socket;
    std::thread thread;
  };

  static constexpr std::size_t kBlockBytes = 64U << 10U;

  void Accept()
  {
    while (!this->isStopping) {
      boost::system::error_code error;
      boost::asio::ip::tcp::socket socket(this->context);
      this->acceptor.accept(socket, error);
      if (error) {
        return;
      }
      const std::lock_guard lock(this->mutex);
      ++this->open;
      Peer& peer = this->peers.emplace_back(std::move(socket));
      peer.thread = std::thread([this, &peer] { this->Serve(peer.socket); });
    }
  }

  void Serve(boost::asio::ip::tcp::socket& aSocket)
  {
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

  void Send(boost::asio::ip::tcp::socket& aSocket, const std::string& aBytes,
            boost::system::error_code& aError)
  {
    if (!aError) {
      this->sent +=
        boost::asio::write(aSocket, boost::asio::buffer(aBytes), aError);
    }
  }

  const Response response;
  std::atomic<bool> isStopping{ false };
  std::atomic<std::size_t> sent{ 0 };
  std::atomic<int> open{ 0 };
  std::mutex mutex;
  std::list<Peer> peers;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::thread thread;
};

} // namespace kumquat::transport::tests
