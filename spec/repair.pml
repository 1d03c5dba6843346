/*
 * Model of the repair of the control log: a member is lost, a new store joins as a learner and takes
 * the place of the lost one as a voter, and then another member is lost permanently.
 *
 * Stores 0, 1 and 2 are the initial voters; store 3 is that of the successor of the instance of store
 * 2, at the same address or at another one. With -DCUT_OFF store 2 is not lost but cut off for a
 * while, and takes part again at any moment.
 * The entry at index 1 is a configuration change that was acknowledged to operators; indexes 2 to 4
 * are the membership changes of the repair: add learner 3, remove voter 2, promote 3 to voter. An
 * election and the replication of one entry are atomic steps; lost and delayed messages are covered
 * by executions in which a step happens later or never.
 *
 * Mutants: -DMUT_SAME_IDENTITY  the store that lost its disk keeps its identity and votes
 *          -DMUT_ACK_UNSYNCED   an entry is acknowledged before it is synced
 *          -DMUT_OLD_TERM       entries of older terms are committed by counting replicas
 *                              (with -DNO_REPAIR: no store loses its disk, fails or restarts)
 *          -DMUT_VOTE_FORGOTTEN the term and vote are not durable
 *          -DMUT_KEEP_REPLACED  the replaced store stays a voter
 *          -DMUT_SWAP_AT_ONCE   one change removes a voter and promotes another (with -DCUT_OFF)
 */
#define STORES 4
#define LAST 4
#ifndef MAXTERM
#define MAXTERM 3
#endif

byte term[STORES];              /* durable term; the store votes only in a later one */
byte size[STORES];               /* length of the log */
byte synced[STORES];            /* length of the synced prefix of the log */
byte tm0[5], tm1[5], tm2[5], tm3[5];    /* term of each entry, index 1 to 4 */
bool gone[STORES];              /* lost its disk or failed permanently */
byte leader = 255;              /* leader of the newest term */
byte leadTerm = 0;
byte leaderOfTerm[6];           /* leader of each term, plus one; 0 if none */
byte commit = 0;                /* highest index that was ever committed */
byte commitTerm[5];
byte emptied = 0, lost = 0, restarts = 0;
bool violated = false, stuck = false;

inline getTm(s, i, out) {
    if :: s == 0 -> out = tm0[i] :: s == 1 -> out = tm1[i] :: s == 2 -> out = tm2[i] :: else -> out = tm3[i] fi
}
inline setTm(s, i, v) {
    if :: s == 0 -> tm0[i] = v :: s == 1 -> tm1[i] = v :: s == 2 -> tm2[i] = v :: else -> tm3[i] = v fi
}
/* Whether s is a voter, and the number of voters, for a log of length l. */
#ifdef MUT_KEEP_REPLACED
#define VOTER(l, s) ((s < 3) || (s == 3 && l >= 4))
#define VOTERS(l) ((l >= 4) -> 4 : 3)
#elif defined(MUT_SWAP_AT_ONCE)
#define VOTER(l, s) ((s < 2) || (s == 2 && l < 3) || (s == 3 && l >= 3))
#define VOTERS(l) 3
#else
#define VOTER(l, s) ((s < 2) || (s == 2 && l < 3) || (s == 3 && l >= 4))
#define VOTERS(l) ((l == 3) -> 2 : 3)
#endif

#define LEFT(s) ((!gone[s] && VOTER(LAST, s)) -> 1 : 0)

inline elect(c) {               /* RaftNode.campaign, onVoteRequest, addVote */
    t = term[c] + 1; votes = 0; getTm(c, size[c], ct);
    v = 0;
    do
    :: v < STORES ->
       getTm(v, size[v], vt);
       if
       :: VOTER(size[c], v) && !gone[v] && term[v] < t &&
              (v == c || vt < ct || (vt == ct && size[v] <= size[c])) ->
              if :: votes = votes + 1; granted[v] = true :: v != c -> skip fi
       :: else
       fi;
       v = v + 1
    :: else -> break
    od;
    if
    :: granted[c] && votes * 2 > VOTERS(size[c]) ->
       v = 0;
       do
       :: v < STORES -> if :: granted[v] -> term[v] = t :: else fi; v = v + 1
       :: else -> break
       od;
       /* A term has at most one leader. */
       if :: leaderOfTerm[t] != 0 && leaderOfTerm[t] != c + 1 -> violated = true :: else -> leaderOfTerm[t] = c + 1 fi;
       if :: t > leadTerm -> leader = c; leadTerm = t :: else fi;
       /* A leader must have every entry that was ever committed. */
       i = 1;
       do
       :: i <= commit ->
          getTm(c, i, vt);
          if :: size[c] < i || vt != commitTerm[i] -> violated = true :: else fi;
          i = i + 1
       :: else -> break
       od
    :: else
    fi;
    granted[0] = false; granted[1] = false; granted[2] = false; granted[3] = false;
    t = 0; votes = 0; ct = 0; vt = 0; v = 0; i = 0
}

inline replicate(f) {           /* Leadership.sendEntries, RaftNode.onAppendRequest */
    i = 0;
    do                          /* length of the common prefix */
    :: i < size[f] && i < size[leader] ->
       getTm(f, i + 1, vt); getTm(leader, i + 1, ct);
       if :: vt == ct -> i = i + 1 :: else -> break fi
    :: else -> break
    od;
    if
    :: i < size[leader] ->
       getTm(leader, i + 1, ct); setTm(f, i + 1, ct); size[f] = i + 1;
       if :: synced[f] > i -> synced[f] = i :: else fi;
       term[f] = leadTerm
    :: else
    fi;
    i = 0; vt = 0; ct = 0
}

#ifdef MUT_ACK_UNSYNCED
#define ACKNOWLEDGED(s) size[s]
#else
#define ACKNOWLEDGED(s) synced[s]
#endif

inline tryCommit(n) {           /* Leadership.advanceCommitIndex */
    votes = 0; v = 0; getTm(leader, n, ct);
    do
    :: v < STORES ->
       getTm(v, n, vt);
       if :: VOTER(size[leader], v) && !gone[v] && ACKNOWLEDGED(v) >= n && vt == ct -> votes = votes + 1 :: else fi;
       v = v + 1
    :: else -> break
    od;
    if
#ifdef MUT_OLD_TERM
    :: votes * 2 > VOTERS(size[leader]) ->
#else
    :: votes * 2 > VOTERS(size[leader]) && ct == leadTerm ->
#endif
       i = 1;
       do
       :: i <= n -> getTm(leader, i, vt); commitTerm[i] = vt; i = i + 1
       :: else -> break
       od;
       commit = n
    :: else
    fi;
    votes = 0; v = 0; vt = 0; ct = 0; i = 0
}

proctype System() {
    byte t, votes, v, vt, ct, i, s;
    bool granted[STORES];
end:
    do
    :: atomic { leadTerm <= MAXTERM ->
           if
           :: s = 0 :: s = 1 :: s = 2 :: s = 3
           fi;
           if
           :: !gone[s] && VOTER(size[s], s) && term[s] < MAXTERM -> elect(s)
           :: else
           fi; s = 0 }
    /* The leader appends; a membership change waits until the previous one is committed
       (Leadership.changeMembers). */
    :: atomic { leader < STORES && !gone[leader] && term[leader] == leadTerm && size[leader] < LAST &&
                (size[leader] == 0 || (commit >= size[leader] && emptied == 1)) ->
           size[leader] = size[leader] + 1;
           setTm(leader, size[leader], leadTerm) }
    :: atomic { leader < STORES && !gone[leader] && term[leader] == leadTerm ->
           if
           :: s = 0 :: s = 1 :: s = 2 :: s = 3
           fi;
           if
           /* The new store receives the log only after it was added as a learner. */
           :: s != leader && !gone[s] && term[s] <= leadTerm &&
                  (s < 3 || (emptied == 1 && size[leader] >= 2)) -> replicate(s)
           :: else
           fi; s = 0 }
    :: atomic {
           if
           :: s = 0 :: s = 1 :: s = 2 :: s = 3
           fi;
           if :: !gone[s] -> synced[s] = size[s] :: else fi; s = 0 }
    :: atomic { leader < STORES && !gone[leader] && term[leader] == leadTerm && commit < size[leader] ->
           tryCommit(size[leader]) }
    /* A store learns the newest term. */
    :: atomic {
           if
           :: s = 0 :: s = 1 :: s = 2 :: s = 3
           fi;
           if :: !gone[s] && term[s] < leadTerm -> term[s] = leadTerm :: else fi; s = 0 }
#ifndef NO_REPAIR
    /* The store 2 is lost, or cut off. */
    :: atomic { emptied == 0 && leader != 2 -> emptied = 1;
#ifdef MUT_SAME_IDENTITY
           size[2] = 0; synced[2] = 0; term[2] = 0
#elif !defined(CUT_OFF)
           gone[2] = true
#endif
       }
#ifndef CUT_OFF
    /* Immediately after the repair, another instance fails permanently. */
    :: atomic { commit == LAST && lost == 0 && leader != 1 -> lost = 1; gone[1] = true;
           /* Whether the voters that are left are no majority. */
           stuck = (LEFT(0) + LEFT(1) + LEFT(2) + LEFT(3)) * 2 <= VOTERS(LAST) }
#endif
    /* A process restarts and loses the entries that were not synced. */
    :: atomic { restarts < 1 -> restarts = restarts + 1;
           if
           :: s = 0 :: s = 1 :: s = 2 :: s = 3
           fi;
           size[s] = synced[s];
#ifdef MUT_VOTE_FORGOTTEN
           term[s] = 0;
#endif
           if :: leader == s -> leader = 255 :: else fi; s = 0 }
#endif
    od
}

init { gone[3] = false; run System() }

ltl committed_kept { [] !violated }
ltl quorum_kept { [] !stuck }
