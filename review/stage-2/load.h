// Clients that keep their connections, and what became of their requests.

#pragma once

#include "stage.h"

namespace stage {

enum class End
{
  // An answer with a status came whole.
  kAnswered,
  // The connection ended, or was reset, before a whole answer.
  kClosed,
  // Nothing came until the deadline.
  kTimeout,
  // Bytes that are no answer.
  kMalformed,
  kNotSent,
};

struct Sent
{
  std::string id;
  std::string host;
  std::string method;
  std::int64_t sentAt = 0;
  std::int64_t endedAt = 0;
  // The first request of a connection has number 1.
  int numberOnConnection = 0;
  End end = End::kNotSent;
  int status = 0;
  bool isSigned = false;
  bool isOwnBody = false;
};

struct LoadOptions
{
  std::string hostName = "permits.example";
  std::string path = "/permits/";
  std::string method = "GET";
  bool isKeyed = true;
  std::int64_t deadlineMs = 1000;
  std::int64_t pauseMs = 20;
  std::string body;
  int clientsPerHost = 10;
  // Whether each request gets a line.
  bool isRecorded = true;
};

class Load
{
public:
  // aAddresses: names and addresses of the hosts.
  Load(LoadOptions aOptions,
       std::vector<std::pair<std::string, std::string>> aAddresses,
       Record& aRecord);
  ~Load();
  void Stop();
  std::vector<Sent> All();

private:
  void Run(std::size_t aHost);

  LoadOptions options;
  std::vector<std::pair<std::string, std::string>> addresses;
  Record& record;
  std::atomic<bool> isStopped{ false };
  std::mutex mutex;
  std::vector<Sent> sent;
  std::vector<std::thread> threads;
};

const char* EndName(End aEnd);

// A safe request of which no body comes.
std::string MakeGet(const std::string& aHost, const std::string& aTarget,
                    const std::string& aId, std::int64_t aDeadlineMs);

// What instances began to run, by request.
class Runs
{
public:
  explicit Runs(Record& aRecord)
    : record(aRecord)
  {
  }
  Instance::OnRun Hook();
  // The instances that ran it, in order.
  std::vector<std::string> Of(const std::string& aId);
  std::size_t Count();

private:
  Record& record;
  std::mutex mutex;
  std::map<std::string, std::vector<std::string>> runs;
};

} // namespace stage
