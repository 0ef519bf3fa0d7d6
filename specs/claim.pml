/*
 * Claim and dispatch of one keyed call (docs/design.md, section 6, "At most once").
 *
 * One request makes two attempts at two agents, and the caller's repeat with the same key makes a third
 * through another entry. A write to the table may be lost, may be applied after its sender gave up, and
 * its answer may be lost. A paused agent is one that takes no step for a while; a dead one takes none
 * any more.
 *
 * Checked: the call runs at most once; no call runs whose caller was told that it was not run; a caller
 * who was told that the call ran was told the truth; a claim that was not dispatched doesn't block the
 * key, unless its holder died.
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
#ifndef DEATHS
#define DEATHS 1
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

/* The row; tag 0 stands for no row. */
byte rowState = ABSENT;
byte rowOwner;
byte rowTag;
byte lastTag;

/* Writes whose sender gave up and which may still arrive. */
typedef LateWrite { bool sent; byte owner; byte condition; byte state };
LateWrite late[2];
byte losses = LOSSES;
byte outages = OUTAGES;
byte deaths = DEATHS;
bool abandoned;             /* a holder died or could not settle its claim */

byte runs;
bool ran[ATTEMPTS];
byte verdict[ATTEMPTS];
byte told[2];

inline apply(owner_, condition_, state_, answer_) {
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
        answer_ = WRITTEN
    :: else -> answer_ = CONFLICT
    fi
}

/* One conditional write: answered, applied with a lost answer, or late. `losses` counts the last two. */
inline write(condition_, state_) {
    if
    :: d_step { apply(i, condition_, state_, answer) }
    :: d_step { losses > 0 -> losses--; apply(i, condition_, state_, answer); answer = UNCLEAR }
    :: d_step {
        losses > 0 ->
            losses--;
            late[losses].sent = true;
            late[losses].owner = i;
            late[losses].condition = condition_;
            late[losses].state = state_;
            answer = UNCLEAR
    }
    fi
}

inline deliverLate(k) {
    d_step {
        late[k].sent ->
            apply(late[k].owner, late[k].condition, late[k].state, ignored);
            ignored = 0;
            late[k].sent = false; late[k].owner = 0; late[k].condition = 0; late[k].state = 0
    }
}

inline drop(k) {
    d_step {
        late[k].sent ->
            late[k].sent = false; late[k].owner = 0; late[k].condition = 0; late[k].state = 0
    }
}

active proctype Network() {
    byte ignored;

endWaiting:
    do
    :: deliverLate(0)
    :: drop(0)
    :: deliverLate(1)
    :: drop(1)
    od
}

proctype Attempt(byte i) {
    byte n = 0;
    byte answer;
    byte condition = 0;
    byte settlement = RELEASED;
    bool uncertain = false;

#ifdef NO_CLAIM
    goto holding;
#endif
claim:
    if
    :: n == CLAIM_WRITES -> goto refuse
    :: n < CLAIM_WRITES
    fi;
    write(condition, CLAIMED);
    n++;
    if
    :: answer == WRITTEN -> goto holding
    :: answer == CONFLICT
    :: answer == UNCLEAR ->
        uncertain = true;
#ifdef TRUST_UNCLEAR
        goto holding
#endif
    fi;
read: /* waiting for the result of another holder is a delay of this step */
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
    :: uncertain = true; goto refuse /* the deadline has passed, or nothing was sent */
    :: deaths > 0 -> deaths--; abandoned = true; goto stopped
    :: atomic {
        assert(told[REQUEST(i)] != NOT_RUN);
        runs++;
        assert(runs <= 1);
        ran[i] = true
    }
    fi;
    if
    :: deaths > 0 -> deaths--; abandoned = true; goto stopped
    :: verdict[i] = MAY_HAVE_RUN; /* the backend server broke off its answer */
#ifdef RELEASE_AFTER_DISPATCH
        uncertain = true; settlement = RELEASED; goto settle
#else
        goto stopped
#endif
    :: verdict[i] = RAN; uncertain = true; settlement = DONE; goto settle
    fi;

refuse:
    verdict[i] = NOT_RUN;
settle:
    if
    :: !uncertain -> goto stopped
    :: else
    fi;
    atomic { n = 0; answer = 0 };
    do
    :: n == SETTLE_WRITES -> abandoned = true; break
    :: else ->
        if
        :: atomic { rowState == CLAIMED && rowOwner == i -> condition = rowTag }
        :: atomic { rowTag == 0 && settlement == RELEASED -> condition = 0 }
#ifndef KEEP_RELEASED
        /* A takeover of the row under its present tag may still be on its way. */
        :: atomic { rowState == RELEASED && rowOwner != i && settlement == RELEASED -> condition = rowTag }
#endif
        :: else -> break
        fi;
        write(condition, settlement);
        n++;
        if
        :: answer == WRITTEN -> break
        :: else
        fi
    od;
stopped:
    skip;
    d_step { n = 0; answer = 0; condition = 0; settlement = 0; uncertain = false }
}

proctype FirstEntry() {
    byte first;

    run Attempt(0);
    if
    :: atomic { verdict[0] != NONE -> first = verdict[0] }
    :: first = MAY_HAVE_RUN /* the connection broke; the attempt goes on */
    fi;
    if
    :: first == RAN -> told[0] = RAN
    :: else ->
        run Attempt(1);
        if
        :: atomic { verdict[1] == RAN -> told[0] = RAN }
#ifdef LAST_VERDICT
        :: atomic { verdict[1] == NOT_RUN -> told[0] = NOT_RUN }
#else
        :: atomic { verdict[1] == NOT_RUN && first == NOT_RUN -> told[0] = NOT_RUN }
#endif
        :: told[0] = MAY_HAVE_RUN
        fi
    fi;
    first = 0
}

proctype SecondEntry() {
    run Attempt(2);
    if
    :: atomic { verdict[2] != NONE -> told[1] = verdict[2] }
    :: told[1] = MAY_HAVE_RUN
    fi
}

init {
    atomic { run FirstEntry(); run SecondEntry() };
    timeout;
    assert(abandoned || rowState != CLAIMED || ran[rowOwner]);
    assert((told[0] != RAN && told[1] != RAN) || runs == 1)
}
