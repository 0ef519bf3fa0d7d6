import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    evaluateTrust,
    type Evidence,
    type ListedState,
    NO_EVIDENCE,
    shouldKeepConnection,
    SILENCE_TIMEOUT_MS,
    UNLISTED_RETENTION_MS,
} from "../../lib/core/index.js";
import { longTestParameters } from "../longTest.js";

const SEED = 8;
const NOW = 100_000;
const LISTED = fc.constantFrom<ListedState>("live", "leaving", "unlisted");
const optionalTime = fc.option(fc.integer({ min: NOW - 2 * UNLISTED_RETENTION_MS, max: NOW }), { nil: undefined });
const EVIDENCE = fc.record<Evidence>({
    lastMessageAt: optionalTime,
    leaving: fc.boolean(),
    disconnectedAt: optionalTime,
});

// Guards against sending new work to a silent, lost or leaving VM because the lagging list says it is live.
test("the list alone adds no trust in a VM", () => {
    fc.assert(
        fc.property(LISTED, EVIDENCE, (listed, evidence) => {
            const {
                lastMessageAt = Number.NEGATIVE_INFINITY,
                disconnectedAt = Number.NEGATIVE_INFINITY,
                leaving,
            } = evidence;
            const isLive = NOW - lastMessageAt <= SILENCE_TIMEOUT_MS &&
                (disconnectedAt < lastMessageAt || disconnectedAt === -Infinity);
            const trust = evaluateTrust(listed, evidence, NOW);
            assert.equal(trust === "usable", isLive && !leaving && listed !== "leaving");
            assert.equal(trust === "leaving", leaving || listed === "leaving");
            assert.equal(evaluateTrust("live", evidence, NOW), evaluateTrust("unlisted", evidence, NOW));
            // However stale the list is, a VM that is silent for too long becomes untrusted, and a lost VM stays lost.
            assert.notEqual(evaluateTrust(listed, evidence, lastMessageAt + SILENCE_TIMEOUT_MS + 1), "usable");
        }),
        longTestParameters({ seed: SEED, numRuns: 5000 }),
    );
});

// Guards against closing a connection that an in-flight request uses, and against keeping a connection forever.
test("a VM that left the list is watched while it sends messages", () => {
    fc.assert(
        fc.property(LISTED, EVIDENCE, (listed, evidence) => {
            const silenceMs = evidence.lastMessageAt === undefined ? Infinity : NOW - evidence.lastMessageAt;
            assert.equal(
                shouldKeepConnection(listed, evidence, NOW),
                listed === "live" || silenceMs <= UNLISTED_RETENTION_MS,
            );
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
});

// Guards against sending new work to a VM that the list calls live although it is silent, lost or leaving. The silence
// timeout is checked at its exact end.
test("the list alone adds no trust", () => {
    const connected: Evidence = { ...NO_EVIDENCE, lastMessageAt: 1000 };
    assert.equal(evaluateTrust("live", NO_EVIDENCE, 1000), "silent");
    assert.equal(evaluateTrust("live", connected, 1000 + SILENCE_TIMEOUT_MS), "usable");
    assert.equal(evaluateTrust("live", connected, 1001 + SILENCE_TIMEOUT_MS), "silent");
    assert.equal(evaluateTrust("live", { ...connected, disconnectedAt: 1200 }, 1300), "lost");
    assert.equal(evaluateTrust("live", { ...connected, leaving: true }, 1000), "leaving");
    assert.equal(evaluateTrust("unlisted", connected, 1000), "usable");
});
