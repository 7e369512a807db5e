// The borrower and the lender of a host, and their messages.

#include "node/internal/teamquotas.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <set>
#include <utility>

namespace kumquat::node {

using admission::QuotaAsk;
using admission::QuotaDemand;
using admission::QuotaGrant;
using admission::QuotaReply;

namespace {

constexpr double kPerKilosecond = 1e3;
constexpr double kMillionths = 1e6;
// Longer times make no difference to the lender.
constexpr std::chrono::milliseconds kMaxSinceLastGrant{ 3'600'000 };

// Rounded down, so that the shares never add up to more than 1.
std::int32_t ShareToWire(double aShare)
{
  return static_cast<std::int32_t>(std::floor(aShare * kMillionths));
}

protocol::QuotaDemand ToWire(const QuotaDemand& aDemand)
{
  protocol::QuotaDemand demand;
  demand.__set_team(aDemand.team.value);
  demand.__set_stock(aDemand.stock);
  demand.__set_needed(aDemand.needed);
  demand.__set_wanted(aDemand.wanted);
  demand.__set_perKilosecond(
    static_cast<std::int32_t>(std::lround(aDemand.perSecond * kPerKilosecond)));
  demand.__set_shareMillionths(ShareToWire(aDemand.share));
  return demand;
}

QuotaDemand FromWire(const protocol::QuotaDemand& aDemand)
{
  return { { aDemand.team },
           aDemand.stock,
           aDemand.needed,
           aDemand.wanted,
           aDemand.perKilosecond / kPerKilosecond,
           aDemand.shareMillionths / kMillionths };
}

protocol::QuotaGrant ToWire(const QuotaGrant& aGrant)
{
  protocol::QuotaGrant grant;
  grant.__set_team(aGrant.team.value);
  grant.__set_tokens(aGrant.tokens);
  grant.__set_shareMillionths(ShareToWire(aGrant.share));
  grant.__set_untilNextMs(static_cast<std::int32_t>(aGrant.untilNext.count()));
  return grant;
}

QuotaGrant FromWire(const protocol::QuotaGrant& aGrant)
{
  return { { aGrant.team },
           aGrant.tokens,
           aGrant.shareMillionths / kMillionths,
           std::chrono::milliseconds(aGrant.untilNextMs) };
}

template<typename To, typename From>
std::vector<To> Convert(const std::vector<From>& aItems)
{
  std::vector<To> converted;
  std::ranges::transform(aItems, std::back_inserter(converted),
                         [](const From& aItem) {
                           if constexpr (requires { FromWire(aItem); }) {
                             return FromWire(aItem);
                           } else {
                             return ToWire(aItem);
                           }
                         });
  return converted;
}

} // namespace

TeamQuotas::TeamQuotas(const state::HostRef& aSelf,
                       std::chrono::milliseconds aWindow, Hooks aHooks)
  : self(aSelf.host)
  , hooks(std::move(aHooks))
  , lender(this->hooks.now, aWindow)
  , borrower(aSelf.incarnation,
             { this->hooks.now,
               [this](const state::HostId& aLender, const QuotaAsk& aAsk) {
                 this->SendAsk(aLender, aAsk);
               } })
{
}

void TeamQuotas::SetTeams(const std::vector<admission::Team>& aTeams)
{
  this->hasQuotas =
    std::ranges::any_of(aTeams, [](const admission::Team& aTeam) {
      return aTeam.quota.IsLimited();
    });
  this->lender.SetTeams(aTeams);
  this->borrower.SetTeams(aTeams);
}

void TeamQuotas::SetHosts(const std::vector<state::HostId>& aHosts)
{
  const std::set<state::HostId> known(aHosts.begin(), aHosts.end());
  this->lender.SetHosts(known);
  this->borrower.SetHostCount(known.size());
}

void TeamQuotas::SendAsk(const state::HostId& aLender, const QuotaAsk& aAsk)
{
  if (aLender == this->self) {
    this->borrower.OnReply(this->self, this->lender.OnAsk(this->self, aAsk));
    return;
  }
  protocol::QuotaAsk ask;
  ask.__set_number(aAsk.number);
  ask.__set_lastReply(aAsk.lastReply);
  ask.__set_sinceLastGrantMs(static_cast<std::int32_t>(
    std::min(aAsk.sinceLastGrant, kMaxSinceLastGrant).count()));
  ask.__set_hasShares(aAsk.hasShares);
  ask.__set_demands(Convert<protocol::QuotaDemand>(aAsk.demands));
  protocol::Frame frame;
  frame.__set_quotaAsk(ask);
  this->hooks.send(aLender.value, frame);
}

void TeamQuotas::OnAsk(const state::HostId& aFrom,
                       const protocol::QuotaAsk& aAsk)
{
  const QuotaReply lent = this->lender.OnAsk(
    aFrom, { aAsk.number, aAsk.lastReply,
             std::chrono::milliseconds(aAsk.sinceLastGrantMs), aAsk.hasShares,
             Convert<QuotaDemand>(aAsk.demands) });
  protocol::QuotaReply reply;
  reply.__set_number(lent.number);
  reply.__set_lending(lent.isLending);
  reply.__set_grants(Convert<protocol::QuotaGrant>(lent.grants));
  protocol::Frame frame;
  frame.__set_quotaReply(reply);
  this->hooks.send(aFrom.value, frame);
}

void TeamQuotas::OnReply(const state::HostId& aFrom,
                         const protocol::QuotaReply& aReply)
{
  this->borrower.OnReply(aFrom, { aReply.number, aReply.lending,
                                  Convert<QuotaGrant>(aReply.grants) });
}

void TeamQuotas::OnTimer()
{
  if (!this->hasQuotas) {
    return;
  }
  this->lender.OnTimer();
  this->borrower.SetLender(this->hooks.findLender());
  this->borrower.OnTimer();
  const state::HostId current =
    this->borrower.Lender().value_or(state::HostId{});
  const bool lends = this->lender.IsLending();
  if (current != this->reportedLender || lends != this->reportedLends) {
    this->reportedLender = current;
    this->reportedLends = lends;
    this->hooks.changed(current, lends);
  }
}

} // namespace kumquat::node
