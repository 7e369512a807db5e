// Rendezvous hashing: hosts that know the same members rank them alike for
// every subject, without exchanging messages.

#pragma once

#include <xxhash.h>

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

} // namespace kumquat
