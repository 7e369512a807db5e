// Functions that the stories call. Each takes one table or a few plain values.

#include "scenarios/luabinding.h"

#include <lua.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <csignal>
#include <exception>
#include <memory>
#include <stdexcept>
#include <string>
#include <thread>

namespace kumquat::scenarios {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

using Binding = int (*)(Scenario&, lua_State*);

constexpr double kMillisPerSecond = 1000;
constexpr double kDefaultSettle = 20;
constexpr double kDefaultStop = 35;

json ToJson(lua_State* aLua, int aIndex);

json TableToJson(lua_State* aLua, int aIndex)
{
  const int table = lua_absindex(aLua, aIndex);
  const bool isList = lua_rawlen(aLua, table) > 0;
  json value = isList ? json::array() : json::object();
  lua_pushnil(aLua);
  while (lua_next(aLua, table) != 0) {
    json member = ToJson(aLua, -1);
    if (isList) {
      value.push_back(std::move(member));
    } else {
      value[lua_tostring(aLua, -2)] = std::move(member);
    }
    lua_pop(aLua, 1);
  }
  return value;
}

json ToJson(lua_State* aLua, int aIndex)
{
  switch (lua_type(aLua, aIndex)) {
    case LUA_TNIL:
    case LUA_TNONE:
      return json::object();
    case LUA_TBOOLEAN:
      return lua_toboolean(aLua, aIndex) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(aLua, aIndex) != 0) {
        return lua_tointeger(aLua, aIndex);
      }
      return lua_tonumber(aLua, aIndex);
    case LUA_TSTRING:
      return lua_tostring(aLua, aIndex);
    case LUA_TTABLE:
      return TableToJson(aLua, aIndex);
    default:
      throw std::runtime_error("a value of a kind that cannot be passed on");
  }
}

std::string Text(lua_State* aLua, int aIndex)
{
  const char* text = lua_tostring(aLua, aIndex);
  if (text == nullptr) {
    throw std::runtime_error("argument " + std::to_string(aIndex) +
                             " must be a string");
  }
  return text;
}

double Number(lua_State* aLua, int aIndex, double aDefault)
{
  return lua_isnoneornil(aLua, aIndex) ? aDefault : lua_tonumber(aLua, aIndex);
}

milliseconds Seconds(double aSeconds)
{
  return milliseconds(std::llround(aSeconds * kMillisPerSecond));
}

int Start(Scenario& aScenario, lua_State* aLua)
{
  const json options = ToJson(aLua, 1);
  Scenario::StartOptions start;
  start.deployment = options.value("deployment", start.deployment);
  start.relayed = options.value("relayed", false);
  start.platformFlags =
    options.value("platform_flags", std::vector<std::string>());
  start.upstreamFlags =
    options.value("upstream_flags", std::vector<std::string>());
  aScenario.Start(start);
  aScenario.Settle(Seconds(options.value("settle", kDefaultSettle)));
  return 0;
}

int Load(Scenario& aScenario, lua_State* aLua)
{
  const json options = ToJson(aLua, 1);
  Scenario::LoadPlan plan;
  plan.duration = Seconds(options.at("seconds").get<double>());
  plan.perSecond = options.at("rates").get<std::map<std::string, double>>();
  plan.keys = options.value("keys", plan.keys);
  aScenario.StartLoad(plan);
  return 0;
}

int WaitLoad(Scenario& aScenario, lua_State* /*aLua*/)
{
  aScenario.WaitLoad();
  return 0;
}

int Sleep(Scenario& /*aScenario*/, lua_State* aLua)
{
  std::this_thread::sleep_for(Seconds(Number(aLua, 1, 0)));
  return 0;
}

int Kill(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Kill(Text(aLua, 1));
  return 0;
}

int Stop(Scenario& aScenario, lua_State* aLua)
{
  const int code =
    aScenario.Stop(Text(aLua, 1), Seconds(Number(aLua, 2, kDefaultStop)));
  lua_pushinteger(aLua, code);
  return 1;
}

int Freeze(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Signal(Text(aLua, 1), SIGSTOP);
  return 0;
}

int Thaw(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Signal(Text(aLua, 1), SIGCONT);
  return 0;
}

int StartHost(Scenario& aScenario, lua_State* aLua)
{
  aScenario.StartHost(Text(aLua, 1));
  return 0;
}

int Settle(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Settle(Seconds(Number(aLua, 1, kDefaultSettle)));
  return 0;
}

int PlatformFault(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Control("platform", "/control/faults", ToJson(aLua, 1));
  return 0;
}

int ListEndpoint(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Control("platform", "/control/endpoints", ToJson(aLua, 1));
  return 0;
}

int UpstreamFault(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Control("upstream", "/control/faults", ToJson(aLua, 1));
  return 0;
}

int Cut(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Control("network", "/control/cut", ToJson(aLua, 1));
  return 0;
}

int Heal(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Control("network", "/control/heal", ToJson(aLua, 1));
  return 0;
}

int Place(Scenario& aScenario, lua_State* aLua)
{
  aScenario.SetPlace(Text(aLua, 1), lua_toboolean(aLua, 2) != 0);
  return 0;
}

int Operate(Scenario& aScenario, lua_State* aLua)
{
  const auto [status, body] =
    aScenario.Operate(Text(aLua, 1), Text(aLua, 2), Text(aLua, 3),
                      lua_isnoneornil(aLua, 4) ? "" : Text(aLua, 4));
  lua_pushinteger(aLua, status);
  lua_pushlstring(aLua, body.data(), body.size());
  return 2;
}

int Expect(Scenario& aScenario, lua_State* aLua)
{
  if (lua_toboolean(aLua, 1) == 0) {
    aScenario.Fail(Text(aLua, 2));
  }
  return 0;
}

int Say(Scenario& aScenario, lua_State* aLua)
{
  aScenario.Say(Text(aLua, 1));
  return 0;
}

int CheckAll(Scenario& aScenario, lua_State* aLua)
{
  const json options = ToJson(aLua, 1);
  aScenario.CheckAll({ .nothingCut = options.value("nothing_cut", false) });
  return 0;
}

int Unavailable(Scenario& aScenario, lua_State* aLua)
{
  lua_pushnumber(aLua, aScenario.FiguresOf(Text(aLua, 1)).unavailableSeconds);
  return 1;
}

int WorstGap(Scenario& aScenario, lua_State* aLua)
{
  lua_pushnumber(aLua, aScenario.FiguresOf(Text(aLua, 1)).worstGapSeconds);
  return 1;
}

int CountRuns(Scenario& aScenario, lua_State* aLua)
{
  lua_pushinteger(aLua, aScenario.CountRuns(Text(aLua, 1), Number(aLua, 2, 0),
                                            Number(aLua, 3, HUGE_VAL)));
  return 1;
}

int Random(Scenario& aScenario, lua_State* aLua)
{
  const auto below = static_cast<std::uint64_t>(Number(aLua, 1, 2));
  lua_pushinteger(aLua, static_cast<lua_Integer>(aScenario.Random(below)) + 1);
  return 1;
}

int Hosts(Scenario& aScenario, lua_State* aLua)
{
  lua_newtable(aLua);
  lua_Integer index = 0;
  for (const standins::HostPlan& host : aScenario.Hosts()) {
    lua_pushstring(aLua, host.id.c_str());
    lua_rawseti(aLua, -2, ++index);
  }
  return 1;
}

struct NamedBinding
{
  const char* name;
  Binding binding;
};

constexpr std::array kBindings{
  NamedBinding{ "start", Start },
  NamedBinding{ "settle", Settle },
  NamedBinding{ "load", Load },
  NamedBinding{ "wait_load", WaitLoad },
  NamedBinding{ "sleep", Sleep },
  NamedBinding{ "kill", Kill },
  NamedBinding{ "stop", Stop },
  NamedBinding{ "freeze", Freeze },
  NamedBinding{ "thaw", Thaw },
  NamedBinding{ "start_host", StartHost },
  NamedBinding{ "platform", PlatformFault },
  NamedBinding{ "endpoint", ListEndpoint },
  NamedBinding{ "upstream", UpstreamFault },
  NamedBinding{ "cut", Cut },
  NamedBinding{ "heal", Heal },
  NamedBinding{ "place", Place },
  NamedBinding{ "operate", Operate },
  NamedBinding{ "expect", Expect },
  NamedBinding{ "say", Say },
  NamedBinding{ "check", CheckAll },
  NamedBinding{ "unavailable", Unavailable },
  NamedBinding{ "worst_gap", WorstGap },
  NamedBinding{ "count_runs", CountRuns },
  NamedBinding{ "random", Random },
  NamedBinding{ "hosts", Hosts },
};

// Leaves an exception's text on Lua's stack: -1 says so.
int CallBinding(lua_State* aLua)
{
  auto* scenario =
    static_cast<Scenario*>(lua_touserdata(aLua, lua_upvalueindex(1)));
  const auto index =
    static_cast<std::size_t>(lua_tointeger(aLua, lua_upvalueindex(2)));
  try {
    return kBindings.at(index).binding(*scenario, aLua);
  } catch (const std::exception& error) {
    lua_pushstring(aLua, error.what());
    return -1;
  }
}

// Lua's own error jumps over C++ frames, so it starts where none is left.
int Trampoline(lua_State* aLua)
{
  const int results = CallBinding(aLua);
  return results >= 0 ? results : lua_error(aLua);
}

void Register(lua_State* aLua, Scenario& aScenario)
{
  for (std::size_t index = 0; index < kBindings.size(); ++index) {
    lua_pushlightuserdata(aLua, &aScenario);
    lua_pushinteger(aLua, static_cast<lua_Integer>(index));
    lua_pushcclosure(aLua, Trampoline, 2);
    lua_setglobal(aLua, kBindings.at(index).name);
  }
}

} // namespace

void RunStory(Scenario& aScenario, const std::filesystem::path& aFile)
{
  const std::unique_ptr<lua_State, decltype(&lua_close)> lua(luaL_newstate(),
                                                             lua_close);
  luaL_openlibs(lua.get());
  Register(lua.get(), aScenario);
  if (luaL_dofile(lua.get(), aFile.c_str()) != LUA_OK) {
    aScenario.Fail(lua_tostring(lua.get(), -1));
  }
}

} // namespace kumquat::scenarios
