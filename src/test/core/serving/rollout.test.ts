import fc from "fast-check";
import assert from "node:assert/strict";
import { test } from "node:test";
import {
    createWeightsPolicy,
    drainDelayMs,
    originPatienceMs,
    predictMissingMs,
    shouldDrain,
    shouldFinishFirst,
    USUAL_SWITCH_MS,
    usualTransferMs,
} from "../../../lib/core/serving/index.js";

const ALLOWED_MS = 8000;

// Guards against requests that begin on outdated weights after the time for a version, and against a pool that is
// unusable from the moment a version is named.
test("older weights may answer until shortly before the time for the new ones is over", () => {
    const policy = createWeightsPolicy(() => ALLOWED_MS);
    assert.equal(policy.lowestAllowed("m", 0), 1);
    policy.name("m", 2, true, 1000);
    assert.equal(policy.newest("m"), 2);
    assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS / 2), 1);
    assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS - 500), 2);
    policy.name("m", 3, true, 5000);
    assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS), 2);
    assert.equal(policy.lowestAllowed("m", 5000 + ALLOWED_MS), 3);
});

// Guards against a request that waits at an engine until after the time for the new weights and begins on the old ones.
test("a request must have begun on older weights before the time for the new ones is over", () => {
    const policy = createWeightsPolicy(() => ALLOWED_MS);
    assert.equal(policy.startDeadline("m", 1), undefined);
    policy.name("m", 2, true, 1000);
    policy.name("m", 3, true, 5000);
    const [first, second, newest] = [1, 2, 3].map(version => policy.startDeadline("m", version));
    assert.ok(first !== undefined && first < 1000 + ALLOWED_MS && first > 1000 + ALLOWED_MS - 500);
    assert.ok(second !== undefined && second < 5000 + ALLOWED_MS && second > 5000 + ALLOWED_MS - 500);
    assert.equal(newest, undefined);
});

// Guards against a restarted entry that counts the time for a version anew from its own start.
test("a version that may have been named long ago is due at once", () => {
    const policy = createWeightsPolicy(() => ALLOWED_MS);
    policy.name("m", 4, false, 0);
    assert.equal(policy.lowestAllowed("m", 0), 4);
});

// Guards against an entry that is restarted in mid-rollout and refuses every server that has not switched yet, and
// against one that learned of a version late and lets requests begin on older ones for as much longer.
test("the earliest word of neighbours says how long ago a version was named", () => {
    const policies = Array.from({ length: 3 }, () => createWeightsPolicy(() => ALLOWED_MS));
    const [first, late, restarted] = policies;
    assert.ok(first !== undefined && late !== undefined && restarted !== undefined);
    first.name("m", 2, true, 1000);
    late.name("m", 2, true, 4000);
    restarted.name("m", 2, false, 4000);
    assert.equal(restarted.lowestAllowed("m", 4000), 2);
    assert.deepEqual(restarted.ages(4000), [], "it doesn't know");
    for (const age of late.ages(4000)) restarted.learnAge(age, 4000);
    assert.equal(restarted.lowestAllowed("m", 4000), 1);
    for (const age of first.ages(5000)) {
        late.learnAge(age, 5000);
        restarted.learnAge(age, 5000);
    }
    for (const age of late.ages(6000)) first.learnAge({ ...age, ageMs: age.ageMs - 500 }, 6000);
    for (const policy of policies) {
        assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS / 2), 1);
        assert.equal(policy.lowestAllowed("m", 1000 + ALLOWED_MS), 2);
        assert.deepEqual(policy.ages(1000 + ALLOWED_MS), []);
    }
});

// Guards against a rollout that takes all replicas of a failure domain away at the same moment, and against a last
// replica that begins too late.
test("the replicas of a failure domain switch one after the other and in time", () => {
    fc.assert(
        fc.property(fc.integer({ min: 2, max: 12 }), fc.integer({ min: 2, max: 50 }), (count, version) => {
            const replicas = Array.from({ length: count }, (_, index) => `10.0.0.${index}`);
            const delays = replicas
                .map(self => drainDelayMs({ self, replicas, version, namedAt: 0, allowedMs: ALLOWED_MS, missingMs: 0 }))
                .sort((a, b) => a - b);
            assert.ok((delays.at(-1) ?? 0) + USUAL_SWITCH_MS <= ALLOWED_MS);
            assert.equal(new Set(delays).size, count);
            // A switch takes 2.3 s; with even turns at most three quarters are away at once.
            const away = delays.map(start => delays.filter(other => Math.abs(other - start) < 100).length);
            assert.ok(Math.max(...away) <= Math.ceil(count / 4));
        }),
        { seed: 1 },
    );
});

// Guards against replicas that stop taking work while their weights are far from complete.
test("a replica serves on while its transfer is stuck", () => {
    const situation = { self: "a", replicas: ["a", "b"], version: 2, namedAt: 0, allowedMs: ALLOWED_MS };
    assert.equal(shouldDrain({ ...situation, missingMs: Number.POSITIVE_INFINITY }, ALLOWED_MS), false);
    assert.equal(shouldDrain({ ...situation, missingMs: 0 }, ALLOWED_MS), true);
});

// Guards against a nearly complete version that is given up for a newer one, which left no replica with acceptable
// weights between the two deadlines, and against a young transfer that delays the newer version.
test("a transfer is finished first only if both versions stay in time", () => {
    const usualMs = usualTransferMs(64 * 32_768, 5.32);
    const times = { usualMs, allowedMs: ALLOWED_MS, loadMs: 1500 };
    assert.equal(shouldFinishFirst({ ...times, elapsedMs: 3000 }), true);
    assert.equal(shouldFinishFirst({ ...times, elapsedMs: 500 }), false);
});

// Guards against replicas that take no work for as long as one last piece can't be had, because the transfer seems to be
// nearly complete.
test("a transfer that has stalled isn't near its end, however little is missing", () => {
    const flowing = { share: 63 / 64, elapsedMs: 3000, sinceLastMs: 100 };
    assert.ok(predictMissingMs(flowing) < USUAL_SWITCH_MS);
    const stalled = { ...flowing, elapsedMs: 6000, sinceLastMs: 3000 };
    assert.equal(predictMissingMs(stalled), Number.POSITIVE_INFINITY);
    const situation = { self: "a", replicas: ["a"], version: 2, namedAt: 0, allowedMs: ALLOWED_MS };
    assert.equal(shouldDrain({ ...situation, missingMs: predictMissingMs(flowing) }, 6000), true);
    assert.equal(shouldDrain({ ...situation, missingMs: predictMissingMs(stalled) }, 6000), false);
    assert.equal(predictMissingMs({ ...stalled, share: 1 }), 0);
});

// Guards against agents that take all connections of the origin after a start of all processes at once, so that the
// entries can't fetch anything for them.
test("agents leave the origin to the entries at first, and spread when they ask it themselves", () => {
    const [first, last] = [originPatienceMs(true, 0), originPatienceMs(true, 0.999)];
    assert.ok(first >= 2000 && last - first > 1900);
    assert.ok(originPatienceMs(false, 0) === 0 && originPatienceMs(false, 0.999) < 1000);
});
