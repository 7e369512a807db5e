/* The keys of a service are divided anew while upstreams hold them.
 *
 * One key; the old part's assigner, and two hosts that claim the new part and
 * may take it over from each other; three upstreams, of which one may hold the
 * key. Each assigner moves the key to other upstreams as it likes, MOVES times
 * in all. Writes to the store are conditional on the versions read. Lease
 * commands reach upstreams in any order and at any time, also after their
 * sender has lost its claim; a sent command may be sent again.
 *
 * Not in this model: leases that lapse (a key goes on only once its previous
 * holders have confirmed the release) and writes without an answer; see
 * lease.pml and the simulations of the tests.
 *
 * Each name below leaves out one rule and must give a counterexample:
 *
 *   NO_CLOSE         a new part takes the old assignment and leaves it open
 *   CLOSE_ANY        the old part is closed whatever was written since the read
 *   NO_TAKEOVER      a new part begins as if nobody held its keys
 *   NO_FENCE         upstreams take grants with lower tokens
 *   NO_RELEASE       a holder is granted before those before it have let go
 *   UNCONDITIONAL    a change is stored whoever has claimed the part since
 */

#ifndef MOVES
#define MOVES 2
#endif
#define kUpstreams 3
#define kTokens 8
#define AT(u, t) ((u) * kTokens + (t))
#define BIT(u) (1 << (u))

/* The store: of the old and the new part, the claim's version (0: no row),
 * whether it is closed, and the assignment with its version. */
byte claim[2];
bool closed[2];
byte version[2];
byte holder[2];
byte token[2];
byte previous[2]; /* bits */

/* Upstreams, and the commands on their way to them, by upstream and token. */
byte held; /* bits */
byte seen[kUpstreams];
bool granting[24];
bool releasing[24];
bool released[24];
byte moves;

active proctype Network()
{
  byte u, t;
end:
  do
  :: atomic {
       select (u : 0 .. 2);
       select (t : 1 .. 7);
       if
       :: granting[AT(u, t)] ->
          granting[AT(u, t)] = false;
#ifndef NO_FENCE
          if
          :: t >= seen[u] -> held = held | BIT(u); seen[u] = t
          :: else
          fi
#else
          held = held | BIT(u);
          seen[u] = t
#endif
       :: releasing[AT(u, t)] ->
          releasing[AT(u, t)] = false;
          held = held & ~BIT(u);
          if
          :: t > seen[u] -> seen[u] = t
          :: else
          fi;
          released[AT(u, t)] = true
       :: else
       fi;
       assert(held == 0 || held == 1 || held == 2 || held == 4);
       u = 0;
       t = 0
     }
  od
}

/* A host that has claimed a part changes and carries out its assignment until
 * it finds that its claim is gone. */
inline Assign(p)
{
  do
  :: atomic { moves < MOVES && myToken < kTokens - 1 ->
       moves++;
       select (u : 0 .. 2);
       if
#ifdef UNCONDITIONAL
       :: u != myHolder ->
#else
       :: u != myHolder && claim[p] == myClaim && version[p] == myVersion ->
#endif
          myPrevious = (myPrevious | BIT(myHolder)) & ~BIT(u);
          myHolder = u;
          myToken++;
          myVersion = version[p] + 1;
          version[p] = myVersion;
          holder[p] = myHolder;
          token[p] = myToken;
          previous[p] = myPrevious
       :: u != myHolder && (claim[p] != myClaim || version[p] != myVersion) ->
          break
       :: else
       fi;
       u = 0
     }
  :: atomic { myPrevious != 0 ->
       select (u : 0 .. 2);
       if
       :: (myPrevious & BIT(u)) && released[AT(u, myToken)] ->
          myPrevious = myPrevious & ~BIT(u)
       :: (myPrevious & BIT(u)) && !released[AT(u, myToken)] ->
          releasing[AT(u, myToken)] = true
       :: else
       fi;
       u = 0
     }
#ifdef NO_RELEASE
  :: atomic { granting[AT(myHolder, myToken)] = true }
#else
  :: atomic { myPrevious == 0 -> granting[AT(myHolder, myToken)] = true }
#endif
  od
}

active proctype OldAssigner()
{
  byte u, myHolder, myPrevious;
  byte myToken = 1, myClaim = 1, myVersion = 1;
  atomic {
    claim[0] = 1; version[0] = 1; holder[0] = 0; token[0] = 1;
    held = BIT(0); seen[0] = 1
  }
  Assign(0)
}

active [2] proctype NewAssigner()
{
  byte u, myHolder, myPrevious, myToken, myClaim, myVersion;
  byte readClaim, readVersion;
  version[0] > 0;
  do
  :: atomic { claim[1] == 0 ->
       /* The old part is read; its rows are final if it is closed already. */
       readClaim = claim[0]; readVersion = version[0];
       myHolder = holder[0]; myToken = token[0]; myPrevious = previous[0]
     };
#ifndef NO_CLOSE
     atomic {
       if
       :: closed[0] && readClaim == claim[0]
#ifdef CLOSE_ANY
       :: !closed[0] -> closed[0] = true; claim[0]++
#else
       :: !closed[0] && readClaim == claim[0] && readVersion == version[0] ->
          closed[0] = true; claim[0]++
#endif
       :: else -> goto again
       fi
     };
#endif
     atomic {
       if
       :: claim[1] == 0 ->
#ifdef NO_TAKEOVER
          select (u : 0 .. 2);
          myHolder = u; myToken = 1; myPrevious = 0;
#endif
          claim[1] = 1; version[1] = 1;
          holder[1] = myHolder; token[1] = myToken; previous[1] = myPrevious;
          myClaim = 1; myVersion = 1;
          u = 0; readClaim = 0; readVersion = 0;
          break
       :: else
       fi
     };
     again: skip
  :: atomic { claim[1] == 1 ->
       /* Takes the part over from the host that claimed it first. */
       claim[1] = 2;
       version[1]++;
       myClaim = 2; myVersion = version[1];
       myHolder = holder[1]; myToken = token[1]; myPrevious = previous[1];
       readClaim = 0; readVersion = 0;
       break
     }
  od;
  Assign(1)
}
