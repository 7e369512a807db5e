// A server that sends, for each request, the bytes that a script chooses: also
// bytes that no sound server sends. Each connection has a thread.

#pragma once

#include "transport/tests/threadedserver.h"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <charconv>
#include <chrono>
#include <functional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace kumquat::transport::tests {

class ScriptedServer
{
public:
  struct Request
  {
    // Connections and their requests are counted from 1.
    int connection = 0;
    int number = 0;
    std::string head;
    std::string body;

    // Empty where there is none; the name as the client writes it.
    std::string Header(std::string_view aName) const
    {
      const std::string start = "\r\n" + std::string(aName) + ": ";
      const auto found = this->head.find(start);
      if (found == std::string::npos) {
        return {};
      }
      const auto from = found + start.size();
      return this->head.substr(from, this->head.find("\r\n", from) - from);
    }
  };

  enum class End
  {
    kKeep,
    kClose,
    kReset,
  };

  struct Part
  {
    std::string bytes;
    // Pause after the bytes.
    std::chrono::milliseconds pause{ 0 };
  };

  struct Answer
  {
    std::vector<Part> parts;
    // How the connection ends after them.
    End end = End::kKeep;
  };

  // Runs on the connection's thread.
  using Script = std::function<Answer(const Request&)>;

  ScriptedServer(const std::string& aAddress, Script aScript)
    : script(std::move(aScript))
    , server(aAddress, [this](Socket& aSocket, int aConnection) {
      this->Serve(aSocket, aConnection);
    })
  {
  }

private:
  using Socket = ThreadedServer::Socket;

  void Serve(Socket& aSocket, int aConnection)
  {
    boost::system::error_code error;
    std::string bytes;
    aSocket.set_option(boost::asio::ip::tcp::no_delay(true), error);
    for (int number = 1; !error; ++number) {
      Request request{ aConnection, number, {}, {} };
      if (!Read(aSocket, bytes, request)) {
        return;
      }
      const Answer answer = this->script(request);
      for (const Part& part : answer.parts) {
        boost::asio::write(aSocket, boost::asio::buffer(part.bytes), error);
        std::this_thread::sleep_for(part.pause);
      }
      if (answer.end == End::kReset) {
        Reset(aSocket);
        return;
      }
      if (answer.end == End::kClose) {
        aSocket.shutdown(Socket::shutdown_send, error);
      }
    }
  }

  static bool Read(Socket& aSocket, std::string& aBytes, Request& aRequest)
  {
    boost::system::error_code error;
    const auto head = boost::asio::read_until(
      aSocket, boost::asio::dynamic_buffer(aBytes), "\r\n\r\n", error);
    if (error) {
      return false;
    }
    aRequest.head = aBytes.substr(0, head);
    aBytes.erase(0, head);
    std::size_t length = 0;
    const std::string text = aRequest.Header("Content-Length");
    std::from_chars(text.data(), text.data() + text.size(), length);
    while (aBytes.size() < length && !error) {
      std::string more(length - aBytes.size(), ' ');
      more.resize(aSocket.read_some(boost::asio::buffer(more), error));
      aBytes += more;
    }
    aRequest.body = aBytes.substr(0, length);
    aBytes.erase(0, std::min(length, aBytes.size()));
    return !error;
  }

  // The socket itself stays, as the server may shut it down at any time.
  static void Reset(Socket& aSocket)
  {
    sockaddr unspecified{};
    unspecified.sa_family = AF_UNSPEC;
    static_cast<void>(
      ::connect(aSocket.native_handle(), &unspecified, sizeof(unspecified)));
  }

  const Script script;
  ThreadedServer server;
};

} // namespace kumquat::transport::tests
