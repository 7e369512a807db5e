// What a request costs at its steward: taken in, sent, answered.

#include "slope.h"

#include "coordination/steward.h"

#include <spdlog/fmt/fmt.h>

#include <array>
#include <deque>

namespace kumquat::bench {

namespace {

constexpr std::array<std::size_t, 4> kUpstreamCounts = { 1, 10, 100, 1'000 };
constexpr std::size_t kRequests = 200'000;

state::UpstreamRef RefOf(std::size_t aIndex)
{
  return { { "stoc" }, { fmt::format("stoc-{}", aIndex) } };
}

coordination::CallerRequest MakeRequest(TimePoint aNow)
{
  coordination::CallerRequest request;
  request.service = { "stoc" };
  request.key = "pitch-1234";
  request.deadline = aNow + std::chrono::seconds(2);
  request.method = "GET";
  request.target = "/stoc/pitch-1234?n=n1-2-3";
  return request;
}

// A steward whose upstreams answer at once, when asked to.
class Stage
{
public:
  explicit Stage(std::size_t aUpstreams)
    : steward({ .now = [this] { return this->now; },
                .send =
                  [this](const coordination::UpstreamCall& aCall) {
                    this->sent.push_back(aCall.id);
                  },
                .cancel = [](coordination::RequestId) {},
                .holdsLease = [] { return true; },
                .mayRun = [](const state::UpstreamRef&,
                             const std::string&) { return true; },
                .name = "caerdydd-1" })
  {
    state::ServiceConfiguration service;
    service.name = { "stoc" };
    for (std::size_t i = 0; i < aUpstreams; ++i) {
      this->refs.push_back(RefOf(i));
      state::UpstreamRecord record;
      record.ref = this->refs.back();
      record.epoch = 1;
      record.version = 1;
      this->steward.Take(record, service);
      this->steward.SetOpen(record.ref, true);
    }
  }

  void RunOne(std::size_t aIndex)
  {
    this->now += std::chrono::microseconds(100);
    this->steward.Submit(
      this->refs[aIndex % this->refs.size()],
      { .id = aIndex + 1,
        .request = MakeRequest(this->now),
        .done = [this](const coordination::RequestResult&) { ++this->done; } });
    while (!this->sent.empty()) {
      const coordination::RequestId id = this->sent.front();
      this->sent.pop_front();
      this->steward.OnAnswer(id, transport::HttpResponse{});
    }
  }

  std::size_t Done() const { return this->done; }

private:
  TimePoint now{ std::chrono::hours(1) };
  std::deque<coordination::RequestId> sent;
  std::vector<state::UpstreamRef> refs;
  std::size_t done = 0;
  coordination::Steward steward;
};

} // namespace

std::vector<Slope> MeasureSteward()
{
  Slope time{
    "steward", "request: submit, send, answer", "ns", "upstream", {}
  };
  Slope memory{
    "steward", "memory for idle upstreams", "bytes", "upstream", {}
  };
  for (const std::size_t count : kUpstreamCounts) {
    const auto size = static_cast<double>(count);
    const std::size_t before = AllocatedBytes();
    Stage stage(count);
    memory.points.push_back(
      { size, static_cast<double>(AllocatedBytes() - before) });
    time.points.push_back(
      { size, TimeEach(kRequests, [&stage](std::size_t aIndex) {
          stage.RunOne(aIndex);
        }) });
  }
  return { time, memory };
}

} // namespace kumquat::bench
