import assert from "node:assert/strict";
import { test } from "node:test";
import { createStartPacer } from "../../lib/agent/startPacer.js";
import { Rank } from "../../lib/core/index.js";

const SLOTS = 8;
const DURATION_MS = 1600;

// Guards against bursts of starts, after which a small client waits for a complete response, and against pacing
// that delays the requests that it should protect.
test("only overnight requests and requests of large clients are paced", () => {
    let now = 0;
    const pacer = createStartPacer(() => now);
    const delayMs = (rank: Rank, runningOfClient: number) => pacer.delayMs(rank, runningOfClient, SLOTS, DURATION_MS);
    assert.equal(delayMs(Rank.overnight, 0), 0);
    pacer.recordStart();
    now = 100;
    assert.equal(delayMs(Rank.urgent, 3), 0);
    assert.equal(delayMs(Rank.standard, 3), 0);
    assert.equal(delayMs(Rank.overnight, 3), 60);
    assert.equal(delayMs(Rank.urgent, 4), 100);
    assert.equal(delayMs(Rank.overnight, 4), 100);
    assert.equal(pacer.delayMs(Rank.overnight, 4, SLOTS, undefined), 0);
});
