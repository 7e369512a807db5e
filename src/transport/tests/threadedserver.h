// Accepts connections and serves each on a thread of its own, with blocking
// calls, until the connection's function returns or the server ends.

#pragma once

#include "transport/address.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <functional>
#include <list>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace kumquat::transport::tests {

class ThreadedServer
{
public:
  using Socket = boost::asio::ip::tcp::socket;

  // aServe gets the connection and its number, counted from 1. The connection
  // stays open after it, unless it closes it.
  ThreadedServer(const std::string& aAddress,
                 std::function<void(Socket&, int)> aServe)
    : serve(std::move(aServe))
    , acceptor(this->context, *ParseAddress(aAddress))
    , thread([this] { this->Accept(); })
  {
  }

  ~ThreadedServer()
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

  ThreadedServer(const ThreadedServer&) = delete;
  ThreadedServer& operator=(const ThreadedServer&) = delete;

private:
  struct Peer
  {
    explicit Peer(Socket aSocket)
      : socket(std::move(aSocket))
    {
    }

    Socket socket;
    std::thread thread;
  };

  void Accept()
  {
    int connection = 0;
    while (!this->isStopping) {
      boost::system::error_code error;
      Socket socket(this->context);
      this->acceptor.accept(socket, error);
      if (error) {
        return;
      }
      const std::lock_guard lock(this->mutex);
      Peer& peer = this->peers.emplace_back(std::move(socket));
      ++connection;
      peer.thread = std::thread(
        [this, &peer, connection] { this->serve(peer.socket, connection); });
    }
  }

  const std::function<void(Socket&, int)> serve;
  std::atomic<bool> isStopping{ false };
  std::mutex mutex;
  std::list<Peer> peers;
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  std::thread thread;
};

} // namespace kumquat::transport::tests
