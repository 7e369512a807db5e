#include "stage.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <random>
#include <sstream>

namespace stage {

using nlohmann::json;

namespace {

const Clock::time_point kStart = Clock::now();

std::string Lower(std::string_view aText)
{
  std::string lower(aText);
  std::ranges::transform(lower, lower.begin(), [](unsigned char aOne) {
    return static_cast<char>(std::tolower(aOne));
  });
  return lower;
}

sockaddr_in ParseAddress(const std::string& aAddress)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

std::string AddressOf(int aSocket)
{
  sockaddr_in address{};
  socklen_t size = sizeof(address);
  getsockname(aSocket, reinterpret_cast<sockaddr*>(&address), &size);
  char text[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &address.sin_addr, text, sizeof(text));
  return std::string(text) + ":" + std::to_string(ntohs(address.sin_port));
}

int Listen(const std::string& aAddress)
{
  const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ParseAddress(aAddress);
  if (::bind(listener, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(listener, 512) != 0) {
    std::fprintf(stderr, "cannot listen on %s: %s\n", aAddress.c_str(),
                 std::strerror(errno));
    std::exit(2);
  }
  return listener;
}

void NoDelay(int aSocket)
{
  const int on = 1;
  setsockopt(aSocket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

std::string Base64Encode(const std::string& aText)
{
  static const char* const kDigits =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string encoded;
  std::size_t i = 0;
  for (; i + 2 < aText.size(); i += 3) {
    const unsigned value = (static_cast<unsigned char>(aText[i]) << 16U) |
                           (static_cast<unsigned char>(aText[i + 1]) << 8U) |
                           static_cast<unsigned char>(aText[i + 2]);
    encoded += kDigits[value >> 18U];
    encoded += kDigits[(value >> 12U) & 63U];
    encoded += kDigits[(value >> 6U) & 63U];
    encoded += kDigits[value & 63U];
  }
  const std::size_t left = aText.size() - i;
  if (left > 0) {
    unsigned value = static_cast<unsigned char>(aText[i]) << 16U;
    if (left == 2) {
      value |= static_cast<unsigned char>(aText[i + 1]) << 8U;
    }
    encoded += kDigits[value >> 18U];
    encoded += kDigits[(value >> 12U) & 63U];
    encoded += left == 2 ? kDigits[(value >> 6U) & 63U] : '=';
    encoded += '=';
  }
  return encoded;
}

std::string Base64Decode(const std::string& aText)
{
  std::string decoded;
  unsigned value = 0;
  int bits = 0;
  for (const char one : aText) {
    int digit = -1;
    if (one >= 'A' && one <= 'Z') {
      digit = one - 'A';
    } else if (one >= 'a' && one <= 'z') {
      digit = one - 'a' + 26;
    } else if (one >= '0' && one <= '9') {
      digit = one - '0' + 52;
    } else if (one == '+') {
      digit = 62;
    } else if (one == '/') {
      digit = 63;
    }
    if (digit < 0) {
      continue;
    }
    value = (value << 6U) | static_cast<unsigned>(digit);
    bits += 6;
    if (bits >= 8) {
      bits -= 8;
      decoded +=
        static_cast<char>((value >> static_cast<unsigned>(bits)) & 255U);
    }
  }
  return decoded;
}

std::string DecodeQuery(const std::string& aText)
{
  std::string decoded;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] == '%' && i + 2 < aText.size()) {
      decoded +=
        static_cast<char>(std::stoi(aText.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      decoded += aText[i];
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(const std::string& aTarget)
{
  std::map<std::string, std::string> query;
  const auto mark = aTarget.find('?');
  if (mark == std::string::npos) {
    return query;
  }
  std::stringstream parts(aTarget.substr(mark + 1));
  std::string part;
  while (std::getline(parts, part, '&')) {
    const auto equals = part.find('=');
    if (equals != std::string::npos) {
      query[part.substr(0, equals)] = DecodeQuery(part.substr(equals + 1));
    }
  }
  return query;
}

std::string JsonResponse(int aStatus, const json& aBody)
{
  return Response(aStatus, { { "Content-Type", "application/json" } },
                  aBody.dump());
}

const char* Reason(int aStatus)
{
  switch (aStatus) {
    case 200:
      return "OK";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 412:
      return "Precondition Failed";
    case 421:
      return "Misdirected Request";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

} // namespace

std::int64_t NowMs()
{
  return std::chrono::duration_cast<Ms>(Clock::now() - kStart).count();
}

std::int64_t UnixMs()
{
  return std::chrono::duration_cast<Ms>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

void SleepMs(std::int64_t aMs)
{
  std::this_thread::sleep_for(Ms(aMs));
}

Record::Record(const std::string& aPath)
  : file(aPath)
{
}

void Record::Line(const std::string& aText)
{
  const std::lock_guard lock(this->mutex);
  std::string clean;
  for (const char one : aText) {
    const auto byte = static_cast<unsigned char>(one);
    if (byte >= 32 && byte < 127) {
      clean += one;
    } else {
      char text[8];
      std::snprintf(text, sizeof(text), "\\x%02x", byte);
      clean += text;
    }
  }
  char time[32];
  std::snprintf(time, sizeof(time), "%9.3f s  ",
                static_cast<double>(NowMs()) / 1000.0);
  this->file << time << clean << "\n" << std::flush;
}

// --- Messages

std::string Message::Header(std::string_view aName) const
{
  const std::string name = Lower(aName);
  for (const auto& [one, value] : this->headers) {
    if (Lower(one) == name) {
      return value;
    }
  }
  return {};
}

std::string Message::Method() const
{
  return this->startLine.substr(0, this->startLine.find(' '));
}

std::string Message::Target() const
{
  const auto first = this->startLine.find(' ');
  const auto second = this->startLine.find(' ', first + 1);
  return this->startLine.substr(first + 1, second - first - 1);
}

int Message::Status() const
{
  return this->startLine.size() >= 12 ? std::atoi(this->startLine.c_str() + 9)
                                      : 0;
}

Stream::Stream(int aSocket)
  : socket(aSocket)
{
  NoDelay(aSocket);
}

Stream::~Stream()
{
  this->Close();
}

void Stream::Close()
{
  if (this->socket >= 0) {
    ::close(this->socket);
    this->socket = -1;
  }
}

void Stream::Reset()
{
  const linger option{ 1, 0 };
  setsockopt(this->socket, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
  this->Close();
}

bool Stream::Write(const std::string& aBytes)
{
  std::size_t done = 0;
  while (done < aBytes.size()) {
    const ssize_t sent = ::send(this->socket, aBytes.data() + done,
                                aBytes.size() - done, MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    done += static_cast<std::size_t>(sent);
  }
  return true;
}

bool Stream::IsPeerGone() const
{
  char byte = 0;
  const ssize_t got = ::recv(this->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got == 0 || (got < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

int Stream::Fill(Clock::time_point aUntil, bool aHasLimit)
{
  while (true) {
    int wait = -1;
    if (aHasLimit) {
      wait = static_cast<int>(std::max<std::int64_t>(
        0, std::chrono::ceil<Ms>(aUntil - Clock::now()).count()));
    }
    pollfd entry{ this->socket, POLLIN, 0 };
    const int ready = ::poll(&entry, 1, wait);
    if (ready == 0) {
      return -2;
    }
    if (ready < 0) {
      if (errno == EINTR) {
        continue;
      }
      return -1;
    }
    char bytes[16384];
    const ssize_t got = ::recv(this->socket, bytes, sizeof(bytes), 0);
    if (got == 0) {
      return 0;
    }
    if (got < 0) {
      return -1;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(got));
    return 1;
  }
}

ReadResult Stream::Read(Message& aMessage, bool aIsResponse,
                        std::int64_t aTimeoutMs, bool aHasNoBody)
{
  const bool hasLimit = aTimeoutMs > 0;
  const Clock::time_point until = Clock::now() + Ms(aTimeoutMs);
  aMessage = {};
  std::size_t end = 0;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    const int got = this->Fill(until, hasLimit);
    if (got <= 0) {
      return got == -2              ? ReadResult::kTimeout
             : this->buffer.empty() ? ReadResult::kClosed
                                    : ReadResult::kBroken;
    }
  }
  std::stringstream head(this->buffer.substr(0, end));
  this->buffer.erase(0, end + 4);
  std::string line;
  std::getline(head, line);
  if (!line.empty() && line.back() == '\r') {
    line.pop_back();
  }
  aMessage.startLine = line;
  if (aIsResponse && !line.starts_with("HTTP/1.1 ")) {
    return ReadResult::kMalformed;
  }
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') {
      line.pop_back();
    }
    const auto colon = line.find(':');
    if (colon == std::string::npos) {
      return ReadResult::kMalformed;
    }
    auto value = line.substr(colon + 1);
    value.erase(0, value.find_first_not_of(" \t"));
    aMessage.headers.emplace_back(line.substr(0, colon), value);
  }
  if (aHasNoBody) {
    return ReadResult::kMessage;
  }
  const auto fillTo = [&](std::size_t aBytes) {
    while (this->buffer.size() < aBytes) {
      const int got = this->Fill(until, hasLimit);
      if (got <= 0) {
        return got == -2 ? ReadResult::kTimeout : ReadResult::kBroken;
      }
    }
    return ReadResult::kMessage;
  };
  if (Lower(aMessage.Header("Transfer-Encoding")).find("chunked") !=
      std::string::npos) {
    while (true) {
      std::size_t at = 0;
      while ((at = this->buffer.find("\r\n")) == std::string::npos) {
        const auto result = fillTo(this->buffer.size() + 1);
        if (result != ReadResult::kMessage) {
          return result;
        }
      }
      const auto size = std::strtoull(this->buffer.c_str(), nullptr, 16);
      const auto result = fillTo(at + 2 + size + 2);
      if (result != ReadResult::kMessage) {
        return result;
      }
      aMessage.body += this->buffer.substr(at + 2, size);
      this->buffer.erase(0, at + 2 + size + 2);
      if (size == 0) {
        return ReadResult::kMessage;
      }
    }
  }
  const std::string length = aMessage.Header("Content-Length");
  if (!length.empty()) {
    const auto size = std::strtoull(length.c_str(), nullptr, 10);
    const auto result = fillTo(size);
    if (result != ReadResult::kMessage) {
      return result;
    }
    aMessage.body = this->buffer.substr(0, size);
    this->buffer.erase(0, size);
    return ReadResult::kMessage;
  }
  const int status = aMessage.Status();
  if (aIsResponse && status != 204 && status != 304 && status >= 200) {
    int got = 1;
    while (got > 0) {
      got = this->Fill(until, hasLimit);
    }
    if (got < 0) {
      return got == -2 ? ReadResult::kTimeout : ReadResult::kBroken;
    }
    aMessage.body = std::exchange(this->buffer, {});
  }
  return ReadResult::kMessage;
}

StreamPtr Connect(const std::string& aAddress, std::int64_t aTimeoutMs)
{
  const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ParseAddress(aAddress);
  const int flags = fcntl(socket, F_GETFL, 0);
  fcntl(socket, F_SETFL, flags | O_NONBLOCK);
  int result = ::connect(socket, reinterpret_cast<const sockaddr*>(&address),
                         sizeof(address));
  if (result != 0 && errno == EINPROGRESS) {
    pollfd entry{ socket, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof(error);
    if (::poll(&entry, 1, static_cast<int>(aTimeoutMs)) == 1 &&
        getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
        error == 0) {
      result = 0;
    }
  }
  if (result != 0) {
    ::close(socket);
    return nullptr;
  }
  fcntl(socket, F_SETFL, flags);
  return std::make_shared<Stream>(socket);
}

std::string Response(
  int aStatus, const std::vector<std::pair<std::string, std::string>>& aHeaders,
  const std::string& aBody)
{
  std::string text =
    "HTTP/1.1 " + std::to_string(aStatus) + " " + Reason(aStatus) + "\r\n";
  for (const auto& [name, value] : aHeaders) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  text += "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n";
  return text + aBody;
}

// --- Servers

Server::Server(const std::string& aAddress, Handler aHandler)
  : handler(std::move(aHandler))
  , listener(Listen(aAddress))
{
  this->address = AddressOf(this->listener);
  this->acceptThread = std::thread([this] { this->Accept(); });
}

Server::~Server()
{
  this->Stop();
}

void Server::Stop()
{
  if (this->isStopped.exchange(true)) {
    return;
  }
  ::shutdown(this->listener, SHUT_RDWR);
  this->acceptThread.join();
  ::close(this->listener);
  std::unique_lock lock(this->mutex);
  for (const StreamPtr& one : this->open) {
    ::shutdown(one->Socket(), SHUT_RDWR);
  }
  this->changed.wait(lock, [this] { return this->serving == 0; });
}

void Server::Accept()
{
  while (!this->isStopped) {
    const int socket =
      ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (this->isStopped) {
        return;
      }
      SleepMs(5);
      continue;
    }
    const auto stream = std::make_shared<Stream>(socket);
    {
      const std::lock_guard lock(this->mutex);
      this->open.insert(stream);
      ++this->serving;
    }
    std::thread([this, stream] { this->Serve(stream); }).detach();
  }
}

void Server::Serve(const StreamPtr& aStream)
{
  Message message;
  while (!this->isStopped &&
         aStream->Read(message, false, 0) == ReadResult::kMessage &&
         this->handler(message, *aStream)) {
  }
  const std::lock_guard lock(this->mutex);
  this->open.erase(aStream);
  aStream->Close();
  --this->serving;
  this->changed.notify_all();
}

// Below the ports that the system gives to outgoing connections, which could
// take it meanwhile.
int FreePort(const std::string& aIp)
{
  static std::mt19937 random(std::random_device{}());
  // A port is given out once, as it is taken only later.
  static std::set<int> given;
  constexpr int kFirst = 20'000;
  constexpr int kCount = 10'000;
  while (true) {
    const int port = kFirst + static_cast<int>(random() % kCount);
    const int probe = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = ParseAddress(aIp + ":" + std::to_string(port));
    const int result = ::bind(
      probe, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    ::close(probe);
    if (result == 0 && given.insert(port).second) {
      return port;
    }
  }
}

// --- Store

Store::Store()
{
  this->server = std::make_unique<Server>(
    "127.0.0.1:0", [this](const Message& aMessage, Stream& aStream) {
      return this->Handle(aMessage, aStream);
    });
}

void Store::Stop()
{
  this->isStopped = true;
  this->changed.notify_all();
  this->server->Stop();
}

std::int64_t Store::Put(const std::string& aTable, const std::string& aKey,
                        const json& aValue)
{
  const std::lock_guard lock(this->mutex);
  ++this->version;
  this->Set({ aTable, "", aKey }, aValue.dump());
  this->changed.notify_all();
  return this->version;
}

void Store::Remove(const std::string& aTable, const std::string& aKey)
{
  const std::lock_guard lock(this->mutex);
  ++this->version;
  this->Set({ aTable, "", aKey }, std::nullopt);
  this->changed.notify_all();
}

std::string Store::Get(const std::string& aTable, const std::string& aPart,
                       const std::string& aKey)
{
  const std::lock_guard lock(this->mutex);
  const auto found = this->rows.find({ aTable, aPart, aKey });
  return found == this->rows.end() ? std::string() : found->second.value;
}

// Called with the lock, after the version was raised.
void Store::Set(const RowKey& aKey, std::optional<std::string> aValue)
{
  if (aValue) {
    this->rows[aKey] = { *aValue, this->version };
  } else if (this->rows.erase(aKey) == 0) {
    return;
  }
  this->changes.push_back({ this->version, aKey, std::move(aValue) });
}

json Store::RowJson(const RowKey& aKey,
                    const std::optional<std::string>& aValue,
                    std::int64_t aVersion) const
{
  json row = { { "table", aKey.table },
               { "part", aKey.part },
               { "key", aKey.key },
               { "ver", aVersion } };
  if (aValue) {
    row["value"] = Base64Encode(*aValue);
  } else {
    row["deleted"] = true;
  }
  return row;
}

bool Store::Handle(const Message& aMessage, Stream& aStream)
{
  const std::string target = aMessage.Target();
  const std::string path = target.substr(0, target.find('?'));
  const auto query = ParseQuery(target);
  // What a call takes at the least.
  SleepMs(4);
  std::string response;
  if (path == "/rows-tx") {
    response = this->Transact(aMessage.body);
  } else if (path == "/rows-get") {
    response = this->GetRows(query);
  } else if (path == "/rows-feed") {
    response = this->Feed(query, aStream);
  } else if (path == "/rows-parts") {
    response = this->Parts(query);
  } else {
    response = Response(404, {}, "");
  }
  return !response.empty() && aStream.Write(response);
}

std::string Store::Transact(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (body.is_discarded()) {
    return Response(400, {}, "");
  }
  const std::lock_guard lock(this->mutex);
  const auto keyOf = [](const json& aRow) {
    return RowKey{ aRow.at("table").get<std::string>(), aRow.value("part", ""),
                   aRow.at("key").get<std::string>() };
  };
  json current = json::array();
  bool holds = true;
  for (const json& one : body.value("expectedRev", json::array())) {
    const RowKey key = keyOf(one);
    const auto found = this->rows.find(key);
    const std::int64_t known =
      found == this->rows.end() ? 0 : found->second.version;
    if (found != this->rows.end()) {
      current.push_back(this->RowJson(key, found->second.value, known));
    }
    holds = holds && known == one.at("ver").get<std::int64_t>();
  }
  const json answer = { { "ver", this->version },
                        { "now", std::to_string(NowMs()) + "ms" } };
  if (!holds) {
    json refused = answer;
    refused["rows"] = current;
    return JsonResponse(412, refused);
  }
  for (const char* kind : { "put", "remove" }) {
    for (const json& one : body.value(kind, json::array())) {
      const std::string table = one.at("table").get<std::string>();
      if (table == "op" || table == "servers") {
        return Response(403, {}, "");
      }
    }
  }
  ++this->version;
  for (const json& one : body.value("put", json::array())) {
    this->Set(keyOf(one), Base64Decode(one.at("value").get<std::string>()));
  }
  for (const json& one : body.value("remove", json::array())) {
    this->Set(keyOf(one), std::nullopt);
  }
  this->changed.notify_all();
  return JsonResponse(200, { { "ver", this->version },
                             { "now", std::to_string(NowMs()) + "ms" } });
}

std::string Store::GetRows(const std::map<std::string, std::string>& aQuery)
{
  const auto value = [&aQuery](const char* aName) {
    const auto found = aQuery.find(aName);
    return found == aQuery.end() ? std::string() : found->second;
  };
  const std::string limitText = value("limit");
  const std::size_t limit =
    limitText.empty() ? 500 : std::min<std::size_t>(500, std::stoul(limitText));
  const std::lock_guard lock(this->mutex);
  json listed = json::array();
  bool more = false;
  for (auto found = this->rows.lower_bound(
         { value("table"), value("part"), value("from") });
       found != this->rows.end(); ++found) {
    if (found->first.table != value("table") ||
        found->first.part != value("part") ||
        (!value("to").empty() && found->first.key >= value("to"))) {
      break;
    }
    if (listed.size() >= limit) {
      more = true;
      break;
    }
    listed.push_back(
      this->RowJson(found->first, found->second.value, found->second.version));
  }
  return JsonResponse(200, { { "rows", listed },
                             { "more", more },
                             { "ver", this->version },
                             { "now", std::to_string(NowMs()) + "ms" } });
}

std::string Store::Feed(const std::map<std::string, std::string>& aQuery,
                        Stream& aStream)
{
  const std::string table = aQuery.at("table");
  const std::int64_t after = std::stoll(aQuery.at("after"));
  const std::int64_t waitMs =
    std::min<std::int64_t>(30'000, std::stoll(aQuery.at("waitMs")));
  const Clock::time_point until = Clock::now() + Ms(waitMs);
  std::unique_lock lock(this->mutex);
  while (true) {
    json listed = json::array();
    for (auto change =
           std::ranges::upper_bound(this->changes, after, {}, &Change::version);
         change != this->changes.end(); ++change) {
      if (change->key.table == table) {
        listed.push_back(
          this->RowJson(change->key, change->value, change->version));
      }
    }
    if (!listed.empty() || Clock::now() >= until) {
      return JsonResponse(200, { { "rows", listed },
                                 { "ver", this->version },
                                 { "now", std::to_string(NowMs()) + "ms" } });
    }
    if (this->isStopped || aStream.IsPeerGone()) {
      return {};
    }
    this->changed.wait_until(lock, std::min(until, Clock::now() + Ms(200)));
  }
}

std::string Store::Parts(const std::map<std::string, std::string>& aQuery)
{
  const std::lock_guard lock(this->mutex);
  std::set<std::string> parts;
  const auto table = aQuery.find("table");
  for (const auto& [key, row] : this->rows) {
    if (table != aQuery.end() && key.table == table->second) {
      parts.insert(key.part);
    }
  }
  return JsonResponse(200, { { "parts", parts }, { "more", false } });
}

// --- Instances

Instance::Instance(InstanceOptions aOptions, Store& aStore, Record& aRecord,
                   OnRun aOnRun)
  : options(std::move(aOptions))
  , store(aStore)
  , record(aRecord)
  , onRun(std::move(aOnRun))
  , born(UnixMs())
{
  if (this->options.isSharded) {
    this->fence.assign(65536, -1);
    this->heldUntil.assign(65536, Clock::time_point{});
    this->runningOnKey.assign(65536, 0);
  }
  this->server = std::make_unique<Server>(
    this->options.address, [this](const Message& aMessage, Stream& aStream) {
      return this->Handle(aMessage, aStream);
    });
  this->WriteEntry();
  this->beatThread = std::thread([this] { this->Beat(); });
}

Instance::~Instance()
{
  this->Crash();
}

void Instance::SetSpoil(Spoil aSpoil)
{
  const std::lock_guard lock(this->mutex);
  this->spoil = std::move(aSpoil);
}

void Instance::WriteEntry()
{
  json entry;
  {
    const std::lock_guard lock(this->mutex);
    entry = { { "service", this->options.service },
              { "address", this->server->Address() },
              { "zone", this->options.zone },
              { "version", "v1" },
              { "slots", this->options.slots },
              { "state", this->state },
              { "warmupLeft", "0ms" },
              { "seq", ++this->seq },
              { "born", this->born } };
  }
  this->store.Put("servers", this->options.id, entry);
}

void Instance::Beat()
{
  while (!this->isEnded) {
    for (int i = 0; i < 87 && !this->isEnded; ++i) {
      SleepMs(10);
    }
    if (!this->isEnded) {
      this->WriteEntry();
    }
  }
}

void Instance::Drain()
{
  {
    const std::lock_guard lock(this->mutex);
    this->state = "draining";
  }
  this->WriteEntry();
  this->record.Line("instance " + this->options.id + " says draining");
}

void Instance::Crash()
{
  if (this->isEnded.exchange(true)) {
    return;
  }
  this->changed.notify_all();
  this->beatThread.join();
  this->server->Stop();
}

void Instance::End()
{
  this->Crash();
  this->store.Remove("servers", this->options.id);
}

std::size_t Instance::HeldKeys()
{
  const std::lock_guard lock(this->mutex);
  const auto now = Clock::now();
  return static_cast<std::size_t>(std::ranges::count_if(
    this->heldUntil, [now](const auto& aOne) { return aOne > now; }));
}

std::vector<bool> Instance::Held()
{
  const std::lock_guard lock(this->mutex);
  const auto now = Clock::now();
  std::vector<bool> held(this->heldUntil.size());
  std::transform(this->heldUntil.begin(), this->heldUntil.end(), held.begin(),
                 [now](const auto& aOne) { return aOne > now; });
  return held;
}

bool Instance::Send(const Message& aRequest, Stream& aStream,
                    const std::string& aResponse)
{
  Spoil change;
  {
    const std::lock_guard lock(this->mutex);
    change = this->spoil;
  }
  if (!change) {
    return aStream.Write(aResponse);
  }
  const auto [bytes, goesOn] = change(aRequest, aResponse);
  return aStream.Write(bytes) && goesOn;
}

std::string Instance::Load()
{
  const std::lock_guard lock(this->mutex);
  return std::to_string(this->running) + "," + std::to_string(this->waiting) +
         "," + std::to_string(this->options.slots);
}

bool Instance::Handle(const Message& aMessage, Stream& aStream)
{
  if (this->isEnded) {
    return false;
  }
  const std::string id = aMessage.Header("Request-Id");
  std::vector<std::pair<std::string, std::string>> headers;
  if (!id.empty()) {
    headers.emplace_back("Request-Id", id);
  }
  headers.emplace_back("Instance-Id", this->options.id);
  headers.emplace_back("Instance-Load", this->Load());
  const std::string expected = aMessage.Header("Expect-Instance");
  if (!expected.empty() && expected != this->options.id) {
    headers.emplace_back("Not-Executed", "1");
    return this->Send(aMessage, aStream, Response(421, headers, ""));
  }
  if (aMessage.Target() == "/healthz") {
    return this->Send(aMessage, aStream, Response(200, headers, ""));
  }
  if (aMessage.Target() == "/grant" && this->options.isSharded) {
    return this->Grant(aMessage, aStream);
  }
  if (aMessage.Target() == "/release" && this->options.isSharded) {
    return this->Release(aMessage, aStream);
  }
  return this->Run(aMessage, aStream);
}

bool Instance::Grant(const Message& aMessage, Stream& aStream)
{
  const json body = json::parse(aMessage.body, nullptr, false);
  if (body.is_discarded()) {
    return this->Send(aMessage, aStream, Response(400, {}, ""));
  }
  const int from = body.at("from").get<int>();
  const int to = body.at("to").get<int>();
  const auto token = body.at("fence").get<std::int64_t>();
  const double hold =
    std::strtod(body.at("hold_time").get<std::string>().c_str(), nullptr);
  int status = 200;
  bool isNew = false;
  {
    const std::lock_guard lock(this->mutex);
    const auto now = Clock::now();
    for (int key = from; key <= to; ++key) {
      status = this->fence[key] > token ? 409 : status;
    }
    for (int key = from; status == 200 && key <= to; ++key) {
      isNew = isNew || this->heldUntil[key] <= now;
      this->fence[key] = token;
      this->heldUntil[key] = now + Ms(static_cast<std::int64_t>(hold));
    }
  }
  if (isNew || status != 200) {
    this->record.Line("instance " + this->options.id + " grant " +
                      aMessage.body + " -> " + std::to_string(status));
  }
  return this->Send(aMessage, aStream, Response(status, {}, ""));
}

bool Instance::Release(const Message& aMessage, Stream& aStream)
{
  const json body = json::parse(aMessage.body, nullptr, false);
  if (body.is_discarded()) {
    return this->Send(aMessage, aStream, Response(400, {}, ""));
  }
  const int from = body.at("from").get<int>();
  const int to = body.at("to").get<int>();
  const auto token = body.at("fence").get<std::int64_t>();
  {
    std::unique_lock lock(this->mutex);
    for (int key = from; key <= to; ++key) {
      this->fence[key] = std::max(this->fence[key], token);
      this->heldUntil[key] = {};
    }
    this->changed.wait(lock, [&] {
      return this->isEnded ||
             std::all_of(this->runningOnKey.begin() + from,
                         this->runningOnKey.begin() + to + 1,
                         [](int aCount) { return aCount == 0; });
    });
  }
  this->record.Line("instance " + this->options.id + " release " +
                    aMessage.body + " -> 200");
  return this->Send(aMessage, aStream,
                    Response(200, { { "Handover", NewRequestId() } }, ""));
}

bool Instance::Run(const Message& aMessage, Stream& aStream)
{
  const std::string id = aMessage.Header("Request-Id");
  const auto headersNow = [&] {
    return std::vector<std::pair<std::string, std::string>>{
      { "Request-Id", id },
      { "Instance-Id", this->options.id },
      { "Instance-Load", this->Load() }
    };
  };
  const auto refuse = [&](int aStatus) {
    auto headers = headersNow();
    headers.emplace_back("Not-Executed", "1");
    return this->Send(aMessage, aStream, Response(aStatus, headers, ""));
  };
  if (id.empty()) {
    return refuse(400);
  }
  const std::string keyText = aMessage.Header("Shard-Key");
  const int key = keyText.empty() ? -1 : std::atoi(keyText.c_str());
  {
    std::unique_lock lock(this->mutex);
    const auto holds = [&] {
      return !this->options.isSharded ||
             (key >= 0 && this->heldUntil[key] > Clock::now());
    };
    if (!holds()) {
      lock.unlock();
      return refuse(421);
    }
    if (this->waiting >= this->options.queue) {
      lock.unlock();
      return refuse(503);
    }
    ++this->waiting;
    const std::string deadline = aMessage.Header("Deadline-Ms");
    const auto until =
      Clock::now() +
      Ms(deadline.empty() ? 60'000 : std::atoll(deadline.c_str()));
    const bool hasSlot = this->changed.wait_until(lock, until, [this] {
      return this->isEnded || this->running < this->options.slots;
    });
    --this->waiting;
    if (this->isEnded) {
      return false;
    }
    if (!hasSlot || aStream.IsPeerGone()) {
      const bool isGone = aStream.IsPeerGone();
      lock.unlock();
      return !isGone && refuse(503);
    }
    if (!holds()) {
      lock.unlock();
      return refuse(421);
    }
    ++this->running;
    if (this->options.isSharded) {
      ++this->runningOnKey[key];
    }
  }
  if (this->onRun) {
    this->onRun(aMessage, *this);
  }
  const auto end = Clock::now() + Ms(this->options.workMs);
  while (Clock::now() < end && !this->isEnded) {
    SleepMs(std::clamp<std::int64_t>(
      std::chrono::duration_cast<Ms>(end - Clock::now()).count(), 1, 20));
  }
  {
    const std::lock_guard lock(this->mutex);
    --this->running;
    if (this->options.isSharded) {
      --this->runningOnKey[key];
    }
  }
  this->changed.notify_all();
  if (this->isEnded) {
    return false;
  }
  auto headers = headersNow();
  headers.emplace_back("Response-Signature",
                       "sig-" + this->options.id + "-" + id);
  if (this->options.idleMs > 0) {
    headers.emplace_back(
      "Keep-Alive", "timeout=" + std::to_string(this->options.idleMs / 1000));
  }
  std::string body = "body of " + id + " by " + this->options.id + " ";
  body.resize(std::max(body.size(), this->options.bodyBytes), '.');
  return this->Send(aMessage, aStream, Response(200, headers, body));
}

// --- Hosts

Host::Host(HostOptions aOptions, const std::string& aStoreAddress,
           const std::string& aFolder, Record& aRecord)
  : options(std::move(aOptions))
  , storeAddress(aStoreAddress)
  , folder(aFolder)
  , record(aRecord)
{
  const std::string& ip = this->options.ip;
  this->callerPort = FreePort(ip);
  this->readyPort = FreePort(ip);
  this->peerPort = FreePort(ip);
  this->relayPort = FreePort(ip);
  this->callerAddress = ip + ":" + std::to_string(this->callerPort);
  this->readyAddress = ip + ":" + std::to_string(this->readyPort);
  this->settingsPath = this->folder + "/" + this->options.name + ".json";
  this->logPath = this->folder + "/" + this->options.name + ".log";
}

Host::~Host()
{
  this->Kill();
}

// What deploy/settings.json makes of the settings of a small deployment.
void Host::Start(bool aIsFirst)
{
  const std::string& ip = this->options.ip;
  const json settings = {
    { "host", this->options.name },
    { "data_centre", this->options.zone },
    { "caller_address", this->callerAddress },
    { "ready_address", this->readyAddress },
    { "peer_address", ip + ":" + std::to_string(this->peerPort) },
    { "relay_address", ip + ":" + std::to_string(this->relayPort) },
    { "metrics_address", ip + ":" + std::to_string(FreePort(ip)) },
    { "store_address", this->storeAddress },
    { "most_hold", "10000ms" },
    { "grace", "6s" },
    { "resend_share", 0.2 },
    { "resend_extra", 64 },
    { "memory_mb", 260 },
    { "processors", 0.2 },
    { "pace_starting_upstreams", false },
    { "first_start", aIsFirst },
    { "proxy_owner_requests", true }
  };
  std::ofstream(this->settingsPath) << settings.dump(2) << "\n";
  const char* const program = "target/app/kumquatd/kumquatd";
  this->endText.clear();
  this->pid = fork();
  if (this->pid == 0) {
    // It does not outlive the test.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log =
      ::open(this->logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    if (this->options.descriptors > 0) {
      const rlimit limit{ static_cast<rlim_t>(this->options.descriptors),
                          static_cast<rlim_t>(this->options.descriptors) };
      ::setrlimit(RLIMIT_NOFILE, &limit);
    }
    ::setenv("KUMQUATSCALE_BOOT", this->settingsPath.c_str(), 1);
    ::execl(program, program, static_cast<char*>(nullptr));
    ::_exit(127);
  }
  this->record.Line("host " + this->options.name + " started");
}

void Host::Signal(int aSignal)
{
  if (this->pid > 0 && !this->HasEnded()) {
    this->record.Line("host " + this->options.name + " gets signal " +
                      std::to_string(aSignal));
    ::kill(this->pid, aSignal);
  }
}

void Host::Kill()
{
  if (this->pid <= 0 || this->HasEnded()) {
    return;
  }
  ::kill(this->pid, SIGKILL);
  int status = 0;
  ::waitpid(this->pid, &status, 0);
  this->endText = "killed by the test";
  this->pid = -1;
}

bool Host::HasEnded()
{
  if (!this->endText.empty()) {
    return true;
  }
  int status = 0;
  if (this->pid <= 0 || ::waitpid(this->pid, &status, WNOHANG) != this->pid) {
    return false;
  }
  this->endText = WIFSIGNALED(status)
                    ? "ended by signal " + std::to_string(WTERMSIG(status))
                    : "exited with " + std::to_string(WEXITSTATUS(status));
  this->record.Line("host " + this->options.name + " " + this->endText);
  this->pid = -1;
  return true;
}

bool Host::IsReady() const
{
  const StreamPtr stream = Connect(this->readyAddress, 300);
  if (!stream || !stream->Write("GET /readyz HTTP/1.1\r\nHost: a\r\n\r\n")) {
    return false;
  }
  Message message;
  return stream->Read(message, true, 500) == ReadResult::kMessage &&
         message.Status() == 200;
}

bool WaitUntilReady(const Host& aHost, std::int64_t aMs)
{
  const std::int64_t until = NowMs() + aMs;
  while (NowMs() < until) {
    if (aHost.IsReady()) {
      return true;
    }
    SleepMs(50);
  }
  return false;
}

bool WaitUntilReady(const std::vector<std::unique_ptr<Host>>& aHosts,
                    std::int64_t aMs)
{
  const std::int64_t until = NowMs() + aMs;
  return std::ranges::all_of(aHosts, [until](const auto& aHost) {
    return WaitUntilReady(*aHost, std::max<std::int64_t>(1, until - NowMs()));
  });
}

json MakeConfiguration(int aVersion, const std::vector<RouteOptions>& aRoutes)
{
  std::map<std::string, json> listeners;
  std::map<std::string, json> clusters;
  for (const RouteOptions& one : aRoutes) {
    json& listener = listeners[one.host];
    listener["hostname"] = one.host;
    listener["rules"].push_back(
      { { "name", "r-" + one.prefix.substr(1, one.prefix.size() - 2) },
        { "routeType", one.kind },
        { "targetLatency", std::to_string(one.timeoutMs / 2) + "ms" },
        { "priority", 1 },
        { "match", { { "prefix", one.prefix } } },
        { "action",
          { { "service", one.service },
            { "timeout", std::to_string(one.timeoutMs) + "ms" },
            { "maxAttempts", one.attempts } } } });
    json cluster = { { "name", one.service }, { "healthPath", "/healthz" },
                     { "maxConns", 130 },     { "protocol", "h1" },
                     { "tls", false },        { "warmup", "3s" },
                     { "warmupPerS", 5.2 } };
    if (one.isSharded) {
      cluster["sharded"] = true;
      cluster["warm"] = "3s";
      cluster["grants"] = "invoke";
    }
    clusters[one.service] = cluster;
  }
  json configuration = { { "version", "r" + std::to_string(aVersion) },
                         { "limits",
                           { { "maxHeaderBytes", 16384 },
                             { "maxBodyBytes", 67108864 },
                             { "headerTimeout", "3000ms" },
                             { "idleTimeout", "15000ms" } } },
                         { "listeners", json::array() },
                         { "clusters", json::array() } };
  for (const auto& [name, one] : listeners) {
    configuration["listeners"].push_back(one);
  }
  for (const auto& [name, one] : clusters) {
    configuration["clusters"].push_back(one);
  }
  return configuration;
}

std::string NewRequestId()
{
  static std::mutex mutex;
  static std::mt19937_64 random(std::random_device{}());
  const std::lock_guard lock(mutex);
  char text[24];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(random()));
  return text;
}

TemporaryFolder::TemporaryFolder()
  : path((std::filesystem::temp_directory_path() / "review-2-XXXXXX").string())
{
  if (::mkdtemp(this->path.data()) == nullptr) {
    std::exit(2);
  }
}

TemporaryFolder::~TemporaryFolder()
{
  std::error_code ignored;
  std::filesystem::remove_all(this->path, ignored);
}

int Environment(const char* aName, int aDefault)
{
  const char* const text = std::getenv(aName);
  return text == nullptr ? aDefault : std::atoi(text);
}

// --- Proxy

Proxy::Proxy(std::string aTarget)
  : target(std::move(aTarget))
  , listener(Listen("127.0.0.1:0"))
{
  this->address = AddressOf(this->listener);
  this->acceptThread = std::thread([this] { this->Accept(); });
}

Proxy::~Proxy()
{
  this->Stop();
}

void Proxy::Accept()
{
  while (!this->isStopped) {
    const int socket =
      ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
    if (socket < 0) {
      if (this->isStopped) {
        return;
      }
      SleepMs(5);
      continue;
    }
    const auto link = std::make_shared<Link>();
    link->near = std::make_shared<Stream>(socket);
    link->far = Connect(this->target);
    if (!link->far) {
      link->near->Reset();
      continue;
    }
    {
      const std::lock_guard lock(this->mutex);
      std::erase_if(this->links,
                    [](const auto& aOne) { return aOne.expired(); });
      this->links.push_back(link);
    }
    for (const bool isBack : { false, true }) {
      std::thread([this, link, isBack] { this->Pass(link, isBack); }).detach();
    }
  }
}

void Proxy::Pass(const std::shared_ptr<Link>& aLink, bool aIsBack)
{
  Stream& from = aIsBack ? *aLink->far : *aLink->near;
  Stream& to = aIsBack ? *aLink->near : *aLink->far;
  char bytes[16384];
  while (!this->isStopped) {
    pollfd entry{ from.Socket(), POLLIN, 0 };
    if (::poll(&entry, 1, 100) == 0) {
      continue;
    }
    if (aLink->isSilent || this->isSilent) {
      // What comes meanwhile waits, as behind a cut.
      SleepMs(20);
      continue;
    }
    const ssize_t got = ::recv(from.Socket(), bytes, sizeof(bytes), 0);
    if (got <= 0 ||
        !to.Write(std::string(bytes, static_cast<std::size_t>(got)))) {
      break;
    }
  }
  ::shutdown(from.Socket(), SHUT_RDWR);
  ::shutdown(to.Socket(), SHUT_RDWR);
}

void Proxy::SilenceOpen()
{
  const std::lock_guard lock(this->mutex);
  for (const auto& one : this->links) {
    if (const auto link = one.lock()) {
      link->isSilent = true;
    }
  }
}

void Proxy::ResetOpen()
{
  const std::lock_guard lock(this->mutex);
  for (const auto& one : this->links) {
    if (const auto link = one.lock()) {
      ::shutdown(link->near->Socket(), SHUT_RDWR);
      ::shutdown(link->far->Socket(), SHUT_RDWR);
    }
  }
}

void Proxy::Stop()
{
  if (this->isStopped.exchange(true)) {
    return;
  }
  ::shutdown(this->listener, SHUT_RDWR);
  this->acceptThread.join();
  ::close(this->listener);
  SleepMs(250);
}

} // namespace stage
