// Asks until every witness has answered.

#include "coordination/collection.h"

#include <utility>

namespace kumquat::coordination {

namespace {

// A few askings' time.
constexpr std::chrono::milliseconds kYouth{ 1000 };

// The frame goes to whoever runs under the host's name. Where the witness was
// restarted, its new run would say in good faith that it knows of nothing, and
// a key that the earlier run had dispatched would run again.
bool IsWholeAnswerOf(const protocol::CollectReply& aReply,
                     const state::HostRef& aWitness)
{
  return aReply.complete && aReply.witness.host == aWitness.host.value &&
         aReply.witness.incarnation == aWitness.incarnation;
}

} // namespace

Collection::Collection(Options aOptions)
  : options(std::move(aOptions))
  , progress(std::make_shared<Progress>())
{
  if (!this->options.omittedForTest.contains(DuplicateRule::kCollect)) {
    this->progress->missing = this->options.witnesses;
  }
}

void Collection::Add(const protocol::CollectReply& aReply)
{
  Take(*this->progress, aReply);
}

void Collection::Tick()
{
  if (this->IsOver()) {
    return;
  }
  // A copy: an answer may come before Ask returns.
  const std::set<state::HostRef> missing = this->progress->missing;
  for (const state::HostRef& witness : missing) {
    if (!this->progress->asking.contains(witness)) {
      this->Ask(witness);
    }
  }
}

bool Collection::IsSure() const
{
  return this->progress->missing.empty() || this->IsOver();
}

bool Collection::MayHaveRun(std::uint64_t aHash) const
{
  return !this->IsOver() && this->progress->hashes.contains(aHash);
}

std::vector<std::int64_t> Collection::Hashes(std::uint64_t aFirst,
                                             std::uint64_t aLast) const
{
  std::vector<std::int64_t> inRange;
  for (const std::uint64_t hash : this->progress->hashes) {
    if (aFirst <= hash && hash <= aLast) {
      inRange.push_back(static_cast<std::int64_t>(hash));
    }
  }
  return inRange;
}

bool Collection::IsYoung() const
{
  return this->options.clock() < this->options.started + kYouth;
}

bool Collection::IsOver() const
{
  return this->options.clock() >= this->options.started + this->options.horizon;
}

std::size_t Collection::Missing() const
{
  return this->progress->missing.size();
}

void Collection::Take(Progress& aProgress, const protocol::CollectReply& aReply)
{
  if (aProgress.settled) {
    return;
  }
  // Failure: in a planned move every entry has noted the keys that it sent to
  // the host that leaves, also those that it refused, and the successor would
  // answer "unknown" to keys that never ran. The owner before knows better:
  // it notes a key when it dispatches it, and dispatches nothing from here on.
  if (aReply.wasOwner) {
    aProgress.hashes.clear();
    aProgress.missing.clear();
    aProgress.settled = true;
  }
  for (const std::int64_t hash : aReply.keyHashes) {
    aProgress.hashes.insert(static_cast<std::uint64_t>(hash));
  }
}

void Collection::Ask(const state::HostRef& aWitness)
{
  this->progress->asking.insert(aWitness);
  protocol::Frame frame;
  frame.__set_collectRequest(this->options.request);
  // A host that is lost may have known of a key that ran: its silence is not
  // an answer. It stays missing, and is asked again, until the horizon.
  const bool silenceCounts =
    this->options.omittedForTest.contains(DuplicateRule::kAwaitSilentHosts);
  const std::weak_ptr<Progress> weak = this->progress;
  auto onReply = [weak, aWitness,
                  silenceCounts](const Result<protocol::Frame>& aReply) {
    const auto held = weak.lock();
    if (!held) {
      return;
    }
    held->asking.erase(aWitness);
    const bool isWhole = aReply && aReply->__isset.collectReply &&
                         IsWholeAnswerOf(aReply->collectReply, aWitness);
    if (isWhole) {
      Take(*held, aReply->collectReply);
    }
    if (isWhole || silenceCounts) {
      held->missing.erase(aWitness);
    }
  };
  this->options.ask(aWitness, std::move(frame), this->options.timeout,
                    std::move(onReply));
}

} // namespace kumquat::coordination
