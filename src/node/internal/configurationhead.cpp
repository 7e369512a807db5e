// From the configuration's row in the table to the configuration in force.

#include "node/internal/nodeimpl.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace kumquat::node {

void Node::Impl::OnConfigurationHead(const state::Row& aRow)
{
  if (aRow.version <= this->configurationVersion || this->configurationAsked) {
    return;
  }
  const auto body = nlohmann::json::parse(aRow.body, nullptr, false);
  if (!body.is_object() || !body.contains("object")) {
    return;
  }
  const std::string object = body["object"].get<std::string>();
  this->configurationAsked = true;
  const bool handed = this->OnPlatform([this, object, version = aRow.version] {
    this->objects->Get(object, [this, version](Result<std::string> aText) {
      this->coordination.Hand([this, version, text = std::move(aText)] {
        this->configurationAsked = false;
        if (!text || version <= this->configurationVersion) {
          return;
        }
        auto checked = state::ParseConfiguration(*text);
        auto* configuration = std::get_if<state::Configuration>(&checked);
        if (configuration == nullptr) {
          return;
        }
        configuration->version = version;
        this->configurationVersion = version;
        this->router->OnConfiguration(std::move(*configuration));
      });
    });
  });
  this->configurationAsked = handed;
}

} // namespace kumquat::node
