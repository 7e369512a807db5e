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
 * their map. To keep that search small, only the second host moves the key, and
 * grants are sent when they are decided on. runs.txt has the bounds.
 *
 * Not in this model: ranges that are divided or joined, planned stops, hosts
 * that count different numbers of hosts, backoff and other reasons to move keys,
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
 *   RESTARTED_COUNT    (HOSTS) restarted hosts count like lasting ones
 *   ANY_LIFE           a grant reaches an incarnation that began after it was
 *                      sent; not a rule but an assumption
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
#define REPORT(a, h) ((a) * 3 + (h))
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
byte usesSecond; /* bits: hosts that use the map of the second assigner */
byte lasting;    /* bits: have run since the first one's last confirmation */
byte reports[6]; /* by assigner and host */
#define COUNT(a) ((reports[REPORT(a, 0)] > 0) + (reports[REPORT(a, 1)] > 0) + \
                  (reports[REPORT(a, 2)] > 0))
#define COUNT_LASTING(a) \
  ((reports[REPORT(a, 0)] > 0 && (lasting & 1)) + \
   (reports[REPORT(a, 1)] > 0 && (lasting & 2)) + \
   (reports[REPORT(a, 2)] > 0 && (lasting & 4)))
#define TWO_THIRDS(a) ((COUNT(a) + 1) * 3 >= 10)
#ifdef MINORITY_FOLLOWS
#define FOLLOWED(a) (a == 0 && COUNT(a) + 1 >= 2)
#else
#ifdef RESTARTED_COUNT
#define FOLLOWED(a) (a == 0 && TWO_THIRDS(a))
#else
#define FOLLOWED(a) \
  (a == 0 && TWO_THIRDS(a) && (COUNT_LASTING(a) + 1) * 2 >= 5)
#endif
#endif
#define HALF(a) ((COUNT(a) + 1) * 2 > 5)
#else
byte follows;         /* the assigner whose map is used */
byte followsClaim = 1;
byte report[2];
#define FOLLOWED(a) (report[a] > 0)
#define HALF(a) (report[a] > 0)
#endif

#define MAY_RENEW(a) (confirmed[a] > 0 || FOLLOWED(a))
#define HAS(bits, u) ((bits) & BIT(u))

inline Confirm(a)
{
  confirmed[a] = kClaimValidity;
#ifdef HOSTS
  if
  :: a == 0 -> lasting = 7
  :: else
  fi
#endif
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
#else
#define PLANS(a) true
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
  :: d_step { phase[a] == kIdle && claimWrite[a] == 0 && claim < CLAIMS ->
       phase[a] = kClaiming; claimWrite[a] = kUnderWay;
       claimExpects[a] = version;
       myHolder[a] = holder; myToken[a] = token; myPrevious[a] = previous;
       confirmed[a] = kClaimValidity }
  :: d_step { phase[a] == kClaiming && claimWrite[a] == kWritten ->
       phase[a] = kActive; claimWrite[a] = 0;
       myVersion[a] = claimExpects[a] + 1; claimExpects[a] = 0;
#ifdef CLAIM_FROM_ANSWER
       Confirm(a);
#endif
       claimedFor[a] = kClaimValidity;
       stopped[a] = kNever;
#ifndef OWN_OLD_MAP
#ifndef HOSTS
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

  /* Predecessors have lost more than half of the hosts. */
  :: d_step { IS_ACTIVE(a) && stopped[a] == kNever && HALF(a) ->
       stopped[a] = (claimedFor[a] > kReportWait -> claimedFor[a] : kReportWait) +
                    kExpiry }

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
       for (i : 0 .. 5) { LESS(reports[i]) };
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
#define HOST(h) \
  :: d_step { IS_ACTIVE(1) && !HAS(usesSecond, h) -> \
       usesSecond = usesSecond | BIT(h) } \
  :: d_step { IS_ACTIVE(0) && !HAS(usesSecond, h) -> \
       reports[REPORT(0, h)] = kReportValidity } \
  :: d_step { IS_ACTIVE(1) && HAS(usesSecond, h) -> \
       reports[REPORT(1, h)] = kReportValidity } \
  /* A host that restarts takes the first map that it hears. */ \
  :: d_step { HAS(usesSecond, h) -> \
       usesSecond = usesSecond & ~BIT(h); lasting = lasting & ~BIT(h); \
       reports[REPORT(0, h)] = 0 }
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
#endif
  od
}

init
{
  d_step {
    phase[0] = kActive; myClaim[0] = 1; myVersion[0] = 1; myToken[0] = 1;
    confirmed[0] = kClaimValidity;
#ifdef HOSTS
    lasting = 7
#endif
  }
  atomic {
    run Assigner(0);
    run Assigner(1)
  }
}
