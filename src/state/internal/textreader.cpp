// JSON texts with lines. nlohmann's parser does the parsing; its events, with
// an iterator that counts what the parser has consumed, give the lines.

#include "state/internal/textreader.h"

#include "framework/durationtext.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <utility>

namespace kumquat::state {

namespace {

// Reports how far the parser has come.
class CountingIterator
{
public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  CountingIterator(const char* aPosition, const char** aReached)
    : position(aPosition)
    , reached(aReached)
  {
  }

  reference operator*() const { return *this->position; }

  CountingIterator& operator++()
  {
    ++this->position;
    *this->reached = this->position;
    return *this;
  }

  CountingIterator operator++(int)
  {
    CountingIterator before = *this;
    ++*this;
    return before;
  }

  friend bool operator==(const CountingIterator& aLeft,
                         const CountingIterator& aRight)
  {
    return aLeft.position == aRight.position;
  }

private:
  const char* position;
  const char** reached;
};

std::string WithoutPrefix(std::string_view aWhat)
{
  // "[json.exception.parse_error.101] parse error at line 1, column 2: ..."
  const std::size_t end = aWhat.find(": ");
  return std::string(end == std::string_view::npos ? aWhat
                                                   : aWhat.substr(end + 2));
}

// Listens to the parser: notes the line of each value and repeated names.
class LineRecorder : public nlohmann::json_sax<nlohmann::json>
{
public:
  LineRecorder(std::string_view aText, const char* const& aReached)
    : text(aText)
    , reached(aReached)
    , counted(aText.data())
  {
  }

  bool null() override { return this->Value(); }
  bool boolean(bool) override { return this->Value(); }
  bool number_integer(number_integer_t) override { return this->Value(); }
  bool number_unsigned(number_unsigned_t) override { return this->Value(); }
  bool number_float(number_float_t, const string_t&) override
  {
    return this->Value();
  }
  bool string(string_t&) override { return this->Value(); }
  bool binary(binary_t&) override { return this->Value(); }

  bool start_object(std::size_t) override
  {
    this->Value();
    this->open.push_back({ this->current, {}, std::nullopt });
    return true;
  }

  bool key(string_t& aName) override
  {
    Container& object = this->open.back();
    this->current = object.place / aName;
    if (!object.names.insert(aName).second) {
      this->faults.push_back(
        { this->Line(), this->current.to_string(), "stands here twice" });
    }
    return true;
  }

  bool end_object() override { return this->Close(); }

  bool start_array(std::size_t) override
  {
    this->Value();
    this->open.push_back({ this->current, {}, 0 });
    return true;
  }

  bool end_array() override { return this->Close(); }

  bool parse_error(std::size_t, const std::string&,
                   const nlohmann::json::exception& aError) override
  {
    this->faults.push_back({ this->Line(), this->current.to_string(),
                             WithoutPrefix(aError.what()) });
    return false;
  }

  std::map<std::string, int> lines;
  std::vector<TextFault> faults;

private:
  struct Container
  {
    JsonPointer place;
    std::set<std::string> names;
    // Only an array has one.
    std::optional<std::size_t> nextIndex;
  };

  bool Value()
  {
    if (!this->open.empty() && this->open.back().nextIndex) {
      Container& array = this->open.back();
      this->current = array.place / *array.nextIndex;
      ++*array.nextIndex;
    }
    this->lines.insert_or_assign(this->current.to_string(), this->Line());
    return true;
  }

  bool Close()
  {
    this->current = this->open.back().place;
    this->open.pop_back();
    return true;
  }

  // The last consumed character is left out: after a number it is the one
  // behind it, which may be the line's end already. Something is consumed
  // before the first event, as the text is not empty.
  int Line()
  {
    const char* const last = std::max(this->counted, std::prev(this->reached));
    this->line += static_cast<int>(std::count(this->counted, last, '\n'));
    this->counted = last;
    return this->line;
  }

  std::string_view text;
  const char* const& reached;
  // Lines are counted up to here; never behind `reached`.
  const char* counted;
  int line = 1;
  JsonPointer current;
  std::vector<Container> open;
};

std::string KindOf(const nlohmann::json& aValue)
{
  return aValue.type_name();
}

} // namespace

TextReader::TextReader(std::string_view aText)
{
  if (aText.empty()) {
    this->faults.push_back({ 1, "", "the text is empty" });
    return;
  }
  const char* reached = aText.data();
  LineRecorder recorder(aText, reached);
  this->syntaxRight = nlohmann::json::sax_parse(
    CountingIterator(aText.data(), &reached),
    CountingIterator(aText.data() + aText.size(), &reached), &recorder);
  this->lines = std::move(recorder.lines);
  this->faults = std::move(recorder.faults);
  if (this->syntaxRight) {
    this->root = nlohmann::json::parse(aText, nullptr, false);
  }
}

void TextReader::AddFault(const JsonPointer& aPlace, std::string aMessage)
{
  this->faults.push_back(
    { this->LineOf(aPlace), aPlace.to_string(), std::move(aMessage) });
}

std::vector<TextFault> TextReader::TakeFaults()
{
  std::ranges::stable_sort(this->faults, {}, &TextFault::line);
  return std::move(this->faults);
}

int TextReader::LineOf(const JsonPointer& aPlace) const
{
  // A field that is not there has the line of its object.
  const auto found = this->lines.find(aPlace.to_string());
  if (found != this->lines.end()) {
    return found->second;
  }
  return aPlace.empty() ? 1 : this->LineOf(aPlace.parent_pointer());
}

ObjectReader::ObjectReader(TextReader& aReader, const nlohmann::json& aObject,
                           JsonPointer aPlace)
  : reader(aReader)
  , object(aObject)
  , place(std::move(aPlace))
{
  if (!aObject.is_object()) {
    this->reader.AddFault(this->place,
                          "must be an object, not " + KindOf(aObject));
  }
}

std::optional<std::string> ObjectReader::String(std::string_view aName)
{
  const nlohmann::json* const value = this->Take(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_string()) {
    this->AddFault(aName, "must be a string, not " + KindOf(*value));
    return std::nullopt;
  }
  return value->get<std::string>();
}

std::optional<bool> ObjectReader::Boolean(std::string_view aName)
{
  const nlohmann::json* const value = this->Take(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_boolean()) {
    this->AddFault(aName, "must be true or false, not " + KindOf(*value));
    return std::nullopt;
  }
  return value->get<bool>();
}

std::optional<std::int64_t> ObjectReader::Integer(std::string_view aName,
                                                  IntegerBounds aBounds)
{
  const nlohmann::json* const value = this->Take(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  const std::string range = "must be an integer from " +
                            std::to_string(aBounds.least) + " to " +
                            std::to_string(aBounds.most);
  if (!value->is_number_integer()) {
    this->AddFault(aName, range + ", not " + value->dump());
    return std::nullopt;
  }
  // Beyond 63 bits a conversion would wrap round into the bounds.
  const bool tooLarge =
    value->is_number_unsigned() &&
    value->get<std::uint64_t>() > static_cast<std::uint64_t>(aBounds.most);
  if (tooLarge || value->get<std::int64_t>() < aBounds.least ||
      value->get<std::int64_t>() > aBounds.most) {
    this->AddFault(aName, range + ", not " + value->dump());
    return std::nullopt;
  }
  return value->get<std::int64_t>();
}

std::optional<double> ObjectReader::Number(std::string_view aName,
                                           double aLeast, double aMost)
{
  const nlohmann::json* const value = this->Take(aName);
  if (value == nullptr) {
    return std::nullopt;
  }
  if (!value->is_number() || value->get<double>() < aLeast ||
      value->get<double>() > aMost) {
    this->AddFault(aName, "must be a number from " + std::to_string(aLeast) +
                            " to " + std::to_string(aMost) + ", not " +
                            value->dump());
    return std::nullopt;
  }
  return value->get<double>();
}

std::optional<std::chrono::milliseconds> ObjectReader::Time(
  std::string_view aName)
{
  const auto text = this->String(aName);
  if (!text) {
    return std::nullopt;
  }
  const auto time = ParseDuration(*text);
  if (!time) {
    this->AddFault(aName,
                   "must be a time with its unit, as \"1500ms\", not \"" +
                     *text + "\"");
  }
  return time;
}

const nlohmann::json* ObjectReader::Array(std::string_view aName)
{
  const nlohmann::json* const value = this->Take(aName);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_array()) {
    this->AddFault(aName, "must be an array, not " + KindOf(*value));
    return nullptr;
  }
  return value;
}

std::string ObjectReader::NeededString(std::string_view aName)
{
  if (this->object.is_object() && !this->object.contains(aName)) {
    this->AddFault(aName, "is missing");
  }
  const std::optional<std::string> value = this->String(aName);
  if (value && value->empty()) {
    this->AddFault(aName, "must not be empty");
  }
  return value.value_or(std::string());
}

void ObjectReader::AddFault(std::string_view aName, std::string aMessage)
{
  this->reader.AddFault(this->PlaceOf(aName), std::move(aMessage));
}

JsonPointer ObjectReader::PlaceOf(std::string_view aName) const
{
  return this->place / std::string(aName);
}

void ObjectReader::Finish()
{
  if (!this->object.is_object()) {
    return;
  }
  for (const auto& [name, value] : this->object.items()) {
    if (std::ranges::find(this->asked, name) == this->asked.end()) {
      this->AddFault(name, "is not a known name");
    }
  }
}

const nlohmann::json* ObjectReader::Take(std::string_view aName)
{
  this->asked.emplace_back(aName);
  if (!this->object.is_object()) {
    return nullptr;
  }
  const auto found = this->object.find(aName);
  return found == this->object.end() ? nullptr : &*found;
}

} // namespace kumquat::state
