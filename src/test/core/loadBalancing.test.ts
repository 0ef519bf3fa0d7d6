import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import { type AgentCandidate, chooseAgent } from "../../lib/core/index.js";
import { longTestParameters } from "../longTest.js";

const SEED = 6;
const idle = { running: 0, queued: 0, limit: 8, predictedWaitMs: 0, sentSinceReport: 0, isObserved: false };
const randomSequence = (...numbers: number[]) => () => numbers.shift() ?? 0;

// Guards against herding: load reports lag, and all requests go to the agent that was idle in the last report.
test("requests sent since the report count against a candidate", () => {
    const candidates = [{ ...idle, address: "a", sentSinceReport: 4 }, { ...idle, address: "b", running: 2 }];
    assert.equal(chooseAgent(candidates, undefined, randomSequence(0, 0))?.address, "b");
});

// Guards against prefix affinity that overloads an agent or that outlasts the prefix in the agent's cache.
test("affinity yields to overload and to age", () => {
    const busy: AgentCandidate[] = [{ ...idle, address: "a" }, { ...idle, address: "b", running: 2 }];
    const choose = (candidates: AgentCandidate[], ageMs: number) => {
        return chooseAgent(candidates, { address: "b", ageMs }, randomSequence(0, 0))?.address;
    };
    assert.equal(choose(busy, 0), "b");
    assert.equal(choose(busy, 600_000), "a");
    assert.equal(choose([{ ...idle, address: "a" }, { ...idle, address: "b", predictedWaitMs: 600 }], 0), "a");
    assert.equal(choose([{ ...idle, address: "a", running: 7 }, { ...idle, address: "b", running: 8 }], 0), "a");
});

// Guards against a rollout that continues with a version that no request has reached, because all prefixes of the
// prompts are cached at agents that haven't switched.
test("an agent that has just switched versions is compared without the affinity of another one", () => {
    const affinity = { address: "b", ageMs: 0 };
    const choose = (isObserved: boolean) => {
        const candidates = [{ ...idle, address: "a", isObserved }, { ...idle, address: "b", running: 1 }];
        return chooseAgent(candidates, affinity, randomSequence(0, 0))?.address;
    };
    assert.equal(choose(false), "b");
    assert.equal(choose(true), "a");
    const others = ["a", "b", "c"].map(address => ({ ...idle, address, isObserved: address === "c" }));
    assert.equal(chooseAgent(others, affinity, randomSequence(0, 0))?.address, "b", "the observed one isn't compared");
});

// Guards against an index out of range for some random numbers.
test("a candidate is chosen whenever there is one", () => {
    const number = fc.double({ min: 0, max: 1, maxExcluded: true, noNaN: true });
    fc.assert(
        fc.property(fc.integer({ min: 1, max: 9 }), number, number, (count, a, b) => {
            const candidates = Array.from({ length: count }, (_, i) => ({ ...idle, address: String(i) }));
            assert.ok(
                candidates.includes(
                    chooseAgent(candidates, undefined, randomSequence(a, b)) ?? { ...idle, address: "" },
                ),
            );
        }),
        longTestParameters({ seed: SEED, numRuns: 100 }),
    );
    assert.equal(chooseAgent([], undefined, Math.random), undefined);
});
