// Reads a JSON text into a tree that knows the line of each value, and takes
// fields out of it with their type and bounds checked.

#pragma once

#include "state/configuration.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::state {

using JsonPointer = nlohmann::json::json_pointer;

// A text with the line of each value, and the faults found in it so far.
class TextReader
{
public:
  // Syntax faults and repeated names stand in Faults() afterwards; where the
  // syntax is wrong, Root() is null.
  explicit TextReader(std::string_view aText);

  const nlohmann::json& Root() const { return this->root; }
  bool IsSyntaxRight() const { return this->syntaxRight; }

  void AddFault(const JsonPointer& aPlace, std::string aMessage);

  // In the order of the text.
  std::vector<TextFault> TakeFaults();
  bool HasFaults() const { return !this->faults.empty(); }

private:
  int LineOf(const JsonPointer& aPlace) const;

  nlohmann::json root;
  bool syntaxRight = false;
  // By JSON pointer; every value of the text has its entry.
  std::map<std::string, int> lines;
  std::vector<TextFault> faults;
};

struct IntegerBounds
{
  std::int64_t least = 0;
  std::int64_t most = 0;
};

// One object of a text. Each call takes one field; what was not taken by the
// end is an unknown name.
class ObjectReader
{
public:
  ObjectReader(TextReader& aReader, const nlohmann::json& aObject,
               JsonPointer aPlace);

  // Each adds a fault and returns nothing where the field is of another kind
  // or out of bounds; a field that is not there gives nothing.
  std::optional<std::string> String(std::string_view aName);
  std::optional<bool> Boolean(std::string_view aName);
  std::optional<std::int64_t> Integer(std::string_view aName,
                                      IntegerBounds aBounds);
  std::optional<double> Number(std::string_view aName, double aLeast,
                               double aMost);
  // A text with its unit, as "1500ms" or "2.5s".
  std::optional<std::chrono::milliseconds> Time(std::string_view aName);
  const nlohmann::json* Array(std::string_view aName);

  // A field that is not there, or is empty, is a fault.
  std::string NeededString(std::string_view aName);

  void AddFault(std::string_view aName, std::string aMessage);
  JsonPointer PlaceOf(std::string_view aName) const;

  // Names that no call has asked for are faults.
  void Finish();

private:
  const nlohmann::json* Take(std::string_view aName);

  TextReader& reader;
  const nlohmann::json& object;
  JsonPointer place;
  std::vector<std::string> asked;
};

} // namespace kumquat::state
