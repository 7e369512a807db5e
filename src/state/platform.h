// Clients of the platform's table, object store and list of endpoints, at the
// protocols that docs/PROTOCOLS.md names. One thread; HTTP comes in by a hook.

#pragma once

#include "framework/result.h"
#include "state/table.h"
#include "state/types.h"
#include "transport/http.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquat::state {

// Sends one HTTP request to an address ("ip:port").
using SendHttp = std::function<void(
  const std::string& aAddress, transport::HttpRequest aRequest,
  std::chrono::milliseconds aTimeout,
  std::function<void(Result<transport::HttpResponse>)>)>;

// The table, at a subset of DynamoDB's JSON protocol. A write whose answer was
// lost is read back: the row's nonce tells whether it took effect.
class TableClient
{
public:
  TableClient(std::string aAddress, SendHttp aSend);
  ~TableClient();
  TableClient(const TableClient&) = delete;
  TableClient& operator=(const TableClient&) = delete;

  void Query(std::string aPartition, TableHooks::QueryDone aDone);
  void Write(std::vector<ConditionalWrite> aWrites,
             TableHooks::WriteDone aDone);

private:
  class State;
  std::shared_ptr<State> state;
};

// The object store, at a subset of S3's path style.
class ObjectClient
{
public:
  ObjectClient(std::string aAddress, SendHttp aSend);

  void Put(const std::string& aName, std::string aContent,
           std::function<void(std::error_code)> aDone);
  void Get(const std::string& aName,
           std::function<void(Result<std::string>)> aDone);

private:
  std::string address;
  SendHttp send;
};

struct Endpoint
{
  std::string id;
  // "ip:port".
  std::string address;
  DataCentre dataCentre;
  bool ready = false;
  // Finishes what it has, and is to get nothing new.
  bool terminating = false;
};

// By service; the system's own hosts are the service `kumquatd`.
using EndpointList = std::map<ServiceName, std::vector<Endpoint>>;

// Reads an EndpointSliceList; kMalformedRequest where it is none.
Result<EndpointList> ParseEndpointList(const std::string& aText);

class EndpointListClient
{
public:
  EndpointListClient(std::string aAddress, SendHttp aSend);

  void Fetch(std::function<void(Result<EndpointList>)> aDone);

private:
  std::string address;
  SendHttp send;
};

} // namespace kumquat::state
