// Parsing of a row's text, and checks of its fields.

#include "state/rowreader.h"

#include "framework/durationtext.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <utility>

namespace kumquat::state {

using nlohmann::json;

namespace {

constexpr std::array<std::pair<RowFault, const char*>, 7> kFaults{ {
  { RowFault::kNone, "none" },
  { RowFault::kNotAnObject, "not-an-object" },
  { RowFault::kRepeatedField, "repeated-field" },
  { RowFault::kMissingField, "missing-field" },
  { RowFault::kWrongType, "wrong-type" },
  { RowFault::kOutOfRange, "out-of-range" },
  { RowFault::kUnknownValue, "unknown-value" },
} };

class Category : public std::error_category
{
public:
  const char* name() const noexcept override { return "row"; }

  std::string message(int aNumber) const override
  {
    const auto* const found =
      std::ranges::find(kFaults, static_cast<RowFault>(aNumber),
                        &std::pair<RowFault, const char*>::first);
    return found == kFaults.end() ? "unknown" : found->second;
  }
};

// Doubles above it do not stand for one whole number each.
constexpr double kMaxExactDouble = 9007199254740992.0;

// Returns nullopt for a fraction, and for what no 64-bit integer holds.
std::optional<std::int64_t> WholeNumber(const json& aValue)
{
  constexpr auto kMost = std::numeric_limits<std::int64_t>::max();
  if (aValue.is_number_unsigned()) {
    const auto number = aValue.get<std::uint64_t>();
    return number <= static_cast<std::uint64_t>(kMost)
             ? std::optional(static_cast<std::int64_t>(number))
             : std::nullopt;
  }
  if (aValue.is_number_integer()) {
    return aValue.get<std::int64_t>();
  }
  const auto number = aValue.get<double>();
  const bool isWhole =
    std::abs(number) <= kMaxExactDouble && std::trunc(number) == number;
  return isWhole ? std::optional(static_cast<std::int64_t>(number))
                 : std::nullopt;
}

} // namespace

const std::error_category& RowCategory()
{
  static const Category kCategory;
  return kCategory;
}

std::error_code make_error_code(RowFault aFault)
{
  return { static_cast<int>(aFault), RowCategory() };
}

RowReader::RowReader(std::string_view aText)
{
  std::set<std::string, std::less<>> names;
  bool isRepeated = false;
  this->row = json::parse(
    aText,
    [&](int aDepth, json::parse_event_t aEvent, json& aParsed) {
      if (aDepth == 1 && aEvent == json::parse_event_t::key) {
        isRepeated |=
          !names.insert(aParsed.get_ref<const std::string&>()).second;
      }
      return true;
    },
    false);
  if (!this->row.is_object()) {
    this->AddFault(RowFault::kNotAnObject);
  } else if (isRepeated) {
    this->AddFault(RowFault::kRepeatedField);
  }
}

bool RowReader::Has(std::string_view aName) const
{
  return this->row.is_object() && this->row.contains(aName);
}

std::string RowReader::Text(std::string_view aName)
{
  const json* const value = this->Find(aName, &json::is_string);
  if (value == nullptr) {
    return {};
  }
  const auto& text = value->get_ref<const std::string&>();
  if (text.empty()) {
    this->AddFault(RowFault::kOutOfRange);
  }
  return text;
}

std::string RowReader::OptionalText(std::string_view aName)
{
  const json* const value =
    this->Has(aName) ? this->Find(aName, &json::is_string) : nullptr;
  return value == nullptr ? std::string() : value->get<std::string>();
}

std::int64_t RowReader::Integer(std::string_view aName, std::int64_t aLeast,
                                std::int64_t aMost)
{
  const json* const value = this->Find(aName, &json::is_number);
  const auto number = value == nullptr ? std::nullopt : WholeNumber(*value);
  if (!number || *number < aLeast || *number > aMost) {
    this->AddFault(RowFault::kOutOfRange);
    return aLeast;
  }
  return *number;
}

double RowReader::Number(std::string_view aName, double aLeast, double aMost)
{
  const json* const value = this->Find(aName, &json::is_number);
  const double number = value == nullptr ? aLeast : value->get<double>();
  if (!(number >= aLeast && number <= aMost)) {
    this->AddFault(RowFault::kOutOfRange);
    return aLeast;
  }
  return number;
}

bool RowReader::Boolean(std::string_view aName)
{
  const json* const value = this->Find(aName, &json::is_boolean);
  return value != nullptr && value->get<bool>();
}

std::chrono::milliseconds RowReader::Time(std::string_view aName)
{
  const std::string text = this->Text(aName);
  const auto time = ParseDuration(text);
  if (!time) {
    this->AddFault(RowFault::kOutOfRange);
  }
  return time.value_or(std::chrono::milliseconds(0));
}

std::string RowReader::Choice(std::string_view aName,
                              std::initializer_list<std::string_view> aChoices)
{
  std::string text = this->Text(aName);
  if (std::ranges::find(aChoices, text) == aChoices.end()) {
    this->AddFault(RowFault::kUnknownValue);
  }
  return text;
}

void RowReader::AddFault(RowFault aFault)
{
  if (this->fault == RowFault::kNone) {
    this->fault = aFault;
  }
}

const json* RowReader::Find(std::string_view aName, TypeCheck aIsOfType)
{
  if (!this->Has(aName)) {
    this->AddFault(RowFault::kMissingField);
    return nullptr;
  }
  const json& value = *this->row.find(aName);
  if (!(value.*aIsOfType)()) {
    this->AddFault(RowFault::kWrongType);
    return nullptr;
  }
  return &value;
}

} // namespace kumquat::state
