/*
 * Changes of the configuration row (docs/design.md, section 7).
 *
 * Two operators change the row; the first also repeats its command with the same change identifier. The
 * row holds the identifiers of its changes as a set of bits. A write may be lost, may be applied after
 * its sender gave up, and its answer may be lost. A process receives updates late and out of order. An
 * update holds what changed after its base; the whole snapshot is the update with base 0.
 *
 * Checked: an accepted change stays in the row; no change is applied twice; a change that was reported
 * as a conflict is not applied; a process never goes back to a smaller revision and holds every change of
 * the revision that it has.
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
byte rowChanges;            /* set of applied changes */
byte snapshot[16];          /* changes of every revision, for late readers */
byte losses = LOSSES;
byte applied[2];
bool accepted[2];
bool refused[2];

#define KEPT (!accepted[0] || (rowChanges & BIT(0))) && (!accepted[1] || (rowChanges & BIT(1)))

/* Writes whose sender gave up and which may still arrive. */
typedef LateWrite { bool sent; byte command; byte revision; byte changes };
LateWrite late[LOSSES];

inline apply(command_, revision_, changes_, answer_) {
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
        assert(KEPT);
        answer_ = WRITTEN
    :: else -> answer_ = CONFLICT
    fi
}

/* One conditional write: answered, applied with a lost answer, or late. `losses` counts the last two. */
inline write(revision_, changes_) {
    if
    :: atomic { apply(i, revision_, changes_, answer) }
    :: atomic { losses > 0 -> losses--; apply(i, revision_, changes_, answer); answer = UNCLEAR }
    :: atomic {
        losses > 0 ->
            losses--;
            late[losses].sent = true;
            late[losses].command = i;
            late[losses].revision = revision_;
            late[losses].changes = changes_;
            answer = UNCLEAR
    }
    fi
}

inline deliverLate(k) {
    atomic {
        late[k].sent ->
            apply(late[k].command, late[k].revision, late[k].changes, ignored);
            ignored = 0;
            late[k].sent = false; late[k].command = 0; late[k].revision = 0; late[k].changes = 0
    }
}

active proctype Network() {
    byte ignored;

endWaiting:
    do
    :: deliverLate(0)
    :: deliverLate(1)
    od
}

/*
 * One command. Command 2 stands for an operator who changes a profile that another change has touched:
 * it must report the conflict. Commands 0 and 1 concern a profile that no other change touches and are
 * decided again against the new revision.
 */
proctype Command(byte i) {
    byte n, answer, seenRevision, seenChanges, shownRevision;
    bool shown;

    do
    :: atomic { seenRevision = rowRevision; seenChanges = rowChanges };
#ifndef NO_CHANGE_ID
        if
        :: seenChanges & BIT(CHANGE(i)) -> goto accept
        :: else
        fi;
#endif
        if
        :: !shown -> shownRevision = seenRevision; shown = true
        :: else
        fi;
        /* Another change came first. An earlier write of this command has the old condition and fails. */
        if
        :: seenRevision != shownRevision && i == 2 -> refused[CHANGE(i)] = true; goto stopped
        :: else
        fi;
        if
        :: n == WRITES -> goto stopped /* reported as unclear */
        :: else
        fi;
        write(seenRevision, seenChanges | BIT(CHANGE(i)));
        n++;
        if
        :: answer == WRITTEN -> goto accept
        :: answer == CONFLICT
        :: answer == UNCLEAR ->
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
        assert(KEPT)
    };
stopped:
    skip
}

/* A process of the fleet: updates reach it from the table and from peers, old ones too. */
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
