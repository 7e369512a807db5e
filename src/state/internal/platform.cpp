// The platform's protocols over HTTP and JSON.

#include "state/platform.h"

#include "protocol/errorkind.h"
#include "transport/httpstatus.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <ranges>
#include <utility>

namespace kumquat::state {

namespace {

using nlohmann::json;
using protocol::ErrorKind;
using transport::HttpRequest;
using transport::HttpResponse;

constexpr auto kTableName = "kumquat";
constexpr auto kTargetPrefix = "DynamoDB_20120810.";
constexpr std::chrono::milliseconds kTableTimeout{ 2000 };
constexpr std::chrono::milliseconds kObjectTimeout{ 5000 };
constexpr std::chrono::milliseconds kListTimeout{ 2000 };

json ToAttributes(const Row& aRow)
{
  return { { "pk", { { "S", aRow.partition } } },
           { "sk", { { "S", aRow.name } } },
           { "version", { { "N", std::to_string(aRow.version) } } },
           { "nonce", { { "S", aRow.nonce } } },
           { "body", { { "S", aRow.body } } } };
}

Row FromAttributes(const json& aItem)
{
  Row row;
  row.partition = aItem.at("pk").at("S").get<std::string>();
  row.name = aItem.at("sk").at("S").get<std::string>();
  row.version = std::stoll(aItem.at("version").at("N").get<std::string>());
  row.nonce = aItem.at("nonce").at("S").get<std::string>();
  row.body = aItem.at("body").at("S").get<std::string>();
  return row;
}

json KeyOf(const Row& aRow)
{
  return { { "pk", { { "S", aRow.partition } } },
           { "sk", { { "S", aRow.name } } } };
}

void AddCondition(json& aOperation, Version aExpected)
{
  if (aExpected == 0) {
    aOperation["ConditionExpression"] = "attribute_not_exists(pk)";
    return;
  }
  aOperation["ConditionExpression"] = "version = :expected";
  aOperation["ExpressionAttributeValues"] = {
    { ":expected", { { "N", std::to_string(aExpected) } } }
  };
}

json ToOperation(const ConditionalWrite& aWrite)
{
  json operation = { { "TableName", kTableName } };
  AddCondition(operation, aWrite.expected);
  if (aWrite.onlyCheck || aWrite.remove) {
    operation["Key"] = KeyOf(aWrite.row);
    return { { aWrite.remove ? "Delete" : "ConditionCheck", operation } };
  }
  operation["Item"] = ToAttributes(aWrite.row);
  return { { "Put", operation } };
}

HttpRequest MakeTableRequest(const char* aOperation, const json& aBody)
{
  HttpRequest request;
  request.method = "POST";
  request.headers = { { "X-Amz-Target",
                        std::string(kTargetPrefix) + aOperation },
                      { "Content-Type", "application/x-amz-json-1.0" } };
  request.body = aBody.dump();
  return request;
}

std::string ErrorType(const HttpResponse& aResponse)
{
  const json body = json::parse(aResponse.body, nullptr, false);
  return body.is_object() ? body.value("__type", "") : std::string();
}

} // namespace

class TableClient::State : public std::enable_shared_from_this<State>
{
public:
  State(std::string aAddress, SendHttp aSend)
    : address(std::move(aAddress))
    , send(std::move(aSend))
  {
  }

  void Query(std::string aPartition, const json& aFrom, std::vector<Row> aSoFar,
             TableHooks::QueryDone aDone)
  {
    json body = { { "TableName", kTableName },
                  { "ConsistentRead", true },
                  { "KeyConditionExpression", "pk = :pk" },
                  { "ExpressionAttributeValues",
                    { { ":pk", { { "S", aPartition } } } } } };
    if (!aFrom.is_null()) {
      body["ExclusiveStartKey"] = aFrom;
    }
    this->send(
      this->address, MakeTableRequest("Query", body), kTableTimeout,
      [self = this->shared_from_this(), partition = std::move(aPartition),
       rows = std::move(aSoFar),
       done = std::move(aDone)](const Result<HttpResponse>& aResult) mutable {
        self->TakePage(std::move(partition), std::move(rows), std::move(done),
                       aResult);
      });
  }

  void Write(std::vector<ConditionalWrite> aWrites, TableHooks::WriteDone aDone)
  {
    json operations = json::array();
    std::ranges::transform(aWrites, std::back_inserter(operations),
                           ToOperation);
    this->send(
      this->address,
      MakeTableRequest("TransactWriteItems",
                       { { "TransactItems", operations } }),
      kTableTimeout,
      [self = this->shared_from_this(), writes = std::move(aWrites),
       done = std::move(aDone)](const Result<HttpResponse>& aResult) mutable {
        self->TakeWriteAnswer(writes, std::move(done), aResult);
      });
  }

private:
  void TakePage(std::string aPartition, std::vector<Row> aRows,
                TableHooks::QueryDone aDone,
                const Result<HttpResponse>& aResult)
  {
    if (!aResult || aResult->status != transport::status::kOk) {
      aDone(make_error_code(ErrorKind::kStoreUnavailable));
      return;
    }
    json next;
    try {
      const json page = json::parse(aResult->body);
      std::ranges::transform(page.at("Items"), std::back_inserter(aRows),
                             FromAttributes);
      next = page.value("LastEvaluatedKey", json());
    } catch (const std::exception&) {
      aDone(make_error_code(ErrorKind::kStoreUnavailable));
      return;
    }
    if (next.is_null()) {
      aDone(std::move(aRows));
      return;
    }
    this->Query(std::move(aPartition), next, std::move(aRows),
                std::move(aDone));
  }

  void TakeWriteAnswer(const std::vector<ConditionalWrite>& aWrites,
                       TableHooks::WriteDone aDone,
                       const Result<HttpResponse>& aResult)
  {
    if (aResult && aResult->status == transport::status::kOk) {
      aDone(WriteOutcome::kWritten);
      return;
    }
    if (aResult && aResult->status == transport::status::kBadRequest) {
      // A cancelled transaction may be our own write's second arrival; only
      // the read-back tells. Every other refusal wrote nothing.
      if (!ErrorType(*aResult).ends_with("TransactionCanceledException")) {
        aDone(WriteOutcome::kUnknown);
        return;
      }
      aDone(WriteOutcome::kConflict);
      return;
    }
    this->ReadBack(aWrites, std::move(aDone));
  }

  // The store failed or its answer was lost: the write may have taken effect.
  // All rows of a transaction are written or none, so one row decides.
  void ReadBack(const std::vector<ConditionalWrite>& aWrites,
                TableHooks::WriteDone aDone)
  {
    const auto put =
      std::ranges::find_if(aWrites, [](const ConditionalWrite& aWrite) {
        return !aWrite.onlyCheck && !aWrite.remove;
      });
    if (put == aWrites.end()) {
      aDone(WriteOutcome::kUnknown);
      return;
    }
    const json body = { { "TableName", kTableName },
                        { "ConsistentRead", true },
                        { "Key", KeyOf(put->row) } };
    this->send(this->address, MakeTableRequest("GetItem", body), kTableTimeout,
               [expected = put->row,
                done = std::move(aDone)](const Result<HttpResponse>& aResult) {
                 done(JudgeReadBack(expected, aResult));
               });
  }

  static WriteOutcome JudgeReadBack(const Row& aWritten,
                                    const Result<HttpResponse>& aResult)
  {
    if (!aResult || aResult->status != transport::status::kOk) {
      return WriteOutcome::kUnknown;
    }
    const json body = json::parse(aResult->body, nullptr, false);
    if (!body.is_object()) {
      return WriteOutcome::kUnknown;
    }
    if (!body.contains("Item")) {
      // Not written yet; the request may still be on its way to the store.
      return WriteOutcome::kUnknown;
    }
    try {
      const Row row = FromAttributes(body.at("Item"));
      if (row.nonce == aWritten.nonce) {
        return WriteOutcome::kWritten;
      }
      // Another's write stands in the place of ours. A later one says nothing:
      // ours may have taken effect before it.
      return row.version == aWritten.version ? WriteOutcome::kConflict
                                             : WriteOutcome::kUnknown;
    } catch (const std::exception&) {
      return WriteOutcome::kUnknown;
    }
  }

  const std::string address;
  const SendHttp send;
};

TableClient::TableClient(std::string aAddress, SendHttp aSend)
  : state(std::make_shared<State>(std::move(aAddress), std::move(aSend)))
{
}

TableClient::~TableClient() = default;

void TableClient::Query(std::string aPartition, TableHooks::QueryDone aDone)
{
  this->state->Query(std::move(aPartition), json(), {}, std::move(aDone));
}

void TableClient::Write(std::vector<ConditionalWrite> aWrites,
                        TableHooks::WriteDone aDone)
{
  this->state->Write(std::move(aWrites), std::move(aDone));
}

ObjectClient::ObjectClient(std::string aAddress, SendHttp aSend)
  : address(std::move(aAddress))
  , send(std::move(aSend))
{
}

void ObjectClient::Put(const std::string& aName, std::string aContent,
                       std::function<void(std::error_code)> aDone)
{
  HttpRequest request;
  request.method = "PUT";
  request.target = "/kumquat/" + aName;
  request.body = std::move(aContent);
  this->send(this->address, std::move(request), kObjectTimeout,
             [done = std::move(aDone)](const Result<HttpResponse>& aResult) {
               const bool written =
                 aResult && aResult->status == transport::status::kOk;
               done(written ? std::error_code()
                            : make_error_code(ErrorKind::kStoreUnavailable));
             });
}

void ObjectClient::Get(const std::string& aName,
                       std::function<void(Result<std::string>)> aDone)
{
  HttpRequest request;
  request.target = "/kumquat/" + aName;
  this->send(this->address, std::move(request), kObjectTimeout,
             [done = std::move(aDone)](Result<HttpResponse> aResult) {
               if (!aResult || aResult->status != transport::status::kOk ||
                   aResult->rest) {
                 done(make_error_code(ErrorKind::kStoreUnavailable));
                 return;
               }
               done(std::move(aResult->body));
             });
}

namespace {

Endpoint ParseEndpoint(const json& aEndpoint, int aPort)
{
  Endpoint endpoint;
  endpoint.id = aEndpoint.at("targetRef").at("name").get<std::string>();
  const int port =
    aEndpoint.contains("deprecatedTopology")
      ? std::stoi(
          aEndpoint.at("deprecatedTopology").at("port").get<std::string>())
      : aPort;
  endpoint.address = aEndpoint.at("addresses").at(0).get<std::string>() + ":" +
                     std::to_string(port);
  endpoint.dataCentre.value = aEndpoint.value("zone", "");
  const json conditions = aEndpoint.value("conditions", json::object());
  endpoint.ready = conditions.value("ready", true);
  endpoint.terminating = conditions.value("terminating", false);
  return endpoint;
}

void AddSlice(const json& aSlice, EndpointList& aList)
{
  const ServiceName service{ aSlice.at("metadata")
                               .at("labels")
                               .at("kubernetes.io/service-name")
                               .get<std::string>() };
  const json ports = aSlice.value("ports", json::array());
  const int port = ports.empty() ? 0 : ports.at(0).value("port", 0);
  std::ranges::transform(
    aSlice.at("endpoints"), std::back_inserter(aList[service]),
    [port](const json& aEndpoint) { return ParseEndpoint(aEndpoint, port); });
}

} // namespace

Result<EndpointList> ParseEndpointList(const std::string& aText)
{
  EndpointList list;
  try {
    const json parsed = json::parse(aText);
    for (const json& slice : parsed.at("items")) {
      AddSlice(slice, list);
    }
  } catch (const std::exception&) {
    return make_error_code(ErrorKind::kMalformedRequest);
  }
  return list;
}

EndpointListClient::EndpointListClient(std::string aAddress, SendHttp aSend)
  : address(std::move(aAddress))
  , send(std::move(aSend))
{
}

void EndpointListClient::Fetch(std::function<void(Result<EndpointList>)> aDone)
{
  HttpRequest request;
  request.target = "/apis/discovery.k8s.io/v1/endpointslices";
  this->send(this->address, std::move(request), kListTimeout,
             [done = std::move(aDone)](const Result<HttpResponse>& aResult) {
               if (!aResult || aResult->status != transport::status::kOk) {
                 done(make_error_code(ErrorKind::kStoreUnavailable));
                 return;
               }
               done(ParseEndpointList(aResult->body));
             });
}

} // namespace kumquat::state
