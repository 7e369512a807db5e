// A strongly typed name. Hosts, upstreams and the like have a type each, so
// that the compiler rejects the name of one where that of another is expected.

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
