// Retries as a share of requests, so that trouble is not multiplied.

#pragma once

#include <algorithm>

namespace kumquat::coordination {

class RetryBudget
{
public:
  void OnRequest()
  {
    this->tokens = std::min(kMostTokens, this->tokens + kTokensPerRequest);
  }

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

  double tokens = kMostTokens;
};

} // namespace kumquat::coordination
