// A planned stop of a host beside a client that sends a further request while
// it still reads the answer to its first one.

#include "../standin/standin.h"

#include <set>

namespace review {
namespace {

// Of the answers to the first requests.
constexpr std::size_t kLargeBytes = 400'000;
constexpr milliseconds kLargeWork{ 96 };
constexpr milliseconds kSmallWork{ 120 };
constexpr int kSlots = 3;
constexpr int kInstances = 4;
// Clients connect to the host one after the other, so that some of them are
// served while it closes its connections.
constexpr int kClients = 16;
constexpr milliseconds kClientEvery{ 250 };
// From the first request to the further one, and to the first read.
constexpr milliseconds kFurtherAfter{ 250 };
constexpr milliseconds kReadAfter{ 400 };
constexpr milliseconds kDeadline{ 1000 };

// The requests that instances have begun.
class Runs
{
public:
  void Add(const std::string& aRequest)
  {
    const std::lock_guard lock(this->mutex);
    this->requests.insert(aRequest);
  }

  bool Has(const std::string& aRequest)
  {
    const std::lock_guard lock(this->mutex);
    return this->requests.contains(aRequest);
  }

private:
  std::mutex mutex;
  std::set<std::string> requests;
};

class Instance
{
public:
  Instance(std::string aId, Runs& aRuns, Record& aRecord)
    : id(std::move(aId))
    , runs(aRuns)
    , record(aRecord)
    , server([this](const ConnectionPtr& aOne) { this->Serve(aOne); })
  {
  }

  const std::string& Id() const { return this->id; }
  int Port() const { return this->server.Port(); }

private:
  void Serve(const ConnectionPtr& aOne)
  {
    while (const auto request = aOne->Read(false)) {
      const std::string name = request->Header("Request-Id");
      const bool isLarge = request->Target().starts_with("/pack/");
      this->record.Write("run " + name + " at " + this->id);
      this->runs.Add(name);
      Sleep(isLarge ? kLargeWork : kSmallWork);
      const std::string body(isLarge ? kLargeBytes : 1500, 'x');
      this->record.Write("answered " + name + " at " + this->id);
      if (!aOne->Send(Join({ "HTTP/1.1 200 OK\r\nRequest-Id: ", name,
                             "\r\nResponse-Signature: s.", name,
                             "\r\nInstance-Load: 0,0,3,100\r\n",
                             "Content-Length: ", std::to_string(body.size()),
                             "\r\n\r\n", body }))) {
        return;
      }
    }
  }

  const std::string id;
  Runs& runs;
  Record& record;
  Server server;
};

std::string RequestText(const std::string& aTarget, const std::string& aName)
{
  return "GET " + aTarget +
         " HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + aName +
         "\r\nDeadline-Ms: " + std::to_string(kDeadline.count()) + "\r\n\r\n";
}

struct Outcome
{
  bool isFirstAnswered = false;
  bool isFurtherAnswered = false;
  bool isFurtherRun = false;
};

// The links of the deployments have small windows; without these options the
// kernel would take a whole answer at once on the loopback interface.
void MakeSmallWindow(int aSocket)
{
  const int bytes = 16 << 10;
  const int segment = 1400;
  setsockopt(aSocket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
  setsockopt(aSocket, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
}

Outcome RunClient(int aNumber, const Gateway& aGateway, Runs& aRuns,
                  Record& aRecord)
{
  Outcome outcome;
  const ConnectionPtr one = Connect(aGateway.Port(), MakeSmallWindow);
  if (!one) {
    aRecord.Write("client " + std::to_string(aNumber) + " cannot connect");
    return outcome;
  }
  one->SetReadTimeout(milliseconds(3000));
  const std::string first = "first-" + std::to_string(aNumber);
  const std::string further = "further-" + std::to_string(aNumber);
  const SteadyTime start = Now();
  static_cast<void>(one->Send(RequestText("/pack/a", first)));
  aRecord.Write("sent " + first);
  std::this_thread::sleep_until(start + kFurtherAfter);
  static_cast<void>(one->Send(RequestText("/look/a", further)));
  aRecord.Write("sent " + further);
  std::this_thread::sleep_until(start + kReadAfter);
  for (bool* isAnswered :
       { &outcome.isFirstAnswered, &outcome.isFurtherAnswered }) {
    const auto answer = one->Read(true);
    const std::string& name =
      isAnswered == &outcome.isFirstAnswered ? first : further;
    aRecord.Write(name + (answer
                            ? " answered " + answer->Word(1) +
                                ", Connection: " + answer->Header("Connection")
                            : " not answered, connection ended"));
    *isAnswered = answer.has_value();
    if (!answer) {
      break;
    }
  }
  outcome.isFurtherRun = aRuns.Has(further);
  return outcome;
}

int Run(Record& aRecord)
{
  const TemporaryFolder folder;
  Runs& runs = *new Runs;
  Store& store = *new Store;
  auto& instances = *new std::vector<std::unique_ptr<Instance>>;
  for (int i = 0; i < 2 * kInstances; ++i) {
    const std::string service = i < kInstances ? "pecyn" : "cysoni";
    instances.push_back(std::make_unique<Instance>(
      service + "-" + std::to_string(i), runs, aRecord));
    store.Put(
      "servers", instances.back()->Id(),
      InstanceEntry(service, instances.back()->Port(), "caerdydd", kSlots));
  }
  store.Put("op", "config",
            Configuration(
              1,
              { RouteEntry("pack-pull", "download", "/pack/", "pecyn", "400ms",
                           "1000ms", 2),
                RouteEntry("stock-look", "safe", "/look/", "cysoni", "400ms",
                           "1000ms", 2) },
              { ClusterEntry("pecyn", false), ClusterEntry("cysoni", false) }));
  Gateway gateway("front-0", "caerdydd", store.Address(), folder.Path());
  if (!gateway.AwaitReady(milliseconds(15'000))) {
    aRecord.Write("not ready");
    return kNotRun;
  }
  Sleep(milliseconds(2000));
  if (IsTroubled()) {
    aRecord.Write("SIGTERM");
    gateway.Signal(SIGTERM);
  }
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> clients;
  clients.reserve(kClients);
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] {
      const Outcome outcome = RunClient(i, gateway, runs, aRecord);
      const std::lock_guard lock(mutex);
      outcomes.push_back(outcome);
    });
    Sleep(kClientEvery);
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const auto served = std::ranges::count_if(
    outcomes, [](const Outcome& aOne) { return aOne.isFurtherAnswered; });
  const auto lost = std::ranges::count_if(outcomes, [](const Outcome& aOne) {
    return aOne.isFurtherRun && aOne.isFirstAnswered && !aOne.isFurtherAnswered;
  });
  aRecord.Write("further requests answered: " + std::to_string(served) +
                ", passed on and without an answer: " + std::to_string(lost));
  if (served == 0) {
    return kNotRun;
  }
  return lost > 0 ? kBroken : kHeld;
}

} // namespace
} // namespace review

int main(int argc, char** argv)
{
  return review::RunCase(argc, argv, review::Run);
}
