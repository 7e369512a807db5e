// The platform's list of live and leaving hosts and upstreams, which shows
// each change only some time after it was made. No I/O.

#pragma once

#include "framework/clock.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace kumquat::standins {

enum class EndpointState
{
  kLive,
  // Still answers, and is to get nothing new.
  kLeaving,
  kGone,
};

struct ListedEndpoint
{
  std::string service;
  std::string id;
  std::string ip;
  int port = 0;
  std::string dataCentre;
  EndpointState state = EndpointState::kLive;
};

class EndpointHistory
{
public:
  // Known from the beginning.
  void Add(ListedEndpoint aEndpoint);

  // False where there is no such endpoint.
  bool Set(const std::string& aService, const std::string& aId,
           EndpointState aState, TimePoint aNow);

  // The EndpointSliceList as it stood at aAsOf, as JSON.
  std::string Text(TimePoint aAsOf);

private:
  using Key = std::pair<std::string, std::string>;

  struct Change
  {
    TimePoint at;
    Key key;
    EndpointState state;
  };

  // As last shown; older than every change in `changes`.
  std::map<Key, ListedEndpoint> shown;
  // Not shown yet, in the order of time.
  std::deque<Change> changes;
  long long resourceVersion = 1;
};

} // namespace kumquat::standins
