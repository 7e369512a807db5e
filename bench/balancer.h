// What the platform's balancer does in front of the entry hosts: passes each
// request to the next host that says that it is ready.

#pragma once

#include "load.h"
#include "transport/iothread.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::bench {

struct EntryAddress
{
  // Callers' address.
  std::string address;
  // Where GET /ready answers 200 while the host takes requests.
  std::string readyAddress;
};

// Asks every entry host whether it is ready, on a thread of its own.
class ReadinessProbe
{
public:
  ReadinessProbe(std::vector<EntryAddress> aEntries,
                 std::chrono::milliseconds aInterval);
  ~ReadinessProbe();
  ReadinessProbe(const ReadinessProbe&) = delete;
  ReadinessProbe& operator=(const ReadinessProbe&) = delete;

  const std::vector<EntryAddress>& Entries() const { return this->entries; }
  bool IsReady(std::size_t aEntry) const;
  std::size_t CountReady() const;

private:
  void Schedule();
  void AskAll();

  const std::vector<EntryAddress> entries;
  const std::chrono::milliseconds interval;
  std::vector<std::atomic<bool>> ready;
  transport::IoThread thread;
  std::optional<transport::HttpClient> client;
  class Timer;
  std::unique_ptr<Timer> timer;
};

// Round robin over the ready hosts; where none is ready the request is lost.
class Balancer : public Sender
{
public:
  // aSalt lets the threads of a load start at different hosts.
  Balancer(boost::asio::io_context& aContext,
           std::shared_ptr<const ReadinessProbe> aProbe, int aSalt);

  void Send(const LoadRequest& aRequest, Done aDone) override;

private:
  std::optional<std::size_t> Next();

  std::shared_ptr<const ReadinessProbe> probe;
  transport::HttpClient client;
  std::size_t turn;
};

// Waits until at least aCount hosts are ready; false where that takes too long.
bool AwaitReady(const ReadinessProbe& aProbe, std::size_t aCount,
                std::chrono::milliseconds aMost);

} // namespace kumquat::bench
