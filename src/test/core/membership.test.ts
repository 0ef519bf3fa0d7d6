import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    type Evidence,
    isWorthWatching,
    type ListedState,
    NO_EVIDENCE,
    SILENT_AFTER_MS,
    trustIn,
    UNLISTED_RETENTION_MS,
} from "../../lib/core/index.js";
import { longTestParameters } from "../longTest.js";

const SEED = 8;
const NOW = 100_000;
const LISTED = fc.constantFrom<ListedState>("live", "leaving", "unlisted");
const optionalTime = fc.option(fc.integer({ min: NOW - 2 * UNLISTED_RETENTION_MS, max: NOW }), { nil: undefined });
const EVIDENCE = fc.record<Evidence>({
    heardAt: optionalTime,
    leaving: fc.boolean(),
    lostAt: optionalTime,
});

// Guards against sending new work to a silent, lost or leaving VM because the lagging list says it is live.
test("the list alone adds no trust in a VM", () => {
    fc.assert(
        fc.property(LISTED, EVIDENCE, (listed, evidence) => {
            const { heardAt = Number.NEGATIVE_INFINITY, lostAt = Number.NEGATIVE_INFINITY, leaving } = evidence;
            const isRecentlyHeard = NOW - heardAt <= SILENT_AFTER_MS && (lostAt < heardAt || lostAt === -Infinity);
            const trust = trustIn(listed, evidence, NOW);
            assert.equal(trust === "usable", isRecentlyHeard && !leaving && listed !== "leaving");
            assert.equal(trust === "leaving", leaving || listed === "leaving");
            assert.equal(trustIn("live", evidence, NOW), trustIn("unlisted", evidence, NOW));
            // A VM becomes untrusted when it is silent for too long, however stale the list is.
            assert.notEqual(trustIn(listed, evidence, heardAt + SILENT_AFTER_MS + 1), "usable");
        }),
        longTestParameters({ seed: SEED, numRuns: 5000 }),
    );
});

// Guards against closing a connection that a request in progress uses, and against keeping a connection forever.
test("a VM that left the list is watched while it sends messages", () => {
    fc.assert(
        fc.property(LISTED, EVIDENCE, (listed, evidence) => {
            const silenceMs = evidence.heardAt === undefined ? Infinity : NOW - evidence.heardAt;
            assert.equal(
                isWorthWatching(listed, evidence, NOW),
                listed === "live" || silenceMs <= UNLISTED_RETENTION_MS,
            );
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});

// Guards against sending new work to a silent, lost or leaving VM because the lagging list says it is live.
test("the list alone adds no trust", () => {
    const heard: Evidence = { ...NO_EVIDENCE, heardAt: 1000 };
    assert.equal(trustIn("live", NO_EVIDENCE, 1000), "silent");
    assert.equal(trustIn("live", heard, 1000 + SILENT_AFTER_MS), "usable");
    assert.equal(trustIn("live", heard, 1001 + SILENT_AFTER_MS), "silent");
    assert.equal(trustIn("live", { ...heard, lostAt: 1200 }, 1300), "lost");
    assert.equal(trustIn("live", { ...heard, leaving: true }, 1000), "leaving");
    assert.equal(trustIn("unlisted", heard, 1000), "usable");
});
