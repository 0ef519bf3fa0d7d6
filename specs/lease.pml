/*
 * Lease on an engine that executes every load order (docs/design.md, section 5 "Activation").
 *
 * Two processes acquire the lease, read the revision and order it. A process can be paused between any two
 * steps, so its lease can expire at any point, and its renewal timer can acquire the lease again. The
 * holder's own validity check expires earlier than the lease that other processes see, so `valid` of a
 * holder is false before a takeover. The check and the order are one atomic step, because the margin
 * between the two expiry times covers the delay between them.
 *
 * Checked property: no order returns the engine to an older revision.
 *
 * Variants that must fail: NO_VALIDITY, NO_EPOCH, NO_REFRESH, EARLY_TAKEOVER.
 */
#define REVISIONS 3
#define ORDERS 3
#define FREE 0

byte revision = 1;
byte engineRevision;        /* revision of the last executed order */
byte holder = FREE;
byte epoch;
bool valid[3];              /* validity check of processes 1 and 2 */

inline acquire() {
    atomic {
        if
        :: holder == self -> valid[self] = true; holdsLease = true
#ifdef EARLY_TAKEOVER
        :: holder != self ->
#else
        :: holder != self && (holder == FREE || !valid[holder]) ->
#endif
            holder = self; epoch++; ownEpoch = epoch; valid[self] = true; holdsLease = true
        :: else -> holdsLease = false
        fi
    }
}

active proctype Operator() {
    do
    :: revision < REVISIONS -> revision++
    :: revision == REVISIONS -> break
    od
}

active proctype Time() {
endWaiting:
    do
    :: valid[1] -> valid[1] = false
    :: valid[2] -> valid[2] = false
    od
}

proctype Agent(byte self) {
    byte orders, targetRevision, ownEpoch, startEpoch;
    bool holdsLease;

    do
    :: orders < ORDERS ->
        orders++;
#ifdef NO_REFRESH
        targetRevision = revision;
#endif
        acquire();
        if
        :: !holdsLease -> goto next
        :: else
        fi;
        startEpoch = ownEpoch;
#ifndef NO_REFRESH
        targetRevision = revision;
#endif
        /* The renewal timer may fire while the process reads the table and the engine. */
        if
        :: acquire()
        :: skip
        fi;
        atomic {
            if
#ifdef NO_VALIDITY
            :: ownEpoch == startEpoch ->
#elif defined(NO_EPOCH)
            :: valid[self] ->
#else
            :: valid[self] && ownEpoch == startEpoch ->
#endif
                assert(targetRevision >= engineRevision);
                engineRevision = targetRevision
            :: else
            fi
        };
        if
        :: valid[self] = false; atomic { if :: holder == self -> holder = FREE :: else fi }
        :: skip
        fi;
next:
        skip
    :: break
    od
}

init {
    atomic { run Agent(1); run Agent(2) }
}
