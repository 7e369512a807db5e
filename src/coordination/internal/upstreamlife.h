// The phases of one upstream under one steward.

#pragma once

#include "coordination/grantkeeper.h"

#include <memory>

namespace kumquat::coordination {

enum class UpstreamEvent
{
  kFenceTaken,
  // Taken by an upstream that does not check it, after another steward.
  kFenceTakenUnchecked,
  kWaitedOut,
  // The upstream has lost its fence.
  kRestarted,
  // A higher epoch was seen there.
  kOvertaken,
};

class UpstreamLife
{
public:
  UpstreamLife();
  ~UpstreamLife();
  UpstreamLife(const UpstreamLife&) = delete;
  UpstreamLife& operator=(const UpstreamLife&) = delete;

  // An event that means nothing in the present phase changes nothing.
  void Process(UpstreamEvent aEvent);
  UpstreamPhase Phase() const;

private:
  class Machine;
  std::unique_ptr<Machine> machine;
};

} // namespace kumquat::coordination
