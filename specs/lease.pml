/*
 * The lease of an engine that executes every order (docs/design.md, section 5 "Activation").
 *
 * Two processes take the lease, learn the revision and order it. A process can be stopped between any two
 * steps, so its time under the lease can end anywhere, and its renewal timer can take the lease again. The
 * time until the holder's own check fails is shorter than the time after which another process takes over;
 * so `valid` of a holder is false before the takeover. The check and the order are one step, because the
 * margin between the two times covers the pause between them.
 *
 * Checked: no order takes the engine back to an older revision.
 *
 * Variants that must fail: NO_VALIDITY, NO_EPOCH, NO_REFRESH, EARLY_TAKEOVER.
 */
#define REVISIONS 3
#define ORDERS 3
#define FREE 0

byte revision = 1;
byte engine;                /* revision of the last order */
byte holder = FREE;
byte epoch;
bool valid[3];              /* by process, 1 and 2 */

inline acquire() {
    atomic {
        if
        :: holder == me -> valid[me] = true; isHeld = true
#ifdef EARLY_TAKEOVER
        :: holder != me ->
#else
        :: holder != me && (holder == FREE || !valid[holder]) ->
#endif
            holder = me; epoch++; ownEpoch = epoch; valid[me] = true; isHeld = true
        :: else -> isHeld = false
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

proctype Agent(byte me) {
    byte orders, wanted, ownEpoch, term;
    bool isHeld;

    do
    :: orders < ORDERS ->
        orders++;
#ifdef NO_REFRESH
        wanted = revision;
#endif
        acquire();
        if
        :: !isHeld -> goto next
        :: else
        fi;
        term = ownEpoch;
#ifndef NO_REFRESH
        wanted = revision;
#endif
        /* The renewal timer may act while the table and the engine are read. */
        if
        :: acquire()
        :: skip
        fi;
        atomic {
            if
#ifdef NO_VALIDITY
            :: ownEpoch == term ->
#elif defined(NO_EPOCH)
            :: valid[me] ->
#else
            :: valid[me] && ownEpoch == term ->
#endif
                assert(wanted >= engine);
                engine = wanted
            :: else
            fi
        };
        if
        :: valid[me] = false; atomic { if :: holder == me -> holder = FREE :: else fi }
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
