// Takes fields out of the JSON text of a row that another process wrote, with
// their types and ranges checked. Nothing here throws.

#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <system_error>

namespace kumquat::state {

// Why a row cannot be used.
enum class RowFault
{
  kNone = 0,
  kNotAnObject,
  kRepeatedField,
  kMissingField,
  kWrongType,
  kOutOfRange,
  kUnknownValue,
};

const std::error_category& RowCategory();

std::error_code make_error_code(RowFault aFault);

// Once a row has a fault, later calls return values without meaning, and
// Error() tells the first fault.
class RowReader
{
public:
  explicit RowReader(std::string_view aText);

  bool Has(std::string_view aName) const;

  // Each adds a fault if the field is missing, of another type or not within
  // the given values. Texts must not be empty.
  std::string Text(std::string_view aName);
  // Empty if the field is missing.
  std::string OptionalText(std::string_view aName);
  // A number without a fraction; 3.0 is one.
  std::int64_t Integer(std::string_view aName, std::int64_t aLeast,
                       std::int64_t aMost);
  double Number(std::string_view aName, double aLeast, double aMost);
  bool Boolean(std::string_view aName);
  // A text with its unit, as "1500ms" or "2.5s".
  std::chrono::milliseconds Time(std::string_view aName);
  // One of these texts.
  std::string Choice(std::string_view aName,
                     std::initializer_list<std::string_view> aChoices);

  void AddFault(RowFault aFault);
  std::error_code Error() const { return make_error_code(this->fault); }

private:
  using TypeCheck = bool (nlohmann::json::*)() const noexcept;

  // Returns null, with a fault, if the field is missing or of another type.
  const nlohmann::json* Find(std::string_view aName, TypeCheck aIsOfType);

  nlohmann::json row;
  RowFault fault = RowFault::kNone;
};

} // namespace kumquat::state

template<>
struct std::is_error_code_enum<kumquat::state::RowFault> : std::true_type
{};
