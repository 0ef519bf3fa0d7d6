import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { drainDelayMs, shouldDrain, TYPICAL_SWITCH_MS } from "../../../lib/core/serving/index.js";

const ALLOWED_MS = 8000;
const ONE_DOMAIN = { failureDomain: "a", failureDomains: ["a"], namedAt: 0, allowedMs: ALLOWED_MS };

// Guards against a rollout that makes all replicas of a failure domain unavailable at once, and against a last replica
// that starts too late to finish in time.
test("the replicas of a failure domain switch one after the other and in time", () => {
    fc.assert(
        fc.property(fc.integer({ min: 2, max: 12 }), fc.integer({ min: 2, max: 50 }), (count, version) => {
            const replicas = Array.from({ length: count }, (_, index) => `10.0.0.${index}`);
            const delays = replicas
                .map(self => drainDelayMs({ ...ONE_DOMAIN, self, replicas, version, remainingTransferMs: 0 }))
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
    const state = { ...ONE_DOMAIN, self: "a", replicas: ["a", "b"], version: 2 };
    assert.equal(shouldDrain({ ...state, remainingTransferMs: Number.POSITIVE_INFINITY }, ALLOWED_MS), false);
    assert.equal(shouldDrain({ ...state, remainingTransferMs: 0 }, ALLOWED_MS), true);
});

// Guards against a rollout that takes a replica of every failure domain away at the same moment: with two replicas in
// each of five domains, half of the pool was away at once.
test("the failure domains of a pool switch by turns", () => {
    for (const replicaCount of [1, 2, 17]) {
        const failureDomains = ["a", "b", "c", "d", "e"];
        const delays = failureDomains.flatMap(failureDomain => {
            const replicas = Array.from({ length: replicaCount }, (_, index) => `${failureDomain}-${index}`);
            return replicas.map(self =>
                drainDelayMs({
                    ...ONE_DOMAIN,
                    self,
                    replicas,
                    failureDomain,
                    failureDomains,
                    version: 2,
                    remainingTransferMs: 0,
                })
            );
        }).sort((a, b) => a - b);
        assert.ok((delays.at(-1) ?? 0) + TYPICAL_SWITCH_MS <= ALLOWED_MS);
        const gaps = delays.slice(1).map((delay, index) => delay - (delays[index] ?? 0));
        assert.ok(Math.max(...gaps) - Math.min(...gaps) < 1, JSON.stringify(gaps));
    }
});
