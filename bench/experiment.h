// The experiments: what is done to a deployment under load, and the figures
// that come of it.

#pragma once

#include "testbed.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::bench {

// Figures of one run, by name.
using Figures = std::map<std::string, double>;

struct Experiment
{
  std::string_view name;
  // Runs on a deployment that has just been started. No figures where the
  // disturbance could not be made: such a run says nothing.
  Figures (*run)(Testbed&);
  // The figure that decides; smaller is better.
  std::string_view decides;
  // Whether the baselines can be put through it.
  bool hasBaseline = true;
};

std::span<const Experiment> Experiments();

// Median and spread of a figure over an experiment's rounds.
struct Spread
{
  double median = 0;
  double least = 0;
  double most = 0;
};

Spread SpreadOf(const std::vector<double>& aValues);

} // namespace kumquat::bench
