// The configuration in force, its phases and its spreading.

#include "state/configurationkeeper.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <ranges>
#include <utility>

namespace kumquat::state {

namespace {

namespace front = boost::msm::front;

// The table, or peers enough, have told what is accepted.
struct Settled
{};
// A higher version than the one in force is accepted.
struct HigherAccepted
{};
// What is in force is the highest that is known.
struct CaughtUp
{};

// The phases of a configuration; the states stand in the order of
// ConfigurationPhase.
struct PhaseMachine : front::state_machine_def<PhaseMachine>
{
  struct Collecting : front::state<>
  {};
  struct InForce : front::state<>
  {};
  struct Behind : front::state<>
  {};

  using initial_state = Collecting;

  using transition_table =
    boost::mpl::vector<front::Row<Collecting, Settled, InForce>,
                       front::Row<InForce, HigherAccepted, Behind>,
                       front::Row<Behind, CaughtUp, InForce>>;

  // Each event may come in any phase; it changes only the one it is for.
  template<typename Fsm, typename Occurrence>
  void no_transition(const Occurrence&, Fsm&, int)
  {
  }
};

} // namespace

class ConfigurationKeeper::Machine
  : public boost::msm::back::state_machine<PhaseMachine>
{};

std::string_view ConfigurationPhaseName(ConfigurationPhase aPhase)
{
  switch (aPhase) {
    case ConfigurationPhase::kCollecting:
      return "collecting";
    case ConfigurationPhase::kInForce:
      return "in-force";
    case ConfigurationPhase::kBehind:
      return "behind";
  }
  return "unknown";
}

ConfigurationKeeper::ConfigurationKeeper(Hooks aHooks)
  : ConfigurationKeeper(std::move(aHooks), Rules())
{
}

ConfigurationKeeper::ConfigurationKeeper(Hooks aHooks, Rules aRules)
  : hooks(std::move(aHooks))
  , rules(aRules)
  , machine(std::make_unique<Machine>())
  , started(this->hooks.now())
  , announced(this->started - kAnnounceEvery)
{
  this->machine->start();
  if (!this->rules.collectFirst) {
    this->machine->process_event(Settled());
  }
}

ConfigurationKeeper::~ConfigurationKeeper() = default;

ConfigurationPhase ConfigurationKeeper::Phase() const
{
  return static_cast<ConfigurationPhase>(this->machine->current_state()[0]);
}

void ConfigurationKeeper::OnHead(const ConfigurationHead& aHead)
{
  this->accepted = std::max(this->accepted, aHead.version);
  this->highestKnown = std::max(this->highestKnown, aHead.version);
  if (aHead.version <= this->inForce.version) {
    // Nothing was ever accepted: there is nothing to wait for.
    if (this->accepted == 0 && this->best.version == 0) {
      this->machine->process_event(Settled());
    }
    return;
  }
  this->machine->process_event(HigherAccepted());
  this->SettleIfHeard();
  if (aHead.version > this->inForce.version && this->fetching < aHead.version) {
    this->Fetch(aHead);
  }
}

void ConfigurationKeeper::OnAccepted(Version aVersion, const std::string& aText)
{
  this->accepted = std::max(this->accepted, aVersion);
  this->Settle(aVersion, aText);
}

void ConfigurationKeeper::OnOffer(const HostId& aPeer,
                                  const protocol::ConfigurationOffer& aOffer)
{
  this->confirmed[aPeer].configuration = aOffer.version;
  this->Consider(aOffer.version, aOffer.text);
}

void ConfigurationKeeper::OnQuery(const HostId& aPeer,
                                  const protocol::ConfigurationQuery& aQuery)
{
  this->confirmed[aPeer] = { aQuery.knownVersion, aQuery.knownPlaces };
  if (aQuery.knownVersion < this->inForce.version) {
    protocol::ConfigurationOffer offer;
    offer.__set_version(this->inForce.version);
    offer.__set_text(this->text);
    this->hooks.sendOffer(aPeer, offer);
  }
  if (aQuery.knownVersion > this->inForce.version) {
    this->highestKnown = std::max(this->highestKnown, aQuery.knownVersion);
    this->machine->process_event(HigherAccepted());
    this->Tell(aPeer);
  }
  this->SettleIfHeard();
}

void ConfigurationKeeper::OnPeerUp(const HostId& aPeer)
{
  this->Tell(aPeer);
}

void ConfigurationKeeper::OnPeerDown(const HostId& aPeer)
{
  this->confirmed.erase(aPeer);
}

void ConfigurationKeeper::OnPlacesChanged()
{
  this->Announce();
}

void ConfigurationKeeper::OnTimer()
{
  if (this->hooks.now() - this->announced >= kAnnounceEvery) {
    this->Announce();
  }
  this->SettleIfHeard();
}

void ConfigurationKeeper::Fetch(const ConfigurationHead& aHead)
{
  this->fetching = aHead.version;
  this->hooks.fetch(aHead.object,
                    [this, aHead](const Result<std::string>& aText) {
                      this->OnFetched(aHead, aText);
                    });
}

void ConfigurationKeeper::OnFetched(const ConfigurationHead& aHead,
                                    const Result<std::string>& aText)
{
  // The next reading of the head tries again.
  if (this->fetching == aHead.version) {
    this->fetching = 0;
  }
  if (aText.has_error()) {
    return;
  }
  // A store in trouble may answer with another object or with a part of this
  // one. It would come into force here only, under a version that means
  // another text elsewhere. The name is made from the content and tells.
  if (this->rules.checkContent &&
      ConfigurationObjectName(*aText) != aHead.object) {
    this->Write(Event::kConfigurationInvalid,
                { { "version", aHead.version }, { "object", aHead.object } });
    return;
  }
  this->Settle(aHead.version, *aText);
}

void ConfigurationKeeper::Consider(Version aVersion, const std::string& aText)
{
  if (this->Phase() != ConfigurationPhase::kCollecting) {
    this->Apply(aVersion, aText);
    return;
  }
  if (aVersion > this->best.version) {
    this->best = { aVersion, aText };
  }
  this->SettleIfHeard();
}

// A host is replaced while the store is out, and the first peer that answers
// lags: its older version would be in force again on a host whose predecessor
// had confirmed the newer one. So a new process applies nothing before it has
// heard the table or all peers; silent ones are waited for a while only, or a
// lost host would keep every new one from starting.
void ConfigurationKeeper::SettleIfHeard()
{
  if (this->Phase() != ConfigurationPhase::kCollecting ||
      this->best.version == 0) {
    return;
  }
  const bool tableAgrees =
    this->accepted != 0 && this->best.version >= this->accepted;
  const bool waited = this->hooks.now() - this->started >= kCollectFor;
  // A peer says what it has before its text arrives.
  const bool hasHighest = this->best.version >= this->highestKnown;
  const bool heard = hasHighest && (tableAgrees || this->HasHeardAll());
  if (!heard && !waited) {
    return;
  }
  const Candidate highest = this->best;
  this->Settle(highest.version, highest.text);
}

void ConfigurationKeeper::Settle(Version aVersion, const std::string& aText)
{
  this->machine->process_event(Settled());
  const Candidate offered = std::exchange(this->best, {});
  if (offered.version > aVersion) {
    this->Apply(offered.version, offered.text);
    return;
  }
  this->Apply(aVersion, aText);
}

bool ConfigurationKeeper::HasHeardAll() const
{
  const std::vector<HostId> peers = this->hooks.peers();
  return !peers.empty() &&
         std::ranges::all_of(peers, [this](const HostId& aPeer) {
           return this->confirmed.contains(aPeer);
         });
}

void ConfigurationKeeper::Apply(Version aVersion, const std::string& aText)
{
  // Texts overtake each other: a slow store's answer or a lagging peer's offer
  // arrives after a newer version came into force. Versions are the table's,
  // so that the higher one is the later accepted one.
  const bool newer = aVersion > this->inForce.version;
  if (!newer && this->rules.onlyHigher) {
    this->Write(
      Event::kConfigurationNotLowered,
      { { "version", aVersion }, { "in_force", this->inForce.version } });
    return;
  }
  CheckedConfiguration checked = ParseConfiguration(aText);
  auto* const configuration = std::get_if<Configuration>(&checked);
  if (configuration == nullptr) {
    this->Write(Event::kConfigurationInvalid, { { "version", aVersion } });
    return;
  }
  this->inForce = std::move(*configuration);
  this->inForce.version = aVersion;
  this->text = aText;
  this->highestKnown = std::max(this->highestKnown, aVersion);
  if (this->inForce.version >= this->highestKnown) {
    this->machine->process_event(CaughtUp());
  }
  this->Write(Event::kConfigurationInForce, { { "version", aVersion } });
  this->changed.Send(this->inForce);
  this->Announce();
}

void ConfigurationKeeper::Announce()
{
  this->announced = this->hooks.now();
  const std::vector<HostId> peers = this->hooks.peers();
  const std::size_t count = std::min(peers.size(), kFanOut);
  for (const std::size_t i : std::views::iota(std::size_t{ 0 }, count)) {
    this->Tell(peers[(this->nextPeer + i) % peers.size()]);
  }
  this->nextPeer += count;
}

void ConfigurationKeeper::Tell(const HostId& aPeer) const
{
  protocol::ConfigurationQuery query;
  query.__set_knownVersion(this->inForce.version);
  query.__set_knownPlaces(this->hooks.placesVersion());
  this->hooks.sendQuery(aPeer, query);
}

void ConfigurationKeeper::Write(Event aEvent, EventFields aFields) const
{
  if (this->hooks.event) {
    this->hooks.event(aEvent, aFields);
  }
}

} // namespace kumquat::state
