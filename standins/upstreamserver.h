// One upstream instance as it is met over HTTP: runs requests for a time,
// answers control requests, and misbehaves as it is told.

#pragma once

#include "framework/clock.h"
#include "standins/deployment.h"
#include "standins/runlog.h"
#include "standins/upstream.h"
#include "transport/http.h"
#include "transport/httpserver.h"
#include "transport/iothread.h"

#include <nlohmann/json_fwd.hpp>
#include <pcg_random.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace kumquat::standins {

class UpstreamServer
{
public:
  struct Options
  {
    UpstreamPlan plan;
    ServicePlan service;
    std::uint64_t seed = 1;
    // Multiplies every service time.
    double timeFactor = 1;
    bool startsCold = false;
    std::chrono::milliseconds healthLag{ 1000 };
    std::chrono::milliseconds coldGrace{ 250 };
  };

  UpstreamServer(transport::IoThread& aThread, RunLog& aRuns, GrantLog& aGrants,
                 Options aOptions);
  ~UpstreamServer();
  UpstreamServer(const UpstreamServer&) = delete;
  UpstreamServer& operator=(const UpstreamServer&) = delete;

  void Listen();

  // One fault, as the scenarios name it; false where it is unknown. Throws
  // where a member has the wrong type.
  bool Apply(const std::string& aFault, const nlohmann::json& aBody);

  // Keeps what /health shows later.
  void Snapshot();

  nlohmann::json Status() const;
  const UpstreamPlan& Plan() const { return this->options.plan; }

private:
  using Respond = transport::HttpServer::Respond;
  using Fault = void (UpstreamServer::*)(const nlohmann::json&);

  // A request that runs.
  struct Task
  {
    WorkOrder order;
    RunLog::Number run = 0;
    std::int64_t incarnation = 0;
    TimePoint deadline;
    Respond respond;
  };

  struct Waiter
  {
    std::string part;
    std::int64_t sliceEpoch = 0;
    Respond respond;
  };

  struct HealthView
  {
    TimePoint at;
    std::string text;
  };

  // Faults that wait for their next requests.
  struct Pending
  {
    int truncate = 0;
    int cross = 0;
    double truncateProbability = 0;
    double crossProbability = 0;
    double shedProbability = 0;
  };

  struct Counters
  {
    long long ran = 0;
    long long shed = 0;
    long long fenced = 0;
    long long aborted = 0;
    long long collapses = 0;
    long long truncated = 0;
    long long crossed = 0;
  };

  void Take(transport::HttpRequest aRequest, Respond aRespond);
  bool TakeControl(const transport::HttpRequest& aRequest,
                   const Respond& aRespond);
  void Work(const transport::HttpRequest& aRequest, Respond aRespond);
  void StartTask(const transport::HttpRequest& aRequest, WorkOrder aOrder,
                 Respond aRespond);
  void EndTask(std::uint64_t aTask);
  void Answer(const Task& aTask);
  transport::HttpResponse MakeAnswer(const Task& aTask) const;
  transport::HttpResponse MakeBlob(const Task& aTask,
                                   std::uint64_t aLength) const;
  transport::HttpResponse Refusal(const std::string& aRequestId, int aStatus,
                                  const char* aError) const;
  void AddHeaders(const std::string& aRequestId,
                  transport::HttpResponse& aResponse) const;
  Duration ServiceTime();

  transport::HttpResponse Health() const;
  std::string HealthText() const;
  transport::HttpResponse TakeFence(const nlohmann::json& aBody);
  std::int64_t ClockMillis(TimePoint aNow) const;
  TimePoint GrantEnd(const nlohmann::json& aBody, TimePoint aNow) const;
  transport::HttpResponse TakeGrant(const nlohmann::json& aBody);
  void TakeRevoke(const nlohmann::json& aBody, const Respond& aRespond);
  void WakeWaiters();

  bool Chance(double aProbability);
  bool IsFrozen() const;
  void Collapse();
  void LoseTasks();
  void Restart(bool aForgetsFence);
  void CloseConnections();
  void After(Duration aDelay, std::function<void()> aWork);

  void DoCold(const nlohmann::json& aBody);
  void DoCrash(const nlohmann::json& aBody);
  void DoStart(const nlohmann::json& aBody);
  void DoDrain(const nlohmann::json& aBody);
  void DoFreeze(const nlohmann::json& aBody);
  void DoThaw(const nlohmann::json& aBody);
  void DoShed(const nlohmann::json& aBody);
  void DoSlow(const nlohmann::json& aBody);
  void DoTruncate(const nlohmann::json& aBody);
  void DoCross(const nlohmann::json& aBody);
  void DoUnfence(const nlohmann::json& aBody);
  void DoMislead(const nlohmann::json& aBody);

  static const std::map<std::string, Fault>& Faults();

  transport::IoThread& thread;
  RunLog& runs;
  GrantLog& grants;
  const Options options;
  pcg64 random;
  std::lognormal_distribution<double> serviceTime;
  Upstream upstream;
  // Crashed, and not started again.
  bool down = false;
  // Null while the instance is down, or between two processes.
  std::unique_ptr<transport::HttpServer> server;
  std::map<std::uint64_t, Task> tasks;
  std::uint64_t lastTask = 0;
  std::vector<Waiter> waiters;
  bool frozen = false;
  // While what was held is closed, at the end of a process.
  bool ending = false;
  // Counts collapses and restarts, so that the end of an older one is told.
  int collapseNumber = 0;
  bool collapsed = false;
  // What came or fell due while frozen, in that order.
  std::deque<std::function<void()>> held;
  double slowFactor = 1;
  int slowNumber = 0;
  bool misleads = false;
  Pending pending;
  Counters counters;
  std::deque<HealthView> healthViews;
  // For crossed answers: another request's.
  transport::HttpResponse lastAnswer{ .status = transport::kNoAnswer };
};

} // namespace kumquat::standins
