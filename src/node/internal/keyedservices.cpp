// Layouts and assigners of keyed services.

#include "node/internal/keyedservices.h"

#include "node/internal/keypredecessors.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::node {

using ownership::KeyLayout;
using ownership::KeyPart;
using state::ServiceName;

namespace {

// How long a host that does not follow the store waits for peers to send the
// stored assignment. The few hosts that follow the store read it as soon as
// they know of the service.
constexpr std::chrono::milliseconds kWaitForPeers{ 5000 };
// A host that does not follow the store lets the hubs, which do, claim first.
constexpr std::chrono::milliseconds kClaimDelayBehindHubs{ 3000 };
// Interval at which the assigner of the first part checks whether the layout
// suits the number of upstreams.
constexpr std::chrono::milliseconds kLayoutCheckInterval{ 1000 };
// A retired part is kept for longer than any call of its assigner takes.
constexpr std::chrono::milliseconds kRetiredPartKept{ 30'000 };

} // namespace

KeyedServices::KeyedServices(state::HostRef aSelf,
                             std::chrono::milliseconds aMaxLease,
                             routing::Upstreams& aUpstreams,
                             const Peers& aPeers, Hooks aHooks)
  : self(std::move(aSelf))
  , maxLease(aMaxLease)
  , upstreams(aUpstreams)
  , peers(aPeers)
  , hooks(std::move(aHooks))
{
}

void KeyedServices::SetServices(const std::set<ServiceName>& aServices)
{
  for (const ServiceName& service : aServices) {
    const auto [found, isNew] = this->layouts.try_emplace(service);
    if (isNew) {
      found->second.parts.push_back(this->AddPart(service, {}));
    }
  }
}

// --- Layouts

KeyedServices::PartState* KeyedServices::AddPart(const ServiceName& aService,
                                                 const KeyPart& aPart)
{
  auto entry = std::make_unique<PartState>();
  entry->service = aService;
  entry->part = aPart;
  entry->name = PartName(aService, aPart);
  entry->assigner = this->MakeAssigner(*entry);
  entry->waitForPeersUntil = this->hooks.now() + kWaitForPeers;
  PartState* added = entry.get();
  this->parts[added->name] = std::move(entry);
  return added;
}

void KeyedServices::AdoptLayout(const ServiceName& aService,
                                const KeyLayout& aLayout)
{
  LayoutState& state = this->layouts[aService];
  if (!state.parts.empty() && aLayout.generation <= state.layout.generation) {
    return;
  }
  for (PartState* part : state.parts) {
    part->retiredAt = this->hooks.now();
    part->assigner->Leave();
  }
  state.layout = aLayout;
  state.parts.clear();
  std::ranges::transform(
    PartsOf(aLayout), std::back_inserter(state.parts),
    [&](const KeyPart& aPart) { return this->AddPart(aService, aPart); });
  this->hooks.log(aService.value, "layout", SerializeLayout(aLayout));
}

void KeyedServices::OnPeerParts(const KnownPeer& aPeer)
{
  for (const auto& [name, version] : aPeer.mapVersions) {
    const ownership::NamedPart named = ownership::ParsePartName(name);
    if (named.part.layout.IsDivided()) {
      this->AdoptLayout(named.service, named.part.layout);
    }
  }
}

std::size_t KeyedServices::CountUsableUpstreams(const ServiceName& aService)
{
  const auto& all = this->upstreams.ForService(aService).all;
  return static_cast<std::size_t>(
    std::ranges::count_if(all, [this](const routing::UpstreamState* aOne) {
      return this->upstreams.IsUsable(*aOne);
    }));
}

// The assigner of the first part decides. A part that was never assigned could
// not tell its successors which leases are left from the layout before it, so
// the next change waits until all parts are.
void KeyedServices::ConsiderLayout(const ServiceName& aService,
                                   LayoutState& aState)
{
  const TimePoint now = this->hooks.now();
  if (now < aState.checkDueAt || aState.isChanging ||
      !aState.parts.front()->assigner->IsAssigner()) {
    return;
  }
  aState.checkDueAt = now + kLayoutCheckInterval;
  const KeyLayout next = ownership::SuitableLayout(
    aState.layout, this->CountUsableUpstreams(aService));
  if (next != aState.layout &&
      std::ranges::all_of(aState.parts, &PartState::HasMap)) {
    this->ChangeLayout(aService, next);
  }
}

void KeyedServices::ChangeLayout(const ServiceName& aService,
                                 const KeyLayout& aNext)
{
  this->layouts.at(aService).isChanging = true;
  const auto end = [this, aService](const KeyLayout& aLayout) {
    this->layouts.at(aService).isChanging = false;
    this->AdoptLayout(aService, aLayout);
  };
  ReadKeyRows(
    this->hooks.store, aService.value,
    [this, aService, aNext, end](const Result<KeyRows>& aRows) {
      if (!aRows || aRows->layout.generation + 1 != aNext.generation) {
        end(aRows ? aRows->layout : KeyLayout{});
        return;
      }
      WriteLayoutRow(
        this->hooks.store, aService, aRows->layoutVersion, aNext,
        [aNext, end](state::WriteOutcome aOutcome, state::Version) {
          const bool isWritten = aOutcome == state::WriteOutcome::kWritten;
          end(isWritten ? aNext : KeyLayout{});
        });
    });
}

// A part was closed, and no peer has announced the layout that replaced it.
void KeyedServices::ReadLayout(const ServiceName& aService)
{
  ReadKeyRows(this->hooks.store, aService.value,
              [this, aService](const Result<KeyRows>& aRows) {
                if (aRows && aRows->layout.IsDivided()) {
                  this->AdoptLayout(aService, aRows->layout);
                }
              });
}

void KeyedServices::RemoveRetiredParts()
{
  const TimePoint now = this->hooks.now();
  std::erase_if(this->parts, [now](const auto& aItem) {
    const PartState& entry = *aItem.second;
    return entry.retiredAt && !entry.assigner->IsAssigner() &&
           now - *entry.retiredAt > kRetiredPartKept;
  });
}

// Until the new part has a map, the one with the key in the layout before is
// used: its upstreams keep their leases while the part changes its assigner.
KeyedServices::PartState* KeyedServices::FindPart(const ServiceName& aService,
                                                  ownership::Key aKey) const
{
  const auto found = this->layouts.find(aService);
  if (found == this->layouts.end()) {
    return nullptr;
  }
  const KeyPart part = ownership::FindPart(found->second.layout, aKey);
  PartState* current =
    found->second.parts.at(static_cast<std::size_t>(part.index));
  if (current->HasMap() || !part.layout.IsDivided()) {
    return current;
  }
  PartState* retired = this->FindRetiredPart(aService, aKey);
  return retired == nullptr ? current : retired;
}

KeyedServices::PartState* KeyedServices::FindRetiredPart(
  const ServiceName& aService, ownership::Key aKey) const
{
  const auto found = std::ranges::find_if(this->parts, [&](const auto& aItem) {
    const PartState& entry = *aItem.second;
    return entry.service == aService && entry.retiredAt && entry.HasMap() &&
           entry.part.Contains(aKey);
  });
  return found == this->parts.end() ? nullptr : found->second.get();
}

// --- Assigners

// aEntry is kept for longer than any call of its assigner takes; see
// RemoveRetiredParts.
std::unique_ptr<ownership::Assigner> KeyedServices::MakeAssigner(
  PartState& aEntry)
{
  PartState* const entry = &aEntry;
  ownership::Assigner::Hooks assignerHooks;
  assignerHooks.now = this->hooks.now;
  assignerHooks.read = [this,
                        entry](const ownership::Assigner::ReadDone& aDone) {
    this->ReadRows(*entry, aDone);
  };
  assignerHooks.write = [this, entry](const ownership::AssignmentWrite& aWrite,
                                      ownership::Assigner::WriteDone aDone) {
    WriteAssignmentRows(this->hooks.store, entry->name, aWrite,
                        std::move(aDone));
  };
  assignerHooks.sendCommand = this->hooks.sendCommand;
  assignerHooks.candidates = [this, entry] {
    return this->CandidatesFor(*entry);
  };
  assignerHooks.formerAddress = [this](const ownership::Holder& aHolder) {
    return this->upstreams.LastAddressOf(aHolder.upstream, aHolder.startedMs);
  };
  assignerHooks.usedMap = [entry] { return entry->map.CurrentVersion(); };
  assignerHooks.peers = [this, entry] {
    return this->peers.PeerStatusesFor(entry->name);
  };
  assignerHooks.publish = [this, entry] { this->PublishMap(*entry); };
  assignerHooks.preference = this->hooks.preference;
  assignerHooks.requestConnection = this->hooks.requestConnection;
  assignerHooks.claimDelay = [this] {
    return this->hooks.followsStore() ? Duration(0)
                                      : Duration(kClaimDelayBehindHubs);
  };
  assignerHooks.needsOtherLayout = [this, entry](std::size_t aUpstreams) {
    const KeyLayout& layout = entry->part.layout;
    const KeyLayout next = ownership::SuitableLayout(layout, aUpstreams);
    if (layout.IsDivided() || next == layout) {
      return false;
    }
    this->ChangeLayout(entry->service, next);
    return true;
  };
  assignerHooks.countMove = this->hooks.countMove;
  assignerHooks.log = [this, entry](std::string_view aWhat,
                                    std::string_view aDetail) {
    this->hooks.log(entry->name, aWhat, aDetail);
  };
  return std::make_unique<ownership::Assigner>(
    ownership::Assigner::Options{ entry->name, entry->part, this->self,
                                  this->maxLease },
    std::move(assignerHooks));
}

std::vector<ownership::OwnerCandidate> KeyedServices::CandidatesFor(
  PartState& aEntry)
{
  const KeyPart& part = aEntry.part;
  const TimePoint now = this->hooks.now();
  const std::vector<routing::UpstreamState*>& all =
    this->upstreams.ForService(aEntry.service).all;
  const double typicalMs =
    this->upstreams.TypicalServiceMs(aEntry.service, now);
  std::vector<ownership::OwnerCandidate> candidates;
  for (const routing::UpstreamState* upstream : all) {
    const bool isMember =
      PartOfUpstream(part.layout, upstream->entry.id) == part.index;
    if (!isMember && !aEntry.assigner->MayHoldKeys(upstream->entry.id)) {
      continue;
    }
    ownership::OwnerCandidate candidate;
    candidate.holder = { upstream->entry.id, upstream->entry.startedMs };
    candidate.address = upstream->entry.address;
    candidate.mayOwn = isMember && this->upstreams.IsUsable(*upstream);
    candidate.cold = upstream->coldUntil > now;
    candidate.capacity = upstream->entry.slots;
    candidate.pace = this->PaceOf(aEntry, *upstream);
    candidate.capacity *= candidate.pace
                            ? *candidate.pace
                            : this->PaceFactor(*upstream, typicalMs, now);
    // Its keys go to upstreams that have room for their requests.
    constexpr double kMinCapacity = 0.01;
    if (const auto limit = this->hooks.limitOf(upstream->entry.id)) {
      constexpr double kMsPerSecond = 1000;
      candidate.cold = true;
      candidate.capacity = std::clamp(*limit * typicalMs / kMsPerSecond,
                                      kMinCapacity, candidate.capacity);
    }
    if (const double resting = this->hooks.restingPart(upstream->entry.id);
        resting > 0) {
      candidate.cold = true;
      candidate.capacity =
        std::max(kMinCapacity, candidate.capacity * (1 - resting));
    }
    candidates.push_back(std::move(candidate));
  }
  this->UpdatePaceSpread(aEntry, candidates);
  return candidates;
}

double KeyedServices::PaceFactor(const routing::UpstreamState& aUpstream,
                                 double aTypicalMs, TimePoint aNow)
{
  // Limited, as the service time is estimated from few responses, and only
  // those that this host and its cell received.
  constexpr double kSlowest = 0.4;
  constexpr double kFastest = 2.0;
  return aUpstream.serviceMs > 0
           ? std::clamp(aTypicalMs / routing::EstimatedServiceMs(
                                       aUpstream, aTypicalMs, aNow),
                        kSlowest, kFastest)
           : 1;
}

// The first claim of a part of a later layout takes over the keys of the parts
// before.
void KeyedServices::ReadRows(const PartState& aEntry,
                             const ownership::Assigner::ReadDone& aDone)
{
  ReadKeyRows(this->hooks.store, aEntry.name,
              [this, entry = &aEntry, aDone](const Result<KeyRows>& aRows) {
                if (!aRows) {
                  aDone(aRows.error());
                  return;
                }
                if (aRows->layout.IsDivided()) {
                  this->AdoptLayout(entry->service, aRows->layout);
                } else if (aRows->assignment.isClosed) {
                  this->ReadLayout(entry->service);
                }
                const bool isNew = aRows->assignment.claimVersion == 0 &&
                                   aRows->assignment.assignmentVersion == 0;
                if (isNew && entry->part.layout.IsDivided()) {
                  TakeOverKeys(this->hooks.store, entry->service, entry->part,
                               aDone);
                } else {
                  aDone(aRows->assignment);
                }
              });
}

// A call that ends at once may change the layout and add parts.
std::vector<KeyedServices::PartState*> KeyedServices::AllParts() const
{
  std::vector<PartState*> all;
  std::ranges::transform(this->parts, std::back_inserter(all),
                         [](const auto& aItem) { return aItem.second.get(); });
  return all;
}

void KeyedServices::OnTimer()
{
  const TimePoint now = this->hooks.now();
  this->UpdateTimedServices();
  for (PartState* entry : this->AllParts()) {
    const bool isDue =
      now >= entry->storedReadDueAt &&
      (now >= entry->waitForPeersUntil || this->hooks.followsStore());
    if (!entry->HasMap() && isDue && !entry->retiredAt) {
      this->UseStoredAssignment(*entry);
    }
    entry->assigner->OnTimer();
  }
  for (auto& [service, layout] : this->layouts) {
    this->ConsiderLayout(service, layout);
  }
  this->RemoveRetiredParts();
}

void KeyedServices::OnUpstreamsChanged()
{
  for (PartState* entry : this->AllParts()) {
    entry->assigner->OnMembershipChange();
  }
}

void KeyedServices::SetStoreAvailable(bool aIsAvailable)
{
  for (const auto& [name, entry] : this->parts) {
    entry->assigner->SetStoreAvailable(aIsAvailable);
  }
}

void KeyedServices::Leave()
{
  for (const auto& [name, entry] : this->parts) {
    entry->assigner->Leave();
  }
}

bool KeyedServices::IsAssigner() const
{
  return std::ranges::any_of(this->parts, [](const auto& aItem) {
    return aItem.second->assigner->IsAssigner();
  });
}

} // namespace kumquat::node
