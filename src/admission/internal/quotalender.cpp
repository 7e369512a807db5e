// Buckets, loans and shares of the teams' quotas.

#include "admission/quotalender.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace kumquat::admission {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t kRememberedReplies = 4;
constexpr milliseconds kLongestWaitForToken{ 5000 };
// Tokens that a bucket may be overdrawn by: callers send some requests
// together, and the burst of a small team is a token or two.
constexpr int kMaxOverdraft = 8;
// Hosts report their shares each second.
constexpr milliseconds kReportTime{ 1500 };

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

int WholeTokens(double aLevel)
{
  return static_cast<int>(std::floor(std::max(0.0, aLevel)));
}

} // namespace

QuotaLender::QuotaLender(Clock aClock, milliseconds aWindow)
  : clock(std::move(aClock))
  , window(aWindow)
{
}

void QuotaLender::SetTeams(const std::vector<Team>& aTeams)
{
  const TimePoint now = this->clock();
  std::unordered_map<TeamName, Bucket> kept;
  for (const Team& team : aTeams) {
    if (!team.quota.IsLimited()) {
      continue;
    }
    Bucket& bucket = kept[team.name];
    bucket.filledAt = now;
    bucket.level = team.quota.burst;
    const auto found = this->buckets.find(team.name);
    if (found != this->buckets.end()) {
      bucket = std::move(found->second);
      this->Fill(bucket, now);
      bucket.level += std::max(0.0, team.quota.burst - bucket.quota.burst);
    }
    bucket.quota = team.quota;
  }
  this->buckets = std::move(kept);
}

void QuotaLender::SetHosts(std::set<state::HostId> aHosts)
{
  this->knownHosts = std::move(aHosts);
}

bool QuotaLender::IsAttached(const state::HostId& aHost, TimePoint aNow) const
{
  const auto found = this->askers.find(aHost);
  return found != this->askers.end() &&
         aNow - found->second.attachedAt < kAttachmentTerm;
}

void QuotaLender::OnTimer()
{
  const TimePoint now = this->clock();
  this->checkedAt = now;
  std::set<state::HostId> unattachedNow;
  std::ranges::copy_if(
    this->knownHosts, std::inserter(unattachedNow, unattachedNow.end()),
    [&](const state::HostId& aHost) { return !this->IsAttached(aHost, now); });
  std::set<state::HostId> newlyUnattached;
  std::ranges::set_difference(
    unattachedNow, this->unattached,
    std::inserter(newlyUnattached, newlyUnattached.end()));
  this->unattached = std::move(unattachedNow);
  const bool hasMajority =
    2 * this->unattached.size() < this->knownHosts.size();
  if (hasMajority && !this->isLending) {
    this->StartLending(now);
    newlyUnattached.clear();
  }
  this->isLending = hasMajority;
  this->UpdateUnreported(now);
  for (auto& [name, bucket] : this->buckets) {
    this->Fill(bucket, now);
    std::erase_if(bucket.loans, [now](const auto& aItem) {
      return aItem.second.unusedUntil <= now && aItem.second.shareUntil <= now;
    });
    this->UpdateReserve(bucket, newlyUnattached, now);
    bucket.granted.Forget(this->window + kTokenTerm, now);
    this->worstWindow =
      std::max(this->worstWindow, bucket.granted.Within(this->window, now) /
                                    std::max(1.0, this->LimitOf(bucket)));
  }
  std::erase_if(this->askers, [&](const auto& aItem) {
    return !this->knownHosts.contains(aItem.first) &&
           now - aItem.second.attachedAt > kShareTerm;
  });
}

void QuotaLender::StartLending(TimePoint aNow)
{
  this->lendingSince = aNow;
  this->unreported = this->knownHosts;
  const double sinceRestart = ToSeconds(this->TimeSinceRestartOfAll(aNow));
  for (auto& [name, bucket] : this->buckets) {
    bucket.level =
      std::min(bucket.quota.burst,
               bucket.quota.perSecond * sinceRestart * (1.0 - kEqualPart));
    bucket.filledAt = aNow;
    bucket.loans.clear();
  }
}

// How long no host has had a token, if no attached host has a share of an
// earlier lender; else 0. Until now the hosts have used the equal parts at
// most.
Duration QuotaLender::TimeSinceRestartOfAll(TimePoint aNow) const
{
  Duration shortest = kShareTerm;
  for (const auto& [host, asker] : this->askers) {
    if (this->IsAttached(host, aNow)) {
      shortest = asker.hasShares
                   ? Duration(0)
                   : std::min<Duration>(shortest, aNow - asker.lastGrantAt);
    }
  }
  return std::max(Duration(0), shortest);
}

// An attached host reports its shares within kReportTime. After kShareTerm
// those of the lender before have expired.
void QuotaLender::UpdateUnreported(TimePoint aNow)
{
  if (aNow - this->lendingSince >= kShareTerm) {
    this->unreported.clear();
  }
  std::erase_if(this->unreported, [&](const state::HostId& aHost) {
    return this->IsAttached(aHost, aNow) &&
           aNow - std::max(this->lendingSince,
                           this->askers.at(aHost).attachedSince) >=
             kReportTime;
  });
}

double QuotaLender::EqualShare() const
{
  return this->knownHosts.empty()
           ? 0
           : kEqualPart / static_cast<double>(this->knownHosts.size());
}

// The share of a host that has reported none and was given none.
double QuotaLender::DefaultShare(const state::HostId& aHost) const
{
  return this->unreported.contains(aHost) ? this->EqualShare() / kEqualPart
                                          : this->EqualShare();
}

double QuotaLender::SumOfShares(const Bucket& aBucket,
                                const std::set<state::HostId>& aHosts,
                                TimePoint aNow) const
{
  const double defaults =
    std::accumulate(aHosts.begin(), aHosts.end(), 0.0,
                    [this](double aSum, const state::HostId& aHost) {
                      return aSum + this->DefaultShare(aHost);
                    });
  return std::accumulate(
    aBucket.loans.begin(), aBucket.loans.end(), defaults,
    [&](double aSum, const auto& aItem) {
      const auto& [host, loan] = aItem;
      const bool counts = loan.shareUntil > aNow && aHosts.contains(host);
      return counts ? aSum + loan.share - this->DefaultShare(host) : aSum;
    });
}

// The lender learns only after kAttachmentTerm that a host has stopped asking,
// and that host may have used its share meanwhile.
void QuotaLender::UpdateReserve(Bucket& aBucket,
                                const std::set<state::HostId>& aNewlyUnattached,
                                TimePoint aNow) const
{
  aBucket.reserve =
    std::min(1.0, this->SumOfShares(aBucket, this->unattached, aNow));
  const double mayBeUsed = aBucket.quota.perSecond *
                           this->SumOfShares(aBucket, aNewlyUnattached, aNow) *
                           ToSeconds(kAttachmentTerm + kMaxCheckInterval);
  aBucket.level -= mayBeUsed;
  aBucket.granted.Add(mayBeUsed, aNow);
}

void QuotaLender::Fill(Bucket& aBucket, TimePoint aNow)
{
  const double unused = std::accumulate(
    aBucket.loans.begin(), aBucket.loans.end(), 0.0,
    [aNow](double aSum, const auto& aItem) {
      const Loan& loan = aItem.second;
      return aSum + (loan.unusedUntil > aNow ? loan.unused : 0.0);
    });
  const double total =
    aBucket.quota.perSecond * ToSeconds(aNow - aBucket.filledAt);
  const double reserved = total * aBucket.reserve;
  if (reserved > 0) {
    aBucket.granted.Add(reserved, aNow);
  }
  const double capacity = std::max(1.0, aBucket.quota.burst);
  aBucket.level = std::min(aBucket.level + total - reserved, capacity - unused);
  aBucket.filledAt = aNow;
}

// Shares are re-divided one by one, as hosts ask: a host's share grows only by
// what others have given up or let expire.
void QuotaLender::UpdateShare(Bucket& aBucket, Loan& aLoan,
                              TimePoint aNow) const
{
  const double byDemand = 1.0 - kEqualPart;
  const double own = std::max(0.0, aLoan.share - this->EqualShare());
  double total = 0;
  double othersShares =
    byDemand * static_cast<double>(this->unreported.size()) /
    std::max(1.0, static_cast<double>(this->knownHosts.size()));
  for (const auto& [host, loan] : aBucket.loans) {
    if (&loan == &aLoan) {
      total += loan.perSecond;
    } else if (loan.shareUntil > aNow) {
      total += loan.perSecond;
      othersShares += std::max(0.0, loan.share - this->EqualShare());
    }
  }
  const double deserved = total > 0 ? byDemand * aLoan.perSecond / total : 0.0;
  aLoan.share = this->EqualShare() +
                std::min(deserved, std::max(own, byDemand - othersShares));
  aLoan.shareUntil = aNow + kShareTerm;
}

// Runs that a window may have.
double QuotaLender::LimitOf(const Bucket& aBucket) const
{
  return aBucket.quota.perSecond * ToSeconds(this->window) +
         aBucket.quota.burst;
}

// Tokens for requests that wait. Tokens granted up to kTokenTerm before a
// window may be used in it.
int QuotaLender::Available(const Bucket& aBucket, TimePoint aNow) const
{
  const int inBucket = WholeTokens(aBucket.level);
  const Duration span = this->window + kTokenTerm;
  const double inWindow = aBucket.granted.Within(span, aNow);
  const bool isKnown = aNow - this->lendingSince >= span;
  const int overdraft =
    isKnown ? std::min(WholeTokens(aBucket.level + kMaxOverdraft),
                       WholeTokens(this->LimitOf(aBucket) - inWindow))
            : 0;
  return std::max(inBucket, overdraft);
}

QuotaGrant QuotaLender::Grant(Bucket& aBucket, const state::HostId& aTo,
                              const QuotaDemand& aDemand, TimePoint aNow)
{
  Loan& loan = aBucket.loans[aTo];
  if (loan.shareUntil <= aNow) {
    loan.share = aDemand.share;
  }
  loan.unused = aDemand.stock;
  loan.unusedUntil = aNow + kTokenTerm;
  loan.perSecond = aDemand.perSecond;
  this->Fill(aBucket, aNow);
  this->UpdateShare(aBucket, loan, aNow);
  // A stock takes at most half of what is left, as other hosts may have
  // requests that wait.
  const int forWaiting =
    std::min(aDemand.needed, this->Available(aBucket, aNow));
  const int forStock =
    std::min(aDemand.wanted, WholeTokens((aBucket.level - forWaiting) / 2));
  aBucket.level -= forWaiting + forStock;
  aBucket.granted.Add(forWaiting + forStock, aNow);
  loan.unused += forStock;
  QuotaGrant grant{ aDemand.team, forWaiting + forStock, loan.share, {} };
  if (forWaiting < aDemand.needed) {
    const double perSecond =
      std::max(1e-3, aBucket.quota.perSecond * (1.0 - aBucket.reserve));
    const double seconds = (1.0 - aBucket.level) / perSecond;
    grant.untilNext =
      std::chrono::ceil<milliseconds>(std::chrono::duration<double>(
        std::min(seconds, ToSeconds(kLongestWaitForToken))));
  }
  return grant;
}

QuotaReply QuotaLender::OnAsk(const state::HostId& aFrom, const QuotaAsk& aAsk)
{
  const TimePoint now = this->clock();
  // After a pause of this host another one may lend.
  if (now - this->checkedAt >= kMaxCheckInterval) {
    this->OnTimer();
  }
  KnownHost& host = this->askers[aFrom];
  QuotaReply reply{ aAsk.number, false, {} };
  if (aAsk.number <= host.lastAsk) {
    // It was delayed, and the host has asked again since.
    return reply;
  }
  host.lastAsk = aAsk.number;
  host.lastGrantAt = now - aAsk.sinceLastGrant;
  host.hasShares = aAsk.hasShares;
  const auto received = std::ranges::find(
    host.replies, aAsk.lastReply, &std::pair<std::int64_t, TimePoint>::first);
  if (received != host.replies.end()) {
    if (received->second - host.attachedAt >= kAttachmentTerm) {
      host.attachedSince = now;
    }
    host.attachedAt = received->second;
  }
  if (host.replies.size() >= kRememberedReplies) {
    host.replies.pop_front();
  }
  host.replies.emplace_back(aAsk.number, now);
  if (!this->isLending) {
    return reply;
  }
  reply.isLending = true;
  for (const QuotaDemand& demand : aAsk.demands) {
    const auto bucket = this->buckets.find(demand.team);
    if (bucket != this->buckets.end()) {
      reply.grants.push_back(this->Grant(bucket->second, aFrom, demand, now));
    }
  }
  return reply;
}

} // namespace kumquat::admission
