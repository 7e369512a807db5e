// The deployments' sizes and addresses.

#include "standins/deployment.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <ranges>

namespace kumquat::standins {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr int kHostOctet = 10;
constexpr int kRelayOctet = 50;
constexpr int kServiceOctet = 100;
constexpr int kCallerPort = 8080;
constexpr int kPeerPort = 7000;
constexpr int kOperatorPort = 9000;
constexpr int kQueue = 64;
constexpr int kSlices = 64;
constexpr int kMaxBodyBytes = 1 << 20;

const std::array<Deployment, 2>& Deployments()
{
  static const std::array<Deployment, 2> kDeployments{ {
    { .name = "cooperative",
      .dataCentres = { "caerdydd", "abertawe", "wrecsam" },
      .hostsPerDataCentre = 4,
      .services = { { .name = "stoc",
                      .workClass = "urgent",
                      .instances = 15,
                      .keyed = true },
                    { .name = "archeb",
                      .workClass = "booking",
                      .instances = 8,
                      .idempotent = false,
                      .deadline = milliseconds(5000),
                      .dependsOn = { "stoc" },
                      .serviceTime = milliseconds(20) },
                    { .name = "pecyn",
                      .workClass = "download",
                      .instances = 6,
                      .deadline = milliseconds(30'000),
                      .serviceTime = milliseconds(30) },
                    { .name = "cysoni",
                      .workClass = "deferrable",
                      .instances = 15,
                      .deadline = milliseconds(30'000),
                      .dependsOn = { "archeb" },
                      .serviceTime = milliseconds(40) } },
      .betweenDataCentres = microseconds(1500),
      .toClients = microseconds(3000) },
    { .name = "silnostav",
      .dataCentres = { "kladno", "beroun", "kolin", "melnik" },
      .hostsPerDataCentre = 3,
      .services = { { .name = "registr",
                      .workClass = "urgent",
                      .instances = 15,
                      .keyed = true },
                    { .name = "verdikt",
                      .workClass = "booking",
                      .instances = 8,
                      .idempotent = false,
                      .deadline = milliseconds(5000),
                      .dependsOn = { "registr" },
                      .serviceTime = milliseconds(20) },
                    { .name = "fotoarchiv",
                      .workClass = "download",
                      .instances = 8,
                      .deadline = milliseconds(30'000),
                      .serviceTime = milliseconds(30) },
                    { .name = "uzaviry",
                      .workClass = "deferrable",
                      .instances = 10,
                      .deadline = milliseconds(30'000),
                      .dependsOn = { "registr" },
                      .serviceTime = milliseconds(40) } },
      .betweenDataCentres = microseconds(1000),
      .toClients = microseconds(8000) },
  } };
  return kDeployments;
}

std::string Ip(int aNet, int aThird, int aFourth)
{
  return "127." + std::to_string(aNet) + "." + std::to_string(aThird) + "." +
         std::to_string(aFourth);
}

std::string WithPort(const std::string& aIp, int aPort)
{
  return aIp + ":" + std::to_string(aPort);
}

nlohmann::ordered_json ServiceText(const ServicePlan& aService)
{
  return { { "name", aService.name },
           { "keyed", aService.keyed },
           { "idempotent", aService.idempotent },
           { "class", aService.workClass },
           { "deadline_ms", aService.deadline.count() },
           { "depends_on", aService.dependsOn },
           { "slots", kUpstreamSlots },
           { "queue", kQueue },
           { "slices", kSlices },
           { "max_body_bytes", kMaxBodyBytes } };
}

bool WriteFile(const std::filesystem::path& aFile, const std::string& aText)
{
  std::ofstream out(aFile);
  out << aText;
  return out.good();
}

} // namespace

const Deployment* FindDeployment(std::string_view aName)
{
  const auto found = std::ranges::find(Deployments(), aName, &Deployment::name);
  return found == Deployments().end() ? nullptr : &*found;
}

int DefaultNet()
{
  const char* net = std::getenv("KUMQUAT_NET");
  return net == nullptr ? 1 : std::atoi(net);
}

std::vector<HostPlan> HostsOf(const Deployment& aDeployment, int aNet)
{
  std::vector<HostPlan> hosts;
  int third = 0;
  for (const std::string& dataCentre : aDeployment.dataCentres) {
    for (int i = 1; i <= aDeployment.hostsPerDataCentre; ++i) {
      const std::string ip = Ip(aNet, kHostOctet + third, i);
      hosts.push_back({ .id = dataCentre + "-" + std::to_string(i),
                        .dataCentre = dataCentre,
                        .ip = ip,
                        .callerAddress = WithPort(ip, kCallerPort),
                        .peerAddress = WithPort(ip, kPeerPort),
                        .operatorAddress = WithPort(ip, kOperatorPort),
                        .relayAddress = WithPort(
                          Ip(aNet, kRelayOctet + third, i), kPeerPort) });
    }
    ++third;
  }
  return hosts;
}

std::vector<UpstreamPlan> UpstreamsOf(const Deployment& aDeployment, int aNet)
{
  std::vector<UpstreamPlan> upstreams;
  int third = kServiceOctet;
  for (const ServicePlan& service : aDeployment.services) {
    for (int i = 0; i < service.instances; ++i) {
      const std::string ip = Ip(aNet, third, i + 1);
      const std::size_t dataCentre =
        static_cast<std::size_t>(i) % aDeployment.dataCentres.size();
      upstreams.push_back({ .service = service.name,
                            .id = service.name + "-" + std::to_string(i + 1),
                            .dataCentre = aDeployment.dataCentres[dataCentre],
                            .ip = ip,
                            .address = WithPort(ip, kUpstreamPort) });
    }
    ++third;
  }
  return upstreams;
}

Addresses AddressesOf(int aNet)
{
  const std::string platform = Ip(aNet, 1, 1);
  return { .table = WithPort(platform, 8001),
           .object = WithPort(platform, 8002),
           .list = WithPort(platform, 8003),
           .platformControl = WithPort(platform, 8009),
           .upstreamControl = WithPort(Ip(aNet, 2, 1), 8009),
           .networkControl = WithPort(Ip(aNet, 3, 1), 8009) };
}

std::string SettingsText(const HostPlan& aHost, int aNet, bool aRelayed)
{
  const Addresses addresses = AddressesOf(aNet);
  nlohmann::ordered_json settings{
    { "host", aHost.id },
    { "data_centre", aHost.dataCentre },
    { "caller_address", aHost.callerAddress },
    { "peer_address", aHost.peerAddress },
    { "operator_address", aHost.operatorAddress },
    { "table_address", addresses.table },
    { "object_address", addresses.object },
    { "list_address", addresses.list },
    { "operator_token", kOperatorToken },
    { "ring_size", 4096 },
    { "max_connections", 4096 },
    { "log_level", "info" },
    { "log_json", false },
  };
  if (aRelayed) {
    settings["advertised_peer_address"] = aHost.relayAddress;
  }
  return settings.dump(2) + "\n";
}

std::string OperatorsText(const Deployment& aDeployment)
{
  nlohmann::ordered_json services = nlohmann::ordered_json::array();
  std::ranges::transform(aDeployment.services, std::back_inserter(services),
                         ServiceText);
  const nlohmann::ordered_json text{ { "services", services } };
  return text.dump(2) + "\n";
}

bool WriteFiles(const Deployment& aDeployment, int aNet, bool aRelayed,
                const std::filesystem::path& aFolder)
{
  std::error_code error;
  std::filesystem::create_directories(aFolder, error);
  const auto writeHost = [&](const HostPlan& aHost) {
    return WriteFile(aFolder / (aHost.id + ".json"),
                     SettingsText(aHost, aNet, aRelayed));
  };
  return !error && std::ranges::all_of(HostsOf(aDeployment, aNet), writeHost) &&
         WriteFile(aFolder / "operators.json", OperatorsText(aDeployment));
}

} // namespace kumquat::standins
