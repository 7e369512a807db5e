// The operators' text: the services, what each depends on, and its limits.

#pragma once

#include "framework/result.h"
#include "state/types.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace kumquat::state {

// In the order in which work is taken.
enum class WorkClass
{
  kUrgent,
  kBooking,
  kDownload,
  kDeferrable,
};

std::string_view WorkClassName(WorkClass aClass);

struct ServiceConfiguration
{
  ServiceName name;
  // Divided by key: a key's requests go to its slice's owner only.
  bool keyed = false;
  // May be run again after a failure.
  bool idempotent = true;
  WorkClass workClass = WorkClass::kUrgent;
  // Where a caller names none, and the most that a caller may ask for.
  std::chrono::milliseconds deadline{ 2000 };
  std::vector<ServiceName> dependsOn;
  // Requests that may run at once at one upstream.
  int slots = 3;
  // Requests that may wait at one steward for one upstream.
  int queue = 64;
  // Slices that a keyed service's keys are divided into at first.
  int slices = 64;
  std::size_t maxBodyBytes = 1U << 20U;
};

struct Configuration
{
  Version version = 0;
  std::vector<ServiceConfiguration> services;

  const ServiceConfiguration* Find(const ServiceName& aName) const;
};

// One fault of a text, with where it stands.
struct TextFault
{
  int line = 0;
  // A JSON pointer, as "/services/0/deadline_ms".
  std::string path;
  std::string message;
};

using CheckedConfiguration =
  std::variant<Configuration, std::vector<TextFault>>;

// Checks the whole text: syntax, unknown names, bounds, unknown or circular
// dependencies. Lists every fault, not only the first.
CheckedConfiguration ParseConfiguration(std::string_view aText);

} // namespace kumquat::state
