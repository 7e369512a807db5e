// Rendezvous hashing: hosts that know the same members rank them alike for
// every subject, without exchanging messages.

#pragma once

#include <xxhash.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

// The score of a member for a subject. The member with the highest score is the
// subject's first choice.
inline std::uint64_t RendezvousScore(std::string_view aMember,
                                     std::string_view aSubject)
{
  std::string text(aMember);
  text += '\n';
  text += aSubject;
  return XXH3_64bits(text.data(), text.size());
}

// Number of aMembers, a range of ids, that precede aMember for the subject.
template<typename Members>
std::size_t RendezvousRank(std::string_view aMember, const Members& aMembers,
                           std::string_view aSubject)
{
  const std::uint64_t own = RendezvousScore(aMember, aSubject);
  return static_cast<std::size_t>(
    std::ranges::count_if(aMembers, [&](const auto& aOther) {
      return RendezvousScore(aOther.value, aSubject) > own;
    }));
}

} // namespace kumquat
