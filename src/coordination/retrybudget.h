// How often and how soon a request is tried again: a bounded number of times,
// and as a share of all requests, so that trouble is not multiplied.

#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>

namespace kumquat::coordination {

// Of one request, the first included.
inline constexpr int kMostTries = 4;

// How long the next try waits for the map to catch up, after aTries of them.
inline std::chrono::milliseconds BackoffAfter(int aTries)
{
  using std::chrono::milliseconds;
  constexpr std::array kBackoff = { milliseconds(20), milliseconds(60),
                                    milliseconds(180) };
  const auto step =
    std::min(static_cast<std::size_t>(aTries) - 1, kBackoff.size() - 1);
  return kBackoff.at(step);
}

// In any span of time, at most the tokens that were there at its start and
// those of its requests are spent; so the sum over all hosts keeps a bound of
// the form "a share of all requests and so many more" without any talk.
class RetryBudget
{
public:
  RetryBudget() = default;

  RetryBudget(double aTokensPerRequest, double aMostTokens)
    : tokensPerRequest(aTokensPerRequest)
    , mostTokens(aMostTokens)
    , tokens(aMostTokens)
  {
  }

  // What was saved beyond it is lost.
  void SetMostTokens(double aMostTokens)
  {
    this->mostTokens = aMostTokens;
    this->tokens = std::min(this->tokens, aMostTokens);
  }

  void OnRequest()
  {
    this->tokens =
      std::min(this->mostTokens, this->tokens + this->tokensPerRequest);
  }

  bool HasTokens() const { return this->tokens >= 1.0; }

  // False where no retry may be made now.
  [[nodiscard]] bool Spend()
  {
    if (this->tokens < 1.0) {
      return false;
    }
    this->tokens -= 1.0;
    return true;
  }

private:
  // One retry for ten requests, and a few for a quiet host.
  static constexpr double kTokensPerRequest = 0.1;
  static constexpr double kMostTokens = 20.0;

  double tokensPerRequest = kTokensPerRequest;
  double mostTokens = kMostTokens;
  double tokens = kMostTokens;
};

} // namespace kumquat::coordination
