// The small language of the stories: Lua with functions over a Scenario.

#pragma once

#include "scenarios/scenario.h"

#include <filesystem>

namespace kumquat::scenarios {

// Runs a story to its end. What fails in it is noted in the scenario.
void RunStory(Scenario& aScenario, const std::filesystem::path& aFile);

} // namespace kumquat::scenarios
