// The phases of one run of a host, from its start to its end.

#pragma once

#include "coordination/membership.h"

#include <memory>

namespace kumquat::coordination {

enum class LifeEvent
{
  kStarted,
  kOldRunFound,
  kOldRunOver,
  kRegistered,
  kConfirmed,
  kLapsed,
  kStopped,
  kEnded,
};

class HostLife
{
public:
  HostLife();
  ~HostLife();
  HostLife(const HostLife&) = delete;
  HostLife& operator=(const HostLife&) = delete;

  // An event that means nothing in the present phase changes nothing.
  void Process(LifeEvent aEvent);
  HostPhase Phase() const;

private:
  class Machine;
  std::unique_ptr<Machine> machine;
};

} // namespace kumquat::coordination
