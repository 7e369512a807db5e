// A request that must not run twice, and an instance that refuses some requests
// as full and sends some of its answers a second time, late.

#include "../standin/standin.h"

#include <array>
#include <random>
#include <set>

namespace review {
namespace {

using Duration = std::chrono::steady_clock::duration;

constexpr int kGateways = 12;
constexpr int kInstances = 2;
// Instances that send some answers a second time, which part of them, and when;
// see claim.txt for the limits.
constexpr int kFaultyInstances = 1;
constexpr double kExtraShare = 0.03;
constexpr milliseconds kFaultFrom{ 8'000 };
constexpr milliseconds kFaultLength{ 5000 };
constexpr milliseconds kFaultEvery{ 8000 };
constexpr int kSlots = 3;
// Requests that an instance queues beside those that it runs.
constexpr int kQueue = 2;
constexpr milliseconds kShortestWork{ 40 };
constexpr milliseconds kLongestWork{ 120 };
constexpr milliseconds kDeadline{ 600 };
constexpr int kClients = 60;
// A client's longest pause between two requests.
constexpr milliseconds kLongestPause{ 900 };
constexpr milliseconds kLength{ 40'000 };

// What all clients and instances have seen.
class Ledger
{
public:
  explicit Ledger(Record& aRecord)
    : record(aRecord)
  {
  }

  void OnRun(const std::string& aRequest, const std::string& aInstance)
  {
    const std::lock_guard lock(this->mutex);
    this->record.Write("run " + aRequest + " at " + aInstance);
    ++this->runs[aRequest];
  }

  void OnAnswer(const std::string& aRequest, int aStatus)
  {
    const std::lock_guard lock(this->mutex);
    this->record.Write("answer " + aRequest + " " + std::to_string(aStatus));
    ++this->statuses[aStatus];
    this->answers[aRequest] = aStatus;
  }

  // Requests that ran twice, and those that ran though their answer promises
  // that they have not.
  std::pair<int, int> Faults()
  {
    const std::lock_guard lock(this->mutex);
    int twice = 0;
    int refused = 0;
    for (const auto& [request, count] : this->runs) {
      const auto answer = this->answers.find(request);
      const int status = answer == this->answers.end() ? 0 : answer->second;
      if (count > 1) {
        ++twice;
        this->record.Write("TWICE " + request + " ran " +
                           std::to_string(count) + " times, answered " +
                           std::to_string(status));
      }
      if (IsPromise(status)) {
        ++refused;
        this->record.Write("REFUSED " + request + " ran, answered " +
                           std::to_string(status));
      }
    }
    for (const auto& [status, count] : this->statuses) {
      this->record.Write("status " + std::to_string(status) + ": " +
                         std::to_string(count));
    }
    return { twice, refused };
  }

  int Served()
  {
    const std::lock_guard lock(this->mutex);
    return this->statuses[200];
  }

private:
  Record& record;
  std::mutex mutex;
  std::map<std::string, int> runs;
  std::map<std::string, int> answers;
  std::map<int, int> statuses;
};

// Runs some requests at once, queues a few more, and refuses the others.
class Instance
{
public:
  Instance(std::string aId, bool aIsFaulty, Ledger& aLedger, Record& aRecord)
    : id(std::move(aId))
    , isFaulty(aIsFaulty)
    , ledger(aLedger)
    , record(aRecord)
    , server([this](const ConnectionPtr& aOne) { this->Serve(aOne); })
  {
  }

  const std::string& Id() const { return this->id; }
  int Port() const { return this->server.Port(); }

private:
  void Serve(const ConnectionPtr& aOne)
  {
    Message last;
    std::string lastAnswer;
    while (const auto request = aOne->Read(false)) {
      const std::string name = request->Header("Request-Id");
      const bool isSame =
        !lastAnswer.empty() && name == last.Header("Request-Id");
      // A second answer to the request before, which comes where the next
      // answer is expected.
      const auto sendExtra = [&] {
        this->record.Write("extra answer of " + this->id + " to " + name);
        static_cast<void>(aOne->Send(lastAnswer));
      };
      const std::string answer =
        this->Answer(*request, isSame ? sendExtra : std::function<void()>());
      if (!aOne->Send(answer)) {
        return;
      }
      last = *request;
      lastAnswer = answer;
    }
  }

  // Whether one more answer may be spoiled now.
  bool TakeFault()
  {
    if (!this->isFaulty || !IsTroubled() || !this->faultTime ||
        this->spoiled + 1 > kExtraShare * this->answersInFault) {
      return false;
    }
    ++this->spoiled;
    return true;
  }

  // Counts an answer. Each time of the fault has its own share.
  void CountAnswer()
  {
    const Duration at = Now() - this->start - kFaultFrom;
    const bool isWithin =
      at >= Duration(0) && at % kFaultEvery < Duration(kFaultLength);
    const auto time = isWithin ? std::optional(at / kFaultEvery) : std::nullopt;
    if (time != this->faultTime) {
      this->faultTime = time;
      this->answersInFault = 0;
      this->spoiled = 0;
    }
    ++this->answersInFault;
  }

  std::string Load() const
  {
    return "Instance-Load: " + std::to_string(this->running) + "," +
           std::to_string(this->waiting) + "," + std::to_string(kSlots) +
           ",100\r\n";
  }

  // aSendExtra is called if a request is begun and a fault is due; empty: none
  // can be.
  std::string Answer(const Message& aRequest,
                     const std::function<void()>& aSendExtra)
  {
    const std::string request = aRequest.Header("Request-Id");
    const std::string echo = "Request-Id: " + request + "\r\n";
    if (aRequest.Header("Expect-Instance") != this->id) {
      return "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\n"
             "Instance-Id: " +
             this->id + "\r\n" + echo + "Content-Length: 0\r\n\r\n";
    }
    std::unique_lock lock(this->mutex);
    this->CountAnswer();
    if (this->running >= kSlots) {
      if (this->waiting >= kQueue) {
        this->record.Write("refuse " + request + " at " + this->id);
        return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n" +
               echo + this->Load() + "Content-Length: 0\r\n\r\n";
      }
      ++this->waiting;
      this->freed.wait(lock, [this] { return this->running < kSlots; });
      --this->waiting;
    }
    ++this->running;
    this->ledger.OnRun(request, this->id);
    std::uniform_int_distribution<std::int64_t> work(kShortestWork.count(),
                                                     kLongestWork.count());
    const milliseconds length(work(this->random));
    const bool isFaultDue = aSendExtra && this->TakeFault();
    lock.unlock();
    if (isFaultDue) {
      aSendExtra();
    }
    Sleep(length);
    lock.lock();
    --this->running;
    this->freed.notify_one();
    return "HTTP/1.1 200 OK\r\nResponse-Signature: s." + request + "\r\n" +
           echo + this->Load() + "Content-Length: 4\r\n\r\ndone";
  }

  const std::string id;
  const bool isFaulty;
  const SteadyTime start = Now();
  Ledger& ledger;
  Record& record;
  std::mutex mutex;
  std::condition_variable freed;
  int running = 0;
  int waiting = 0;
  std::optional<std::int64_t> faultTime;
  int answersInFault = 0;
  int spoiled = 0;
  std::mt19937 random{ std::random_device{}() };
  Server server;
};

// Sends requests one after the other over a kept connection.
void RunClient(int aNumber, const Gateway& aGateway, Ledger& aLedger,
               SteadyTime aUntil)
{
  std::mt19937 random{ std::random_device{}() };
  std::uniform_int_distribution<std::int64_t> pause(0, kLongestPause.count());
  ConnectionPtr connection;
  for (int i = 0; Now() < aUntil; ++i) {
    Sleep(milliseconds(pause(random)));
    if (!connection) {
      connection = Connect(aGateway.Port());
      if (!connection) {
        continue;
      }
      connection->SetReadTimeout(milliseconds(3000));
    }
    const std::string request =
      "c" + std::to_string(aNumber) + "-" + std::to_string(i);
    static_cast<void>(connection->Send(
      "POST /book/" + std::to_string(i) +
      " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + request +
      "\r\nDeadline-Ms: " + std::to_string(kDeadline.count()) +
      "\r\nContent-Length: 4\r\n\r\nbook"));
    const auto answer = connection->Read(true);
    aLedger.OnAnswer(request, answer ? answer->Status() : 0);
    if (!answer || answer->Header("Connection") == "close") {
      connection = nullptr;
    }
  }
}

int Run(Record& aRecord)
{
  const TemporaryFolder folder;
  // The stand-ins' threads use these until the program ends.
  Ledger& ledger = *new Ledger(aRecord);
  Store& store = *new Store;
  auto& instances = *new std::vector<std::unique_ptr<Instance>>;
  for (int i = 0; i < kInstances; ++i) {
    instances.push_back(std::make_unique<Instance>(
      "i-" + std::to_string(i), i < kFaultyInstances, ledger, aRecord));
    store.Put(
      "servers", instances.back()->Id(),
      InstanceEntry("archeb", instances.back()->Port(), "caerdydd", kSlots));
  }
  store.Put("op", "config",
            Configuration(1,
                          { RouteEntry("book-pay", "unsafe", "/book/", "archeb",
                                       "250ms", "600ms", 2) },
                          { ClusterEntry("archeb", false) }));
  std::vector<std::unique_ptr<Gateway>> gateways;
  gateways.reserve(kGateways);
  for (int i = 0; i < kGateways; ++i) {
    gateways.push_back(std::make_unique<Gateway>("front-" + std::to_string(i),
                                                 "caerdydd", store.Address(),
                                                 folder.Path()));
  }
  for (const auto& gateway : gateways) {
    if (!gateway->AwaitReady(milliseconds(15'000))) {
      aRecord.Write("not ready: " + gateway->Name());
      return kNotRun;
    }
  }
  Sleep(milliseconds(2000));
  const SteadyTime until = Now() + kLength;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      RunClient(i, *gateways[static_cast<std::size_t>(i % kGateways)], ledger,
                until);
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  Sleep(milliseconds(500));
  const auto [twice, refused] = ledger.Faults();
  aRecord.Write("served " + std::to_string(ledger.Served()) + ", ran twice " +
                std::to_string(twice) + ", refused and ran " +
                std::to_string(refused));
  if (ledger.Served() == 0) {
    return kNotRun;
  }
  return twice + refused > 0 ? kBroken : kHeld;
}

} // namespace
} // namespace review

int main(int argc, char** argv)
{
  return review::RunCase(argc, argv, review::Run);
}
