/* The lease of a host with its guards, and how it is deposed.
 *
 * One holder (host 0), four guards (0-2 are named at first, 1-3 after a change
 * of guards), two deposers (1 and 2), the row of the holder in the table, and
 * one upstream. Time is kept as time left, so its length is not bounded.
 *
 * The upstream checks fencing tokens; with -DUNCHECKED it takes every order.
 * The search is cut into three, as all of it at once is too large (runs.txt has
 * the sizes): change of guards (ONE_DEPOSER, NO_ORDERS, EQUAL_CLOCKS); two
 * deposers in an outage (FIXED_GUARDS, EQUAL_CLOCKS); clock drift and pauses at
 * an upstream that checks no tokens (FIXED_GUARDS, UNCHECKED).
 *
 * Each -DNO_... or other name in the list below leaves out one rule, and must
 * then give a counterexample:
 *
 *   COUNT_FROM_RECEIPT   the holder counts its term from the guard's answer
 *   NO_DRIFT_ALLOWANCE   holder's and guards' terms are equal
 *   NO_WAIT              the deposer does not wait for the confirmations' end
 *   NOT_STICKY           a guard that has released confirms again
 *   MINORITY_RELEASES    one released guard is enough
 *   RESTART_CONFIRMS     a restarted guard confirms as the one that was named
 *   RESTART_RELEASES     a restarted guard releases as the one that was named
 *   CHANGE_NEW_ONLY      only the new guards count while the write is unknown
 *   NO_SUSPICION         guards are asked before the row is marked
 *   UNCONDITIONAL        the table takes a write whatever version it expects
 *   ASSUME_WRITTEN       a lost answer counts as a written row
 *   CONFLICT_IS_FAILURE  a conflict after a lost answer counts as not written
 *   BLIND_RETRY          a lost answer is followed by a write on the new version
 *   ACK_BEFORE_WRITE     an assignment is acknowledged before the table has it
 *   NO_FENCE             (checked) the successor starts without fencing
 *   FENCE_NOT_CHECKED    (checked) the upstream takes lower tokens
 *   NO_LEASE_CHECK       the holder sends without looking at its lease
 *   NO_START_WAIT        (UNCHECKED) the successor starts at once
 *   LONG_PAUSE           (UNCHECKED) no bound on the pause before a send; not a
 *                        rule but an assumption, listed to show that it is one
 */

#define kTerm 2 /* the holder's, from its own sending */
#if defined(NO_DRIFT_ALLOWANCE) || defined(EQUAL_CLOCKS)
#define kGuardTerm 2
#else
#define kGuardTerm 3 /* one tick in three may be missed by the holder's clock */
#endif
#define kPause 1 /* UNCHECKED: longest time from a check to the order's end */

#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif

/* Holder. */
byte held[4]; /* what is left of each guard's confirmation */
byte sent[4]; /* what is left of the term of the request under way */
bool way[4];  /* a guard's reply is under way; its request came at once, as a
                 late one only leaves the holder less of its term */
byte slipped; /* time until its clock may miss a tick again */
bool checked; /* looked at its lease; the order is not yet at the upstream */
byte paused;  /* UNCHECKED: time since then */
byte change;  /* of guards: 0 none, 1 fate unknown, 2 written */
bool changing; /* the write is under way */
byte changeFrom; /* the version that it expects */

/* Guards. */
byte confirmed[4]; /* how long the holder may rely on it at most */
bool released[4]; /* stays with the deposers when the guard is restarted */
bool restarted[4];
byte restarts;

/* Table: the holder's row. */
byte version;
byte owner; /* 0: the holder; else who deposed it */
bool suspected;
bool newGuards;
bool down;
byte outages;

/* Deposers; index 0 is not used. */
#define kIdle 0
#define kMark 1 /* suspicion's write: fate unknown */
#define kAsk 2
#define kWrite 3 /* deposing write: fate unknown */
#define kWon 4
#define kWait 5
#define kStarted 6
byte phase[3];
byte seen[3];      /* the version read */
bool seesNew[3];   /* the guards read */
bool writing[3];   /* a write is under way */
bool begun; /* the deposers are alike: the first one begins */
byte startWait[3];
bool acknowledged[3];

byte fence; /* the upstream's: the highest epoch seen */

#define OLD_HELD ((held[0] > 0) + (held[1] > 0) + (held[2] > 0) >= 2)
#define NEW_HELD ((held[1] > 0) + (held[2] > 0) + (held[3] > 0) >= 2)
#ifdef CHANGE_NEW_ONLY
#define BOTH_HELD NEW_HELD
#else
#define BOTH_HELD (OLD_HELD && NEW_HELD)
#endif
#define LEASE ((change == 0 && OLD_HELD) || (change == 1 && BOTH_HELD) || \
               (change == 2 && NEW_HELD))

#define NAMED(d, g) ((!seesNew[d] && g < 3) || (seesNew[d] && g > 0))
#ifdef NO_WAIT
#define PASSED(g) released[g]
#else
#define PASSED(g) (released[g] && confirmed[g] == 0)
#endif
#define OLD_PASSED (PASSED(0) + PASSED(1) + PASSED(2))
#define NEW_PASSED (PASSED(1) + PASSED(2) + PASSED(3))
#ifdef MINORITY_RELEASES
#define kNeeded 1
#else
#define kNeeded 2
#endif
#define ENOUGH(d) ((!seesNew[d] && OLD_PASSED >= kNeeded) || \
                   (seesNew[d] && NEW_PASSED >= kNeeded))

#ifdef NOT_STICKY
#define REFUSES(g) restarted[g]
#else
#ifdef RESTART_CONFIRMS
#define REFUSES(g) (released[g] && !restarted[g])
#else
#define REFUSES(g) (released[g] || restarted[g])
#endif
#endif
#define HEAR(g) \
  d_step { !REFUSES(g) -> \
    way[g] = true; sent[g] = kTerm; confirmed[g] = kGuardTerm }
#ifdef COUNT_FROM_RECEIPT
#define TAKE(g) held[g] = kTerm
#define DROP_LATE(g) skip
#else
#define TAKE(g) held[g] = sent[g]
/* A reply that has outlasted the term says nothing. */
#define DROP_LATE(g) way[g] = way[g] && sent[g] > 0
#endif

#define LESS(x) x = (x > 0 -> x - 1 : 0)

inline Pass(aSlips)
{
  for (g : 0 .. 3) {
    LESS(confirmed[g]);
    if
    :: aSlips -> skip
    :: else -> LESS(held[g]); LESS(sent[g]); DROP_LATE(g)
    fi
  }
  if
  :: aSlips -> slipped = 2
  :: else -> LESS(slipped)
  fi;
  LESS(startWait[1]);
  LESS(startWait[2]);
#ifdef UNCHECKED
#ifndef LONG_PAUSE
  if
  :: checked -> paused++
  :: else -> skip
  fi;
#endif
#endif
  g = 0
}

#ifdef UNCHECKED
#define TIME_MAY_PASS (!checked || paused < kPause)
#else
#define TIME_MAY_PASS true
#endif

active proctype Holder()
{
  byte g;
  do
  :: d_step { TIME_MAY_PASS -> Pass(false) }
#ifndef EQUAL_CLOCKS
  :: d_step { TIME_MAY_PASS && slipped == 0 -> Pass(true) }
#endif

  /* Asks a guard; a reply that is still under way is then lost. */
  :: HEAR(0)
  :: HEAR(1)
  :: HEAR(2)
#ifndef FIXED_GUARDS
  :: HEAR(3)
#endif
  :: d_step { way[0] -> TAKE(0); way[0] = false; sent[0] = 0 }
  :: d_step { way[1] -> TAKE(1); way[1] = false; sent[1] = 0 }
  :: d_step { way[2] -> TAKE(2); way[2] = false; sent[2] = 0 }
  :: d_step { way[3] -> TAKE(3); way[3] = false; sent[3] = 0 }

  /* Looks at its lease; may then be paused; the order reaches the upstream,
   * or it never does. */
#ifdef NO_ORDERS
  :: d_step { LEASE && owner != 0 -> assert(false) }
#else
#ifdef NO_LEASE_CHECK
  :: d_step { !checked -> checked = true }
#else
  :: d_step { !checked && LEASE -> assert(owner == 0); checked = true }
#endif
  :: d_step { checked -> checked = false; paused = 0;
#if defined(UNCHECKED) || defined(FENCE_NOT_CHECKED)
       assert(phase[1] != kStarted && phase[2] != kStarted)
#else
       assert(fence > 1 || (phase[1] != kStarted && phase[2] != kStarted))
#endif
     }
  :: d_step { checked -> checked = false; paused = 0 }
#endif

#ifndef FIXED_GUARDS
  /* Changes its guards; the write's answer may be lost. That a majority of the
   * new ones confirms it before is no matter of safety: both count at once. */
  :: d_step { change == 0 && !changing && OLD_HELD && !down && owner == 0 &&
              !newGuards ->
       change = 1; changing = true; changeFrom = version }
  :: d_step { change == 1 && !changing -> changing = true }
  :: d_step { change == 1 && !down && newGuards ->
       change = 2; changing = false; changeFrom = 0 }
  :: d_step { change == 1 && !down && !newGuards && version != changeFrom ->
       change = 0; changing = false; changeFrom = 0 }
#endif
  od
}

/* What a restarted guard believes to have confirmed is nothing; what the
 * holder still relies on is kept, as it is the truth. */
#ifdef RESTART_RELEASES
#define FORGET(g) confirmed[g] = 0
#else
#define FORGET(g) skip
#endif
#define RESTART(g) \
  d_step { restarts < RESTARTS && !restarted[g] -> \
    restarts++; restarted[g] = true; FORGET(g) }

#ifdef RESTART_RELEASES
#define CAN_RELEASE(g) true
#else
#define CAN_RELEASE(g) !restarted[g]
#endif
/* In an outage no guard may be taken from a holder that was not suspected
 * before it: nobody could finish deposing it, and its lease would lapse.
 * Both deposers share what one was told, which allows more than there is. */
#define ASK(g) \
  d_step { ((phase[1] == kAsk && NAMED(1, g)) || \
            (phase[2] == kAsk && NAMED(2, g))) && \
           !released[g] && CAN_RELEASE(g) -> \
    assert(!down || suspected); \
    released[g] = true }

active proctype Guards()
{
  do
  :: ASK(0)
  :: ASK(1)
  :: ASK(2)
#ifndef FIXED_GUARDS
  :: ASK(3)
#endif
  :: RESTART(0)
  :: RESTART(1)
  :: RESTART(2)
#ifndef FIXED_GUARDS
  :: RESTART(3)
#endif
  od
}

#ifdef UNCONDITIONAL
#define EXPECTED(v) true
#else
#define EXPECTED(v) (version == (v))
#endif
#define MARK(d) suspected = true; version++; writing[d] = false
#define DEPOSE(d) owner = d; version++; writing[d] = false
/* Every write at the table may have its answer lost; a write that is lost on
 * its way is one that stays under way. */
#define TABLE(d) \
  :: d_step { !down && phase[d] == kMark && writing[d] -> \
       if \
       :: EXPECTED(seen[d]) -> MARK(d); phase[d] = kAsk; seen[d] = version \
       :: else -> writing[d] = false; phase[d] = kIdle; seen[d] = 0 \
       fi } \
  :: d_step { !down && phase[d] == kMark && writing[d] && EXPECTED(seen[d]) -> \
       MARK(d) } \
  :: d_step { !down && phase[d] == kWrite && writing[d] -> \
       if \
       :: EXPECTED(seen[d]) -> DEPOSE(d); phase[d] = kWon \
       :: !EXPECTED(seen[d]) && owner == d -> \
            writing[d] = false; phase[d] = kWon \
       :: else -> writing[d] = false; phase[d] = kIdle; seen[d] = 0 \
       fi } \
  :: d_step { !down && phase[d] == kWrite && writing[d] && EXPECTED(seen[d]) -> \
       DEPOSE(d) }

active proctype Table()
{
  do
  :: d_step { !down && outages < OUTAGES -> down = true; outages++ }
  :: d_step { down -> down = false }
  TABLE(1)
  TABLE(2)
  /* The holder's change of guards, with and without its answer. */
  :: d_step { !down && changing -> changing = false;
       if
       :: version == changeFrom ->
            newGuards = true; version++; change = 2; changeFrom = 0
#ifndef CONFLICT_IS_FAILURE
       :: version != changeFrom && newGuards -> change = 2; changeFrom = 0
#endif
       :: else -> change = 0; changeFrom = 0
       fi }
  :: d_step { !down && changing && version == changeFrom ->
       changing = false; newGuards = true; version++ }
  /* The two properties on the table. */
  :: d_step { phase[1] >= kWon && phase[2] >= kWon -> assert(false) }
  :: d_step { phase[1] >= kWon && owner != 1 -> assert(false) }
  :: d_step { phase[2] >= kWon && owner != 2 -> assert(false) }
  :: d_step { acknowledged[1] && owner == 2 -> assert(false) }
  :: d_step { acknowledged[2] && owner == 1 -> assert(false) }
  od
}

proctype Deposer(byte d)
{
  do
  /* Reads the row. */
  :: d_step { phase[d] == kIdle && !down && owner == 0 && (d == 1 || begun) ->
       begun = true;
       seen[d] = version; seesNew[d] = newGuards;
#ifdef NO_SUSPICION
       phase[d] = kAsk
#else
       if
       :: suspected -> phase[d] = kAsk
       :: else -> phase[d] = kMark; writing[d] = true
       fi
#endif
     }
  :: d_step { phase[d] == kMark && !writing[d] -> phase[d] = kIdle; seen[d] = 0 }
  :: d_step { phase[d] == kAsk && !down && version != seen[d] ->
       phase[d] = kIdle; seen[d] = 0 }
  :: d_step { phase[d] == kAsk && ENOUGH(d) ->
       phase[d] = kWrite; writing[d] = true;
#ifdef ACK_BEFORE_WRITE
       acknowledged[d] = true
#endif
     }
  /* The fate is unknown: asks the table, or writes the same again. */
  :: d_step { phase[d] == kWrite && !down && owner == d -> phase[d] = kWon }
  :: d_step { phase[d] == kWrite && !down && version != seen[d] &&
              owner != d ->
#ifdef BLIND_RETRY
       seen[d] = version; writing[d] = true
#else
       phase[d] = kIdle; writing[d] = false; seen[d] = 0
#endif
     }
  :: d_step { phase[d] == kWrite && !writing[d] -> writing[d] = true }
#ifdef ASSUME_WRITTEN
  :: d_step { phase[d] == kWrite -> phase[d] = kWon }
#endif
  :: d_step { phase[d] == kWon -> phase[d] = kWait; acknowledged[d] = true;
#ifdef UNCHECKED
#ifndef NO_START_WAIT
       startWait[d] = kPause + 1
#endif
#else
#ifndef NO_FENCE
       fence = 2
#endif
#endif
     }
  :: d_step { phase[d] == kWait && startWait[d] == 0 -> phase[d] = kStarted }
  od
}

init
{
  atomic {
#ifndef ONE_DEPOSER
    run Deposer(2);
#endif
    run Deposer(1)
  }
}
