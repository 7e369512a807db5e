// An upstream instance over HTTP.

#include "standins/upstreamserver.h"

#include "standins/program.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <iterator>
#include <limits>
#include <ranges>
#include <utility>

namespace kumquat::standins {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr double kSpread = 0.4;
// A cold instance takes so many times as long.
constexpr double kColdFactor = 2;
constexpr milliseconds kCollapseTime(5000);
constexpr milliseconds kDefaultDeadline(30'000);
constexpr std::size_t kPieceBytes = 64U << 10U;
// The grant came too late to be in force at all.
constexpr int kLapsedStatus = 409;
constexpr std::string_view kBlobPrefix = "/blob/";
constexpr int kShedStatus = 503;
constexpr int kFencedStatus = 412;

std::int64_t ToNumber(std::string_view aText)
{
  std::int64_t number = 0;
  std::from_chars(aText.data(), aText.data() + aText.size(), number);
  return number;
}

std::uint64_t HashFrom(const json& aBody, const char* aName)
{
  return std::stoull(aBody.at(aName).get<std::string>());
}

WorkOrder ReadOrder(const HttpRequest& aRequest)
{
  return { .requestId = std::string(aRequest.Header("Kumquat-Request-Id")),
           .idempotencyKey = std::string(aRequest.Header("Idempotency-Key")),
           .key = std::string(aRequest.Header("Kumquat-Key")),
           .target = aRequest.target,
           .steward = std::string(aRequest.Header("Kumquat-Steward")),
           .epoch = ToNumber(aRequest.Header("Kumquat-Epoch")),
           .sliceEpoch = ToNumber(aRequest.Header("Kumquat-Slice-Epoch")) };
}

// "/blob/64MiB", "/blob/300KiB?n=7" or "/blob/1000": its length in bytes, 0
// where the target asks for no blob.
std::uint64_t BlobLength(std::string_view aTarget)
{
  if (!aTarget.starts_with(kBlobPrefix)) {
    return 0;
  }
  aTarget.remove_prefix(kBlobPrefix.size());
  std::uint64_t number = 0;
  const auto [end, error] =
    std::from_chars(aTarget.data(), aTarget.data() + aTarget.size(), number);
  aTarget.remove_prefix(static_cast<std::size_t>(end - aTarget.data()));
  if (aTarget.starts_with("MiB")) {
    return number << 20U;
  }
  return aTarget.starts_with("KiB") ? number << 10U : number;
}

// The target, over and over: its caller can tell it from another's.
std::string BlobPiece(const std::string& aTarget, std::uint64_t aFrom,
                      std::uint64_t aLength)
{
  const std::string line = aTarget + "\n";
  const std::size_t skip = aFrom % line.size();
  std::string piece;
  piece.reserve(aLength + 2 * line.size());
  while (piece.size() < aLength + skip) {
    piece += line;
  }
  return piece.substr(skip, aLength);
}

} // namespace

UpstreamServer::UpstreamServer(transport::IoThread& aThread, RunLog& aRuns,
                               GrantLog& aGrants, Options aOptions)
  : thread(aThread)
  , runs(aRuns)
  , grants(aGrants)
  , options(std::move(aOptions))
  , random(this->options.seed)
  , serviceTime(
      std::log(static_cast<double>(this->options.service.serviceTime.count())),
      kSpread)
  , upstream({ .keyed = this->options.service.keyed,
               .cold = this->options.startsCold,
               .coldGrace = this->options.coldGrace })
{
}

UpstreamServer::~UpstreamServer() = default;

void UpstreamServer::Listen()
{
  this->server = ListenOrExit(
    this->thread, { .address = this->options.plan.address,
                    .maxConnections = kUpstreamConnections,
                    .handler = [this](HttpRequest aRequest, Respond aRespond) {
                      this->Take(std::move(aRequest), std::move(aRespond));
                    } });
}

void UpstreamServer::After(Duration aDelay, std::function<void()> aWork)
{
  auto timer =
    std::make_shared<boost::asio::steady_timer>(this->thread.Context(), aDelay);
  timer->async_wait([timer, work = std::move(aWork)](const auto&) { work(); });
}

bool UpstreamServer::Chance(double aProbability)
{
  return std::bernoulli_distribution(aProbability)(this->random);
}

bool UpstreamServer::IsFrozen() const
{
  return this->frozen || this->collapsed;
}

void UpstreamServer::Take(HttpRequest aRequest, Respond aRespond)
{
  if (!this->server || this->ending) {
    aRespond({ .status = transport::kNoAnswer });
    return;
  }
  if (this->IsFrozen()) {
    this->held.push_back([this, request = std::move(aRequest),
                          respond = std::move(aRespond)]() mutable {
      this->Take(std::move(request), std::move(respond));
    });
    return;
  }
  if (!this->TakeControl(aRequest, aRespond)) {
    this->Work(aRequest, std::move(aRespond));
  }
}

bool UpstreamServer::TakeControl(const HttpRequest& aRequest,
                                 const Respond& aRespond)
{
  if (aRequest.target == "/health") {
    aRespond(this->Health());
    return true;
  }
  if (aRequest.method != "PUT" ||
      (aRequest.target != "/fence" && aRequest.target != "/grant" &&
       aRequest.target != "/revoke")) {
    return false;
  }
  try {
    const json body = json::parse(aRequest.body);
    if (aRequest.target == "/fence") {
      aRespond(this->TakeFence(body));
    } else if (aRequest.target == "/grant") {
      aRespond(this->TakeGrant(body));
    } else {
      this->TakeRevoke(body, aRespond);
    }
  } catch (const std::exception& error) {
    aRespond(JsonResponse(400, json{ { "error", error.what() } }.dump()));
  }
  return true;
}

void UpstreamServer::AddHeaders(const std::string& aRequestId,
                                HttpResponse& aResponse) const
{
  aResponse.headers.push_back({ "Kumquat-Request-Id", aRequestId });
  aResponse.headers.push_back({ "Kumquat-State", std::string(UpstreamStateName(
                                                   this->upstream.State())) });
  aResponse.headers.push_back(
    { "Kumquat-Incarnation", std::to_string(this->upstream.Incarnation()) });
}

HttpResponse UpstreamServer::Refusal(const std::string& aRequestId, int aStatus,
                                     const char* aError) const
{
  HttpResponse response = JsonResponse(aStatus, "{}");
  this->AddHeaders(aRequestId, response);
  response.headers.push_back({ "Kumquat-Outcome", "not-run" });
  response.headers.push_back({ "Kumquat-Error", aError });
  return response;
}

void UpstreamServer::Work(const HttpRequest& aRequest, Respond aRespond)
{
  WorkOrder order = ReadOrder(aRequest);
  if (this->Chance(this->pending.shedProbability)) {
    ++this->counters.shed;
    aRespond(this->Refusal(order.requestId, kShedStatus, "shed"));
    return;
  }
  switch (this->upstream.Admit(order, steady_clock::now())) {
    case Admission::kRun:
      this->StartTask(aRequest, std::move(order), std::move(aRespond));
      return;
    case Admission::kShed:
      ++this->counters.shed;
      aRespond(this->Refusal(order.requestId, kShedStatus, "shed"));
      return;
    case Admission::kFenced:
      ++this->counters.fenced;
      aRespond(this->Refusal(order.requestId, kFencedStatus, "fenced"));
      return;
    case Admission::kCollapse:
      this->held.push_back([respond = std::move(aRespond)] {
        respond({ .status = transport::kNoAnswer });
      });
      this->Collapse();
      return;
  }
}

Duration UpstreamServer::ServiceTime()
{
  const bool cold = this->upstream.State() == UpstreamState::kCold;
  const std::chrono::duration<double, std::milli> time(
    this->serviceTime(this->random) * this->options.timeFactor *
    this->slowFactor * (cold ? kColdFactor : 1));
  return std::chrono::duration_cast<Duration>(time);
}

void UpstreamServer::StartTask(const HttpRequest& aRequest, WorkOrder aOrder,
                               Respond aRespond)
{
  const TimePoint now = steady_clock::now();
  const std::int64_t deadline =
    ToNumber(aRequest.Header("Kumquat-Deadline-Ms"));
  const milliseconds left =
    deadline > 0 ? milliseconds(deadline) : kDefaultDeadline;
  Task task{ .order = aOrder,
             .incarnation = this->upstream.Incarnation(),
             .deadline = now + left,
             .respond = std::move(aRespond) };
  task.run = this->runs.Begin({ .order = std::move(aOrder),
                                .service = this->options.plan.service,
                                .instance = this->options.plan.id,
                                .incarnation = this->upstream.Incarnation(),
                                .start = now,
                                .stateAtStart = this->upstream.State(),
                                .stateFor = now - this->upstream.StateSince(),
                                .runningAtStart = this->upstream.Running(),
                                .bearsAtStart = this->upstream.Bears() });
  const std::uint64_t number = ++this->lastTask;
  this->tasks.emplace(number, std::move(task));
  const Duration time = std::min<Duration>(this->ServiceTime(), left);
  this->After(time, [this, number] { this->EndTask(number); });
}

void UpstreamServer::EndTask(std::uint64_t aTask)
{
  if (this->IsFrozen()) {
    this->held.push_back([this, aTask] { this->EndTask(aTask); });
    return;
  }
  auto node = this->tasks.extract(aTask);
  if (node.empty()) {
    return;
  }
  const Task& task = node.mapped();
  const TimePoint now = steady_clock::now();
  if (now >= task.deadline) {
    this->upstream.Abandon(task.order);
    this->runs.End(task.run, RunOutcome::kAborted, now);
    ++this->counters.aborted;
    task.respond(this->Refusal(task.order.requestId, kShedStatus, "deadline"));
  } else if (!this->upstream.Finish(task.order, now)) {
    this->runs.End(task.run, RunOutcome::kAborted, now);
    ++this->counters.fenced;
    task.respond(this->Refusal(task.order.requestId, kFencedStatus, "fenced"));
  } else {
    this->runs.End(task.run, RunOutcome::kRan, now);
    ++this->counters.ran;
    this->Answer(task);
  }
  this->WakeWaiters();
}

void UpstreamServer::Answer(const Task& aTask)
{
  HttpResponse answer = this->MakeAnswer(aTask);
  const bool cross =
    this->pending.cross > 0 || this->Chance(this->pending.crossProbability);
  const bool truncate = this->pending.truncate > 0 ||
                        this->Chance(this->pending.truncateProbability);
  if (cross && this->lastAnswer.status != transport::kNoAnswer) {
    this->pending.cross = std::max(0, this->pending.cross - 1);
    ++this->counters.crossed;
    aTask.respond(std::exchange(this->lastAnswer, std::move(answer)));
    return;
  }
  if (!answer.rest) {
    this->lastAnswer = answer;
  }
  if (truncate && !answer.rest) {
    this->pending.truncate = std::max(0, this->pending.truncate - 1);
    ++this->counters.truncated;
    answer.length = answer.body.size();
    answer.body.resize(answer.body.size() / 2);
    answer.rest = [](const auto& aTake) {
      aTake(make_error_code(transport::TransportError::kTruncated));
    };
  }
  aTask.respond(std::move(answer));
}

HttpResponse UpstreamServer::MakeAnswer(const Task& aTask) const
{
  if (const std::uint64_t length = BlobLength(aTask.order.target)) {
    return this->MakeBlob(aTask, length);
  }
  const json body = { { "service", this->options.plan.service },
                      { "key", aTask.order.key },
                      { "target", aTask.order.target },
                      { "idempotency_key", aTask.order.idempotencyKey },
                      { "instance", this->options.plan.id },
                      { "incarnation", aTask.incarnation },
                      { "request", aTask.order.requestId } };
  HttpResponse response = JsonResponse(200, body.dump());
  this->AddHeaders(aTask.order.requestId, response);
  return response;
}

HttpResponse UpstreamServer::MakeBlob(const Task& aTask,
                                      std::uint64_t aLength) const
{
  HttpResponse response;
  response.headers = { { "Content-Type", "application/octet-stream" } };
  this->AddHeaders(aTask.order.requestId, response);
  response.length = aLength;
  response.rest = [this, target = aTask.order.target,
                   incarnation = aTask.incarnation, aLength,
                   sent = std::uint64_t{ 0 }](const auto& aTake) mutable {
    if (incarnation != this->upstream.Incarnation() || !this->server) {
      aTake(make_error_code(transport::TransportError::kTruncated));
      return;
    }
    const std::uint64_t piece =
      std::min<std::uint64_t>(kPieceBytes, aLength - sent);
    const std::uint64_t from = std::exchange(sent, sent + piece);
    aTake(BlobPiece(target, from, piece));
  };
  return response;
}

std::string UpstreamServer::HealthText() const
{
  const int running = this->upstream.Running();
  const json body = {
    { "state",
      this->misleads ? "warm" : UpstreamStateName(this->upstream.State()) },
    { "incarnation", this->upstream.Incarnation() },
    { "slots", kUpstreamSlots },
    { "running", this->misleads ? 0 : running },
    { "load",
      this->misleads ? 0 : static_cast<double>(running) / kUpstreamSlots },
    { "checksFence", this->upstream.ChecksFence() }
  };
  return body.dump();
}

void UpstreamServer::Snapshot()
{
  const TimePoint now = steady_clock::now();
  this->healthViews.push_back({ now, this->HealthText() });
  // The first one is the newest that is old enough.
  while (this->healthViews.size() > 1 &&
         this->healthViews[1].at + this->options.healthLag <= now) {
    this->healthViews.pop_front();
  }
}

HttpResponse UpstreamServer::Health() const
{
  return JsonResponse(200, this->healthViews.empty()
                             ? this->HealthText()
                             : this->healthViews.front().text);
}

HttpResponse UpstreamServer::TakeFence(const json& aBody)
{
  const bool accepted =
    this->upstream.Fence(aBody.at("steward").get<std::string>(),
                         aBody.at("epoch").get<std::int64_t>());
  json given = json::array();
  const TimePoint now = steady_clock::now();
  for (const auto& [part, grant] : this->upstream.Grants()) {
    if (now < grant.until) {
      given.push_back({ { "part", part },
                        { "first", std::to_string(grant.first) },
                        { "last", std::to_string(grant.last) },
                        { "epoch", grant.sliceEpoch },
                        { "sequence", grant.sequence } });
    }
  }
  const json answer = { { "accepted", accepted },
                        { "epoch", this->upstream.SeenEpoch() },
                        { "incarnation", this->upstream.Incarnation() },
                        { "checksFence", this->upstream.ChecksFence() },
                        { "clockMs", this->ClockMillis(now) },
                        { "grants", std::move(given) } };
  return JsonResponse(accepted ? 200 : kFencedStatus, answer.dump());
}

// Each process counts its clock from a moment of its own.
std::int64_t UpstreamServer::ClockMillis(TimePoint aNow) const
{
  const auto offset = std::hash<std::string>{}(this->options.plan.id) % 1000000;
  return duration_cast<milliseconds>(aNow.time_since_epoch()).count() -
         static_cast<std::int64_t>(offset);
}

TimePoint UpstreamServer::GrantEnd(const json& aBody, TimePoint aNow) const
{
  const milliseconds term(aBody.at("termMs").get<std::int64_t>());
  if (!aBody.contains("asOfMs")) {
    return aNow + term;
  }
  const milliseconds age(this->ClockMillis(aNow) -
                         aBody.at("asOfMs").get<std::int64_t>());
  return aNow - age + term;
}

HttpResponse UpstreamServer::TakeGrant(const json& aBody)
{
  const TimePoint now = steady_clock::now();
  const auto part = aBody.at("part").get<std::string>();
  const Grant grant{ .first = HashFrom(aBody, "first"),
                     .last = HashFrom(aBody, "last"),
                     .sliceEpoch = aBody.at("sliceEpoch").get<std::int64_t>(),
                     .sequence = aBody.at("sequence").get<std::int64_t>(),
                     .until = this->GrantEnd(aBody, now) };
  const json late = { { "accepted", false },
                      { "error", "lapsed" },
                      { "clockMs", this->ClockMillis(now) } };
  if (grant.until <= now) {
    return JsonResponse(kLapsedStatus, late.dump());
  }
  const bool accepted =
    this->upstream.Give(aBody.at("epoch").get<std::int64_t>(), part, grant);
  if (accepted) {
    this->grants.Given(this->options.plan.service, this->options.plan.id, part,
                       grant, now);
  }
  const json answer = { { "accepted", accepted },
                        { "clockMs", this->ClockMillis(now) },
                        { "incarnation", this->upstream.Incarnation() } };
  return JsonResponse(accepted ? 200 : kFencedStatus, answer.dump());
}

void UpstreamServer::TakeRevoke(const json& aBody, const Respond& aRespond)
{
  const auto part = aBody.at("part").get<std::string>();
  const auto sliceEpoch = aBody.at("sliceEpoch").get<std::int64_t>();
  if (!this->upstream.Revoke(aBody.at("epoch").get<std::int64_t>(), part,
                             sliceEpoch)) {
    aRespond(JsonResponse(kFencedStatus, R"({"accepted":false})"));
    return;
  }
  this->grants.Ended(this->options.plan.service, this->options.plan.id, part,
                     steady_clock::now());
  this->waiters.push_back({ part, sliceEpoch, aRespond });
  this->WakeWaiters();
}

void UpstreamServer::WakeWaiters()
{
  const auto waits = [this](const Waiter& aWaiter) {
    return this->upstream.RunningUnder(aWaiter.part, aWaiter.sliceEpoch) > 0;
  };
  const auto done = std::ranges::partition(this->waiters, waits);
  const std::vector<Waiter> woken(std::make_move_iterator(done.begin()),
                                  std::make_move_iterator(done.end()));
  this->waiters.erase(done.begin(), done.end());
  std::ranges::for_each(woken, [](const Waiter& aWaiter) {
    aWaiter.respond(JsonResponse(200, R"({"accepted":true})"));
  });
}

void UpstreamServer::LoseTasks()
{
  const TimePoint now = steady_clock::now();
  const std::map<std::uint64_t, Task> lost = std::exchange(this->tasks, {});
  for (const Task& task : lost | std::views::values) {
    this->runs.End(task.run, RunOutcome::kLost, now);
    task.respond({ .status = transport::kNoAnswer });
  }
  const std::vector<Waiter> left = std::exchange(this->waiters, {});
  std::ranges::for_each(left, [](const Waiter& aWaiter) {
    aWaiter.respond({ .status = transport::kNoAnswer });
  });
}

void UpstreamServer::Restart(bool aForgetsFence)
{
  const TimePoint now = steady_clock::now();
  this->LoseTasks();
  this->CloseConnections();
  this->grants.AllEnded(this->options.plan.service, this->options.plan.id, now);
  this->upstream.Restart(now, aForgetsFence);
  ++this->collapseNumber;
  this->collapsed = false;
  this->frozen = false;
  this->lastAnswer = { .status = transport::kNoAnswer };
  this->healthViews.clear();
}

// As the end of a process does: also those that wait, and the idle ones.
void UpstreamServer::CloseConnections()
{
  this->frozen = false;
  this->collapsed = false;
  this->ending = true;
  const auto due = std::exchange(this->held, {});
  std::ranges::for_each(due, [](const auto& aWork) { aWork(); });
  this->ending = false;
  if (!this->server) {
    return;
  }
  this->server->StopAccepting();
  this->server.reset();
  // Behind the closing of the old listener on the same thread.
  this->thread.Post([this] {
    if (!this->down) {
      this->DoStart({});
    }
  });
}

// Unresponsive for long, then back as a new process.
void UpstreamServer::Collapse()
{
  ++this->counters.collapses;
  this->collapsed = true;
  const int number = ++this->collapseNumber;
  this->After(kCollapseTime, [this, number] {
    if (number == this->collapseNumber) {
      this->Restart(false);
    }
  });
}

const std::map<std::string, UpstreamServer::Fault>& UpstreamServer::Faults()
{
  static const std::map<std::string, Fault> kFaults{
    { "cold", &UpstreamServer::DoCold },
    { "crash", &UpstreamServer::DoCrash },
    { "start", &UpstreamServer::DoStart },
    { "drain", &UpstreamServer::DoDrain },
    { "freeze", &UpstreamServer::DoFreeze },
    { "thaw", &UpstreamServer::DoThaw },
    { "shed", &UpstreamServer::DoShed },
    { "slow", &UpstreamServer::DoSlow },
    { "truncate", &UpstreamServer::DoTruncate },
    { "cross", &UpstreamServer::DoCross },
    { "unfence", &UpstreamServer::DoUnfence },
    { "mislead", &UpstreamServer::DoMislead },
  };
  return kFaults;
}

bool UpstreamServer::Apply(const std::string& aFault, const json& aBody)
{
  const auto found = Faults().find(aFault);
  if (found == Faults().end()) {
    return false;
  }
  (this->*found->second)(aBody);
  return true;
}

void UpstreamServer::DoCold(const json& aBody)
{
  this->Restart(aBody.value("forget_fence", false));
}

void UpstreamServer::DoCrash(const json& /*aBody*/)
{
  this->down = true;
  this->Restart(false);
}

void UpstreamServer::DoStart(const json& /*aBody*/)
{
  this->down = false;
  if (!this->server) {
    this->Listen();
  }
}

void UpstreamServer::DoDrain(const json& aBody)
{
  this->upstream.SetDraining(aBody.value("on", true), steady_clock::now());
}

void UpstreamServer::DoFreeze(const json& /*aBody*/)
{
  this->frozen = true;
}

void UpstreamServer::DoThaw(const json& /*aBody*/)
{
  this->frozen = false;
  // Only what was held until now: it may be held again.
  const auto due = std::exchange(this->held, {});
  std::ranges::for_each(due, [](const auto& aWork) { aWork(); });
}

void UpstreamServer::DoShed(const json& aBody)
{
  this->pending.shedProbability = aBody.value("probability", 1.0);
}

void UpstreamServer::DoSlow(const json& aBody)
{
  this->slowFactor = aBody.value("factor", 1.0);
  const int number = ++this->slowNumber;
  if (const milliseconds time(aBody.value("for_ms", 0)); time.count() > 0) {
    this->After(time, [this, number] {
      this->slowFactor = number == this->slowNumber ? 1 : this->slowFactor;
    });
  }
}

void UpstreamServer::DoTruncate(const json& aBody)
{
  this->pending.truncate = aBody.value("next", 0);
  this->pending.truncateProbability = aBody.value("probability", 0.0);
}

void UpstreamServer::DoCross(const json& aBody)
{
  this->pending.cross = aBody.value("next", 0);
  this->pending.crossProbability = aBody.value("probability", 0.0);
}

void UpstreamServer::DoUnfence(const json& aBody)
{
  this->upstream.SetChecksFence(!aBody.value("on", true));
}

void UpstreamServer::DoMislead(const json& aBody)
{
  this->misleads = aBody.value("on", true);
}

json UpstreamServer::Status() const
{
  return { { "service", this->options.plan.service },
           { "id", this->options.plan.id },
           { "data_centre", this->options.plan.dataCentre },
           { "state", UpstreamStateName(this->upstream.State()) },
           { "incarnation", this->upstream.Incarnation() },
           { "epoch", this->upstream.SeenEpoch() },
           { "running", this->upstream.Running() },
           { "grants", this->upstream.Grants().size() },
           { "ran", this->counters.ran },
           { "shed", this->counters.shed },
           { "fenced", this->counters.fenced },
           { "aborted", this->counters.aborted },
           { "collapses", this->counters.collapses },
           { "truncated", this->counters.truncated },
           { "crossed", this->counters.crossed } };
}

} // namespace kumquat::standins
