// Stand-ins for the scripts of the review, on loopback addresses and the real
// clock: the platform's store, instances of a service, clients, and the start
// of the project's own program with settings like those of a deployment. They
// follow the users' pages; what an instance or a client does beside that is
// set by each script.

#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <initializer_list>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using std::chrono::milliseconds;
using SteadyTime = std::chrono::steady_clock::time_point;

inline constexpr int kHeld = 0;
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2;

inline SteadyTime Now()
{
  return std::chrono::steady_clock::now();
}

inline void Sleep(milliseconds aTime)
{
  std::this_thread::sleep_for(aTime);
}

inline std::string Join(std::initializer_list<std::string_view> aParts)
{
  std::string joined;
  std::ranges::for_each(aParts,
                        [&joined](std::string_view aPart) { joined += aPart; });
  return joined;
}

// Lines of record.txt, each with the time since the start.
class Record
{
public:
  explicit Record(const std::string& aPath)
    : file(aPath)
  {
  }

  void Write(const std::string& aLine)
  {
    const std::lock_guard lock(this->mutex);
    const auto ms =
      std::chrono::duration_cast<milliseconds>(Now() - this->start).count();
    this->file << ms << " ms " << aLine << std::endl;
  }

private:
  std::mutex mutex;
  std::ofstream file;
  const SteadyTime start = Now();
};

// An HTTP message as it was read.
struct Message
{
  // The request line or the status line.
  std::string start;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(std::string_view aName) const
  {
    for (const auto& [name, value] : this->headers) {
      if (name.size() == aName.size() &&
          strncasecmp(name.data(), aName.data(), aName.size()) == 0) {
        return value;
      }
    }
    return {};
  }

  std::string Word(int aIndex) const
  {
    std::size_t from = 0;
    for (int i = 0; i < aIndex; ++i) {
      from = this->start.find(' ', from);
      if (from == std::string::npos) {
        return {};
      }
      ++from;
    }
    return this->start.substr(from, this->start.find(' ', from) - from);
  }

  std::string Target() const { return this->Word(1); }
  int Status() const { return std::atoi(this->Word(1).c_str()); }
};

// A connection, with blocking calls.
class Connection
{
public:
  explicit Connection(int aSocket)
    : socket(aSocket)
  {
    const int on = 1;
    setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  }

  ~Connection() { close(this->socket); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  bool Send(std::string_view aBytes)
  {
    const std::lock_guard lock(this->sending);
    while (!aBytes.empty()) {
      const ssize_t sent =
        send(this->socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
  }

  // Nothing if the connection ends before a whole message was read.
  std::optional<Message> Read(bool aIsResponse)
  {
    while (true) {
      const auto end = this->bytes.find("\r\n\r\n");
      if (end != std::string::npos) {
        Message message = ParseHead(this->bytes.substr(0, end));
        this->bytes.erase(0, end + 4);
        const std::string length = message.Header("Content-Length");
        const bool isWhole =
          message.Header("Transfer-Encoding") == "chunked"
            ? this->ReadChunks(message.body)
          : !length.empty() ? this->ReadBytes(std::stoul(length), message.body)
                            : !aIsResponse || message.Status() == 204;
        return isWhole ? std::optional(std::move(message)) : std::nullopt;
      }
      if (!this->ReadSome()) {
        return std::nullopt;
      }
    }
  }

  // Whether bytes, or the end, come within the time.
  bool IsReadable(milliseconds aWithin) const
  {
    pollfd one{ this->socket, POLLIN, 0 };
    return !this->bytes.empty() ||
           poll(&one, 1, static_cast<int>(aWithin.count())) > 0;
  }

  void Shutdown() const { shutdown(this->socket, SHUT_RDWR); }
  // The time that one read may take.
  void SetReadTimeout(milliseconds aTime) const
  {
    const timeval value{ aTime.count() / 1000, (aTime.count() % 1000) * 1000 };
    setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &value, sizeof(value));
  }
  int Socket() const { return this->socket; }

private:
  static Message ParseHead(const std::string& aText)
  {
    Message message;
    std::size_t from = 0;
    while (from <= aText.size()) {
      const std::size_t to = std::min(aText.find("\r\n", from), aText.size());
      const std::string line = aText.substr(from, to - from);
      const auto colon = line.find(':');
      if (from == 0) {
        message.start = line;
      } else if (colon != std::string::npos) {
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers.emplace_back(
          line.substr(0, colon),
          value == std::string::npos ? "" : line.substr(value));
      }
      from = to + 2;
    }
    return message;
  }

  bool ReadSome()
  {
    std::vector<char> piece(16U << 10U);
    const ssize_t got = recv(this->socket, piece.data(), piece.size(), 0);
    if (got <= 0) {
      return false;
    }
    this->bytes.append(piece.data(), static_cast<std::size_t>(got));
    return true;
  }

  bool ReadBytes(std::size_t aCount, std::string& aInto)
  {
    while (this->bytes.size() < aCount) {
      if (!this->ReadSome()) {
        return false;
      }
    }
    aInto += this->bytes.substr(0, aCount);
    this->bytes.erase(0, aCount);
    return true;
  }

  bool ReadChunks(std::string& aInto)
  {
    while (true) {
      const auto end = this->bytes.find("\r\n");
      if (end == std::string::npos) {
        if (!this->ReadSome()) {
          return false;
        }
        continue;
      }
      const std::size_t size =
        std::stoul(this->bytes.substr(0, end), nullptr, 16);
      this->bytes.erase(0, end + 2);
      std::string crlf;
      if (!this->ReadBytes(size, aInto) || !this->ReadBytes(2, crlf)) {
        return false;
      }
      if (size == 0) {
        return true;
      }
    }
  }

  const int socket;
  std::mutex sending;
  std::string bytes;
};

using ConnectionPtr = std::shared_ptr<Connection>;

inline const std::string kLoopback = "127.0.0.1";

inline sockaddr_in LoopbackAddress(int aPort,
                                   const std::string& aIp = kLoopback)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  inet_pton(AF_INET, aIp.c_str(), &address.sin_addr);
  return address;
}

inline std::string AddressText(int aPort, const std::string& aIp = kLoopback)
{
  return aIp + ":" + std::to_string(aPort);
}

// aPrepare may set options of the socket before it connects. Null if it does
// not connect.
inline ConnectionPtr Connect(int aPort,
                             const std::function<void(int)>& aPrepare = {},
                             const std::string& aIp = kLoopback)
{
  const int one = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (aPrepare) {
    aPrepare(one);
  }
  const sockaddr_in address = LoopbackAddress(aPort, aIp);
  if (connect(one, reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0) {
    close(one);
    return nullptr;
  }
  return std::make_shared<Connection>(one);
}

// A port that is free now, and below those that the system gives to outgoing
// connections.
inline int FreePort()
{
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  static std::mt19937 random{ std::random_device{}() };
  static std::set<int> given;
  while (true) {
    const int port =
      std::uniform_int_distribution(kFirst, kFirst + kCount - 1)(random);
    const int one = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = LoopbackAddress(port, "0.0.0.0");
    const bool isFree = bind(one, reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)) == 0;
    close(one);
    if (isFree && given.insert(port).second) {
      return port;
    }
  }
}

// A listener with a thread for each connection. It lives until the program
// ends.
class Server
{
public:
  using Handler = std::function<void(const ConnectionPtr&)>;

  explicit Server(Handler aHandler, const std::string& aIp = kLoopback)
    : handler(std::move(aHandler))
    , socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , port(FreePort())
  {
    const sockaddr_in address = LoopbackAddress(this->port, aIp);
    bind(this->socket, reinterpret_cast<const sockaddr*>(&address),
         sizeof(address));
    listen(this->socket, SOMAXCONN);
    std::thread([this] { this->Accept(); }).detach();
  }

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  int Port() const { return this->port; }
  int Socket() const { return this->socket; }

private:
  void Accept()
  {
    while (true) {
      const int one = accept4(this->socket, nullptr, nullptr, SOCK_CLOEXEC);
      if (one < 0) {
        return;
      }
      std::thread([this, connection = std::make_shared<Connection>(one)] {
        this->handler(connection);
      }).detach();
    }
  }

  const Handler handler;
  const int socket;
  const int port;
};

inline std::string Base64(const std::string& aText)
{
  constexpr std::string_view kLetters =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string coded;
  for (std::size_t i = 0; i < aText.size(); i += 3) {
    std::uint32_t bits = 0;
    const std::size_t count = std::min<std::size_t>(3, aText.size() - i);
    for (std::size_t j = 0; j < 3; ++j) {
      bits = (bits << 8U) |
             (j < count ? static_cast<unsigned char>(aText[i + j]) : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      coded += j <= count ? kLetters[(bits >> (18U - 6U * j)) & 63U] : '=';
    }
  }
  return coded;
}

// The platform's store: rows-get, rows-feed and rows-tx.
class Store
{
public:
  Store()
    : server([this](const ConnectionPtr& aOne) { this->Serve(aOne); })
  {
  }

  std::string Address() const { return AddressText(this->server.Port()); }

  // Writes as the operator or an instance does.
  void Put(const std::string& aTable, const std::string& aKey,
           const nlohmann::json& aValue)
  {
    const std::lock_guard lock(this->mutex);
    ++this->version;
    this->SetRow(aTable, "", aKey, Base64(aValue.dump()), false);
    this->changed.notify_all();
  }

  void Remove(const std::string& aTable, const std::string& aKey)
  {
    const std::lock_guard lock(this->mutex);
    ++this->version;
    this->SetRow(aTable, "", aKey, "", true);
    this->changed.notify_all();
  }

private:
  struct Row
  {
    std::string value;
    std::int64_t version = 0;
    bool isDeleted = false;
  };
  using RowName = std::array<std::string, 3>;

  void SetRow(const std::string& aTable, const std::string& aPart,
              const std::string& aKey, std::string aValue, bool aIsDeleted)
  {
    this->rows[{ aTable, aPart, aKey }] = { std::move(aValue), this->version,
                                            aIsDeleted };
  }

  static std::string Parameter(const std::string& aTarget,
                               const std::string& aName)
  {
    const auto query = aTarget.find('?');
    std::size_t from = query;
    while (from != std::string::npos) {
      ++from;
      const auto to = std::min(aTarget.find('&', from), aTarget.size());
      if (aTarget.compare(from, aName.size() + 1, aName + "=") == 0) {
        return aTarget.substr(from + aName.size() + 1,
                              to - from - aName.size() - 1);
      }
      from = to == aTarget.size() ? std::string::npos : to;
    }
    return {};
  }

  void Serve(const ConnectionPtr& aOne)
  {
    while (const auto request = aOne->Read(false)) {
      Sleep(milliseconds(4));
      int status = 200;
      const std::string body = this->Answer(*request, status).dump();
      if (!aOne->Send("HTTP/1.1 " + std::to_string(status) +
                      " X\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
        return;
      }
    }
  }

  nlohmann::json Answer(const Message& aRequest, int& aStatus)
  {
    const std::string target = aRequest.Target();
    if (target.starts_with("/rows-get")) {
      return this->Get(target);
    }
    if (target.starts_with("/rows-feed")) {
      return this->Feed(target);
    }
    if (target.starts_with("/rows-tx")) {
      return this->Write(nlohmann::json::parse(aRequest.body), aStatus);
    }
    aStatus = 404;
    return {};
  }

  nlohmann::json Close(nlohmann::json aRows) const
  {
    const auto now =
      std::chrono::duration_cast<milliseconds>(Now().time_since_epoch());
    return { { "rows", std::move(aRows) },
             { "more", false },
             { "ver", this->version },
             { "now", std::to_string(now.count()) + "ms" } };
  }

  static nlohmann::json RowText(const RowName& aName, const Row& aRow)
  {
    nlohmann::json text = { { "table", aName[0] },
                            { "part", aName[1] },
                            { "key", aName[2] },
                            { "ver", aRow.version } };
    if (aRow.isDeleted) {
      text["deleted"] = true;
    } else {
      text["value"] = aRow.value;
    }
    return text;
  }

  nlohmann::json Get(const std::string& aTarget)
  {
    const std::lock_guard lock(this->mutex);
    auto list = nlohmann::json::array();
    for (const auto& [name, row] : this->rows) {
      if (name[0] == Parameter(aTarget, "table") &&
          name[1] == Parameter(aTarget, "part") && !row.isDeleted) {
        list.push_back(RowText(name, row));
      }
    }
    return this->Close(std::move(list));
  }

  nlohmann::json Feed(const std::string& aTarget)
  {
    const std::string table = Parameter(aTarget, "table");
    const std::int64_t after = std::stoll(Parameter(aTarget, "after"));
    const SteadyTime until =
      Now() + milliseconds(std::stoll(Parameter(aTarget, "waitMs")));
    std::unique_lock lock(this->mutex);
    while (true) {
      std::vector<std::pair<std::int64_t, nlohmann::json>> found;
      for (const auto& [name, row] : this->rows) {
        if (name[0] == table && row.version > after) {
          found.emplace_back(row.version, RowText(name, row));
        }
      }
      std::ranges::sort(found, {},
                        [](const auto& aItem) { return aItem.first; });
      if (!found.empty() || Now() >= until) {
        auto list = nlohmann::json::array();
        for (auto& item : found) {
          list.push_back(std::move(item.second));
        }
        return this->Close(std::move(list));
      }
      this->changed.wait_until(lock, until);
    }
  }

  std::int64_t VersionOf(const RowName& aName) const
  {
    const auto found = this->rows.find(aName);
    return found == this->rows.end() || found->second.isDeleted
             ? 0
             : found->second.version;
  }

  static RowName NameOf(const nlohmann::json& aRow)
  {
    return { aRow.at("table"), aRow.value("part", ""), aRow.at("key") };
  }

  nlohmann::json Write(const nlohmann::json& aCall, int& aStatus)
  {
    const std::lock_guard lock(this->mutex);
    auto current = nlohmann::json::array();
    bool isMet = true;
    for (const auto& row : aCall.at("expectedRev")) {
      const RowName name = NameOf(row);
      isMet = isMet && this->VersionOf(name) == row.at("ver");
      if (this->VersionOf(name) != 0) {
        current.push_back(RowText(name, this->rows.at(name)));
      }
    }
    if (!isMet) {
      aStatus = 412;
      return this->Close(std::move(current));
    }
    ++this->version;
    for (const auto& row : aCall.at("put")) {
      const RowName name = NameOf(row);
      this->SetRow(name[0], name[1], name[2], row.at("value"), false);
    }
    for (const auto& row : aCall.at("remove")) {
      const RowName name = NameOf(row);
      this->SetRow(name[0], name[1], name[2], "", true);
    }
    this->changed.notify_all();
    return { { "ver", this->version }, { "now", "1000ms" } };
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::map<RowName, Row> rows;
  std::int64_t version = 0;
  Server server;
};

// One process of the project's program, with the settings that
// deploy/settings.json makes of a small deployment's.
class Gateway
{
public:
  Gateway(const std::string& aName, const std::string& aDataCentre,
          const std::string& aStoreAddress, const std::string& aFolder,
          const std::string& aIp = kLoopback)
    : name(aName)
    , ip(aIp)
    , port(FreePort())
    , readyPort(FreePort())
  {
    const std::string settings = aFolder + "/" + aName + ".json";
    std::ofstream(settings) << nlohmann::json{
      { "host", aName },
      { "data_centre", aDataCentre },
      { "caller_address", AddressText(this->port, aIp) },
      { "ready_address", AddressText(this->readyPort, aIp) },
      { "peer_address", AddressText(FreePort(), aIp) },
      { "relay_address", AddressText(FreePort(), aIp) },
      { "metrics_address", AddressText(FreePort(), aIp) },
      { "store_address", aStoreAddress },
      { "most_hold", "10000ms" },
      { "grace", "6s" },
      { "resend_share", 0.2 },
      { "resend_extra", 64 },
      { "memory_mb", 260 },
      { "processors", 0.2 },
      { "pace_starting_upstreams", false },
      { "first_start", true },
      { "proxy_owner_requests", true }
    }.dump(2);
    const std::string log = aFolder + "/" + aName + ".log";
    this->process = fork();
    if (this->process == 0) {
      // Ends with the script, however that ends.
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      setenv("KUMQUATSCALE_BOOT", settings.c_str(), 1);
      if (freopen(log.c_str(), "w", stdout) != nullptr) {
        dup2(fileno(stdout), STDERR_FILENO);
      }
      const char* program = std::getenv("KUMQUATD");
      execl(program == nullptr ? "target/app/kumquatd/kumquatd" : program,
            "kumquatd", nullptr);
      _exit(127);
    }
  }

  ~Gateway()
  {
    if (!this->HasEnded()) {
      this->Signal(SIGKILL);
      waitpid(this->process, nullptr, 0);
    }
  }

  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  const std::string& Name() const { return this->name; }
  int Port() const { return this->port; }
  const std::string& Ip() const { return this->ip; }
  void Signal(int aSignal) const { kill(this->process, aSignal); }

  bool HasEnded()
  {
    if (!this->hasEnded) {
      int status = 0;
      this->hasEnded = waitpid(this->process, &status, WNOHANG) != 0;
    }
    return this->hasEnded;
  }

  // Whether the balancer would use it.
  bool IsReady() const
  {
    const ConnectionPtr one = Connect(this->readyPort, {}, this->ip);
    if (!one) {
      return false;
    }
    one->SetReadTimeout(milliseconds(1000));
    static_cast<void>(one->Send("GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n"));
    const auto answer = one->Read(true);
    return answer && answer->Status() == 200;
  }

  bool AwaitReady(milliseconds aWithin) const
  {
    const SteadyTime until = Now() + aWithin;
    while (Now() < until) {
      if (this->IsReady()) {
        return true;
      }
      Sleep(milliseconds(50));
    }
    return false;
  }

private:
  const std::string name;
  const std::string ip;
  const int port;
  const int readyPort;
  pid_t process = 0;
  bool hasEnded = false;
};

// The folder for settings and logs of the run, removed at its end.
class TemporaryFolder
{
public:
  TemporaryFolder()
  {
    std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    this->path = mkdtemp(pattern.data());
  }
  ~TemporaryFolder()
  {
    if (std::getenv("KEEP") == nullptr) {
      std::error_code ignored;
      std::filesystem::remove_all(this->path, ignored);
    } else {
      std::cerr << this->path << "\n";
    }
  }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& Path() const { return this->path; }

private:
  std::string path;
};

// Whether the status promises that the request has not run and will not.
inline bool IsPromise(int aStatus)
{
  return aStatus == 503 || aStatus == 429 || aStatus == 408 || aStatus == 421;
}

// Drops what comes from an address, like a link that is down; empty: heals it.
// Connections inherit the filter of their listener.
inline void SetLinkCut(int aSocket, const std::string& aFromIp)
{
  const int unused = 0;
  setsockopt(aSocket, SOL_SOCKET, SO_DETACH_FILTER, &unused, sizeof(unused));
  if (aFromIp.empty()) {
    return;
  }
  const std::uint32_t source = ntohl(inet_addr(aFromIp.c_str()));
  sock_filter code[] = {
    BPF_STMT(BPF_LD | BPF_W | BPF_ABS,
             static_cast<std::uint32_t>(SKF_NET_OFF + 12)),
    BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, source, 0, 1),
    BPF_STMT(BPF_RET | BPF_K, 0),
    BPF_STMT(BPF_RET | BPF_K, 0xffffffff),
  };
  const sock_fprog program{ std::size(code), code };
  setsockopt(aSocket, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

inline nlohmann::json InstanceEntry(const std::string& aService, int aPort,
                                    const std::string& aZone, int aSlots,
                                    const std::string& aIp = kLoopback)
{
  return { { "service", aService },
           { "address", AddressText(aPort, aIp) },
           { "zone", aZone },
           { "version", "v1" },
           { "slots", aSlots },
           { "state", "ready" },
           { "warmupLeft", "0ms" },
           { "seq", 1 },
           { "born", 1'790'000'000'000 } };
}

inline nlohmann::json RouteEntry(const std::string& aName,
                                 const std::string& aKind,
                                 const std::string& aPrefix,
                                 const std::string& aService,
                                 const std::string& aTarget,
                                 const std::string& aTimeout, int aAttempts)
{
  return { { "name", aName },
           { "routeType", aKind },
           { "targetLatency", aTarget },
           { "priority", 1 },
           { "match", { { "prefix", aPrefix } } },
           { "action",
             { { "service", aService },
               { "timeout", aTimeout },
               { "maxAttempts", aAttempts } } } };
}

inline nlohmann::json ClusterEntry(const std::string& aName, bool aIsSharded)
{
  nlohmann::json entry = { { "name", aName },    { "healthPath", "/healthz" },
                           { "maxConns", 130 },  { "protocol", "h1" },
                           { "tls", false },     { "warmup", "3s" },
                           { "warmupPerS", 5.2 } };
  if (aIsSharded) {
    entry["sharded"] = true;
    entry["warm"] = "3s";
    entry["grants"] = "invoke";
  }
  return entry;
}

inline nlohmann::json Configuration(int aVersion, nlohmann::json aRules,
                                    nlohmann::json aClusters)
{
  return {
    { "version", "r" + std::to_string(aVersion) },
    { "limits",
      { { "maxHeaderBytes", 16384 },
        { "maxBodyBytes", 67108864 },
        { "headerTimeout", "3000ms" },
        { "idleTimeout", "15000ms" } } },
    { "listeners",
      { { { "hostname", "shop.example" }, { "rules", std::move(aRules) } } } },
    { "clusters", std::move(aClusters) }
  };
}

// Runs a case and ends the program with its result. The one argument is the
// folder for record.txt.
inline int RunCase(int argc, char** argv, int (*aRun)(Record&))
{
  if (argc != 2) {
    return kNotRun;
  }
  // The stand-ins' threads use it until the program ends.
  Record& record = *new Record(std::string(argv[1]) + "/record.txt");
  int result = kNotRun;
  try {
    result = aRun(record);
  } catch (const std::exception& error) {
    record.Write(std::string("could not run: ") + error.what());
  }
  record.Write("exit " + std::to_string(result));
  // Those threads have nothing left to do.
  std::_Exit(result);
}

inline bool IsTroubled()
{
  const char* text = std::getenv("TROUBLE");
  return text == nullptr || std::string_view(text) != "0";
}

} // namespace review
