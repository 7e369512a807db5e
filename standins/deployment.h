// The two deployments of today as tables: data centres, hosts, services, and
// the loopback address of everything that listens.

#pragma once

#include <chrono>
#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace kumquat::standins {

struct ServicePlan
{
  std::string name;
  // "urgent", "booking", "download" or "deferrable".
  std::string workClass;
  int instances = 0;
  bool keyed = false;
  bool idempotent = true;
  std::chrono::milliseconds deadline{ 2000 };
  std::vector<std::string> dependsOn;
  // Median of the time that one request takes at a warm instance.
  std::chrono::milliseconds serviceTime{ 8 };
};

struct Deployment
{
  std::string name;
  std::vector<std::string> dataCentres;
  int hostsPerDataCentre = 0;
  std::vector<ServicePlan> services;
  // One way.
  std::chrono::microseconds betweenDataCentres{ 0 };
  std::chrono::microseconds toClients{ 0 };
};

struct HostPlan
{
  std::string id;
  std::string dataCentre;
  std::string ip;
  std::string callerAddress;
  std::string peerAddress;
  std::string operatorAddress;
  // Where peers reach the host through the network stand-in.
  std::string relayAddress;
};

struct UpstreamPlan
{
  std::string service;
  // Unique within its service, as "stoc-3".
  std::string id;
  std::string dataCentre;
  std::string ip;
  std::string address;
};

// Every address of one run. `net` is the second octet of all of them, so that
// runs with different numbers stay out of each other's way.
struct Addresses
{
  std::string table;
  std::string object;
  std::string list;
  std::string platformControl;
  std::string upstreamControl;
  std::string networkControl;
};

// The bearer token of operators' requests in every settings file.
constexpr std::string_view kOperatorToken = "operators-of-the-tests";

constexpr int kUpstreamPort = 8000;
constexpr int kUpstreamSlots = 3;
constexpr int kUpstreamConnections = 130;

// Null where there is no deployment of that name.
const Deployment* FindDeployment(std::string_view aName);

// KUMQUAT_NET, or 1 where it is not set.
int DefaultNet();

std::vector<HostPlan> HostsOf(const Deployment& aDeployment, int aNet);
std::vector<UpstreamPlan> UpstreamsOf(const Deployment& aDeployment, int aNet);
Addresses AddressesOf(int aNet);

// One host's settings file; where aRelayed, peers reach it over the network
// stand-in.
std::string SettingsText(const HostPlan& aHost, int aNet, bool aRelayed);

// The operators' text.
std::string OperatorsText(const Deployment& aDeployment);

// Writes `<host>.json` for each host and `operators.json`; false where the
// folder cannot be written.
bool WriteFiles(const Deployment& aDeployment, int aNet, bool aRelayed,
                const std::filesystem::path& aFolder);

} // namespace kumquat::standins
