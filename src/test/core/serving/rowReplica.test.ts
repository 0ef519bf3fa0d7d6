import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { createRowReplica, type Row } from "../../../lib/core/serving/index.js";

const KEYS = ["a", "b", "c", "d"];

/** A history of a table: revisions grow, some changes remove their row. */
const histories = fc.array(fc.record({ key: fc.constantFrom(...KEYS), isRemoval: fc.boolean() }), { maxLength: 40 })
    .map(changes =>
        changes.map(({ key, isRemoval }, index): Row => ({
            key,
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

// Guards against a process that goes back to an older configuration, or keeps a removed server, when the store's feed
// and several neighbours deliver overlapping parts of the history late and more than once.
test("a replica holds the newest of everything delivered and never goes back", () => {
    fc.assert(
        fc.property(histories, fc.array(fc.tuple(fc.nat(40), fc.nat(40)), { maxLength: 20 }), (history, parts) => {
            const replica = createRowReplica();
            let known = 0;
            for (const [start, length] of parts) {
                // Whoever sends changes sends all of them after a revision that the replica holds.
                const from = Math.min(start, known);
                const before = replica.newest();
                replica.apply(history.slice(from, from + length));
                known = Math.max(known, Math.min(history.length, from + length));
                assert.ok(replica.newest() >= before);
                const expected = contentOf(history.slice(0, known));
                assert.deepEqual(contentOf(replica.since(0)), expected);
            }
        }),
        { seed: 1 },
    );
});

// Guards against a server that stays in use because its removal fell into a part of the history that the store forgot.
test("a complete read removes what isn't in it", () => {
    const replica = createRowReplica();
    replica.reset([{ key: "a", revision: 1, value: "1" }, { key: "b", revision: 2, value: "2" }], 2);
    const changed = replica.reset([{ key: "b", revision: 2, value: "2" }], 9);
    assert.deepEqual(changed, [{ key: "a", revision: 9, value: undefined }]);
    assert.equal(replica.newest(), 9);
});

// Guards against a complete read that is older than what a neighbour has told meanwhile.
test("a complete read doesn't remove what is newer than itself", () => {
    const replica = createRowReplica();
    replica.apply([{ key: "a", revision: 7, value: "7" }]);
    assert.deepEqual(replica.reset([{ key: "a", revision: 3, value: "3" }, { key: "b", revision: 2, value: "2" }], 5), [
        { key: "b", revision: 2, value: "2" },
    ]);
    assert.equal(contentOf(replica.since(0)).get("a"), "7");
});
