// Rendezvous hashing: hosts that know the same members give every subject the
// same ranking without a word between them.

#pragma once

#include <xxhash.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace kumquat {

// The member with the highest score of a subject is its first choice.
inline std::uint64_t RendezvousScore(std::string_view aMember,
                                     std::string_view aSubject)
{
  std::string text(aMember);
  text += '\n';
  text += aSubject;
  return XXH3_64bits(text.data(), text.size());
}

} // namespace kumquat
