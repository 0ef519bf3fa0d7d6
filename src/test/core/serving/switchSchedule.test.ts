import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { drainDelayMs, shouldDrain, TYPICAL_SWITCH_MS } from "../../../lib/core/serving/index.js";

const ALLOWED_MS = 8000;

// Guards against a rollout that makes all replicas of a failure domain unavailable at once, and against a last replica
// that starts too late to finish in time.
test("the replicas of a failure domain switch one after the other and in time", () => {
    fc.assert(
        fc.property(fc.integer({ min: 2, max: 12 }), fc.integer({ min: 2, max: 50 }), (count, version) => {
            const replicas = Array.from({ length: count }, (_, index) => `10.0.0.${index}`);
            const delays = replicas
                .map(self =>
                    drainDelayMs({ self, replicas, version, namedAt: 0, allowedMs: ALLOWED_MS, remainingTransferMs: 0 })
                )
                .sort((a, b) => a - b);
            assert.ok((delays.at(-1) ?? 0) + TYPICAL_SWITCH_MS <= ALLOWED_MS);
            assert.equal(new Set(delays).size, count);
            // A switch takes 2.3 s; with evenly spaced turns at most three quarters are unavailable at once.
            const startingTogether = delays.map(delay => delays.filter(each => Math.abs(each - delay) < 100).length);
            assert.ok(Math.max(...startingTogether) <= Math.ceil(count / 4));
        }),
        { seed: 1 },
    );
});

// Guards against replicas that drain while their weights are far from complete.
test("a replica keeps serving while its transfer is stalled", () => {
    const state = { self: "a", replicas: ["a", "b"], version: 2, namedAt: 0, allowedMs: ALLOWED_MS };
    assert.equal(shouldDrain({ ...state, remainingTransferMs: Number.POSITIVE_INFINITY }, ALLOWED_MS), false);
    assert.equal(shouldDrain({ ...state, remainingTransferMs: 0 }, ALLOWED_MS), true);
});
