import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createRowReplica,
    holdsChangesOf,
    INITIAL_POSITION,
    type Row,
    type RowReplica,
} from "../../../lib/core/serving/index.js";

const at = (revision: number) => ({ epoch: 0, revision });

const KEYS = ["a", "b", "c", "d"];

/** Histories of a table: revisions increase, and some changes delete their row. */
const histories = fc.array(fc.record({ key: fc.constantFrom(...KEYS), isRemoval: fc.boolean() }), { maxLength: 40 })
    .map(changes =>
        changes.map(({ key, isRemoval }, index): Row => ({
            key,
            epoch: 0,
            revision: index + 1,
            value: isRemoval ? undefined : `${key}${index + 1}`,
        }))
    );

function contentOf(rows: readonly Row[]): Map<string, string> {
    const content = new Map<string, string>();
    for (const { key, value } of rows) {
        if (value === undefined) content.delete(key);
        else content.set(key, value);
    }
    return content;
}

// Guards against a process that reverts to an older configuration, or keeps a deleted server, when the store's feed and
// several peers deliver overlapping parts of the history late and more than once.
test("a replica holds the newest delivered state and never reverts", () => {
    fc.assert(
        fc.property(histories, fc.array(fc.tuple(fc.nat(40), fc.nat(40)), { maxLength: 20 }), (history, parts) => {
            const replica = createRowReplica();
            let deliveredCount = 0;
            for (const [start, length] of parts) {
                // A sender always sends all changes after a revision that the replica holds.
                const from = Math.min(start, deliveredCount);
                const before = replica.newestPosition().revision;
                replica.apply(history.slice(from, from + length));
                deliveredCount = Math.max(deliveredCount, Math.min(history.length, from + length));
                assert.ok(replica.newestPosition().revision >= before);
                const expected = contentOf(history.slice(0, deliveredCount));
                assert.deepEqual(contentOf(replica.changesSince(INITIAL_POSITION).rows), expected);
            }
        }),
        { seed: 1 },
    );
});

// Guards against a server that stays in use because its deletion is in a part of the history that the store has
// discarded.
test("a snapshot deletes the rows that it doesn't contain", () => {
    const replica = createRowReplica();
    replica.applySnapshot([{ key: "a", epoch: 0, revision: 1, value: "1" }, {
        key: "b",
        epoch: 0,
        revision: 2,
        value: "2",
    }], at(2));
    const changed = replica.applySnapshot([{ key: "b", epoch: 0, revision: 2, value: "2" }], at(9));
    assert.deepEqual(changed, [{ key: "a", epoch: 0, revision: 9, value: undefined }]);
    assert.equal(replica.newestPosition().revision, 9);
});

// Guards against a snapshot that is older than the changes that a peer has delivered meanwhile.
test("a snapshot doesn't delete rows that are newer than itself", () => {
    const replica = createRowReplica();
    replica.apply([{ key: "a", epoch: 0, revision: 7, value: "7" }]);
    assert.deepEqual(
        replica.applySnapshot([{ key: "a", epoch: 0, revision: 3, value: "3" }, {
            key: "b",
            epoch: 0,
            revision: 2,
            value: "2",
        }], at(5)),
        [
            { key: "b", epoch: 0, revision: 2, value: "2" },
        ],
    );
    assert.equal(contentOf(replica.changesSince(INITIAL_POSITION).rows).get("a"), "7");
});

const LAST_REVISION = 40;

/** Returns the rows of the store after the changes up to a revision. */
function presentRows(history: readonly Row[], revision: number): Row[] {
    const newest = new Map(history.filter(row => row.revision <= revision).map(row => [row.key, row]));
    return [...newest.values()].filter(({ value }) => value !== undefined);
}

// Guards against a removed server that stays in use for good, because the peer that an entry reads from has never seen
// the removal, or has forgotten it.
test("a replica that reads from a peer holds no row that has been removed", () => {
    const revisions = fc.nat(LAST_REVISION);
    fc.assert(
        fc.property(histories, fc.tuple(revisions, revisions, revisions), (history, starts) => {
            const [receiverStart, senderStart, senderEnd] = starts.toSorted((a, b) => a - b) as [
                number,
                number,
                number,
            ];
            const receiver = createRowReplica();
            receiver.applySnapshot(presentRows(history, receiverStart), at(receiverStart));
            const sender = createRowReplica();
            sender.applySnapshot(presentRows(history, senderStart), at(senderStart));
            sender.apply(history.filter(({ revision }) => revision > senderStart && revision <= senderEnd));
            if (sender.newestPosition().revision <= receiver.newestPosition().revision) return;
            const { rows, position, isSnapshot } = sender.changesSince(receiver.newestPosition());
            if (isSnapshot) receiver.applySnapshot(rows, position);
            else receiver.apply(rows);
            const expected = contentOf(presentRows(history, senderEnd));
            assert.deepEqual(
                new Map([...contentOf(receiver.changesSince(INITIAL_POSITION).rows)].toSorted()),
                new Map([...expected].toSorted()),
            );
            assert.deepEqual(receiver.newestPosition(), sender.newestPosition());
        }),
        { seed: 2, numRuns: 2000 },
    );
});

/** Reads a snapshot and then the feed up to a revision. */
function readStore(history: readonly Row[], snapshotRevision: number, feedRevision: number): RowReplica {
    const replica = createRowReplica();
    replica.applySnapshot(presentRows(history, snapshotRevision), at(snapshotRevision));
    replica.apply(history.filter(({ revision }) => revision > snapshotRevision && revision <= feedRevision));
    replica.recordCovered(at(feedRevision));
    return replica;
}

// Guards against a replica that a peer confirms although it holds a removed row, whose removal the peer hasn't seen.
test("a replica that holds all changes of a peer holds none that the peer lacks", () => {
    const revisions = fc.tuple(fc.nat(LAST_REVISION), fc.nat(LAST_REVISION)).map(pair =>
        pair.toSorted((a, b) => a - b)
    );
    let confirmedCount = 0;
    fc.assert(
        fc.property(
            histories,
            revisions,
            revisions,
            (history, [ownStart = 0, ownEnd = 0], [peerStart = 0, peerEnd = 0]) => {
                const own = readStore(history, ownStart, ownEnd);
                const peer = readStore(history, peerStart, peerEnd);
                const peerProgress = { newestPosition: peer.newestPosition(), tracedPosition: peer.tracedPosition() };
                if (!holdsChangesOf(peerProgress, own.coveredPosition())) return;
                confirmedCount++;
                const expected = contentOf(presentRows(history, Math.max(ownEnd, peerEnd)));
                const rows = own.changesSince(INITIAL_POSITION).rows;
                assert.deepEqual(new Map([...contentOf(rows)].toSorted()), new Map([...expected].toSorted()));
            },
        ),
        { seed: 3, numRuns: 2000 },
    );
    assert.ok(confirmedCount > 200, `only ${confirmedCount} replicas were confirmed`);
});
