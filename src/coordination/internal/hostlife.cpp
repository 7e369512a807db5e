// The host's state machine. Its table is the whole of it: which phase follows
// on which event.

#include "coordination/internal/hostlife.h"

#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>

namespace kumquat::coordination {

namespace {

namespace msm = boost::msm;
using msm::front::none;

template<LifeEvent Event>
struct On
{};

struct Definition : public msm::front::state_machine_def<Definition>
{
  HostPhase phase = HostPhase::kIdle;

  template<HostPhase Value>
  struct In : public msm::front::state<>
  {
    template<typename Event, typename Machine>
    void on_entry(const Event& /*aEvent*/, Machine& aMachine)
    {
      aMachine.phase = Value;
    }
  };

  using Idle = In<HostPhase::kIdle>;
  using Registering = In<HostPhase::kRegistering>;
  using Replacing = In<HostPhase::kReplacing>;
  using Waiting = In<HostPhase::kWaiting>;
  using Holding = In<HostPhase::kHolding>;
  using Leaving = In<HostPhase::kLeaving>;
  using Over = In<HostPhase::kOver>;
  using initial_state = Idle;

  template<typename From, LifeEvent Event, typename To>
  using Row = msm::front::Row<From, On<Event>, To, none, none>;

  // The name is MSM's.
  struct transition_table // NOLINT(readability-identifier-naming)
    : public boost::mpl::vector<
        Row<Idle, LifeEvent::kStarted, Registering>,
        Row<Registering, LifeEvent::kOldRunFound, Replacing>,
        Row<Replacing, LifeEvent::kOldRunOver, Registering>,
        Row<Registering, LifeEvent::kRegistered, Waiting>,
        Row<Waiting, LifeEvent::kConfirmed, Holding>,
        Row<Holding, LifeEvent::kLapsed, Waiting>,
        Row<Waiting, LifeEvent::kStopped, Leaving>,
        Row<Holding, LifeEvent::kStopped, Leaving>,
        // Stopped before it was registered: there is nothing to hand over.
        Row<Idle, LifeEvent::kStopped, Over>,
        Row<Registering, LifeEvent::kStopped, Over>,
        Row<Replacing, LifeEvent::kStopped, Over>,
        Row<Registering, LifeEvent::kEnded, Over>,
        Row<Replacing, LifeEvent::kEnded, Over>,
        Row<Waiting, LifeEvent::kEnded, Over>,
        Row<Holding, LifeEvent::kEnded, Over>,
        Row<Leaving, LifeEvent::kEnded, Over>>
  {};

  template<typename Machine, typename Event>
  void no_transition(const Event& /*aEvent*/, Machine& /*aMachine*/, int)
  {
  }
};

constexpr std::array<std::pair<HostPhase, std::string_view>, 7> kPhases{ {
  { HostPhase::kIdle, "idle" },
  { HostPhase::kRegistering, "registering" },
  { HostPhase::kReplacing, "replacing" },
  { HostPhase::kWaiting, "waiting" },
  { HostPhase::kHolding, "holding" },
  { HostPhase::kLeaving, "leaving" },
  { HostPhase::kOver, "over" },
} };

} // namespace

std::string_view HostPhaseName(HostPhase aPhase)
{
  return std::ranges::find(kPhases, aPhase,
                           &decltype(kPhases)::value_type::first)
    ->second;
}

class HostLife::Machine : public msm::back::state_machine<Definition>
{};

HostLife::HostLife()
  : machine(std::make_unique<Machine>())
{
  this->machine->start();
}

HostLife::~HostLife() = default;

void HostLife::Process(LifeEvent aEvent)
{
  switch (aEvent) {
    case LifeEvent::kStarted:
      this->machine->process_event(On<LifeEvent::kStarted>{});
      break;
    case LifeEvent::kOldRunFound:
      this->machine->process_event(On<LifeEvent::kOldRunFound>{});
      break;
    case LifeEvent::kOldRunOver:
      this->machine->process_event(On<LifeEvent::kOldRunOver>{});
      break;
    case LifeEvent::kRegistered:
      this->machine->process_event(On<LifeEvent::kRegistered>{});
      break;
    case LifeEvent::kConfirmed:
      this->machine->process_event(On<LifeEvent::kConfirmed>{});
      break;
    case LifeEvent::kLapsed:
      this->machine->process_event(On<LifeEvent::kLapsed>{});
      break;
    case LifeEvent::kStopped:
      this->machine->process_event(On<LifeEvent::kStopped>{});
      break;
    case LifeEvent::kEnded:
      this->machine->process_event(On<LifeEvent::kEnded>{});
      break;
  }
}

HostPhase HostLife::Phase() const
{
  return this->machine->phase;
}

} // namespace kumquat::coordination
