// Names of hosts, upstreams and the like as types of their own, so that one is
// not taken for another.

#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <string>

namespace kumquat {

template<typename Tag>
struct Id
{
  std::string value;

  friend auto operator<=>(const Id&, const Id&) = default;
  friend bool operator==(const Id&, const Id&) = default;
};

} // namespace kumquat

template<typename Tag>
struct std::hash<kumquat::Id<Tag>>
{
  std::size_t operator()(const kumquat::Id<Tag>& aId) const noexcept
  {
    return std::hash<std::string>{}(aId.value);
  }
};
