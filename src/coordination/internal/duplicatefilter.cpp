// The owner's side: which arrival runs, which wait, which are refused.

#include "coordination/duplicatefilter.h"

#include "coordination/internal/keytime.h"
#include "state/routingmap.h"

#include <algorithm>
#include <deque>
#include <map>
#include <unordered_map>
#include <utility>

namespace kumquat::coordination {

namespace {

using protocol::ErrorKind;
using Answer = DuplicateFilter::Answer;

// So many hosts are asked in turn to note a key before the request is refused.
constexpr int kWitnessTries = 3;

Answer AnswerOf(ErrorKind aKind)
{
  const auto& row = protocol::ErrorInfoFor(aKind);
  auto answer = std::make_shared<protocol::ForwardReply>();
  answer->error = static_cast<int>(aKind);
  answer->status = row.httpStatus;
  if (row.retryAfter) {
    answer->retryAfterMicros =
      std::chrono::duration_cast<std::chrono::microseconds>(*row.retryAfter)
        .count();
  }
  return answer;
}

// Of a host that does not own the key, or not surely.
Answer AnswerOfStranger(ErrorKind aKind)
{
  auto answer = std::make_shared<protocol::ForwardReply>(*AnswerOf(aKind));
  answer->keyUnknown = true;
  return answer;
}

protocol::HostRef ToWire(const state::HostRef& aRef)
{
  protocol::HostRef ref;
  ref.host = aRef.host.value;
  ref.incarnation = aRef.incarnation;
  return ref;
}

protocol::Outcome OutcomeOf(const Answer& aAnswer)
{
  const ErrorKind kind = protocol::ErrorKindFromNumber(aAnswer->error);
  return protocol::ErrorInfoFor(kind).outcome;
}

} // namespace

class DuplicateFilter::State : public std::enable_shared_from_this<State>
{
public:
  explicit State(Options aOptions);

  void Begin(const KeyTenure& aTenure);
  protocol::CollectReply AnswerCollection(
    const protocol::CollectRequest& aRequest);
  void End(const state::ServiceName& aService, const std::string& aPart);
  void Submit(Arrival aArrival, const Run& aRun, Done aDone);
  void PrepareDispatch(const Ticket& aTicket, const state::HostRef& aSteward,
                       Go aGo);
  void Finish(const Ticket& aTicket, const Answer& aAnswer);
  void Tick();
  bool IsSure(const state::ServiceName& aService,
              const std::string& aPart) const;
  std::size_t Size() const { return this->records.size(); }

  Counters counters;

private:
  // Service and idempotency key, whole: a hash of two callers' keys must not
  // give one of them the other's answer.
  using Key = std::pair<state::ServiceName, std::string>;

  struct Waiter
  {
    Done done;
    TimePoint deadline;
  };

  // One key that runs, or has run: finished is null until then.
  struct Record
  {
    Key key;
    KeyOwner owner;
    state::HostId entry;
    Done first;
    std::vector<Waiter> repeats;
    Answer finished;
    // Another host than this one knows of the key.
    bool witnessed = false;
  };

  struct Tenure
  {
    KeyTenure given;
    std::chrono::milliseconds unixStart{};
    std::unique_ptr<Collection> collection;
    // Given up; kept to answer its successor's question.
    bool ended = false;
  };

  struct Expiry
  {
    TimePoint at;
    std::uint64_t number = 0;
  };

  // An arrival for a tenure whose collection has just begun.
  struct Held
  {
    Arrival arrival;
    Run run;
    Done done;
  };

  static bool ShouldHold(const Tenure* aTenure);
  void SubmitHeld();
  bool Omits(DuplicateRule aRule) const;
  bool HoldsLease() const;
  const Tenure* FindTenure(const state::ServiceName& aService,
                           std::uint64_t aHash) const;
  std::unique_ptr<Collection> Collect(const KeyTenure& aTenure) const;
  bool IsSurelyNew(const Tenure& aTenure, const std::string& aKey) const;
  // kNone where the key may run.
  ErrorKind CheckNew(const Arrival& aArrival, const Tenure* aTenure);
  ErrorKind CheckDispatch(const Record& aRecord) const;
  void Repeat(Record& aRecord, const Arrival& aArrival, Done aDone);
  void Start(Arrival aArrival, state::Epoch aEpoch, const Run& aRun,
             Done aDone);
  ErrorKind NoteOwn(const Record& aRecord);
  bool NeedsWitness(const Record& aRecord,
                    const state::HostRef& aSteward) const;
  void AskWitness(std::uint64_t aNumber,
                  std::vector<state::HostRef> aCandidates, const Go& aGo);
  void OnWitness(std::uint64_t aNumber, std::vector<state::HostRef> aRest,
                 bool aNoted, const Go& aGo);
  void Keep(std::uint64_t aNumber, Record& aRecord, const Answer& aAnswer);
  void Erase(std::uint64_t aNumber);
  void DropExpired(TimePoint aNow);
  void AnswerLateRepeats(TimePoint aNow);

  Options options;
  std::vector<Tenure> tenures;
  std::vector<Held> held;
  std::uint64_t lastNumber = 0;
  std::unordered_map<std::uint64_t, Record> records;
  // Only of requests that have an idempotency key.
  std::map<Key, std::uint64_t> numbers;
  // In the order of time; one for each finished record.
  std::deque<Expiry> expiries;
  // Of finished answers' bodies.
  std::size_t bytes = 0;
};

DuplicateFilter::State::State(Options aOptions)
  : options(std::move(aOptions))
{
}

void DuplicateFilter::State::Begin(const KeyTenure& aTenure)
{
  const auto isSame = [&](const Tenure& aOther) {
    return aOther.given.service == aTenure.service &&
           aOther.given.part == aTenure.part;
  };
  const auto found = std::ranges::find_if(this->tenures, isSame);
  if (found != this->tenures.end()) {
    if (found->given.epoch >= aTenure.epoch) {
      return;
    }
    this->tenures.erase(found);
  }
  this->tenures.push_back(
    { aTenure, this->options.unixTime(), this->Collect(aTenure), false });
}

std::unique_ptr<Collection> DuplicateFilter::State::Collect(
  const KeyTenure& aTenure) const
{
  if (aTenure.origin == KeyTenure::Origin::kNew) {
    return nullptr;
  }
  protocol::CollectRequest request;
  request.serviceName = aTenure.service.value;
  request.first = static_cast<std::int64_t>(aTenure.first);
  request.last = static_cast<std::int64_t>(aTenure.last);
  request.epoch = aTenure.epoch;
  const auto hosts = this->options.hostsWithinHorizon();
  std::set<state::HostRef> witnesses(hosts.begin(), hosts.end());
  witnesses.erase(this->options.self);
  if (aTenure.origin == KeyTenure::Origin::kTakeover) {
    request.predecessor = ToWire(aTenure.predecessor);
    // It is lost; whatever it sent, another host knows of.
    witnesses.erase(aTenure.predecessor);
  }
  auto collection = std::make_unique<Collection>(Collection::Options{
    request, std::move(witnesses), this->options.clock(), this->options.horizon,
    this->options.askTimeout, this->options.clock, this->options.ask,
    this->options.omittedForTest });
  if (!this->Omits(DuplicateRule::kCollect)) {
    collection->Add(this->options.log->Answer(request));
    collection->Tick();
  }
  return collection;
}

protocol::CollectReply DuplicateFilter::State::AnswerCollection(
  const protocol::CollectRequest& aRequest)
{
  protocol::CollectReply reply = this->options.log->Answer(aRequest);
  const state::ServiceName service{ aRequest.serviceName };
  const auto first = static_cast<std::uint64_t>(aRequest.first);
  const auto last = static_cast<std::uint64_t>(aRequest.last);
  // Failure: an owner that slept through a takeover still takes itself for the
  // owner and does not know what its successor ran. Each change of owner
  // raises the epoch by one, so only the last owner is next below the asker.
  const auto owned =
    std::ranges::find_if(this->tenures, [&](const Tenure& aTenure) {
      const KeyTenure& given = aTenure.given;
      return given.service == service && given.first <= first &&
             last <= given.last && given.epoch + 1 == aRequest.epoch;
    });
  if (owned == this->tenures.end()) {
    return reply;
  }
  const Collection* collection = owned->collection.get();
  if (collection == nullptr || collection->IsSure()) {
    reply.wasOwner = true;
    if (collection != nullptr) {
      const auto hashes = collection->Hashes(first, last);
      reply.keyHashes.insert(reply.keyHashes.end(), hashes.begin(),
                             hashes.end());
    }
  }
  owned->ended = true;
  return reply;
}

void DuplicateFilter::State::End(const state::ServiceName& aService,
                                 const std::string& aPart)
{
  for (Tenure& tenure : this->tenures) {
    const KeyTenure& given = tenure.given;
    tenure.ended |= given.service == aService && given.part == aPart;
  }
}

void DuplicateFilter::State::Submit(Arrival aArrival, const Run& aRun,
                                    Done aDone)
{
  if (aArrival.key.empty()) {
    this->Start(std::move(aArrival), 0, aRun, std::move(aDone));
    return;
  }
  const auto known = this->numbers.find({ aArrival.service, aArrival.key });
  if (known != this->numbers.end()) {
    this->Repeat(this->records.at(known->second), aArrival, std::move(aDone));
    return;
  }
  const Tenure* tenure =
    this->FindTenure(aArrival.service, state::HashKey(aArrival.key));
  if (ShouldHold(tenure)) {
    this->held.push_back({ std::move(aArrival), aRun, std::move(aDone) });
    return;
  }
  const ErrorKind error = this->CheckNew(aArrival, tenure);
  if (error == ErrorKind::kNotSteward || error == ErrorKind::kNoLease) {
    aDone(AnswerOfStranger(error));
    return;
  }
  if (error != ErrorKind::kNone) {
    aDone(AnswerOf(error));
    return;
  }
  const state::Epoch epoch = tenure->given.epoch;
  this->Start(std::move(aArrival), epoch, aRun, std::move(aDone));
}

// In a planned move the owner before answers in a moment, and "unknown" would
// be a needless answer until then.
bool DuplicateFilter::State::ShouldHold(const Tenure* aTenure)
{
  const bool moved =
    aTenure != nullptr && aTenure->given.origin == KeyTenure::Origin::kMove;
  return moved && aTenure->collection && !aTenure->collection->IsSure() &&
         aTenure->collection->IsYoung();
}

void DuplicateFilter::State::SubmitHeld()
{
  std::vector<Held> again = std::exchange(this->held, {});
  for (Held& one : again) {
    this->Submit(std::move(one.arrival), one.run, std::move(one.done));
  }
}

// The first outcome is true whoever owns the key now, so it is given also after
// the end of the tenure.
void DuplicateFilter::State::Repeat(Record& aRecord, const Arrival& aArrival,
                                    Done aDone)
{
  if (aRecord.finished) {
    ++this->counters.repeatsFinished;
    const Answer answer = aRecord.finished;
    aDone(answer);
    return;
  }
  ++this->counters.repeatsRunning;
  aRecord.repeats.push_back({ std::move(aDone), aArrival.deadline });
}

ErrorKind DuplicateFilter::State::CheckNew(const Arrival& aArrival,
                                           const Tenure* aTenure)
{
  if (aTenure == nullptr) {
    ++this->counters.notOwner;
    return ErrorKind::kNotSteward;
  }
  if (!this->HoldsLease()) {
    ++this->counters.noLease;
    return ErrorKind::kNoLease;
  }
  const Collection* collection = aTenure->collection.get();
  if (collection != nullptr &&
      collection->MayHaveRun(state::HashKey(aArrival.key))) {
    ++this->counters.mayHaveRun;
    return ErrorKind::kOutcomeUnknown;
  }
  if (collection != nullptr && !collection->IsSure() &&
      !this->IsSurelyNew(*aTenure, aArrival.key)) {
    ++this->counters.unsure;
    return ErrorKind::kOutcomeUnknown;
  }
  // An outcome that is forgotten early would let its key run again, so the
  // memory refuses new keys rather than make room for them.
  if (this->records.size() >= this->options.maxKeys ||
      this->bytes >= this->options.maxBytes) {
    ++this->counters.full;
    return ErrorKind::kQueueFull;
  }
  return ErrorKind::kNone;
}

void DuplicateFilter::State::Start(Arrival aArrival, state::Epoch aEpoch,
                                   const Run& aRun, Done aDone)
{
  const std::uint64_t number = ++this->lastNumber;
  Record& record = this->records[number];
  record.key = { std::move(aArrival.service), std::move(aArrival.key) };
  record.owner = { this->options.self, aEpoch };
  record.entry = std::move(aArrival.entry);
  record.first = std::move(aDone);
  if (!record.key.second.empty()) {
    this->numbers.emplace(record.key, number);
  }
  ++this->counters.ran;
  const Ticket ticket{ number, record.owner };
  aRun(ticket);
}

void DuplicateFilter::State::PrepareDispatch(const Ticket& aTicket,
                                             const state::HostRef& aSteward,
                                             Go aGo)
{
  const auto found = this->records.find(aTicket.number);
  if (found == this->records.end() || found->second.finished) {
    aGo(ErrorKind::kInternal);
    return;
  }
  const Record& record = found->second;
  ErrorKind error = this->CheckDispatch(record);
  if (error == ErrorKind::kNone) {
    error = this->NoteOwn(record);
  }
  if (error != ErrorKind::kNone || !this->NeedsWitness(record, aSteward)) {
    aGo(error);
    return;
  }
  if (this->Omits(DuplicateRule::kNoteBeforeDispatch)) {
    aGo(ErrorKind::kNone);
    aGo = [](ErrorKind) {};
  }
  std::vector<state::HostRef> candidates = this->options.witnesses();
  std::erase_if(candidates, [this](const state::HostRef& aHost) {
    return aHost.host == this->options.self.host;
  });
  this->AskWitness(aTicket.number, std::move(candidates), aGo);
}

// The steward may become this host's successor and be lost in its turn. Its
// own successor does not hear from it, but from this host, if it only slept.
ErrorKind DuplicateFilter::State::NoteOwn(const Record& aRecord)
{
  const auto& [service, key] = aRecord.key;
  if (key.empty() || this->Omits(DuplicateRule::kNoteOwn)) {
    return ErrorKind::kNone;
  }
  return this->options.log->Note(aRecord.owner, service, key);
}

// A lease that lapsed while its holder was paused, or a slice that went to
// another host: what is sent now could run beside the successor's run.
ErrorKind DuplicateFilter::State::CheckDispatch(const Record& aRecord) const
{
  if (!this->HoldsLease()) {
    return ErrorKind::kNoLease;
  }
  const auto& [service, key] = aRecord.key;
  if (key.empty()) {
    return ErrorKind::kNone;
  }
  const Tenure* tenure = this->FindTenure(service, state::HashKey(key));
  const bool isOwner =
    tenure != nullptr && tenure->given.epoch == aRecord.owner.epoch;
  return isOwner ? ErrorKind::kNone : ErrorKind::kNotSteward;
}

// An entry knows the keys that it forwarded, a steward those that it was sent.
// Where both are this host, its loss would leave nobody who knows that the key
// may have run, and the successor would run it again.
bool DuplicateFilter::State::NeedsWitness(const Record& aRecord,
                                          const state::HostRef& aSteward) const
{
  if (this->Omits(DuplicateRule::kNoteWitness) || aRecord.witnessed ||
      aRecord.key.second.empty()) {
    return false;
  }
  const state::HostId& self = this->options.self.host;
  return aRecord.entry == self && aSteward.host == self;
}

void DuplicateFilter::State::AskWitness(std::uint64_t aNumber,
                                        std::vector<state::HostRef> aCandidates,
                                        const Go& aGo)
{
  const auto found = this->records.find(aNumber);
  if (found == this->records.end() || aCandidates.empty()) {
    ++this->counters.noWitness;
    aGo(ErrorKind::kPeerUnreachable);
    return;
  }
  const Record& record = found->second;
  protocol::WitnessNote note;
  note.owner = ToWire(record.owner.host);
  note.ownerEpoch = record.owner.epoch;
  note.serviceName = record.key.first.value;
  note.idempotencyKey = record.key.second;
  protocol::Frame frame;
  frame.__set_witnessNote(note);

  // Those of other data centres stand first and are fewest to be lost with us;
  // among the first three, chance spreads the notes.
  const std::size_t choices =
    std::min<std::size_t>(kWitnessTries, aCandidates.size());
  const std::size_t choice = this->options.random(choices);
  const state::HostRef witness = aCandidates[choice];
  aCandidates.erase(aCandidates.begin() + static_cast<std::ptrdiff_t>(choice));
  aCandidates.resize(choices - 1);

  const std::weak_ptr<State> weak = this->weak_from_this();
  auto onReply = [weak, aNumber, rest = std::move(aCandidates),
                  aGo](const Result<protocol::Frame>& aReply) {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    const bool noted =
      aReply && aReply->__isset.witnessReply && aReply->witnessReply.noted;
    self->OnWitness(aNumber, rest, noted, aGo);
  };
  this->options.ask(witness, std::move(frame), this->options.askTimeout,
                    std::move(onReply));
}

void DuplicateFilter::State::OnWitness(std::uint64_t aNumber,
                                       std::vector<state::HostRef> aRest,
                                       bool aNoted, const Go& aGo)
{
  if (!aNoted) {
    this->AskWitness(aNumber, std::move(aRest), aGo);
    return;
  }
  const auto found = this->records.find(aNumber);
  if (found == this->records.end() || found->second.finished) {
    return;
  }
  found->second.witnessed = true;
  // The wait for the note may have outlasted the lease.
  aGo(this->CheckDispatch(found->second));
}

void DuplicateFilter::State::Finish(const Ticket& aTicket,
                                    const Answer& aAnswer)
{
  const auto found = this->records.find(aTicket.number);
  if (found == this->records.end() || found->second.finished) {
    return;
  }
  Record& record = found->second;
  const Done first = std::move(record.first);
  const std::vector<Waiter> repeats = std::move(record.repeats);
  record.first = nullptr;
  record.repeats.clear();
  const bool isKept = !record.key.second.empty() &&
                      OutcomeOf(aAnswer) != protocol::Outcome::kNotRun &&
                      !this->Omits(DuplicateRule::kRememberOutcome);
  if (OutcomeOf(aAnswer) == protocol::Outcome::kNotRun &&
      !record.key.second.empty()) {
    this->options.log->Withdraw(record.owner, record.key.first,
                                record.key.second);
  }
  if (isKept) {
    this->Keep(aTicket.number, record, aAnswer);
  } else {
    this->Erase(aTicket.number);
  }
  // Last, as they may submit anew.
  first(aAnswer);
  for (const Waiter& repeat : repeats) {
    repeat.done(aAnswer);
  }
}

void DuplicateFilter::State::Keep(std::uint64_t aNumber, Record& aRecord,
                                  const Answer& aAnswer)
{
  // Some kinds of unknown outcome invite another try; a repeat of the key must
  // not be taken for one.
  const bool isUnknown = OutcomeOf(aAnswer) == protocol::Outcome::kUnknown;
  aRecord.finished = isUnknown ? AnswerOf(ErrorKind::kOutcomeUnknown) : aAnswer;
  this->bytes += aRecord.finished->body.size();
  const TimePoint expires = this->options.clock() + this->options.horizon;
  this->expiries.push_back({ expires, aNumber });
}

void DuplicateFilter::State::Erase(std::uint64_t aNumber)
{
  const auto found = this->records.find(aNumber);
  if (found == this->records.end()) {
    return;
  }
  if (found->second.finished) {
    this->bytes -= found->second.finished->body.size();
  }
  this->numbers.erase(found->second.key);
  this->records.erase(found);
}

void DuplicateFilter::State::Tick()
{
  const TimePoint now = this->options.clock();
  this->SubmitHeld();
  this->DropExpired(now);
  this->AnswerLateRepeats(now);
  for (Tenure& tenure : this->tenures) {
    if (!tenure.collection) {
      continue;
    }
    tenure.collection->Tick();
    if (tenure.collection->IsOver()) {
      tenure.collection.reset();
    }
  }
}

void DuplicateFilter::State::DropExpired(TimePoint aNow)
{
  while (!this->expiries.empty() && this->expiries.front().at <= aNow) {
    this->Erase(this->expiries.front().number);
    this->expiries.pop_front();
  }
}

void DuplicateFilter::State::AnswerLateRepeats(TimePoint aNow)
{
  std::vector<Waiter> late;
  for (auto& [number, record] : this->records) {
    const auto isLate = [aNow](const Waiter& aWaiter) {
      return aWaiter.deadline <= aNow;
    };
    std::ranges::copy_if(record.repeats, std::back_inserter(late), isLate);
    std::erase_if(record.repeats, isLate);
  }
  this->counters.waitedTooLong += late.size();
  const Answer answer = AnswerOf(ErrorKind::kDuplicateRunning);
  for (const Waiter& waiter : late) {
    waiter.done(answer);
  }
}

bool DuplicateFilter::State::IsSure(const state::ServiceName& aService,
                                    const std::string& aPart) const
{
  return std::ranges::any_of(this->tenures, [&](const Tenure& aTenure) {
    const bool isAsked =
      aTenure.given.service == aService && aTenure.given.part == aPart;
    return isAsked && !aTenure.ended &&
           (!aTenure.collection || aTenure.collection->IsSure());
  });
}

bool DuplicateFilter::State::Omits(DuplicateRule aRule) const
{
  return this->options.omittedForTest.contains(aRule);
}

bool DuplicateFilter::State::HoldsLease() const
{
  return this->Omits(DuplicateRule::kCheckLease) || this->options.holdsLease();
}

// Ranges overlap while a slice is being split: the higher epoch counts.
const DuplicateFilter::State::Tenure* DuplicateFilter::State::FindTenure(
  const state::ServiceName& aService, std::uint64_t aHash) const
{
  const Tenure* best = nullptr;
  for (const Tenure& tenure : this->tenures) {
    const KeyTenure& given = tenure.given;
    const bool covers = !tenure.ended && given.service == aService &&
                        given.first <= aHash && aHash <= given.last;
    if (covers && (best == nullptr || best->given.epoch < given.epoch)) {
      best = &tenure;
    }
  }
  return best;
}

bool DuplicateFilter::State::IsSurelyNew(const Tenure& aTenure,
                                         const std::string& aKey) const
{
  if (this->Omits(DuplicateRule::kProveKeyIsNew)) {
    return true;
  }
  const auto made = internal::TimeOfKey(aKey);
  if (!made) {
    return false;
  }
  const auto skew = this->options.clockSkew;
  // A time that is still to come shows that the caller's clock is wrong.
  const bool isPast = *made <= this->options.unixTime() + skew;
  return isPast && *made > aTenure.unixStart + skew;
}

DuplicateFilter::DuplicateFilter(Options aOptions)
  : state(std::make_shared<State>(std::move(aOptions)))
{
}

DuplicateFilter::~DuplicateFilter() = default;

void DuplicateFilter::Begin(const KeyTenure& aTenure)
{
  this->state->Begin(aTenure);
}

void DuplicateFilter::End(const state::ServiceName& aService,
                          const std::string& aPart)
{
  this->state->End(aService, aPart);
}

void DuplicateFilter::Submit(Arrival aArrival, const Run& aRun, Done aDone)
{
  this->state->Submit(std::move(aArrival), aRun, std::move(aDone));
}

void DuplicateFilter::PrepareDispatch(const Ticket& aTicket,
                                      const state::HostRef& aSteward, Go aGo)
{
  this->state->PrepareDispatch(aTicket, aSteward, std::move(aGo));
}

void DuplicateFilter::Finish(const Ticket& aTicket, const Answer& aAnswer)
{
  this->state->Finish(aTicket, aAnswer);
}

void DuplicateFilter::Tick()
{
  this->state->Tick();
}

protocol::CollectReply DuplicateFilter::AnswerCollection(
  const protocol::CollectRequest& aRequest)
{
  return this->state->AnswerCollection(aRequest);
}

bool DuplicateFilter::IsSure(const state::ServiceName& aService,
                             const std::string& aPart) const
{
  return this->state->IsSure(aService, aPart);
}

std::size_t DuplicateFilter::Size() const
{
  return this->state->Size();
}

const DuplicateFilter::Counters& DuplicateFilter::Counted() const
{
  return this->state->counters;
}

} // namespace kumquat::coordination
