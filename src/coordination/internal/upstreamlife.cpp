// The upstream's state machine.

#include "coordination/internal/upstreamlife.h"

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

template<UpstreamEvent Event>
struct On
{};

struct Definition : public msm::front::state_machine_def<Definition>
{
  UpstreamPhase phase = UpstreamPhase::kFencing;

  template<UpstreamPhase Value>
  struct In : public msm::front::state<>
  {
    template<typename Event, typename Machine>
    void on_entry(const Event& /*aEvent*/, Machine& aMachine)
    {
      aMachine.phase = Value;
    }
  };

  using Fencing = In<UpstreamPhase::kFencing>;
  using WaitingOut = In<UpstreamPhase::kWaitingOut>;
  using Ready = In<UpstreamPhase::kReady>;
  using Fenced = In<UpstreamPhase::kFenced>;
  using initial_state = Fencing;

  template<typename From, UpstreamEvent Event, typename To>
  using Row = msm::front::Row<From, On<Event>, To, none, none>;

  // The name is MSM's.
  struct transition_table // NOLINT(readability-identifier-naming)
    : public boost::mpl::vector<
        Row<Fencing, UpstreamEvent::kFenceTaken, Ready>,
        Row<Fencing, UpstreamEvent::kFenceTakenUnchecked, WaitingOut>,
        Row<WaitingOut, UpstreamEvent::kWaitedOut, Ready>,
        Row<WaitingOut, UpstreamEvent::kRestarted, Fencing>,
        Row<Ready, UpstreamEvent::kRestarted, Fencing>,
        Row<Fencing, UpstreamEvent::kOvertaken, Fenced>,
        Row<WaitingOut, UpstreamEvent::kOvertaken, Fenced>,
        Row<Ready, UpstreamEvent::kOvertaken, Fenced>>
  {};

  template<typename Machine, typename Event>
  void no_transition(const Event& /*aEvent*/, Machine& /*aMachine*/, int)
  {
  }
};

constexpr std::array<std::pair<UpstreamPhase, std::string_view>, 4> kPhases{ {
  { UpstreamPhase::kFencing, "fencing" },
  { UpstreamPhase::kWaitingOut, "waiting out" },
  { UpstreamPhase::kReady, "ready" },
  { UpstreamPhase::kFenced, "fenced" },
} };

} // namespace

std::string_view UpstreamPhaseName(UpstreamPhase aPhase)
{
  return std::ranges::find(kPhases, aPhase,
                           &decltype(kPhases)::value_type::first)
    ->second;
}

class UpstreamLife::Machine : public msm::back::state_machine<Definition>
{};

UpstreamLife::UpstreamLife()
  : machine(std::make_unique<Machine>())
{
  this->machine->start();
}

UpstreamLife::~UpstreamLife() = default;

void UpstreamLife::Process(UpstreamEvent aEvent)
{
  switch (aEvent) {
    case UpstreamEvent::kFenceTaken:
      this->machine->process_event(On<UpstreamEvent::kFenceTaken>{});
      break;
    case UpstreamEvent::kFenceTakenUnchecked:
      this->machine->process_event(On<UpstreamEvent::kFenceTakenUnchecked>{});
      break;
    case UpstreamEvent::kWaitedOut:
      this->machine->process_event(On<UpstreamEvent::kWaitedOut>{});
      break;
    case UpstreamEvent::kRestarted:
      this->machine->process_event(On<UpstreamEvent::kRestarted>{});
      break;
    case UpstreamEvent::kOvertaken:
      this->machine->process_event(On<UpstreamEvent::kOvertaken>{});
      break;
  }
}

UpstreamPhase UpstreamLife::Phase() const
{
  return this->machine->phase;
}

} // namespace kumquat::coordination
