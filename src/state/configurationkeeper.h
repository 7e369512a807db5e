// Holds the configuration in force on this host and spreads it. Which version
// is accepted, the table decides; this class only learns of it, from the table
// and from other hosts, and never goes back.
//
// Spreading: a host announces what it has with ConfigurationQuery, on each
// change and once a second. Whoever has more answers with ConfigurationOffer,
// whoever has less asks back with a query. Texts travel only where they are
// missing.

#pragma once

#include "framework/channel.h"
#include "framework/clock.h"
#include "framework/events.h"
#include "framework/result.h"
#include "protocol/gen/peer_types.h"
#include "state/configuration.h"
#include "state/configurationhead.h"
#include "state/types.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::state {

enum class ConfigurationPhase
{
  // A new process asks its peers before it puts anything into force.
  kCollecting,
  kInForce,
  // A higher version is accepted, and its text is not here yet.
  kBehind,
};

std::string_view ConfigurationPhaseName(ConfigurationPhase aPhase);

class ConfigurationKeeper
{
public:
  static constexpr std::chrono::milliseconds kAnnounceEvery{ 1000 };
  // How long a new process waits for silent peers, while the store is out.
  static constexpr std::chrono::milliseconds kCollectFor{ 2000 };
  // Peers told at one time; with more peers than that they are told in turn.
  static constexpr std::size_t kFanOut = 16;

  struct Hooks
  {
    Clock now;
    // Gets an object's content from the object store.
    std::function<void(const std::string&,
                       std::function<void(Result<std::string>)>)>
      fetch;
    // To a peer; what cannot be sent is lost, the next round makes it good.
    std::function<void(const HostId&, const protocol::ConfigurationOffer&)>
      sendOffer;
    std::function<void(const HostId&, const protocol::ConfigurationQuery&)>
      sendQuery;
    // Other hosts that are known, from the table or the platform's list.
    std::function<std::vector<HostId>()> peers;
    // The sum of the versions of the place rows that this host has applied.
    std::function<Version()> placesVersion;
    // May be empty.
    EventHook event;
  };

  // Each rule guards against one failure. All are on; only tests that show the
  // failure turn one off.
  struct Rules
  {
    // A late text of a lower version is not applied.
    bool onlyHigher = true;
    // A new process hears its peers, or the table, before it applies anything.
    bool collectFirst = true;
    // An object is what its name says, or is not applied.
    bool checkContent = true;
  };

  // What a peer last said that it has in force.
  struct Confirmed
  {
    Version configuration = 0;
    Version places = 0;
  };

  explicit ConfigurationKeeper(Hooks aHooks);
  ConfigurationKeeper(Hooks aHooks, Rules aRules);
  ~ConfigurationKeeper();
  ConfigurationKeeper(const ConfigurationKeeper&) = delete;
  ConfigurationKeeper& operator=(const ConfigurationKeeper&) = delete;

  // The table was read; aHead.version is 0 where it has no head.
  void OnHead(const ConfigurationHead& aHead);
  // The table has taken this host's own write of aText. Not to be called
  // while the write's fate is unknown.
  void OnAccepted(Version aVersion, const std::string& aText);
  void OnOffer(const HostId& aPeer, const protocol::ConfigurationOffer& aOffer);
  void OnQuery(const HostId& aPeer, const protocol::ConfigurationQuery& aQuery);
  void OnPeerUp(const HostId& aPeer);
  void OnPeerDown(const HostId& aPeer);
  // A place row was applied here; peers are told at once.
  void OnPlacesChanged();
  // To be called several times a second.
  void OnTimer();

  ConfigurationPhase Phase() const;
  // Version 0, without services, until there is one.
  const Configuration& InForce() const { return this->inForce; }
  const std::string& Text() const { return this->text; }
  // By peer; one that has said nothing is not there.
  const std::map<HostId, Confirmed>& Peers() const { return this->confirmed; }

  // Sent after each change, with what is in force from now on.
  Channel<Configuration>& Changed() { return this->changed; }

private:
  class Machine;

  struct Candidate
  {
    Version version = 0;
    std::string text;
  };

  void Fetch(const ConfigurationHead& aHead);
  void OnFetched(const ConfigurationHead& aHead,
                 const Result<std::string>& aText);
  void Consider(Version aVersion, const std::string& aText);
  void SettleIfHeard();
  void Settle(Version aVersion, const std::string& aText);
  bool HasHeardAll() const;
  void Apply(Version aVersion, const std::string& aText);
  void Announce();
  void Tell(const HostId& aPeer) const;
  void Write(Event aEvent, EventFields aFields) const;

  const Hooks hooks;
  const Rules rules;
  std::unique_ptr<Machine> machine;
  // Its version only rises.
  Configuration inForce;
  std::string text;
  // The highest that was offered while collecting.
  Candidate best;
  // The highest that the table itself was seen to hold.
  Version accepted = 0;
  // The same, or what a peer has in force.
  Version highestKnown = 0;
  std::map<HostId, Confirmed> confirmed;
  TimePoint started;
  TimePoint announced;
  // Where the next round of announcements begins among the peers.
  std::size_t nextPeer = 0;
  // The version whose object is being fetched; 0 for none.
  Version fetching = 0;
  Channel<Configuration> changed;
};

} // namespace kumquat::state
