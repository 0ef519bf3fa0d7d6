/*
 * Claim and dispatch of one call with an idempotency key (docs/design.md, section 6, "At most once").
 *
 * A request makes two attempts through two agents, and the caller's retry with the same key makes a third
 * through another entry. A write to the table may be lost, may be applied after its sender timed out, or
 * its response may be lost. A paused agent is modelled by an agent that takes no step for a while, a crashed
 * one by an agent that takes no further step.
 *
 * Checked properties: the call runs at most once; it doesn't run if its caller was told that it was not
 * run; it ran if a caller was told so; a claim that was not dispatched doesn't block the key, unless its
 * holder crashed or could not settle the claim.
 *
 * Variants that must fail: NO_CLAIM, TRUST_UNCLEAR, TAKE_OVER_HELD, RELEASE_AFTER_DISPATCH,
 * DELETE_ON_RELEASE, KEEP_RELEASED, LAST_VERDICT.
 */
#define ATTEMPTS 3
#define CLAIM_WRITES 2
#define SETTLE_WRITES 4
#define REQUEST(i) (i / 2)  /* attempts 0 and 1 belong to request 0 */

#ifndef OUTAGES
#define OUTAGES 1
#endif
#ifndef CRASHES
#define CRASHES 1
#endif
#ifndef LOSSES
#define LOSSES 2
#endif

#define ABSENT 0
#define CLAIMED 1
#define RELEASED 2
#define DONE 3

#define NONE 0
#define NOT_RUN 1
#define MAY_HAVE_RUN 2
#define RAN 3

#define WRITTEN 1
#define CONFLICT 2
#define UNCLEAR 3

/* The claim row; tag 0 means that the row doesn't exist. */
byte rowState = ABSENT;
byte rowOwner;
byte rowTag;
byte lastTag;

/* Writes whose sender timed out and that may still be applied. */
typedef DelayedWrite { bool sent; byte owner; byte condition; byte state };
DelayedWrite delayed[2];
byte losses = LOSSES;
byte outages = OUTAGES;
byte crashes = CRASHES;
bool claimAbandoned;        /* a holder crashed or could not settle its claim */

byte runs;
bool ran[ATTEMPTS];
byte verdict[ATTEMPTS];
byte reported[2];

inline apply(owner_, condition_, state_, response_) {
    if
    :: rowTag == condition_ ->
        lastTag++;
        rowTag = lastTag;
        rowState = state_;
        rowOwner = owner_;
#ifdef DELETE_ON_RELEASE
        if
        :: state_ == RELEASED -> rowTag = 0; rowState = ABSENT; rowOwner = 0
        :: else
        fi;
#endif
        response_ = WRITTEN
    :: else -> response_ = CONFLICT
    fi
}

/*
 * A conditional write that succeeds or fails with a response, is applied with a lost response, or is delayed.
 * `losses` limits the last two cases.
 */
inline write(condition_, state_) {
    if
    :: d_step { apply(i, condition_, state_, response) }
    :: d_step { losses > 0 -> losses--; apply(i, condition_, state_, response); response = UNCLEAR }
    :: d_step {
        losses > 0 ->
            losses--;
            delayed[losses].sent = true;
            delayed[losses].owner = i;
            delayed[losses].condition = condition_;
            delayed[losses].state = state_;
            response = UNCLEAR
    }
    fi
}

inline deliverDelayed(k) {
    d_step {
        delayed[k].sent ->
            apply(delayed[k].owner, delayed[k].condition, delayed[k].state, ignored);
            ignored = 0;
            delayed[k].sent = false; delayed[k].owner = 0; delayed[k].condition = 0; delayed[k].state = 0
    }
}

inline dropDelayed(k) {
    d_step {
        delayed[k].sent ->
            delayed[k].sent = false; delayed[k].owner = 0; delayed[k].condition = 0; delayed[k].state = 0
    }
}

active proctype Network() {
    byte ignored;

endWaiting:
    do
    :: deliverDelayed(0)
    :: dropDelayed(0)
    :: deliverDelayed(1)
    :: dropDelayed(1)
    od
}

proctype Attempt(byte i) {
    byte writeCount = 0;
    byte response;
    byte condition = 0;
    byte settlement = RELEASED;
    bool needsSettlement = false;

#ifdef NO_CLAIM
    goto holding;
#endif
claim:
    if
    :: writeCount == CLAIM_WRITES -> goto refuse
    :: writeCount < CLAIM_WRITES
    fi;
    write(condition, CLAIMED);
    writeCount++;
    if
    :: response == WRITTEN -> goto holding
    :: response == CONFLICT
    :: response == UNCLEAR ->
        needsSettlement = true;
#ifdef TRUST_UNCLEAR
        goto holding
#endif
    fi;
read: /* waiting for another holder's result is modelled by a delay of this step */
    if
    :: outages > 0 -> outages--; goto refuse
    :: atomic { rowTag == 0 || rowState == RELEASED -> condition = rowTag; goto claim }
    :: atomic { rowState == DONE -> verdict[i] = RAN; goto settle }
    :: atomic { rowState == CLAIMED && rowOwner == i -> goto holding }
#ifdef TAKE_OVER_HELD
    :: atomic { rowState == CLAIMED && rowOwner != i -> condition = rowTag; goto claim }
#else
    :: atomic { rowState == CLAIMED && rowOwner != i -> verdict[i] = MAY_HAVE_RUN; goto settle }
#endif
    fi;

holding:
    if
    :: needsSettlement = true; goto refuse /* the deadline has passed, or the call could not be sent */
    :: crashes > 0 -> crashes--; claimAbandoned = true; goto stopped
    :: atomic {
        assert(reported[REQUEST(i)] != NOT_RUN);
        runs++;
        assert(runs <= 1);
        ran[i] = true
    }
    fi;
    if
    :: crashes > 0 -> crashes--; claimAbandoned = true; goto stopped
    :: verdict[i] = MAY_HAVE_RUN; /* the backend server ended its response early */
#ifdef RELEASE_AFTER_DISPATCH
        needsSettlement = true; settlement = RELEASED; goto settle
#else
        goto stopped
#endif
    :: verdict[i] = RAN; needsSettlement = true; settlement = DONE; goto settle
    fi;

refuse:
    verdict[i] = NOT_RUN;
settle:
    if
    :: !needsSettlement -> goto stopped
    :: else
    fi;
    atomic { writeCount = 0; response = 0 };
    do
    :: writeCount == SETTLE_WRITES -> claimAbandoned = true; break
    :: else ->
        if
        :: atomic { rowState == CLAIMED && rowOwner == i -> condition = rowTag }
        :: atomic { rowTag == 0 && settlement == RELEASED -> condition = 0 }
#ifndef KEEP_RELEASED
        /* A delayed claim write of this attempt under the row's current tag may still be applied. */
        :: atomic { rowState == RELEASED && rowOwner != i && settlement == RELEASED -> condition = rowTag }
#endif
        :: else -> break
        fi;
        write(condition, settlement);
        writeCount++;
        if
        :: response == WRITTEN -> break
        :: else
        fi
    od;
stopped:
    skip;
    d_step { writeCount = 0; response = 0; condition = 0; settlement = 0; needsSettlement = false }
}

proctype FirstEntry() {
    byte first;

    run Attempt(0);
    if
    :: atomic { verdict[0] != NONE -> first = verdict[0] }
    :: first = MAY_HAVE_RUN /* the connection to the agent failed; the attempt continues */
    fi;
    if
    :: first == RAN -> reported[0] = RAN
    :: else ->
        run Attempt(1);
        if
        :: atomic { verdict[1] == RAN -> reported[0] = RAN }
#ifdef LAST_VERDICT
        :: atomic { verdict[1] == NOT_RUN -> reported[0] = NOT_RUN }
#else
        :: atomic { verdict[1] == NOT_RUN && first == NOT_RUN -> reported[0] = NOT_RUN }
#endif
        :: reported[0] = MAY_HAVE_RUN
        fi
    fi;
    first = 0
}

proctype SecondEntry() {
    run Attempt(2);
    if
    :: atomic { verdict[2] != NONE -> reported[1] = verdict[2] }
    :: reported[1] = MAY_HAVE_RUN
    fi
}

init {
    atomic { run FirstEntry(); run SecondEntry() };
    timeout;
    assert(claimAbandoned || rowState != CLAIMED || ran[rowOwner]);
    assert((reported[0] != RAN && reported[1] != RAN) || runs == 1)
}
