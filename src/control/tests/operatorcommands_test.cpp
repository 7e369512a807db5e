// The operators' commands against a host's answers.

#include "control/operatorcommands.h"

#include <cppunit/extensions/HelperMacros.h>

#include <deque>
#include <sstream>
#include <string>

namespace kumquat::control {

namespace {

using transport::HttpRequest;
using transport::HttpResponse;

HttpResponse Answer(int aStatus, std::string aBody)
{
  HttpResponse response;
  response.status = aStatus;
  response.body = std::move(aBody);
  return response;
}

std::string StatusWith(const std::string& aLaggard)
{
  return R"({"host":"a","ready":true,"holds_lease":true,
    "configuration_version":5,"configuration_phase":"in-force",
    "places":[{"name":"wrecsam","out":false,"version":4}],
    "services":[],"stewardships":[],"refusals":{"queue-full":2},"retries":{},
    "hosts":[
    {"host":"a","state":"live","data_centre":"x",
     "configuration_version":5,"places_version":9},
    {"host":"gone","state":"deposed","data_centre":"x",
     "configuration_version":null,"places_version":null},
    {"host":"b","state":"live","data_centre":"x",
     "configuration_version":)" +
         aLaggard + R"(,"places_version":9}]})";
}

constexpr auto kText = R"({"services": [{"name": "stoc"}]})";

} // namespace

class OperatorCommandsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OperatorCommandsTest);
  CPPUNIT_TEST(testCheckNeedsNoHost);
  CPPUNIT_TEST(testApplyWaitsUntilInForceEverywhere);
  CPPUNIT_TEST(testApplyNamesTheHostsThatLag);
  CPPUNIT_TEST(testConflict);
  CPPUNIT_TEST(testLostAnswerIsUnknown);
  CPPUNIT_TEST(testOut);
  CPPUNIT_TEST(testStatusText);
  CPPUNIT_TEST(testWrongWords);
  CPPUNIT_TEST_SUITE_END();

public:
  void testCheckNeedsNoHost()
  {
    CPPUNIT_ASSERT(this->Run({ "config", "check", "good" }) == ExitCode::kDone);
    CPPUNIT_ASSERT(this->Run({ "config", "check", "bad" }) ==
                   ExitCode::kInvalid);
    CPPUNIT_ASSERT(this->err.str().find("bad:1: /services") !=
                   std::string::npos);
    CPPUNIT_ASSERT(this->Run({ "config", "check", "none" }) ==
                   ExitCode::kInvalid);
  }

  void testApplyWaitsUntilInForceEverywhere()
  {
    this->answers = { Answer(200, R"({"version":5})"),
                      Answer(200, StatusWith("4")),
                      Answer(200, StatusWith("5")) };
    CPPUNIT_ASSERT(this->Run({ "config", "apply", "good" }) == ExitCode::kDone);
    CPPUNIT_ASSERT_EQUAL(std::string("/config?expect=4"),
                         this->sent.front().target);
    CPPUNIT_ASSERT_EQUAL(std::string(kText), this->sent.front().body);
    CPPUNIT_ASSERT(this->out.str().find("waiting for 1 hosts") !=
                   std::string::npos);
  }

  // One host is cut off: the operator must learn which one, and get the prompt
  // back. A deposed host is not waited for.
  void testApplyNamesTheHostsThatLag()
  {
    this->answers = { Answer(200, R"({"version":5})"),
                      Answer(200, StatusWith("null")) };
    CPPUNIT_ASSERT(this->Run({ "config", "apply", "good" }) ==
                   ExitCode::kLagging);
    CPPUNIT_ASSERT(this->err.str().find("  b (not heard)") !=
                   std::string::npos);
    CPPUNIT_ASSERT(this->err.str().find("gone") == std::string::npos);
    CPPUNIT_ASSERT(this->now - TimePoint() >= this->options.wait);
  }

  void testConflict()
  {
    this->answers = { Answer(409, R"({"error":"conflict","message":"m",
                                      "in_force":{"version":7}})") };
    CPPUNIT_ASSERT(this->Run({ "config", "apply", "good" }) ==
                   ExitCode::kConflict);
    CPPUNIT_ASSERT(this->err.str().find("{\"version\":7}") !=
                   std::string::npos);
  }

  // The connection breaks after the change was sent: "failed" would be a lie,
  // as it may be in force.
  void testLostAnswerIsUnknown()
  {
    this->error = transport::TransportError::kBroken;
    CPPUNIT_ASSERT(this->Run({ "config", "apply", "good" }) ==
                   ExitCode::kUnknown);
    this->error = transport::TransportError::kUnreachable;
    CPPUNIT_ASSERT(this->Run({ "config", "apply", "good" }) ==
                   ExitCode::kFailed);
  }

  void testOut()
  {
    this->answers = { Answer(200, StatusWith("5")),
                      Answer(200, R"({"places_version":9})"),
                      Answer(200, StatusWith("5")) };
    CPPUNIT_ASSERT(this->Run({ "out", "data-centre", "wrecsam" }) ==
                   ExitCode::kDone);
    CPPUNIT_ASSERT_EQUAL(
      std::string("/places/wrecsam?kind=data-centre&out=true&expect=4"),
      this->sent.at(1).target);
  }

  void testStatusText()
  {
    this->answers = { Answer(200, StatusWith("null")) };
    CPPUNIT_ASSERT(this->Run({ "status" }) == ExitCode::kDone);
    CPPUNIT_ASSERT(this->out.str().find("not heard") != std::string::npos);
    CPPUNIT_ASSERT(this->out.str().find("queue-full=2") != std::string::npos);
  }

  void testWrongWords()
  {
    CPPUNIT_ASSERT(this->Run({}) == ExitCode::kInvalid);
    CPPUNIT_ASSERT(this->Run({ "config" }) == ExitCode::kInvalid);
    CPPUNIT_ASSERT(this->Run({ "out", "host" }) == ExitCode::kInvalid);
    CPPUNIT_ASSERT(this->sent.empty());
  }

private:
  ExitCode Run(const std::vector<std::string>& aWords)
  {
    const OperatorCommands commands(
      { .send =
          [this](HttpRequest aRequest) {
            return this->Take(std::move(aRequest));
          },
        .readFile = ReadFile,
        .now = [this] { return this->now; },
        .sleep =
          [this](std::chrono::milliseconds aTime) { this->now += aTime; },
        .out = this->out,
        .err = this->err },
      this->options);
    return commands.Run(aWords);
  }

  // The last answer is given again and again.
  Result<HttpResponse> Take(HttpRequest aRequest)
  {
    this->sent.push_back(std::move(aRequest));
    if (this->answers.empty()) {
      return make_error_code(this->error);
    }
    HttpResponse answer = this->answers.front();
    if (this->answers.size() > 1) {
      this->answers.pop_front();
    }
    return answer;
  }

  static std::optional<std::string> ReadFile(const std::string& aPath)
  {
    if (aPath == "none") {
      return std::nullopt;
    }
    return aPath == "good" ? kText : "{}";
  }

  CommandOptions options{ .expect = 4 };
  std::deque<HttpResponse> answers;
  transport::TransportError error = transport::TransportError::kUnreachable;
  std::vector<HttpRequest> sent;
  TimePoint now;
  std::ostringstream out;
  std::ostringstream err;
};

CPPUNIT_TEST_SUITE_REGISTRATION(OperatorCommandsTest);

} // namespace kumquat::control
