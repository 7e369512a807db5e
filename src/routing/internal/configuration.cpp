// Lookup of routes and services.

#include "routing/configuration.h"

#include <algorithm>
#include <utility>

namespace kumquat::routing {

namespace {

std::string KeyOf(std::string_view aHostName, std::string_view aPrefix)
{
  std::string key(aHostName);
  key += ' ';
  key += aPrefix;
  return key;
}

} // namespace

RouteTable::RouteTable(Configuration aConfiguration)
  : configuration(std::move(aConfiguration))
  , teams(this->configuration.teams)
{
  for (std::size_t i = 0; i < this->configuration.routes.size(); ++i) {
    const Route& route = this->configuration.routes[i];
    this->byPrefix.emplace(KeyOf(route.hostName, route.prefix), i);
  }
}

const Route* RouteTable::FindRoute(std::string_view aHostName,
                                   std::string_view aTarget) const
{
  std::string_view prefix = aTarget.substr(0, aTarget.find('?'));
  for (auto slash = prefix.rfind('/'); slash != std::string_view::npos;
       slash = prefix.rfind('/')) {
    const auto found =
      this->byPrefix.find(KeyOf(aHostName, prefix.substr(0, slash + 1)));
    if (found != this->byPrefix.end()) {
      return &this->configuration.routes[found->second];
    }
    prefix = prefix.substr(0, slash);
  }
  return nullptr;
}

const Service* RouteTable::FindService(const state::ServiceName& aName) const
{
  const auto& services = this->configuration.services;
  const auto found = std::ranges::find(services, aName, &Service::name);
  return found == services.end() ? nullptr : &*found;
}

} // namespace kumquat::routing
