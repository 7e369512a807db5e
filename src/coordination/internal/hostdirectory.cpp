// Rows, list and signs of life of all hosts.

#include "coordination/hostdirectory.h"

#include "state/rows.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace kumquat::coordination {

HostDirectory::HostDirectory(const LeaseTiming& aTiming, Listener aOnChange,
                             DeposedListener aOnDeposed)
  : timing(aTiming)
  , onChange(std::move(aOnChange))
  , onDeposed(std::move(aOnDeposed))
{
}

void HostDirectory::Put(const state::Row& aRow, TimePoint aNow)
{
  const auto record = state::HostFromJson(aRow);
  if (!record) {
    return;
  }
  KnownHost& known = this->hosts[record->ref.host];
  if (record->version == known.record.version && known.nonce.empty()) {
    known.nonce = aRow.nonce;
  }
  if (record->version <= known.record.version) {
    return;
  }
  ++this->revision;
  const state::HostRecord before = std::exchange(known.record, *record);
  known.nonce = aRow.nonce;
  known.changed = aNow;
  if (before.ref.incarnation != record->ref.incarnation) {
    known.seen = aNow;
    known.leaving = false;
    known.unlisted.reset();
    known.wasListed = false;
    known.down.reset();
  }
  this->OnRun(record->ref, aNow);
  this->TellDeposed(before, *record);
  this->onChange(*record);
}

void HostDirectory::OnHostList(const std::vector<ListedHost>& aHosts,
                               TimePoint aNow)
{
  std::set<state::HostId> listed;
  std::ranges::transform(aHosts, std::inserter(listed, listed.end()),
                         &ListedHost::host);
  for (auto& [host, known] : this->hosts) {
    if (listed.contains(host)) {
      this->revision += known.unlisted ? 1 : 0;
      known.wasListed = true;
      known.unlisted.reset();
    } else if (!known.unlisted) {
      ++this->revision;
      known.unlisted = aNow;
    }
  }
}

void HostDirectory::OnPeer(const state::HostRef& aPeer, bool aUp,
                           TimePoint aNow)
{
  const auto found = this->hosts.find(aPeer.host);
  if (aUp) {
    this->OnRun(aPeer, aNow);
  }
  if (found == this->hosts.end()) {
    return;
  }
  KnownHost& known = found->second;
  if (aUp) {
    this->revision += known.down ? 1 : 0;
    known.down.reset();
  } else if (!known.down) {
    ++this->revision;
    known.down = aNow;
  }
}

void HostDirectory::OnRun(const state::HostRef& aRef, TimePoint aNow)
{
  const auto [place, isNew] =
    this->latestRuns.try_emplace(aRef.host, Run{ aRef.incarnation, aNow });
  if (!isNew && place->second.incarnation < aRef.incarnation) {
    ++this->revision;
    place->second = { aRef.incarnation, aNow };
  }
}

void HostDirectory::OnLeaving(const state::HostRef& aRef)
{
  const auto found = this->hosts.find(aRef.host);
  if (found != this->hosts.end() && found->second.record.ref == aRef) {
    ++this->revision;
    found->second.leaving = true;
  }
}

const KnownHost* HostDirectory::Find(const state::HostId& aHost) const
{
  const auto found = this->hosts.find(aHost);
  return found == this->hosts.end() ? nullptr : &found->second;
}

const std::map<state::HostId, KnownHost>& HostDirectory::All() const
{
  return this->hosts;
}

std::uint64_t HostDirectory::Revision() const
{
  return this->revision;
}

bool HostDirectory::IsDeposed(const state::HostRef& aRef) const
{
  const KnownHost* const known = this->Find(aRef.host);
  if (known == nullptr) {
    return false;
  }
  const state::HostRecord& record = known->record;
  return record.ref.incarnation > aRef.incarnation ||
         (record.ref == aRef && record.state == state::HostState::kDeposed);
}

bool HostDirectory::IsRestarted(const state::HostRef& aRef) const
{
  const auto found = this->latestRuns.find(aRef.host);
  return found != this->latestRuns.end() &&
         found->second.incarnation > aRef.incarnation;
}

std::optional<TimePoint> HostDirectory::GoneBy(const state::HostRef& aRef) const
{
  const Duration runsOut = this->timing.term + this->timing.drift;
  std::optional<TimePoint> gone;
  const KnownHost* const known = this->Find(aRef.host);
  if (known != nullptr && known->record.ref == aRef && known->unlisted) {
    // A host that the list never had may be too new for it.
    const Duration lag =
      known->wasListed ? Duration::zero() : this->timing.listLag;
    gone = *known->unlisted + lag + runsOut;
  }
  // A later run in the same place means that the earlier process has ended; in
  // another place, that the platform has replaced the host, which its list
  // shows at the latest after its lag.
  const auto run = this->latestRuns.find(aRef.host);
  if (run != this->latestRuns.end() &&
      run->second.incarnation > aRef.incarnation) {
    const TimePoint replaced =
      run->second.seen + this->timing.listLag + runsOut;
    gone = std::min(gone.value_or(replaced), replaced);
  }
  return gone;
}

void HostDirectory::TellDeposed(const state::HostRecord& aBefore,
                                const state::HostRecord& aAfter)
{
  const bool overtaken = aBefore.version != 0 &&
                         aBefore.ref.incarnation < aAfter.ref.incarnation &&
                         aBefore.state != state::HostState::kDeposed;
  if (overtaken) {
    this->onDeposed(aBefore.ref);
  }
  const bool known =
    aBefore.ref == aAfter.ref && aBefore.state == state::HostState::kDeposed;
  if (aAfter.state == state::HostState::kDeposed && !known) {
    this->onDeposed(aAfter.ref);
  }
}

} // namespace kumquat::coordination
