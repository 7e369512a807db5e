// Thin form: fences, gives, renews and revokes; waiting out comes next.

#include "coordination/grantkeeper.h"

#include <nlohmann/json.hpp>

#include <map>
#include <utility>

namespace kumquat::coordination {

using state::SliceRecord;
using state::UpstreamRecord;
using state::UpstreamRef;

class GrantKeeper::Impl
{
public:
  struct Grant
  {
    SliceRecord slice;
    TimePoint renewAt;
    TimePoint until;
    std::int64_t sequence = 0;
  };
  struct Held
  {
    UpstreamRecord record;
    UpstreamPhase phase = UpstreamPhase::kFencing;
    TimePoint retryAt;
    bool asking = false;
    std::map<std::uint64_t, Grant> grants;
  };

  state::HostRef self;
  GrantKeeperHooks hooks;
  GrantTiming timing;
  std::map<UpstreamRef, Held> held;
  Channel<UpstreamFacts> ready;
  Channel<UpstreamRef, state::Epoch> lost;
  Channel<SliceRecord> gained;
  Channel<SliceRecord> gone;

  void Fence(Held& aHeld)
  {
    const UpstreamRef ref = aHeld.record.ref;
    aHeld.asking = true;
    const nlohmann::json body = { { "steward", this->self.host.value },
                                  { "epoch", aHeld.record.epoch } };
    this->hooks.sendControl(ref, "PUT", "/fence", body.dump(),
                            [this, ref](const Result<ControlAnswer>& aAnswer) {
                              const auto found = this->held.find(ref);
                              if (found == this->held.end()) {
                                return;
                              }
                              found->second.asking = false;
                              found->second.retryAt =
                                this->hooks.now() + this->timing.retry;
                              if (aAnswer && aAnswer->status == 200) {
                                found->second.phase = UpstreamPhase::kReady;
                                this->ready.Send({ ref, 0, true });
                              }
                            });
  }

  void Renew(Held& aHeld, Grant& aGrant)
  {
    const UpstreamRef ref = aHeld.record.ref;
    const TimePoint now = this->hooks.now();
    const std::uint64_t first = aGrant.slice.first;
    const state::Epoch epoch = aGrant.slice.epoch;
    aGrant.renewAt = now + this->timing.retry;
    const auto termMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(this->timing.term);
    const nlohmann::json body = { { "epoch", aHeld.record.epoch },
                                  { "part", aGrant.slice.part },
                                  { "first",
                                    std::to_string(aGrant.slice.first) },
                                  { "last", std::to_string(aGrant.slice.last) },
                                  { "sliceEpoch", epoch },
                                  { "sequence", ++aGrant.sequence },
                                  { "termMs", termMs.count() } };
    this->hooks.sendControl(
      ref, "PUT", "/grant", body.dump(),
      [this, ref, first, epoch, now](const Result<ControlAnswer>& aAnswer) {
        const auto found = this->held.find(ref);
        if (found == this->held.end() || !aAnswer || aAnswer->status != 200) {
          return;
        }
        const auto grant = found->second.grants.find(first);
        if (grant == found->second.grants.end() ||
            grant->second.slice.epoch != epoch) {
          return;
        }
        grant->second.until = now + this->timing.term - this->timing.drift;
        grant->second.renewAt = now + this->timing.renewal;
      });
  }

  void OnTimer()
  {
    const TimePoint now = this->hooks.now();
    if (!this->hooks.mayStart(now)) {
      return;
    }
    for (auto& [ref, upstream] : this->held) {
      if (upstream.phase != UpstreamPhase::kReady) {
        if (!upstream.asking && upstream.retryAt <= now) {
          this->Fence(upstream);
        }
        continue;
      }
      for (auto& [first, grant] : upstream.grants) {
        if (grant.renewAt <= now) {
          this->Renew(upstream, grant);
        }
      }
    }
  }
};

GrantKeeper::GrantKeeper(std::unique_ptr<Impl> aImpl)
  : impl(std::move(aImpl))
{
}

GrantKeeper::~GrantKeeper() = default;

void GrantKeeper::TakeOver(const UpstreamRecord& aRecord, bool)
{
  this->impl->held[aRecord.ref].record = aRecord;
}

void GrantKeeper::GiveUp(const UpstreamRef& aRef)
{
  this->impl->held.erase(aRef);
}

void GrantKeeper::Give(const SliceRecord& aSlice)
{
  const auto found = this->impl->held.find({ aSlice.service, aSlice.upstream });
  if (found != this->impl->held.end()) {
    found->second.grants[aSlice.first].slice = aSlice;
    found->second.grants[aSlice.first].renewAt = TimePoint();
  }
}

void GrantKeeper::Revoke(const SliceRecord& aSlice, RevokeDone aDone)
{
  const UpstreamRef ref{ aSlice.service, aSlice.upstream };
  const auto found = this->impl->held.find(ref);
  if (found == this->impl->held.end()) {
    return;
  }
  found->second.grants.erase(aSlice.first);
  const nlohmann::json body = { { "epoch", found->second.record.epoch },
                                { "part", aSlice.part },
                                { "sliceEpoch", aSlice.epoch } };
  this->impl->hooks.sendControl(
    ref, "PUT", "/revoke", body.dump(),
    [done = std::move(aDone)](const Result<ControlAnswer>& aAnswer) {
      if (aAnswer && aAnswer->status == 200) {
        done();
      }
    });
}

void GrantKeeper::OnTimer()
{
  this->impl->OnTimer();
}

void GrantKeeper::OnIncarnation(const UpstreamRef&, state::Incarnation) {}

void GrantKeeper::OnFenced(const UpstreamRef&, state::Epoch) {}

bool GrantKeeper::MayRun(const SliceRecord& aSlice, TimePoint aNow) const
{
  const auto found = this->impl->held.find({ aSlice.service, aSlice.upstream });
  if (found == this->impl->held.end()) {
    return false;
  }
  const auto grant = found->second.grants.find(aSlice.first);
  return grant != found->second.grants.end() && aNow < grant->second.until;
}

bool GrantKeeper::MayRun(const UpstreamRef& aRef, TimePoint) const
{
  return this->Phase(aRef) == UpstreamPhase::kReady;
}

std::optional<UpstreamPhase> GrantKeeper::Phase(const UpstreamRef& aRef) const
{
  const auto found = this->impl->held.find(aRef);
  return found == this->impl->held.end() ? std::nullopt
                                         : std::optional(found->second.phase);
}

Channel<UpstreamFacts>& GrantKeeper::UpstreamReady()
{
  return this->impl->ready;
}

Channel<UpstreamRef, state::Epoch>& GrantKeeper::UpstreamLost()
{
  return this->impl->lost;
}

Channel<SliceRecord>& GrantKeeper::GrantGained()
{
  return this->impl->gained;
}

Channel<SliceRecord>& GrantKeeper::GrantLost()
{
  return this->impl->gone;
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
  impl->self = this->self;
  impl->hooks = this->hooks;
  impl->timing = this->timing;
  return std::unique_ptr<GrantKeeper>(new GrantKeeper(std::move(impl)));
}

} // namespace kumquat::coordination
