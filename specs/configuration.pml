/*
 * Changes of the configuration row (docs/design.md, section 7).
 *
 * Two operators change the row; the first also retries its command with the same change identifier. The
 * row stores the identifiers of its changes as a bit set. A write may be lost, may be applied after its
 * sender timed out, or its response may be lost. A process receives updates late and out of order. An update
 * contains the changes after its base revision; a complete snapshot is an update with base 0.
 *
 * Checked properties: an accepted change stays in the row; no change is applied twice; a change that was
 * reported as a conflict is not applied; a process never returns to a smaller revision and has every
 * change of its current revision.
 *
 * Variants that must fail: NO_CONDITION, NO_CHANGE_ID, TRUST_UNCLEAR, CONFLICT_AFTER_UNCLEAR,
 * NO_GREATEST, NO_GAP.
 */
#define COMMANDS 3          /* commands 0 and 1 carry change 0, command 2 carries change 1 */
#define CHANGE(i) (i / 2)
#define BIT(c) (1 << (c))
#define WRITES 4

#define WRITTEN 1
#define CONFLICT 2
#define UNCLEAR 3
#define LOSSES 2

byte rowRevision;
byte rowChanges;            /* bit set of the applied changes */
byte snapshot[16];          /* changes of every revision, from which updates are built */
byte losses = LOSSES;
byte applied[2];
bool accepted[2];
bool refused[2];

#define ACCEPTED_CHANGES_KEPT (!accepted[0] || (rowChanges & BIT(0))) && (!accepted[1] || (rowChanges & BIT(1)))

/* Writes whose sender timed out and that may still be applied. */
typedef DelayedWrite { bool sent; byte command; byte revision; byte changes };
DelayedWrite delayed[LOSSES];

inline apply(command_, revision_, changes_, response_) {
    if
#ifdef NO_CONDITION
    :: true ->
#else
    :: rowRevision == revision_ ->
#endif
        rowRevision = revision_ + 1;
        rowChanges = changes_;
        snapshot[rowRevision] = changes_;
        applied[CHANGE(command_)]++;
        assert(applied[CHANGE(command_)] <= 1);
        assert(!refused[CHANGE(command_)]);
        assert(ACCEPTED_CHANGES_KEPT);
        response_ = WRITTEN
    :: else -> response_ = CONFLICT
    fi
}

/*
 * A conditional write that succeeds or fails with a response, is applied with a lost response, or is delayed.
 * `losses` limits the last two cases.
 */
inline write(revision_, changes_) {
    if
    :: atomic { apply(i, revision_, changes_, response) }
    :: atomic { losses > 0 -> losses--; apply(i, revision_, changes_, response); response = UNCLEAR }
    :: atomic {
        losses > 0 ->
            losses--;
            delayed[losses].sent = true;
            delayed[losses].command = i;
            delayed[losses].revision = revision_;
            delayed[losses].changes = changes_;
            response = UNCLEAR
    }
    fi
}

inline deliverDelayed(k) {
    atomic {
        delayed[k].sent ->
            apply(delayed[k].command, delayed[k].revision, delayed[k].changes, ignored);
            ignored = 0;
            delayed[k].sent = false; delayed[k].command = 0; delayed[k].revision = 0; delayed[k].changes = 0
    }
}

active proctype Network() {
    byte ignored;

endWaiting:
    do
    :: deliverDelayed(0)
    :: deliverDelayed(1)
    od
}

/*
 * A command of an operator. Command 2 changes a profile that other changes also modify, so it must report a
 * conflict if the revision has changed. Commands 0 and 1 change a profile that no other change modifies, so
 * they are retried against the new revision.
 */
proctype Command(byte i) {
    byte writeCount, response, seenRevision, seenChanges, firstSeenRevision;
    bool hasSeenRevision;

    do
    :: atomic { seenRevision = rowRevision; seenChanges = rowChanges };
#ifndef NO_CHANGE_ID
        if
        :: seenChanges & BIT(CHANGE(i)) -> goto accept
        :: else
        fi;
#endif
        if
        :: !hasSeenRevision -> firstSeenRevision = seenRevision; hasSeenRevision = true
        :: else
        fi;
        /* Another change was applied first, so an earlier write of this command fails its condition. */
        if
        :: seenRevision != firstSeenRevision && i == 2 -> refused[CHANGE(i)] = true; goto stopped
        :: else
        fi;
        if
        :: writeCount == WRITES -> goto stopped /* the outcome is reported as unclear */
        :: else
        fi;
        write(seenRevision, seenChanges | BIT(CHANGE(i)));
        writeCount++;
        if
        :: response == WRITTEN -> goto accept
        :: response == CONFLICT
        :: response == UNCLEAR ->
#ifdef TRUST_UNCLEAR
            goto accept
#elif defined(CONFLICT_AFTER_UNCLEAR)
            refused[CHANGE(i)] = true; goto stopped
#endif
        fi
    od;
accept:
    atomic {
        accepted[CHANGE(i)] = true;
        assert(ACCEPTED_CHANGES_KEPT)
    };
stopped:
    skip
}

/* A process of the fleet, which receives updates, also outdated ones, from the table and from peers. */
active proctype Reader() {
    byte current, offered, base, received, changes;

    do
    :: received < 2 ->
        received++;
        offered = 0;
        do
        :: offered < rowRevision -> offered++
        :: break
        od;
        base = 0;
        do
        :: base < offered -> base++
        :: break
        od;
        if
#ifdef NO_GREATEST
        :: base <= current ->
#elif defined(NO_GAP)
        :: offered > current ->
#else
        :: offered > current && base <= current ->
#endif
            assert(offered >= current);
            current = offered;
            changes = changes | (snapshot[offered] & ~snapshot[base]);
            assert(changes == snapshot[offered])
        :: else
        fi
    :: break
    od
}

init {
    atomic { run Command(0); run Command(1); run Command(2) }
}
