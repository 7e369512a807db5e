// The grant's state machine.

#include "coordination/internal/grantlife.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace kumquat::coordination {

namespace {

namespace msm = boost::msm;
using msm::front::none;

template<GrantEvent Event>
struct On
{};

struct Definition : public msm::front::state_machine_def<Definition>
{
  GrantPhase phase = GrantPhase::kWaiting;

  template<GrantPhase Value>
  struct In : public msm::front::state<>
  {
    template<typename Event, typename Machine>
    void on_entry(const Event& /*aEvent*/, Machine& aMachine)
    {
      aMachine.phase = Value;
    }
  };

  using Waiting = In<GrantPhase::kWaiting>;
  using InForce = In<GrantPhase::kInForce>;
  using Revoking = In<GrantPhase::kRevoking>;
  using Ended = In<GrantPhase::kEnded>;
  using initial_state = Waiting;

  template<typename From, GrantEvent Event, typename To>
  using Row = msm::front::Row<From, On<Event>, To, none, none>;

  // The name is MSM's.
  struct transition_table // NOLINT(readability-identifier-naming)
    : public boost::mpl::vector<
        Row<Waiting, GrantEvent::kConfirmed, InForce>,
        Row<InForce, GrantEvent::kLapsed, Waiting>,
        Row<Waiting, GrantEvent::kRevokeAsked, Revoking>,
        Row<InForce, GrantEvent::kRevokeAsked, Revoking>,
        Row<Revoking, GrantEvent::kRevoked, Ended>,
        Row<Revoking, GrantEvent::kGivenAgain, Waiting>,
        Row<InForce, GrantEvent::kGivenAgain, Waiting>,
        Row<Ended, GrantEvent::kGivenAgain, Waiting>>
  {};

  template<typename Machine, typename Event>
  void no_transition(const Event& /*aEvent*/, Machine& /*aMachine*/, int)
  {
  }
};

} // namespace

class GrantLife::Machine : public msm::back::state_machine<Definition>
{};

GrantLife::GrantLife()
  : machine(std::make_unique<Machine>())
{
  this->machine->start();
}

GrantLife::~GrantLife() = default;

void GrantLife::Process(GrantEvent aEvent)
{
  switch (aEvent) {
    case GrantEvent::kConfirmed:
      this->machine->process_event(On<GrantEvent::kConfirmed>{});
      break;
    case GrantEvent::kLapsed:
      this->machine->process_event(On<GrantEvent::kLapsed>{});
      break;
    case GrantEvent::kRevokeAsked:
      this->machine->process_event(On<GrantEvent::kRevokeAsked>{});
      break;
    case GrantEvent::kRevoked:
      this->machine->process_event(On<GrantEvent::kRevoked>{});
      break;
    case GrantEvent::kGivenAgain:
      this->machine->process_event(On<GrantEvent::kGivenAgain>{});
      break;
  }
}

GrantPhase GrantLife::Phase() const
{
  return this->machine->phase;
}

} // namespace kumquat::coordination
