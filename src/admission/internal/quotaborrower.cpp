// Stocks of tokens, asks for more, and requests that wait for them.

#include "admission/quotaborrower.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace kumquat::admission {

using protocol::ErrorKind;
using std::chrono::milliseconds;

namespace {

// A lender that takes longer is taken to be lost.
constexpr milliseconds kReplyTimeout{ 300 };
// A host without demand asks this often, to stay attached.
constexpr milliseconds kAskInterval{ 300 };
// Asks that only refill stocks are this far apart.
constexpr milliseconds kRefillInterval{ 200 };
constexpr milliseconds kShareInterval{ 1000 };
// After this time another host should lend.
constexpr milliseconds kSilenceOfLender{ 700 };
constexpr milliseconds kSilentLenderAvoided{ 3000 };
// Longest wait of a request for a token.
constexpr milliseconds kMaxWait{ 400 };
// A lender is found within about this time from the start of all hosts.
constexpr milliseconds kStartTime{ 1500 };
// A stock covers the requests of this time.
constexpr milliseconds kStockTime{ 500 };
// Below this rate a stock would mostly expire unused.
constexpr double kMinStockRate = 0.8;
constexpr milliseconds kRateAveragingTime{ 1000 };
constexpr milliseconds kMinRateInterval{ 50 };
constexpr milliseconds kMinExhausted{ 100 };
constexpr milliseconds kMaxExhausted{ 200 };
constexpr milliseconds kMinRetryAfter{ 50 };
constexpr milliseconds kMaxRetryAfter{ 1000 };
constexpr std::size_t kMaxWaiters = 500;
// Rates below this are not worth a share of their own.
constexpr double kNegligibleRate = 0.02;

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

milliseconds ClampRetryAfter(double aSeconds)
{
  const double ms = aSeconds * 1000;
  return milliseconds(std::clamp<std::int64_t>(std::llround(std::min(ms, 1e9)),
                                               kMinRetryAfter.count(),
                                               kMaxRetryAfter.count()));
}

} // namespace

QuotaBorrower::QuotaBorrower(std::int64_t aFirstNumber, Hooks aHooks)
  : hooks(std::move(aHooks))
  , lastNumber(aFirstNumber)
  , withoutLenderSince(this->hooks.now())
  , lastGrantAt(this->hooks.now())
  , ratesUpdatedAt(this->hooks.now())
{
}

void QuotaBorrower::SetTeams(const std::vector<Team>& aTeams)
{
  std::unordered_map<TeamName, TeamState> kept;
  for (const Team& team : aTeams) {
    if (!team.quota.IsLimited()) {
      continue;
    }
    TeamState& state = kept[team.name];
    if (const auto found = this->teams.find(team.name);
        found != this->teams.end()) {
      state = std::move(found->second);
      found->second.waiters.clear();
    }
    if (state.quota != team.quota) {
      state.quota = team.quota;
      state.exhaustedUntil = {};
    }
  }
  std::swap(this->teams, kept);
  // Requests of teams that are gone or no longer limited need no token.
  for (auto& [name, state] : kept) {
    for (const Waiter& waiter : state.waiters) {
      waiter.decide({});
    }
  }
}

void QuotaBorrower::SetLender(const std::optional<state::HostId>& aLender)
{
  this->wantedLender = aLender;
  if (this->wantedLender == this->lender) {
    return;
  }
  const TimePoint now = this->hooks.now();
  if (this->lender) {
    this->LoseLender();
    if (now - this->lastReplyAt <= kAttachmentTerm + kMaxCheckInterval) {
      return;
    }
  }
  this->lender = this->wantedLender;
  this->lenderSince = now;
  this->lastReply = 0;
  this->isAsking = false;
}

bool QuotaBorrower::HasLender() const
{
  return this->lender && this->lender == this->wantedLender &&
         this->isLenderLending;
}

// Whether a token may come within the time that requests wait: from a lender,
// or by the host's own share.
bool QuotaBorrower::MayGetTokenSoon(const TeamState& aTeam) const
{
  if (this->HasLender()) {
    return true;
  }
  const Duration without = this->hooks.now() - this->withoutLenderSince;
  if (without < (this->hadLender ? kReplyTimeout : kStartTime)) {
    return true;
  }
  const double missing =
    1.0 + static_cast<double>(aTeam.waiters.size()) - aTeam.ownTokens;
  return missing <=
         aTeam.quota.perSecond * this->ShareOf(aTeam) * ToSeconds(kMaxWait);
}

void QuotaBorrower::LoseLender()
{
  if (!this->isLenderLending) {
    return;
  }
  this->isLenderLending = false;
  // The lender reserves this host's share from its last reply on.
  this->withoutLenderSince =
    this->isAsking ? this->askSentAt : this->hooks.now();
}

bool QuotaBorrower::IsSilent(const state::HostId& aHost) const
{
  const auto found = this->silentUntil.find(aHost);
  return found != this->silentUntil.end() && found->second > this->hooks.now();
}

void QuotaBorrower::NoteSilentLender()
{
  const TimePoint now = this->hooks.now();
  std::erase_if(this->silentUntil,
                [now](const auto& aItem) { return aItem.second <= now; });
  if (this->lender && now - std::max(this->lastReplyAt, this->lenderSince) >=
                        kSilenceOfLender) {
    this->silentUntil[*this->lender] = now + kSilentLenderAvoided;
  }
}

double QuotaBorrower::ShareOf(const TeamState& aTeam) const
{
  if (aTeam.shareUntil > this->hooks.now()) {
    return aTeam.share;
  }
  return this->hostCount == 0
           ? 0
           : kEqualPart / static_cast<double>(this->hostCount);
}

void QuotaBorrower::FillOwnTokens(TeamState& aTeam) const
{
  const TimePoint now = this->hooks.now();
  const double share = this->ShareOf(aTeam);
  if (aTeam.ownTokensAt < this->withoutLenderSince) {
    aTeam.ownTokens = 0;
    aTeam.ownTokensAt = this->withoutLenderSince;
  }
  aTeam.ownTokens =
    std::min(std::max(1.0, aTeam.quota.burst * share),
             aTeam.ownTokens + aTeam.quota.perSecond * share *
                                 ToSeconds(now - aTeam.ownTokensAt));
  aTeam.ownTokensAt = now;
}

bool QuotaBorrower::TakeOwnToken(TeamState& aTeam)
{
  this->FillOwnTokens(aTeam);
  if (aTeam.ownTokens < 1) {
    return false;
  }
  aTeam.ownTokens -= 1;
  return true;
}

// With a lender again, the host may still use the tokens that it has by its
// shares.
void QuotaBorrower::KeepOwnTokens()
{
  const TimePoint now = this->hooks.now();
  for (auto& [name, team] : this->teams) {
    this->FillOwnTokens(team);
    const int whole = static_cast<int>(std::floor(team.ownTokens));
    team.ownTokens = 0;
    if (whole > 0) {
      this->DropExpiredStock(team);
      team.stock += whole;
      team.stockUntil = now + kTokenTerm;
    }
  }
}

void QuotaBorrower::DropExpiredStock(TeamState& aTeam) const
{
  if (aTeam.stockUntil <= this->hooks.now()) {
    aTeam.stock = 0;
  }
}

bool QuotaBorrower::TakeToken(TeamState& aTeam)
{
  this->DropExpiredStock(aTeam);
  if (aTeam.stock > 0) {
    --aTeam.stock;
    return true;
  }
  return !this->HasLender() && this->TakeOwnToken(aTeam);
}

QuotaDecision QuotaBorrower::RefuseWithoutLender(const TeamState& aTeam) const
{
  const double perSecond =
    std::max(1e-3, aTeam.quota.perSecond * this->ShareOf(aTeam));
  return { ErrorKind::kTeamLimitUnknown,
           ClampRetryAfter((1.0 - aTeam.ownTokens) / perSecond) };
}

void QuotaBorrower::Take(const TeamName& aTeam, Decide aDecide)
{
  const auto found = this->teams.find(aTeam);
  if (found == this->teams.end()) {
    aDecide({});
    return;
  }
  TeamState& team = found->second;
  const TimePoint now = this->hooks.now();
  ++team.arrivals;
  if (team.waiters.empty() && this->TakeToken(team)) {
    aDecide({});
  } else if (this->HasLender() && team.exhaustedUntil > now) {
    aDecide({ ErrorKind::kTeamOverLimit,
              ClampRetryAfter(ToSeconds(team.exhaustedUntil - now)) });
  } else if (!this->MayGetTokenSoon(team) ||
             team.waiters.size() >= kMaxWaiters) {
    aDecide(this->RefuseWithoutLender(team));
  } else {
    team.waiters.push_back({ now, std::move(aDecide) });
    if (!this->isAsking) {
      this->SendAsk();
    }
  }
}

bool QuotaBorrower::TryTake(const TeamName& aTeam)
{
  const auto found = this->teams.find(aTeam);
  return found == this->teams.end() || this->TakeToken(found->second);
}

void QuotaBorrower::Return(const TeamName& aTeam)
{
  const auto found = this->teams.find(aTeam);
  if (found == this->teams.end()) {
    return;
  }
  TeamState& team = found->second;
  this->DropExpiredStock(team);
  ++team.stock;
  // The lender learns of it with the next ask.
  team.stockUntil = std::max(team.stockUntil, this->hooks.now() + kAskInterval);
}

int QuotaBorrower::StockTarget(const TeamState& aTeam)
{
  return aTeam.perSecond < kMinStockRate
           ? 0
           : static_cast<int>(
               std::ceil(aTeam.perSecond * ToSeconds(kStockTime)));
}

bool QuotaBorrower::IsStockLow(const TeamState& aTeam)
{
  const int target = StockTarget(aTeam);
  return target > 0 && 2 * aTeam.stock <= target;
}

// Returns nullopt if the lender need not hear of the team now.
std::optional<QuotaDemand> QuotaBorrower::DemandOf(const TeamName& aName,
                                                   TeamState& aTeam)
{
  const TimePoint now = this->hooks.now();
  this->DropExpiredStock(aTeam);
  const bool isShareDue =
    (now - aTeam.shareAskedAt >= kShareInterval || !this->isLenderLending) &&
    (aTeam.perSecond > kNegligibleRate || aTeam.shareUntil > now);
  if (aTeam.waiters.empty() && !IsStockLow(aTeam) && !isShareDue) {
    return std::nullopt;
  }
  aTeam.shareAskedAt = now;
  aTeam.askedFor = aTeam.waiters.size();
  const double perSecond =
    aTeam.perSecond > kNegligibleRate ? aTeam.perSecond : 0.0;
  return QuotaDemand{ aName,
                      aTeam.stock,
                      static_cast<int>(aTeam.askedFor),
                      std::max(0, StockTarget(aTeam) - aTeam.stock),
                      perSecond,
                      aTeam.shareUntil > now ? aTeam.share : 0.0 };
}

void QuotaBorrower::SendAsk()
{
  if (!this->lender || this->lender != this->wantedLender) {
    return;
  }
  const TimePoint now = this->hooks.now();
  QuotaAsk ask;
  ask.number = ++this->lastNumber;
  ask.lastReply = this->lastReply;
  ask.sinceLastGrant =
    std::chrono::floor<milliseconds>(now - this->lastGrantAt);
  for (auto& [name, team] : this->teams) {
    ask.hasShares = ask.hasShares || team.shareUntil > now;
    if (auto demand = this->DemandOf(name, team)) {
      ask.demands.push_back(std::move(*demand));
    }
  }
  this->isAsking = true;
  this->askSentAt = now;
  this->hooks.sendAsk(*this->lender, ask);
}

void QuotaBorrower::ApplyGrant(TeamState& aTeam, const QuotaGrant& aGrant,
                               TimePoint aAskSentAt,
                               std::vector<Decided>& aDecided)
{
  const TimePoint now = this->hooks.now();
  aTeam.share = aGrant.share;
  aTeam.shareUntil = aAskSentAt + kShareTerm;
  if (aGrant.tokens > 0) {
    this->lastGrantAt = now;
    this->DropExpiredStock(aTeam);
    aTeam.stock += aGrant.tokens;
    aTeam.stockUntil = aAskSentAt + kTokenTerm;
  }
  if (aGrant.untilNext.count() > 0) {
    aTeam.exhaustedUntil =
      now + std::clamp(aGrant.untilNext, kMinExhausted, kMaxExhausted);
  }
  const std::size_t askedFor = std::exchange(aTeam.askedFor, 0);
  std::size_t refused = 0;
  for (std::size_t i = 0; i < askedFor && !aTeam.waiters.empty(); ++i) {
    QuotaDecision decision;
    if (!this->TakeToken(aTeam)) {
      const auto ahead = static_cast<double>(refused++);
      decision = { ErrorKind::kTeamOverLimit,
                   ClampRetryAfter(ToSeconds(aGrant.untilNext) +
                                   ahead / aTeam.quota.perSecond) };
    }
    aDecided.push_back({ std::move(aTeam.waiters.front().decide), decision });
    aTeam.waiters.pop_front();
  }
}

// A decision may bring a new request, and so change teams and send an ask. It
// is told after everything else is up to date.
void QuotaBorrower::TellCallers(const std::vector<Decided>& aDecided)
{
  for (const Decided& decided : aDecided) {
    decided.decide(decided.decision);
  }
}

void QuotaBorrower::OnReply(const state::HostId& aFrom,
                            const QuotaReply& aReply)
{
  if (this->lender != aFrom || !this->isAsking ||
      aReply.number != this->lastNumber) {
    return;
  }
  const TimePoint sentAt = this->askSentAt;
  const bool isFirst = this->lastReply == 0;
  this->isAsking = false;
  this->lastReply = aReply.number;
  this->lastReplyAt = this->hooks.now();
  if (!aReply.isLending) {
    this->LoseLender();
    if (isFirst) {
      // The lender counts this host once it knows that its reply has arrived.
      this->SendAsk();
    }
    return;
  }
  if (!this->isLenderLending) {
    this->KeepOwnTokens();
  }
  this->isLenderLending = true;
  this->hadLender = true;
  std::vector<Decided> decided;
  for (const QuotaGrant& grant : aReply.grants) {
    const auto team = this->teams.find(grant.team);
    if (team != this->teams.end()) {
      this->ApplyGrant(team->second, grant, sentAt, decided);
    }
  }
  TellCallers(decided);
  if (!this->isAsking && this->HasUnaskedWaiters()) {
    this->SendAsk();
  }
}

bool QuotaBorrower::HasUnaskedWaiters() const
{
  return std::ranges::any_of(this->teams, [](const auto& aItem) {
    return !aItem.second.waiters.empty();
  });
}

void QuotaBorrower::EndLongWaits()
{
  const TimePoint now = this->hooks.now();
  std::vector<Decided> decided;
  for (auto& [name, team] : this->teams) {
    while (!team.waiters.empty()) {
      const bool hasToken = this->TakeToken(team);
      if (!hasToken && now - team.waiters.front().since < kMaxWait) {
        break;
      }
      decided.push_back(
        { std::move(team.waiters.front().decide),
          hasToken ? QuotaDecision{} : this->RefuseWithoutLender(team) });
      team.waiters.pop_front();
      team.askedFor -= std::min<std::size_t>(1, team.askedFor);
    }
  }
  TellCallers(decided);
}

void QuotaBorrower::OnTimer()
{
  if (this->teams.empty()) {
    return;
  }
  const TimePoint now = this->hooks.now();
  const Duration passed = now - this->ratesUpdatedAt;
  if (passed >= kMinRateInterval) {
    this->ratesUpdatedAt = now;
    const double weight =
      std::min(1.0, ToSeconds(passed) / ToSeconds(kRateAveragingTime));
    for (auto& [name, team] : this->teams) {
      const double rate = team.arrivals / ToSeconds(passed);
      team.perSecond += weight * (rate - team.perSecond);
      team.arrivals = 0;
    }
  }
  this->SetLender(this->wantedLender);
  this->NoteSilentLender();
  if (this->isAsking && now - this->askSentAt >= kReplyTimeout) {
    this->LoseLender();
    this->isAsking = false;
  }
  if (!this->isAsking) {
    const Duration sinceAsk = now - this->askSentAt;
    const bool isDue = sinceAsk >= kAskInterval || !this->isLenderLending;
    const bool isStockLow =
      sinceAsk >= kRefillInterval &&
      std::ranges::any_of(this->teams, [](const auto& aItem) {
        return IsStockLow(aItem.second);
      });
    if (isDue || isStockLow || this->HasUnaskedWaiters()) {
      this->SendAsk();
    }
  }
  this->EndLongWaits();
}

} // namespace kumquat::admission
