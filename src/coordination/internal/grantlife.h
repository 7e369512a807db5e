// The phases of one slice's grant at one upstream.

#pragma once

#include <memory>

namespace kumquat::coordination {

enum class GrantPhase
{
  // Wanted, and not confirmed by the upstream for a term.
  kWaiting,
  kInForce,
  kRevoking,
  kEnded,
};

enum class GrantEvent
{
  kConfirmed,
  kLapsed,
  kRevokeAsked,
  kRevoked,
  // The table gives the slice to the upstream anew.
  kGivenAgain,
};

class GrantLife
{
public:
  GrantLife();
  ~GrantLife();
  GrantLife(const GrantLife&) = delete;
  GrantLife& operator=(const GrantLife&) = delete;

  // An event that means nothing in the present phase changes nothing.
  void Process(GrantEvent aEvent);
  GrantPhase Phase() const;

private:
  class Machine;
  std::unique_ptr<Machine> machine;
};

} // namespace kumquat::coordination
