// Conditions and pages of the table.

#include "standins/tablestore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <optional>
#include <stdexcept>
#include <string_view>
#include <vector>

namespace kumquat::standins {

namespace {

using nlohmann::json;

constexpr int kBadRequest = 400;
constexpr auto kErrorPrefix = "com.amazonaws.dynamodb.v20120810#";
constexpr auto kAbsent = "attribute_not_exists(pk)";
constexpr auto kVersionPrefix = "version = ";

TableAnswer Error(const std::string& aType, const std::string& aMessage,
                  json aMore = json::object())
{
  aMore["__type"] = kErrorPrefix + aType;
  aMore["message"] = aMessage;
  return { kBadRequest, aMore.dump() };
}

std::string Text(const json& aAttribute)
{
  return aAttribute.at("S").get<std::string>();
}

std::pair<std::string, std::string> KeyOf(const json& aItem)
{
  return { Text(aItem.at("pk")), Text(aItem.at("sk")) };
}

// The operation's item or key; nothing where the member is no known one.
struct Action
{
  std::string kind;
  const json* body = nullptr;
  std::pair<std::string, std::string> key;
};

Action ReadAction(const json& aMember)
{
  Action action;
  action.kind = aMember.begin().key();
  action.body = &aMember.begin().value();
  const char* holder = action.kind == "Put" ? "Item" : "Key";
  action.key = KeyOf(action.body->at(holder));
  return action;
}

// Whether the condition holds for the row as it stands; throws where it is
// none that this store knows, as it would for a malformed one.
bool Holds(const json& aAction, const std::optional<json>& aRow)
{
  const auto condition = aAction.at("ConditionExpression").get<std::string>();
  if (condition == kAbsent) {
    return !aRow;
  }
  if (!condition.starts_with(kVersionPrefix)) {
    throw std::invalid_argument("unknown condition");
  }
  const std::string name =
    condition.substr(std::string_view(kVersionPrefix).size());
  const json& expected = aAction.at("ExpressionAttributeValues").at(name);
  return aRow && aRow->at("version") == expected;
}

} // namespace

namespace {

using Rows = std::map<std::pair<std::string, std::string>, std::string>;

std::optional<json> Find(const Rows& aRows, const Rows::key_type& aKey)
{
  const auto found = aRows.find(aKey);
  if (found == aRows.end()) {
    return std::nullopt;
  }
  return json::parse(found->second);
}

TableAnswer GetItem(const Rows& aRows, const json& aBody)
{
  const auto row = Find(aRows, KeyOf(aBody.at("Key")));
  json answer = json::object();
  if (row) {
    answer["Item"] = *row;
  }
  return { .body = answer.dump() };
}

TableAnswer Query(const Rows& aRows, const json& aBody)
{
  if (aBody.at("KeyConditionExpression") != "pk = :pk") {
    return Error("ValidationException", "unknown key condition");
  }
  const std::string partition =
    Text(aBody.at("ExpressionAttributeValues").at(":pk"));
  auto place = aBody.contains("ExclusiveStartKey")
                 ? aRows.upper_bound(KeyOf(aBody.at("ExclusiveStartKey")))
                 : aRows.lower_bound({ partition, "" });
  json items = json::array();
  json answer = json::object();
  for (; place != aRows.end() && place->first.first == partition; ++place) {
    if (items.size() == TableStore::kPageRows) {
      const json& last = items.back();
      answer["LastEvaluatedKey"] = { { "pk", last.at("pk") },
                                     { "sk", last.at("sk") } };
      break;
    }
    items.push_back(json::parse(place->second));
  }
  answer["Count"] = items.size();
  answer["Items"] = std::move(items);
  return { .body = answer.dump() };
}

// All or nothing: every condition is checked against the rows as they stood
// before the first write.
TableAnswer TransactWrite(Rows& aRows, const json& aBody)
{
  const json& members = aBody.at("TransactItems");
  if (members.empty() || members.size() > TableStore::kMaxTransactionRows) {
    return Error("ValidationException", "1 to 100 items");
  }
  std::vector<Action> actions;
  std::ranges::transform(members, std::back_inserter(actions), ReadAction);
  json reasons = json::array();
  bool cancelled = false;
  for (const Action& action : actions) {
    const bool holds = Holds(*action.body, Find(aRows, action.key));
    reasons.push_back(
      { { "Code", holds ? "None" : "ConditionalCheckFailed" } });
    cancelled = cancelled || !holds;
  }
  if (cancelled) {
    return Error("TransactionCanceledException", "a condition did not hold",
                 { { "CancellationReasons", reasons } });
  }
  for (const Action& action : actions) {
    if (action.kind == "Put") {
      aRows[action.key] = action.body->at("Item").dump();
    } else if (action.kind == "Delete") {
      aRows.erase(action.key);
    }
  }
  return { .body = "{}" };
}

} // namespace

TableAnswer TableStore::Apply(const std::string& aOperation,
                              const std::string& aBody)
{
  try {
    const json body = json::parse(aBody);
    if (aOperation == "Query") {
      return Query(this->rows, body);
    }
    if (aOperation == "GetItem") {
      return GetItem(this->rows, body);
    }
    if (aOperation == "TransactWriteItems") {
      return TransactWrite(this->rows, body);
    }
  } catch (const std::exception& error) {
    return Error("ValidationException", error.what());
  }
  return Error("UnknownOperationException", aOperation);
}

void TableStore::Seed(const std::string& aPartition, const std::string& aName,
                      long long aVersion, const std::string& aBody)
{
  const json item = { { "pk", { { "S", aPartition } } },
                      { "sk", { { "S", aName } } },
                      { "version", { { "N", std::to_string(aVersion) } } },
                      { "nonce", { { "S", "seed" } } },
                      { "body", { { "S", aBody } } } };
  this->rows[{ aPartition, aName }] = item.dump();
}

std::string TableStore::Dump() const
{
  json all = json::array();
  std::ranges::transform(
    this->rows, std::back_inserter(all),
    [](const auto& aRow) { return json::parse(aRow.second); });
  return all.dump();
}

std::size_t RowsWritten(const std::string& aOperation, const std::string& aBody)
{
  if (aOperation != "TransactWriteItems") {
    return 0;
  }
  const json body = json::parse(aBody, nullptr, false);
  const bool valid = body.is_object() && body.contains("TransactItems");
  return valid ? body.at("TransactItems").size() : 1;
}

} // namespace kumquat::standins
