/*
 * Model of the orders to empty a data centre and to take it back: an operator gives one order after
 * the other, copies of them are delayed on their way to the leader, leaders change, and an entry
 * instance learns the state from control instances of which some lag.
 *
 * Odd orders empty the data centre, even ones take it back. The operator waits for the
 * acknowledgement of an order or gives up waiting. Three stores hold the log; an election and the
 * replication of one entry are atomic steps, and what a store holds is durable (repair.pml covers
 * stores that lose entries). The revision is the index of the last order that had its effect.
 *
 * Mutants: -DMUT_ACK_APPENDED   an order is acknowledged once the leader has appended it
 *          -DMUT_NO_REVISION    an order has its effect whatever it is based on
 *          -DMUT_NO_RAISE       an order that changes nothing does not raise the revision
 *          -DMUT_LATE_COPY      an order is sent again after its operator has given another one
 *          -DMUT_ANY_REVISION   (with -DVIEW, which adds the entry instance) an entry instance takes
 *                              over a state of a lower revision
 */
#define STORES 3
#define LAST 3
#define ORDERS 3
#define COPIES 2
#define MAXTERM 2
#define EMPTIES(order) ((order) % 2)

byte term[STORES];
byte size[STORES];
byte entryTerm[9];              /* 3 entries for each store: term, order and revision */
byte entryOrder[9];
byte entryBasis[9];
byte leader = 255;              /* leader of the newest term */
byte leadTerm = 0;
byte commit = 0;
byte current = 1;               /* number of the operator's order */
bool acked = false;             /* whether it was acknowledged */
byte copyOrder[COPIES];         /* copies on their way; 0 if none */
byte copyBasis[COPIES];
byte state = 0;                 /* 1 if emptied, according to the committed log */
byte revision = 0;
byte stateAt[4];                /* state at each revision */
bool known[4];
byte viewState = 0;             /* as the entry instance knows it */
byte viewRevision = 0;
bool undone = false, backward = false;

#define AT(s, i) ((s) * LAST + (i) - 1)
#define LASTTERM(s) (size[s] == 0 -> 0 : entryTerm[AT(s, size[s])])
#define UPTODATE(c, v) (LASTTERM(c) > LASTTERM(v) || (LASTTERM(c) == LASTTERM(v) && size[c] >= size[v]))

inline checkKept() {
    if :: acked && state != EMPTIES(current) -> undone = true :: else fi
}

inline elect(c, v) {
    if
    :: term[c] >= term[v] && term[c] < MAXTERM && UPTODATE(c, v) ->
       term[c] = term[c] + 1; term[v] = term[c];
       if :: term[c] > leadTerm -> leadTerm = term[c]; leader = c :: else fi
    :: else
    fi
}

inline replicate(f) {
    i = 0;
    do                          /* length of the common prefix */
    :: i < size[f] && i < size[leader] && entryTerm[AT(f, i + 1)] == entryTerm[AT(leader, i + 1)] -> i = i + 1
    :: else -> break
    od;
    if
    :: i < size[leader] ->
       entryTerm[AT(f, i + 1)] = entryTerm[AT(leader, i + 1)];
       entryOrder[AT(f, i + 1)] = entryOrder[AT(leader, i + 1)];
       entryBasis[AT(f, i + 1)] = entryBasis[AT(leader, i + 1)];
       size[f] = i + 1; term[f] = leadTerm
    :: else
    fi;
    i = 0
}

inline applyNext() {            /* EvacuationTable.apply, and the acknowledgement */
    commit = commit + 1;
    if
    :: state == EMPTIES(entryOrder[AT(leader, commit)]) ->
#ifndef MUT_NO_RAISE
       revision = commit;
#endif
       if :: entryOrder[AT(leader, commit)] == current -> acked = true :: else fi
    :: else ->
       if
#ifdef MUT_NO_REVISION
       :: true ->
#else
       :: entryBasis[AT(leader, commit)] == revision ->
#endif
          state = EMPTIES(entryOrder[AT(leader, commit)]); revision = commit;
          if :: entryOrder[AT(leader, commit)] == current -> acked = true :: else fi
       :: else
       fi
    fi;
#ifdef VIEW
    stateAt[revision] = state; known[revision] = true;
#endif
    checkKept()
}

#define HOLDS(v, n) (size[v] >= (n) && entryTerm[AT(v, n)] == leadTerm)

proctype System() {
    byte i, k;
end:
    do
    :: atomic {
           if :: i = 0 :: i = 1 :: i = 2 fi;
           if :: k = (i + 1) % STORES :: k = (i + 2) % STORES fi;
           elect(i, k); i = 0; k = 0 }
    :: atomic { leader < STORES ->
           if :: k = (leader + 1) % STORES :: k = (leader + 2) % STORES fi;
           if :: term[k] <= leadTerm -> replicate(k) :: else fi; k = 0 }
    /* An entry of the leader's term that a majority holds is committed, with those before it. */
    :: atomic { leader < STORES && commit < size[leader] ->
           i = commit + 1;
           do
           :: i <= size[leader] && !(HOLDS(leader, i) &&
                  (HOLDS((leader + 1) % STORES, i) || HOLDS((leader + 2) % STORES, i))) -> i = i + 1
           :: else -> break
           od;
           if
           :: i <= size[leader] ->
              do
              :: commit < i -> applyNext()
              :: else -> break
              od
           :: else
           fi; i = 0 }
    /* A control instance forwards the order; a copy may be delayed while another is sent. */
    :: atomic { !acked && copyOrder[0] == 0 -> copyOrder[0] = current; copyBasis[0] = revision }
    :: atomic { copyOrder[0] > 0 && copyOrder[1] == 0 ->
           copyOrder[1] = copyOrder[0]; copyBasis[1] = copyBasis[0]; copyOrder[0] = 0; copyBasis[0] = 0 }
#ifdef MUT_LATE_COPY
    :: atomic { current > 1 && copyOrder[0] == 0 -> copyOrder[0] = current - 1; copyBasis[0] = revision }
#endif
    /* The leader appends a copy. */
    :: atomic { leader < STORES && size[leader] < LAST ->
           if :: k = 0 :: k = 1 fi;
           if
           :: copyOrder[k] > 0 ->
              size[leader] = size[leader] + 1;
              entryTerm[AT(leader, size[leader])] = leadTerm;
              entryOrder[AT(leader, size[leader])] = copyOrder[k];
              entryBasis[AT(leader, size[leader])] = copyBasis[k];
#ifdef MUT_ACK_APPENDED
              if :: copyOrder[k] == current -> acked = true :: else fi;
#endif
              copyOrder[k] = 0; copyBasis[k] = 0
           :: else
           fi; k = 0 }
    /* The operator gives the next order. */
    :: atomic { current < ORDERS -> current = current + 1; acked = false }
#ifdef VIEW
    /* An update from a control instance that has applied the log up to some revision. */
    :: atomic {
           if :: k = 1 :: k = 2 :: k = 3 fi;
           if
#ifdef MUT_ANY_REVISION
           :: known[k] && k != viewRevision ->
#else
           :: known[k] && k > viewRevision ->
#endif
              if :: k < viewRevision -> backward = true :: else fi;
              viewRevision = k; viewState = stateAt[k]
           :: else
           fi; k = 0 }
#endif
    od
}

init { run System() }

ltl order_kept { [] !undone }
ltl view_forward { [] !backward }
