// The table's conditions, as the daemons rely on them.

#include "standins/tablestore.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

namespace kumquat::standins {

namespace {

using nlohmann::json;

json Put(const std::string& aName, int aVersion)
{
  json put = { { "Item",
                 { { "pk", { { "S", "host" } } },
                   { "sk", { { "S", aName } } },
                   { "version", { { "N", std::to_string(aVersion) } } },
                   { "nonce", { { "S", "n" } } },
                   { "body", { { "S", "{}" } } } } } };
  if (aVersion == 1) {
    put["ConditionExpression"] = "attribute_not_exists(pk)";
  } else {
    put["ConditionExpression"] = "version = :expected";
    put["ExpressionAttributeValues"] = {
      { ":expected", { { "N", std::to_string(aVersion - 1) } } }
    };
  }
  return { { "Put", put } };
}

int Write(TableStore& aStore, const json& aItems)
{
  return aStore
    .Apply("TransactWriteItems", json{ { "TransactItems", aItems } }.dump())
    .status;
}

json Query(TableStore& aStore, const json& aStart = {})
{
  json body = { { "KeyConditionExpression", "pk = :pk" },
                { "ExpressionAttributeValues",
                  { { ":pk", { { "S", "host" } } } } } };
  if (!aStart.is_null()) {
    body["ExclusiveStartKey"] = aStart;
  }
  return json::parse(aStore.Apply("Query", body.dump()).body);
}

} // namespace

class TableStoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TableStoreTest);
  CPPUNIT_TEST(testWritesAllOrNothing);
  CPPUNIT_TEST(testQueryComesInPages);
  CPPUNIT_TEST(testWriteWithoutConditionIsRefused);
  CPPUNIT_TEST_SUITE_END();

public:
  // Two hosts take over the same upstreams. One transaction holds a stale
  // version beside a good one; were the good row written, one upstream would
  // have a new steward and its neighbour the old.
  void testWritesAllOrNothing()
  {
    TableStore store;
    CPPUNIT_ASSERT_EQUAL(200, Write(store, json::array({ Put("a", 1) })));
    CPPUNIT_ASSERT_EQUAL(
      400, Write(store, json::array({ Put("b", 1), Put("a", 1) })));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Query(store).at("Items").size());
    CPPUNIT_ASSERT_EQUAL(
      200, Write(store, json::array({ Put("b", 1), Put("a", 2) })));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, Query(store).at("Items").size());
  }

  void testQueryComesInPages()
  {
    TableStore store;
    const std::size_t rows = TableStore::kPageRows + 1;
    for (std::size_t i = 0; i < rows; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        200, Write(store, json::array({ Put(std::to_string(i), 1) })));
    }
    const json first = Query(store);
    CPPUNIT_ASSERT_EQUAL(TableStore::kPageRows, first.at("Items").size());
    const json second = Query(store, first.at("LastEvaluatedKey"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, second.at("Items").size());
    CPPUNIT_ASSERT(!second.contains("LastEvaluatedKey"));
  }

  void testWriteWithoutConditionIsRefused()
  {
    TableStore store;
    json put = Put("a", 1);
    put["Put"].erase("ConditionExpression");
    CPPUNIT_ASSERT_EQUAL(400, Write(store, json::array({ put })));
    CPPUNIT_ASSERT(Query(store).at("Items").empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TableStoreTest);

} // namespace kumquat::standins
