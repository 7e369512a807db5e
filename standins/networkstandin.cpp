// The network between the hosts of a deployment: each host is reached at an
// address of this relay, which knows both ends and can cut and delay a pair.

#include "standins/deployment.h"
#include "standins/program.h"
#include "transport/address.h"
#include "transport/http.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <iostream>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

ABSL_FLAG(int, net, kumquat::standins::DefaultNet(),
          "second octet of every address");
ABSL_FLAG(std::string, deployment, "cooperative", "cooperative or silnostav");
ABSL_FLAG(std::uint64_t, seed, 1, "taken by every stand-in; unused here");
ABSL_FLAG(bool, delay, true,
          "whether the deployment's delay between data centres is kept");

namespace kumquat::standins {

namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr auto kAwait = asio::as_tuple(asio::use_awaitable);
constexpr milliseconds kCutPoll(5);
constexpr std::size_t kChunkBytes = 64U << 10U;
// Of one direction of one connection; the sender is held back beyond it.
constexpr std::size_t kMaxInFlight = 8U << 20U;

// From the first host to the second.
using Direction = std::pair<std::string, std::string>;

// Which directions are cut, and how long a byte travels.
class Links
{
public:
  Links(const std::vector<HostPlan>& aHosts, microseconds aDelay)
    : hosts(aHosts)
    , delay(aDelay)
  {
  }

  bool IsCut(const Direction& aDirection) const
  {
    return this->cut.contains(aDirection);
  }

  microseconds Delay(const Direction& aDirection) const
  {
    return this->DataCentreOf(aDirection.first) ==
               this->DataCentreOf(aDirection.second)
             ? microseconds(0)
             : this->delay;
  }

  void SetDelay(microseconds aDelay) { this->delay = aDelay; }

  // Names are hosts', data centres' or "*".
  void SetCut(const std::string& aFrom, const std::string& aTo, bool aCut)
  {
    for (const HostPlan& from : this->hosts) {
      for (const HostPlan& to : this->hosts) {
        if (from.id == to.id || !Fits(from, aFrom) || !Fits(to, aTo)) {
          continue;
        }
        if (aCut) {
          this->cut.emplace(from.id, to.id);
        } else {
          this->cut.erase({ from.id, to.id });
        }
      }
    }
  }

  json Show() const
  {
    json list = json::array();
    std::ranges::transform(
      this->cut, std::back_inserter(list), [](const Direction& aDirection) {
        return json::array({ aDirection.first, aDirection.second });
      });
    return { { "cut", std::move(list) }, { "delay_us", this->delay.count() } };
  }

private:
  static bool Fits(const HostPlan& aHost, const std::string& aName)
  {
    return aName == "*" || aName == aHost.id || aName == aHost.dataCentre;
  }

  std::string DataCentreOf(const std::string& aHost) const
  {
    const auto found = std::ranges::find(this->hosts, aHost, &HostPlan::id);
    return found == this->hosts.end() ? std::string() : found->dataCentre;
  }

  const std::vector<HostPlan> hosts;
  microseconds delay;
  std::set<Direction> cut;
};

// One relayed connection: what one end writes reaches the other after the
// delay, or, while the direction is cut, after it was healed, as TCP would
// send it again.
class Connection : public std::enable_shared_from_this<Connection>
{
public:
  Connection(const Links& aLinks, tcp::socket aNear, tcp::socket aFar,
             const std::string& aFrom, const std::string& aTo)
    : links(aLinks)
    , there{ { aFrom, aTo },
             &this->near,
             &this->far,
             asio::steady_timer(aNear.get_executor()) }
    , back{ { aTo, aFrom },
            &this->far,
            &this->near,
            asio::steady_timer(aNear.get_executor()) }
    , near(std::move(aNear))
    , far(std::move(aFar))
  {
  }

  void Start()
  {
    for (Pipe* pipe : { &this->there, &this->back }) {
      asio::co_spawn(this->near.get_executor(),
                     Read(this->shared_from_this(), *pipe), asio::detached);
      asio::co_spawn(this->near.get_executor(),
                     Write(this->shared_from_this(), *pipe), asio::detached);
    }
  }

private:
  struct Chunk
  {
    steady_clock::time_point due;
    // Empty at the end of the stream.
    std::string bytes;
  };

  struct Pipe
  {
    Direction direction;
    tcp::socket* from;
    tcp::socket* to;
    asio::steady_timer wake;
    std::deque<Chunk> queue{};
    std::size_t inFlight = 0;
  };

  static asio::awaitable<void> Pause(const asio::any_io_executor& aExecutor,
                                     steady_clock::time_point aUntil)
  {
    asio::steady_timer timer(aExecutor, aUntil);
    co_await timer.async_wait(kAwait);
  }

  static asio::awaitable<void> Read(std::shared_ptr<Connection> aSelf,
                                    Pipe& aPipe)
  {
    std::string buffer(kChunkBytes, '\0');
    for (;;) {
      while (aPipe.inFlight > kMaxInFlight) {
        co_await Pause(aPipe.from->get_executor(),
                       steady_clock::now() + kCutPoll);
      }
      const auto [error, bytes] =
        co_await aPipe.from->async_read_some(asio::buffer(buffer), kAwait);
      const auto due =
        steady_clock::now() + aSelf->links.Delay(aPipe.direction);
      aPipe.inFlight += bytes;
      aPipe.queue.push_back({ due, buffer.substr(0, bytes) });
      aPipe.wake.cancel();
      if (error) {
        aPipe.queue.push_back({ due, {} });
        co_return;
      }
    }
  }

  static asio::awaitable<void> Write(std::shared_ptr<Connection> aSelf,
                                     Pipe& aPipe)
  {
    for (;;) {
      while (aPipe.queue.empty()) {
        aPipe.wake.expires_at(steady_clock::time_point::max());
        co_await aPipe.wake.async_wait(kAwait);
      }
      const Chunk chunk = std::move(aPipe.queue.front());
      aPipe.queue.pop_front();
      co_await Pause(aPipe.to->get_executor(), chunk.due);
      while (aSelf->links.IsCut(aPipe.direction)) {
        co_await Pause(aPipe.to->get_executor(),
                       steady_clock::now() + kCutPoll);
      }
      if (chunk.bytes.empty()) {
        break;
      }
      const auto [error, bytes] = co_await asio::async_write(
        *aPipe.to, asio::buffer(chunk.bytes), kAwait);
      aPipe.inFlight -= chunk.bytes.size();
      if (error) {
        break;
      }
    }
    aSelf->Close();
  }

  void Close()
  {
    boost::system::error_code ignored;
    this->near.close(ignored);
    this->far.close(ignored);
  }

  const Links& links;
  Pipe there;
  Pipe back;
  tcp::socket near;
  tcp::socket far;
};

class Network
{
public:
  Network(transport::IoThread& aThread, const Deployment& aDeployment, int aNet)
    : thread(aThread)
    , hosts(HostsOf(aDeployment, aNet))
    , links(this->hosts, absl::GetFlag(FLAGS_delay)
                           ? aDeployment.betweenDataCentres
                           : microseconds(0))
    , control(ListenOrExit(
        aThread,
        { .address = AddressesOf(aNet).networkControl,
          .handler = [this](const HttpRequest& aRequest,
                            const transport::HttpServer::Respond& aRespond) {
            aRespond(this->Control(aRequest));
          } }))
  {
  }

  bool Listen()
  {
    return std::ranges::all_of(this->hosts, [this](const HostPlan& aHost) {
      return this->ListenFor(aHost);
    });
  }

private:
  bool ListenFor(const HostPlan& aHost)
  {
    const auto endpoint = transport::ParseAddress(aHost.relayAddress);
    boost::system::error_code error;
    tcp::acceptor acceptor(this->thread.Context());
    acceptor.open(endpoint->protocol(), error);
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(*endpoint, error);
    if (!error) {
      acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      std::cerr << aHost.relayAddress << ": " << error.message() << "\n";
      return false;
    }
    asio::co_spawn(this->thread.Context(),
                   this->Accept(std::move(acceptor), aHost), asio::detached);
    return true;
  }

  asio::awaitable<void> Accept(tcp::acceptor aAcceptor, HostPlan aHost)
  {
    for (;;) {
      auto [error, socket] = co_await aAcceptor.async_accept(kAwait);
      if (!error) {
        asio::co_spawn(this->thread.Context(),
                       this->Connect(std::move(socket), aHost), asio::detached);
      }
    }
  }

  // The source's IP number is the connecting host's own.
  std::string NameOf(const tcp::socket& aSocket) const
  {
    boost::system::error_code error;
    const std::string ip = aSocket.remote_endpoint(error).address().to_string();
    const auto found = std::ranges::find(this->hosts, ip, &HostPlan::ip);
    return found == this->hosts.end() ? "unknown" : found->id;
  }

  asio::awaitable<void> Connect(tcp::socket aNear, HostPlan aHost)
  {
    const std::string from = this->NameOf(aNear);
    asio::steady_timer pause(this->thread.Context());
    while (this->links.IsCut({ from, aHost.id }) ||
           this->links.IsCut({ aHost.id, from })) {
      pause.expires_after(kCutPoll);
      co_await pause.async_wait(kAwait);
    }
    const auto endpoint = transport::ParseAddress(aHost.peerAddress);
    tcp::socket far(this->thread.Context());
    const auto [error] = co_await far.async_connect(*endpoint, kAwait);
    if (error) {
      co_return;
    }
    boost::system::error_code ignored;
    aNear.set_option(tcp::no_delay(true), ignored);
    far.set_option(tcp::no_delay(true), ignored);
    std::make_shared<Connection>(this->links, std::move(aNear), std::move(far),
                                 from, aHost.id)
      ->Start();
  }

  HttpResponse Control(const HttpRequest& aRequest)
  {
    if (aRequest.target == "/control/links") {
      return JsonResponse(200, this->links.Show().dump());
    }
    try {
      const json body = json::parse(aRequest.body);
      if (aRequest.target == "/control/delay") {
        this->links.SetDelay(microseconds(body.at("delay_us").get<int>()));
        return JsonResponse(200, "{}");
      }
      const bool cut = aRequest.target == "/control/cut";
      if (!cut && aRequest.target != "/control/heal") {
        return JsonResponse(404, "{}");
      }
      this->SetCut(body, cut);
    } catch (const std::exception& error) {
      return JsonResponse(400, json{ { "error", error.what() } }.dump());
    }
    return JsonResponse(200, "{}");
  }

  // {"from", "to", "both"}: names left out mean all; both ways unless told.
  void SetCut(const json& aBody, bool aCut)
  {
    const std::string from = aBody.value("from", "*");
    const std::string to = aBody.value("to", "*");
    this->links.SetCut(from, to, aCut);
    if (aBody.value("both", true)) {
      this->links.SetCut(to, from, aCut);
    }
  }

  transport::IoThread& thread;
  const std::vector<HostPlan> hosts;
  Links links;
  std::unique_ptr<transport::HttpServer> control;
};

int RunProgram()
{
  const Deployment* deployment =
    FindDeployment(absl::GetFlag(FLAGS_deployment));
  if (deployment == nullptr) {
    std::cerr << "no such deployment\n";
    return 2;
  }
  BlockStopSignals();
  transport::IoThread thread;
  Network network(thread, *deployment, absl::GetFlag(FLAGS_net));
  if (!network.Listen()) {
    return 1;
  }
  thread.Start("network");
  WaitForStop();
  thread.Stop();
  return 0;
}

} // namespace

} // namespace kumquat::standins

int main(int argc, char** argv)
{
  absl::ParseCommandLine(argc, argv);
  return kumquat::standins::RunProgram();
}
