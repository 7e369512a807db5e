// One upstream instance as it decides: its slots, its cold start, its fence
// and its grants. No I/O; time comes in with each call.

#pragma once

#include "framework/clock.h"
#include "standins/deployment.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace kumquat::standins {

enum class UpstreamState
{
  kCold,
  kWarm,
  kDraining,
};

std::string_view UpstreamStateName(UpstreamState aState);

// Whether an order to run a request is taken.
enum class Admission
{
  kRun,
  // More than its slots: refused, and surely not run.
  kShed,
  // A token that is too low, or no grant for the key.
  kFenced,
  // It was cold and got more than it bears: it falls over.
  kCollapse,
};

struct WorkOrder
{
  std::string requestId;
  std::string idempotencyKey;
  std::string key;
  std::string target;
  std::string steward;
  std::int64_t epoch = 0;
  std::int64_t sliceEpoch = 0;
};

struct Grant
{
  std::uint64_t first = 0;
  // Belongs to the grant.
  std::uint64_t last = 0;
  std::int64_t sliceEpoch = 0;
  std::int64_t sequence = 0;
  TimePoint until;
};

class Upstream
{
public:
  struct Options
  {
    bool keyed = false;
    bool cold = false;
    int slots = kUpstreamSlots;
    // Answers until it is warm; up to half of them it bears one request at a
    // time, then two.
    int coldAnswers = 20;
    // After a return to cold its stewards have that long to notice.
    std::chrono::milliseconds coldGrace{ 250 };
  };

  explicit Upstream(Options aOptions);

  // kRun takes a slot, which Finish gives back.
  Admission Admit(const WorkOrder& aOrder, TimePoint aNow);
  // Right before the request takes effect. False where its grant has lapsed
  // meanwhile: the request is then dropped and has not run.
  bool Finish(const WorkOrder& aOrder, TimePoint aNow);
  // The request ends without effect.
  void Abandon(const WorkOrder& aOrder);

  // False where the epoch is lower than one seen.
  bool Fence(std::string_view aSteward, std::int64_t aEpoch);
  bool Give(std::int64_t aEpoch, const std::string& aPart, const Grant& aGrant);
  bool Revoke(std::int64_t aEpoch, const std::string& aPart,
              std::int64_t aSliceEpoch);
  // Requests that run under this grant or an older one of the part.
  int RunningUnder(const std::string& aPart, std::int64_t aSliceEpoch) const;

  // A new process: cold, nothing runs, no grants. The fence is kept unless
  // aForgetsFence.
  void Restart(TimePoint aNow, bool aForgetsFence);
  void SetDraining(bool aDraining, TimePoint aNow);
  void SetChecksFence(bool aChecks) { this->checksFence = aChecks; }

  UpstreamState State() const { return this->state; }
  TimePoint StateSince() const { return this->stateSince; }
  std::int64_t Incarnation() const { return this->incarnation; }
  std::int64_t SeenEpoch() const { return this->seenEpoch; }
  int Running() const { return this->running; }
  // Requests that it can run at once as it is now.
  int Bears() const;
  bool ChecksFence() const { return this->checksFence; }
  const std::map<std::string, Grant>& Grants() const { return this->grants; }

private:
  bool IsFenced(const WorkOrder& aOrder, TimePoint aNow) const;
  const Grant* FindGrant(const WorkOrder& aOrder, TimePoint aNow) const;
  void SetState(UpstreamState aState, TimePoint aNow);
  void EndRun(const WorkOrder& aOrder);

  const Options options;
  UpstreamState state;
  TimePoint stateSince;
  std::int64_t incarnation = 1;
  bool checksFence = true;
  // Never goes down while the process lives.
  std::int64_t seenEpoch = 0;
  std::string steward;
  // By part; a part that was revoked stays with a grant that has lapsed, so
  // that a late renewal of it is refused.
  std::map<std::string, Grant> grants;
  // Keyed requests that run, by slice epoch and request.
  std::map<std::string, std::pair<std::uint64_t, std::int64_t>> runningKeys;
  int running = 0;
  int answersSinceCold = 0;
};

} // namespace kumquat::standins
