// Ranges and names of key parts, and the choice of their number.

#include "ownership/keyparts.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <utility>

namespace kumquat::ownership {

namespace {

constexpr std::uint32_t kKeyCount = std::uint32_t{ kLastKey } + 1;
// Separates a service's name from its part; see PartName.
constexpr char kPartMark = '#';
// An assignment of this many upstreams fits into a row of 64 KB with room for
// several ranges each, and its leases take some 500 commands a second.
constexpr std::size_t kMaxUpstreamsOfPart = 500;
// A new layout has about so many upstreams in each part, so that neither growth
// nor loss of a third leads to the next change.
constexpr std::size_t kUpstreamsOfNewPart = 350;
constexpr std::size_t kMinUpstreamsOfPart = 100;

std::uint32_t FirstKeyOf(const KeyLayout& aLayout, int aIndex)
{
  return static_cast<std::uint32_t>(std::uint64_t{ kKeyCount } *
                                    static_cast<std::uint64_t>(aIndex) /
                                    static_cast<std::uint64_t>(aLayout.parts));
}

bool IsValid(const KeyLayout& aLayout)
{
  return aLayout.generation > 0 && aLayout.parts > 0 &&
         aLayout.parts <= static_cast<int>(kKeyCount) &&
         aLayout.previousParts > 0;
}

} // namespace

Key KeyPart::First() const
{
  return static_cast<Key>(FirstKeyOf(this->layout, this->index));
}

Key KeyPart::Last() const
{
  return static_cast<Key>(FirstKeyOf(this->layout, this->index + 1) - 1);
}

KeyPart FindPart(const KeyLayout& aLayout, Key aKey)
{
  // The quotient may be one too low, as the parts' first keys are rounded down.
  auto index =
    static_cast<int>(std::uint64_t{ aKey } *
                     static_cast<std::uint64_t>(aLayout.parts) / kKeyCount);
  if (FirstKeyOf(aLayout, index + 1) <= aKey) {
    ++index;
  }
  return { aLayout, index };
}

std::vector<KeyPart> PartsOf(const KeyLayout& aLayout)
{
  std::vector<KeyPart> parts;
  parts.reserve(static_cast<std::size_t>(aLayout.parts));
  for (int i = 0; i < aLayout.parts; ++i) {
    parts.push_back({ aLayout, i });
  }
  return parts;
}

std::vector<KeyPart> PreviousPartsOf(const KeyPart& aPart)
{
  const KeyLayout before{ aPart.layout.generation - 1,
                          aPart.layout.previousParts, 1 };
  std::vector<KeyPart> parts = PartsOf(before);
  std::erase_if(parts, [&aPart](const KeyPart& aOther) {
    return aOther.Last() < aPart.First() || aOther.First() > aPart.Last();
  });
  return parts;
}

std::uint64_t UpstreamOrder(const state::UpstreamId& aUpstream)
{
  return XXH3_64bits(aUpstream.value.data(), aUpstream.value.size());
}

int PartOfUpstream(const KeyLayout& aLayout, const state::UpstreamId& aUpstream)
{
  constexpr unsigned kHalf = 32;
  return static_cast<int>(((UpstreamOrder(aUpstream) >> kHalf) *
                           static_cast<std::uint64_t>(aLayout.parts)) >>
                          kHalf);
}

std::string PartName(const state::ServiceName& aService, const KeyPart& aPart)
{
  return aPart.layout.IsDivided()
           ? fmt::format("{}{}{}.{}.{}.{}", aService.value, kPartMark,
                         aPart.layout.generation, aPart.layout.previousParts,
                         aPart.layout.parts, aPart.index)
           : aService.value;
}

NamedPart ParsePartName(std::string_view aName)
{
  NamedPart undivided{ { std::string(aName) }, {} };
  const auto mark = aName.rfind(kPartMark);
  if (mark == std::string_view::npos) {
    return undivided;
  }
  NamedPart named{ { std::string(aName.substr(0, mark)) }, {} };
  const char* next = aName.data() + mark + 1;
  const char* const end = aName.data() + aName.size();
  const auto read = [&next, end](auto& aNumber) {
    const auto [rest, error] = std::from_chars(next, end, aNumber);
    const bool isRead = error == std::errc() && (rest == end || *rest == '.');
    next = rest == end ? end : rest + 1;
    return isRead;
  };
  const bool isRead = read(named.part.layout.generation) &&
                      read(named.part.layout.previousParts) &&
                      read(named.part.layout.parts) && read(named.part.index) &&
                      next == end;
  const bool isPart = isRead && IsValid(named.part.layout) &&
                      named.part.index >= 0 &&
                      named.part.index < named.part.layout.parts;
  return isPart ? named : undivided;
}

KeyLayout SuitableLayout(const KeyLayout& aCurrent, std::size_t aUpstreams)
{
  const auto parts = static_cast<std::size_t>(aCurrent.parts);
  const bool isTooLarge = aUpstreams > parts * kMaxUpstreamsOfPart;
  const bool isTooSmall = parts > 1 && aUpstreams < parts * kMinUpstreamsOfPart;
  if (!isTooLarge && !isTooSmall) {
    return aCurrent;
  }
  const std::size_t wanted = std::clamp<std::size_t>(
    (aUpstreams + kUpstreamsOfNewPart - 1) / kUpstreamsOfNewPart, 1, kKeyCount);
  if (wanted == parts) {
    return aCurrent;
  }
  return { aCurrent.generation + 1, static_cast<int>(wanted), aCurrent.parts };
}

std::string SerializeLayout(const KeyLayout& aLayout)
{
  return nlohmann::json{
    { "generation", aLayout.generation },
    { "parts", aLayout.parts },
    { "previousParts", aLayout.previousParts }
  }.dump();
}

std::optional<KeyLayout> ParseLayout(std::string_view aText)
{
  const auto text = nlohmann::json::parse(aText, nullptr, false);
  if (!text.is_object()) {
    return std::nullopt;
  }
  try {
    const KeyLayout layout{ text.at("generation").get<std::int64_t>(),
                            text.at("parts").get<int>(),
                            text.at("previousParts").get<int>() };
    return IsValid(layout) ? std::optional(layout) : std::nullopt;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

} // namespace kumquat::ownership
