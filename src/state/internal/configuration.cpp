// Checks the operators' text as a whole before anything of it is used.

#include "state/configuration.h"

#include "state/internal/textreader.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <optional>
#include <ranges>
#include <unordered_map>
#include <utility>

namespace kumquat::state {

namespace {

struct ClassName
{
  WorkClass workClass;
  std::string_view name;
};

constexpr std::array kClassNames = {
  ClassName{ WorkClass::kUrgent, "urgent" },
  ClassName{ WorkClass::kBooking, "booking" },
  ClassName{ WorkClass::kDownload, "download" },
  ClassName{ WorkClass::kDeferrable, "deferrable" },
};

constexpr IntegerBounds kDeadlineBounds{ 1, 600'000 };
constexpr IntegerBounds kSlotsBounds{ 1, 1024 };
constexpr IntegerBounds kQueueBounds{ 0, 65'536 };
constexpr IntegerBounds kSlicesBounds{ 1, 65'536 };
constexpr IntegerBounds kBodyBounds{ 0, std::int64_t{ 1 } << 30U };
constexpr std::size_t kMaxNameLength = 64;

// Names go into headers, into rows' names and into metrics' labels.
bool IsServiceName(std::string_view aName)
{
  const auto allowed = [](char aLetter) {
    return (aLetter >= 'a' && aLetter <= 'z') ||
           (aLetter >= 'A' && aLetter <= 'Z') ||
           (aLetter >= '0' && aLetter <= '9') || aLetter == '-' ||
           aLetter == '_' || aLetter == '.';
  };
  return !aName.empty() && aName.size() <= kMaxNameLength &&
         std::ranges::all_of(aName, allowed);
}

std::optional<WorkClass> FindWorkClass(std::string_view aName)
{
  const auto found = std::ranges::find(kClassNames, aName, &ClassName::name);
  if (found == kClassNames.end()) {
    return std::nullopt;
  }
  return found->workClass;
}

class ConfigurationReader
{
public:
  explicit ConfigurationReader(std::string_view aText)
    : reader(aText)
  {
  }

  CheckedConfiguration Read()
  {
    if (!this->reader.IsSyntaxRight()) {
      return this->reader.TakeFaults();
    }
    this->ReadServices();
    this->CheckNames();
    this->CheckDependencies();
    if (this->reader.HasFaults()) {
      return this->reader.TakeFaults();
    }
    return std::move(this->configuration);
  }

private:
  enum class Mark
  {
    kNew,
    kOpen,
    kDone,
  };

  static JsonPointer PlaceOf(std::size_t aService)
  {
    return JsonPointer("/services") / aService;
  }

  static JsonPointer PlaceOf(std::size_t aService, std::size_t aDependency)
  {
    return PlaceOf(aService) / "depends_on" / aDependency;
  }

  void ReadServices()
  {
    ObjectReader fields(this->reader, this->reader.Root(), JsonPointer());
    const nlohmann::json* const services = fields.Array("services");
    if (services == nullptr && this->reader.Root().is_object() &&
        !this->reader.Root().contains("services")) {
      fields.AddFault("services", "is missing");
    }
    if (services != nullptr) {
      // A text without services would take every caller's work away.
      if (services->empty()) {
        fields.AddFault("services", "lists no service");
      }
      for (std::size_t i = 0; i < services->size(); ++i) {
        this->ReadService((*services)[i], i);
      }
    }
    fields.Finish();
  }

  void ReadService(const nlohmann::json& aValue, std::size_t aIndex)
  {
    ObjectReader fields(this->reader, aValue, PlaceOf(aIndex));
    ServiceConfiguration service;
    service.name.value = fields.NeededString("name");
    service.keyed = fields.Boolean("keyed").value_or(service.keyed);
    service.idempotent =
      fields.Boolean("idempotent").value_or(service.idempotent);
    ReadClass(fields, service);
    ReadLimits(fields, service);
    this->ReadDependencies(fields, service, aIndex);
    fields.Finish();
    this->configuration.services.push_back(std::move(service));
  }

  static void ReadClass(ObjectReader& aFields, ServiceConfiguration& aService)
  {
    const std::optional<std::string> name = aFields.String("class");
    if (!name) {
      return;
    }
    const std::optional<WorkClass> workClass = FindWorkClass(*name);
    if (!workClass) {
      aFields.AddFault(
        "class",
        "must be one of urgent, booking, download, deferrable, not \"" + *name +
          "\"");
    }
    aService.workClass = workClass.value_or(aService.workClass);
  }

  static void ReadLimits(ObjectReader& aFields, ServiceConfiguration& aService)
  {
    const auto deadline = aFields.Integer("deadline_ms", kDeadlineBounds);
    if (deadline) {
      aService.deadline = std::chrono::milliseconds(*deadline);
    }
    aService.slots = static_cast<int>(
      aFields.Integer("slots", kSlotsBounds).value_or(aService.slots));
    aService.queue = static_cast<int>(
      aFields.Integer("queue", kQueueBounds).value_or(aService.queue));
    aService.slices = static_cast<int>(
      aFields.Integer("slices", kSlicesBounds).value_or(aService.slices));
    const auto body = aFields.Integer("max_body_bytes", kBodyBounds);
    if (body) {
      aService.maxBodyBytes = static_cast<std::size_t>(*body);
    }
  }

  void ReadDependencies(ObjectReader& aFields, ServiceConfiguration& aService,
                        std::size_t aIndex)
  {
    const nlohmann::json* const names = aFields.Array("depends_on");
    if (names == nullptr) {
      return;
    }
    for (std::size_t i = 0; i < names->size(); ++i) {
      const nlohmann::json& name = (*names)[i];
      if (!name.is_string()) {
        this->reader.AddFault(PlaceOf(aIndex, i),
                              std::string("must be a string, not ") +
                                name.type_name());
      }
      aService.dependsOn.push_back(
        { name.is_string() ? name.get<std::string>() : std::string() });
    }
  }

  void CheckNames()
  {
    for (std::size_t i = 0; i < this->configuration.services.size(); ++i) {
      const ServiceName& name = this->configuration.services[i].name;
      if (name.value.empty()) {
        continue;
      }
      const JsonPointer place = PlaceOf(i) / "name";
      if (!IsServiceName(name.value)) {
        this->reader.AddFault(
          place, "must be 1 to 64 letters, digits, '-', '_' or '.'");
      }
      if (!this->indexes.try_emplace(name, i).second) {
        this->reader.AddFault(place,
                              "names a second service \"" + name.value + "\"");
      }
    }
  }

  void CheckDependencies()
  {
    this->marks.assign(this->configuration.services.size(), Mark::kNew);
    for (std::size_t i = 0; i < this->configuration.services.size(); ++i) {
      this->Visit(i);
    }
  }

  // Depth first: a dependency on a service that is still open closes a circle.
  void Visit(std::size_t aService)
  {
    if (this->marks[aService] != Mark::kNew) {
      return;
    }
    this->marks[aService] = Mark::kOpen;
    this->opened.push_back(aService);
    const auto& names = this->configuration.services[aService].dependsOn;
    for (std::size_t i = 0; i < names.size(); ++i) {
      this->Follow(aService, i);
    }
    this->opened.pop_back();
    this->marks[aService] = Mark::kDone;
  }

  void Follow(std::size_t aService, std::size_t aDependency)
  {
    const ServiceName& name =
      this->configuration.services[aService].dependsOn[aDependency];
    if (name.value.empty()) {
      return;
    }
    const auto found = this->indexes.find(name);
    if (found == this->indexes.end()) {
      this->reader.AddFault(PlaceOf(aService, aDependency),
                            "names no service: \"" + name.value + "\"");
      return;
    }
    if (this->marks[found->second] == Mark::kOpen) {
      this->reader.AddFault(PlaceOf(aService, aDependency),
                            "is circular: " + this->CircleFrom(found->second));
      return;
    }
    this->Visit(found->second);
  }

  std::string CircleFrom(std::size_t aService) const
  {
    std::string circle;
    const auto first = std::ranges::find(this->opened, aService);
    for (const std::size_t index :
         std::ranges::subrange(first, this->opened.end())) {
      circle += this->configuration.services[index].name.value + " -> ";
    }
    return circle + this->configuration.services[aService].name.value;
  }

  TextReader reader;
  Configuration configuration;
  std::unordered_map<ServiceName, std::size_t> indexes;
  std::vector<Mark> marks;
  // The services between the one that a visit began at and the current one.
  std::vector<std::size_t> opened;
};

} // namespace

std::string_view WorkClassName(WorkClass aClass)
{
  const auto found =
    std::ranges::find(kClassNames, aClass, &ClassName::workClass);
  return found == kClassNames.end() ? std::string_view("unknown") : found->name;
}

const ServiceConfiguration* Configuration::Find(const ServiceName& aName) const
{
  const auto found =
    std::ranges::find(this->services, aName, &ServiceConfiguration::name);
  return found == this->services.end() ? nullptr : &*found;
}

CheckedConfiguration ParseConfiguration(std::string_view aText)
{
  return ConfigurationReader(aText).Read();
}

} // namespace kumquat::state
