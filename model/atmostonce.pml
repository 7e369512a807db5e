/* At most one run of a non-idempotent request, by its idempotency key.
 *
 * One key; HOSTS hosts, each of which can be entry, owner of the key, steward
 * and witness. The caller sends it up to SENDS times, at any hosts. Owners are
 * deposed at any moment, asleep or not, up to TAKEOVERS times; up to CRASHES
 * hosts are lost, and up to RESTARTS of them come back with nothing in memory.
 * The lease is taken as proved by lease.pml: who is deposed finds, when it
 * looks, that it holds none; what it decided before may happen after.
 *
 * Each name below leaves out one rule and must give a counterexample:
 *
 *   NO_WITNESS         entry, owner and steward are one host, no other is told
 *   WITNESS_LATE       the witness is told after the dispatch
 *   ENTRY_SILENT       the entry keeps no note of what it forwards
 *   STEWARD_SILENT     the steward keeps no note of what it runs
 *   OWNER_SILENT       the owner keeps no note of what it dispatches; a later
 *                      successor of its successor asks it
 *   NO_COLLECT         a successor asks nobody
 *   SILENCE_IS_NO      a host that is lost counts as one that knows nothing
 *   RESTART_ANSWERS    a restarted host answers for its earlier run
 *   NO_FENCE           who answers a collection still takes the predecessor's
 *   NO_STALE_CHECK     a host takes what its map shows to be from before
 *   NO_LEASE_CHECK     an owner dispatches without looking at its lease
 *   ALL_NEW            an unsure successor takes each key as newer than itself
 *   FORGET             the owner forgets a key when its run is over
 *   RETRY_UNKNOWN      a lost answer counts as "not run"
 */

#ifndef HOSTS
#define HOSTS 3
#endif
#ifndef SENDS
#define SENDS 3
#endif
#ifndef TAKEOVERS
#define TAKEOVERS 2
#endif
#ifndef CRASHES
#define CRASHES 2
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define kNobody HOSTS
#define BIT(h) (1 << (h))

/* The table. */
byte owner;
byte epoch = 1;

/* The caller and the upstreams. */
byte sends;
byte runs;

/* Each host. */
bool lost[HOSTS];
byte sees[HOSTS];     /* the epoch in its map */
byte seesOwner[HOSTS];
byte knows[HOSTS];    /* lowest epoch that it noted the key under; 0: not */
byte fenced[HOSTS];   /* refuses epochs below */
byte entered[HOSTS];  /* the epoch for which an arrival waits on its way to the
                         owner, as the entry saw it; 0: none */
byte target[HOSTS];   /* that owner */

/* Each host as owner. */
byte tenure[HOSTS];   /* its epoch; 0: never owner */
byte missing[HOSTS];  /* a bit for each host that has not answered; bit HOSTS
                         for runs of hosts that are gone */
bool mayHaveRun[HOSTS];
bool unsent[HOSTS];   /* the key was first sent after the takeover */
#define kNone 0
#define kAccepted 1   /* not yet looked at the lease */
#define kNoting 2     /* the witness is asked */
#define kReady 3      /* the lease was valid; the forward is not yet sent */
#define kSent 4       /* on the wire */
#define kQueued 5     /* the steward took it, and has not sent it yet */
#define kRun 6        /* at the upstream; the answer is under way */
#define kDone 7
byte record[HOSTS];
byte under[HOSTS];   /* the epoch that it was accepted under */
byte entry[HOSTS];
byte steward[HOSTS];
byte witness[HOSTS];
bool lateNote[HOSTS]; /* WITNESS_LATE: still to be told */

byte takeovers;
byte crashes;
byte restarts;
byte gone; /* runs of hosts that ended, other than by being deposed first */

#define LIVE(h) (!lost[h])
#define NOTE(h, e) \
  knows[h] = (knows[h] == 0 || e < knows[h] -> e : knows[h])
#ifdef NO_STALE_CHECK
#define STALE(h, e) (e < fenced[h])
#else
#define STALE(h, e) (e < fenced[h] || e < sees[h])
#endif

inline Clear(h)
{
  knows[h] = 0; fenced[h] = 0;
  tenure[h] = 0; missing[h] = 0; mayHaveRun[h] = false; unsent[h] = false
}

/* The key is free again, or its outcome is kept as long as the owner lives. */
inline End(h)
{
  record[h] = kNone; entry[h] = 0; steward[h] = 0; under[h] = 0
}

inline Finish(h)
{
  record[h] = (lost[h] -> kNone : kDone); entry[h] = 0; steward[h] = 0;
  under[h] = 0
}

/* What h had under way as an owner goes on without it: forwards on the wire and
 * work at stewards. Only what is still inside h is lost with it. */
inline ClearRecord(h)
{
  if
  :: record[h] < kSent || record[h] == kDone ->
       End(h)
  :: else -> skip
  fi;
  witness[h] = 0; lateNote[h] = false
}

active proctype System()
{
  byte h;
  byte o;
  atomic {
    for (h : 0 .. HOSTS - 1) {
      sees[h] = 1
    }
    tenure[0] = 1;
    h = 0
  }
  do
  /* The caller's request comes in at h, which knows some owner. */
  :: sends < SENDS ->
     atomic {
       select(h : 0 .. HOSTS - 1);
       if
       :: LIVE(h) && entered[h] == 0 ->
            sends++; o = seesOwner[h];
            if
            :: h != o && STALE(h, sees[h]) -> skip
            :: h == o || !STALE(h, sees[h]) ->
                 entered[h] = sees[h]; target[h] = o;
#ifndef ENTRY_SILENT
                 if
                 :: h != o -> NOTE(h, sees[h])
                 :: else -> skip
                 fi
#else
                 skip
#endif
            fi
       :: else -> skip
       fi;
       h = 0; o = 0
     }

  /* It arrives at that owner, late perhaps, or never. */
  :: atomic {
       select(h : 0 .. HOSTS - 1);
       if
       :: entered[h] != 0 ->
            o = target[h];
            if
            :: LIVE(o) && record[o] == kNone && tenure[o] != 0 &&
               !mayHaveRun[o] &&
#ifdef ALL_NEW
               true
#else
               (missing[o] == 0 || unsent[o])
#endif
               -> record[o] = kAccepted; entry[o] = h; under[o] = tenure[o]
            :: else -> skip
            fi;
            entered[h] = 0; target[h] = 0
       :: else -> skip
       fi;
       h = 0; o = 0
     }

  /* The owner looks at its lease and chooses a steward. */
  :: atomic {
       select(o : 0 .. HOSTS - 1);
       if
       :: LIVE(o) && record[o] == kAccepted ->
            if
#ifndef NO_LEASE_CHECK
            :: owner != o || epoch != under[o] ->
                 End(o)
            :: owner == o && epoch == under[o] ->
#else
            :: true ->
#endif
                 select(h : 0 .. HOSTS - 1);
                 steward[o] = h;
#ifndef OWNER_SILENT
                 NOTE(o, under[o]);
#endif
                 if
#ifndef NO_WITNESS
                 :: entry[o] == o && h == o ->
                      select(h : 0 .. HOSTS - 1);
                      if
                      :: h != o -> witness[o] = h;
#ifdef WITNESS_LATE
                           record[o] = kReady; lateNote[o] = true
#else
                           record[o] = kNoting
#endif
                      :: else -> End(o)
                      fi
                 :: entry[o] != o || h != o -> record[o] = kReady
#else
                 :: record[o] = kReady
#endif
                 fi
            fi
       :: else -> skip
       fi;
       h = 0; o = 0
     }

  /* The witness notes the key or refuses; the owner looks at its lease again.
   * Or there is no answer. */
  :: atomic {
       select(o : 0 .. HOSTS - 1);
       if
       :: LIVE(o) && (record[o] == kNoting || lateNote[o]) ->
            h = witness[o];
            if
            :: LIVE(h) && !STALE(h, under[o]) -> NOTE(h, under[o]);
                 if
                 :: lateNote[o] -> skip
                 :: !lateNote[o] && owner == o && epoch == under[o] ->
                      record[o] = kReady
                 :: else -> End(o)
                 fi
            :: !lateNote[o] ->
                 End(o)
            :: else -> skip
            fi;
            lateNote[o] = false; witness[o] = 0
       :: else -> skip
       fi;
       h = 0; o = 0
     }

  /* After any pause the forward leaves; it arrives after any time. */
  :: atomic {
       select(o : 0 .. HOSTS - 1);
       if
       :: LIVE(o) && record[o] == kReady -> record[o] = kSent
       :: else -> skip
       fi;
       o = 0
     }
  :: atomic {
       select(o : 0 .. HOSTS - 1);
       if
       :: record[o] == kSent ->
            h = steward[o];
            if
            :: LIVE(h) && !STALE(h, under[o]) -> record[o] = kQueued;
#ifndef STEWARD_SILENT
                 NOTE(h, under[o])
#endif
            :: LIVE(h) && STALE(h, under[o]) ->
                 End(o)
            /* The steward is lost, and the owner cannot know when. */
            :: !LIVE(h) -> Finish(o)
            fi
       :: else -> skip
       fi;
       h = 0; o = 0
     }
  :: atomic {
       select(o : 0 .. HOSTS - 1);
       if
       :: record[o] == kQueued && LIVE(steward[o]) ->
            runs++;
            assert(runs <= 1);
            record[o] = kRun
       :: else -> skip
       fi;
       o = 0
     }
  /* The answer, or its loss, comes back late. */
  :: atomic {
       select(o : 0 .. HOSTS - 1);
       if
       :: record[o] == kRun ->
#ifdef FORGET
            End(o)
#else
            if
            :: Finish(o)
#ifdef RETRY_UNKNOWN
            :: End(o)
#endif
            fi
#endif
       :: else -> skip
       fi;
       o = 0
     }

  /* h takes over from the owner, and asks the others. */
  :: takeovers < TAKEOVERS ->
     atomic {
       select(h : 0 .. HOSTS - 1);
       if
       :: LIVE(h) && h != owner ->
            takeovers++; epoch++; o = owner; owner = h;
            sees[h] = epoch; seesOwner[h] = h; tenure[h] = epoch;
            unsent[h] = (sends == 0);
            mayHaveRun[h] = (knows[h] != 0);
            fenced[h] = epoch;
#ifdef NO_COLLECT
            missing[h] = 0; mayHaveRun[h] = false
#else
            /* Everyone but itself and the predecessor; and those whose run
             * has ended, who never answer. */
            missing[h] = (BIT(HOSTS) - 1) & ~BIT(h);
            if
            :: lost[o] || tenure[o] == epoch - 1 ->
                 missing[h] = missing[h] & ~BIT(o)
            :: else -> skip
            fi;
#if !defined(RESTART_ANSWERS) && !defined(SILENCE_IS_NO)
            if
            :: gone > (tenure[o] == epoch - 1 -> 0 : 1) ->
                 missing[h] = missing[h] | BIT(HOSTS)
            :: else -> skip
            fi
#else
            skip
#endif
#endif
       :: else -> skip
       fi;
       h = 0; o = 0
     }
  /* One of them answers, which is also the fence. */
  :: atomic {
       select(o : 0 .. HOSTS - 1);
       select(h : 0 .. HOSTS - 1);
       if
       :: LIVE(o) && (missing[o] & BIT(h)) && LIVE(h) ->
            missing[o] = missing[o] & ~BIT(h);
            if
            :: knows[h] != 0 && knows[h] < tenure[o] -> mayHaveRun[o] = true
            :: else -> skip
            fi;
#ifndef NO_FENCE
            fenced[h] = (fenced[h] < tenure[o] -> tenure[o] : fenced[h])
#endif
#ifdef SILENCE_IS_NO
       :: LIVE(o) && (missing[o] & BIT(h)) && !LIVE(h) ->
            missing[o] = missing[o] & ~BIT(h)
#endif
       :: else -> skip
       fi;
       h = 0; o = 0
     }

  /* A host hears of the newest row. */
  :: atomic {
       select(h : 0 .. HOSTS - 1);
       if
       :: LIVE(h) && sees[h] != epoch ->
            sees[h] = epoch; seesOwner[h] = owner
       :: else -> skip
       fi;
       h = 0
     }

  /* A host is lost, and perhaps replaced under its name. */
  :: crashes < CRASHES ->
     atomic {
       select(h : 0 .. HOSTS - 1);
       if
       :: LIVE(h) ->
            crashes++; lost[h] = true; gone++;
            Clear(h);
            ClearRecord(h);
            sees[h] = 0; seesOwner[h] = 0;
            for (o : 0 .. HOSTS - 1) {
              if
              :: record[o] == kQueued && steward[o] == h -> Finish(o)
              :: else -> skip
              fi;
#if !defined(RESTART_ANSWERS) && !defined(SILENCE_IS_NO)
              /* Its next run is not the one that was asked. */
              if
              :: missing[o] & BIT(h) -> missing[o] = missing[o] | BIT(HOSTS)
              :: else -> skip
              fi
#endif
            }
            skip
       :: else -> skip
       fi;
       h = 0; o = 0
     }
  :: restarts < RESTARTS ->
     atomic {
       select(h : 0 .. HOSTS - 1);
       if
       :: lost[h] && record[h] == kNone && entered[h] == 0 ->
            restarts++; lost[h] = false;
            sees[h] = epoch; seesOwner[h] = owner
       :: else -> skip
       fi;
       h = 0
     }
  od
}
