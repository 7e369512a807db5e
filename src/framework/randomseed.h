// A seed that differs for each process and cannot be guessed.

#pragma once

#include <cstdint>
#include <random>

namespace kumquat {

inline std::uint64_t RandomSeed()
{
  std::random_device device;
  return std::uniform_int_distribution<std::uint64_t>()(device);
}

} // namespace kumquat
