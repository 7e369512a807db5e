// Teams' quotas at one host: its borrower and, if the host is the lender, its
// lender; and the conversion of their messages. Used on the serving thread.

#pragma once

#include "admission/quotaborrower.h"
#include "admission/quotalender.h"
#include "protocol/gen/peer_types.h"
#include "state/types.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace kumquat::node {

class TeamQuotas
{
public:
  struct Hooks
  {
    Clock now;
    std::function<void(const std::string&, const protocol::Frame&)> send;
    // The host that should lend, as far as this one knows.
    std::function<std::optional<state::HostId>()> findLender;
    // This host borrows from another host, or from none if it is empty. aLends:
    // it lends itself.
    std::function<void(const state::HostId& aLender, bool aLends)> changed;
  };

  // aWindow: the limits bind for each span of this length.
  TeamQuotas(const state::HostRef& aSelf, std::chrono::milliseconds aWindow,
             Hooks aHooks);

  void SetTeams(const std::vector<admission::Team>& aTeams);
  // All known hosts, this one included; empty while they are not known.
  void SetHosts(const std::vector<state::HostId>& aHosts);

  admission::QuotaBorrower& Borrower() { return this->borrower; }
  const admission::QuotaLender& Lender() const { return this->lender; }

  void OnAsk(const state::HostId& aFrom, const protocol::QuotaAsk& aAsk);
  void OnReply(const state::HostId& aFrom, const protocol::QuotaReply& aReply);
  void OnTimer();

private:
  void SendAsk(const state::HostId& aLender, const admission::QuotaAsk& aAsk);

  const state::HostId self;
  const Hooks hooks;
  bool hasQuotas = false;
  // As reported last.
  state::HostId reportedLender;
  bool reportedLends = false;
  admission::QuotaLender lender;
  admission::QuotaBorrower borrower;
};

} // namespace kumquat::node
