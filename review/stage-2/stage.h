// Stand-ins for the second review: the platform's store, instances, clients and
// processes of kumquatd, over plain loopback sockets and the real clock. They
// do what PROTOCOL.md and DEPLOY.md of the users' pages say, and no more.

#pragma once

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

namespace stage {

using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

// Milliseconds since the start of the program.
std::int64_t NowMs();
std::int64_t UnixMs();
void SleepMs(std::int64_t aMs);

// Lines of record.txt; safe on any thread.
class Record
{
public:
  explicit Record(const std::string& aPath);
  void Line(const std::string& aText);

private:
  std::mutex mutex;
  std::ofstream file;
};

// --- HTTP/1.1

struct Message
{
  // "GET /path HTTP/1.1" or "HTTP/1.1 200 OK"
  std::string startLine;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  std::string Header(std::string_view aName) const;
  std::string Method() const;
  std::string Target() const;
  int Status() const;
};

enum class ReadResult
{
  kMessage,
  // The peer closed the connection, or reset it, before a first byte.
  kClosed,
  // It ended within a message.
  kBroken,
  // Bytes that are no message.
  kMalformed,
  kTimeout,
};

// A connected socket with what was read beyond the last message.
class Stream
{
public:
  explicit Stream(int aSocket);
  ~Stream();
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

  bool Write(const std::string& aBytes);
  // aIsResponse: the message is a response. aHasNoBody: to a request whose
  // responses have none, as HEAD. aTimeoutMs: 0 waits for ever.
  ReadResult Read(Message& aMessage, bool aIsResponse, std::int64_t aTimeoutMs,
                  bool aHasNoBody = false);
  // True if the peer has closed its side, without reading.
  bool IsPeerGone() const;
  // Ends the connection with a reset.
  void Reset();
  void Close();
  int Socket() const { return this->socket; }
  std::string& Buffer() { return this->buffer; }

private:
  // Appends some bytes; 1: some, 0: end, -1: error, -2: timeout.
  int Fill(Clock::time_point aUntil, bool aHasLimit);

  int socket;
  std::string buffer;
};

using StreamPtr = std::shared_ptr<Stream>;

// Null if the connection cannot be made.
StreamPtr Connect(const std::string& aAddress, std::int64_t aTimeoutMs = 1000);

std::string Response(
  int aStatus, const std::vector<std::pair<std::string, std::string>>& aHeaders,
  const std::string& aBody);

// One thread for each connection.
class Server
{
public:
  // Handles one request. Returns false if the connection is to end.
  using Handler = std::function<bool(const Message&, Stream&)>;

  // aAddress: "127.0.0.1:0" takes a free port.
  Server(const std::string& aAddress, Handler aHandler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  const std::string& Address() const { return this->address; }
  // No further connections, and the open ones are cut.
  void Stop();

private:
  void Accept();
  void Serve(const StreamPtr& aStream);

  Handler handler;
  std::string address;
  int listener = -1;
  std::atomic<bool> isStopped{ false };
  std::thread acceptThread;
  std::mutex mutex;
  std::condition_variable changed;
  std::set<StreamPtr> open;
  int serving = 0;
};

// A free port of the IP number. The socket that found it is closed again.
int FreePort(const std::string& aIp);

// --- The platform's store, as PROTOCOL.md describes it

class Store
{
public:
  Store();

  const std::string& Address() const { return this->server->Address(); }
  // As the operator or an instance writes; returns the version.
  std::int64_t Put(const std::string& aTable, const std::string& aKey,
                   const nlohmann::json& aValue);
  void Remove(const std::string& aTable, const std::string& aKey);
  // The text of a row; empty if there is none.
  std::string Get(const std::string& aTable, const std::string& aPart,
                  const std::string& aKey);
  void Stop();

private:
  struct RowKey
  {
    std::string table;
    std::string part;
    std::string key;
    auto operator<=>(const RowKey&) const = default;
  };

  struct Row
  {
    std::string value;
    std::int64_t version = 0;
  };

  struct Change
  {
    std::int64_t version;
    RowKey key;
    // Empty for a dropped row.
    std::optional<std::string> value;
  };

  bool Handle(const Message& aMessage, Stream& aStream);
  std::string Transact(const std::string& aBody);
  std::string GetRows(const std::map<std::string, std::string>& aQuery);
  std::string Feed(const std::map<std::string, std::string>& aQuery,
                   Stream& aStream);
  std::string Parts(const std::map<std::string, std::string>& aQuery);
  void Set(const RowKey& aKey, std::optional<std::string> aValue);
  nlohmann::json RowJson(const RowKey& aKey,
                         const std::optional<std::string>& aValue,
                         std::int64_t aVersion) const;

  std::mutex mutex;
  std::condition_variable changed;
  std::map<RowKey, Row> rows;
  std::vector<Change> changes;
  std::int64_t version = 0;
  std::atomic<bool> isStopped{ false };
  std::unique_ptr<Server> server;
};

// --- Instances

struct InstanceOptions
{
  std::string id;
  std::string service;
  std::string zone = "zone-a";
  std::string address = "127.0.0.1:0";
  int slots = 3;
  int queue = 12;
  std::int64_t workMs = 100;
  bool isSharded = false;
  // Milliseconds of idleness after which a connection ends; 0: never.
  std::int64_t idleMs = 10'000;
  std::size_t bodyBytes = 600;
};

class Instance
{
public:
  // What a test changes in a response; called with the whole response before
  // it is sent. Returns the bytes to send, and whether the connection goes on.
  using Spoil = std::function<std::pair<std::string, bool>(
    const Message& aRequest, std::string aResponse)>;
  // Called when a request begins to run.
  using OnRun = std::function<void(const Message&, const Instance&)>;

  Instance(InstanceOptions aOptions, Store& aStore, Record& aRecord,
           OnRun aOnRun = {});
  ~Instance();

  const InstanceOptions& Options() const { return this->options; }
  const std::string& Address() const { return this->server->Address(); }
  void SetSpoil(Spoil aSpoil);
  // Says "draining" in its entry; keeps serving.
  void Drain();
  // Removes the entry and ends.
  void End();
  // Ends without a word, as a crash does.
  void Crash();
  int Running() const { return this->running; }
  std::size_t HeldKeys();
  // Whether it holds each of the keys now.
  std::vector<bool> Held();
  bool HasEnded() const { return this->isEnded; }

private:
  bool Handle(const Message& aMessage, Stream& aStream);
  bool Send(const Message& aRequest, Stream& aStream,
            const std::string& aResponse);
  bool Grant(const Message& aMessage, Stream& aStream);
  bool Release(const Message& aMessage, Stream& aStream);
  bool Run(const Message& aMessage, Stream& aStream);
  void Beat();
  void WriteEntry();
  std::string Load();

  InstanceOptions options;
  Store& store;
  Record& record;
  OnRun onRun;
  std::mutex mutex;
  std::condition_variable changed;
  Spoil spoil;
  std::string state = "ready";
  std::int64_t born;
  std::int64_t seq = 0;
  std::atomic<int> running{ 0 };
  int waiting = 0;
  std::vector<std::int64_t> fence;
  std::vector<Clock::time_point> heldUntil;
  std::vector<int> runningOnKey;
  std::atomic<bool> isEnded{ false };
  std::unique_ptr<Server> server;
  std::thread beatThread;
};

// --- Processes of kumquatd

struct HostOptions
{
  std::string name;
  std::string zone = "zone-a";
  std::string ip;
  // Limit of its descriptors; 0: the system's.
  int descriptors = 0;
};

class Host
{
public:
  // aStoreAddress: what the host takes for the store, as a proxy's.
  Host(HostOptions aOptions, const std::string& aStoreAddress,
       const std::string& aFolder, Record& aRecord);
  ~Host();

  void Start(bool aIsFirst);
  void Signal(int aSignal);
  // Kills it, if it still runs, and waits.
  void Kill();
  // Whether the process has ended; says how in EndText.
  bool HasEnded();
  const std::string& EndText() const { return this->endText; }
  const std::string& Address() const { return this->callerAddress; }
  const std::string& ReadyAddress() const { return this->readyAddress; }
  const HostOptions& Options() const { return this->options; }
  bool IsReady() const;
  int Pid() const { return this->pid; }
  const std::string& LogPath() const { return this->logPath; }

private:
  HostOptions options;
  std::string storeAddress;
  std::string folder;
  Record& record;
  std::string callerAddress;
  std::string readyAddress;
  std::string settingsPath;
  std::string logPath;
  int callerPort = 0;
  int readyPort = 0;
  int peerPort = 0;
  int relayPort = 0;
  int pid = -1;
  std::string endText;
};

// Waits until it is ready, or all are; false after the time.
bool WaitUntilReady(const Host& aHost, std::int64_t aMs);
bool WaitUntilReady(const std::vector<std::unique_ptr<Host>>& aHosts,
                    std::int64_t aMs);

// A configuration with one route for each service.
struct RouteOptions
{
  std::string host;
  std::string prefix;
  std::string kind;
  std::string service;
  std::int64_t timeoutMs = 1000;
  int attempts = 2;
  bool isSharded = false;
};

nlohmann::json MakeConfiguration(int aVersion,
                                 const std::vector<RouteOptions>& aRoutes);

std::string NewRequestId();

// A folder of its own in the system's folder for temporary files.
class TemporaryFolder
{
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& Path() const { return this->path; }

private:
  std::string path;
};

int Environment(const char* aName, int aDefault);

// A proxy on a free loopback port that passes bytes on. Connections can be
// stopped: what they hold is neither passed on nor cut.
class Proxy
{
public:
  explicit Proxy(std::string aTarget);
  ~Proxy();
  const std::string& Address() const { return this->address; }
  // Open connections pass nothing on any more; new ones do.
  void SilenceOpen();
  // All connections, also new ones, pass nothing on until it is set back.
  void SetSilent(bool aIsSilent) { this->isSilent = aIsSilent; }
  void ResetOpen();
  void Stop();

private:
  struct Link
  {
    StreamPtr near;
    StreamPtr far;
    std::atomic<bool> isSilent{ false };
  };

  void Accept();
  void Pass(const std::shared_ptr<Link>& aLink, bool aIsBack);

  std::string target;
  std::string address;
  int listener = -1;
  std::atomic<bool> isSilent{ false };
  std::atomic<bool> isStopped{ false };
  std::mutex mutex;
  std::vector<std::weak_ptr<Link>> links;
  std::thread acceptThread;
};

} // namespace stage
