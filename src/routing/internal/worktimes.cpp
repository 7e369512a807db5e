// Moving averages of the work of routes.

#include "routing/worktimes.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <set>
#include <utility>

namespace kumquat::routing {

namespace {

// Weight of a new response once many are known. A route's work changes with a
// release of its service at most, but its requests vary by more than half.
constexpr double kWorkWeight = 0.03;
constexpr double kMeanWeight = 0.02;
// More responses are not counted.
constexpr int kManyAnswers = 1000;
// By how much the mean work may differ from 1: hosts differ by as much in their
// digests.
constexpr double kMeanTolerance = 0.03;
// A response after a wait for a slot may have taken less than the wait was
// expected to be.
constexpr double kLeastWork = 0.05;
// One response counts as at most so many times what is known of its route: the
// upstream's own time may come from a single quick response.
constexpr double kMostGrowth = 4;

double Bounded(double aWork, double aKnownWork)
{
  return std::clamp(aWork, kLeastWork, kMostGrowth * std::max(1.0, aKnownWork));
}

} // namespace

void WorkTimes::SetConfiguration(const Configuration& aConfiguration)
{
  std::map<state::ServiceName, std::set<std::chrono::milliseconds>> targets;
  std::map<state::ServiceName, ServiceWork> covered;
  for (const Route& route : aConfiguration.routes) {
    for (const Destination& destination : route.destinations) {
      if (destination.weight > 0) {
        targets[destination.service].insert(route.targetLatency);
        covered[destination.service].routes.emplace(route.name, RouteWork{});
      }
    }
  }
  std::erase_if(covered, [&targets](const auto& aItem) {
    return targets.at(aItem.first).size() < 2;
  });
  for (auto& [name, service] : covered) {
    const auto known = this->services.find(name);
    if (known == this->services.end()) {
      continue;
    }
    service.meanWork = known->second.meanWork;
    for (auto& [routeName, route] : service.routes) {
      const auto knownRoute = known->second.routes.find(routeName);
      if (knownRoute != known->second.routes.end()) {
        route = knownRoute->second;
      }
    }
  }
  this->services = std::move(covered);
}

const WorkTimes::RouteWork* WorkTimes::Find(const state::ServiceName& aService,
                                            const std::string& aRoute) const
{
  const auto service = this->services.find(aService);
  if (service == this->services.end()) {
    return nullptr;
  }
  const auto route = service->second.routes.find(aRoute);
  return route == service->second.routes.end() ? nullptr : &route->second;
}

WorkTimes::RouteWork* WorkTimes::Find(const state::ServiceName& aService,
                                      const std::string& aRoute)
{
  return const_cast<RouteWork*>(std::as_const(*this).Find(aService, aRoute));
}

double WorkTimes::WorkOf(const state::ServiceName& aService,
                         const std::string& aRoute) const
{
  const RouteWork* route = this->Find(aService, aRoute);
  return route == nullptr ? 1 : route->work;
}

// aWork is the mean over aAnswers responses. The first ones count alike.
void WorkTimes::Learn(const state::ServiceName& aService, RouteWork& aRoute,
                      double aWork, int aAnswers)
{
  aRoute.answers = std::min(kManyAnswers, aRoute.answers + aAnswers);
  const double weight = std::max(static_cast<double>(aAnswers) / aRoute.answers,
                                 1.0 - std::pow(1.0 - kWorkWeight, aAnswers));
  aRoute.work += std::min(1.0, weight) * (aWork - aRoute.work);
  double& mean = this->services.at(aService).meanWork;
  mean += (1.0 - std::pow(1.0 - kMeanWeight, aAnswers)) * (aRoute.work - mean);
}

double WorkTimes::TakeFactor(const state::ServiceName& aService)
{
  const auto found = this->services.find(aService);
  if (found == this->services.end() ||
      std::abs(found->second.meanWork - 1.0) < kMeanTolerance) {
    return 1;
  }
  const double factor = std::exchange(found->second.meanWork, 1.0);
  for (auto& [name, route] : found->second.routes) {
    route.work /= factor;
    route.unreportedSum /= factor;
  }
  return factor;
}

void WorkTimes::OnServed(const state::ServiceName& aService,
                         const std::string& aRoute, double aWork)
{
  RouteWork* route = this->Find(aService, aRoute);
  if (route == nullptr) {
    return;
  }
  const double work = Bounded(aWork, route->work);
  this->Learn(aService, *route, work, 1);
  ++route->unreportedAnswers;
  route->unreportedSum += work;
}

void WorkTimes::OnAbandoned(const state::ServiceName& aService,
                            const std::string& aRoute, double aWork)
{
  RouteWork* route = this->Find(aService, aRoute);
  if (route != nullptr && aWork > route->work) {
    this->Learn(aService, *route, Bounded(aWork, route->work), 1);
  }
}

void WorkTimes::OnPeerReports(const std::vector<WorkReport>& aReports)
{
  for (const WorkReport& report : aReports) {
    RouteWork* route = this->Find(report.service, report.route);
    if (route != nullptr && report.answers > 0) {
      this->Learn(report.service, *route, Bounded(report.work, route->work),
                  std::min(kManyAnswers, report.answers));
    }
  }
}

std::vector<WorkReport> WorkTimes::TakeReports()
{
  std::vector<WorkReport> reports;
  for (auto& [serviceName, service] : this->services) {
    for (auto& [routeName, route] : service.routes) {
      if (route.unreportedAnswers > 0) {
        reports.push_back({ serviceName, routeName,
                            route.unreportedSum / route.unreportedAnswers,
                            route.unreportedAnswers });
        route.unreportedAnswers = 0;
        route.unreportedSum = 0;
      }
    }
  }
  return reports;
}

} // namespace kumquat::routing
