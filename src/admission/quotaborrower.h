// A host's side of the teams' quotas: keeps a small stock of tokens for each
// team whose requests arrive here, asks the lender for more before the stock is
// used up, and decides whether a request is within its team's limit.
//
// A request that finds no token waits until the lender replies, a few
// milliseconds, and is refused if it has none. While no lender replies, the
// host spends its share of each rate by itself.
//
// Invariants:
// - One ask at a time, and replies to earlier ones are ignored: what a lender
//   knows of this host's stock is never too low.
// - The host asks another lender only kAttachmentTerm and kMaxCheckInterval
//   after the last reply of the one before.

#pragma once

#include "admission/quotalender.h"
#include "admission/quotamessages.h"
#include "admission/teamdirectory.h"
#include "framework/clock.h"
#include "protocol/errorkind.h"
#include "state/types.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace kumquat::admission {

struct QuotaDecision
{
  // kNone, kTeamOverLimit or kTeamLimitUnknown.
  protocol::ErrorKind error = protocol::ErrorKind::kNone;
  std::chrono::milliseconds retryAfter{ 0 };
};

class QuotaBorrower
{
public:
  struct Hooks
  {
    Clock now;
    // May call OnReply before it returns.
    std::function<void(const state::HostId&, const QuotaAsk&)> sendAsk;
  };
  using Decide = std::function<void(const QuotaDecision&)>;

  // aFirstNumber: above the numbers of all asks of the host's earlier runs.
  QuotaBorrower(std::int64_t aFirstNumber, Hooks aHooks);

  void SetTeams(const std::vector<Team>& aTeams);
  // Number of known hosts, this one included; 0 while they are not known.
  void SetHostCount(std::size_t aCount) { this->hostCount = aCount; }
  // The host that should lend now, as far as this one knows.
  void SetLender(const std::optional<state::HostId>& aLender);

  // Takes a token for a request. aDecide is called once, possibly before this
  // method returns.
  void Take(const TeamName& aTeam, Decide aDecide);
  // Takes a token if there is one now.
  bool TryTake(const TeamName& aTeam);
  // Gives back the token of a request that has not run.
  void Return(const TeamName& aTeam);

  // The host that lends to this one now.
  std::optional<state::HostId> Lender() const
  {
    return this->HasLender() ? this->lender : std::nullopt;
  }
  // Whether the host, as a lender, has recently not replied for so long that
  // another should lend.
  bool IsSilent(const state::HostId& aHost) const;

  void OnReply(const state::HostId& aFrom, const QuotaReply& aReply);
  // Asks for what is needed, and ends waits that are too long; call it several
  // times a second.
  void OnTimer();

private:
  struct Waiter
  {
    TimePoint since;
    Decide decide;
  };
  // A wait that has ended.
  struct Decided
  {
    Decide decide;
    QuotaDecision decision;
  };
  struct TeamState
  {
    Quota quota;
    int stock = 0;
    TimePoint stockUntil;
    double share = 0;
    TimePoint shareUntil;
    TimePoint shareAskedAt;
    // Tokens that this host has by its share, while no lender replies.
    double ownTokens = 0;
    TimePoint ownTokensAt;
    // Until then the lender has no token for this host.
    TimePoint exhaustedUntil;
    int arrivals = 0;
    double perSecond = 0;
    std::deque<Waiter> waiters;
    // Waiters that the running ask is for; the first ones.
    std::size_t askedFor = 0;
  };

  void KeepOwnTokens();
  bool HasLender() const;
  bool MayGetTokenSoon(const TeamState& aTeam) const;
  void LoseLender();
  void NoteSilentLender();
  double ShareOf(const TeamState& aTeam) const;
  bool TakeToken(TeamState& aTeam);
  void FillOwnTokens(TeamState& aTeam) const;
  bool TakeOwnToken(TeamState& aTeam);
  QuotaDecision RefuseWithoutLender(const TeamState& aTeam) const;
  void DropExpiredStock(TeamState& aTeam) const;
  static int StockTarget(const TeamState& aTeam);
  static bool IsStockLow(const TeamState& aTeam);
  std::optional<QuotaDemand> DemandOf(const TeamName& aName, TeamState& aTeam);
  void SendAsk();
  void ApplyGrant(TeamState& aTeam, const QuotaGrant& aGrant,
                  TimePoint aAskSentAt, std::vector<Decided>& aDecided);
  static void TellCallers(const std::vector<Decided>& aDecided);
  void EndLongWaits();
  bool HasUnaskedWaiters() const;

  const Hooks hooks;
  std::unordered_map<TeamName, TeamState> teams;
  std::size_t hostCount = 0;
  // The lender that is asked, and the one to ask as soon as that is allowed.
  std::optional<state::HostId> lender;
  std::optional<state::HostId> wantedLender;
  TimePoint lenderSince;
  // Lenders that did not reply, with the time until which they are avoided.
  std::map<state::HostId, TimePoint> silentUntil;
  // Whether the lender's last reply said that it lends.
  bool isLenderLending = false;
  // Numbers of the last ask, and of the last reply from this lender.
  std::int64_t lastNumber = 0;
  std::int64_t lastReply = 0;
  // Whether the last ask has neither been replied to nor timed out.
  bool isAsking = false;
  TimePoint askSentAt;
  // Since when this host has been without a lender.
  TimePoint withoutLenderSince;
  // Of the last reply from any lender.
  TimePoint lastReplyAt;
  TimePoint lastGrantAt;
  // Whether it had a lender since its start.
  bool hadLender = false;
  TimePoint ratesUpdatedAt;
};

} // namespace kumquat::admission
