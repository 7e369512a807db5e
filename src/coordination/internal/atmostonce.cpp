// From the entry to the key's owner, and from the owner to a steward.

#include "coordination/atmostonce.h"

#include "coordination/planner.h"
#include "coordination/retrybudget.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::coordination {

using protocol::ErrorKind;
using protocol::Outcome;
using state::HostRecord;
using state::HostRef;
using state::SliceRecord;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kAskTimeout{ 300 };
constexpr auto kOwnersSuffix = "#owners";

// Stands for hosts of which nobody could tell any more: it never answers.
const HostRef kForgottenHost{ { "forgotten" }, 1 };

bool WaitsForMap(ErrorKind aKind)
{
  return aKind == ErrorKind::kNotSteward || aKind == ErrorKind::kNoSteward ||
         aKind == ErrorKind::kNoLease || aKind == ErrorKind::kPeerUnreachable;
}

} // namespace

AtMostOnce::AtMostOnce(Hooks aHooks, MapKeeper& aMap, PeerCalls& aCalls,
                       Entry& aEntry)
  : hooks(std::move(aHooks))
  , map(aMap)
  , calls(aCalls)
  , entry(aEntry)
  , started(this->hooks.now())
  , log({ .self = this->hooks.self,
          .horizon = kKeyHorizon,
          .clock = this->hooks.now,
          .knownEpoch =
            [this](const state::ServiceName& aService, std::uint64_t aHash) {
              const SliceRecord* slice =
                this->map.Map().FindSlice(OwnersOf(aService), aHash);
              return slice == nullptr ? state::Epoch{ 0 } : slice->epoch;
            },
          .isDeposed = this->hooks.isDeposed })
{
  const AskPeer ask = [this](const HostRef& aHost, protocol::Frame aFrame,
                             Duration aTimeout, PeerCalls::Done aDone) {
    // An earlier run's knowledge is gone with it: its successor's answer would
    // pass for one that nobody can give.
    const HostRecord* current = this->map.Map().FindHost(aHost.host);
    if (current == nullptr || current->ref != aHost) {
      aDone(make_error_code(ErrorKind::kPeerUnreachable));
      return;
    }
    this->calls.Ask(aHost.host, std::move(aFrame), aTimeout, std::move(aDone));
  };
  this->filter =
    DuplicateFilterBuilder()
      .Self(this->hooks.self)
      .Horizon(kKeyHorizon)
      .Clocks(this->hooks.now, this->hooks.unixTime)
      .Random([this](std::size_t aBelow) {
        return static_cast<std::size_t>(this->hooks.random(aBelow));
      })
      .Peers(ask, kAskTimeout)
      .Lease(this->hooks.holdsLease)
      .Hosts([this] { return this->Witnesses(); },
             [this] { return this->HostsWithinHorizon(); })
      .Log(this->log)
      .Build();
  this->map.SliceChanged().Listen(
    [this](const auto& aChange) { this->OnSliceChanged(aChange); });
}

void AtMostOnce::Run(const state::ServiceConfiguration& aService,
                     CallerRequest aRequest, Done aDone)
{
  auto attempt = std::make_shared<Attempt>();
  attempt->service = aService;
  attempt->request = std::move(aRequest);
  attempt->done = std::move(aDone);
  this->TryOwner(attempt);
}

void AtMostOnce::TryOwner(const AttemptPtr& aAttempt)
{
  ++aAttempt->tries;
  const CallerRequest& request = aAttempt->request;
  const SliceRecord* slice = this->map.Map().FindSlice(
    OwnersOf(request.service), state::HashKey(request.idempotencyKey));
  if (slice == nullptr) {
    this->OnOwnerResult(aAttempt, MakeErrorOfStranger(ErrorKind::kNoSteward));
    return;
  }
  if (slice->host == this->hooks.self) {
    this->RunAsOwner(aAttempt->service, this->hooks.self.host, request,
                     [this, aAttempt](RequestResult aResult) {
                       this->OnOwnerResult(aAttempt, std::move(aResult));
                     });
    return;
  }
  this->AskOwner(aAttempt, *slice);
}

void AtMostOnce::AskOwner(const AttemptPtr& aAttempt, const SliceRecord& aSlice)
{
  const CallerRequest& request = aAttempt->request;
  const KeyOwner owner{ aSlice.host, aSlice.epoch };
  const ErrorKind noted =
    this->log.Note(owner, request.service, request.idempotencyKey);
  if (noted != ErrorKind::kNone) {
    this->OnOwnerResult(aAttempt, MakeErrorOfStranger(noted));
    return;
  }
  const TimePoint now = this->hooks.now();
  protocol::Frame frame;
  frame.__set_forward(MakeForward(request, this->hooks.self, now));
  this->calls.Ask(
    aSlice.host.host, std::move(frame), request.deadline - now + kReplyGrace,
    [this, aAttempt](Result<protocol::Frame> aReply) {
      RequestResult result =
        aReply
          ? FromReply(std::move(aReply->forwardReply))
          : MakeErrorOfStranger(static_cast<ErrorKind>(aReply.error().value()));
      this->OnOwnerResult(aAttempt, std::move(result));
    });
}

void AtMostOnce::OnOwnerResult(const AttemptPtr& aAttempt,
                               RequestResult aResult)
{
  const protocol::ErrorInfo& answer = protocol::ErrorInfoFor(aResult.error);
  const TimePoint now = this->hooks.now();
  const bool again =
    WaitsForMap(aResult.error) && answer.outcome == Outcome::kNotRun &&
    aAttempt->tries < kMostTries && aAttempt->request.deadline > now;
  if (!again) {
    // An earlier attempt with the key may wait at a steward, or run there: its
    // owner was not asked, or is lost.
    const bool isSure =
      answer.outcome != Outcome::kNotRun || !aResult.keyUnknown;
    aAttempt->done(isSure ? std::move(aResult)
                          : MakeError(ErrorKind::kOutcomeUnknown));
    return;
  }
  this->map.Refresh();
  this->waiting.emplace(now + BackoffAfter(aAttempt->tries), aAttempt);
}

void AtMostOnce::RunAsOwner(const state::ServiceConfiguration& aService,
                            const state::HostId& aFrom,
                            const CallerRequest& aRequest, Done aDone)
{
  DuplicateFilter::Arrival arrival{ .service = aRequest.service,
                                    .key = aRequest.idempotencyKey,
                                    .entry = aFrom,
                                    .deadline = aRequest.deadline };
  this->filter->Submit(
    std::move(arrival),
    [this, aService, aRequest](const DuplicateFilter::Ticket& aTicket) {
      this->RunTicket(aService, aRequest, aTicket);
    },
    [done = std::move(aDone)](const DuplicateFilter::Answer& aAnswer) {
      done(FromReply(protocol::ForwardReply(*aAnswer)));
    });
}

void AtMostOnce::RunTicket(const state::ServiceConfiguration& aService,
                           CallerRequest aRequest,
                           const DuplicateFilter::Ticket& aTicket)
{
  Entry::Ownership ownership;
  ownership.epoch = aTicket.owner.epoch;
  ownership.prepare = [this, aTicket](const HostRef& aSteward,
                                      const DuplicateFilter::Go& aGo) {
    this->filter->PrepareDispatch(aTicket, aSteward, aGo);
  };
  this->entry.Run(aService, std::move(aRequest), std::move(ownership),
                  [this, aTicket](RequestResult aResult) {
                    // A steward's word; this host is the key's owner.
                    aResult.keyUnknown = false;
                    auto reply = std::make_shared<protocol::ForwardReply>(
                      MakeReply(std::move(aResult)));
                    this->filter->Finish(aTicket, reply);
                  });
}

ErrorKind AtMostOnce::Admit(const protocol::Forward& aForward)
{
  return this->log.Admit(aForward);
}

protocol::WitnessReply AtMostOnce::Answer(const protocol::WitnessNote& aNote)
{
  return this->log.Answer(aNote);
}

protocol::CollectReply AtMostOnce::Answer(
  const protocol::CollectRequest& aRequest)
{
  return this->filter->AnswerCollection(aRequest);
}

void AtMostOnce::OnSliceChanged(const MapKeeper::Change<SliceRecord>& aChange)
{
  const SliceRecord& slice = aChange.record;
  if (!slice.service.value.ends_with(kOwnersSuffix)) {
    return;
  }
  const state::ServiceName service{ slice.service.value.substr(
    0, slice.service.value.size() - std::string_view(kOwnersSuffix).size()) };
  if (slice.host != this->hooks.self) {
    this->filter->End(service, slice.part);
    return;
  }
  KeyTenure tenure{ .service = service,
                    .part = slice.part,
                    .first = slice.first,
                    .last = slice.last,
                    .epoch = slice.epoch };
  if (slice.epoch == 1) {
    tenure.origin = KeyTenure::Origin::kNew;
  } else if (this->hooks.isDeposed(slice.predecessor) ||
             slice.predecessor.host == this->hooks.self.host) {
    tenure.origin = KeyTenure::Origin::kTakeover;
    tenure.predecessor = slice.predecessor;
  } else {
    tenure.origin = KeyTenure::Origin::kMove;
  }
  if (tenure.origin == KeyTenure::Origin::kNew) {
    this->filter->Begin(tenure);
    return;
  }
  // Failure: a host that joined before the takeover, and that this map does not
  // know yet, has forwarded a key to the predecessor; not asked, it cannot tell
  // and the key runs twice. Whoever joins after the write knows the new owner.
  this->map.AfterHostRead([this, tenure] { this->filter->Begin(tenure); });
}

// Those of other data centres first: a data centre is lost as one.
std::vector<HostRef> AtMostOnce::Witnesses() const
{
  std::vector<HostRecord> hosts = this->hooks.liveHosts();
  std::erase_if(hosts, [this](const HostRecord& aHost) {
    return aHost.ref == this->hooks.self;
  });
  std::ranges::stable_partition(hosts, [this](const HostRecord& aHost) {
    return aHost.dataCentre != this->hooks.dataCentre;
  });
  std::vector<HostRef> refs;
  std::ranges::transform(hosts, std::back_inserter(refs), &HostRecord::ref);
  return refs;
}

// A host that started within the horizon has not seen who was lost before it:
// it cannot be sure of old keys until the horizon has passed.
std::vector<HostRef> AtMostOnce::HostsWithinHorizon() const
{
  std::vector<HostRef> seen = this->hooks.seenHosts();
  if (this->hooks.now() - this->started < kKeyHorizon) {
    seen.push_back(kForgottenHost);
  }
  return seen;
}

void AtMostOnce::OnTimer()
{
  const TimePoint now = this->hooks.now();
  while (!this->waiting.empty() && this->waiting.begin()->first <= now) {
    const AttemptPtr due = this->waiting.begin()->second;
    this->waiting.erase(this->waiting.begin());
    this->TryOwner(due);
  }
  this->filter->Tick();
  this->log.Tick();
}

const DuplicateFilter::Counters& AtMostOnce::Counted() const
{
  return this->filter->Counted();
}

} // namespace kumquat::coordination
