import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type Evidence,
    isWorthWatching,
    type ListedState,
    SILENT_AFTER_MS,
    trustIn,
    UNLISTED_KEPT_MS,
} from "../../lib/core/index.js";
import { longTestParameters } from "../longTest.js";

const SEED = 8;
const NOW = 100_000;
const LISTED = fc.constantFrom<ListedState>("live", "leaving", "unlisted");
const time = fc.option(fc.integer({ min: NOW - 2 * UNLISTED_KEPT_MS, max: NOW }), { nil: undefined });
const EVIDENCE: fc.Arbitrary<Evidence> = fc.record({ heardAt: time, leaving: fc.boolean(), lostAt: time });

// Guards against new work for a silent, lost or leaving VM because a lagging list calls it live.
test("the list alone adds no trust in a VM", () => {
    fc.assert(
        fc.property(LISTED, EVIDENCE, (listed, evidence) => {
            const { heardAt = Number.NEGATIVE_INFINITY, lostAt = Number.NEGATIVE_INFINITY, leaving } = evidence;
            const isHeard = NOW - heardAt <= SILENT_AFTER_MS && (lostAt < heardAt || lostAt === -Infinity);
            const trust = trustIn(listed, evidence, NOW);
            assert.equal(trust === "usable", isHeard && !leaving && listed !== "leaving");
            assert.equal(trust === "leaving", leaving || listed === "leaving");
            assert.equal(trustIn("live", evidence, NOW), trustIn("unlisted", evidence, NOW));
            // However long the list stays stale, trust ends with the silence and a lost VM stays lost.
            assert.notEqual(trustIn(listed, evidence, heardAt + SILENT_AFTER_MS + 1), "usable");
        }),
        longTestParameters({ seed: SEED, numRuns: 5000 }),
    );
});

// Guards against a connection that is dropped under a request in progress, and against one that is kept forever.
test("a VM that left the list is watched while it sends messages", () => {
    fc.assert(
        fc.property(LISTED, EVIDENCE, (listed, evidence) => {
            const quietMs = evidence.heardAt === undefined ? Infinity : NOW - evidence.heardAt;
            assert.equal(isWorthWatching(listed, evidence, NOW), listed === "live" || quietMs <= UNLISTED_KEPT_MS);
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});
