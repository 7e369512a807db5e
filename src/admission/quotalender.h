// Hands out the tokens of all teams' quotas to the hosts. A token allows one
// run of a request, and whoever holds it may use it for kTokenTerm at most.
//
// A quota binds over all hosts, whether they reach each other or not. The bound
// holds by three rules:
//
// - One lender: it lends only while more than half of the known hosts are
//   attached to it. A host is attached if it has received a reply that was sent
//   within kAttachmentTerm, and it asks another lender only when the lender
//   before has certainly noticed that it is not.
// - One bucket a team: the tokens in the bucket and those unused at hosts
//   together never exceed the burst, so no window sees more than the rate times
//   its length and the burst. A few requests that come together may overdraw
//   the bucket as long as that still holds for the window that ends with them.
// - Reserves: a host that can't reach the lender uses its share of the rate by
//   itself. The bucket fills by what is left of the rate after the shares of
//   all hosts that are not attached. The shares of a team never exceed 1 in
//   total.
//
// A lender that starts knows nothing of the tokens and shares that the one
// before has handed out. Its buckets start empty, unless all hosts have
// restarted: then they start with what has come in since. Hosts report the
// shares that they have; one that has not done so within kShareTerm counts with
// an equal part of the rate. This is an estimate: it is too low if a team's
// callers are mostly at hosts that can't be reached at the moment at which the
// lender changes.

#pragma once

#include "admission/quotamessages.h"
#include "admission/recentcount.h"
#include "admission/teamdirectory.h"
#include "framework/clock.h"
#include "state/types.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace kumquat::admission {

// Counts from the sending of the ask that brought the token, so it has passed
// at the host no later than at the lender.
inline constexpr std::chrono::milliseconds kTokenTerm{ 1000 };
inline constexpr std::chrono::milliseconds kAttachmentTerm{ 1000 };
// The lender checks at least this often which hosts are attached.
inline constexpr std::chrono::milliseconds kMaxCheckInterval{ 200 };
inline constexpr std::chrono::milliseconds kShareTerm{ 15'000 };
// Part of each rate that all known hosts share equally; the rest is shared by
// demand. A host without a share by demand uses only the equal part.
inline constexpr double kEqualPart = 0.2;

class QuotaLender
{
public:
  // aWindow: the limits bind for each span of this length.
  explicit QuotaLender(Clock aClock, std::chrono::milliseconds aWindow =
                                       std::chrono::milliseconds(5000));

  // A raised burst is there at once; a lowered limit binds from now on.
  void SetTeams(const std::vector<Team>& aTeams);
  // All known hosts, this one included; empty while they are not known.
  void SetHosts(std::set<state::HostId> aHosts);

  QuotaReply OnAsk(const state::HostId& aFrom, const QuotaAsk& aAsk);
  // Checks which hosts are attached; call it several times a second.
  void OnTimer();

  bool IsLending() const { return this->isLending; }
  // The highest part of its limit that a team was lent in any window.
  double WorstWindow() const { return this->worstWindow; }

private:
  // What a host has of one team's quota.
  struct Loan
  {
    double unused = 0;
    TimePoint unusedUntil;
    double share = 0;
    TimePoint shareUntil;
    double perSecond = 0;
  };
  struct Bucket
  {
    Quota quota;
    // May be negative: an unattached host may have used its share.
    double level = 0;
    TimePoint filledAt;
    // Sum of the shares of the hosts that are not attached.
    double reserve = 0;
    std::map<state::HostId, Loan> loans;
    RecentCount granted;
  };
  struct KnownHost
  {
    std::int64_t lastAsk = 0;
    TimePoint attachedAt;
    // Since when it has been attached without a break.
    TimePoint attachedSince;
    TimePoint lastGrantAt;
    bool hasShares = false;
    // The last replies, by number, with the time of sending.
    std::deque<std::pair<std::int64_t, TimePoint>> replies;
  };

  bool IsAttached(const state::HostId& aHost, TimePoint aNow) const;
  double EqualShare() const;
  double DefaultShare(const state::HostId& aHost) const;
  double SumOfShares(const Bucket& aBucket,
                     const std::set<state::HostId>& aHosts,
                     TimePoint aNow) const;
  void StartLending(TimePoint aNow);
  Duration TimeSinceRestartOfAll(TimePoint aNow) const;
  int Available(const Bucket& aBucket, TimePoint aNow) const;
  double LimitOf(const Bucket& aBucket) const;
  void UpdateReserve(Bucket& aBucket,
                     const std::set<state::HostId>& aNewlyUnattached,
                     TimePoint aNow) const;
  void Fill(Bucket& aBucket, TimePoint aNow);
  QuotaGrant Grant(Bucket& aBucket, const state::HostId& aTo,
                   const QuotaDemand& aDemand, TimePoint aNow);
  void UpdateShare(Bucket& aBucket, Loan& aLoan, TimePoint aNow) const;
  void UpdateUnreported(TimePoint aNow);

  const Clock clock;
  const std::chrono::milliseconds window;
  std::unordered_map<TeamName, Bucket> buckets;
  std::set<state::HostId> knownHosts;
  std::map<state::HostId, KnownHost> askers;
  std::set<state::HostId> unattached;
  // Hosts that may have shares of the lender before, which they have not
  // reported.
  std::set<state::HostId> unreported;
  bool isLending = false;
  TimePoint lendingSince;
  TimePoint checkedAt;
  double worstWindow = 0;
};

} // namespace kumquat::admission
