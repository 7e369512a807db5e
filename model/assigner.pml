/* The assigner of a key: whom it grants the key, and when it grants it to others.
 *
 * One key, two hosts that may be its assigner, up to three upstreams that
 * restart under their old id, and the store's row. Time passes in ticks, and a
 * timer holds what is left of it. A host that takes no step is paused or cut off.
 *
 * A lease command reaches the incarnation with which its connection was made, or
 * none. A grant may be executed as long as its lease would run, and its lease is
 * always as long as it can be: sent at the latest time, and measured by the
 * slowest clock. Writes take effect at any time, also after their sender has
 * given up, and responses get lost. An assigner renews when it likes, moves the
 * key to any upstream, and learns of a new incarnation at any time.
 *
 * The hosts whose reports let an assigner go on without the store are one body,
 * which uses the map of one claim and never returns to an older one. With HOSTS
 * there are three of them beside the two assigners; they restart and forget
 * their map. The row names the hosts, with incarnation, that its assigner counts;
 * the second assigner counts those that the row had when it claimed. With
 * NEW_SET, a write that replaces them (bits: the hosts that stay, in their
 * present incarnations) is under way at the beginning. To keep these searches
 * small, only the second host claims and moves the key, grants are sent when
 * they are decided on, and the first one's host restarts only without NEW_SET.
 * runs.txt has the bounds.
 *
 * Not in this model: ranges that are divided or joined, planned stops, the
 * higher number of hosts that is needed in a long outage, backoff and other
 * reasons to move keys,
 * and grants that stay under way for longer than is counted for them.
 *
 * Each name below leaves out one rule and must give a counterexample:
 *
 *   NO_RELEASE         a holder is granted the key before those before it let go
 *   RELEASE_OLD_TOKEN  a release does not raise the token of its upstream
 *   NO_WAIT            a previous holder that does not answer is not waited for
 *   NO_SLOW_CLOCK      the wait does not allow for a slow clock
 *   NO_PREDECESSORS    the wait does not count what predecessors renewed
 *   NEW_LIFE_IS_EMPTY  the lease of a restarted holder is taken for gone
 *   RELEASE_AT_ONCE    releases are sent while predecessors may renew
 *   FORGET_ON_RETURN   the lease of a holder to which the key returns is
 *                      forgotten
 *   NO_SEND_CHECK      a grant is sent whenever its connection is there
 *   UNCONDITIONAL      the store takes a write whatever version it expects
 *   CLAIM_FROM_ANSWER  a claim counts from the response to its write
 *   OWN_OLD_MAP        followers of an earlier claim of a host count for its
 *                      present one
 *   OLD_WRITE_ANSWER   the answer to a write of an earlier claim is applied
 *   NO_REPORT_WAIT     reports of predecessors' followers are not waited out
 *   MINORITY_FOLLOWS   (HOSTS) an assigner goes on with two of five hosts
 *   RESTARTED_COUNT    (HOSTS) a host counts in any incarnation
 *   LAST_PREDECESSOR_ONLY  (HOSTS) predecessors before the last are forgotten
 *   ANY_LIFE           a grant reaches an incarnation that began after it was
 *                      sent; not a rule but an assumption
 *
 * Not in runs.txt, as the searches with NEW_SET are too large: UNCONFIRMED_SET
 * (a set written with unknown outcome does not count) and NEW_SET_AT_ONCE (it
 * counts in place of the stored one).
 */

#ifndef UPSTREAMS
#define UPSTREAMS 2
#endif
#ifndef MOVES
#define MOVES 2
#endif
#ifndef CLAIMS
#define CLAIMS 2
#endif
#ifndef NEW_SET
#define NEW_SET 0
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

#ifdef HOSTS
#define kSendDelay 0
#define kLease 1
#else
#define kSendDelay 1 /* from the decision to the sending of a grant */
#define kLease 2     /* from the sending to the end by the slowest clock */
#endif
#ifdef NO_SLOW_CLOCK
#define kExpiry (kLease + kSendDelay - 1)
#else
#define kExpiry (kLease + kSendDelay)
#endif
#define kClaimValidity 1
#ifdef NO_REPORT_WAIT
#define kReportWait 0
#else
#define kReportWait 1
#endif
#define kReportValidity 1
#define kNever 15 /* predecessors may still renew, for an unknown time */
#define kTokens 5
#define AT(u, t) ((u) * kTokens + (t))
#define OF(a, u) ((a) * 4 + (u))
#define kHolder 3 /* in place of an upstream: the present holder's lease */
#define BIT(u) (1 << (u))
#define LESS(x) x = (x > 0 -> x - 1 : 0)

/* The store: version of the row, the claim that it names, the assignment. */
byte version = 1;
byte claim = 1;
byte holder;
byte token = 1;
byte previous; /* bits */

/* Writes of a changed assignment. */
#define kUnused 0
#define kUnderWay 1
#define kWritten 2 /* the answer is under way */
#define kOver 3
byte moves;
byte moveState[3];
byte moveBy[3];
byte moveExpects[3];
byte moveHolder[3];
byte moveToken[3];
byte movePrevious[3];

/* Upstreams. */
byte lease[3];
byte seen[3];
byte sent[15]; /* by upstream and token: what is left of a grant's lease */
byte restarts;
byte restarted; /* bits */

/* Hosts that may be the assigner. */
#define kIdle 0
#define kClaiming 1
#define kActive 2
byte phase[2];
byte claimWrite[2]; /* kUnderWay or kWritten */
byte claimExpects[2];
byte myClaim[2];
byte myVersion[2];
byte myHolder[2];
byte myToken[2];
byte myPrevious[2];   /* bits */
byte byPredecessor[2]; /* bits: leases that a predecessor may have renewed */
byte released[2];     /* bits: the answer to the release is under way */
byte expiry[8];       /* of the leases that this host has granted */
byte stopped[2];      /* until the leases of predecessors have expired */
byte claimedFor[2];   /* until claims that were confirmed before have expired */
byte confirmed[2];    /* until its own confirmation expires */
byte deciding[2];     /* a grant waits for its connection */
byte waiting[2];      /* 1 + the write whose answer it waits for */
#ifdef NO_SEND_CHECK
byte decidedFor[2];
#endif

#ifdef HOSTS
/* Bits of hosts: the three, the second assigner's, the first assigner's. */
#define kSecondHost 3
#define kFirstHost 4
byte usesSecond;  /* bits: hosts that use the map of the second assigner */
byte reported;    /* bits: hosts with a valid report to the second one */
bool firstRestarted;
/* The set that is stored first, and the one that replaces it. The first
 * assigner's own host belongs to both and has no bit. An incarnation that has
 * ended stays a member. */
byte members[2]; /* bits */
byte live[2];    /* bits: members whose stored incarnation still runs */
byte counted[2]; /* bits: valid reports to the first one by such incarnations */
bit rowSet;
bit mySet;       /* as the first assigner last read or wrote it */
bool tried;      /* the other set may be stored, as far as it knows */
byte setWrite;
bit claimedSet;  /* that the second assigner read */
#define NUMBER(bits) (((bits) & 1) + (((bits) >> 1) & 1) + \
                      (((bits) >> 2) & 1) + (((bits) >> 3) & 1))
#define SIZE(s) (1 + NUMBER(members[s]))
#define FOLLOWERS(s) (1 + NUMBER(counted[s] & members[s]))
#ifdef MINORITY_FOLLOWS
#define MAJORITY(s) (FOLLOWERS(s) >= 2)
#else
#define MAJORITY(s) (FOLLOWERS(s) * 2 > SIZE(s))
#endif
#ifdef UNCONFIRMED_SET
#define FOLLOWED(a) (a == 0 && MAJORITY(mySet))
#else
#ifdef NEW_SET_AT_ONCE
#define FOLLOWED(a) (a == 0 && (tried -> MAJORITY(1) : MAJORITY(mySet)))
#else
#define FOLLOWED(a) (a == 0 && MAJORITY(mySet) && (!tried || MAJORITY(1)))
#endif
#endif
/* Hosts of the set that may still follow the first assigner. */
#define MAY_FOLLOW(s) \
  (NUMBER(members[s] & ~(reported | BIT(kSecondHost))) + \
   !HAS(reported, kFirstHost))
#define FIRST_STOPPED \
  (MAY_FOLLOW(claimedSet) * 2 <= SIZE(claimedSet) || \
   (firstRestarted && HAS(reported, kFirstHost)))
/* The second host's earlier claim stored a set of that host only, which has
 * stopped at once. */
#ifdef LAST_PREDECESSOR_ONLY
#define HALF(a) (myClaim[a] == 3 || FIRST_STOPPED)
#else
#define HALF(a) FIRST_STOPPED
#endif
#else
byte follows;         /* the assigner whose map is used */
byte followsClaim = 1;
byte report[2];
#define FOLLOWED(a) (report[a] > 0)
#define HALF(a) (report[a] > 0)
#endif

#define MAY_RENEW(a) (confirmed[a] > 0 || FOLLOWED(a))
#define HAS(bits, u) (((bits) & BIT(u)) != 0)

inline Confirm(a)
{
  confirmed[a] = kClaimValidity
}

inline StepDown(a)
{
  phase[a] = kIdle;
  myClaim[a] = 0; myVersion[a] = 0; myHolder[a] = 0; myToken[a] = 0;
  myPrevious[a] = 0; byPredecessor[a] = 0; released[a] = 0;
  expiry[OF(a, 0)] = 0; expiry[OF(a, 1)] = 0; expiry[OF(a, 2)] = 0;
  expiry[OF(a, kHolder)] = 0;
  stopped[a] = 0; claimedFor[a] = 0; confirmed[a] = 0;
#ifndef NO_SEND_CHECK
  deciding[a] = 0;
#endif
  waiting[a] = 0
}

inline LetGo(a, u)
{
  myPrevious[a] = myPrevious[a] & ~BIT(u);
  byPredecessor[a] = byPredecessor[a] & ~BIT(u);
  released[a] = released[a] & ~BIT(u);
  expiry[OF(a, u)] = 0
}

/* What is known of a lease goes to its upstream's new part. */
inline TakeOver(a, aFrom, aTo)
{
  expiry[OF(a, aTo)] = (expiry[OF(a, aFrom)] > expiry[OF(a, aTo)] ->
                        expiry[OF(a, aFrom)] : expiry[OF(a, aTo)]);
  if
  :: HAS(byPredecessor[a], aFrom) ->
     byPredecessor[a] = byPredecessor[a] | BIT(aTo)
  :: else
  fi;
  expiry[OF(a, aFrom)] = 0;
  byPredecessor[a] = byPredecessor[a] & ~BIT(aFrom)
}

/* A stored change takes effect at its assigner. */
inline Apply(a, aVersion, aHolder, aToken, aPrevious)
{
  myVersion[a] = aVersion;
  if
  :: aToken != myToken[a] ->
     if
     :: expiry[OF(a, kHolder)] > 0 || HAS(byPredecessor[a], kHolder) ->
        myPrevious[a] = myPrevious[a] | BIT(myHolder[a]);
        TakeOver(a, kHolder, myHolder[a])
     :: else
     fi;
     if
     :: HAS(myPrevious[a], aHolder) && !HAS(aPrevious, aHolder) ->
#ifndef FORGET_ON_RETURN
        TakeOver(a, aHolder, kHolder);
#endif
        LetGo(a, aHolder)
     :: else
     fi;
     myHolder[a] = aHolder;
     myToken[a] = aToken;
     released[a] = 0;
#ifndef NO_SEND_CHECK
     deciding[a] = 0
#endif
  :: else
  fi
}

inline Plan(a, u, aPrevious)
{
  moveState[moves] = kUnderWay;
  moveBy[moves] = a;
  moveExpects[moves] = myVersion[a];
  moveHolder[moves] = u;
  moveToken[moves] = myToken[a] + 1;
  movePrevious[moves] = aPrevious;
  moves++;
  waiting[a] = moves
}

#define IS_ACTIVE(a) (phase[a] == kActive)
#ifdef HOSTS
#define PLANS(a) (a == 1)
#define MAY_CLAIM(a) (a == 1)
#else
#define PLANS(a) true
#define MAY_CLAIM(a) true
#endif
#define CAN_PLAN(a) \
  (IS_ACTIVE(a) && PLANS(a) && waiting[a] == 0 && moves < MOVES && myToken[a] < kTokens - 1)
#ifdef RELEASE_AT_ONCE
#define CAN_RELEASE(a, u) true
#else
#define CAN_RELEASE(a, u) (!HAS(byPredecessor[a], u) || stopped[a] <= kExpiry)
#endif
#ifdef NO_WAIT
#define HAS_EXPIRED(a, u) true
#else
#define HAS_EXPIRED(a, u) (expiry[OF(a, u)] == 0 && \
                           (!HAS(byPredecessor[a], u) || stopped[a] == 0))
#endif
#ifdef NO_RELEASE
#define MAY_GRANT(a) true
#else
#define MAY_GRANT(a) (myPrevious[a] == 0)
#endif

/* To an upstream, or back to it; or to its new incarnation. */
#define MOVE_TO(u) \
  :: d_step { CAN_PLAN(a) && u != myHolder[a] -> \
       Plan(a, u, ((myPrevious[a] | BIT(myHolder[a])) & ~BIT(u))) } \
  :: d_step { CAN_PLAN(a) && HAS(restarted, u) && \
              HAS(myPrevious[a] | BIT(myHolder[a]), u) -> \
       Plan(a, u, (myPrevious[a] | BIT(myHolder[a]))) }

#ifdef RELEASE_OLD_TOKEN
#define RAISE(u, t) skip
#else
#define RAISE(u, t) seen[u] = (t > seen[u] -> t : seen[u])
#endif
/* A release is executed when it is sent. One that is late only ends a lease that
 * its upstream may have, and raises its token. */
#define END_LEASE(u) \
  :: d_step { IS_ACTIVE(a) && HAS(myPrevious[a], u) && !HAS(released[a], u) && \
              CAN_RELEASE(a, u) -> \
       lease[u] = 0; RAISE(u, myToken[a]); released[a] = released[a] | BIT(u) } \
  :: d_step { IS_ACTIVE(a) && HAS(myPrevious[a], u) && HAS(released[a], u) -> \
       LetGo(a, u) } \
  :: d_step { IS_ACTIVE(a) && HAS(myPrevious[a], u) && HAS_EXPIRED(a, u) -> \
       LetGo(a, u) }
#ifdef NEW_LIFE_IS_EMPTY
#define SEE_NEW_LIFE(u) \
  :: d_step { IS_ACTIVE(a) && HAS(myPrevious[a], u) && HAS(restarted, u) -> \
       LetGo(a, u) }
#else
#define SEE_NEW_LIFE(u)
#endif

#define ANSWER(m) \
  :: d_step { IS_ACTIVE(a) && waiting[a] == m + 1 && \
              moveState[m] == kWritten -> \
       waiting[a] = 0; \
       Apply(a, moveExpects[m] + 1, moveHolder[m], moveToken[m], \
             movePrevious[m]); \
       Forget(m) }
#ifdef OLD_WRITE_ANSWER
#define OLD_ANSWER(m) \
  :: d_step { IS_ACTIVE(a) && waiting[a] != m + 1 && moveBy[m] == a && \
              moveState[m] == kWritten -> \
       Apply(a, moveExpects[m] + 1, moveHolder[m], moveToken[m], \
             movePrevious[m]); \
       Forget(m) }
#else
#define OLD_ANSWER(m)
#endif

inline Forget(m)
{
  moveState[m] = kOver; moveBy[m] = 0; moveExpects[m] = 0;
  moveHolder[m] = 0; moveToken[m] = 0; movePrevious[m] = 0
}

proctype Assigner(byte a)
{
  do
  /* Claims the key. */
  :: d_step { phase[a] == kIdle && MAY_CLAIM(a) && claimWrite[a] == 0 &&
              claim < CLAIMS ->
       phase[a] = kClaiming; claimWrite[a] = kUnderWay;
       claimExpects[a] = version;
       myHolder[a] = holder; myToken[a] = token; myPrevious[a] = previous;
#ifdef HOSTS
       /* An earlier claim of this host has kept the first assigner's set. */
       claimedSet = rowSet;
#endif
       confirmed[a] = kClaimValidity }
  :: d_step { phase[a] == kClaiming && claimWrite[a] == kWritten ->
       phase[a] = kActive; claimWrite[a] = 0;
       myVersion[a] = claimExpects[a] + 1; claimExpects[a] = 0;
#ifdef CLAIM_FROM_ANSWER
       Confirm(a);
#endif
       claimedFor[a] = kClaimValidity;
       stopped[a] = kNever;
#ifdef HOSTS
       usesSecond = usesSecond | BIT(kSecondHost);
#else
#ifndef OWN_OLD_MAP
       report[a] = 0;
#endif
#endif
#ifndef NO_PREDECESSORS
       byPredecessor[a] = myPrevious[a] | BIT(kHolder)
#endif
     }
  /* It was refused, or its outcome is unknown. */
  :: d_step { phase[a] == kClaiming ->
       if
       :: claimWrite[a] == kWritten -> claimWrite[a] = 0; claimExpects[a] = 0
       :: else
       fi;
       StepDown(a) }

  /* Reads the row. */
  :: d_step { IS_ACTIVE(a) && claim == myClaim[a] && confirmed[a] < kClaimValidity ->
       Confirm(a) }
  :: d_step { IS_ACTIVE(a) && claim != myClaim[a] -> StepDown(a) }

  /* Predecessors cannot have enough hosts any more. */
  :: d_step { IS_ACTIVE(a) && stopped[a] == kNever && HALF(a) ->
       stopped[a] = (claimedFor[a] > kReportWait -> claimedFor[a] : kReportWait) +
                    kExpiry;
#ifdef HOSTS
       /* Later reports to it decide nothing. */
       reported = 0
#endif
     }

  /* Changes the assignment. */
  MOVE_TO(0)
  MOVE_TO(1)
#if UPSTREAMS == 3
  MOVE_TO(2)
#endif
  ANSWER(0)
  ANSWER(1)
  ANSWER(2)
  OLD_ANSWER(0)
  OLD_ANSWER(1)
  /* The outcome is unknown: reads the row, or cannot. */
  :: d_step { IS_ACTIVE(a) && waiting[a] > 0 ->
       if
       :: moveState[waiting[a] - 1] == kWritten -> Forget(waiting[a] - 1)
       :: else
       fi;
       waiting[a] = 0 }
  :: d_step { IS_ACTIVE(a) && waiting[a] > 0 && claim == myClaim[a] ->
       if
       :: moveState[waiting[a] - 1] == kWritten -> Forget(waiting[a] - 1)
       :: else
       fi;
       waiting[a] = 0;
       Confirm(a);
       Apply(a, version, holder, token, previous) }

  END_LEASE(0)
  END_LEASE(1)
#if UPSTREAMS == 3
  END_LEASE(2)
#endif
  SEE_NEW_LIFE(0)
  SEE_NEW_LIFE(1)

  /* Decides on a grant, and sends it once a connection is there. */
#ifdef HOSTS
  :: d_step { IS_ACTIVE(a) && MAY_GRANT(a) && MAY_RENEW(a) &&
              sent[AT(myHolder[a], myToken[a])] < kLease ->
       expiry[OF(a, kHolder)] = kExpiry;
       sent[AT(myHolder[a], myToken[a])] = kLease }
#else
  :: d_step { IS_ACTIVE(a) && MAY_GRANT(a) && deciding[a] == 0 && MAY_RENEW(a) ->
       deciding[a] = kSendDelay + 1;
#ifdef NO_SEND_CHECK
       decidedFor[a] = AT(myHolder[a], myToken[a]);
#endif
       expiry[OF(a, kHolder)] = kExpiry }
#ifdef NO_SEND_CHECK
  :: d_step { deciding[a] > 0 ->
       deciding[a] = 0; sent[decidedFor[a]] = kLease; decidedFor[a] = 0 }
#else
  :: d_step { deciding[a] > 0 && MAY_RENEW(a) ->
       deciding[a] = 0; sent[AT(myHolder[a], myToken[a])] = kLease }
#endif
#endif
  od
}

/* A write that expects an older version than the row's can have no effect. */
inline DropVoidWrites()
{
  skip;
#ifndef UNCONDITIONAL
  for (i : 0 .. 2) {
    if
    :: moveState[i] == kUnderWay && moveExpects[i] != version -> Forget(i)
    :: else
    fi
  }
  for (i : 0 .. 1) {
    if
    :: claimWrite[i] == kUnderWay && claimExpects[i] != version ->
       claimWrite[i] = 0; claimExpects[i] = 0
    :: else
    fi
  }
#ifdef HOSTS
  if
  :: setWrite == kUnderWay && version != 1 -> setWrite = kOver
  :: else
  fi;
#endif
  i = 0
#endif
}

#ifdef UNCONDITIONAL
#define EXPECTED(v) true
#else
#define EXPECTED(v) (version == (v))
#endif
#define STORE_MOVE(m) \
  :: d_step { moveState[m] == kUnderWay && EXPECTED(moveExpects[m]) -> \
       version++; \
       holder = moveHolder[m]; token = moveToken[m]; \
       previous = movePrevious[m]; \
       moveState[m] = kWritten; \
       KeepIfAwaited(m); \
       DropVoidWrites() }
#ifdef OLD_WRITE_ANSWER
#define KeepIfAwaited(m) skip
#else
#define KeepIfAwaited(m) \
  if \
  :: waiting[moveBy[m]] != m + 1 -> Forget(m) \
  :: else \
  fi
#endif
#define STORE_CLAIM(a) \
  :: d_step { claimWrite[a] == kUnderWay && EXPECTED(claimExpects[a]) && \
              claim < CLAIMS -> \
       version++; claim++; \
       if \
       :: phase[a] == kClaiming -> claimWrite[a] = kWritten; myClaim[a] = claim \
       :: else -> claimWrite[a] = 0; claimExpects[a] = 0 \
       fi; \
       DropVoidWrites() }

active proctype Store()
{
  byte i;
  do
  STORE_MOVE(0)
  STORE_MOVE(1)
#if MOVES > 2
  STORE_MOVE(2)
#endif
  STORE_CLAIM(0)
  STORE_CLAIM(1)
#ifdef HOSTS
  :: d_step { setWrite == kUnderWay && EXPECTED(1) ->
       version++; rowSet = 1; setWrite = kWritten; DropVoidWrites() }
#endif
  od
}

#define EXECUTE(u, t) \
  :: d_step { sent[AT(u, t)] > 0 -> \
       if \
       :: t >= seen[u] -> \
          seen[u] = t; \
          lease[u] = (sent[AT(u, t)] > lease[u] -> sent[AT(u, t)] : lease[u]); \
          assert((lease[0] > 0) + (lease[1] > 0) + (lease[2] > 0) <= 1) \
       :: else \
       fi; \
       sent[AT(u, t)] = 0 }
#ifdef ANY_LIFE
#define CUT(u) skip
#else
#define CUT(u) sent[AT(u, 1)] = 0; sent[AT(u, 2)] = 0; sent[AT(u, 3)] = 0; \
               sent[AT(u, 4)] = 0
#endif
#define RESTART(u) \
  :: d_step { restarts < RESTARTS && (seen[u] > 0 || lease[u] > 0) -> \
       restarts++; restarted = restarted | BIT(u); \
       lease[u] = 0; seen[u] = 0; CUT(u) }

active proctype Upstreams()
{
  do
  EXECUTE(0, 1)
  EXECUTE(0, 2)
  EXECUTE(0, 3)
  EXECUTE(1, 1)
  EXECUTE(1, 2)
  EXECUTE(1, 3)
#if MOVES > 2
  EXECUTE(0, 4)
  EXECUTE(1, 4)
#endif
  RESTART(0)
  RESTART(1)
#if UPSTREAMS == 3
  EXECUTE(2, 1)
  EXECUTE(2, 2)
  EXECUTE(2, 3)
  RESTART(2)
#endif
  od
}

active proctype Time()
{
  byte i;
  do
  :: d_step {
       for (i : 0 .. 14) { LESS(sent[i]) }
       for (i : 0 .. 7) { LESS(expiry[i]) };
#ifdef HOSTS
       reported = 0; counted[0] = 0; counted[1] = 0;
#endif
       for (i : 0 .. 2) { LESS(lease[i]) }
       for (i : 0 .. 1) {
         LESS(claimedFor[i]);
         LESS(confirmed[i]);
#ifndef NO_SEND_CHECK
         LESS(deciding[i]);
#endif
#ifndef HOSTS
         LESS(report[i]);
#endif
         if
         :: stopped[i] != kNever -> LESS(stopped[i])
         :: else
         fi
       }
       i = 0
     }
  od
}

#ifdef HOSTS
#ifdef RESTARTED_COUNT
#define COUNTS(s, h) HAS(members[s], h)
#else
#define COUNTS(s, h) HAS(live[s], h)
#endif
#define COUNT_IN(s, h) \
  counted[s] = (COUNTS(s, h) -> counted[s] | BIT(h) : counted[s] & ~BIT(h))
/* A report is valid until the next tick, also if its host restarts. It adds
 * nothing to a confirmation, which is valid as long and could be had as well
 * before the second claim. */
#define REPORT_TO_FIRST(h) \
  :: d_step { IS_ACTIVE(0) && claim > 1 && confirmed[0] == 0 && \
              !HAS(usesSecond, h) -> \
       COUNT_IN(0, h); COUNT_IN(1, h) }
#define HOST(h) \
  REPORT_TO_FIRST(h) \
  :: d_step { IS_ACTIVE(1) && stopped[1] == kNever -> \
       usesSecond = usesSecond | BIT(h); reported = reported | BIT(h) } \
  /* A host that restarts takes the first map that it hears. */ \
  :: d_step { HAS(usesSecond, h) -> \
       usesSecond = usesSecond & ~BIT(h); \
       live[0] = live[0] & ~BIT(h); live[1] = live[1] & ~BIT(h) }
#else
/* The map of a later claim is newer. */
#ifdef OWN_OLD_MAP
#define REPORTS(a) (follows == a)
#else
#define REPORTS(a) (follows == a && followsClaim == myClaim[a])
#endif
#define HOST(a) \
  :: d_step { IS_ACTIVE(a) && myClaim[a] > followsClaim -> \
       follows = a; followsClaim = myClaim[a] } \
  :: d_step { IS_ACTIVE(a) && REPORTS(a) && report[a] < kReportValidity -> \
       report[a] = kReportValidity }
#endif

active proctype Followers()
{
  do
  HOST(0)
  HOST(1)
#ifdef HOSTS
  HOST(2)
  REPORT_TO_FIRST(kSecondHost)
  /* The first assigner's host. */
  :: d_step { NEW_SET == 0 && IS_ACTIVE(0) && claim > 1 -> firstRestarted = true; StepDown(0) }
  :: d_step { IS_ACTIVE(1) && !IS_ACTIVE(0) && stopped[1] == kNever ->
       reported = reported | BIT(kFirstHost) }
  :: d_step { IS_ACTIVE(0) && setWrite == kWritten ->
       setWrite = kOver; mySet = 1; tried = false; live[0] = 0; counted[0] = 0 }
  /* The response is lost; it may read the row. */
  :: d_step { setWrite == kWritten -> setWrite = kOver }
  :: d_step { IS_ACTIVE(0) && tried && claim == 1 -> mySet = rowSet; Confirm(0) }
#endif
  od
}

init
{
  d_step {
    phase[0] = kActive; myClaim[0] = 1; myVersion[0] = 1; myToken[0] = 1;
    confirmed[0] = kClaimValidity;
#ifdef HOSTS
    members[0] = 15; live[0] = 15;
#if NEW_SET > 0
    /* The hosts are alike, so it does not matter which one has restarted. */
    setWrite = kUnderWay; tried = true;
    members[1] = NEW_SET; live[1] = NEW_SET;
#if NEW_SET == 15
    live[0] = 14
#endif
#endif
#endif
  }
  atomic {
    run Assigner(0);
    run Assigner(1)
  }
}
