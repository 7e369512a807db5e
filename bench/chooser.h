// The baselines: entry hosts that pick upstreams by themselves, without
// stewards. They run inside the load's threads, so that a request saves the
// hop to an entry process; figures against them are kind to them by that.

#pragma once

#include "coordination/retrybudget.h"
#include "load.h"
#include "standins/deployment.h"

#include <boost/asio/steady_timer.hpp>
#include <pcg_random.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace kumquat::bench {

enum class ChooserRule
{
  // Two random ones, the less busy by own count and last load report.
  kTwoChoices,
  kRoundRobin,
};

// A few entry hosts' worth of choosers, on one of the load's threads.
class ChooserEntries : public Sender
{
public:
  struct Options
  {
    const standins::Deployment* deployment = nullptr;
    std::vector<standins::UpstreamPlan> upstreams;
    ChooserRule rule = ChooserRule::kTwoChoices;
    // Entry hosts on this thread.
    int entries = 3;
    std::uint64_t seed = 1;
    std::chrono::milliseconds reportInterval{ 1000 };
  };

  ChooserEntries(boost::asio::io_context& aContext, const Options& aOptions);
  ~ChooserEntries() override;
  ChooserEntries(const ChooserEntries&) = delete;
  ChooserEntries& operator=(const ChooserEntries&) = delete;

  void Send(const LoadRequest& aRequest, Done aDone) override;

private:
  class Entry;

  std::vector<std::shared_ptr<Entry>> entries;
  std::size_t turn = 0;
};

} // namespace kumquat::bench
