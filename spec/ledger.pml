/*
 * Model of escrow, intents, sealing and takeover (docs/PROOF.md maps each step to its method).
 *
 * There is one budget, two ledgers and one upstream. Ledger 0 serves an entry instance; ledger 1
 * holds tokens that it may transfer to ledger 0. Messages may be lost, duplicated and reordered: a
 * message is a flag or total that is never reset, and a process may read it at any time, never, or
 * more than once.
 *
 * Mutants: -DMUT_CREDIT_EARLY -DMUT_DISPATCH_EARLY -DMUT_NO_TOMBSTONE -DMUT_DOUBLE_SETTLE
 *          -DMUT_SEAL_FORGETS -DMUT_VOLATILE_DEBIT
 */
#define CREDIT 2                /* total tokens credited: one to each ledger */
#define REQS 2                  /* requests of the entry instance */

/* ledger 1, the sender of transfers: durable and volatile total sent */
byte sentDurable = 0, sentMemory = 0;
byte spent1 = 0;
byte transferMsg = 0;           /* highest cumulative total sent; any total up to it may arrive */

/* ledger 0 */
byte takenDurable = 0;          /* cumulative total received */
bool openDurable[REQS];         /* intent recorded durably */
bool closed[REQS];              /* intent settled */
byte bill[REQS];                /* tokens billed */
byte bills[REQS];               /* number of bills */
bool sealed = false;

/* messages; each stays readable once it was sent */
bool openMsg[REQS], ackMsg[REQS], settleMsg[REQS], cancelMsg[REQS];
bool cancelledMsg[REQS]; byte cancelledTokens[REQS];

/* upstream */
bool runMsg[REQS], ran[REQS], tombstone[REQS];
byte runs[REQS];

/* entry instance and caller */
bool dispatched[REQS];
bool reportedNotRun[REQS];
bool entryAlive = true;

#define RESERVED0 ((openDurable[0] && !closed[0]) + (openDurable[1] && !closed[1]))
#define BILLED0 (bill[0] + bill[1])
#define HELD0 (1 + takenDurable)                 /* grant of ledger 0 is 1 */
#define CAN_OPEN(i) (openMsg[i] && !openDurable[i] && !closed[i] && !sealed && HELD0 > BILLED0 + RESERVED0)
#define HELD1 (1 - sentMemory)                   /* grant of ledger 1 is 1 */

proctype Giver() {              /* Ledger.answerShareAsk, Ledger.sendTransferTotal */
    byte crashes = 0;
end:
    do
    :: atomic { HELD1 - spent1 > 0 -> sentMemory = sentMemory + 1;
#ifdef MUT_CREDIT_EARLY
                transferMsg = sentMemory             /* sent before the debit is durable */
#endif
       }
    :: atomic { sentDurable < sentMemory -> sentDurable = sentMemory;   /* journal synced */
#ifndef MUT_CREDIT_EARLY
                transferMsg = sentDurable
#endif
       }
    :: atomic { HELD1 - spent1 > 0 -> spent1 = spent1 + 1 }             /* spends on its own calls */
    :: atomic { crashes < 1 -> crashes = crashes + 1;  /* crash and recovery from the journal */
#ifdef MUT_VOLATILE_DEBIT
                sentMemory = 0
#else
                sentMemory = sentDurable
#endif
       }
    od
}

proctype Ledger0() {            /* Ledger.receiveTransfer, openIntent, settleIntent; Takeover */
    byte i;
end:
    do
    :: atomic { transferMsg > takenDurable -> takenDurable = transferMsg }
    :: for (i : 0 .. REQS - 1) {
           atomic {
               if
               :: CAN_OPEN(i) ->
                      openDurable[i] = true; ackMsg[i] = true
               :: settleMsg[i] && openDurable[i] && !closed[i] ->
                      closed[i] = true; bill[i] = ran[i]; bills[i] = bills[i] + 1
#ifdef MUT_DOUBLE_SETTLE
               :: settleMsg[i] && openDurable[i] && closed[i] && bills[i] < 2 ->
                      bills[i] = bills[i] + 1
#endif
               :: sealed && openDurable[i] && !closed[i] -> cancelMsg[i] = true
               :: sealed && cancelledMsg[i] && openDurable[i] && !closed[i] ->
                      closed[i] = true; bill[i] = cancelledTokens[i]; bills[i] = bills[i] + 1;
                      if
                      :: cancelledTokens[i] == 0 -> reportedNotRun[i] = true
                      :: else
                      fi
#ifdef MUT_SEAL_FORGETS
               :: sealed && openDurable[i] && !closed[i] ->
                      closed[i] = true; reportedNotRun[i] = true
#endif
               :: else
               fi
           }
       }
    :: atomic { !sealed -> sealed = true }       /* Ledger.sealIfExpired; at any time, without a clock */
    od
}

proctype Upstream() {
    byte i;
end:
    do
    :: for (i : 0 .. REQS - 1) {
           atomic {
               if
               :: runMsg[i] && !ran[i] && !tombstone[i] -> ran[i] = true; runs[i] = runs[i] + 1
               :: cancelMsg[i] && !cancelledMsg[i] ->
#ifndef MUT_NO_TOMBSTONE
                      tombstone[i] = true;
#endif
                      cancelledMsg[i] = true; cancelledTokens[i] = ran[i]
               :: else
               fi
           }
       }
    od
}

proctype Entry() {              /* LedgerLink.open, Call.dispatch, Call.onCompleted */
    byte i;
end:
    do
    :: entryAlive ->
       for (i : 0 .. REQS - 1) {
           atomic {
               if
               :: entryAlive && !openMsg[i] -> openMsg[i] = true
#ifdef MUT_DISPATCH_EARLY
               :: entryAlive && openMsg[i] && !dispatched[i] ->
#else
               :: entryAlive && ackMsg[i] && !dispatched[i] ->
#endif
                      dispatched[i] = true; runMsg[i] = true
               :: entryAlive && ran[i] -> settleMsg[i] = true
               :: else
               fi
           }
       }
    :: atomic { entryAlive -> entryAlive = false }
    :: !entryAlive -> break
    od
}

init { atomic { run Giver(); run Ledger0(); run Upstream(); run Entry() } }

/* Neither the billed and reserved tokens nor the requests that ran ever exceed the credit. */
#define USED (spent1 + BILLED0 + RESERVED0)
ltl no_overspend { [] (USED <= CREDIT && spent1 + ran[0] + ran[1] <= CREDIT) }
/* Each request is billed at most once; a closed intent is billed exactly if its request ran. */
ltl billed_once { [] (bills[0] <= 1 && bills[1] <= 1
                      && (!closed[0] || bill[0] == ran[0]) && (!closed[1] || bill[1] == ran[1])) }
/* A request that was reported as not run has not run and never will. */
ltl not_run { [] (!(reportedNotRun[0] && ran[0]) && !(reportedNotRun[1] && ran[1])) }
/* No request runs without a durable intent. */
ltl intent_first { [] ((!ran[0] || openDurable[0]) && (!ran[1] || openDurable[1])) }
