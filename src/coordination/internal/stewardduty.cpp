// Stewardships: their beginning, their end, and what goes on in between.

#include "coordination/stewardduty.h"

#include "state/rows.h"
#include "transport/httpstatus.h"

#include <algorithm>
#include <ranges>
#include <utility>
#include <vector>

namespace kumquat::coordination {

using protocol::ErrorKind;
using state::SliceRecord;
using state::UpstreamRecord;
using state::UpstreamRef;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kControlTimeout{ 300 };
// A predecessor that is alive tells what it has running; so long is waited.
constexpr milliseconds kHandOverWait{ 500 };
// A planner that got a grant ended writes at once, or never.
constexpr milliseconds kMoveWait{ 3000 };
constexpr auto kFenced = "fenced";

} // namespace

StewardDuty::StewardDuty(Hooks aHooks, MapKeeper& aMap, PeerCalls& aCalls)
  : hooks(std::move(aHooks))
  , map(aMap)
  , calls(aCalls)
  , steward(
      { .now = this->hooks.now,
        .send = this->hooks.send,
        .cancel = this->hooks.cancel,
        .holdsLease = this->hooks.holdsLease,
        .mayRun =
          [this](const UpstreamRef& aRef, const std::string& aKey) {
            return this->MayRun(aRef, aKey);
          },
        .sliceEpoch =
          [this](const state::ServiceName& aService, const std::string& aKey) {
            const SliceRecord* slice =
              this->map.Map().FindSlice(aService, state::HashKey(aKey));
            return slice == nullptr ? state::Epoch{ 0 } : slice->epoch;
          },
        .answered =
          [this](const UpstreamRef& aRef,
                 const transport::HttpResponse& aResponse) {
            this->OnAnswered(aRef, aResponse);
          },
        .unanswered =
          [this](const UpstreamRef& aRef) { this->watch.AskSoon(aRef); },
        .name = this->hooks.self.host.value })
  , watch({ .now = this->hooks.now,
            .ask = [this](const UpstreamRef& aRef,
                          const UpstreamWatch::AskDone& aDone) {
              this->AskHealth(aRef, aDone);
            } })
{
  GrantKeeperHooks grantHooks;
  grantHooks.now = this->hooks.now;
  grantHooks.mayStart = [this](TimePoint) { return this->hooks.holdsLease(); };
  grantHooks.sendControl =
    [this](const UpstreamRef& aRef, const std::string& aMethod,
           const std::string& aTarget, const std::string& aBody,
           const GrantKeeperHooks::ControlDone& aDone) {
      this->Control(aRef, aMethod, aTarget, aBody, aDone);
    };
  this->grants = GrantKeeperBuilder()
                   .Self(this->hooks.self)
                   .Hooks(std::move(grantHooks))
                   .Build();
  this->map.UpstreamChanged().Listen(
    [this](const auto& aChange) { this->OnUpstreamChanged(aChange); });
  this->map.SliceChanged().Listen(
    [this](const auto& aChange) { this->OnSliceChanged(aChange); });
  this->grants->UpstreamReady().Listen(
    [this](const UpstreamFacts& aFacts) { this->Reopen(aFacts.ref); });
  this->grants->UpstreamLost().Listen(
    [this](const UpstreamRef&, const state::Epoch&) { this->map.Refresh(); });
  this->watch.UsableChanged().Listen(
    [this](const UpstreamRef& aRef) { this->Reopen(aRef); });
  this->watch.IncarnationSeen().Listen(
    [this](const UpstreamRef& aRef, const state::Incarnation& aIncarnation) {
      this->grants->OnIncarnation(aRef, aIncarnation);
      this->steward.OnIncarnation(aRef, aIncarnation);
    });
  this->steward.RequestEnded().Listen(
    [this](const UpstreamRef& aRef) { this->SendHandOver(aRef); });
}

void StewardDuty::OnConfiguration()
{
  for (const auto& service : this->hooks.configuration().services) {
    for (const UpstreamRecord* upstream :
         this->map.Map().Upstreams(service.name)) {
      this->OnUpstreamChanged({ *upstream, std::nullopt });
    }
  }
}

void StewardDuty::OnLeaseGained()
{
  this->ReopenAll();
}

void StewardDuty::OnPlaceChanged()
{
  this->ReopenAll();
}

void StewardDuty::OnEndpoints(const state::EndpointList& aList)
{
  this->listed.clear();
  for (const auto& [service, endpoints] : aList) {
    for (const state::Endpoint& endpoint : endpoints) {
      if (!endpoint.terminating) {
        this->listed.insert({ service, { endpoint.id } });
      }
    }
  }
  this->listKnown = true;
  this->ReopenAll();
}

void StewardDuty::OnUpstreamChanged(
  const MapKeeper::Change<UpstreamRecord>& aChange)
{
  const UpstreamRecord& record = aChange.record;
  if (record.steward != this->hooks.self) {
    if (this->steward.Holds(record.ref)) {
      this->End(record);
    }
    return;
  }
  const state::HostRef predecessor =
    aChange.previous ? aChange.previous->steward : state::HostRef{};
  this->Begin(record, predecessor);
}

void StewardDuty::Begin(const UpstreamRecord& aRecord,
                        const state::HostRef& aPredecessor)
{
  const state::ServiceConfiguration* service =
    this->hooks.configuration().Find(aRecord.ref.service);
  if (service == nullptr) {
    return;
  }
  const bool isNew = !this->steward.Holds(aRecord.ref);
  this->steward.Take(aRecord, *service);
  if (!isNew && this->grants->Phase(aRecord.ref)) {
    return;
  }
  const bool hasPredecessor =
    !aPredecessor.host.value.empty() && aPredecessor != this->hooks.self;
  const bool predecessorLives =
    hasPredecessor && !this->hooks.isDeposed(aPredecessor);
  if (predecessorLives) {
    this->awaited[aRecord.ref] = { aPredecessor,
                                   this->hooks.now() + kHandOverWait };
  }
  this->handedOver.erase(aRecord.ref);
  // A record of the first epoch never had another steward; of any other, the
  // predecessor may be one that this host has not heard of.
  this->grants->TakeOver(aRecord, aRecord.epoch > 1 && !predecessorLives);
  this->watch.Add(aRecord.ref);
  for (const SliceRecord* slice : this->map.Map().Slices(aRecord.ref.service)) {
    if (slice->upstream == aRecord.ref.upstream) {
      this->grants->Give(*slice);
    }
  }
}

void StewardDuty::End(const UpstreamRecord& aRecord)
{
  this->watch.Remove(aRecord.ref);
  this->awaited.erase(aRecord.ref);
  this->grants->GiveUp(aRecord.ref);
  this->handedOver[aRecord.ref] = aRecord.steward;
  // What waited goes back to its entry, which asks the new steward.
  this->steward.Release(aRecord.ref, ErrorKind::kNotSteward);
  this->SendHandOver(aRecord.ref);
}

// The successor counts what still runs here against the upstream's slots, or
// the two hosts together would send more than it bears.
void StewardDuty::SendHandOver(const UpstreamRef& aRef)
{
  const auto found = this->handedOver.find(aRef);
  if (found == this->handedOver.end()) {
    return;
  }
  const int running = this->steward.RunningAt(aRef);
  protocol::HandOver handOver;
  handOver.upstream.__set_serviceName(aRef.service.value);
  handOver.upstream.__set_upstream(aRef.upstream.value);
  handOver.__set_running(running);
  protocol::Frame frame;
  frame.__set_handOver(handOver);
  this->calls.Ask(found->second.host, std::move(frame), kControlTimeout,
                  [](const Result<protocol::Frame>&) {});
  if (running == 0) {
    this->handedOver.erase(found);
  }
}

bool StewardDuty::OnHandOver(const state::HostRef& aFrom,
                             const protocol::HandOver& aHandOver)
{
  const UpstreamRef ref{ { aHandOver.upstream.serviceName },
                         { aHandOver.upstream.upstream } };
  const UpstreamRecord* record = this->map.Map().FindUpstream(ref);
  if (record == nullptr || record->steward != this->hooks.self) {
    return false;
  }
  this->steward.SetForeign(ref, aHandOver.running, aHandOver.allowedSlots);
  const auto found = this->awaited.find(ref);
  if (found != this->awaited.end() && found->second.predecessor == aFrom) {
    this->awaited.erase(found);
    this->Reopen(ref);
  }
  return true;
}

void StewardDuty::OnSliceChanged(const MapKeeper::Change<SliceRecord>& aChange)
{
  const SliceRecord& slice = aChange.record;
  this->revoked.erase({ slice.service, slice.first });
  // Also where the new owner is not here: the keeper then ends renewals.
  if (!slice.upstream.value.empty()) {
    this->grants->Give(slice);
  }
}

void StewardDuty::Revoke(const protocol::RevokeSlice& aWish,
                         std::function<void(bool)> aDone)
{
  const UpstreamRef ref{ { aWish.upstream.serviceName },
                         { aWish.upstream.upstream } };
  const auto slices = this->map.Map().Slices(ref.service);
  const auto found = std::ranges::find(
    slices, aWish.part, [](const SliceRecord* aSlice) { return aSlice->part; });
  const bool current = found != slices.end() &&
                       (*found)->epoch == aWish.sliceEpoch &&
                       (*found)->upstream == ref.upstream &&
                       this->steward.EpochOf(ref) == aWish.stewardEpoch;
  if (!current) {
    this->map.Refresh();
    aDone(false);
    return;
  }
  const SliceRecord slice = **found;
  this->grants->Revoke(slice, [this, slice, done = std::move(aDone)] {
    this->revoked[{ slice.service, slice.first }] =
      this->hooks.now() + kMoveWait;
    done(true);
  });
}

// The planner that had a grant ended was lost before it wrote. The slice is
// taken back by a write of its own: should the planner's write still be on its
// way, only one of the two takes effect, and never beside a new grant.
void StewardDuty::GiveBackAfterRevoke()
{
  const TimePoint now = this->hooks.now();
  std::vector<state::ConditionalWrite> writes;
  std::erase_if(this->revoked, [&](const auto& aEntry) {
    if (aEntry.second > now) {
      return false;
    }
    const SliceRecord* slice =
      this->map.Map().FindSlice(aEntry.first.first, aEntry.first.second);
    if (slice != nullptr) {
      SliceRecord renewed = *slice;
      ++renewed.epoch;
      state::ConditionalWrite write{ .row = state::ToRow(renewed),
                                     .expected = slice->version };
      write.row.nonce = this->hooks.self.host.value + "-back-" +
                        std::to_string(this->calls.NextCorrelation());
      writes.push_back(std::move(write));
    }
    return true;
  });
  for (state::ConditionalWrite& write : writes) {
    this->map.Write({ std::move(write) }, [](state::WriteOutcome) {});
  }
}

bool StewardDuty::IsUnusable(const UpstreamRef& aRef) const
{
  const bool isGone = this->listKnown && !this->listed.contains(aRef);
  return isGone || this->watch.IsUnusable(aRef);
}

bool StewardDuty::MayRun(const UpstreamRef& aRef, const std::string& aKey) const
{
  const SliceRecord* slice =
    this->map.Map().FindSlice(aRef.service, state::HashKey(aKey));
  return slice != nullptr && slice->upstream == aRef.upstream &&
         this->grants->MayRun(*slice, this->hooks.now());
}

bool StewardDuty::MayBeOpen(const UpstreamRecord& aRecord) const
{
  return this->grants->Phase(aRecord.ref) == UpstreamPhase::kReady &&
         !this->awaited.contains(aRecord.ref) &&
         !this->IsUnusable(aRecord.ref) &&
         !this->map.Map().IsOut(aRecord.dataCentre.value);
}

void StewardDuty::Reopen(const UpstreamRef& aRef)
{
  const UpstreamRecord* record = this->map.Map().FindUpstream(aRef);
  if (record != nullptr) {
    this->steward.SetOpen(aRef, this->MayBeOpen(*record));
  }
}

void StewardDuty::ReopenAll()
{
  for (const UpstreamRef& ref : this->steward.Held()) {
    this->Reopen(ref);
  }
}

void StewardDuty::OnAnswered(const UpstreamRef& aRef,
                             const transport::HttpResponse& aResponse)
{
  this->watch.OnState(aRef, aResponse.Header("Kumquat-State"));
  if (aResponse.status == transport::status::kPreconditionFailed &&
      aResponse.Header("Kumquat-Error") == kFenced) {
    this->grants->OnFenced(aRef, 0);
  }
}

void StewardDuty::AskHealth(const UpstreamRef& aRef,
                            const UpstreamWatch::AskDone& aDone)
{
  const UpstreamRecord* record = this->map.Map().FindUpstream(aRef);
  if (record == nullptr) {
    aDone(make_error_code(ErrorKind::kNoUpstream));
    return;
  }
  transport::HttpRequest request;
  request.target = "/health";
  this->hooks.control(
    record->address, std::move(request), kControlTimeout,
    [aDone](const Result<transport::HttpResponse>& aAnswer) {
      if (!aAnswer || aAnswer->status != transport::status::kOk) {
        aDone(make_error_code(ErrorKind::kUpstreamUnreachable));
        return;
      }
      aDone(ParseHealthReport(aAnswer->body));
    });
}

void StewardDuty::Control(const UpstreamRef& aRef, const std::string& aMethod,
                          const std::string& aTarget, const std::string& aBody,
                          const GrantKeeperHooks::ControlDone& aDone)
{
  const UpstreamRecord* record = this->map.Map().FindUpstream(aRef);
  if (record == nullptr) {
    aDone(make_error_code(ErrorKind::kNoUpstream));
    return;
  }
  transport::HttpRequest request;
  request.method = aMethod;
  request.target = aTarget;
  request.body = aBody;
  this->hooks.control(
    record->address, std::move(request), kControlTimeout,
    [aDone](Result<transport::HttpResponse> aAnswer) {
      if (!aAnswer) {
        aDone(aAnswer.error());
        return;
      }
      aDone(ControlAnswer{ aAnswer->status, std::move(aAnswer->body) });
    });
}

void StewardDuty::OnTimer()
{
  const TimePoint now = this->hooks.now();
  this->grants->OnTimer();
  this->watch.OnTimer();
  std::vector<UpstreamRef> waitedOut;
  std::erase_if(this->awaited, [&](const auto& aEntry) {
    const bool over = aEntry.second.until <= now ||
                      this->hooks.isDeposed(aEntry.second.predecessor);
    if (over) {
      waitedOut.push_back(aEntry.first);
    }
    return over;
  });
  for (const UpstreamRef& ref : waitedOut) {
    this->Reopen(ref);
  }
  this->GiveBackAfterRevoke();
  this->steward.OnTimer();
}

} // namespace kumquat::coordination
