// Builds a filter from its hooks.

#include "coordination/duplicatefilter.h"

#include <utility>

namespace kumquat::coordination {

DuplicateFilterBuilder& DuplicateFilterBuilder::Self(state::HostRef aSelf)
{
  this->options.self = std::move(aSelf);
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::Horizon(Duration aHorizon)
{
  this->options.horizon = aHorizon;
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::Capacity(std::size_t aKeys,
                                                         std::size_t aBytes)
{
  this->options.maxKeys = aKeys;
  this->options.maxBytes = aBytes;
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::ClockSkew(
  std::chrono::milliseconds aSkew)
{
  this->options.clockSkew = aSkew;
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::Clocks(
  Clock aClock, std::function<std::chrono::milliseconds()> aUnixTime)
{
  this->options.clock = std::move(aClock);
  this->options.unixTime = std::move(aUnixTime);
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::Random(
  std::function<std::size_t(std::size_t)> aRandom)
{
  this->options.random = std::move(aRandom);
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::Peers(AskPeer aAsk,
                                                      Duration aTimeout)
{
  this->options.ask = std::move(aAsk);
  this->options.askTimeout = aTimeout;
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::Lease(
  std::function<bool()> aHoldsLease)
{
  this->options.holdsLease = std::move(aHoldsLease);
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::Hosts(
  std::function<std::vector<state::HostRef>()> aWitnesses,
  std::function<std::vector<state::HostRef>()> aHostsWithinHorizon)
{
  this->options.witnesses = std::move(aWitnesses);
  this->options.hostsWithinHorizon = std::move(aHostsWithinHorizon);
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::Log(WitnessLog& aLog)
{
  this->options.log = &aLog;
  return *this;
}

DuplicateFilterBuilder& DuplicateFilterBuilder::OmitForTest(OmittedRules aRules)
{
  this->options.omittedForTest = std::move(aRules);
  return *this;
}

std::unique_ptr<DuplicateFilter> DuplicateFilterBuilder::Build()
{
  const DuplicateFilter::Options& given = this->options;
  const bool isWhole = given.clock && given.unixTime && given.random &&
                       given.ask && given.holdsLease && given.witnesses &&
                       given.hostsWithinHorizon && given.log != nullptr;
  if (!isWhole) {
    return nullptr;
  }
  return std::make_unique<DuplicateFilter>(std::move(this->options));
}

} // namespace kumquat::coordination
