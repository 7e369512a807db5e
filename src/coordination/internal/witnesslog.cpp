// The witness's memory and its fences.

#include "coordination/witnesslog.h"

#include "state/routingmap.h"

#include <algorithm>
#include <utility>

namespace kumquat::coordination {

namespace {

state::HostRef FromWire(const protocol::HostRef& aRef)
{
  return { { aRef.host }, aRef.incarnation };
}

} // namespace

WitnessLog::WitnessLog(Options aOptions)
  : options(std::move(aOptions))
{
}

protocol::ErrorKind WitnessLog::Note(const KeyOwner& aOwner,
                                     const state::ServiceName& aService,
                                     std::string_view aKey)
{
  const std::uint64_t hash = state::HashKey(aKey);
  if (this->IsFenced(aOwner, aService, hash) ||
      this->IsReplaced(aOwner, aService, hash)) {
    return protocol::ErrorKind::kStaleSender;
  }
  if (!this->Remember(aService, hash, aOwner.epoch)) {
    return protocol::ErrorKind::kQueueFull;
  }
  return protocol::ErrorKind::kNone;
}

void WitnessLog::Withdraw(const KeyOwner& aOwner,
                          const state::ServiceName& aService,
                          std::string_view aKey)
{
  Hashes& hashes = this->known[aService];
  const auto found = hashes.find(state::HashKey(aKey));
  if (found != hashes.end() && found->second.epoch == aOwner.epoch) {
    hashes.erase(found);
    --this->count;
  }
}

protocol::ErrorKind WitnessLog::Admit(const protocol::Forward& aForward)
{
  const KeyOwner sender{ FromWire(aForward.sender), aForward.ownerEpoch };
  const state::ServiceName service{ aForward.serviceName };
  if (!aForward.idempotencyKey.empty() && aForward.ownerEpoch != 0) {
    return this->Note(sender, service, aForward.idempotencyKey);
  }
  const auto fenced = this->fencedHosts.find(sender.host.host);
  const bool isFenced = fenced != this->fencedHosts.end() &&
                        sender.host.incarnation <= fenced->second;
  if (isFenced || this->options.isDeposed(sender.host)) {
    return protocol::ErrorKind::kStaleSender;
  }
  return protocol::ErrorKind::kNone;
}

protocol::WitnessReply WitnessLog::Answer(const protocol::WitnessNote& aNote)
{
  const KeyOwner owner{ FromWire(aNote.owner), aNote.ownerEpoch };
  const state::ServiceName service{ aNote.serviceName };
  const protocol::ErrorKind error =
    this->Note(owner, service, aNote.idempotencyKey);
  protocol::WitnessReply reply;
  reply.noted = error == protocol::ErrorKind::kNone;
  return reply;
}

protocol::CollectReply WitnessLog::Answer(
  const protocol::CollectRequest& aRequest)
{
  const state::ServiceName service{ aRequest.serviceName };
  const Range range{ static_cast<std::uint64_t>(aRequest.first),
                     static_cast<std::uint64_t>(aRequest.last),
                     aRequest.epoch };
  // A forward that the predecessor sent before it was deposed may still be on
  // the wire. It would run here after this answer has said that it is not
  // known, and the successor would run the key a second time. The fence comes
  // in the same step as the answer, so each key is either named or refused.
  if (!this->Omits(DuplicateRule::kFenceOnCollect)) {
    this->FenceHost(FromWire(aRequest.predecessor));
    this->FenceRange(service, range);
  }
  protocol::CollectReply reply;
  reply.complete = true;
  reply.witness.host = this->options.self.host.value;
  reply.witness.incarnation = this->options.self.incarnation;
  for (const auto& [hash, entry] : this->known[service]) {
    const bool inside = range.first <= hash && hash <= range.last;
    if (inside && entry.epoch < range.epoch) {
      reply.keyHashes.push_back(static_cast<std::int64_t>(hash));
    }
  }
  return reply;
}

void WitnessLog::Tick()
{
  const TimePoint now = this->options.clock();
  while (!this->expiries.empty() && this->expiries.front().at <= now) {
    const Expiry& expiry = this->expiries.front();
    Hashes& hashes = this->known[expiry.service];
    const auto found = hashes.find(expiry.hash);
    if (found != hashes.end() && found->second.expires == expiry.at) {
      hashes.erase(found);
      --this->count;
    }
    this->expiries.pop_front();
  }
}

std::size_t WitnessLog::Size() const
{
  return this->count;
}

bool WitnessLog::Omits(DuplicateRule aRule) const
{
  return this->options.omittedForTest.contains(aRule);
}

bool WitnessLog::IsFenced(const KeyOwner& aOwner,
                          const state::ServiceName& aService,
                          std::uint64_t aHash) const
{
  const auto host = this->fencedHosts.find(aOwner.host.host);
  if (host != this->fencedHosts.end() &&
      aOwner.host.incarnation <= host->second) {
    return true;
  }
  const auto ranges = this->fencedRanges.find(aService);
  if (ranges == this->fencedRanges.end()) {
    return false;
  }
  return std::ranges::any_of(ranges->second, [&](const Range& aRange) {
    const bool inside = aRange.first <= aHash && aHash <= aRange.last;
    return inside && aOwner.epoch < aRange.epoch;
  });
}

// An owner that slept past its lease may send what it had in hand. A host that
// was started after the collection was not fenced by it; it read the map when
// the takeover was already in the table, and refuses by that.
bool WitnessLog::IsReplaced(const KeyOwner& aOwner,
                            const state::ServiceName& aService,
                            std::uint64_t aHash) const
{
  if (this->Omits(DuplicateRule::kRefuseStaleSender)) {
    return false;
  }
  return this->options.isDeposed(aOwner.host) ||
         aOwner.epoch < this->options.knownEpoch(aService, aHash);
}

void WitnessLog::FenceHost(const state::HostRef& aHost)
{
  if (aHost.host.value.empty()) {
    return;
  }
  state::Incarnation& fenced = this->fencedHosts[aHost.host];
  fenced = std::max(fenced, aHost.incarnation);
}

void WitnessLog::FenceRange(const state::ServiceName& aService,
                            const Range& aRange)
{
  std::vector<Range>& ranges = this->fencedRanges[aService];
  // Those that the new one covers say nothing more.
  std::erase_if(ranges, [&](const Range& aOld) {
    const bool inside = aRange.first <= aOld.first && aOld.last <= aRange.last;
    return inside && aOld.epoch <= aRange.epoch;
  });
  ranges.push_back(aRange);
}

bool WitnessLog::Remember(const state::ServiceName& aService,
                          std::uint64_t aHash, state::Epoch aEpoch)
{
  Hashes& hashes = this->known[aService];
  const auto found = hashes.find(aHash);
  const bool isNew = found == hashes.end();
  if (isNew && this->count >= this->options.maxKeys) {
    return false;
  }
  const TimePoint expires = this->options.clock() + this->options.horizon;
  if (isNew) {
    hashes.emplace(aHash, Known{ expires, aEpoch });
    ++this->count;
  } else {
    found->second.expires = expires;
    found->second.epoch = std::min(found->second.epoch, aEpoch);
  }
  this->expiries.push_back({ expires, aService, aHash });
  return true;
}

} // namespace kumquat::coordination
