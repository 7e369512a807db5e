// A few hosts with their filters and logs, a wire that holds forwards until a
// test delivers them, and an upstream that counts what ran.

#pragma once

#include "coordination/duplicatefilter.h"
#include "coordination/witnesslog.h"

#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace kumquat::coordination::tests {

inline const state::ServiceName kService{ "archeb" };
constexpr std::uint64_t kLastHash = std::numeric_limits<std::uint64_t>::max();

class DuplicateCluster
{
public:
  using Answer = DuplicateFilter::Answer;

  struct Host
  {
    state::HostRef ref;
    std::unique_ptr<WitnessLog> log;
    std::unique_ptr<DuplicateFilter> filter;
    bool alive = true;
    bool leased = true;
    // The epoch under which it became the owner of all keys.
    state::Epoch tenure = 0;
    // What its copy of the map says.
    state::Epoch knownEpoch = 0;
    std::set<state::HostRef> deposed;
  };

  struct OnWire
  {
    DuplicateFilter::Ticket ticket;
    std::string steward;
    protocol::Forward forward;
  };

  explicit DuplicateCluster(OmittedRules aOmitted = {},
                            std::size_t aMaxKeys = 100)
    : omitted(std::move(aOmitted))
    , maxKeys(aMaxKeys)
  {
    for (const char* name : { "a", "b", "c", "d" }) {
      this->AddHost(name);
    }
    this->At("a").tenure = 1;
    this->At("a").filter->Begin(this->Tenure(1, KeyTenure::Origin::kNew, {}));
  }

  Host& At(const std::string& aName) { return *this->hosts.at(aName); }

  Host& AddHost(const std::string& aName)
  {
    auto& host = this->hosts[aName];
    host = std::make_unique<Host>();
    host->ref = { { aName }, 1 };
    host->log = std::make_unique<WitnessLog>(this->LogOptions(*host));
    host->filter = this->BuildFilter(*host);
    this->everLive.push_back(host->ref);
    return *host;
  }

  static KeyTenure Tenure(state::Epoch aEpoch, KeyTenure::Origin aOrigin,
                          state::HostRef aPredecessor)
  {
    return {
      kService, "0", 0, kLastHash, aEpoch, aOrigin, std::move(aPredecessor)
    };
  }

  // aTo becomes the owner after aFrom, which lies still but is not told.
  void TakeOver(const std::string& aFrom, const std::string& aTo,
                state::Epoch aEpoch = 2)
  {
    this->At(aFrom).leased = false;
    this->At(aTo).tenure = aEpoch;
    this->At(aTo).knownEpoch = aEpoch;
    this->At(aTo).deposed.insert(this->At(aFrom).ref);
    this->At(aTo).filter->Begin(
      this->Tenure(aEpoch, KeyTenure::Origin::kTakeover, this->At(aFrom).ref));
  }

  // One arrival at aEntry; its forward stays on the wire until Deliver.
  void Send(const std::string& aEntry, const std::string& aOwner,
            const std::string& aSteward, const std::string& aKey)
  {
    Host& owner = this->At(aOwner);
    if (aEntry != aOwner) {
      const KeyOwner known{ owner.ref, owner.tenure };
      if (this->At(aEntry).log->Note(known, kService, aKey) !=
          protocol::ErrorKind::kNone) {
        return;
      }
    }
    owner.filter->Submit(
      { kService, aKey, { aEntry }, this->now + std::chrono::seconds(2) },
      [=, this](const DuplicateFilter::Ticket& aTicket) {
        this->tickets.push_back(aTicket);
        if (!this->holdTickets) {
          this->Dispatch(aTicket, aOwner, aSteward, aKey);
        }
      },
      [this](const Answer& aAnswer) { this->answers.push_back(aAnswer); });
  }

  void Dispatch(const DuplicateFilter::Ticket& aTicket,
                const std::string& aOwner, const std::string& aSteward,
                const std::string& aKey)
  {
    DuplicateFilter& filter = *this->At(aOwner).filter;
    filter.PrepareDispatch(
      aTicket, this->RefOf(aSteward),
      [=, this, &filter](protocol::ErrorKind aError) {
        if (aError != protocol::ErrorKind::kNone) {
          filter.Finish(aTicket, this->AnswerOf(aError));
          return;
        }
        protocol::Forward forward;
        forward.sender.host = aOwner;
        forward.sender.incarnation = aTicket.owner.host.incarnation;
        forward.ownerEpoch = aTicket.owner.epoch;
        forward.serviceName = kService.value;
        forward.idempotencyKey = aKey;
        this->wire.push_back({ aTicket, aSteward, forward });
      });
  }

  // The stewards run what they admit; owners that live get the answers.
  void Deliver()
  {
    for (const OnWire& item : std::exchange(this->wire, {})) {
      const protocol::ErrorKind error =
        this->At(item.steward).log->Admit(item.forward);
      if (error == protocol::ErrorKind::kNone) {
        ++this->runs[item.forward.idempotencyKey];
      }
      Host& owner = this->At(item.forward.sender.host);
      if (owner.alive) {
        owner.filter->Finish(item.ticket, this->AnswerOf(error));
      }
    }
  }

  void Kill(const std::string& aName)
  {
    this->At(aName).alive = false;
    this->At(aName).leased = false;
  }

  // Comes back as a new run that remembers nothing.
  void Restart(const std::string& aName)
  {
    Host& host = this->At(aName);
    ++host.ref.incarnation;
    host.log = std::make_unique<WitnessLog>(this->LogOptions(host));
    host.filter = this->BuildFilter(host);
    host.alive = true;
    host.leased = true;
    this->everLive.push_back(host.ref);
  }

  void Pass(Duration aTime)
  {
    this->now += aTime;
    for (auto& [name, host] : this->hosts) {
      if (host->alive) {
        host->filter->Tick();
        host->log->Tick();
      }
    }
  }

  protocol::ErrorKind LastError() const
  {
    return protocol::ErrorKindFromNumber(this->answers.back()->error);
  }

  // Questions wait here while held.
  bool holdAsks = false;
  // Accepted keys are not dispatched while held: their owner is paused.
  bool holdTickets = false;
  std::vector<std::function<void()>> heldAsks;
  std::vector<DuplicateFilter::Ticket> tickets;
  std::vector<OnWire> wire;
  std::vector<Answer> answers;
  std::map<std::string, int> runs;
  TimePoint now{ std::chrono::seconds(1000) };

  std::chrono::milliseconds UnixTime() const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
      this->now.time_since_epoch());
  }

private:
  state::HostRef RefOf(const std::string& aName) { return this->At(aName).ref; }

  Answer AnswerOf(protocol::ErrorKind aError) const
  {
    auto answer = std::make_shared<protocol::ForwardReply>();
    answer->error = static_cast<int>(aError);
    answer->body = "answer " + std::to_string(this->answers.size());
    return answer;
  }

  WitnessLog::Options LogOptions(Host& aHost)
  {
    WitnessLog::Options options;
    options.self = aHost.ref;
    options.maxKeys = this->maxKeys;
    options.clock = [this] { return this->now; };
    options.knownEpoch = [&aHost](const state::ServiceName&, std::uint64_t) {
      return aHost.knownEpoch;
    };
    options.isDeposed = [&aHost](const state::HostRef& aRef) {
      return aHost.deposed.contains(aRef);
    };
    options.omittedForTest = this->omitted;
    return options;
  }

  std::unique_ptr<DuplicateFilter> BuildFilter(Host& aHost)
  {
    return DuplicateFilterBuilder()
      .Self(aHost.ref)
      .Capacity(this->maxKeys, 1U << 20U)
      .Clocks([this] { return this->now; }, [this] { return this->UnixTime(); })
      .Random([](std::size_t) { return std::size_t{ 0 }; })
      .Peers(
        [this](const state::HostRef& aTo, const protocol::Frame& aFrame,
               Duration,
               const std::function<void(Result<protocol::Frame>)>& aDone) {
          auto ask = [=, this] { aDone(this->Ask(aTo, aFrame)); };
          if (this->holdAsks) {
            this->heldAsks.push_back(ask);
          } else {
            ask();
          }
        },
        std::chrono::milliseconds(300))
      .Lease([&aHost] { return aHost.leased; })
      .Hosts([this] { return this->Alive(); },
             [this] { return this->everLive; })
      .Log(*aHost.log)
      .OmitForTest(this->omitted)
      .Build();
  }

  Result<protocol::Frame> Ask(const state::HostRef& aTo,
                              const protocol::Frame& aFrame)
  {
    Host& host = this->At(aTo.host.value);
    if (!host.alive) {
      return make_error_code(protocol::ErrorKind::kPeerLost);
    }
    protocol::Frame reply;
    if (aFrame.__isset.witnessNote) {
      reply.__set_witnessReply(host.log->Answer(aFrame.witnessNote));
    } else {
      reply.__set_collectReply(
        host.filter->AnswerCollection(aFrame.collectRequest));
    }
    return reply;
  }

  std::vector<state::HostRef> Alive() const
  {
    std::vector<state::HostRef> alive;
    for (const auto& [name, host] : this->hosts) {
      if (host->alive) {
        alive.push_back(host->ref);
      }
    }
    return alive;
  }

  OmittedRules omitted;
  std::size_t maxKeys;
  std::map<std::string, std::unique_ptr<Host>> hosts;
  std::vector<state::HostRef> everLive;
};

} // namespace kumquat::coordination::tests
