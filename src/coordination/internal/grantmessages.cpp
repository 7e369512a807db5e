// JSON of fences, grants and revocations.

#include "coordination/internal/grantmessages.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <exception>

namespace kumquat::coordination {

namespace {

using nlohmann::json;

} // namespace

std::string FenceBody(const state::HostRef& aSteward, state::Epoch aEpoch)
{
  return json{ { "steward", aSteward.host.value }, { "epoch", aEpoch } }.dump();
}

std::string GrantBody(const state::SliceRecord& aSlice, state::Epoch aEpoch,
                      std::int64_t aSequence, Duration aTerm,
                      std::optional<std::int64_t> aAsOfMillis)
{
  const auto term =
    std::chrono::duration_cast<std::chrono::milliseconds>(aTerm).count();
  json body = { { "epoch", aEpoch },
                { "part", aSlice.part },
                { "first", std::to_string(aSlice.first) },
                { "last", std::to_string(aSlice.last) },
                { "sliceEpoch", aSlice.epoch },
                { "sequence", aSequence },
                { "termMs", term } };
  if (aAsOfMillis) {
    body["asOfMs"] = *aAsOfMillis;
  }
  return body.dump();
}

std::string RevokeBody(const state::SliceRecord& aSlice, state::Epoch aEpoch)
{
  return json{
    { "epoch", aEpoch }, { "part", aSlice.part }, { "sliceEpoch", aSlice.epoch }
  }.dump();
}

std::optional<std::int64_t> ParseClock(const std::string& aBody)
{
  const json body = json::parse(aBody, nullptr, false);
  if (!body.is_object()) {
    return std::nullopt;
  }
  const auto clock = body.find("clockMs");
  const bool known = clock != body.end() && clock->is_number_integer();
  return known ? std::optional(clock->get<std::int64_t>()) : std::nullopt;
}

std::optional<FenceAnswer> ParseFenceAnswer(const std::string& aBody)
{
  try {
    const json body = json::parse(aBody);
    FenceAnswer answer;
    answer.epoch = body.value("epoch", state::Epoch{ 0 });
    answer.incarnation = body.value("incarnation", state::Incarnation{ 0 });
    answer.checksFence = body.value("checksFence", false);
    for (const json& grant : body.value("grants", json::array())) {
      answer.granted[grant.at("part").get<std::string>()] =
        grant.value("sequence", std::int64_t{ 0 });
    }
    return answer;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

} // namespace kumquat::coordination
