// All upstreams of one steward.

#include "coordination/grantkeeper.h"

#include "coordination/internal/upstreamgrants.h"

#include <map>
#include <ranges>
#include <utility>

namespace kumquat::coordination {

class GrantKeeper::Impl
{
public:
  UpstreamGrants* Find(const state::UpstreamRef& aRef) const
  {
    const auto found = this->upstreams.find(aRef);
    return found == this->upstreams.end() ? nullptr : found->second.get();
  }

  GrantContext context;
  std::map<state::UpstreamRef, std::shared_ptr<UpstreamGrants>> upstreams;
};

GrantKeeper::GrantKeeper(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

GrantKeeper::~GrantKeeper() = default;

void GrantKeeper::TakeOver(const state::UpstreamRecord& aRecord,
                           bool aPredecessorMayRun)
{
  const UpstreamGrants* const known = this->impl->Find(aRecord.ref);
  if (known != nullptr && known->Record().epoch >= aRecord.epoch) {
    return;
  }
  this->impl->upstreams[aRecord.ref] = std::make_shared<UpstreamGrants>(
    aRecord, aPredecessorMayRun, this->impl->context);
}

void GrantKeeper::GiveUp(const state::UpstreamRef& aRef)
{
  this->impl->upstreams.erase(aRef);
}

void GrantKeeper::Give(const state::SliceRecord& aSlice)
{
  for (const auto& [ref, upstream] : this->impl->upstreams) {
    if (ref.service == aSlice.service && ref.upstream != aSlice.upstream) {
      upstream->Drop(aSlice.part, aSlice.epoch);
    }
  }
  const state::UpstreamRef owner{ aSlice.service, aSlice.upstream };
  if (UpstreamGrants* const upstream = this->impl->Find(owner)) {
    upstream->Give(aSlice);
  }
}

void GrantKeeper::Revoke(const state::SliceRecord& aSlice, RevokeDone aDone)
{
  const state::UpstreamRef owner{ aSlice.service, aSlice.upstream };
  if (UpstreamGrants* const upstream = this->impl->Find(owner)) {
    upstream->Revoke(aSlice, std::move(aDone));
  }
}

void GrantKeeper::OnTimer()
{
  // A copy: listeners may take over and give up upstreams.
  const auto upstreams = this->impl->upstreams;
  for (const auto& upstream : upstreams | std::views::values) {
    upstream->OnTimer();
  }
}

void GrantKeeper::OnIncarnation(const state::UpstreamRef& aRef,
                                state::Incarnation aIncarnation)
{
  if (UpstreamGrants* const upstream = this->impl->Find(aRef)) {
    upstream->OnIncarnation(aIncarnation);
  }
}

void GrantKeeper::OnFenced(const state::UpstreamRef& aRef, state::Epoch aEpoch)
{
  if (UpstreamGrants* const upstream = this->impl->Find(aRef)) {
    upstream->OnFenced(aEpoch);
  }
}

bool GrantKeeper::MayRun(const state::SliceRecord& aSlice, TimePoint aNow) const
{
  const UpstreamGrants* const upstream =
    this->impl->Find({ aSlice.service, aSlice.upstream });
  return upstream != nullptr && upstream->MayRun(aSlice, aNow);
}

bool GrantKeeper::MayRun(const state::UpstreamRef& aRef, TimePoint aNow) const
{
  const UpstreamGrants* const upstream = this->impl->Find(aRef);
  return upstream != nullptr && upstream->MayRun(aNow);
}

std::optional<UpstreamPhase> GrantKeeper::Phase(
  const state::UpstreamRef& aRef) const
{
  const UpstreamGrants* const upstream = this->impl->Find(aRef);
  return upstream == nullptr ? std::nullopt : std::optional(upstream->Phase());
}

Channel<UpstreamFacts>& GrantKeeper::UpstreamReady()
{
  return this->impl->context.ready;
}

Channel<state::UpstreamRef, state::Epoch>& GrantKeeper::UpstreamLost()
{
  return this->impl->context.lost;
}

Channel<state::SliceRecord>& GrantKeeper::GrantGained()
{
  return this->impl->context.grantGained;
}

Channel<state::SliceRecord>& GrantKeeper::GrantLost()
{
  return this->impl->context.grantLost;
}

GrantKeeperBuilder& GrantKeeperBuilder::Self(state::HostRef aSelf)
{
  this->self = std::move(aSelf);
  return *this;
}

GrantKeeperBuilder& GrantKeeperBuilder::Hooks(GrantKeeperHooks aHooks)
{
  this->hooks = std::move(aHooks);
  return *this;
}

GrantKeeperBuilder& GrantKeeperBuilder::Timing(const GrantTiming& aTiming)
{
  this->timing = aTiming;
  return *this;
}

GrantKeeperBuilder& GrantKeeperBuilder::WithoutRules(GrantRulesOff aOff)
{
  this->off = std::move(aOff);
  return *this;
}

std::unique_ptr<GrantKeeper> GrantKeeperBuilder::Build()
{
  auto impl = std::make_unique<GrantKeeper::Impl>();
  impl->context.self = this->self;
  impl->context.hooks = this->hooks;
  impl->context.timing = this->timing;
  impl->context.off = this->off;
  return std::unique_ptr<GrantKeeper>(new GrantKeeper(std::move(impl)));
}

} // namespace kumquat::coordination
